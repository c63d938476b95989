//! Simulation with one seed: an event queue with daemons, servers, the store and trainers.

mod faults;
mod jobs;
mod limits;
mod orders;
mod trainers;

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_core::{
    backends::Backends,
    job::{Batch, Jobs, ProgressWrite, RunEnd, ScoreEnd},
    lease::LeaseAction,
    weights::{Order, OrderEnd, OrderRecord},
    Now,
};
use buckthornfall_proto::{
    ids::Fence,
    messages::{ProgressRow, ResultRow, Row},
};
use rand::{rngs::SmallRng, seq::SliceRandom, SeedableRng};

pub use self::limits::ServerLimit;

use super::{
    callers, controller::LeasedController, experiment::Experiment, report::SimulationResult,
    servers::Server, trainer::Trainer,
};

/// Service of the model servers.
pub const SERVICE: &str = "engines";
/// Virtual time at which the load starts; above zero, so that no event is at time zero.
const START: Now = Duration::from_secs(100);
/// Interval between two ticks of a daemon's state machines.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two saves of progress.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a trainer reads its results.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a trainer retries a request that was refused.
const RETRY_DELAY: Duration = Duration::from_millis(350);
/// Delay before another daemon takes over the jobs of a killed one.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_500);
/// Delay until daemons receive a server's new entry.
const ENTRY_DELAY: Duration = Duration::from_millis(150);
/// Delay before a daemon retries a call to the unavailable store, or a takeover without a live
/// daemon.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Network latency of an order, of its response, and of the end of an unsuccessful run.
const SERVER_LATENCY: Duration = Duration::from_millis(5);
/// Maximum random deviation of the time between two events of a request, as a fraction of it.
const MAX_JITTER: f64 = 0.2;

#[derive(Debug)]
enum Event {
    Tick { host: usize, incarnation: u64 },
    SaveProgress { host: usize, incarnation: u64 },
    Generated { server: usize, host: usize, run: u64 },
    RunEnd { host: usize, incarnation: u64, run: u64, end: RunEnd },
    Scored { host: usize, incarnation: u64, job: String, sample: usize },
    Append { host: usize, incarnation: u64, job: String, batch: Batch },
    ReadLog { host: usize, incarnation: u64, job: String },
    ProgressWritten { host: usize, incarnation: u64, job: String, unsaved: Vec<ProgressWrite> },
    OpenJob { host: usize, incarnation: u64, trainer: usize, step: usize },
    Lease { host: usize, incarnation: u64, action: LeaseAction },
    ReadOrderRecords { host: usize, incarnation: u64, fence: Fence },
    Report { host: usize, incarnation: u64, server: usize, write_started: Now, version: u64 },
    Order { host: usize, incarnation: u64, server: usize, order: Order },
    OrderEnd { host: usize, incarnation: u64, fence: Fence, server: usize, end: OrderEnd },
    WeightsLoaded { server: usize },
    EntryChanged { server: usize },
    Trainer { trainer: usize },
    Submit { trainer: usize, step: usize },
    NameVersion { trainer: usize },
    VersionNamed { trainer: usize, version: u64 },
    Permits { issuer: usize },
    Fault { fault: usize },
    Restart { host: usize, incarnation: u64 },
    TakeOver { host: usize, incarnation: u64 },
}

struct Host {
    incarnation: u64,
    up: bool,
    jobs: Jobs,
    backends: Backends,
    controller: LeasedController,
}

/// Contents and state of the store.
#[derive(Default)]
struct Store {
    unavailable_until: Now,
    version: u64,
    lease: Option<Row>,
    records: BTreeMap<String, OrderRecord>,
    results: BTreeMap<String, Vec<ResultRow>>,
    progress: BTreeMap<String, Vec<(String, ProgressRow)>>,
}

/// Simulation of an experiment with one seed.
pub struct Simulation<'a> {
    cfg: &'a Experiment,
    seed: u64,
    now: Now,
    rng: SmallRng,
    queue: BTreeMap<(Now, u64), Event>,
    last_event_id: u64,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    trainers: Vec<Trainer>,
    /// Host whose daemon runs the jobs of each trainer.
    owners: Vec<usize>,
    store: Store,
    permits: limits::Permits,
    violations: Vec<String>,
    weight_loads: usize,
}

