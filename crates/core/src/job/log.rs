//! The result log of a job, in which each position is written exactly once.

use std::time::Duration;

use buckthornfall_proto::messages::ResultRow;

use super::{Job, JobAction, SampleState};
use crate::Now;

/// Results appended at consecutive positions.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// Position of the first result.
    pub first: usize,
    /// The results.
    pub results: Vec<ResultRow>,
}

/// Outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendEnd {
    /// The store confirmed the append.
    Done,
    /// A position is already taken.
    Conflict,
    /// The append had no effect.
    Refused,
    /// The append may have taken effect, or may do so later.
    Unknown,
}

/// Maximum results per append: half of a transaction's row limit, as a large result takes two rows.
const MAX_BATCH_RESULTS: usize = 45;
/// Maximum text per append; stays below the store's limit of 1 MB once encoded.
const MAX_BATCH_BYTES: usize = 500_000;
/// Delay before a failed append is retried.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(150);

#[derive(Debug, Default)]
pub(super) struct ResultLog {
    /// Number of positions known to be written.
    listed: usize,
    /// The current append and the indices of its samples. It is retried unchanged until its outcome
    /// is known, so that a delayed write can only store these same results.
    pending: Option<(Batch, Vec<usize>)>,
    in_flight: bool,
    retry_at: Now,
}

impl Job {
    /// Starts the next append if none is in flight.
    pub(super) fn append(&mut self, now: Now, id: &str, out: &mut Vec<JobAction>) {
        if self.log.in_flight || now < self.log.retry_at {
            return;
        }
        if self.log.pending.is_none() {
            self.log.pending = self.next_batch();
        }
        if let Some((batch, _)) = &self.log.pending {
            self.log.in_flight = true;
            out.push(JobAction::Append { job: id.to_owned(), batch: batch.clone() });
        }
    }

    pub(super) fn on_appended(
        &mut self,
        now: Now,
        id: &str,
        end: AppendEnd,
        out: &mut Vec<JobAction>,
    ) {
        match end {
            AppendEnd::Done => {
                self.log.in_flight = false;
                let Some((batch, indices)) = self.log.pending.take() else { return };
                self.log.listed = batch.first + batch.results.len();
                indices.iter().for_each(|index| self.mark_listed(*index));
                self.append(now, id, out);
            }
            AppendEnd::Conflict => out.push(JobAction::ReadLog { job: id.to_owned() }),
            AppendEnd::Refused | AppendEnd::Unknown => {
                self.log.in_flight = false;
                self.log.retry_at = now + APPEND_RETRY_DELAY;
            }
        }
    }

    /// Applies the complete log as read from the store.
    pub(super) fn on_listed(&mut self, listed: &[ResultRow]) {
        self.log.in_flight = false;
        self.log.pending = None;
        self.log.listed = listed.len();
        for row in listed {
            let index = self.spec.samples.iter().position(|sample| sample.id == row.id);
            if let Some(index) = index {
                self.mark_listed(index);
            }
        }
    }

    fn mark_listed(&mut self, index: usize) {
        self.samples[index].state = SampleState::Listed;
        self.samples[index].text = super::Text::default();
    }

    fn next_batch(&self) -> Option<(Batch, Vec<usize>)> {
        let finished = |index: &usize| self.samples[*index].state == SampleState::Finished;
        let mut indices = Vec::new();
        let mut results = Vec::new();
        let mut bytes = 0;
        for index in (0..self.samples.len()).filter(finished).take(MAX_BATCH_RESULTS) {
            let row = self.result(index);
            bytes += row.text.len();
            if bytes > MAX_BATCH_BYTES && !results.is_empty() {
                break;
            }
            indices.push(index);
            results.push(row);
        }
        let batch = Batch { first: self.log.listed, results };
        (!indices.is_empty()).then_some((batch, indices))
    }

    fn result(&self, index: usize) -> ResultRow {
        let sample = &self.samples[index];
        ResultRow {
            id: self.spec.samples[index].id.clone(),
            complete: sample.text.complete,
            text: sample.text.joined(),
            versions: sample.text.versions().to_vec(),
            score: sample.text.score.clone(),
        }
    }
}
