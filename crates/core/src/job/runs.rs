//! Which sample runs at which server, and when a run moves to another one.

use std::time::Duration;

use buckthornfall_proto::ids::ServerId;

use super::{Job, JobAction, JobId, Jobs, Named, Run, RunEnd, State};
use crate::{
    backends::{Backends, Ended},
    weights::Plan,
    Now,
};

/// Weight of a server's load against its speed: few requests slow a batch down little.
const LOAD_WEIGHT: f64 = 0.3;

/// Time after a version was named in which servers load it.
const LOADS_TAKE: Duration = Duration::from_secs(3);
/// Weight against a server that is likely to load now: a refusal costs a round trip, so it weighs
/// less than a server of half the speed.
const LOADS_EARLY: f64 = 0.6;
/// The same of a server that is likely to load next.
const LOADS_LATE: f64 = 0.3;

impl Jobs {
    /// Ends runs at slow servers whose samples can go on at a faster one at once.
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
            let named = self.named.get(&job.spec.model);
            if job.policy.single_version || !run.is_slower(now, job, named, backends, plan) {
                continue;
            }
            let run = self.runs.remove(&id).expect("looked up above");
            let sample = &mut job.samples[run.sample];
            sample.state = State::Waiting(now);
            sample.moves += 1;
            backends.ended(now, &run.server, Ended::Cancelled);
            out.push(JobAction::Move { run: id });
            self.start_run(now, &run.job, run.sample, backends, plan, out);
        }
    }

    pub(super) fn start_runs(
        &mut self,
        now: Now,
        backends: &mut Backends,
        plan: &Plan,
        out: &mut Vec<JobAction>,
    ) {
        let mut ids: Vec<_> = self.jobs.keys().cloned().collect();
        ids.sort_by_key(|id| (self.jobs[id].policy.priority, self.jobs[id].policy.accepted));
        for id in ids {
            for position in 0..self.jobs[&id].order.len() {
                let job = &self.jobs[&id];
                let index = job.order[position];
                let due = matches!(job.samples[index].state, State::Waiting(at) if at <= now);
                if !due {
                    continue;
                }
                if !self.start_run(now, &id, index, backends, plan, out) {
                    break;
                }
            }
        }
    }

    /// Starts a run of a sample if a server has a free slot.
    fn start_run(
        &mut self,
        now: Now,
        id: &JobId,
        index: usize,
        backends: &mut Backends,
        plan: &Plan,
        out: &mut Vec<JobAction>,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(id) else { return false };
        let named = self.named.get(&job.spec.model);
        let Some(server) = choose(now, job, named, backends, plan) else { return false };
        self.next_run += 1;
        let run = self.next_run;
        let sample = &mut job.samples[index];
        sample.state = State::Running(run);
        sample.text.prepare(job.spec.min_version, job.policy.single_version);
        if sample.text.is_empty() {
            sample.saved = 0;
            // The next number, so that a save of the old text that is in flight does not count.
            sample.saved_rows += 1;
        }
        backends.started(&server);
        let after = sample.text.last_event();
        let known = Run {
            job: id.clone(),
            sample: index,
            server: server.clone(),
            events: 0,
            last_event: None,
        };
        self.runs.insert(run, known);
        out.push(JobAction::Run { run, job: id.clone(), sample: index, server, after });
        true
    }
}

/// When a run moves: a move costs a connection, so the gain must be large, or small but for one of
/// the few long samples, which have the most left to gain.
struct MoveRule {
    /// Fewest events that the run has made.
    events: u32,
    /// Least ratio of the times that the two servers take for an event.
    gain: f64,
    /// Most moves that the sample has made.
    moves: u32,
    /// Whether this holds for samples alone that are estimated to be long.
    long: bool,
}

const MOVE_RULES: [MoveRule; 3] = [
    MoveRule { events: 3, gain: 1.8, moves: 3, long: false },
    MoveRule { events: 20, gain: 1.22, moves: 0, long: true },
    MoveRule { events: 30, gain: 1.22, moves: 0, long: false },
];

impl Run {
    fn may_move(&self) -> bool {
        MOVE_RULES.iter().any(|rule| self.events >= rule.events)
    }

    /// Whether a server with a free slot is faster by enough.
    fn is_slower(
        &self,
        now: Now,
        job: &Job,
        named: Option<&Named>,
        backends: &Backends,
        plan: &Plan,
    ) -> bool {
        let Some(other) = choose(now, job, named, backends, plan) else { return false };
        if job.loads(now, named, backends, &other) {
            return false;
        }
        let pace = |id: &str| backends.service_time(now, id).unwrap_or_default().as_secs_f64();
        let gain = pace(&self.server) / pace(&other).max(f64::EPSILON);
        let moves = job.samples[self.sample].moves;
        let long = job.spec.samples[self.sample].expected_tokens >= job.long_estimate;
        let fits = |rule: &MoveRule| {
            self.events >= rule.events
                && gain >= rule.gain
                && moves <= rule.moves
                && (long || !rule.long)
        };
        other != self.server && MOVE_RULES.iter().any(fits)
    }
}

/// A server with a free slot and weights that are new enough: one that the plan gives to the
/// model, or any other while none of those is usable.
fn choose(
    now: Now,
    job: &Job,
    named: Option<&Named>,
    backends: &Backends,
    plan: &Plan,
) -> Option<ServerId> {
    let model = &job.spec.model;
    let fits = |id: &ServerId| {
        backends.usable(now, id)
            && backends.get(id).is_some_and(|entry| {
                entry.service == job.policy.service
                    && entry.version(model).is_some_and(|v| v >= job.spec.min_version)
            })
    };
    let planned: Vec<_> = plan.servers(model).iter().filter(|id| fits(id)).cloned().collect();
    let candidates = if planned.is_empty() {
        backends.all().map(|entry| entry.id.clone()).filter(fits).collect()
    } else {
        planned
    };
    let free = |id: &ServerId| backends.inflight(id) < backends.capacity(id);
    let cost = |id: &ServerId| {
        let slots = backends.get(id).map_or(1, |entry| entry.slots.max(1));
        let load = f64::from(backends.inflight(id)) / f64::from(slots);
        let pace = backends.service_time(now, id).unwrap_or_default().as_secs_f64();
        let loads = match job.loads(now, named, backends, id) {
            false => 0.0,
            true if plan.loads_early(model, id) => LOADS_EARLY,
            true => LOADS_LATE,
        };
        pace * (1.0 + LOAD_WEIGHT * load + loads)
    };
    candidates
        .into_iter()
        .filter(free)
        .map(|id| (cost(&id), id))
        .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)))
        .map(|(_, id)| id)
}

impl Job {
    /// Whether a server is likely to load the newest version of the job's model.
    pub(super) fn loads(
        &self,
        now: Now,
        named: Option<&Named>,
        backends: &Backends,
        server: &str,
    ) -> bool {
        let Some(named) = named else { return false };
        let held = backends.get(server).and_then(|entry| entry.version(&self.spec.model));
        now < named.since + LOADS_TAKE && held.is_some_and(|held| held < named.version)
    }
}

pub(super) fn server_end(end: &RunEnd) -> Ended {
    match end {
        RunEnd::Complete | RunEnd::Impossible => Ended::Done,
        RunEnd::Failed => Ended::Erred,
        RunEnd::Broken => Ended::Failed,
        RunEnd::Refused => Ended::Refused,
    }
}
