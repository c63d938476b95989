//! Client of the platform's store, and the store's availability as seen by this daemon.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};

use buckthornfall_core::{
    relay::{self, Change, PeerAddress, Relay},
    store::{
        FeedEnd, RowKey, RowPage, RowVersion, StoreClock, StoreFailure, StoreTx, StoredRow, TxEnd,
    },
    Now,
};
use buckthornfall_platform::store as wire;
use buckthornfall_proto::{
    http_status,
    messages::{PeerMessage, StoreCall, StoreReply},
};
use bytes::Bytes;
use http::{header, Request, Response, StatusCode, Uri};
use log::{info, warn};
use tokio::sync::Semaphore;

use super::{
    clock,
    http::{Error, Pool, MAX_BODY_BYTES},
};
use crate::peers::{self, Connections};

/// Timeout for connecting to the store: many times the round trip between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call to the store: hundreds of times its usual latency.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout of a call that transfers an object.
const OBJECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of objects that are read at the same time, for example after the loss of another daemon.
const MAX_OBJECT_READS: usize = 3;
/// Timeout of the probe that checks whether the store serves this daemon again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time allowed for the round trip to the relaying daemon, on top of the timeout of the call.
const RELAY_MARGIN: Duration = Duration::from_millis(150);
/// Time without a successful call after which the store counts as unavailable, and requests that
/// cannot wait for it are refused at once.
const UNAVAILABLE_AFTER: Duration = Duration::from_millis(1_500);

/// Client of the store.
#[derive(Debug)]
pub struct Store {
    addr: Cell<SocketAddr>,
    pool: Pool,
    last_success: Cell<Now>,
    /// Time of the last reply other than that the store is unavailable.
    last_reply: Cell<Now>,
    /// Time of the last failed call.
    last_failure: Cell<Now>,
    unavailable: Cell<bool>,
    clock: Cell<StoreClock>,
    last_error: RefCell<String>,
    relay: RefCell<Relay>,
    /// Connections to daemons that relay calls for this one.
    peers: Connections,
    probing: Cell<bool>,
    /// Reads of objects that may start.
    object_reads: Semaphore,
}

impl Store {
    /// Creates a client of the store at `addr`.
    pub fn new(addr: SocketAddr) -> Store {
        Store {
            addr: Cell::new(addr),
            pool: Pool::default(),
            last_success: Cell::new(Now::ZERO),
            last_reply: Cell::new(Now::ZERO),
            last_failure: Cell::new(Now::ZERO),
            unavailable: Cell::new(true),
            clock: Cell::default(),
            last_error: RefCell::default(),
            relay: RefCell::default(),
            peers: Connections::default(),
            probing: Cell::new(false),
            object_reads: Semaphore::new(MAX_OBJECT_READS),
        }
    }

    /// Sends further calls to `addr`.
    pub fn set_address(&self, addr: SocketAddr) {
        self.addr.set(addr);
    }

    /// Returns whether no call has succeeded for `UNAVAILABLE_AFTER`.
    pub fn is_unavailable(&self) -> bool {
        clock::now().saturating_sub(self.last_success.get()) > UNAVAILABLE_AFTER
    }

    /// Returns the time since the last successful call.
    pub fn time_since_success(&self) -> Duration {
        clock::now().saturating_sub(self.last_success.get())
    }

    /// Returns when the store last replied, other than that it is unavailable. A store that refuses calls
    /// for their rate serves others.
    pub fn last_reply(&self) -> Now {
        self.last_reply.get()
    }

    /// Returns the time of the last failed call. Entries that disappeared around it may reappear.
    pub fn steady_since(&self) -> Now {
        self.last_failure.get()
    }

    /// Returns the current time of the store's clock in milliseconds; 0 until the store has
    /// replied.
    pub fn clock_ms(&self) -> u64 {
        self.clock.get().now_ms(clock::now())
    }

    /// Converts a time of the store's clock to local time.
    pub fn to_local(&self, clock_ms: u64) -> Now {
        self.clock.get().to_local(clock::now(), clock_ms)
    }

    /// Returns the store's clock.
    pub fn clock(&self) -> StoreClock {
        self.clock.get()
    }

    fn update_clock(&self, clock_ms: u64) {
        let mut clock = self.clock.get();
        clock.on_reply(clock::now(), clock_ms);
        self.clock.set(clock);
    }

