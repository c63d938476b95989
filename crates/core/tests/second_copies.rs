//! Simulation of second copies in virtual time: lookups and scoring requests from many daemons to a few
//! servers, of which some are slow, some stall for a moment and one is very slow for seconds.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    fmt::Write,
    time::Duration,
};

use buckthornfall_core::{
    backends::{Backend, Backends, Ended, Location, ServerQuery, SoftwareChoice},
    permits::PermitClass,
    second_copies::{NoCopy, SecondCopies, SlowRequest},
    Now,
};
use buckthornfall_proto::messages::{CopiesRow, CopiesService};
use rand::{rngs::SmallRng, Rng, SeedableRng};

const SERVERS: usize = 8;
const SLOTS: usize = 6;
/// Requests that wait at a server; further ones are refused.
const QUEUE: usize = 24;
/// Times of the servers as multiples of the usual time.
const SPEEDS: [f64; SERVERS] = [0.7, 1.0, 1.7, 1.0, 0.7, 1.0, 1.7, 1.0];
/// Interval of stalls, the share of servers that stall, and how slow they are.
const STALL: (Duration, f64, f64) = (Duration::from_millis(600), 0.15, 2.5);
/// Period in which one server after the other is slow, for how long, and how slow.
const SLOW: (Duration, Duration, f64) = (Duration::from_secs(20), Duration::from_secs(5), 6.0);
/// Median work of a lookup, its log-normal spread, and the share and factor of long ones.
const WORK_MS: f64 = 21.0;
const SPREAD: f64 = 0.5;
const LONG: (f64, f64) = (0.03, 7.0);
const MAX_WORK_MS: f64 = 220.0;
/// Work of a scoring request.
const SCORE_WORK_MS: f64 = 80.0;
/// Load without overload, in requests a second.
const LOOKUPS: f64 = 12.0;
const SCORES: f64 = 94.0;
/// Load at which all slots of servers of the usual speed are taken, as a multiple of that.
const FULL_LOAD: f64 = 5.0;
const OBJECTIVE: Duration = Duration::from_millis(200);
const TIMEOUT: Duration = Duration::from_millis(1_200);
const ROW_INTERVAL: Duration = Duration::from_millis(1_000);
const ROW_DELAY: Duration = Duration::from_millis(60);
/// Maximum number of servers that are asked for a request.
const MAX_TRIES: usize = 4;
const SERVICE: &str = "tally";
const ROUTE: &str = "lookup";

#[derive(Clone, Copy)]
struct Scenario {
    percent: u32,
    daemons: usize,
    /// Load as a multiple of the usual one.
    load: f64,
    duration: Duration,
    seed: u64,
}

const USUAL: Scenario =
    Scenario { percent: 0, daemons: 40, load: 1.0, duration: Duration::from_secs(400), seed: 1 };

type RequestId = usize;
type RunId = usize;

struct Request {
    daemon: usize,
    sent_at: Now,
    work: f64,
    is_lookup: bool,
    tried: Vec<String>,
    running: Vec<RunId>,
    is_done: bool,
}

struct Run {
    request: RequestId,
    server: usize,
    started: Now,
    is_copy: bool,
    is_over: bool,
}

#[derive(Default)]
struct Server {
    working: usize,
    waiting: VecDeque<RunId>,
    stalls: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Lookup,
    Score,
    Stalls,
    Finish(RunId),
    Slow(RequestId),
    Row(usize),
    Told(usize, usize),
}

#[derive(Default)]
struct Outcome {
    times: Vec<Duration>,
    refused: usize,
    lookups: usize,
    copies: usize,
    won: usize,
    /// Copies in the second half of the time.
    late_copies: usize,
    skipped: BTreeMap<&'static str, usize>,
}

impl Outcome {
    fn quantile(&self, share: f64) -> Duration {
        let rank = (self.times.len() as f64 * share).ceil() as usize;
        self.times[rank.clamp(1, self.times.len()) - 1]
    }

