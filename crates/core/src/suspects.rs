//! Crash counts of requests that crash backend servers.
//!
//! A caller may retry such a request at any daemon. Each daemon counts the servers that crashed
//! while running a request, by the request's fingerprint, and shares its count with the others. A
//! request that reaches `MAX_CRASHES` is no longer sent to any server.

use std::time::Duration;

use buckthornfall_proto::ids::Fingerprint;
use rustc_hash::FxHashMap;

use crate::Now;

/// Crashes after which a request is blocked.
pub const MAX_CRASHES: u32 = 3;
/// Delay between the last crash and the block: attempts still in progress at that time may have hit
/// unrelated server failures.
const BLOCK_DELAY: Duration = Duration::from_secs(1);
/// Time after the last crash at which a count expires.
const COUNT_TTL: Duration = Duration::from_secs(120);
/// Maximum number of fingerprints with a count.
const MAX_FINGERPRINTS: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct Crashes {
    count: u32,
    last: Now,
}

/// Crash counts by request fingerprint.
#[derive(Debug, Default)]
pub struct Suspects {
    counts: FxHashMap<Fingerprint, Crashes>,
}

impl Suspects {
    /// Counts a server crash during a request and returns the new count to share.
    pub fn on_crash(&mut self, now: Now, request: Fingerprint) -> u32 {
        self.evict(now);
        let crashes = self.counts.entry(request).or_insert(Crashes { count: 0, last: now });
        crashes.count += 1;
        crashes.last = now;
        crashes.count
    }

    /// Merges the count shared by another daemon.
    pub fn on_shared_count(&mut self, now: Now, request: Fingerprint, count: u32) {
        self.evict(now);
        let crashes = self.counts.entry(request).or_insert(Crashes { count: 0, last: now });
        if count > crashes.count {
            *crashes = Crashes { count, last: now };
        }
    }

    /// Clears a request's count after a server answered it.
    pub fn on_answer(&mut self, request: Fingerprint) {
        self.counts.remove(&request);
    }

    /// Returns whether the request may be sent to a server.
    pub fn may_run(&self, now: Now, request: Fingerprint) -> bool {
        let Some(crashes) = self.counts.get(&request) else { return true };
        let age = now.saturating_sub(crashes.last);
        crashes.count < MAX_CRASHES || age < BLOCK_DELAY || age >= COUNT_TTL
    }

    /// Returns whether a server crashed lately while it ran the request.
    pub fn is_suspect(&self, now: Now, request: Fingerprint) -> bool {
        self.counts
            .get(&request)
            .is_some_and(|crashes| now.saturating_sub(crashes.last) < COUNT_TTL)
    }

    fn evict(&mut self, now: Now) {
        self.counts.retain(|_, crashes| now.saturating_sub(crashes.last) < COUNT_TTL);
        if self.counts.len() >= MAX_FINGERPRINTS {
            let oldest = self.counts.iter().min_by_key(|(_, crashes)| crashes.last);
            let oldest = oldest.map(|(request, _)| *request);
            oldest.map(|request| self.counts.remove(&request));
        }
    }
}