    /// Runs a transaction.
    pub async fn transact(&self, tx: &StoreTx) -> TxEnd {
        let reply = self.call(wire::transaction(self.addr.get(), tx), CALL_TIMEOUT).await;
        let end = match &reply {
            Ok(reply) => wire::transaction_end(Some(reply)),
            Err(Error::Connect { .. }) => TxEnd::Failed(StoreFailure::Refused),
            Err(_) => wire::transaction_end(None),
        };
        let rejection =
            reply.ok().map(|reply| reply.status()).filter(|status| is_rejection(*status));
        if let Some(status) = rejection.filter(|_| matches!(end, TxEnd::Failed(_))) {
            let key = tx.put.first().map_or("", |(key, _)| key.key.as_str());
            let table = tx.put.first().map_or("", |(key, _)| key.table.as_str());
            warn!(table, key, rows = tx.put.len(), status = status.as_u16(); "store_call_rejected");
        }
        let is_rejected = rejection.is_some();
        self.record_outcome(is_rejected || !matches!(end, TxEnd::Failed(_)), "transaction");
        end
    }

    /// Returns all rows of a partition with keys from `from` on and before `until`.
    pub async fn rows(&self, from: &RowKey, until: Option<&str>) -> Option<RowPage> {
        let mut all = self.page(from, until, None).await?;
        while all.more {
            let last = all.rows.last()?.key.clone();
            let page = self.page(&last.next(), until, None).await?;
            all.rows.extend(page.rows);
            all.more = page.more;
        }
        Some(all)
    }

    /// Returns the first page of the rows with keys from `from` on and before `until`, of at most `max_rows`.
    pub async fn page(
        &self,
        from: &RowKey,
        until: Option<&str>,
        max_rows: Option<usize>,
    ) -> Option<RowPage> {
        let req = wire::rows(self.addr.get(), from, until, max_rows);
        let reply = self.call(req, CALL_TIMEOUT).await;
        let page = reply.ok().and_then(|reply| match wire::rows_end(&reply) {
            Ok(page) => page,
            Err(e) => {
                warn!(table = from.table, error:% = e; "store_reply_unreadable");
                None
            }
        });
        self.record_outcome(page.is_some(), "read");
        if let Some(page) = &page {
            self.update_clock(page.clock_ms);
        }
        page
    }

    /// Reads one row; `Err` if the read failed, `Ok(None)` if the row does not exist.
    pub async fn row(&self, key: &RowKey) -> Result<Option<StoredRow>, StoreFailure> {
        let until = key.next().key;
        let page = self.page(key, Some(&until), None).await.ok_or(StoreFailure::Refused)?;
        Ok(page.rows.into_iter().find(|row| row.key.key == key.key))
    }

    /// Waits up to `wait` for changes of a table.
    pub async fn feed(&self, table: &str, after: RowVersion, wait: Duration) -> FeedEnd {
        let wait_ms = u64::try_from(wait.as_millis())
            .expect("the long-poll time in milliseconds fits into u64");
        let req = wire::feed(self.addr.get(), table, after, wait_ms);
        let reply = self.call(req, wait + CALL_TIMEOUT).await;
        let end = reply.map_or(FeedEnd::Failed, |reply| wire::feed_end(&reply));
        self.record_outcome(!matches!(end, FeedEnd::Failed), "feed");
        if let FeedEnd::Changes(page) = &end {
            self.update_clock(page.clock_ms);
        }
        end
    }

    /// Writes an object unless it exists already. Returns whether it is stored afterwards; `None`
    /// if that is unknown.
    pub async fn put_object(&self, name: &str, content: Bytes) -> Option<bool> {
        let reply =
            self.call(wire::put_object(self.addr.get(), name, content), OBJECT_TIMEOUT).await;
        match reply {
            Ok(reply) => wire::put_object_end(&reply),
            Err(Error::Connect { .. }) => Some(false),
            Err(_) => None,
        }
    }

    /// Removes an object. A failure is only logged, as a leftover object is unreferenced and
    /// harmless.
    pub async fn drop_object(&self, name: &str) {
        if let Err(e) = self.call(wire::delete_object(self.addr.get(), name), OBJECT_TIMEOUT).await
        {
            warn!(object = name, error:% = e; "object_left");
        }
    }

