//! Saved progress of unfinished samples, from which a new owner of their job resumes.
//!
//! Each owner saves under its own token, so the rows of one token are one owner's text in order.
//! A new owner resumes from the longest text of any token.

use std::collections::BTreeMap;

use buckthornfall_proto::messages::ProgressRow;
use rustc_hash::FxHashMap;

use super::{
    text::{Progress, MAX_FIRST_EVENT_ID},
    Job, Jobs, SampleId, SampleState, Text,
};

/// A progress row to save.
#[derive(Debug, Clone, PartialEq)]
pub struct ProgressWrite {
    /// Index of the sample in the job.
    pub sample: usize,
    /// Sequence number of the row among those of the sample.
    pub number: u32,
    /// Number of events of the sample that are saved once this row is written.
    pub events: usize,
    /// Size of the events in bytes, as they are encoded.
    pub bytes: usize,
    /// The row.
    pub row: ProgressRow,
}

/// Maximum rows per save; stays within the store's limit for a transaction.
const MAX_SAVE_ROWS: usize = 80;
/// Maximum event data per save, encoded; stays below the store's limit of 1 MB in base64.
const MAX_SAVE_BYTES: usize = 500_000;
/// Bytes of a row for what it holds besides events.
const ROW_FRAME_BYTES: usize = 2_048;
/// Minimum events of a sample worth saving: fewer are regenerated as fast as they are restored.
const MIN_SAVED_EVENTS: usize = 8;

impl Jobs {
    /// Returns the unsaved progress of a job, up to the limits of one transaction: for each sample one row of at
    /// most `row_bytes`. What is left over follows with the next save; a sample with an event that is longer than
    /// a row is saved up to it.
    pub fn unsaved(&self, id: &str, row_bytes: usize) -> Vec<ProgressWrite> {
        let Some(job) = self.jobs.get(id) else { return Vec::new() };
        let max_bytes = row_bytes.saturating_sub(ROW_FRAME_BYTES);
        let mut bytes = 0;
        let writes =
            (0..job.samples.len()).filter_map(|index| job.progress_write(index, max_bytes));
        let fits = |write: &ProgressWrite| {
            bytes += write.bytes;
            bytes <= MAX_SAVE_BYTES
        };
        writes.take(MAX_SAVE_ROWS).take_while(fits).collect()
    }

    /// Records that a progress row was saved.
    pub fn on_saved(&mut self, id: &str, write: &ProgressWrite) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(sample) = job.samples.get_mut(write.sample) else { return };
        if sample.next_row_number == write.number {
            sample.next_row_number += 1;
            sample.saved_events = write.events;
        }
    }
}

impl Job {
    fn progress_write(&self, index: usize, max_bytes: usize) -> Option<ProgressWrite> {
        let sample = &self.samples[index];
        let unfinished = matches!(
            sample.state,
            SampleState::Waiting(_)
                | SampleState::Running(_)
                | SampleState::Unscored(_)
                | SampleState::Scoring
        );
        if !unfinished || sample.text.events() < MIN_SAVED_EVENTS {
            return None;
        }
        let id = &self.spec.samples[index].id;
        let Progress { row, bytes } = sample.text.progress(id, sample.saved_events, max_bytes)?;
        let events = sample.saved_events + row.events.len();
        Some(ProgressWrite { sample: index, number: sample.next_row_number, events, bytes, row })
    }
}

/// Returns the longest saved text of each sample. `rows` pairs owner tokens with their rows, in key
/// order.
pub fn restore_texts(rows: &[(String, ProgressRow)]) -> FxHashMap<SampleId, Text> {
    let mut texts: BTreeMap<(&str, &str), Text> = BTreeMap::new();
    for (token, row) in rows {
        texts.entry((row.sample.as_str(), token.as_str())).or_default().restore(row);
    }
    let mut longest: FxHashMap<SampleId, Text> = FxHashMap::default();
    for ((sample, _), text) in texts {
        // With a row missing, the text starts in the middle of the sample and is unusable.
        if text.first_event().is_none_or(|first| first > MAX_FIRST_EVENT_ID) {
            continue;
        }
        let best = longest.entry(sample.to_owned()).or_default();
        if text.events() > best.events() {
            *best = text;
        }
    }
    longest
}
