//! Batch jobs: listing of results, recovery from failures, and giving up samples.

use std::time::Duration;

use buckthornfall_core::{
    backends::{Backend, Backends, HeldModel},
    job::{
        restore_texts, AppendEnd, GiveUp, JobAction, JobPolicy, JobSpec, Jobs, RunEnd, RunId,
        SampleSpec, ScoreEnd, Scorer,
    },
    weights::Plan,
    Now,
};
use buckthornfall_proto::messages::{PlanEntry, PlanRow};
use bytes::Bytes;

const MODEL: &str = "drafts";
const SERVICE: &str = "engines";

struct Harness {
    now: Now,
    jobs: Jobs,
    backends: Backends,
    plan: Plan,
}

impl Harness {
    fn new(servers: &[(&str, u64)]) -> Harness {
        let mut backends = Backends::default();
        servers.iter().for_each(|(id, version)| backends.upsert(backend(id, *version)));
        let now = Duration::from_secs(100);
        Harness { now, jobs: Jobs::default(), backends, plan: Plan::default() }
    }

    fn open(&mut self, id: &str, spec: JobSpec) {
        let policy = self.policy();
        self.jobs.open(self.now, id, spec, policy, &[], Default::default());
    }

    fn policy(&self) -> JobPolicy {
        JobPolicy {
            service: SERVICE.to_owned(),
            max_attempts: 3,
            priority: 0,
            single_version: false,
            give_up_at: self.now + Duration::from_secs(40),
            accepted: self.now,
        }
    }

    fn tick(&mut self) -> Vec<JobAction> {
        let mut out = Vec::new();
        self.jobs.tick(self.now, &mut self.backends, &self.plan, &mut out);
        out
    }

    /// Opens a job of two samples and returns their runs, each with one event received.
    fn run_two_samples(&mut self) -> Vec<RunId> {
        self.open("job", spec(1, vec![sample("a", "g", 10), sample("b", "g", 9)]));
        let runs = started_runs(&self.tick(), None);
        for run in &runs {
            assert!(self.jobs.on_head(*run, 1));
            assert!(self.event(*run, 1, None));
        }
        runs
    }

    fn advance(&mut self, millis: u64) -> Vec<JobAction> {
        self.now += Duration::from_millis(millis);
        self.tick()
    }

    fn event(&mut self, run: RunId, id: u64, version: Option<u64>) -> bool {
        let data = Bytes::from(format!("event {id}"));
        self.jobs.on_event(self.now, &mut self.backends, run, id, data, version)
    }

    fn end(&mut self, run: RunId, end: &RunEnd) -> Vec<JobAction> {
        let mut out = Vec::new();
        self.jobs.on_run_end(self.now, &mut self.backends, run, end, &mut out);
        out
    }

    /// Delivers the events `from..=to` at a fixed interval.
    fn stream(&mut self, run: RunId, from: u64, to: u64, interval_ms: u64) {
        for id in from..=to {
            self.now += Duration::from_millis(interval_ms);
            assert!(self.event(run, id, None), "event {id} was rejected");
        }
    }
}

fn backend(id: &str, version: u64) -> Backend {
    Backend {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: "zone-a".to_owned(),
        slots: 2,
        draining: false,
        started_ms: 1,
        spot: false,
        software: String::new(),
        models: vec![HeldModel { name: MODEL.to_owned(), version }],
    }
}

fn sample(id: &str, group: &str, expected_tokens: u64) -> SampleSpec {
    SampleSpec {
        id: id.to_owned(),
        path: "/drafts/".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
        group: group.to_owned(),
        expected_tokens,
        scorer: None,
    }
}

/// Maximum size of a progress row.
const ROW_BYTES: usize = 48_000;

fn spec(min_version: u64, samples: Vec<SampleSpec>) -> JobSpec {
    JobSpec { model: MODEL.to_owned(), min_version, target_groups: 1, samples }
}

/// Returns the started runs, on the given server or on any.
fn started_runs(actions: &[JobAction], on_server: Option<&str>) -> Vec<RunId> {
    let runs = actions.iter().filter_map(|action| match action {
        JobAction::Run { run, server, .. } if on_server.is_none_or(|id| id == server) => Some(*run),
        _ => None,
    });
    runs.collect()
}

