//! Time since the start of the process, as the decision logic counts it.

use std::time::Instant;

use buckthornfall_core::Now;

/// The start of one daemon.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Time since the start.
    pub fn at(self, instant: Instant) -> Now {
        instant.saturating_duration_since(self.start)
    }

    /// The instant of a time since the start.
    pub fn instant(self, now: Now) -> Instant {
        self.start + now
    }
}
