//! Rolls out new weights of one track in one region while this daemon holds the lease.

use std::time::{Duration, Instant};

use buckthornfall_core::{
    lease::LeaseAction,
    publish::weights_key,
    rollout::{Rollout, RolloutAction, ORDER_TIMEOUT},
    table, Now,
};
use buckthornfall_proto::{
    ids::ServerId,
    messages::{LeaseStatus, WeightsRow},
    track::Track,
};
use log::info;
use rustc_hash::FxHashSet;
use stakker::{after, call, fwd, ret_some_to, Actor, Fwd, CX};

use super::{
    io::Io,
    lease::Role,
    trainer::RoleEvent,
    view::{Identity, View},
    TICK_INTERVAL,
};
use crate::io::{Job, JobResult};

/// Interval between reads of the row of published weights.
const WEIGHTS_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Actor for the rollout of one track in one region.
pub struct RolloutActor {
    identity: Identity,
    io: Actor<Io>,
    track: Track,
    region: String,
    role: Role,
    view: View,
    rollout: Rollout,
    revision: u64,
    next_weights_poll: Now,
    polling: FxHashSet<ServerId>,
    events: Fwd<RoleEvent>,
    last_reported: Option<LeaseStatus>,
}

impl RolloutActor {
    /// Creates a rollout that does not hold the lease yet.
    pub fn init(
        cx: CX![],
        identity: Identity,
        io: Actor<Io>,
        track: Track,
        region: String,
        view: View,
        events: Fwd<RoleEvent>,
    ) -> Option<RolloutActor> {
        let role = Role::new(format!("rollout/{}/{region}", track.name()), &identity);
        call!([cx], tick());
        let mut actor = RolloutActor {
            identity,
            io,
            rollout: Rollout::new(track.clone(), &region),
            track,
            region,
            role,
            view: View::default(),
            revision: 0,
            next_weights_poll: Now::ZERO,
            polling: FxHashSet::default(),
            events,
            last_reported: None,
        };
        actor.on_view(cx, view);
        Some(actor)
    }

    /// Updates the configuration and the state of the other daemons.
    pub fn on_view(&mut self, cx: CX![], view: View) {
        if let Some(in_force) = &view.in_force {
            if in_force.revision != self.revision {
                self.revision = in_force.revision;
                self.rollout.configure(&in_force.manifest);
                let models = &in_force.manifest.models;
                let model = models.iter().find(|model| model.name == self.track.model);
                if let Some(model) = model.filter(|_| self.track.adapter.is_empty()) {
                    self.rollout.on_published(self.now(cx.now()), model.version);
                }
            }
        }
        self.view = view;
    }

    /// Releases the lease at a graceful shutdown.
    pub fn release(&mut self, cx: CX![]) {
        let mut out = Vec::new();
        self.role.lease.release(self.now(cx.now()), &mut out);
        self.apply_lease(cx, out);
    }

    fn now(&self, instant: Instant) -> Now {
        self.identity.clock.at(instant)
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        let now = self.now(cx.now());
        let is_candidate =
            self.role.is_candidate(&self.view, &self.identity.place, Some(&self.region));
        let mut out = Vec::new();
        self.role.lease.tick(now, is_candidate, &mut out);
        self.apply_lease(cx, out);
        self.report_holder();
        let fence = self.role.lease.fence(now);
        if fence.is_none() {
            return;
        }
        self.poll(cx, now);
        let may_order = self.role.lease.time_left(now) > ORDER_TIMEOUT;
        let mut out = Vec::new();
        self.rollout.tick(now, fence.filter(|_| may_order), &mut out);
        self.apply(cx, out);
    }

    fn report_holder(&mut self) {
        let status = self.role.status();
        if status != self.last_reported {
            if let Some(status) = &status {
                info!(role = status.role.as_str(), holder = status.holder.as_str(), fence = status.fence; "lease_seen");
                fwd!([self.events], RoleEvent::Holder(status.clone()));
            }
            self.last_reported = status;
        }
    }

    fn poll(&mut self, cx: CX![], now: Now) {
        if now >= self.next_weights_poll {
            self.next_weights_poll = now + WEIGHTS_POLL_INTERVAL;
            let ret = ret_some_to!([cx], on_weights() as (JobResult));
            call!([self.io], submit(Job::Read(weights_key(&self.track)), ret));
        }
        for server in self.rollout.due_polls(now) {
            if self.polling.insert(server.name.clone()) {
                let ret = ret_some_to!([cx], on_report(server.name) as (JobResult));
                call!([self.io], submit(Job::State(server.address), ret));
            }
        }
    }

    fn on_weights(&mut self, cx: CX![], result: JobResult) {
        let JobResult::Read(Ok(row)) = result else { return };
        let Some(weights) = table::value::<WeightsRow>(&row) else { return };
        if weights.version > self.rollout.wanted() {
            let track = self.track.name();
            info!(track = track.as_str(), region = self.region.as_str(), version = weights.version; "rollout_started");
            self.rollout.on_published(self.now(cx.now()), weights.version);
        }
    }

    fn on_report(&mut self, cx: CX![], server: ServerId, result: JobResult) {
        self.polling.remove(&server);
        if let JobResult::State(Some(state)) = result {
            self.rollout.on_report(self.now(cx.now()), &server, &state);
        }
    }

    fn apply(&mut self, cx: CX![], actions: Vec<RolloutAction>) {
        for action in actions {
            match action {
                RolloutAction::Order { server, address, order } => {
                    let action = order.action.to_string();
                    info!(
                        track = self.track.name().as_str(), server = server.as_str(),
                        action = action.as_str(), version = order.version, fence = order.fence;
                        "order_sent"
                    );
                    metrics::counter!("orders_total", "action" => action).increment(1);
                    let ret = ret_some_to!([cx], on_order(server) as (JobResult));
                    call!([self.io], submit(Job::Order { address, order }, ret));
                }
                RolloutAction::Complete { version, took } => {
                    info!(
                        track = self.track.name().as_str(), region = self.region.as_str(), version,
                        ms = took.as_millis() as u64;
                        "rollout_complete"
                    );
                    metrics::histogram!("rollout_seconds").record(took.as_secs_f64());
                }
            }
        }
    }

    fn on_order(&mut self, cx: CX![], server: ServerId, result: JobResult) {
        if let JobResult::Order(false) = result {
            self.rollout.on_order_failed(self.now(cx.now()), &server);
        }
    }

    fn apply_lease(&mut self, cx: CX![], actions: Vec<LeaseAction>) {
        for lease_job in self.role.jobs(actions) {
            let ret = ret_some_to!([cx], on_lease(lease_job.attempt) as (JobResult));
            call!([self.io], submit(lease_job.job, ret));
        }
    }

    fn on_lease(&mut self, cx: CX![], attempt: String, result: JobResult) {
        let now = self.now(cx.now());
        let mut out = Vec::new();
        match result {
            JobResult::Read(reply) => self.role.lease.on_read(now, &reply, &mut out),
            JobResult::Txn(reply) => self.role.lease.on_txn(now, &attempt, &reply, &mut out),
            _ => {}
        }
        self.apply_lease(cx, out);
    }
}
