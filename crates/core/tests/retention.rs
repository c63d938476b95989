//! How long the store keeps a job.

use std::time::Duration;

use buckthornfall_core::retention;
use buckthornfall_proto::messages::{JobRow, JobState};

const KEPT: Duration = Duration::from_secs(120);

fn job(state: JobState) -> JobRow {
    JobRow {
        state,
        owner: "h1".to_owned(),
        host: "shop.example".to_owned(),
        path: "/models/x".to_owned(),
        accepted_ms: 1_000_000,
        model: "m".to_owned(),
        min_version: 1,
        samples: 1,
        digest: String::new(),
        chunks: 1,
        work: 10,
    }
}

#[test]
fn a_job_is_kept_for_the_stated_time_and_while_it_is_open() {
    let over =
        |state, seconds: u64| retention::is_over(&job(state), 1_000_000 + seconds * 1_000, KEPT);
    assert!(!over(JobState::Ended, 0));
    assert!(!over(JobState::Ended, 149));
    assert!(over(JobState::Ended, 150));
    assert!(!over(JobState::Open, 3_600));
    assert!(!retention::is_over(&job(JobState::Ended), 0, KEPT), "a clock that is not known yet");
}
