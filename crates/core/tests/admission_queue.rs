//! Simulation of a plain service with less room than its callers ask for, at many daemons of which
//! none sees the whole load; one account sends half of everything.

use std::{cmp::Reverse, collections::BinaryHeap, fmt::Write, time::Duration};

use buckthornfall_core::{
    admission_queue::{AdmissionQueue, Decision, Demand, Ticket, Verdict},
    permits::PermitClass,
    Now,
};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use rustc_hash::FxHashMap;

const SERVERS: usize = 8;
/// Concurrent requests of a server, and how many more wait there before it refuses.
const SLOTS: usize = 6;
const SERVER_QUEUE: usize = 24;
/// Bounds of the work of a request, in milliseconds.
const WORK_MS: [u64; 2] = [10, 40];
const MEAN_WORK: Duration = Duration::from_millis(25);
const ONE_WAY: Duration = Duration::from_millis(2);
const OBJECTIVE: Duration = Duration::from_millis(200);
const TIME_LIMIT: Duration = Duration::from_millis(1_200);
const LOAD_TIME: Duration = Duration::from_secs(4);
/// Small accounts, beside the large one, and the daemons at which each of them calls.
const SMALL_ACCOUNTS: usize = 20;
const DAEMONS_OF_ACCOUNT: usize = 4;
/// Delay stated without a queue, and the share of the time left for which a caller waits.
const CONSTANT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time for which a daemon avoids a server that refused.
const BACKOFF: Duration = Duration::from_millis(120);
/// Value of an answer in time, of a late one and of one in time after a prompt refusal.
const WORTH: [f64; 3] = [1.0, 0.25, 0.625];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    /// Every request is sent at once.
    None,
    /// Each daemon may use an equal part of the slots.
    Static,
    Queue,
    /// One queue that sees everything.
    Bound,
}

#[derive(Clone, Copy)]
struct Request {
    account: usize,
    daemon: usize,
    first_sent: Now,
    /// When this attempt of the caller began.
    sent: Now,
    /// Whether the first attempt was refused, and whether soon enough for a part of the value.
    refused: Option<bool>,
    tries: usize,
    was_refused_by_server: bool,
    /// When it was last sent to a server.
    sent_to_server: Now,
    work: Duration,
}

/// A limit that does not adapt, for comparison.
struct Fixed {
    limit: usize,
    in_flight: usize,
    waiting: Vec<usize>,
    sent: FxHashMap<usize, usize>,
    is_fair: bool,
}