fn first_run(actions: &[JobAction]) -> (RunId, String, Option<u64>) {
    let run = actions.iter().find_map(|action| match action {
        JobAction::Run { run, server, after, .. } => Some((*run, server.clone(), *after)),
        _ => None,
    });
    run.unwrap_or_else(|| panic!("no run was started: {actions:?}"))
}

fn appended(actions: &[JobAction]) -> Vec<(usize, Vec<String>)> {
    let batches = actions.iter().filter_map(|action| match action {
        JobAction::Append { batch, .. } => {
            Some((batch.first, batch.results.iter().map(|r| r.text.clone()).collect()))
        }
        _ => None,
    });
    batches.collect()
}

#[test]
fn an_interrupted_run_resumes_on_another_server_after_its_last_event() {
    let mut harness = Harness::new(&[("s1", 1), ("s2", 1)]);
    harness.open("job", spec(1, vec![sample("a", "g", 10)]));
    let (run, first, after) = first_run(&harness.tick());
    assert_eq!(after, None);
    assert!(harness.jobs.on_head(run, 1));
    harness.stream(run, 1, 3, 40);
    harness.end(run, &RunEnd::Broken);
    let (run, second, after) = first_run(&harness.advance(60));
    assert_ne!(first, second);
    assert_eq!(after, Some(3));
    assert!(harness.jobs.on_head(run, 2));
    assert!(!harness.event(run, 5, None), "an event after a gap must be rejected");
    assert!(harness.event(run, 4, None));
    harness.end(run, &RunEnd::Complete);
    let actions = harness.tick();
    let JobAction::Append { batch, .. } = &actions[0] else { panic!("{actions:?}") };
    assert_eq!(batch.results[0].text, "event 1\nevent 2\nevent 3\nevent 4");
    assert_eq!(batch.results[0].versions, [1, 2]);
}

#[test]
fn a_run_with_an_old_version_is_rejected() {
    let mut harness = Harness::new(&[("s1", 4)]);
    harness.open("job", spec(4, vec![sample("a", "g", 10)]));
    let (run, ..) = first_run(&harness.tick());
    assert!(!harness.jobs.on_head(run, 3));
}

#[test]
fn a_server_with_an_old_version_is_not_chosen() {
    let mut harness = Harness::new(&[("s1", 3)]);
    harness.open("job", spec(4, vec![sample("a", "g", 10)]));
    assert_eq!(harness.tick(), []);
}

#[test]
fn a_refusal_delays_the_server_and_not_the_sample() {
    let mut harness = Harness::new(&[("s1", 1), ("s2", 1)]);
    harness.open("job", spec(1, vec![sample("a", "g", 10)]));
    let (run, first, _) = first_run(&harness.tick());
    harness.end(run, &RunEnd::Refused);
    let (_, second, _) = first_run(&harness.tick());
    assert_ne!(first, second);
}

#[test]
fn a_run_on_a_slow_server_moves_to_a_faster_one_without_running_twice() {
    let mut harness = Harness::new(&[("s1", 1), ("s2", 1)]);
    harness.open("job", spec(1, vec![sample("a", "g", 10), sample("b", "g", 9)]));
    let actions = harness.tick();
    let runs: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            JobAction::Run { run, server, .. } => Some((*run, server.clone())),
            _ => None,
        })
        .collect();
    for (run, _) in &runs {
        assert!(harness.jobs.on_head(*run, 1));
    }
    for id in 1..=60 {
        harness.now += Duration::from_millis(40);
        assert!(harness.event(runs[0].0, id, None));
        if id % 4 == 0 {
            assert!(harness.event(runs[1].0, id / 4, None));
        }
    }
    let actions = harness.tick();
    assert_eq!(actions[0], JobAction::Move { run: runs[1].0 });
    let (_, server, after) = first_run(&actions);
    assert_eq!((server, after), (runs[0].1.clone(), Some(15)));
    assert!(!harness.event(runs[1].0, 16, None), "events of the moved run must be rejected");
}

#[test]
fn runs_do_not_move_between_equally_fast_servers() {
    let mut harness = Harness::new(&[("s1", 1), ("s2", 1)]);
    harness.open("job", spec(1, vec![sample("a", "g", 10)]));
    let (run, ..) = first_run(&harness.tick());
    assert!(harness.jobs.on_head(run, 1));
    for id in 1..=200 {
        // Event intervals vary by 50 % around their mean.
        harness.now += Duration::from_millis(if id % 2 == 0 { 20 } else { 60 });
        assert!(harness.event(run, id, None));
        assert_eq!(harness.tick(), []);
    }
}

