//! The actor that brings servers to the named versions while it holds the lease on that duty.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::{
    backends::Backend,
    lease::{Lease, LeaseAction, LeaseTimes},
    store::{RowKey, StoreFailure, StoreTx, StoredRow, TxEnd},
    table::{ReadResult, TableError, TxnResult},
    weights::{Order, OrderEnd, OrderReport, Plan, WeightAction, Weights},
    Now,
};
use buckthornfall_platform::servers;
use buckthornfall_proto::{
    ids::Fence,
    messages::{JobRow, Row, Txn, TxnAnswer},
};
use bytes::Bytes;
use http::{Request, Response};
use log::info;
use stakker::{after, CX};

use super::{clock, http::Error, node::Node, rows};

/// Name of the lease.
const ROLE: &str = "weights";
/// Daemons that try to hold it.
const CANDIDATES: usize = 3;
/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(60);
/// Longest wait for an answer of a server to a report or an order.
const ANSWER_LIMIT: Duration = Duration::from_millis(900);
/// Longest wait for a connection to a server.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// A holder that stops acting this long before its term ends leaves its last order time to arrive.
const LEASE_TIMES: LeaseTimes = LeaseTimes {
    term: Duration::from_millis(2_200),
    margin: Duration::from_millis(700),
    interval: Duration::from_millis(400),
    timeout: Duration::from_millis(1_300),
};

/// The duty, and this daemon's view of its lease.
pub struct Duty {
    node: Rc<Node>,
    lease: Lease,
    weights: Weights,
    /// Fencing number of the term, with when this daemon first saw that it has it.
    term: Option<(Fence, Now)>,
}

impl Duty {
    pub fn init(cx: CX![], node: Rc<Node>) -> Option<Duty> {
        // A new start of a process is another holder.
        let holder = format!("{}/{:x}", node.settings().host, rand::random::<u64>());
        let lease = Lease::new(ROLE, &holder, LEASE_TIMES);
        after!(TICK, [cx], tick());
        Some(Duty { node, lease, weights: Weights::default(), term: None })
    }

    pub fn on_named(&mut self, _: CX![], model: &str, version: u64) {
        self.weights.on_named(model, version);
        self.advance();
    }

    pub fn on_plan(&mut self, plan: Plan) {
        self.weights.on_plan(plan);
    }

    pub fn on_job(&mut self, job: &JobRow) {
        self.weights.on_job(clock::now(), &job.model, job.work, job.min_version);
    }

    /// Gives the lease back at a planned stop.
    pub fn release(&mut self, _: CX![]) {
        let mut out = Vec::new();
        self.lease.release(clock::now(), &mut out);
        self.act_on_lease(out);
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = clock::now();
        let node = Rc::clone(&self.node);
        let serving = node.state.get() == buckthornfall_proto::messages::MemberState::Serving;
        let wanted = serving && node.members.borrow().among_first(now, ROLE, CANDIDATES);
        let mut out = Vec::new();
        self.lease.tick(now, wanted, &mut out);
        self.act_on_lease(out);
        self.advance();
    }

    /// The fencing number under which orders may be sent now.
    fn fence(&mut self) -> Option<Fence> {
        let now = clock::now();
        let fence = self.lease.fence(now);
        if fence != self.term.map(|(fence, _)| fence) {
            metrics::gauge!("weights_lease_held").set(if fence.is_some() { 1.0 } else { 0.0 });
            info!(fence:? = fence, last:? = self.term.map(|(fence, _)| fence); "duty_term");
            self.term = fence.map(|fence| (fence, now));
            self.weights.stop();
        }
        let (fence, since) = self.term?;
        // The last holder may have sent an order just before this term began; servers that check
        // fencing numbers refuse what comes after an order of this term.
        let settings = self.node.settings();
        let wait = if settings.servers_check_fences { Duration::ZERO } else { settings.lease };
        let waited = fence == 1 || now.saturating_sub(since) >= wait;
        (waited && self.weights.may_order(fence)).then_some(fence)
    }

    fn advance(&mut self) {
        let Some(fence) = self.fence() else { return };
        let Some(desired) = self.node.desired() else { return };
        let models: Vec<_> =
            desired.services.iter().flat_map(|service| service.models.clone()).collect();
        let mut out = Vec::new();
        let node = Rc::clone(&self.node);
        let backends = node.backends.borrow();
        self.weights.tick(clock::now(), fence, &models, &backends, &mut out);
        drop(backends);
        out.into_iter().for_each(|action| self.act(fence, action));
    }

