//! Specifications, actions and outcomes of jobs.

use std::time::Duration;

use buckthornfall_proto::ids::{ServerId, ServiceName, WeightVersion};
use bytes::Bytes;

use super::Batch;
use crate::Now;

/// Id of a job.
pub type JobId = String;
/// Id of a sample; equal ids in different jobs mean the same sample.
pub type SampleId = String;
/// Id of a run, unique within the process.
pub type RunId = u64;

/// The request that scores a finished sample.
#[derive(Debug, Clone, PartialEq)]
pub struct Scorer {
    /// Id of the request.
    pub id: String,
    /// `Host` header.
    pub host: String,
    /// Request path.
    pub path: String,
    /// Request body.
    pub body: Bytes,
}

/// A sample as submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct SampleSpec {
    /// Id of the sample.
    pub id: SampleId,
    /// Path of the generation request.
    pub path: String,
    /// Headers of the generation request.
    pub headers: Vec<(String, String)>,
    /// Body of the generation request.
    pub body: Bytes,
    /// Group of samples with the same prompt.
    pub group: String,
    /// The submitter's estimate of the output tokens.
    pub expected_tokens: u64,
    /// Scoring request, if the sample is scored.
    pub scorer: Option<Scorer>,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// Model that generates the samples.
    pub model: String,
    /// Oldest weight version that may generate a token.
    pub min_version: WeightVersion,
    /// Number of complete groups that the submitter waits for.
    pub target_groups: usize,
    /// All samples; groups left over from an earlier job come first.
    pub samples: Vec<SampleSpec>,
}

/// Settings of a job, from its route.
#[derive(Debug, Clone, PartialEq)]
pub struct JobPolicy {
    /// Service that runs the samples.
    pub service: ServiceName,
    /// Number of failures after which a sample is given up.
    pub max_attempts: u32,
    /// Priority among the routes; 0 is the highest.
    pub priority: u8,
    /// Whether a single weight version must generate a whole sample.
    pub single_version: bool,
    /// When unfinished samples are given up.
    pub give_up_at: Now,
    /// When the job was accepted, on this daemon's clock.
    pub accepted: Now,
}

/// Outcome of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The stream is complete.
    Complete,
    /// The stream was interrupted, or the response was not a stream of this sample.
    Broken,
    /// The server rejected the request without running it.
    Refused,
    /// The server's request limit did not admit the request in time; it was not sent.
    Denied,
    /// The server ran the request and failed.
    Failed,
    /// The sample can never succeed.
    Impossible,
}

/// Outcome of a scoring request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScoreEnd {
    /// The score.
    Scored(String),
    /// The scorer ran the request and failed.
    Failed {
        /// Number of failures after which the sample is given up.
        most: u32,
    },
    /// No usable response was received.
    NoAnswer,
    /// The scorer's request limit did not admit the request in time; it was not sent.
    Denied {
        /// Expected wait of a further request.
        retry_after: Duration,
    },
}

/// Action requested by [`Jobs`](super::Jobs).
#[derive(Debug, Clone, PartialEq)]
pub enum JobAction {
    /// Run a sample on a server.
    Run {
        /// The run.
        run: RunId,
        /// Its job.
        job: JobId,
        /// Index of the sample in the job.
        sample: usize,
        /// The server.
        server: ServerId,
        /// Id of the last event received; the run resumes after it.
        after: Option<u64>,
    },
    /// Cancel a run; its later events are ignored.
    Cancel {
        /// The run.
        run: RunId,
        /// Its server.
        server: ServerId,
    },
    /// Cancel a run whose sample migrates to another server.
    Move {
        /// The run.
        run: RunId,
    },
    /// Send the scoring request of a sample.
    Score {
        /// The job.
        job: JobId,
        /// Index of the sample.
        sample: usize,
        /// Number of earlier scoring requests for the sample.
        tries: u32,
    },
    /// Append results to the job's log in the store.
    Append {
        /// The job.
        job: JobId,
        /// The results.
        batch: Batch,
    },
    /// Reread the job's log.
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
        /// Reason for giving up.
        reason: GiveUp,
    },
}

/// Reason for giving up a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUp {
    /// Runs failed as often as the route allows.
    Failures,
    /// A server reported that the sample can never succeed.
    Impossible,
    /// Scoring failed as often as the scorer's route allows.
    ScorerFailures,
    /// The deadline passed.
    Expired,
}
