//! Actor that orders servers to load model versions while this daemon holds the lease on the duties.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::{
    backends::Backend,
    permits::PermitClass,
    store::{RowKey, StoreTx, StoredRow, TxEnd},
    weights::{Order, OrderEnd, OrderRecord, OrderReport, Plan, WeightAction, WeightController},
    Now,
};
use buckthornfall_platform::servers;
use buckthornfall_proto::{
    ids::{Fence, HostId, ServerId},
    messages::{JobRow, OrderRow},
};
use bytes::Bytes;
use http::Response;
use log::info;
use rustc_hash::FxHashMap;
use stakker::{after, CX};
use tokio::time::sleep;

use super::{
    clock, duties,
    http::{Error, Reuse},
    node::Node,
    permits::{self, CallTimeouts, Denied, Permit},
    rows,
};

/// Interval between checks of due orders.
const TICK_INTERVAL: Duration = Duration::from_millis(60);
/// Timeout of a report request or an order to a server.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum wait for a permit of a limited server. An update needs two permits within
/// `buckthornfall_core::weights::REPORT_TIMEOUT`.
const PERMIT_PATIENCE: Duration = Duration::from_millis(1_100);
/// Age after which an order record is removed.
const ORDER_RECORD_TTL: Duration = Duration::from_secs(60);
/// Maximum order records removed in one transaction. The store limits a transaction to 100 entries,
/// and each record needs two: its removal, and a version check, since it may have been rewritten.
const MAX_REMOVED_RECORDS: usize = 50;
/// Delay before a failed read of the order records is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Weight controller of this daemon.
pub struct WeightActor {
    node: Rc<Node>,
    /// Name of this host in order records.
    host: HostId,
    weights: WeightController,
    /// Fencing token of the current term, if this daemon holds the lease.
    term: Option<Fence>,
}

impl WeightActor {
    pub fn init(cx: CX![], node: Rc<Node>) -> Option<WeightActor> {
        let host = duties::host_id(&node);
        after!(TICK_INTERVAL, [cx], tick());
        Some(WeightActor { node, host, weights: WeightController::default(), term: None })
    }

    pub fn on_version_named(&mut self, _: CX![], model: &str, version: u64) {
        self.weights.on_named(model, version);
        self.advance();
    }

    pub fn on_plan(&mut self, plan: Plan) {
        self.weights.on_plan(plan);
    }

    pub fn on_job(&mut self, job: &JobRow) {
        self.weights.on_job(clock::now(), &job.model, job.work, job.min_version);
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        self.advance();
    }

    /// Returns the fencing token if orders may be sent now. Starts or ends the term when the lease
    /// changed.
    fn fence(&mut self) -> Option<Fence> {
        let fence = self.node.duties.borrow().lease_fence(clock::now());
        if fence != self.term {
            self.term = fence;
            self.weights.stop();
            if let Some(fence) = fence {
                self.begin_term(fence);
            }
        }
        fence.filter(|fence| self.weights.may_order(*fence))
    }

    fn begin_term(&mut self, fence: Fence) {
        let settings = self.node.settings();
        let min_gap = if settings.servers_check_fences { Duration::ZERO } else { settings.lease };
        self.weights.order_records.begin_term(clock::now(), &self.host, min_gap);
        if !self.weights.order_records.is_required() {
            return;
        }
        let node = Rc::clone(&self.node);
        tokio::task::spawn_local(async move {
            let records = loop {
                if let Some(records) = read_records(&node).await {
                    break records;
                }
                sleep(READ_RETRY_DELAY).await;
            };
            node.with_weight_controller(move |actor, _| {
                if actor.term == Some(fence) {
                    actor.weights.order_records.on_read(records);
                }
            });
        });
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
        out.into_iter().for_each(|action| self.run_action(fence, action, None));
    }

