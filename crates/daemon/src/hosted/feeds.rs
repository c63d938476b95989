//! Follows the tables of the store.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::{
    readiness::Table,
    store::{FeedEnd, RowKey, RowPage, RowVersion, StoredRow},
};
use buckthornfall_platform::{deployment, servers, store as wire};
use buckthornfall_proto::{
    ids::ServerId,
    messages::{JobRow, LeavingRow, MemberRow, SuspectRow},
};
use log::{info, warn};
use rustc_hash::FxHashSet;
use tokio::time::sleep;

use super::{clock, node::Node, rows};

/// Shortest time between two calls for one table, so that changes come in batches.
pub const FEED_PACE: Duration = Duration::from_millis(25);
/// The same for the entries of servers, which change all the time.
const SERVER_PACE: Duration = Duration::from_millis(120);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

fn name(table: Table) -> &'static str {
    match table {
        Table::Operator => wire::OPERATOR_TABLE,
        Table::Servers => wire::SERVER_TABLE,
        Table::Fleet => rows::FLEET,
    }
}

fn pace(table: Table) -> Duration {
    match table {
        Table::Operator | Table::Fleet => FEED_PACE,
        Table::Servers => SERVER_PACE,
    }
}

/// Starts to follow all tables.
pub fn start(node: &Rc<Node>) {
    for table in Table::ALL {
        tokio::task::spawn_local(follow(Rc::clone(node), table));
    }
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
        match node.store.feed(name(table), version).await {
            FeedEnd::Changes(page) => {
                after = Some(page.version.max(version));
                node.members.borrow_mut().on_contact(clock::now());
                page.rows.iter().for_each(|row| on_row(&node, table, row));
                sleep(pace(table)).await;
            }
            FeedEnd::HistoryLost => {
                info!(table = name(table), after = version; "feed_history_lost");
                after = None;
            }
            FeedEnd::Failed => sleep(RETRY_PAUSE).await,
        }
    }
}

async fn read_whole(node: &Rc<Node>, table: Table) -> Option<RowVersion> {
    let page = node.store.rows(&RowKey::new(name(table), "", ""), None).await?;
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
    node.readiness.borrow_mut().on_read(table);
    info!(table = name(table), rows = page.rows.len(), version = page.version; "table_read");
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
        > buckthornfall_core::backends::MISSING_ENTRY_GRACE
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
                let of_runner = model.clone();
                node.with_runner(move |runner, cx| runner.on_named(cx, &of_runner, version));
                node.with_weight_controller(move |duty, cx| duty.on_named(cx, &model, version));
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
            let before = backends.get(id).cloned();
            backends.upsert(entry);
            let Some(entry) = backends.get(id) else { return };
            let changed = before.is_none_or(|before| {
                before.draining != entry.draining
                    || before.models != entry.models
                    || before.started_ms != entry.started_ms
            });
            if changed {
                info!(server = id.as_str(), service = entry.service.as_str(), draining = entry.draining,
                    models:? = entry.models.iter().map(|m| (&m.name, m.version)).collect::<Vec<_>>(),
                    row_version = row.version; "server_entry");
            }
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
            suspects.on_shared_count(clock::now(), fingerprint, suspect.crashes);
        }
    } else if let Some(server) = key.strip_prefix(rows::LEAVING) {
        let leaving = rows::decode::<LeavingRow>(row);
        let mut known = node.leaving_rows.borrow_mut();
        match leaving {
            Some(leaving) => {
                known.insert(server.to_owned(), clock::now());
                let mut backends = node.backends.borrow_mut();
                backends.on_leaving(clock::now(), server, leaving.started_ms);
            }
            None => drop(known.remove(server)),
        }
    } else if key == rows::PLAN {
        if let Some(plan) = rows::decode(row) {
            let plan = buckthornfall_core::weights::Plan::from_row(plan);
            *node.plan.borrow_mut() = plan.clone();
            node.with_weight_controller(move |duty, _| duty.on_plan(plan));
        }
    }
}
