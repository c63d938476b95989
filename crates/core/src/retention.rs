//! How long the store keeps a job that has ended.

use std::time::Duration;

use buckthornfall_proto::messages::{JobRow, JobState};

/// Part of the time for which results are kept that is added to it, against clocks that differ and
/// reads under way.
const MARGIN_SHARE: u32 = 4;

/// Whether the rows of a job may be removed at `clock_ms`, by the clock of the store. Results stay
/// for `kept` after the submission, and while the job is open.
pub fn is_over(job: &JobRow, clock_ms: u64, kept: Duration) -> bool {
    let kept = kept + kept / MARGIN_SHARE;
    let age = Duration::from_millis(clock_ms.saturating_sub(job.accepted_ms));
    job.state != JobState::Open && age >= kept
}
