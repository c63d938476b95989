//! Extreme numbers in what others state: the logic behind the decoders neither panics nor wraps.

use std::time::Duration;

use buckthornfall_core::{
    admission::TokenBucket,
    backends::{Backend, Backends, HeldModel, Location},
    job::Text,
    lease::{Lease, LeaseAction},
    members::Members,
    peer_choice::PeerChoice,
    store::StoreClock,
    usage,
    weights::{WeightController, LEASE_TIMES},
    Now,
};
use buckthornfall_proto::messages::{
    LeaseRow, MemberRow, MemberState, ProgressRow, Row, TxnAnswer,
};
use bytes::Bytes;
use proptest::{prelude::*, test_runner::RngSeed};

fn extreme_u64() -> impl Strategy<Value = u64> {
    let bounds = [0, 1, 1 << 31, 1 << 32, 1 << 53, 1 << 63, u64::MAX];
    (prop::sample::select(bounds.to_vec()), -2_i64..3).prop_map(|(n, d)| n.saturating_add_signed(d))
}

fn extreme_u32() -> impl Strategy<Value = u32> {
    extreme_u64().prop_map(|n| u32::try_from(n).unwrap_or(u32::MAX))
}

/// Numbers of at least 0.
fn extreme_f64() -> impl Strategy<Value = f64> {
    let values = [0.0, f64::from_bits(1), f64::MIN_POSITIVE, 1e-20, 1.0, 1e9, 1e20, 1e308];
    prop::sample::select(values.to_vec())
}

