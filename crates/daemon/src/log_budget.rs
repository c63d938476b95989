//! Limit of the log lines per event and second, so that a flood of one event does not crowd out the
//! others.

use std::time::Duration;

use rustc_hash::FxHashMap;

/// Maximum lines of one event per second. At the target size a daemon handles 68 requests per
/// second with up to four lines each.
pub const MAX_LINES_PER_SECOND: u32 = 400;

/// Lines of one event that were dropped within a second.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DroppedLines {
    /// Name of the event.
    pub event: String,
    /// Number of dropped lines.
    pub count: u32,
}

/// Counts the lines of each event in the current second.
#[derive(Debug, Default)]
pub struct LogBudget {
    second: u64,
    /// Lines of the current second by event, dropped ones included.
    lines: FxHashMap<String, u32>,
}

impl LogBudget {
    /// Counts a line of this event and returns whether it may be written in the current second.
    pub fn admit(&mut self, event: &str) -> bool {
        let lines = match self.lines.get_mut(event) {
            Some(lines) => lines,
            None => self.lines.entry(event.to_owned()).or_default(),
        };
        *lines = lines.saturating_add(1);
        *lines <= MAX_LINES_PER_SECOND
    }

    /// Moves on to the second of `since_start`. If that is another second, returns the lines
    /// dropped in the previous one, sorted by event.
    pub fn advance(&mut self, since_start: Duration) -> Vec<DroppedLines> {
        let second = since_start.as_secs();
        if second == self.second {
            return Vec::new();
        }
        self.second = second;
        let over = self.lines.drain().filter(|(_, lines)| *lines > MAX_LINES_PER_SECOND);
        let to_dropped =
            |(event, lines)| DroppedLines { event, count: lines - MAX_LINES_PER_SECOND };
        let mut dropped: Vec<_> = over.map(to_dropped).collect();
        dropped.sort_by(|a, b| a.event.cmp(&b.event));
        dropped
    }
}
