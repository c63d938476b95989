//! Relaying of store calls through other daemons.
//!
//! The store may refuse calls of one daemon while it serves the others. That daemon then relays its
//! calls through another one until a direct call succeeds again.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::Now;

/// Consecutive failures of direct calls after which calls are relayed; a single failure may be a
/// lost reply.
const FAILURE_THRESHOLD: u32 = 2;
/// Time for which a daemon that failed to relay a call is not tried again.
const PEER_COOLDOWN: Duration = Duration::from_secs(2);
/// Maximum daemons tried for one call: two timeouts use up the time allowed for a call.
const MAX_PEERS: usize = 2;

/// Address at which a daemon accepts connections of other daemons.
pub type PeerAddress = String;

/// Returns whether the store served a direct call, by the HTTP status of its reply, if there was one;
/// `None` if that tells nothing of this daemon's path to the store. A partition in which too many
/// transactions wait refuses those of all daemons, so sending them through another one only adds to them;
/// the reads of a daemon that the store turns away fail too.
pub fn is_served(status: Option<u16>, is_transaction: bool) -> Option<bool> {
    match status {
        Some(TOO_MANY_REQUESTS) if is_transaction => None,
        Some(TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE) | None => Some(false),
        Some(_) => Some(true),
    }
}

/// HTTP status 429.
const TOO_MANY_REQUESTS: u16 = 429;
/// HTTP status 503.
const SERVICE_UNAVAILABLE: u16 = 503;

/// A switch between direct and relayed calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Calls are relayed from now on.
    Started,
    /// Calls go directly to the store again.
    Ended,
}

/// Chooses between direct and relayed store calls.
#[derive(Debug, Default)]
pub struct Relay {
    /// Direct calls that failed since the last successful one.
    failures: u32,
    relaying: bool,
    /// Daemons that can relay calls, nearest first.
    peers: Vec<PeerAddress>,
    /// When each daemon last failed to relay a call.
    failed_at: FxHashMap<PeerAddress, Now>,
}

impl Relay {
    /// Returns whether calls are relayed.
    pub fn is_relaying(&self) -> bool {
        self.relaying
    }

    /// Sets the daemons that can relay calls, nearest first.
    pub fn set_peers(&mut self, peers: Vec<PeerAddress>) {
        self.failed_at.retain(|peer, _| peers.contains(peer));
        self.peers = peers;
    }

    /// Records the outcome of a direct call.
    pub fn on_direct(&mut self, served: bool) -> Option<Change> {
        if served {
            self.failures = 0;
            return std::mem::take(&mut self.relaying).then_some(Change::Ended);
        }
        self.failures += 1;
        let starts = !self.relaying && self.failures >= FAILURE_THRESHOLD;
        self.relaying |= starts;
        starts.then_some(Change::Started)
    }

    /// Records the outcome of a relayed call.
    pub fn on_peer(&mut self, now: Now, peer: &str, served: bool) {
        if served {
            self.failed_at.remove(peer);
        } else {
            self.failed_at.insert(peer.to_owned(), now);
        }
    }

    /// Returns the daemons to try, in order; empty if calls are not relayed.
    pub fn candidates(&self, now: Now) -> Vec<PeerAddress> {
        if !self.relaying {
            return Vec::new();
        }
        let is_available = |peer: &&PeerAddress| {
            self.failed_at.get(*peer).is_none_or(|at| now.saturating_sub(*at) >= PEER_COOLDOWN)
        };
        self.peers.iter().filter(is_available).take(MAX_PEERS).cloned().collect()
    }
}