enum Gate {
    Open,
    Fixed(Fixed),
    Queue(Box<AdmissionQueue>, FxHashMap<Ticket, usize>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Attempt(usize),
    AtServer(usize, usize),
    Done(usize, usize),
    Answer(usize),
    Refusal(usize, usize),
    Wake(usize),
}

#[derive(Default)]
struct Server {
    running: usize,
    waiting: std::collections::VecDeque<usize>,
}

#[derive(Debug, Default, PartialEq)]
struct Report {
    /// Mean value by account, the large one first.
    worth: Vec<f64>,
    waits: Vec<Duration>,
    refused_by_servers: usize,
    arrivals_at_servers: usize,
    sends: Vec<(Now, usize)>,
}

struct Simulation {
    now: Now,
    rng: SmallRng,
    strategy: Strategy,
    daemons: usize,
    events: BinaryHeap<Reverse<(Now, u64, Event)>>,
    order: u64,
    requests: Vec<Request>,
    gates: Vec<Gate>,
    /// When each gate is polled next.
    wakes: Vec<Now>,
    servers: Vec<Server>,
    full_until: FxHashMap<(usize, usize), Now>,
    values: Vec<(usize, f64)>,
    report: Report,
}

fn simulate(strategy: Strategy, load: f64, daemons: usize, seed: u64) -> Report {
    let slots = SERVERS * SLOTS;
    let fixed = |limit: usize, is_fair| {
        let sent = FxHashMap::default();
        Gate::Fixed(Fixed { limit, in_flight: 0, waiting: Vec::new(), sent, is_fair })
    };
    let gate = || match strategy {
        Strategy::None => Gate::Open,
        Strategy::Static => fixed((slots / daemons).max(1), false),
        Strategy::Queue => Gate::Queue(Box::default(), FxHashMap::default()),
        // Two more at each server, so that no slot waits for a message.
        Strategy::Bound => fixed(slots + 2 * SERVERS, true),
    };
    let gates = if strategy == Strategy::Bound { 1 } else { daemons };
    let mut simulation = Simulation {
        now: Now::from_secs(1),
        rng: SmallRng::seed_from_u64(seed),
        strategy,
        daemons,
        events: BinaryHeap::new(),
        order: 0,
        requests: Vec::new(),
        gates: (0..gates).map(|_| gate()).collect(),
        wakes: vec![Now::ZERO; gates],
        servers: (0..SERVERS).map(|_| Server::default()).collect(),
        full_until: FxHashMap::default(),
        values: Vec::new(),
        report: Report::default(),
    };
    let mut at = simulation.now;
    let rate = load * slots as f64 / MEAN_WORK.as_secs_f64();
    while at < Now::from_secs(1) + LOAD_TIME {
        at += Duration::from_secs_f64(-simulation.rng.random::<f64>().max(1e-9).ln() / rate);
        let account = match simulation.rng.random_bool(0.5) {
            true => 0,
            false => simulation.rng.random_range(1..=SMALL_ACCOUNTS),
        };
        let work = simulation.rng.random_range(WORK_MS[0]..=WORK_MS[1]);
        let req = Request {
            account,
            daemon: 0,
            first_sent: at,
            sent: at,
            refused: None,
            tries: 0,
            was_refused_by_server: false,
            sent_to_server: at,
            work: Duration::from_millis(work),
        };
        simulation.requests.push(req);
        simulation.at(at, Event::Attempt(simulation.requests.len() - 1));
    }
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.finish()
}

impl Simulation {
    fn at(&mut self, at: Now, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn gate(&self, id: usize) -> usize {
        if self.strategy == Strategy::Bound {
            0
        } else {
            self.requests[id].daemon
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Attempt(id) => {
                let account = self.requests[id].account;
                let nth = match account {
                    0 => self.rng.random_range(0..self.daemons),
                    _ => account * 7 + self.rng.random_range(0..DAEMONS_OF_ACCOUNT),
                };
                let now = self.now;
                let req = &mut self.requests[id];
                (req.daemon, req.sent, req.tries) = (nth % self.daemons, now, 0);
                req.was_refused_by_server = false;
                self.enter(id);
            }
            Event::AtServer(id, server) => {
                self.report.arrivals_at_servers += 1;
                let known = &mut self.servers[server];
                if known.running < SLOTS {
                    known.running += 1;
                    let work = self.requests[id].work;
                    self.at(self.now + work, Event::Done(id, server));
                } else if known.waiting.len() < SERVER_QUEUE {
                    known.waiting.push_back(id);
                } else {
                    self.report.refused_by_servers += 1;
                    self.at(self.now + ONE_WAY, Event::Refusal(id, server));
                }
            }
            Event::Done(id, server) => {
                self.at(self.now + ONE_WAY, Event::Answer(id));
                match self.servers[server].waiting.pop_front() {
                    Some(next) => {
                        let work = self.requests[next].work;
                        self.at(self.now + work, Event::Done(next, server));
                    }
                    None => self.servers[server].running -= 1,
                }
            }
            Event::Answer(id) => {
                let req = self.requests[id];
                let took = self.now.saturating_sub(req.sent);
                let in_time = took <= OBJECTIVE;
                let value = match req.refused {
                    None if in_time => WORTH[0],
                    Some(true) if in_time => WORTH[2],
                    _ if self.now <= req.first_sent + TIME_LIMIT => WORTH[1],
                    _ => 0.0,
                };
                self.values.push((req.account, value));
                let gate = self.gate(id);
                if let Gate::Queue(queue, _) = &mut self.gates[gate] {
                    let took = self.now.saturating_sub(req.sent_to_server);
                    queue.on_answer(self.now, took, OBJECTIVE);
                }
                self.leave(gate);
            }
            Event::Refusal(id, server) => self.on_refusal(id, server),
            Event::Wake(gate) => self.decide(gate),
        }
    }

    fn enter(&mut self, id: usize) {
        let (gate, now, req) = (self.gate(id), self.now, self.requests[id]);
        let spread = self.rng.random();
        match &mut self.gates[gate] {
            Gate::Open => self.send(id),
            Gate::Fixed(fixed) => {
                fixed.waiting.push(id);
                self.decide(gate);
                self.at(now + OBJECTIVE / 4, Event::Wake(gate));
            }
            Gate::Queue(queue, tickets) => {
                let account = req.account.to_string();
                let demand = Demand {
                    class: PermitClass::caller(2),
                    account: &account,
                    route: "lookup",
                    bytes: 600,
                    arrived: req.sent,
                    deadline: req.first_sent + TIME_LIMIT,
                    objective: OBJECTIVE,
                    was_refused: req.was_refused_by_server,
                    spread,
                };
                match queue.arrive(now, &demand) {
                    Decision::Send => self.send(id),
                    Decision::Refuse(refusal) => self.refuse(id, refusal.retry_after),
                    Decision::Wait(ticket) => {
                        tickets.insert(ticket, id);
                        self.wake(gate);
                    }
                }
            }
        }
    }

    fn wake(&mut self, gate: usize) {
        let Gate::Queue(queue, _) = &self.gates[gate] else { return };
        let Some(at) = queue.wake_at(self.now) else { return };
        let at = at.max(self.now + Duration::from_millis(1));
        if self.wakes[gate] <= self.now || at < self.wakes[gate] {
            self.wakes[gate] = at;
            self.at(at, Event::Wake(gate));
        }
    }

    fn send(&mut self, id: usize) {
        let (daemon, now) = (self.requests[id].daemon, self.now);
        let usable = |server: &usize| {
            self.full_until.get(&(daemon, *server)).is_none_or(|until| *until <= now)
        };
        let usable: Vec<_> = (0..SERVERS).filter(usable).collect();
        let load =
            |server: &usize| self.servers[*server].running + self.servers[*server].waiting.len();
        let server = match self.strategy {
            Strategy::Bound => (0..SERVERS).min_by_key(load).unwrap(),
            _ if usable.is_empty() => self.rng.random_range(0..SERVERS),
            _ => usable[self.rng.random_range(0..usable.len())],
        };
        self.requests[id].tries += 1;
        self.requests[id].sent_to_server = now;
        self.report.waits.push(now.saturating_sub(self.requests[id].sent));
        self.report.sends.push((now, id));
        self.at(now + ONE_WAY, Event::AtServer(id, server));
    }

    fn on_refusal(&mut self, id: usize, server: usize) {
        let gate = self.gate(id);
        self.full_until.insert((self.requests[id].daemon, server), self.now + BACKOFF);
        let tries = self.requests[id].tries;
        let mut is_contested = false;
        if let Gate::Queue(queue, _) = &mut self.gates[gate] {
            queue.on_full(self.now, &server.to_string(), SERVERS);
            is_contested = queue.status().limit.is_some();
        }
        if tries < if is_contested { 2 } else { 4 } {
            return self.send(id);
        }
        self.leave(gate);
        if is_contested {
            (self.requests[id].tries, self.requests[id].was_refused_by_server) = (0, true);
            return self.enter(id);
        }
        self.refuse(id, CONSTANT_RETRY_AFTER);
    }

    fn leave(&mut self, gate: usize) {
        match &mut self.gates[gate] {
            Gate::Open => {}
            Gate::Fixed(fixed) => fixed.in_flight -= 1,
            Gate::Queue(queue, _) => queue.ended(),
        }
        self.decide(gate);
    }

    fn decide(&mut self, gate: usize) {
        let now = self.now;
        match &mut self.gates[gate] {
            Gate::Open => {}
            Gate::Fixed(fixed) => {
                let is_late = |id: &usize| {
                    let req = &self.requests[*id];
                    let patience =
                        if req.refused.is_some() { OBJECTIVE / 2 } else { OBJECTIVE / 4 };
                    now >= req.sent + patience
                };
                if let Some(late) = fixed.waiting.iter().position(is_late) {
                    let id = fixed.waiting.remove(late);
                    let spread = self.rng.random::<f64>();
                    self.refuse(id, OBJECTIVE.mul_f64(1.0 + spread));
                    return self.decide(gate);
                }
                if fixed.in_flight >= fixed.limit || fixed.waiting.is_empty() {
                    return;
                }
                let sent = |id: &usize| match fixed.is_fair {
                    true => fixed.sent.get(&self.requests[*id].account).copied().unwrap_or(0),
                    false => 0,
                };
                let next = (0..fixed.waiting.len()).min_by_key(|n| sent(&fixed.waiting[*n]));
                let id = fixed.waiting.remove(next.unwrap());
                fixed.in_flight += 1;
                *fixed.sent.entry(self.requests[id].account).or_default() += 1;
                self.send(id);
                self.decide(gate);
            }
            Gate::Queue(queue, tickets) => {
                let verdicts = queue.poll(now);
                let verdicts: Vec<_> = verdicts
                    .into_iter()
                    .map(|(ticket, verdict)| (tickets.remove(&ticket).unwrap(), verdict))
                    .collect();
                for (id, verdict) in verdicts {
                    match verdict {
                        Verdict::Send => self.send(id),
                        Verdict::Refuse(refusal) => self.refuse(id, refusal.retry_after),
                    }
                }
                self.wake(gate);
            }
        }
    }

    fn refuse(&mut self, id: usize, retry_after: Duration) {
        let now = self.now;
        let req = &mut self.requests[id];
        let left = (req.first_sent + TIME_LIMIT).saturating_sub(now);
        if req.refused.is_some() || left.is_zero() {
            self.values.push((req.account, 0.0));
            return;
        }
        req.refused = Some(now.saturating_sub(req.sent) <= OBJECTIVE / 4);
        self.at(now + retry_after.min(left / 3), Event::Attempt(id));
    }

    fn finish(mut self) -> Report {
        let mean = |account: usize| {
            let of_account = self.values.iter().filter(|(of, _)| *of == account);
            let values: Vec<_> = of_account.map(|(_, value)| *value).collect();
            values.iter().sum::<f64>() / values.len().max(1) as f64
        };
        self.report.worth = (0..=SMALL_ACCOUNTS).map(mean).collect();
        self.report.waits.sort();
        self.report
    }
}

impl Report {
    fn worst_tenth(&self) -> f64 {
        let mut worth = self.worth.clone();
        worth.sort_by(f64::total_cmp);
        let count = worth.len().div_ceil(10);
        worth[..count].iter().sum::<f64>() / count as f64
    }

