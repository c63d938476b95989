//! Limits, retries, quarantine and refusals of one daemon.

#[path = "support/sizes.rs"]
mod sizes;

use std::{collections::BTreeSet, time::Duration};

use buckthornfall_core::{
    admission::{Admission, RetryBudget},
    dispatch::{AttemptEvent, Class, DispatchAction, Dispatcher, Progress, Task, Work, WorkEvent},
    error::{ErrorKind, Refusal},
    fleet::Place,
    pick::LocalityPick,
    quarantine::{self, QuarantineAction, MAX_ISOLATED_CRASHES},
    Now,
};
use buckthornfall_proto::{
    check,
    manifest::Manifest,
    messages::{EngineState, Outcome},
};
use buckthornfall_standins::table::Rows;
use bytes::Bytes;

const SECOND: Duration = Duration::from_secs(1);

fn manifest() -> Manifest {
    check::manifest_value(sizes::manifest(8, 1, 0)).expect("the manifest is valid")
}

fn state(incarnation: u64) -> EngineState {
    EngineState {
        model: "model".to_owned(),
        tracks: Vec::new(),
        slots: 128,
        running: 0,
        queued: 0,
        draining: false,
        incarnation,
    }
}

fn dispatcher(manifest: &Manifest) -> Dispatcher<LocalityPick> {
    let place = Place { host: "entry-0".into(), zone: "zone-0".into(), region: "region-0".into() };
    let mut dispatcher = Dispatcher::new(place, 1, LocalityPick);
    let hosts = ["entry-0".to_owned()];
    dispatcher.configure(Now::ZERO, manifest, &hosts, &mut Vec::new());
    for server in servers(&dispatcher) {
        dispatcher.on_report(Now::ZERO, &server, state(1), &mut Vec::new());
    }
    dispatcher
}

fn servers(dispatcher: &Dispatcher<LocalityPick>) -> Vec<String> {
    dispatcher.fleet().iter().map(|server| server.info.name.clone()).collect()
}

fn call(id: u64, deadline: Now) -> Work {
    Work {
        id,
        service: "plain".to_owned(),
        class: Class::Interactive,
        task: Task::Call {
            operation: "look".to_owned(),
            key: String::new(),
            body: Bytes::from_static(b"permit"),
        },
        idempotent: true,
        fingerprint: id,
        prefix: 0,
        deadline,
        rank: id,
        avoid: None,
        resume: Progress::default(),
    }
}

fn starts(out: &[DispatchAction]) -> Vec<(String, String)> {
    let start = |action: &DispatchAction| match action {
        DispatchAction::Start { attempt, server, .. } => Some((attempt.clone(), server.clone())),
        _ => None,
    };
    out.iter().filter_map(start).collect()
}

fn failures(out: &[DispatchAction]) -> Vec<Refusal> {
    let failure = |action: &DispatchAction| match action {
        DispatchAction::Emit { event: WorkEvent::Failed { refusal, .. }, .. } => {
            Some(refusal.clone())
        }
        _ => None,
    };
    out.iter().filter_map(failure).collect()
}

fn connection_refused() -> AttemptEvent {
    AttemptEvent::NotRun { unreachable: true, reason: "connection refused".to_owned() }
}

#[test]
fn attempts_stay_bounded_during_a_zone_outage() {
    const REQUESTS: u64 = 1000;
    let manifest = manifest();
    let mut dispatcher = dispatcher(&manifest);
    let mut attempts = 0;
    for id in 1..=REQUESTS {
        let now = SECOND + Duration::from_millis(id);
        let mut out = Vec::new();
        // Status reports show a healthy server, but every connection is refused.
        for server in servers(&dispatcher) {
            dispatcher.on_report(now, &server, state(1), &mut out);
        }
        if dispatcher.submit(now, call(id, now + SECOND * 10), &mut out).is_err() {
            continue;
        }
        while let Some((attempt, _)) = starts(&out).first().cloned() {
            attempts += 1;
            out.clear();
            dispatcher.on_attempt(now, &attempt, connection_refused(), &mut out);
        }
    }
    let share = u64::from(manifest.limits.retry_percent);
    let bound = REQUESTS + REQUESTS * share / 100 + RetryBudget::MAX_BALANCE as u64;
    assert!(attempts <= bound, "{attempts} attempts for {REQUESTS} requests, bound {bound}");
}

