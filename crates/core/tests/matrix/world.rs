//! Discrete-event simulation of hosts, fakes and clients in virtual time.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use buckthornfall_core::{
    dispatch::{AttemptEvent, Class, Task},
    Now,
};
use buckthornfall_proto::{
    digest::sha256_hex,
    ids::{AttemptId, Revision},
    manifest::Manifest,
    messages::{
        EngineOrder, EngineState, Gossip, HostListAnswer, ManifestPush, ManifestRow, OrderAction,
        ScoreAnswer, Txn, TxnAnswer,
    },
};
use buckthornfall_standins::{engine::text, table::Rows};
use bytes::Bytes;
use rand::{rngs::SmallRng, Rng, SeedableRng};

use crate::{
    clients::{
        Answer, CallerRequest, CallerSim, RequestKey, RunLog, TrainerAnswer, TrainerRequest,
        TrainerSim, POISON,
    },
    fakes::{EngineRun, FakeEngine, FakeService},
    host::{listed_host, Host},
    plan::{Fault, Mutation, Step, Trigger},
};

pub const HOSTS: usize = 3;
pub const ENGINES: usize = 4;
/// Virtual time at which a run ends; all faults have healed long before.
const HORIZON: Now = Duration::from_secs(240);
const TICK: Duration = Duration::from_millis(100);
const NETWORK_DELAY: Duration = Duration::from_millis(2);
const TOKEN_TIME: Duration = Duration::from_millis(20);
const TOKENS_PER_EVENT: u32 = 2;
const LATE_DELAY: Duration = Duration::from_secs(3);
const REORDER_DELAY: Duration = Duration::from_millis(60);
const IO_TIMEOUT: Duration = Duration::from_millis(1500);
const STORE_FAULT_DURATION: Duration = Duration::from_secs(12);
const SLOW_STORE_DELAY: Duration = Duration::from_millis(1200);
const HOST_PAUSE_DURATION: Duration = Duration::from_secs(12);
const NETWORK_FAULT_DURATION: Duration = Duration::from_secs(15);
const HOST_RESTART_TIME: Duration = Duration::from_secs(2);
const ENGINE_RESTART_TIME: Duration = Duration::from_secs(1);
const SWAP_TIME: Duration = Duration::from_millis(200);
const STAGE_TIME: Duration = Duration::from_millis(300);
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a caller expects a final answer.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(12);
pub const CAPACITY_FLOOR_PERCENT: usize = 50;
/// Time after which a leaving server must get no new work.
pub const LEAVING_GRACE: Duration = Duration::from_secs(5);

/// Sender or receiver of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    Host(usize),
    Engine(usize),
    Service,
    Store,
    Client,
}

/// Purpose of a store operation.
#[derive(Debug, Clone)]
pub enum StoreContext {
    Head,
    Manifest(Revision),
    Commit(u64),
    Publish(u64),
    StepsLease(String),
    RolloutLease(String),
    Claim(u64),
    Quarantine(u64),
    Weights,
    StepPut(buckthornfall_core::step::StepObject, String),
    StepGet(buckthornfall_core::step::StepObject),
    Steps,
    Groups(u64),
    Group(u64, u32),
    Forget,
}

#[derive(Debug, Clone)]
pub enum StoreOp {
    Txn(Txn),
    Read(String),
    Scan(String),
    Put(String, String),
    Get(String),
}

#[derive(Debug, Clone)]
pub enum StoreReply {
    Txn(buckthornfall_core::table::TxnResult),
    Read(buckthornfall_core::table::ReadResult),
    Scan(buckthornfall_core::table::ScanResult),
    Put(Result<(), buckthornfall_core::table::TableError>),
    Get(Option<String>),
}

/// Event for one epoch of a host.
#[derive(Debug, Clone)]
pub enum HostEvent {
    Tick,
    Store { op: u64, context: StoreContext, reply: StoreReply },
    Gossip { from: usize, gossip: Box<Gossip>, is_answer: bool },
    Pull { from: usize, above: u64 },
    Push(Box<ManifestPush>),
    Attempt { attempt: AttemptId, event: AttemptEvent },
    Report { server: String, state: Option<EngineState>, for_rollout: bool },
    Isolated { attempt: AttemptId, free: bool },
    Caller { caller: usize, try_number: u32, payload: CallerRequest },
    Trainer { id: u64, payload: TrainerRequest },
    Commit { manifest: Box<Manifest>, base: u64, operator: usize },
}

