//! Whether this daemon's calls reach the store directly or through another daemon.
//!
//! The store may refuse single daemons while it serves the others. Such a daemon asks one of the
//! others to make its calls, and goes back as soon as a call of its own is served.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::Now;

/// Failures of direct calls in a row after which calls go through others: one may be a reply that
/// was lost.
const FAILURES: u32 = 2;
/// Time for which a daemon that could not help is not asked again.
const PEER_PAUSE: Duration = Duration::from_secs(2);
/// Daemons that are asked for one call: two that do not answer take as long as a call may.
const MAX_PEERS: usize = 2;

/// Address of a daemon for other daemons.
pub type PeerAddress = String;

/// A change of the way that calls take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Calls go through other daemons from now on.
    Started,
    /// Calls go to the store again.
    Ended,
}

/// The way of this daemon's calls.
#[derive(Debug, Default)]
pub struct Relay {
    /// Failures of direct calls since the last one that was served.
    failures: u32,
    relaying: bool,
    /// Daemons that may help, the nearest first.
    peers: Vec<PeerAddress>,
    /// When daemons last failed to help.
    failed: FxHashMap<PeerAddress, Now>,
}

impl Relay {
    /// Whether calls go through other daemons.
    pub fn is_relaying(&self) -> bool {
        self.relaying
    }

    /// Sets the daemons that may help, the nearest first.
    pub fn set_peers(&mut self, peers: Vec<PeerAddress>) {
        self.failed.retain(|peer, _| peers.contains(peer));
        self.peers = peers;
    }

    /// Takes the outcome of a direct call.
    pub fn on_direct(&mut self, served: bool) -> Option<Change> {
        if served {
            self.failures = 0;
            return std::mem::take(&mut self.relaying).then_some(Change::Ended);
        }
        self.failures += 1;
        let starts = !self.relaying && self.failures >= FAILURES;
        self.relaying |= starts;
        starts.then_some(Change::Started)
    }

    /// Takes the outcome of a call through another daemon.
    pub fn on_peer(&mut self, now: Now, peer: &str, served: bool) {
        if served {
            self.failed.remove(peer);
        } else {
            self.failed.insert(peer.to_owned(), now);
        }
    }

    /// Daemons to ask, in this order; none if calls go to the store.
    pub fn candidates(&self, now: Now) -> Vec<PeerAddress> {
        if !self.relaying {
            return Vec::new();
        }
        let may_help = |peer: &&PeerAddress| {
            self.failed.get(*peer).is_none_or(|at| now.saturating_sub(*at) >= PEER_PAUSE)
        };
        self.peers.iter().filter(may_help).take(MAX_PEERS).cloned().collect()
    }
}
