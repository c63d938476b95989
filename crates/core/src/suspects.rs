//! Requests that crash the servers that run them.
//!
//! A caller sends such a request again and again, at any daemon. Each daemon counts the servers
//! that died while they ran a request, by the request's fingerprint, and shares its count. A
//! request with `MAX_CRASHES` is sent nowhere any more.

use std::time::Duration;

use buckthornfall_proto::ids::Fingerprint;
use rustc_hash::FxHashMap;

use crate::Now;

/// Crashes after which a request is sent to no further server.
pub const MAX_CRASHES: u32 = 3;
/// Time after the last crash from which that holds: tries that go on just then may have met
/// servers that failed by themselves.
const SETTLE: Duration = Duration::from_secs(1);
/// How long a fingerprint is remembered after its last crash.
const KEPT: Duration = Duration::from_secs(120);
/// Most fingerprints that are remembered.
const MOST: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct Crashes {
    count: u32,
    last: Now,
}

/// Fingerprints of requests whose servers died.
#[derive(Debug, Default)]
pub struct Suspects {
    known: FxHashMap<Fingerprint, Crashes>,
}

impl Suspects {
    /// Counts a server that died while it ran a request; the count to share.
    pub fn on_crash(&mut self, now: Now, request: Fingerprint) -> u32 {
        self.forget(now);
        let crashes = self.known.entry(request).or_insert(Crashes { count: 0, last: now });
        crashes.count += 1;
        crashes.last = now;
        crashes.count
    }

    /// Takes the count of another daemon.
    pub fn on_shared(&mut self, now: Now, request: Fingerprint, count: u32) {
        self.forget(now);
        let crashes = self.known.entry(request).or_insert(Crashes { count: 0, last: now });
        if count > crashes.count {
            *crashes = Crashes { count, last: now };
        }
    }

    /// A server answered the request, so it does not crash servers.
    pub fn on_answer(&mut self, request: Fingerprint) {
        self.known.remove(&request);
    }

    /// Whether the request may go to a server.
    pub fn may_run(&self, now: Now, request: Fingerprint) -> bool {
        let Some(crashes) = self.known.get(&request) else { return true };
        let age = now.saturating_sub(crashes.last);
        crashes.count < MAX_CRASHES || age < SETTLE || age >= KEPT
    }

    fn forget(&mut self, now: Now) {
        self.known.retain(|_, crashes| now.saturating_sub(crashes.last) < KEPT);
        if self.known.len() >= MOST {
            let oldest = self.known.iter().min_by_key(|(_, crashes)| crashes.last);
            let oldest = oldest.map(|(request, _)| *request);
            oldest.map(|request| self.known.remove(&request));
        }
    }
}