impl<'a> Simulation<'a> {
    pub fn new(cfg: &'a Experiment, seed: u64) -> Simulation<'a> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let models: Vec<_> = cfg.trainers.iter().map(|trainer| trainer.model.clone()).collect();
        let slower_count = (cfg.servers.count as f64 * cfg.servers.slower_share).round() as usize;
        let mut servers: Vec<_> = (0..cfg.servers.count)
            .map(|i| {
                Server::new(i, &models, if i < slower_count { cfg.servers.slower } else { 1.0 })
            })
            .collect();
        servers.shuffle(&mut rng);
        let mut simulation = Simulation {
            cfg,
            seed,
            now: START,
            rng,
            queue: BTreeMap::new(),
            last_event_id: 0,
            hosts: (0..cfg.daemons).map(|host| Simulation::new_host(host, 0)).collect(),
            servers,
            trainers: cfg.trainers.iter().map(Trainer::new).collect(),
            owners: (0..cfg.trainers.len()).map(|trainer| trainer % cfg.daemons).collect(),
            store: Store::default(),
            permits: limits::Permits::default(),
            violations: Vec::new(),
            weight_loads: 0,
        };
        (0..cfg.daemons).for_each(|host| simulation.start_daemon(host));
        (0..cfg.trainers.len())
            .for_each(|trainer| simulation.schedule(READ_INTERVAL, Event::Trainer { trainer }));
        for (fault, settings) in cfg.faults.iter().enumerate() {
            simulation.schedule(Duration::from_millis(settings.at_ms), Event::Fault { fault });
        }
        simulation
    }

    /// Runs the simulation until the end of the drain time.
    pub fn run(mut self) -> SimulationResult {
        let end = START + Duration::from_millis(self.cfg.load_ms + self.cfg.drain_ms);
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.violations.extend(self.limit_violations());
        let callers = self.cfg.callers.as_ref();
        let callers = callers.map(|cfg| callers::Simulation::new(self.cfg, cfg, self.seed).run());
        let (loads, violations) = (self.weight_loads, self.violations);
        SimulationResult::new(&self.trainers, START, self.cfg, loads, violations, callers)
    }

    fn new_host(host: usize, incarnation: u64) -> Host {
        Host {
            incarnation,
            up: true,
            jobs: Jobs::default(),
            backends: Backends::default(),
            controller: LeasedController::new(host, incarnation),
        }
    }

    /// Starts a daemon with the server entries and the named versions.
    fn start_daemon(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        for server in &self.servers {
            host.backends.upsert(server.entry(&self.cfg.servers));
        }
        for trainer in &self.trainers {
            let (model, version) = (&trainer.cfg.model, trainer.named_version);
            host.jobs.on_named(self.now, model, version);
            host.controller.weights.on_named(model, version);
        }
        let incarnation = host.incarnation;
        self.schedule(TICK_INTERVAL, Event::Tick { host: index, incarnation });
        self.schedule(SAVE_INTERVAL, Event::SaveProgress { host: index, incarnation });
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.last_event_id += 1;
        self.queue.insert((self.now + after, self.last_event_id), event);
    }

    fn store_latency(&self) -> Duration {
        Duration::from_millis(self.cfg.store.call_ms)
    }

    fn store_is_unavailable(&self) -> bool {
        self.now < self.store.unavailable_until
    }

