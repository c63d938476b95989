//! Assignment of models to servers, and the orders that update servers to their target version.
//!
//! Only the holder of the `weights` lease plans and sends orders. An order carries the number of
//! orders that the server had accepted before it, so a delayed order that arrives after newer ones
//! has no effect.

mod order_records;
mod plan;

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_proto::ids::{Fence, ServerId, WeightVersion};
use rustc_hash::FxHashMap;

pub use self::{
    order_records::{OrderRecord, OrderRecords},
    plan::{Demand, Plan},
};
use crate::{
    backends::{Backend, Backends, HeldModel},
    lease::LeaseTimes,
    Now,
};

/// Handling of the requests that are running while a server changes its weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeMode {
    /// Requests continue under the new version.
    Continue,
    /// The change waits until the requests have finished.
    Finish,
}

/// An order to a server to load a version of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// Model name.
    pub model: String,
    /// The version to load.
    pub version: WeightVersion,
    /// Handling of running requests.
    pub mode: ChangeMode,
    /// Number of orders that the server has accepted so far; it refuses the order if its own count
    /// differs.
    pub accepted: u64,
    /// Fencing token of the lease.
    pub fence: Fence,
}

/// A server's report on its orders and models.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderReport {
    /// Whether the server is executing an order.
    pub busy: bool,
    /// Number of orders accepted so far.
    pub accepted: u64,
    /// Loaded models.
    pub models: Vec<HeldModel>,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEnd {
    /// The server executes the order.
    Accepted,
    /// The server is already in the requested state.
    Holds,
    /// Another order is being executed, or the accepted count differs.
    Conflict,
    /// The server has seen a higher fencing token.
    Fenced,
    /// The server refused the order for another reason.
    Refused,
    /// No response arrived; the order may still be executed later.
    Unknown,
}

/// Action requested by a [`WeightController`].
#[derive(Debug, Clone, PartialEq)]
pub enum WeightAction {
    /// Request a report from a server.
    RequestReport {
        /// The server.
        server: ServerId,
    },
    /// Send an order to a server.
    Send {
        /// The server.
        server: ServerId,
        /// The order.
        order: Order,
    },
    /// Store the plan where the other daemons read it.
    SavePlan(Plan),
}

#[derive(Debug, Clone, PartialEq)]
enum UpdateState {
    /// Waiting for the server's report.
    ReportRequested,
    /// Waiting for the response to the order.
    OrderSent,
    /// The server is loading; its entry shows the version when it is done.
    Loading,
    /// Waiting before the next attempt.
    BackingOff,
}

/// Update of one server to a target version.
#[derive(Debug, Clone)]
struct ServerUpdate {
    model: String,
    version: WeightVersion,
    state: UpdateState,
    /// Time at which this state counts as failed, or the backoff ends.
    until: Now,
}

/// Timing of the `weights` lease. The holder stops acting `margin` before its term ends, so that
/// its last order arrives within the term.
pub const LEASE_TIMES: LeaseTimes = LeaseTimes {
    term: Duration::from_millis(2_200),
    margin: Duration::from_millis(700),
    interval: Duration::from_millis(400),
    timeout: Duration::from_millis(1_300),
};

/// Timeout of a report, including the waits for permits of a limited server.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Timeout of an order.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of a load before the server is queried again; a load usually takes about one second.
const LOAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay before a server is queried again after a conflict or a failure.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Servers per concurrent load; concurrent loads slow each other down.
const SERVERS_PER_LOAD: usize = 5;

/// Servers of a model per concurrent load of that model. A server takes no new requests for a model
/// while it loads it, so the others have to serve meanwhile.
const MODEL_SERVERS_PER_LOAD: usize = 2;

/// Target version and oldest usable version of a model.
#[derive(Debug, Default)]
struct ModelVersions {
    /// Newest version named for the model; the target of all its servers.
    target: WeightVersion,
    /// Oldest version allowed by all jobs so far.
    oldest_allowed: WeightVersion,
}

/// Plans which servers serve which model, and updates them to the target versions.
#[derive(Debug, Default)]
pub struct WeightController {
    models: BTreeMap<String, ModelVersions>,
    updates: FxHashMap<ServerId, ServerUpdate>,
    plan: Plan,
    demand: Demand,
    /// Highest fencing token rejected by a server; no orders are sent under it or a lower one.
    rejected_fence: Fence,
    /// Records of the last order to each server.
    pub order_records: OrderRecords,
}

impl WeightController {
    /// Raises the target version of a model; a lower version is ignored.
    pub fn on_named(&mut self, model: &str, version: WeightVersion) {
        let versions = self.models.entry(model.to_owned()).or_default();
        versions.target = versions.target.max(version);
    }

    /// Adopts the plan stored by the lease holder, unless it is from an earlier term.
    pub fn on_plan(&mut self, plan: Plan) {
        if plan.fence() >= self.plan.fence() {
            self.plan = plan;
        }
    }

    /// Returns the current plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Adds an accepted job to the demand, and records the oldest version that it allows.
    pub fn on_job(&mut self, now: Now, model: &str, tokens: u64, oldest_allowed: WeightVersion) {
        self.demand.add(now, model, tokens);
        let versions = self.models.entry(model.to_owned()).or_default();
        versions.oldest_allowed = versions.oldest_allowed.max(oldest_allowed);
    }