    /// Reads an object.
    pub async fn get_object(&self, name: &str) -> Option<Bytes> {
        let _turn = self.object_reads.acquire().await.ok()?;
        let reply =
            self.call(wire::get_object(self.addr.get(), name), OBJECT_TIMEOUT).await.ok()?;
        reply.status().is_success().then(|| reply.into_body())
    }

    /// Sets the daemons that can relay calls for this one.
    pub fn set_relays(&self, peers: Vec<PeerAddress>) {
        self.relay.borrow_mut().set_peers(peers);
    }

    /// Returns whether calls are relayed through other daemons.
    pub fn is_relaying(&self) -> bool {
        self.relay.borrow().is_relaying()
    }

    /// Checks with a direct call whether the store serves this daemon again.
    pub async fn probe(&self) {
        if self.probing.replace(true) {
            return;
        }
        let key = RowKey::new(wire::OPERATOR_TABLE, "", "");
        let req = wire::rows(self.addr.get(), &key, Some("\0"), None);
        let reply = self.call_directly(req, PROBE_TIMEOUT).await;
        self.probing.set(false);
        drop(reply);
    }

    /// Relays a call for another daemon, unless this daemon's own calls are relayed too.
    pub async fn relay_for_peer(&self, relayed: StoreCall) -> StoreReply {
        let timeout = Duration::from_millis(u64::from(relayed.limit_ms)).min(OBJECT_TIMEOUT);
        let not_sent = StoreReply { status: 0, sent: false, body: Vec::new() };
        if self.is_relaying() {
            return not_sent;
        }
        let req = match wire::from_peer(self.addr.get(), relayed) {
            Ok(req) => req,
            Err(e) => {
                warn!(error:% = e; "relayed_call_unreadable");
                return not_sent;
            }
        };
        match self.call_directly(req, timeout).await {
            Ok(reply) => {
                let status = reply.status().as_u16();
                StoreReply { status, sent: true, body: reply.into_body().to_vec() }
            }
            Err(Error::Connect { .. }) => not_sent,
            Err(_) => StoreReply { sent: true, ..not_sent },
        }
    }

    async fn call(&self, req: Request<Bytes>, timeout: Duration) -> Result<Response<Bytes>, Error> {
        if !self.is_relaying() {
            return self.call_directly(req, timeout).await;
        }
        let limit_ms = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
        let (uri, body) = (req.uri().clone(), req.body().clone());
        let relayed = wire::to_peer(&req, limit_ms);
        let peers = self.relay.borrow().candidates(clock::now());
        for peer in peers {
            match self.call_through_peer(&peer, relayed.clone(), timeout).await {
                Err(Error::Connect { .. }) => {}
                end => {
                    if let Ok(reply) = &end {
                        report_refusal(&uri, &body, reply, "relayed");
                    }
                    return end;
                }
            }
        }
        Err(Error::Connect {
            hung: false,
            addr: self.addr.get(),
            reason: "no other daemon could relay the call".to_owned(),
        })
    }

    async fn call_directly(
        &self,
        req: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let started = clock::now();
        let (uri, body) = (req.uri().clone(), req.body().clone());
        let connect_timeout = CONNECT_TIMEOUT.min(timeout);
        let reply =
            self.pool.call(self.addr.get(), req, connect_timeout, timeout, MAX_BODY_BYTES).await;
        let took = clock::now().saturating_sub(started);
        metrics::histogram!("store_call_seconds").record(took.as_secs_f64());
        if let Ok(reply) = &reply {
            self.on_reply(reply.status());
        }
        let status = reply.as_ref().ok().map(|reply| reply.status().as_u16());
        let served = relay::is_served(status, wire::is_transaction(&uri));
        if served != Some(true) {
            let error = match &reply {
                Ok(reply) => format!("refused with {}", reply.status().as_u16()),
                Err(e) => e.to_string(),
            };
            *self.last_error.borrow_mut() = error;
        }
        match &reply {
            Ok(reply) => report_refusal(&uri, &body, reply, "direct"),
            Err(e) => report_unanswered(&uri, &body, e),
        }
        if matches!(reply, Err(Error::TimedOut { .. })) {
            // The others may have fallen silent too, and each one that is tried costs a timeout.
            self.pool.close_idle(self.addr.get());
        }
        let change = served.and_then(|served| self.relay.borrow_mut().on_direct(served));
        match change {
            Some(Change::Started) => {
                warn!(error = self.last_error.borrow().as_str(); "store_calls_relayed");
            }
            Some(Change::Ended) => info!("store_calls_direct"),
            None => {}
        }
        reply
    }