#[test]
fn scorer_failures_are_limited_by_the_route_of_the_scorer() {
    let mut harness = Harness::new(&[("s1", 1)]);
    let scorer = Scorer {
        id: "score".to_owned(),
        host: "host".to_owned(),
        path: "/score/".to_owned(),
        body: Bytes::new(),
    };
    let sample = SampleSpec { scorer: Some(scorer), ..sample("a", "g", 10) };
    harness.open("job", spec(1, vec![sample]));
    let (run, ..) = first_run(&harness.tick());
    assert!(harness.jobs.on_head(run, 1));
    assert!(harness.event(run, 1, None));
    harness.end(run, &RunEnd::Complete);
    let mut out = Vec::new();
    for tries in 0..4 {
        let actions = harness.advance(100);
        let score = JobAction::Score { job: "job".to_owned(), sample: 0, tries };
        assert_eq!(actions, [score], "the sample's route allows 3 failures, the scorer's route 4");
        harness.jobs.on_scored(harness.now, "job", 0, ScoreEnd::Failed { most: 4 }, &mut out);
    }
    let reason = GiveUp::ScorerFailures;
    let gave_up = JobAction::GaveUp { job: "job".to_owned(), sample: "a".to_owned(), reason };
    assert_eq!(out, [gave_up]);
}

#[test]
fn a_sample_is_given_up_after_max_attempts_failures() {
    let mut harness = Harness::new(&[("s1", 1), ("s2", 1)]);
    harness.open("job", spec(1, vec![sample("a", "g", 10)]));
    let mut reasons = Vec::new();
    for _ in 0..3 {
        let (run, ..) = first_run(&harness.advance(1_100));
        reasons.extend(harness.end(run, &RunEnd::Failed));
    }
    let reason = GiveUp::Failures;
    let gave_up = JobAction::GaveUp { job: "job".to_owned(), sample: "a".to_owned(), reason };
    assert_eq!(reasons, [gave_up]);
    let actions = harness.tick();
    let JobAction::Append { batch, .. } = &actions[0] else { panic!("{actions:?}") };
    assert!(!batch.results[0].complete);
}

#[test]
fn interrupted_runs_do_not_give_up_a_sample_before_its_deadline() {
    let mut harness = Harness::new(&[("s1", 1)]);
    harness.open("job", spec(1, vec![sample("a", "g", 10)]));
    let give_up_at = harness.policy().give_up_at;
    while harness.now < give_up_at {
        let actions = harness.advance(300);
        let gave_up = actions.iter().any(|a| matches!(a, JobAction::GaveUp { .. }));
        assert_eq!(gave_up, harness.now >= give_up_at);
        for action in actions {
            if let JobAction::Run { run, .. } = action {
                harness.end(run, &RunEnd::Broken);
            }
        }
    }
}

#[test]
fn an_append_with_unknown_outcome_is_retried_unchanged() {
    let mut harness = Harness::new(&[("s1", 1)]);
    let runs = harness.run_two_samples();
    harness.end(runs[0], &RunEnd::Complete);
    let first = appended(&harness.tick());
    let mut out = Vec::new();
    harness.jobs.on_appended(harness.now, "job", AppendEnd::Unknown, &mut out);
    harness.end(runs[1], &RunEnd::Complete);
    let retried = appended(&harness.advance(200));
    assert_eq!(first, retried, "the results for a position must not change");
    harness.jobs.on_appended(harness.now, "job", AppendEnd::Done, &mut out);
    assert_eq!(appended(&out)[0].0, 1, "the other result must get the next position");
}

#[test]
fn results_listed_by_another_owner_are_not_listed_again() {
    let mut harness = Harness::new(&[("s1", 1)]);
    let runs = harness.run_two_samples();
    harness.end(runs[0], &RunEnd::Complete);
    let actions = harness.tick();
    let JobAction::Append { batch, .. } = &actions[0] else { panic!("{actions:?}") };
    let listed = batch.results.clone();
    let mut out = Vec::new();
    harness.jobs.on_appended(harness.now, "job", AppendEnd::Conflict, &mut out);
    assert_eq!(out, [JobAction::ReadLog { job: "job".to_owned() }]);
    out.clear();
    harness.jobs.on_log("job", &listed, &mut out);
    harness.end(runs[1], &RunEnd::Complete);
    let next = appended(&harness.tick());
    assert_eq!(next.len(), 1);
    assert_eq!((next[0].0, next[0].1.len()), (1, 1));
}

