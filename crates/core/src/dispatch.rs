//! Runs work on backend servers: queueing, server selection, retries, deadlines, server crashes.

mod attempt;
mod recovery;
mod work;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use buckthornfall_proto::{
    ids::{AttemptId, Fingerprint, HostId, ServerId, ServiceName},
    manifest::Manifest,
    messages::EngineState,
};
use rustc_hash::{FxHashMap, FxHashSet};

pub use self::work::{
    AttemptEvent, Class, DispatchAction, Progress, Task, Work, WorkEvent, WorkId,
};
use self::work::{Stage, WorkState};
use crate::{
    admission::{RetryBudget, TokenBucket},
    error::{ErrorKind, Refusal},
    fleet::{Distance, Fleet, Place, ServerState},
    pick::{Candidate, Pick},
    quarantine::{FingerprintStatus, Quarantine, QuarantineAction},
    Now,
};

/// Limits of a dispatcher, from the manifest.
#[derive(Debug, Clone)]
pub struct DispatchLimits {
    /// Maximum number of interactive requests queued per service.
    pub queue_length: usize,
    /// Bandwidth to other regions, in bytes per second.
    pub link_bytes_per_s: u64,
}

/// Counters of a dispatcher.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DispatchStats {
    /// Attempts started.
    pub attempts: u64,
    /// Attempts of a request after its first.
    pub retries: u64,
    /// Events that arrived after the end of their attempt.
    pub late_events: u64,
    /// Crashes of servers that were running work of this daemon.
    pub server_crashes: u64,
    /// Attempts run in isolation, with nothing else on the server.
    pub isolated_runs: u64,
    /// Bytes exchanged with other regions.
    pub link_bytes: u64,
}

/// Attempts per work item.
const MAX_ATTEMPTS: u32 = 4;
/// Queued entries without an eligible server after which a scan of the queue stops.
const QUEUE_SCAN_LIMIT: usize = 64;
/// Timeout between two chunks of a token stream.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of the status report that tells a server crash from a lost connection.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for draining a server before an isolated run.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(30);
/// Load limit for interactive work, as a percentage of a server's slots.
const INTERACTIVE_LOAD_LIMIT_PERCENT: u32 = 125;
/// One in this many slots is reserved for interactive work.
const RESERVED_SLOTS_DIVISOR: u32 = 8;
/// One in this many servers of a service may be isolated for suspects at a time.
const ISOLATED_SERVERS_DIVISOR: usize = 4;
/// Weight of a new sample in the moving average of the slot time.
const SLOT_TIME_EWMA_WEIGHT: f64 = 0.05;
/// Slot time assumed until the first request completes.
const INITIAL_SLOT_TIME_S: f64 = 0.2;

type QueueKey = (Class, u64, WorkId);

#[derive(Debug)]
struct Queue {
    entries: BTreeSet<QueueKey>,
    interactive: usize,
    /// Moving average of the time that an interactive request occupies a slot.
    mean_slot_time_s: f64,
}

impl Default for Queue {
    fn default() -> Queue {
        Queue { entries: BTreeSet::new(), interactive: 0, mean_slot_time_s: INITIAL_SLOT_TIME_S }
    }
}

/// Schedules the work of one daemon on backend servers.
#[derive(Debug)]
pub struct Dispatcher<P> {
    host: HostId,
    /// Read by the owner through `fleet`, changed only by the dispatcher.
    fleet: Fleet,
    pick: P,
    budget: RetryBudget,
    quarantine: Quarantine,
    link: TokenBucket,
    limits: DispatchLimits,
    queues: BTreeMap<ServiceName, Queue>,
    works: FxHashMap<WorkId, WorkState>,
    /// Running attempts; events of other attempts are dropped.
    attempts: FxHashMap<AttemptId, WorkId>,
    next_attempt: u64,
    incarnation: u64,
    stats: DispatchStats,
}

impl<P: Pick> Dispatcher<P> {
    /// Creates a dispatcher without servers. `incarnation` must differ between starts of the host.
    pub fn new(place: Place, incarnation: u64, pick: P) -> Dispatcher<P> {
        let limits = DispatchLimits { queue_length: 0, link_bytes_per_s: 1 };
        Dispatcher {
            host: place.host.clone(),
            fleet: Fleet::new(place),
            pick,
            budget: RetryBudget::new(0),
            quarantine: Quarantine::default(),
            link: TokenBucket::new(Now::ZERO, 1.0, 1.0),
            limits,
            queues: BTreeMap::new(),
            works: FxHashMap::default(),
            attempts: FxHashMap::default(),
            next_attempt: 0,
            incarnation,
            stats: DispatchStats::default(),
        }
    }

