//! Retention of the store rows of ended jobs.

use std::time::Duration;

use buckthornfall_proto::messages::{JobRow, JobState};

/// The retention period is extended by its length divided by this, to allow for clock skew and
/// reads in progress.
const MARGIN_DIVISOR: u32 = 4;

/// Returns whether the rows of a job may be removed at `clock_ms` of the store's clock. Results are
/// kept for `retention` after submission, and as long as the job is open.
pub fn is_expired(job: &JobRow, clock_ms: u64, retention: Duration) -> bool {
    let retention = retention + retention / MARGIN_DIVISOR;
    let age = Duration::from_millis(clock_ms.saturating_sub(job.accepted_ms));
    job.state != JobState::Open && age >= retention
}
