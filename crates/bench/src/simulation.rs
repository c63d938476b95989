//! One run: a daemon's dispatcher and coordinators, engines, trainers and callers.

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

const TICK: Duration = Duration::from_millis(100);
const POLL: Duration = Duration::from_millis(500);
const REPORT_LAG: Duration = Duration::from_millis(400);
const TRAINER_POLL: Duration = Duration::from_millis(100);
const TOKENS_PER_EVENT: u32 = 8;
const RESTART: Duration = Duration::from_secs(10);
const STAGE: Duration = Duration::from_secs(4);
const SWAP: Duration = Duration::from_secs(1);
const HOP: Duration = Duration::from_millis(3);
const SCORE: Duration = Duration::from_millis(50);
const INTERACTIVE_TOKENS: u32 = 64;
/// Engines that change weights at the same time.
const WAVE: usize = 3;
/// One engine of this slowness shows what stragglers cost.
const SLOWNESS: f64 = 2.5;
const HORIZON: Now = Duration::from_secs(24 * 3600);

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
    Computed { trainer: usize },
    Interactive,
}

/// Where a trainer stands.
struct TrainerState {
    version: u64,
    step: u64,
    cursor: Cursor,
    waiting_since: Option<Now>,
    submitted_at: BTreeMap<u64, Now>,
    computing: bool,
}

/// What one run showed.
#[derive(Debug, Clone, Default)]
pub struct Measures {
    /// Time that all trainers waited, over their whole time.
    pub idle_share: f64,
    /// Versions behind the trainer, for each delivered sample.
    pub staleness: Vec<u64>,
    /// Tokens thrown away over tokens produced.
    pub wasted_share: f64,
    /// Time of each step from submission to the last sample.
    pub step_times: Vec<Duration>,
    /// Prompts whose prefix was cached.
    pub prefix_hit_share: f64,
    /// Times of interactive answers.
    pub interactive: Vec<Duration>,
    /// Bytes over the region link.
    pub link_bytes: u64,
    /// Idle share that no schedule can undercut.
    pub idle_bound: f64,
    /// Interactive requests without an answer.
    pub refused: u64,
}

/// The simulation of one policy.
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
    started: BTreeMap<WorkId, Now>,
    lengths: BTreeMap<u64, u32>,
    next_work: WorkId,
    hits: u64,
    prompts: u64,
    tokens: u64,
    idle: Duration,
    bound: Duration,
    measures: Measures,
}

