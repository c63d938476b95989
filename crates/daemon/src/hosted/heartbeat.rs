//! This daemon's row in the store, and the way to the store.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use buckthornfall_core::store::{RowKey, StoreTx, TxEnd};
use buckthornfall_proto::messages::{MemberRow, MemberState};
use log::info;
use tokio::time::sleep;

use super::{clock, feeds::FEED_PACE, node::Node, rows};

/// Shortest time over which a rate is counted, in seconds.
const MIN_RATE_TIME: f64 = 0.1;
/// Writes of heartbeats whose shortest time counts: one alone may be held up.
const WRITES_KEPT: usize = 16;
/// Time between two looks at whether the store serves this daemon.
const STORE_INTERVAL: Duration = Duration::from_millis(200);

/// Starts to write heartbeats and to watch the way to the store.
pub fn start(node: &Rc<Node>) {
    tokio::task::spawn_local(beat(Rc::clone(node)));
    tokio::task::spawn_local(watch_store(Rc::clone(node)));
}

/// Writes this daemon's row again and again.
async fn beat(node: Rc<Node>) {
    let key = RowKey::new(rows::FLEET, "", &format!("{}{}", rows::MEMBER, node.settings().host));
    let mut incarnation = None;
    let mut beat = 0;
    let mut last_beat = clock::now();
    let mut took = Duration::ZERO;
    let mut writes = VecDeque::new();
    loop {
        if incarnation.is_none() {
            incarnation = next_incarnation(&node, &key).await;
        }
        if node.serve_if_ready() {
            info!(host = node.settings().host.as_str(); "serving");
        }
        if let Some(incarnation) = incarnation {
            beat += 1;
            let since = clock::now().saturating_sub(last_beat).as_secs_f64().max(MIN_RATE_TIME);
            last_beat = clock::now();
            let rate = f64::from(node.requests.take()) / since;
            let expected = beat_interval(&node) + took;
            let row = MemberRow {
                front: node.settings().front.to_string(),
                peers: node.settings().peers.to_string(),
                zone: node.settings().zone.clone(),
                state: node.state.get(),
                incarnation,
                beat,
                beat_ms: u32::try_from(expected.as_millis()).unwrap_or(u32::MAX),
                store_ms: writes.iter().min().copied().unwrap_or(u32::MAX),
                requests_per_s: rate.round() as u32,
            };
            let tx = StoreTx::put(vec![(key.clone(), rows::encode(&row))]);
            let end = node.store.transact(&tx).await;
            took = clock::now().saturating_sub(last_beat);
            // A refusal comes sooner than any write.
            if matches!(end, TxEnd::Committed(_)) {
                writes.truncate(WRITES_KEPT - 1);
                writes.push_front(u32::try_from(took.as_millis()).unwrap_or(u32::MAX));
            }
        }
        let starting = node.state.get() == MemberState::Starting;
        let pause = if starting { FEED_PACE } else { beat_interval(&node) };
        tokio::select! {
            () = sleep(pause) => {}
            () = node.stop.notified() => {}
            () = node.job_taken.notified() => {}
        }
    }
}

fn beat_interval(node: &Node) -> Duration {
    node.members.borrow().heartbeat_interval(node.owns_jobs())
}

/// One more than that of the last start of this host.
async fn next_incarnation(node: &Node, key: &RowKey) -> Option<u64> {
    let row = node.store.row(key).await.ok()?;
    let last = row.as_ref().and_then(rows::decode::<MemberRow>);
    Some(last.map_or(1, |last| last.incarnation + 1))
}

/// Keeps the list of daemons that may call the store for this one, and looks whether that is needed
/// any more. A daemon that has just started knows just those that its settings name.
async fn watch_store(node: Rc<Node>) {
    loop {
        let mut relays = node.members.borrow().relays(clock::now(), &node.location);
        if relays.is_empty() {
            relays = node.settings().seeds.iter().map(ToString::to_string).collect();
        }
        node.store.set_relays(relays);
        if node.store.is_relaying() {
            let node = Rc::clone(&node);
            tokio::task::spawn_local(async move { node.store.probe().await });
        }
        sleep(STORE_INTERVAL).await;
    }
}
