//! One day: daemons, servers, the store and trainers, as a queue of events.

mod faults;
mod jobs;
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

use super::{
    duty::Duty, experiment::Experiment, report::DayReport, servers::Server, trainer::Trainer,
};

/// Service of the model servers.
pub const SERVICE: &str = "engines";
/// Start of the load, so that no time is zero.
const START: Now = Duration::from_secs(100);
/// Time between two looks of a daemon at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Time between two saves of progress.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads of a trainer, and before it sends again what was refused.
const READ_INTERVAL: Duration = Duration::from_millis(500);
const SEND_AGAIN: Duration = Duration::from_millis(350);
/// Time after which the jobs of a lost daemon are taken over.
const TAKE_OVER: Duration = Duration::from_millis(1_500);
/// Time until daemons know the new entry of a server.
const ENTRY_LAG: Duration = Duration::from_millis(150);
/// Pause before the store is asked again.
const STORE_PAUSE: Duration = Duration::from_millis(150);
/// Time of a refusal of a server, and of an order.
const SERVER_CALL: Duration = Duration::from_millis(5);
/// Largest part by which an event comes sooner or later than the batch says.
const JITTER: f64 = 0.2;

#[derive(Debug)]
enum Event {
    Tick { host: usize, life: u64 },
    Save { host: usize, life: u64 },
    Made { server: usize, host: usize, run: u64 },
    RunEnd { host: usize, life: u64, run: u64, end: RunEnd },
    Scored { host: usize, life: u64, job: String, sample: usize },
    Append { host: usize, life: u64, job: String, batch: Batch },
    ReadLog { host: usize, life: u64, job: String },
    Saved { host: usize, life: u64, job: String, savings: Vec<ProgressWrite> },
    Open { host: usize, life: u64, trainer: usize, step: usize },
    Lease { host: usize, life: u64, action: LeaseAction },
    Records { host: usize, life: u64, fence: Fence },
    Report { host: usize, life: u64, server: usize, began: Now, version: u64 },
    Order { host: usize, life: u64, server: usize, order: Order },
    OrderEnd { host: usize, life: u64, fence: Fence, server: usize, end: OrderEnd },
    Loaded { server: usize },
    Entry { server: usize },
    Trainer { trainer: usize },
    Submit { trainer: usize, step: usize },
    Name { trainer: usize },
    Named { trainer: usize, version: u64 },
    Fault { fault: usize },
    Restart { host: usize, life: u64 },
    TakeOver { host: usize, life: u64 },
}

struct Host {
    life: u64,
    up: bool,
    jobs: Jobs,
    backends: Backends,
    duty: Duty,
}

/// What the store holds.
#[derive(Default)]
struct Stored {
    away_until: Now,
    version: u64,
    lease: Option<Row>,
    records: BTreeMap<String, OrderRecord>,
    results: BTreeMap<String, Vec<ResultRow>>,
    progress: BTreeMap<String, Vec<(String, ProgressRow)>>,
}

/// One day.
pub struct Day<'a> {
    cfg: &'a Experiment,
    now: Now,
    rng: SmallRng,
    queue: BTreeMap<(Now, u64), Event>,
    queued: u64,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    trainers: Vec<Trainer>,
    /// Daemon that runs the jobs of each trainer.
    owners: Vec<usize>,
    store: Stored,
    broken: Vec<String>,
    loads: usize,
}

impl<'a> Day<'a> {
    pub fn new(cfg: &'a Experiment, seed: u64) -> Day<'a> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let models: Vec<_> = cfg.trainers.iter().map(|trainer| trainer.model.clone()).collect();
        let slower = (cfg.servers.count as f64 * cfg.servers.slower_share).round() as usize;
        let mut servers: Vec<_> = (0..cfg.servers.count)
            .map(|i| Server::new(i, &models, if i < slower { cfg.servers.slower } else { 1.0 }))
            .collect();
        servers.shuffle(&mut rng);
        let mut day = Day {
            cfg,
            now: START,
            rng,
            queue: BTreeMap::new(),
            queued: 0,
            hosts: (0..cfg.daemons).map(|host| Day::start_host(host, 0)).collect(),
            servers,
            trainers: cfg.trainers.iter().map(Trainer::new).collect(),
            owners: (0..cfg.trainers.len()).map(|trainer| trainer % cfg.daemons).collect(),
            store: Stored::default(),
            broken: Vec::new(),
            loads: 0,
        };
        (0..cfg.daemons).for_each(|host| day.begin(host));
        (0..cfg.trainers.len())
            .for_each(|trainer| day.push(READ_INTERVAL, Event::Trainer { trainer }));
        for (fault, known) in cfg.faults.iter().enumerate() {
            day.push(Duration::from_millis(known.at_ms), Event::Fault { fault });
        }
        day
    }