#[test]
fn closing_a_job_cancels_its_runs_and_retains_their_texts_for_a_later_job() {
    let mut harness = Harness::new(&[("s1", 2)]);
    harness.open("first", spec(1, vec![sample("a", "g", 10)]));
    let (run, ..) = first_run(&harness.tick());
    assert!(harness.jobs.on_head(run, 2));
    harness.stream(run, 1, 5, 40);
    let mut out = Vec::new();
    harness.jobs.close(harness.now, "first", &mut out);
    assert_eq!(out, [JobAction::Cancel { run, server: "s1".to_owned() }]);
    assert!(!harness.event(run, 6, None));
    harness.open("second", spec(2, vec![sample("a", "g", 10)]));
    let (_, _, after) = first_run(&harness.tick());
    assert_eq!(after, Some(5));
}

#[test]
fn a_retained_text_with_an_old_version_is_regenerated() {
    let mut harness = Harness::new(&[("s1", 2)]);
    harness.open("first", spec(1, vec![sample("a", "g", 10)]));
    let (run, ..) = first_run(&harness.tick());
    assert!(harness.jobs.on_head(run, 1));
    harness.stream(run, 1, 5, 40);
    harness.jobs.close(harness.now, "first", &mut Vec::new());
    harness.open("second", spec(2, vec![sample("a", "g", 10)]));
    let (_, _, after) = first_run(&harness.tick());
    assert_eq!(after, None);
}

#[test]
fn a_new_owner_resumes_from_the_saved_progress() {
    let mut harness = Harness::new(&[("s1", 1)]);
    harness.open("job", spec(1, vec![sample("a", "g", 10)]));
    let (run, ..) = first_run(&harness.tick());
    assert!(harness.jobs.on_head(run, 1));
    let mut rows = Vec::new();
    for to in [10, 20] {
        harness.stream(run, to - 9, to, 40);
        let saving = harness.jobs.unsaved("job", ROW_BYTES).remove(0);
        harness.jobs.on_saved("job", &saving);
        rows.push(("owner-1".to_owned(), saving.row));
    }
    assert_eq!(harness.jobs.unsaved("job", ROW_BYTES), []);
    let texts = restore_texts(&rows);
    assert_eq!(texts["a"].last_event(), Some(20));
    let mut next = Harness::new(&[("s1", 1)]);
    let policy = next.policy();
    next.jobs.open(next.now, "job", spec(1, vec![sample("a", "g", 10)]), policy, &[], texts);
    let (_, _, after) = first_run(&next.tick());
    assert_eq!(after, Some(20));
}

/// Guards against progress that is never saved as the store refuses a row of all of it, and against versions of
/// events that a row does not hold.
#[test]
fn long_progress_is_saved_in_rows_that_the_store_takes() {
    let mut harness = Harness::new(&[("s1", 1)]);
    harness.open("job", spec(1, vec![sample("a", "g", 10)]));
    let (run, ..) = first_run(&harness.tick());
    assert!(harness.jobs.on_head(run, 1));
    harness.stream(run, 1, 400, 1);
    assert!(harness.jobs.on_head(run, 2));
    harness.stream(run, 401, 800, 1);
    assert_eq!(harness.jobs.unsaved("job", 100), [], "no event fits into such a row");
    let mut rows = Vec::new();
    while let Some(saving) = harness.jobs.unsaved("job", 4_096).pop() {
        assert!(serde_json::to_vec(&saving.row).unwrap().len() <= 4_096);
        let last = saving.row.first + saving.row.events.len() as u64 - 1;
        assert_eq!(saving.row.versions, if last <= 400 { vec![1] } else { vec![1, 2] });
        harness.jobs.on_saved("job", &saving);
        rows.push(("owner-1".to_owned(), saving.row));
    }
    assert!(rows.len() > 3, "{} rows", rows.len());
    let text = &restore_texts(&rows)["a"];
    assert_eq!((text.last_event(), text.versions()), (Some(800), &[1, 2][..]));
}

