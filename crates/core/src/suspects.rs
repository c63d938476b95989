//! Requests that crash backend servers.
//!
//! A caller may retry such a request at any daemon. A lost response alone is no crash: connections end for many
//! reasons. It counts once the start of the server that ran the request is known to have ended, and each start
//! counts once, however many attempts of the request it interrupted. Daemons share the starts that each request
//! has ended. A request with `MAX_CRASHES` of them is no longer sent to any server; a response to it shows that it
//! does not crash servers, and clears what is known of it.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_proto::{
    digest::fingerprint,
    ids::{Fingerprint, ServerId},
};
use rustc_hash::FxHashMap;

use crate::Now;

/// Crashes after which a request is blocked.
pub const MAX_CRASHES: usize = 3;
/// Time after the last crash at which a count expires.
pub const COUNT_TTL: Duration = Duration::from_secs(120);
/// Delay between the crash that reaches the maximum and the block: attempts still in progress at that time may
/// have hit unrelated server failures.
const BLOCK_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of requests with a count.
const MAX_FINGERPRINTS: usize = 1_024;
/// Time after a lost response in which the end of its server counts as a crash; above the time in which the entry
/// of a silent server lapses.
const LOSS_TTL: Duration = Duration::from_secs(8);
/// Time for which a server is watched after a lost response.
pub const WATCH_TIME: Duration = Duration::from_secs(2);
/// Maximum number of lost responses that may turn out to be crashes.
const MAX_LOSSES: usize = 1_024;

/// Hash of a start of a server.
pub type StartKey = u64;

/// A start of a server: one process of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerStart {
    /// Id of the server.
    pub server: ServerId,
    /// Start time of the process, in Unix milliseconds.
    pub started_ms: u64,
}

impl ServerStart {
    /// Returns the hash under which daemons share it.
    pub fn key(&self) -> StartKey {
        fingerprint(&[self.server.as_bytes(), &self.started_ms.to_le_bytes()])
    }
}

/// A response that was lost with its connection.
#[derive(Debug)]
struct Loss {
    request: Fingerprint,
    start: ServerStart,
    at: Now,
}

/// Starts that ended while they ran a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Crashes {
    /// The starts, and whether this daemon has seen the crash itself.
    starts: BTreeMap<StartKey, bool>,
    /// Time of the last crash.
    last: Now,
    /// Time of the crash with which there were `MAX_CRASHES`. Later ones do not delay the block.
    full_at: Option<Now>,
}

impl Crashes {
    /// Creates the crashes that another daemon has shared.
    pub fn shared(starts: impl IntoIterator<Item = StartKey>, last: Now) -> Crashes {
        let mut crashes = Crashes::default();
        starts.into_iter().for_each(|start| crashes.add(start, false, last));
        crashes
    }

    /// Returns the starts.
    pub fn starts(&self) -> impl Iterator<Item = StartKey> + '_ {
        self.starts.keys().copied()
    }

    /// Returns the time of the last crash.
    pub fn last(&self) -> Now {
        self.last
    }

    fn is_expired(&self, now: Now) -> bool {
        now.saturating_sub(self.last) >= COUNT_TTL
    }

    fn add(&mut self, start: StartKey, is_own: bool, at: Now) {
        *self.starts.entry(start).or_default() |= is_own;
        self.last = self.last.max(at);
        if self.starts.len() >= MAX_CRASHES {
            self.full_at.get_or_insert(at);
        }
    }

    fn is_blocked(&self, now: Now) -> bool {
        let is_due = self.full_at.is_some_and(|at| now.saturating_sub(at) >= BLOCK_DELAY);
        is_due && !self.is_expired(now)
    }
}

/// Crashes by request, and lost responses that may turn out to be crashes.
#[derive(Debug, Default)]
pub struct Suspects {
    crashes: FxHashMap<Fingerprint, Crashes>,
    losses: Vec<Loss>,
}

