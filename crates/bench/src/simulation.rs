//! Simulation of one policy: the dispatcher and step coordinators of a daemon, engines, trainers
//! and interactive callers.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_core::{
    dispatch::{
        AttemptEvent, Class, DispatchAction, Dispatcher, Progress, Task, Work, WorkEvent, WorkId,
    },
    fleet::Place,
    order::Order,
    pick::Pick,
    quarantine::QuarantineAction,
    step::{StepAction, StepCoordinator, StepPolicy, WORK_ID_BITS},
    table::{TableError, ABSENT},
    Now,
};
use buckthornfall_proto::{
    digest::fingerprint,
    ids::AttemptId,
    manifest::Manifest,
    messages::{Cursor, GroupSpec, PullRequest, Row, StepSpec, Txn, TxnAnswer},
};
use bytes::Bytes;
use rand::{rngs::SmallRng, Rng, SeedableRng};

use crate::{
    engine::{Engine, Run},
    scenario::Scenario,
};

/// Interval between two ticks of the dispatcher and the coordinators.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two status requests to a server.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Age of a status report on arrival.
const REPORT_LATENCY: Duration = Duration::from_millis(400);
const TRAINER_POLL_INTERVAL: Duration = Duration::from_millis(100);
const TOKENS_PER_EVENT: u32 = 8;
/// Outage of an engine after a crash.
const RESTART_TIME: Duration = Duration::from_secs(10);
/// Time from the end of training until the new weights are staged on the engines.
const STAGING_TIME: Duration = Duration::from_secs(4);
/// Time for which an engine refuses an adapter while it swaps the adapter's weights.
const SWAP_TIME: Duration = Duration::from_secs(1);
/// Network latency between a daemon and a server.
const NETWORK_LATENCY: Duration = Duration::from_millis(3);
const SCORE_LATENCY: Duration = Duration::from_millis(50);
const INTERACTIVE_TOKENS: u32 = 64;
/// Number of engines that swap weights at the same time.
const SWAP_BATCH_SIZE: usize = 3;
/// Slowdown of engine 1, which shows the cost of stragglers.
const STRAGGLER_SLOWDOWN: f64 = 2.5;
/// Virtual time at which a simulation is aborted.
const MAX_VIRTUAL_TIME: Now = Duration::from_secs(24 * 3600);

enum Event {
    Tick,
    Poll,
    Report { server: String, state: Option<buckthornfall_proto::messages::EngineState> },
    Tokens { engine: usize, incarnation: u64, attempt: AttemptId },
    Score { attempt: AttemptId },
    Isolated { engine: usize, attempt: AttemptId },
    Attempt { attempt: AttemptId, event: AttemptEvent },
    Crash,
    SwapStart { adapter: String, version: u64, next: usize },
    SwapEnd { engine: usize, incarnation: u64, adapter: String, version: u64 },
    Trainer { trainer: usize },
    TrainingDone { trainer: usize },
    Interactive,
}

/// State of a trainer.
struct TrainerState {
    version: u64,
    step: u64,
    cursor: Cursor,
    waiting_since: Option<Now>,
    submitted_at: BTreeMap<u64, Now>,
    is_training: bool,
}

/// Measurements of one simulation.
#[derive(Debug, Clone, Default)]
pub struct Measurements {
    /// Share of the time that trainers waited for samples.
    pub idle_share: f64,
    /// Number of versions that each delivered sample was behind its trainer.
    pub staleness: Vec<u64>,
    /// Share of generated tokens that were discarded.
    pub wasted_share: f64,
    /// Duration of each step, from its submission to its last sample.
    pub step_times: Vec<Duration>,
    /// Share of prompts whose prefix was cached.
    pub prefix_hit_share: f64,
    /// Latency of each interactive request.
    pub interactive_latencies: Vec<Duration>,
    /// Traffic over the link between regions, in bytes.
    pub link_bytes: u64,
    /// Lower bound of `idle_share` for any schedule.
    pub idle_bound: f64,
    /// Number of interactive requests that failed.
    pub interactive_failures: u64,
}