#[test]
fn a_request_without_retries_left_fails_immediately_as_not_run() {
    let manifest = manifest();
    let mut dispatcher = dispatcher(&manifest);
    let mut out = Vec::new();
    dispatcher.submit(SECOND, call(1, SECOND * 30), &mut out).expect("the queue has room");
    let mut refusals = Vec::new();
    while let Some((attempt, _)) = starts(&out).first().cloned() {
        out.clear();
        dispatcher.on_attempt(SECOND, &attempt, connection_refused(), &mut out);
        refusals.extend(failures(&out));
    }
    assert_eq!(refusals.len(), 1, "{refusals:?}");
    assert_eq!(refusals[0].work_outcome(), Outcome::NotRun);
    assert!(refusals[0].answer().retry_after_ms.is_some());
    assert_eq!(dispatcher.in_flight(), 0);
}

#[test]
fn a_retry_after_a_lost_connection_is_never_reported_as_not_run() {
    let manifest = manifest();
    let mut dispatcher = dispatcher(&manifest);
    let mut out = Vec::new();
    dispatcher.submit(SECOND, call(1, SECOND * 30), &mut out).expect("the queue has room");
    let (attempt, server) = starts(&out)[0].clone();
    out.clear();
    let broken = AttemptEvent::Broken { reason: "connection reset".to_owned() };
    dispatcher.on_attempt(SECOND, &attempt, broken, &mut out);
    assert!(failures(&out).is_empty(), "the request waits for the status report of the server");
    dispatcher.on_report(SECOND, &server, state(1), &mut out);
    let mut refusals = Vec::new();
    while let Some((attempt, _)) = starts(&out).last().cloned() {
        out.clear();
        dispatcher.on_attempt(SECOND, &attempt, connection_refused(), &mut out);
        refusals.extend(failures(&out));
    }
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].work_outcome(), Outcome::Unknown);
}

#[test]
fn a_non_idempotent_request_is_not_retried_after_a_lost_connection() {
    let manifest = manifest();
    let mut dispatcher = dispatcher(&manifest);
    let mut out = Vec::new();
    let work = Work { idempotent: false, ..call(1, SECOND * 30) };
    dispatcher.submit(SECOND, work, &mut out).expect("the queue has room");
    let (attempt, _) = starts(&out)[0].clone();
    out.clear();
    let broken = AttemptEvent::Broken { reason: "connection reset".to_owned() };
    dispatcher.on_attempt(SECOND, &attempt, broken, &mut out);
    assert!(starts(&out).is_empty());
    assert_eq!(failures(&out)[0].work_outcome(), Outcome::Unknown);
}

/// Carries out the quarantine actions of a dispatcher until none is left.
fn run_quarantine_actions(
    dispatcher: &mut Dispatcher<LocalityPick>,
    table: &mut Rows,
    out: &mut Vec<DispatchAction>,
) {
    let is_quarantine = |action: &DispatchAction| matches!(action, DispatchAction::Quarantine(_));
    while let Some(position) = out.iter().position(is_quarantine) {
        match out.remove(position) {
            DispatchAction::Quarantine(QuarantineAction::Read { fingerprint }) => {
                let reply = Ok(table.read(&quarantine::key(fingerprint)));
                dispatcher.on_quarantine_read(SECOND, fingerprint, &reply, out);
            }
            DispatchAction::Quarantine(QuarantineAction::Txn { fingerprint, txn }) => {
                let reply = Ok(table.run(&txn));
                dispatcher.on_quarantine_txn(SECOND, fingerprint, &reply, out);
            }
            _ => {}
        }
    }
}

#[test]
fn a_request_that_crashes_plain_servers_is_quarantined_without_isolate_calls() {
    let manifest = manifest();
    let mut dispatcher = dispatcher(&manifest);
    let mut table = Rows::default();
    let mut out = Vec::new();
    dispatcher.submit(SECOND, call(1, SECOND * 30), &mut out).expect("the queue has room");
    let mut crashes = 0;
    let mut refusals = Vec::new();
    while let Some((attempt, server)) = starts(&out).last().cloned() {
        out.clear();
        crashes += 1;
        let broken = AttemptEvent::Broken { reason: "connection reset".to_owned() };
        dispatcher.on_attempt(SECOND, &attempt, broken, &mut out);
        dispatcher.on_report(SECOND, &server, state(1 + crashes), &mut out);
        run_quarantine_actions(&mut dispatcher, &mut table, &mut out);
        assert!(!out.iter().any(|action| matches!(action, DispatchAction::Isolate { .. })));
        refusals.extend(failures(&out));
    }
    assert_eq!(crashes as usize, 1 + MAX_ISOLATED_CRASHES);
    assert_eq!(refusals.len(), 1, "{refusals:?}");
    assert_eq!(refusals[0].kind, ErrorKind::Quarantined);
    let again =
        dispatcher.submit(SECOND, Work { fingerprint: 1, ..call(2, SECOND * 30) }, &mut out);
    assert_eq!(again.expect_err("the fingerprint is quarantined").kind, ErrorKind::Quarantined);
}

