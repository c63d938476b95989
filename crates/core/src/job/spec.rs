//! What jobs are made of, ask for and are told.

use buckthornfall_proto::ids::{ServerId, ServiceName, WeightVersion};
use bytes::Bytes;

use super::Batch;
use crate::Now;

/// Id of a job.
pub type JobId = String;
/// Id of a sample; the same in a later job means the same sample.
pub type SampleId = String;
/// Number of a run, unique in a process.
pub type RunId = u64;

/// The request that scores a finished sample.
#[derive(Debug, Clone, PartialEq)]
pub struct Scorer {
    /// Id of the request.
    pub id: String,
    /// Its `Host` header.
    pub host: String,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: Bytes,
}

/// One sample as it was submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct SampleSpec {
    /// Its id.
    pub id: SampleId,
    /// Path of the request to a model server.
    pub path: String,
    /// Headers of that request.
    pub headers: Vec<(String, String)>,
    /// Body of that request.
    pub body: Bytes,
    /// Group that shares its prompt.
    pub group: String,
    /// The submitter's estimate of its output tokens.
    pub expected_tokens: u64,
    /// How it is scored.
    pub scorer: Option<Scorer>,
}

/// A job as it was submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// Model that makes the samples.
    pub model: String,
    /// Oldest version of the weights that may make a token.
    pub min_version: WeightVersion,
    /// Complete groups that the submitter waits for.
    pub target_groups: usize,
    /// All samples; those of groups that an earlier job left come first.
    pub samples: Vec<SampleSpec>,
}

/// What the route of a job asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct JobPolicy {
    /// Service that runs the samples.
    pub service: ServiceName,
    /// Failures after which a sample is given up.
    pub max_attempts: u32,
    /// Rank among the routes; 0 goes first.
    pub priority: u8,
    /// Whether one version must make all of a sample.
    pub single_version: bool,
    /// When samples may be given up.
    pub give_up_at: Now,
    /// When the job was accepted, on this daemon's clock.
    pub accepted: Now,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The stream is whole.
    Complete,
    /// The stream broke, or what came was not a stream of this sample.
    Broken,
    /// The server did not run it.
    Refused,
    /// The server ran it and failed.
    Failed,
    /// The sample can never be done.
    Impossible,
}

/// How a request to a scorer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScoreEnd {
    /// The score.
    Scored(String),
    /// The scorer ran it and failed.
    Failed {
        /// Failures after which the sample may be given up.
        most: u32,
    },
    /// No usable answer came.
    NoAnswer,
}

/// What the jobs ask for.
#[derive(Debug, Clone, PartialEq)]
pub enum JobAction {
    /// Run a sample at a server.
    Run {
        /// The run.
        run: RunId,
        /// Its job.
        job: JobId,
        /// Index of the sample in the job.
        sample: usize,
        /// The server.
        server: ServerId,
        /// Last event that is known already.
        after: Option<u64>,
    },
    /// End a run; nothing of it is taken any more.
    Cancel {
        /// The run.
        run: RunId,
        /// Its server.
        server: ServerId,
    },
    /// End a run whose sample goes on at another server.
    Move {
        /// The run.
        run: RunId,
    },
    /// Ask a sample's scorer.
    Score {
        /// The job.
        job: JobId,
        /// Index of the sample.
        sample: usize,
        /// Earlier requests of this sample to its scorer.
        tries: u32,
    },
    /// Append to the job's log in the store.
    Append {
        /// The job.
        job: JobId,
        /// What to append.
        batch: Batch,
    },
    /// Read the job's log again.
    ReadLog {
        /// The job.
        job: JobId,
    },
    /// A sample was given up.
    GaveUp {
        /// The job.
        job: JobId,
        /// Id of the sample.
        sample: SampleId,
        /// Why.
        reason: GiveUp,
    },
}

/// Why a sample was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUp {
    /// Servers failed it as often as the route allows.
    Failures,
    /// A server said that it can never be done.
    Impossible,
    /// Its scorer failed as often as the route allows.
    ScorerFailures,
    /// Its time is up.
    Expired,
}
