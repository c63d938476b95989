//! Coordinates the steps of one trainer: delivers complete groups of fresh samples exactly once.
//!
//! A sample's identity is its slot (trainer, step, group, index). Work on a slot may run more
//! than once. The trainer's cursor decides what is delivered: a group in the cursor is never
//! sent again, so delivery stays exactly once even with two coordinators or without a table
//! service.

mod delivery;
mod group;
mod policy;
mod runs;
mod storage;

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_proto::{
    ids::{AttemptId, GroupIndex, StepNumber, WeightVersion},
    manifest::{Objective, Trainer},
    messages::{StepAccepted, StepSpec},
};
use rustc_hash::FxHashMap;

use self::group::{Group, Slot};
pub use self::{
    delivery::is_sample_fresh,
    policy::StepPolicy,
    storage::{group_key, group_prefix, step_key, step_prefix, StepAction, StepObject},
};
use crate::{
    dispatch::WorkId,
    error::{ErrorKind, Refusal},
    order::Order,
    Now,
};

/// Steps that a trainer may have open at the same time.
pub const OPEN_STEPS: usize = 4;
/// Maximum number of samples in one step.
pub const MAX_SAMPLES: u32 = 65_536;
/// Operation that scoring services are called with.
pub const SCORE_OPERATION: &str = "score";
/// Number of low bits of a work id, which count the work of one coordinator; the high bits are its
/// namespace.
pub const WORK_ID_BITS: u32 = 44;

/// Counters of one coordinator.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct StepStats {
    /// Samples delivered.
    pub delivered: u64,
    /// Complete samples discarded because they became too old to deliver.
    pub stale_discarded: u64,
    /// Tokens of complete samples, delivered or not.
    pub useful_tokens: u64,
    /// Tokens that will not be delivered to any trainer.
    pub wasted_tokens: u64,
    /// Hedges: second runs of stragglers.
    pub hedges: u64,
    /// Wasted tokens of runs that a faster run of the same sample superseded.
    pub hedge_wasted_tokens: u64,
    /// Runs that resumed from the tokens of an earlier one.
    pub resumes: u64,
    /// Events of runs that had already ended.
    pub late_results: u64,
}

#[derive(Debug)]
struct Step {
    spec: StepSpec,
    groups: BTreeMap<GroupIndex, Group>,
    opened: Now,
    /// Whether the rows of stored groups are still being read; no run starts before that.
    recovering: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SlotId {
    step: StepNumber,
    group: GroupIndex,
    index: u32,
}

/// The coordinator of one trainer.
#[derive(Debug)]
pub struct StepCoordinator<O> {
    trainer: Trainer,
    policy: StepPolicy,
    order: O,
    owner: String,
    /// Work ids are `namespace << WORK_ID_BITS` plus a counter.
    namespace: u64,
    next_work: u64,
    next_attempt: u64,
    arrivals: u64,
    steps: BTreeMap<StepNumber, Step>,
    slot_by_work: FxHashMap<WorkId, SlotId>,
    /// Newest weight version that the trainer is known to have.
    trainer_version: WeightVersion,
    /// Newest step that the trainer pulled from.
    current_step: StepNumber,
    stats: StepStats,
}

impl<O: Order> StepCoordinator<O> {
    /// Creates a coordinator without steps. `owner` must be unique to this start of the process.
    pub fn new(
        trainer: Trainer,
        objective: &Objective,
        order: O,
        owner: &str,
        namespace: u64,
    ) -> StepCoordinator<O> {
        let policy = StepPolicy::new(&trainer, objective);
        StepCoordinator {
            trainer,
            policy,
            order,
            owner: owner.to_owned(),
            namespace,
            next_work: 0,
            next_attempt: 0,
            arrivals: 0,
            steps: BTreeMap::new(),
            slot_by_work: FxHashMap::default(),
            trainer_version: 0,
            current_step: 0,
            stats: StepStats::default(),
        }
    }

    /// Applies changed settings of the trainer.
    pub fn configure(&mut self, trainer: Trainer, objective: &Objective) {
        self.policy = StepPolicy::new(&trainer, objective);
        self.trainer = trainer;
    }

    /// Replaces the policy, for benchmarks.
    pub fn set_policy(&mut self, policy: StepPolicy) {
        self.policy = policy;
    }

    /// Returns the counters.
    pub fn stats(&self) -> &StepStats {
        &self.stats
    }

    /// Returns the time since a step was opened here.
    pub fn step_age(&self, now: Now, step: StepNumber) -> Option<Duration> {
        self.steps.get(&step).map(|step| now.saturating_sub(step.opened))
    }

    /// Accepts a new step; submitting the same step again is idempotent.
    pub fn submit(
        &mut self,
        now: Now,
        spec: StepSpec,
        out: &mut Vec<StepAction>,
    ) -> Result<StepAccepted, Refusal> {
        check_spec(&spec)?;
        let accepted = StepAccepted {
            step: spec.step,
            groups: spec.groups.len() as u32,
            samples: spec.groups.iter().map(|group| group.samples).sum(),
        };
        if let Some(known) = self.steps.get(&spec.step) {
            if known.spec.groups == spec.groups {
                return Ok(accepted);
            }
            let message = format!(
                "step {} of trainer {:?} exists with other groups",
                spec.step, self.trainer.name
            );
            return Err(Refusal::new(ErrorKind::StepExists, message));
        }
        self.close_oldest_if_full(now, spec.step, out)?;
        self.store_spec(&spec, out);
        self.open(now, spec, false);
        self.start_due(now, out);
        Ok(accepted)
    }

