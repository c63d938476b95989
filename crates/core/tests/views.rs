//! What a daemon believes of servers, of other daemons and of the desired state.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use buckthornfall_core::{
    backends::{Backend, Backends, Ended, Location, ServerQuery, MISSING_ENTRY_GRACE},
    desired::{Desired, InForce, Route, RouteKind, Target},
    members::Members,
    progress::{Progress, EVENT_LIMIT},
    readiness::{Readiness, Table},
    store::StoreClock,
    Now,
};
use buckthornfall_proto::messages::{MemberRow, MemberState};

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
    let want = ServerQuery { service: "desk", location: &location, tried: &[] };
    backends.choose(now, want, |_| true).map(|entry| entry.id.clone())
}

#[test]
fn an_entry_that_lapsed_with_the_store_stays_usable_until_the_store_was_steady_for_a_while() {
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
fn an_entry_that_comes_back_is_kept() {
    let mut backends = Backends::default();
    backends.upsert(backend("s1", 1));
    backends.remove(NOW, "s1", false);
    backends.upsert(backend("s1", 1));
    backends.expire(NOW, NOW + MISSING_ENTRY_GRACE * 2);
    assert!(backends.get("s1").is_some());
}

#[test]
fn a_new_start_under_the_same_id_forgets_the_failures_of_the_last_one() {
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
fn a_failed_server_is_the_last_choice_and_a_leaving_one_is_none() {
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
fn a_server_that_says_that_it_leaves_gets_nothing_whatever_its_entry_says() {
    let mut backends = Backends::default();
    backends.upsert(backend("s1", 5));
    assert!(backends.on_leaving(NOW, "s1", 5), "news");
    assert!(!backends.on_leaving(NOW, "s1", 5), "no news");
    assert_eq!((chosen(&backends, NOW), backends.usable(NOW, "s1")), (None, false));
    // Its next heartbeat, an entry that was removed and is read again, an older start.
    backends.upsert(backend("s1", 5));
    assert_eq!(chosen(&backends, NOW), None);
    backends.remove(NOW, "s1", true);
    backends.upsert(backend("s1", 5));
    assert_eq!(chosen(&backends, NOW), None);
    backends.retain(NOW, &[], true);
    backends.upsert(backend("s1", 4));
    assert_eq!(chosen(&backends, NOW), None);
    // Its answers say nothing of the next start.
    backends.upsert(backend("s1", 6));
    assert_eq!(chosen(&backends, NOW), Some("s1".to_owned()));
    assert!(!backends.on_leaving(NOW, "s1", 5), "a late answer of the start before");
    assert_eq!(chosen(&backends, NOW), Some("s1".to_owned()));
}

#[test]
fn an_answer_may_say_that_a_server_leaves_before_its_entry_is_read() {
    let mut backends = Backends::default();
    backends.on_leaving(NOW, "s1", 5);
    backends.upsert(backend("s1", 5));
    assert!(is_draining(&backends, "s1"));
    backends.expire(NOW, NOW + Duration::from_secs(600));
    backends.upsert(backend("s1", 5));
    assert!(is_draining(&backends, "s1"), "ten minutes later");
}

#[test]
fn a_table_that_is_read_again_does_not_stand_for_another_one() {
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
fn only_whole_events_keep_a_stream_and_slow_ones_do() {
    let event = |progress: &mut Progress, at| {
        assert!(progress.due() > at, "cut before its event");
        progress.on_event(at);
    };
    // Other bytes do not count, so the limit stands from the start.
    assert_eq!(Progress::new(NOW).due(), NOW + EVENT_LIMIT);
    // An event each 1.5 s, and one that grows slower.
    let mut slow = Progress::new(NOW);
    (1..=20).for_each(|n| event(&mut slow, NOW + Duration::from_millis(1_500) * n));
    let mut slower = Progress::new(NOW);
    let mut at = NOW;
    for pause_ms in [1_900, 3_000, 5_000] {
        at += Duration::from_millis(pause_ms);
        event(&mut slower, at);
    }
    // A fast one that stops.
    let mut fast = Progress::new(NOW);
    (1..=50).for_each(|n| event(&mut fast, NOW + Duration::from_millis(40) * n));
    assert_eq!(fast.due(), NOW + Duration::from_secs(2) + EVENT_LIMIT);
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
fn a_daemon_without_heartbeats_is_gone_but_not_while_the_store_is_away() {
    let mut members = Members::new("h1".to_owned());
    members.on_contact(NOW);
    members.on_row(NOW, "h2", member(1));
    let mut now = NOW;
    for _ in 0..10 {
        now += Duration::from_millis(200);
        members.on_contact(now);
    }
    assert!(members.live(now, "h2"), "2 s without a heartbeat");
    // The store is away for 20 s: nobody can write, so nobody is judged.
    now += Duration::from_secs(20);
    assert!(members.live(now, "h2"));
    members.on_contact(now);
    assert!(members.live(now, "h2"));
    for _ in 0..5 {
        now += Duration::from_millis(200);
        members.on_contact(now);
    }
    assert!(!members.live(now, "h2"), "3 s of a store that answers");
}

#[test]
fn jobs_are_run_near_the_store_while_a_daemon_there_is_live() {
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

/// The owner of jobs says that it writes more often, and is missed as much sooner.
#[test]
fn an_owner_of_jobs_is_missed_within_two_seconds() {
    let mut members = Members::new("h1".to_owned());
    (0..90).for_each(|index| members.on_row(NOW, &format!("idle{index}"), member(1)));
    members.on_contact(NOW);
    let beat = members.beat_interval(true);
    let beat_ms = u32::try_from(beat.as_millis()).unwrap();
    members.on_row(NOW, "owner", MemberRow { beat_ms, ..member(1) });
    let mut now = NOW;
    for _ in 0..20 {
        now += Duration::from_millis(100);
        members.on_contact(now);
    }
    assert!(!members.live(now, "owner"));
    assert!(members.live(now, "idle1"));
    assert!(members.beat_interval(false) > beat);
}

#[test]
fn a_late_row_of_an_earlier_start_does_not_count_as_a_heartbeat() {
    let mut members = Members::new("h1".to_owned());
    members.on_contact(NOW);
    members.on_row(NOW, "h2", MemberRow { incarnation: 2, ..member(1) });
    let mut now = NOW;
    for beat in 2..20 {
        now += Duration::from_millis(200);
        members.on_contact(now);
        members.on_row(now, "h2", member(beat));
    }
    assert!(!members.live(now, "h2"));
}

#[test]
fn entries_are_as_many_as_the_load_asks_for_and_near() {
    let mut members = Members::new("h0".to_owned());
    members.on_contact(NOW);
    for index in 0..20 {
        let zone = if index % 2 == 0 { "zone-b" } else { "zone-c" };
        let row =
            MemberRow { zone: zone.to_owned(), front: format!("{zone}/{index}"), ..member(1) };
        members.on_row(NOW, &format!("h{index}"), row);
    }
    let few = members.entries(NOW, &location(), 64);
    assert_eq!(few.len(), 4);
    assert!(few.iter().all(|address| address.starts_with("zone-b")), "{few:?}");
    let busy = MemberRow { requests_per_s: 630, ..member(2) };
    members.on_row(NOW, "h1", MemberRow { zone: "zone-c".to_owned(), ..busy });
    assert_eq!(members.entries(NOW, &location(), 64).len(), 9);
    assert_eq!(members.entries(NOW, &location(), 5).len(), 5);
}

#[test]
fn calls_are_relayed_by_the_nearest_live_daemons() {
    let mut members = Members::new("h0".to_owned());
    members.on_contact(NOW);
    for index in 0..20 {
        let zone = ["zone-a", "zone-b", "zone-c"][index % 3];
        let row =
            MemberRow { zone: zone.to_owned(), peers: format!("{zone}/{index}"), ..member(1) };
        members.on_row(NOW, &format!("h{index}"), row);
    }
    let relays = members.relays(NOW, &location());
    assert_eq!(relays.len(), 6);
    assert!(relays.iter().all(|address| address.starts_with("zone-a")), "{relays:?}");
    assert!(!relays.contains(&"zone-a/0".to_owned()), "a daemon does not ask itself");
}

#[test]
fn heartbeats_of_400_daemons_stay_within_the_rates_of_the_store() {
    let mut members = Members::new("h0".to_owned());
    (0..400).for_each(|index| members.on_row(NOW, &format!("h{index}"), member(1)));
    let rate = 400.0 / members.beat_interval(false).as_secs_f64();
    assert!(rate <= 50.0, "{rate} writes a second");
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
        resumable: false,
        single_version: false,
        targets: vec![Target { service: service.to_owned(), weight: 1 }],
    })
}

#[test]
fn the_longest_prefix_of_the_host_takes_a_request() {
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

/// A connection costs a server's time: among servers that answer alike, one with an open
/// connection is chosen, but not one that is much slower.
#[test]
fn a_server_with_an_open_connection_is_preferred_to_one_that_is_a_little_faster() {
    let mut backends = Backends::default();
    for (id, millis) in [("s1", 40), ("s2", 30)] {
        backends.upsert(backend(id, 1));
        backends.started(id);
        backends.ended(NOW, id, Ended::Answered(Duration::from_millis(millis)));
    }
    let location = location();
    let want = ServerQuery { service: "desk", location: &location, tried: &[] };
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
    assert_eq!(clock.ms(NOW), 0);
    clock.on_reply(NOW, 5_000);
    // Read 900 ms before it arrived.
    clock.on_reply(NOW + Duration::from_secs(1), 5_100);
    assert_eq!(clock.ms(NOW + Duration::from_secs(2)), 7_000);
    assert_eq!(clock.local(NOW + Duration::from_secs(2), 4_500), NOW - Duration::from_millis(500));
    assert_eq!(
        clock.local(NOW + Duration::from_secs(2), 8_000),
        NOW + Duration::from_secs(3),
        "another daemon's clock may be ahead"
    );
}

#[test]
fn the_drift_of_clocks_does_not_add_up() {
    let mut clock = StoreClock::default();
    // The store's clock is slower by a thousandth.
    for second in 0..1_000 {
        clock.on_reply(NOW + Duration::from_secs(second), 5_000 + second * 999);
    }
    let error = clock.ms(NOW + Duration::from_secs(999)) - (5_000 + 999 * 999);
    assert!(error <= 60, "{error} ms");
}

#[test]
fn a_server_that_fails_what_it_runs_gets_one_request_at_a_time_until_one_succeeds() {
    let mut backends = Backends::default();
    backends.upsert(backend("s1", 1));
    backends.started("s1");
    backends.ended(NOW, "s1", Ended::Erred);
    assert!(backends.usable(NOW, "s1"), "one request may fail at every server");
    assert_eq!(backends.capacity("s1"), 6);

    backends.started("s1");
    backends.ended(NOW, "s1", Ended::Erred);
    assert!(!backends.usable(NOW, "s1"));
    let later = NOW + Duration::from_millis(450);
    assert!(backends.usable(later, "s1"));
    assert_eq!(backends.capacity("s1"), 1, "a trial");
    backends.started("s1");
    backends.ended(later, "s1", Ended::Erred);
    assert!(!backends.usable(later + Duration::from_millis(450), "s1"), "pauses grow");

    let last = later + Duration::from_secs(1);
    backends.started("s1");
    backends.ended(last, "s1", Ended::Done);
    assert!(backends.usable(last, "s1"));
    assert_eq!(backends.capacity("s1"), 6);
}
