//! Fake of a model engine: continuous batching, prefix cache, versions, crashes.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use buckthornfall_core::Now;
use buckthornfall_proto::{
    ids::AttemptId,
    messages::{EngineState, TrackState},
};

/// One request on an engine.
#[derive(Debug, Clone)]
pub struct Run {
    /// Adapter of the model.
    pub adapter: String,
    /// Tokens that are there, those of earlier runs included.
    pub at: u32,
    /// Tokens of the whole answer.
    pub length: u32,
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    /// Name in the manifest.
    pub name: String,
    /// How much slower than others the engine is; 1.0 for as fast.
    pub slowness: f64,
    /// Requests in the batch.
    pub runs: BTreeMap<AttemptId, Run>,
    /// Active version by adapter.
    pub versions: BTreeMap<String, u64>,
    /// The adapter that is being changed.
    pub swapping: Option<String>,
    /// Away until then after a crash.
    pub down_until: Now,
    /// Changes at each start.
    pub incarnation: u64,
    /// The attempt that the engine is kept free for.
    pub isolated_for: Option<AttemptId>,
    slots: u32,
    cache: VecDeque<u64>,
}

const TOKEN: Duration = Duration::from_millis(12);
const PREFILL: Duration = Duration::from_millis(400);
const PREFILL_CACHED: Duration = Duration::from_millis(30);
const CACHED_PROMPTS: usize = 12;

impl Engine {
    /// An engine that runs version 1 of each adapter.
    pub fn new(name: &str, slots: u32, adapters: &[String], slowness: f64) -> Engine {
        Engine {
            name: name.to_owned(),
            slowness,
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

    /// Whether a request is refused now.
    pub fn refuses(&self, attempt: &str, adapter: &str) -> bool {
        let isolated = self.isolated_for.as_ref().is_some_and(|own| own != attempt);
        isolated || self.swapping.as_deref() == Some(adapter)
    }

    /// Time to read a prompt, and whether its prefix was cached.
    pub fn read_prompt(&mut self, prefix: u64) -> (Duration, bool) {
        let known = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(position) = known {
            self.cache.remove(position);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED_PROMPTS {
            self.cache.pop_front();
        }
        match known {
            Some(_) => (PREFILL_CACHED, true),
            None => (PREFILL, false),
        }
    }

    /// Time of some tokens with the batch as it is; beyond its slots requests share the time.
    pub fn token_time(&self, tokens: u32) -> Duration {
        let fill = self.runs.len() as f64 / f64::from(self.slots);
        let sharing = fill.max(1.0);
        TOKEN.mul_f64(f64::from(tokens) * (1.0 + fill.min(1.0)) * sharing * self.slowness)
    }

    /// Shortest time of some tokens on an empty engine.
    pub fn fastest(tokens: u32) -> Duration {
        TOKEN * tokens
    }

    /// Ends all requests.
    pub fn crash(&mut self, until: Now) -> Vec<AttemptId> {
        self.incarnation += 1;
        self.down_until = until;
        self.isolated_for = None;
        self.cache.clear();
        std::mem::take(&mut self.runs).into_keys().collect()
    }

    /// What the engine reports.
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
