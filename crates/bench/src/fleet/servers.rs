//! Simulated model servers: batches that slow down with their size, weight loads, faults.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_core::{
    backends::{Backend, HeldModel},
    weights::{Order, OrderEnd, OrderReport},
    Now,
};

use super::{experiment, simulation::ServerLimit};

/// A request running on a server.
#[derive(Debug, Clone)]
pub struct RunningRequest {
    /// Number of events generated so far.
    pub generated: u64,
    /// Number of events of the complete sample.
    pub length: u64,
    pub model: String,
}

/// A simulated model server.
#[derive(Debug)]
pub struct Server {
    pub id: String,
    /// Loaded weight version of each model.
    pub versions: BTreeMap<String, u64>,
    /// Model and version that are being loaded, and the end of the load.
    pub load: Option<(String, u64, Now)>,
    /// Number of orders accepted.
    accepted: u64,
    /// Arrival time, host and fencing token of the last order that was not refused as `Fenced`.
    pub last_order: Option<(Now, usize, u64)>,
    /// Running requests by host and run.
    pub running: BTreeMap<(usize, u64), RunningRequest>,
    /// Factor on the time of an event.
    slowdown: f64,
    /// End of the last slowness fault, and its factor on the time of an event.
    pub slow_fault: (Now, f64),
    pub failing_until: Now,
    pub down_until: Now,
    pub limit: ServerLimit,
}

impl Server {
    pub fn new(index: usize, models: &[String], slowdown: f64) -> Server {
        Server {
            id: format!("s{index:03}"),
            versions: models.iter().map(|model| (model.clone(), 1)).collect(),
            load: None,
            accepted: 0,
            last_order: None,
            running: BTreeMap::new(),
            slowdown,
            slow_fault: (Now::ZERO, 1.0),
            failing_until: Now::ZERO,
            down_until: Now::ZERO,
            limit: ServerLimit::default(),
        }
    }

    /// Returns the loaded models.
    fn held_models(&self) -> Vec<HeldModel> {
        let held =
            |(name, version): (&String, &u64)| HeldModel { name: name.clone(), version: *version };
        self.versions.iter().map(held).collect()
    }

    /// Returns the server's entry.
    pub fn entry(&self, cfg: &experiment::Servers) -> Backend {
        Backend {
            id: self.id.clone(),
            service: super::simulation::SERVICE.to_owned(),
            addr: "127.0.0.1:1".parse().expect("invalid address"),
            zone: "zone-a".to_owned(),
            slots: cfg.slots,
            draining: false,
            started_ms: 1,
            spot: false,
            software: String::new(),
            models: self.held_models(),
        }
    }

    /// Returns whether the server accepts a request.
    pub fn accepts_request(&self, now: Now, cfg: &experiment::Servers) -> bool {
        self.load.is_none() && self.running.len() < cfg.slots as usize && now >= self.down_until
    }

    /// Returns the time until a request's next event.
    pub fn event_time(&self, now: Now, cfg: &experiment::Servers, jitter: f64) -> Duration {
        let others = self.running.len().saturating_sub(1) as f64;
        let fault_slowdown = if now < self.slow_fault.0 { self.slow_fault.1 } else { 1.0 };
        let event_ms = cfg.event_ms
            * (1.0 + cfg.slowed_by_each * others)
            * self.slowdown
            * fault_slowdown
            * jitter;
        Duration::from_secs_f64(event_ms / 1_000.0)
    }

    /// Returns the server's report on its orders and models.
    pub fn report(&self) -> OrderReport {
        OrderReport {
            busy: self.load.is_some(),
            accepted: self.accepted,
            models: self.held_models(),
        }
    }

    /// Handles an order from a host.
    pub fn on_order(
        &mut self,
        now: Now,
        host: usize,
        order: &Order,
        load_time: Duration,
        check_fences: bool,
    ) -> OrderEnd {
        if check_fences && self.last_order.is_some_and(|(_, _, fence)| order.fence < fence) {
            return OrderEnd::Fenced;
        }
        self.last_order = Some((now, host, order.fence));
        if self.load.is_some() || order.accepted != self.accepted {
            return OrderEnd::Conflict;
        }
        self.accepted += 1;
        self.load = Some((order.model.clone(), order.version, now + load_time));
        OrderEnd::Accepted
    }

    /// Completes a weight load that is over at `now`. Returns whether there was one.
    pub fn finish_load(&mut self, now: Now) -> bool {
        let Some((model, version, until)) = &self.load else { return false };
        if now < *until {
            return false;
        }
        self.versions.insert(model.clone(), *version);
        self.load = None;
        true
    }
}
