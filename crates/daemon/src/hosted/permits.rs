//! Connections to backend servers, within the request limits that the servers state.
//!
//! A request can be sent only with a [`Permit`]. The permits of a limited server come from the one
//! daemon that issues them for all.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use buckthornfall_core::{
    backends::Backend,
    permits::{Issue, Issuer, IssuerChoice, IssuerHost, PermitClass, Ticket, Verdict},
    rate_limit::{Limit, LimitChange, StatedRate},
    store::{RowKey, StoreTx, TxEnd},
    Now,
};
use buckthornfall_platform::limits;
use buckthornfall_proto::messages::{LimitRow, PeerMessage, PermitReply, PermitRequest};
use bytes::Bytes;
use http::{Request, Response};
use log::{info, warn};
use rustc_hash::{FxHashMap, FxHashSet};
use snafu::Snafu;
use tokio::{
    sync::{oneshot, Notify},
    time::{sleep, timeout},
};

use super::{
    clock,
    http::{self as client, Connection, Pool},
    node::Node,
    rows,
};
use crate::peers::Connections;

/// Time allowed for the round trip to the issuer, on top of the patience of the request.
const EXCHANGE_MARGIN: Duration = Duration::from_millis(250);
/// Maximum number of issuers asked for one permit.
const MAX_ISSUERS: usize = 2;
/// Delay of a denied request if no issuer is known or replies.
const NO_ISSUER_DELAY: Duration = Duration::from_millis(500);
/// Minimum interval between two writes of the same limit row, as a server may state another limit in
/// each response.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);

/// Permission to send one request to a server.
pub struct Permit {
    server: Backend,
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
#[derive(Default)]
pub struct ServerClient {
    pool: Pool,
    issuer: RefCell<Issuer>,
    choice: RefCell<IssuerChoice>,
    /// Requests of any daemon that wait for a permit of this one.
    waiting: RefCell<FxHashMap<Ticket, oneshot::Sender<Verdict>>>,
    /// Notified when a request starts to wait.
    waits: Notify,
    /// Connections to the issuers of other daemons.
    peers: Connections,
    /// Servers whose limit row is being written.
    sharing: RefCell<FxHashSet<String>>,
}

impl ServerClient {
    /// Returns an idle connection for the request that the permit is for, or opens one.
    pub async fn get(
        &self,
        permit: Permit,
        connect_timeout: Duration,
    ) -> client::Result<Connection> {
        self.pool.get(permit.server.addr, connect_timeout).await
    }

    /// Sends the request that the permit is for, and reads the whole response.
    pub async fn call(
        &self,
        permit: Permit,
        req: Request<Bytes>,
        connect_timeout: Duration,
        call_timeout: Duration,
    ) -> client::Result<Response<Bytes>> {
        self.pool.call(permit.server.addr, req, connect_timeout, call_timeout).await
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

/// Requests a permit to send the request `id` to a server. Waits for at most about `patience`.
pub async fn acquire(
    node: &Node,
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
            ask(node, server, limit, class, patience).await
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
    }
    Ok(Permit { server: server.clone(), sent_at: clock::now() })
}

/// Asks the issuers of a server in order until one replies.
async fn ask(
    node: &Node,
    server: &Backend,
    limit: Limit,
    class: PermitClass,
    patience: Duration,
) -> Verdict {
    for _ in 0..MAX_ISSUERS {
        let Some(issuer) = choose_issuer(node, server) else { break };
        if issuer.host == node.settings().host {
            return issue(node, &server.id, limit, class, patience).await;
        }
        let req = permit_request(&server.id, limit, class, patience, false);
        if let Some(verdict) = ask_issuer(node, &issuer, req).await {
            return verdict;
        }
    }
    Verdict { granted: false, next: NO_ISSUER_DELAY }
}

fn choose_issuer(node: &Node, server: &Backend) -> Option<IssuerHost> {
    let location = node.settings().location_of(&server.zone);
    let members = node.members.borrow();
    let choice = node.servers.choice.borrow();
    choice.issuer(clock::now(), &members, &location, &server.id)
}

/// Asks an issuer on another host; `None` if it does not reply.
async fn ask_issuer(node: &Node, issuer: &IssuerHost, req: PermitRequest) -> Option<Verdict> {
    let wait = Duration::from_millis(u64::from(req.patience_ms)) + EXCHANGE_MARGIN;
    let server = req.server.clone();
    let message = PeerMessage::PermitRequest(req);
    let end = timeout(wait, node.servers.peers.exchange(&issuer.peers, &message)).await;
    let error = match end {
        Ok(Ok(PeerMessage::PermitReply(reply))) => {
            let next = Duration::from_millis(u64::from(reply.next_ms));
            return Some(Verdict { granted: reply.granted, next });
        }
        Ok(Ok(_)) => "unexpected reply".to_owned(),
        Ok(Err(e)) => e.to_string(),
        Err(_) => "no reply in time".to_owned(),
    };
    node.servers.peers.forget(&issuer.peers).await;
    node.servers.choice.borrow_mut().on_failure(clock::now(), &issuer.host);
    info!(server, issuer = issuer.host.as_str(), error; "permit_issuer_failed");
    None
}

fn permit_request(
    server: &str,
    limit: Limit,
    class: PermitClass,
    patience: Duration,
    relayed: bool,
) -> PermitRequest {
    PermitRequest {
        server: server.to_owned(),
        rate: limit.rate.unwrap_or_default(),
        started_ms: limit.started_ms,
        age_ms: millis(clock::now().saturating_sub(limit.stated_at)),
        source: class.source,
        priority: class.priority,
        patience_ms: u32::try_from(patience.as_millis()).unwrap_or(u32::MAX),
        relayed,
    }
}

/// Handles a request of another daemon. Passes it on once if another daemon is the issuer by what
/// this one knows, so that two daemons with different views do not both issue.
pub async fn handle(node: &Node, mut req: PermitRequest) -> PermitReply {
    let class = PermitClass { source: req.source, priority: req.priority };
    let patience = Duration::from_millis(u64::from(req.patience_ms));
    let limit = learn(node, &req);
    let server = node.backends.borrow().get(&req.server).cloned();
    let issuer = server.filter(|_| !req.relayed).and_then(|server| choose_issuer(node, &server));
    let other = issuer.filter(|issuer| issuer.host != node.settings().host);
    let verdict = match (limit, other) {
        (None, _) => Verdict { granted: true, next: Duration::ZERO },
        (Some(limit), None) => issue(node, &req.server, limit, class, patience).await,
        (Some(limit), Some(other)) => {
            req.relayed = true;
            let server = req.server.clone();
            match ask_issuer(node, &other, req).await {
                Some(verdict) => verdict,
                None => issue(node, &server, limit, class, patience).await,
            }
        }
    };
    let next_ms = u32::try_from(verdict.next.as_millis()).unwrap_or(u32::MAX);
    PermitReply { granted: verdict.granted, next_ms }
}

/// Adopts the sender's limit if it is newer, and returns the limit in force; `None` if the server is
/// not limited any more.
fn learn(node: &Node, req: &PermitRequest) -> Option<Limit> {
    let stated_at = clock::now().saturating_sub(Duration::from_millis(req.age_ms));
    let is_valid = req.rate.is_finite() && req.rate >= 0.0;
    let stated = Limit { rate: Some(req.rate), started_ms: req.started_ms, stated_at };
    let mut backends = node.backends.borrow_mut();
    if is_valid && backends.rate_limits.learn(&req.server, stated) {
        info!(server = req.server.as_str(), rate = req.rate, started_ms = req.started_ms, age_ms = req.age_ms; "server_limit_learned");
    }
    backends.rate_limits.get(&req.server).copied().filter(|limit| limit.rate.is_some())
}

/// Issues a permit of this daemon, now or once it is due.
async fn issue(
    node: &Node,
    server: &str,
    limit: Limit,
    class: PermitClass,
    patience: Duration,
) -> Verdict {
    let servers = &node.servers;
    let rate = limit.rate.unwrap_or_default();
    let issue = servers.issuer.borrow_mut().request(clock::now(), server, rate, class, patience);
    let ticket = match issue {
        Issue::Decided(verdict) => return verdict,
        Issue::Waiting(ticket) => ticket,
    };
    let (tx, rx) = oneshot::channel();
    servers.waiting.borrow_mut().insert(ticket, tx);
    servers.waits.notify_one();
    let guard = WaitGuard { servers, server, ticket };
    let verdict = rx.await;
    drop(guard);
    verdict.unwrap_or(Verdict { granted: false, next: NO_ISSUER_DELAY })
}

/// Withdraws a waiting request when dropped, for example because its sender has left.
struct WaitGuard<'a> {
    servers: &'a ServerClient,
    server: &'a str,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.servers.waiting.borrow_mut().remove(&self.ticket).is_some() {
            self.servers.issuer.borrow_mut().cancel(self.server, self.ticket);
        }
    }
}