    /// Revises the plan and starts due updates under the lease term `fence`.
    pub fn tick(
        &mut self,
        now: Now,
        fence: Fence,
        models: &[String],
        backends: &Backends,
        out: &mut Vec<WeightAction>,
    ) {
        if fence <= self.rejected_fence {
            return;
        }
        let servers: Vec<_> =
            backends.all().filter(|s| !s.draining && !s.models.is_empty()).collect();
        if let Some(plan) = self.plan.revise(fence, models, &servers, &self.demand) {
            self.plan = plan.clone();
            out.push(WeightAction::SavePlan(plan));
        }
        self.remove_finished(now, backends);
        let max_loads = servers.len().div_ceil(SERVERS_PER_LOAD);
        for OutdatedServer { server, model, version, is_usable } in self.outdated_servers(&servers)
        {
            if self.active_loads(None) >= max_loads {
                return;
            }
            let max_model_loads = (self.plan.servers(&model).len() / MODEL_SERVERS_PER_LOAD).max(1);
            let within_model_limit =
                !is_usable || self.active_loads(Some(&model)) < max_model_loads;
            let may_order = self.order_records.may_order(now, &server);
            if self.updates.contains_key(&server) || !within_model_limit || !may_order {
                continue;
            }
            let update = ServerUpdate {
                model,
                version,
                state: UpdateState::ReportRequested,
                until: now + REPORT_TIMEOUT,
            };
            self.updates.insert(server.clone(), update);
            out.push(WeightAction::RequestReport { server });
        }
    }

    /// Handles a server's report; `report` is `None` if the request failed.
    pub fn on_report(
        &mut self,
        now: Now,
        fence: Option<Fence>,
        server: &str,
        report: Option<&OrderReport>,
        out: &mut Vec<WeightAction>,
    ) {
        let Some(update) = self
            .updates
            .get_mut(server)
            .filter(|update| update.state == UpdateState::ReportRequested)
        else {
            return;
        };
        let (Some(fence), Some(report)) = (fence, report) else {
            update.back_off(now);
            return;
        };
        let held = report.models.iter().find(|held| held.name == update.model);
        if report.busy || held.is_none_or(|held| held.version >= update.version) {
            update.back_off(now);
            return;
        }
        update.state = UpdateState::OrderSent;
        update.until = now + ANSWER_TIMEOUT;
        let order = Order {
            model: update.model.clone(),
            version: update.version,
            mode: ChangeMode::Continue,
            accepted: report.accepted,
            fence,
        };
        out.push(WeightAction::Send { server: server.to_owned(), order });
    }

    /// Handles the outcome of an order that was sent under `fence`.
    pub fn on_order(&mut self, now: Now, fence: Fence, server: &str, end: OrderEnd) {
        if end == OrderEnd::Fenced {
            self.rejected_fence = self.rejected_fence.max(fence);
        }
        let Some(update) =
            self.updates.get_mut(server).filter(|update| update.state == UpdateState::OrderSent)
        else {
            return;
        };
        match end {
            OrderEnd::Accepted => {
                update.state = UpdateState::Loading;
                update.until = now + LOAD_TIMEOUT;
            }
            OrderEnd::Holds
            | OrderEnd::Conflict
            | OrderEnd::Refused
            | OrderEnd::Fenced
            | OrderEnd::Unknown => update.back_off(now),
        }
    }

    /// Returns whether no server has rejected this fencing token.
    pub fn may_order(&self, fence: Fence) -> bool {
        fence > self.rejected_fence
    }

    /// Drops all updates at the end of a term.
    pub fn stop(&mut self) {
        self.updates.clear();
    }

    /// Counts the updates in progress, of one model or of all.
    fn active_loads(&self, model: Option<&str>) -> usize {
        let matches_model =
            |update: &&ServerUpdate| model.is_none_or(|model| update.model == model);
        self.updates
            .values()
            .filter(|update| update.state != UpdateState::BackingOff)
            .filter(matches_model)
            .count()
    }

    fn remove_finished(&mut self, now: Now, backends: &Backends) {
        self.updates.retain(|server, update| {
            let held = backends.get(server).and_then(|entry| entry.version(&update.model));
            now < update.until && held.is_some_and(|held| held < update.version)
        });
    }

    /// Returns the servers below the target version of a model that the plan assigns to them: first
    /// those whose version is too old for some job, then by ascending version.
    fn outdated_servers(&self, servers: &[&Backend]) -> Vec<OutdatedServer> {
        let mut outdated = Vec::new();
        for (model, versions) in &self.models {
            for server in servers {
                let planned = self.plan.servers(model).contains(&server.id);
                let held = server.version(model).filter(|held| *held < versions.target);
                let (true, Some(held)) = (planned, held) else { continue };
                let entry = OutdatedServer {
                    server: server.id.clone(),
                    model: model.clone(),
                    version: versions.target,
                    is_usable: held >= versions.oldest_allowed,
                };
                outdated.push((entry.is_usable, held, entry));
            }
        }
        outdated.sort_by(|a, b| (a.0, a.1, &a.2.server).cmp(&(b.0, b.1, &b.2.server)));
        outdated.into_iter().map(|(.., entry)| entry).collect()
    }
}

/// A server below the target version of a model.
struct OutdatedServer {
    server: ServerId,
    model: String,
    version: WeightVersion,
    /// Whether all jobs can use the loaded version.
    is_usable: bool,
}

impl ServerUpdate {
    fn back_off(&mut self, now: Now) {
        self.state = UpdateState::BackingOff;
        self.until = now + RETRY_DELAY;
    }
}