fn member() -> impl Strategy<Value = MemberRow> {
    let numbers = (extreme_u64(), extreme_u64(), extreme_u32(), extreme_u32(), extreme_u32());
    numbers.prop_map(|(incarnation, beat, beat_ms, store_ms, requests_per_s)| MemberRow {
        front: "127.0.0.1:1".to_owned(),
        peers: "127.0.0.1:2".to_owned(),
        zone: "z".to_owned(),
        state: MemberState::Serving,
        incarnation,
        beat,
        beat_ms,
        store_ms,
        requests_per_s,
    })
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(20_261_207),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a panic at rates near zero: no such time fits into a duration.
    #[test]
    fn token_buckets_bear_any_rate(
        rate in extreme_f64(), next in extreme_f64(), burst in extreme_f64(), amount in extreme_f64(),
    ) {
        for mut bucket in [TokenBucket::new(Now::ZERO, rate, burst), TokenBucket::empty(Now::ZERO, rate, burst)] {
            let now = Duration::from_secs(1);
            let wait = bucket.wait(now, amount);
            prop_assert!(now.checked_add(wait).is_some());
            if let Err(wait) = bucket.take(now, amount) {
                prop_assert!(now.checked_add(wait).is_some());
            }
            bucket.set_rate(now, next, burst);
            bucket.charge(now, amount);
            let _ = (bucket.wait(now, amount), bucket.has_tokens(now));
        }
    }

    /// Guards against a panic at the ids of events, and against a text that goes on after a wrapped one.
    #[test]
    fn texts_bear_any_event_id(first in extreme_u64(), next in extreme_u64(), count in 0..3_usize) {
        let row = ProgressRow {
            sample: "s".to_owned(),
            first,
            events: vec!["e".to_owned(); count],
            versions: vec![u64::MAX],
            software: String::new(),
        };
        let mut text = Text::default();
        text.restore(&row);
        text.restore(&ProgressRow { first: next, ..row });
        text.set_version(u64::MAX);
        let last = text.last_event();
        let is_taken = text.push(next, Bytes::from_static(b"e"));
        let follows = last.map_or(next <= 1, |last| last.checked_add(1) == Some(next));
        prop_assert_eq!(is_taken, follows);
        let _ = text.first_event();
    }

    #[test]
    fn clocks_of_the_store_bear_any_reading(readings in prop::collection::vec(extreme_u64(), 1..4), at in extreme_u64()) {
        let mut clock = StoreClock::default();
        let mut now = Duration::from_secs(1);
        for reading in readings {
            clock.on_reply(now, reading);
            now += Duration::from_secs(20);
        }
        let local = clock.to_local(now, at);
        let _ = (clock.now_ms(now), clock.to_clock_ms(now, local));
    }

    /// Guards against a panic in the answers of the directory and in the choice of daemons.
    #[test]
    fn rows_of_daemons_bear_any_number(rows in prop::collection::vec(member(), 1..5)) {
        let mut members = Members::new("h0".to_owned());
        let now = Duration::from_millis(10);
        members.on_contact(now);
        for (index, row) in rows.into_iter().enumerate() {
            members.on_row(now, &format!("h{index}"), row);
        }
        let regions = [("z".to_owned(), "r".to_owned())].into_iter().collect();
        let location = Location { zone: "z".to_owned(), regions };
        let addresses = members.entry_addresses(now, &location, 64);
        prop_assert_eq!(addresses.is_empty(), members.serving(now).count() == 0);
        let _ = (members.relays(now, &location), members.owner(now, "m"));
        let _ = PeerChoice::default().choose(now, &members, &location, "s", &[]);
    }

    #[test]
    fn counts_of_usage_do_not_wrap(counts in prop::collection::vec(extreme_u64(), 1..4), window in extreme_u64()) {
        let mut total = usage::Counts::new();
        for count in &counts {
            usage::add(&mut total, &[("a".to_owned(), *count)].into_iter().collect());
        }
        let exact: u128 = counts.iter().map(|count| u128::from(*count)).sum();
        prop_assert_eq!(u128::from(total["a"]), exact.min(u128::from(u64::MAX)));
        let _ = usage::window_end(window, Duration::from_secs(5));
    }

    /// Guards against a panic in the scheduler of the daemon that holds the duties.
    #[test]
    fn plans_bear_jobs_of_any_size(tokens in prop::collection::vec(extreme_u64(), 2..5), version in extreme_u64()) {
        let mut backends = Backends::default();
        for index in 0..4 {
            backends.upsert(Backend {
                id: format!("i-{index}"),
                service: "s".to_owned(),
                addr: "127.0.0.1:1".parse().unwrap(),
                zone: "z".to_owned(),
                slots: 8,
                draining: false,
                started_ms: version,
                spot: false,
                software: String::new(),
                models: ["a", "b"].map(|name| HeldModel { name: name.to_owned(), version }).to_vec(),
            });
        }
        let mut controller = WeightController::default();
        let now = Duration::from_secs(1);
        for (index, tokens) in tokens.iter().enumerate() {
            controller.on_job(now, ["a", "b"][index % 2], *tokens, version);
        }
        controller.on_named("a", u64::MAX);
        let mut out = Vec::new();
        controller.tick(now, 1, &["a".to_owned(), "b".to_owned()], &backends, &mut out);
        let assigned = ["a", "b"].map(|model| controller.plan().servers(model).len());
        prop_assert!(assigned.iter().all(|count| *count > 0), "{:?}", assigned);
    }

    /// Guards against a fencing number that wraps: a lower one after a higher one.
    #[test]
    fn leases_bear_any_row(fence in extreme_u64(), renewals in extreme_u64(), version in 1..u64::MAX) {
        let mut lease = Lease::new("x", "me", LEASE_TIMES);
        let mut out = Vec::new();
        let mut now = Duration::from_secs(10);
        lease.tick(now, true, &mut out);
        let row = |row: &LeaseRow, version| {
            Row { key: "lease/x".to_owned(), value: serde_json::to_string(row).unwrap(), version }
        };
        let free = LeaseRow { holder: String::new(), fence, renewals, attempt: String::new() };
        lease.on_read(now, &Ok(row(&free, version)), &mut out);
        let attempt = out.iter().find_map(|action| match action {
            LeaseAction::Txn { attempt, txn } => Some((attempt.clone(), txn.clone())),
            LeaseAction::Read => None,
        });
        let Some((attempt, txn)) = attempt else {
            prop_assert_eq!(fence, u64::MAX);
            return Ok(());
        };
        let mut own: LeaseRow = serde_json::from_str(&txn.writes[0].value).unwrap();
        prop_assert!(own.fence > fence);
        own.renewals = renewals;
        let rows = vec![row(&own, version.saturating_add(1))];
        lease.on_txn(now, &attempt, &Ok(TxnAnswer { committed: true, rows }), &mut out);
        now += LEASE_TIMES.interval;
        lease.tick(now, true, &mut out);
    }
}
