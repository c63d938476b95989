//! Server selection for samples, and migration of runs between servers.

use std::time::Duration;

use buckthornfall_proto::ids::ServerId;

use super::{
    Job, JobAction, JobId, Jobs, NamedVersion, Run, RunEnd, RunId, Sample, SampleState, Text,
};
use crate::{
    backends::{Backends, Ended},
    permits::PermitClass,
    weights::Plan,
    Now,
};

/// Weight of a server's utilization relative to its speed; low because a few more requests slow
/// down a batch only slightly.
const UTILIZATION_WEIGHT: f64 = 0.3;

/// Time after a version is named during which servers are expected to load it.
const LOAD_WINDOW: Duration = Duration::from_secs(3);
/// Penalty of a server that is likely to load weights now: a refusal costs one round trip, so the
/// penalty is lower than that of a server at half the speed.
const EARLY_LOAD_PENALTY: f64 = 0.6;
/// Penalty of a server that is likely to load weights after those that load early.
const LATE_LOAD_PENALTY: f64 = 0.3;

/// Minimum time for which a text waits for a server of its software version: above the backoff of a
/// server that failed once.
const MIN_RESUME_WAIT: Duration = Duration::from_millis(500);

/// Time before a server is taken away in which its runs go on elsewhere. Its notice is up to 0.8 s old
/// when it is read, and shorter runs end by themselves.
const MOVE_BEFORE_TAKEN: Duration = Duration::from_millis(1_000);

impl Jobs {
    /// Migrates the runs of servers that are about to be taken away to others with a free slot.
    pub(super) fn move_from_taken(
        &mut self,
        now: Now,
        backends: &mut Backends,
        plan: &Plan,
        out: &mut Vec<JobAction>,
    ) {
        let is_due = |run: &Run| {
            backends.taken_at(&run.server).is_some_and(|at| at <= now + MOVE_BEFORE_TAKEN)
        };
        let mut due: Vec<_> =
            self.runs.iter().filter(|(_, run)| is_due(run)).map(|(id, _)| *id).collect();
        due.sort_unstable();
        for id in due {
            let run = &self.runs[&id];
            let Some(job) = self.jobs.get(&run.job) else { continue };
            let named = self.named_versions.get(&job.spec.model);
            let software = job.samples[run.sample].text.software().map(String::as_str);
            if choose_server(now, job, named, backends, plan, software).is_some() {
                self.move_run(now, id, backends, plan, out);
            }
        }
    }

    fn move_run(
        &mut self,
        now: Now,
        id: RunId,
        backends: &mut Backends,
        plan: &Plan,
        out: &mut Vec<JobAction>,
    ) {
        let Some(run) = self.runs.remove(&id) else { return };
        if let Some(job) = self.jobs.get_mut(&run.job) {
            job.samples[run.sample].state = SampleState::Waiting(now);
        }
        backends.ended(now, &run.server, Ended::Cancelled);
        out.push(JobAction::Move { run: id });
        self.start_run(now, &run.job, run.sample, backends, plan, out);
    }

    /// Migrates runs from slow servers to faster ones with a free slot.
    pub(super) fn move_slow_runs(
        &mut self,
        now: Now,
        backends: &mut Backends,
        plan: &Plan,
        out: &mut Vec<JobAction>,
    ) {
        let mut slow: Vec<_> = self.runs.iter().filter(|(_, run)| run.may_move()).collect();
        slow.sort_by_key(|(id, run)| (std::cmp::Reverse(run.events), **id));
        let slow: Vec<_> = slow.into_iter().map(|(id, _)| *id).collect();
        for id in slow {
            let run = &self.runs[&id];
            let Some(job) = self.jobs.get_mut(&run.job) else { continue };
            let named = self.named_versions.get(&job.spec.model);
            if job.policy.single_version || !run.should_move(now, job, named, backends, plan) {
                continue;
            }
            job.samples[run.sample].moves += 1;
            self.move_run(now, id, backends, plan, out);
        }
    }

