//! The share of the servers that each model gets.
//!
//! A load of weights costs a server's time, so a model is kept on as few servers as its share of
//! the work asks for, and a plan changes as little as possible.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_proto::{
    ids::{Fence, ServerId},
    messages::{PlanEntry, PlanRow},
};

use crate::{backends::Backend, Now};

/// Output tokens that were asked of each model lately.
#[derive(Debug, Default)]
pub struct Demand {
    jobs: Vec<(Now, String, u64)>,
}

/// Time over which demand is counted: a few steps of a trainer.
const DEMAND_WINDOW: Duration = Duration::from_secs(20);

impl Demand {
    /// Counts the expected tokens of a job.
    pub fn add(&mut self, now: Now, model: &str, tokens: u64) {
        self.jobs.retain(|(at, ..)| now.saturating_sub(*at) < DEMAND_WINDOW);
        self.jobs.push((now, model.to_owned(), tokens));
    }

    /// Mean tokens of a job of each model; `None` until each of them had one.
    fn of(&self, models: &[String]) -> Option<Vec<f64>> {
        models
            .iter()
            .map(|model| {
                let tokens: Vec<_> =
                    self.jobs.iter().filter(|job| job.1 == *model).map(|job| job.2).collect();
                let sum: u64 = tokens.iter().sum();
                (!tokens.is_empty()).then(|| sum.max(1) as f64 / tokens.len() as f64)
            })
            .collect()
    }
}

/// Which servers serve which model.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    fence: Fence,
    servers: BTreeMap<String, Vec<ServerId>>,
}

impl Plan {
    /// A plan from its row.
    pub fn from_row(row: PlanRow) -> Plan {
        let servers = row.entries.into_iter().map(|entry| (entry.model, entry.servers)).collect();
        Plan { fence: row.fence, servers }
    }

    /// The plan's row.
    pub fn to_row(&self) -> PlanRow {
        let entry = |(model, servers): (&String, &Vec<ServerId>)| PlanEntry {
            model: model.clone(),
            servers: servers.clone(),
        };
        PlanRow { fence: self.fence, entries: self.servers.iter().map(entry).collect() }
    }

    /// Fencing number of the lease under which it was made.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Servers of a model.
    pub fn servers(&self, model: &str) -> &[ServerId] {
        self.servers.get(model).map_or(&[], Vec::as_slice)
    }

    /// Whether a server is among the half of a model's servers that load a new version first.
    pub fn loads_early(&self, model: &str, server: &str) -> bool {
        let planned = self.servers(model);
        let before = planned.iter().filter(|id| id.as_str() < server).count();
        before < planned.len() / 2
    }

    /// The plan that follows from the servers and the demand of now; `None` if it is this one.
    pub(super) fn revise(
        &self,
        fence: Fence,
        models: &[String],
        servers: &[&Backend],
        demand: &Demand,
    ) -> Option<Plan> {
        if models.is_empty() || servers.is_empty() {
            return None;
        }
        let quotas = self.quotas(models, servers, demand);
        let mut next = Plan { fence, servers: BTreeMap::new() };
        let mut free: Vec<_> = servers.to_vec();
        free.sort_by(|a, b| a.id.cmp(&b.id));
        for (model, quota) in models.iter().zip(&quotas) {
            let known = |server: &&Backend| {
                server.version(model).is_some() && self.servers(model).contains(&server.id)
            };
            let kept: Vec<_> = free.iter().copied().filter(known).take(*quota).collect();
            free.retain(|server| !kept.iter().any(|keep| keep.id == server.id));
            let ids = kept.iter().map(|server| server.id.clone()).collect();
            next.servers.insert(model.clone(), ids);
        }
        for (model, quota) in models.iter().zip(&quotas) {
            let assigned = next.servers.get_mut(model).expect("inserted above");
            while assigned.len() < *quota {
                let best = (0..free.len())
                    .filter(|index| free[*index].version(model).is_some())
                    .max_by_key(|index| (free[*index].version(model), usize::MAX - index));
                let Some(index) = best else { break };
                assigned.push(free.remove(index).id.clone());
            }
            if assigned.is_empty() {
                let shared = servers.iter().filter(|server| server.version(model).is_some());
                assigned.extend(shared.map(|server| server.id.clone()).min());
            }
        }
        (next.servers != self.servers).then_some(next)
    }

    /// Servers for each model by its share of the demand, at least one each while there are enough.
    fn quotas(&self, models: &[String], servers: &[&Backend], demand: &Demand) -> Vec<usize> {
        let alike = vec![1.0; models.len()];
        let demand = demand.of(models).unwrap_or(alike);
        let total: f64 = demand.iter().sum();
        let exact: Vec<_> =
            demand.iter().map(|tokens| tokens / total * servers.len() as f64).collect();
        let current: Vec<_> = models.iter().map(|model| self.servers(model).len()).collect();
        let whole = current.iter().sum::<usize>() == servers.len();
        let near = |(exact, current): (&f64, &usize)| (exact - *current as f64).abs() < KEEP_WITHIN;
        if whole && exact.iter().zip(&current).all(near) {
            return current;
        }
        let mut quotas: Vec<_> =
            exact.iter().map(|exact| (exact.floor() as usize).max(1)).collect();
        while quotas.iter().sum::<usize>() < servers.len() {
            let missing = |index: &usize| exact[*index] - quotas[*index] as f64;
            let most = (0..models.len()).max_by(|a, b| missing(a).total_cmp(&missing(b)));
            quotas[most.expect("there are models")] += 1;
        }
        quotas
    }
}

/// Servers by which a model's share may be off before the plan changes.
const KEEP_WITHIN: f64 = 0.9;
