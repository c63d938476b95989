//! How a test run is judged by KNOWN-RED.txt.

#[path = "../src/known_red.rs"]
#[allow(dead_code, reason = "the runner is not tested, only its judgement")]
mod known_red;

use std::collections::BTreeSet;

use known_red::{judge, Error, Outcome};

fn outcome(lines: &[&str]) -> Outcome {
    let mut outcome = Outcome::default();
    lines.iter().for_each(|line| outcome.read(line));
    outcome
}

fn listed(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn a_run_without_failures_is_accepted() {
    let outcome = outcome(&["running 1 test", "test a ... ok"]);
    assert!(judge(&listed(&[]), &outcome, true).is_ok());
}

#[test]
fn a_listed_failure_is_passed_over() {
    let outcome = outcome(&["test a ... ok", "test b ... FAILED"]);
    assert!(judge(&listed(&["b"]), &outcome, false).is_ok());
}

#[test]
fn any_other_failure_fails_the_run() {
    let outcome = outcome(&["test a ... FAILED", "test b ... FAILED"]);
    let result = judge(&listed(&["b"]), &outcome, false);
    assert!(matches!(result, Err(Error::Failed { tests }) if tests == listed(&["a"])));
}

#[test]
fn a_listed_test_that_passes_fails_the_run() {
    let outcome = outcome(&["test a ... ok"]);
    let result = judge(&listed(&["a"]), &outcome, true);
    assert!(matches!(result, Err(Error::TurnedGreen { .. })));
}

#[test]
fn a_listed_test_that_did_not_run_fails_the_run() {
    let result = judge(&listed(&["a"]), &outcome(&[]), true);
    assert!(matches!(result, Err(Error::NotRun { .. })));
}

#[test]
fn a_run_that_breaks_without_a_failed_test_fails() {
    let result = judge(&listed(&[]), &outcome(&["test a ... ok"]), false);
    assert!(matches!(result, Err(Error::Broken)));
}
