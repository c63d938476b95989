//! Which servers serve which model, and the orders that bring them to the named versions.
//!
//! Only the holder of the lease on this duty decides and orders. An order names the number of
//! orders that the server accepted before it, so that one that is carried out late, after newer
//! ones, has no effect.

mod plan;
mod turns;

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_proto::ids::{Fence, ServerId, WeightVersion};
use rustc_hash::FxHashMap;

pub use self::{
    plan::{Demand, Plan},
    turns::{Recorded, Turns},
};
use crate::{
    backends::{Backend, Backends, HeldModel},
    lease::LeaseTimes,
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

/// Times of the lease on the duty. A holder that stops acting the margin before its term ends leaves
/// its last order time to arrive.
pub const LEASE_TIMES: LeaseTimes = LeaseTimes {
    term: Duration::from_millis(2_200),
    margin: Duration::from_millis(700),
    interval: Duration::from_millis(400),
    timeout: Duration::from_millis(1_300),
};

/// Longest wait for the answer to a report or an order.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time of a load before the server is asked again: a few times the usual second.
const LOAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause before a server that conflicts or fails is asked again.
const CONFLICT_PAUSE: Duration = Duration::from_millis(400);
/// One load at a time for this many servers keeps the loads from slowing each other.
const SERVERS_PER_LOAD: usize = 5;

/// Of a model's servers, one in this many loads at a time while the others serve: a server takes no
/// new requests of a model while it loads.
const MODEL_SHARE: usize = 2;

/// What is known of one model's versions.
#[derive(Debug, Default)]
struct Named {
    version: WeightVersion,
    /// Oldest version that the newest job allows.
    needed: WeightVersion,
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
    /// Which servers the holder may order.
    pub turns: Turns,
}

impl Weights {
    /// Takes the version that was named for a model; versions only grow.
    pub fn on_named(&mut self, model: &str, version: WeightVersion) {
        let known = self.named.entry(model.to_owned()).or_default();
        known.version = known.version.max(version);
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
        if let Some(plan) = self.plan.revise(fence, models, &servers, &self.demand) {
            self.plan = plan.clone();
            out.push(WeightAction::SavePlan(plan));
        }
        self.drop_done(now, backends);
        let at_once = servers.len().div_ceil(SERVERS_PER_LOAD);
        for Behind { server, model, version, useful } in self.behind(&servers) {
            if self.loads(None) >= at_once {
                return;
            }
            let most = (self.plan.servers(&model).len() / MODEL_SHARE).max(1);
            let serves_enough = !useful || self.loads(Some(&model)) < most;
            let may_order = self.turns.may_order(now, &server);
            if self.work.contains_key(&server) || !serves_enough || !may_order {
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

    /// Loads that go on, of one model or of all.
    fn loads(&self, model: Option<&str>) -> usize {
        let of_model = |work: &&Work| model.is_none_or(|model| work.model == model);
        self.work.values().filter(|work| work.step != Step::Pause).filter(of_model).count()
    }

    fn drop_done(&mut self, now: Now, backends: &Backends) {
        self.work.retain(|server, work| {
            let held = backends.get(server).and_then(|entry| entry.version(&work.model));
            now < work.until && held.is_some_and(|held| held < work.version)
        });
    }

    /// Servers that the plan gives to a model and that do not hold its named version, those that no
    /// job can use any more first, then those with the oldest version.
    fn behind(&self, servers: &[&Backend]) -> Vec<Behind> {
        let mut behind = Vec::new();
        for (model, named) in &self.named {
            for server in servers {
                let planned = self.plan.servers(model).contains(&server.id);
                let held = server.version(model).filter(|held| *held < named.version);
                let (true, Some(held)) = (planned, held) else { continue };
                let work = Behind {
                    server: server.id.clone(),
                    model: model.clone(),
                    version: named.version,
                    useful: held >= named.needed,
                };
                behind.push((work.useful, held, work));
            }
        }
        behind.sort_by(|a, b| (a.0, a.1, &a.2.server).cmp(&(b.0, b.1, &b.2.server)));
        behind.into_iter().map(|(.., work)| work).collect()
    }
}

/// A server without the named version.
struct Behind {
    server: ServerId,
    model: String,
    version: WeightVersion,
    /// Whether the newest job can use the version that it holds.
    useful: bool,
}

impl Work {
    fn pause(&mut self, now: Now) {
        self.step = Step::Pause;
        self.until = now + CONFLICT_PAUSE;
    }
}
