//! Rows of the platform's store, as the daemon reads and writes them.

use std::time::Duration;

use bytes::Bytes;

use crate::Now;

/// Version of a row, from one counter of the whole store; 0 means that the row is absent.
pub type RowVersion = u64;

/// Name of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RowKey {
    /// Its table.
    pub table: String,
    /// Its partition; rows of one transaction share it.
    pub part: String,
    /// Its key.
    pub key: String,
}

impl RowKey {
    /// The row `key` of a partition.
    pub fn new(table: &str, part: &str, key: &str) -> RowKey {
        RowKey { table: table.to_owned(), part: part.to_owned(), key: key.to_owned() }
    }
}

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// Its name.
    pub key: RowKey,
    /// Its value; `None` if it was removed.
    pub value: Option<Bytes>,
    /// Its version.
    pub version: RowVersion,
}

/// A transaction: all writes or none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreTx {
    /// Versions that rows must have.
    pub expected: Vec<(RowKey, RowVersion)>,
    /// Rows to write.
    pub put: Vec<(RowKey, Bytes)>,
    /// Rows to remove.
    pub remove: Vec<RowKey>,
}

impl StoreTx {
    /// A transaction that writes `value` if the row has `version`.
    pub fn replace(key: RowKey, version: RowVersion, value: Bytes) -> StoreTx {
        let expected = vec![(key.clone(), version)];
        StoreTx { expected, put: vec![(key, value)], remove: Vec::new() }
    }

    /// A transaction that writes rows whatever stands there.
    pub fn put(put: Vec<(RowKey, Bytes)>) -> StoreTx {
        StoreTx { put, ..StoreTx::default() }
    }

    /// A transaction that removes rows.
    pub fn remove(remove: Vec<RowKey>) -> StoreTx {
        StoreTx { remove, ..StoreTx::default() }
    }
}

/// Why a call to the store has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFailure {
    /// The store did nothing.
    Refused,
    /// The call may have taken effect, or may do so later.
    Unknown,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxEnd {
    /// It was committed with this version.
    Committed(RowVersion),
    /// A row did not have its expected version; the expected rows as they stand.
    Conflict(Vec<StoredRow>),
    /// It has no result.
    Failed(StoreFailure),
}

/// Rows as of one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowPage {
    /// The rows, by key.
    pub rows: Vec<StoredRow>,
    /// Whether more rows follow.
    pub more: bool,
    /// Version of the store at that moment.
    pub version: RowVersion,
    /// The store's steady clock, in milliseconds.
    pub clock_ms: u64,
}

/// What a call to follow a table returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedEnd {
    /// Changed rows in order, and the version to go on from.
    Changes(RowPage),
    /// The history asked for is gone: the table must be read whole again.
    HistoryLost,
    /// The call has no result.
    Failed,
}

/// The store's clock, as its replies show it.
///
/// A reply arrives some time after the clock was read, so of several readings the one that is
/// furthest ahead is the closest to the truth.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreClock {
    /// Closest readings of this window and of the one before.
    closest: [Option<Reading>; 2],
    /// Start of this window.
    since: Now,
}

#[derive(Debug, Clone, Copy)]
struct Reading {
    clock_ms: u64,
    /// When it arrived.
    at: Now,
}

/// Time after which an old reading is dropped, so that the drift of the two clocks does not add up.
const WINDOW: Duration = Duration::from_secs(30);

impl Reading {
    fn extrapolated(self, now: Now) -> u64 {
        let since = u64::try_from(now.saturating_sub(self.at).as_millis()).unwrap_or_default();
        self.clock_ms + since
    }
}

impl StoreClock {
    /// Takes the reading of a reply that arrived at `now`, in milliseconds.
    pub fn on_reply(&mut self, now: Now, clock_ms: u64) {
        if now.saturating_sub(self.since) >= WINDOW {
            self.closest = [None, self.closest[0]];
            self.since = now;
        }
        let closest = self.closest[0].map_or(0, |reading| reading.extrapolated(now));
        if clock_ms >= closest {
            self.closest[0] = Some(Reading { clock_ms, at: now });
        }
    }

    /// The store's clock at `now`, in milliseconds; 0 before the first reply.
    pub fn ms(&self, now: Now) -> u64 {
        let readings = self.closest.iter().flatten();
        readings.map(|reading| reading.extrapolated(now)).max().unwrap_or_default()
    }

    /// The local time of a reading of the store's clock.
    pub fn local(&self, now: Now, clock_ms: u64) -> Now {
        let own = self.ms(now);
        let distance = Duration::from_millis(own.abs_diff(clock_ms));
        if clock_ms < own {
            now.saturating_sub(distance)
        } else {
            now + distance
        }
    }
}
