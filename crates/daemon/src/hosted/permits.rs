//! Connections to backend servers, within the request limits that the servers state.
//!
//! A request can be sent only with a [`Permit`]. The permits of a limited server come from the one
//! daemon that issues them for all.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use buckthornfall_core::{
    backends::Backend,
    permits::{
        IssuerHost, Origin, PermitAction, PermitClass, PermitDemand, PermitId, PermitView, Permits,
        Verdict,
    },
    rate_limit::{Limit, LimitChange},
    store::{RowKey, StoreTx, TxEnd},
    Now,
};
use buckthornfall_platform::{limits, servers};
use buckthornfall_proto::messages::{
    LimitNotice, LimitRow, PeerMessage, PermitReply, PermitRequest,
};
use bytes::Bytes;
use http::{Request, Response};
use log::{info, warn};
use rustc_hash::{FxHashMap, FxHashSet};
use snafu::{OptionExt, Snafu};
use tokio::{
    sync::{oneshot, Notify},
    time::{sleep, timeout},
};

use super::{
    clock,
    http::{self as client, request_key, Connection, Pool, RequestKey, Reuse},
    node::Node,
    paths, rows,
};
use crate::{peers::Connections, tasks};

/// Time allowed for the round trip to the issuer, on top of the patience of the request.
const EXCHANGE_MARGIN: Duration = Duration::from_millis(250);
/// Minimum interval between two writes of the same limit row, as a server may state another limit in
/// each response.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);

/// Permission to send one request to a server.
pub struct Permit {
    server: Backend,
    request: RequestKey,
    sent_at: Now,
}

impl Permit {
    /// Returns the server.
    pub fn server(&self) -> &Backend {
        &self.server
    }

    /// Returns when the permit was granted.
    pub fn sent_at(&self) -> Now {
        self.sent_at
    }
}

/// The server's request limit does not admit the request in time.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("request limit of the server, free in {} ms", retry_after.as_millis()))]
pub struct Denied {
    /// Expected wait of a further request.
    pub retry_after: Duration,
}

/// Connections to servers, and the permits that this daemon issues.
pub struct ServerClient {
    pool: Pool,
    permits: RefCell<Permits>,
    /// Requests for permits that are not decided yet.
    waiting: RefCell<FxHashMap<PermitId, oneshot::Sender<Verdict>>>,
    /// Notified when a request may have started to wait.
    waits: Notify,
    /// Connections to the issuers of other daemons.
    peers: Connections,
    /// Servers whose limit row is being written.
    sharing: RefCell<FxHashSet<String>>,
}

impl Default for ServerClient {
    fn default() -> ServerClient {
        ServerClient {
            pool: Pool::separating_keys(),
            permits: RefCell::default(),
            waiting: RefCell::default(),
            waits: Notify::default(),
            peers: Connections::default(),
            sharing: RefCell::default(),
        }
    }
}

impl ServerClient {
    /// Returns an idle connection for the request that the permit is for, or opens one.
    pub async fn get(
        &self,
        node: &Rc<Node>,
        permit: Permit,
        reuse: Reuse,
        connect_timeout: Duration,
    ) -> client::Result<Connection> {
        self.connect(node, &permit.server, permit.request, reuse, connect_timeout).await
    }

    async fn connect(
        &self,
        node: &Rc<Node>,
        server: &Backend,
        request: RequestKey,
        reuse: Reuse,
        connect_timeout: Duration,
    ) -> client::Result<Connection> {
        let conn = self.pool.get(server.addr, request, reuse, connect_timeout).await;
        conn.inspect_err(|e| paths::on_failure(node, &server.service, &server.id, e))
    }

