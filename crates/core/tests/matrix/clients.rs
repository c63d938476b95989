//! Simulated clients: one trainer and callers.

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

/// Request of a trainer to a host.
#[derive(Debug, Clone)]
pub enum TrainerRequest {
    Submit(StepSpec),
    Pull(Cursor),
    Publish(u64),
}

/// Answer of a host to a trainer.
#[derive(Debug, Clone)]
pub enum TrainerAnswer {
    Accepted,
    Groups(PullAnswer),
    Published,
    Refused(Refusal),
    NoReply,
}

/// Next action of the trainer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Submit,
    Pull,
    Publish { then_pull: bool },
    Done,
}

/// Trainer that stores its cursor together with the samples.
#[derive(Debug)]
pub struct TrainerSim {
    pub stage: Stage,
    pub step: u64,
    pub version: u64,
    pub cursor: Cursor,
    /// Host that its requests go to.
    pub host: usize,
    /// Id of the pending request.
    pub request_id: u64,
    /// Number of deliveries of each slot (step, group, index).
    pub stored: BTreeMap<(u64, u32, u32), u32>,
    /// Whether new weights were already published in the middle of a step.
    pub published_mid_step: bool,
}

impl TrainerSim {
    pub fn new() -> TrainerSim {
        TrainerSim {
            stage: Stage::Submit,
            step: 1,
            version: 1,
            cursor: cursor(1, 1),
            host: 0,
            request_id: 0,
            stored: BTreeMap::new(),
            published_mid_step: false,
        }
    }

    pub fn spec(&self) -> StepSpec {
        let groups = (0..GROUPS).map(|group| GroupSpec {
            group,
            prompt: prompt(self.step, group),
            samples: SAMPLES,
            // The second group is still being generated when the first one is pulled.
            max_tokens: if group == 0 { 16 } else { LONG_TOKENS },
        });
        StepSpec { step: self.step, weights_version: self.version, groups: groups.collect() }
    }

    pub fn request(&self) -> Option<TrainerRequest> {
        match self.stage {
            Stage::Submit => Some(TrainerRequest::Submit(self.spec())),
            Stage::Pull => Some(TrainerRequest::Pull(self.cursor.clone())),
            Stage::Publish { .. } => Some(TrainerRequest::Publish(self.version + 1)),
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

/// Request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerRequest {
    Complete { prompt: String },
    Look { body: String },
    Record { key: String },
}

/// Answer to a caller.
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

/// Caller with one request and its resends.
#[derive(Debug)]
pub struct CallerSim {
    pub payload: CallerRequest,
    pub tries: u32,
    pub host: usize,
    /// When the last try was sent, while it has no answer.
    pub waiting_since: Option<Now>,
    pub done: bool,
    pub answered: bool,
}

pub const MAX_TRIES: u32 = 6;
pub const POISON: &str = "POISON";

impl CallerSim {
    pub fn new(payload: CallerRequest, host: usize) -> CallerSim {
        CallerSim { payload, tries: 0, host, waiting_since: None, done: false, answered: false }
    }
}

/// Host, epoch of the host and request id.
pub type RequestKey = (usize, u64, u64);

/// Outcomes of requests, to check that those refused as "not run" did not run.
#[derive(Debug, Default)]
pub struct RunLog {
    pub ran: BTreeSet<RequestKey>,
    pub refused_as_not_run: BTreeSet<RequestKey>,
}
