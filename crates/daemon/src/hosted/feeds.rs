//! Follows the tables of the store.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::{
    accounts::Accounts,
    desired::{Changes, Desired},
    readiness::Table,
    store::{FeedEnd, RowKey, RowPage, RowVersion, StoredRow},
    Now,
};
use buckthornfall_platform::{deployment, servers, store as wire};
use buckthornfall_proto::{
    ids::ServerId,
    messages::{JobRow, LeavingRow, LimitRow, MemberRow, SeenRow, ViewLeaseRow},
};
use log::{info, warn};
use rustc_hash::FxHashSet;
use tokio::time::sleep;

use super::{clock, node::Node, origins, permits, rows, second_copy, suspects};
use crate::tasks;

/// Minimum interval between two polls of one table, so that changes arrive in batches.
pub const FEED_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum interval between two polls of the table of servers, whose entries change constantly.
const SERVER_FEED_INTERVAL: Duration = Duration::from_millis(120);
/// Time for which the store holds a long-poll request for changes of a table.
const LONG_POLL: Duration = Duration::from_millis(1_000);
/// The same for the operator's table where keys that are taken away must be refused in time: each reply
/// confirms the known keys.
const CONFIRMING_LONG_POLL: Duration = Duration::from_millis(400);
/// Part of the cancellation time of jobs for which the store holds a request for changes of their rows.
const JOB_POLL_DIVISOR: u32 = 10;
/// Part of the bound of the desired state for which the store holds a request for changes of it; what is known
/// is up to two such requests old.
const DESIRED_POLL_DIVISOR: u32 = 5;
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);

fn table_name(table: Table) -> &'static str {
    match table {
        Table::Operator => wire::OPERATOR_TABLE,
        Table::Servers => wire::SERVER_TABLE,
        Table::Fleet => rows::FLEET,
    }
}

fn feed_interval(table: Table) -> Duration {
    match table {
        Table::Operator | Table::Fleet => FEED_INTERVAL,
        Table::Servers => SERVER_FEED_INTERVAL,
    }
}

fn long_poll(node: &Node, table: Table) -> Duration {
    match table {
        Table::Operator if node.settings().revocation.is_some() => CONFIRMING_LONG_POLL,
        Table::Operator => LONG_POLL.min(node.settings().desired_bound / DESIRED_POLL_DIVISOR),
        Table::Fleet => LONG_POLL.min(node.settings().cancellation / JOB_POLL_DIVISOR),
        Table::Servers => LONG_POLL,
    }
}

/// Starts following the changes of all tables.
pub fn start(node: &Rc<Node>) {
    for table in Table::ALL {
        node.keep_running(table_name(table), move |node| follow(node, table));
    }
}

async fn follow(node: Rc<Node>, table: Table) {
    let mut after: Option<RowVersion> = None;
    loop {
        let Some(version) = after else {
            after = read_table(&node, table).await;
            if after.is_none() {
                sleep(RETRY_DELAY).await;
            }
            continue;
        };
        let sent_at = clock::now();
        match node.store.feed(table_name(table), version, long_poll(&node, table)).await {
            FeedEnd::Changes(page) => {
                after = Some(page.version.max(version));
                node.members.borrow_mut().on_contact(clock::now());
                page.rows.iter().for_each(|row| apply(&node, table, row));
                on_view(&node, table, sent_at);
                sleep(feed_interval(table)).await;
            }
            FeedEnd::HistoryLost => {
                info!(table = table_name(table), after = version; "feed_history_lost");
                after = None;
            }
            FeedEnd::Failed => sleep(RETRY_DELAY).await,
        }
    }
}

async fn read_table(node: &Rc<Node>, table: Table) -> Option<RowVersion> {
    let sent_at = clock::now();
    let page = read_parts(node, table).await?;
    node.members.borrow_mut().on_contact(clock::now());
    page.rows.iter().for_each(|row| apply(node, table, row));
    on_view(node, table, sent_at);
    if table == Table::Servers {
        let listed: Vec<ServerId> = page.rows.iter().map(|row| row.key.key.clone()).collect();
        let steady = is_steady(node);
        node.backends.borrow_mut().retain(clock::now(), &listed, steady);
    }
    if table == Table::Fleet {
        forget_removed_jobs(node, &page);
    }
    node.readiness.borrow_mut().on_read(table);
    info!(table = table_name(table), rows = page.rows.len(), version = page.version; "table_read");
    Some(page.version)
}

