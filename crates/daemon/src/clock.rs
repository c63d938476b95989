//! Conversion between instants and the decision logic's time, which starts with the daemon.

use std::time::Instant;

use buckthornfall_core::Now;

/// Clock of a daemon.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the time from the start to `instant`.
    pub fn at(self, instant: Instant) -> Now {
        instant.saturating_duration_since(self.start)
    }

    /// Returns the instant at which the time since the start is `now`.
    pub fn instant(self, now: Now) -> Instant {
        self.start + now
    }
}