    fn act(&mut self, fence: Fence, action: WeightAction) {
        let node = Rc::clone(&self.node);
        match action {
            WeightAction::AskReport { server } => {
                let entry = node.backends.borrow().get(&server).cloned();
                let Some(entry) = entry else { return };
                tokio::task::spawn_local(async move {
                    let report = ask_report(&node, &entry).await;
                    node.duty(move |duty, cx| duty.on_report(cx, &entry.id, report.as_ref()));
                });
            }
            WeightAction::Send { server, order } => {
                let entry = node.backends.borrow().get(&server).cloned();
                let Some(entry) = entry else { return };
                tokio::task::spawn_local(async move {
                    let end = send_order(&node, &entry, &order).await;
                    node.duty(move |duty, _| {
                        duty.weights.on_order(clock::now(), fence, &entry.id, end);
                    });
                });
            }
            WeightAction::SavePlan(plan) => {
                info!(fence, plan:? = plan; "plan_made");
                *node.plan.borrow_mut() = plan.clone();
                tokio::task::spawn_local(async move { save_plan(&node, &plan).await });
            }
        }
    }

    fn on_report(&mut self, _: CX![], server: &str, report: Option<&OrderReport>) {
        let fence = self.fence();
        let mut out = Vec::new();
        self.weights.on_report(clock::now(), fence, server, report, &mut out);
        if let Some(fence) = fence {
            out.into_iter().for_each(|action| self.act(fence, action));
        }
    }

    fn act_on_lease(&mut self, actions: Vec<LeaseAction>) {
        for action in actions {
            let node = Rc::clone(&self.node);
            let key = RowKey::new(rows::FLEET, "", self.lease.key());
            match action {
                LeaseAction::Read => {
                    tokio::task::spawn_local(async move {
                        let reply = read(&node, &key).await;
                        node.duty(move |duty, _| {
                            let mut out = Vec::new();
                            duty.lease.on_read(clock::now(), &reply, &mut out);
                            duty.act_on_lease(out);
                        });
                    });
                }
                LeaseAction::Txn { attempt, txn } => {
                    tokio::task::spawn_local(async move {
                        let reply = transact(&node, &key, &txn).await;
                        node.duty(move |duty, _| {
                            let mut out = Vec::new();
                            duty.lease.on_txn(clock::now(), &attempt, &reply, &mut out);
                            duty.act_on_lease(out);
                        });
                    });
                }
            }
        }
    }
}

/// Calls a server, whose answer may say that it leaves.
async fn call(
    node: &Rc<Node>,
    server: &Backend,
    req: Request<Bytes>,
) -> Result<Response<Bytes>, Error> {
    let reply = node.servers.call(server.addr, req, CONNECT_LIMIT, ANSWER_LIMIT).await?;
    node.on_reply(&server.id, server.started_ms, &reply);
    Ok(reply)
}

async fn ask_report(node: &Rc<Node>, server: &Backend) -> Option<OrderReport> {
    let req = servers::ask_report(server);
    let reply = call(node, server, req).await;
    let report = match &reply {
        Ok(reply) => servers::report(reply).unwrap_or_default(),
        Err(_) => None,
    };
    let error = reply.err().map(|e| e.to_string()).unwrap_or_default();
    info!(server = server.id.as_str(), report:? = report, error; "server_report");
    report
}

async fn send_order(node: &Rc<Node>, server: &Backend, order: &Order) -> OrderEnd {
    let req = servers::order(server, &node.settings().host, order);
    let reply = call(node, server, req).await;
    let end = servers::order_end(reply.as_ref().ok());
    info!(server = server.id.as_str(), model = order.model.as_str(), version = order.version,
        accepted = order.accepted, fence = order.fence, outcome:? = end; "weights_ordered");
    end
}

async fn save_plan(node: &Node, plan: &Plan) {
    let value = rows::encode(&plan.to_row());
    let key = RowKey::new(rows::FLEET, "", rows::PLAN);
    let end = node.store.transact(&StoreTx::put(vec![(key, value)])).await;
    info!(fence = plan.fence(), outcome:? = end; "plan_saved");
}

async fn read(node: &Node, key: &RowKey) -> ReadResult {
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
