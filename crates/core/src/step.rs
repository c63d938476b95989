//! Coordinates the steps of one trainer: whole groups, fresh samples, each delivered once.
//!
//! A sample's identity is its slot (trainer, step, group, index). Work on a slot may run more
//! than once. The trainer's cursor decides what is delivered: a group in the cursor is never
//! sent again, so that delivery stays exactly once with two coordinators or without a table.

mod group;
mod policy;
mod storage;

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_proto::{
    digest::fingerprint,
    ids::{AttemptId, GroupIndex, ServerId, StepNumber, WeightVersion},
    manifest::{Objective, Trainer},
    messages::{
        Cursor, GroupResult, GroupSpec, PullAnswer, PullRequest, Sample, ScoreAnswer, ScoreRequest,
        StepAccepted, StepSpec,
    },
};
use bytes::Bytes;
use rustc_hash::FxHashMap;

use self::group::{Group, GroupStage, Run, Slot};
pub use self::{
    policy::StepPolicy,
    storage::{group_key, group_prefix, step_key, step_prefix, StepAction, StepObject},
};
use crate::{
    dispatch::{Class, Progress, Task, Work, WorkEvent, WorkId},
    error::{ErrorKind, Refusal},
    order::{Order, RolloutHint},
    Now,
};

/// Steps that a trainer may have open at the same time.
pub const OPEN_STEPS: usize = 4;
/// Largest number of samples in one step.
pub const MAX_SAMPLES: u32 = 65_536;
/// Name of the operation of a scoring service.
pub const SCORE_OPERATION: &str = "score";
/// Bits of a work id that belong to one coordinator.
pub const WORK_ID_BITS: u32 = 44;
const RETRY_FIRST: Duration = Duration::from_millis(200);
const RETRY_DOUBLINGS: u32 = 5;
const SCORE_TIMEOUT: Duration = Duration::from_secs(30);

/// Counters of one coordinator.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct StepStats {
    /// Samples delivered.
    pub delivered: u64,
    /// Samples that were whole and had become too old to deliver.
    pub stale_discarded: u64,
    /// Tokens of delivered and waiting samples.
    pub useful_tokens: u64,
    /// Tokens that no trainer will get.
    pub wasted_tokens: u64,
    /// Second runs of stragglers.
    pub hedges: u64,
    /// Tokens among the wasted ones that a run lost to a faster one.
    pub hedge_wasted_tokens: u64,
    /// Runs that went on from the tokens of an earlier one.
    pub resumes: u64,
    /// Answers for runs that had ended already.
    pub late_results: u64,
}

#[derive(Debug)]
struct Step {
    spec: StepSpec,
    groups: BTreeMap<GroupIndex, Group>,
    opened: Now,
    /// Whether the rows of whole groups are still being read; nothing starts before that.
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
    works: FxHashMap<WorkId, SlotId>,
    /// Newest version that the trainer is known to hold.
    trainer_version: WeightVersion,
    stats: StepStats,
}