#[test]
fn saved_rows_of_two_owners_are_never_joined() {
    let mut harness = Harness::new(&[("s1", 1)]);
    harness.open("job", spec(1, vec![sample("a", "g", 10)]));
    let (run, ..) = first_run(&harness.tick());
    assert!(harness.jobs.on_head(run, 1));
    harness.stream(run, 1, 10, 40);
    let first = harness.jobs.unsaved("job", ROW_BYTES).remove(0);
    harness.jobs.on_saved("job", &first);
    harness.stream(run, 11, 20, 40);
    let second = harness.jobs.unsaved("job", ROW_BYTES).remove(0);
    let rows = [("owner-1".to_owned(), first.row), ("owner-2".to_owned(), second.row)];
    let texts = restore_texts(&rows);
    assert_eq!(
        texts["a"].last_event(),
        Some(10),
        "the row of owner-2 does not start at the first event"
    );
}

#[test]
fn groups_carried_over_start_first_and_the_longest_group_last() {
    let mut harness = Harness::new(&[("s1", 1)]);
    let long = |id: &str| sample(id, "long", 900);
    harness.open("first", spec(1, vec![long("c")]));
    harness.jobs.close(harness.now, "first", &mut Vec::new());
    let samples = vec![sample("a", "short", 50), sample("b", "middle", 400), long("c")];
    harness.open("second", JobSpec { target_groups: 2, ..spec(1, samples) });
    let started: Vec<_> = harness
        .tick()
        .into_iter()
        .filter_map(|action| match action {
            JobAction::Run { sample, .. } => Some(sample),
            _ => None,
        })
        .collect();
    assert_eq!(started, [2, 0], "two slots: the carried-over group, then the shortest one");
}

#[test]
fn a_restarted_text_is_not_saved_as_a_continuation_of_the_old_one() {
    let mut harness = Harness::new(&[("s1", 1)]);
    let policy = JobPolicy { single_version: true, ..harness.policy() };
    let job = spec(1, vec![sample("a", "g", 10)]);
    harness.jobs.open(harness.now, "job", job, policy, &[], Default::default());
    let (run, ..) = first_run(&harness.tick());
    assert!(harness.jobs.on_head(run, 1));
    harness.stream(run, 1, 10, 40);
    let saving = harness.jobs.unsaved("job", ROW_BYTES).remove(0);
    harness.jobs.on_saved("job", &saving);
    harness.stream(run, 11, 12, 40);
    let in_flight = harness.jobs.unsaved("job", ROW_BYTES).remove(0);
    harness.end(run, &RunEnd::Broken);
    let (run, _, after) = first_run(&harness.advance(1_000));
    assert_eq!(after, None);
    harness.jobs.on_saved("job", &in_flight);
    assert!(harness.jobs.on_head(run, 2));
    harness.stream(run, 1, 20, 40);
    assert_eq!(harness.jobs.unsaved("job", ROW_BYTES).remove(0).row.first, 1);
}

/// A server that refuses runs while it loads weights must not receive other samples either, until
/// its directory entry shows the new version.
#[test]
fn a_loading_server_gets_no_runs_until_its_entry_shows_the_version() {
    let mut harness = Harness::new(&[("s1", 1), ("s2", 1)]);
    harness.plan = plan(&["s1", "s2"]);
    harness.jobs.on_named(harness.now, MODEL, 2);
    let samples = (0..4).map(|n| sample(&format!("a{n}"), "g", 10)).collect();
    harness.open("j", spec(1, samples));
    let started = harness.tick();
    // s1 loads first, so the first samples, which are the longest, go to s2.
    let servers = servers_with_new_runs(&started);
    assert_eq!(servers, ["s2", "s2", "s1", "s1"]);
    for run in started_runs(&started, Some("s1")) {
        harness.end(run, &RunEnd::Refused);
    }
    assert!(
        servers_with_new_runs(&harness.advance(500)).is_empty(),
        "s1 is loading and s2 is full"
    );
    harness.backends.upsert(backend("s1", 2));
    assert_eq!(servers_with_new_runs(&harness.advance(10)), ["s1", "s1"]);
}

/// Without a new version to load, a refusal means that the server was briefly full.
#[test]
fn a_refusing_server_that_is_not_loading_is_retried_soon() {
    let mut harness = Harness::new(&[("s1", 2)]);
    harness.plan = plan(&["s1"]);
    harness.jobs.on_named(harness.now, MODEL, 2);
    harness.open("j", spec(1, vec![sample("a", "g", 10)]));
    let (run, ..) = first_run(&harness.tick());
    harness.end(run, &RunEnd::Refused);
    assert_eq!(servers_with_new_runs(&harness.advance(150)), ["s1"]);
}

