//! Coordinates the steps of one trainer while this daemon holds the trainer's lease.

use std::time::{Duration, Instant};

use buckthornfall_core::{
    error::{ErrorKind, Refusal},
    order::LongestFirst,
    step::{StepAction, StepCoordinator, StepObject},
    Now,
};
use buckthornfall_proto::{
    ids::{Fence, GroupIndex, StepNumber},
    manifest::{Indicator, Trainer},
    messages::{LeaseStatus, PullAnswer, PullRequest, StepSpec},
};
use log::{info, warn};
use stakker::{after, call, fwd, fwd_to, ret_some_to, Actor, Fwd, CX};

use super::{
    io::Io,
    lease::Role,
    serving::{Serving, WorkUpdate},
    view::{host_of, Identity, View},
    TICK_INTERVAL,
};
use crate::{
    io::{Job, JobResult},
    reply::Reply,
};

/// Service-level events of one indicator.
#[derive(Debug, Clone, Copy)]
pub struct ServiceLevelEvent {
    /// The indicator that the events count towards.
    pub indicator: Indicator,
    /// Good events.
    pub good: u64,
    /// All events.
    pub total: u64,
}

/// An event of a leased role, sent to the root actor.
#[derive(Debug, Clone)]
pub enum RoleEvent {
    /// The lease holder has changed.
    Holder(LeaseStatus),
    /// Service-level events were counted.
    ServiceLevel(ServiceLevelEvent),
}

/// Actor for the step coordinator of one trainer.
pub struct TrainerActor {
    identity: Identity,
    io: Actor<Io>,
    serving: Actor<Serving>,
    trainer: Trainer,
    role: Role,
    view: View,
    coordinator: StepCoordinator<LongestFirst>,
    /// Fencing token under which this daemon took over the steps; `None` while another daemon
    /// coordinates them.
    fence: Option<Fence>,
    idle_slots: usize,
    events: Fwd<RoleEvent>,
    last_reported: Option<LeaseStatus>,
    /// Recent steps that were delivered in full, so that each is counted once.
    completed_steps: Vec<StepNumber>,
}

/// Maximum length of `completed_steps`.
const MAX_COMPLETED_STEPS: usize = 16;

impl TrainerActor {
    /// Creates a coordinator that does not hold the lease yet.
    #[allow(clippy::too_many_arguments)]
    pub fn init(
        cx: CX![],
        identity: Identity,
        io: Actor<Io>,
        serving: Actor<Serving>,
        trainer: Trainer,
        view: View,
        namespace: u64,
        events: Fwd<RoleEvent>,
    ) -> Option<TrainerActor> {
        let in_force = view.in_force.as_ref()?;
        let objective = &in_force.manifest.objective;
        let owner = identity.instance_id();
        let coordinator =
            StepCoordinator::new(trainer.clone(), objective, LongestFirst, &owner, namespace);
        let role = Role::new(format!("steps/{}", trainer.name), &identity);
        call!([cx], tick());
        Some(TrainerActor {
            identity,
            io,
            serving,
            trainer,
            role,
            view,
            coordinator,
            fence: None,
            idle_slots: 0,
            events,
            last_reported: None,
            completed_steps: Vec::new(),
        })
    }

    /// Updates the configuration and the state of the other daemons.
    pub fn on_view(&mut self, _cx: CX![], view: View) {
        if let Some(in_force) = &view.in_force {
            let manifest = &in_force.manifest;
            let trainer = manifest.trainers.iter().find(|t| t.name == self.trainer.name);
            if let Some(trainer) = trainer.filter(|trainer| **trainer != self.trainer) {
                self.trainer = trainer.clone();
                self.coordinator.configure(trainer.clone(), &manifest.objective);
            }
        }
        self.view = view;
    }

    /// Updates the number of idle slots of the trainer's model.
    pub fn set_idle_slots(&mut self, _cx: CX![], idle_slots: usize) {
        self.idle_slots = idle_slots;
    }

    /// Releases the lease at a graceful shutdown.
    pub fn release(&mut self, cx: CX![]) {
        let mut out = Vec::new();
        self.role.lease.release(self.now(cx.now()), &mut out);
        self.apply_lease(cx, out);
        self.step_down(cx);
    }

    /// Handles the submission of a step.
    pub fn submit(&mut self, cx: CX![], spec: StepSpec, reply: Reply) {
        if let Err(refusal) = self.ensure_coordinator() {
            return reply.refuse(&refusal);
        }
        let now = self.now(cx.now());
        let step = spec.step;
        let mut out = Vec::new();
        match self.coordinator.submit(now, spec, &mut out) {
            Ok(accepted) => {
                info!(trainer = self.trainer.name.as_str(), step, samples = accepted.samples; "step_accepted");
                reply.json(&accepted);
            }
            Err(refusal) => reply.refuse(&refusal),
        }
        self.apply(cx, out);
    }