    /// Applies a manifest; `daemons` are the live hosts, including this one.
    pub fn configure(
        &mut self,
        now: Now,
        manifest: &Manifest,
        daemons: &[HostId],
        out: &mut Vec<DispatchAction>,
    ) {
        let rate = manifest.limits.region_link_bytes_per_s;
        if rate != self.limits.link_bytes_per_s {
            self.link = TokenBucket::new(now, rate as f64, rate as f64);
        }
        self.limits = DispatchLimits {
            queue_length: manifest.limits.queue_length as usize,
            link_bytes_per_s: rate,
        };
        self.budget.configure(manifest.limits.retry_percent);
        self.fleet.configure(manifest, daemons);
        self.refuse_removed_services(now, out);
        self.start_queued(now, out);
    }

    /// Returns the backend servers.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the counters.
    pub fn stats(&self) -> &DispatchStats {
        &self.stats
    }

    /// Returns the suspect and quarantined fingerprints.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the number of work items that are queued or running.
    pub fn in_flight(&self) -> usize {
        self.works.len()
    }

    /// Returns the queue length of a service.
    pub fn queued(&self, service: &str) -> usize {
        self.queues.get(service).map_or(0, |queue| queue.entries.len())
    }

    /// Merges the suspects and quarantined fingerprints gossiped by another daemon.
    pub fn on_gossip(&mut self, now: Now, quarantined: &[Fingerprint], suspects: &[Fingerprint]) {
        self.quarantine.on_gossip(now, quarantined, suspects);
    }

    /// Sets the servers that are leaving, as reported by the host list and by other daemons.
    pub fn set_leaving(&mut self, leaving: &FxHashSet<ServerId>) {
        self.fleet.set_leaving(leaving);
    }

    /// Accepts work or refuses it immediately; refused work did not run.
    pub fn submit(
        &mut self,
        now: Now,
        work: Work,
        out: &mut Vec<DispatchAction>,
    ) -> Result<(), Refusal> {
        self.check_admission(now, &work)?;
        let id = work.id;
        let suspect = self.status(&work) == FingerprintStatus::Suspect;
        self.works.insert(id, WorkState::new(work));
        self.budget.record_first_attempt();
        if suspect {
            self.request_isolated_run(id, out);
        } else {
            self.enqueue(id);
            self.start_queued(now, out);
        }
        Ok(())
    }

    /// Cancels work and its running attempt.
    pub fn cancel(&mut self, now: Now, id: WorkId, out: &mut Vec<DispatchAction>) {
        if self.works.contains_key(&id) {
            self.stop_attempt(now, id, out);
            self.remove(id);
            self.start_queued(now, out);
        }
    }

    /// Expires deadlines, detects stalled streams, retries grants and starts queued work.
    pub fn tick(&mut self, now: Now, out: &mut Vec<DispatchAction>) {
        self.expire(now, out);
        self.check_stalls(now, out);
        self.retry_grants(now, out);
        self.with_quarantine(now, out, |quarantine, actions| quarantine.tick(now, actions));
        self.start_queued(now, out);
    }

    fn check_admission(&self, now: Now, work: &Work) -> Result<(), Refusal> {
        let service = &work.service;
        let Some(servers) = self.fleet.service(service) else {
            let message = format!("service {service:?} does not exist in the manifest");
            return Err(Refusal::new(ErrorKind::NotFound, message));
        };
        if self.status(work) == FingerprintStatus::Quarantined {
            return Err(self.quarantined_refusal(work));
        }
        if work.class == Class::Rollout {
            return Ok(());
        }
        let listed = servers.iter().filter_map(|server| self.fleet.get(server));
        let usable = listed.filter(|server| server.is_usable(now) || server.is_unknown());
        let slots: u32 = usable.map(|server| server.info.slots).sum();
        if slots == 0 {
            let message = format!("service {service:?} has no server that takes work now");
            return Err(Refusal::new(ErrorKind::NoServer, message));
        }
        self.check_queue(now, work, slots)
    }

    /// Refuses work if the queue is full or its expected wait exceeds the deadline.
    fn check_queue(&self, now: Now, work: &Work, slots: u32) -> Result<(), Refusal> {
        let Some(queue) = self.queues.get(&work.service) else { return Ok(()) };
        let wait = queue.mean_slot_time_s * queue.interactive as f64 / f64::from(slots);
        let wait = Duration::from_secs_f64(wait);
        let full = queue.interactive >= self.limits.queue_length;
        if !full && now + wait < work.deadline {
            return Ok(());
        }
        let message = format!(
            "service {:?} has {} requests waiting at this daemon",
            work.service, queue.interactive
        );
        let refusal = Refusal::new(ErrorKind::Overloaded, message);
        Err(if wait.is_zero() { refusal } else { refusal.retry_after(wait) })
    }

