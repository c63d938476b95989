//! Actor that holds the lease on the duties of one daemon at a time, and the client of the calls to the
//! platform that are such duties.

use std::{cell::RefCell, rc::Rc, time::Duration};

use buckthornfall_core::{
    admission::TokenBucket,
    duties::{CallEnd, LeaseState},
    lease::{Lease, LeaseAction},
    store::{RowKey, StoreFailure, StoreTx, StoredRow, TxEnd},
    table::{ReadResult, TableError, TxnResult},
    weights::LEASE_TIMES,
};
use buckthornfall_platform::{
    duties::{self as wire, Duty},
    settings::DutySettings,
};
use buckthornfall_proto::{
    ids::{Fence, HostId},
    messages::{MemberState, Row, Txn, TxnAnswer},
};
use bytes::Bytes;
use http::Request;
use log::info;
use stakker::{after, CX};

use super::{
    clock,
    http::{Error, Pool, MAX_OWN_BODY_BYTES},
    node::Node,
    rows,
};

/// Name of the lease, for which daemons of earlier versions compete as well.
const LEASE_NAME: &str = "weights";
/// Number of daemons that compete for the lease.
const LEASE_CANDIDATES: usize = 3;
/// Interval between checks of the lease.
const TICK_INTERVAL: Duration = Duration::from_millis(60);
/// Timeout for connecting to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a call; the lease outlasts it, as a holder stops acting before its term ends.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Returns the name under which this host holds leases. A replacement host may reuse the name of its
/// predecessor, but not its address.
pub fn host_id(node: &Node) -> HostId {
    format!("{}@{}", node.settings().host, node.settings().front)
}

/// Holder of the lease, or candidate for it.
pub struct DutyActor {
    node: Rc<Node>,
    host: HostId,
    lease: Lease,
    /// Fencing token of the current term, if this daemon holds the lease.
    term: Option<Fence>,
    /// Holder of the lease before this daemon.
    holder_before: String,
}

impl DutyActor {
    pub fn init(cx: CX![], node: Rc<Node>) -> Option<DutyActor> {
        let host = host_id(&node);
        // Every process start is a separate lease holder.
        let holder = format!("{host}/{:x}", rand::random::<u64>());
        let lease = Lease::new(LEASE_NAME, &holder, LEASE_TIMES);
        after!(TICK_INTERVAL, [cx], tick());
        Some(DutyActor { node, host, lease, term: None, holder_before: String::new() })
    }

    /// Releases the lease during a planned stop.
    pub fn release(&mut self, _: CX![]) {
        let mut out = Vec::new();
        self.lease.release(clock::now(), &mut out);
        self.run_lease_actions(out);
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        let now = clock::now();
        let node = Rc::clone(&self.node);
        let serving = node.state.get() == MemberState::Serving;
        let wants_lease =
            serving && node.members.borrow().ranks_within(now, LEASE_NAME, LEASE_CANDIDATES);
        let mut out = Vec::new();
        if !wants_lease && node.is_cut_off() {
            self.lease.give_up(now, &mut out);
        }
        self.lease.tick(now, wants_lease, &mut out);
        self.run_lease_actions(out);
    }

    /// Tells the duties of the state of the lease.
    fn publish(&mut self) {
        let now = clock::now();
        let fence = self.lease.fence(now);
        if fence.is_none() {
            let holder = self.lease.last_holder().map_or("", |(holder, _)| holder);
            self.holder_before = holder.to_owned();
        }
        let is_own_before =
            self.holder_before.rsplit_once('/').is_some_and(|(host, _)| host == self.host);
        let state = LeaseState { fence, time_left: self.lease.time_left(now), is_own_before };
        self.node.duties.borrow_mut().on_lease(now, state, self.node.settings().lease);
        if fence != self.term {
            metrics::gauge!("weights_lease_held").set(if fence.is_some() { 1.0 } else { 0.0 });
            info!(fence:? = fence, last:? = self.term, holder_before = self.holder_before.as_str(); "duty_term");
            self.term = fence;
        }
    }

