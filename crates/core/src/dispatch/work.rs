//! Work, its progress, and what a dispatcher asks for.

use buckthornfall_proto::{
    hot::TokenSpan,
    ids::{AttemptId, Fingerprint, ServerId, ServiceName, WeightVersion},
    messages::Outcome,
};
use bytes::{Bytes, BytesMut};

use crate::{error::Refusal, quarantine::QuarantineAction, Now};

/// Id of a piece of work at one daemon; never used twice.
pub type WorkId = u64;

/// Which work goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// Somebody waits for the answer.
    Interactive,
    /// A sample for a trainer.
    Rollout,
}

impl Class {
    /// Priority for a model engine; lower runs first.
    pub fn priority(self) -> u32 {
        match self {
            Class::Interactive => 0,
            Class::Rollout => 10,
        }
    }
}

/// What a backend server is asked to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Task {
    /// Generate tokens.
    Generate {
        /// The prompt.
        prompt: Bytes,
        /// Adapter of the model.
        adapter: Option<String>,
        /// Longest answer, in tokens.
        max_tokens: u32,
        /// Oldest weight version that may be used.
        min_version: WeightVersion,
        /// Seed of the sampling.
        seed: u64,
    },
    /// Call an operation of a plain or scoring service.
    Call {
        /// The operation.
        operation: String,
        /// Idempotency key that the server sees; empty for none.
        key: String,
        /// The body.
        body: Bytes,
    },
}

/// A piece of work.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// Its id.
    pub id: WorkId,
    /// Service that runs it.
    pub service: ServiceName,
    /// Its class.
    pub class: Class,
    /// What to do.
    pub task: Task,
    /// Whether it may run again after it may have run.
    pub idempotent: bool,
    /// Hash of what is asked; a resend has the same.
    pub fingerprint: Fingerprint,
    /// Hash of the start of the prompt.
    pub prefix: u64,
    /// When its owner no longer waits.
    pub deadline: Now,
    /// Order within the class; the lowest goes first.
    pub rank: u64,
    /// A server that must not run it.
    pub avoid: Option<ServerId>,
    /// What an earlier run produced.
    pub resume: Progress,
}

impl Work {
    /// Oldest weight version that may run the work.
    pub fn min_version(&self) -> WeightVersion {
        match &self.task {
            Task::Generate { min_version, .. } => *min_version,
            Task::Call { .. } => 0,
        }
    }

    /// Adapter of the model; empty for the model itself.
    pub fn adapter(&self) -> &str {
        match &self.task {
            Task::Generate { adapter, .. } => adapter.as_deref().unwrap_or_default(),
            Task::Call { .. } => "",
        }
    }

    /// Size of what is sent to the server, in bytes.
    pub fn bytes(&self) -> usize {
        match &self.task {
            Task::Generate { prompt, .. } => prompt.len(),
            Task::Call { body, .. } => body.len(),
        }
    }
}

/// Tokens produced so far.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Progress {
    /// The text.
    pub text: BytesMut,
    /// Number of tokens.
    pub tokens: u32,
    /// Versions by token range, as the engines reported them; they cover `0..tokens`.
    pub spans: Vec<TokenSpan>,
}

impl Progress {
    /// Adds tokens that one version produced.
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

    /// Oldest version among the tokens.
    pub fn oldest_version(&self) -> Option<WeightVersion> {
        self.spans.iter().map(|span| span.version).min()
    }
}

/// What happened to an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// Tokens came.
    Tokens {
        /// Their text.
        text: Bytes,
        /// Their number.
        tokens: u32,
        /// The version that the engine reported for them.
        version: WeightVersion,
    },
    /// The token stream ended as it should.
    Finished,
    /// A service answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// The answer.
        body: Bytes,
    },
    /// The work did not run: the server refused it or could not be reached.
    NotRun {
        /// Whether the server could not be reached at all.
        unreachable: bool,
        /// What was seen.
        reason: String,
    },
    /// The work may have run, and no whole answer came.
    Broken {
        /// What was seen.
        reason: String,
    },
}

/// What an owner learns of its work.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkEvent {
    /// An attempt started on a server.
    Started {
        /// The server.
        server: ServerId,
    },
    /// More tokens.
    Tokens {
        /// Their text.
        text: Bytes,
        /// Their number.
        tokens: u32,
        /// The version that produced them.
        version: WeightVersion,
    },
    /// All tokens came; the last event.
    Finished {
        /// All that was produced.
        progress: Progress,
    },
    /// A service answered; the last event.
    Answered {
        /// HTTP status.
        status: u16,
        /// The answer.
        body: Bytes,
    },
    /// The work is given up; the last event.
    Failed {
        /// Why, and whether the work ran.
        refusal: Refusal,
        /// What was produced.
        progress: Progress,
    },
}

/// What a dispatcher asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchAction {
    /// Start an attempt on a server.
    Start {
        /// Id of the attempt.
        attempt: AttemptId,
        /// The work.
        work: WorkId,
        /// The server.
        server: ServerId,
        /// Its address and port.
        address: String,
        /// What to do.
        task: Task,
        /// Service that the server belongs to.
        service: ServiceName,
        /// Class of the work.
        class: Class,
        /// Text that earlier attempts produced.
        resume: Bytes,
        /// Tokens of that text.
        resume_tokens: u32,
        /// When the attempt is of no use any more.
        deadline: Now,
    },
    /// End an attempt whose answer nobody wants.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Tell the owner of a piece of work.
    Emit {
        /// The work.
        work: WorkId,
        /// What happened.
        event: WorkEvent,
    },
    /// Ask a server for its report now.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Make a server refuse all but one attempt, and say when it runs nothing else.
    Isolate {
        /// The server.
        server: ServerId,
        /// Its address and port.
        address: String,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Let a server take other work again.
    Unisolate {
        /// The server.
        server: ServerId,
        /// Its address and port.
        address: String,
        /// The attempt that it was kept free for.
        attempt: AttemptId,
    },
    /// Read or write a row of the quarantine.
    Quarantine(QuarantineAction),
}

/// Where a piece of work stands.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Stage {
    /// Waits for a server with room.
    Queued,
    /// Runs on a server.
    Running { attempt: AttemptId, server: ServerId, started: Now, progress_at: Now, alone: bool },
    /// Its stream broke; the server's report will tell whether the server died.
    Verdict { attempt: AttemptId, server: ServerId, since: Now, alone: bool },
    /// A suspect that waits for the right to run alone.
    Asking { attempt: AttemptId },
    /// A suspect that another daemon runs now.
    AskAt { at: Now },
    /// A suspect that waits until a server is free for it.
    Isolating { attempt: AttemptId, server: ServerId, since: Now },
    /// A suspect with the right to run alone that waits for a server.
    Granted { attempt: AttemptId },
}

#[derive(Debug)]
pub(super) struct WorkState {
    pub(super) work: Work,
    pub(super) stage: Stage,
    pub(super) tries: u32,
    pub(super) tried: Vec<ServerId>,
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
            tries: 0,
            tried: Vec::new(),
            may_have_run: false,
            progress,
        }
    }

    /// Whether a server may be running the work now.
    pub(super) fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Running { .. } | Stage::Verdict { .. })
    }

    /// Corrects a refusal that says "not run" for work that may have run.
    pub(super) fn honest(&self, refusal: Refusal) -> Refusal {
        let may_have_run = self.may_have_run || self.progress.tokens > 0;
        if may_have_run && refusal.work_outcome() == Outcome::NotRun {
            refusal.outcome(Outcome::Unknown)
        } else {
            refusal
        }
    }
}