    /// Like `get`, for a request whose response must come from the process that the server's entry
    /// describes: another one may have started under the same id, with other software. Asks the process
    /// once for each connection.
    pub async fn get_verified(
        &self,
        node: &Rc<Node>,
        permit: Permit,
        reuse: Reuse,
        verification: Verification,
    ) -> Result<(Connection, Now), VerifyError> {
        let Permit { server, request, sent_at } = permit;
        let addr = server.addr;
        let Verification { connect_timeout, report_timeout, class, patience } = verification;
        let mut conn = self.connect(node, &server, request, reuse, connect_timeout).await?;
        if server.software.is_empty() || server.started_ms == 0 {
            return Ok((conn, sent_at));
        }
        let is_new = conn.peer_start().is_none();
        if is_new {
            let start = report_start(&mut conn, &server, report_timeout).await?;
            conn.set_peer_start(start);
        }
        let start = conn.peer_start().flatten();
        if start.is_some_and(|started_ms| started_ms != server.started_ms) {
            info!(server = server.id.as_str(), started_ms = server.started_ms, reported_ms:? = start;
                "server_process_differs");
            return Err(VerifyError::OtherProcess { addr });
        }
        if !is_new {
            return Ok((conn, sent_at));
        }
        // The report has used the permit.
        match acquire(node, &server, "", class, patience).await {
            Ok(permit) => Ok((conn, permit.sent_at)),
            Err(denied) => {
                self.pool.put(conn);
                Err(denied.into())
            }
        }
    }

    /// Sends a request of the daemon's own, which the permit is for, and reads the whole response.
    pub async fn call(
        &self,
        node: &Rc<Node>,
        permit: Permit,
        req: Request<Bytes>,
        connect_timeout: Duration,
        call_timeout: Duration,
    ) -> client::Result<Response<Bytes>> {
        let server = permit.server;
        let limit = client::MAX_OWN_BODY_BYTES;
        let response = self.pool.call(server.addr, req, connect_timeout, call_timeout, limit).await;
        response.inspect_err(|e| paths::on_failure(node, &server.service, &server.id, e))
    }

    /// Like `call`, for a request that may be repeated on a new connection: gives up an idle one that is silent.
    pub async fn call_repeatable(
        &self,
        node: &Rc<Node>,
        permit: Permit,
        req: Request<Bytes>,
        reuse: Reuse,
        CallTimeouts { connect, call }: CallTimeouts,
    ) -> client::Result<Response<Bytes>> {
        let server = permit.server.clone();
        let exchange = async {
            let mut conn = self.get(node, permit, reuse, connect).await?;
            let response = conn.send_repeatable(req, call).await?;
            let response = conn.read(response, client::MAX_OWN_BODY_BYTES).await?;
            self.pool.put(conn);
            Ok(response)
        };
        let response = timeout(call, exchange).await.ok();
        response.context(client::TimedOutSnafu { addr: server.addr, timeout: call })?
    }

    /// Returns whether there is a usable idle connection to `addr`.
    pub fn has_idle(&self, addr: SocketAddr) -> bool {
        self.pool.has_idle(addr)
    }

    /// Keeps a connection for further requests; its last response must have been read to the end.
    pub fn put(&self, conn: Connection) {
        self.pool.put(conn);
    }

    /// Closes connections whose idle timeout has passed.
    pub fn sweep(&self) {
        self.pool.sweep();
    }
}

/// Timeouts of a request of the daemon's own.
#[derive(Debug, Clone, Copy)]
pub struct CallTimeouts {
    /// Timeout of connecting.
    pub connect: Duration,
    /// Timeout of the whole call.
    pub call: Duration,
}

/// How a connection is verified.
#[derive(Debug, Clone, Copy)]
pub struct Verification {
    /// Timeout of connecting.
    pub connect_timeout: Duration,
    /// Timeout of the report.
    pub report_timeout: Duration,
    /// Class of the request in the queue for permits.
    pub class: PermitClass,
    /// Maximum wait for a permit of a limited server.
    pub patience: Duration,
}

/// Why there is no verified connection. Nothing of the request was sent.
#[derive(Debug, Snafu)]
pub enum VerifyError {
    /// The connection failed.
    #[snafu(context(false), display("{source}"))]
    Connection {
        /// The cause.
        source: client::Error,
    },
    /// The request limit of the server does not admit the request in time.
    #[snafu(context(false), display("{source}"))]
    Limited {
        /// The cause.
        source: Denied,
    },
    /// The process at the other end is not the one that the server's entry describes.
    #[snafu(display("the process at {addr} is not the one that the server's entry describes"))]
    OtherProcess {
        /// Address of the server.
        addr: SocketAddr,
    },
}