/// Decides the waiting requests as their permits become due.
pub async fn run(node: Rc<Node>) {
    let servers = &node.servers;
    loop {
        let now = clock::now();
        let mut out = Vec::new();
        servers.issuer.borrow_mut().poll(now, &mut out);
        for (ticket, verdict) in out {
            if let Some(tx) = servers.waiting.borrow_mut().remove(&ticket) {
                // The receiver is gone if the request was cancelled at this moment.
                let _ = tx.send(verdict);
            }
        }
        let next_due = servers.issuer.borrow().next_due(clock::now());
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
    match change {
        None => return,
        Some(LimitChange::Unreadable) => {
            warn!(server, header = limits::stated_text(response.headers()).as_str(); "server_limit_unreadable");
            return;
        }
        Some(LimitChange::Stated(rate)) => info!(server, started_ms, rate; "server_limit"),
        Some(LimitChange::Withdrawn) => info!(server, started_ms; "server_limit_withdrawn"),
    }
    let rate = if let StatedRate::PerSecond(rate) = stated { rate } else { f64::INFINITY };
    metrics::gauge!("server_limit", "server" => server.to_owned()).set(rate);
    if node.servers.sharing.borrow_mut().insert(server.to_owned()) {
        let (node, server) = (Rc::clone(node), server.to_owned());
        tokio::task::spawn_local(async move { share(&node, &server).await });
    }
}

/// Writes the limit row of a server until it holds what this daemon knows.
async fn share(node: &Node, server: &str) {
    let key = RowKey::new(rows::FLEET, "", &format!("{}{server}", rows::LIMIT_PREFIX));
    let known = || node.backends.borrow().rate_limits.get(server).copied();
    while let Some(limit) = known() {
        let row = LimitRow {
            rate: limit.rate,
            started_ms: limit.started_ms,
            at_ms: node.store.to_clock_ms(limit.stated_at),
        };
        let tx = StoreTx::put(vec![(key.clone(), rows::encode(&row))]);
        let end = node.store.transact(&tx).await;
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
    let limit = Limit { rate, started_ms: row.started_ms, stated_at };
    if node.backends.borrow_mut().rate_limits.learn(server, limit) {
        let age_ms = millis(clock::now().saturating_sub(stated_at));
        info!(server, rate:? = rate, started_ms = row.started_ms, age_ms; "server_limit_learned");
        metrics::gauge!("server_limit", "server" => server.to_owned())
            .set(rate.unwrap_or(f64::INFINITY));
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