    /// Handles a pull of samples.
    pub fn pull(&mut self, cx: CX![], request: PullRequest, reply: Reply) {
        if let Err(refusal) = self.ensure_coordinator() {
            return reply.refuse(&refusal);
        }
        let now = self.now(cx.now());
        let mut out = Vec::new();
        self.coordinator.close_before(now, request.cursor.step, &mut out);
        match self.coordinator.pull(now, &request, &mut out) {
            Ok(answer) => {
                self.record_delivery(now, &request, &answer);
                reply.json(&answer);
            }
            Err(refusal) => reply.refuse(&refusal),
        }
        self.apply(cx, out);
    }

    fn now(&self, instant: Instant) -> Now {
        self.identity.clock.at(instant)
    }

    /// Returns a refusal if this daemon doesn't coordinate the trainer. A coordinator whose lease has
    /// expired continues until it sees another holder, since the trainer's cursor ensures
    /// exactly-once delivery.
    fn ensure_coordinator(&self) -> Result<(), Refusal> {
        if self.fence.is_some() {
            return Ok(());
        }
        let hint = self.view.holders.get(&self.role.name).map(|hint| hint.holder.as_str());
        let holder = self.role.lease.last_holder().map(|(holder, _)| holder).or(hint);
        let host = holder.map(host_of).filter(|host| *host != self.identity.place.host);
        let address = host.and_then(|host| self.view.address(host));
        let message = match host {
            Some(host) => format!("host {host:?} coordinates trainer {:?}", self.trainer.name),
            None => format!("no host coordinates trainer {:?} yet", self.trainer.name),
        };
        Err(Refusal::new(ErrorKind::NotCoordinator, message).use_address(address))
    }

    fn record_delivery(&mut self, now: Now, request: &PullRequest, answer: &PullAnswer) {
        let is_idle = answer.groups.is_empty() && !answer.complete;
        self.record_service_level(Indicator::TrainerIdle, u64::from(!is_idle), 1);
        let version = request.cursor.weights_version;
        let good_staleness = self.trainer.staleness_bound.div_ceil(2);
        let samples = answer.groups.iter().flat_map(|group| &group.samples);
        let (mut good, mut total) = (0, 0);
        for sample in samples {
            let oldest = sample.spans.iter().map(|span| span.version).min().unwrap_or(0);
            let staleness = version.saturating_sub(oldest);
            metrics::histogram!("sample_staleness_versions").record(staleness as f64);
            good += u64::from(staleness <= good_staleness);
            total += 1;
        }
        metrics::counter!("samples_delivered_total").increment(total);
        self.record_service_level(Indicator::SampleStaleness, good, total);
        let step = request.cursor.step;
        if answer.complete && !self.completed_steps.contains(&step) {
            self.completed_steps.push(step);
            if self.completed_steps.len() > MAX_COMPLETED_STEPS {
                self.completed_steps.remove(0);
            }
            self.on_step_complete(now, step);
        }
    }

    fn on_step_complete(&mut self, now: Now, step: StepNumber) {
        let took = self.coordinator.step_age(now, step).unwrap_or_default();
        let stats = self.coordinator.stats();
        info!(
            trainer = self.trainer.name.as_str(), step, ms = took.as_millis() as u64,
            wasted_tokens = stats.wasted_tokens, hedges = stats.hedges, resumes = stats.resumes;
            "step_delivered"
        );
        metrics::histogram!("step_seconds").record(took.as_secs_f64());
        metrics::counter!("wasted_tokens_total", "trainer" => self.trainer.name.clone())
            .absolute(stats.wasted_tokens);
        let on_time = took <= Duration::from_millis(self.trainer.step_deadline_ms);
        self.record_service_level(Indicator::StepOnTime, u64::from(on_time), 1);
    }

    fn record_service_level(&self, indicator: Indicator, good: u64, total: u64) {
        fwd!([self.events], RoleEvent::ServiceLevel(ServiceLevelEvent { indicator, good, total }));
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        let now = self.now(cx.now());
        let is_candidate = self.role.is_candidate(&self.view, &self.identity.place, None);
        let mut out = Vec::new();
        self.role.lease.tick(now, is_candidate, &mut out);
        self.apply_lease(cx, out);
        self.follow_lease(cx, now);
        if self.fence.is_some() {
            let mut out = Vec::new();
            self.coordinator.tick(now, self.idle_slots, &mut out);
            self.apply(cx, out);
        }
    }