/// Returns an id for a request of this daemon's own.
pub fn new_request_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Asks a server for the start time of its process; `None` if it does not report one.
async fn report_start(
    conn: &mut Connection,
    server: &Backend,
    report_timeout: Duration,
) -> client::Result<Option<u64>> {
    let addr = server.addr;
    let report = async {
        let response = conn.send(servers::report_request(server, &new_request_id())).await?;
        conn.read(response, client::MAX_OWN_BODY_BYTES).await
    };
    let report = timeout(report_timeout, report).await.ok();
    let report = report.context(client::TimedOutSnafu { addr, timeout: report_timeout });
    // Nothing of the request itself was sent.
    let report = report.and_then(|report| report).map_err(|e| client::Error::Connect {
        addr,
        hung: false,
        reason: e.to_string(),
    })?;
    Ok(servers::reported_start(&report))
}

/// Requests a permit to send the request `id` to a server. Waits for at most about `patience`. There is none for a
/// server that leaves, or has ended, meanwhile.
pub async fn acquire(
    node: &Rc<Node>,
    server: &Backend,
    id: &str,
    class: PermitClass,
    patience: Duration,
) -> Result<Permit, Denied> {
    let limit = node.backends.borrow().limit(&server.id).copied();
    if let Some(limit) = limit {
        let started = clock::now();
        let known_wait = node.backends.borrow().permit_wait(started, &server.id, class);
        let verdict = if known_wait > patience {
            Verdict { granted: false, next: known_wait }
        } else {
            let server = server.id.as_str();
            let demand = PermitDemand { server, limit, class, patience, origin: Origin::Own };
            decide(node, demand).await
        };
        let now = clock::now();
        let waited = now.saturating_sub(started);
        node.backends.borrow_mut().on_permit_wait(now, &server.id, class, verdict.next);
        let outcome = if verdict.granted { "granted" } else { "denied" };
        metrics::counter!("server_permits_total", "server" => server.id.clone(), "outcome" => outcome)
            .increment(1);
        metrics::histogram!("server_permit_seconds").record(waited.as_secs_f64());
        info!(request = id, server = server.id.as_str(), outcome, waited_ms = millis(waited),
            next_ms = millis(verdict.next), limit:? = limit.rate; "permit");
        if !verdict.granted {
            return Err(Denied { retry_after: verdict.next });
        }
        if !node.backends.borrow().is_taking_requests(&server.id, server.started_ms) {
            info!(request = id, server = server.id.as_str(), waited_ms = millis(waited); "permit_of_leaving_server");
            return Err(Denied { retry_after: Duration::ZERO });
        }
    }
    Ok(Permit {
        server: server.clone(),
        request: request_key(id.as_bytes()),
        sent_at: clock::now(),
    })
}

/// Decides a request for a permit, here or by another daemon.
async fn decide(node: &Rc<Node>, demand: PermitDemand<'_>) -> Verdict {
    let mut out = Vec::new();
    let id = with_view(node, demand.server, |permits, view| {
        permits.request(clock::now(), view, demand, &mut out)
    });
    let (tx, rx) = oneshot::channel();
    node.servers.waiting.borrow_mut().insert(id, tx);
    let guard = DemandGuard { servers: &node.servers, id };
    perform(node, demand.server, out);
    node.servers.waits.notify_one();
    let verdict = rx.await;
    drop(guard);
    verdict.unwrap_or(Verdict { granted: false, next: Duration::ZERO })
}

