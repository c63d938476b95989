//! Requests that crash servers are not sent for ever.

use std::time::Duration;

use buckthornfall_core::suspects::{Suspects, MAX_CRASHES};

const NOW: Duration = Duration::from_secs(100);
const LATER: Duration = Duration::from_secs(104);

#[test]
fn a_request_is_sent_nowhere_after_three_crashes_at_any_daemons() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    assert!(here.may_run(NOW, 7));
    let mut count = 0;
    for _ in 1..MAX_CRASHES {
        count = here.on_crash(NOW, 7);
    }
    assert!(here.may_run(LATER, 7));
    there.on_shared(NOW, 7, count);
    assert_eq!(there.on_crash(NOW, 7), MAX_CRASHES);
    here.on_shared(NOW, 7, MAX_CRASHES);
    assert!(!here.may_run(LATER, 7) && !there.may_run(LATER, 7));
    assert!(here.may_run(LATER, 8), "other requests go on");
}

#[test]
fn tries_that_go_on_just_then_are_not_cut_off() {
    let mut suspects = Suspects::default();
    for _ in 0..MAX_CRASHES {
        suspects.on_crash(NOW, 7);
    }
    assert!(suspects.may_run(NOW + Duration::from_millis(300), 7));
    assert!(!suspects.may_run(NOW + Duration::from_millis(1_300), 7));
}

#[test]
fn an_answer_clears_a_request() {
    let mut suspects = Suspects::default();
    for _ in 0..MAX_CRASHES {
        suspects.on_crash(NOW, 7);
    }
    suspects.on_answer(7);
    assert!(suspects.may_run(LATER, 7));
}

#[test]
fn an_old_shared_count_changes_nothing_and_the_number_is_bounded() {
    let mut suspects = Suspects::default();
    for _ in 0..MAX_CRASHES {
        suspects.on_crash(NOW, 7);
    }
    suspects.on_shared(LATER, 7, 1);
    assert!(!suspects.may_run(LATER, 7));
    for request in 100..3_000 {
        suspects.on_crash(LATER, request);
    }
    assert!(suspects.may_run(LATER, 7), "the oldest is forgotten first");
}
