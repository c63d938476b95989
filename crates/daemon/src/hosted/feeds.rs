//! Follows the tables of the store, writes this daemon's heartbeats and takes over jobs.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use buckthornfall_core::store::{FeedEnd, RowKey, RowPage, RowVersion, StoreTx, StoredRow, TxEnd};
use buckthornfall_platform::{deployment, servers, store as wire};
use buckthornfall_proto::{
    ids::ServerId,
    messages::{JobRow, JobState, MemberRow, MemberState, SuspectRow},
};
use log::{info, warn};
use rustc_hash::FxHashSet;
use tokio::time::sleep;

use super::{
    clock,
    node::{KnownJob, Node},
    rows,
};

/// Shortest time between two calls for one table, so that changes come in batches.
const FEED_PACE: Duration = Duration::from_millis(25);
/// The same for the entries of servers, which change all the time.
const SERVER_PACE: Duration = Duration::from_millis(120);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Shortest time over which a rate is counted, in seconds.
const MIN_RATE_TIME: f64 = 0.1;
/// Time between two looks at the owners of jobs.
const OWNER_INTERVAL: Duration = Duration::from_millis(200);
/// Writes of heartbeats whose shortest time counts: one alone may be held up.
const WRITES_KEPT: usize = 16;
/// Time between two looks at whether the store serves this daemon.
const STORE_INTERVAL: Duration = Duration::from_millis(200);

/// A table that is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Table {
    Operator,
    Servers,
    Fleet,
}

impl Table {
    fn name(self) -> &'static str {
        match self {
            Table::Operator => wire::OPERATOR_TABLE,
            Table::Servers => wire::SERVER_TABLE,
            Table::Fleet => rows::FLEET,
        }
    }

    fn pace(self) -> Duration {
        match self {
            Table::Operator | Table::Fleet => FEED_PACE,
            Table::Servers => SERVER_PACE,
        }
    }
}

/// Starts to follow all tables.
pub fn start(node: &Rc<Node>) {
    for table in [Table::Operator, Table::Servers, Table::Fleet] {
        tokio::task::spawn_local(follow(Rc::clone(node), table));
    }
    tokio::task::spawn_local(beat(Rc::clone(node)));
    tokio::task::spawn_local(watch_store(Rc::clone(node)));
    tokio::task::spawn_local(watch_owners(Rc::clone(node)));
}

async fn follow(node: Rc<Node>, table: Table) {
    let mut after: Option<RowVersion> = None;
    loop {
        let Some(version) = after else {
            after = read_whole(&node, table).await;
            if after.is_none() {
                sleep(RETRY_PAUSE).await;
            }
            continue;
        };
        match node.store.feed(table.name(), version).await {
            FeedEnd::Changes(page) => {
                after = Some(page.version.max(version));
                node.members.borrow_mut().on_contact(clock::now());
                page.rows.iter().for_each(|row| on_row(&node, table, row));
                sleep(table.pace()).await;
            }
            FeedEnd::HistoryLost => {
                info!(table = table.name(), after = version; "feed_history_lost");
                after = None;
            }
            FeedEnd::Failed => sleep(RETRY_PAUSE).await,
        }
    }
}

async fn read_whole(node: &Rc<Node>, table: Table) -> Option<RowVersion> {
    let page = node.store.rows(&RowKey::new(table.name(), "", ""), None).await?;
    node.members.borrow_mut().on_contact(clock::now());
    page.rows.iter().for_each(|row| on_row(node, table, row));
    if table == Table::Servers {
        let listed: Vec<ServerId> = page.rows.iter().map(|row| row.key.key.clone()).collect();
        let steady = is_steady(node);
        node.backends.borrow_mut().retain(clock::now(), &listed, steady);
    }
    if table == Table::Fleet {
        forget_removed(node, &page);
    }
    node.tables_read.set(node.tables_read.get().saturating_add(1));
    info!(table = table.name(), rows = page.rows.len(), version = page.version; "table_read");
    Some(page.version)
}

