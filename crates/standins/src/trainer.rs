//! Trainer that submits steps, pulls complete groups with a cursor, and publishes new weights.

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use buckthornfall_client::{entry::refusal, http, Client, ClientOptions};
use buckthornfall_proto::messages::{
    Cursor, EntryAnswer, GroupResult, GroupSpec, PublishWeights, PullAnswer, PullRequest, StepSpec,
};
use serde::{de::DeserializeOwned, Serialize};

use crate::engine::text;

/// Options of a trainer.
#[derive(Debug, Clone)]
pub struct TrainerOptions {
    /// Name of the trainer.
    pub name: String,
    /// Model to train.
    pub model: String,
    /// Options of its client.
    pub client: ClientOptions,
    /// Number of the first step.
    pub first_step: u64,
    /// Number of steps to run.
    pub steps: u64,
    /// Number of groups per step.
    pub groups: u32,
    /// Number of samples per group.
    pub samples: u32,
    /// Maximum length of a sample, in tokens.
    pub max_tokens: u32,
    /// Initial weight version.
    pub version: u64,
    /// Time to train on a complete step.
    pub compute_time: Duration,
    /// Staleness bound from the manifest.
    pub staleness_bound: u64,
    /// Timeout of the whole run, after which failed requests are not retried.
    pub timeout: Duration,
    /// Injects a fault: does not advance the cursor, to show that the checks detect it.
    pub inject_cursor_loss: bool,
}

/// Results observed by a trainer.
#[derive(Debug, Clone, Default)]
pub struct TrainerReport {
    /// Number of completed steps.
    pub steps: u64,
    /// Number of samples requested in all steps.
    pub expected: u64,
    /// Number of samples received.
    pub delivered: u64,
    /// Number of samples received more than once.
    pub duplicated: u64,
    /// Number of samples that exceed the staleness bound or have no version.
    pub stale: u64,
    /// Number of samples whose text does not belong to their prompt or is incomplete.
    pub foreign: u64,
    /// Number of versions behind the trainer, for each sample within the staleness bound.
    pub staleness: Vec<u64>,
    /// Time spent waiting for samples.
    pub idle: Duration,
    /// Duration of the whole run.
    pub total: Duration,
    /// Duration of each step from submission to the last sample.
    pub step_times: Vec<Duration>,
    /// Reason for giving up; `None` if the trainer completed all steps.
    pub gave_up: Option<String>,
}

const POLL_INTERVAL: Duration = Duration::from_millis(40);
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of groups in one pull.
const MAX_GROUPS_PER_PULL: u32 = 64;

/// Trainer that runs a number of steps.
pub struct Trainer {
    options: TrainerOptions,
    client: Client,
    /// Address of the daemon that coordinates this trainer, if known.
    coordinator: Option<String>,
    received: BTreeSet<(u64, u32, u32)>,
    report: TrainerReport,
    started: Instant,
}

impl Trainer {
    /// Creates a trainer.
    pub fn new(options: TrainerOptions) -> Trainer {
        Trainer {
            client: Client::new(options.client.clone()),
            options,
            coordinator: None,
            received: BTreeSet::new(),
            report: TrainerReport::default(),
            started: Instant::now(),
        }
    }

    /// Runs all steps. Stops at the first error.
    pub fn run(mut self) -> TrainerReport {
        self.started = Instant::now();
        let mut version = self.options.version;
        let steps = self.options.first_step..self.options.first_step + self.options.steps;
        for step in steps {
            if let Err(reason) = self.run_step(step, version) {
                self.report.gave_up = Some(reason);
                break;
            }
            thread::sleep(self.options.compute_time);
            version += 1;
            if let Err(reason) = self.publish(version) {
                self.report.gave_up = Some(reason);
                break;
            }
        }
        self.report.total = self.started.elapsed();
        self.report
    }

    fn run_step(&mut self, step: u64, version: u64) -> Result<(), String> {
        let spec = self.spec(step, version);
        let samples = u64::from(self.options.groups) * u64::from(self.options.samples);
        self.report.expected += samples;
        let wait_started = Instant::now();
        self.submit(&spec)?;
        let mut cursor = Cursor { step, taken: Vec::new(), weights_version: version };
        loop {
            let answer = self.pull(&spec, &cursor)?;
            for group in &answer.groups {
                self.check_group(&spec, group, version);
            }
            if !self.options.inject_cursor_loss || answer.complete {
                cursor = answer.cursor;
            }
            if answer.complete || self.has_all_samples(step, samples) {
                break;
            }
            if answer.groups.is_empty() {
                thread::sleep(POLL_INTERVAL);
            }
        }
        self.report.idle += wait_started.elapsed();
        self.report.step_times.push(wait_started.elapsed());
        self.report.steps += 1;
        Ok(())
    }

