//! Which servers serve which model, and the orders that bring them to the named versions.
//!
//! Only the holder of the lease on this duty decides and orders. An order names the number of
//! orders that the server accepted before it, so that one that is carried out late, after newer
//! ones, has no effect.

mod plan;

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_proto::ids::{Fence, ServerId, WeightVersion};
use rustc_hash::FxHashMap;

pub use self::plan::{Demand, Plan};
use crate::{
    backends::{Backend, Backends, HeldModel},
    Now,
};

/// What happens to requests that run while a server changes its weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeMode {
    /// They go on under the new version.
    Continue,
    /// They finish first.
    Finish,
}

/// An order to a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: WeightVersion,
    /// What happens to running requests.
    pub mode: ChangeMode,
    /// Orders that the server has accepted so far; it refuses if the number differs.
    pub accepted: u64,
    /// Fencing number of the lease.
    pub fence: Fence,
}

/// What a server reports of its orders.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderReport {
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders that it has accepted.
    pub accepted: u64,
    /// Models that it holds.
    pub models: Vec<HeldModel>,
}

/// Answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEnd {
    /// The server carries it out.
    Accepted,
    /// What it asks for holds already.
    Holds,
    /// Another order is being carried out, or the number of orders differs.
    Conflict,
    /// The server has seen a higher fencing number.
    Fenced,
    /// The server refused it for another reason.
    Refused,
    /// No answer came; it may be carried out later.
    Unknown,
}

/// What the duty asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum WeightAction {
    /// Ask a server for its report.
    AskReport {
        /// The server.
        server: ServerId,
    },
    /// Send an order.
    Send {
        /// The server.
        server: ServerId,
        /// The order.
        order: Order,
    },
    /// Store the plan for the other daemons.
    SavePlan(Plan),
}

#[derive(Debug, Clone, PartialEq)]
enum Step {
    /// A report was asked for.
    Asked,
    /// An order was sent.
    Ordered,
    /// The server loads; its entry will show the version.
    Loading,
    /// Nothing is sent until the work's `until`.
    Pause,
}

#[derive(Debug, Clone)]
struct Work {
    model: String,
    version: WeightVersion,
    step: Step,
    /// When this step is taken for failed, or a pause ends.
    until: Now,
}

/// Longest wait for the answer to a report or an order.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time of a load before the server is asked again: a few times the usual second.
const LOAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause before a server that conflicts or fails is asked again.
const CONFLICT_PAUSE: Duration = Duration::from_millis(400);
/// One load at a time for this many servers keeps the loads from slowing each other.
const SERVERS_PER_LOAD: usize = 5;

/// How long a load waits after a job arrived, so that the job's samples start before it: a server
/// takes no new requests of a model while it loads.
const START_TIME: Duration = Duration::ZERO;

/// What is known of one model's versions.
#[derive(Debug, Default)]
struct Named {
    version: WeightVersion,
    /// Oldest version that the newest job allows.
    needed: WeightVersion,
    /// When the version was named, or a job arrived, last.
    changed: Now,
}

/// The duty of bringing servers to the named versions.
#[derive(Debug, Default)]
pub struct Weights {
    named: BTreeMap<String, Named>,
    work: FxHashMap<ServerId, Work>,
    plan: Plan,
    demand: Demand,
    /// Fencing number that a server refused; nothing is ordered under it any more.
    refused: Fence,
}

impl Weights {
    /// Takes the version that was named for a model; versions only grow.
    pub fn on_named(&mut self, now: Now, model: &str, version: WeightVersion) {
        let known = self.named.entry(model.to_owned()).or_default();
        if version > known.version {
            known.version = version;
            known.changed = now;
        }
    }

    /// Takes the plan that the holder of the duty stored.
    pub fn on_plan(&mut self, plan: Plan) {
        if plan.fence() >= self.plan.fence() {
            self.plan = plan;
        }
    }

    /// The plan in force.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Counts the work of a job that was accepted, and notes the oldest version that it allows.
    pub fn on_job(&mut self, now: Now, model: &str, tokens: u64, needed: WeightVersion) {
        self.demand.add(now, model, tokens);
        let known = self.named.entry(model.to_owned()).or_default();
        known.needed = known.needed.max(needed);
        known.changed = now;
    }

