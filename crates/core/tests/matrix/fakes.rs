//! Fake engines and services that record what they run.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use buckthornfall_core::Now;
use buckthornfall_proto::messages::{EngineOrder, EngineState, OrderAction, TrackState};

/// Run of an attempt on an engine.
#[derive(Debug, Clone)]
pub struct EngineRun {
    pub host: usize,
    pub epoch: u64,
    pub prompt: String,
    /// Index of the next token.
    pub next_token: u32,
    pub length: u32,
}

/// Fake model engine.
#[derive(Debug, Clone)]
pub struct FakeEngine {
    pub name: String,
    pub checks_fence: bool,
    pub active: u64,
    pub staged: u64,
    pub swapping: bool,
    pub swap_failed: bool,
    pub fence: u64,
    /// Fencing token of the last order carried out.
    pub applied_fence: u64,
    pub draining_since: Option<Now>,
    pub incarnation: u64,
    pub down_until: Now,
    pub isolated_for: String,
    pub runs: BTreeMap<String, EngineRun>,
    /// Versions that produced each token of a prompt, by prompt and token index.
    pub produced: HashMap<(String, u32), BTreeSet<u64>>,
}

pub const SLOTS: u32 = 4;

impl FakeEngine {
    pub fn new(name: &str, checks_fence: bool) -> FakeEngine {
        FakeEngine {
            name: name.to_owned(),
            checks_fence,
            active: 1,
            staged: 0,
            swapping: false,
            swap_failed: false,
            fence: 0,
            applied_fence: 0,
            draining_since: None,
            incarnation: 1,
            down_until: Now::ZERO,
            isolated_for: String::new(),
            runs: BTreeMap::new(),
            produced: HashMap::new(),
        }
    }

    pub fn state(&self) -> EngineState {
        EngineState {
            model: "model".to_owned(),
            tracks: vec![TrackState {
                adapter: String::new(),
                active: self.active,
                staged: self.staged,
                loading: 0,
                swapping: self.swapping,
                fence: self.fence,
            }],
            slots: SLOTS,
            running: self.runs.len() as u32,
            queued: 0,
            draining: self.draining_since.is_some(),
            incarnation: self.incarnation,
        }
    }

    pub fn is_down(&self, now: Now) -> bool {
        now < self.down_until
    }

    /// Returns why an attempt is refused, or `None` if it runs.
    pub fn refusal(&self, attempt: &str) -> Option<&'static str> {
        if self.swapping {
            Some("changing weights")
        } else if self.draining_since.is_some() {
            Some("draining")
        } else if !self.isolated_for.is_empty() && self.isolated_for != attempt {
            Some("kept free for another request")
        } else {
            None
        }
    }

    /// Checks an order against the fencing token and the state; returns whether to carry it out.
    pub fn accepts(&mut self, order: &EngineOrder) -> bool {
        if self.checks_fence && order.fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(order.fence);
        match order.action {
            OrderAction::Stage => self.active != order.version && self.staged != order.version,
            OrderAction::Activate => {
                self.staged == order.version && (!self.swapping || self.swap_failed)
            }
        }
    }

    /// Ends all runs, discards staged weights and returns the runs.
    pub fn crash(&mut self, until: Now) -> BTreeMap<String, EngineRun> {
        self.incarnation += 1;
        self.down_until = until;
        self.staged = 0;
        self.swapping = false;
        self.swap_failed = false;
        self.isolated_for.clear();
        std::mem::take(&mut self.runs)
    }

    pub fn record(&mut self, prompt: &str, index: u32) {
        self.produced.entry((prompt.to_owned(), index)).or_default().insert(self.active);
    }
}

/// Fake plain service that counts the runs of each key.
#[derive(Debug, Clone, Default)]
pub struct FakeService {
    pub runs: BTreeMap<String, u32>,
}