    fn small(&self) -> f64 {
        self.worth[1..].iter().sum::<f64>() / SMALL_ACCOUNTS as f64
    }

    fn wait(&self, quantile: f64) -> u128 {
        self.waits[((self.waits.len() - 1) as f64 * quantile) as usize].as_millis()
    }
}

const SEEDS: [u64; 2] = [1, 2];

/// Returns the mean value that the small accounts get.
fn small_worth(strategy: Strategy, load: f64, daemons: usize) -> f64 {
    let of_seed = |seed: &u64| simulate(strategy, load, daemons, *seed).small();
    SEEDS.iter().map(of_seed).sum::<f64>() / SEEDS.len() as f64
}

fn assert_small_accounts_gain(daemons: usize) {
    for load in [1.5, 3.0] {
        let (none, queue) = (
            small_worth(Strategy::None, load, daemons),
            small_worth(Strategy::Queue, load, daemons),
        );
        assert!(queue > none, "{daemons} daemons, load {load}: {queue:.2} with, {none:.2} without");
    }
}

#[test]
fn a_large_account_does_not_cost_the_others_their_answers() {
    [1, 8].into_iter().for_each(assert_small_accounts_gain);
}

#[test]
fn a_large_account_that_calls_at_all_of_many_daemons_does_not_cost_the_others_their_answers() {
    assert_small_accounts_gain(88);
}

#[test]
fn worth_waits_and_refusals_by_strategy() {
    let mut table = String::new();
    for daemons in [1, 8, 88] {
        for load in [0.5, 1.0, 1.5, 3.0] {
            let strategies = [Strategy::None, Strategy::Static, Strategy::Queue, Strategy::Bound];
            for strategy in strategies {
                let reports: Vec<_> =
                    SEEDS.iter().map(|seed| simulate(strategy, load, daemons, *seed)).collect();
                let mean = |of: &dyn Fn(&Report) -> f64| {
                    reports.iter().map(of).sum::<f64>() / reports.len() as f64
                };
                let of_small = mean(&Report::small);
                let wasted = mean(&|report| {
                    report.refused_by_servers as f64 / report.arrivals_at_servers as f64
                });
                writeln!(table, "{daemons:>2} daemons, load {load}: {:<7} large {:.2} small {of_small:.2} worst tenth {:.2} wait p50 {:>3.0} p99 {:>3.0} ms, refused by servers {:.2}",
                    format!("{strategy:?}"), mean(&|report| report.worth[0]), mean(&Report::worst_tenth),
                    mean(&|report| report.wait(0.5) as f64), mean(&|report| report.wait(0.99) as f64), wasted).unwrap();
            }
        }
    }
    insta::assert_snapshot!(table);
}

#[test]
fn with_room_every_request_is_sent_when_it_arrives() {
    for daemons in [1, 8, 88] {
        for seed in SEEDS {
            let queued = simulate(Strategy::Queue, 0.5, daemons, seed);
            assert_eq!(queued.refused_by_servers, 0);
            let open = simulate(Strategy::None, 0.5, daemons, seed);
            assert!(queued.waits.iter().all(Duration::is_zero));
            assert_eq!(queued.sends.len(), open.sends.len());
        }
    }
}