    /// Relays a call through another daemon.
    async fn call_through_peer(
        &self,
        peer: &str,
        relayed: StoreCall,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        metrics::counter!("store_calls_relayed_total").increment(1);
        let message = PeerMessage::StoreCall(relayed);
        let exchange = self.peers.exchange(peer, &message);
        let end = tokio::time::timeout(timeout + RELAY_MARGIN, exchange).await;
        let connect = |reason: String| Error::Connect {
            hung: false,
            addr: self.addr.get(),
            reason: format!("{peer}: {reason}"),
        };
        let reply = match end {
            Ok(Ok(PeerMessage::StoreReply(reply))) if http_status::is_final(reply.status) => {
                Ok(reply)
            }
            Ok(Ok(PeerMessage::StoreReply(reply))) if !reply.sent => {
                Err(connect("the store refuses this peer's calls too".to_owned()))
            }
            Ok(Err(e @ peers::Error::Connect { .. })) => Err(connect(e.to_string())),
            // The call may have reached the store, even if its reply cannot be decoded.
            _ => Err(Error::TimedOut { addr: self.addr.get(), timeout }),
        };
        self.relay.borrow_mut().on_peer(clock::now(), peer, reply.is_ok());
        if let Err(e) = &reply {
            *self.last_error.borrow_mut() = e.to_string();
            self.peers.forget(peer).await;
        }
        let reply = reply?;
        let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
        self.on_reply(status);
        let mut response = Response::new(Bytes::from(reply.body));
        *response.status_mut() = status;
        Ok(response)
    }

    fn on_reply(&self, status: StatusCode) {
        if status != StatusCode::SERVICE_UNAVAILABLE {
            self.last_reply.set(clock::now());
        }
    }

    fn record_outcome(&self, success: bool, call: &str) {
        let now = clock::now();
        let outcome = if success { "done" } else { "failed" };
        metrics::counter!("store_calls_total", "call" => call.to_owned(), "outcome" => outcome)
            .increment(1);
        if success {
            self.last_success.set(now);
            if self.unavailable.replace(false) {
                info!(call, steady_since_ms = self.last_failure.get().as_millis() as u64; "store_regained");
            }
            return;
        }
        self.last_failure.set(now);
        if self.is_unavailable() && !self.unavailable.replace(true) {
            let silence_ms = self.time_since_success().as_millis() as u64;
            let error = self.last_error.borrow().clone();
            warn!(call, silence_ms, error; "store_lost");
        }
    }
}

/// Returns whether the store rejects a call for its content, as a row that is too long. It serves this daemon then.
fn is_rejection(status: StatusCode) -> bool {
    status.is_client_error() && !is_refusal(status)
}

fn is_refusal(status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS
}

/// Logs and counts a call without a reply. A write of these may still be done, and the store does the
/// writes of a partition one by one.
fn report_unanswered(uri: &Uri, body: &Bytes, error: &Error) {
    let target = wire::target(uri, body);
    metrics::counter!("store_calls_unanswered_total", "call" => target.call, "table" => target.table.clone())
        .increment(1);
    info!(call = target.call, table = target.table.as_str(), part = target.part.as_str(), key = target.key.as_str(),
        error:% = error; "store_call_unanswered");
}

/// Logs and counts a reply by which the store refused a call; `path` tells whether the call was sent by
/// this daemon or through another one.
fn report_refusal(uri: &Uri, body: &Bytes, reply: &Response<Bytes>, path: &'static str) {
    if !is_refusal(reply.status()) {
        return;
    }
    let target = wire::target(uri, body);
    let status = reply.status().as_u16();
    let retry_after =
        reply.headers().get(header::RETRY_AFTER).and_then(|value| value.to_str().ok());
    metrics::counter!("store_calls_refused_total", "call" => target.call, "table" => target.table.clone(),
        "status" => status.to_string(), "path" => path)
    .increment(1);
    info!(call = target.call, table = target.table.as_str(), part = target.part.as_str(), key = target.key.as_str(), status,
        retry_after, path; "store_call_refused");
}