    fn is_current(&self, host: usize, incarnation: u64) -> bool {
        self.hosts[host].up && self.hosts[host].incarnation == incarnation
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        let mut out = Vec::new();
        match event {
            Event::Tick { host, incarnation } if self.is_current(host, incarnation) => {
                self.schedule(TICK_INTERVAL, Event::Tick { host, incarnation });
                self.advance_jobs(host, out);
                self.advance_controller(host);
            }
            Event::SaveProgress { host, incarnation } if self.is_current(host, incarnation) => {
                self.save(host, incarnation)
            }
            Event::Generated { server, host, run } => self.on_generated(server, host, run),
            Event::RunEnd { host, incarnation, run, end } if self.is_current(host, incarnation) => {
                let daemon = &mut self.hosts[host];
                daemon.jobs.on_run_end(now, &mut daemon.backends, run, &end, &mut out);
                self.advance_jobs(host, out);
            }
            Event::Scored { host, incarnation, job, sample }
                if self.is_current(host, incarnation) =>
            {
                let end = ScoreEnd::Scored("score".to_owned());
                self.hosts[host].jobs.on_scored(now, &job, sample, end, &mut out);
                self.advance_jobs(host, out);
            }
            Event::Append { host, incarnation, job, batch } => {
                let end = self.append(&job, batch);
                if self.is_current(host, incarnation) {
                    self.hosts[host].jobs.on_appended(now, &job, end, &mut out);
                    self.advance_jobs(host, out);
                }
            }
            Event::ReadLog { host, incarnation, job } if self.is_current(host, incarnation) => {
                if self.store_is_unavailable() {
                    self.schedule(STORE_RETRY_DELAY, Event::ReadLog { host, incarnation, job });
                    return;
                }
                let listed = self.store.results.get(&job).cloned().unwrap_or_default();
                self.hosts[host].jobs.on_log(&job, &listed, &mut out);
                self.advance_jobs(host, out);
            }
            Event::ProgressWritten { host, incarnation, job, unsaved }
                if !self.store_is_unavailable() =>
            {
                let token = format!("{host}.{incarnation}");
                let rows = self.store.progress.entry(job.clone()).or_default();
                rows.extend(unsaved.iter().map(|write| (token.clone(), write.row.clone())));
                if self.is_current(host, incarnation) {
                    let jobs = &mut self.hosts[host].jobs;
                    unsaved.iter().for_each(|write| jobs.on_saved(&job, write));
                }
            }
            Event::OpenJob { host, incarnation, trainer, step }
                if self.is_current(host, incarnation) =>
            {
                self.open(host, incarnation, trainer, step);
            }
            Event::Lease { host, incarnation, action } => self.on_lease(host, incarnation, action),
            Event::ReadOrderRecords { host, incarnation, fence }
                if self.is_current(host, incarnation) =>
            {
                if self.store_is_unavailable() {
                    self.schedule(
                        STORE_RETRY_DELAY,
                        Event::ReadOrderRecords { host, incarnation, fence },
                    );
                    return;
                }
                let records = self.store.records.clone().into_iter().collect();
                let controller = &mut self.hosts[host].controller;
                if controller.term == Some(fence) {
                    controller.weights.order_records.on_read(records);
                }
            }
            Event::Report { host, incarnation, server, write_started, version } => {
                self.on_report(host, incarnation, server, write_started, version);
            }
            Event::Order { host, incarnation, server, order } => {
                self.on_order(host, incarnation, server, &order)
            }
            Event::OrderEnd { host, incarnation, fence, server, end }
                if self.is_current(host, incarnation) =>
            {
                let id = &self.servers[server].id;
                self.hosts[host].controller.weights.on_order(now, fence, id, end);
            }
            Event::WeightsLoaded { server } => self.on_loaded(server),
            Event::EntryChanged { server } => {
                let entry = self.servers[server].entry(&self.cfg.servers);
                self.hosts.iter_mut().for_each(|host| host.backends.upsert(entry.clone()));
            }
            Event::Trainer { trainer } => self.on_trainer(trainer),
            Event::Submit { trainer, step } => self.submit(trainer, step),
            Event::NameVersion { trainer } => self.name_version(trainer),
            Event::VersionNamed { trainer, version } => {
                let model = self.trainers[trainer].cfg.model.clone();
                for host in &mut self.hosts {
                    host.jobs.on_named(now, &model, version);
                    host.controller.weights.on_named(&model, version);
                }
            }
            Event::Permits { issuer } => self.poll_permits(issuer),
            Event::Fault { fault } => {
                let fault = self.cfg.faults[fault].clone();
                self.start_fault(&fault);
            }
            Event::Restart { host, incarnation } if self.hosts[host].incarnation == incarnation => {
                self.hosts[host].up = true;
                self.start_daemon(host);
                self.open_owned_jobs(host);
            }
            Event::TakeOver { host, incarnation } if !self.is_current(host, incarnation + 1) => {
                let next = (0..self.hosts.len()).find(|host| self.hosts[*host].up);
                let Some(next) = next else {
                    self.schedule(STORE_RETRY_DELAY, Event::TakeOver { host, incarnation });
                    return;
                };
                self.owners
                    .iter_mut()
                    .filter(|owner| **owner == host)
                    .for_each(|owner| *owner = next);
                self.open_owned_jobs(next);
            }
            _ => {}
        }
    }

    fn server(&self, id: &str) -> usize {
        self.servers.iter().position(|server| server.id == id).expect("unknown server")
    }
}
