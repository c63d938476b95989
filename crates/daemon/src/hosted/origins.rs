//! Software versions that began callers' streams: the rows of services, the records of streams and
//! their lookup.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};

use buckthornfall_core::{
    desired::RouteKind,
    members::Members,
    origins::Origin,
    store::{RowKey, RowVersion, StoreFailure, StoreTx, TxEnd},
    Now,
};
use buckthornfall_proto::{
    ids::{Fingerprint, ServiceName, SoftwareVersion},
    messages::{
        MemberState, OriginReply, OriginRequest, OriginRow, PeerMessage, SeenRow, SoftwareRow,
        ViewLeaseRow,
    },
};
use bytes::Bytes;
use log::info;
use tokio::{
    sync::{oneshot, Notify},
    task::JoinSet,
    time::{sleep, timeout},
};

use super::{clock, node::Node, rows};
use crate::{peers::Connections, tasks};

/// Interval between checks of the rows of services.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of daemons that may change the row of a service, in case the first one is just lost.
const WRITERS: usize = 2;
/// Timeout of the lookup of a stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(400);
/// Time within which another daemon must say whether it began a stream.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of daemons that are asked about a stream, and of streams that are asked for at once.
const MAX_ASKED_PEERS: usize = 128;
const MAX_ASKED_STREAMS: usize = 16;
/// Interval at which this daemon repeats the row that says how far it has seen, until it reads it back.
const REGISTER_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of records in one transaction, a limit of the store.
const MAX_RECORDS: usize = 100;
/// Pause after a batch of records, for each daemon, so that all together stay within the writes that
/// the store takes.
const BATCH_PAUSE_PER_DAEMON: Duration = Duration::from_millis(8);
/// Maximum pause after a batch of records: a quarter of a usual objective.
const MAX_BATCH_PAUSE: Duration = Duration::from_millis(100);
/// Interval between removals of expired records.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(30);
/// Time for which an expired record is kept.
const RECORD_MARGIN_MS: u64 = 10_000;

/// Outcome of writing the record of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordEnd {
    /// The record is in the store.
    Written,
    /// The record is not in the store and will not be.
    NotWritten,
    /// The record may be in the store, or may be later.
    Unknown,
}

struct WaitingRecord {
    key: RowKey,
    value: Bytes,
    tx: oneshot::Sender<RecordEnd>,
}

/// Records that wait for the next transaction of their partition.
#[derive(Default)]
struct Queue {
    waiting: Vec<WaitingRecord>,
    is_writing: bool,
}

/// Records that this daemon writes.
#[derive(Default)]
pub struct Records {
    queues: RefCell<[Queue; rows::ORIGIN_PARTS as usize]>,
    /// Notified when the row of a service has changed.
    changed: Notify,
    /// Connections to the daemons that may have begun a stream.
    peers: Connections,
    /// Number of streams for which other daemons are being asked.
    asked_streams: Cell<usize>,
}

/// Applies the row of a service.
pub fn on_row(node: &Node, service: &str, row: SoftwareRow, version: RowVersion) {
    let mut origins = node.origins.borrow_mut();
    if origins.row(service) != Some(&row) {
        info!(service, base = row.base.as_str(), mode:% = row.mode, row_version = version; "software_mode");
    }
    origins.on_row(service, row, version);
    node.records.changed.notify_one();
}

/// Applies the row that says how far a daemon has seen.
pub fn on_seen(node: &Node, host: &str, row: SeenRow) {
    let is_own = host == node.settings().host && row.incarnation == node.incarnation.get();
    node.members.borrow_mut().on_seen(host, row);
    if is_own {
        node.origins.borrow_mut().on_registered();
    }
}

/// Stops to act by this daemon's view, as it leaves, and tells the others.
pub fn withdraw(node: &Node) {
    node.origins.borrow_mut().withdraw();
    node.records.changed.notify_one();
}

