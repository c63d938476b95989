//! A trainer and callers, as the system's users behave.

use std::collections::{BTreeMap, BTreeSet};

use buckthornfall_core::{error::Refusal, Now};
use buckthornfall_proto::messages::{Cursor, GroupSpec, PullAnswer, StepSpec};
use bytes::Bytes;

pub const TRAINER: &str = "trainer";
pub const STALENESS_BOUND: u64 = 0;
pub const GROUPS: u32 = 2;
pub const SAMPLES: u32 = 2;
pub const STEPS: u64 = 2;
const LONG_TOKENS: u32 = 240;

/// What a trainer asks of a host.
#[derive(Debug, Clone)]
pub enum TrainerAsk {
    Submit(StepSpec),
    Pull(Cursor),
    Publish(u64),
}

/// What a host answers.
#[derive(Debug, Clone)]
pub enum TrainerAnswer {
    Accepted,
    Groups(PullAnswer),
    Published,
    Refused(Refusal),
    NoReply,
}

/// What the trainer does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Submit,
    Pull,
    Publish { then_pull: bool },
    Done,
}

/// A trainer that stores its cursor together with the samples.
#[derive(Debug)]
pub struct TrainerSim {
    pub stage: Stage,
    pub step: u64,
    pub version: u64,
    pub cursor: Cursor,
    /// Host that it asks.
    pub host: usize,
    /// Id of the request that waits for an answer.
    pub asked: u64,
    /// Slots stored, with the number of times they came.
    pub stored: BTreeMap<(u64, u32, u32), u32>,
    /// Whether the version changed in mid-step already.
    pub bumped: bool,
}

impl TrainerSim {
    pub fn new() -> TrainerSim {
        TrainerSim {
            stage: Stage::Submit,
            step: 1,
            version: 1,
            cursor: cursor(1, 1),
            host: 0,
            asked: 0,
            stored: BTreeMap::new(),
            bumped: false,
        }
    }

    pub fn spec(&self) -> StepSpec {
        let groups = (0..GROUPS).map(|group| GroupSpec {
            group,
            prompt: prompt(self.step, group),
            samples: SAMPLES,
            // The second group is still under way when the first one is taken.
            max_tokens: if group == 0 { 16 } else { LONG_TOKENS },
        });
        StepSpec { step: self.step, weights_version: self.version, groups: groups.collect() }
    }

    pub fn ask(&self) -> Option<TrainerAsk> {
        match self.stage {
            Stage::Submit => Some(TrainerAsk::Submit(self.spec())),
            Stage::Pull => Some(TrainerAsk::Pull(self.cursor.clone())),
            Stage::Publish { .. } => Some(TrainerAsk::Publish(self.version + 1)),
            Stage::Done => None,
        }
    }

    pub fn next_step(&mut self) {
        self.step += 1;
        self.cursor = cursor(self.step, self.version);
        self.stage = if self.step > STEPS { Stage::Done } else { Stage::Submit };
    }
}

pub fn prompt(step: u64, group: u32) -> String {
    format!("step {step} group {group}")
}

fn cursor(step: u64, version: u64) -> Cursor {
    Cursor { step, taken: Vec::new(), weights_version: version }
}

/// What a caller sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    Complete { prompt: String },
    Look { body: String },
    Record { key: String },
}

/// What a caller got.
#[derive(Debug, Clone)]
pub enum Answer {
    Text {
        text: Bytes,
        tokens: u32,
    },
    Body {
        body: Bytes,
    },
    Refused(Refusal),
    /// The connection ended without an answer.
    Broken,
}

/// One request with its resends.
#[derive(Debug)]
pub struct CallerSim {
    pub ask: Ask,
    pub tries: u32,
    pub host: usize,
    /// When the last try was sent, while its answer is awaited.
    pub waiting_since: Option<Now>,
    pub done: bool,
    pub answered: bool,
}

pub const MAX_TRIES: u32 = 6;
pub const POISON: &str = "POISON";

impl CallerSim {
    pub fn new(ask: Ask, host: usize) -> CallerSim {
        CallerSim { ask, tries: 0, host, waiting_since: None, done: false, answered: false }
    }
}

/// Hosts, lives and requests whose refusal said "not run".
pub type RequestKey = (usize, u64, u64);

/// What is known of requests at the backends.
#[derive(Debug, Default)]
pub struct RunLog {
    pub ran: BTreeSet<RequestKey>,
    pub said_not_run: BTreeSet<RequestKey>,
}
