//! Calls to the platform's store, and how steady it is.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};

use buckthornfall_core::{
    relay::{Change, PeerAddress, Relay},
    store::{
        FeedEnd, RowKey, RowPage, RowVersion, StoreClock, StoreFailure, StoreTx, StoredRow, TxEnd,
    },
    Now,
};
use buckthornfall_platform::store as wire;
use buckthornfall_proto::messages::{PeerMessage, StoreCall, StoreReply};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use log::{info, warn};

use super::{
    clock,
    http::{Error, Pool},
};
use crate::peers::{self, Connections};

/// Longest wait for a connection to the store: many times the distance between regions.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Longest wait for a reply of the store, hundreds of times its usual one.
const REPLY_LIMIT: Duration = Duration::from_millis(1_200);
/// Longest wait for an object.
const OBJECT_LIMIT: Duration = Duration::from_secs(3);
/// How long the store holds a call that follows a table.
const FEED_WAIT: Duration = Duration::from_millis(1_000);
/// Longest wait for the reply to the question whether the store serves this daemon again.
const PROBE_LIMIT: Duration = Duration::from_millis(400);
/// Time for the way to another daemon and back, above the time of the call itself.
const PEER_MARGIN: Duration = Duration::from_millis(150);
/// Time without a good reply after which calls that cannot wait are refused at once.
const LOST_AFTER: Duration = Duration::from_millis(1_500);

/// The store as this daemon sees it.
#[derive(Debug)]
pub struct Store {
    addr: Cell<SocketAddr>,
    pool: Pool,
    last_good: Cell<Now>,
    /// Start of the time in which all calls went well.
    steady_since: Cell<Now>,
    lost: Cell<bool>,
    clock: Cell<StoreClock>,
    last_error: RefCell<String>,
    relay: RefCell<Relay>,
    /// Connections to daemons that make calls for this one.
    peers: Connections,
    probing: Cell<bool>,
}

impl Store {
    /// The store at `addr`.
    pub fn new(addr: SocketAddr) -> Store {
        Store {
            addr: Cell::new(addr),
            pool: Pool::default(),
            last_good: Cell::new(Now::ZERO),
            steady_since: Cell::new(Now::ZERO),
            lost: Cell::new(true),
            clock: Cell::default(),
            last_error: RefCell::default(),
            relay: RefCell::default(),
            peers: Connections::default(),
            probing: Cell::new(false),
        }
    }

    /// Makes further calls at `addr`.
    pub fn set_address(&self, addr: SocketAddr) {
        self.addr.set(addr);
    }

    /// Whether no good reply came for a while.
    pub fn is_lost(&self) -> bool {
        clock::now().saturating_sub(self.last_good.get()) > LOST_AFTER
    }

    /// Time since the last good reply.
    pub fn silence(&self) -> Duration {
        clock::now().saturating_sub(self.last_good.get())
    }

    /// When the last failed call was; entries that vanished around it may come back.
    pub fn steady_since(&self) -> Now {
        self.steady_since.get()
    }

    /// The store's clock now, in milliseconds; 0 until it answered.
    pub fn clock_ms(&self) -> u64 {
        self.clock.get().now_ms(clock::now())
    }

    /// The local time of a reading of the store's clock.
    pub fn local(&self, clock_ms: u64) -> Now {
        self.clock.get().to_local(clock::now(), clock_ms)
    }

    fn on_clock(&self, clock_ms: u64) {
        let mut clock = self.clock.get();
        clock.on_reply(clock::now(), clock_ms);
        self.clock.set(clock);
    }

    /// Runs a transaction.
    pub async fn transact(&self, tx: &StoreTx) -> TxEnd {
        let reply = self.call(wire::transaction(self.addr.get(), tx), REPLY_LIMIT).await;
        let end = match &reply {
            Ok(reply) => wire::transaction_end(Some(reply)),
            Err(Error::Connect { .. }) => TxEnd::Failed(StoreFailure::Refused),
            Err(_) => wire::transaction_end(None),
        };
        self.note(!matches!(end, TxEnd::Failed(_)), "transaction");
        end
    }