    fn in_time(&self) -> f64 {
        let in_time = self.times.iter().filter(|took| **took <= OBJECTIVE).count();
        in_time as f64 / self.lookups as f64
    }

    fn extra(&self) -> f64 {
        self.copies as f64 / self.lookups as f64
    }
}

struct Simulation {
    scenario: Scenario,
    rng: SmallRng,
    now: Now,
    events: BinaryHeap<Reverse<(Now, usize, Event)>>,
    scheduled: usize,
    servers: Vec<Server>,
    requests: Vec<Request>,
    runs: Vec<Run>,
    backends: Vec<Backends>,
    copies: Vec<SecondCopies>,
    rows: Vec<(Now, CopiesRow)>,
    location: Location,
    outcome: Outcome,
}

fn run(scenario: Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.outcome.times.sort();
    simulation.outcome
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        let mut backends = Backends::default();
        for server in 0..SERVERS {
            backends.upsert(Backend {
                id: server.to_string(),
                service: SERVICE.to_owned(),
                addr: ([127, 0, 0, 1], 1 + server as u16).into(),
                zone: "a".to_owned(),
                slots: SLOTS as u32,
                draining: false,
                started_ms: 1,
                spot: false,
                software: String::new(),
                models: Vec::new(),
            });
        }
        let location = Location { zone: "a".to_owned(), ..Location::default() };
        let mut simulation = Simulation {
            scenario,
            rng: SmallRng::seed_from_u64(scenario.seed),
            now: Now::ZERO,
            events: BinaryHeap::new(),
            scheduled: 0,
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            requests: Vec::new(),
            runs: Vec::new(),
            backends: vec![backends; scenario.daemons],
            copies: (0..scenario.daemons).map(|_| SecondCopies::new(scenario.percent)).collect(),
            rows: vec![(Now::ZERO, empty_row()); scenario.daemons],
            location,
            outcome: Outcome::default(),
        };
        [Event::Lookup, Event::Score, Event::Stalls]
            .into_iter()
            .for_each(|event| simulation.after(Duration::ZERO, event));
        for daemon in 0..scenario.daemons {
            let phase = simulation.rng.random_range(0.0..1.0);
            simulation.after(ROW_INTERVAL.mul_f64(phase), Event::Row(daemon));
        }
        simulation
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((self.now + delay, self.scheduled, event)));
    }

    fn is_over(&self) -> bool {
        self.now >= self.scenario.duration
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Lookup | Event::Score if self.is_over() => {}
            Event::Lookup => {
                let mut work = WORK_MS * (SPREAD * self.normal()).exp();
                if self.rng.random_bool(LONG.0) {
                    work *= LONG.1;
                }
                self.arrive(work.min(MAX_WORK_MS), true);
                let pause = self.pause(LOOKUPS);
                self.after(pause, Event::Lookup);
            }
            Event::Score => {
                let work = SCORE_WORK_MS * (SPREAD * self.normal()).exp();
                self.arrive(work, false);
                let pause = self.pause(SCORES);
                self.after(pause, Event::Score);
            }
            Event::Stalls => {
                for server in 0..SERVERS {
                    self.servers[server].stalls = self.rng.random_bool(STALL.1);
                }
                if !self.is_over() {
                    self.after(STALL.0, Event::Stalls);
                }
            }
            Event::Finish(run) => self.finish(run),
            Event::Slow(request) => self.copy(request),
            Event::Row(daemon) => self.write_row(daemon),
            Event::Told(from, to) => {
                let (at, row) = self.rows[from].clone();
                self.copies[to].on_row(self.now, &from.to_string(), at, row);
            }
        }
    }

    fn pause(&mut self, rate: f64) -> Duration {
        let unit: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-unit.ln() / (rate * self.scenario.load))
    }

    fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.rng.random_range(0.0..1.0)).sum::<f64>() - 6.0
    }

    fn arrive(&mut self, work: f64, is_lookup: bool) {
        let daemon = self.rng.random_range(0..self.scenario.daemons);
        let request = self.requests.len();
        self.requests.push(Request {
            daemon,
            sent_at: self.now,
            work,
            is_lookup,
            tried: Vec::new(),
            running: Vec::new(),
            is_done: false,
        });
        if is_lookup {
            self.outcome.lookups += 1;
            self.copies[daemon].on_sent(self.now, SERVICE);
        }
        if self.send(request, false) && is_lookup {
            if let Some(delay) = self.copies[daemon].delay(self.now, ROUTE, Some(OBJECTIVE)) {
                self.after(delay.delay, Event::Slow(request));
            }
        }
    }

    /// Sends a request to the servers until one takes it.
    fn send(&mut self, request: RequestId, is_copy: bool) -> bool {
        let daemon = self.requests[request].daemon;
        while self.requests[request].tried.len() < MAX_TRIES {
            let req = &mut self.requests[request];
            let query = ServerQuery {
                service: SERVICE,
                location: &self.location,
                tried: &req.tried,
                class: PermitClass::caller(2),
                software: SoftwareChoice::Any,
            };
            let chosen = self.backends[daemon].choose(self.now, query, |_| true);
            let Some(id) = chosen.map(|entry| entry.id.clone()) else { return false };
            req.tried.push(id.clone());
            let server: usize = id.parse().unwrap();
            self.backends[daemon].started(&id);
            if self.servers[server].waiting.len() >= QUEUE {
                self.backends[daemon].ended(self.now, &id, Ended::Refused);
                continue;
            }
            let run = self.runs.len();
            let started = self.now;
            self.runs.push(Run { request, server, started, is_copy, is_over: false });
            self.requests[request].running.push(run);
            self.servers[server].waiting.push_back(run);
            self.work(server);
            return true;
        }
        if !is_copy {
            self.outcome.refused += usize::from(self.requests[request].is_lookup);
        }
        false
    }

    /// Starts waiting runs in free slots.
    fn work(&mut self, server: usize) {
        while self.servers[server].working < SLOTS {
            let Some(run) = self.servers[server].waiting.pop_front() else { return };
            self.servers[server].working += 1;
            let stall = if self.servers[server].stalls { STALL.2 } else { 1.0 };
            let periods = self.now.as_secs_f64() / SLOW.0.as_secs_f64();
            let is_slow = periods as usize % SERVERS == server
                && periods.fract() * SLOW.0.as_secs_f64() < SLOW.1.as_secs_f64();
            let slow = if is_slow { SLOW.2 } else { 1.0 };
            let work = self.requests[self.runs[run].request].work;
            let took = Duration::from_secs_f64(work * SPEEDS[server] * stall * slow / 1_000.0);
            self.after(took, Event::Finish(run));
        }
    }

    fn finish(&mut self, run: RunId) {
        if self.runs[run].is_over {
            return;
        }
        let Run { request, server, started, is_copy, .. } = self.runs[run];
        let took = self.now - started;
        self.end(run, Ended::Answered(took));
        let req = &mut self.requests[request];
        let others: Vec<_> = req.running.drain(..).filter(|other| *other != run).collect();
        req.is_done = true;
        let (daemon, is_lookup, sent_at) = (req.daemon, req.is_lookup, req.sent_at);
        if is_lookup {
            self.copies[daemon].on_time(self.now, ROUTE, self.now - sent_at);
            if self.now - sent_at <= TIMEOUT {
                self.outcome.times.push(self.now - sent_at);
            }
        }
        self.outcome.won += usize::from(is_copy);
        for other in others {
            let (server, elapsed) = (self.runs[other].server, self.now - self.runs[other].started);
            self.end(other, Ended::Cancelled);
            self.backends[daemon].on_outrun(self.now, &server.to_string(), elapsed);
            self.work(server);
        }
        self.work(server);
    }

    fn end(&mut self, run: RunId, ended: Ended) {
        let Run { request, server, .. } = self.runs[run];
        self.runs[run].is_over = true;
        let waiting = &mut self.servers[server].waiting;
        match waiting.iter().position(|waiting| *waiting == run) {
            Some(place) => drop(waiting.remove(place)),
            None => self.servers[server].working -= 1,
        }
        let daemon = self.requests[request].daemon;
        self.backends[daemon].ended(self.now, &server.to_string(), ended);
    }

    fn copy(&mut self, request: RequestId) {
        let req = &self.requests[request];
        if req.is_done {
            return;
        }
        let (daemon, sent_at) = (req.daemon, req.sent_at);
        if let Some(at) = self.backends[daemon].short_of_room_at(SERVICE) {
            self.copies[daemon].on_short_of_room(at, SERVICE);
        }
        let copies = &mut self.copies[daemon];
        let usual = copies
            .delay(self.now, ROUTE, Some(OBJECTIVE))
            .map_or(Duration::ZERO, |delay| delay.usual);
        let time_left = (sent_at + TIMEOUT).saturating_sub(self.now);
        let slow =
            SlowRequest { service: SERVICE, runs_left: 1, time_left, usual, is_suspect: false };
        let draw = self.rng.random_range(0.0..1.0);
        match copies.decide(self.now, slow, draw) {
            Ok(()) if self.send(request, true) => {
                self.copies[daemon].on_copied(self.now, SERVICE);
                self.outcome.copies += 1;
                let is_late = self.now * 2 > self.scenario.duration;
                self.outcome.late_copies += usize::from(is_late);
            }
            Ok(()) => *self.outcome.skipped.entry("no_server").or_default() += 1,
            Err(reason) => *self.outcome.skipped.entry(reason.name()).or_default() += 1,
        }
    }

    fn write_row(&mut self, daemon: usize) {
        if self.is_over() {
            return;
        }
        self.after(ROW_INTERVAL, Event::Row(daemon));
        if let Some(at) = self.backends[daemon].short_of_room_at(SERVICE) {
            self.copies[daemon].on_short_of_room(at, SERVICE);
        }
        let Some(row) = self.copies[daemon].row(self.now, 0) else { return };
        self.rows[daemon] = (self.now, row.clone());
        self.copies[daemon].on_row_written(self.now, row);
        for to in (0..self.scenario.daemons).filter(|to| *to != daemon) {
            self.after(ROW_DELAY, Event::Told(daemon, to));
        }
    }
}

