//! Costs of control at the target size, against the bounds of the stated target.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/gossip.rs"]
mod gossip;
#[path = "support/sizes.rs"]
mod sizes;

use std::time::Duration;

use gossip::{GossipNet, ZONES};

const SEED: u64 = 11;
const DAEMONS: usize = 400;
const SERVERS: usize = 2500;
const TRAINERS: usize = 8;
/// Bytes a second that control may cost one daemon, sent and received.
const CONTROL_BYTES_PER_S: u64 = 12_000;
const CHANGE_LIMIT: Duration = Duration::from_secs(9);
const LOSS_PER_MILLE: u32 = 100;
const CHANGES_PER_DAY: u64 = 14_000;
const DAY: u64 = 86_400;
/// Time after which regions that were cut know each other again.
const REJOINED_WITHIN: Duration = Duration::from_secs(60);
/// Time after which a daemon that starts again knows all others.
const RESTART_SEEN_WITHIN: Duration = Duration::from_secs(20);
/// Time after which all daemons know that others have died.
const DEAD_SEEN_WITHIN: Duration = Duration::from_secs(35);

const WEIGHTS_LIMIT: Duration = Duration::from_secs(13);
const NEW_WEIGHTS_EVERY: Duration = Duration::from_secs(19 * 60);

/// Time until gossip has settled after all daemons start at once.
const SETTLED: Duration = Duration::from_secs(30);

fn settled(loss_per_mille: u32) -> GossipNet {
    let mut net = GossipNet::new(DAEMONS, loss_per_mille, SEED);
    net.run(SETTLED);
    net
}

#[test]
fn gossip_stays_within_the_bytes_for_control() {
    let mut net = settled(0);
    net.reset_counts();
    net.run(SETTLED + Duration::from_secs(60));
    let worst = net.nodes.iter().map(|node| (node.bytes_in + node.bytes_out) / 60).max();
    assert!(worst <= Some(CONTROL_BYTES_PER_S), "{worst:?} bytes a second");
}

#[test]
fn no_daemon_that_lives_is_taken_for_dead() {
    let mut net = settled(LOSS_PER_MILLE);
    let mut wrong = 0;
    for second in 0..120 {
        net.run(SETTLED + Duration::from_secs(second));
        let now = net.now;
        for node in &net.nodes {
            wrong += DAEMONS - node.membership.alive(now).len();
        }
    }
    assert_eq!(wrong, 0, "of {} views", 120 * DAEMONS * DAEMONS);
}

#[test]
fn a_change_is_in_force_everywhere_in_time_without_the_table() {
    let mut net = settled(LOSS_PER_MILLE);
    net.install(0, &sizes::push(1, &sizes::manifest(SERVERS, TRAINERS, 0)));
    net.run(SETTLED + Duration::from_secs(60));
    let from = net.now;
    net.install(0, &sizes::push(2, &sizes::manifest(SERVERS, TRAINERS, 1)));
    net.run(from + Duration::from_secs(60));
    let last = net.nodes.iter().map(|node| node.in_force_at.get(&2).copied()).max().flatten();
    let all = net.nodes.iter().all(|node| node.in_force_at.contains_key(&2));
    let took = last.map(|at| at - from);
    assert!(all && took <= Some(CHANGE_LIMIT), "{took:?}");
}

#[test]
fn changes_of_a_day_fit_into_the_bytes_for_control() {
    let mut net = settled(0);
    net.install(0, &sizes::push(1, &sizes::manifest(SERVERS, TRAINERS, 0)));
    net.run(SETTLED + Duration::from_secs(60));
    net.reset_counts();
    let from = net.now;
    let pause = Duration::from_secs_f64(DAY as f64 / CHANGES_PER_DAY as f64);
    let changes = 4;
    for change in 1..=changes {
        let author = change as usize * 37 % DAEMONS;
        net.run(from + pause * change);
        let push = sizes::push(
            u64::from(change) + 1,
            &sizes::manifest(SERVERS, TRAINERS, change as usize),
        );
        net.install(author, &push);
    }
    net.run(from + pause * (changes + 2));
    let seconds = (net.now - from).as_secs();
    let all: u64 = net.nodes.iter().map(|node| node.bytes_in + node.bytes_out).sum();
    let mean = all / DAEMONS as u64 / seconds;
    assert!(mean <= CONTROL_BYTES_PER_S, "{mean} bytes a second on average");
}

#[test]
fn a_dead_zone_is_seen_everywhere_in_time() {
    let mut net = settled(LOSS_PER_MILLE);
    let dead = |index: &usize| index.is_multiple_of(ZONES);
    net.kill((0..DAEMONS).filter(dead));
    let from = net.now;
    net.run(from + DEAD_SEEN_WITHIN);
    let now = net.now;
    let living = (0..DAEMONS).filter(|i| !dead(i)).count();
    for (index, node) in net.nodes.iter().enumerate().filter(|(i, _)| !dead(i)) {
        assert_eq!(node.membership.alive(now).len(), living, "as daemon {index} sees it");
    }
}

#[test]
fn restarted_daemons_know_all_others_and_are_known() {
    let mut net = settled(LOSS_PER_MILLE);
    // A day's 650 restarts, ten times as dense.
    let pause = Duration::from_secs_f64(DAY as f64 / 6500.0);
    for restart in 0..4u32 {
        net.run(SETTLED + pause * restart);
        net.restart(restart as usize * 97 % DAEMONS);
    }
    net.run(SETTLED + pause * 4 + RESTART_SEEN_WITHIN);
    let now = net.now;
    let views: Vec<_> = net.nodes.iter().map(|node| node.membership.alive(now).len()).collect();
    assert!(views.iter().all(|alive| *alive == DAEMONS), "{views:?}");
}

#[test]
fn weights_are_active_everywhere_in_time() {
    let manifest = sizes::manifest(SERVERS, TRAINERS, 0);
    let manifest = buckthornfall_proto::check::manifest_value(manifest).expect("it is valid");
    for region in &manifest.regions {
        let cost = fleet::roll_out(&manifest, &region.name);
        assert!(cost.activated <= WEIGHTS_LIMIT, "{}: {cost:?}", region.name);
        assert!(cost.staged + cost.activated <= NEW_WEIGHTS_EVERY, "{}: {cost:?}", region.name);
        assert_eq!(cost.from_store, 1, "{}: {cost:?}", region.name);
    }
}

#[test]
fn regions_that_were_cut_for_an_hour_find_each_other() {
    const SMALL: usize = 33;
    const HOUR: Duration = Duration::from_secs(3600);
    let mut net = GossipNet::new(SMALL, LOSS_PER_MILLE, SEED);
    net.run(SETTLED);
    net.install(0, &sizes::push(1, &sizes::manifest(20, 1, 0)));
    net.run(SETTLED * 2);
    net.cut_regions(HOUR);
    net.run(SETTLED * 2 + HOUR / 2);
    let now = net.now;
    let seen: Vec<_> = net.nodes.iter().map(|node| node.membership.alive(now).len()).collect();
    assert!(seen.iter().all(|alive| *alive < SMALL), "{seen:?}");
    // A change that the other regions can't hear of.
    net.install(0, &sizes::push(2, &sizes::manifest(20, 1, 1)));
    net.run(SETTLED * 2 + HOUR + REJOINED_WITHIN);
    let now = net.now;
    let seen: Vec<_> = net.nodes.iter().map(|node| node.membership.alive(now).len()).collect();
    assert!(seen.iter().all(|alive| *alive == SMALL), "{seen:?}");
    assert!(net.nodes.iter().all(|node| node.config.revision() == 2));
}
