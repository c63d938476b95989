//! One day: daemons, servers, the store and trainers, as a queue of events.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_core::{
    backends::Backends,
    job::{restored, AppendEnd, Batch, JobAction, Jobs, RunEnd, Saving, ScoreEnd},
    lease::LeaseAction,
    table::TableError,
    weights::{Order, OrderEnd, Recorded, WeightAction},
    Now,
};
use buckthornfall_proto::{
    ids::Fence,
    messages::{ProgressRow, ResultRow, Row, TxnAnswer},
};
use bytes::Bytes;
use rand::{rngs::SmallRng, seq::SliceRandom, Rng, SeedableRng};

use super::{
    duty::{host_name, Duty},
    experiment::{Experiment, Fault, FaultKind},
    report::DayReport,
    servers::{Running, Server},
    trainer::Trainer,
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
    Saved { host: usize, life: u64, job: String, savings: Vec<Saving> },
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
    records: BTreeMap<String, Recorded>,
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
                    duty.weights.turns.on_read(records);
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

    fn advance_jobs(&mut self, host: usize, mut out: Vec<JobAction>) {
        let known = &mut self.hosts[host];
        let plan = known.duty.weights.plan();
        known.jobs.tick(self.now, &mut known.backends, plan, &mut out);
        let life = known.life;
        for action in out {
            self.act(host, life, action);
        }
    }

    fn act(&mut self, host: usize, life: u64, action: JobAction) {
        let call = self.call_time();
        match action {
            JobAction::Run { run, job, sample, server, after } => {
                self.start_run(host, life, run, &job, sample, &server, after);
            }
            JobAction::Cancel { run, server } => {
                let index = self.server(&server);
                self.servers[index].running.remove(&(host, run));
                let how = buckthornfall_core::backends::Ended::Cancelled;
                self.hosts[host].backends.ended(self.now, &server, how);
            }
            JobAction::Move { run } => {
                for server in &mut self.servers {
                    server.running.remove(&(host, run));
                }
            }
            JobAction::Score { job, sample, .. } => {
                let trainer = self.step_of(&job).0;
                let took = Duration::from_millis(self.trainers[trainer].cfg.score_ms);
                self.push(took, Event::Scored { host, life, job, sample });
            }
            JobAction::Append { job, batch } => {
                self.push(call, Event::Append { host, life, job, batch });
            }
            JobAction::ReadLog { job } => self.push(call, Event::ReadLog { host, life, job }),
            JobAction::GaveUp { .. } => {}
        }
    }

    fn server(&self, id: &str) -> usize {
        self.servers.iter().position(|server| server.id == id).expect("a server of this day")
    }

    /// The trainer and the step of a job.
    fn step_of(&self, job: &str) -> (usize, usize) {
        let (model, step) = job.rsplit_once('-').expect("a job of this day");
        let trainer = self.trainers.iter().position(|trainer| trainer.cfg.model == model);
        (trainer.expect("a model of this day"), step.parse().expect("the number of a step"))
    }

    #[allow(clippy::too_many_arguments)]
    fn start_run(
        &mut self,
        host: usize,
        life: u64,
        run: u64,
        job: &str,
        sample: usize,
        server: &str,
        after: Option<u64>,
    ) {
        let index = self.server(server);
        let (trainer, step) = self.step_of(job);
        let model = self.trainers[trainer].cfg.model.clone();
        let length = self.trainers[trainer].steps[step].lengths[sample];
        let (now, cfg) = (self.now, &self.cfg.servers);
        let target = &mut self.servers[index];
        if now < target.down_until {
            let end = RunEnd::Broken;
            self.push(SERVER_CALL, Event::RunEnd { host, life, run, end });
            return;
        }
        let version = target.versions[&model];
        let known = &mut self.hosts[host];
        if !target.takes(now, cfg) || !known.jobs.on_head(run, version) {
            let end = RunEnd::Refused;
            self.push(SERVER_CALL, Event::RunEnd { host, life, run, end });
            return;
        }
        if now < target.fails_until {
            let end = RunEnd::Failed;
            self.push(SERVER_CALL, Event::RunEnd { host, life, run, end });
            return;
        }
        target.running.insert((host, run), Running { made: after.unwrap_or(0), length, model });
        self.push_event(index, host, run);
    }

    fn push_event(&mut self, server: usize, host: usize, run: u64) {
        let jitter = 1.0 + JITTER * (2.0 * self.rng.random::<f64>() - 1.0);
        let after = self.servers[server].event_time(self.now, &self.cfg.servers, jitter);
        self.push(after, Event::Made { server, host, run });
    }

    fn on_made(&mut self, server: usize, host: usize, run: u64) {
        let now = self.now;
        let target = &mut self.servers[server];
        let Some(running) = target.running.get_mut(&(host, run)) else { return };
        running.made += 1;
        let (made, whole) = (running.made, running.made >= running.length);
        let version = target.versions[&running.model];
        let known = &mut self.hosts[host];
        let wanted =
            known.jobs.on_event(now, &mut known.backends, run, made, Bytes::new(), Some(version));
        if wanted && !whole {
            return self.push_event(server, host, run);
        }
        target.running.remove(&(host, run));
        let end = if wanted { RunEnd::Complete } else { RunEnd::Broken };
        let mut out = Vec::new();
        known.jobs.on_run_end(now, &mut known.backends, run, &end, &mut out);
        self.advance_jobs(host, out);
    }

    fn append(&mut self, job: &str, batch: Batch) -> AppendEnd {
        if self.store_is_away() {
            return AppendEnd::Refused;
        }
        let log = self.store.results.entry(job.to_owned()).or_default();
        if batch.first != log.len() {
            return AppendEnd::Conflict;
        }
        log.extend(batch.results);
        AppendEnd::Done
    }

    fn save(&mut self, host: usize, life: u64) {
        self.push(SAVE_INTERVAL, Event::Save { host, life });
        let ids: Vec<_> = self.hosts[host].jobs.ids().cloned().collect();
        for job in ids {
            let savings = self.hosts[host].jobs.unsaved(&job);
            if !savings.is_empty() {
                self.push(self.call_time(), Event::Saved { host, life, job, savings });
            }
        }
    }

    fn open(&mut self, host: usize, life: u64, trainer: usize, step: usize) {
        if self.store_is_away() {
            return self.push(STORE_PAUSE, Event::Open { host, life, trainer, step });
        }
        let known = &self.trainers[trainer];
        let asked = &known.steps[step];
        if asked.ended.is_some() || self.owners[trainer] != host {
            return;
        }
        let listed = self.store.results.get(&asked.job).cloned().unwrap_or_default();
        let saved = restored(self.store.progress.get(&asked.job).map_or(&[], Vec::as_slice));
        let (spec, policy) = (asked.spec.clone(), known.policy(asked));
        let target = &mut self.hosts[host];
        target.jobs.open(self.now, &asked.job, spec, policy, &listed, saved);
        self.advance_jobs(host, Vec::new());
    }

    /// Opens all jobs that a daemon owns.
    fn open_all(&mut self, host: usize) {
        let life = self.hosts[host].life;
        for trainer in
            (0..self.trainers.len()).filter(|t| self.owners[*t] == host).collect::<Vec<_>>()
        {
            for step in 0..self.trainers[trainer].steps.len() {
                let asked = &self.trainers[trainer].steps[step];
                if asked.accepted.is_some() && asked.ended.is_none() {
                    self.push(2 * self.call_time(), Event::Open { host, life, trainer, step });
                }
            }
        }
    }

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

    fn advance_duty(&mut self, host: usize) {
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

    fn on_lease(&mut self, host: usize, life: u64, action: LeaseAction) {
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
                WeightAction::AskReport { server } => {
                    let version = self.hosts[host].duty.weights.turns.version(&server);
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

    fn on_report(&mut self, host: usize, life: u64, server: usize, began: Now, version: u64) {
        let now = self.now;
        let id = self.servers[server].id.clone();
        let known = self.store.records.get(&id).map_or(0, |record| record.version);
        if !self.store_is_away() && known == version {
            self.store.version += 1;
            let record = Recorded { host: host_name(host), at: began, version: self.store.version };
            self.store.records.insert(id.clone(), record);
        }
        if !self.lives(host, life) {
            return;
        }
        let found = self.store.records.get(&id).cloned().filter(|_| !self.store_is_away());
        let may_send = self.hosts[host].duty.on_record(now, &id, began, found);
        let answers = now >= self.servers[server].down_until;
        let report = (may_send && answers).then(|| self.servers[server].report());
        let fence = self.fence(host);
        let mut out = Vec::new();
        let weights = &mut self.hosts[host].duty.weights;
        weights.on_report(now, fence, &id, report.as_ref(), &mut out);
        self.act_on_weights(host, out);
    }

    fn on_order(&mut self, host: usize, life: u64, server: usize, order: &Order) {
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

    fn on_loaded(&mut self, server: usize) {
        if self.servers[server].finish_load(self.now) {
            self.push(ENTRY_LAG, Event::Entry { server });
        }
    }

    fn on_trainer(&mut self, index: usize) {
        self.push(READ_INTERVAL, Event::Trainer { trainer: index });
        let now = self.now;
        let until = START + Duration::from_millis(self.cfg.load_ms);
        while self.trainers[index].asks(now, START, until) {
            self.trainers[index].ask(now, &mut self.rng);
            let step = self.trainers[index].steps.len() - 1;
            self.push(self.call_time(), Event::Submit { trainer: index, step });
        }
        if self.store_is_away() {
            return;
        }
        let mut ended = Vec::new();
        let trainer = &mut self.trainers[index];
        let limit = Duration::from_millis(trainer.cfg.limit_ms);
        for step in trainer.steps.iter_mut().filter(|step| step.ended.is_none()) {
            let listed = self.store.results.get(&step.job);
            let ids: Vec<_> = listed.into_iter().flatten().map(|row| row.id.clone()).collect();
            step.read(now, &ids);
            let whole = step.whole.len() >= trainer.cfg.target_groups;
            if whole || now >= step.asked + limit {
                step.ended = Some(now);
                ended.push(step.job.clone());
            }
        }
        let train = Duration::from_millis(trainer.cfg.train_ms);
        for job in ended {
            for host in 0..self.hosts.len() {
                let mut out = Vec::new();
                self.hosts[host].jobs.close(now, &job, &mut out);
                self.advance_jobs(host, out);
            }
            self.push(train, Event::Name { trainer: index });
        }
    }

    fn submit(&mut self, trainer: usize, step: usize) {
        if self.store_is_away() {
            return self.push(SEND_AGAIN, Event::Submit { trainer, step });
        }
        let now = self.now;
        let asked = &mut self.trainers[trainer].steps[step];
        asked.accepted = Some(now);
        let tokens = asked.spec.samples.iter().map(|sample| sample.expected_tokens).sum();
        let (model, needed) = (asked.spec.model.clone(), asked.spec.min_version);
        for host in &mut self.hosts {
            host.duty.weights.on_job(now, &model, tokens, needed);
        }
        let host = self.owners[trainer];
        let life = self.hosts[host].life;
        self.push(2 * self.call_time(), Event::Open { host, life, trainer, step });
    }

    fn name(&mut self, index: usize) {
        if self.store_is_away() {
            return self.push(SEND_AGAIN, Event::Name { trainer: index });
        }
        let trainer = &mut self.trainers[index];
        trainer.named += 1;
        let version = trainer.named;
        self.push(2 * self.call_time(), Event::Named { trainer: index, version });
    }

    fn begin_fault(&mut self, fault: &Fault) {
        let until = self.now + Duration::from_millis(fault.for_ms);
        match fault.kind {
            FaultKind::StoreAway => self.store.away_until = until,
            FaultKind::ServersSlow => {
                for server in self.some(fault.share, self.servers.len()) {
                    self.servers[server].slow_until = (until, fault.slower);
                }
            }
            FaultKind::ServersFail => {
                for server in self.some(fault.share, self.servers.len()) {
                    self.servers[server].fails_until = until;
                }
            }
            FaultKind::ServersCrash => {
                for server in self.some(fault.share, self.servers.len()) {
                    self.crash(server, until);
                }
            }
            FaultKind::DaemonsKilled => {
                for host in self.some(fault.share, self.hosts.len()) {
                    self.kill(host, Duration::from_millis(fault.for_ms));
                }
            }
            FaultKind::HolderKilled => {
                let now = self.now;
                let holder = self.hosts.iter().position(|h| h.duty.lease.fence(now).is_some());
                if let Some(host) = holder {
                    self.kill(host, Duration::from_millis(fault.for_ms));
                }
            }
        }
    }

    /// A share of `count`, at least one, by chance.
    fn some(&mut self, share: f64, count: usize) -> Vec<usize> {
        let mut all: Vec<_> = (0..count).collect();
        all.shuffle(&mut self.rng);
        all.truncate(((count as f64 * share).round() as usize).max(1));
        all
    }

    fn crash(&mut self, server: usize, until: Now) {
        let target = &mut self.servers[server];
        target.down_until = until;
        target.loads = None;
        let runs: Vec<_> = std::mem::take(&mut target.running).into_keys().collect();
        for (host, run) in runs {
            let life = self.hosts[host].life;
            self.push(SERVER_CALL, Event::RunEnd { host, life, run, end: RunEnd::Broken });
        }
    }

    fn kill(&mut self, host: usize, down: Duration) {
        let life = self.hosts[host].life;
        self.hosts[host] = Host { up: false, ..Day::start_host(host, life + 1) };
        for server in &mut self.servers {
            server.running.retain(|(of, _), _| *of != host);
        }
        self.push(down, Event::Restart { host, life: life + 1 });
        self.push(TAKE_OVER, Event::TakeOver { host, life });
    }
}