/// Simulation of one policy.
pub struct Simulation<P, O> {
    now: Now,
    queue: BTreeMap<(Now, u64), Event>,
    sequence: u64,
    rng: SmallRng,
    scenario: Scenario,
    manifest: Manifest,
    dispatcher: Dispatcher<P>,
    coordinators: Vec<StepCoordinator<O>>,
    engines: Vec<Engine>,
    trainers: Vec<TrainerState>,
    table: BTreeMap<String, Row>,
    table_version: u64,
    attempts: BTreeMap<AttemptId, (WorkId, Task)>,
    interactive_started: BTreeMap<WorkId, Now>,
    sample_lengths: BTreeMap<u64, u32>,
    next_work: WorkId,
    prefix_hits: u64,
    prompts: u64,
    generated_tokens: u64,
    idle_time: Duration,
    idle_bound: Duration,
    measurements: Measurements,
}

impl<P: Pick, O: Order + Clone> Simulation<P, O> {
    /// Creates a simulation of a scenario; `adjust` modifies the step policy.
    pub fn new(
        scenario: &Scenario,
        seed: u64,
        pick: P,
        order: &O,
        adjust: impl Fn(&mut StepPolicy),
    ) -> Simulation<P, O> {
        let manifest = scenario.manifest();
        let adapters = manifest.models[0].adapters.clone();
        let place = Place { host: "entry".into(), zone: "near".into(), region: "home".into() };
        let mut dispatcher = Dispatcher::new(place, 1, pick);
        let hosts = ["entry".to_owned()];
        dispatcher.configure(Now::ZERO, &manifest, &hosts, &mut Vec::new());
        let slowdown = |i: usize| if i == 1 { STRAGGLER_SLOWDOWN } else { 1.0 };
        let engines = (0..scenario.engines)
            .map(|i| Engine::new(&format!("engine-{i}"), scenario.slots, &adapters, slowdown(i)))
            .collect();
        let coordinators = manifest.trainers.iter().zip(1..).map(|(trainer, namespace)| {
            let objective = &manifest.objective;
            let mut coordinator =
                StepCoordinator::new(trainer.clone(), objective, order.clone(), "owner", namespace);
            let mut policy = StepPolicy::new(trainer, objective);
            adjust(&mut policy);
            coordinator.set_policy(policy);
            coordinator
        });
        let coordinators = coordinators.collect();
        let trainers = (0..scenario.trainers).map(|_| new_trainer()).collect();
        Simulation {
            now: Now::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            scenario: scenario.clone(),
            manifest,
            dispatcher,
            coordinators,
            engines,
            trainers,
            table: BTreeMap::new(),
            table_version: 0,
            attempts: BTreeMap::new(),
            interactive_started: BTreeMap::new(),
            sample_lengths: BTreeMap::new(),
            next_work: 0,
            prefix_hits: 0,
            prompts: 0,
            generated_tokens: 0,
            idle_time: Duration::ZERO,
            idle_bound: Duration::ZERO,
            measurements: Measurements::default(),
        }
    }

