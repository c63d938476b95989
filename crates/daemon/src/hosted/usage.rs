//! Counts of the requests of client accounts, and their reports to the platform.
//!
//! Each daemon stores its counts of each window. The holder of the duties' lease adds them up once they
//! are complete, stores the total, and reports it. A total is stored only while its window is the next
//! one to be reported, so that there is one for each window, whoever holds the lease.

use std::{
    rc::Rc,
    time::{Duration, SystemTime},
};

use buckthornfall_core::{
    duties::CallEnd,
    store::{RowKey, RowVersion, StoreTx, StoredRow, TxEnd},
    usage::{self, Counts, ReportTimes, Window},
};
use buckthornfall_platform::{duties as wire, settings::DutySettings};
use buckthornfall_proto::{
    digest::fingerprint,
    messages::{UsageCursorRow, UsageRow},
};
use http::request;
use log::{debug, info, warn};
use tokio::time::sleep;

use super::{access, clock, node::Node, reload, rows};

/// Interval between checks whether a window can be reported.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Number of client accounts in one row, so that a row stays within the size that the store takes.
const ACCOUNTS_PER_ROW: usize = 500;
/// Maximum number of rows removed in one transaction.
const MAX_REMOVED_ROWS: usize = 90;
/// Number of windows before the current one that are still reported after a long time without any daemon.
const MAX_LATE_WINDOWS: Window = 360;
/// Partition of the totals and of the cursor.
const TOTALS: &str = "totals";
/// Number of partitions of the daemons' counts.
const COUNT_PARTS: u64 = 4;
const CURSOR_KEY: &str = "cursor";

/// Starts to store this daemon's counts, and to report usage while it holds the duties' lease.
pub fn start(node: &Rc<Node>) {
    // A start of the daemon has one set of rows, also if the task starts again.
    let token = format!("{:016x}", rand::random::<u64>());
    node.keep_running("usage counts", move |node| save_counts(node, token.clone()));
    node.keep_running("usage reports", report);
}

fn report_times(node: &Node) -> Option<ReportTimes> {
    node.settings().duties.as_ref()?.usage
}

/// Returns the time since the start of 1970.
fn since_epoch() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

/// A request that was counted.
#[derive(Debug, Clone, Copy)]
pub struct Counted(Window);

/// Counts a request that is sent to a server which it reaches after `transit`; `None` if it has no
/// client account or usage is not reported.
pub fn count(node: &Node, head: &request::Parts, transit: Duration) -> Option<Counted> {
    let account = access::account(head)?;
    let times = report_times(node)?;
    let window = usage::window_at(since_epoch() + transit, times.window);
    node.tally.borrow_mut().on_sent(window, &account.name);
    Some(Counted(window))
}

/// Takes back a request that its server has not begun.
pub fn take_back(node: &Node, head: &request::Parts, counted: Counted) {
    if let Some(account) = access::account(head) {
        node.tally.borrow_mut().on_not_begun(counted.0, &account.name);
    }
}

async fn save_counts(node: Rc<Node>, token: String) {
    loop {
        let Some(times) = report_times(&node) else {
            sleep(reload::POLL_INTERVAL).await;
            continue;
        };
        save(&node, &token).await;
        let daemons = node.members.borrow().serving(clock::now()).count();
        tokio::select! {
            () = sleep(times.save_interval(daemons)) => {}
            () = node.stop.notified() => {}
        }
    }
}

/// Stores the counts that have changed.
async fn save(node: &Node, token: &str) {
    let unsaved = node.tally.borrow().unsaved();
    if unsaved.is_empty() {
        return;
    }
    let put = unsaved.iter().flat_map(|(window, counts)| count_rows(*window, token, counts));
    let end = node.store.transact(&StoreTx::put(put.collect())).await;
    if matches!(end, TxEnd::Committed(_)) {
        let mut tally = node.tally.borrow_mut();
        unsaved.iter().for_each(|(window, counts)| tally.on_saved(*window, counts));
    }
}