/// Returns the rows of all partitions of a table, as of the first read: the changes after it follow.
async fn read_parts(node: &Node, table: Table) -> Option<RowPage> {
    let parts: &[&str] = if table == Table::Fleet { &rows::FLEET_PARTS } else { &[""] };
    let mut all: Option<RowPage> = None;
    for part in parts {
        let page = node.store.rows(&RowKey::new(table_name(table), part, ""), None).await?;
        match &mut all {
            Some(all) => all.rows.extend(page.rows),
            None => all = Some(page),
        }
    }
    all
}

fn on_view(node: &Rc<Node>, table: Table, sent_at: Now) {
    match table {
        Table::Fleet => {
            node.origins.borrow_mut().on_view(sent_at);
            node.fleet_read_at.set(sent_at);
            node.job_freshness.borrow_mut().on_read(sent_at);
        }
        Table::Operator => {
            node.key_freshness.borrow_mut().on_read(sent_at);
            node.desired_freshness.borrow_mut().on_read(sent_at);
        }
        Table::Servers => {
            node.servers_read_at.set(sent_at);
            suspects::check_entries(node);
        }
    }
}

/// Forgets jobs whose rows were removed in the changes that the store no longer keeps.
fn forget_removed_jobs(node: &Node, page: &RowPage) {
    let listed: FxHashSet<_> =
        page.rows.iter().filter_map(|row| row.key.key.strip_prefix(rows::JOB_PREFIX)).collect();
    let removed: Vec<_> = {
        let jobs = node.jobs.borrow();
        let removed = jobs
            .iter()
            .filter(|(id, job)| job.version <= page.version && !listed.contains(id.as_str()));
        removed.map(|(id, _)| id.clone()).collect()
    };
    removed.iter().for_each(|id| node.forget_job(id));
}

/// Returns whether the last failed store call is longer ago than the grace period of missing
/// entries. Entries that disappear around a failure of the store may reappear.
fn is_steady(node: &Node) -> bool {
    clock::now().saturating_sub(node.store.steady_since())
        > buckthornfall_core::backends::MISSING_ENTRY_GRACE
}

/// Applies a row. One that makes this panic is left out, as it would hold up all others for good.
fn apply(node: &Rc<Node>, table: Table, row: &StoredRow) {
    if tasks::catch(|| on_row(node, table, row)).is_none() {
        let key = row.key.key.as_str();
        warn!(table = table_name(table), key, row_version = row.version; "row_left_out");
        metrics::counter!("rows_left_out_total").increment(1);
    }
}

fn on_row(node: &Rc<Node>, table: Table, row: &StoredRow) {
    fail::fail_point!("row");
    match table {
        Table::Operator => on_operator_row(node, row),
        Table::Servers => on_server_row(node, row),
        Table::Fleet => on_fleet_row(node, row),
    }
}

fn on_operator_row(node: &Rc<Node>, row: &StoredRow) {
    let Some(value) = &row.value else { return };
    if row.key.key == deployment::DESIRED_KEY {
        let desired = deployment::desired(value);
        node.key_freshness.borrow_mut().on_desired_state(desired.is_ok());
        match desired {
            Ok(desired) => install(node, desired, row.version),
            Err(e) => warn!(row_version = row.version, error:% = e; "desired_state_unreadable"),
        }
    } else if let Some(model) = deployment::model_of_version_key(&row.key.key) {
        match deployment::named_version(value) {
            Ok(version) => {
                info!(model, version, row_version = row.version; "version_named");
                let model = model.to_owned();
                let runner_model = model.clone();
                node.with_runner(move |runner, cx| runner.on_named(cx, &runner_model, version));
                node.with_weight_controller(move |controller, cx| {
                    controller.on_version_named(cx, &model, version)
                });
            }
            Err(e) => warn!(model, row_version = row.version, error:% = e; "version_unreadable"),
        }
    }
}

