//! Checks the control traffic and delays at the target size against the limits of the target.

#[path = "support/gossip.rs"]
mod gossip;
#[path = "support/rollout.rs"]
mod rollout;
#[path = "support/sizes.rs"]
mod sizes;

use std::time::Duration;

use gossip::{GossipNet, ZONES};

const SEED: u64 = 11;
const DAEMONS: usize = 400;
const SERVERS: usize = 2500;
const TRAINERS: usize = 8;
/// Limit of one daemon's control traffic, sent and received.
const CONTROL_BYTES_PER_S: u64 = 12_000;
const CHANGE_SPREAD_LIMIT: Duration = Duration::from_secs(9);
const LOSS_PER_MILLE: u32 = 100;
const CHANGES_PER_DAY: u64 = 14_000;
const DAY_S: u64 = 86_400;
/// Time after a partition within which all daemons must see each other alive.
const REJOIN_LIMIT: Duration = Duration::from_secs(60);
/// Time after a restart within which the daemon must know all others, and they it.
const RESTART_DETECTION_LIMIT: Duration = Duration::from_secs(20);
/// Time after a crash within which all daemons must count the crashed daemons as dead.
const CRASH_DETECTION_LIMIT: Duration = Duration::from_secs(35);

const ACTIVATION_LIMIT: Duration = Duration::from_secs(13);
const VERSION_INTERVAL: Duration = Duration::from_secs(19 * 60);

/// Time for gossip to converge after all daemons start at once.
const SETTLE_TIME: Duration = Duration::from_secs(30);

fn settled_net(loss_per_mille: u32) -> GossipNet {
    let mut net = GossipNet::new(DAEMONS, loss_per_mille, SEED);
    net.run(SETTLE_TIME);
    net
}

#[test]
fn gossip_stays_within_the_control_traffic_limit() {
    let mut net = settled_net(0);
    net.reset_counts();
    net.run(SETTLE_TIME + Duration::from_secs(60));
    let highest = net.nodes.iter().map(|node| (node.bytes_in + node.bytes_out) / 60).max();
    assert!(highest <= Some(CONTROL_BYTES_PER_S), "{highest:?} bytes a second");
}

#[test]
fn no_live_daemon_counts_as_dead() {
    let mut net = settled_net(LOSS_PER_MILLE);
    let mut false_deaths = 0;
    for second in 0..120 {
        net.run(SETTLE_TIME + Duration::from_secs(second));
        let now = net.now;
        for node in &net.nodes {
            false_deaths += DAEMONS - node.membership.alive(now).len();
        }
    }
    assert_eq!(false_deaths, 0, "wrong entries among {} checked", 120 * DAEMONS * DAEMONS);
}

#[test]
fn a_change_reaches_all_daemons_in_time_without_the_table() {
    let mut net = settled_net(LOSS_PER_MILLE);
    net.install(0, &sizes::push(1, &sizes::manifest(SERVERS, TRAINERS, 0)));
    net.run(SETTLE_TIME + Duration::from_secs(60));
    let start = net.now;
    net.install(0, &sizes::push(2, &sizes::manifest(SERVERS, TRAINERS, 1)));
    net.run(start + Duration::from_secs(60));
    let last_installed_at =
        net.nodes.iter().map(|node| node.installed_at.get(&2).copied()).max().flatten();
    let all_installed = net.nodes.iter().all(|node| node.installed_at.contains_key(&2));
    let elapsed = last_installed_at.map(|at| at - start);
    assert!(all_installed && elapsed <= Some(CHANGE_SPREAD_LIMIT), "{elapsed:?}");
}

#[test]
fn the_changes_of_a_day_stay_within_the_control_traffic_limit() {
    let mut net = settled_net(0);
    net.install(0, &sizes::push(1, &sizes::manifest(SERVERS, TRAINERS, 0)));
    net.run(SETTLE_TIME + Duration::from_secs(60));
    net.reset_counts();
    let start = net.now;
    let interval = Duration::from_secs_f64(DAY_S as f64 / CHANGES_PER_DAY as f64);
    let changes = 4;
    for change in 1..=changes {
        let author = change as usize * 37 % DAEMONS;
        net.run(start + interval * change);
        let push = sizes::push(
            u64::from(change) + 1,
            &sizes::manifest(SERVERS, TRAINERS, change as usize),
        );
        net.install(author, &push);
    }
    net.run(start + interval * (changes + 2));
    let seconds = (net.now - start).as_secs();
    let total_bytes: u64 = net.nodes.iter().map(|node| node.bytes_in + node.bytes_out).sum();
    let mean_bytes_per_s = total_bytes / DAEMONS as u64 / seconds;
    assert!(
        mean_bytes_per_s <= CONTROL_BYTES_PER_S,
        "{mean_bytes_per_s} bytes a second on average"
    );
}

