//! Helpers for transactions of the platform's table service.

use buckthornfall_proto::messages::{Check, Row, Txn, TxnAnswer, Write};
use serde::{de::DeserializeOwned, Serialize};

/// Version of a row that is absent.
pub const ABSENT: u64 = 0;

/// Failure of a table operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableError {
    /// The operation was not sent and had no effect.
    NotSent,
    /// The operation was sent but no reply arrived; it may have taken effect, or may do so later.
    NoReply,
}

/// Result of a transaction.
pub type TxnResult = Result<TxnAnswer, TableError>;
/// Result of reading one row.
pub type ReadResult = Result<Row, TableError>;
/// Result of scanning a key prefix.
pub type ScanResult = Result<Vec<Row>, TableError>;

/// Creates a transaction that writes a row if it has `version`.
pub fn replace<T: Serialize>(key: &str, version: u64, value: &T) -> Txn {
    Txn { checks: vec![check(key, version)], writes: vec![write(key, value)] }
}

/// Creates a condition that a row has `version`.
pub fn check(key: &str, version: u64) -> Check {
    Check { key: key.to_owned(), version }
}

/// Creates a write of `value`, encoded as JSON.
pub fn write<T: Serialize>(key: &str, value: &T) -> Write {
    let value = serde_json::to_string(value).expect("row values serialize to JSON");
    Write { key: key.to_owned(), value }
}

/// Decodes the value of a row; `None` if the row is absent or its value is not a valid `T`.
pub fn value<T: DeserializeOwned>(row: &Row) -> Option<T> {
    if row.version == ABSENT {
        return None;
    }
    serde_json::from_str(&row.value).ok()
}

/// Returns the checked row of `key` from the answer to a transaction.
pub fn checked_row<'a>(answer: &'a TxnAnswer, key: &str) -> Option<&'a Row> {
    answer.rows.iter().find(|row| row.key == key)
}
