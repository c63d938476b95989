//! Transactions of the platform's table service, as the state machines ask for them.

use buckthornfall_proto::messages::{Check, Row, Txn, TxnAnswer, Write};
use serde::{de::DeserializeOwned, Serialize};

/// Version of a row that is absent.
pub const ABSENT: u64 = 0;

/// Why the outcome of a table operation is not known to have been reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableError {
    /// The operation never reached the service.
    NotSent,
    /// The operation was sent and no reply came: it may have taken effect or may do so later.
    NoReply,
}

/// Reply to a transaction.
pub type TxnResult = Result<TxnAnswer, TableError>;
/// Reply to a read of one row.
pub type ReadResult = Result<Row, TableError>;
/// Reply to a scan of a prefix.
pub type ScanResult = Result<Vec<Row>, TableError>;

/// A transaction that writes one row if its version is `version`.
pub fn replace<T: Serialize>(key: &str, version: u64, value: &T) -> Txn {
    Txn { checks: vec![check(key, version)], writes: vec![write(key, value)] }
}

/// A condition that a row has a version.
pub fn check(key: &str, version: u64) -> Check {
    Check { key: key.to_owned(), version }
}

/// A row to write.
pub fn write<T: Serialize>(key: &str, value: &T) -> Write {
    let value = serde_json::to_string(value).expect("rows are plain data");
    Write { key: key.to_owned(), value }
}

/// Value of a row; `None` if the row is absent or not of this type.
pub fn value<T: DeserializeOwned>(row: &Row) -> Option<T> {
    if row.version == ABSENT {
        return None;
    }
    serde_json::from_str(&row.value).ok()
}

/// The checked row of `key` in the answer to a transaction.
pub fn checked_row<'a>(answer: &'a TxnAnswer, key: &str) -> Option<&'a Row> {
    answer.rows.iter().find(|row| row.key == key)
}