    pub(super) fn start_runs(
        &mut self,
        now: Now,
        backends: &mut Backends,
        plan: &Plan,
        out: &mut Vec<JobAction>,
    ) {
        let with_route = self.jobs.iter().filter(|(_, job)| job.has_route);
        let mut ids: Vec<_> = with_route.map(|(id, _)| id.clone()).collect();
        ids.sort_by_key(|id| (self.jobs[id].policy.priority, self.jobs[id].policy.accepted));
        for id in ids {
            for position in 0..self.jobs[&id].start_order.len() {
                let job = &self.jobs[&id];
                let index = job.start_order[position];
                let due = matches!(job.samples[index].state, SampleState::Waiting(at) if at <= now);
                if !due {
                    continue;
                }
                if self.start_run(now, &id, index, backends, plan, out) == Start::Full {
                    break;
                }
            }
        }
    }

    /// Starts a run of a sample. Its text goes on at a server of the software version that generated it;
    /// if none is free for as long as generating the text again takes, the text is discarded.
    fn start_run(
        &mut self,
        now: Now,
        id: &JobId,
        index: usize,
        backends: &mut Backends,
        plan: &Plan,
        out: &mut Vec<JobAction>,
    ) -> Start {
        let Some(job) = self.jobs.get_mut(id) else { return Start::Full };
        let named = self.named_versions.get(&job.spec.model);
        let sample = &mut job.samples[index];
        sample.text.prepare(job.spec.min_version, job.policy.single_version);
        let software = sample.text.software().cloned();
        let choose =
            |software: Option<&str>| choose_server(now, job, named, backends, plan, software);
        let server = match software.as_deref() {
            None => choose(None),
            Some(software) => choose(Some(software)).or_else(|| {
                let is_worth_waiting = job.samples[index].may_wait(now, job, backends, software);
                choose(None).filter(|_| !is_worth_waiting)
            }),
        };
        let Some(server) = server else {
            let sample = &mut job.samples[index];
            let waits = sample.text.software().is_some();
            if waits {
                sample.resume_due.get_or_insert(now);
            }
            return if waits { Start::Waits } else { Start::Full };
        };
        let Some(entry) = backends.get(&server) else { return Start::Full };
        self.next_run += 1;
        let run = self.next_run;
        let sample = &mut job.samples[index];
        sample.state = SampleState::Running(run);
        sample.resume_due = None;
        if software.is_some_and(|software| software != entry.software) {
            sample.text = Text::default();
        }
        sample.text.set_software(&entry.software);
        if sample.text.is_empty() {
            sample.saved_events = 0;
            // Invalidates a save of the old text that is still in flight.
            sample.next_row_number += 1;
        }
        backends.started(&server);
        let after = sample.text.last_event();
        let active_run = Run {
            job: id.clone(),
            sample: index,
            server: server.clone(),
            events: 0,
            last_event: None,
        };
        self.runs.insert(run, active_run);
        out.push(JobAction::Run { run, job: id.clone(), sample: index, server, after });
        Start::Started
    }
}

/// Outcome of an attempt to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Start {
    /// The run has started.
    Started,
    /// No server of the software version of the sample's text is free; one for other samples may be.
    Waits,
    /// No server is free.
    Full,
}

impl Sample {
    /// Returns whether a server of the text's software version is listed and waiting for it is still
    /// shorter than generating the text again.
    fn may_wait(&self, now: Now, job: &Job, backends: &Backends, software: &str) -> bool {
        let events = u32::try_from(self.text.events()).unwrap_or(u32::MAX);
        let event_time = backends.mean_event_time(now, &job.policy.service);
        let waited = self.resume_due.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        backends.has_software(&job.policy.service, software)
            && waited < MIN_RESUME_WAIT.max(event_time * events)
    }
}

/// Conditions for migrating a run. A migration costs a connection, so the speedup must be large, or
/// the run old enough; long samples qualify earlier because they have the most left to gain.
struct MoveRule {
    /// Minimum number of events of the run.
    min_events: u32,
    /// Minimum ratio of the two servers' times per event.
    min_speedup: f64,
    /// Maximum number of earlier migrations of the sample.
    max_moves: u32,
    /// Whether the rule applies only to samples that are expected to be long.
    long_only: bool,
}

const MOVE_RULES: [MoveRule; 3] = [
    MoveRule { min_events: 3, min_speedup: 1.8, max_moves: 3, long_only: false },
    MoveRule { min_events: 20, min_speedup: 1.22, max_moves: 0, long_only: true },
    MoveRule { min_events: 30, min_speedup: 1.22, max_moves: 0, long_only: false },
];

