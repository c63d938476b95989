//! Limit of the log lines per event and second.

use std::time::Duration;

use buckthornfall_daemon::log_budget::{DroppedLines, LogBudget, MAX_LINES_PER_SECOND};

#[test]
fn flood_of_one_event_is_limited_and_counted_apart_from_other_events() {
    let mut budget = LogBudget::default();
    assert_eq!(budget.advance(Duration::from_millis(100)), []);
    let attempted = 1_000;
    let admitted = (0..attempted).filter(|_| budget.admit("run_ended")).count();
    assert_eq!(admitted, MAX_LINES_PER_SECOND as usize);
    assert!(budget.admit("store_lost"));
    assert_eq!(budget.advance(Duration::from_millis(900)), []);
    let dropped =
        DroppedLines { event: "run_ended".to_owned(), count: attempted - MAX_LINES_PER_SECOND };
    assert_eq!(budget.advance(Duration::from_millis(1_000)), [dropped]);
    assert!(budget.admit("run_ended"));
    assert_eq!(budget.advance(Duration::from_secs(2)), []);
}