fn count_rows(window: Window, token: &str, counts: &Counts) -> Vec<(RowKey, bytes::Bytes)> {
    let all: Vec<_> = counts.iter().collect();
    let row = |(index, chunk): (usize, &[(&String, &u64)])| {
        let counts = chunk.iter().map(|(account, count)| ((*account).clone(), **count));
        let key = RowKey::new(rows::USAGE, &count_part(token), &count_key(window, token, index));
        (key, rows::encode(&UsageRow { counts: counts.collect() }))
    };
    all.chunks(ACCOUNTS_PER_ROW).enumerate().map(row).collect()
}

fn count_part(token: &str) -> String {
    part_name(fingerprint(&[token.as_bytes()]) % COUNT_PARTS)
}

fn part_name(part: u64) -> String {
    format!("counts-{part}")
}

fn count_key(window: Window, token: &str, index: usize) -> String {
    format!("{window:012}/{token}/{index:04}")
}

async fn report(node: Rc<Node>) {
    let mut cursor = None;
    loop {
        let duties = node.settings().duties.clone();
        let (Some(duties), Some(times)) = (duties, report_times(&node)) else {
            sleep(reload::POLL_INTERVAL).await;
            continue;
        };
        sleep(CHECK_INTERVAL).await;
        if node.duties.borrow().call_fence(clock::now()).is_none() {
            cursor = None;
            continue;
        }
        let Some(next) = cursor else {
            cursor = read_cursor(&node, times).await;
            continue;
        };
        cursor = report_next(&node, &duties, times, next).await;
    }
}

/// The next window to be reported, and the version of its row.
#[derive(Debug, Clone, Copy)]
struct Cursor {
    next: Window,
    version: RowVersion,
}

fn cursor_key() -> RowKey {
    RowKey::new(rows::USAGE, TOTALS, CURSOR_KEY)
}

fn decode_cursor(row: &StoredRow) -> Option<Cursor> {
    let UsageCursorRow { next } = rows::decode(row)?;
    Some(Cursor { next, version: row.version })
}

/// Reads the cursor. At the first start of all, reports begin with the current window; after a long time
/// without any daemon, with the last windows before it.
async fn read_cursor(node: &Node, times: ReportTimes) -> Option<Cursor> {
    if let Some(row) = node.store.row(&cursor_key()).await.ok()? {
        let oldest = usage::window_at(since_epoch(), times.window).saturating_sub(MAX_LATE_WINDOWS);
        return decode_cursor(&row)
            .map(|cursor| Cursor { next: cursor.next.max(oldest), ..cursor });
    }
    let next = usage::window_at(since_epoch(), times.window);
    move_cursor(node, 0, next, Vec::new()).await
}

/// Moves the cursor from `version` to `next` and removes the reported `totals` with it, so that a window has its
/// total for as long as the cursor names it. Returns `None` unless the cursor is known to have moved.
async fn move_cursor(
    node: &Node,
    version: RowVersion,
    next: Window,
    totals: Vec<RowKey>,
) -> Option<Cursor> {
    let replace = StoreTx::replace(cursor_key(), version, rows::encode(&UsageCursorRow { next }));
    let end = node.store.transact(&StoreTx { remove: totals, ..replace }).await;
    info!(next, row_version = version, outcome:? = end; "usage_cursor_moved");
    match end {
        TxEnd::Committed(version) => Some(Cursor { next, version }),
        TxEnd::Conflict(_) | TxEnd::Failed(_) => None,
    }
}