    fn status(&self, work: &Work) -> FingerprintStatus {
        if work.is_subject_to_quarantine() {
            self.quarantine.status(work.fingerprint)
        } else {
            FingerprintStatus::Clear
        }
    }

    fn quarantined_refusal(&self, work: &Work) -> Refusal {
        let message = format!(
            "request {:016x} crashed servers of service {:?} and is not run again",
            work.fingerprint, work.service
        );
        Refusal::new(ErrorKind::Quarantined, message)
    }

    fn enqueue(&mut self, id: WorkId) {
        let Some(state) = self.works.get_mut(&id) else { return };
        state.stage = Stage::Queued;
        let key = (state.work.class, state.work.rank, id);
        let queue = self.queues.entry(state.work.service.clone()).or_default();
        queue.entries.insert(key);
        queue.interactive += usize::from(state.work.class == Class::Interactive);
    }

    fn dequeue(&mut self, id: WorkId) {
        let Some(state) = self.works.get(&id) else { return };
        let Some(queue) = self.queues.get_mut(&state.work.service) else { return };
        if queue.entries.remove(&(state.work.class, state.work.rank, id)) {
            queue.interactive -= usize::from(state.work.class == Class::Interactive);
        }
    }

    fn remove(&mut self, id: WorkId) -> Option<WorkState> {
        self.dequeue(id);
        self.works.remove(&id)
    }

    /// Removes work and reports the refusal to its owner.
    fn fail(&mut self, id: WorkId, refusal: Refusal, out: &mut Vec<DispatchAction>) {
        let Some(state) = self.remove(id) else { return };
        let refusal = state.correct_refusal(refusal);
        let event = WorkEvent::Failed { refusal, progress: state.progress };
        out.push(DispatchAction::Emit { work: id, event });
    }

