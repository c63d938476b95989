//! Series of crashes of all servers, then calm: every sample of a step and of a job is owed, so it
//! is placed again within the longest delays that crashes cause.

#[path = "support/serving.rs"]
mod serving;
#[path = "support/sizes.rs"]
mod sizes;

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_core::{
    backends::{Backend, Backends, HeldModel},
    dispatch::{AttemptEvent, Class, DispatchAction, Dispatcher, Work, WorkEvent, WorkId},
    job::{JobAction, JobPolicy, JobSpec, Jobs, RunEnd, RunId, SampleSpec, ScoreEnd, Scorer},
    pick::LocalityPick,
    quarantine::{self, QuarantineAction},
    weights::Plan,
    Now,
};
use buckthornfall_proto::{check, messages::EngineState};
use buckthornfall_standins::table::Rows;
use bytes::Bytes;
use rand::{rngs::SmallRng, Rng, SeedableRng};

const SERVERS: usize = 8;
const SAMPLES: usize = 40;
const TICK: Duration = Duration::from_millis(50);
const CALM_AT: Now = Duration::from_secs(120);
/// Longest backoff of a hosted server after failures, and of a sample after interrupted runs.
const JOB_BOUND: Duration = Duration::from_millis(4_000 + 1_000);
/// Longest delay before a step retries a sample, and the interval between reports of a server.
const STEP_BOUND: Duration = Duration::from_millis(6_400 + 1_000);
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// First delay before a step retries a sample; doubles up to five times.
const STEP_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A dispatcher whose owner resubmits failed samples as a step does.
struct Steps {
    now: Now,
    dispatcher: Dispatcher<LocalityPick>,
    table: Rows,
    incarnation: u64,
    next_work: WorkId,
    /// Sample of each submitted work item.
    samples: BTreeMap<WorkId, usize>,
    /// When each waiting sample is submitted again.
    due: BTreeMap<usize, Now>,
    failures: Vec<u32>,
    /// Attempts in flight, with their servers.
    running: BTreeMap<String, String>,
    finished: usize,
}