/// Keeps the rows of services up to date and removes expired records.
pub async fn run(node: Rc<Node>) {
    let mut confirmed = None;
    let mut cleaned_at = clock::now();
    loop {
        tokio::select! {
            () = sleep(CHECK_INTERVAL) => {}
            () = node.records.changed.notified() => {}
        }
        if node.incarnation.get() == 0 || node.store.is_unavailable() {
            continue;
        }
        confirm(&node, &mut confirmed).await;
        let services = services(&node);
        if services.is_empty() {
            continue;
        }
        node.origins.borrow_mut().expire(clock::now());
        if node.state.get() != MemberState::Serving {
            continue;
        }
        for service in services {
            advance(&node, &service).await;
        }
        if clock::now().saturating_sub(cleaned_at) >= CLEANUP_INTERVAL {
            cleaned_at = clock::now();
            remove_expired(&node).await;
        }
    }
}

/// Returns the services whose streams may be resumed.
fn services(node: &Node) -> BTreeSet<ServiceName> {
    let Some(desired) = node.desired() else { return BTreeSet::new() };
    let resumable =
        desired.routes.iter().filter(|route| route.kind == RouteKind::Stream && route.resumable);
    resumable.flat_map(|route| &route.targets).map(|target| target.service.clone()).collect()
}

/// Writes how far this daemon has seen, if that is new or has not been read back.
async fn confirm(node: &Rc<Node>, confirmed: &mut Option<(RowVersion, Now)>) {
    let (version, is_registered) = {
        let origins = node.origins.borrow();
        (origins.seen_version(), origins.is_registered())
    };
    let is_current = confirmed.is_some_and(|(of, at)| {
        let is_fresh = clock::now().saturating_sub(at) < REGISTER_INTERVAL;
        of == version && (is_registered || is_fresh)
    });
    if is_current {
        return;
    }
    let host = node.settings().host.clone();
    let key = |prefix: &str| RowKey::new(rows::FLEET, "", &format!("{prefix}{host}"));
    let incarnation = node.incarnation.get();
    // Earlier versions of the software read the first row only, and wait for a fixed time.
    let put = vec![
        (key(rows::SEEN_PREFIX), rows::encode(&SeenRow { incarnation, version })),
        (key(rows::VIEW_LEASE_PREFIX), rows::encode(&ViewLeaseRow { incarnation })),
    ];
    let end = node.store.transact(&StoreTx::put(put)).await;
    if matches!(end, TxEnd::Committed(_)) {
        *confirmed = Some((version, clock::now()));
    }
}

/// Changes the row of a service if that is due and up to this daemon.
async fn advance(node: &Rc<Node>, service: &str) {
    let now = clock::now();
    let next = {
        let members: &Members = &node.members.borrow();
        let slots = node.backends.borrow().slots_by_software(service);
        let next = node.origins.borrow_mut().next_row(now, service, &slots, members);
        next.filter(|_| members.ranks_within(now, service, WRITERS))
    };
    let Some((version, row)) = next else { return };
    let tx = StoreTx::replace(software_key(service), version, rows::encode(&row));
    if let TxEnd::Committed(version) = node.store.transact(&tx).await {
        on_row(node, service, row, version);
    }
}

fn software_key(service: &str) -> RowKey {
    RowKey::new(rows::FLEET, "", &format!("{}{service}", rows::SOFTWARE_PREFIX))
}

/// Records in the store where the stream `id` begins; its caller waits until `until`.
pub async fn record(node: &Rc<Node>, id: &str, origin: Origin, until: Now) -> RecordEnd {
    let wait = until.saturating_sub(clock::now());
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let until_ms = node.store.clock_ms().saturating_add(wait_ms);
    let row = origin.into_record(until_ms);
    let key = rows::origin_key(id);
    let Ok(part) = key.part.parse::<usize>() else { return RecordEnd::NotWritten };
    let (tx, rx) = oneshot::channel();
    let starts = {
        let queue = &mut node.records.queues.borrow_mut()[part];
        queue.waiting.push(WaitingRecord { key, value: rows::encode(&row), tx });
        !std::mem::replace(&mut queue.is_writing, true)
    };
    if starts {
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            tasks::restart_after_panics("stream records", || write_records(&node, part)).await;
        });
    }
    rx.await.unwrap_or(RecordEnd::Unknown)
}