/// Jobs whose rows were removed while the history was lost.
fn forget_removed(node: &Node, page: &RowPage) {
    let listed: FxHashSet<_> =
        page.rows.iter().filter_map(|row| row.key.key.strip_prefix(rows::JOB)).collect();
    let gone: Vec<_> = {
        let jobs = node.jobs.borrow();
        let gone = jobs
            .iter()
            .filter(|(id, job)| job.version <= page.version && !listed.contains(id.as_str()));
        gone.map(|(id, _)| id.clone()).collect()
    };
    gone.iter().for_each(|id| node.forget_job(id));
}

/// Entries that vanish close to a failure of the store may come back.
fn is_steady(node: &Node) -> bool {
    clock::now().saturating_sub(node.store.steady_since())
        > buckthornfall_core::backends::LAPSED_KEPT
}

fn on_row(node: &Rc<Node>, table: Table, row: &StoredRow) {
    match table {
        Table::Operator => on_operator_row(node, row),
        Table::Servers => on_server_row(node, row),
        Table::Fleet => on_fleet_row(node, row),
    }
}

fn on_operator_row(node: &Rc<Node>, row: &StoredRow) {
    let Some(value) = &row.value else { return };
    if row.key.key == deployment::DESIRED_KEY {
        match deployment::desired(value) {
            Ok(desired) => {
                let (version, routes) = (desired.version, desired.routes.len());
                if node.desired.borrow_mut().install(desired) {
                    info!(version, routes, row_version = row.version; "desired_state_installed");
                }
            }
            Err(e) => warn!(row_version = row.version, error:% = e; "desired_state_unreadable"),
        }
    } else if let Some(model) = deployment::version_key(&row.key.key) {
        match deployment::named_version(value) {
            Ok(version) => {
                info!(model, version, row_version = row.version; "version_named");
                let model = model.to_owned();
                node.duty(move |duty, cx| duty.on_named(cx, &model, version));
            }
            Err(e) => warn!(model, row_version = row.version, error:% = e; "version_unreadable"),
        }
    }
}

fn on_server_row(node: &Rc<Node>, row: &StoredRow) {
    let id = &row.key.key;
    let now = clock::now();
    let mut backends = node.backends.borrow_mut();
    let Some(value) = &row.value else {
        let steady = is_steady(node);
        info!(server = id.as_str(), steady; "server_entry_removed");
        backends.remove(now, id, steady);
        return;
    };
    match servers::entry(id, value) {
        Ok(entry) => {
            let known = backends.get(id);
            let changed = known.is_none_or(|known| {
                known.draining != entry.draining
                    || known.models != entry.models
                    || known.started_ms != entry.started_ms
            });
            if changed {
                info!(server = id.as_str(), service = entry.service.as_str(), draining = entry.draining,
                    models:? = entry.models.iter().map(|m| (&m.name, m.version)).collect::<Vec<_>>(),
                    row_version = row.version; "server_entry");
            }
            backends.upsert(entry);
        }
        Err(e) => {
            warn!(server = id.as_str(), row_version = row.version, error:% = e; "server_entry_unreadable");
        }
    }
}

fn on_fleet_row(node: &Rc<Node>, row: &StoredRow) {
    let key = row.key.key.as_str();
    if let Some(host) = key.strip_prefix(rows::MEMBER) {
        if let Some(member) = rows::decode::<MemberRow>(row) {
            node.members.borrow_mut().on_row(clock::now(), host, member);
        }
    } else if let Some(id) = key.strip_prefix(rows::JOB) {
        if row.value.is_none() {
            node.forget_job(id);
        } else if let Some(job) = rows::decode::<JobRow>(row) {
            node.on_job(id, job, row.version);
        }
    } else if let Some(request) = key.strip_prefix(rows::SUSPECT) {
        let fingerprint = u64::from_str_radix(request, 16).ok();
        let suspect = rows::decode::<SuspectRow>(row);
        if let (Some(fingerprint), Some(suspect)) = (fingerprint, suspect) {
            let mut suspects = node.suspects.borrow_mut();
            suspects.on_shared(clock::now(), fingerprint, suspect.crashes);
        }
    } else if key == rows::PLAN {
        if let Some(plan) = rows::decode(row) {
            let plan = buckthornfall_core::weights::Plan::from_row(plan);
            *node.plan.borrow_mut() = plan.clone();
            node.duty(move |duty, _| duty.on_plan(plan));
        }
    }
}