    /// Starts queued work for which a server has capacity.
    fn start_queued(&mut self, now: Now, out: &mut Vec<DispatchAction>) {
        let nonempty = self.queues.iter().filter(|(_, queue)| !queue.entries.is_empty());
        let services: Vec<_> = nonempty.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.start_queued_for(now, &service, out);
        }
    }

    fn start_queued_for(&mut self, now: Now, service: &str, out: &mut Vec<DispatchAction>) {
        let mut skipped = 0;
        let mut after = None;
        while skipped < QUEUE_SCAN_LIMIT {
            let Some(key) = self.next_queued(service, after) else { return };
            after = Some(key);
            let id = key.2;
            match self.choose(now, id) {
                Some(server) => {
                    self.dequeue(id);
                    self.start(now, id, server, out);
                }
                None => skipped += 1,
            }
        }
    }

    fn next_queued(&self, service: &str, after: Option<QueueKey>) -> Option<QueueKey> {
        use std::ops::Bound::{Excluded, Unbounded};
        let entries = &self.queues.get(service)?.entries;
        let from = after.map_or(Unbounded, Excluded);
        entries.range((from, Unbounded)).next().copied()
    }

    fn choose(&mut self, now: Now, id: WorkId) -> Option<ServerId> {
        let remote = self.link.has_tokens(now);
        let state = self.works.get(&id)?;
        let servers = self.fleet.service(&state.work.service)?;
        let can_run = |server: &&ServerState| {
            server.can_run(now, state.work.adapter())
                && server.isolated_for.is_none()
                && server.version(state.work.adapter()) >= state.work.min_version()
                && has_room(server, state.work.class)
                && (remote || server.distance != Distance::Remote)
                && state.work.avoid.as_ref() != Some(&server.info.name)
        };
        let eligible: Vec<_> =
            servers.iter().filter_map(|s| self.fleet.get(s)).filter(can_run).collect();
        let untried: Vec<_> =
            eligible.iter().filter(|s| !state.tried_servers.contains(&s.info.name)).collect();
        let candidates: Vec<_> = if untried.is_empty() {
            eligible.iter().map(|server| Candidate { server }).collect()
        } else {
            untried.iter().map(|server| Candidate { server }).collect()
        };
        self.pick.pick(&candidates, state.work.prefix)
    }

    fn start(&mut self, now: Now, id: WorkId, server: ServerId, out: &mut Vec<DispatchAction>) {
        let attempt = self.new_attempt();
        self.start_attempt(now, id, attempt, server, false, out);
    }

    fn start_attempt(
        &mut self,
        now: Now,
        id: WorkId,
        attempt: AttemptId,
        server: ServerId,
        isolated: bool,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(known) = self.fleet.get(&server) else { return };
        let address = known.info.address.clone();
        let remote = known.distance == Distance::Remote;
        let Some(state) = self.works.get_mut(&id) else { return };
        state.attempts += 1;
        state.tried_servers.push(server.clone());
        state.stage = Stage::Running {
            attempt: attempt.clone(),
            server: server.clone(),
            started: now,
            progress_at: now,
            isolated,
        };
        let bytes = state.work.bytes() + state.progress.text.len();
        self.stats.attempts += 1;
        self.stats.retries += u64::from(state.attempts > 1);
        self.stats.isolated_runs += u64::from(isolated);
        out.push(DispatchAction::Start {
            attempt: attempt.clone(),
            work: id,
            server: server.clone(),
            address,
            task: state.work.task.clone(),
            service: state.work.service.clone(),
            class: state.work.class,
            resume: state.progress.text.clone().freeze(),
            resume_tokens: state.progress.tokens,
            deadline: state.work.deadline,
        });
        self.attempts.insert(attempt, id);
        self.fleet.started(&server);
        let event = WorkEvent::Started { server };
        out.push(DispatchAction::Emit { work: id, event });
        if remote {
            self.charge_link(now, bytes);
        }
    }

    fn charge_link(&mut self, now: Now, bytes: usize) {
        self.link.charge(now, bytes as f64);
        self.stats.link_bytes += bytes as u64;
    }

    fn new_attempt(&mut self) -> AttemptId {
        self.next_attempt += 1;
        format!("{}.{}.{}", self.host, self.incarnation, self.next_attempt)
    }

    fn expire(&mut self, now: Now, out: &mut Vec<DispatchAction>) {
        let expired: Vec<_> =
            self.works.values().filter(|s| now >= s.work.deadline).map(|s| s.work.id).collect();
        for id in expired {
            let Some(state) = self.works.get(&id) else { continue };
            let service = &state.work.service;
            let refusal = if state.is_running() {
                let message = format!("the answer of service {service:?} was not whole in time");
                Refusal::new(ErrorKind::ExpiredRunning, message)
            } else {
                let message = format!("no server of service {service:?} was free in time");
                Refusal::new(ErrorKind::ExpiredQueued, message)
            };
            self.stop_attempt(now, id, out);
            self.fail(id, refusal, out);
        }
    }

    fn refuse_removed_services(&mut self, now: Now, out: &mut Vec<DispatchAction>) {
        let removed = |state: &&WorkState| self.fleet.service(&state.work.service).is_none();
        let ids: Vec<_> = self
            .works
            .values()
            .filter(removed)
            .filter(|s| !s.is_running())
            .map(|s| s.work.id)
            .collect();
        for id in ids {
            let Some(state) = self.works.get(&id) else { continue };
            let message = format!("service {:?} left the manifest", state.work.service);
            self.stop_attempt(now, id, out);
            self.fail(id, Refusal::new(ErrorKind::NotFound, message), out);
        }
    }

    fn with_quarantine(
        &mut self,
        now: Now,
        out: &mut Vec<DispatchAction>,
        f: impl FnOnce(&mut Quarantine, &mut Vec<QuarantineAction>),
    ) {
        let mut actions = Vec::new();
        f(&mut self.quarantine, &mut actions);
        for action in actions {
            match action {
                QuarantineAction::Answer { attempt, grant, .. } => {
                    self.on_grant(now, &attempt, grant, out);
                }
                table_action => out.push(DispatchAction::Quarantine(table_action)),
            }
        }
    }

    /// Handles a server's status report, either the reply to a `Probe` or unsolicited.
    pub fn on_report(
        &mut self,
        now: Now,
        server: &str,
        state: EngineState,
        out: &mut Vec<DispatchAction>,
    ) {
        if self.fleet.on_report(now, server, state) == crate::fleet::IncarnationChange::Restarted {
            self.on_server_crash(now, server, out);
        } else {
            self.on_connection_lost(now, server, out);
        }
        self.start_queued(now, out);
    }
}

fn has_room(server: &ServerState, class: Class) -> bool {
    let slots = server.info.slots;
    let load = server.load();
    match class {
        Class::Interactive => load < (slots * INTERACTIVE_LOAD_LIMIT_PERCENT).div_ceil(100),
        Class::Rollout => load < (slots - slots / RESERVED_SLOTS_DIVISOR).max(1),
    }
}
