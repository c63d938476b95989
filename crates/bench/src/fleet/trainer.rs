//! Simulated trainer: submits steps, waits for their groups and trains on them.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_core::{
    job::{JobPolicy, JobSpec, SampleSpec, Scorer},
    Now,
};
use bytes::Bytes;
use rand::{rngs::SmallRng, Rng};

use super::experiment;

/// Number of tokens per event in the estimates of sample lengths.
const TOKENS_PER_EVENT: f64 = 10.0;
/// Grace period after the due time in which a group that is read still counts as on time.
const READ_GRACE_PERIOD: Duration = Duration::from_millis(700);

/// A submitted step.
#[derive(Debug)]
pub struct Step {
    pub job: String,
    pub spec: JobSpec,
    /// Number of events of each sample.
    pub lengths: Vec<u64>,
    pub submitted_at: Now,
    pub accepted_at: Option<Now>,
    pub ended_at: Option<Now>,
    /// Time at which each complete group was first read.
    pub complete_groups: BTreeMap<String, Now>,
}

impl Step {
    /// Records the groups that are complete in the results read from the store.
    pub fn on_results_read(&mut self, now: Now, sample_ids: &[String]) {
        let mut sample_counts: BTreeMap<&str, usize> = BTreeMap::new();
        let groups: BTreeMap<&str, &str> =
            self.spec.samples.iter().map(|s| (s.id.as_str(), s.group.as_str())).collect();
        for id in sample_ids {
            *sample_counts.entry(groups[id.as_str()]).or_default() += 1;
        }
        let first = &self.spec.samples[0].group;
        let size = self.spec.samples.iter().filter(|s| s.group == *first).count();
        for (group, count) in sample_counts {
            if count == size {
                self.complete_groups.entry(group.to_owned()).or_insert(now);
            }
        }
    }

    /// Returns the number of groups on time, at most the number that the trainer waits for.
    pub fn groups_on_time(&self, cfg: &experiment::Trainer) -> usize {
        let due = self.submitted_at + Duration::from_millis(cfg.due_ms) + READ_GRACE_PERIOD;
        self.complete_groups.values().filter(|at| **at <= due).count().min(cfg.target_groups)
    }

    /// Returns how long the trainer waited for its groups; `None` while it still waits.
    pub fn wait_time(&self) -> Option<Duration> {
        Some(self.ended_at?.saturating_sub(self.submitted_at))
    }
}

/// A simulated trainer.
#[derive(Debug)]
pub struct Trainer {
    pub cfg: experiment::Trainer,
    pub steps: Vec<Step>,
    /// Latest weight version that it has named.
    pub named_version: u64,
}

impl Trainer {
    pub fn new(cfg: &experiment::Trainer) -> Trainer {
        Trainer { cfg: cfg.clone(), steps: Vec::new(), named_version: 1 }
    }

    /// Returns whether the next step can be submitted: its planned time is before `until` and has
    /// come, and its weight version is named.
    pub fn is_step_due(&self, now: Now, start: Now, until: Now) -> bool {
        let step = self.steps.len() as u32;
        let planned = start + self.cfg.step_interval() * step;
        now >= planned && planned < until && self.named_version >= u64::from(step)
    }

    /// Returns the number of steps planned within the load time.
    pub fn planned_steps(&self, load: Duration) -> usize {
        load.as_millis().div_ceil(self.cfg.step_interval().as_millis()) as usize
    }

    /// Adds the next step, with random sample lengths.
    pub fn start_step(&mut self, now: Now, rng: &mut SmallRng) {
        let step = self.steps.len();
        let cfg = &self.cfg;
        let job = format!("{}-{step:03}", cfg.model);
        let mut lengths = Vec::new();
        let mut samples = Vec::new();
        for index in 0..cfg.groups * cfg.group_size {
            let length = cfg.events_median * log_normal_factor(rng, cfg.events_spread);
            let estimate = length * log_normal_factor(rng, cfg.estimate_spread) * TOKENS_PER_EVENT;
            let max_events = cfg.events_max as f64;
            lengths.push(length.clamp(1.0, max_events) as u64);
            samples.push(SampleSpec {
                id: format!("{job}/{index}"),
                path: "/".to_owned(),
                headers: Vec::new(),
                body: Bytes::new(),
                group: format!("g{:03}", index / cfg.group_size),
                expected_tokens: estimate.clamp(1.0, max_events * TOKENS_PER_EVENT) as u64,
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
            submitted_at: now,
            accepted_at: None,
            ended_at: None,
            complete_groups: BTreeMap::new(),
        });
    }

    /// Returns the delay of the last step against its planned time.
    pub fn delay(&self, start: Now) -> Duration {
        let last = self.steps.len().saturating_sub(1);
        let planned = start + self.cfg.step_interval() * last as u32;
        self.steps.last().map_or(Duration::ZERO, |step| step.submitted_at.saturating_sub(planned))
    }

    /// Returns the job policy of a step.
    pub fn policy(&self, step: &Step) -> JobPolicy {
        JobPolicy {
            service: super::simulation::SERVICE.to_owned(),
            max_attempts: 3,
            priority: 0,
            single_version: false,
            give_up_at: step.submitted_at + Duration::from_secs(60),
            accepted: step.accepted_at.unwrap_or(step.submitted_at),
        }
    }
}

/// Returns a random factor from a log-normal distribution with median 1.
fn log_normal_factor(rng: &mut SmallRng, spread: f64) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
    ((sum - 6.0) * spread).exp()
}
