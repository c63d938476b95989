//! A daemon's view of servers, other daemons, the desired state and the store's clock.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use buckthornfall_core::{
    backends::{
        Backend, Backends, Ended, Location, ServerQuery, SoftwareChoice, MISSING_ENTRY_GRACE,
    },
    desired::{Desired, InForce, Route, RouteKind, Target},
    members::Members,
    permits::PermitClass,
    progress::{Progress, EVENT_TIMEOUT},
    readiness::{Readiness, Table},
    store::StoreClock,
    Now,
};
use buckthornfall_proto::messages::{MemberRow, MemberState};
use rand::{rngs::SmallRng, Rng, SeedableRng};

const NOW: Now = Duration::from_secs(100);

fn backend(id: &str, started_ms: u64) -> Backend {
    Backend {
        id: id.to_owned(),
        service: "desk".to_owned(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: "zone-a".to_owned(),
        slots: 6,
        draining: false,
        started_ms,
        spot: false,
        software: String::new(),
        models: Vec::new(),
    }
}

fn location() -> Location {
    let region = |zone: &str, region: &str| (zone.to_owned(), region.to_owned());
    let regions = [region("zone-a", "r1"), region("zone-b", "r1"), region("zone-c", "r2")];
    Location { zone: "zone-a".to_owned(), regions: regions.into_iter().collect() }
}

fn chosen(backends: &Backends, now: Now) -> Option<String> {
    let location = location();
    let class = PermitClass::caller(0);
    let software = SoftwareChoice::Any;
    let want = ServerQuery { service: "desk", location: &location, tried: &[], class, software };
    backends.choose(now, want, |_| true).map(|entry| entry.id.clone())
}

#[test]
fn a_lapsed_entry_stays_usable_until_the_store_has_been_steady_for_a_while() {
    let mut backends = Backends::default();
    backends.upsert(backend("s1", 1));
    backends.remove(NOW, "s1", false);
    assert_eq!(chosen(&backends, NOW), Some("s1".to_owned()));
    let steady_since = NOW + Duration::from_secs(5);
    backends.expire(steady_since, steady_since + MISSING_ENTRY_GRACE - Duration::from_millis(1));
    assert!(backends.get("s1").is_some());
    backends.expire(steady_since, steady_since + MISSING_ENTRY_GRACE);
    assert!(backends.get("s1").is_none());
}

#[test]
fn a_lapsed_entry_that_reappears_is_kept() {
    let mut backends = Backends::default();
    backends.upsert(backend("s1", 1));
    backends.remove(NOW, "s1", false);
    backends.upsert(backend("s1", 1));
    backends.expire(NOW, NOW + MISSING_ENTRY_GRACE * 2);
    assert!(backends.get("s1").is_some());
}

#[test]
fn a_restarted_server_does_not_inherit_failures() {
    let mut backends = Backends::default();
    backends.upsert(backend("s1", 1));
    backends.started("s1");
    backends.ended(NOW, "s1", Ended::Failed);
    assert!(!backends.usable(NOW, "s1"));
    backends.upsert(backend("s1", 2));
    assert!(backends.usable(NOW, "s1"));
    assert_eq!(backends.inflight("s1"), 0);
}

#[test]
fn a_failed_server_is_a_last_resort_and_a_draining_server_is_never_chosen() {
    let mut backends = Backends::default();
    backends.upsert(backend("s1", 1));
    backends.upsert(backend("s2", 1));
    backends.started("s1");
    backends.ended(NOW, "s1", Ended::Failed);
    assert_eq!(chosen(&backends, NOW), Some("s2".to_owned()));
    backends.upsert(Backend { draining: true, ..backend("s2", 1) });
    assert_eq!(chosen(&backends, NOW), Some("s1".to_owned()));
}

fn is_draining(backends: &Backends, id: &str) -> bool {
    backends.get(id).unwrap().draining
}

#[test]
fn a_server_that_announced_its_shutdown_gets_no_requests_whatever_its_entry_says() {
    let mut backends = Backends::default();
    backends.upsert(backend("s1", 5));
    assert!(backends.on_leaving(NOW, "s1", 5), "first announcement");
    assert!(!backends.on_leaving(NOW, "s1", 5), "repeated announcement");
    assert_eq!((chosen(&backends, NOW), backends.usable(NOW, "s1")), (None, false));
    // A later heartbeat, a removed and reread entry, and an entry of an earlier start do not
    // clear the announcement.
    backends.upsert(backend("s1", 5));
    assert_eq!(chosen(&backends, NOW), None);
    backends.remove(NOW, "s1", true);
    backends.upsert(backend("s1", 5));
    assert_eq!(chosen(&backends, NOW), None);
    backends.retain(NOW, &[], true);
    backends.upsert(backend("s1", 4));
    assert_eq!(chosen(&backends, NOW), None);
    // The announcement does not apply to the next start.
    backends.upsert(backend("s1", 6));
    assert_eq!(chosen(&backends, NOW), Some("s1".to_owned()));
    assert!(!backends.on_leaving(NOW, "s1", 5), "a late response of the previous start");
    assert_eq!(chosen(&backends, NOW), Some("s1".to_owned()));
}

#[test]
fn a_shutdown_may_be_announced_before_the_entry_of_the_server_is_read() {
    let mut backends = Backends::default();
    backends.on_leaving(NOW, "s1", 5);
    backends.upsert(backend("s1", 5));
    assert!(is_draining(&backends, "s1"));
    backends.expire(NOW, NOW + Duration::from_secs(600));
    backends.upsert(backend("s1", 5));
    assert!(is_draining(&backends, "s1"), "ten minutes later");
}

#[test]
fn rereading_a_table_does_not_count_as_reading_another_one() {
    let mut readiness = Readiness::default();
    for _ in 0..3 {
        readiness.on_read(Table::Operator);
    }
    assert!(!readiness.is_complete());
    readiness.on_read(Table::Servers);
    readiness.on_read(Table::Fleet);
    assert!(readiness.is_complete());
}

#[test]
fn only_complete_events_extend_the_deadline_of_a_stream_and_slow_streams_are_tolerated() {
    let event = |progress: &mut Progress, at| {
        assert!(progress.deadline() > at, "deadline passed before the event");
        progress.on_event(at);
    };
    // Other bytes do not count, so the deadline is set at the start.
    assert_eq!(Progress::new(NOW).deadline(), NOW + EVENT_TIMEOUT);
    // A stream with an event every 1.5 s, and one that slows down.
    let mut slow = Progress::new(NOW);
    (1..=20).for_each(|n| event(&mut slow, NOW + Duration::from_millis(1_500) * n));
    let mut slower = Progress::new(NOW);
    let mut at = NOW;
    for gap_ms in [1_900, 3_000, 5_000] {
        at += Duration::from_millis(gap_ms);
        event(&mut slower, at);
    }
    // A fast stream that stalls.
    let mut fast = Progress::new(NOW);
    (1..=50).for_each(|n| event(&mut fast, NOW + Duration::from_millis(40) * n));
    assert_eq!(fast.deadline(), NOW + Duration::from_secs(2) + EVENT_TIMEOUT);
}

fn member(beat: u64) -> MemberRow {
    MemberRow {
        front: "127.0.0.1:1".to_owned(),
        peers: "127.0.0.1:2".to_owned(),
        zone: "zone-a".to_owned(),
        state: MemberState::Serving,
        incarnation: 1,
        beat,
        beat_ms: 800,
        store_ms: 6,
        requests_per_s: 0,
    }
}

#[test]
fn a_daemon_without_heartbeats_is_dead_but_not_during_a_store_outage() {
    let mut members = Members::new("h1".to_owned());
    members.on_contact(NOW);
    members.on_row(NOW, "h2", member(1));
    let mut now = NOW;
    for _ in 0..10 {
        now += Duration::from_millis(200);
        members.on_contact(now);
    }
    assert!(members.is_live(now, "h2"), "2 s without a heartbeat");
    // No daemon can write heartbeats during a store outage of 20 s, so none is declared dead.
    now += Duration::from_secs(20);
    assert!(members.is_live(now, "h2"));
    members.on_contact(now);
    assert!(members.is_live(now, "h2"));
    for _ in 0..5 {
        now += Duration::from_millis(200);
        members.on_contact(now);
    }
    assert!(!members.is_live(now, "h2"), "3 s without a heartbeat while the store responds");
}

#[test]
fn jobs_are_owned_near_the_store_while_a_daemon_there_is_live() {
    let mut members = Members::new("h0".to_owned());
    members.on_contact(NOW);
    for index in 0..10 {
        let store_ms = if index < 7 { 30 } else { 5 + index };
        members.on_row(NOW, &format!("h{index}"), MemberRow { store_ms, ..member(1) });
    }
    let owners: BTreeSet<_> =
        (0..100).filter_map(|job| members.owner(NOW, &format!("job{job}"))).collect();
    assert_eq!(owners.into_iter().collect::<Vec<_>>(), ["h7", "h8", "h9"]);
    for index in 7..10 {
        let leaving = MemberRow { state: MemberState::Leaving, ..member(2) };
        members.on_row(NOW, &format!("h{index}"), leaving);
    }
    assert!(members.owner(NOW, "job1").is_some());
}

/// A daemon that owns jobs announces a shorter heartbeat interval, so its failure is detected
/// sooner.
#[test]
fn the_failure_of_a_job_owner_is_detected_within_two_seconds() {
    let mut members = Members::new("h1".to_owned());
    (0..90).for_each(|index| members.on_row(NOW, &format!("idle{index}"), member(1)));
    members.on_contact(NOW);
    let beat = members.heartbeat_interval(true);
    let beat_ms = u32::try_from(beat.as_millis()).unwrap();
    members.on_row(NOW, "owner", MemberRow { beat_ms, ..member(1) });
    let mut now = NOW;
    for _ in 0..20 {
        now += Duration::from_millis(100);
        members.on_contact(now);
    }
    assert!(!members.is_live(now, "owner"));
    assert!(members.is_live(now, "idle1"));
    assert!(members.heartbeat_interval(false) > beat);
}

#[test]
fn a_late_row_of_an_earlier_incarnation_does_not_count_as_a_heartbeat() {
    let mut members = Members::new("h1".to_owned());
    members.on_contact(NOW);
    members.on_row(NOW, "h2", MemberRow { incarnation: 2, ..member(1) });
    let mut now = NOW;
    for beat in 2..20 {
        now += Duration::from_millis(200);
        members.on_contact(now);
        members.on_row(now, "h2", member(beat));
    }
    assert!(!members.is_live(now, "h2"));
}

#[test]
fn the_number_of_entries_follows_the_load_and_the_nearest_come_first() {
    let mut members = Members::new("h0".to_owned());
    members.on_contact(NOW);
    for index in 0..20 {
        let zone = if index % 2 == 0 { "zone-b" } else { "zone-c" };
        let row =
            MemberRow { zone: zone.to_owned(), front: format!("{zone}/{index}"), ..member(1) };
        members.on_row(NOW, &format!("h{index}"), row);
    }
    let few = members.entry_addresses(NOW, &location(), 64);
    assert_eq!(few.len(), 4);
    assert!(few.iter().all(|address| address.starts_with("zone-b")), "{few:?}");
    let busy = MemberRow { requests_per_s: 630, ..member(2) };
    members.on_row(NOW, "h1", MemberRow { zone: "zone-c".to_owned(), ..busy });
    assert_eq!(members.entry_addresses(NOW, &location(), 64).len(), 9);
    assert_eq!(members.entry_addresses(NOW, &location(), 5).len(), 5);
}

#[test]
fn calls_are_relayed_by_the_nearest_live_daemons() {
    let mut members = Members::new("h0".to_owned());
    members.on_contact(NOW);
    for index in 0..60 {
        let zone = ["zone-a", "zone-b", "zone-c"][index % 3];
        let row =
            MemberRow { zone: zone.to_owned(), peers: format!("{zone}/{index}"), ..member(1) };
        members.on_row(NOW, &format!("h{index}"), row);
    }
    let relays = members.relays(NOW, &location());
    assert_eq!(relays.len(), 24);
    let (near, far) = relays.split_at(19);
    assert!(near.iter().all(|address| address.starts_with("zone-a")), "{relays:?}");
    assert!(far.iter().all(|address| !address.starts_with("zone-a")), "{relays:?}");
    assert!(!relays.contains(&"zone-a/0".to_owned()), "a daemon must not relay through itself");
}

#[test]
fn each_daemon_knows_a_relay_that_the_store_serves_while_it_turns_half_of_them_away() {
    const DAEMONS: usize = 88;
    for seed in 0..100 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let away: Vec<bool> = (0..DAEMONS).map(|_| rng.random_bool(0.5)).collect();
        for own in 0..DAEMONS {
            let mut members = Members::new(format!("h{own}"));
            members.on_contact(NOW);
            for index in 0..DAEMONS {
                let zone = ["zone-a", "zone-b", "zone-c"][index % 3];
                let peers = index.to_string();
                let row = MemberRow { zone: zone.to_owned(), peers, ..member(1) };
                members.on_row(NOW, &format!("h{index}"), row);
            }
            let relays = members.relays(NOW, &location());
            let is_served = |peer: &String| !away[peer.parse::<usize>().expect("an index")];
            assert!(relays.iter().any(is_served), "seed {seed}: h{own} knows {relays:?}");
        }
    }
}