#[derive(Debug, Clone)]
pub enum Event {
    Host {
        host: usize,
        epoch: u64,
        event: HostEvent,
    },
    StoreArrive {
        host: usize,
        epoch: u64,
        op: u64,
        context: StoreContext,
        request: StoreOp,
        reply: Option<Step>,
    },
    AttemptArrive {
        host: usize,
        epoch: u64,
        attempt: AttemptId,
        server: String,
        task: Task,
        resume: u32,
        class: Class,
    },
    EngineToken {
        engine: usize,
        incarnation: u64,
        attempt: AttemptId,
    },
    ServiceRun {
        host: usize,
        epoch: u64,
        attempt: AttemptId,
        task: Task,
    },
    IsolateArrive {
        host: usize,
        epoch: u64,
        engine: usize,
        attempt: AttemptId,
        lift: bool,
    },
    OrderArrive {
        engine: usize,
        order: EngineOrder,
    },
    StageDone {
        engine: usize,
        incarnation: u64,
        version: u64,
    },
    SwapDone {
        engine: usize,
        incarnation: u64,
        version: u64,
        fails: bool,
    },
    Restart {
        host: usize,
    },
    Stop {
        host: usize,
    },
    Resume {
        host: usize,
    },
    CallerSend {
        caller: usize,
    },
    CallerGet {
        caller: usize,
        try_number: u32,
        answer: Answer,
    },
    TrainerAct,
    TrainerGet {
        id: u64,
        answer: TrainerAnswer,
    },
    Operator {
        operator: usize,
    },
}

pub struct World {
    pub now: Now,
    queue: BTreeMap<(Now, u64), Event>,
    sequence: u64,
    rng: SmallRng,
    plan: Vec<Trigger>,
    counts: BTreeMap<Step, u32>,
    pub fired: usize,
    pub mutation: Option<Mutation>,
    pub trace: Vec<String>,
    pub violations: Vec<String>,
    pub table: Rows,
    pub objects: BTreeMap<String, String>,
    store_down_until: Now,
    store_slow_until: Now,
    replies_to_lose: u32,
    link_down_until: Now,
    list_frozen_until: Now,
    frozen_list: HostListAnswer,
    pub hosts: Vec<Host>,
    pub host_starts: u64,
    pub engines: Vec<FakeEngine>,
    swaps_to_fail: u32,
    pub service: FakeService,
    pub trainer: TrainerSim,
    pub callers: Vec<CallerSim>,
    pub log: RunLog,
    pub poison_crashes: BTreeMap<String, u32>,
    poison_requests: u32,
    pub attempts: HashMap<AttemptId, (usize, u64, u64)>,
    /// Revision and hash of the commits that were reported as committed.
    pub committed: Vec<(u64, String)>,
    /// Hashes of manifests that were reported to their operator as not applied.
    pub not_committed: Vec<String>,
    pub operator_hashes: BTreeMap<usize, String>,
    pub hashes: BTreeMap<Revision, String>,
    next_operator: usize,
    pub store_stages: BTreeMap<u64, u32>,
    pub events: u64,
    ended: bool,
}

/// Returns a valid manifest; the number of `extra` callers makes its content unique.
pub fn manifest(extra: usize) -> Manifest {
    let server = |name: &str, fence: bool| {
        serde_json::json!({ "name": name, "address": server_address(name), "zone": "a-zone",
            "slots": crate::fakes::SLOTS, "checks_fence": fence })
    };
    let engines: Vec<_> = (0..ENGINES).map(|i| server(&format!("engine-{i}"), i != 2)).collect();
    let mut callers = vec![caller("caller", 1)];
    callers.extend((0..extra).map(|i| caller(&format!("extra-{i}"), i + 2)));
    let doc = serde_json::json!({
        "deployment": "matrix",
        "objective": { "idle_percent": 50, "staleness_percent": 50 },
        "regions": [{ "name": "a", "zones": ["a-zone"] }, { "name": "b", "zones": ["b-zone"] }],
        "store_region": "a",
        "models": [{ "name": "model", "version": 1, "adapters": [], "max_tokens": 64,
            "capacity_floor_percent": CAPACITY_FLOOR_PERCENT, "servers": engines }],
        "trainers": [{ "name": "trainer", "model": "model", "adapter": null,
            "scoring_service": "scoring", "staleness_bound": crate::clients::STALENESS_BOUND,
            "weight": 1, "step_deadline_ms": 1_320_000, "token_sha256": digest(900) }],
        "scoring_services": [{ "name": "scoring", "servers": [server("score", true)] }],
        "plain_services": [{ "name": "plain", "operations": [
            { "name": "look", "idempotent": true }, { "name": "record", "idempotent": false }],
            "servers": [server("plain", true)] }],
        "callers": callers,
        "operators": [{ "name": "operator", "token_sha256": digest(901) }],
        "limits": { "queue_length": 32, "retry_percent": 50,
            "region_link_bytes_per_s": 1_000_000,
            "request_timeout_ms": REQUEST_TIMEOUT.as_millis() as u64 },
        "service_levels": [],
    });
    buckthornfall_proto::check::manifest(&doc.to_string()).expect("the test manifest is valid")
}

fn caller(name: &str, number: usize) -> serde_json::Value {
    serde_json::json!({ "name": name, "token_sha256": digest(number), "requests_per_s": 100,
        "burst": 100, "max_in_flight": 100 })
}

