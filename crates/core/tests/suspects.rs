//! Requests that crash servers are blocked after a few crashes.

use std::time::Duration;

use buckthornfall_core::suspects::{Suspects, MAX_CRASHES};

const NOW: Duration = Duration::from_secs(100);
const LATER: Duration = Duration::from_secs(104);

#[test]
fn a_request_is_blocked_after_three_crashes_across_daemons() {
    let (mut local, mut remote) = (Suspects::default(), Suspects::default());
    assert!(local.may_run(NOW, 7));
    let mut count = 0;
    for _ in 1..MAX_CRASHES {
        count = local.on_crash(NOW, 7);
    }
    assert!(local.may_run(LATER, 7));
    remote.on_shared_count(NOW, 7, count);
    assert_eq!(remote.on_crash(NOW, 7), MAX_CRASHES);
    local.on_shared_count(NOW, 7, MAX_CRASHES);
    assert!(!local.may_run(LATER, 7) && !remote.may_run(LATER, 7));
    assert!(local.may_run(LATER, 8), "other requests are not blocked");
}

#[test]
fn attempts_in_progress_are_not_blocked() {
    let mut suspects = Suspects::default();
    for _ in 0..MAX_CRASHES {
        suspects.on_crash(NOW, 7);
    }
    assert!(suspects.may_run(NOW + Duration::from_millis(300), 7));
    assert!(!suspects.may_run(NOW + Duration::from_millis(1_300), 7));
}

#[test]
fn an_answer_clears_the_count() {
    let mut suspects = Suspects::default();
    for _ in 0..MAX_CRASHES {
        suspects.on_crash(NOW, 7);
    }
    suspects.on_answer(7);
    assert!(suspects.may_run(LATER, 7));
}

#[test]
fn a_lower_shared_count_is_ignored_and_the_oldest_counts_are_evicted() {
    let mut suspects = Suspects::default();
    for _ in 0..MAX_CRASHES {
        suspects.on_crash(NOW, 7);
    }
    suspects.on_shared_count(LATER, 7, 1);
    assert!(!suspects.may_run(LATER, 7));
    for request in 100..3_000 {
        suspects.on_crash(LATER, request);
    }
    assert!(suspects.may_run(LATER, 7), "the oldest count is evicted first");
}