    /// Takes over the steps under a new fencing token, and drops them when another holder appears.
    fn follow_lease(&mut self, cx: CX![], now: Now) {
        let status = self.role.status();
        if status != self.last_reported {
            if let Some(status) = &status {
                info!(role = status.role.as_str(), holder = status.holder.as_str(), fence = status.fence; "lease_seen");
                fwd!([self.events], RoleEvent::Holder(status.clone()));
            }
            self.last_reported = status;
        }
        let has_other_holder = self
            .role
            .lease
            .last_holder()
            .is_some_and(|(holder, _)| holder != self.identity.instance_id());
        if has_other_holder && self.fence.is_some() {
            self.step_down(cx);
        }
        if let Some(fence) = self.role.lease.fence(now) {
            if self.fence != Some(fence) {
                self.fence = Some(fence);
                let mut out = Vec::new();
                self.coordinator.recover(&mut out);
                self.apply(cx, out);
            }
        }
    }

    fn step_down(&mut self, cx: CX![]) {
        self.fence = None;
        let mut out = Vec::new();
        self.coordinator.cancel_all(&mut out);
        self.apply(cx, out);
    }

    fn apply_lease(&mut self, cx: CX![], actions: Vec<buckthornfall_core::lease::LeaseAction>) {
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
        self.follow_lease(cx, now);
    }

    fn apply(&mut self, cx: CX![], actions: Vec<StepAction>) {
        for action in actions {
            self.apply_action(cx, action);
        }
    }

    fn apply_action(&mut self, cx: CX![], action: StepAction) {
        match action {
            StepAction::Submit(work) => {
                let owner = fwd_to!([cx], on_work() as (WorkUpdate));
                call!([self.serving], submit(work, owner));
            }
            StepAction::Cancel(work) => call!([self.serving], cancel(work)),
            StepAction::PutObject { object, key, content } => {
                let ret = ret_some_to!([cx], on_put(object, key.clone()) as (JobResult));
                call!([self.io], submit(Job::Put { key, content }, ret));
            }
            StepAction::GetObject { object, key } => {
                let ret = ret_some_to!([cx], on_object(object) as (JobResult));
                call!([self.io], submit(Job::Get(key), ret));
            }
            StepAction::GroupTxn { step, group, txn } => {
                let ret = ret_some_to!([cx], on_group(step, group) as (JobResult));
                call!([self.io], submit(Job::Txn(txn), ret));
            }
            StepAction::GroupRead { step, group, key } => {
                let ret = ret_some_to!([cx], on_group(step, group) as (JobResult));
                call!([self.io], submit(Job::Read(key), ret));
            }
            StepAction::Write(txn) => {
                let ret = ret_some_to!([cx], on_step_written() as (JobResult));
                call!([self.io], submit(Job::Txn(txn), ret));
            }
            StepAction::ScanSteps { prefix } => {
                let ret = ret_some_to!([cx], on_steps() as (JobResult));
                call!([self.io], submit(Job::Scan(prefix), ret));
            }
            StepAction::ScanGroups { step, prefix } => {
                let ret = ret_some_to!([cx], on_groups(step) as (JobResult));
                call!([self.io], submit(Job::Scan(prefix), ret));
            }
        }
    }

    fn on_work(&mut self, cx: CX![], (work, event): WorkUpdate) {
        let mut out = Vec::new();
        self.coordinator.on_work(self.now(cx.now()), work, event, &mut out);
        self.apply(cx, out);
    }

    fn on_put(&mut self, cx: CX![], object: StepObject, key: String, result: JobResult) {
        let JobResult::Put(reply) = result else { return };
        let mut out = Vec::new();
        self.coordinator.on_put(&object, &key, reply, &mut out);
        self.apply(cx, out);
    }

    fn on_object(&mut self, cx: CX![], object: StepObject, result: JobResult) {
        let JobResult::Get(reply) = result else { return };
        let content = reply.ok().flatten();
        let mut out = Vec::new();
        self.coordinator.on_object(self.now(cx.now()), &object, content.as_deref(), &mut out);
        self.apply(cx, out);
    }

    fn on_group(&mut self, cx: CX![], step: StepNumber, group: GroupIndex, result: JobResult) {
        let mut out = Vec::new();
        match result {
            JobResult::Txn(reply) => self.coordinator.on_group_txn(step, group, &reply, &mut out),
            JobResult::Read(reply) => self.coordinator.on_group_read(step, group, &reply, &mut out),
            _ => {}
        }
        self.apply(cx, out);
    }

    fn on_step_written(&mut self, _cx: CX![], result: JobResult) {
        if let JobResult::Txn(Err(_)) = result {
            warn!(trainer = self.trainer.name.as_str(); "step_row_not_written");
        }
    }

    fn on_steps(&mut self, cx: CX![], result: JobResult) {
        let JobResult::Scan(reply) = result else { return };
        let mut out = Vec::new();
        self.coordinator.on_steps(&reply, &mut out);
        self.apply(cx, out);
    }

    fn on_groups(&mut self, cx: CX![], step: StepNumber, result: JobResult) {
        let JobResult::Scan(reply) = result else { return };
        let mut out = Vec::new();
        self.coordinator.on_groups(step, &reply, &mut out);
        self.apply(cx, out);
    }
}
