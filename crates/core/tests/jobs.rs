//! Jobs of samples: what is listed, what goes on after a failure, and what is given up.

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

struct World {
    now: Now,
    jobs: Jobs,
    backends: Backends,
    plan: Plan,
}

impl World {
    fn new(servers: &[(&str, u64)]) -> World {
        let mut backends = Backends::default();
        servers.iter().for_each(|(id, version)| backends.upsert(backend(id, *version)));
        let now = Duration::from_secs(100);
        World { now, jobs: Jobs::default(), backends, plan: Plan::default() }
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

    /// Opens a job of two samples; their runs, of which each has made an event.
    fn run_two_samples(&mut self) -> Vec<RunId> {
        self.open("job", spec(1, vec![sample("a", "g", 10), sample("b", "g", 9)]));
        let runs = runs_at(&self.tick(), None);
        for run in &runs {
            assert!(self.jobs.on_head(*run, 1));
            assert!(self.event(*run, 1, None));
        }
        runs
    }

    fn after(&mut self, millis: u64) -> Vec<JobAction> {
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

    /// Events `from..=to` at one pace.
    fn stream(&mut self, run: RunId, from: u64, to: u64, pace_ms: u64) {
        for id in from..=to {
            self.now += Duration::from_millis(pace_ms);
            assert!(self.event(run, id, None), "event {id} was not taken");
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

fn spec(min_version: u64, samples: Vec<SampleSpec>) -> JobSpec {
    JobSpec { model: MODEL.to_owned(), min_version, target_groups: 1, samples }
}

/// The runs that started, at one server or at any.
fn runs_at(actions: &[JobAction], at: Option<&str>) -> Vec<RunId> {
    let runs = actions.iter().filter_map(|action| match action {
        JobAction::Run { run, server, .. } if at.is_none_or(|at| at == server) => Some(*run),
        _ => None,
    });
    runs.collect()
}

fn run_of(actions: &[JobAction]) -> (RunId, String, Option<u64>) {
    let run = actions.iter().find_map(|action| match action {
        JobAction::Run { run, server, after, .. } => Some((*run, server.clone(), *after)),
        _ => None,
    });
    run.unwrap_or_else(|| panic!("no run among {actions:?}"))
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
fn a_broken_run_goes_on_at_another_server_after_its_last_event() {
    let mut world = World::new(&[("s1", 1), ("s2", 1)]);
    world.open("job", spec(1, vec![sample("a", "g", 10)]));
    let (run, first, after) = run_of(&world.tick());
    assert_eq!(after, None);
    assert!(world.jobs.on_head(run, 1));
    world.stream(run, 1, 3, 40);
    world.end(run, &RunEnd::Broken);
    let (run, second, after) = run_of(&world.after(60));
    assert_ne!(first, second);
    assert_eq!(after, Some(3));
    assert!(world.jobs.on_head(run, 2));
    assert!(!world.event(run, 5, None), "a gap must not be taken");
    assert!(world.event(run, 4, None));
    world.end(run, &RunEnd::Complete);
    let actions = world.tick();
    let JobAction::Append { batch, .. } = &actions[0] else { panic!("{actions:?}") };
    assert_eq!(batch.results[0].text, "event 1\nevent 2\nevent 3\nevent 4");
    assert_eq!(batch.results[0].versions, [1, 2]);
}

#[test]
fn an_old_version_is_never_taken() {
    let mut world = World::new(&[("s1", 4)]);
    world.open("job", spec(4, vec![sample("a", "g", 10)]));
    let (run, ..) = run_of(&world.tick());
    assert!(!world.jobs.on_head(run, 3));
}

#[test]
fn no_server_with_an_old_version_is_chosen() {
    let mut world = World::new(&[("s1", 3)]);
    world.open("job", spec(4, vec![sample("a", "g", 10)]));
    assert_eq!(world.tick(), []);
}

#[test]
fn a_refusal_pauses_the_server_and_not_the_sample() {
    let mut world = World::new(&[("s1", 1), ("s2", 1)]);
    world.open("job", spec(1, vec![sample("a", "g", 10)]));
    let (run, first, _) = run_of(&world.tick());
    world.end(run, &RunEnd::Refused);
    let (_, second, _) = run_of(&world.tick());
    assert_ne!(first, second);
}

#[test]
fn a_run_at_a_server_that_turned_slow_moves_to_a_faster_one_and_no_two_run() {
    let mut world = World::new(&[("s1", 1), ("s2", 1)]);
    world.open("job", spec(1, vec![sample("a", "g", 10), sample("b", "g", 9)]));
    let actions = world.tick();
    let runs: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            JobAction::Run { run, server, .. } => Some((*run, server.clone())),
            _ => None,
        })
        .collect();
    for (run, _) in &runs {
        assert!(world.jobs.on_head(*run, 1));
    }
    for id in 1..=60 {
        world.now += Duration::from_millis(40);
        assert!(world.event(runs[0].0, id, None));
        if id % 4 == 0 {
            assert!(world.event(runs[1].0, id / 4, None));
        }
    }
    let actions = world.tick();
    assert_eq!(actions[0], JobAction::Move { run: runs[1].0 });
    let (_, server, after) = run_of(&actions);
    assert_eq!((server, after), (runs[0].1.clone(), Some(15)));
    assert!(!world.event(runs[1].0, 16, None), "the run that moved is over");
}

#[test]
fn equal_servers_exchange_no_runs() {
    let mut world = World::new(&[("s1", 1), ("s2", 1)]);
    world.open("job", spec(1, vec![sample("a", "g", 10)]));
    let (run, ..) = run_of(&world.tick());
    assert!(world.jobs.on_head(run, 1));
    for id in 1..=200 {
        // The time of single events differs by half around its mean.
        world.now += Duration::from_millis(if id % 2 == 0 { 20 } else { 60 });
        assert!(world.event(run, id, None));
        assert_eq!(world.tick(), []);
    }
}

#[test]
fn a_scorer_may_fail_as_often_as_its_own_route_allows() {
    let mut world = World::new(&[("s1", 1)]);
    let scorer = Scorer {
        id: "score".to_owned(),
        host: "host".to_owned(),
        path: "/score/".to_owned(),
        body: Bytes::new(),
    };
    let sample = SampleSpec { scorer: Some(scorer), ..sample("a", "g", 10) };
    world.open("job", spec(1, vec![sample]));
    let (run, ..) = run_of(&world.tick());
    assert!(world.jobs.on_head(run, 1));
    assert!(world.event(run, 1, None));
    world.end(run, &RunEnd::Complete);
    let mut out = Vec::new();
    for tries in 0..4 {
        let asked = world.after(100);
        let score = JobAction::Score { job: "job".to_owned(), sample: 0, tries };
        assert_eq!(asked, [score], "the sample's route allows 3 failures, its scorer's 4");
        world.jobs.on_scored(world.now, "job", 0, ScoreEnd::Failed { most: 4 }, &mut out);
    }
    let reason = GiveUp::ScorerFailures;
    let gave_up = JobAction::GaveUp { job: "job".to_owned(), sample: "a".to_owned(), reason };
    assert_eq!(out, [gave_up]);
}

#[test]
fn samples_are_given_up_only_for_a_reason_that_allows_it() {
    let mut world = World::new(&[("s1", 1), ("s2", 1)]);
    world.open("job", spec(1, vec![sample("a", "g", 10)]));
    let mut reasons = Vec::new();
    for _ in 0..3 {
        let (run, ..) = run_of(&world.after(1_100));
        reasons.extend(world.end(run, &RunEnd::Failed));
    }
    let reason = GiveUp::Failures;
    let gave_up = JobAction::GaveUp { job: "job".to_owned(), sample: "a".to_owned(), reason };
    assert_eq!(reasons, [gave_up]);
    let actions = world.tick();
    let JobAction::Append { batch, .. } = &actions[0] else { panic!("{actions:?}") };
    assert!(!batch.results[0].complete);
}

#[test]
fn breaks_alone_never_give_a_sample_up_before_its_time() {
    let mut world = World::new(&[("s1", 1)]);
    world.open("job", spec(1, vec![sample("a", "g", 10)]));
    let give_up_at = world.policy().give_up_at;
    while world.now < give_up_at {
        let actions = world.after(300);
        let gave_up = actions.iter().any(|a| matches!(a, JobAction::GaveUp { .. }));
        assert_eq!(gave_up, world.now >= give_up_at);
        for action in actions {
            if let JobAction::Run { run, .. } = action {
                world.end(run, &RunEnd::Broken);
            }
        }
    }
}

#[test]
fn an_append_of_unknown_outcome_is_sent_again_unchanged() {
    let mut world = World::new(&[("s1", 1)]);
    let runs = world.run_two_samples();
    world.end(runs[0], &RunEnd::Complete);
    let first = appended(&world.tick());
    let mut out = Vec::new();
    world.jobs.on_appended(world.now, "job", AppendEnd::Unknown, &mut out);
    world.end(runs[1], &RunEnd::Complete);
    let again = appended(&world.after(200));
    assert_eq!(first, again, "what may fill a position must not change");
    world.jobs.on_appended(world.now, "job", AppendEnd::Done, &mut out);
    assert_eq!(appended(&out)[0].0, 1, "the other result follows at the next position");
}

#[test]
fn what_another_owner_listed_is_not_listed_again() {
    let mut world = World::new(&[("s1", 1)]);
    let runs = world.run_two_samples();
    world.end(runs[0], &RunEnd::Complete);
    let actions = world.tick();
    let JobAction::Append { batch, .. } = &actions[0] else { panic!("{actions:?}") };
    let listed = batch.results.clone();
    let mut out = Vec::new();
    world.jobs.on_appended(world.now, "job", AppendEnd::Conflict, &mut out);
    assert_eq!(out, [JobAction::ReadLog { job: "job".to_owned() }]);
    out.clear();
    world.jobs.on_log("job", &listed, &mut out);
    world.end(runs[1], &RunEnd::Complete);
    let next = appended(&world.tick());
    assert_eq!(next.len(), 1);
    assert_eq!((next[0].0, next[0].1.len()), (1, 1));
}

#[test]
fn a_closed_job_ends_its_runs_and_keeps_their_texts_for_a_later_job() {
    let mut world = World::new(&[("s1", 2)]);
    world.open("first", spec(1, vec![sample("a", "g", 10)]));
    let (run, ..) = run_of(&world.tick());
    assert!(world.jobs.on_head(run, 2));
    world.stream(run, 1, 5, 40);
    let mut out = Vec::new();
    world.jobs.close(world.now, "first", &mut out);
    assert_eq!(out, [JobAction::Cancel { run, server: "s1".to_owned() }]);
    assert!(!world.event(run, 6, None));
    world.open("second", spec(2, vec![sample("a", "g", 10)]));
    let (_, _, after) = run_of(&world.tick());
    assert_eq!(after, Some(5));
}

#[test]
fn a_kept_text_of_an_old_version_is_made_again() {
    let mut world = World::new(&[("s1", 2)]);
    world.open("first", spec(1, vec![sample("a", "g", 10)]));
    let (run, ..) = run_of(&world.tick());
    assert!(world.jobs.on_head(run, 1));
    world.stream(run, 1, 5, 40);
    world.jobs.close(world.now, "first", &mut Vec::new());
    world.open("second", spec(2, vec![sample("a", "g", 10)]));
    let (_, _, after) = run_of(&world.tick());
    assert_eq!(after, None);
}

#[test]
fn a_new_owner_goes_on_from_what_the_last_one_saved() {
    let mut world = World::new(&[("s1", 1)]);
    world.open("job", spec(1, vec![sample("a", "g", 10)]));
    let (run, ..) = run_of(&world.tick());
    assert!(world.jobs.on_head(run, 1));
    let mut rows = Vec::new();
    for to in [10, 20] {
        world.stream(run, to - 9, to, 40);
        let saving = world.jobs.unsaved("job").remove(0);
        world.jobs.on_saved("job", &saving);
        rows.push(("owner-1".to_owned(), saving.row));
    }
    assert_eq!(world.jobs.unsaved("job"), []);
    let texts = restore_texts(&rows);
    assert_eq!(texts["a"].last_event(), Some(20));
    let mut next = World::new(&[("s1", 1)]);
    let policy = next.policy();
    next.jobs.open(next.now, "job", spec(1, vec![sample("a", "g", 10)]), policy, &[], texts);
    let (_, _, after) = run_of(&next.tick());
    assert_eq!(after, Some(20));
}

#[test]
fn saved_rows_of_two_owners_are_never_joined() {
    let mut world = World::new(&[("s1", 1)]);
    world.open("job", spec(1, vec![sample("a", "g", 10)]));
    let (run, ..) = run_of(&world.tick());
    assert!(world.jobs.on_head(run, 1));
    world.stream(run, 1, 10, 40);
    let first = world.jobs.unsaved("job").remove(0);
    world.jobs.on_saved("job", &first);
    world.stream(run, 11, 20, 40);
    let second = world.jobs.unsaved("job").remove(0);
    let rows = [("owner-1".to_owned(), first.row), ("owner-2".to_owned(), second.row)];
    let texts = restore_texts(&rows);
    assert_eq!(texts["a"].last_event(), Some(10), "the row of owner-2 is no start of a text");
}

#[test]
fn groups_left_by_an_earlier_job_start_first_and_the_longest_group_last() {
    let mut world = World::new(&[("s1", 1)]);
    let long = |id: &str| sample(id, "long", 900);
    world.open("first", spec(1, vec![long("c")]));
    world.jobs.close(world.now, "first", &mut Vec::new());
    let samples = vec![sample("a", "short", 50), sample("b", "middle", 400), long("c")];
    world.open("second", JobSpec { target_groups: 2, ..spec(1, samples) });
    let started: Vec<_> = world
        .tick()
        .into_iter()
        .filter_map(|action| match action {
            JobAction::Run { sample, .. } => Some(sample),
            _ => None,
        })
        .collect();
    assert_eq!(started, [2, 0], "two slots: the group that was left, then the shortest");
}

#[test]
fn a_text_that_was_begun_again_is_not_saved_behind_the_old_one() {
    let mut world = World::new(&[("s1", 1)]);
    let policy = JobPolicy { single_version: true, ..world.policy() };
    let job = spec(1, vec![sample("a", "g", 10)]);
    world.jobs.open(world.now, "job", job, policy, &[], Default::default());
    let (run, ..) = run_of(&world.tick());
    assert!(world.jobs.on_head(run, 1));
    world.stream(run, 1, 10, 40);
    let saving = world.jobs.unsaved("job").remove(0);
    world.jobs.on_saved("job", &saving);
    world.stream(run, 11, 12, 40);
    let in_flight = world.jobs.unsaved("job").remove(0);
    world.end(run, &RunEnd::Broken);
    let (run, _, after) = run_of(&world.after(1_000));
    assert_eq!(after, None);
    world.jobs.on_saved("job", &in_flight);
    assert!(world.jobs.on_head(run, 2));
    world.stream(run, 1, 20, 40);
    assert_eq!(world.jobs.unsaved("job").remove(0).row.first, 1);
}

/// A server that refuses while it loads is not asked again until its entry shows the version; the
/// next sample does not meet it either.
#[test]
fn a_server_that_loads_is_left_alone_until_its_entry_shows_the_version() {
    let mut world = World::new(&[("s1", 1), ("s2", 1)]);
    world.plan = plan(&["s1", "s2"]);
    world.jobs.on_named(world.now, MODEL, 2);
    let samples = (0..4).map(|n| sample(&format!("a{n}"), "g", 10)).collect();
    world.open("j", spec(1, samples));
    let started = world.tick();
    // s1 loads first, so the first samples, the longest, go to the other one.
    let servers = servers_of(&started);
    assert_eq!(servers, ["s2", "s2", "s1", "s1"]);
    for run in runs_at(&started, Some("s1")) {
        world.end(run, &RunEnd::Refused);
    }
    assert!(servers_of(&world.after(500)).is_empty(), "s1 loads and s2 is full");
    world.backends.upsert(backend("s1", 2));
    assert_eq!(servers_of(&world.after(10)), ["s1", "s1"]);
}

/// Without a new version a refusal is short: the server was just full.
#[test]
fn a_server_that_refuses_without_a_load_is_asked_again_soon() {
    let mut world = World::new(&[("s1", 2)]);
    world.plan = plan(&["s1"]);
    world.jobs.on_named(world.now, MODEL, 2);
    world.open("j", spec(1, vec![sample("a", "g", 10)]));
    let (run, ..) = run_of(&world.tick());
    world.end(run, &RunEnd::Refused);
    assert_eq!(servers_of(&world.after(150)), ["s1"]);
}

fn plan(servers: &[&str]) -> Plan {
    let servers = servers.iter().map(|id| (*id).to_owned()).collect();
    let entry = PlanEntry { model: MODEL.to_owned(), servers };
    Plan::from_row(PlanRow { fence: 1, entries: vec![entry] })
}

fn servers_of(actions: &[JobAction]) -> Vec<String> {
    let servers = actions.iter().filter_map(|action| match action {
        JobAction::Run { server, .. } => Some(server.clone()),
        _ => None,
    });
    servers.collect()
}

/// A server that answers each run with a failure is free at once, so a choice by load alone gives it
/// run after run, until samples have failed as often as they may.
#[test]
fn a_server_that_fails_all_runs_costs_no_sample() {
    let mut world = World::new(&[("s1", 1), ("s2", 1), ("s3", 1), ("s4", 1)]);
    world.open("j", spec(1, (0..60).map(|n| sample(&format!("a{n:02}"), "g", 10)).collect()));
    let mut running: Vec<(u64, RunId, String)> = Vec::new();
    let mut gave_up = 0;
    for tick in 0..1_500 {
        let mut actions = world.after(10);
        let (due, later) = running.into_iter().partition(|(until, ..)| *until <= tick);
        running = later;
        for (_, run, server) in due {
            let failed = server == "s3";
            let end = if failed { RunEnd::Failed } else { RunEnd::Complete };
            actions.extend(world.end(run, &end));
        }
        for action in actions {
            match action {
                JobAction::Run { run, server, .. } => {
                    let took = if server == "s3" { 1 } else { 50 };
                    running.push((tick + took, run, server));
                }
                JobAction::GaveUp { .. } => gave_up += 1,
                JobAction::Append { .. } => {
                    let mut out = Vec::new();
                    world.jobs.on_appended(world.now, "j", AppendEnd::Done, &mut out);
                }
                _ => {}
            }
        }
    }
    assert!(running.is_empty(), "all samples are whole");
    assert_eq!(gave_up, 0);
}