fn digest(number: usize) -> String {
    sha256_hex(&number.to_le_bytes())
}

fn server_address(name: &str) -> String {
    let sum: u32 = name.bytes().map(u32::from).sum();
    format!("127.0.0.1:{}", 1000 + sum)
}

pub fn manifest_text(manifest: &Manifest) -> String {
    serde_json::to_string_pretty(&serde_json::to_value(manifest).expect("plain data"))
        .expect("plain data")
}

impl World {
    pub fn new(plan: &[Trigger], mutation: Option<Mutation>, seed: u64) -> World {
        let first = manifest(0);
        let content = manifest_text(&first);
        let hash = sha256_hex(content.as_bytes());
        let mut table = Rows::default();
        let row = ManifestRow { revision: 1, hash: hash.clone(), attempt: "first".to_owned() };
        for key in [
            buckthornfall_core::commit::HEAD_KEY.to_owned(),
            buckthornfall_core::commit::revision_key(1),
        ] {
            table.run(&buckthornfall_core::table::replace(&key, 0, &row));
        }
        let objects = BTreeMap::from([(buckthornfall_core::commit::object_key(&hash), content)]);
        let list = HostListAnswer {
            hosts: (0..HOSTS).map(listed_host).collect(),
            leaving_servers: Vec::new(),
        };
        let mut world = World {
            now: Now::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            plan: plan.to_vec(),
            counts: BTreeMap::new(),
            fired: 0,
            mutation,
            trace: Vec::new(),
            violations: Vec::new(),
            table,
            objects,
            store_down_until: Now::ZERO,
            store_slow_until: Now::ZERO,
            replies_to_lose: 0,
            link_down_until: Now::ZERO,
            list_frozen_until: Now::ZERO,
            frozen_list: list,
            hosts: (0..HOSTS).map(|index| Host::new(index, 1)).collect(),
            host_starts: HOSTS as u64,
            engines: (0..ENGINES)
                .map(|i| FakeEngine::new(&format!("engine-{i}"), i != 2))
                .collect(),
            swaps_to_fail: 0,
            service: FakeService::default(),
            trainer: TrainerSim::new(),
            callers: Vec::new(),
            log: RunLog::default(),
            poison_crashes: BTreeMap::new(),
            poison_requests: 0,
            attempts: HashMap::new(),
            committed: Vec::new(),
            not_committed: Vec::new(),
            operator_hashes: BTreeMap::new(),
            hashes: BTreeMap::from([(1, hash)]),
            next_operator: 1,
            store_stages: BTreeMap::new(),
            events: 0,
            ended: false,
        };
        world.schedule_workload();
        world
    }

    fn schedule_workload(&mut self) {
        for host in 0..HOSTS {
            let at = Duration::from_millis(7 * host as u64);
            self.schedule(at, Event::Host { host, epoch: 1, event: HostEvent::Tick });
        }
        let requests = [
            (4000, CallerRequest::Complete { prompt: "question 0".to_owned() }),
            (4200, CallerRequest::Record { key: "fee-0".to_owned() }),
            (4400, CallerRequest::Complete { prompt: "question 1".to_owned() }),
            (4600, CallerRequest::Look { body: "permit".to_owned() }),
            (5000, CallerRequest::Record { key: "fee-1".to_owned() }),
            (6000, CallerRequest::Complete { prompt: "question 2".to_owned() }),
            (6500, CallerRequest::Record { key: "fee-2".to_owned() }),
        ];
        for (i, (ms, payload)) in requests.into_iter().enumerate() {
            self.add_caller(Duration::from_millis(ms), payload, i % HOSTS);
        }
        self.schedule(Duration::from_millis(4100), Event::TrainerAct);
        self.schedule(Duration::from_millis(5500), Event::Operator { operator: 0 });
    }

    pub fn add_caller(&mut self, at: Now, payload: CallerRequest, host: usize) {
        self.callers.push(CallerSim::new(payload, host));
        let caller = self.callers.len() - 1;
        self.schedule(at, Event::CallerSend { caller });
    }

