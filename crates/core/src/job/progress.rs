//! What is saved of samples that are not finished, so that a new owner of their job goes on from it.
//!
//! Each owner saves under a token of its own, so the rows of one token are the text of one owner,
//! in order. A new owner takes the longest text of any token.

use std::collections::BTreeMap;

use buckthornfall_proto::messages::ProgressRow;
use rustc_hash::FxHashMap;

use super::{text::FIRST_EVENT, Job, Jobs, SampleId, State, Text};

/// A row to save.
#[derive(Debug, Clone, PartialEq)]
pub struct Saving {
    /// Index of the sample in its job.
    pub sample: usize,
    /// Number of the row among those of the sample.
    pub number: u32,
    /// Events of the sample that are saved with it.
    pub events: usize,
    /// The row.
    pub row: ProgressRow,
}

/// Rows saved at a time, within what one transaction may hold.
const SAVED_ROWS: usize = 80;
/// Bytes saved at a time, under the store's megabyte with its encoding.
const SAVED_BYTES: usize = 500_000;
/// Events of a sample from which it is worth saving: fewer are generated again as fast.
const MIN_EVENTS: usize = 8;

impl Jobs {
    /// What should be saved of a job now.
    pub fn unsaved(&self, id: &str) -> Vec<Saving> {
        let Some(job) = self.jobs.get(id) else { return Vec::new() };
        let mut bytes = 0;
        let savings = (0..job.samples.len()).filter_map(|index| job.saving(index));
        let fits = |saving: &Saving| {
            bytes += saving.row.events.iter().map(String::len).sum::<usize>();
            bytes <= SAVED_BYTES
        };
        savings.take(SAVED_ROWS).take_while(fits).collect()
    }

    /// Notes that a row was saved.
    pub fn on_saved(&mut self, id: &str, saving: &Saving) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(sample) = job.samples.get_mut(saving.sample) else { return };
        if sample.saved_rows == saving.number {
            sample.saved_rows += 1;
            sample.saved = saving.events;
        }
    }
}

impl Job {
    fn saving(&self, index: usize) -> Option<Saving> {
        let sample = &self.samples[index];
        let unfinished = matches!(
            sample.state,
            State::Waiting(_) | State::Running(_) | State::Unscored(_) | State::Scoring
        );
        let events = sample.text.events();
        if !unfinished || events < MIN_EVENTS {
            return None;
        }
        let row = sample.text.progress(&self.spec.samples[index].id, sample.saved)?;
        Some(Saving { sample: index, number: sample.saved_rows, events, row })
    }
}

/// The longest text of each sample among the rows that owners saved, in order of their keys.
pub fn restored(rows: &[(String, ProgressRow)]) -> FxHashMap<SampleId, Text> {
    let mut texts: BTreeMap<(&str, &str), Text> = BTreeMap::new();
    for (token, row) in rows {
        texts.entry((row.sample.as_str(), token.as_str())).or_default().restore(row);
    }
    let mut longest: FxHashMap<SampleId, Text> = FxHashMap::default();
    for ((sample, _), text) in texts {
        // A row in the middle may be missing; what follows it is no start of a text.
        if text.first_event().is_none_or(|first| first > FIRST_EVENT) {
            continue;
        }
        let known = longest.entry(sample.to_owned()).or_default();
        if text.events() > known.events() {
            *known = text;
        }
    }
    longest
}
