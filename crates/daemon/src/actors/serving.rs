//! Runs work on backend servers and polls their reports.

use std::{
    rc::Rc,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use buckthornfall_core::{
    dispatch::{DispatchAction, Dispatcher, Work, WorkEvent, WorkId},
    fleet::ServerState,
    pick::LocalityPick,
    quarantine::QuarantineAction,
    Now,
};
use buckthornfall_proto::{
    ids::{AttemptId, Fingerprint, ServerId, ServiceName},
    messages::{Isolation, ServerStatus, TrackVersion},
};
use log::{info, warn};
use rustc_hash::{FxHashMap, FxHashSet};
use stakker::{
    after, call, fwd, fwd_to, ret_some_to,
    sync::{Channel, ChannelGuard},
    Actor, Fwd, CX,
};

use super::{
    io::Io,
    view::{Identity, View},
    TICK_INTERVAL,
};
use crate::{
    io::{Job, JobResult},
    stream::{AttemptJob, AttemptUpdate, StreamPool},
    telemetry::Telemetry,
};

/// An event of one piece of work, sent to its owner.
pub type WorkUpdate = (WorkId, WorkEvent);

/// Poll interval of a server, multiplied by the number of known servers, so that the rate of polls
/// does not grow with the fleet up to `MAX_POLL_INTERVAL`.
const POLL_INTERVAL_PER_SERVER: Duration = Duration::from_millis(60);
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(500);
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(4);
/// Interval between summaries for the other actors.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(250);
/// Poll interval of a server that is draining for an isolated run.
const ISOLATION_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a server lifts its isolation by itself.
const ISOLATION_TTL: Duration = Duration::from_secs(60);

/// State of the backend servers for the other actors.
#[derive(Debug, Clone, Default)]
pub struct ServingSummary {
    /// All servers known to this daemon.
    pub servers: Vec<ServerStatus>,
    /// Free slots by service.
    pub idle_slots: FxHashMap<ServiceName, usize>,
    /// Servers that any source reports as leaving.
    pub leaving: Vec<ServerId>,
    /// Quarantined fingerprints.
    pub quarantined: Vec<Fingerprint>,
    /// Suspect fingerprints to gossip to other daemons.
    pub suspects: Vec<Fingerprint>,
}

/// Actor for the backend servers of one daemon and the work on them.
pub struct Serving {
    identity: Identity,
    io: Actor<Io>,
    dispatcher: Dispatcher<LocalityPick>,
    streams: StreamPool,
    owners: FxHashMap<WorkId, Fwd<WorkUpdate>>,
    cancel_flags: FxHashMap<AttemptId, Arc<AtomicBool>>,
    /// Servers with a report request in flight.
    polling: FxHashSet<ServerId>,
    next_poll: Now,
    next_summary: Now,
    summary: Fwd<Rc<ServingSummary>>,
    revision: u64,
    alive: Rc<Vec<String>>,
    _guard: ChannelGuard,
}

impl Serving {
    /// Starts the stream threads.
    pub fn init(
        cx: CX![],
        identity: Identity,
        io: Actor<Io>,
        threads: u32,
        telemetry: Telemetry,
        summary: Fwd<Rc<ServingSummary>>,
    ) -> Option<Serving> {
        let updates = fwd_to!([cx], on_attempt_update() as (AttemptUpdate));
        let (updates, guard) = Channel::new(cx, updates);
        let place = identity.place.clone();
        let streams =
            match StreamPool::start(threads, &place.zone, &place.region, &updates, &telemetry) {
                Ok(streams) => streams,
                Err(e) => {
                    cx.fail(e);
                    return None;
                }
            };
        call!([cx], tick());
        Some(Serving {
            dispatcher: Dispatcher::new(place, identity.incarnation, LocalityPick),
            identity,
            io,
            streams,
            owners: FxHashMap::default(),
            cancel_flags: FxHashMap::default(),
            polling: FxHashSet::default(),
            next_poll: Now::ZERO,
            next_summary: Now::ZERO,
            summary,
            revision: 0,
            alive: Rc::new(Vec::new()),
            _guard: guard,
        })
    }

    /// Submits work; its events, including a refusal, are sent to `owner`.
    pub fn submit(&mut self, cx: CX![], work: Work, owner: Fwd<WorkUpdate>) {
        let id = work.id;
        let progress = work.resume.clone();
        let mut out = Vec::new();
        match self.dispatcher.submit(self.now(cx.now()), work, &mut out) {
            Ok(()) => {
                self.owners.insert(id, owner);
            }
            Err(refusal) => fwd!([owner], (id, WorkEvent::Failed { refusal, progress })),
        }
        self.apply(cx, out);
    }

    /// Cancels work; its owner receives no further events.
    pub fn cancel(&mut self, cx: CX![], work: WorkId) {
        self.owners.remove(&work);
        let mut out = Vec::new();
        self.dispatcher.cancel(self.now(cx.now()), work, &mut out);
        self.apply(cx, out);
    }

    /// Updates the configuration and the set of leaving servers.
    pub fn on_view(&mut self, cx: CX![], view: View) {
        let Some(in_force) = &view.in_force else { return };
        let mut out = Vec::new();
        if in_force.revision != self.revision || view.alive != self.alive {
            self.revision = in_force.revision;
            self.alive = Rc::clone(&view.alive);
            let now = self.now(cx.now());
            self.dispatcher.configure(now, &in_force.manifest, &view.alive, &mut out);
        }
        self.dispatcher.set_leaving(&view.leaving_servers);
        self.apply(cx, out);
    }

    /// Merges the quarantined and suspect fingerprints gossiped by another daemon.
    pub fn on_gossip(
        &mut self,
        cx: CX![],
        quarantined: Vec<Fingerprint>,
        suspects: Vec<Fingerprint>,
    ) {
        self.dispatcher.on_gossip(self.now(cx.now()), &quarantined, &suspects);
    }

    fn now(&self, instant: Instant) -> Now {
        self.identity.clock.at(instant)
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        let now = self.now(cx.now());
        let mut out = Vec::new();
        self.dispatcher.tick(now, &mut out);
        self.apply(cx, out);
        if now >= self.next_poll {
            let server_count = self.dispatcher.fleet().iter().count() as u32;
            self.next_poll = now
                + (POLL_INTERVAL_PER_SERVER * server_count)
                    .clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL);
            let servers: Vec<_> =
                self.dispatcher.fleet().iter().map(|server| server.info.name.clone()).collect();
            for server in servers {
                self.poll(cx, server);
            }
        }
        if now >= self.next_summary {
            self.next_summary = now + SUMMARY_INTERVAL;
            fwd!([self.summary], Rc::new(self.summarize(now)));
        }
    }

    fn poll(&mut self, cx: CX![], server: ServerId) {
        let Some(target) = self.dispatcher.fleet().get(&server) else { return };
        if !self.polling.insert(server.clone()) {
            return;
        }
        let job = Job::State(target.info.address.clone());
        let ret = ret_some_to!([cx], on_report(server) as (JobResult));
        call!([self.io], submit(job, ret));
    }

    fn on_report(&mut self, cx: CX![], server: ServerId, result: JobResult) {
        self.polling.remove(&server);
        let JobResult::State(state) = result else { return };
        let now = self.now(cx.now());
        let mut out = Vec::new();
        match state {
            Some(state) => self.dispatcher.on_report(now, &server, state, &mut out),
            None => self.dispatcher.on_unreachable(now, &server, &mut out),
        }
        self.apply(cx, out);
    }

    fn on_attempt_update(&mut self, cx: CX![], (attempt, event): AttemptUpdate) {
        use buckthornfall_core::dispatch::AttemptEvent;
        if !matches!(event, AttemptEvent::Tokens { .. }) {
            self.cancel_flags.remove(&attempt);
        }
        let mut out = Vec::new();
        self.dispatcher.on_attempt(self.now(cx.now()), &attempt, event, &mut out);
        self.apply(cx, out);
    }

    fn apply(&mut self, cx: CX![], actions: Vec<DispatchAction>) {
        for action in actions {
            self.apply_action(cx, action);
        }
    }

    fn apply_action(&mut self, cx: CX![], action: DispatchAction) {
        match action {
            DispatchAction::Start { .. } => self.start(cx, action),
            DispatchAction::Cancel { attempt } => {
                if let Some(cancelled) = self.cancel_flags.remove(&attempt) {
                    cancelled.store(true, Ordering::Relaxed);
                }
            }
            DispatchAction::Emit { work, event } => self.emit(work, event),
            DispatchAction::Probe { server } => self.poll(cx, server),
            DispatchAction::Isolate { server, address, attempt } => {
                info!(server = server.as_str(), attempt = attempt.as_str(); "server_isolated");
                self.isolate(cx, address, attempt);
            }
            DispatchAction::Unisolate { server, address, .. } => {
                info!(server = server.as_str(); "server_released");
                let isolation = Isolation { attempt: String::new(), millis: 0 };
                let ret = ret_some_to!([cx], on_released() as (JobResult));
                call!([self.io], submit(Job::Isolate { address, isolation }, ret));
            }
            DispatchAction::Quarantine(action) => self.quarantine(cx, action),
        }
    }

    fn start(&mut self, cx: CX![], action: DispatchAction) {
        let DispatchAction::Start {
            attempt,
            work,
            server,
            address,
            task,
            service,
            class,
            resume,
            resume_tokens,
            deadline,
        } = action
        else {
            return;
        };
        info!(attempt = attempt.as_str(), work, server = server.as_str(); "attempt_started");
        metrics::counter!("attempts_total", "service" => service.clone()).increment(1);
        let cancelled = Arc::new(AtomicBool::new(false));
        self.cancel_flags.insert(attempt.clone(), Arc::clone(&cancelled));
        let deadline = self.identity.clock.instant(deadline);
        let job = AttemptJob {
            attempt,
            address,
            service,
            task,
            class,
            resume,
            resume_tokens,
            deadline,
            cancelled,
        };
        if let Err(attempt) = self.streams.submit(job) {
            call!([cx], on_queue_full(attempt));
        }
    }

    fn on_queue_full(&mut self, cx: CX![], attempt: AttemptId) {
        use buckthornfall_core::dispatch::AttemptEvent;
        let reason = "all stream threads of this daemon are busy".to_owned();
        self.on_attempt_update(cx, (attempt, AttemptEvent::NotRun { unreachable: false, reason }));
    }

    fn emit(&mut self, work: WorkId, event: WorkEvent) {
        let is_last = !matches!(event, WorkEvent::Started { .. } | WorkEvent::Tokens { .. });
        if let WorkEvent::Failed { refusal, .. } = &event {
            let kind = refusal.kind.rule().name;
            warn!(work, kind, reason = refusal.message.as_str(); "work_failed");
        }
        let Some(owner) = self.owners.get(&work) else { return };
        fwd!([owner], (work, event));
        if is_last {
            self.owners.remove(&work);
        }
    }

    fn isolate(&mut self, cx: CX![], address: String, attempt: AttemptId) {
        let isolation =
            Isolation { attempt: attempt.clone(), millis: ISOLATION_TTL.as_millis() as u64 };
        let job = Job::Isolate { address: address.clone(), isolation };
        let ret = ret_some_to!([cx], on_isolation(address, attempt) as (JobResult));
        call!([self.io], submit(job, ret));
    }

    fn on_isolation(&mut self, cx: CX![], address: String, attempt: AttemptId, result: JobResult) {
        let JobResult::State(state) = result else { return };
        let busy = state.as_ref().is_some_and(|state| state.running + state.queued > 0);
        if busy {
            after!(ISOLATION_POLL_INTERVAL, [cx], isolate(address, attempt));
            return;
        }
        let mut out = Vec::new();
        self.dispatcher.on_isolated(self.now(cx.now()), &attempt, state.is_some(), &mut out);
        self.apply(cx, out);
    }

    fn on_released(&mut self, _cx: CX![], _result: JobResult) {}

    fn quarantine(&mut self, cx: CX![], action: QuarantineAction) {
        match action {
            QuarantineAction::Read { fingerprint } => {
                let job = Job::Read(buckthornfall_core::quarantine::key(fingerprint));
                let ret = ret_some_to!([cx], on_quarantine(fingerprint) as (JobResult));
                call!([self.io], submit(job, ret));
            }
            QuarantineAction::Txn { fingerprint, txn } => {
                let ret = ret_some_to!([cx], on_quarantine(fingerprint) as (JobResult));
                call!([self.io], submit(Job::Txn(txn), ret));
            }
            QuarantineAction::Answer { .. } => {}
        }
    }

    fn on_quarantine(&mut self, cx: CX![], fingerprint: Fingerprint, result: JobResult) {
        let now = self.now(cx.now());
        let mut out = Vec::new();
        match result {
            JobResult::Read(reply) => {
                self.dispatcher.on_quarantine_read(now, fingerprint, &reply, &mut out);
            }
            JobResult::Txn(reply) => {
                self.dispatcher.on_quarantine_txn(now, fingerprint, &reply, &mut out);
            }
            _ => {}
        }
        self.apply(cx, out);
    }

    fn summarize(&self, now: Now) -> ServingSummary {
        let fleet = self.dispatcher.fleet();
        let mut idle_slots: FxHashMap<ServiceName, usize> = FxHashMap::default();
        for server in fleet.iter().filter(|server| server.is_usable(now)) {
            let free = server.info.slots.saturating_sub(server.load()) as usize;
            *idle_slots.entry(server.service.clone()).or_default() += free;
        }
        for (service, idle) in &mut idle_slots {
            *idle = idle.saturating_sub(self.dispatcher.queued(service));
        }
        let servers = fleet.iter().map(|server| ServerStatus {
            name: server.info.name.clone(),
            model: server.service.clone(),
            state: server.describe(now).to_owned(),
            versions: versions(server),
            in_flight: server.in_flight,
        });
        let stats = self.dispatcher.stats();
        metrics::gauge!("work_in_flight").set(self.dispatcher.in_flight() as f64);
        metrics::counter!("server_deaths_total").absolute(stats.server_crashes);
        metrics::counter!("retries_total").absolute(stats.retries);
        metrics::counter!("late_events_total").absolute(stats.late_events);
        metrics::counter!("alone_runs_total").absolute(stats.isolated_runs);
        metrics::counter!("region_link_bytes_total").absolute(stats.link_bytes);
        ServingSummary {
            servers: servers.collect(),
            idle_slots,
            leaving: fleet.leaving(),
            quarantined: self.dispatcher.quarantine().quarantined().collect(),
            suspects: self.dispatcher.quarantine().gossiped_suspects(now),
        }
    }
}

fn versions(server: &ServerState) -> Vec<TrackVersion> {
    let tracks = server.report.iter().flat_map(|report| &report.state.tracks);
    tracks
        .map(|track| TrackVersion { adapter: track.adapter.clone(), version: track.active })
        .collect()
}
