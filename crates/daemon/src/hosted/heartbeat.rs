//! Heartbeats of this daemon in the store, and upkeep of its connection to the store.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use buckthornfall_core::store::{RowKey, StoreTx, TxEnd};
use buckthornfall_proto::messages::{MemberRow, MemberState};
use log::info;
use tokio::time::sleep;

use super::{clock, feeds::FEED_INTERVAL, node::Node, rows, second_copy};

/// Minimum time over which the request rate is computed, in seconds.
const MIN_RATE_SECONDS: f64 = 0.1;
/// Number of recent heartbeat writes whose minimum duration is reported: a single write may be
/// delayed.
const WRITE_SAMPLES: usize = 16;
/// Interval between updates of the relays and probes of the store.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Starts the tasks that write heartbeats and watch the connection to the store.
pub fn start(node: &Rc<Node>) {
    node.keep_running("heartbeats", write_heartbeats);
    node.keep_running("store", watch_store);
}

/// Writes this daemon's row periodically, and at once when a planned stop begins or the daemon gets
/// a job.
async fn write_heartbeats(node: Rc<Node>) {
    let own_key = |part: &str, prefix: &str| {
        RowKey::new(rows::FLEET, part, &format!("{prefix}{}", node.settings().host))
    };
    let key = own_key(rows::HEARTBEAT_PART, rows::MEMBER_PREFIX);
    let copies_key = own_key(rows::HEARTBEAT_PART, rows::COPIES_PREFIX);
    // Earlier versions of the software write this row in another partition.
    let earlier_key = own_key("", rows::MEMBER_PREFIX);
    let mut incarnation = None;
    let mut beat = 0;
    let mut last_write = clock::now();
    let mut write_time = Duration::ZERO;
    let mut write_times_ms = VecDeque::new();
    loop {
        if incarnation.is_none() {
            incarnation = next_incarnation(&node, &[&key, &earlier_key]).await;
        }
        if node.serve_if_ready() {
            info!(host = node.settings().host.as_str(); "serving");
        }
        fail::fail_point!("heartbeat");
        if let Some(incarnation) = incarnation {
            beat += 1;
            let elapsed =
                clock::now().saturating_sub(last_write).as_secs_f64().max(MIN_RATE_SECONDS);
            last_write = clock::now();
            let rate = f64::from(node.requests.take()) / elapsed;
            let expected_interval = heartbeat_interval(&node) + write_time;
            let row = MemberRow {
                front: node.settings().front.to_string(),
                peers: node.settings().peers.to_string(),
                zone: node.settings().zone.clone(),
                state: node.state.get(),
                incarnation,
                beat,
                beat_ms: u32::try_from(expected_interval.as_millis()).unwrap_or(u32::MAX),
                store_ms: write_times_ms.iter().min().copied().unwrap_or(u32::MAX),
                requests_per_s: rate.round() as u32,
            };
            let mut put = vec![(key.clone(), rows::encode(&row))];
            let copies = second_copy::row(&node);
            put.extend(copies.as_ref().map(|copies| (copies_key.clone(), rows::encode(copies))));
            node.members.borrow_mut().on_heartbeat_sent(last_write, beat);
            node.origins.borrow_mut().on_heartbeat_sent(expected_interval);
            let end = node.store.transact(&StoreTx::put(put)).await;
            if matches!(end, TxEnd::Committed(_)) {
                node.members.borrow_mut().on_heartbeat_stored(clock::now());
                if let Some(copies) = copies {
                    node.second_copies.borrow_mut().on_row_written(last_write, copies);
                }
                node.incarnation.set(incarnation);
                node.origins.borrow_mut().on_heartbeat(last_write, expected_interval);
            }
            write_time = clock::now().saturating_sub(last_write);
            // A refused write returns faster than a committed one, so it is not counted.
            if matches!(end, TxEnd::Committed(_)) {
                write_times_ms.truncate(WRITE_SAMPLES - 1);
                write_times_ms
                    .push_front(u32::try_from(write_time.as_millis()).unwrap_or(u32::MAX));
            }
        }
        let starting = node.state.get() == MemberState::Starting;
        let pause = if starting { FEED_INTERVAL } else { heartbeat_interval(&node) };
        tokio::select! {
            () = sleep(pause) => {}
            () = node.stop.notified() => {}
            () = node.job_taken.notified() => {}
        }
    }
}

fn heartbeat_interval(node: &Node) -> Duration {
    node.members.borrow().heartbeat_interval(node.owns_jobs())
}

/// Returns the incarnation of this start: one more than that of the previous start of this host, whose
/// row has one of `keys`.
async fn next_incarnation(node: &Node, keys: &[&RowKey]) -> Option<u64> {
    let mut last = 0;
    for key in keys {
        let row = node.store.row(key).await.ok()?;
        let row = row.as_ref().and_then(rows::decode::<MemberRow>);
        last = last.max(row.map_or(0, |row| row.incarnation));
    }
    Some(last.saturating_add(1))
}

/// Keeps the list of daemons that can relay store calls up to date, and probes the store while
/// calls are relayed. A daemon that has just started knows only the daemons that its settings name.
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
        sleep(STORE_CHECK_INTERVAL).await;
    }
}