    fn run_lease_actions(&mut self, actions: Vec<LeaseAction>) {
        self.publish();
        for action in actions {
            let node = Rc::clone(&self.node);
            let key = RowKey::new(rows::FLEET, "", self.lease.key());
            match action {
                LeaseAction::Read => {
                    tokio::task::spawn_local(async move {
                        let reply = read_row(&node, &key).await;
                        node.with_duty_holder(move |actor, _| {
                            let mut out = Vec::new();
                            actor.lease.on_read(clock::now(), &reply, &mut out);
                            actor.run_lease_actions(out);
                        });
                    });
                }
                LeaseAction::Txn { attempt, txn } => {
                    tokio::task::spawn_local(async move {
                        let reply = transact(&node, &key, &txn).await;
                        node.with_duty_holder(move |actor, _| {
                            let mut out = Vec::new();
                            actor.lease.on_txn(clock::now(), &attempt, &reply, &mut out);
                            actor.run_lease_actions(out);
                        });
                    });
                }
            }
        }
    }
}

async fn read_row(node: &Node, key: &RowKey) -> ReadResult {
    let row = node.store.row(key).await.map_err(|_| TableError::NoReply)?;
    Ok(to_row(key, row))
}

async fn transact(node: &Node, key: &RowKey, txn: &Txn) -> TxnResult {
    let value = txn.writes.first().map(|write| write.value.clone()).unwrap_or_default();
    let version = txn.checks.first().map_or(0, |check| check.version);
    let tx = StoreTx::replace(key.clone(), version, Bytes::from(value.clone()));
    match node.store.transact(&tx).await {
        TxEnd::Committed(version) => {
            let row = Row { key: key.key.clone(), value, version };
            Ok(TxnAnswer { committed: true, rows: vec![row] })
        }
        TxEnd::Conflict(rows) => {
            let row = rows.into_iter().find(|row| row.key.key == key.key);
            Ok(TxnAnswer { committed: false, rows: vec![to_row(key, row)] })
        }
        TxEnd::Failed(StoreFailure::Refused) => Err(TableError::NotSent),
        TxEnd::Failed(StoreFailure::Unknown) => Err(TableError::NoReply),
    }
}

fn to_row(key: &RowKey, row: Option<StoredRow>) -> Row {
    let version = row.as_ref().filter(|row| row.value.is_some()).map_or(0, |row| row.version);
    let value = row.and_then(|row| row.value).unwrap_or_default();
    Row { key: key.key.clone(), value: String::from_utf8_lossy(&value).into_owned(), version }
}

/// Client of the calls to the platform that are duties.
#[derive(Debug, Default)]
pub struct DutyClient {
    pool: Pool,
    /// Calls that the platform accepts, all from the one holder; made at the first call.
    bucket: RefCell<Option<TokenBucket>>,
}

/// Number of calls that may be made at once.
const CALL_BURST: f64 = 8.0;

impl DutyClient {
    /// Makes the call that `build` returns if this daemon may make calls now.
    pub async fn call(
        &self,
        node: &Node,
        settings: &DutySettings,
        build: impl FnOnce(&Duty) -> Request<Bytes>,
    ) -> CallEnd {
        let now = clock::now();
        let Some(fence) = node.duties.borrow().call_fence(now) else { return CallEnd::NotSent };
        let has_permit = {
            let mut bucket = self.bucket.borrow_mut();
            let rate = settings.calls_per_s.max(1.0);
            let bucket = bucket.get_or_insert_with(|| TokenBucket::new(now, rate, CALL_BURST));
            bucket.set_rate(now, rate, CALL_BURST);
            bucket.take(now, 1.0).is_ok()
        };
        if !has_permit {
            return CallEnd::Busy;
        }
        let duty = Duty { addr: settings.addr, holder: node.settings().host.clone(), fence };
        let req = build(&duty);
        let reply =
            self.pool.call(duty.addr, req, CONNECT_TIMEOUT, CALL_TIMEOUT, MAX_OWN_BODY_BYTES).await;
        let end = match &reply {
            Err(Error::Connect { .. }) => CallEnd::NotSent,
            reply => wire::call_end(reply.as_ref().ok()),
        };
        metrics::counter!("duty_calls_total", "outcome" => format!("{end:?}")).increment(1);
        end
    }
}
