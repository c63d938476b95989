//! Groups of samples, and the slot of each sample with its runs.

use std::time::Duration;

use buckthornfall_proto::{
    ids::{ServerId, StepNumber, WeightVersion},
    messages::{GroupResult, GroupSpec, Sample},
};

use super::SlotId;
use crate::{
    dispatch::{Progress, WorkId},
    Now,
};

/// Second run of a straggler on another server.
#[derive(Debug, Clone)]
pub(super) struct Hedge {
    /// Server of the first run, which the second run avoids.
    pub(super) avoid: Option<ServerId>,
    /// Output of the first run so far.
    pub(super) progress: Progress,
}

/// One run of a slot: generating or scoring its sample.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) work: WorkId,
    pub(super) started: Now,
    /// Server of the latest attempt.
    pub(super) server: Option<ServerId>,
    /// Output so far, including the tokens that the run resumed from.
    pub(super) progress: Progress,
    pub(super) first_token: Option<Now>,
    /// Tokens that this run itself produced.
    pub(super) tokens: u32,
    /// Oldest weight version that produced any of them.
    pub(super) oldest: Option<WeightVersion>,
    pub(super) hedge: bool,
    pub(super) scoring: bool,
}

impl Run {
    pub(super) fn generating(work: WorkId, now: Now, hedge: bool) -> Run {
        Run {
            work,
            started: now,
            server: None,
            progress: Progress::default(),
            first_token: None,
            tokens: 0,
            oldest: None,
            hedge,
            scoring: false,
        }
    }

    pub(super) fn scoring(work: WorkId, now: Now) -> Run {
        Run { scoring: true, ..Run::generating(work, now, false) }
    }

    /// Returns the number of tokens of an earlier run that this one resumed from.
    pub(super) fn resumed_tokens(&self) -> u32 {
        self.progress.tokens - self.tokens
    }

    /// Returns the tokens per second since the first token.
    pub(super) fn rate(&self, now: Now) -> Option<f64> {
        let elapsed = now.saturating_sub(self.first_token?).as_secs_f64();
        (elapsed > 0.0).then(|| f64::from(self.tokens) / elapsed)
    }
}

/// Slot of one sample in a group.
#[derive(Debug, Default)]
pub(super) struct Slot {
    /// Active runs; at most two.
    pub(super) runs: Vec<Run>,
    /// Output of failed runs that the next run resumes from.
    pub(super) partial: Progress,
    /// Sample that is generated but not scored yet.
    pub(super) generated: Option<Sample>,
    /// Complete sample: generated and scored.
    pub(super) sample: Option<Sample>,
    /// Number of times that the sample was discarded and generated again.
    pub(super) restarts: u32,
    not_before: Now,
    failures: u32,
}

impl Slot {
    /// Returns whether a run should start.
    pub(super) fn is_due(&self, now: Now) -> bool {
        self.sample.is_none() && self.runs.is_empty() && now >= self.not_before
    }

    /// Discards the sample, so that it is generated again.
    pub(super) fn restart(&mut self, now: Now) {
        self.sample = None;
        self.generated = None;
        self.partial = Progress::default();
        self.restarts += 1;
        self.not_before = now;
    }

    /// Delays the next run; the delay doubles with each failure, up to `max_doublings` times.
    pub(super) fn retry_after(&mut self, now: Now, initial_delay: Duration, max_doublings: u32) {
        self.not_before = now + initial_delay * 2u32.pow(self.failures.min(max_doublings));
        self.failures += 1;
    }

    /// Returns the number of tokens produced by active runs.
    pub(super) fn running_tokens(&self) -> u64 {
        self.runs.iter().map(|run| u64::from(run.tokens)).sum()
    }
}

/// Stage of a group between generation and storage.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum GroupStage {
    /// Samples are missing. The row, if one was written, has version `expected_row_version`.
    Collecting { expected_row_version: u64 },
    /// Complete; the object or the row is being written.
    Storing {
        object: String,
        attempt: String,
        expected_row_version: u64,
        object_stored: bool,
        retry_at: Now,
        since: Now,
    },
    /// Complete; the row names the object of another coordinator, which is being read.
    Fetching { object: String, row_version: u64 },
    /// Complete, and the row names this content.
    Stored { row_version: u64 },
}

impl GroupStage {
    pub(super) fn row_version(&self) -> u64 {
        match self {
            GroupStage::Collecting { expected_row_version }
            | GroupStage::Storing { expected_row_version, .. } => *expected_row_version,
            GroupStage::Fetching { row_version, .. } | GroupStage::Stored { row_version } => {
                *row_version
            }
        }
    }
}

/// One group of a step.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) spec: GroupSpec,
    /// One slot for each sample, by index.
    pub(super) slots: Vec<Slot>,
    pub(super) stage: GroupStage,
    /// Whether the group may be delivered without a row, because the table service did not answer
    /// in time.
    pub(super) deliver_without_row: bool,
}

impl Group {
    pub(super) fn new(spec: GroupSpec) -> Group {
        let slots = (0..spec.samples).map(|_| Slot::default()).collect();
        Group {
            spec,
            slots,
            stage: GroupStage::Collecting { expected_row_version: 0 },
            deliver_without_row: false,
        }
    }

    /// Returns the slots with their ids.
    pub(super) fn slots_of(&self, step: StepNumber) -> impl Iterator<Item = (SlotId, &Slot)> {
        let group = self.spec.group;
        let id = move |index| SlotId { step, group, index };
        self.slots.iter().zip(0..).map(move |(slot, index)| (id(index), slot))
    }

    pub(super) fn is_collecting(&self) -> bool {
        matches!(self.stage, GroupStage::Collecting { .. })
    }

    pub(super) fn is_complete(&self) -> bool {
        self.slots.iter().all(|slot| slot.sample.is_some())
    }

    pub(super) fn is_deliverable(&self) -> bool {
        self.is_complete()
            && (matches!(self.stage, GroupStage::Stored { .. }) || self.deliver_without_row)
    }

    pub(super) fn result(&self, step: StepNumber) -> GroupResult {
        let samples = self.slots.iter().filter_map(|slot| slot.sample.clone()).collect();
        GroupResult { step, group: self.spec.group, samples }
    }

    pub(super) fn oldest_version(&self) -> Option<WeightVersion> {
        let samples = self.slots.iter().filter_map(|slot| slot.sample.as_ref());
        samples.flat_map(|sample| &sample.spans).map(|span| span.version).min()
    }

    /// Returns the mean length of the complete samples, or the maximum length if there are none.
    pub(super) fn expected_tokens(&self) -> u32 {
        let lengths = self.slots.iter().filter_map(|slot| slot.sample.as_ref());
        let (count, sum) = lengths.fold((0u32, 0u32), |(n, s), sample| (n + 1, s + sample.tokens));
        sum.checked_div(count).unwrap_or(self.spec.max_tokens)
    }
}
