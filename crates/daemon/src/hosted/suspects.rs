//! Tells whether a server crashed while it ran a caller's request, and shares it with the other daemons.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::{
    backends::Backend,
    store::{RowKey, StoreTx, StoredRow, TxEnd},
    suspects::{Crashes, ServerStart, MAX_CRASHES, WATCH_TIME},
    Now,
};
use buckthornfall_proto::{digest::fingerprint, ids::Fingerprint, messages::CrashesRow};
use http::{header, request};
use log::info;
use tokio::time::sleep;

use super::{
    access, clock,
    forward::header_text,
    http::{Connection, Error},
    node::Node,
    rows,
};

/// Interval between checks whether a server with lost responses still listens.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of connecting for a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between attempts to write or remove the row of a request, and their maximum number.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);
const MAX_WRITES: u32 = 6;
/// Maximum number of rows in one transaction.
const MAX_ROWS: usize = 90;

/// Returns what is the same in two requests of which one crashes servers if the other does: method, path with
/// query, caller and body.
pub fn request_fingerprint(head: &request::Parts, body: &[u8]) -> Fingerprint {
    let target = head.uri.path_and_query().map_or("", |target| target.as_str());
    let caller = access::account(head).map_or("", |account| account.name.as_str());
    fingerprint(&[
        head.method.as_str().as_bytes(),
        header_text(&head.headers, &header::HOST).as_bytes(),
        target.as_bytes(),
        caller.as_bytes(),
        body,
    ])
}

fn start_of(server: &Backend) -> ServerStart {
    ServerStart { server: server.id.clone(), started_ms: server.started_ms }
}

/// Records that the connection to a server ended before its response to a request did.
pub fn on_lost(node: &Rc<Node>, request: Fingerprint, server: &Backend) {
    let lost_at = clock::now();
    let must_watch = node.suspects.borrow_mut().on_lost(lost_at, request, &start_of(server));
    if must_watch {
        tokio::task::spawn_local(watch(Rc::clone(node), server.clone(), lost_at));
    }
}

/// Records that a server answered a request.
pub fn on_answer(node: &Rc<Node>, request: Fingerprint) {
    if node.suspects.borrow_mut().on_answer(request) {
        info!(fingerprint = request; "request_cleared");
        tokio::task::spawn_local(clear(Rc::clone(node), request));
    }
}

/// Checks for a while whether a server with a lost response still listens. It has ended if it refuses connections
/// while other servers of its service respond; its entry tells later.
async fn watch(node: Rc<Node>, server: Backend, lost_at: Now) {
    let start = start_of(&server);
    while clock::now().saturating_sub(lost_at) < WATCH_TIME {
        sleep(CHECK_INTERVAL).await;
        if !node.suspects.borrow().has_lost(&start) {
            return;
        }
        match Connection::open(server.addr, CHECK_TIMEOUT).await {
            Ok(conn) => return node.servers.put(conn),
            Err(Error::Connect { hung: false, .. }) => {
                if node.reachability.borrow().has_responded_since(&server.service, lost_at) {
                    return on_ended(&node, &start, "refuses_connections");
                }
            }
            Err(_) => {}
        }
    }
}

/// Checks the entries of the servers with lost responses: a start has ended if another one, or none, is listed.
pub fn check_entries(node: &Rc<Node>) {
    let lost = node.suspects.borrow().lost_starts();
    for start in lost {
        let listed = node.backends.borrow().get(&start.server).map(|entry| entry.started_ms);
        if listed != Some(start.started_ms) {
            on_ended(node, &start, "not_listed");
        }
    }
}

fn on_ended(node: &Rc<Node>, start: &ServerStart, evidence: &'static str) {
    let requests = node.suspects.borrow_mut().on_start_ended(clock::now(), start);
    if requests.is_empty() {
        return;
    }
    metrics::counter!("server_crashes_total").increment(1);
    info!(server = start.server.as_str(), started_ms = start.started_ms, requests = requests.len(), evidence;
        "server_crashed");
    tokio::task::spawn_local(share(Rc::clone(node), requests));
}

fn row_key(request: Fingerprint) -> RowKey {
    RowKey::new(rows::FLEET, "", &format!("{}{request:016x}", rows::CRASHES_PREFIX))
}

/// Writes the crashes of requests until they are stored. Each request whose crashes are cleared meanwhile is left
/// out.
async fn share(node: Rc<Node>, requests: Vec<Fingerprint>) {
    for _ in 0..MAX_WRITES {
        let put: Vec<_> = requests.iter().filter_map(|request| row(&node, *request)).collect();
        let mut is_stored = true;
        for put in put.chunks(MAX_ROWS) {
            let end = node.store.transact(&StoreTx::put(put.to_vec())).await;
            info!(requests = put.len(), outcome:? = end; "crashes_shared");
            is_stored &= matches!(end, TxEnd::Committed(_));
        }
        if is_stored {
            return;
        }
        sleep(WRITE_INTERVAL).await;
    }
}

fn row(node: &Node, request: Fingerprint) -> Option<(RowKey, bytes::Bytes)> {
    let suspects = node.suspects.borrow();
    let crashes = suspects.crashes(request)?;
    let starts: Vec<_> = crashes.starts().collect();
    if starts.len() >= MAX_CRASHES {
        info!(fingerprint = request, crashes = starts.len(); "request_blocked");
    }
    let at_ms = node.store.clock().to_clock_ms(clock::now(), crashes.last());
    Some((row_key(request), rows::encode(&CrashesRow { starts, at_ms })))
}

/// Removes the row of a request that a server has answered.
async fn clear(node: Rc<Node>, request: Fingerprint) {
    for _ in 0..MAX_WRITES {
        if node.suspects.borrow().crashes(request).is_some() {
            return;
        }
        let end = node.store.transact(&StoreTx::remove(vec![row_key(request)])).await;
        if matches!(end, TxEnd::Committed(_)) {
            return;
        }
        sleep(WRITE_INTERVAL).await;
    }
}

/// Applies a row of crashes. `name` is the part of its key that names the request.
pub fn on_row(node: &Rc<Node>, name: &str, row: &StoredRow) {
    let Ok(request) = Fingerprint::from_str_radix(name, 16) else { return };
    let mut known = node.suspect_rows.borrow_mut();
    if row.value.is_none() {
        known.remove(&row.key.key);
        node.suspects.borrow_mut().on_cleared(request);
        return;
    }
    let now = clock::now();
    let Some(CrashesRow { starts, at_ms }) = rows::decode(row) else { return };
    known.insert(row.key.key.clone(), now);
    let shared = Crashes::shared(starts, node.store.to_local(at_ms).min(now));
    let has_more = node.suspects.borrow_mut().on_shared(now, request, &shared);
    if has_more {
        tokio::task::spawn_local(share(Rc::clone(node), vec![request]));
    }
}
