//! Duties that one daemon at a time performs for all: when the holder of their lease may act.

use std::time::Duration;

use buckthornfall_proto::ids::Fence;

use crate::Now;

/// Outcome of a call to the platform that is a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The platform has accepted the call.
    Accepted,
    /// The platform has refused the call: it has seen a higher fencing token, or cannot do what it
    /// asks for now.
    Refused,
    /// More calls than the platform accepts; this one was not carried out.
    Busy,
    /// The platform was not reached; the call was not carried out.
    NotSent,
    /// There was no usable reply; the call may still be carried out later.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Term {
    fence: Fence,
    /// When calls may begin that nobody checks for their fencing token.
    calls_from: Now,
    /// When the lease ends unless it is renewed.
    until: Now,
}

/// State of the lease on the duties, as this daemon holds it.
///
/// Calls of two hosts on one matter must be some time apart, whichever way the lease changes hands
/// and comes back: a host that takes the lease over waits for that time before its first call, so
/// that no two calls of other hosts can enclose one of its own within that time.
#[derive(Debug, Default)]
pub struct Duties {
    term: Option<Term>,
}

/// The lease as its holder sees it.
#[derive(Debug, Clone, Copy)]
pub struct LeaseState {
    /// Fencing token, if the lease is held.
    pub fence: Option<Fence>,
    /// How long its holder may still act.
    pub time_left: Duration,
    /// Whether the holder before was an earlier process on the same host.
    pub is_own_before: bool,
}

impl Duties {
    /// Applies the state of the lease. `gap` is the minimum time between the calls of two hosts.
    pub fn on_lease(&mut self, now: Now, lease: LeaseState, gap: Duration) {
        let Some(fence) = lease.fence else {
            self.term = None;
            return;
        };
        let known = self.term.filter(|term| term.fence == fence);
        let wait = if lease.is_own_before { Duration::ZERO } else { gap };
        let calls_from = known.map_or(now + wait, |term| term.calls_from);
        self.term = Some(Term { fence, calls_from, until: now + lease.time_left });
    }

    /// Returns the fencing token while the lease is held. Orders to servers are kept apart by their
    /// records; see `weights`.
    pub fn lease_fence(&self, now: Now) -> Option<Fence> {
        self.term.filter(|term| now < term.until).map(|term| term.fence)
    }

    /// Returns the fencing token if a call may be sent at `now`.
    pub fn call_fence(&self, now: Now) -> Option<Fence> {
        let term = self.term.filter(|term| term.calls_from <= now && now < term.until)?;
        Some(term.fence)
    }
}
