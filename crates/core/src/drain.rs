//! Planned stop of a daemon: it cuts no request off.

use std::time::Duration;

use crate::Now;

/// Where a daemon stands between start and exit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStage {
    /// Takes requests and is named in entry answers.
    Serving,
    /// Takes requests, for callers may still hold its address, but is not named any more.
    Leaving,
    /// Refuses new requests and finishes those in flight.
    Finishing,
    /// May exit.
    Done,
}

/// The planned stop of one daemon.
#[derive(Debug)]
pub struct Drain {
    /// How long callers may keep an address.
    entry_valid: Duration,
    /// Longest wait for requests in flight.
    limit: Duration,
    since: Option<Now>,
}

impl Drain {
    /// A daemon that serves.
    pub fn new(entry_valid: Duration, limit: Duration) -> Drain {
        Drain { entry_valid, limit, since: None }
    }

    /// Starts the planned stop; a second call changes nothing.
    pub fn begin(&mut self, now: Now) {
        self.since.get_or_insert(now);
    }

    /// Whether the planned stop began.
    pub fn is_leaving(&self) -> bool {
        self.since.is_some()
    }

    /// The stage, with `in_flight` requests and writes not yet ended.
    pub fn stage(&self, now: Now, in_flight: usize) -> DrainStage {
        let Some(since) = self.since else { return DrainStage::Serving };
        let elapsed = now.saturating_sub(since);
        if elapsed < self.entry_valid {
            DrainStage::Leaving
        } else if in_flight == 0 || elapsed >= self.entry_valid + self.limit {
            DrainStage::Done
        } else {
            DrainStage::Finishing
        }
    }
}
