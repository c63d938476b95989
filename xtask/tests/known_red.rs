//! Acceptance of test runs with failures that are listed in KNOWN-RED.txt.

#[path = "../src/known_red.rs"]
#[allow(dead_code, reason = "only the check of the results is tested, not the runner")]
mod known_red;

use std::collections::BTreeSet;

use known_red::{check_results, Error, TestResults};

fn parse_results(lines: &[&str]) -> TestResults {
    let mut results = TestResults::default();
    lines.iter().for_each(|line| results.parse_line(line));
    results
}

fn known_failures(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn a_run_without_failures_is_accepted() {
    let results = parse_results(&["running 1 test", "test a ... ok"]);
    assert!(check_results(&known_failures(&[]), &results, true).is_ok());
}

#[test]
fn a_listed_failure_is_accepted() {
    let results = parse_results(&["test a ... ok", "test b ... FAILED"]);
    assert!(check_results(&known_failures(&["b"]), &results, false).is_ok());
}

#[test]
fn an_unlisted_failure_fails_the_run() {
    let results = parse_results(&["test a ... FAILED", "test b ... FAILED"]);
    let result = check_results(&known_failures(&["b"]), &results, false);
    assert!(matches!(result, Err(Error::Failed { tests }) if tests == known_failures(&["a"])));
}

#[test]
fn a_listed_test_that_passes_fails_the_run() {
    let results = parse_results(&["test a ... ok"]);
    let result = check_results(&known_failures(&["a"]), &results, true);
    assert!(matches!(result, Err(Error::UnexpectedPass { .. })));
}

#[test]
fn a_listed_test_that_did_not_run_fails_the_run() {
    let result = check_results(&known_failures(&["a"]), &parse_results(&[]), true);
    assert!(matches!(result, Err(Error::NotRun { .. })));
}

#[test]
fn a_failed_command_without_a_failed_test_fails_the_run() {
    let result = check_results(&known_failures(&[]), &parse_results(&["test a ... ok"]), false);
    assert!(matches!(result, Err(Error::NoFailedTest)));
}