#[test]
fn all_daemons_detect_a_zone_outage_in_time() {
    let mut net = settled_net(LOSS_PER_MILLE);
    let is_crashed = |index: &usize| index.is_multiple_of(ZONES);
    net.crash((0..DAEMONS).filter(is_crashed));
    let start = net.now;
    net.run(start + CRASH_DETECTION_LIMIT);
    let now = net.now;
    let alive_count = (0..DAEMONS).filter(|i| !is_crashed(i)).count();
    for (index, node) in net.nodes.iter().enumerate().filter(|(i, _)| !is_crashed(i)) {
        assert_eq!(node.membership.alive(now).len(), alive_count, "as seen by daemon {index}");
    }
}

#[test]
fn restarted_daemons_know_all_daemons_and_are_known_by_them() {
    let mut net = settled_net(LOSS_PER_MILLE);
    // Ten times the rate of 650 restarts a day.
    let interval = Duration::from_secs_f64(DAY_S as f64 / 6500.0);
    for restart in 0..4u32 {
        net.run(SETTLE_TIME + interval * restart);
        net.restart(restart as usize * 97 % DAEMONS);
    }
    net.run(SETTLE_TIME + interval * 4 + RESTART_DETECTION_LIMIT);
    let now = net.now;
    let alive_counts: Vec<_> =
        net.nodes.iter().map(|node| node.membership.alive(now).len()).collect();
    assert!(alive_counts.iter().all(|alive| *alive == DAEMONS), "{alive_counts:?}");
}

#[test]
fn weights_are_active_on_all_servers_in_time() {
    let manifest = sizes::manifest(SERVERS, TRAINERS, 0);
    let manifest = buckthornfall_proto::check::manifest_value(manifest)
        .expect("the generated manifest is valid");
    for region in &manifest.regions {
        let cost = rollout::simulate_rollout(&manifest, &region.name);
        assert!(cost.activated <= ACTIVATION_LIMIT, "{}: {cost:?}", region.name);
        assert!(cost.staged + cost.activated <= VERSION_INTERVAL, "{}: {cost:?}", region.name);
        assert_eq!(cost.loads_from_store, 1, "{}: {cost:?}", region.name);
    }
}

#[test]
fn regions_rejoin_after_a_partition_of_an_hour() {
    const DAEMON_COUNT: usize = 33;
    const HOUR: Duration = Duration::from_secs(3600);
    let mut net = GossipNet::new(DAEMON_COUNT, LOSS_PER_MILLE, SEED);
    net.run(SETTLE_TIME);
    net.install(0, &sizes::push(1, &sizes::manifest(20, 1, 0)));
    net.run(SETTLE_TIME * 2);
    net.partition_regions(HOUR);
    net.run(SETTLE_TIME * 2 + HOUR / 2);
    let now = net.now;
    let alive_counts: Vec<_> =
        net.nodes.iter().map(|node| node.membership.alive(now).len()).collect();
    assert!(alive_counts.iter().all(|alive| *alive < DAEMON_COUNT), "{alive_counts:?}");
    // A change that can't reach the other regions.
    net.install(0, &sizes::push(2, &sizes::manifest(20, 1, 1)));
    net.run(SETTLE_TIME * 2 + HOUR + REJOIN_LIMIT);
    let now = net.now;
    let alive_counts: Vec<_> =
        net.nodes.iter().map(|node| node.membership.alive(now).len()).collect();
    assert!(alive_counts.iter().all(|alive| *alive == DAEMON_COUNT), "{alive_counts:?}");
    assert!(net.nodes.iter().all(|node| node.config.revision() == 2));
}
