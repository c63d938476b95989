//! A trainer: steps that it asks for, waits for and trains on.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_core::{
    job::{JobPolicy, JobSpec, SampleSpec, Scorer},
    Now,
};
use bytes::Bytes;
use rand::{rngs::SmallRng, Rng};

use super::experiment;

/// Tokens of an event, for the estimates.
const TOKENS_PER_EVENT: f64 = 10.0;
/// A group that is read this long after it was due is still on time.
const READ_SLACK: Duration = Duration::from_millis(700);

/// A step that was asked for.
#[derive(Debug)]
pub struct Step {
    pub job: String,
    pub spec: JobSpec,
    /// Events of each sample.
    pub lengths: Vec<u64>,
    pub asked: Now,
    pub accepted: Option<Now>,
    pub ended: Option<Now>,
    /// When each group was read whole.
    pub whole: BTreeMap<String, Now>,
}

impl Step {
    /// Groups that are whole, by what was read of the results.
    pub fn read(&mut self, now: Now, listed: &[String]) {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        let groups: BTreeMap<&str, &str> =
            self.spec.samples.iter().map(|s| (s.id.as_str(), s.group.as_str())).collect();
        for id in listed {
            *counts.entry(groups[id.as_str()]).or_default() += 1;
        }
        let first = &self.spec.samples[0].group;
        let size = self.spec.samples.iter().filter(|s| s.group == *first).count();
        for (group, count) in counts {
            if count == size {
                self.whole.entry(group.to_owned()).or_insert(now);
            }
        }
    }

    /// Groups on time, of those that are waited for.
    pub fn on_time(&self, cfg: &experiment::Trainer) -> usize {
        let due = self.asked + Duration::from_millis(cfg.due_ms) + READ_SLACK;
        self.whole.values().filter(|at| **at <= due).count().min(cfg.target_groups)
    }

    /// How long the trainer waited for its groups.
    pub fn took(&self) -> Option<Duration> {
        Some(self.ended?.saturating_sub(self.asked))
    }
}

/// A trainer.
#[derive(Debug)]
pub struct Trainer {
    pub cfg: experiment::Trainer,
    pub steps: Vec<Step>,
    /// Newest version that it has named.
    pub named: u64,
}

impl Trainer {
    pub fn new(cfg: &experiment::Trainer) -> Trainer {
        Trainer { cfg: cfg.clone(), steps: Vec::new(), named: 1 }
    }

    /// Whether the next step can be asked for: its time has come and its version is named.
    pub fn asks(&self, now: Now, start: Now, until: Now) -> bool {
        let step = self.steps.len() as u32;
        let planned = start + self.cfg.every() * step;
        now >= planned && planned < until && self.named >= u64::from(step)
    }

    /// Steps that the load asks for.
    pub fn planned(&self, load: Duration) -> usize {
        load.as_millis().div_ceil(self.cfg.every().as_millis()) as usize
    }

    pub fn ask(&mut self, now: Now, rng: &mut SmallRng) {
        let step = self.steps.len();
        let cfg = &self.cfg;
        let job = format!("{}-{step:03}", cfg.model);
        let mut lengths = Vec::new();
        let mut samples = Vec::new();
        for index in 0..cfg.groups * cfg.group_size {
            let length = cfg.events_median * factor(rng, cfg.events_spread);
            let estimate = length * factor(rng, cfg.estimate_spread) * TOKENS_PER_EVENT;
            let most = cfg.events_max as f64;
            lengths.push(length.clamp(1.0, most) as u64);
            samples.push(SampleSpec {
                id: format!("{job}/{index}"),
                path: "/".to_owned(),
                headers: Vec::new(),
                body: Bytes::new(),
                group: format!("g{:03}", index / cfg.group_size),
                expected_tokens: estimate.clamp(1.0, most * TOKENS_PER_EVENT) as u64,
                scorer: Some(Scorer {
                    id: String::new(),
                    host: String::new(),
                    path: "/".to_owned(),
                    body: Bytes::new(),
                }),
            });
        }
        let spec = JobSpec {
            model: cfg.model.clone(),
            min_version: (step as u64).saturating_sub(1).max(1),
            target_groups: cfg.target_groups,
            samples,
        };
        self.steps.push(Step {
            job,
            spec,
            lengths,
            asked: now,
            accepted: None,
            ended: None,
            whole: BTreeMap::new(),
        });
    }

    /// How far the last step was behind its time.
    pub fn behind(&self, start: Now) -> Duration {
        let last = self.steps.len().saturating_sub(1);
        let planned = start + self.cfg.every() * last as u32;
        self.steps.last().map_or(Duration::ZERO, |step| step.asked.saturating_sub(planned))
    }

    pub fn policy(&self, step: &Step) -> JobPolicy {
        JobPolicy {
            service: super::day::SERVICE.to_owned(),
            max_attempts: 3,
            priority: 0,
            single_version: false,
            give_up_at: step.asked + Duration::from_secs(60),
            accepted: step.accepted.unwrap_or(step.asked),
        }
    }
}

/// A factor of a logarithmic normal distribution.
fn factor(rng: &mut SmallRng, spread: f64) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
    ((sum - 6.0) * spread).exp()
}