    /// Runs the simulation until all trainers have completed their steps.
    pub fn run(mut self) -> Measurements {
        self.schedule_at(Duration::ZERO, Event::Poll);
        self.schedule_at(Duration::from_secs(1), Event::Tick);
        if self.scenario.interactive_interval.is_some() {
            self.schedule_at(Duration::from_secs(2), Event::Interactive);
        }
        let crash = self.exponential(self.scenario.crash_interval);
        self.schedule_at(crash, Event::Crash);
        for trainer in 0..self.trainers.len() {
            self.schedule_at(Duration::from_secs(2), Event::Trainer { trainer });
        }
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            if self.is_done() || at > MAX_VIRTUAL_TIME {
                break;
            }
            self.handle(event);
        }
        self.finish()
    }

    fn is_done(&self) -> bool {
        if self.scenario.rollouts {
            self.trainers.iter().all(|trainer| trainer.step > self.scenario.steps)
        } else {
            self.now > Duration::from_secs(400)
        }
    }

    fn finish(mut self) -> Measurements {
        let trainer_time_s = self.now.as_secs_f64() * self.trainers.len() as f64;
        self.measurements.idle_share = self.idle_time.as_secs_f64() / trainer_time_s;
        self.measurements.idle_bound = self.idle_bound.as_secs_f64() / trainer_time_s;
        let wasted: u64 = self.coordinators.iter().map(|c| c.stats().wasted_tokens).sum();
        self.measurements.wasted_share = wasted as f64 / self.generated_tokens.max(1) as f64;
        self.measurements.prefix_hit_share = self.prefix_hits as f64 / self.prompts.max(1) as f64;
        self.measurements.link_bytes = self.dispatcher.stats().link_bytes;
        self.measurements
    }

    fn schedule_at(&mut self, at: Now, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        mean.mul_f64(-uniform.ln())
    }

    /// Returns the length in tokens of the sample with this seed, drawn from a heavy-tailed
    /// log-normal distribution: most samples are short, and few reach `max_tokens`.
    fn length(&mut self, seed: u64, max_tokens: u32) -> u32 {
        const MEDIAN_TOKENS: f64 = 160.0;
        const SIGMA: f64 = 0.95;
        if let Some(length) = self.sample_lengths.get(&seed) {
            return *length;
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let normal: f64 = (0..12).map(|_| rng.random_range(0.0..1.0f64)).sum::<f64>() - 6.0;
        let length = (MEDIAN_TOKENS * (SIGMA * normal).exp()) as u32;
        let length = length.clamp(8.min(max_tokens), max_tokens);
        self.sample_lengths.insert(seed, length);
        length
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Poll => self.poll(),
            Event::Report { server, state } => {
                let mut out = Vec::new();
                match state {
                    Some(state) => self.dispatcher.on_report(self.now, &server, state, &mut out),
                    None => self.dispatcher.on_unreachable(self.now, &server, &mut out),
                }
                self.apply(out);
            }
            Event::Tokens { engine, incarnation, attempt } => {
                self.on_tokens(engine, incarnation, &attempt);
            }
            Event::Score { attempt } => {
                let body = Bytes::from_static(b"{\"score\":0.5}");
                self.on_attempt(&attempt, AttemptEvent::Answered { status: 200, body });
            }
            Event::Isolated { engine, attempt } => self.on_isolated(engine, attempt),
            Event::Attempt { attempt, event } => self.on_attempt(&attempt, event),
            Event::Crash => self.crash(),
            Event::SwapStart { adapter, version, next } => self.start_swap(adapter, version, next),
            Event::SwapEnd { engine, incarnation, adapter, version } => {
                let engine = &mut self.engines[engine];
                engine.swapping = None;
                if engine.incarnation == incarnation {
                    engine.versions.insert(adapter, version);
                }
            }
            Event::Trainer { trainer } => self.on_trainer(trainer),
            Event::TrainingDone { trainer } => self.on_training_done(trainer),
            Event::Interactive => self.on_interactive(),
        }
    }

    fn tick(&mut self) {
        self.schedule_after(TICK_INTERVAL, Event::Tick);
        let mut out = Vec::new();
        self.dispatcher.tick(self.now, &mut out);
        self.apply(out);
        let busy: usize = self.engines.iter().map(|engine| engine.runs.len()).sum();
        let slots = self.scenario.engines * self.scenario.slots as usize;
        let idle_slots = slots.saturating_sub(busy + self.dispatcher.queued("model"));
        for trainer in 0..self.coordinators.len() {
            let mut out = Vec::new();
            self.coordinators[trainer].tick(self.now, idle_slots, &mut out);
            self.apply_step_actions(trainer, out);
        }
    }

    fn poll(&mut self) {
        self.schedule_after(POLL_INTERVAL, Event::Poll);
        let servers: Vec<_> =
            self.dispatcher.fleet().iter().map(|server| server.info.name.clone()).collect();
        for server in servers {
            self.report(server, REPORT_LATENCY);
        }
    }

    /// Schedules the arrival, after `lag`, of a report of the server's current state.
    fn report(&mut self, server: String, lag: Duration) {
        let engine = self.engines.iter().find(|engine| engine.name == server);
        let state = match engine {
            Some(engine) if self.now < engine.down_until => None,
            Some(engine) => Some(engine.state()),
            None => Some(Engine::new("score", 512, &[], 1.0).state()),
        };
        self.schedule_after(lag, Event::Report { server, state });
    }

    fn on_attempt(&mut self, attempt: &str, event: AttemptEvent) {
        let mut out = Vec::new();
        self.dispatcher.on_attempt(self.now, attempt, event, &mut out);
        self.apply(out);
    }

    fn apply(&mut self, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Start { attempt, work, server, task, resume_tokens, .. } => {
                    self.start(attempt, work, &server, task, resume_tokens);
                }
                DispatchAction::Cancel { attempt } => {
                    for engine in &mut self.engines {
                        engine.runs.remove(&attempt);
                    }
                }
                DispatchAction::Emit { work, event } => self.on_work_event(work, event),
                DispatchAction::Probe { server } => self.report(server, NETWORK_LATENCY),
                DispatchAction::Isolate { server, attempt, .. } => {
                    let found = self.engines.iter().position(|engine| engine.name == server);
                    if let Some(engine) = found {
                        self.engines[engine].isolated_for = Some(attempt.clone());
                        self.schedule_after(NETWORK_LATENCY, Event::Isolated { engine, attempt });
                    }
                }
                DispatchAction::Unisolate { server, .. } => {
                    for engine in self.engines.iter_mut().filter(|e| e.name == server) {
                        engine.isolated_for = None;
                    }
                }
                DispatchAction::Quarantine(action) => self.quarantine(action),
            }
        }
    }

    fn quarantine(&mut self, action: QuarantineAction) {
        let mut out = Vec::new();
        match action {
            QuarantineAction::Read { fingerprint } => {
                let row = self.read(&buckthornfall_core::quarantine::key(fingerprint));
                self.dispatcher.on_quarantine_read(self.now, fingerprint, &Ok(row), &mut out);
            }
            QuarantineAction::Txn { fingerprint, txn } => {
                let reply: Result<TxnAnswer, TableError> = Ok(self.write(&txn));
                self.dispatcher.on_quarantine_txn(self.now, fingerprint, &reply, &mut out);
            }
            QuarantineAction::Answer { .. } => {}
        }
        self.apply(out);
    }

    fn read(&self, key: &str) -> Row {
        let absent = || Row { key: key.to_owned(), version: ABSENT, value: String::new() };
        self.table.get(key).cloned().unwrap_or_else(absent)
    }

    fn write(&mut self, txn: &Txn) -> TxnAnswer {
        let committed = txn.checks.iter().all(|c| self.read(&c.key).version == c.version);
        if committed {
            for write in &txn.writes {
                self.table_version += 1;
                let (key, value) = (write.key.clone(), write.value.clone());
                self.table.insert(key.clone(), Row { key, version: self.table_version, value });
            }
        }
        let rows = txn.checks.iter().map(|check| self.read(&check.key)).collect();
        TxnAnswer { committed, rows }
    }

    fn on_isolated(&mut self, engine: usize, attempt: AttemptId) {
        if self.engines[engine].isolated_for.as_ref() != Some(&attempt) {
            return;
        }
        if !self.engines[engine].runs.is_empty() {
            return self.schedule_after(TICK_INTERVAL, Event::Isolated { engine, attempt });
        }
        let mut out = Vec::new();
        self.dispatcher.on_isolated(self.now, &attempt, true, &mut out);
        self.apply(out);
    }

    fn start(
        &mut self,
        attempt: AttemptId,
        work: WorkId,
        server: &str,
        task: Task,
        resume_tokens: u32,
    ) {
        self.attempts.insert(attempt.clone(), (work, task.clone()));
        let Task::Generate { prompt, adapter, max_tokens, seed, .. } = task else {
            return self.schedule_after(SCORE_LATENCY, Event::Score { attempt });
        };
        let Some(index) = self.engines.iter().position(|engine| engine.name == server) else {
            return;
        };
        let adapter = adapter.unwrap_or_default();
        let length = self.length(seed, max_tokens);
        let engine = &mut self.engines[index];
        let down = self.now < engine.down_until;
        if down || engine.refuses(&attempt, &adapter) {
            let reason = "engine is down, isolated or swapping weights".to_owned();
            let event = AttemptEvent::NotRun { unreachable: down, reason };
            return self.schedule_after(NETWORK_LATENCY, Event::Attempt { attempt, event });
        }
        let (prefill, cached) = engine.prefill(fingerprint(&[&prompt]));
        engine.runs.insert(attempt.clone(), Run { adapter, generated: resume_tokens, length });
        let incarnation = engine.incarnation;
        let delay = prefill + engine.generation_time(TOKENS_PER_EVENT);
        self.prompts += 1;
        self.prefix_hits += u64::from(cached);
        self.schedule_after(delay, Event::Tokens { engine: index, incarnation, attempt });
    }

    fn on_tokens(&mut self, index: usize, incarnation: u64, attempt: &AttemptId) {
        let engine = &mut self.engines[index];
        if engine.incarnation != incarnation {
            return;
        }
        let swapping = engine.swapping.clone();
        let delay = engine.generation_time(TOKENS_PER_EVENT);
        let Some(run) = engine.runs.get_mut(attempt) else { return };
        if swapping.as_ref() == Some(&run.adapter) {
            let event = Event::Tokens { engine: index, incarnation, attempt: attempt.clone() };
            return self.schedule_after(TICK_INTERVAL, event);
        }
        let tokens = TOKENS_PER_EVENT.min(run.length - run.generated.min(run.length));
        run.generated += tokens;
        let done = run.generated >= run.length;
        let version = engine.versions.get(&run.adapter).copied().unwrap_or(1);
        if done {
            engine.runs.remove(attempt);
        }
        self.generated_tokens += u64::from(tokens);
        let text = Bytes::from_static(b"tokens  tokens  tokens  tokens  ");
        if tokens > 0 {
            self.on_attempt(attempt, AttemptEvent::Tokens { text, tokens, version });
        }
        if done {
            self.on_attempt(attempt, AttemptEvent::Finished);
        } else {
            let event = Event::Tokens { engine: index, incarnation, attempt: attempt.clone() };
            self.schedule_after(delay, event);
        }
    }

    fn crash(&mut self) {
        let next = self.exponential(self.scenario.crash_interval);
        self.schedule_after(next, Event::Crash);
        let engine = self.rng.random_range(0..self.engines.len());
        let until = self.now + RESTART_TIME;
        for attempt in self.engines[engine].crash(until) {
            let event = AttemptEvent::Broken { reason: "connection reset".to_owned() };
            self.schedule_after(NETWORK_LATENCY, Event::Attempt { attempt, event });
        }
    }

    /// Swaps the weights of the next batch of engines and schedules the batch after it.
    fn start_swap(&mut self, adapter: String, version: u64, next: usize) {
        let batch = next..(next + SWAP_BATCH_SIZE).min(self.engines.len());
        for index in batch.clone() {
            self.engines[index].swapping = Some(adapter.clone());
            let incarnation = self.engines[index].incarnation;
            let event =
                Event::SwapEnd { engine: index, incarnation, adapter: adapter.clone(), version };
            self.schedule_after(SWAP_TIME, event);
        }
        if batch.end < self.engines.len() {
            self.schedule_after(SWAP_TIME, Event::SwapStart { adapter, version, next: batch.end });
        }
    }

    fn on_work_event(&mut self, work: WorkId, event: WorkEvent) {
        let namespace = (work >> WORK_ID_BITS) as usize;
        if namespace > 0 {
            let trainer = namespace - 1;
            let mut out = Vec::new();
            self.coordinators[trainer].on_work(self.now, work, event, &mut out);
            return self.apply_step_actions(trainer, out);
        }
        match event {
            WorkEvent::Finished { .. } => {
                if let Some(started) = self.interactive_started.remove(&work) {
                    self.measurements.interactive_latencies.push(self.now - started);
                }
            }
            WorkEvent::Failed { .. } => self.measurements.interactive_failures += 1,
            WorkEvent::Started { .. } | WorkEvent::Tokens { .. } | WorkEvent::Answered { .. } => {}
        }
    }

    fn apply_step_actions(&mut self, trainer: usize, actions: Vec<StepAction>) {
        for action in actions {
            let mut more = Vec::new();
            match action {
                StepAction::Submit(work) => self.submit(work),
                StepAction::Cancel(work) => {
                    let mut out = Vec::new();
                    self.dispatcher.cancel(self.now, work, &mut out);
                    self.apply(out);
                }
                StepAction::PutObject { object, key, .. } => {
                    self.coordinators[trainer].on_put(&object, &key, Ok(()), &mut more);
                }
                StepAction::GroupTxn { step, group, txn } => {
                    let reply = Ok(self.write(&txn));
                    self.coordinators[trainer].on_group_txn(step, group, &reply, &mut more);
                }
                StepAction::Write(txn) => {
                    self.write(&txn);
                }
                _ => {}
            }
            self.apply_step_actions(trainer, more);
        }
    }

    fn submit(&mut self, work: Work) {
        let id = work.id;
        let progress = work.resume.clone();
        let mut out = Vec::new();
        if let Err(refusal) = self.dispatcher.submit(self.now, work, &mut out) {
            let event = WorkEvent::Failed { refusal, progress };
            out.push(DispatchAction::Emit { work: id, event });
        }
        self.apply(out);
    }

    fn on_interactive(&mut self) {
        let Some(mean) = self.scenario.interactive_interval else { return };
        let next = self.exponential(mean);
        self.schedule_after(next, Event::Interactive);
        self.next_work += 1;
        let id = self.next_work;
        let seed = self.rng.random();
        self.interactive_started.insert(id, self.now);
        let prompt = format!("question {}", seed % 20);
        self.submit(Work {
            id,
            service: "model".to_owned(),
            class: Class::Interactive,
            fingerprint: seed,
            prefix: fingerprint(&[prompt.as_bytes()]),
            task: Task::Generate {
                prompt: Bytes::from(prompt),
                adapter: None,
                max_tokens: INTERACTIVE_TOKENS,
                min_version: 0,
                seed,
            },
            idempotent: true,
            deadline: self.now + Duration::from_secs(60),
            rank: id,
            avoid: None,
            resume: Progress::default(),
        });
    }

    // Trainers: the next step is submitted when training on the current one starts.

    fn on_trainer(&mut self, trainer: usize) {
        if !self.scenario.rollouts || self.trainers[trainer].step > self.scenario.steps {
            return;
        }
        let step = self.trainers[trainer].step;
        if !self.trainers[trainer].submitted_at.contains_key(&step) {
            self.submit_step(trainer, step);
        }
        self.trainers[trainer].waiting_since.get_or_insert(self.now);
        let request =
            PullRequest { cursor: self.trainers[trainer].cursor.clone(), max_groups: u32::MAX };
        let mut out = Vec::new();
        self.coordinators[trainer].close_before(self.now, step, &mut out);
        let answer = self.coordinators[trainer].pull(self.now, &request, &mut out);
        self.apply_step_actions(trainer, out);
        let Ok(answer) = answer else { return };
        let version = request.cursor.weights_version;
        for sample in answer.groups.iter().flat_map(|group| &group.samples) {
            let oldest = sample.spans.iter().map(|span| span.version).min().unwrap_or(0);
            self.measurements.staleness.push(version.saturating_sub(oldest));
        }
        self.trainers[trainer].cursor = answer.cursor;
        if answer.complete {
            self.on_step_complete(trainer, step);
        } else {
            self.schedule_after(TRAINER_POLL_INTERVAL, Event::Trainer { trainer });
        }
    }

    fn on_step_complete(&mut self, trainer: usize, step: u64) {
        let state = &mut self.trainers[trainer];
        if let Some(since) = state.waiting_since.take() {
            self.idle_time += self.now - since;
        }
        let submitted = state.submitted_at[&step];
        self.measurements.step_times.push(self.now - submitted);
        state.is_training = true;
        if step < self.scenario.steps {
            self.submit_step(trainer, step + 1);
        }
        self.schedule_after(self.scenario.training_time, Event::TrainingDone { trainer });
    }

    fn on_training_done(&mut self, trainer: usize) {
        let state = &mut self.trainers[trainer];
        state.is_training = false;
        state.version += 1;
        state.step += 1;
        let (step, version) = (state.step, state.version);
        state.cursor = Cursor { step, taken: Vec::new(), weights_version: version };
        let adapter = self.manifest.models[0].adapters[trainer].clone();
        self.schedule_after(STAGING_TIME, Event::SwapStart { adapter, version, next: 0 });
        self.schedule_after(Duration::ZERO, Event::Trainer { trainer });
    }

    fn submit_step(&mut self, trainer: usize, step: u64) {
        let groups = (0..self.scenario.groups)
            .map(|group| GroupSpec {
                group,
                prompt: format!("trainer {trainer} step {step} group {group}"),
                samples: self.scenario.samples,
                max_tokens: self.scenario.max_tokens,
            })
            .collect();
        let version = self.trainers[trainer].version;
        let spec = StepSpec { step, weights_version: version, groups };
        self.trainers[trainer].submitted_at.insert(step, self.now);
        let mut out = Vec::new();
        let result = self.coordinators[trainer].submit(self.now, spec, &mut out);
        assert!(result.is_ok(), "step was refused: {result:?}");
        self.apply_step_actions(trainer, out);
        self.idle_bound += self.idle_bound(step);
    }

    /// Returns a lower bound of the trainer's idle time for a step: the generation time of the
    /// longest sample alone on an empty engine, less the training that it overlaps with. The first
    /// step overlaps with no training.
    fn idle_bound(&self, step: u64) -> Duration {
        // Nearly every step of this size has a sample of at least this length.
        let longest = Engine::min_generation_time(self.scenario.max_tokens / 2);
        let overlap = if step == 1 { Duration::ZERO } else { self.scenario.training_time };
        longest.saturating_sub(overlap)
    }
}

fn new_trainer() -> TrainerState {
    TrainerState {
        version: 1,
        step: 1,
        cursor: Cursor { step: 1, taken: Vec::new(), weights_version: 1 },
        waiting_since: None,
        submitted_at: BTreeMap::new(),
        is_training: false,
    }
}