    fn has_all_samples(&self, step: u64, samples: u64) -> bool {
        self.received.range((step, 0, 0)..(step + 1, 0, 0)).count() as u64 == samples
    }

    fn spec(&self, step: u64, version: u64) -> StepSpec {
        let groups = (0..self.options.groups)
            .map(|group| GroupSpec {
                group,
                prompt: format!("{} step {step} group {group}: draft the text", self.options.name),
                samples: self.options.samples,
                max_tokens: self.options.max_tokens,
            })
            .collect();
        StepSpec { step, weights_version: version, groups }
    }

    fn submit(&mut self, spec: &StepSpec) -> Result<(), String> {
        let path = format!("/v1/trainers/{}/steps", self.options.name);
        self.call::<_, serde_json::Value>(&path, spec, None).map(|_| ())
    }

    fn pull(&mut self, spec: &StepSpec, cursor: &Cursor) -> Result<PullAnswer, String> {
        let path = format!("/v1/trainers/{}/pull", self.options.name);
        let request = PullRequest { cursor: cursor.clone(), max_groups: MAX_GROUPS_PER_PULL };
        self.call(&path, &request, Some(spec))
    }

    fn publish(&mut self, version: u64) -> Result<(), String> {
        let path = format!("/v1/models/{}/weights", self.options.model);
        let object = format!("{}-{version}", self.options.model);
        let body = PublishWeights { version, object, bytes: 0 };
        self.call::<_, serde_json::Value>(&path, &body, None).map(|_| ())
    }

    /// Calls the coordinator and retries until it succeeds. Submits the step `resubmit` again if a new
    /// coordinator does not know it.
    fn call<B: Serialize, T: DeserializeOwned>(
        &mut self,
        path: &str,
        body: &B,
        resubmit: Option<&StepSpec>,
    ) -> Result<T, String> {
        let body = serde_json::to_vec(body).expect("messages serialize to JSON");
        loop {
            let reason = match self.call_once(path, &body) {
                Ok(reply) if reply.status == 200 => {
                    return http::parse(path, &reply).map_err(|e| e.to_string());
                }
                Ok(reply) => self.handle_refusal(&reply, resubmit)?,
                Err(e) => {
                    self.coordinator = None;
                    e.to_string()
                }
            };
            if self.started.elapsed() > self.options.timeout {
                return Err(format!("{path}: {reason}"));
            }
            thread::sleep(RETRY_DELAY);
        }
    }

    fn call_once(&mut self, path: &str, body: &[u8]) -> http::Result<http::Reply> {
        match &self.coordinator {
            Some(address) => self.client.post_to(address, path, body),
            None => self.client.post(path, &[], body),
        }
    }

    fn handle_refusal(
        &mut self,
        reply: &http::Reply,
        resubmit: Option<&StepSpec>,
    ) -> Result<String, String> {
        let Some(refusal) = refusal(reply) else {
            return Ok(format!("status {}", reply.status));
        };
        self.coordinator = refusal.use_address;
        if refusal.kind == "not_found" {
            if let Some(spec) = resubmit {
                self.submit(spec)?;
            }
        }
        let fatal = ["unauthorized", "forbidden", "invalid", "old_weights", "step_exists"];
        if fatal.contains(&refusal.kind.as_str()) {
            return Err(refusal.message);
        }
        Ok(refusal.message)
    }

    fn check_group(&mut self, spec: &StepSpec, group: &GroupResult, version: u64) {
        let prompt = spec.groups.iter().find(|g| g.group == group.group).map(|g| g.prompt.as_str());
        for sample in &group.samples {
            self.report.delivered += 1;
            if !self.received.insert((group.step, group.group, sample.index)) {
                self.report.duplicated += 1;
            }
            let complete = sample.spans.last().map_or(0, |span| span.end) == sample.tokens;
            let matches_prompt =
                prompt.is_some_and(|p| text::is_answer(p, &sample.text, sample.tokens));
            if !matches_prompt || !complete {
                self.report.foreign += 1;
            }
            let oldest = sample.spans.iter().map(|span| span.version).min();
            match oldest.map(|oldest| version.saturating_sub(oldest)) {
                Some(behind) if behind <= self.options.staleness_bound => {
                    self.report.staleness.push(behind);
                }
                _ => self.report.stale += 1,
            }
        }
    }
}

/// Fetches the entry response of one daemon, for tests.
pub fn fetch_entry(address: &str) -> http::Result<EntryAnswer> {
    let client = Client::new(ClientOptions {
        daemons: vec![address.to_owned()],
        ..ClientOptions::default()
    });
    client.fetch_entry()
}
