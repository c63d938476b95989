//! Ends of jobs that callers have asked for: stored with retries, and told to the owners at once.

use std::{cell::RefCell, rc::Rc, time::Duration};

use buckthornfall_core::{
    job::JobId,
    store::{RowVersion, StoreTx, TxEnd},
};
use buckthornfall_proto::messages::{EndNotice, JobRow, JobState, PeerMessage};
use log::info;
use rustc_hash::FxHashMap;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use super::{clock, node::Node, rows, submissions};
use crate::{peers::Connections, tasks};

/// Delay before the first retry of a failed write.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Maximum delay between two retries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The same while the owner writes the end as well.
const MAX_SHARED_RETRY_DELAY: Duration = Duration::from_secs(4);
/// Time after which a daemon that was told of an end stores it itself.
const NOTICE_GRACE: Duration = Duration::from_millis(500);
/// Timeout of telling the owner, and interval between two notices: the owner may change or restart.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// The ends that this daemon knows of and that may not be stored yet.
#[derive(Debug, Default)]
pub struct JobEnds {
    requested: RefCell<FxHashMap<JobId, Request>>,
    /// Notified when an end is read from the store or written to it.
    stored: Notify,
    /// Connections to owners.
    peers: Connections,
}

impl JobEnds {
    /// Returns whether the end of a job was asked for and may not be stored yet.
    pub fn is_requested(&self, id: &str) -> bool {
        self.requested.borrow().contains_key(id)
    }

    /// Records that the end of a job is stored, or that its row was removed.
    pub fn on_stored(&self, id: &str) {
        self.requested.borrow_mut().remove(id);
        self.stored.notify_waiters();
    }

    /// Waits until any end is stored, or for `longest`.
    pub async fn wait(&self, longest: Duration) {
        drop(timeout(longest, self.stored.notified()).await);
    }
}

/// An end that may not be stored yet.
#[derive(Debug, Default)]
struct Request {
    /// Whether the owner was told last time.
    is_told: bool,
}

/// Who asked a daemon for the end of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Requester {
    /// A caller.
    Caller,
    /// Another daemon, which stores the end as well.
    Daemon,
}

/// Ends a job: stops its work here, tells its owner, and writes the end until it is stored.
pub fn request(node: &Rc<Node>, id: &str, requester: Requester) {
    if node.job_ends.is_requested(id) {
        return;
    }
    node.job_ends.requested.borrow_mut().insert(id.to_owned(), Request::default());
    node.close_job(id, "end_requested");
    let (node, id) = (Rc::clone(node), id.to_owned());
    tokio::task::spawn_local(async move {
        if requester == Requester::Daemon {
            sleep(NOTICE_GRACE).await;
        } else {
            tokio::task::spawn_local(tell_owner(Rc::clone(&node), id.clone()));
        }
        tasks::restart_after_panics("job end", || store(&node, &id)).await;
        node.job_ends.on_stored(&id);
    });
}

/// Handles the notice of another daemon that a caller has asked for the end of a job.
pub fn handle_notice(node: &Rc<Node>, notice: EndNotice) -> EndNotice {
    let row = node.jobs.borrow().get(&notice.job).map(|job| job.row.clone());
    if row.is_none_or(|row| row.state == JobState::Open) {
        info!(job = notice.job.as_str(); "job_end_noticed");
        request(node, &notice.job, Requester::Daemon);
    }
    notice
}

/// Writes the end of a job until it is stored or the job is gone.
async fn store(node: &Rc<Node>, id: &str) {
    let mut delay = MIN_RETRY_DELAY;
    loop {
        match submissions::job_row(node, id).await {
            Ok(None) => return,
            Ok(Some((row, _))) if row.state == JobState::Ended => return,
            Ok(Some((row, version))) => match write(node, id, row, version).await {
                TxEnd::Committed(_) => return,
                TxEnd::Conflict(_) | TxEnd::Failed(_) => {}
            },
            Err(_) => {}
        }
        sleep(delay.mul_f64(rand::random_range(0.5..1.0))).await;
        let is_told = node.job_ends.requested.borrow().get(id).is_some_and(|req| req.is_told);
        delay = (delay * 2).min(if is_told { MAX_SHARED_RETRY_DELAY } else { MAX_RETRY_DELAY });
    }
}

async fn write(node: &Rc<Node>, id: &str, row: JobRow, version: RowVersion) -> TxEnd {
    let next = JobRow { state: JobState::Ended, ..row };
    let tx = StoreTx::replace(Node::job_key(id), version, rows::encode(&next));
    let end = node.store.transact(&tx).await;
    info!(job = id, row_version = version, outcome:? = end; "job_end");
    match &end {
        TxEnd::Committed(version) => node.on_job(id, next, *version),
        TxEnd::Conflict(found) => {
            let key = Node::job_key(id);
            match found.iter().find(|found| found.key == key) {
                Some(found) => {
                    if let Some(row) = rows::decode(found) {
                        node.on_job(id, row, found.version);
                    }
                }
                None => node.forget_job(id),
            }
        }
        TxEnd::Failed(_) => {}
    }
    end
}

/// Tells the owner of a job that its end was asked for, again until the end is stored. An owner that was
/// not told by then is told for the cancellation time, in which it must have stopped.
async fn tell_owner(node: Rc<Node>, id: JobId) {
    let mut stored_at = None;
    loop {
        let is_told = tell(&node, &id).await;
        if let Some(req) = node.job_ends.requested.borrow_mut().get_mut(&id) {
            req.is_told = is_told == Some(true);
        }
        sleep(NOTICE_INTERVAL).await;
        if !node.job_ends.is_requested(&id) {
            let since = *stored_at.get_or_insert_with(clock::now);
            let is_over = clock::now().saturating_sub(since) > node.settings().cancellation;
            if is_over || is_told != Some(false) {
                return;
            }
        }
    }
}

/// Returns whether the owner knows of the end; `None` if there is no other daemon to tell.
async fn tell(node: &Node, id: &str) -> Option<bool> {
    let owner = node.jobs.borrow().get(id).map(|job| job.row.owner.clone());
    let owner = owner.filter(|owner| *owner != node.settings().host)?;
    let address = node.members.borrow().get(&owner).map(|row| row.peers.clone());
    let Some(address) = address else { return Some(false) };
    let message = PeerMessage::EndNotice(EndNotice { job: id.to_owned() });
    let exchange = node.job_ends.peers.exchange(&address, &message);
    let is_told = matches!(timeout(NOTICE_INTERVAL, exchange).await, Ok(Ok(_)));
    if !is_told {
        node.job_ends.peers.forget(&address).await;
    }
    info!(job = id, owner, told = is_told; "job_end_told");
    Some(is_told)
}
