//! Stall detection for event streams.

use std::time::Duration;

use crate::Now;

/// Minimum timeout between complete events; leaves room for a server to load weights.
pub const EVENT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The timeout of a slow stream is this multiple of its longest gap between events.
const SLOW_STREAM_FACTOR: u32 = 2;

/// Tracks when the next complete event of a stream is due. Other bytes, such as comments or parts
/// of an event that never completes, do not extend the deadline.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    last_event: Now,
    longest_gap: Duration,
}

impl Progress {
    /// Starts tracking a stream that begins at `now`.
    pub fn new(now: Now) -> Progress {
        Progress { last_event: now, longest_gap: Duration::ZERO }
    }

    /// Records a complete event.
    pub fn on_event(&mut self, now: Now) {
        let gap = now.saturating_sub(self.last_event);
        self.longest_gap = self.longest_gap.max(gap);
        self.last_event = now;
    }

    /// Returns the time from which the stream counts as stalled.
    pub fn deadline(&self) -> Now {
        self.last_event + EVENT_TIMEOUT.max(self.longest_gap * SLOW_STREAM_FACTOR)
    }
}
