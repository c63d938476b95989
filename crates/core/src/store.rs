//! Rows of the platform's store, as the daemon reads and writes them.

use bytes::Bytes;

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
