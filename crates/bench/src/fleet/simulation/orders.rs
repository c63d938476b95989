//! Execution of the actions that weight controllers request: lease calls, order records, reports
//! and orders.

use std::time::Duration;

use buckthornfall_core::{
    lease::LeaseAction,
    table::TableError,
    weights::{Order, OrderEnd, OrderRecord, WeightAction},
    Now,
};
use buckthornfall_proto::{
    ids::Fence,
    messages::{Row, TxnAnswer},
};

use super::{super::controller::host_name, Event, Simulation, ENTRY_DELAY, SERVER_LATENCY};

impl Simulation<'_> {
    fn min_order_gap(&self) -> Duration {
        let cfg = &self.cfg.servers;
        Duration::from_millis(if cfg.check_fences { 0 } else { cfg.turns_ms })
    }

    fn fence(&mut self, host: usize) -> Option<Fence> {
        let min_order_gap = self.min_order_gap();
        let (fence, must_read_records) = self.hosts[host].controller.fence(self.now, min_order_gap);
        if let (Some(fence), true) = (fence, must_read_records) {
            let incarnation = self.hosts[host].incarnation;
            self.schedule(
                self.store_latency(),
                Event::ReadOrderRecords { host, incarnation, fence },
            );
        }
        fence
    }

    pub(super) fn advance_controller(&mut self, host: usize) {
        let mut out = Vec::new();
        self.hosts[host].controller.lease.tick(self.now, true, &mut out);
        self.schedule_lease_actions(host, out);
        let Some(fence) = self.fence(host) else { return };
        let models: Vec<_> = self.trainers.iter().map(|t| t.cfg.model.clone()).collect();
        let daemon = &mut self.hosts[host];
        let mut out = Vec::new();
        daemon.controller.weights.tick(self.now, fence, &models, &daemon.backends, &mut out);
        self.apply_weight_actions(host, out);
    }

    fn schedule_lease_actions(&mut self, host: usize, actions: Vec<LeaseAction>) {
        let incarnation = self.hosts[host].incarnation;
        for action in actions {
            self.schedule(self.store_latency(), Event::Lease { host, incarnation, action });
        }
    }

    pub(super) fn on_lease(&mut self, host: usize, incarnation: u64, action: LeaseAction) {
        let unavailable = self.store_is_unavailable();
        let new_row = || Row { key: "lease/weights".to_owned(), value: String::new(), version: 0 };
        let row = self.store.lease.get_or_insert_with(new_row);
        let mut out = Vec::new();
        let now = self.now;
        match action {
            LeaseAction::Read => {
                let reply = if unavailable { Err(TableError::NoReply) } else { Ok(row.clone()) };
                if self.is_current(host, incarnation) {
                    self.hosts[host].controller.lease.on_read(now, &reply, &mut out);
                }
            }
            LeaseAction::Txn { attempt, txn } => {
                let committed = !unavailable && txn.checks[0].version == row.version;
                if committed {
                    self.store.version += 1;
                    row.value = txn.writes[0].value.clone();
                    row.version = self.store.version;
                }
                let answer = TxnAnswer { committed, rows: vec![row.clone()] };
                let reply = if unavailable { Err(TableError::NotSent) } else { Ok(answer) };
                if self.is_current(host, incarnation) {
                    self.hosts[host].controller.lease.on_txn(now, &attempt, &reply, &mut out);
                }
            }
        }
        if self.is_current(host, incarnation) {
            self.schedule_lease_actions(host, out);
        }
    }

    fn apply_weight_actions(&mut self, host: usize, actions: Vec<WeightAction>) {
        let incarnation = self.hosts[host].incarnation;
        for action in actions {
            match action {
                WeightAction::RequestReport { server } => {
                    let version =
                        self.hosts[host].controller.weights.order_records.version(&server);
                    let server = self.server(&server);
                    let write_started = self.now;
                    let event = Event::Report { host, incarnation, server, write_started, version };
                    self.schedule(self.store_latency(), event);
                }
                WeightAction::Send { server, order } => {
                    let server = self.server(&server);
                    self.schedule(
                        SERVER_LATENCY,
                        Event::Order { host, incarnation, server, order },
                    );
                }
                WeightAction::SavePlan(plan) => {
                    let hosts = self.hosts.iter_mut();
                    hosts.for_each(|host| host.controller.weights.on_plan(plan.clone()));
                }
            }
        }
    }

    pub(super) fn on_report(
        &mut self,
        host: usize,
        incarnation: u64,
        server: usize,
        write_started: Now,
        version: u64,
    ) {
        let now = self.now;
        let id = self.servers[server].id.clone();
        let stored_version = self.store.records.get(&id).map_or(0, |record| record.version);
        if !self.store_is_unavailable() && stored_version == version {
            self.store.version += 1;
            let record = OrderRecord {
                host: host_name(host),
                at: write_started,
                version: self.store.version,
            };
            self.store.records.insert(id.clone(), record);
        }
        if !self.is_current(host, incarnation) {
            return;
        }
        let stored = self.store.records.get(&id).cloned().filter(|_| !self.store_is_unavailable());
        let order_records = &mut self.hosts[host].controller.weights.order_records;
        let may_send = order_records.on_record(now, &id, write_started, stored);
        let is_up = now >= self.servers[server].down_until;
        let report = (may_send && is_up).then(|| self.servers[server].report());
        let fence = self.fence(host);
        let mut out = Vec::new();
        let weights = &mut self.hosts[host].controller.weights;
        weights.on_report(now, fence, &id, report.as_ref(), &mut out);
        self.apply_weight_actions(host, out);
    }

    pub(super) fn on_order(&mut self, host: usize, incarnation: u64, server: usize, order: &Order) {
        let now = self.now;
        let cfg = &self.cfg.servers;
        let loading = self.servers.iter().filter(|server| server.load.is_some()).count();
        let load_slowdown = ((loading + 1) as f64 / cfg.loads_at_once.max(1) as f64).max(1.0);
        let load_time = Duration::from_millis(cfg.load_ms).mul_f64(load_slowdown);
        let target = &mut self.servers[server];
        if let Some((at, sender, _)) = target.last_order {
            let since_last_order = now.saturating_sub(at);
            if sender != host
                && since_last_order < Duration::from_millis(cfg.turns_ms)
                && !cfg.check_fences
            {
                self.violations.push(format!(
                    "orders of two hosts to {} within {since_last_order:?}",
                    target.id
                ));
            }
        }
        let end = if now < target.down_until {
            OrderEnd::Unknown
        } else {
            target.on_order(now, host, order, load_time, cfg.check_fences)
        };
        if end == OrderEnd::Accepted {
            self.weight_loads += 1;
            self.schedule(load_time, Event::WeightsLoaded { server });
        }
        let fence = order.fence;
        self.schedule(SERVER_LATENCY, Event::OrderEnd { host, incarnation, fence, server, end });
    }

    pub(super) fn on_loaded(&mut self, server: usize) {
        if self.servers[server].finish_load(self.now) {
            self.schedule(ENTRY_DELAY, Event::EntryChanged { server });
        }
    }
}