#[test]
fn heartbeats_of_400_daemons_stay_within_the_write_rate_of_the_store() {
    let mut members = Members::new("h0".to_owned());
    (0..400).for_each(|index| members.on_row(NOW, &format!("h{index}"), member(1)));
    let rate = 400.0 / members.heartbeat_interval(false).as_secs_f64();
    assert!(rate <= 50.0, "{rate} writes per second");
}

fn route(prefix: &str, service: &str) -> Arc<Route> {
    Arc::new(Route {
        name: prefix.to_owned(),
        host: "host".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: None,
        objective: None,
        completion: None,
        sample_ttl: None,
        max_attempts: 1,
        priority: 0,
        is_public: false,
        resumable: false,
        single_version: false,
        targets: vec![Target { service: service.to_owned(), weight: 1 }],
    })
}

#[test]
fn a_request_is_routed_by_the_longest_prefix_of_its_host() {
    let routes = vec![route("/a/", "one"), route("/a/b/", "two")];
    let desired = Desired { routes, ..Desired::default() };
    let service = |host, path| desired.route(host, path).map(|route| route.target(5).as_str());
    assert_eq!(service("host", "/a/b/c"), Some("two"));
    assert_eq!(service("host", "/a/bc"), Some("one"));
    assert_eq!(service("other", "/a/b/c"), None);
    assert_eq!(service("host", "/b/"), None);
}

