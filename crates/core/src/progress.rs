//! Whether a stream of events still goes on.

use std::time::Duration;

use crate::Now;

/// Longest time without a whole event: a load of weights, with room.
pub const EVENT_LIMIT: Duration = Duration::from_millis(2_000);
/// A stream whose events come slowly may take this many times its longest pause for the next one.
const SLOW_FACTOR: u32 = 2;

/// When the next whole event of a stream is due. Other bytes, such as comments or the pieces of an
/// event that never ends, put that off no further.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    last_event: Now,
    longest_pause: Duration,
}

impl Progress {
    /// A stream that begins now.
    pub fn new(now: Now) -> Progress {
        Progress { last_event: now, longest_pause: Duration::ZERO }
    }

    /// Takes a whole event.
    pub fn on_event(&mut self, now: Now) {
        let pause = now.saturating_sub(self.last_event);
        self.longest_pause = self.longest_pause.max(pause);
        self.last_event = now;
    }

    /// When the stream counts as stalled.
    pub fn due(&self) -> Now {
        self.last_event + EVENT_LIMIT.max(self.longest_pause * SLOW_FACTOR)
    }
}