/// Reports the window at the cursor if its counts are complete. Returns the cursor, or `None` if it has
/// to be read again.
async fn report_next(
    node: &Node,
    settings: &DutySettings,
    times: ReportTimes,
    cursor: Cursor,
) -> Option<Cursor> {
    let window = cursor.next;
    let steady = clock::now().saturating_sub(node.store.steady_since());
    if !times.is_complete(window, since_epoch(), steady) {
        return Some(cursor);
    }
    let total = stored_total(node, cursor).await?;
    let end = node
        .duty_client
        .call(node, settings, |duty| wire::usage(duty, window, &total.counts))
        .await;
    let late_ms = since_epoch().saturating_sub(usage::window_end(window, times.window)).as_millis();
    let requests: u64 = total.counts.values().sum();
    info!(window, requests, accounts = total.counts.len(), after_ms = late_ms as u64, outcome:? = end;
        "usage_reported");
    metrics::gauge!("usage_report_delay_seconds").set(late_ms as f64 / 1_000.0);
    match end {
        CallEnd::Accepted => {
            let next = move_cursor(node, cursor.version, window + 1, vec![total.key]).await;
            if next.is_some() {
                remove_counts(node, &total.parts).await;
            }
            next
        }
        CallEnd::Refused => {
            // Another holder has a higher fencing token; this one hears of it by the lease.
            warn!(window; "usage_report_refused");
            sleep(node.settings().lease).await;
            None
        }
        CallEnd::Busy | CallEnd::NotSent | CallEnd::Unknown => Some(cursor),
    }
}

/// The total of a window as it is stored.
struct Total {
    key: RowKey,
    counts: Counts,
    /// Rows that it was added up from, and those of earlier windows; none if the total was stored before.
    parts: Vec<RowKey>,
}

/// Returns the stored total of the window at the cursor; stores it if there is none yet.
async fn stored_total(node: &Node, cursor: Cursor) -> Option<Total> {
    let key = RowKey::new(rows::USAGE, TOTALS, &format!("{:012}", cursor.next));
    if let Some(row) = node.store.row(&key).await.ok()? {
        return Some(Total { counts: decode_counts(&row)?, key, parts: Vec::new() });
    }
    let mut counts = Counts::new();
    let rows = count_rows_until(node, cursor.next).await?;
    for row in rows.iter().filter(|row| row_window(row) == Some(cursor.next)) {
        usage::add(&mut counts, &decode_counts(row)?);
    }
    counts.retain(|_, count| *count > 0);
    let row = UsageRow { counts: counts.clone().into_iter().collect() };
    let tx = StoreTx {
        expected: vec![(cursor_key(), cursor.version), (key.clone(), 0)],
        put: vec![(key.clone(), rows::encode(&row))],
        remove: Vec::new(),
    };
    let end = node.store.transact(&tx).await;
    let parts = rows.into_iter().map(|row| row.key).collect();
    matches!(end, TxEnd::Committed(_)).then_some(Total { key, counts, parts })
}

fn decode_counts(row: &StoredRow) -> Option<Counts> {
    let row: UsageRow = rows::decode(row)?;
    Some(row.counts.into_iter().collect())
}

fn row_window(row: &StoredRow) -> Option<Window> {
    row.key.key.split('/').next()?.parse().ok()
}

/// Returns the rows with the daemons' counts of a window and of earlier ones.
async fn count_rows_until(node: &Node, window: Window) -> Option<Vec<StoredRow>> {
    let until = format!("{:012}", window + 1);
    let mut found = Vec::new();
    for part in 0..COUNT_PARTS {
        let from = RowKey::new(rows::USAGE, &part_name(part), "");
        found.extend(node.store.rows(&from, Some(&until)).await?.rows);
    }
    Some(found)
}

/// Removes the daemons' counts of windows that the cursor has passed. What is left over is removed with a later
/// window.
async fn remove_counts(node: &Node, counts: &[RowKey]) {
    for part in 0..COUNT_PARTS {
        let name = part_name(part);
        let of_part = counts.iter().filter(|key| key.part == name);
        let remove: Vec<_> = of_part.take(MAX_REMOVED_ROWS).cloned().collect();
        if !remove.is_empty() {
            let end = node.store.transact(&StoreTx::remove(remove)).await;
            debug!(part = name, outcome:? = end; "usage_counts_removed");
        }
    }
}