    /// Closes the steps before `step`, which the trainer has completed or abandoned.
    pub fn close_before(&mut self, now: Now, step: StepNumber, out: &mut Vec<StepAction>) {
        let closed: Vec<_> = self.steps.range(..step).map(|(number, _)| *number).collect();
        for number in closed {
            self.close(now, number, out);
        }
    }

    /// Starts due runs (retries, regenerated samples, hedges), cancels stale ones and retries
    /// storage.
    pub fn tick(&mut self, now: Now, idle_slots: usize, out: &mut Vec<StepAction>) {
        self.start_due(now, out);
        self.cancel_stale_runs(now, out);
        self.hedge(now, idle_slots, out);
        self.retry_storage(now, out);
    }

    /// Cancels all work and drops all steps, after another daemon became the coordinator.
    pub fn cancel_all(&mut self, out: &mut Vec<StepAction>) {
        let mut work_ids: Vec<_> = self.slot_by_work.drain().map(|(work, _)| work).collect();
        work_ids.sort_unstable();
        out.extend(work_ids.into_iter().map(StepAction::Cancel));
        self.steps.clear();
    }

    fn close_oldest_if_full(
        &mut self,
        now: Now,
        step: StepNumber,
        out: &mut Vec<StepAction>,
    ) -> Result<(), Refusal> {
        while self.steps.len() >= OPEN_STEPS {
            let oldest = *self.steps.keys().next().expect("at least one step is open");
            if oldest >= step {
                let message =
                    format!("trainer {:?} has {OPEN_STEPS} newer steps open", self.trainer.name);
                return Err(Refusal::new(ErrorKind::Invalid, message));
            }
            self.close(now, oldest, out);
        }
        Ok(())
    }

    fn close(&mut self, _now: Now, number: StepNumber, out: &mut Vec<StepAction>) {
        let Some(step) = self.steps.remove(&number) else { return };
        for group in step.groups.values() {
            for slot in &group.slots {
                self.stats.wasted_tokens += slot.running_tokens();
                for run in &slot.runs {
                    self.slot_by_work.remove(&run.work);
                    out.push(StepAction::Cancel(run.work));
                }
            }
        }
        self.delete_rows(&step, number, out);
    }

    fn open(&mut self, now: Now, spec: StepSpec, recovering: bool) {
        self.trainer_version = self.trainer_version.max(spec.weights_version);
        let number = spec.step;
        let groups = spec.groups.iter().map(|g| (g.group, Group::new(g.clone()))).collect();
        self.steps.insert(number, Step { spec, groups, opened: now, recovering });
    }

    fn new_attempt(&mut self) -> AttemptId {
        self.next_attempt += 1;
        format!("{}/{}/{}", self.owner, self.trainer.name, self.next_attempt)
    }

    fn group_mut(&mut self, id: SlotId) -> Option<&mut Group> {
        self.steps.get_mut(&id.step)?.groups.get_mut(&id.group)
    }

    fn slot_mut(&mut self, id: SlotId) -> Option<&mut Slot> {
        self.group_mut(id)?.slots.get_mut(id.index as usize)
    }

    fn slots(&self) -> impl Iterator<Item = (SlotId, &Slot)> {
        self.steps.iter().flat_map(|(number, step)| {
            step.groups.values().flat_map(move |group| group.slots_of(*number))
        })
    }

    /// Returns how many groups of a step may start: all groups of the step that the trainer waits
    /// for, and a share of those of later steps, whose samples age with each new version.
    fn startable_groups(&self, step: StepNumber, groups: usize) -> usize {
        let is_ahead = self.steps.keys().any(|open| *open < step) && step > self.current_step;
        if is_ahead {
            groups * self.policy.ahead_percent as usize / 100
        } else {
            groups
        }
    }

    /// Returns the slots of groups that may start runs.
    fn startable_slots(&self) -> impl Iterator<Item = (SlotId, &Slot)> {
        self.steps.iter().filter(|(_, step)| !step.recovering).flat_map(|(number, step)| {
            let startable = self.startable_groups(*number, step.groups.len());
            let collecting =
                step.groups.values().take(startable).filter(|group| group.is_collecting());
            collecting.flat_map(move |group| group.slots_of(*number))
        })
    }
}

fn check_spec(spec: &StepSpec) -> Result<(), Refusal> {
    let invalid = |pointer: String, message: &str| {
        Err(Refusal::new(ErrorKind::Invalid, format!("{pointer}: {message}")))
    };
    if spec.groups.is_empty() {
        return invalid("/groups".to_owned(), "a step needs at least one group");
    }
    let mut samples = 0u32;
    let mut seen = std::collections::BTreeSet::new();
    for (i, group) in spec.groups.iter().enumerate() {
        if group.samples == 0 {
            return invalid(format!("/groups/{i}/samples"), "a group needs at least one sample");
        }
        if group.max_tokens == 0 {
            return invalid(format!("/groups/{i}/max_tokens"), "a sample needs at least one token");
        }
        if !seen.insert(group.group) {
            return invalid(format!("/groups/{i}/group"), "this group number stands twice");
        }
        samples = samples.saturating_add(group.samples);
    }
    if samples > MAX_SAMPLES {
        return invalid("/groups".to_owned(), &format!("more than {MAX_SAMPLES} samples"));
    }
    Ok(())
}
