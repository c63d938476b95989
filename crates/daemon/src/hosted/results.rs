//! Pages of the results of jobs for callers.
//!
//! A page is held until its caller has taken it. Callers read on where a page ends, so pages get shorter when the
//! budget for them is short.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::{
    held_bytes::Purpose,
    store::{RowKey, RowPage, StoredRow},
};
use buckthornfall_platform::jobs as wire;
use bytes::Bytes;
use http::Response;
use log::info;
use tokio::time::sleep;

use super::{
    access::JobSender,
    body::{full_response, ResponseBody},
    clock,
    hold::{Hold, Pieces},
    node::Node,
    responses, rows,
    submissions::{self, POLL_INTERVAL},
};

/// Maximum time that a request for results waits for new ones.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// Maximum size of a page; the platform allows 1 MB.
const MAX_PAGE_BYTES: usize = 950_000;
/// Maximum wait for the budget of one result that is longer than a short page.
const HOLD_PATIENCE: Duration = Duration::from_millis(700);
/// Part of a short page, as numerator and denominator, that is not filled up with another read.
const FILLED_FRACTION: (usize, usize) = (3, 4);
/// Maximum number of reads of results at the same time. Many long replies at once would come too late for the
/// timeout of their calls.
pub const MAX_READS: usize = 8;
/// Maximum number of reads for a short page: of one row, which tells how long they are, and of as many as fit.
const MAX_PAGE_READS: usize = 3;
/// Maximum number of rows in a reply of the store.
const MAX_ROWS: usize = 500;

/// Why a page cannot be read; the reason for its caller.
type Refused = &'static str;
type Result<T, E = Refused> = std::result::Result<T, E>;

const NO_STORE: Refused = "the store does not answer";
const NO_MEMORY: Refused = "too many callers read long results at this daemon";

/// Responds with the results of a job from position `after` on. Waits up to `wait` for results if
/// there are none.
pub async fn results(
    node: &Rc<Node>,
    id: &str,
    sender: JobSender,
    after: usize,
    wait: Duration,
) -> Response<ResponseBody> {
    let row = match submissions::accessible_job(node, id, sender).await {
        Ok(row) => row,
        Err(refusal) => return full_response(*refusal),
    };
    let total = row.samples as usize;
    let wait = wait.min(MAX_WAIT);
    let started = clock::now();
    loop {
        let page = match read_page(node, id, after).await {
            Ok(page) => page,
            Err(reason) => {
                info!(job = id, after, reason; "results_refused");
                return full_response(responses::not_run(reason));
            }
        };
        let waited = clock::now().saturating_sub(started);
        if !page.results.is_empty() || after >= total || waited + POLL_INTERVAL > wait {
            return page.into_response(total, after);
        }
        drop(page);
        sleep(POLL_INTERVAL).await;
    }
}

/// Encoded results, with what they hold of the budget.
struct Page {
    results: Vec<Bytes>,
    hold: Hold,
}

impl Page {
    fn into_response(self, total: usize, after: usize) -> Response<ResponseBody> {
        let mut body = Pieces::new(self.hold);
        wire::results(total, after, self.results).map(|pieces| {
            for piece in pieces {
                // All of them are held already.
                body.push(piece);
            }
            ResponseBody::pieces(body)
        })
    }
}

/// Reads the results from position `after` on, as many as a page may have now, but at least one if there is one.
async fn read_page(node: &Rc<Node>, id: &str, after: usize) -> Result<Page> {
    let limit = node.held_bytes.borrow().page_limit(MAX_PAGE_BYTES);
    let mut hold = Hold::new(node, Purpose::Results);
    hold.resize(limit);
    let rows = read_rows(node, rows::result_key(id, after, 0), limit, &mut hold).await?;
    let mut results = Vec::new();
    let mut size = wire::RESULTS_FRAME_BYTES;
    for row in rows::decode_results(&rows) {
        let result = wire::result(&row);
        let next = size + result.len() + 1;
        if next > limit && !results.is_empty() {
            metrics::counter!("results_pages_shortened_total").increment(1);
            break;
        }
        results.push(result);
        size = next;
    }
    drop(rows);
    match size <= limit || hold.wait(size, HOLD_PATIENCE).await {
        true => Ok(Page { results, hold }),
        false => Err(NO_MEMORY),
    }
}

/// Reads the rows of a page of at most `limit` bytes: all that the store returns at once, or about as many as fit
/// if the page is a short one.
async fn read_rows(
    node: &Node,
    mut from: RowKey,
    limit: usize,
    hold: &mut Hold,
) -> Result<Vec<StoredRow>> {
    if limit >= MAX_PAGE_BYTES {
        return Ok(read(node, &from, None).await?.rows);
    }
    let mut found: Vec<StoredRow> = Vec::new();
    for _ in 0..MAX_PAGE_READS {
        let max_rows = rows_to_read(&found, limit);
        let page = read(node, &from, Some(max_rows)).await?;
        found.extend(page.rows);
        let (Some(first), Some(last)) = (found.first(), found.last()) else { break };
        from = last.key.next();
        let first_rows = rows::result_rows(first);
        let is_filled = value_bytes(&found) >= limit / FILLED_FRACTION.1 * FILLED_FRACTION.0;
        if !page.more || (is_filled && found.len() >= first_rows) {
            break;
        }
        let first_bytes = first_rows * node.settings().row_bytes;
        if first_bytes > limit && !hold.wait(first_bytes, HOLD_PATIENCE).await {
            return Err(NO_MEMORY);
        }
    }
    Ok(found)
}

async fn read(node: &Node, from: &RowKey, max_rows: Option<usize>) -> Result<RowPage> {
    let _turn = node.result_reads.acquire().await.map_err(|_| NO_STORE)?;
    node.store.page(from, None, max_rows).await.ok_or(NO_STORE)
}

/// Returns the number of rows to read next for a page of `limit` bytes that begins with `found`.
fn rows_to_read(found: &[StoredRow], limit: usize) -> usize {
    let Some(first) = found.first() else { return 1 };
    let bytes = value_bytes(found);
    let average = (bytes / found.len()).max(1);
    let fitting = limit.saturating_sub(bytes) / average;
    let missing = rows::result_rows(first).saturating_sub(found.len());
    fitting.max(missing).clamp(1, MAX_ROWS)
}

fn value_bytes(rows: &[StoredRow]) -> usize {
    rows.iter().filter_map(|row| row.value.as_ref()).map(Bytes::len).sum()
}