impl<P: Pick, O: Order + Clone> Simulation<P, O> {
    /// A run of a scenario with a policy.
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
        let slowness = |i: usize| if i == 1 { SLOWNESS } else { 1.0 };
        let engines = (0..scenario.engines)
            .map(|i| Engine::new(&format!("engine-{i}"), scenario.slots, &adapters, slowness(i)))
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
            started: BTreeMap::new(),
            lengths: BTreeMap::new(),
            next_work: 0,
            hits: 0,
            prompts: 0,
            tokens: 0,
            idle: Duration::ZERO,
            bound: Duration::ZERO,
            measures: Measures::default(),
        }
    }

    /// Runs all steps of all trainers.
    pub fn run(mut self) -> Measures {
        self.at(Duration::ZERO, Event::Poll);
        self.at(Duration::from_secs(1), Event::Tick);
        if self.scenario.interactive_every.is_some() {
            self.at(Duration::from_secs(2), Event::Interactive);
        }
        let crash = self.exponential(self.scenario.crash_every);
        self.at(crash, Event::Crash);
        for trainer in 0..self.trainers.len() {
            self.at(Duration::from_secs(2), Event::Trainer { trainer });
        }
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            if self.is_done() || at > HORIZON {
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

    fn finish(mut self) -> Measures {
        let total = self.now.as_secs_f64() * self.trainers.len() as f64;
        self.measures.idle_share = self.idle.as_secs_f64() / total;
        self.measures.idle_bound = self.bound.as_secs_f64() / total;
        let wasted: u64 = self.coordinators.iter().map(|c| c.stats().wasted_tokens).sum();
        self.measures.wasted_share = wasted as f64 / self.tokens.max(1) as f64;
        self.measures.prefix_hit_share = self.hits as f64 / self.prompts.max(1) as f64;
        self.measures.link_bytes = self.dispatcher.stats().link_bytes;
        self.measures
    }

    fn at(&mut self, at: Now, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        mean.mul_f64(-uniform.ln())
    }

    /// Lengths have a heavy tail: most are short, few reach the bound.
    fn length(&mut self, seed: u64, max_tokens: u32) -> u32 {
        const MEDIAN: f64 = 160.0;
        const SIGMA: f64 = 0.95;
        if let Some(length) = self.lengths.get(&seed) {
            return *length;
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let normal: f64 = (0..12).map(|_| rng.random_range(0.0..1.0f64)).sum::<f64>() - 6.0;
        let length = (MEDIAN * (SIGMA * normal).exp()) as u32;
        let length = length.clamp(8.min(max_tokens), max_tokens);
        self.lengths.insert(seed, length);
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
            Event::Computed { trainer } => self.on_computed(trainer),
            Event::Interactive => self.on_interactive(),
        }
    }

    fn tick(&mut self) {
        self.after(TICK, Event::Tick);
        let mut out = Vec::new();
        self.dispatcher.tick(self.now, &mut out);
        self.apply(out);
        let busy: usize = self.engines.iter().map(|engine| engine.runs.len()).sum();
        let slots = self.scenario.engines * self.scenario.slots as usize;
        let idle = slots.saturating_sub(busy + self.dispatcher.queued("model"));
        for trainer in 0..self.coordinators.len() {
            let mut out = Vec::new();
            self.coordinators[trainer].tick(self.now, idle, &mut out);
            self.apply_steps(trainer, out);
        }
    }

    fn poll(&mut self) {
        self.after(POLL, Event::Poll);
        let servers: Vec<_> =
            self.dispatcher.fleet().iter().map(|server| server.info.name.clone()).collect();
        for server in servers {
            self.report(server, REPORT_LAG);
        }
    }

    /// Sends a report as it is now; it arrives after a lag.
    fn report(&mut self, server: String, lag: Duration) {
        let engine = self.engines.iter().find(|engine| engine.name == server);
        let state = match engine {
            Some(engine) if self.now < engine.down_until => None,
            Some(engine) => Some(engine.state()),
            None => Some(Engine::new("score", 512, &[], 1.0).state()),
        };
        self.after(lag, Event::Report { server, state });
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
                DispatchAction::Emit { work, event } => self.emit(work, event),
                DispatchAction::Probe { server } => self.report(server, HOP),
                DispatchAction::Isolate { server, attempt, .. } => {
                    let found = self.engines.iter().position(|engine| engine.name == server);
                    if let Some(engine) = found {
                        self.engines[engine].isolated_for = Some(attempt.clone());
                        self.after(HOP, Event::Isolated { engine, attempt });
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
            return self.after(TICK, Event::Isolated { engine, attempt });
        }
        let mut out = Vec::new();
        self.dispatcher.on_isolated(self.now, &attempt, true, &mut out);
        self.apply(out);
    }

    fn start(&mut self, attempt: AttemptId, work: WorkId, server: &str, task: Task, resume: u32) {
        self.attempts.insert(attempt.clone(), (work, task.clone()));
        let Task::Generate { prompt, adapter, max_tokens, seed, .. } = task else {
            return self.after(SCORE, Event::Score { attempt });
        };
        let Some(index) = self.engines.iter().position(|engine| engine.name == server) else {
            return;
        };
        let adapter = adapter.unwrap_or_default();
        let length = self.length(seed, max_tokens);
        let engine = &mut self.engines[index];
        let down = self.now < engine.down_until;
        if down || engine.refuses(&attempt, &adapter) {
            let reason = "not now".to_owned();
            let event = AttemptEvent::NotRun { unreachable: down, reason };
            return self.after(HOP, Event::Attempt { attempt, event });
        }
        let (prefill, cached) = engine.read_prompt(fingerprint(&[&prompt]));
        engine.runs.insert(attempt.clone(), Run { adapter, at: resume, length });
        let incarnation = engine.incarnation;
        let delay = prefill + engine.token_time(TOKENS_PER_EVENT);
        self.prompts += 1;
        self.hits += u64::from(cached);
        self.after(delay, Event::Tokens { engine: index, incarnation, attempt });
    }

    fn on_tokens(&mut self, index: usize, incarnation: u64, attempt: &AttemptId) {
        let engine = &mut self.engines[index];
        if engine.incarnation != incarnation {
            return;
        }
        let swapping = engine.swapping.clone();
        let delay = engine.token_time(TOKENS_PER_EVENT);
        let Some(run) = engine.runs.get_mut(attempt) else { return };
        if swapping.as_ref() == Some(&run.adapter) {
            let event = Event::Tokens { engine: index, incarnation, attempt: attempt.clone() };
            return self.after(TICK, event);
        }
        let tokens = TOKENS_PER_EVENT.min(run.length - run.at.min(run.length));
        run.at += tokens;
        let done = run.at >= run.length;
        let version = engine.versions.get(&run.adapter).copied().unwrap_or(1);
        if done {
            engine.runs.remove(attempt);
        }
        self.tokens += u64::from(tokens);
        let text = Bytes::from_static(b"tokens  tokens  tokens  tokens  ");
        if tokens > 0 {
            self.on_attempt(attempt, AttemptEvent::Tokens { text, tokens, version });
        }
        if done {
            self.on_attempt(attempt, AttemptEvent::Finished);
        } else {
            let event = Event::Tokens { engine: index, incarnation, attempt: attempt.clone() };
            self.after(delay, event);
        }
    }

    fn crash(&mut self) {
        let next = self.exponential(self.scenario.crash_every);
        self.after(next, Event::Crash);
        let engine = self.rng.random_range(0..self.engines.len());
        let until = self.now + RESTART;
        for attempt in self.engines[engine].crash(until) {
            let event = AttemptEvent::Broken { reason: "connection reset".to_owned() };
            self.after(HOP, Event::Attempt { attempt, event });
        }
    }

    /// Changes the weights of a wave of engines, and goes on with the next wave.
    fn start_swap(&mut self, adapter: String, version: u64, next: usize) {
        let wave = next..(next + WAVE).min(self.engines.len());
        for index in wave.clone() {
            self.engines[index].swapping = Some(adapter.clone());
            let incarnation = self.engines[index].incarnation;
            let event =
                Event::SwapEnd { engine: index, incarnation, adapter: adapter.clone(), version };
            self.after(SWAP, event);
        }
        if wave.end < self.engines.len() {
            self.after(SWAP, Event::SwapStart { adapter, version, next: wave.end });
        }
    }

    fn emit(&mut self, work: WorkId, event: WorkEvent) {
        let namespace = (work >> WORK_ID_BITS) as usize;
        if namespace > 0 {
            let trainer = namespace - 1;
            let mut out = Vec::new();
            self.coordinators[trainer].on_work(self.now, work, event, &mut out);
            return self.apply_steps(trainer, out);
        }
        match event {
            WorkEvent::Finished { .. } => {
                if let Some(started) = self.started.remove(&work) {
                    self.measures.interactive.push(self.now - started);
                }
            }
            WorkEvent::Failed { .. } => self.measures.refused += 1,
            WorkEvent::Started { .. } | WorkEvent::Tokens { .. } | WorkEvent::Answered { .. } => {}
        }
    }

    fn apply_steps(&mut self, trainer: usize, actions: Vec<StepAction>) {
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
            self.apply_steps(trainer, more);
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
        let Some(mean) = self.scenario.interactive_every else { return };
        let next = self.exponential(mean);
        self.after(next, Event::Interactive);
        self.next_work += 1;
        let id = self.next_work;
        let seed = self.rng.random();
        self.started.insert(id, self.now);
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

    // Trainers: the next step is submitted when computing begins.

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
        self.apply_steps(trainer, out);
        let Ok(answer) = answer else { return };
        let version = request.cursor.weights_version;
        for sample in answer.groups.iter().flat_map(|group| &group.samples) {
            let oldest = sample.spans.iter().map(|span| span.version).min().unwrap_or(0);
            self.measures.staleness.push(version.saturating_sub(oldest));
        }
        self.trainers[trainer].cursor = answer.cursor;
        if answer.complete {
            self.on_whole(trainer, step);
        } else {
            self.after(TRAINER_POLL, Event::Trainer { trainer });
        }
    }

    fn on_whole(&mut self, trainer: usize, step: u64) {
        let state = &mut self.trainers[trainer];
        if let Some(since) = state.waiting_since.take() {
            self.idle += self.now - since;
        }
        let submitted = state.submitted_at[&step];
        self.measures.step_times.push(self.now - submitted);
        state.computing = true;
        if step < self.scenario.steps {
            self.submit_step(trainer, step + 1);
        }
        self.after(self.scenario.compute, Event::Computed { trainer });
    }

    fn on_computed(&mut self, trainer: usize) {
        let state = &mut self.trainers[trainer];
        state.computing = false;
        state.version += 1;
        state.step += 1;
        let (step, version) = (state.step, state.version);
        state.cursor = Cursor { step, taken: Vec::new(), weights_version: version };
        let adapter = self.manifest.models[0].adapters[trainer].clone();
        self.after(STAGE, Event::SwapStart { adapter, version, next: 0 });
        self.after(Duration::ZERO, Event::Trainer { trainer });
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
        let accepted = self.coordinators[trainer].submit(self.now, spec, &mut out);
        assert!(accepted.is_ok(), "{accepted:?}");
        self.apply_steps(trainer, out);
        self.bound += self.idle_bound(step);
    }

    /// The longest sample of a step must run alone on an empty engine at the least, while the
    /// trainer computes; the first step overlaps with nothing.
    fn idle_bound(&self, step: u64) -> Duration {
        // The bound of the length is reached by nearly every step of this size.
        let longest = Engine::fastest(self.scenario.max_tokens / 2);
        let overlap = if step == 1 { Duration::ZERO } else { self.scenario.compute };
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
        computing: false,
    }
}