/// Runs `f` with the permits and with what this daemon knows of the others.
fn with_view<R>(node: &Node, server: &str, f: impl FnOnce(&mut Permits, PermitView<'_>) -> R) -> R {
    let settings = node.settings();
    let zone = node.backends.borrow().get(server).map(|entry| entry.zone.clone());
    let location = zone.map(|zone| settings.location_of(&zone));
    let members = node.members.borrow();
    let view = PermitView {
        own_host: &settings.host,
        members: &members,
        location: location.as_ref(),
        clock: node.store.clock(),
    };
    f(&mut node.servers.permits.borrow_mut(), view)
}

fn perform(node: &Rc<Node>, server: &str, actions: Vec<PermitAction>) {
    for action in actions {
        match action {
            PermitAction::Decided { id, verdict } => {
                if let Some(tx) = node.servers.waiting.borrow_mut().remove(&id) {
                    // The receiver is gone if the request was cancelled at this moment.
                    let _ = tx.send(verdict);
                }
            }
            PermitAction::Ask { id, issuer, req } => {
                let (node, server) = (Rc::clone(node), server.to_owned());
                tokio::task::spawn_local(async move {
                    let verdict = tasks::catch_panic(ask(&node, &issuer, req)).await.flatten();
                    let mut out = Vec::new();
                    with_view(&node, &server, |permits, view| {
                        permits.on_reply(clock::now(), view, id, verdict, &mut out);
                    });
                    perform(&node, &server, out);
                    node.servers.waits.notify_one();
                });
            }
        }
    }
}

/// Asks the issuer on another host; `None` if it does not reply.
async fn ask(node: &Node, issuer: &IssuerHost, req: PermitRequest) -> Option<Verdict> {
    let wait = Duration::from_millis(u64::from(req.patience_ms)) + EXCHANGE_MARGIN;
    let server = req.limit.server.clone();
    match exchange(node, issuer, &PeerMessage::PermitRequest(req), wait).await {
        Ok(PeerMessage::PermitReply(reply)) => return Some(Verdict::from_reply(&reply)),
        Ok(_) => warn!(server, issuer = issuer.host.as_str(); "permit_reply_unexpected"),
        Err(error) => info!(server, issuer = issuer.host.as_str(), error; "permit_issuer_failed"),
    }
    None
}

/// Sends a message to an issuer and returns its reply.
async fn exchange(
    node: &Node,
    issuer: &IssuerHost,
    message: &PeerMessage,
    wait: Duration,
) -> Result<PeerMessage, String> {
    let peers = &node.servers.peers;
    let error = match timeout(wait, peers.exchange(&issuer.peers, message)).await {
        Ok(Ok(reply)) => return Ok(reply),
        Ok(Err(e)) => e.to_string(),
        Err(_) => "no reply in time".to_owned(),
    };
    peers.forget(&issuer.peers).await;
    Err(error)
}

/// Tells the issuer of a server what this daemon knows of its limit, and adopts what that one knows.
async fn notify_issuer(node: &Node, server: &str) {
    let issuer =
        with_view(node, server, |permits, view| permits.choose_issuer(clock::now(), view, server));
    let known = node.backends.borrow().rate_limits.get(server).copied();
    let (Some(issuer), Some(limit)) = (issuer, known) else { return };
    if issuer.host == node.settings().host {
        return;
    }
    let notice = PeerMessage::LimitNotice(limit.notice(clock::now(), node.store.clock(), server));
    match exchange(node, &issuer, &notice, EXCHANGE_MARGIN).await {
        Ok(PeerMessage::LimitNotice(reply)) => learn(node, &reply),
        Ok(_) => warn!(server, issuer = issuer.host.as_str(); "permit_reply_unexpected"),
        Err(error) => info!(server, issuer = issuer.host.as_str(), error; "limit_notice_failed"),
    }
}

/// Handles the notice of another daemon; `None` if nothing is known of the server.
pub fn handle_notice(node: &Node, notice: &LimitNotice) -> Option<LimitNotice> {
    learn(node, notice);
    let known = node.backends.borrow().rate_limits.get(&notice.server).copied();
    known.map(|limit| limit.notice(clock::now(), node.store.clock(), &notice.server))
}

/// Handles a request of another daemon.
pub async fn handle(node: &Rc<Node>, req: PermitRequest) -> PermitReply {
    let server = req.limit.server.as_str();
    learn(node, &req.limit);
    let known = node.backends.borrow().rate_limits.get(server).copied();
    let Some(limit) = known.filter(|limit| limit.rate.is_some()) else {
        return Verdict { granted: true, next: Duration::ZERO }.reply();
    };
    let demand = PermitDemand {
        server,
        limit,
        class: PermitClass { source: req.source, priority: req.priority },
        patience: Duration::from_millis(u64::from(req.patience_ms)),
        origin: Origin::Peer { relayed: req.relayed },
    };
    decide(node, demand).await.reply()
}

/// Adopts the limit that another daemon knows, if it is newer.
fn learn(node: &Node, notice: &LimitNotice) {
    let server = notice.server.as_str();
    let Some(limit) = Limit::from_notice(clock::now(), node.store.clock(), notice) else {
        warn!(server, rate = notice.rate; "server_limit_unreadable");
        return;
    };
    adopt(node, server, limit);
}

/// Adopts a limit if it is newer than what is known.
fn adopt(node: &Node, server: &str, limit: Limit) {
    if node.backends.borrow_mut().rate_limits.learn(server, limit) {
        let age = clock::now().saturating_sub(limit.stated_at);
        record_limit(server, limit.started_ms, limit.rate, age);
    }
}

/// Logs and exports a changed limit; `age` is the time since the server stated it.
fn record_limit(server: &str, started_ms: u64, rate: Option<f64>, age: Duration) {
    let age_ms = millis(age);
    match rate {
        Some(rate) => info!(server, started_ms, rate, age_ms; "server_limit"),
        None => info!(server, started_ms, age_ms; "server_limit_withdrawn"),
    }
    metrics::gauge!("server_limit", "server" => server.to_owned())
        .set(rate.unwrap_or(f64::INFINITY));
}

/// Withdraws a request for a permit when dropped, for example because its sender has left.
struct DemandGuard<'a> {
    servers: &'a ServerClient,
    id: PermitId,
}