#[test]
fn a_late_response_is_dropped_and_counted() {
    let manifest = manifest();
    let mut dispatcher = dispatcher(&manifest);
    let mut out = Vec::new();
    dispatcher.submit(SECOND, call(1, SECOND * 2), &mut out).expect("the queue has room");
    let (attempt, _) = starts(&out)[0].clone();
    out.clear();
    dispatcher.tick(SECOND * 3, &mut out);
    assert_eq!(failures(&out)[0].kind, ErrorKind::ExpiredRunning);
    out.clear();
    let answer = AttemptEvent::Answered { status: 200, body: Bytes::from_static(b"late") };
    dispatcher.on_attempt(SECOND * 4, &attempt, answer, &mut out);
    assert!(out.is_empty(), "{out:?}");
    assert_eq!(dispatcher.stats().late_events, 1);
}

#[test]
fn a_full_queue_refuses_immediately_with_a_retry_delay() {
    let mut manifest = manifest();
    manifest.limits.queue_length = 3;
    manifest.plain_services[0].servers.truncate(1);
    manifest.plain_services[0].servers[0].slots = 1;
    let mut dispatcher = dispatcher(&manifest);
    let mut refusals = Vec::new();
    for id in 1..=10 {
        refusals.extend(dispatcher.submit(SECOND, call(id, SECOND * 30), &mut Vec::new()).err());
    }
    // With one slot, two interactive requests run and three are queued.
    assert_eq!(refusals.len(), 5);
    for refusal in &refusals {
        assert_eq!(refusal.kind, ErrorKind::Overloaded);
        assert_eq!(refusal.work_outcome(), Outcome::NotRun);
        assert!(refusal.answer().retry_after_ms.is_some_and(|ms| ms > 0));
    }
}

#[test]
fn a_request_expected_to_miss_its_deadline_is_refused_early() {
    let mut manifest = manifest();
    manifest.plain_services[0].servers.truncate(1);
    manifest.plain_services[0].servers[0].slots = 1;
    let mut dispatcher = dispatcher(&manifest);
    for id in 1..=40 {
        dispatcher
            .submit(SECOND, call(id, SECOND * 30), &mut Vec::new())
            .expect("the queue has room");
    }
    let refusal = dispatcher
        .submit(SECOND, call(41, SECOND * 2), &mut Vec::new())
        .expect_err("the queue is too long for one second");
    assert_eq!(refusal.kind, ErrorKind::Overloaded);
    assert!(refusal.retry_after > Some(SECOND));
}

#[test]
fn callers_have_separate_limits() {
    let manifest = manifest();
    let mut admission = Admission::default();
    admission.configure(Now::ZERO, &manifest.callers);
    let admitted = (0..1000).filter(|_| admission.admit(SECOND, "caller-0").is_ok()).count();
    assert_eq!(admitted, manifest.callers[0].max_in_flight as usize);
    assert!(admission.admit(SECOND, "caller-1").is_ok());
    let unknown = admission.admit(SECOND, "nobody").expect_err("the caller is not in the manifest");
    assert_eq!(unknown.kind, ErrorKind::Forbidden);
}

#[test]
fn a_manifest_change_keeps_the_count_of_requests_in_flight() {
    let mut manifest = manifest();
    let mut admission = Admission::default();
    admission.configure(Now::ZERO, &manifest.callers);
    assert!(admission.admit(SECOND, "caller-0").is_ok());
    manifest.callers[0].max_in_flight = 1;
    admission.configure(SECOND, &manifest.callers);
    assert!(admission.admit(SECOND, "caller-0").is_err());
    admission.release("caller-0");
    assert!(admission.admit(SECOND, "caller-0").is_ok());
}

#[test]
fn error_kinds_have_unique_names_and_stable_rules() {
    let names: BTreeSet<_> = ErrorKind::ALL.iter().map(|kind| kind.rule().name).collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
    let table: Vec<_> = ErrorKind::ALL
        .iter()
        .map(|kind| {
            let rule = kind.rule();
            let after = rule.retry_after.map_or("never".to_owned(), |d| format!("{d:?}"));
            format!("{:<18} {} {:<8} {after}", rule.name, rule.status, rule.outcome.to_string())
        })
        .collect();
    insta::assert_snapshot!(table.join("\n"));
}
