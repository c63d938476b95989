//! The text of a sample, assembled from its stream of events.

use buckthornfall_proto::{
    ids::{SoftwareVersion, WeightVersion},
    messages::ProgressRow,
};
use bytes::Bytes;

/// Highest id allowed for the first event of a text.
pub(super) const MAX_FIRST_EVENT_ID: u64 = 1;

/// Maximum size of a text. A result of more exceeds the store's limit of 1 MB for a call once encoded.
const MAX_TEXT_BYTES: usize = 700_000;
/// Maximum number of events of a text.
const MAX_TEXT_EVENTS: usize = 200_000;

/// A progress row.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Progress {
    pub row: ProgressRow,
    /// Size of its events in bytes, as they are encoded.
    pub bytes: usize,
}

/// Returns the size of a text as an element of a list in JSON.
fn encoded_bytes(text: &str) -> usize {
    const QUOTES_AND_COMMA: usize = 3;
    let bytes = |byte: u8| match byte {
        b'"' | b'\\' => 2,
        0..=0x1f => 6,
        _ => 1,
    };
    text.bytes().map(bytes).sum::<usize>() + QUOTES_AND_COMMA
}

/// Events of a sample and the weight versions that generated them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Text {
    /// Event data, in order and without gaps.
    events: Vec<Bytes>,
    /// Size of the events with their separators.
    bytes: usize,
    /// Id of the last event; `None` if there are no events.
    last_id: Option<u64>,
    /// Distinct versions that generated an event, in order of first use.
    versions: Vec<WeightVersion>,
    /// For each version, the index of the first event that it may have generated; ascending.
    first_uses: Vec<usize>,
    /// Version that generates the next event.
    current_version: Option<WeightVersion>,
    /// Software version of the servers that generated the events.
    software: SoftwareVersion,
    /// Whether the stream has ended and all events were received.
    pub complete: bool,
    /// Score of the sample; empty until it is scored.
    pub score: String,
}

impl Text {
    /// Returns whether there are no events.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the id of the last event.
    pub fn last_event(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of events.
    pub fn events(&self) -> usize {
        self.events.len()
    }

    /// Returns the versions that generated an event.
    pub fn versions(&self) -> &[WeightVersion] {
        &self.versions
    }

    /// Returns the software version that generated the events; `None` if there are none.
    pub fn software(&self) -> Option<&SoftwareVersion> {
        (!self.is_empty()).then_some(&self.software)
    }

    /// Sets the software version of the next run; an existing text must be of the same one.
    pub fn set_software(&mut self, software: &str) {
        debug_assert!(self.is_empty() || self.software == software);
        software.clone_into(&mut self.software);
    }

    /// Sets the version that generates the following events.
    pub fn set_version(&mut self, version: WeightVersion) {
        self.current_version = Some(version);
    }

    /// Returns whether the next event would add a second version to the text.
    pub fn would_mix_versions(&self) -> bool {
        self.versions.iter().any(|version| Some(*version) != self.current_version)
    }

    /// Returns whether the text would be longer than any result may be with another event.
    pub fn is_too_long_with(&self, data: &Bytes) -> bool {
        self.bytes + event_bytes(data) > MAX_TEXT_BYTES || self.events.len() >= MAX_TEXT_EVENTS
    }

    /// Appends an event. Returns false if its id does not follow the last one or its version is
    /// unknown.
    pub fn push(&mut self, id: u64, data: Bytes) -> bool {
        let follows = match self.last_id {
            Some(last) => last.checked_add(1) == Some(id),
            None => id <= MAX_FIRST_EVENT_ID,
        };
        let Some(version) = self.current_version.filter(|_| follows) else { return false };
        if !self.versions.contains(&version) {
            self.versions.push(version);
            self.first_uses.push(self.events.len());
        }
        self.last_id = Some(id);
        self.bytes += event_bytes(&data);
        self.events.push(data);
        true
    }

    /// Returns whether all versions are at least `min` and, if `single`, there is only one.
    pub fn allows_versions(&self, min: WeightVersion, single: bool) -> bool {
        self.versions.iter().all(|version| *version >= min) && !(single && self.versions.len() > 1)
    }

    /// Prepares for the next run. Discards text that cannot be resumed: text with a disallowed
    /// version, or any text if `single` is set, as the next run may use another version.
    pub fn prepare(&mut self, min: WeightVersion, single: bool) {
        if !self.allows_versions(min, single) || single {
            *self = Text::default();
        }
        self.current_version = None;
    }

    /// Returns the events from index `from` as a progress row, as many as fit into `max_bytes` once encoded;
    /// `None` if there are none.
    pub(super) fn progress(&self, sample: &str, from: usize, max_bytes: usize) -> Option<Progress> {
        let unsaved = u64::try_from(self.events.len().checked_sub(from)?).ok()?;
        let first = self.last_id?.checked_add(1)?.checked_sub(unsaved)?;
        let (mut events, mut bytes) = (Vec::new(), 0);
        for event in &self.events[from..] {
            let event = String::from_utf8_lossy(event).into_owned();
            let size = encoded_bytes(&event);
            if bytes + size > max_bytes {
                break;
            }
            events.push(event);
            bytes += size;
        }
        let versions = self.versions_until(from + events.len());
        let software = self.software.clone();
        let row = ProgressRow { sample: sample.to_owned(), first, events, versions, software };
        (!row.events.is_empty()).then_some(Progress { row, bytes })
    }

    /// Appends a progress row of one owner; a row that does not follow the last one starts a new
    /// text.
    pub fn restore(&mut self, row: &ProgressRow) {
        let is_same_software = self.software == row.software;
        let next = self.last_id.and_then(|last| last.checked_add(1));
        if next != Some(row.first) || !is_same_software {
            *self = Text { software: row.software.clone(), ..Text::default() };
        }
        let count = row.events.len() as u64;
        // A row with ids that no events can have leaves no text to go on with.
        let Some(end) = row.first.checked_add(count) else {
            *self = Text::default();
            return;
        };
        let first = self.events.len();
        self.events.extend(row.events.iter().map(|event| Bytes::from(event.clone())));
        self.bytes += self.events[first..].iter().map(event_bytes).sum::<usize>();
        self.last_id = end.checked_sub(1);
        // A version that is new in this row generated some event of it.
        self.first_uses.resize(row.versions.len(), first);
        self.versions.clone_from(&row.versions);
    }

    /// Returns the versions that generated the events before index `end`.
    fn versions_until(&self, end: usize) -> Vec<WeightVersion> {
        let uses = self.versions.iter().zip(&self.first_uses);
        uses.filter(|(_, first)| **first < end).map(|(version, _)| *version).collect()
    }

    /// Returns the id of the first event.
    pub fn first_event(&self) -> Option<u64> {
        let others = u64::try_from(self.events.len()).ok()?.checked_sub(1)?;
        self.last_id?.checked_sub(others)
    }

    /// Returns the data of all events, separated by line feeds.
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

fn event_bytes(data: &Bytes) -> usize {
    data.len() + 1
}