fn empty_row() -> CopiesRow {
    CopiesRow { at_ms: 0, services: Vec::new(), routes: Vec::new() }
}

/// Returns the mean of a figure over the seeds.
fn mean(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
}

fn seeds(scenario: Scenario) -> Vec<Outcome> {
    (1..=3).map(|seed| run(Scenario { seed, ..scenario })).collect()
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

#[test]
fn slowest_answers_come_sooner_within_the_limit() {
    let mut table = String::new();
    let mut p99 = BTreeMap::new();
    for percent in [0, 1, 2, 5, 10] {
        let all = seeds(Scenario { percent, ..USUAL });
        let at = |share| mean(&all, |outcome| millis(outcome.quantile(share)));
        p99.insert(percent, at(0.99));
        writeln!(
            table,
            "limit {percent} %: p50 {:.0} ms, p99 {:.0} ms, p99.9 {:.0} ms, in time {:.4}, extra {:.4}, won {:.2}",
            at(0.5),
            at(0.99),
            at(0.999),
            mean(&all, Outcome::in_time),
            mean(&all, Outcome::extra),
            mean(&all, |outcome| outcome.won as f64 / outcome.copies.max(1) as f64),
        )
        .unwrap();
        for outcome in &all {
            assert!(outcome.extra() <= f64::from(percent) / 100.0, "{table}");
        }
    }
    insta::assert_snapshot!(table, @r"
    limit 0 %: p50 21 ms, p99 419 ms, p99.9 937 ms, in time 0.9433, extra 0.0000, won 0.00
    limit 1 %: p50 21 ms, p99 405 ms, p99.9 811 ms, in time 0.9499, extra 0.0079, won 0.66
    limit 2 %: p50 21 ms, p99 381 ms, p99.9 970 ms, in time 0.9519, extra 0.0152, won 0.62
    limit 5 %: p50 21 ms, p99 349 ms, p99.9 707 ms, in time 0.9606, extra 0.0339, won 0.63
    limit 10 %: p50 21 ms, p99 321 ms, p99.9 695 ms, in time 0.9730, extra 0.0611, won 0.62
    ");
    assert!(p99[&5] < 0.9 * p99[&0] && p99[&10] < 0.8 * p99[&0], "{table}");
}

#[test]
fn one_daemon_alone_stays_within_the_limit() {
    for percent in [1, 5, 20] {
        for outcome in seeds(Scenario { percent, daemons: 1, ..USUAL }) {
            let extra = outcome.extra();
            assert!(extra > 0.0 && extra <= f64::from(percent) / 100.0, "{percent} %: {extra}");
        }
    }
}

#[test]
fn copies_stop_in_overload() {
    let duration = Duration::from_secs(40);
    let overload = Scenario { percent: 10, load: 1.5 * FULL_LOAD, duration, ..USUAL };
    for outcome in seeds(overload) {
        let late = outcome.late_copies;
        assert!(outcome.refused * 4 > outcome.lookups, "no overload");
        assert!(late * 1_000 <= outcome.lookups, "{late} of {}", outcome.lookups);
    }
}

#[test]
fn slow_request_is_not_copied_against_its_terms() {
    let now = Duration::from_secs(5);
    let mut copies = SecondCopies::new(20);
    assert_eq!(copies.delay(now, ROUTE, None), None, "nothing is known yet");
    for _ in 0..100 {
        copies.on_sent(now, SERVICE);
        copies.on_time(now, ROUTE, Duration::from_millis(20));
    }
    let delay = copies.delay(now, ROUTE, None).unwrap();
    assert!(delay.delay >= delay.usual && delay.usual >= Duration::from_millis(20));
    let req = SlowRequest {
        service: SERVICE,
        runs_left: 1,
        time_left: Duration::from_secs(1),
        usual: delay.usual,
        is_suspect: false,
    };
    let mut decide = |req| copies.decide(now, req, 0.0);
    assert_eq!(decide(req), Ok(()));
    assert_eq!(decide(SlowRequest { runs_left: 0, ..req }), Err(NoCopy::NoRuns));
    assert_eq!(decide(SlowRequest { is_suspect: true, ..req }), Err(NoCopy::Suspect));
    assert_eq!(decide(SlowRequest { time_left: delay.usual, ..req }), Err(NoCopy::NoTime));
    assert_eq!(decide(SlowRequest { service: "other", ..req }), Err(NoCopy::Limit));
    // Retries use up the limit.
    for _ in 0..18 {
        copies.on_repeated(now, SERVICE);
    }
    assert_eq!(copies.decide(now, req, 0.0), Err(NoCopy::Limit));
    // What another daemon sends and what it is refused count as well.
    let service =
        CopiesService { name: SERVICE.to_owned(), sent: 100, extra: 0, slow: 0, full: false };
    let row = |service: CopiesService| CopiesRow { services: vec![service], ..empty_row() };
    copies.on_row(now, "h2", now, row(service.clone()));
    assert_eq!(copies.decide(now, req, 0.0), Ok(()));
    copies.on_row(now, "h2", now, row(CopiesService { full: true, ..service }));
    assert_eq!(copies.decide(now, req, 0.0), Err(NoCopy::NoRoom));
    // What was not used in the window is gone.
    let later = now + Duration::from_secs(30);
    assert_eq!(copies.decide(later, req, 0.0), Err(NoCopy::Limit));
    let mut off = SecondCopies::new(0);
    off.on_sent(now, SERVICE);
    assert_eq!((off.row(now, 0), off.delay(now, ROUTE, None)), (None, None));
}