    /// All rows of a partition from a key on, before another one.
    pub async fn rows(&self, from: &RowKey, until: Option<&str>) -> Option<RowPage> {
        let mut all = self.page(from, until).await?;
        while all.more {
            let last = all.rows.last()?.key.clone();
            let next = RowKey { key: format!("{}\0", last.key), ..last };
            let page = self.page(&next, until).await?;
            all.rows.extend(page.rows);
            all.more = page.more;
        }
        Some(all)
    }

    /// The first page of rows.
    pub async fn page(&self, from: &RowKey, until: Option<&str>) -> Option<RowPage> {
        let reply = self.call(wire::rows(self.addr.get(), from, until), REPLY_LIMIT).await;
        let page = reply.ok().and_then(|reply| match wire::rows_end(&reply) {
            Ok(page) => page,
            Err(e) => {
                warn!(table = from.table, error:% = e; "store_reply_unreadable");
                None
            }
        });
        self.note(page.is_some(), "read");
        if let Some(page) = &page {
            self.on_clock(page.clock_ms);
        }
        page
    }

    /// One row; `Err` if it could not be read, `Ok(None)` if it does not exist.
    pub async fn row(&self, key: &RowKey) -> Result<Option<StoredRow>, StoreFailure> {
        let until = format!("{}\0", key.key);
        let page = self.page(key, Some(&until)).await.ok_or(StoreFailure::Refused)?;
        Ok(page.rows.into_iter().find(|row| row.key.key == key.key))
    }

    /// Waits for changes of a table.
    pub async fn feed(&self, table: &str, after: RowVersion) -> FeedEnd {
        let wait = u64::try_from(FEED_WAIT.as_millis()).expect("a second");
        let req = wire::feed(self.addr.get(), table, after, wait);
        let reply = self.call(req, FEED_WAIT + REPLY_LIMIT).await;
        let end = reply.map_or(FeedEnd::Failed, |reply| wire::feed_end(&reply));
        self.note(!matches!(end, FeedEnd::Failed), "feed");
        if let FeedEnd::Changes(page) = &end {
            self.on_clock(page.clock_ms);
        }
        end
    }

    /// Writes an object once; `None` if the outcome is not known.
    pub async fn put_object(&self, name: &str, content: Bytes) -> Option<bool> {
        let reply = self.call(wire::put_object(self.addr.get(), name, content), OBJECT_LIMIT).await;
        match reply {
            Ok(reply) => wire::put_object_end(&reply),
            Err(Error::Connect { .. }) => Some(false),
            Err(_) => None,
        }
    }

    /// Removes an object; one that stays is garbage and harms nothing.
    pub async fn drop_object(&self, name: &str) {
        if let Err(e) = self.call(wire::delete_object(self.addr.get(), name), OBJECT_LIMIT).await {
            warn!(object = name, error:% = e; "object_left");
        }
    }

    /// Reads an object.
    pub async fn get_object(&self, name: &str) -> Option<Bytes> {
        let reply = self.call(wire::get_object(self.addr.get(), name), OBJECT_LIMIT).await.ok()?;
        reply.status().is_success().then(|| reply.into_body())
    }

    /// Sets the daemons that may make calls for this one.
    pub fn set_relays(&self, peers: Vec<PeerAddress>) {
        self.relay.borrow_mut().set_peers(peers);
    }

    /// Whether calls go through other daemons.
    pub fn is_relaying(&self) -> bool {
        self.relay.borrow().is_relaying()
    }

    /// Asks the store directly whether it serves this daemon again.
    pub async fn probe(&self) {
        if self.probing.replace(true) {
            return;
        }
        let key = RowKey::new(wire::OPERATOR_TABLE, "", "");
        let reply = self.direct(wire::rows(self.addr.get(), &key, Some("\0")), PROBE_LIMIT).await;
        self.probing.set(false);
        drop(reply);
    }

    /// Makes a call for another daemon; not if the store refuses this one too.
    pub async fn make_for_peer(&self, asked: StoreCall) -> StoreReply {
        let limit = Duration::from_millis(u64::from(asked.limit_ms)).min(OBJECT_LIMIT);
        let not_sent = StoreReply { status: 0, sent: false, body: Vec::new() };
        if self.is_relaying() {
            return not_sent;
        }
        let req = match wire::from_peer(self.addr.get(), asked) {
            Ok(req) => req,
            Err(e) => {
                warn!(error:% = e; "relayed_call_unreadable");
                return not_sent;
            }
        };
        match self.direct(req, limit).await {
            Ok(reply) => {
                let status = reply.status().as_u16();
                StoreReply { status, sent: true, body: reply.into_body().to_vec() }
            }
            Err(Error::Connect { .. }) => not_sent,
            Err(_) => StoreReply { sent: true, ..not_sent },
        }
    }