    /// Runs an action; an order is sent with `permit`.
    fn run_action(&mut self, fence: Fence, action: WeightAction, permit: Option<Permit>) {
        let node = Rc::clone(&self.node);
        match action {
            WeightAction::RequestReport { server } => {
                let entry = node.backends.borrow().get(&server).cloned();
                let Some(entry) = entry else { return };
                let order_records = &self.weights.order_records;
                let version = order_records.is_required().then(|| order_records.version(&server));
                let host = self.host.clone();
                tokio::task::spawn_local(async move {
                    // An order must follow its record and report at once, so it gets its permit first.
                    let Ok((report_permit, order_permit)) = acquire_permits(&node, &entry).await
                    else {
                        node.with_weight_controller(move |actor, _| {
                            actor.on_report(&entry.id, None, clock::now(), None, None);
                        });
                        return;
                    };
                    let started = clock::now();
                    let record =
                        async { record_order(&node, &entry.id, host, started, version?).await };
                    let report = request_report(&node, &entry, report_permit);
                    let (report, stored) = tokio::join!(report, record);
                    node.with_weight_controller(move |actor, _| {
                        actor.on_report(&entry.id, report, started, stored, Some(order_permit))
                    });
                });
            }
            WeightAction::Send { server, order } => {
                let entry = node.backends.borrow().get(&server).cloned();
                let (Some(entry), Some(permit)) = (entry, permit) else { return };
                tokio::task::spawn_local(async move {
                    let end = send_order(&node, &entry, &order, permit).await;
                    node.with_weight_controller(move |actor, _| {
                        actor.weights.on_order(clock::now(), fence, &entry.id, end);
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

    /// Handles a server's report, with the record of the order that may follow if such records are
    /// required, and the permit of that order.
    fn on_report(
        &mut self,
        server: &str,
        report: Option<OrderReport>,
        started: Now,
        record: Option<OrderRecord>,
        permit: Option<Permit>,
    ) {
        let now = clock::now();
        let is_recorded = self.weights.order_records.on_record(now, server, started, record);
        let fence = self.fence();
        let report = report.filter(|_| is_recorded);
        let mut out = Vec::new();
        self.weights.on_report(now, fence, server, report.as_ref(), &mut out);
        if let (Some(fence), Some(order)) = (fence, out.pop()) {
            self.run_action(fence, order, permit);
        }
    }
}

/// Acquires the permits of a report and of the order that may follow it.
async fn acquire_permits(node: &Rc<Node>, server: &Backend) -> Result<(Permit, Permit), Denied> {
    let acquire = || permits::acquire(node, server, "", PermitClass::CONTROL, PERMIT_PATIENCE);
    Ok((acquire().await?, acquire().await?))
}

/// Asks a server for its report, once more on a new connection if an idle one is silent.
async fn request_report(node: &Rc<Node>, server: &Backend, permit: Permit) -> Option<OrderReport> {
    let mut response = send_report_request(node, server, permit, Reuse::Any).await;
    if response.as_ref().is_err_and(Error::is_silent_connection) {
        let class = PermitClass::CONTROL;
        if let Ok(permit) = permits::acquire(node, server, "", class, PERMIT_PATIENCE).await {
            response = send_report_request(node, server, permit, Reuse::Never).await;
        }
    }
    let report = match &response {
        Ok(response) => servers::report(response).unwrap_or_default(),
        Err(_) => None,
    };
    let error = response.err().map(|e| e.to_string()).unwrap_or_default();
    info!(server = server.id.as_str(), report:? = report, error; "server_report");
    report
}

async fn send_report_request(
    node: &Rc<Node>,
    server: &Backend,
    permit: Permit,
    reuse: Reuse,
) -> Result<Response<Bytes>, Error> {
    let sent_at = permit.sent_at();
    let req = servers::report_request(server, &permits::new_request_id());
    let timeouts = CallTimeouts { connect: CONNECT_TIMEOUT, call: RESPONSE_TIMEOUT };
    let response = node.servers.call_repeatable(node, permit, req, reuse, timeouts).await?;
    node.on_response(&server.id, server.started_ms, sent_at, &response);
    Ok(response)
}

async fn send_order(node: &Rc<Node>, server: &Backend, order: &Order, permit: Permit) -> OrderEnd {
    let req = servers::order(server, &permits::new_request_id(), &node.settings().host, order);
    let sent_at = permit.sent_at();
    let response = node.servers.call(node, permit, req, CONNECT_TIMEOUT, RESPONSE_TIMEOUT).await;
    if let Ok(response) = &response {
        node.on_response(&server.id, server.started_ms, sent_at, response);
    }
    let end = servers::order_end(response.as_ref().ok());
    info!(server = server.id.as_str(), model = order.model.as_str(), version = order.version,
        accepted = order.accepted, fence = order.fence, outcome:? = end; "weights_ordered");
    end
}

/// Records an order to a server whose record has `version`. Returns the record that is stored
/// afterwards, if it is known.
async fn record_order(
    node: &Node,
    server: &str,
    host: HostId,
    started: Now,
    version: u64,
) -> Option<OrderRecord> {
    let key = rows::order_key(server);
    let row = OrderRow { host: host.clone(), at_ms: node.store.clock_ms() };
    let tx = StoreTx::replace(key.clone(), version, rows::encode(&row));
    let end = node.store.transact(&tx).await;
    if let TxEnd::Committed(version) = end {
        return Some(OrderRecord { host, at: started, version });
    }
    info!(server, version, outcome:? = end; "order_not_recorded");
    let TxEnd::Conflict(found) = end else { return None };
    found.iter().find(|found| found.key == key).and_then(|found| decode_record(node, found))
}

/// Returns all order records and removes the expired ones.
async fn read_records(node: &Node) -> Option<FxHashMap<ServerId, OrderRecord>> {
    let mut rows = Vec::new();
    for part in rows::order_parts() {
        rows.extend(node.store.rows(&RowKey::new(rows::ORDERS, &part, ""), None).await?.rows);
    }
    let now = clock::now();
    let mut records: FxHashMap<ServerId, OrderRecord> = FxHashMap::default();
    let mut expired = Vec::new();
    for row in &rows {
        match decode_record(node, row) {
            Some(mut record) if now.saturating_sub(record.at) < ORDER_RECORD_TTL => {
                let server = row.key.key.as_str();
                if row.key != rows::order_key(server) {
                    // Of an earlier version of the software: the next record is a new row.
                    record.version = 0;
                }
                let known = records.get(server);
                let version = record.version.max(known.map_or(0, |known| known.version));
                let newest = match known {
                    Some(known) if known.at > record.at => known.clone(),
                    _ => record,
                };
                records.insert(server.to_owned(), OrderRecord { version, ..newest });
            }
            _ => expired.push(row),
        }
    }
    info!(records = records.len(), over = expired.len(); "orders_read");
    let parts = expired.chunk_by(|a, b| a.key.part == b.key.part);
    for batch in parts.flat_map(|part| part.chunks(MAX_REMOVED_RECORDS)) {
        let expected = batch.iter().map(|row| (row.key.clone(), row.version)).collect();
        let remove = batch.iter().map(|row| row.key.clone()).collect();
        let end = node.store.transact(&StoreTx { expected, put: Vec::new(), remove }).await;
        info!(rows = batch.len(), outcome:? = end; "order_records_removed");
    }
    Some(records)
}

/// Decodes an order record; `None` if the row was removed or is invalid.
fn decode_record(node: &Node, row: &StoredRow) -> Option<OrderRecord> {
    let OrderRow { host, at_ms } = rows::decode(row)?;
    Some(OrderRecord { host, at: node.store.to_local(at_ms), version: row.version })
}

async fn save_plan(node: &Node, plan: &Plan) {
    let value = rows::encode(&plan.to_row());
    let key = RowKey::new(rows::FLEET, "", rows::PLAN_KEY);
    let end = node.store.transact(&StoreTx::put(vec![(key, value)])).await;
    info!(fence = plan.fence(), outcome:? = end; "plan_saved");
}
