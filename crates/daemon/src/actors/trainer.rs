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
    serving::{Serving, WorkNews},
    view::{host_of, Identity, View},
    TICK,
};
use crate::{
    io::{Job, JobResult},
    reply::Reply,
};

/// A service-level event that a coordinator saw.
#[derive(Debug, Clone, Copy)]
pub struct LevelEvent {
    /// What it counts for.
    pub indicator: Indicator,
    /// Good events.
    pub good: u64,
    /// All events.
    pub total: u64,
}

/// What the other actors need to know of a role.
#[derive(Debug, Clone)]
pub enum RoleNews {
    /// Who holds the role.
    Holder(LeaseStatus),
    /// Service-level events.
    Levels(LevelEvent),
}

/// The coordinator of one trainer.
pub struct TrainerActor {
    identity: Identity,
    io: Actor<Io>,
    serving: Actor<Serving>,
    trainer: Trainer,
    role: Role,
    view: View,
    coordinator: StepCoordinator<LongestFirst>,
    /// Fencing number under which the steps were taken over; `None` while another coordinates.
    fence: Option<Fence>,
    idle_slots: usize,
    news: Fwd<RoleNews>,
    reported: Option<LeaseStatus>,
    /// Steps that were delivered whole.
    completed: Vec<StepNumber>,
}

/// Whole steps remembered, so that each counts once.
const COMPLETED_KEPT: usize = 16;

impl TrainerActor {
    /// A coordinator that does not hold the lease yet.
    #[allow(clippy::too_many_arguments)]
    pub fn init(
        cx: CX![],
        identity: Identity,
        io: Actor<Io>,
        serving: Actor<Serving>,
        trainer: Trainer,
        view: View,
        namespace: u64,
        news: Fwd<RoleNews>,
    ) -> Option<TrainerActor> {
        let in_force = view.in_force.as_ref()?;
        let objective = &in_force.manifest.objective;
        let owner = identity.unique();
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
            news,
            reported: None,
            completed: Vec::new(),
        })
    }

    /// Takes the configuration and the other daemons.
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

    /// Takes the number of free slots of the trainer's model.
    pub fn set_idle_slots(&mut self, _cx: CX![], idle_slots: usize) {
        self.idle_slots = idle_slots;
    }

    /// Gives the lease back at a planned stop.
    pub fn release(&mut self, cx: CX![]) {
        let mut out = Vec::new();
        self.role.lease.release(self.now(cx.now()), &mut out);
        self.run_lease(cx, out);
        self.stand_down(cx);
    }

    /// Takes a new step.
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

    /// Answers a pull.
    pub fn pull(&mut self, cx: CX![], request: PullRequest, reply: Reply) {
        if let Err(refusal) = self.ensure_coordinator() {
            return reply.refuse(&refusal);
        }
        let now = self.now(cx.now());
        let mut out = Vec::new();
        self.coordinator.close_before(now, request.cursor.step, &mut out);
        match self.coordinator.pull(now, &request, &mut out) {
            Ok(answer) => {
                self.count_levels(now, &request, &answer);
                reply.json(&answer);
            }
            Err(refusal) => reply.refuse(&refusal),
        }
        self.apply(cx, out);
    }

    fn now(&self, instant: Instant) -> Now {
        self.identity.clock.at(instant)
    }

    /// A coordinator whose lease lapsed goes on until it sees another holder: the cursor keeps
    /// delivery exactly once.
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

    fn count_levels(&mut self, now: Now, request: &PullRequest, answer: &PullAnswer) {
        let waits = answer.groups.is_empty() && !answer.complete;
        self.level(Indicator::TrainerIdle, u64::from(!waits), 1);
        let version = request.cursor.weights_version;
        let good_bound = self.trainer.staleness_bound.div_ceil(2);
        let samples = answer.groups.iter().flat_map(|group| &group.samples);
        let (mut good, mut total) = (0, 0);
        for sample in samples {
            let oldest = sample.spans.iter().map(|span| span.version).min().unwrap_or(0);
            let behind = version.saturating_sub(oldest);
            metrics::histogram!("sample_staleness_versions").record(behind as f64);
            good += u64::from(behind <= good_bound);
            total += 1;
        }
        metrics::counter!("samples_delivered_total").increment(total);
        self.level(Indicator::SampleStaleness, good, total);
        let step = request.cursor.step;
        if answer.complete && !self.completed.contains(&step) {
            self.completed.push(step);
            if self.completed.len() > COMPLETED_KEPT {
                self.completed.remove(0);
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
        self.level(Indicator::StepOnTime, u64::from(on_time), 1);
    }

    fn level(&self, indicator: Indicator, good: u64, total: u64) {
        fwd!([self.news], RoleNews::Levels(LevelEvent { indicator, good, total }));
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = self.now(cx.now());
        let wanted = self.role.is_candidate(&self.view, &self.identity.place, None);
        let mut out = Vec::new();
        self.role.lease.tick(now, wanted, &mut out);
        self.run_lease(cx, out);
        self.follow_lease(cx, now);
        if self.fence.is_some() {
            let mut out = Vec::new();
            self.coordinator.tick(now, self.idle_slots, &mut out);
            self.apply(cx, out);
        }
    }

    /// Takes the steps over with a new fencing number, and drops them when another holder shows.
    fn follow_lease(&mut self, cx: CX![], now: Now) {
        let status = self.role.status();
        if status != self.reported {
            if let Some(status) = &status {
                info!(role = status.role.as_str(), holder = status.holder.as_str(), fence = status.fence; "lease_seen");
                fwd!([self.news], RoleNews::Holder(status.clone()));
            }
            self.reported = status;
        }
        let other = self
            .role
            .lease
            .last_holder()
            .is_some_and(|(holder, _)| holder != self.identity.unique());
        if other && self.fence.is_some() {
            self.stand_down(cx);
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

    fn stand_down(&mut self, cx: CX![]) {
        self.fence = None;
        let mut out = Vec::new();
        self.coordinator.cancel_all(&mut out);
        self.apply(cx, out);
    }

    fn run_lease(&mut self, cx: CX![], actions: Vec<buckthornfall_core::lease::LeaseAction>) {
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
        self.run_lease(cx, out);
        self.follow_lease(cx, now);
    }

    fn apply(&mut self, cx: CX![], actions: Vec<StepAction>) {
        for action in actions {
            self.act(cx, action);
        }
    }

    fn act(&mut self, cx: CX![], action: StepAction) {
        match action {
            StepAction::Submit(work) => {
                let owner = fwd_to!([cx], on_work() as (WorkNews));
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
                let ret = ret_some_to!([cx], on_written() as (JobResult));
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

    fn on_work(&mut self, cx: CX![], (work, event): WorkNews) {
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

    fn on_written(&mut self, _cx: CX![], result: JobResult) {
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