/// Writes this daemon's row again and again.
async fn beat(node: Rc<Node>) {
    let key = RowKey::new(rows::FLEET, "", &format!("{}{}", rows::MEMBER, node.settings.host));
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
            info!(host = node.settings.host.as_str(); "serving");
        }
        if let Some(incarnation) = incarnation {
            beat += 1;
            let since = clock::now().saturating_sub(last_beat).as_secs_f64().max(MIN_RATE_TIME);
            last_beat = clock::now();
            let rate = f64::from(node.requests.take()) / since;
            let expected = beat_interval(&node) + took;
            let row = MemberRow {
                front: node.settings.front.to_string(),
                peers: node.settings.peers.to_string(),
                zone: node.settings.zone.clone(),
                state: node.state.get(),
                incarnation,
                beat,
                beat_ms: u32::try_from(expected.as_millis()).unwrap_or(u32::MAX),
                store_ms: writes.iter().min().copied().unwrap_or(u32::MAX),
                requests_per_s: rate.round() as u32,
            };
            let tx = StoreTx::put(vec![(key.clone(), rows::encode(&row))]);
            node.store.transact(&tx).await;
            took = clock::now().saturating_sub(last_beat);
            writes.truncate(WRITES_KEPT - 1);
            writes.push_front(u32::try_from(took.as_millis()).unwrap_or(u32::MAX));
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
    node.members.borrow().beat_interval(!node.owned_jobs().is_empty())
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
            relays = node.settings.seeds.iter().map(ToString::to_string).collect();
        }
        node.store.set_relays(relays);
        if node.store.is_relaying() {
            let node = Rc::clone(&node);
            tokio::task::spawn_local(async move { node.store.probe().await });
        }
        sleep(STORE_INTERVAL).await;
    }
}

/// Takes over jobs whose owner no longer writes heartbeats.
async fn watch_owners(node: Rc<Node>) {
    loop {
        sleep(OWNER_INTERVAL).await;
        if node.state.get() != MemberState::Serving {
            continue;
        }
        if node.store.is_lost() {
            continue;
        }
        node.servers.sweep();
        node.backends.borrow_mut().expire(node.store.steady_since(), clock::now());
        for (id, row, version) in orphans(&node) {
            let owner = node.settings.host.clone();
            take_over(&node, &id, row, version, owner).await;
        }
    }
}

fn orphans(node: &Node) -> Vec<(String, JobRow, RowVersion)> {
    let now = clock::now();
    let members = node.members.borrow();
    let jobs = node.jobs.borrow();
    let orphan = |row: &JobRow| {
        row.state == JobState::Open
            && row.owner != node.settings.host
            && !members.live(now, &row.owner)
            && members.owner(now, &row.model).is_some_and(|owner| *owner == node.settings.host)
    };
    let found = jobs.iter().filter(|(_, job)| orphan(&job.row));
    found.map(|(id, job)| (id.clone(), job.row.clone(), job.version)).collect()
}

/// Makes `owner` the owner of a job if its row still has `version`.
pub async fn take_over(node: &Rc<Node>, id: &str, row: JobRow, version: RowVersion, owner: String) {
    let last = row.owner.clone();
    let next = JobRow { owner, ..row };
    let tx = StoreTx::replace(Node::job_key(id), version, rows::encode(&next));
    let end = node.store.transact(&tx).await;
    info!(job = id, last, owner = next.owner.as_str(), row_version = version, outcome:? = end; "job_owner_change");
    if let TxEnd::Committed(version) = end {
        node.on_job(id, next, version);
    }
}

/// Gives all jobs of this daemon to others, at a planned stop.
pub async fn hand_over(node: &Rc<Node>) {
    for (id, KnownJob { row, version }) in node.owned_jobs() {
        let next = node.members.borrow().owner(clock::now(), &row.model).cloned();
        if let Some(next) = next.filter(|next| *next != node.settings.host) {
            take_over(node, &id, row, version, next).await;
        }
    }
}
