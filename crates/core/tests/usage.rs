//! Counts of usage, their reports, and the lease that allows them.

use std::time::Duration;

use buckthornfall_core::{
    duties::{Duties, LeaseState},
    usage::{self, ReportTimes, Tally},
    Now,
};

const WINDOW: Duration = Duration::from_secs(5);
const TIMES: ReportTimes = ReportTimes { window: WINDOW, due: Duration::from_secs(10) };
const LONG_STEADY: Duration = Duration::from_secs(60);

#[test]
fn windows_are_counted_from_the_start_of_1970() {
    let at = Duration::from_millis;
    let windows = [0, 4_999, 5_000, 1_767_225_600_123].map(|ms| usage::window_at(at(ms), WINDOW));
    assert_eq!(windows, [0, 0, 1, 353_445_120]);
    assert_eq!(usage::window_end(353_445_120, WINDOW), at(1_767_225_605_000));
    let short = at(100);
    let window = usage::window_at(at(1_767_225_600_123), short);
    assert_eq!(usage::window_end(window, short), at(1_767_225_600_200));
}

#[test]
fn a_request_that_its_server_has_not_begun_is_not_counted() {
    let mut tally = Tally::default();
    tally.on_sent(7, "harbour");
    tally.on_sent(7, "harbour");
    tally.on_sent(7, "mill");
    tally.on_not_begun(7, "harbour");
    let unsaved = tally.unsaved();
    assert_eq!(unsaved.len(), 1);
    assert_eq!(
        unsaved[0].1.clone().into_iter().collect::<Vec<_>>(),
        [("harbour".to_owned(), 1), ("mill".to_owned(), 1)]
    );
}

/// Guards against counts that are lost because they changed while they were being stored.
#[test]
fn counts_that_change_while_they_are_stored_are_stored_again() {
    let mut tally = Tally::default();
    tally.on_sent(7, "harbour");
    let stored = tally.unsaved();
    tally.on_sent(7, "harbour");
    tally.on_saved(7, &stored[0].1);
    assert_eq!(tally.unsaved().len(), 1);
    let stored = tally.unsaved();
    tally.on_saved(7, &stored[0].1);
    assert!(tally.unsaved().is_empty());
}

#[test]
fn a_report_leaves_time_for_a_takeover_and_waits_for_a_store_that_failed() {
    let end = usage::window_end(7, WINDOW);
    let complete =
        |after_ms, steady| TIMES.is_complete(7, end + Duration::from_millis(after_ms), steady);
    assert!(!complete(3_900, LONG_STEADY));
    assert!(complete(4_000, LONG_STEADY));
    assert!(!complete(5_000, Duration::from_millis(300)), "counts may be under way");
    assert!(complete(8_000, Duration::ZERO), "the report is due");
}

/// Load: 400 daemons that all serve callers, at a store whose partitions take 200 writes a second.
#[test]
fn saves_of_400_daemons_stay_within_what_the_store_takes() {
    for daemons in [1, 9, 88, 400] {
        let interval = TIMES.save_interval(daemons);
        assert!(daemons as f64 / interval.as_secs_f64() <= 200.0, "{daemons} daemons");
        assert!(interval <= WINDOW / 2, "{daemons} daemons");
    }
}

const GAP: Duration = Duration::from_secs(3);

fn held(fence: u64, is_own_before: bool) -> LeaseState {
    LeaseState { fence: Some(fence), time_left: Duration::from_secs(1), is_own_before }
}

/// Guards against calls of two hosts that take turns within the time that must lie between them.
#[test]
fn a_new_holder_waits_before_its_first_call() {
    let at = |ms: u64| -> Now { Duration::from_millis(60_000 + ms) };
    let mut duties = Duties::default();
    assert_eq!(duties.call_fence(at(0)), None);
    for ms in (0..3_000).step_by(500) {
        duties.on_lease(at(ms), held(4, false), GAP);
        assert_eq!((duties.lease_fence(at(ms)), duties.call_fence(at(ms))), (Some(4), None));
    }
    duties.on_lease(at(3_000), held(4, false), GAP);
    assert_eq!(duties.call_fence(at(3_000)), Some(4));
    assert_eq!(duties.call_fence(at(4_000)), None, "the lease was not renewed");
    duties.on_lease(at(4_100), LeaseState { fence: None, ..held(4, false) }, GAP);
    duties.on_lease(at(4_200), held(6, false), GAP);
    assert_eq!(duties.call_fence(at(4_300)), None, "another host may have held it meanwhile");
    duties.on_lease(at(9_000), LeaseState { fence: None, ..held(4, false) }, GAP);
    duties.on_lease(at(9_100), held(7, true), GAP);
    assert_eq!(duties.call_fence(at(9_200)), Some(7), "no other host has held it");
}
