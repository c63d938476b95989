//! Retention of jobs in the store.

use std::time::Duration;

use buckthornfall_core::retention;
use buckthornfall_proto::messages::{JobRow, JobState};

const RETENTION: Duration = Duration::from_secs(120);

fn job(state: JobState) -> JobRow {
    JobRow {
        state,
        account: None,
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
fn a_job_is_kept_for_the_retention_period_and_while_it_is_open() {
    let expired = |state, seconds: u64| {
        retention::is_expired(&job(state), 1_000_000 + seconds * 1_000, RETENTION)
    };
    assert!(!expired(JobState::Ended, 0));
    assert!(!expired(JobState::Ended, 149));
    assert!(expired(JobState::Ended, 150));
    assert!(!expired(JobState::Open, 3_600));
    assert!(
        !retention::is_expired(&job(JobState::Ended), 0, RETENTION),
        "the store's clock is not known yet"
    );
}
