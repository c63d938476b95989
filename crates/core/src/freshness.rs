//! Until when a daemon may act by what it last read from the store.
//!
//! A caller may end a job at any daemon, and the operator may change the desired state at any time. Both are
//! stored, and all daemons read them from the store. A change must be in effect everywhere within a
//! bound, so a daemon acts by what it knows only if its newest read is recent. If the store answers none
//! of its calls, it goes on by what it knows: otherwise nothing would be served for as long as the store
//! is away.

use std::time::Duration;

use crate::Now;

/// Part of the bound after which a store that answers nothing counts as away.
const AWAY_DIVISOR: u32 = 2;
/// Part of the bound between two ticks above which the process counts as stalled: what it did not handle
/// meanwhile says nothing about the store.
const STALL_DIVISOR: u32 = 12;

/// How recent the rows of a table are that a daemon knows. Times are of a clock that includes pauses of the
/// process and of the host.
#[derive(Debug)]
pub struct Freshness {
    /// Time within which a change must be in effect.
    bound: Duration,
    /// When the newest read was sent whose rows have all been applied.
    read_sent_at: Option<Now>,
    /// When the newest reply of the store was handled.
    replied_at: Now,
    ticked_at: Now,
    /// End of the last stall of the process.
    resumed_at: Now,
}

impl Freshness {
    /// Creates the state of a daemon that has read nothing yet. A change must be in effect within `bound`
    /// of its confirmation.
    pub fn new(bound: Duration) -> Freshness {
        Freshness {
            bound,
            read_sent_at: None,
            replied_at: Now::ZERO,
            ticked_at: Now::ZERO,
            resumed_at: Now::ZERO,
        }
    }

    /// Returns the time within which a change must be in effect.
    pub fn bound(&self) -> Duration {
        self.bound
    }

    /// Records that all rows of a read that was sent at `sent_at` have been applied.
    pub fn on_read(&mut self, sent_at: Now) {
        self.read_sent_at = self.read_sent_at.max(Some(sent_at));
    }

    /// Records that the process runs, and when it handled the newest reply of the store. Called many times
    /// a second.
    pub fn on_tick(&mut self, now: Now, replied_at: Now) {
        if self.is_stalled(now) {
            self.resumed_at = now;
        }
        self.ticked_at = now;
        self.replied_at = replied_at;
    }

    /// Returns how old the known rows may be; `None` if none were ever read.
    pub fn age(&self, now: Now) -> Option<Duration> {
        self.read_sent_at.map(|sent_at| now.saturating_sub(sent_at))
    }

    /// Returns whether something decided at `now` takes effect within the bound, if that is at most `lead`
    /// later.
    pub fn is_recent(&self, now: Now, lead: Duration) -> bool {
        self.age(now).is_some_and(|age| age + lead < self.bound)
    }

    /// Returns whether the daemon may act by what it knows: it is recent, or the store is away.
    pub fn may_act(&self, now: Now, lead: Duration) -> bool {
        self.read_sent_at.is_some() && (self.is_recent(now, lead) || self.is_store_away(now))
    }

    fn is_store_away(&self, now: Now) -> bool {
        let silence = now.saturating_sub(self.replied_at.max(self.resumed_at));
        !self.is_stalled(now) && silence >= self.bound / AWAY_DIVISOR
    }

    fn is_stalled(&self, now: Now) -> bool {
        now.saturating_sub(self.ticked_at) > self.bound / STALL_DIVISOR
    }
}