#[test]
fn an_older_desired_state_never_replaces_a_newer_one() {
    let mut in_force = InForce::default();
    assert!(in_force.install(Desired { version: 7, ..Desired::default() }));
    assert!(!in_force.install(Desired { version: 6, ..Desired::default() }));
    assert!(!in_force.install(Desired { version: 7, ..Desired::default() }));
    assert_eq!(in_force.get().map(|state| state.version), Some(7));
}

/// Opening a connection costs server time, so a server with an open connection is preferred among
/// servers of similar latency, but not if it is much slower.
#[test]
fn a_server_with_an_open_connection_is_preferred_to_a_slightly_faster_one() {
    let mut backends = Backends::default();
    for (id, millis) in [("s1", 40), ("s2", 30)] {
        backends.upsert(backend(id, 1));
        backends.started(id);
        backends.ended(NOW, id, Ended::Answered(Duration::from_millis(millis)));
    }
    let location = location();
    let class = PermitClass::caller(0);
    let software = SoftwareChoice::Any;
    let want = ServerQuery { service: "desk", location: &location, tried: &[], class, software };
    let chosen = |connected: &str| {
        let entry = backends.choose(NOW, want, |entry| entry.id == connected);
        entry.map(|entry| entry.id.clone())
    };
    assert_eq!(chosen("none"), Some("s2".to_owned()));
    assert_eq!(chosen("s1"), Some("s1".to_owned()));
    let mut backends = backends.clone();
    backends.started("s1");
    backends.ended(NOW, "s1", Ended::Answered(Duration::from_millis(400)));
    let entry = backends.choose(NOW, want, |entry| entry.id == "s1");
    assert_eq!(entry.map(|entry| entry.id.as_str()), Some("s2"));
}

