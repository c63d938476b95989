//! Keys and encoding of the rows that daemons keep in the store.

use buckthornfall_core::store::{RowKey, StoredRow};
use buckthornfall_proto::{
    digest::{fingerprint, sha256_hex},
    messages::ResultRow,
};
use bytes::{BufMut, Bytes, BytesMut};
use serde::{de::DeserializeOwned, Serialize};

/// Table of daemons, jobs, suspect requests, leaving servers, the lease and the plan. Every daemon
/// follows its changes.
pub const FLEET: &str = "fleet";
/// Table of the bodies of submitted jobs, partitioned by job.
pub const SUBMISSIONS: &str = "submissions";
/// Table of results, partitioned by job.
pub const RESULTS: &str = "results";
/// Table of the saved progress of unfinished samples, partitioned by job.
pub const PROGRESS: &str = "progress";
/// Table of the last order to each server. Only the holder of the weight controller's lease reads
/// it.
pub const ORDERS: &str = "orders";
/// Number of partitions of `ORDERS`, besides the one that earlier versions of the software use. A
/// partition is one for all tables.
const ORDER_PARTS: u64 = 8;
/// Partition of `FLEET` with the rows that daemons rewrite all the time. The store runs the transactions
/// of a partition one by one, also those that it completes long after their daemon gave up, so the rows
/// of jobs and of the lease do not share a queue with them.
pub const HEARTBEAT_PART: &str = "heartbeats";
/// All partitions of `FLEET`.
pub const FLEET_PARTS: [&str; 2] = ["", HEARTBEAT_PART];
/// Key prefix of daemons.
pub const MEMBER_PREFIX: &str = "member/";
/// Key prefix of jobs.
pub const JOB_PREFIX: &str = "job/";
/// Key prefix of requests that crashed servers.
pub const CRASHES_PREFIX: &str = "crashes/";
/// Key prefix of the same in earlier versions of the software, which tell requests apart in another way.
pub const EARLIER_CRASHES_PREFIX: &str = "suspect/";
/// Key prefix of servers that announced that they are leaving.
pub const LEAVING_PREFIX: &str = "leaving/";
/// Key prefix of the request limits that servers stated.
pub const LIMIT_PREFIX: &str = "limit/";
/// Key prefix of the base software versions of services.
pub const SOFTWARE_PREFIX: &str = "software/";
/// Key prefix of how far daemons have followed this table.
pub const SEEN_PREFIX: &str = "seen/";
/// Key prefix of the daemons whose views expire with their heartbeats.
pub const VIEW_LEASE_PREFIX: &str = "view-lease/";
/// Key prefix of the services that daemons have lost.
pub const REACH_PREFIX: &str = "reach/";
/// Key prefix of the recent requests that may be repeated, by host.
pub const COPIES_PREFIX: &str = "copies/";
/// Table of the software versions that began callers' streams, in `ORIGIN_PARTS` partitions.
pub const ORIGINS: &str = "origins";
/// Number of partitions of `ORIGINS`; the store runs the transactions of one partition one by one.
pub const ORIGIN_PARTS: u64 = 4;
/// Table of the usage of client accounts.
pub const USAGE: &str = "usage";
/// Key of the plan.
pub const PLAN_KEY: &str = "plan";

pub fn encode<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).expect("rows serialize to JSON").into()
}

/// Decodes a row; `None` if it was removed or its content does not match the type.
pub fn decode<T: DeserializeOwned>(row: &StoredRow) -> Option<T> {
    serde_json::from_slice(row.value.as_ref()?).ok()
}

/// Returns the key of the last order to a server.
pub fn order_key(server: &str) -> RowKey {
    let part = fingerprint(&[server.as_bytes()]) % ORDER_PARTS;
    RowKey::new(ORDERS, &order_part(part), server)
}

fn order_part(part: u64) -> String {
    format!("{ORDERS}-{part}")
}

/// Returns the partitions that hold orders.
pub fn order_parts() -> impl Iterator<Item = String> {
    let earlier = String::new();
    std::iter::once(earlier).chain((0..ORDER_PARTS).map(order_part))
}

/// Returns the key of one chunk of a result.
pub fn result_key(job: &str, position: usize, chunk: usize) -> RowKey {
    RowKey::new(RESULTS, job, &format!("{position:08}.{chunk:02}"))
}

/// Returns the key of a progress row. Keys of one sample and one owner sort in the order of saving.
pub fn progress_key(job: &str, token: &str, sample: usize, sequence: u32) -> RowKey {
    RowKey::new(PROGRESS, job, &format!("{token}.{sample:05}.{sequence:05}"))
}

/// Returns the token of the owner that saved a progress row.
pub fn progress_token(row: &StoredRow) -> &str {
    row.key.key.split('.').next().unwrap_or_default()
}

/// Returns the key of the record of a stream, by the attempt that began it. Ids of attempts may be
/// longer than a key.
pub fn origin_key(stream: &str) -> RowKey {
    let part = fingerprint(&[stream.as_bytes()]) % ORIGIN_PARTS;
    RowKey::new(ORIGINS, &part.to_string(), &sha256_hex(stream.as_bytes()))
}

/// Splits a result into rows. The first byte of the first row is the number of rows.
pub fn encode_result(
    job: &str,
    position: usize,
    result: &ResultRow,
    row_bytes: usize,
) -> Vec<(RowKey, Bytes)> {
    let encoded = encode(result);
    let chunk_bytes = row_bytes / 4 * 3 - 1;
    let chunks: Vec<_> = encoded.chunks(chunk_bytes).collect();
    let count =
        u8::try_from(chunks.len()).expect("the number of rows of a result fits into one byte");
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

/// Returns the number of rows of the result whose first row this is; 1 if it is invalid.
pub fn result_rows(first: &StoredRow) -> usize {
    let count = first.value.as_ref().and_then(|value| value.first());
    count.map_or(1, |count| usize::from(*count).max(1))
}

/// Joins rows, sorted by key, into results. Stops at the first incomplete or invalid result.
pub fn decode_results(rows: &[StoredRow]) -> Vec<ResultRow> {
    let mut results = Vec::new();
    let mut rest = rows;
    while let Some(first) = rest.first().and_then(|row| row.value.as_ref()) {
        let Some((&count, head)) = first.split_first() else { break };
        let count = usize::from(count);
        if rest.len() < count {
            break;
        }
        let mut encoded = head.to_vec();
        rest[1..count].iter().filter_map(|row| row.value.as_ref()).for_each(|v| encoded.extend(v));
        let Ok(result) = serde_json::from_slice(&encoded) else { break };
        results.push(result);
        rest = &rest[count..];
    }
    results
}