fn install(node: &Node, desired: Desired, row_version: RowVersion) {
    let (version, routes) = (desired.version, desired.routes.len());
    let keys = desired.accounts.as_ref().map(Accounts::keys);
    let problems = desired.problems.clone();
    let earlier = node.desired();
    if !node.desired.borrow_mut().install(desired) {
        return;
    }
    let installed = node.desired().zip(earlier);
    let changes = installed.map(|(desired, earlier)| desired.changes_since(&earlier));
    let Changes { added, changed, dropped, keys_added, keys_dropped } = changes.unwrap_or_default();
    // The change was confirmed after the read before this one was sent.
    info!(version, routes, keys:? = keys, row_version, late_ms:? = node.desired_age_ms(), added:? = added, changed:? = changed,
        dropped:? = dropped, keys_added, keys_dropped; "desired_state_installed");
    for problem in problems {
        warn!(version, problem; "desired_state_problem");
    }
    node.with_runner(|runner, cx| runner.on_desired(cx));
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
            let is_leaving = backends.get(id).is_some_and(|entry| entry.draining);
            let time_left = is_leaving.then(|| servers::time_left(value)).flatten();
            if let Some(time_left) = time_left {
                backends.on_notice(now, id, time_left);
            }
            let Some(entry) = backends.get(id) else { return };
            let changed = before.is_none_or(|before| {
                before.draining != entry.draining
                    || before.models != entry.models
                    || before.started_ms != entry.started_ms
                    || before.software != entry.software
            });
            if changed {
                info!(server = id.as_str(), service = entry.service.as_str(), draining = entry.draining,
                    spot = entry.spot, left_ms:? = time_left.map(|left| left.as_millis()), software = entry.software.as_str(),
                    started_ms = entry.started_ms,
                    models:? = entry.models.iter().map(|m| (&m.name, m.version)).collect::<Vec<_>>(),
                    row_version = row.version; "server_entry");
            }
        }
        Err(e) => {
            // It names no server, as if it were missing.
            warn!(server = id.as_str(), row_version = row.version, error:% = e; "server_entry_unreadable");
            backends.remove(now, id, is_steady(node));
        }
    }
}

fn on_fleet_row(node: &Rc<Node>, row: &StoredRow) {
    let key = row.key.key.as_str();
    if let Some(host) = key.strip_prefix(rows::MEMBER_PREFIX) {
        if let Some(member) = rows::decode::<MemberRow>(row) {
            node.members.borrow_mut().on_row(clock::now(), host, member);
        }
    } else if let Some(id) = key.strip_prefix(rows::JOB_PREFIX) {
        if row.value.is_none() {
            node.forget_job(id);
        } else if let Some(job) = rows::decode::<JobRow>(row) {
            node.on_job(id, job, row.version);
        }
    } else if let Some(name) = key.strip_prefix(rows::CRASHES_PREFIX) {
        suspects::on_row(node, name, row);
    } else if key.starts_with(rows::EARLIER_CRASHES_PREFIX) {
        let mut known = node.suspect_rows.borrow_mut();
        match row.value {
            Some(_) => drop(known.insert(key.to_owned(), clock::now())),
            None => drop(known.remove(key)),
        }
    } else if let Some(server) = key.strip_prefix(rows::LEAVING_PREFIX) {
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
    } else if let Some(server) = key.strip_prefix(rows::LIMIT_PREFIX) {
        node.limit_rows.borrow_mut().remove(server);
        if let Some(limit) = rows::decode::<LimitRow>(row) {
            node.limit_rows.borrow_mut().insert(server.to_owned(), clock::now());
            permits::on_row(node, server, &limit);
        }
    } else if let Some(service) = key.strip_prefix(rows::SOFTWARE_PREFIX) {
        if let Some(software) = rows::decode(row) {
            origins::on_row(node, service, software, row.version);
        }
    } else if let Some(host) = key.strip_prefix(rows::SEEN_PREFIX) {
        if let Some(seen) = rows::decode::<SeenRow>(row) {
            origins::on_seen(node, host, seen);
        }
    } else if let Some(host) = key.strip_prefix(rows::VIEW_LEASE_PREFIX) {
        if let Some(lease) = rows::decode::<ViewLeaseRow>(row) {
            node.members.borrow_mut().on_view_lease(host, &lease);
        }
    } else if let Some(host) = key.strip_prefix(rows::REACH_PREFIX) {
        node.members.borrow_mut().on_reach(host, rows::decode(row));
    } else if let Some(host) = key.strip_prefix(rows::COPIES_PREFIX) {
        if let Some(copies) = rows::decode(row) {
            second_copy::on_row(node, host, copies);
        }
    } else if key == rows::PLAN_KEY {
        if let Some(plan) = rows::decode(row) {
            let plan = buckthornfall_core::weights::Plan::from_row(plan);
            *node.plan.borrow_mut() = plan.clone();
            node.with_weight_controller(move |controller, _| controller.on_plan(plan));
        }
    }
}
