//! Assignment of servers to models by demand.
//!
//! Loading weights takes server time, so a model is kept on only as many servers as its share of
//! the demand requires, and each revision of the plan moves as few servers as possible.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_proto::{
    ids::{Fence, ServerId},
    messages::{PlanEntry, PlanRow},
};

use crate::{backends::Backend, Now};

/// Output tokens requested from each model within `DEMAND_WINDOW`.
#[derive(Debug, Default)]
pub struct Demand {
    jobs: Vec<(Now, String, u64)>,
}

/// Window over which demand is counted: a few steps of a trainer.
const DEMAND_WINDOW: Duration = Duration::from_secs(20);

impl Demand {
    /// Adds the expected tokens of a job.
    pub fn add(&mut self, now: Now, model: &str, tokens: u64) {
        self.jobs.retain(|(at, ..)| now.saturating_sub(*at) < DEMAND_WINDOW);
        self.jobs.push((now, model.to_owned(), tokens));
    }

    /// Returns the mean tokens per job of each model; `None` until every model has had a job.
    fn mean_tokens_per_job(&self, models: &[String]) -> Option<Vec<f64>> {
        models
            .iter()
            .map(|model| {
                let tokens: Vec<_> =
                    self.jobs.iter().filter(|job| job.1 == *model).map(|job| job.2).collect();
                let sum: f64 = tokens.iter().map(|tokens| *tokens as f64).sum();
                (!tokens.is_empty()).then(|| sum.max(1.0) / tokens.len() as f64)
            })
            .collect()
    }
}

/// Servers assigned to each model.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    fence: Fence,
    servers: BTreeMap<String, Vec<ServerId>>,
}

impl Plan {
    /// Builds a plan from its stored row.
    pub fn from_row(row: PlanRow) -> Plan {
        let servers = row.entries.into_iter().map(|entry| (entry.model, entry.servers)).collect();
        Plan { fence: row.fence, servers }
    }

    /// Converts the plan to its stored row.
    pub fn to_row(&self) -> PlanRow {
        let entry = |(model, servers): (&String, &Vec<ServerId>)| PlanEntry {
            model: model.clone(),
            servers: servers.clone(),
        };
        PlanRow { fence: self.fence, entries: self.servers.iter().map(entry).collect() }
    }

    /// Returns the fencing token of the lease under which the plan was made.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns the servers assigned to a model.
    pub fn servers(&self, model: &str) -> &[ServerId] {
        self.servers.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns whether a server is in the half of a model's servers that load a new version first.
    pub fn loads_early(&self, model: &str, server: &str) -> bool {
        let planned = self.servers(model);
        let lower_ids = planned.iter().filter(|id| id.as_str() < server).count();
        lower_ids < planned.len() / 2
    }

    /// Returns a plan for the current servers and demand; `None` if the assignment is unchanged, or
    /// if there are no models or no servers.
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
            let is_current = |server: &&Backend| {
                server.version(model).is_some() && self.servers(model).contains(&server.id)
            };
            let kept: Vec<_> = free.iter().copied().filter(is_current).take(*quota).collect();
            free.retain(|server| !kept.iter().any(|keep| keep.id == server.id));
            let ids = kept.iter().map(|server| server.id.clone()).collect();
            next.servers.insert(model.clone(), ids);
        }
        for (model, quota) in models.iter().zip(&quotas) {
            let assigned = next.servers.get_mut(model).expect("the loop above inserts every model");
            while assigned.len() < *quota {
                let newest = (0..free.len())
                    .filter(|index| free[*index].version(model).is_some())
                    .max_by_key(|index| (free[*index].version(model), usize::MAX - index));
                let Some(index) = newest else { break };
                assigned.push(free.remove(index).id.clone());
            }
            if assigned.is_empty() {
                let candidates = servers.iter().filter(|server| server.version(model).is_some());
                assigned.extend(candidates.map(|server| server.id.clone()).min());
            }
        }
        (next.servers != self.servers).then_some(next)
    }

    /// Returns the number of servers for each model by its share of the demand, at least one each
    /// while there are enough servers. The current numbers are kept if they are close enough.
    fn quotas(&self, models: &[String], servers: &[&Backend], demand: &Demand) -> Vec<usize> {
        let equal = vec![1.0; models.len()];
        let demand = demand.mean_tokens_per_job(models).unwrap_or(equal);
        let total: f64 = demand.iter().sum();
        let exact_shares: Vec<_> =
            demand.iter().map(|tokens| tokens / total * servers.len() as f64).collect();
        let current: Vec<_> = models.iter().map(|model| self.servers(model).len()).collect();
        let all_assigned = current.iter().sum::<usize>() == servers.len();
        let is_close = |(share, current): (&f64, &usize)| {
            (share - *current as f64).abs() < QUOTA_TOLERANCE_SERVERS
        };
        if all_assigned && exact_shares.iter().zip(&current).all(is_close) {
            return current;
        }
        let mut quotas: Vec<_> =
            exact_shares.iter().map(|share| (share.floor() as usize).max(1)).collect();
        while quotas.iter().sum::<usize>() < servers.len() {
            let shortfall = |index: &usize| exact_shares[*index] - quotas[*index] as f64;
            let largest = (0..models.len()).max_by(|a, b| shortfall(a).total_cmp(&shortfall(b)));
            quotas[largest.expect("the list of models is not empty")] += 1;
        }
        quotas
    }
}

/// Deviation of a model's exact share from its current number of servers, below which the plan
/// is kept.
const QUOTA_TOLERANCE_SERVERS: f64 = 0.9;
