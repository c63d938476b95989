//! Calls to the platform's store, and how steady it is.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};

use buckthornfall_core::{
    store::{FeedEnd, RowKey, RowPage, RowVersion, StoreFailure, StoreTx, StoredRow, TxEnd},
    Now,
};
use buckthornfall_platform::store as wire;
use bytes::Bytes;
use http::{Request, Response};
use log::{info, warn};

use super::{
    clock,
    http::{Error, Pool},
};

/// Longest wait for a connection to the store: many times the distance between regions.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Longest wait for a reply of the store, hundreds of times its usual one.
const REPLY_LIMIT: Duration = Duration::from_millis(1_200);
/// Longest wait for an object.
const OBJECT_LIMIT: Duration = Duration::from_secs(3);
/// How long the store holds a call that follows a table.
const FEED_WAIT: Duration = Duration::from_millis(1_000);
/// Time without a good reply after which calls that cannot wait are refused at once.
const LOST_AFTER: Duration = Duration::from_millis(1_500);

/// The store as this daemon sees it.
#[derive(Debug)]
pub struct Store {
    addr: SocketAddr,
    pool: Pool,
    last_good: Cell<Now>,
    /// Start of the time in which all calls went well.
    steady_since: Cell<Now>,
    lost: Cell<bool>,
    /// The store's clock, with when it was read here.
    clock: Cell<Option<(u64, Now)>>,
    last_error: RefCell<String>,
}

impl Store {
    /// The store at `addr`.
    pub fn new(addr: SocketAddr) -> Store {
        Store {
            addr,
            pool: Pool::default(),
            last_good: Cell::new(Now::ZERO),
            steady_since: Cell::new(Now::ZERO),
            lost: Cell::new(true),
            clock: Cell::new(None),
            last_error: RefCell::default(),
        }
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
        let Some((ms, at)) = self.clock.get() else { return 0 };
        let since = clock::now().saturating_sub(at).as_millis();
        ms + u64::try_from(since).unwrap_or_default()
    }

    /// The local time of a reading of the store's clock.
    pub fn local(&self, clock_ms: u64) -> Now {
        let ahead = clock_ms as i128 - i128::from(self.clock_ms());
        let millis = u64::try_from(ahead.unsigned_abs()).unwrap_or(u64::MAX);
        let distance = Duration::from_millis(millis);
        if ahead < 0 {
            clock::now().saturating_sub(distance)
        } else {
            clock::now() + distance
        }
    }

    /// Runs a transaction.
    pub async fn transact(&self, tx: &StoreTx) -> TxEnd {
        let reply = self.call(wire::transaction(self.addr, tx), REPLY_LIMIT).await;
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
        let reply = self.call(wire::rows(self.addr, from, until), REPLY_LIMIT).await;
        let page = reply.ok().and_then(|reply| match wire::rows_end(&reply) {
            Ok(page) => page,
            Err(e) => {
                warn!(table = from.table, error:% = e; "store_reply_unreadable");
                None
            }
        });
        self.note(page.is_some(), "read");
        if let Some(page) = &page {
            self.clock.set(Some((page.clock_ms, clock::now())));
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
        let req = wire::feed(self.addr, table, after, wait);
        let reply = self.call(req, FEED_WAIT + REPLY_LIMIT).await;
        let end = reply.map_or(FeedEnd::Failed, |reply| wire::feed_end(&reply));
        self.note(!matches!(end, FeedEnd::Failed), "feed");
        if let FeedEnd::Changes(page) = &end {
            self.clock.set(Some((page.clock_ms, clock::now())));
        }
        end
    }

    /// Writes an object once; `None` if the outcome is not known.
    pub async fn put_object(&self, name: &str, content: Bytes) -> Option<bool> {
        let reply = self.call(wire::put_object(self.addr, name, content), OBJECT_LIMIT).await;
        match reply {
            Ok(reply) => wire::put_object_end(&reply),
            Err(Error::Connect { .. }) => Some(false),
            Err(_) => None,
        }
    }

    /// Reads an object.
    pub async fn get_object(&self, name: &str) -> Option<Bytes> {
        let reply = self.call(wire::get_object(self.addr, name), OBJECT_LIMIT).await.ok()?;
        reply.status().is_success().then(|| reply.into_body())
    }

    async fn call(&self, req: Request<Bytes>, limit: Duration) -> Result<Response<Bytes>, Error> {
        metrics::counter!("store_calls").increment(1);
        let reply = self.pool.call(self.addr, req, CONNECT_LIMIT, limit).await;
        if let Err(e) = &reply {
            *self.last_error.borrow_mut() = e.to_string();
        }
        reply
    }

    fn note(&self, good: bool, call: &str) {
        let now = clock::now();
        if good {
            self.last_good.set(now);
            if self.lost.replace(false) {
                info!(call, steady_since_ms = self.steady_since.get().as_millis() as u64; "store_regained");
            }
            return;
        }
        metrics::counter!("store_failures", "call" => call.to_owned()).increment(1);
        self.steady_since.set(now);
        if self.is_lost() && !self.lost.replace(true) {
            let silence_ms = self.silence().as_millis() as u64;
            let error = self.last_error.borrow().clone();
            warn!(call, silence_ms, error; "store_lost");
        }
    }
}
