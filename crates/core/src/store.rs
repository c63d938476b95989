//! Rows, transactions and clock of the platform's store.

use std::time::Duration;

use bytes::Bytes;

use crate::Now;

/// Version of a row, from a single counter for the whole store; 0 if the row is absent.
pub type RowVersion = u64;

/// Key of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RowKey {
    /// Table name.
    pub table: String,
    /// Partition key; all rows of a transaction share it.
    pub part: String,
    /// Key within the partition.
    pub key: String,
}

impl RowKey {
    /// Creates the key of a row in a partition.
    pub fn new(table: &str, part: &str, key: &str) -> RowKey {
        RowKey { table: table.to_owned(), part: part.to_owned(), key: key.to_owned() }
    }

    /// Returns the first key after this one.
    pub fn next(&self) -> RowKey {
        RowKey { key: format!("{}\0", self.key), ..self.clone() }
    }
}

/// A row as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// Key of the row.
    pub key: RowKey,
    /// Value; `None` if the row was removed.
    pub value: Option<Bytes>,
    /// Version of the row.
    pub version: RowVersion,
}

/// An atomic transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreTx {
    /// Rows and the versions they must have.
    pub expected: Vec<(RowKey, RowVersion)>,
    /// Rows to write.
    pub put: Vec<(RowKey, Bytes)>,
    /// Rows to remove.
    pub remove: Vec<RowKey>,
}

impl StoreTx {
    /// Creates a transaction that writes `value` if the row has `version`.
    pub fn replace(key: RowKey, version: RowVersion, value: Bytes) -> StoreTx {
        let expected = vec![(key.clone(), version)];
        StoreTx { expected, put: vec![(key, value)], remove: Vec::new() }
    }

    /// Creates a transaction that writes rows unconditionally.
    pub fn put(put: Vec<(RowKey, Bytes)>) -> StoreTx {
        StoreTx { put, ..StoreTx::default() }
    }

    /// Creates a transaction that removes rows unconditionally.
    pub fn remove(remove: Vec<RowKey>) -> StoreTx {
        StoreTx { remove, ..StoreTx::default() }
    }
}

/// Failure of a store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFailure {
    /// The call had no effect.
    Refused,
    /// The call may have taken effect, or may do so later.
    Unknown,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "a transaction without a reply may be done later, or not at all"]
pub enum TxEnd {
    /// The transaction was committed with this version.
    Committed(RowVersion),
    /// A row did not have its expected version; the current state of the expected rows.
    Conflict(Vec<StoredRow>),
    /// The call failed.
    Failed(StoreFailure),
}

/// A consistent page of rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowPage {
    /// The rows, in key order.
    pub rows: Vec<StoredRow>,
    /// Whether more rows follow.
    pub more: bool,
    /// Version of the store at the time of the read.
    pub version: RowVersion,
    /// The store's monotonic clock at the time of the read, in milliseconds.
    pub clock_ms: u64,
}

/// Outcome of a call to a table's change feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedEnd {
    /// Changed rows in order, and the version to continue from.
    Changes(RowPage),
    /// The requested history is no longer available; the whole table must be reread.
    HistoryLost,
    /// The call failed.
    Failed,
}

/// Estimate of the store's clock from its replies.
///
/// A reply arrives some time after the store read its clock, so the reading that is furthest ahead
/// is the most accurate.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreClock {
    /// Most accurate readings of the current and the previous window.
    best: [Option<Reading>; 2],
    /// Start of the current window.
    window_start: Now,
}

#[derive(Debug, Clone, Copy)]
struct Reading {
    clock_ms: u64,
    /// When the reading arrived.
    at: Now,
}

/// Length of a window of readings. Old readings are dropped so that clock drift does not
/// accumulate.
const READING_WINDOW: Duration = Duration::from_secs(30);

impl Reading {
    fn extrapolate(self, now: Now) -> u64 {
        let elapsed_ms = u64::try_from(now.saturating_sub(self.at).as_millis()).unwrap_or_default();
        self.clock_ms.saturating_add(elapsed_ms)
    }
}

impl StoreClock {
    /// Records the clock reading, in milliseconds, of a reply that arrived at `now`.
    pub fn on_reply(&mut self, now: Now, clock_ms: u64) {
        if now.saturating_sub(self.window_start) >= READING_WINDOW {
            self.best = [None, self.best[0]];
            self.window_start = now;
        }
        let best = self.best[0].map_or(0, |reading| reading.extrapolate(now));
        if clock_ms >= best {
            self.best[0] = Some(Reading { clock_ms, at: now });
        }
    }

    /// Returns the store's clock at `now`, in milliseconds; 0 before the first reply.
    pub fn now_ms(&self, now: Now) -> u64 {
        let readings = self.best.iter().flatten();
        readings.map(|reading| reading.extrapolate(now)).max().unwrap_or_default()
    }

    /// Converts a past local time to the store's clock, in milliseconds.
    pub fn to_clock_ms(&self, now: Now, at: Now) -> u64 {
        let age_ms = u64::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u64::MAX);
        self.now_ms(now).saturating_sub(age_ms)
    }

    /// Converts a reading of the store's clock to local time.
    pub fn to_local(&self, now: Now, clock_ms: u64) -> Now {
        let current_ms = self.now_ms(now);
        let offset = Duration::from_millis(current_ms.abs_diff(clock_ms));
        if clock_ms < current_ms {
            now.saturating_sub(offset)
        } else {
            now + offset
        }
    }
}