    /// Runs until all client requests are done, a check fails or `HORIZON` is reached.
    pub fn run(&mut self) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > HORIZON {
                break;
            }
            self.now = at;
            self.events += 1;
            self.handle(event);
            self.check();
            if !self.violations.is_empty() {
                return;
            }
            if self.is_settled() {
                break;
            }
        }
        self.ended = true;
        self.check_end();
    }

    pub fn schedule(&mut self, at: Now, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    pub fn trace_event(&mut self, text: impl FnOnce() -> String) {
        let text = text();
        self.trace.push(format!("{:9.3} {text}", self.now.as_secs_f64()));
    }

    pub fn report_violation(&mut self, invariant: &str, detail: &str) {
        self.trace_event(|| format!("VIOLATION {invariant}: {detail}"));
        self.violations.push(format!("{invariant}: {detail}"));
    }

    pub fn is_mutated(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Returns a random number below `below`.
    pub fn random(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below)
    }

    fn is_remote(endpoint: Endpoint) -> bool {
        matches!(endpoint, Endpoint::Host(2) | Endpoint::Engine(3))
    }

    fn is_partitioned(&self, from: Endpoint, to: Endpoint) -> bool {
        let client = from == Endpoint::Client || to == Endpoint::Client;
        !client && self.now < self.link_down_until && World::is_remote(from) != World::is_remote(to)
    }

    /// Sends a message of a protocol step; returns `false` if it is lost.
    pub fn send(&mut self, step: Option<Step>, from: Endpoint, to: Endpoint, event: Event) -> bool {
        let mut delay = NETWORK_DELAY;
        let mut copies = 1;
        for fault in step.map_or_else(Vec::new, |step| self.count_step(step, from, to)) {
            match fault {
                Fault::MessageLost => copies = 0,
                Fault::MessageLate => delay += LATE_DELAY,
                Fault::MessageReordered => delay += REORDER_DELAY,
                Fault::MessageDuplicated => copies += 1,
                _ => {}
            }
        }
        let dead = matches!(from, Endpoint::Host(host) if !self.hosts[host].alive);
        if dead || self.is_partitioned(from, to) {
            return false;
        }
        // TCP delivers a request once; duplicates of it come from resends by the sender.
        let sent_once = matches!(
            event,
            Event::AttemptArrive { .. } | Event::Host { event: HostEvent::Caller { .. }, .. }
        );
        let copies = if sent_once { copies.min(1) } else { copies };
        for copy in 0..copies {
            let at = self.now + delay + REORDER_DELAY * copy;
            self.schedule(at, event.clone());
        }
        copies > 0
    }

    /// Counts a message of a step, and injects and returns the faults that the plan has for it.
    fn count_step(&mut self, step: Step, from: Endpoint, to: Endpoint) -> Vec<Fault> {
        let count = self.counts.entry(step).or_default();
        *count += 1;
        let count = *count;
        let due: Vec<_> = self
            .plan
            .iter()
            .filter(|trigger| trigger.step == step && trigger.occurrence == count)
            .map(|trigger| trigger.fault)
            .collect();
        for fault in &due {
            self.fired += 1;
            self.trace_event(|| format!("FAULT {fault:?} at {step:?} {from:?} -> {to:?}"));
            self.inject_fault(*fault, from, to);
        }
        due
    }

    fn inject_fault(&mut self, fault: Fault, from: Endpoint, to: Endpoint) {
        let host = match (from, to) {
            (Endpoint::Host(host), _) | (_, Endpoint::Host(host)) => host,
            _ => 0,
        };
        let engine = match (from, to) {
            (Endpoint::Engine(engine), _) | (_, Endpoint::Engine(engine)) => engine,
            _ => 0,
        };
        match fault {
            Fault::EngineCrash => self.crash_engine(engine),
            Fault::ProcessDeath => self.kill(host),
            Fault::SwapFailed => self.swaps_to_fail += 1,
            Fault::StoreDown => self.store_down_until = self.now + STORE_FAULT_DURATION,
            Fault::StoreSlow => self.store_slow_until = self.now + STORE_FAULT_DURATION,
            Fault::ReplyLost => self.replies_to_lose += 1,
            Fault::HolderPaused => {
                let until = self.now + HOST_PAUSE_DURATION;
                self.hosts[host].paused_until = until;
                self.schedule(until, Event::Resume { host });
            }
            Fault::OperatorsRacing => {
                let operator = self.next_operator;
                self.next_operator += 1;
                self.schedule(self.now, Event::Operator { operator });
            }
            Fault::PoisonRequest => {
                self.poison_requests += 1;
                let prompt = format!("{POISON} {}", self.poison_requests);
                let at = self.now + NETWORK_DELAY;
                let host = self.poison_requests as usize % HOSTS;
                self.add_caller(at, CallerRequest::Complete { prompt }, host);
            }
            Fault::ServerLeaving => {
                let leaving = self.engines.iter().filter(|e| e.draining_since.is_some()).count();
                if leaving < 2 {
                    self.engines[engine].draining_since.get_or_insert(self.now);
                }
            }
            Fault::HostListLagging => self.list_frozen_until = self.now + NETWORK_FAULT_DURATION,
            Fault::RegionCut => self.link_down_until = self.now + NETWORK_FAULT_DURATION,
            Fault::PlannedStop => self.schedule(self.now, Event::Stop { host }),
            Fault::MessageLate
            | Fault::MessageLost
            | Fault::MessageDuplicated
            | Fault::MessageReordered => {}
        }
    }

    fn stop(&mut self, host: usize) {
        if !self.hosts[host].alive || self.hosts[host].drain.is_leaving() {
            return;
        }
        if self.is_mutated(Mutation::NoDrain) {
            self.check_stop(host);
            return self.kill(host);
        }
        let now = self.now;
        self.hosts[host].drain.begin(now);
        self.hosts[host].membership.leave();
        self.release_leases(host);
    }

    /// Checks that a planned stop interrupts no request.
    pub fn check_stop(&mut self, host: usize) {
        if !self.hosts[host].requests.is_empty() {
            let count = self.hosts[host].requests.len();
            self.report_violation(
                "planned stop cuts nothing off",
                &format!("host {host}: {count} requests"),
            );
        }
    }

    /// Kills a host process; it restarts after `HOST_RESTART_TIME` without its state.
    pub fn kill(&mut self, host: usize) {
        if !self.hosts[host].alive {
            return;
        }
        self.hosts[host].alive = false;
        let requests: Vec<_> =
            self.hosts[host].requests.values().map(|r| (r.caller, r.try_number)).collect();
        for (caller, try_number) in requests {
            let event = Event::CallerGet { caller, try_number, answer: Answer::Broken };
            self.schedule(self.now + NETWORK_DELAY, event);
        }
        let epoch = self.hosts[host].epoch;
        for engine in &mut self.engines {
            engine.runs.retain(|_, run| (run.host, run.epoch) != (host, epoch));
        }
        self.schedule(self.now + HOST_RESTART_TIME, Event::Restart { host });
    }

    pub fn crash_engine(&mut self, engine: usize) {
        let until = self.now + ENGINE_RESTART_TIME;
        let runs = self.engines[engine].crash(until);
        self.trace_event(|| format!("engine {engine} crashes with {} runs", runs.len()));
        for (attempt, run) in runs {
            let event = AttemptEvent::Broken { reason: "the connection ended".to_owned() };
            self.send_to_host(
                None,
                Endpoint::Engine(engine),
                run.host,
                run.epoch,
                HostEvent::Attempt { attempt, event },
            );
        }
    }

    /// Sends an event to one epoch of a host.
    pub fn send_to_host(
        &mut self,
        step: Option<Step>,
        from: Endpoint,
        host: usize,
        epoch: u64,
        event: HostEvent,
    ) -> bool {
        self.send(step, from, Endpoint::Host(host), Event::Host { host, epoch, event })
    }

    /// Sends an operation to the store; if no reply arrives in time, the host gets a timeout.
    pub fn send_to_store(
        &mut self,
        host: usize,
        step: Option<Step>,
        context: StoreContext,
        request: StoreOp,
    ) {
        let epoch = self.hosts[host].epoch;
        self.hosts[host].next_op += 1;
        let op = self.hosts[host].next_op;
        self.hosts[host].pending_ops.insert(op);
        let reply = match step {
            Some(Step::CommitTxn) => Some(Step::CommitReply),
            Some(Step::LeaseTxn) => Some(Step::LeaseReply),
            Some(Step::ClaimTxn) => Some(Step::ClaimReply),
            Some(Step::GroupTxn) => Some(Step::GroupReply),
            _ => None,
        };
        let lost = failure(&request, false);
        let timeout = HostEvent::Store { op, context: context.clone(), reply: lost };
        self.schedule(self.now + IO_TIMEOUT, Event::Host { host, epoch, event: timeout });
        let event = Event::StoreArrive { host, epoch, op, context, request, reply };
        self.send(step, Endpoint::Host(host), Endpoint::Store, event);
    }

    fn on_store(
        &mut self,
        host: usize,
        epoch: u64,
        op: u64,
        context: StoreContext,
        request: &StoreOp,
        reply_step: Option<Step>,
    ) {
        if self.now < self.store_down_until {
            let refused = failure(request, self.random(2) == 0);
            let event = HostEvent::Store { op, context, reply: refused };
            self.send_to_host(reply_step, Endpoint::Store, host, epoch, event);
            return;
        }
        let reply = match request {
            StoreOp::Txn(txn) => StoreReply::Txn(Ok(self.run_txn(txn))),
            StoreOp::Read(key) => StoreReply::Read(Ok(self.table.read(key))),
            StoreOp::Scan(prefix) => StoreReply::Scan(Ok(self.table.scan(prefix))),
            StoreOp::Put(key, content) => {
                self.objects.insert(key.clone(), content.clone());
                StoreReply::Put(Ok(()))
            }
            StoreOp::Get(key) => StoreReply::Get(self.objects.get(key).cloned()),
        };
        if matches!(request, StoreOp::Txn(_)) && self.replies_to_lose > 0 {
            self.replies_to_lose -= 1;
            self.trace_event(|| "the store reply is lost".to_owned());
            return;
        }
        let event = HostEvent::Store { op, context, reply };
        if self.now < self.store_slow_until {
            let at = self.now + SLOW_STORE_DELAY;
            self.schedule(at, Event::Host { host, epoch, event });
        } else {
            self.send_to_host(reply_step, Endpoint::Store, host, epoch, event);
        }
    }

    fn run_txn(&mut self, txn: &Txn) -> TxnAnswer {
        let answer = self.table.run(txn);
        if answer.committed {
            for write in &txn.writes {
                self.trace_event(|| format!("row {} = {}", write.key, write.value));
            }
        }
        answer
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Host { host, epoch, event } => self.on_host_event(host, epoch, event),
            Event::StoreArrive { host, epoch, op, context, request, reply } => {
                self.on_store(host, epoch, op, context, &request, reply);
            }
            Event::AttemptArrive { host, epoch, attempt, server, task, resume, class } => {
                self.on_attempt_arrive(host, epoch, attempt, &server, task, resume, class);
            }
            Event::EngineToken { engine, incarnation, attempt } => {
                self.on_engine_token(engine, incarnation, attempt);
            }
            Event::ServiceRun { host, epoch, attempt, task } => {
                self.on_service_run(host, epoch, attempt, &task)
            }
            Event::IsolateArrive { host, epoch, engine, attempt, lift } => {
                self.on_isolate(host, epoch, engine, attempt, lift);
            }
            Event::OrderArrive { engine, order } => self.on_order(engine, &order),
            Event::StageDone { engine, incarnation, version } => {
                let engine = &mut self.engines[engine];
                if engine.incarnation == incarnation && engine.active < version {
                    engine.staged = version;
                }
            }
            Event::SwapDone { engine, incarnation, version, fails } => {
                self.on_swap_done(engine, incarnation, version, fails);
            }
            Event::Restart { host } => self.restart(host),
            Event::Stop { host } => self.stop(host),
            Event::Resume { host } => self.resume(host),
            Event::CallerSend { caller } => self.caller_send(caller),
            Event::CallerGet { caller, try_number, answer } => {
                self.caller_get(caller, try_number, answer)
            }
            Event::TrainerAct => self.trainer_act(),
            Event::TrainerGet { id, answer } => self.trainer_get(id, answer),
            Event::Operator { operator } => self.submit_commit(operator),
        }
    }

    fn on_host_event(&mut self, host: usize, epoch: u64, event: HostEvent) {
        let state = &self.hosts[host];
        if !state.alive || state.epoch != epoch {
            if let HostEvent::Caller { caller, try_number, .. } = event {
                let event = Event::CallerGet { caller, try_number, answer: Answer::Broken };
                self.schedule(self.now + NETWORK_DELAY, event);
            }
            return;
        }
        if self.now < state.paused_until {
            return self.hosts[host].deferred.push(event);
        }
        if matches!(event, HostEvent::Tick) {
            self.schedule(self.now + TICK, Event::Host { host, epoch, event: HostEvent::Tick });
        }
        self.host_event(host, event);
    }

    /// Delivers the events that arrived while a host was paused, in order of arrival.
    fn resume(&mut self, host: usize) {
        if self.now < self.hosts[host].paused_until {
            return;
        }
        let epoch = self.hosts[host].epoch;
        for event in std::mem::take(&mut self.hosts[host].deferred) {
            self.schedule(self.now, Event::Host { host, epoch, event });
        }
    }

    fn restart(&mut self, host: usize) {
        let epoch = self.hosts[host].epoch + 1;
        self.host_starts += 1;
        self.hosts[host] = Host::new(host, epoch);
        self.trace_event(|| format!("host {host} restarts"));
        self.schedule(self.now, Event::Host { host, epoch, event: HostEvent::Tick });
    }

    /// Returns the platform's host list.
    pub fn host_list(&mut self) -> HostListAnswer {
        if self.now >= self.list_frozen_until {
            let draining = self.engines.iter().filter(|e| e.draining_since.is_some());
            self.frozen_list.leaving_servers = draining.map(|e| e.name.clone()).collect();
        }
        if self.is_mutated(Mutation::NoLeavingSignals) {
            self.frozen_list.leaving_servers.clear();
        }
        self.frozen_list.clone()
    }

    /// Returns the report of a server to a host, or `None` if the server is unreachable.
    pub fn server_report(&mut self, host: usize, server: &str) -> Option<EngineState> {
        let Some(index) = self.engines.iter().position(|engine| engine.name == server) else {
            return Some(service_state());
        };
        let cut = self.is_partitioned(Endpoint::Host(host), Endpoint::Engine(index));
        let engine = &self.engines[index];
        if cut || engine.is_down(self.now) {
            return None;
        }
        let mut state = engine.state();
        if self.is_mutated(Mutation::NoLeavingSignals) {
            state.draining = false;
        }
        Some(state)
    }

    #[allow(clippy::too_many_arguments)]
    fn on_attempt_arrive(
        &mut self,
        host: usize,
        epoch: u64,
        attempt: AttemptId,
        server: &str,
        task: Task,
        resume: u32,
        class: Class,
    ) {
        let request = self.attempts.get(&attempt).copied();
        let Some(engine) = self.engines.iter().position(|engine| engine.name == server) else {
            self.record_run(request, class);
            let at = self.now + NETWORK_DELAY;
            return self.schedule(at, Event::ServiceRun { host, epoch, attempt, task });
        };
        let from = Endpoint::Engine(engine);
        if self.engines[engine].is_down(self.now) {
            let event = AttemptEvent::NotRun { unreachable: true, reason: "refused".to_owned() };
            self.send_to_host(None, from, host, epoch, HostEvent::Attempt { attempt, event });
            return;
        }
        let ignores_drain = self.is_mutated(Mutation::NoLeavingSignals);
        let refusal =
            self.engines[engine].refusal(&attempt).filter(|r| !(ignores_drain && *r == "draining"));
        if let Some(reason) = refusal {
            let event = AttemptEvent::NotRun { unreachable: false, reason: reason.to_owned() };
            self.send_to_host(None, from, host, epoch, HostEvent::Attempt { attempt, event });
            return;
        }
        let Task::Generate { prompt, max_tokens, seed, .. } = task else { return };
        self.record_run(request, class);
        let prompt = String::from_utf8(prompt.to_vec()).expect("test prompts are UTF-8");
        let length = text::length(&prompt, seed, max_tokens);
        let run = EngineRun { host, epoch, prompt, next_token: resume, length };
        self.engines[engine].runs.insert(attempt.clone(), run);
        let incarnation = self.engines[engine].incarnation;
        self.schedule(self.now + TOKEN_TIME, Event::EngineToken { engine, incarnation, attempt });
    }

    fn record_run(&mut self, request: Option<RequestKey>, class: Class) {
        let Some(request) = request.filter(|_| class == Class::Interactive) else { return };
        self.log.ran.insert(request);
        if self.log.refused_as_not_run.contains(&request) {
            self.report_violation(
                "not run means not run",
                &format!("request {request:?} ran after its refusal"),
            );
        }
    }

    fn on_engine_token(&mut self, engine: usize, incarnation: u64, attempt: AttemptId) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        let at = self.now + TOKEN_TIME;
        if self.engines[engine].swapping {
            return self.schedule(at, Event::EngineToken { engine, incarnation, attempt });
        }
        let Some(run) = self.engines[engine].runs.get(&attempt).cloned() else { return };
        if run.prompt.starts_with(POISON) {
            *self.poison_crashes.entry(run.prompt).or_default() += 1;
            return self.crash_engine(engine);
        }
        let from = Endpoint::Engine(engine);
        if run.next_token >= run.length {
            self.engines[engine].runs.remove(&attempt);
            let event =
                HostEvent::Attempt { attempt: attempt.clone(), event: AttemptEvent::Finished };
            self.send_stream_part(Step::GenerateEnd, from, run.host, run.epoch, attempt, event);
            return;
        }
        let end = (run.next_token + TOKENS_PER_EVENT).min(run.length);
        for index in run.next_token..end {
            self.engines[engine].record(&run.prompt, index);
        }
        self.engines[engine].runs.get_mut(&attempt).expect("the attempt runs").next_token = end;
        let version = self.engines[engine].active;
        let event = AttemptEvent::Tokens {
            text: Bytes::from(text::tokens(&run.prompt, run.next_token, end)),
            tokens: end - run.next_token,
            version,
        };
        let sent = HostEvent::Attempt { attempt: attempt.clone(), event };
        if self.send_stream_part(
            Step::GenerateTokens,
            from,
            run.host,
            run.epoch,
            attempt.clone(),
            sent,
        ) {
            self.schedule(at, Event::EngineToken { engine, incarnation, attempt });
        }
    }

    /// Sends a part of a TCP stream. A lost or late part breaks the stream; after a duplicated or
    /// late part, a second end of the attempt arrives later. Returns `false` if the stream broke.
    fn send_stream_part(
        &mut self,
        step: Step,
        from: Endpoint,
        host: usize,
        epoch: u64,
        attempt: AttemptId,
        event: HostEvent,
    ) -> bool {
        let faults = self.count_step(step, from, Endpoint::Host(host));
        let breaks =
            faults.iter().any(|fault| matches!(fault, Fault::MessageLost | Fault::MessageLate));
        if self.is_partitioned(from, Endpoint::Host(host)) {
            return false;
        }
        let delivered = if breaks {
            let event = AttemptEvent::Broken { reason: "connection reset".to_owned() };
            HostEvent::Attempt { attempt: attempt.clone(), event }
        } else {
            event
        };
        let at = self.now + NETWORK_DELAY;
        self.schedule(at, Event::Host { host, epoch, event: delivered });
        if faults.contains(&Fault::MessageDuplicated) || faults.contains(&Fault::MessageLate) {
            // A late or duplicated end of an attempt must have no effect.
            self.schedule(
                at + LATE_DELAY,
                Event::Host {
                    host,
                    epoch,
                    event: HostEvent::Attempt { attempt, event: AttemptEvent::Finished },
                },
            );
        }
        !breaks
    }

    fn on_service_run(&mut self, host: usize, epoch: u64, attempt: AttemptId, task: &Task) {
        let Task::Call { operation, key, body } = task else { return };
        let (step, answer) = if operation == buckthornfall_core::step::SCORE_OPERATION {
            let answer = serde_json::to_vec(&ScoreAnswer { score: 0.5 }).expect("plain data");
            (Step::ScoreAnswer, answer)
        } else {
            if !key.is_empty() {
                let runs = self.service.runs.entry(key.clone()).or_default();
                *runs += 1;
                if *runs > 1 {
                    let key = key.clone();
                    self.report_violation("non-idempotent requests run at most once", &key);
                }
            }
            (Step::CallAnswer, body.to_vec())
        };
        let event = AttemptEvent::Answered { status: 200, body: Bytes::from(answer) };
        let sent = HostEvent::Attempt { attempt: attempt.clone(), event };
        if !self.send_to_host(Some(step), Endpoint::Service, host, epoch, sent) {
            // The connection of the host times out.
            let event = AttemptEvent::Broken { reason: "no answer in time".to_owned() };
            let at = self.now + IO_TIMEOUT;
            self.schedule(
                at,
                Event::Host { host, epoch, event: HostEvent::Attempt { attempt, event } },
            );
        }
    }

    fn on_isolate(
        &mut self,
        host: usize,
        epoch: u64,
        engine: usize,
        attempt: AttemptId,
        lift: bool,
    ) {
        let from = Endpoint::Engine(engine);
        if self.engines[engine].is_down(self.now) {
            if !lift {
                self.send_to_host(
                    None,
                    from,
                    host,
                    epoch,
                    HostEvent::Isolated { attempt, free: false },
                );
            }
            return;
        }
        if lift {
            if self.engines[engine].isolated_for == attempt {
                self.engines[engine].isolated_for.clear();
            }
            return;
        }
        self.engines[engine].isolated_for.clone_from(&attempt);
        if self.engines[engine].runs.is_empty() {
            self.send_to_host(None, from, host, epoch, HostEvent::Isolated { attempt, free: true });
        } else {
            let retry = Event::IsolateArrive { host, epoch, engine, attempt, lift };
            self.schedule(self.now + TICK, retry);
        }
    }

    fn on_order(&mut self, engine: usize, order: &EngineOrder) {
        if self.engines[engine].is_down(self.now) || !self.engines[engine].accepts(order) {
            return;
        }
        self.trace_event(|| format!("engine {engine} applies {order:?}"));
        let incarnation = self.engines[engine].incarnation;
        let version = order.version;
        if order.fence < self.engines[engine].applied_fence {
            let detail = format!(
                "engine {engine} applied fence {} after {}",
                order.fence, self.engines[engine].applied_fence
            );
            self.report_violation("no order of an old holder takes effect", &detail);
        }
        self.engines[engine].applied_fence = order.fence;
        match order.action {
            OrderAction::Stage => {
                if order.source == buckthornfall_core::rollout::STORE {
                    *self.store_stages.entry(version).or_default() += 1;
                }
                self.schedule(
                    self.now + STAGE_TIME,
                    Event::StageDone { engine, incarnation, version },
                );
            }
            OrderAction::Activate => {
                self.engines[engine].swapping = true;
                self.engines[engine].swap_failed = false;
                let fails = self.swaps_to_fail > 0;
                self.swaps_to_fail -= u32::from(fails);
                self.schedule(
                    self.now + SWAP_TIME,
                    Event::SwapDone { engine, incarnation, version, fails },
                );
            }
        }
    }

    fn on_swap_done(&mut self, engine: usize, incarnation: u64, version: u64, fails: bool) {
        let state = &mut self.engines[engine];
        if state.incarnation != incarnation {
            return;
        }
        if fails {
            state.swap_failed = true;
            return;
        }
        if version < state.active {
            let detail = format!("engine {engine}: {} to {version}", state.active);
            return self.report_violation("weights never go back", &detail);
        }
        state.active = version;
        state.staged = 0;
        state.swapping = false;
    }
}

/// Returns the reply that a host gets for a failed store operation.
fn failure(request: &StoreOp, not_sent: bool) -> StoreReply {
    use buckthornfall_core::table::TableError;
    let error = if not_sent { TableError::NotSent } else { TableError::NoReply };
    match request {
        StoreOp::Txn(_) => StoreReply::Txn(Err(error)),
        StoreOp::Read(_) => StoreReply::Read(Err(error)),
        StoreOp::Scan(_) => StoreReply::Scan(Err(error)),
        StoreOp::Put(..) => StoreReply::Put(Err(error)),
        StoreOp::Get(_) => StoreReply::Get(None),
    }
}

fn service_state() -> EngineState {
    EngineState {
        model: "service".to_owned(),
        tracks: Vec::new(),
        slots: crate::fakes::SLOTS,
        running: 0,
        queued: 0,
        draining: false,
        incarnation: 1,
    }
}