fn plan(servers: &[&str]) -> Plan {
    let servers = servers.iter().map(|id| (*id).to_owned()).collect();
    let entry = PlanEntry { model: MODEL.to_owned(), servers };
    Plan::from_row(PlanRow { fence: 1, entries: vec![entry] })
}

fn servers_with_new_runs(actions: &[JobAction]) -> Vec<String> {
    let servers = actions.iter().filter_map(|action| match action {
        JobAction::Run { server, .. } => Some(server.clone()),
        _ => None,
    });
    servers.collect()
}

/// A server that fails every run at once always has free slots, so selection by load alone would
/// send it run after run until samples reach their maximum number of failures.
#[test]
fn a_server_that_fails_all_runs_does_not_cause_samples_to_be_given_up() {
    let mut harness = Harness::new(&[("s1", 1), ("s2", 1), ("s3", 1), ("s4", 1)]);
    harness.open("j", spec(1, (0..60).map(|n| sample(&format!("a{n:02}"), "g", 10)).collect()));
    let mut running: Vec<(u64, RunId, String)> = Vec::new();
    let mut gave_up = 0;
    for tick in 0..1_500 {
        let mut actions = harness.advance(10);
        let (due, later) = running.into_iter().partition(|(until, ..)| *until <= tick);
        running = later;
        for (_, run, server) in due {
            let failed = server == "s3";
            let end = if failed { RunEnd::Failed } else { RunEnd::Complete };
            actions.extend(harness.end(run, &end));
        }
        for action in actions {
            match action {
                JobAction::Run { run, server, .. } => {
                    let duration = if server == "s3" { 1 } else { 50 };
                    running.push((tick + duration, run, server));
                }
                JobAction::GaveUp { .. } => gave_up += 1,
                JobAction::Append { .. } => {
                    let mut out = Vec::new();
                    harness.jobs.on_appended(harness.now, "j", AppendEnd::Done, &mut out);
                }
                _ => {}
            }
        }
    }
    assert!(running.is_empty(), "all runs must have ended");
    assert_eq!(gave_up, 0);
}

/// Guards against a server whose stream of whole events has no end: the text was kept until memory ran out, or
/// until it had more rows than a result may have.
#[test]
fn a_text_without_end_is_discarded_and_generated_again() {
    let mut h = Harness::new(&[("s1", 1)]);
    h.open("job", spec(1, vec![sample("a", "g", 10)]));
    let (run, ..) = first_run(&h.tick());
    assert!(h.jobs.on_head(run, 1));
    let data = Bytes::from(vec![b'x'; 10_000]);
    let mut push = |id| h.jobs.on_event(h.now, &mut h.backends, run, id, data.clone(), None);
    let accepted = (1..=1_000).take_while(|id| push(*id)).count();
    assert!((50..100).contains(&accepted), "{accepted} events were accepted");
    h.end(run, &RunEnd::Broken);
    let (run, _, after) = first_run(&h.advance(3_000));
    assert_eq!(after, None, "the text was resumed");
    assert!(h.jobs.on_head(run, 1));
    h.stream(run, 1, 2, 1);
    h.end(run, &RunEnd::Complete);
    assert_eq!(appended(&h.tick()), [(0, vec!["event 1\nevent 2".to_owned()])]);
}

/// A server that is taken away gets no new runs from its notice on; its runs go on elsewhere with their
/// text shortly before it is gone.
#[test]
fn runs_move_from_a_server_that_is_taken_away() {
    let mut h = Harness::new(&[("i-1", 1)]);
    let runs = h.run_two_samples();
    h.backends.upsert(backend("i-2", 1));
    h.backends.upsert(Backend { draining: true, spot: true, ..backend("i-1", 1) });
    h.backends.on_notice(h.now, "i-1", Duration::from_millis(2_000));
    assert_eq!(h.tick(), []);
    let out = h.advance(1_100);
    let moved = |run: &RunId| out.contains(&JobAction::Move { run: *run });
    assert!(runs.iter().all(moved), "{out:?}");
    let starts = out.iter().filter(
        |action| matches!(action, JobAction::Run { server, after: Some(1), .. } if server == "i-2"),
    );
    assert_eq!(starts.count(), 2, "{out:?}");
}
