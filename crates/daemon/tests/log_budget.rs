//! The bound on lines of one kind of event.

use std::time::Duration;

use buckthornfall_daemon::log_budget::{LeftOut, LogBudget, LINES_PER_SECOND};

#[test]
fn a_storm_of_one_event_leaves_room_for_the_others_and_is_counted() {
    let mut budget = LogBudget::default();
    assert_eq!(budget.advance(Duration::from_millis(100)), []);
    let storm = 1_000;
    let written = (0..storm).filter(|_| budget.admit("run_ended")).count();
    assert_eq!(written, LINES_PER_SECOND as usize);
    assert!(budget.admit("store_lost"));
    assert_eq!(budget.advance(Duration::from_millis(900)), []);
    let left_out = LeftOut { event: "run_ended".to_owned(), count: storm - LINES_PER_SECOND };
    assert_eq!(budget.advance(Duration::from_millis(1_000)), [left_out]);
    assert!(budget.admit("run_ended"));
    assert_eq!(budget.advance(Duration::from_secs(2)), []);
}
