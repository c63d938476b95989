//! Simulated model engine: continuous batching, prefix cache, weight versions, crashes.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use buckthornfall_core::Now;
use buckthornfall_proto::{
    ids::AttemptId,
    messages::{EngineState, TrackState},
};

/// A request running on an engine.
#[derive(Debug, Clone)]
pub struct Run {
    /// Adapter that generates the response.
    pub adapter: String,
    /// Number of tokens generated so far, including those of the run that it resumed from.
    pub generated: u32,
    /// Number of tokens of the complete response.
    pub length: u32,
}

/// A simulated model engine.
#[derive(Debug)]
pub struct Engine {
    /// Name in the manifest.
    pub name: String,
    /// Factor by which the engine is slower than the others; 1.0 is normal speed.
    pub slowdown: f64,
    /// Running requests.
    pub runs: BTreeMap<AttemptId, Run>,
    /// Active weight version of each adapter.
    pub versions: BTreeMap<String, u64>,
    /// Adapter whose weights are being swapped.
    pub swapping: Option<String>,
    /// End of the outage after the last crash.
    pub down_until: Now,
    /// Number of the current start; increases with each restart.
    pub incarnation: u64,
    /// Attempt for which the engine is isolated.
    pub isolated_for: Option<AttemptId>,
    slots: u32,
    cache: VecDeque<u64>,
}

/// Time per token on an empty engine.
const TOKEN_TIME: Duration = Duration::from_millis(12);
/// Prefill time of a prompt whose prefix is not cached.
const PREFILL_TIME: Duration = Duration::from_millis(400);
/// Prefill time of a prompt whose prefix is cached.
const CACHED_PREFILL_TIME: Duration = Duration::from_millis(30);
const MAX_CACHED_PREFIXES: usize = 12;

impl Engine {
    /// Creates an engine with version 1 of each adapter.
    pub fn new(name: &str, slots: u32, adapters: &[String], slowdown: f64) -> Engine {
        Engine {
            name: name.to_owned(),
            slowdown,
            runs: BTreeMap::new(),
            versions: adapters.iter().map(|adapter| (adapter.clone(), 1)).collect(),
            swapping: None,
            down_until: Now::ZERO,
            incarnation: 1,
            isolated_for: None,
            slots,
            cache: VecDeque::new(),
        }
    }

    /// Returns whether the engine refuses a request.
    pub fn refuses(&self, attempt: &str, adapter: &str) -> bool {
        let isolated = self.isolated_for.as_ref().is_some_and(|allowed| allowed != attempt);
        isolated || self.swapping.as_deref() == Some(adapter)
    }

    /// Adds a prompt's prefix to the cache. Returns the prefill time of the prompt and whether the
    /// prefix was cached already.
    pub fn prefill(&mut self, prefix: u64) -> (Duration, bool) {
        let cached_position = self.cache.iter().position(|entry| *entry == prefix);
        if let Some(position) = cached_position {
            self.cache.remove(position);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > MAX_CACHED_PREFIXES {
            self.cache.pop_front();
        }
        match cached_position {
            Some(_) => (CACHED_PREFILL_TIME, true),
            None => (PREFILL_TIME, false),
        }
    }

    /// Returns the time to generate `tokens` tokens of a request with the current batch. Requests
    /// beyond the number of slots slow all of them down.
    pub fn generation_time(&self, tokens: u32) -> Duration {
        let fill = self.runs.len() as f64 / f64::from(self.slots);
        let oversubscription = fill.max(1.0);
        TOKEN_TIME
            .mul_f64(f64::from(tokens) * (1.0 + fill.min(1.0)) * oversubscription * self.slowdown)
    }

    /// Returns the minimum time to generate `tokens` tokens, on an otherwise empty engine.
    pub fn min_generation_time(tokens: u32) -> Duration {
        TOKEN_TIME * tokens
    }

    /// Crashes the engine until `until`. Returns the attempts that it was running.
    pub fn crash(&mut self, until: Now) -> Vec<AttemptId> {
        self.incarnation += 1;
        self.down_until = until;
        self.isolated_for = None;
        self.cache.clear();
        std::mem::take(&mut self.runs).into_keys().collect()
    }

    /// Returns the status report of the engine.
    pub fn state(&self) -> EngineState {
        let tracks = self.versions.iter().map(|(adapter, version)| TrackState {
            adapter: adapter.clone(),
            active: *version,
            staged: 0,
            loading: 0,
            swapping: self.swapping.as_ref() == Some(adapter),
            fence: 1,
        });
        EngineState {
            model: "model".to_owned(),
            tracks: tracks.collect(),
            slots: self.slots,
            running: self.runs.len() as u32,
            queued: 0,
            draining: false,
            incarnation: self.incarnation,
        }
    }
}
