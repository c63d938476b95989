//! Removes what the store need not keep any more.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::{
    job::JobId,
    retention,
    store::{RowKey, StoreTx, TxEnd},
};
use buckthornfall_proto::messages::MemberState;
use log::info;
use tokio::time::sleep;

use super::{
    clock,
    node::{KnownJob, Node},
    rows, submissions,
};

/// Time between two looks at what is over.
const INTERVAL: Duration = Duration::from_secs(2);
/// Most rows that one transaction removes, a bound of the store.
const MAX_ROWS: usize = 100;
/// How long the row of a server that leaves is kept at least: its entry may lapse and come back
/// while the store is away.
const LEFT_KEPT: Duration = Duration::from_secs(60);
/// Tables with a partition for each job.
const TABLES: [&str; 3] = [rows::SUBMISSIONS, rows::RESULTS, rows::PROGRESS];

/// Removes jobs that are over, those of which this daemon is the first choice.
pub async fn run(node: Rc<Node>) {
    loop {
        sleep(INTERVAL).await;
        if node.state.get() != MemberState::Serving || node.store.is_lost() {
            continue;
        }
        for (id, job) in over(&node) {
            remove(&node, &id, &job).await;
        }
        forget_left(&node).await;
    }
}

fn over(node: &Node) -> Vec<(JobId, KnownJob)> {
    let clock_ms = node.store.clock_ms();
    let jobs = node.jobs.borrow();
    let over = jobs.iter().filter(|(id, job)| {
        retention::is_expired(&job.row, clock_ms, node.settings().result_retention)
            && is_ours(node, id)
    });
    over.map(|(id, job)| (id.clone(), job.clone())).collect()
}

/// Whether this daemon is the first choice for what `id` names.
fn is_ours(node: &Node, id: &str) -> bool {
    let members = node.members.borrow();
    members.owner(clock::now(), id).is_some_and(|host| *host == node.settings().host)
}

/// Removes the rows of servers that have left, and of those that have started anew.
async fn forget_left(node: &Node) {
    let keys: Vec<_> = {
        let now = clock::now();
        let backends = node.backends.borrow();
        let known = node.leaving_rows.borrow();
        let over = known.iter().filter(|(id, read)| {
            let leaves = backends.get(id).is_some_and(|entry| entry.draining);
            !leaves && is_ours(node, id) && now.saturating_sub(**read) > LEFT_KEPT
        });
        let key = |id: &str| RowKey::new(rows::FLEET, "", &format!("{}{id}", rows::LEAVING));
        over.map(|(id, _)| key(id)).take(MAX_ROWS).collect()
    };
    if !keys.is_empty() {
        let end = node.store.transact(&StoreTx::remove(keys)).await;
        info!(outcome:? = end; "left_servers_removed");
    }
}

/// The row of the job goes last: while it stands, a removal that broke off is begun again.
async fn remove(node: &Rc<Node>, id: &str, job: &KnownJob) {
    let mut removed = 0;
    for table in TABLES {
        let Some(page) = node.store.rows(&RowKey::new(table, id, ""), None).await else { return };
        let keys: Vec<_> = page.rows.into_iter().map(|row| row.key).collect();
        for keys in keys.chunks(MAX_ROWS) {
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
    let last = StoreTx {
        expected: vec![(key.clone(), job.version)],
        remove: vec![key],
        ..StoreTx::default()
    };
    let end = node.store.transact(&last).await;
    info!(job = id, removed, outcome:? = end; "job_removed");
    if matches!(end, TxEnd::Committed(_)) {
        node.forget_job(id);
    }
}
