//! A trainer: submits steps, pulls whole groups with a cursor, publishes new weights.

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

/// Settings of one trainer.
#[derive(Debug, Clone)]
pub struct TrainerOptions {
    /// Name of the trainer.
    pub name: String,
    /// Model that it trains.
    pub model: String,
    /// How it reaches the system.
    pub client: ClientOptions,
    /// First step.
    pub first_step: u64,
    /// Number of steps.
    pub steps: u64,
    /// Groups in a step.
    pub groups: u32,
    /// Samples in a group.
    pub samples: u32,
    /// Longest sample, in tokens.
    pub max_tokens: u32,
    /// Version of the weights at the start.
    pub version: u64,
    /// Time that the trainer computes with a whole step.
    pub compute: Duration,
    /// Staleness bound, as the manifest says.
    pub staleness_bound: u64,
    /// When the trainer gives up.
    pub limit: Duration,
    /// Counts taken groups wrongly: a broken trainer, to show that the checks see it.
    pub forgets_cursor: bool,
}

/// What a trainer saw.
#[derive(Debug, Clone, Default)]
pub struct TrainerReport {
    /// Steps that came whole.
    pub steps: u64,
    /// Samples that the steps hold.
    pub expected: u64,
    /// Samples that came.
    pub delivered: u64,
    /// Samples that came again.
    pub duplicated: u64,
    /// Samples older than the bound, or without a version.
    pub stale: u64,
    /// Samples whose text does not belong to their prompt.
    pub foreign: u64,
    /// Versions behind the trainer, one entry for each sample.
    pub staleness: Vec<u64>,
    /// Time in which the trainer waited for samples.
    pub idle: Duration,
    /// Time of the whole run.
    pub total: Duration,
    /// Time of each step from submission to the last sample.
    pub step_times: Vec<Duration>,
    /// Why the trainer gave up, if it did.
    pub gave_up: Option<String>,
}

const POLL: Duration = Duration::from_millis(40);
const RETRY: Duration = Duration::from_millis(200);
/// Groups asked for in one pull.
const GROUPS_PER_PULL: u32 = 64;

/// One run of a trainer.
pub struct Trainer {
    options: TrainerOptions,
    client: Client,
    /// Daemon that coordinates this trainer, as last heard.
    coordinator: Option<String>,
    seen: BTreeSet<(u64, u32, u32)>,
    report: TrainerReport,
    started: Instant,
}

impl Trainer {
    /// A trainer that has done nothing yet.
    pub fn new(options: TrainerOptions) -> Trainer {
        Trainer {
            client: Client::new(options.client.clone()),
            options,
            coordinator: None,
            seen: BTreeSet::new(),
            report: TrainerReport::default(),
            started: Instant::now(),
        }
    }

    /// Runs all steps.
    pub fn run(mut self) -> TrainerReport {
        self.started = Instant::now();
        let mut version = self.options.version;
        let steps = self.options.first_step..self.options.first_step + self.options.steps;
        for step in steps {
            if let Err(reason) = self.run_step(step, version) {
                self.report.gave_up = Some(reason);
                break;
            }
            thread::sleep(self.options.compute);
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
        let waiting = Instant::now();
        self.submit(&spec)?;
        let mut cursor = Cursor { step, taken: Vec::new(), weights_version: version };
        loop {
            let answer = self.pull(&spec, &cursor)?;
            for group in &answer.groups {
                self.check(&spec, group, version);
            }
            if !self.options.forgets_cursor || answer.complete {
                cursor = answer.cursor;
            }
            if answer.complete || self.has_whole(step, samples) {
                break;
            }
            if answer.groups.is_empty() {
                thread::sleep(POLL);
            }
        }
        self.report.idle += waiting.elapsed();
        self.report.step_times.push(waiting.elapsed());
        self.report.steps += 1;
        Ok(())
    }

    fn has_whole(&self, step: u64, samples: u64) -> bool {
        self.seen.range((step, 0, 0)..(step + 1, 0, 0)).count() as u64 == samples
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
        let request = PullRequest { cursor: cursor.clone(), max_groups: GROUPS_PER_PULL };
        self.call(&path, &request, Some(spec))
    }

    fn publish(&mut self, version: u64) -> Result<(), String> {
        let path = format!("/v1/models/{}/weights", self.options.model);
        let object = format!("{}-{version}", self.options.model);
        let body = PublishWeights { version, object, bytes: 0 };
        self.call::<_, serde_json::Value>(&path, &body, None).map(|_| ())
    }

    /// Calls the coordinator and asks again until there is an answer; a step that a new
    /// coordinator does not know is submitted again.
    fn call<B: Serialize, T: DeserializeOwned>(
        &mut self,
        path: &str,
        body: &B,
        resubmit: Option<&StepSpec>,
    ) -> Result<T, String> {
        let body = serde_json::to_vec(body).expect("messages are plain data");
        loop {
            let reason = match self.call_once(path, &body) {
                Ok(reply) if reply.status == 200 => {
                    return http::parse(path, &reply).map_err(|e| e.to_string());
                }
                Ok(reply) => self.on_refusal(&reply, resubmit)?,
                Err(e) => {
                    self.coordinator = None;
                    e.to_string()
                }
            };
            if self.started.elapsed() > self.options.limit {
                return Err(format!("{path}: {reason}"));
            }
            thread::sleep(RETRY);
        }
    }

    fn call_once(&mut self, path: &str, body: &[u8]) -> http::Result<http::Reply> {
        match &self.coordinator {
            Some(address) => self.client.post_to(address, path, body),
            None => self.client.post(path, &[], body),
        }
    }

    fn on_refusal(
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

    fn check(&mut self, spec: &StepSpec, group: &GroupResult, version: u64) {
        let prompt = spec.groups.iter().find(|g| g.group == group.group).map(|g| g.prompt.as_str());
        for sample in &group.samples {
            self.report.delivered += 1;
            if !self.seen.insert((group.step, group.group, sample.index)) {
                self.report.duplicated += 1;
            }
            let whole = sample.spans.last().map_or(0, |span| span.end) == sample.tokens;
            let own = prompt.is_some_and(|p| text::is_answer(p, &sample.text, sample.tokens));
            if !own || !whole {
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

/// The entry answer of one daemon, for tests.
pub fn entry(address: &str) -> http::Result<EntryAnswer> {
    let client = Client::new(ClientOptions {
        daemons: vec![address.to_owned()],
        ..ClientOptions::default()
    });
    client.fetch_entry()
}
