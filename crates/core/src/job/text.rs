//! The text of one sample as its events arrive.

use buckthornfall_proto::{ids::WeightVersion, messages::ProgressRow};
use bytes::Bytes;

/// Highest id that the first event of a text may have.
pub(super) const FIRST_EVENT: u64 = 1;

/// Events of a sample, and the versions of the weights that made them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Text {
    /// Data of the events, in order, without gaps.
    events: Vec<Bytes>,
    /// Id of the last event; `None` without events.
    last: Option<u64>,
    /// Versions that made an event, each once, in order.
    versions: Vec<WeightVersion>,
    /// Version that makes the next event.
    current: Option<WeightVersion>,
    /// Whether the last event is there.
    pub complete: bool,
    /// The score; empty until there is one.
    pub score: String,
}

impl Text {
    /// Whether there are no events.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Id of the last event.
    pub fn last_event(&self) -> Option<u64> {
        self.last
    }

    /// Number of events.
    pub fn events(&self) -> usize {
        self.events.len()
    }

    /// Versions that made an event.
    pub fn versions(&self) -> &[WeightVersion] {
        &self.versions
    }

    /// Sets the version that makes the events from here on.
    pub fn set_version(&mut self, version: WeightVersion) {
        self.current = Some(version);
    }

    /// Whether the next event would bring a second version into the text.
    pub fn is_mixed(&self) -> bool {
        self.versions.iter().any(|version| Some(*version) != self.current)
    }

    /// Appends an event; false if it does not follow the last one or its version is not known.
    pub fn push(&mut self, id: u64, data: Bytes) -> bool {
        let follows = self.last.map_or(id <= FIRST_EVENT, |last| id == last + 1);
        let Some(version) = self.current.filter(|_| follows) else { return false };
        if !self.versions.contains(&version) {
            self.versions.push(version);
        }
        self.last = Some(id);
        self.events.push(data);
        true
    }

    /// Whether all versions are allowed.
    pub fn fits(&self, min: WeightVersion, single: bool) -> bool {
        self.versions.iter().all(|version| *version >= min) && !(single && self.versions.len() > 1)
    }

    /// Drops a text that may not go on: one with a version that is not allowed, or one that must
    /// be of a single version and might meet another one.
    pub fn prepare(&mut self, min: WeightVersion, single: bool) {
        if !self.fits(min, single) || single {
            *self = Text::default();
        }
        self.current = None;
    }

    /// The events from index `from` on, to be saved; `None` if there are none.
    pub fn progress(&self, sample: &str, from: usize) -> Option<ProgressRow> {
        let last = self.last?;
        let events = self.events.get(from..).filter(|events| !events.is_empty())?;
        let count = u64::try_from(events.len()).ok()?;
        Some(ProgressRow {
            sample: sample.to_owned(),
            first: last + 1 - count,
            events: events.iter().map(|e| String::from_utf8_lossy(e).into_owned()).collect(),
            versions: self.versions.clone(),
        })
    }

    /// Appends what one owner saved; a row that does not follow the last one starts a new text.
    pub fn restore(&mut self, row: &ProgressRow) {
        if self.last.is_none_or(|last| row.first != last + 1) {
            *self = Text::default();
        }
        let Ok(count) = u64::try_from(row.events.len()) else { return };
        self.events.extend(row.events.iter().map(|event| Bytes::from(event.clone())));
        self.last = (row.first + count).checked_sub(1);
        self.versions.clone_from(&row.versions);
    }

    /// Id of the first event.
    pub fn first_event(&self) -> Option<u64> {
        let count = u64::try_from(self.events.len()).ok()?;
        self.last.map(|last| last + 1 - count)
    }

    /// Data of all events, separated by line feeds.
    pub fn joined(&self) -> String {
        let mut text = String::with_capacity(self.events.iter().map(|e| e.len() + 1).sum());
        for (index, event) in self.events.iter().enumerate() {
            if index > 0 {
                text.push('\n');
            }
            text.push_str(&String::from_utf8_lossy(event));
        }
        text
    }
}
