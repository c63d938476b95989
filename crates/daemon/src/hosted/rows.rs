//! Names and encoding of this daemon's rows in the store.

use buckthornfall_core::store::{RowKey, StoredRow};
use buckthornfall_proto::messages::ResultRow;
use bytes::{BufMut, Bytes, BytesMut};
use serde::{de::DeserializeOwned, Serialize};

/// Table of daemons, jobs, the lease and the plan, which every daemon follows.
pub const FLEET: &str = "fleet";
/// Table of submitted texts, a partition a job.
pub const SUBMISSIONS: &str = "submissions";
/// Table of results, a partition a job.
pub const RESULTS: &str = "results";
/// Table of what is saved of unfinished samples, a partition a job.
pub const PROGRESS: &str = "progress";
/// Table of the last orders to servers, a row a server; only holders of the duty read it.
pub const ORDERS: &str = "orders";
/// Start of the keys of daemons.
pub const MEMBER: &str = "member/";
/// Start of the keys of jobs.
pub const JOB: &str = "job/";
/// Start of the keys of requests that crash servers.
pub const SUSPECT: &str = "suspect/";
/// Start of the keys of servers that said that they leave.
pub const LEAVING: &str = "leaving/";
/// Key of the plan.
pub const PLAN: &str = "plan";

/// Encodes a row.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).expect("rows are plain data").into()
}

/// Decodes a row; `None` if it is absent or of another type.
pub fn decode<T: DeserializeOwned>(row: &StoredRow) -> Option<T> {
    serde_json::from_slice(row.value.as_ref()?).ok()
}

/// Name of the first row of a result; the others follow it.
pub fn result_key(job: &str, position: usize, chunk: usize) -> RowKey {
    RowKey::new(RESULTS, job, &format!("{position:08}.{chunk:02}"))
}

/// Name of a row of progress; rows of one sample that one owner saved are in order.
pub fn progress_key(job: &str, token: &str, sample: usize, number: u32) -> RowKey {
    RowKey::new(PROGRESS, job, &format!("{token}.{sample:05}.{number:05}"))
}

/// The token of the owner that saved a row of progress.
pub fn progress_token(row: &StoredRow) -> &str {
    row.key.key.split('.').next().unwrap_or_default()
}

/// Splits a result into rows; the first byte of the first one is the number of rows.
pub fn encode_result(
    job: &str,
    position: usize,
    result: &ResultRow,
    row_bytes: usize,
) -> Vec<(RowKey, Bytes)> {
    let text = encode(result);
    let size = row_bytes / 4 * 3 - 1;
    let chunks: Vec<_> = text.chunks(size).collect();
    let count = u8::try_from(chunks.len()).expect("a text has at most some rows");
    let row = |(index, chunk): (usize, &&[u8])| {
        let mut value = BytesMut::with_capacity(chunk.len() + 1);
        if index == 0 {
            value.put_u8(count);
        }
        value.put_slice(chunk);
        (result_key(job, position, index), value.freeze())
    };
    chunks.iter().enumerate().map(row).collect()
}

/// Joins rows in order of their keys to results, up to the first one that is not whole.
pub fn decode_results(rows: &[StoredRow]) -> Vec<ResultRow> {
    let mut results = Vec::new();
    let mut rest = rows;
    while let Some(first) = rest.first().and_then(|row| row.value.as_ref()) {
        let Some((&count, head)) = first.split_first() else { break };
        let count = usize::from(count);
        if rest.len() < count {
            break;
        }
        let mut text = head.to_vec();
        rest[1..count].iter().filter_map(|row| row.value.as_ref()).for_each(|v| text.extend(v));
        let Ok(result) = serde_json::from_slice(&text) else { break };
        results.push(result);
        rest = &rest[count..];
    }
    results
}