    async fn call(&self, req: Request<Bytes>, limit: Duration) -> Result<Response<Bytes>, Error> {
        if !self.is_relaying() {
            return self.direct(req, limit).await;
        }
        let limit_ms = u32::try_from(limit.as_millis()).unwrap_or(u32::MAX);
        let asked = wire::to_peer(&req, limit_ms);
        let peers = self.relay.borrow().candidates(clock::now());
        for peer in peers {
            match self.through(&peer, asked.clone(), limit).await {
                Err(Error::Connect { .. }) => {}
                end => return end,
            }
        }
        Err(Error::Connect { addr: self.addr.get(), reason: "no daemon makes the call".to_owned() })
    }

    async fn direct(&self, req: Request<Bytes>, limit: Duration) -> Result<Response<Bytes>, Error> {
        let started = clock::now();
        let reply = self.pool.call(self.addr.get(), req, CONNECT_LIMIT.min(limit), limit).await;
        let took = clock::now().saturating_sub(started);
        metrics::histogram!("store_call_seconds").record(took.as_secs_f64());
        let refused = |status: StatusCode| {
            status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS
        };
        let served = reply.as_ref().is_ok_and(|reply| !refused(reply.status()));
        if !served {
            let error = match &reply {
                Ok(reply) => format!("refused with {}", reply.status().as_u16()),
                Err(e) => e.to_string(),
            };
            *self.last_error.borrow_mut() = error;
        }
        match self.relay.borrow_mut().on_direct(served) {
            Some(Change::Started) => {
                warn!(error = self.last_error.borrow().as_str(); "store_calls_relayed");
            }
            Some(Change::Ended) => info!("store_calls_direct"),
            None => {}
        }
        reply
    }

    /// Has another daemon make a call.
    async fn through(
        &self,
        peer: &str,
        asked: StoreCall,
        limit: Duration,
    ) -> Result<Response<Bytes>, Error> {
        metrics::counter!("store_calls_relayed_total").increment(1);
        let message = PeerMessage::StoreCall(asked);
        let exchange = self.peers.exchange(peer, &message);
        let end = tokio::time::timeout(limit + PEER_MARGIN, exchange).await;
        let connect = |reason: String| Error::Connect {
            addr: self.addr.get(),
            reason: format!("{peer}: {reason}"),
        };
        let reply = match end {
            Ok(Ok(PeerMessage::StoreReply(reply))) if reply.status != 0 => Ok(reply),
            Ok(Ok(PeerMessage::StoreReply(reply))) if !reply.sent => {
                Err(connect("the store refuses it too".to_owned()))
            }
            Ok(Err(e @ peers::Error::Connect { .. })) => Err(connect(e.to_string())),
            // The call may have been made, also if its reply cannot be read.
            _ => Err(Error::TimedOut { addr: self.addr.get(), limit }),
        };
        self.relay.borrow_mut().on_peer(clock::now(), peer, reply.is_ok());
        if let Err(e) = &reply {
            *self.last_error.borrow_mut() = e.to_string();
            self.peers.forget(peer).await;
        }
        let reply = reply?;
        let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut answer = Response::new(Bytes::from(reply.body));
        *answer.status_mut() = status;
        Ok(answer)
    }

    fn note(&self, good: bool, call: &str) {
        let now = clock::now();
        let outcome = if good { "done" } else { "failed" };
        metrics::counter!("store_calls_total", "call" => call.to_owned(), "outcome" => outcome)
            .increment(1);
        if good {
            self.last_good.set(now);
            if self.lost.replace(false) {
                info!(call, steady_since_ms = self.steady_since.get().as_millis() as u64; "store_regained");
            }
            return;
        }
        self.steady_since.set(now);
        if self.is_lost() && !self.lost.replace(true) {
            let silence_ms = self.silence().as_millis() as u64;
            let error = self.last_error.borrow().clone();
            warn!(call, silence_ms, error; "store_lost");
        }
    }
}
