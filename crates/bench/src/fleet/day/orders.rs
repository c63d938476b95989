//! What the holder of the duty asks for: its lease, records, reports and orders.

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

use super::{super::duty::host_name, Day, Event, ENTRY_LAG, SERVER_CALL};

impl Day<'_> {
    fn turns(&self) -> Duration {
        let cfg = &self.cfg.servers;
        Duration::from_millis(if cfg.check_fences { 0 } else { cfg.turns_ms })
    }

    fn fence(&mut self, host: usize) -> Option<Fence> {
        let turns = self.turns();
        let (fence, reads) = self.hosts[host].duty.fence(self.now, turns);
        if let (Some(fence), true) = (fence, reads) {
            let life = self.hosts[host].life;
            self.push(self.call_time(), Event::Records { host, life, fence });
        }
        fence
    }

    pub(super) fn advance_duty(&mut self, host: usize) {
        let mut out = Vec::new();
        self.hosts[host].duty.lease.tick(self.now, true, &mut out);
        self.send_lease(host, out);
        let Some(fence) = self.fence(host) else { return };
        let models: Vec<_> = self.trainers.iter().map(|t| t.cfg.model.clone()).collect();
        let known = &mut self.hosts[host];
        let mut out = Vec::new();
        known.duty.weights.tick(self.now, fence, &models, &known.backends, &mut out);
        self.act_on_weights(host, out);
    }

    fn send_lease(&mut self, host: usize, actions: Vec<LeaseAction>) {
        let life = self.hosts[host].life;
        for action in actions {
            self.push(self.call_time(), Event::Lease { host, life, action });
        }
    }

    pub(super) fn on_lease(&mut self, host: usize, life: u64, action: LeaseAction) {
        let away = self.store_is_away();
        let empty = || Row { key: "lease/weights".to_owned(), value: String::new(), version: 0 };
        let row = self.store.lease.get_or_insert_with(empty);
        let mut out = Vec::new();
        let now = self.now;
        match action {
            LeaseAction::Read => {
                let reply = if away { Err(TableError::NoReply) } else { Ok(row.clone()) };
                if self.lives(host, life) {
                    self.hosts[host].duty.lease.on_read(now, &reply, &mut out);
                }
            }
            LeaseAction::Txn { attempt, txn } => {
                let committed = !away && txn.checks[0].version == row.version;
                if committed {
                    self.store.version += 1;
                    row.value = txn.writes[0].value.clone();
                    row.version = self.store.version;
                }
                let answer = TxnAnswer { committed, rows: vec![row.clone()] };
                let reply = if away { Err(TableError::NotSent) } else { Ok(answer) };
                if self.lives(host, life) {
                    self.hosts[host].duty.lease.on_txn(now, &attempt, &reply, &mut out);
                }
            }
        }
        if self.lives(host, life) {
            self.send_lease(host, out);
        }
    }

    fn act_on_weights(&mut self, host: usize, actions: Vec<WeightAction>) {
        let life = self.hosts[host].life;
        for action in actions {
            match action {
                WeightAction::RequestReport { server } => {
                    let version = self.hosts[host].duty.weights.order_records.version(&server);
                    let server = self.server(&server);
                    let began = self.now;
                    let event = Event::Report { host, life, server, began, version };
                    self.push(self.call_time(), event);
                }
                WeightAction::Send { server, order } => {
                    let server = self.server(&server);
                    self.push(SERVER_CALL, Event::Order { host, life, server, order });
                }
                WeightAction::SavePlan(plan) => {
                    let others = self.hosts.iter_mut();
                    others.for_each(|host| host.duty.weights.on_plan(plan.clone()));
                }
            }
        }
    }

    pub(super) fn on_report(
        &mut self,
        host: usize,
        life: u64,
        server: usize,
        began: Now,
        version: u64,
    ) {
        let now = self.now;
        let id = self.servers[server].id.clone();
        let known = self.store.records.get(&id).map_or(0, |record| record.version);
        if !self.store_is_away() && known == version {
            self.store.version += 1;
            let record =
                OrderRecord { host: host_name(host), at: began, version: self.store.version };
            self.store.records.insert(id.clone(), record);
        }
        if !self.lives(host, life) {
            return;
        }
        let found = self.store.records.get(&id).cloned().filter(|_| !self.store_is_away());
        let turns = &mut self.hosts[host].duty.weights.order_records;
        let may_send = turns.on_record(now, &id, began, found);
        let answers = now >= self.servers[server].down_until;
        let report = (may_send && answers).then(|| self.servers[server].report());
        let fence = self.fence(host);
        let mut out = Vec::new();
        let weights = &mut self.hosts[host].duty.weights;
        weights.on_report(now, fence, &id, report.as_ref(), &mut out);
        self.act_on_weights(host, out);
    }

    pub(super) fn on_order(&mut self, host: usize, life: u64, server: usize, order: &Order) {
        let now = self.now;
        let cfg = &self.cfg.servers;
        let loading = self.servers.iter().filter(|server| server.loads.is_some()).count();
        let crowd = ((loading + 1) as f64 / cfg.loads_at_once.max(1) as f64).max(1.0);
        let load = Duration::from_millis(cfg.load_ms).mul_f64(crowd);
        let target = &mut self.servers[server];
        if let Some((at, last, _)) = target.last_order {
            let apart = now.saturating_sub(at);
            if last != host && apart < Duration::from_millis(cfg.turns_ms) && !cfg.check_fences {
                self.broken.push(format!("orders of two hosts to {} within {apart:?}", target.id));
            }
        }
        let end = if now < target.down_until {
            OrderEnd::Unknown
        } else {
            target.order(now, host, order, load, cfg.check_fences)
        };
        if end == OrderEnd::Accepted {
            self.loads += 1;
            self.push(load, Event::Loaded { server });
        }
        let fence = order.fence;
        self.push(SERVER_CALL, Event::OrderEnd { host, life, fence, server, end });
    }

    pub(super) fn on_loaded(&mut self, server: usize) {
        if self.servers[server].finish_load(self.now) {
            self.push(ENTRY_LAG, Event::Entry { server });
        }
    }
}
