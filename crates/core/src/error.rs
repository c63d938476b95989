//! The closed list of error kinds and the table from kind to answer.

use std::time::Duration;

use buckthornfall_proto::messages::{ErrorAnswer, Outcome};

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ErrorKind {
    /// No bearer token, or one that the manifest does not hold.
    Unauthorized,
    /// The token is valid, but not for this.
    Forbidden,
    /// The path, model, service, operation, trainer or step does not exist.
    NotFound,
    /// The body or a header is not valid.
    Invalid,
    /// The body is larger than the bound.
    TooLarge,
    /// The caller is over its rate or its requests in flight.
    RateLimited,
    /// The queue is full or too long for the deadline.
    Overloaded,
    /// No backend server can take the request.
    NoServer,
    /// The deadline passed before the work started.
    ExpiredQueued,
    /// The deadline passed while the work ran.
    ExpiredRunning,
    /// A backend server failed while it ran the work, and a retry was not possible.
    ServerFailed,
    /// The retry budget is used up, and the work did not run.
    RetryBudget,
    /// The request crashed backend servers and is not run again.
    Quarantined,
    /// The idempotency key stands for another body.
    KeyReused,
    /// An earlier try with this key may have run.
    ClaimUnresolved,
    /// The table service does not answer, and the work needs it first.
    TableAway,
    /// Another manifest was committed on the same base.
    Conflict,
    /// The manifest was not committed.
    NotApplied,
    /// The manifest may have been committed.
    CommitUnresolved,
    /// Another daemon coordinates this trainer.
    NotCoordinator,
    /// The daemon is in a planned stop.
    Leaving,
    /// No manifest is in force yet.
    NotReady,
    /// The step exists already with another content.
    StepExists,
    /// The weights are not newer than those published.
    OldWeights,
    /// The caller reads its answer too slowly.
    SlowCaller,
    /// The daemon failed.
    Internal,
}

/// What an error kind is answered with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerRule {
    /// Name in the answer's body and in metrics.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Whether the refused work ran.
    pub outcome: Outcome,
    /// When to come back; `None` where coming back does not help.
    pub retry_after: Option<Duration>,
}

const SOON: Option<Duration> = Some(Duration::from_millis(500));
const LATER: Option<Duration> = Some(Duration::from_secs(2));

impl ErrorKind {
    /// All kinds, in the order of the table in docs/API.md.
    pub const ALL: [ErrorKind; 26] = [
        ErrorKind::Unauthorized,
        ErrorKind::Forbidden,
        ErrorKind::NotFound,
        ErrorKind::Invalid,
        ErrorKind::TooLarge,
        ErrorKind::RateLimited,
        ErrorKind::Overloaded,
        ErrorKind::NoServer,
        ErrorKind::ExpiredQueued,
        ErrorKind::ExpiredRunning,
        ErrorKind::ServerFailed,
        ErrorKind::RetryBudget,
        ErrorKind::Quarantined,
        ErrorKind::KeyReused,
        ErrorKind::ClaimUnresolved,
        ErrorKind::TableAway,
        ErrorKind::Conflict,
        ErrorKind::NotApplied,
        ErrorKind::CommitUnresolved,
        ErrorKind::NotCoordinator,
        ErrorKind::Leaving,
        ErrorKind::NotReady,
        ErrorKind::StepExists,
        ErrorKind::OldWeights,
        ErrorKind::SlowCaller,
        ErrorKind::Internal,
    ];

    /// The answer to this kind of error.
    pub fn rule(self) -> AnswerRule {
        use ErrorKind as K;
        use Outcome::{NotRun, Ran, Unknown};
        let (name, status, outcome, retry_after) = match self {
            K::Unauthorized => ("unauthorized", 401, NotRun, None),
            K::Forbidden => ("forbidden", 403, NotRun, None),
            K::NotFound => ("not_found", 404, NotRun, None),
            K::Invalid => ("invalid", 400, NotRun, None),
            K::TooLarge => ("too_large", 413, NotRun, None),
            K::RateLimited => ("rate_limited", 429, NotRun, SOON),
            K::Overloaded => ("overloaded", 503, NotRun, SOON),
            K::NoServer => ("no_server", 503, NotRun, LATER),
            K::ExpiredQueued => ("expired_queued", 504, NotRun, SOON),
            K::ExpiredRunning => ("expired_running", 504, Unknown, None),
            K::ServerFailed => ("server_failed", 502, Unknown, SOON),
            K::RetryBudget => ("retry_budget", 503, NotRun, LATER),
            K::Quarantined => ("quarantined", 422, Ran, None),
            K::KeyReused => ("key_reused", 422, NotRun, None),
            K::ClaimUnresolved => ("claim_unresolved", 409, Unknown, LATER),
            K::TableAway => ("table_away", 503, NotRun, LATER),
            K::Conflict => ("conflict", 409, NotRun, None),
            K::NotApplied => ("not_applied", 503, NotRun, LATER),
            K::CommitUnresolved => ("commit_unresolved", 504, Unknown, LATER),
            K::NotCoordinator => ("not_coordinator", 421, NotRun, SOON),
            K::Leaving => ("leaving", 503, NotRun, SOON),
            K::NotReady => ("not_ready", 503, NotRun, SOON),
            K::StepExists => ("step_exists", 409, NotRun, None),
            K::OldWeights => ("old_weights", 409, NotRun, None),
            K::SlowCaller => ("slow_caller", 408, Unknown, None),
            K::Internal => ("internal", 500, Unknown, SOON),
        };
        AnswerRule { name, status, outcome, retry_after }
    }
}

/// A refusal: a kind, a message that names thing and place, and what is known beyond the rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Text for a person.
    pub message: String,
    /// When to come back, where more is known than the rule says.
    pub retry_after: Option<Duration>,
    /// Whether the work ran, where more is known than the rule says.
    pub outcome: Option<Outcome>,
    /// Address of the daemon to use instead.
    pub use_address: Option<String>,
}

impl Refusal {
    /// A refusal that is answered by the rule of its kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Refusal {
        Refusal {
            kind,
            message: message.into(),
            retry_after: None,
            outcome: None,
            use_address: None,
        }
    }

    /// Replaces the time to come back.
    pub fn retry_after(mut self, after: Duration) -> Refusal {
        self.retry_after = Some(after);
        self
    }

    /// Replaces what is said of the work.
    pub fn outcome(mut self, outcome: Outcome) -> Refusal {
        self.outcome = Some(outcome);
        self
    }

    /// Names the daemon to use instead.
    pub fn use_address(mut self, address: Option<String>) -> Refusal {
        self.use_address = address;
        self
    }

    /// Whether the refused work ran.
    pub fn work_outcome(&self) -> Outcome {
        self.outcome.unwrap_or(self.kind.rule().outcome)
    }

    /// HTTP status of the answer.
    pub fn status(&self) -> u16 {
        self.kind.rule().status
    }

    /// Body of the answer.
    pub fn answer(&self) -> ErrorAnswer {
        let rule = self.kind.rule();
        let retry_after = self.retry_after.or(rule.retry_after);
        ErrorAnswer {
            kind: rule.name.to_owned(),
            outcome: self.work_outcome(),
            message: self.message.clone(),
            retry_after_ms: retry_after.map(|d| d.as_millis() as u64),
            use_address: self.use_address.clone(),
        }
    }
}
