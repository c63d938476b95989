//! The text of one sample as its events arrive.

use buckthornfall_proto::ids::WeightVersion;
use bytes::Bytes;

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
        let follows = self.last.is_none_or(|last| id == last + 1);
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
