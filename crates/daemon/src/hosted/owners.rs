//! Ownership of jobs: takeover of orphaned jobs, and handover during a planned stop and by a daemon
//! that has lost the servers. Also closes
//! idle connections to backend servers and forgets expired server entries.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::store::{RowVersion, StoreTx, TxEnd};
use buckthornfall_proto::messages::{JobRow, JobState, MemberState};
use log::info;
use tokio::{sync::oneshot, time::sleep};

use super::{
    clock,
    node::{KnownJob, Node},
    rows,
};

/// Interval between checks for orphaned jobs, idle connections and expired server entries.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Takes over jobs whose owner stopped writing heartbeats, hands jobs over that this daemon cannot run,
/// closes idle connections and forgets expired server entries.
pub async fn watch(node: Rc<Node>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        if node.state.get() != MemberState::Serving {
            continue;
        }
        if node.store.is_unavailable() {
            continue;
        }
        node.servers.sweep();
        node.backends.borrow_mut().expire(node.store.steady_since(), clock::now());
        if node.is_cut_off() {
            leave_jobs(&node).await;
        }
        for (id, row, version) in orphans(&node) {
            let owner = node.settings().host.clone();
            change_owner(&node, &id, row, version, owner).await;
        }
    }
}

/// Returns the open jobs without a live owner that this daemon should take over.
fn orphans(node: &Node) -> Vec<(String, JobRow, RowVersion)> {
    let now = clock::now();
    let members = node.members.borrow();
    let jobs = node.jobs.borrow();
    let is_orphan = |row: &JobRow| {
        row.state == JobState::Open
            && row.owner != node.settings().host
            && !members.is_live(now, &row.owner)
            && members.owner(now, &row.model).is_some_and(|owner| *owner == node.settings().host)
    };
    let found = jobs.iter().filter(|(_, job)| is_orphan(&job.row));
    found.map(|(id, job)| (id.clone(), job.row.clone(), job.version)).collect()
}

/// Changes the owner of a job to `owner` if its row still has `version`. A job whose end was asked for
/// ends instead.
pub async fn change_owner(
    node: &Rc<Node>,
    id: &str,
    row: JobRow,
    version: RowVersion,
    owner: String,
) {
    let last = row.owner.clone();
    let state = if node.job_ends.is_requested(id) { JobState::Ended } else { row.state };
    let next = JobRow { state, owner, ..row };
    let tx = StoreTx::replace(Node::job_key(id), version, rows::encode(&next));
    let end = node.store.transact(&tx).await;
    info!(job = id, last, owner = next.owner.as_str(), row_version = version, outcome:? = end; "job_owner_change");
    if let TxEnd::Committed(version) = end {
        node.on_job(id, next, version);
    }
}

/// Hands all jobs of this daemon over to others that reach the servers. What was generated is saved
/// first.
async fn leave_jobs(node: &Rc<Node>) {
    for (id, KnownJob { row, version }) in node.owned_jobs() {
        let next = node.members.borrow().owner(clock::now(), &row.model).cloned();
        let Some(next) = next.filter(|next| *next != node.settings().host) else { continue };
        let (tx, rx) = oneshot::channel();
        let job = id.clone();
        node.with_runner(move |runner, cx| drop(tx.send(runner.unsaved(cx, &job))));
        if let Ok(Some(save)) = rx.await {
            save_progress(node, &save).await;
        }
        change_owner(node, &id, row, version, next).await;
    }
}

/// Saves the progress of a job that is handed over, if the store takes it at once: the next owner generates again
/// what is not saved.
pub async fn save_progress(node: &Node, save: &StoreTx) {
    let end = node.store.transact(save).await;
    info!(rows = save.put.len(), outcome:? = end; "job_progress_saved");
}

/// Hands all jobs of this daemon over to others during a planned stop.
pub async fn hand_over(node: &Rc<Node>) {
    for (id, KnownJob { row, version }) in node.owned_jobs() {
        let next = node.members.borrow().owner(clock::now(), &row.model).cloned();
        if let Some(next) = next.filter(|next| *next != node.settings().host) {
            change_owner(node, &id, row, version, next).await;
        }
    }
}