impl Run {
    fn may_move(&self) -> bool {
        MOVE_RULES.iter().any(|rule| self.events >= rule.min_events)
    }

    /// Returns whether a migration rule applies to the best server with a free slot.
    fn should_move(
        &self,
        now: Now,
        job: &Job,
        named: Option<&NamedVersion>,
        backends: &Backends,
        plan: &Plan,
    ) -> bool {
        let software = job.samples[self.sample].text.software().map(String::as_str);
        let other = choose_server(now, job, named, backends, plan, software);
        let Some(other) = other else { return false };
        // A migration costs a request, which a limited server should spend on another sample.
        if job.is_likely_loading(now, named, backends, &other) || backends.limit(&other).is_some() {
            return false;
        }
        let event_time =
            |id: &str| backends.service_time(now, id).unwrap_or_default().as_secs_f64();
        let speedup = event_time(&self.server) / event_time(&other).max(f64::EPSILON);
        let moves = job.samples[self.sample].moves;
        let is_long = job.spec.samples[self.sample].expected_tokens >= job.long_sample_tokens;
        let applies = |rule: &MoveRule| {
            self.events >= rule.min_events
                && speedup >= rule.min_speedup
                && moves <= rule.max_moves
                && (is_long || !rule.long_only)
        };
        other != self.server && MOVE_RULES.iter().any(applies)
    }
}

/// Chooses the cheapest server with a free slot and sufficiently new weights, of one software version
/// if `software` is given: one that the plan assigns to the model, or any other if none of those is
/// usable.
fn choose_server(
    now: Now,
    job: &Job,
    named: Option<&NamedVersion>,
    backends: &Backends,
    plan: &Plan,
    software: Option<&str>,
) -> Option<ServerId> {
    let model = &job.spec.model;
    let class = PermitClass::job(job.policy.priority);
    let eligible = |id: &ServerId| {
        job.has_route
            && backends.usable(now, id)
            && backends.permit_wait(now, id, class).is_zero()
            && backends.get(id).is_some_and(|entry| {
                entry.service == job.policy.service
                    && software.is_none_or(|software| entry.software == software)
                    && entry.version(model).is_some_and(|v| v >= job.spec.min_version)
            })
    };
    let planned: Vec<_> = plan.servers(model).iter().filter(|id| eligible(id)).cloned().collect();
    let candidates = if planned.is_empty() {
        backends.all().map(|entry| entry.id.clone()).filter(eligible).collect()
    } else {
        planned
    };
    let has_free_slot = |id: &ServerId| backends.inflight(id) < backends.capacity(id);
    let cost = |id: &ServerId| {
        let slots = backends.get(id).map_or(1, |entry| entry.slots.max(1));
        let utilization = f64::from(backends.inflight(id)) / f64::from(slots);
        let event_time = backends.service_time(now, id).unwrap_or_default().as_secs_f64();
        let loading_penalty = match job.is_likely_loading(now, named, backends, id) {
            false => 0.0,
            true if plan.loads_early(model, id) => EARLY_LOAD_PENALTY,
            true => LATE_LOAD_PENALTY,
        };
        event_time * (1.0 + UTILIZATION_WEIGHT * utilization + loading_penalty)
    };
    candidates
        .into_iter()
        .filter(has_free_slot)
        .map(|id| (cost(&id), id))
        .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)))
        .map(|(_, id)| id)
}

impl Job {
    /// Returns whether a server is likely to be loading the latest version of the job's model.
    pub(super) fn is_likely_loading(
        &self,
        now: Now,
        named: Option<&NamedVersion>,
        backends: &Backends,
        server: &str,
    ) -> bool {
        let Some(named) = named else { return false };
        let loaded = backends.get(server).and_then(|entry| entry.version(&self.spec.model));
        now < named.since + LOAD_WINDOW && loaded.is_some_and(|loaded| loaded < named.version)
    }
}

pub(super) fn server_outcome(end: &RunEnd) -> Ended {
    match end {
        RunEnd::Complete | RunEnd::Impossible => Ended::Done,
        RunEnd::Failed => Ended::Erred,
        RunEnd::Broken => Ended::Failed,
        RunEnd::Refused => Ended::Refused,
        RunEnd::Denied => Ended::Cancelled,
    }
}