    /// Starts what is due under the lease with this fencing number.
    pub fn tick(
        &mut self,
        now: Now,
        fence: Fence,
        models: &[String],
        backends: &Backends,
        out: &mut Vec<WeightAction>,
    ) {
        if fence <= self.refused {
            return;
        }
        let servers: Vec<_> =
            backends.all().filter(|s| !s.draining && !s.models.is_empty()).collect();
        if let Some(plan) = self.plan.revise(now, fence, models, &servers, &self.demand) {
            self.plan = plan.clone();
            out.push(WeightAction::SavePlan(plan));
        }
        self.drop_done(now, backends);
        let at_once = servers.len().div_ceil(SERVERS_PER_LOAD);
        for (server, model, version) in self.behind(now, &servers) {
            if self.loads() >= at_once {
                return;
            }
            if self.work.contains_key(&server) {
                continue;
            }
            let work = Work { model, version, step: Step::Asked, until: now + ANSWER_TIMEOUT };
            self.work.insert(server.clone(), work);
            out.push(WeightAction::AskReport { server });
        }
    }

    /// Takes a server's report; `None` if none came.
    pub fn on_report(
        &mut self,
        now: Now,
        fence: Option<Fence>,
        server: &str,
        report: Option<&OrderReport>,
        out: &mut Vec<WeightAction>,
    ) {
        let Some(work) = self.work.get_mut(server).filter(|work| work.step == Step::Asked) else {
            return;
        };
        let (Some(fence), Some(report)) = (fence, report) else {
            work.pause(now);
            return;
        };
        let held = report.models.iter().find(|held| held.name == work.model);
        if report.busy || held.is_none_or(|held| held.version >= work.version) {
            work.pause(now);
            return;
        }
        work.step = Step::Ordered;
        work.until = now + ANSWER_TIMEOUT;
        let order = Order {
            model: work.model.clone(),
            version: work.version,
            mode: ChangeMode::Continue,
            accepted: report.accepted,
            fence,
        };
        out.push(WeightAction::Send { server: server.to_owned(), order });
    }

    /// Takes the answer to an order that was sent under `fence`.
    pub fn on_order(&mut self, now: Now, fence: Fence, server: &str, end: OrderEnd) {
        if end == OrderEnd::Fenced {
            self.refused = self.refused.max(fence);
        }
        let Some(work) = self.work.get_mut(server).filter(|work| work.step == Step::Ordered) else {
            return;
        };
        match end {
            OrderEnd::Accepted => {
                work.step = Step::Loading;
                work.until = now + LOAD_TIMEOUT;
            }
            OrderEnd::Holds
            | OrderEnd::Conflict
            | OrderEnd::Refused
            | OrderEnd::Fenced
            | OrderEnd::Unknown => work.pause(now),
        }
    }

    /// Whether this fencing number may still be used.
    pub fn may_order(&self, fence: Fence) -> bool {
        fence > self.refused
    }

    /// Forgets all work at the end of a term.
    pub fn stop(&mut self) {
        self.work.clear();
    }

    fn loads(&self) -> usize {
        self.work.values().filter(|work| work.step != Step::Pause).count()
    }

    fn drop_done(&mut self, now: Now, backends: &Backends) {
        self.work.retain(|server, work| {
            let held = backends.get(server).and_then(|entry| entry.version(&work.model));
            now < work.until && held.is_some_and(|held| held < work.version)
        });
    }

    /// Servers that the plan gives to a model and that do not hold its named version, those that no
    /// job can use any more first. The others wait until the samples of the last job have started.
    fn behind(&self, now: Now, servers: &[&Backend]) -> Vec<(ServerId, String, WeightVersion)> {
        let mut behind = Vec::new();
        for (model, named) in &self.named {
            for server in servers {
                let planned = self.plan.servers(model).contains(&server.id);
                let held = server.version(model).filter(|held| *held < named.version);
                let (true, Some(held)) = (planned, held) else { continue };
                let useless = held < named.needed;
                if useless || now.saturating_sub(named.changed) >= START_TIME {
                    behind.push((!useless, held, &server.id, model, named.version));
                }
            }
        }
        behind.sort_by_key(|(useful, held, id, ..)| (*useful, *held, *id));
        let owned = |(_, _, id, model, version): (bool, u64, &ServerId, &String, WeightVersion)| {
            (id.clone(), model.clone(), version)
        };
        behind.into_iter().map(owned).collect()
    }
}

impl Work {
    fn pause(&mut self, now: Now) {
        self.step = Step::Pause;
        self.until = now + CONFLICT_PAUSE;
    }
}
