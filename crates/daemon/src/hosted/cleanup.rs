//! Removal of expired jobs and of stale rows from the store.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::{
    job::JobId,
    retention,
    store::{RowKey, StoreTx, TxEnd},
    suspects,
};
use buckthornfall_proto::messages::MemberState;
use log::info;
use tokio::time::sleep;

use super::{
    clock,
    node::{KnownJob, Node},
    rows, submissions,
};

/// Interval between cleanups.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum rows removed in one transaction, a limit of the store.
const MAX_REMOVED_ROWS: usize = 100;
/// Minimum age at which the row of a leaving or limited server is removed: during an outage of the
/// store the server's entry may expire and reappear.
const SERVER_ROW_TTL: Duration = Duration::from_secs(60);
/// Tables that are partitioned by job.
const JOB_TABLES: [&str; 3] = [rows::SUBMISSIONS, rows::RESULTS, rows::PROGRESS];

/// Removes the expired jobs and stale rows for which this daemon is responsible.
pub async fn run(node: Rc<Node>) {
    loop {
        sleep(CLEANUP_INTERVAL).await;
        if node.state.get() != MemberState::Serving || node.store.is_unavailable() {
            continue;
        }
        for (id, job) in expired_jobs(&node) {
            remove_job(&node, &id, &job).await;
        }
        remove_stale_leaving_rows(&node).await;
        remove_stale_limit_rows(&node).await;
        remove_expired_crashes(&node).await;
    }
}

fn expired_jobs(node: &Node) -> Vec<(JobId, KnownJob)> {
    let clock_ms = node.store.clock_ms();
    let jobs = node.jobs.borrow();
    let expired = jobs.iter().filter(|(id, job)| {
        retention::is_expired(&job.row, clock_ms, node.settings().result_retention)
            && is_responsible(node, id)
    });
    expired.map(|(id, job)| (id.clone(), job.clone())).collect()
}

/// Returns whether this daemon is responsible for the cleanup of the job or server `id`.
fn is_responsible(node: &Node, id: &str) -> bool {
    let members = node.members.borrow();
    members.owner(clock::now(), id).is_some_and(|host| *host == node.settings().host)
}

/// Removes the rows of leaving servers that are gone or have restarted.
async fn remove_stale_leaving_rows(node: &Node) {
    let keys: Vec<_> = {
        let now = clock::now();
        let backends = node.backends.borrow();
        let known = node.leaving_rows.borrow();
        let stale = known.iter().filter(|(id, read_at)| {
            let is_leaving = backends.get(id).is_some_and(|entry| entry.draining);
            !is_leaving
                && is_responsible(node, id)
                && now.saturating_sub(**read_at) > SERVER_ROW_TTL
        });
        let key = |id: &str| RowKey::new(rows::FLEET, "", &format!("{}{id}", rows::LEAVING_PREFIX));
        stale.map(|(id, _)| key(id)).take(MAX_REMOVED_ROWS).collect()
    };
    if !keys.is_empty() {
        let end = node.store.transact(&StoreTx::remove(keys)).await;
        info!(outcome:? = end; "left_servers_removed");
    }
}

/// Removes the limit rows of servers that are gone, have restarted or stopped stating a limit.
async fn remove_stale_limit_rows(node: &Node) {
    let keys: Vec<_> = {
        let now = clock::now();
        let backends = node.backends.borrow();
        let known = node.limit_rows.borrow();
        let stale = known.iter().filter(|(id, read_at)| {
            backends.limit(id).is_none()
                && is_responsible(node, id)
                && now.saturating_sub(**read_at) > SERVER_ROW_TTL
        });
        let key = |id: &str| RowKey::new(rows::FLEET, "", &format!("{}{id}", rows::LIMIT_PREFIX));
        stale.map(|(id, _)| key(id)).take(MAX_REMOVED_ROWS).collect()
    };
    if !keys.is_empty() {
        let end = node.store.transact(&StoreTx::remove(keys)).await;
        info!(outcome:? = end; "withdrawn_limits_removed");
    }
}

/// Removes the rows of requests that crashed servers, once their counts have expired.
async fn remove_expired_crashes(node: &Node) {
    let keys: Vec<_> = {
        let now = clock::now();
        let known = node.suspect_rows.borrow();
        let expired = known.iter().filter(|(key, read_at)| {
            now.saturating_sub(**read_at) > suspects::COUNT_TTL && is_responsible(node, key)
        });
        let key = |key: &str| RowKey::new(rows::FLEET, "", key);
        expired.map(|(name, _)| key(name)).take(MAX_REMOVED_ROWS).collect()
    };
    if !keys.is_empty() {
        let end = node.store.transact(&StoreTx::remove(keys)).await;
        info!(outcome:? = end; "expired_crashes_removed");
    }
}

/// Removes the rows and the object of a job. The job's own row is removed last, so that an
/// interrupted removal is retried.
async fn remove_job(node: &Rc<Node>, id: &str, job: &KnownJob) {
    let mut removed = 0;
    for table in JOB_TABLES {
        let Some(page) = node.store.rows(&RowKey::new(table, id, ""), None).await else { return };
        let keys: Vec<_> = page.rows.into_iter().map(|row| row.key).collect();
        for keys in keys.chunks(MAX_REMOVED_ROWS) {
            let end = node.store.transact(&StoreTx::remove(keys.to_vec())).await;
            if !matches!(end, TxEnd::Committed(_)) {
                return;
            }
            removed += keys.len();
        }
    }
    if job.row.chunks == 0 {
        node.store.drop_object(&submissions::object_name(id, &job.row.digest)).await;
    }
    let key = Node::job_key(id);
    let tx = StoreTx {
        expected: vec![(key.clone(), job.version)],
        remove: vec![key],
        ..StoreTx::default()
    };
    let end = node.store.transact(&tx).await;
    info!(job = id, removed, outcome:? = end; "job_removed");
    if matches!(end, TxEnd::Committed(_)) {
        node.forget_job(id);
    }
}