impl Suspects {
    /// Records that the response to a request was lost with its connection to a server. Returns whether the
    /// server has to be watched: it is not yet for an earlier one.
    pub fn on_lost(&mut self, now: Now, request: Fingerprint, start: &ServerStart) -> bool {
        self.losses.retain(|loss| now.saturating_sub(loss.at) < LOSS_TTL);
        if self.losses.len() >= MAX_LOSSES {
            self.losses.remove(0);
        }
        let is_recent = |loss: &Loss| now.saturating_sub(loss.at) < WATCH_TIME;
        let is_watched = self.losses.iter().any(|loss| loss.start == *start && is_recent(loss));
        self.losses.push(Loss { request, start: start.clone(), at: now });
        !is_watched
    }

    /// Returns whether a response was lost with a connection to this start.
    pub fn has_lost(&self, start: &ServerStart) -> bool {
        self.losses.iter().any(|loss| loss.start == *start)
    }

    /// Returns the starts with whose connections responses were lost.
    pub fn lost_starts(&self) -> Vec<ServerStart> {
        let mut starts: Vec<ServerStart> = Vec::new();
        for loss in &self.losses {
            if !starts.contains(&loss.start) {
                starts.push(loss.start.clone());
            }
        }
        starts
    }

    /// Records that a start of a server has ended. Returns the requests that count as having crashed it.
    pub fn on_start_ended(&mut self, now: Now, start: &ServerStart) -> Vec<Fingerprint> {
        let is_crash = |loss: &mut Loss| loss.start == *start;
        let ended: Vec<Loss> = self.losses.extract_if(.., is_crash).collect();
        let mut requests = Vec::new();
        for loss in ended.iter().filter(|loss| now.saturating_sub(loss.at) < LOSS_TTL) {
            self.make_room(now, loss.request);
            let crashes = self.crashes.entry(loss.request).or_default();
            crashes.add(start.key(), true, loss.at);
            if !requests.contains(&loss.request) {
                requests.push(loss.request);
            }
        }
        requests
    }

    /// Records that a server answered a request. Returns whether crashes of it were known, which the other
    /// daemons have to forget too.
    pub fn on_answer(&mut self, request: Fingerprint) -> bool {
        self.losses.retain(|loss| loss.request != request);
        self.crashes.remove(&request).is_some()
    }

    /// Merges the crashes that another daemon has shared. Returns whether crashes that this daemon has seen are
    /// not among them.
    pub fn on_shared(&mut self, now: Now, request: Fingerprint, shared: &Crashes) -> bool {
        if shared.is_expired(now) {
            return false;
        }
        self.make_room(now, request);
        let crashes = self.crashes.entry(request).or_default();
        shared.starts().for_each(|start| crashes.add(start, false, shared.last));
        crashes.starts.iter().any(|(start, is_own)| *is_own && !shared.starts.contains_key(start))
    }

    /// Forgets the crashes of a request that another daemon has cleared.
    pub fn on_cleared(&mut self, request: Fingerprint) {
        self.crashes.remove(&request);
    }

    /// Returns the crashes of a request, to be shared.
    pub fn crashes(&self, request: Fingerprint) -> Option<&Crashes> {
        self.crashes.get(&request)
    }

    /// Returns whether the request may be sent to a server.
    pub fn may_run(&self, now: Now, request: Fingerprint) -> bool {
        self.crashes.get(&request).is_none_or(|crashes| !crashes.is_blocked(now))
    }

    /// Returns whether a server crashed lately while it ran the request, or may have.
    pub fn is_suspect(&self, now: Now, request: Fingerprint) -> bool {
        let has_crashes = self.crashes.get(&request).is_some_and(|of| !of.is_expired(now));
        has_crashes || self.losses.iter().any(|loss| loss.request == request)
    }

    /// Drops expired counts, and the oldest one if there are too many for another request.
    fn make_room(&mut self, now: Now, request: Fingerprint) {
        self.crashes.retain(|_, crashes| !crashes.is_expired(now));
        if self.crashes.len() >= MAX_FINGERPRINTS && !self.crashes.contains_key(&request) {
            let oldest = self.crashes.iter().min_by_key(|(_, crashes)| crashes.last);
            let oldest = oldest.map(|(request, _)| *request);
            oldest.map(|request| self.crashes.remove(&request));
        }
    }
}