impl Steps {
    fn new() -> Steps {
        let manifest = check::manifest_value(sizes::manifest(SERVERS, 1, 0)).expect("valid");
        Steps {
            now: Duration::from_secs(100),
            dispatcher: serving::dispatcher(&manifest, 1, &state(1)),
            table: Rows::default(),
            incarnation: 1,
            next_work: 0,
            samples: BTreeMap::new(),
            due: (0..SAMPLES).map(|sample| (sample, Duration::ZERO)).collect(),
            failures: vec![0; SAMPLES],
            running: BTreeMap::new(),
            finished: 0,
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        let due: Vec<_> =
            self.due.iter().filter(|(_, at)| **at <= self.now).map(|(sample, _)| *sample).collect();
        let mut out = Vec::new();
        for sample in due {
            self.due.remove(&sample);
            self.next_work += 1;
            self.samples.insert(self.next_work, sample);
            let work = Work {
                class: Class::Rollout,
                fingerprint: sample as u64,
                deadline: self.now + Duration::from_secs(600),
                ..serving::completion(self.next_work)
            };
            if self.dispatcher.submit(self.now, work, &mut out).is_err() {
                self.on_failed(self.next_work);
            }
        }
        self.dispatcher.tick(self.now, &mut out);
        self.perform(out);
    }

    fn report_all(&mut self) {
        let mut out = Vec::new();
        for server in self.servers() {
            self.dispatcher.on_report(self.now, &server, state(self.incarnation), &mut out);
        }
        self.perform(out);
    }

    fn servers(&self) -> Vec<String> {
        let model = self.dispatcher.fleet().iter().filter(|server| server.service == "model");
        model.map(|server| server.info.name.clone()).collect()
    }

    fn crash_all(&mut self) {
        self.incarnation += 1;
        for (attempt, server) in std::mem::take(&mut self.running) {
            let mut out = Vec::new();
            let broken = AttemptEvent::Broken { reason: "connection reset".to_owned() };
            self.dispatcher.on_attempt(self.now, &attempt, broken, &mut out);
            self.dispatcher.on_unreachable(self.now, &server, &mut out);
            self.perform(out);
        }
    }

    fn finish_all(&mut self) {
        for attempt in std::mem::take(&mut self.running).into_keys() {
            let mut out = Vec::new();
            let finished = AttemptEvent::Finished;
            self.dispatcher.on_attempt(self.now, &attempt, finished, &mut out);
            self.perform(out);
        }
    }

    fn perform(&mut self, actions: Vec<DispatchAction>) {
        for action in actions {
            let mut out = Vec::new();
            match action {
                DispatchAction::Start { attempt, server, .. } => {
                    self.running.insert(attempt, server);
                }
                DispatchAction::Cancel { attempt } => drop(self.running.remove(&attempt)),
                DispatchAction::Isolate { attempt, .. } => {
                    self.dispatcher.on_isolated(self.now, &attempt, true, &mut out);
                }
                DispatchAction::Quarantine(QuarantineAction::Read { fingerprint }) => {
                    let reply = Ok(self.table.read(&quarantine::key(fingerprint)));
                    self.dispatcher.on_quarantine_read(self.now, fingerprint, &reply, &mut out);
                }
                DispatchAction::Quarantine(QuarantineAction::Txn { fingerprint, txn }) => {
                    let reply = Ok(self.table.run(&txn));
                    self.dispatcher.on_quarantine_txn(self.now, fingerprint, &reply, &mut out);
                }
                DispatchAction::Emit { work, event: WorkEvent::Finished { .. } } => {
                    self.samples.remove(&work);
                    self.finished += 1;
                }
                DispatchAction::Emit { work, event: WorkEvent::Failed { .. } } => {
                    self.on_failed(work);
                }
                _ => {}
            }
            self.perform(out);
        }
    }

    fn on_failed(&mut self, work: WorkId) {
        let Some(sample) = self.samples.remove(&work) else { return };
        let delay = STEP_RETRY_DELAY * 2u32.pow(self.failures[sample].min(5));
        self.failures[sample] += 1;
        self.due.insert(sample, self.now + delay);
    }
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

/// Guards against samples that are quarantined because their servers crashed by themselves.
#[test]
fn samples_of_a_step_are_placed_again_after_a_series_of_server_crashes() {
    let mut steps = Steps::new();
    let mut next_crash = steps.now + Duration::from_millis(400);
    let mut next_report = steps.now;
    while steps.now < CALM_AT + STEP_BOUND {
        steps.tick();
        if steps.now >= next_report {
            next_report = steps.now + REPORT_INTERVAL;
            steps.report_all();
        }
        if steps.now >= next_crash && steps.now < CALM_AT {
            next_crash = steps.now + Duration::from_millis(400);
            steps.crash_all();
        }
        if steps.now >= CALM_AT {
            steps.finish_all();
        }
    }
    let waiting: Vec<_> = steps.due.keys().collect();
    assert_eq!(steps.finished, SAMPLES, "never placed again: {waiting:?}");
}

fn scorer(sample: usize) -> Scorer {
    Scorer {
        id: format!("score-{sample}"),
        host: "host".to_owned(),
        path: "/score/".to_owned(),
        body: Bytes::new(),
    }
}

fn job() -> JobSpec {
    let sample = |n: usize| SampleSpec {
        id: format!("sample-{n}"),
        path: "/drafts/".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
        group: format!("group-{}", n / 4),
        expected_tokens: 10,
        scorer: Some(scorer(n)),
    };
    JobSpec {
        model: "drafts".to_owned(),
        min_version: 1,
        target_groups: SAMPLES / 4,
        samples: (0..SAMPLES).map(sample).collect(),
    }
}

fn backend(n: usize, started_ms: u64) -> Backend {
    Backend {
        id: format!("server-{n}"),
        service: "engines".to_owned(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: "zone-a".to_owned(),
        slots: 8,
        draining: false,
        started_ms,
        spot: false,
        software: String::new(),
        models: vec![HeldModel { name: "drafts".to_owned(), version: 1 }],
    }
}

/// Guards against samples of a job that are not placed or not scored again after their servers
/// crashed.
#[test]
fn samples_of_a_job_are_placed_and_scored_again_after_a_series_of_server_crashes() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut now = Duration::from_secs(100);
        let mut backends = Backends::default();
        (0..SERVERS).for_each(|n| backends.upsert(backend(n, 1)));
        let mut jobs = Jobs::default();
        let policy = JobPolicy {
            service: "engines".to_owned(),
            max_attempts: 3,
            priority: 0,
            single_version: seed % 2 == 0,
            give_up_at: now + Duration::from_secs(600),
            accepted: now,
        };
        jobs.open(now, "job", job(), policy, &[], Default::default());
        let mut running: Vec<RunId> = Vec::new();
        let mut listed = 0;
        let mut started_ms = 1;
        while now < CALM_AT + JOB_BOUND {
            now += TICK;
            let is_calm = now >= CALM_AT;
            let mut out = Vec::new();
            if !is_calm && rng.random_bool(0.15) {
                let end = if rng.random_bool(0.9) { RunEnd::Broken } else { RunEnd::Refused };
                for run in std::mem::take(&mut running) {
                    jobs.on_run_end(now, &mut backends, run, &end, &mut out);
                }
                // Some servers start again under their id.
                started_ms += 1;
                let restarted = rng.random_range(0..SERVERS);
                backends.upsert(backend(restarted, started_ms));
            }
            if is_calm {
                for run in std::mem::take(&mut running) {
                    assert!(jobs.on_head(run, 1));
                    jobs.on_event(now, &mut backends, run, 1, Bytes::from_static(b"x"), None);
                    jobs.on_run_end(now, &mut backends, run, &RunEnd::Complete, &mut out);
                }
            }
            jobs.tick(now, &mut backends, &Plan::default(), &mut out);
            while let Some(action) = out.pop() {
                match action {
                    JobAction::Run { run, .. } => running.push(run),
                    JobAction::Cancel { run, .. } | JobAction::Move { run } => {
                        running.retain(|known| *known != run);
                    }
                    JobAction::Score { job, sample, .. } => {
                        let end = match is_calm {
                            true => ScoreEnd::Scored("proof".to_owned()),
                            false => ScoreEnd::NoAnswer,
                        };
                        jobs.on_scored(now, &job, sample, end, &mut out);
                    }
                    JobAction::Append { batch, job } => {
                        listed += batch.results.iter().filter(|result| result.complete).count();
                        let end = buckthornfall_core::job::AppendEnd::Done;
                        jobs.on_appended(now, &job, end, &mut out);
                    }
                    JobAction::ReadLog { .. } => {}
                    JobAction::GaveUp { sample, reason, .. } => {
                        panic!("seed {seed}: {sample} was given up: {reason:?}");
                    }
                }
            }
        }
        assert_eq!(listed, SAMPLES, "seed {seed}: listed after the crashes");
    }
}