/// Writes the waiting records of a partition in batches until none is left.
async fn write_records(node: &Node, part: usize) {
    loop {
        fail::fail_point!("record");
        let batch: Vec<_> = {
            let queue = &mut node.records.queues.borrow_mut()[part];
            let count = queue.waiting.len().min(MAX_RECORDS);
            if count == 0 {
                queue.is_writing = false;
                return;
            }
            queue.waiting.drain(..count).collect()
        };
        let put = batch.iter().map(|record| (record.key.clone(), record.value.clone()));
        let end = match node.store.transact(&StoreTx::put(put.collect())).await {
            TxEnd::Committed(_) => RecordEnd::Written,
            TxEnd::Conflict(_) | TxEnd::Failed(StoreFailure::Refused) => RecordEnd::NotWritten,
            TxEnd::Failed(StoreFailure::Unknown) => RecordEnd::Unknown,
        };
        metrics::counter!("stream_records_total", "outcome" => format!("{end:?}"))
            .increment(batch.len() as u64);
        for record in batch {
            // The receiver is gone if the caller left.
            let _ = record.tx.send(end);
        }
        let daemons = node.members.borrow().serving(clock::now()).count();
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
        sleep(BATCH_PAUSE_PER_DAEMON.saturating_mul(daemons).min(MAX_BATCH_PAUSE)).await;
    }
}

/// A stream that is resumed, as its caller names it.
#[derive(Debug, Clone, Copy)]
pub struct Resumed<'a> {
    pub service: &'a str,
    /// Attempt that began the stream; `None` if the request does not name it.
    pub stream: Option<&'a str>,
    pub request: Fingerprint,
}

