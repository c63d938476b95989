//! Groups of samples and the runs of each sample's slot.

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

/// Where to run a straggler a second time.
#[derive(Debug, Clone)]
pub(super) struct Hedge {
    /// Server of the first run.
    pub(super) avoid: Option<ServerId>,
    /// What the first run has produced.
    pub(super) progress: Progress,
}

/// One run of a slot: a generation or a scoring.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) work: WorkId,
    pub(super) started: Now,
    /// Server of the newest attempt.
    pub(super) server: Option<ServerId>,
    /// Tokens so far, those that the run went on from included.
    pub(super) progress: Progress,
    pub(super) first_token: Option<Now>,
    /// Tokens that this run produced.
    pub(super) tokens: u32,
    /// Oldest version that produced any of them.
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

    /// Tokens of an earlier run that this one went on from.
    pub(super) fn resumed_tokens(&self) -> u32 {
        self.progress.tokens - self.tokens
    }

    /// Tokens a second since the first one.
    pub(super) fn rate(&self, now: Now) -> Option<f64> {
        let elapsed = now.saturating_sub(self.first_token?).as_secs_f64();
        (elapsed > 0.0).then(|| f64::from(self.tokens) / elapsed)
    }
}

/// One sample to be.
#[derive(Debug, Default)]
pub(super) struct Slot {
    /// Runs now; at most two.
    pub(super) runs: Vec<Run>,
    /// Tokens of ended runs to go on from.
    pub(super) partial: Progress,
    /// Generated and not yet scored.
    pub(super) generated: Option<Sample>,
    /// Generated and scored.
    pub(super) sample: Option<Sample>,
    /// How often the sample was generated anew.
    pub(super) restarts: u32,
    not_before: Now,
    failures: u32,
}

impl Slot {
    /// Whether a run should start.
    pub(super) fn is_due(&self, now: Now) -> bool {
        self.sample.is_none() && self.runs.is_empty() && now >= self.not_before
    }

    /// Forgets the sample, so that it is generated again.
    pub(super) fn restart(&mut self, now: Now) {
        self.sample = None;
        self.generated = None;
        self.partial = Progress::default();
        self.restarts += 1;
        self.not_before = now;
    }

    /// Waits before the next run; each failure doubles the wait.
    pub(super) fn retry_after(&mut self, now: Now, first: Duration, doublings: u32) {
        self.not_before = now + first * 2u32.pow(self.failures.min(doublings));
        self.failures += 1;
    }

    /// Tokens of runs that have not ended.
    pub(super) fn running_tokens(&self) -> u64 {
        self.runs.iter().map(|run| u64::from(run.tokens)).sum()
    }
}

/// How far a group has come.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum GroupStage {
    /// Samples are missing. The row, if one was written, has version `replaces`.
    Filling { replaces: u64 },
    /// Whole; the object or the row is being written.
    Storing {
        object: String,
        attempt: String,
        replaces: u64,
        object_stored: bool,
        retry_at: Now,
        since: Now,
    },
    /// Whole; the object of another coordinator counts and is being read.
    Fetching { object: String, row_version: u64 },
    /// Whole, and the row names this content.
    Stored { row_version: u64 },
}

impl GroupStage {
    pub(super) fn row_version(&self) -> u64 {
        match self {
            GroupStage::Filling { replaces } | GroupStage::Storing { replaces, .. } => *replaces,
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
    /// Whether the table did not answer in time, so that the group is delivered without a row.
    pub(super) unstored: bool,
}

impl Group {
    pub(super) fn new(spec: GroupSpec) -> Group {
        let slots = (0..spec.samples).map(|_| Slot::default()).collect();
        Group { spec, slots, stage: GroupStage::Filling { replaces: 0 }, unstored: false }
    }

    /// The slots with their ids.
    pub(super) fn slots_of(&self, step: StepNumber) -> impl Iterator<Item = (SlotId, &Slot)> {
        let group = self.spec.group;
        let id = move |index| SlotId { step, group, index };
        self.slots.iter().zip(0..).map(move |(slot, index)| (id(index), slot))
    }

    pub(super) fn is_filling(&self) -> bool {
        matches!(self.stage, GroupStage::Filling { .. })
    }

    pub(super) fn is_whole(&self) -> bool {
        self.slots.iter().all(|slot| slot.sample.is_some())
    }

    pub(super) fn is_deliverable(&self) -> bool {
        self.is_whole() && (matches!(self.stage, GroupStage::Stored { .. }) || self.unstored)
    }

    pub(super) fn result(&self, step: StepNumber) -> GroupResult {
        let samples = self.slots.iter().filter_map(|slot| slot.sample.clone()).collect();
        GroupResult { step, group: self.spec.group, samples }
    }

    pub(super) fn oldest_version(&self) -> Option<WeightVersion> {
        let samples = self.slots.iter().filter_map(|slot| slot.sample.as_ref());
        samples.flat_map(|sample| &sample.spans).map(|span| span.version).min()
    }

    /// Mean length of the samples that are there, or the longest allowed length.
    pub(super) fn expected_tokens(&self) -> u32 {
        let lengths = self.slots.iter().filter_map(|slot| slot.sample.as_ref());
        let (count, sum) = lengths.fold((0u32, 0u32), |(n, s), sample| (n + 1, s + sample.tokens));
        sum.checked_div(count).unwrap_or(self.spec.max_tokens)
    }
}
