//! Bounds the lines that one kind of event may write in a second, so that a storm of one kind
//! leaves room for the others.

use std::time::Duration;

use rustc_hash::FxHashMap;

/// Lines of one kind in a second. At the target size a daemon takes 68 requests a second with up to
/// four lines each.
pub const LINES_PER_SECOND: u32 = 400;

/// Lines that were left out of one kind of event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeftOut {
    /// The event.
    pub event: String,
    /// Number of lines.
    pub count: u32,
}

/// What is left to each kind of event in the second that runs.
#[derive(Debug, Default)]
pub struct LogBudget {
    second: u64,
    /// Lines of this second by event, those left out included.
    lines: FxHashMap<String, u32>,
}

impl LogBudget {
    /// Whether a line of this event may be written in the second that runs.
    pub fn admit(&mut self, event: &str) -> bool {
        let lines = match self.lines.get_mut(event) {
            Some(lines) => lines,
            None => self.lines.entry(event.to_owned()).or_default(),
        };
        *lines = lines.saturating_add(1);
        *lines <= LINES_PER_SECOND
    }

    /// Goes on to the second of `since_start`; what was left out before, by event.
    pub fn advance(&mut self, since_start: Duration) -> Vec<LeftOut> {
        let second = since_start.as_secs();
        if second == self.second {
            return Vec::new();
        }
        self.second = second;
        let over = self.lines.drain().filter(|(_, lines)| *lines > LINES_PER_SECOND);
        let left = |(event, lines)| LeftOut { event, count: lines - LINES_PER_SECOND };
        let mut left_out: Vec<_> = over.map(left).collect();
        left_out.sort_by(|a, b| a.event.cmp(&b.event));
        left_out
    }
}
