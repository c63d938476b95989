//! Work items, their progress, and the events and actions of a dispatcher.

use buckthornfall_proto::{
    hot::TokenSpan,
    ids::{AttemptId, Fingerprint, ServerId, ServiceName, WeightVersion},
    messages::Outcome,
};
use bytes::{Bytes, BytesMut};

use crate::{error::Refusal, quarantine::QuarantineAction, Now};

/// Id of a work item at one daemon; never reused.
pub type WorkId = u64;

/// Scheduling class of a work item; earlier variants are scheduled first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// A caller waits for the answer.
    Interactive,
    /// A sample for a trainer.
    Rollout,
}

impl Class {
    /// Returns the priority sent to a model engine; lower runs first.
    pub fn priority(self) -> u32 {
        match self {
            Class::Interactive => 0,
            Class::Rollout => 10,
        }
    }
}

/// The request to a backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum Task {
    /// Generate tokens.
    Generate {
        /// The prompt.
        prompt: Bytes,
        /// Adapter of the model.
        adapter: Option<String>,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
        /// Oldest weight version allowed.
        min_version: WeightVersion,
        /// Sampling seed.
        seed: u64,
    },
    /// Call an operation of a plain or scoring service.
    Call {
        /// The operation.
        operation: String,
        /// Idempotency key sent to the server; empty for none.
        key: String,
        /// The body.
        body: Bytes,
    },
}

/// A work item.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// Unique id.
    pub id: WorkId,
    /// Service that runs it.
    pub service: ServiceName,
    /// Scheduling class.
    pub class: Class,
    /// The request.
    pub task: Task,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// Hash of the request; equal for resends.
    pub fingerprint: Fingerprint,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Time at which the owner stops waiting.
    pub deadline: Now,
    /// Position within the class; the lowest is started first.
    pub rank: u64,
    /// Server that must not run it.
    pub avoid: Option<ServerId>,
    /// Output of an earlier run to continue from.
    pub resume: Progress,
}

impl Work {
    /// Returns the oldest weight version allowed.
    pub fn min_version(&self) -> WeightVersion {
        match &self.task {
            Task::Generate { min_version, .. } => *min_version,
            Task::Call { .. } => 0,
        }
    }

    /// Returns the model's adapter; empty for the base model.
    pub fn adapter(&self) -> &str {
        match &self.task {
            Task::Generate { adapter, .. } => adapter.as_deref().unwrap_or_default(),
            Task::Call { .. } => "",
        }
    }

    /// Returns whether the work is stopped once it has crashed servers. Samples and their scoring
    /// requests are owed and never crash servers by themselves.
    pub fn is_subject_to_quarantine(&self) -> bool {
        self.class == Class::Interactive
    }

    /// Returns the size of the prompt or body, in bytes.
    pub fn bytes(&self) -> usize {
        match &self.task {
            Task::Generate { prompt, .. } => prompt.len(),
            Task::Call { body, .. } => body.len(),
        }
    }
}

/// Output produced so far.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Progress {
    /// Generated text.
    pub text: BytesMut,
    /// Number of tokens.
    pub tokens: u32,
    /// Weight versions by token range, as reported by the engines; they cover `0..tokens`.
    pub spans: Vec<TokenSpan>,
}

impl Progress {
    /// Appends tokens produced by one weight version.
    pub fn add(&mut self, text: &[u8], tokens: u32, version: WeightVersion) {
        self.text.extend_from_slice(text);
        if tokens == 0 {
            return;
        }
        let start = self.tokens;
        self.tokens += tokens;
        match self.spans.last_mut() {
            Some(last) if last.version == version => last.end = self.tokens,
            _ => self.spans.push(TokenSpan { start, end: self.tokens, version }),
        }
    }

    /// Returns the oldest weight version among the tokens.
    pub fn oldest_version(&self) -> Option<WeightVersion> {
        self.spans.iter().map(|span| span.version).min()
    }
}

/// An event of a running attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// Tokens arrived.
    Tokens {
        /// Text of the tokens.
        text: Bytes,
        /// Number of tokens.
        tokens: u32,
        /// Weight version reported by the engine.
        version: WeightVersion,
    },
    /// The token stream completed.
    Finished,
    /// A service responded.
    Answered {
        /// HTTP status.
        status: u16,
        /// Response body.
        body: Bytes,
    },
    /// The work did not run: the server refused it or was unreachable.
    NotRun {
        /// Whether the connection itself failed.
        unreachable: bool,
        /// Description of the failure.
        reason: String,
    },
    /// The work may have run, but the response is incomplete.
    Broken {
        /// Description of the failure.
        reason: String,
    },
}