#[test]
fn a_slow_reply_does_not_set_the_stores_clock_back() {
    let mut clock = StoreClock::default();
    assert_eq!(clock.now_ms(NOW), 0);
    clock.on_reply(NOW, 5_000);
    // This reading is 900 ms old on arrival.
    clock.on_reply(NOW + Duration::from_secs(1), 5_100);
    assert_eq!(clock.now_ms(NOW + Duration::from_secs(2)), 7_000);
    assert_eq!(
        clock.to_local(NOW + Duration::from_secs(2), 4_500),
        NOW - Duration::from_millis(500)
    );
    assert_eq!(
        clock.to_local(NOW + Duration::from_secs(2), 8_000),
        NOW + Duration::from_secs(3),
        "another daemon's clock may be ahead"
    );
}

#[test]
fn clock_drift_does_not_accumulate() {
    let mut clock = StoreClock::default();
    // The store's clock is slow by 0.1 %.
    for second in 0..1_000 {
        clock.on_reply(NOW + Duration::from_secs(second), 5_000 + second * 999);
    }
    let error = clock.now_ms(NOW + Duration::from_secs(999)) - (5_000 + 999 * 999);
    assert!(error <= 60, "{error} ms");
}

#[test]
fn a_server_that_fails_requests_gets_one_at_a_time_until_one_succeeds() {
    let mut backends = Backends::default();
    backends.upsert(backend("s1", 1));
    backends.started("s1");
    backends.ended(NOW, "s1", Ended::Erred);
    assert!(backends.usable(NOW, "s1"), "a single failure may be caused by the request");
    assert_eq!(backends.capacity("s1"), 6);

    backends.started("s1");
    backends.ended(NOW, "s1", Ended::Erred);
    assert!(!backends.usable(NOW, "s1"));
    let later = NOW + Duration::from_millis(450);
    assert!(backends.usable(later, "s1"));
    assert_eq!(backends.capacity("s1"), 1, "only a probe request");
    backends.started("s1");
    backends.ended(later, "s1", Ended::Erred);
    assert!(!backends.usable(later + Duration::from_millis(450), "s1"), "the backoff must grow");

    let last = later + Duration::from_secs(1);
    backends.started("s1");
    backends.ended(last, "s1", Ended::Done);
    assert!(backends.usable(last, "s1"));
    assert_eq!(backends.capacity("s1"), 6);
}
