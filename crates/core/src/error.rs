//! Error kinds and the responses they map to.

use std::time::Duration;

use buckthornfall_proto::messages::{ErrorAnswer, Outcome};

/// Reason for refusing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ErrorKind {
    /// The bearer token is missing or not in the manifest.
    Unauthorized,
    /// The token is valid but does not authorize the request.
    Forbidden,
    /// The path, model, service, operation, trainer or step does not exist.
    NotFound,
    /// The body or a header is invalid.
    Invalid,
    /// The body exceeds the size limit.
    TooLarge,
    /// The caller exceeds its rate limit or its limit of requests in flight.
    RateLimited,
    /// The queue is full or too long for the deadline.
    Overloaded,
    /// No backend server can accept the request.
    NoServer,
    /// The deadline passed before the work started.
    ExpiredQueued,
    /// The deadline passed while the work was running.
    ExpiredRunning,
    /// A backend server failed while running the work, and a retry was not possible.
    ServerFailed,
    /// The retry budget is exhausted, and the work did not run.
    RetryBudget,
    /// The request crashed backend servers and is not run again.
    Quarantined,
    /// The idempotency key was used with a different body.
    KeyReused,
    /// An earlier attempt with this idempotency key may have run.
    ClaimUnresolved,
    /// The table service, which the work depends on, does not respond.
    TableUnavailable,
    /// Another manifest was committed on the same base revision.
    Conflict,
    /// The manifest was not committed.
    NotApplied,
    /// The manifest may have been committed.
    CommitUnresolved,
    /// Another daemon coordinates this trainer.
    NotCoordinator,
    /// The daemon is performing a planned stop.
    Leaving,
    /// No manifest is in force yet.
    NotReady,
    /// The step already exists with different content.
    StepExists,
    /// The weights are not newer than the published ones.
    OldWeights,
    /// The caller reads its response too slowly.
    SlowCaller,
    /// An internal error occurred in the daemon.
    Internal,
}

/// Response to an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerRule {
    /// Name in the response body and in metrics.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Whether the refused work ran.
    pub outcome: Outcome,
    /// Delay before a retry; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

const RETRY_SOON: Option<Duration> = Some(Duration::from_millis(500));
const RETRY_LATER: Option<Duration> = Some(Duration::from_secs(2));

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
        ErrorKind::TableUnavailable,
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

    /// Returns the response to this kind of error.
    pub fn rule(self) -> AnswerRule {
        use ErrorKind as K;
        use Outcome::{NotRun, Ran, Unknown};
        let (name, status, outcome, retry_after) = match self {
            K::Unauthorized => ("unauthorized", 401, NotRun, None),
            K::Forbidden => ("forbidden", 403, NotRun, None),
            K::NotFound => ("not_found", 404, NotRun, None),
            K::Invalid => ("invalid", 400, NotRun, None),
            K::TooLarge => ("too_large", 413, NotRun, None),
            K::RateLimited => ("rate_limited", 429, NotRun, RETRY_SOON),
            K::Overloaded => ("overloaded", 503, NotRun, RETRY_SOON),
            K::NoServer => ("no_server", 503, NotRun, RETRY_LATER),
            K::ExpiredQueued => ("expired_queued", 504, NotRun, RETRY_SOON),
            K::ExpiredRunning => ("expired_running", 504, Unknown, None),
            K::ServerFailed => ("server_failed", 502, Unknown, RETRY_SOON),
            K::RetryBudget => ("retry_budget", 503, NotRun, RETRY_LATER),
            K::Quarantined => ("quarantined", 422, Ran, None),
            K::KeyReused => ("key_reused", 422, NotRun, None),
            K::ClaimUnresolved => ("claim_unresolved", 409, Unknown, RETRY_LATER),
            K::TableUnavailable => ("table_away", 503, NotRun, RETRY_LATER),
            K::Conflict => ("conflict", 409, NotRun, None),
            K::NotApplied => ("not_applied", 503, NotRun, RETRY_LATER),
            K::CommitUnresolved => ("commit_unresolved", 504, Unknown, RETRY_LATER),
            K::NotCoordinator => ("not_coordinator", 421, NotRun, RETRY_SOON),
            K::Leaving => ("leaving", 503, NotRun, RETRY_SOON),
            K::NotReady => ("not_ready", 503, NotRun, RETRY_SOON),
            K::StepExists => ("step_exists", 409, NotRun, None),
            K::OldWeights => ("old_weights", 409, NotRun, None),
            K::SlowCaller => ("slow_caller", 408, Unknown, None),
            K::Internal => ("internal", 500, Unknown, RETRY_SOON),
        };
        AnswerRule { name, status, outcome, retry_after }
    }
}

/// A refused request: error kind, message, and values that override the response to the kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Human-readable message.
    pub message: String,
    /// Delay before a retry, if it differs from the default of the kind.
    pub retry_after: Option<Duration>,
    /// Whether the work ran, if it differs from the default of the kind.
    pub outcome: Option<Outcome>,
    /// Address of the daemon to use instead.
    pub use_address: Option<String>,
}

impl Refusal {
    /// Creates a refusal with the default response of its kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Refusal {
        Refusal {
            kind,
            message: message.into(),
            retry_after: None,
            outcome: None,
            use_address: None,
        }
    }

    /// Overrides the delay before a retry.
    pub fn retry_after(mut self, after: Duration) -> Refusal {
        self.retry_after = Some(after);
        self
    }

    /// Overrides whether the work ran.
    pub fn outcome(mut self, outcome: Outcome) -> Refusal {
        self.outcome = Some(outcome);
        self
    }

    /// Sets the address of the daemon to use instead.
    pub fn use_address(mut self, address: Option<String>) -> Refusal {
        self.use_address = address;
        self
    }

    /// Returns whether the refused work ran.
    pub fn work_outcome(&self) -> Outcome {
        self.outcome.unwrap_or(self.kind.rule().outcome)
    }

    /// Returns the HTTP status of the response.
    pub fn status(&self) -> u16 {
        self.kind.rule().status
    }

    /// Returns the body of the response.
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