impl Drop for DemandGuard<'_> {
    fn drop(&mut self) {
        if self.servers.waiting.borrow_mut().remove(&self.id).is_some() {
            self.servers.permits.borrow_mut().cancel(self.id);
        }
    }
}

/// Decides the waiting requests as their permits become due.
pub async fn run(node: Rc<Node>) {
    let servers = &node.servers;
    loop {
        let mut out = Vec::new();
        servers.permits.borrow_mut().poll(clock::now(), &mut out);
        // Polling only decides, so no server has to be located.
        perform(&node, "", out);
        let next_due = servers.permits.borrow().next_due(clock::now());
        match next_due {
            Some(due) => tokio::select! {
                () = sleep(due.saturating_sub(clock::now())) => {}
                () = servers.waits.notified() => {}
            },
            None => servers.waits.notified().await,
        }
    }
}

/// Records the request limit that a response states. Changes are shared with the other daemons.
pub fn on_response<B>(
    node: &Rc<Node>,
    server: &str,
    started_ms: u64,
    sent_at: Now,
    response: &Response<B>,
) {
    let stated = limits::stated_rate(response.headers());
    let now = clock::now();
    let mut backends = node.backends.borrow_mut();
    let change = backends.rate_limits.on_response(now, sent_at, server, started_ms, stated);
    drop(backends);
    let rate = match change {
        None => return,
        Some(LimitChange::Unreadable) => {
            warn!(server, header = limits::stated_text(response.headers()).as_str(); "server_limit_unreadable");
            return;
        }
        Some(LimitChange::Stated(rate)) => Some(rate),
        Some(LimitChange::Withdrawn) => None,
    };
    record_limit(server, started_ms, rate, now.saturating_sub(sent_at));
    if node.servers.sharing.borrow_mut().insert(server.to_owned()) {
        let (node, server) = (Rc::clone(node), server.to_owned());
        tokio::task::spawn_local(async move { share(&node, &server).await });
    }
}

/// Shares what this daemon knows of a server's limit: writes its row until the store has it, and
/// tells the issuer, which learns of it also while the store is away.
async fn share(node: &Node, server: &str) {
    let key = RowKey::new(rows::FLEET, "", &format!("{}{server}", rows::LIMIT_PREFIX));
    let known = || node.backends.borrow().rate_limits.get(server).copied();
    while let Some(limit) = known() {
        let row = LimitRow {
            rate: limit.rate,
            started_ms: limit.started_ms,
            at_ms: node.store.clock().to_clock_ms(clock::now(), limit.stated_at),
        };
        let tx = StoreTx::put(vec![(key.clone(), rows::encode(&row))]);
        let (end, ()) = tokio::join!(node.store.transact(&tx), notify_issuer(node, server));
        info!(server, rate:? = limit.rate, outcome:? = end; "server_limit_shared");
        sleep(SHARE_INTERVAL).await;
        let is_committed = matches!(end, TxEnd::Committed(_));
        if is_committed && known().is_none_or(|newest| newest.rate == limit.rate) {
            break;
        }
    }
    node.servers.sharing.borrow_mut().remove(server);
}

/// Adopts a limit row that another daemon wrote.
pub fn on_row(node: &Node, server: &str, row: &LimitRow) {
    let rate = row.rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
    if rate != row.rate {
        warn!(server, rate:? = row.rate; "server_limit_unreadable");
        return;
    }
    let stated_at = node.store.to_local(row.at_ms).min(clock::now());
    let limit = Limit { rate, started_ms: row.started_ms, stated_at, received_at: clock::now() };
    adopt(node, server, limit);
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