    /// Plays the day to its end.
    pub fn play(mut self) -> DayReport {
        let end = START + Duration::from_millis(self.cfg.load_ms + self.cfg.drain_ms);
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.take(event);
        }
        DayReport::new(&self.trainers, START, self.cfg, self.loads, self.broken)
    }

    fn start_host(host: usize, life: u64) -> Host {
        Host {
            life,
            up: true,
            jobs: Jobs::default(),
            backends: Backends::default(),
            duty: Duty::new(host, life),
        }
    }

    /// Lets a daemon begin to work: it reads the entries and the named versions.
    fn begin(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        for server in &self.servers {
            host.backends.upsert(server.entry(&self.cfg.servers));
        }
        for trainer in &self.trainers {
            let (model, version) = (&trainer.cfg.model, trainer.named);
            host.jobs.on_named(self.now, model, version);
            host.duty.weights.on_named(model, version);
        }
        let life = host.life;
        self.push(TICK, Event::Tick { host: index, life });
        self.push(SAVE_INTERVAL, Event::Save { host: index, life });
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.queued += 1;
        self.queue.insert((self.now + after, self.queued), event);
    }

    fn call_time(&self) -> Duration {
        Duration::from_millis(self.cfg.store.call_ms)
    }

    fn store_is_away(&self) -> bool {
        self.now < self.store.away_until
    }

    fn lives(&self, host: usize, life: u64) -> bool {
        self.hosts[host].up && self.hosts[host].life == life
    }

    fn take(&mut self, event: Event) {
        let now = self.now;
        let mut out = Vec::new();
        match event {
            Event::Tick { host, life } if self.lives(host, life) => {
                self.push(TICK, Event::Tick { host, life });
                self.advance_jobs(host, out);
                self.advance_duty(host);
            }
            Event::Save { host, life } if self.lives(host, life) => self.save(host, life),
            Event::Made { server, host, run } => self.on_made(server, host, run),
            Event::RunEnd { host, life, run, end } if self.lives(host, life) => {
                let known = &mut self.hosts[host];
                known.jobs.on_run_end(now, &mut known.backends, run, &end, &mut out);
                self.advance_jobs(host, out);
            }
            Event::Scored { host, life, job, sample } if self.lives(host, life) => {
                let end = ScoreEnd::Scored("score".to_owned());
                self.hosts[host].jobs.on_scored(now, &job, sample, end, &mut out);
                self.advance_jobs(host, out);
            }
            Event::Append { host, life, job, batch } => {
                let end = self.append(&job, batch);
                if self.lives(host, life) {
                    self.hosts[host].jobs.on_appended(now, &job, end, &mut out);
                    self.advance_jobs(host, out);
                }
            }
            Event::ReadLog { host, life, job } if self.lives(host, life) => {
                if self.store_is_away() {
                    self.push(STORE_PAUSE, Event::ReadLog { host, life, job });
                    return;
                }
                let listed = self.store.results.get(&job).cloned().unwrap_or_default();
                self.hosts[host].jobs.on_log(&job, &listed, &mut out);
                self.advance_jobs(host, out);
            }
            Event::Saved { host, life, job, savings } if !self.store_is_away() => {
                let token = format!("{host}.{life}");
                let rows = self.store.progress.entry(job.clone()).or_default();
                rows.extend(savings.iter().map(|saving| (token.clone(), saving.row.clone())));
                if self.lives(host, life) {
                    let jobs = &mut self.hosts[host].jobs;
                    savings.iter().for_each(|saving| jobs.on_saved(&job, saving));
                }
            }
            Event::Open { host, life, trainer, step } if self.lives(host, life) => {
                self.open(host, life, trainer, step);
            }
            Event::Lease { host, life, action } => self.on_lease(host, life, action),
            Event::Records { host, life, fence } if self.lives(host, life) => {
                if self.store_is_away() {
                    self.push(STORE_PAUSE, Event::Records { host, life, fence });
                    return;
                }
                let records = self.store.records.clone().into_iter().collect();
                let duty = &mut self.hosts[host].duty;
                if duty.term == Some(fence) {
                    duty.weights.order_records.on_read(records);
                }
            }
            Event::Report { host, life, server, began, version } => {
                self.on_report(host, life, server, began, version);
            }
            Event::Order { host, life, server, order } => self.on_order(host, life, server, &order),
            Event::OrderEnd { host, life, fence, server, end } if self.lives(host, life) => {
                let id = &self.servers[server].id;
                self.hosts[host].duty.weights.on_order(now, fence, id, end);
            }
            Event::Loaded { server } => self.on_loaded(server),
            Event::Entry { server } => {
                let entry = self.servers[server].entry(&self.cfg.servers);
                self.hosts.iter_mut().for_each(|host| host.backends.upsert(entry.clone()));
            }
            Event::Trainer { trainer } => self.on_trainer(trainer),
            Event::Submit { trainer, step } => self.submit(trainer, step),
            Event::Name { trainer } => self.name(trainer),
            Event::Named { trainer, version } => {
                let model = self.trainers[trainer].cfg.model.clone();
                for host in &mut self.hosts {
                    host.jobs.on_named(now, &model, version);
                    host.duty.weights.on_named(&model, version);
                }
            }
            Event::Fault { fault } => {
                let fault = self.cfg.faults[fault].clone();
                self.begin_fault(&fault);
            }
            Event::Restart { host, life } if self.hosts[host].life == life => {
                self.hosts[host].up = true;
                self.begin(host);
                self.open_all(host);
            }
            Event::TakeOver { host, life } if !self.lives(host, life + 1) => {
                let next = (0..self.hosts.len()).find(|host| self.hosts[*host].up);
                let Some(next) = next else {
                    self.push(STORE_PAUSE, Event::TakeOver { host, life });
                    return;
                };
                self.owners.iter_mut().filter(|owner| **owner == host).for_each(|o| *o = next);
                self.open_all(next);
            }
            _ => {}
        }
    }

    fn server(&self, id: &str) -> usize {
        self.servers.iter().position(|server| server.id == id).expect("a server of this day")
    }
}
