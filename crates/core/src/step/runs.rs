//! Runs of samples: generation, scoring, retries and hedges.

use std::time::Duration;

use buckthornfall_proto::{
    digest::fingerprint,
    ids::{ServerId, WeightVersion},
    messages::{GroupSpec, Sample, ScoreAnswer, ScoreRequest},
};
use bytes::Bytes;

use super::{
    group::{Hedge, Run},
    SlotId, StepAction, StepCoordinator, SCORE_OPERATION, WORK_ID_BITS,
};
use crate::{
    dispatch::{Class, Progress, Task, Work, WorkEvent, WorkId},
    error::{ErrorKind, Refusal},
    order::{Order, RolloutHint},
    Now,
};

const RETRY_INITIAL_DELAY: Duration = Duration::from_millis(200);
const RETRY_MAX_DOUBLINGS: u32 = 5;
/// Samples in flight that count as the full share of a trainer with weight 1.
const SAMPLES_PER_WEIGHT: u32 = 16;
const SCORE_TIMEOUT: Duration = Duration::from_secs(30);

impl<O: Order> StepCoordinator<O> {
    /// Handles an event of work that this coordinator submitted.
    pub fn on_work(&mut self, now: Now, work: WorkId, event: WorkEvent, out: &mut Vec<StepAction>) {
        let Some(id) = self.slot_by_work.get(&work).copied() else {
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

    pub(super) fn on_started(&mut self, id: SlotId, work: WorkId, server: ServerId) {
        let Some(slot) = self.slot_mut(id) else { return };
        if let Some(run) = slot.runs.iter_mut().find(|run| run.work == work) {
            run.server = Some(server);
        }
    }

    pub(super) fn on_tokens(
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

    pub(super) fn on_generated(
        &mut self,
        now: Now,
        id: SlotId,
        work: WorkId,
        progress: Progress,
        out: &mut Vec<StepAction>,
    ) {
        self.slot_by_work.remove(&work);
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
        let (score_id, scoring_service) = (self.new_work(id), self.trainer.scoring_service.clone());
        let Some(group) = self.group_mut(id) else { return };
        let prompt = group.spec.prompt.clone();
        let slot = &mut group.slots[id.index as usize];
        slot.runs = vec![Run::scoring(score_id, now)];
        let body = ScoreRequest { prompt, text: sample.text.clone() };
        slot.generated = Some(sample);
        let body = serde_json::to_vec(&body).expect("a score request is plain data");
        let work =
            score_work(score_id, scoring_service, Bytes::from(body), now + SCORE_TIMEOUT, id);
        out.push(StepAction::Submit(work));
    }

    pub(super) fn on_scored(
        &mut self,
        now: Now,
        id: SlotId,
        work: WorkId,
        status: u16,
        body: &[u8],
        out: &mut Vec<StepAction>,
    ) {
        self.slot_by_work.remove(&work);
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
                self.store_group_if_complete(now, id, out);
            }
            _ => slot.retry_after(now, RETRY_INITIAL_DELAY, RETRY_MAX_DOUBLINGS),
        }
    }

    pub(super) fn on_failed(
        &mut self,
        now: Now,
        id: SlotId,
        work: WorkId,
        refusal: &Refusal,
        progress: Progress,
    ) {
        self.slot_by_work.remove(&work);
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
                slot.retry_after(now, RETRY_INITIAL_DELAY, RETRY_MAX_DOUBLINGS);
            }
        }
        self.stats.wasted_tokens += wasted;
    }

    pub(super) fn cancel_other_runs(
        &mut self,
        id: SlotId,
        winner: WorkId,
        out: &mut Vec<StepAction>,
    ) -> u64 {
        let Some(slot) = self.slot_mut(id) else { return 0 };
        let (winning, others): (Vec<_>, Vec<_>) =
            slot.runs.drain(..).partition(|run| run.work == winner);
        // Tokens of the first run that the hedge resumed from are not wasted.
        let used = winning.first().filter(|run| run.hedge).map_or(0, Run::resumed_tokens);
        let wasted = |run: &Run| u64::from(run.progress.tokens.saturating_sub(used));
        let spent = if winning.first().is_some_and(|run| run.hedge) {
            others.iter().map(wasted).sum()
        } else {
            others.iter().map(|run| u64::from(run.tokens)).sum()
        };
        self.stats.hedge_wasted_tokens += spent;
        for run in others {
            self.slot_by_work.remove(&run.work);
            out.push(StepAction::Cancel(run.work));
        }
        spent
    }

    /// Starts runs of all slots that have none and whose retry delay has passed.
    pub(super) fn start_due(&mut self, now: Now, out: &mut Vec<StepAction>) {
        let due: Vec<_> =
            self.startable_slots().filter(|(_, slot)| slot.is_due(now)).map(|(id, _)| id).collect();
        for id in due {
            let needs_scoring = self.slot_mut(id).is_some_and(|slot| slot.generated.is_some());
            if needs_scoring {
                self.retry_scoring(now, id, out);
            } else {
                self.start_run(now, id, None, out);
            }
        }
    }

    pub(super) fn retry_scoring(&mut self, now: Now, id: SlotId, out: &mut Vec<StepAction>) {
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

    /// Starts a run of a slot; a hedge avoids the server of the first run.
    pub(super) fn start_run(
        &mut self,
        now: Now,
        id: SlotId,
        hedge: Option<Hedge>,
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
        let may_resume = self.policy.resume;
        let Some(group) = self.group_mut(id) else { return };
        let spec = group.spec.clone();
        let slot = &mut group.slots[id.index as usize];
        if slot.partial.oldest_version().is_some_and(|v| v + bound < trainer_version) {
            let old = std::mem::take(&mut slot.partial);
            self.stats.wasted_tokens += u64::from(old.tokens);
        }
        let slot = &mut self.group_mut(id).expect("the group is open").slots[id.index as usize];
        let resume = match &hedge {
            Some(hedge) if may_resume => hedge.progress.clone(),
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

    pub(super) fn hint(&self, id: SlotId, hedge: bool) -> RolloutHint {
        let step = &self.steps[&id.step];
        let group = &step.groups[&id.group];
        RolloutHint {
            step: id.step,
            expected_tokens: group.expected_tokens(),
            usage_per_mille: self.usage_per_mille(),
            arrival: self.arrivals,
            hedge,
        }
    }

    /// Returns the trainer's samples in flight relative to its weighted share, in per mille.
    fn usage_per_mille(&self) -> u32 {
        let in_flight = self.slot_by_work.len() as u32;
        in_flight.saturating_mul(1000) / (SAMPLES_PER_WEIGHT * self.trainer.weight.max(1))
    }

    pub(super) fn new_work(&mut self, id: SlotId) -> WorkId {
        self.next_work += 1;
        let work = (self.namespace << WORK_ID_BITS) | self.next_work;
        self.slot_by_work.insert(work, id);
        work
    }
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
