//! Planned stop (graceful shutdown) of a daemon, which lets requests in flight complete within a
//! timeout.

use std::time::Duration;

use crate::Now;

/// Stage of a daemon between start and exit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStage {
    /// Accepts requests and is listed in entry answers.
    Serving,
    /// Accepts requests, since callers may still use its address, but is no longer listed.
    Leaving,
    /// Refuses new requests and completes those in flight.
    Finishing,
    /// May exit: nothing is in flight, or the timeout has passed.
    Done,
}

/// Planned stop of one daemon.
#[derive(Debug)]
pub struct Drain {
    /// Time for which callers may cache an address.
    entry_valid: Duration,
    /// Maximum wait for requests in flight after `entry_valid`.
    timeout: Duration,
    since: Option<Now>,
}

impl Drain {
    /// Creates the state of a daemon that serves.
    pub fn new(entry_valid: Duration, timeout: Duration) -> Drain {
        Drain { entry_valid, timeout, since: None }
    }

    /// Starts the planned stop; further calls have no effect.
    pub fn begin(&mut self, now: Now) {
        self.since.get_or_insert(now);
    }

    /// Returns whether the planned stop has started.
    pub fn is_leaving(&self) -> bool {
        self.since.is_some()
    }

    /// Returns the stage, given the number of requests and writes in flight.
    pub fn stage(&self, now: Now, in_flight: usize) -> DrainStage {
        let Some(since) = self.since else { return DrainStage::Serving };
        let elapsed = now.saturating_sub(since);
        if elapsed < self.entry_valid {
            DrainStage::Leaving
        } else if in_flight == 0 || elapsed >= self.entry_valid + self.timeout {
            DrainStage::Done
        } else {
            DrainStage::Finishing
        }
    }
}
