//! Model servers: batches that slow down with the number of requests, loads of weights, faults.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_core::{
    backends::{Backend, HeldModel},
    weights::{Order, OrderEnd, OrderReport},
    Now,
};

use super::experiment;

/// A request that a server runs.
#[derive(Debug, Clone)]
pub struct Running {
    /// Events that were made, and all of the sample.
    pub made: u64,
    pub length: u64,
    /// The model.
    pub model: String,
}

/// A model server.
#[derive(Debug)]
pub struct Server {
    pub id: String,
    /// Version of each model.
    pub versions: BTreeMap<String, u64>,
    /// What it loads, and until when.
    pub loads: Option<(String, u64, Now)>,
    accepted: u64,
    /// Highest fencing number and host of the last order, with when it came.
    pub last_order: Option<(Now, usize, u64)>,
    /// Requests by host and run.
    pub running: BTreeMap<(usize, u64), Running>,
    /// How many times as long an event takes.
    speed: f64,
    pub slow_until: (Now, f64),
    pub fails_until: Now,
    pub down_until: Now,
}

impl Server {
    pub fn new(index: usize, models: &[String], speed: f64) -> Server {
        Server {
            id: format!("s{index:03}"),
            versions: models.iter().map(|model| (model.clone(), 1)).collect(),
            loads: None,
            accepted: 0,
            last_order: None,
            running: BTreeMap::new(),
            speed,
            slow_until: (Now::ZERO, 1.0),
            fails_until: Now::ZERO,
            down_until: Now::ZERO,
        }
    }

    /// The models that it holds.
    fn held(&self) -> Vec<HeldModel> {
        let held =
            |(name, version): (&String, &u64)| HeldModel { name: name.clone(), version: *version };
        self.versions.iter().map(held).collect()
    }

    /// The server's entry.
    pub fn entry(&self, cfg: &experiment::Servers) -> Backend {
        Backend {
            id: self.id.clone(),
            service: super::day::SERVICE.to_owned(),
            addr: "127.0.0.1:1".parse().expect("an address"),
            zone: "zone-a".to_owned(),
            slots: cfg.slots,
            draining: false,
            started_ms: 1,
            models: self.held(),
        }
    }

    /// Whether it takes a request now.
    pub fn takes(&self, now: Now, cfg: &experiment::Servers) -> bool {
        self.loads.is_none() && self.running.len() < cfg.slots as usize && now >= self.down_until
    }

    /// Time of the next event of a request.
    pub fn event_time(&self, now: Now, cfg: &experiment::Servers, jitter: f64) -> Duration {
        let others = self.running.len().saturating_sub(1) as f64;
        let slow = if now < self.slow_until.0 { self.slow_until.1 } else { 1.0 };
        let millis =
            cfg.event_ms * (1.0 + cfg.slowed_by_each * others) * self.speed * slow * jitter;
        Duration::from_secs_f64(millis / 1_000.0)
    }

    pub fn report(&self) -> OrderReport {
        OrderReport { busy: self.loads.is_some(), accepted: self.accepted, models: self.held() }
    }

    /// Takes an order of a host.
    pub fn order(
        &mut self,
        now: Now,
        host: usize,
        order: &Order,
        load: Duration,
        check_fences: bool,
    ) -> OrderEnd {
        if check_fences && self.last_order.is_some_and(|(_, _, fence)| order.fence < fence) {
            return OrderEnd::Fenced;
        }
        self.last_order = Some((now, host, order.fence));
        if self.loads.is_some() || order.accepted != self.accepted {
            return OrderEnd::Conflict;
        }
        self.accepted += 1;
        self.loads = Some((order.model.clone(), order.version, now + load));
        OrderEnd::Accepted
    }

    /// Ends a load that is over; whether one was.
    pub fn finish_load(&mut self, now: Now) -> bool {
        let Some((model, version, until)) = &self.loads else { return false };
        if now < *until {
            return false;
        }
        self.versions.insert(model.clone(), *version);
        self.loads = None;
        true
    }
}