/// The software version that began a stream, and where that is known from.
pub type Found = (SoftwareVersion, &'static str);

/// Returns the software version that began a stream, or why it is not known.
pub async fn resolve(node: &Rc<Node>, resumed: Resumed<'_>) -> Result<Found, &'static str> {
    let lookup = node.origins.borrow().lookup(clock::now(), resumed.service);
    let certain_base = lookup.base.clone().filter(|_| lookup.is_certain).map(|base| (base, "base"));
    let Some(stream) = resumed.stream else {
        return certain_base.ok_or("the request does not name the attempt that began its stream");
    };
    let remembered = node.origins.borrow().remembered(stream).cloned();
    if let Some(origin) = remembered {
        return resumed.check(origin, "memory");
    }
    if !node.store.is_unavailable() {
        let look_up = look_up(node, resumed, stream, lookup.base);
        if let Ok(Ok(found)) = timeout(LOOKUP_TIMEOUT, look_up).await {
            return found;
        }
    }
    if let Some(base) = certain_base {
        return Ok(base);
    }
    let asked = ask_peers(node, stream).await;
    let origin = asked.ok_or(
        "neither the store nor another daemon tells which software version began the stream",
    )?;
    resumed.check(origin, "peer")
}

/// Asks the other daemons which of them began a stream.
async fn ask_peers(node: &Rc<Node>, stream: &str) -> Option<Origin> {
    let asked = &node.records.asked_streams;
    if asked.get() >= MAX_ASKED_STREAMS {
        return None;
    }
    asked.set(asked.get() + 1);
    let _guard = AskGuard(asked);
    let mut asks = JoinSet::new();
    let addresses: Vec<_> = {
        let members = node.members.borrow();
        let live = members.live_others(clock::now()).take(MAX_ASKED_PEERS);
        live.map(|row| row.peers.clone()).collect()
    };
    for address in addresses {
        let (node, stream) = (Rc::clone(node), stream.to_owned());
        asks.spawn_local(async move { ask_peer(&node, &address, stream).await });
    }
    while let Some(end) = asks.join_next().await {
        if let Ok(Some(origin)) = end {
            return Some(origin);
        }
    }
    None
}

async fn ask_peer(node: &Node, address: &str, stream: String) -> Option<Origin> {
    let peers = &node.records.peers;
    let message = PeerMessage::OriginRequest(OriginRequest { stream });
    match timeout(PEER_TIMEOUT, peers.exchange(address, &message)).await {
        Ok(Ok(PeerMessage::OriginReply(reply))) => reply.origin.map(Origin::from),
        Ok(Ok(_)) => None,
        Ok(Err(_)) | Err(_) => {
            peers.forget(address).await;
            None
        }
    }
}

/// Handles the question of another daemon.
pub fn handle_request(node: &Node, req: &OriginRequest) -> OriginReply {
    let origins = node.origins.borrow();
    let known = origins.remembered(&req.stream).zip(origins.remembered_until(&req.stream));
    let origin = known.map(|(origin, until)| {
        let left_ms = until.saturating_sub(clock::now()).as_millis();
        let left_ms = u64::try_from(left_ms).unwrap_or(u64::MAX);
        origin.clone().into_record(node.store.clock_ms().saturating_add(left_ms))
    });
    OriginReply { origin }
}

/// Counts a stream for which other daemons are being asked.
struct AskGuard<'a>(&'a Cell<usize>);

impl Drop for AskGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Resumed<'_> {
    fn check(self, origin: Origin, source: &'static str) -> Result<Found, &'static str> {
        if origin.request != self.request || origin.service != self.service {
            return Err("the named attempt began the stream of another request");
        }
        Ok((origin.software, source))
    }
}

/// Reads the record of a stream; without one the stream began at the base version. The outer error is
/// that of the store.
async fn look_up(
    node: &Rc<Node>,
    resumed: Resumed<'_>,
    stream: &str,
    base: Option<SoftwareVersion>,
) -> Result<Result<Found, &'static str>, StoreFailure> {
    if let Some(row) = node.store.row(&rows::origin_key(stream)).await? {
        let origin = rows::decode::<OriginRow>(&row).map(Origin::from);
        return Ok(origin
            .ok_or("the record of the stream cannot be read")
            .and_then(|origin| resumed.check(origin, "record")));
    }
    if let Some(base) = base {
        return Ok(Ok((base, "base")));
    }
    let row = node.store.row(&software_key(resumed.service)).await?;
    let row = row.as_ref().and_then(rows::decode::<SoftwareRow>);
    Ok(row.map(|row| (row.base, "base")).ok_or("no stream of the service is known"))
}

/// Removes the expired records of the partitions for which this daemon is responsible.
async fn remove_expired(node: &Rc<Node>) {
    let clock_ms = node.store.clock_ms();
    for part in 0..rows::ORIGIN_PARTS {
        let part = part.to_string();
        let owner = node.members.borrow().owner(clock::now(), &part).cloned();
        if owner.is_none_or(|owner| owner != node.settings().host) {
            continue;
        }
        let Some(page) = node.store.rows(&RowKey::new(rows::ORIGINS, &part, ""), None).await else {
            return;
        };
        let is_expired = |row: &OriginRow| row.until_ms.saturating_add(RECORD_MARGIN_MS) < clock_ms;
        let expired = page
            .rows
            .into_iter()
            .filter(|row| rows::decode::<OriginRow>(row).is_none_or(|row| is_expired(&row)));
        let keys: Vec<_> = expired.map(|row| row.key).collect();
        for keys in keys.chunks(MAX_RECORDS) {
            let end = node.store.transact(&StoreTx::remove(keys.to_vec())).await;
            info!(part, records = keys.len(), outcome:? = end; "stream_records_removed");
        }
    }
}