/// An event reported to the owner of a work item.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkEvent {
    /// An attempt started on a server.
    Started {
        /// The server.
        server: ServerId,
    },
    /// More tokens.
    Tokens {
        /// Text of the tokens.
        text: Bytes,
        /// Number of tokens.
        tokens: u32,
        /// Weight version that produced them.
        version: WeightVersion,
    },
    /// All tokens arrived; the last event.
    Finished {
        /// The complete output.
        progress: Progress,
    },
    /// A service responded; the last event.
    Answered {
        /// HTTP status.
        status: u16,
        /// Response body.
        body: Bytes,
    },
    /// The work failed; the last event.
    Failed {
        /// The reason, and whether the work ran.
        refusal: Refusal,
        /// The partial output.
        progress: Progress,
    },
}

/// Action requested by a [`Dispatcher`](super::Dispatcher).
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchAction {
    /// Start an attempt on a server.
    Start {
        /// Id of the attempt.
        attempt: AttemptId,
        /// The work item.
        work: WorkId,
        /// The server.
        server: ServerId,
        /// Address and port of the server.
        address: String,
        /// The request.
        task: Task,
        /// Service of the server.
        service: ServiceName,
        /// Scheduling class of the work.
        class: Class,
        /// Text produced by earlier attempts.
        resume: Bytes,
        /// Number of tokens in `resume`.
        resume_tokens: u32,
        /// Time at which the owner stops waiting.
        deadline: Now,
    },
    /// Cancel an attempt whose response is no longer needed.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Report an event to the owner of a work item.
    Emit {
        /// The work item.
        work: WorkId,
        /// The event.
        event: WorkEvent,
    },
    /// Request a status report from a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Make a server refuse all but one attempt and report when it is otherwise idle.
    Isolate {
        /// The server.
        server: ServerId,
        /// Address and port of the server.
        address: String,
        /// The attempt.
        attempt: AttemptId,
    },
    /// End the isolation of a server.
    Unisolate {
        /// The server.
        server: ServerId,
        /// Address and port of the server.
        address: String,
        /// The attempt that it was isolated for.
        attempt: AttemptId,
    },
    /// Read or write a quarantine row in the table service.
    Quarantine(QuarantineAction),
}

/// Stage of a work item.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Stage {
    /// Waits for a server with capacity.
    Queued,
    /// Runs on a server.
    Running { attempt: AttemptId, server: ServerId, started: Now, progress_at: Now, isolated: bool },
    /// Its stream broke; a probe will tell whether the server crashed.
    Probing { attempt: AttemptId, server: ServerId, since: Now, isolated: bool },
    /// A suspect that waits for a grant to run in isolation.
    AwaitingGrant { attempt: AttemptId },
    /// A suspect that another daemon is running; the grant is requested again at `at`.
    RetryGrant { at: Now },
    /// A suspect that waits for its server to drain.
    Isolating { attempt: AttemptId, server: ServerId, since: Now },
    /// A suspect with a grant that waits for a server to isolate.
    Granted { attempt: AttemptId },
}

#[derive(Debug)]
pub(super) struct WorkState {
    pub(super) work: Work,
    pub(super) stage: Stage,
    pub(super) attempts: u32,
    pub(super) tried_servers: Vec<ServerId>,
    /// Whether an earlier attempt may have run.
    pub(super) may_have_run: bool,
    pub(super) progress: Progress,
}

impl WorkState {
    pub(super) fn new(mut work: Work) -> WorkState {
        let progress = std::mem::take(&mut work.resume);
        WorkState {
            work,
            stage: Stage::Queued,
            attempts: 0,
            tried_servers: Vec::new(),
            may_have_run: false,
            progress,
        }
    }

    /// Returns whether a server may be running the work now.
    pub(super) fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Running { .. } | Stage::Probing { .. })
    }

    /// Corrects the outcome of a refusal from "not run" to "unknown" if the work may have run.
    pub(super) fn correct_refusal(&self, refusal: Refusal) -> Refusal {
        let may_have_run = self.may_have_run || self.progress.tokens > 0;
        if may_have_run && refusal.work_outcome() == Outcome::NotRun {
            refusal.outcome(Outcome::Unknown)
        } else {
            refusal
        }
    }
}