impl<O: Order> StepCoordinator<O> {
    /// A coordinator without steps. `owner` must be unique to this start of this process.
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
            works: FxHashMap::default(),
            trainer_version: 0,
            stats: StepStats::default(),
        }
    }

    /// Takes changed settings of the trainer.
    pub fn configure(&mut self, trainer: Trainer, objective: &Objective) {
        self.policy = StepPolicy::new(&trainer, objective);
        self.trainer = trainer;
    }

    /// Replaces the policy, for comparisons.
    pub fn set_policy(&mut self, policy: StepPolicy) {
        self.policy = policy;
    }

    /// Counters.
    pub fn stats(&self) -> &StepStats {
        &self.stats
    }

    /// Steps that are open.
    pub fn open_steps(&self) -> usize {
        self.steps.len()
    }

    /// Whether a step is open here.
    pub fn has_step(&self, step: StepNumber) -> bool {
        self.steps.contains_key(&step)
    }

    /// Time since a step was opened here.
    pub fn step_age(&self, now: Now, step: StepNumber) -> Option<Duration> {
        self.steps.get(&step).map(|step| now.saturating_sub(step.opened))
    }

    /// Takes a new step; the same step again is accepted again.
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
        self.make_room(now, spec.step, out)?;
        self.store_spec(&spec, out);
        self.open(now, spec, false);
        self.start_due(now, out);
        Ok(accepted)
    }

    /// Answers a trainer's pull: whole fresh groups that its cursor does not hold.
    pub fn pull(
        &mut self,
        now: Now,
        request: &PullRequest,
        out: &mut Vec<StepAction>,
    ) -> Result<PullAnswer, Refusal> {
        let cursor = &request.cursor;
        if !self.steps.contains_key(&cursor.step) {
            let message = format!(
                "step {} of trainer {:?} is not open here; submit it again",
                cursor.step, self.trainer.name
            );
            return Err(Refusal::new(ErrorKind::NotFound, message));
        }
        self.trainer_version = self.trainer_version.max(cursor.weights_version);
        self.drop_stale(now, cursor, out);
        let groups = self.ready_groups(cursor, request.max_groups as usize);
        let mut taken = cursor.taken.clone();
        taken.extend(groups.iter().map(|group| group.group));
        taken.sort_unstable();
        taken.dedup();
        let complete =
            self.steps[&cursor.step].groups.keys().all(|g| taken.binary_search(g).is_ok());
        self.stats.delivered += groups.iter().map(|g| g.samples.len() as u64).sum::<u64>();
        let cursor = Cursor { taken, ..cursor.clone() };
        Ok(PullAnswer { groups, cursor, complete })
    }

    /// Closes the steps that the trainer has left behind or holds whole.
    pub fn close_before(&mut self, now: Now, step: StepNumber, out: &mut Vec<StepAction>) {
        let closed: Vec<_> = self.steps.range(..step).map(|(number, _)| *number).collect();
        for number in closed {
            self.close(now, number, out);
        }
    }

    /// Takes news of work that this coordinator submitted.
    pub fn on_work(&mut self, now: Now, work: WorkId, event: WorkEvent, out: &mut Vec<StepAction>) {
        let Some(id) = self.works.get(&work).copied() else {
            self.stats.late_results += 1;
            return;
        };
        match event {
            WorkEvent::Started { server } => self.on_started(id, work, server),
            WorkEvent::Tokens { text, tokens, version } => {
                self.on_tokens(now, id, work, &text, tokens, version);
            }
            WorkEvent::Finished { progress } => self.on_generated(now, id, work, progress, out),
            WorkEvent::Answered { status, body } => {
                self.on_scored(now, id, work, status, &body, out);
            }
            WorkEvent::Failed { refusal, progress } => {
                self.on_failed(now, id, work, &refusal, progress);
            }
        }
    }

    /// Starts runs that are due: retries, regenerated samples and second runs of stragglers.
    pub fn tick(&mut self, now: Now, idle_slots: usize, out: &mut Vec<StepAction>) {
        self.start_due(now, out);
        self.cancel_doomed(now, out);
        self.hedge(now, idle_slots, out);
        self.retry_storage(now, out);
    }

    /// Drops everything, after another daemon became the coordinator.
    pub fn stand_down(&mut self, out: &mut Vec<StepAction>) {
        let mut works: Vec<_> = self.works.drain().map(|(work, _)| work).collect();
        works.sort_unstable();
        out.extend(works.into_iter().map(StepAction::Cancel));
        self.steps.clear();
    }

    fn make_room(
        &mut self,
        now: Now,
        step: StepNumber,
        out: &mut Vec<StepAction>,
    ) -> Result<(), Refusal> {
        while self.steps.len() >= OPEN_STEPS {
            let oldest = *self.steps.keys().next().expect("there are open steps");
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
                    self.works.remove(&run.work);
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

    fn ready_groups(&self, cursor: &Cursor, max: usize) -> Vec<GroupResult> {
        let step = &self.steps[&cursor.step];
        let wanted = |g: &&Group| !cursor.taken.contains(&g.spec.group);
        let ready = step.groups.values().filter(wanted).filter(|g| g.is_deliverable());
        let fresh = ready.filter(|g| self.is_fresh(g, cursor.weights_version));
        fresh.take(max).map(|g| g.result(cursor.step)).collect()
    }

    fn is_fresh(&self, group: &Group, trainer_version: WeightVersion) -> bool {
        let bound = self.trainer.staleness_bound;
        group.oldest_version().is_some_and(|oldest| oldest + bound >= trainer_version)
    }

    /// Regenerates the samples of whole groups that became too old to deliver.
    fn drop_stale(&mut self, now: Now, cursor: &Cursor, out: &mut Vec<StepAction>) {
        let bound = self.trainer.staleness_bound;
        let Some(step) = self.steps.get_mut(&cursor.step) else { return };
        for group in step.groups.values_mut() {
            if cursor.taken.contains(&group.spec.group) {
                continue;
            }
            for slot in &mut group.slots {
                let Some(sample) = &slot.sample else { continue };
                if !is_sample_fresh(sample, bound, cursor.weights_version) {
                    self.stats.stale_discarded += 1;
                    self.stats.wasted_tokens += u64::from(sample.tokens);
                    slot.restart(now);
                    group.stage = GroupStage::Filling { replaces: group.stage.row_version() };
                }
            }
        }
        self.start_due(now, out);
    }

    fn on_started(&mut self, id: SlotId, work: WorkId, server: ServerId) {
        let Some(slot) = self.slot_mut(id) else { return };
        if let Some(run) = slot.runs.iter_mut().find(|run| run.work == work) {
            run.server = Some(server);
        }
    }

    fn on_tokens(
        &mut self,
        now: Now,
        id: SlotId,
        work: WorkId,
        text: &[u8],
        tokens: u32,
        version: WeightVersion,
    ) {
        let Some(slot) = self.slot_mut(id) else { return };
        let Some(run) = slot.runs.iter_mut().find(|run| run.work == work) else { return };
        run.tokens += tokens;
        run.progress.add(text, tokens, version);
        run.oldest = Some(run.oldest.map_or(version, |oldest| oldest.min(version)));
        run.first_token.get_or_insert(now);
    }

    fn on_generated(
        &mut self,
        now: Now,
        id: SlotId,
        work: WorkId,
        progress: Progress,
        out: &mut Vec<StepAction>,
    ) {
        self.works.remove(&work);
        let spent = self.cancel_other_runs(id, work, out);
        self.stats.wasted_tokens += spent;
        let text = match String::from_utf8(progress.text.to_vec()) {
            Ok(text) => text,
            Err(e) => String::from_utf8_lossy(e.as_bytes()).into_owned(),
        };
        let sample = Sample {
            index: id.index,
            text,
            tokens: progress.tokens,
            spans: progress.spans,
            score: 0.0,
        };
        let (score, trainer) = (self.new_work(id), self.trainer.scoring_service.clone());
        let Some(group) = self.group_mut(id) else { return };
        let prompt = group.spec.prompt.clone();
        let slot = &mut group.slots[id.index as usize];
        slot.runs = vec![Run::scoring(score, now)];
        let body = ScoreRequest { prompt, text: sample.text.clone() };
        slot.generated = Some(sample);
        let body = serde_json::to_vec(&body).expect("a score request is plain data");
        let work = score_work(score, trainer, Bytes::from(body), now + SCORE_TIMEOUT, id);
        out.push(StepAction::Submit(work));
    }

    fn on_scored(
        &mut self,
        now: Now,
        id: SlotId,
        work: WorkId,
        status: u16,
        body: &[u8],
        out: &mut Vec<StepAction>,
    ) {
        self.works.remove(&work);
        let answer: Result<ScoreAnswer, _> = serde_json::from_slice(body);
        let Some(group) = self.group_mut(id) else { return };
        let slot = &mut group.slots[id.index as usize];
        slot.runs.clear();
        match (status, answer) {
            (200, Ok(answer)) => {
                let Some(mut sample) = slot.generated.take() else { return };
                sample.score = answer.score;
                let tokens = u64::from(sample.tokens);
                slot.sample = Some(sample);
                self.stats.useful_tokens += tokens;
                self.store_group_if_whole(now, id, out);
            }
            _ => slot.retry_after(now, RETRY_FIRST, RETRY_DOUBLINGS),
        }
    }

    fn on_failed(
        &mut self,
        now: Now,
        id: SlotId,
        work: WorkId,
        refusal: &Refusal,
        progress: Progress,
    ) {
        self.works.remove(&work);
        let bound = self.trainer.staleness_bound;
        let trainer_version = self.trainer_version;
        let resume = self.policy.resume;
        let quarantined = refusal.kind == ErrorKind::Quarantined;
        let mut wasted = 0;
        if let Some(slot) = self.slot_mut(id) {
            slot.runs.retain(|run| run.work != work);
            let fresh = progress.oldest_version().is_some_and(|v| v + bound >= trainer_version);
            if fresh && resume && !quarantined && progress.tokens > slot.partial.tokens {
                wasted = u64::from(slot.partial.tokens);
                slot.partial = progress;
            } else {
                wasted = u64::from(progress.tokens);
            }
            if slot.runs.is_empty() {
                slot.retry_after(now, RETRY_FIRST, RETRY_DOUBLINGS);
            }
        }
        self.stats.wasted_tokens += wasted;
    }

    fn cancel_other_runs(&mut self, id: SlotId, winner: WorkId, out: &mut Vec<StepAction>) -> u64 {
        let Some(slot) = self.slot_mut(id) else { return 0 };
        let (won, others): (Vec<_>, Vec<_>) =
            slot.runs.drain(..).partition(|run| run.work == winner);
        // What a second run went on from is not wasted.
        let used = won.first().filter(|run| run.hedge).map_or(0, Run::resumed_tokens);
        let wasted = |run: &Run| u64::from(run.progress.tokens.saturating_sub(used));
        let spent = if won.first().is_some_and(|run| run.hedge) {
            others.iter().map(wasted).sum()
        } else {
            others.iter().map(|run| u64::from(run.tokens)).sum()
        };
        self.stats.hedge_wasted_tokens += spent;
        for run in others {
            self.works.remove(&run.work);
            out.push(StepAction::Cancel(run.work));
        }
        spent
    }

    /// Submits all slots that have nothing running and whose time has come.
    fn start_due(&mut self, now: Now, out: &mut Vec<StepAction>) {
        let due: Vec<_> =
            self.startable_slots().filter(|(_, slot)| slot.is_due(now)).map(|(id, _)| id).collect();
        for id in due {
            let scored_again = self.slot_mut(id).is_some_and(|slot| slot.generated.is_some());
            if scored_again {
                self.score_again(now, id, out);
            } else {
                self.start_run(now, id, None, out);
            }
        }
    }

    fn score_again(&mut self, now: Now, id: SlotId, out: &mut Vec<StepAction>) {
        let Some(sample) = self.slot_mut(id).and_then(|slot| slot.generated.clone()) else {
            return;
        };
        let progress = Progress {
            text: sample.text.as_bytes().into(),
            tokens: sample.tokens,
            spans: sample.spans,
        };
        self.on_generated(now, id, 0, progress, out);
    }

    /// Starts a run of a slot; a second run avoids the server of the first.
    fn start_run(
        &mut self,
        now: Now,
        id: SlotId,
        hedge: Option<group::Hedge>,
        out: &mut Vec<StepAction>,
    ) {
        let work = self.new_work(id);
        self.arrivals += 1;
        let hint = self.hint(id, hedge.is_some());
        let rank = self.order.rank(&hint);
        let min_version = self.policy.min_version(self.trainer_version);
        let deadline = now + self.policy.deadline;
        let (service, adapter) = (self.trainer.model.clone(), self.trainer.adapter.clone());
        let bound = self.trainer.staleness_bound;
        let trainer_version = self.trainer_version;
        let resumes = self.policy.resume;
        let Some(group) = self.group_mut(id) else { return };
        let spec = group.spec.clone();
        let slot = &mut group.slots[id.index as usize];
        if slot.partial.oldest_version().is_some_and(|v| v + bound < trainer_version) {
            let old = std::mem::take(&mut slot.partial);
            self.stats.wasted_tokens += u64::from(old.tokens);
        }
        let slot = &mut self.group_mut(id).expect("the group is open").slots[id.index as usize];
        let resume = match &hedge {
            Some(hedge) if resumes => hedge.progress.clone(),
            _ => slot.partial.clone(),
        };
        let seed = slot_seed(id, slot.restarts);
        let is_hedge = hedge.is_some();
        slot.runs.push(Run { progress: resume.clone(), ..Run::generating(work, now, is_hedge) });
        self.stats.resumes += u64::from(resume.tokens > 0);
        self.stats.hedges += u64::from(is_hedge);
        out.push(StepAction::Submit(Work {
            id: work,
            service,
            class: Class::Rollout,
            fingerprint: rollout_fingerprint(&self.trainer.model, &spec),
            prefix: fingerprint(&[spec.prompt.as_bytes()]),
            task: Task::Generate {
                prompt: Bytes::from(spec.prompt),
                adapter,
                max_tokens: spec.max_tokens,
                min_version,
                seed,
            },
            idempotent: true,
            deadline,
            rank,
            avoid: hedge.and_then(|h| h.avoid),
            resume,
        }));
    }

    fn hint(&self, id: SlotId, hedge: bool) -> RolloutHint {
        let step = &self.steps[&id.step];
        let group = &step.groups[&id.group];
        RolloutHint {
            step: id.step,
            expected_tokens: group.expected_tokens(),
            usage_per_mille: 0,
            arrival: self.arrivals,
            hedge,
        }
    }

    fn new_work(&mut self, id: SlotId) -> WorkId {
        self.next_work += 1;
        let work = (self.namespace << WORK_ID_BITS) | self.next_work;
        self.works.insert(work, id);
        work
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

    /// Slots whose group may be worked on.
    fn startable_slots(&self) -> impl Iterator<Item = (SlotId, &Slot)> {
        self.steps.iter().filter(|(_, step)| !step.recovering).flat_map(|(number, step)| {
            let filling = step.groups.values().filter(|group| group.is_filling());
            filling.flat_map(move |group| group.slots_of(*number))
        })
    }
}

/// Whether all tokens of a sample are within the staleness bound.
pub fn is_sample_fresh(sample: &Sample, bound: u64, trainer_version: WeightVersion) -> bool {
    let oldest = sample.spans.iter().map(|span| span.version).min();
    oldest.is_some_and(|oldest| oldest + bound >= trainer_version)
}

fn slot_seed(id: SlotId, restarts: u32) -> u64 {
    let parts = [id.step, u64::from(id.group), u64::from(id.index), u64::from(restarts)];
    let bytes: Vec<u8> = parts.iter().flat_map(|part| part.to_le_bytes()).collect();
    fingerprint(&[&bytes])
}

fn rollout_fingerprint(model: &str, spec: &GroupSpec) -> u64 {
    fingerprint(&[model.as_bytes(), spec.prompt.as_bytes(), &spec.max_tokens.to_le_bytes()])
}

fn score_work(id: WorkId, service: String, body: Bytes, deadline: Now, slot: SlotId) -> Work {
    Work {
        id,
        service: service.clone(),
        class: Class::Rollout,
        fingerprint: fingerprint(&[service.as_bytes(), &body]),
        prefix: 0,
        task: Task::Call { operation: SCORE_OPERATION.to_owned(), key: String::new(), body },
        idempotent: true,
        deadline,
        rank: slot.step,
        avoid: None,
        resume: Progress::default(),
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
