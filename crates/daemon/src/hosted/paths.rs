//! Paths of this daemon to the servers: probes, and what changes once a service is lost or regained.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::{
    backends::Backend,
    reachability::{PathChange, Probe},
    store::{RowKey, StoreTx, TxEnd},
};
use buckthornfall_proto::messages::ReachRow;
use log::info;
use tokio::time::sleep;

use super::{
    clock,
    http::{Connection, Error},
    node::Node,
    rows,
};
use crate::tasks;

/// Interval between checks for silent services and due probes.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of opening a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between checks whether the row of lost services is up to date, and between attempts to write
/// it.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);

/// Starts to watch the paths, to probe them as needed and to tell the other daemons of lost ones.
pub fn start(node: &Rc<Node>) {
    node.keep_running("paths", watch);
    node.keep_running("lost services", share);
}

async fn watch(node: Rc<Node>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let (probes, changes) =
            node.reachability.borrow_mut().tick(clock::now(), &node.backends.borrow());
        for (service, change) in changes {
            on_change(&node, &service, change);
        }
        for probe in probes {
            tokio::task::spawn_local(open_probe(Rc::clone(&node), probe));
        }
    }
}

/// Keeps the row that tells the other daemons which services this one has lost up to date.
async fn share(node: Rc<Node>) {
    loop {
        tokio::select! {
            () = sleep(SHARE_INTERVAL) => {}
            () = node.path_lost.notified() => {}
        }
        let incarnation = node.incarnation.get();
        let lost = node.reachability.borrow().lost();
        let is_current = {
            let members = node.members.borrow();
            let told = members.own_reach_row();
            told.map_or(lost.is_empty(), |told| {
                told.incarnation == incarnation && told.lost == lost && !lost.is_empty()
            })
        };
        if is_current || incarnation == 0 {
            continue;
        }
        let host = node.settings().host.clone();
        let key = RowKey::new(rows::FLEET, "", &format!("{}{host}", rows::REACH_PREFIX));
        let row = ReachRow { incarnation, lost };
        let tx = match row.lost.is_empty() {
            true => StoreTx::remove(vec![key]),
            false => StoreTx::put(vec![(key, rows::encode(&row))]),
        };
        let end = node.store.transact(&tx).await;
        info!(lost:? = row.lost, outcome:? = end; "lost_services_shared");
        if matches!(end, TxEnd::Committed(_)) {
            // The row is read back from the feed; until then it must not be written again.
            let row = (!row.lost.is_empty()).then_some(row);
            node.members.borrow_mut().on_reach(&host, row);
        }
    }
}

/// Opens a connection to a server, which is kept for requests.
async fn open_probe(node: Rc<Node>, probe: Probe) {
    let Probe { service, server } = probe;
    // A lost service is probed again once this probe has ended.
    let opened = tasks::catch_panic(connect(&node, &server)).await;
    let detail = opened.unwrap_or_else(|| Some("the probe panicked".to_owned()));
    let connected = detail.is_none();
    metrics::counter!("path_probes_total", "outcome" => if connected { "connected" } else { "failed" })
        .increment(1);
    info!(service, server = server.id.as_str(), connected, detail = detail.unwrap_or_default(); "path_probed");
    let change =
        node.reachability.borrow_mut().on_probe_end(clock::now(), &service, &server.id, connected);
    if let Some(change) = change {
        on_change(&node, &service, change);
    }
}

/// Opens a connection to a server, for later requests. Returns why it cannot be opened, or `None`.
async fn connect(node: &Rc<Node>, server: &Backend) -> Option<String> {
    fail::fail_point!("probe");
    let conn = match Connection::open(server.addr, PROBE_TIMEOUT).await {
        Ok(conn) => conn,
        Err(e) => return Some(e.to_string()),
    };
    node.servers.put(conn);
    None
}

/// Records a response of a server of `service`.
pub fn on_response(node: &Rc<Node>, service: &str) {
    let change = node.reachability.borrow_mut().on_response(clock::now(), service);
    if let Some(change) = change {
        on_change(node, service, change);
    }
}

/// Records the failure of a request to a server, if it failed to connect.
pub fn on_failure(node: &Rc<Node>, service: &str, server: &str, e: &Error) {
    let Error::Connect { hung, .. } = e else { return };
    let how = if *hung { "hung" } else { "refused" };
    metrics::counter!("server_connects_failed_total", "service" => service.to_owned(), "how" => how)
        .increment(1);
    let change = node.reachability.borrow_mut().on_connect_failed(clock::now(), service, server);
    if let Some(change) = change {
        on_change(node, service, change);
    }
}

fn on_change(node: &Rc<Node>, service: &str, change: PathChange) {
    let silence_ms = silence(node, service).as_millis() as u64;
    info!(service, state = change.name(), silence_ms; "service_paths");
    metrics::gauge!("service_paths_lost", "service" => service.to_owned())
        .set(if node.reachability.borrow().is_lost(service) { 1.0 } else { 0.0 });
    if !change.is_shared() {
        return;
    }
    node.members.borrow_mut().set_own_lost(node.reachability.borrow().lost());
    if change == PathChange::Lost {
        node.path_lost.notify_waiters();
    } else {
        node.backends.borrow_mut().on_paths_regained(service);
    }
}

fn silence(node: &Node, service: &str) -> Duration {
    let reachability = node.reachability.borrow();
    let mut silences = reachability.silences(clock::now());
    silences.find(|(of, _)| *of == service).map_or(Duration::ZERO, |(_, silence)| silence)
}
