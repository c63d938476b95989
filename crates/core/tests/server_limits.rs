//! Simulation of daemons that send requests to limited servers, in virtual time: daemons join, stop,
//! crash, freeze and are cut off, messages are lost, the store is away, and limits change.

use std::{
    collections::{BTreeMap, BinaryHeap},
    env,
    ops::Range,
    time::Duration,
};

use buckthornfall_core::{
    backends::Location,
    members::Members,
    permits::{
        IssuerHost, Origin, PermitAction, PermitClass, PermitDemand, PermitId, PermitView, Permits,
        Verdict,
    },
    rate_limit::{Limit, RateLimits, StatedRate},
    store::StoreClock,
    Now,
};
use buckthornfall_proto::messages::{MemberRow, MemberState, PermitRequest};
use rand::{rngs::SmallRng, Rng, SeedableRng};

/// Time in which the requests to a server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// A daemon that was restarted, frozen or cut off within this time is not counted.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// A daemon counts from this time after its first response with the limit.
const NOTICE_TIME: Duration = Duration::from_millis(500);
const DURATION: Duration = Duration::from_secs(40);
const BEAT: Duration = Duration::from_millis(800);
const PATIENCE: Duration = Duration::from_millis(300);
/// Time allowed for the round trip to an issuer.
const EXCHANGE_MARGIN: Duration = Duration::from_millis(250);
/// Delay after which a notice to the issuer that was lost is sent again.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of seeds of the scenario with faults that CI runs.
const CI_SEEDS: u64 = 60;
const START: Now = Duration::from_secs(100);

/// How daemons keep to the limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// One daemon issues the permits of a server.
    Shared,
    /// Each daemon issues its own.
    Alone,
    /// Limits are ignored.
    Ignore,
}

struct Scenario {
    policy: Policy,
    daemons: usize,
    servers: usize,
    /// Mean requests per second of the whole fleet to each server.
    demand: f64,
    faults: bool,
    /// Share of the messages between daemons that are lost.
    loss: f64,
    /// Limit of all servers; `None` changes it at random.
    rate: Option<f64>,
}

#[derive(Debug)]
enum Event {
    Demand { daemon: usize },
    Beat { daemon: usize },
    MemberRow { daemon: usize, host: usize, row: MemberRow },
    LimitRow { daemon: usize, server: usize, limit: Limit },
    Ask { daemon: usize, from: usize, start: u32, id: PermitId, req: PermitRequest },
    Reply { daemon: usize, start: u32, id: PermitId, verdict: Option<Verdict> },
    Poll { daemon: usize },
    Response { daemon: usize, start: u32, server: usize, sent_at: Now, stated: StatedRate },
    Notify { daemon: usize, start: u32, server: usize, limit: Limit },
    Limit { server: usize },
    Fault,
    Start { daemon: usize },
}

#[derive(Debug)]
struct Scheduled {
    at: Now,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.number == other.number
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// What waits for the decision on a permit.
#[derive(Debug, Clone, Copy)]
enum Waiting {
    /// A request to this server.
    Request(usize),
    /// A request for a permit of this daemon, since its start of this number.
    Peer { daemon: usize, start: u32, id: PermitId },
}

struct Daemon {
    up: bool,
    /// Number of the current start; messages to earlier ones are dropped.
    start: u32,
    beat: u64,
    frozen_until: Now,
    /// Messages from and to a daemon that is cut off are lost.
    cut_until: Now,
    /// End of the last disturbance.
    disturbed_until: Now,
    members: Members,
    limits: RateLimits,
    permits: Permits,
    waiting: BTreeMap<PermitId, Waiting>,
    /// First response with a limit of each server since the start.
    told: BTreeMap<usize, Now>,
}

impl Daemon {
    fn new(index: usize) -> Daemon {
        Daemon {
            up: true,
            start: 1,
            beat: 0,
            frozen_until: Now::ZERO,
            cut_until: Now::ZERO,
            disturbed_until: Now::ZERO,
            members: Members::new(host(index)),
            limits: RateLimits::default(),
            permits: Permits::default(),
            waiting: BTreeMap::new(),
            told: BTreeMap::new(),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Now,
    daemon: usize,
    /// Whether the daemon had been told of the limit.
    told: bool,
}

struct Server {
    rate: Option<f64>,
    /// All limits, with the time from which they hold.
    history: Vec<(Now, Option<f64>)>,
    /// When the current period of limits began.
    limited_since: Option<Now>,
    /// Periods of limits, each from its first statement on.
    periods: Vec<(Now, Now)>,
    arrivals: Vec<Arrival>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    now: Now,
    events: BinaryHeap<Scheduled>,
    number: u64,
    rng: SmallRng,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    location: Location,
    clock: StoreClock,
    /// The rows in the store, which a daemon reads when it starts.
    member_rows: BTreeMap<usize, MemberRow>,
    limit_rows: BTreeMap<usize, Limit>,
    store_away_until: Now,
    /// Disturbances of each daemon.
    disturbances: Vec<(usize, Now, Now)>,
}

fn host(index: usize) -> String {
    format!("h{index}")
}

fn daemon_of(issuer: &IssuerHost) -> usize {
    issuer.host[1..].parse().expect("hosts have numbers")
}

fn server_id(index: usize) -> String {
    format!("s{index}")
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Simulation<'a> {
        let regions = [("zone-a".to_owned(), "r1".to_owned())];
        let mut simulation = Simulation {
            scenario,
            now: START,
            events: BinaryHeap::new(),
            number: 0,
            rng: SmallRng::seed_from_u64(seed),
            daemons: (0..scenario.daemons).map(Daemon::new).collect(),
            servers: Vec::new(),
            location: Location {
                zone: "zone-a".to_owned(),
                regions: regions.into_iter().collect(),
            },
            clock: StoreClock::default(),
            member_rows: BTreeMap::new(),
            limit_rows: BTreeMap::new(),
            store_away_until: Now::ZERO,
            disturbances: Vec::new(),
        };
        simulation.clock.on_reply(START, 1_000_000);
        for server in 0..scenario.servers {
            simulation.servers.push(Server {
                rate: None,
                history: vec![(Now::ZERO, None)],
                limited_since: None,
                periods: Vec::new(),
                arrivals: Vec::new(),
            });
            simulation.after(Duration::from_secs(3), Event::Limit { server });
        }
        for daemon in 0..scenario.daemons {
            let first = simulation.up_to_ms(800);
            simulation.after(first, Event::Beat { daemon });
            simulation.after(Duration::from_secs(2), Event::Demand { daemon });
        }
        if scenario.faults {
            simulation.after(Duration::from_secs(4), Event::Fault);
        }
        simulation
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.number += 1;
        self.events.push(Scheduled { at: self.now + delay, number: self.number, event });
    }

    fn up_to_ms(&mut self, most: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(200..most * 1_000))
    }

    fn run(mut self) -> Vec<Server> {
        while let Some(next) = self.events.pop() {
            if next.at > START + DURATION {
                break;
            }
            self.now = next.at;
            self.handle(next.event);
        }
        let end = self.now;
        for server in &mut self.servers {
            server.periods.extend(server.limited_since.take().map(|since| (since, end)));
        }
        for (daemon, from, until) in &self.disturbances {
            let is_excused =
                |a: &Arrival| a.daemon == *daemon && a.at >= *from && a.at < *until + CONTACT_TIME;
            self.servers.iter_mut().for_each(|s| s.arrivals.retain(|a| !is_excused(a)));
        }
        self.servers
    }

    /// Returns the daemon to which an event belongs, if only a running one handles it.
    fn handled_by(event: &Event) -> Option<usize> {
        match event {
            Event::Demand { daemon }
            | Event::Beat { daemon }
            | Event::MemberRow { daemon, .. }
            | Event::LimitRow { daemon, .. }
            | Event::Ask { daemon, .. }
            | Event::Reply { daemon, .. }
            | Event::Poll { daemon }
            | Event::Notify { daemon, .. }
            | Event::Response { daemon, .. } => Some(*daemon),
            Event::Limit { .. } | Event::Fault | Event::Start { .. } => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(daemon) = Simulation::handled_by(&event) {
            let state = &self.daemons[daemon];
            if state.up && state.frozen_until > self.now {
                let delay = state.frozen_until - self.now;
                return self.after(delay, event);
            }
            let repeats = matches!(event, Event::Demand { .. } | Event::Beat { .. });
            if !state.up && !repeats {
                return;
            }
        }
        match event {
            Event::Demand { daemon } => self.on_demand(daemon),
            Event::Beat { daemon } => self.on_beat(daemon),
            Event::MemberRow { daemon, host: of, row } => {
                let state = &mut self.daemons[daemon];
                state.members.on_contact(self.now);
                state.members.on_row(self.now, &host(of), row);
            }
            Event::LimitRow { daemon, server, limit } => {
                self.daemons[daemon].limits.learn(&server_id(server), limit);
            }
            Event::Ask { daemon, from, start, id, req } => {
                self.on_ask(daemon, Waiting::Peer { daemon: from, start, id }, req);
            }
            Event::Reply { daemon, start, id, verdict } => {
                self.on_reply(daemon, start, id, verdict)
            }
            Event::Poll { daemon } => {
                let mut out = Vec::new();
                self.daemons[daemon].permits.poll(self.now, &mut out);
                self.perform(daemon, out);
            }
            Event::Response { daemon, start, server, sent_at, stated } => {
                self.on_response(daemon, start, server, sent_at, stated);
            }
            Event::Notify { daemon, start, server, limit } => {
                if self.daemons[daemon].start == start {
                    self.notify_issuer(daemon, server, limit);
                }
            }
            Event::Limit { server } => self.change_limit(server),
            Event::Fault => self.inject_fault(),
            Event::Start { daemon } => self.start(daemon),
        }
    }

    fn on_demand(&mut self, daemon: usize) {
        let rate = self.scenario.demand * self.scenario.servers as f64 / self.daemons.len() as f64;
        let next = Duration::from_secs_f64(self.rng.random_range(0.0..2.0) / rate);
        self.after(next, Event::Demand { daemon });
        if !self.daemons[daemon].up {
            return;
        }
        let server = self.rng.random_range(0..self.servers.len());
        let limit = self.daemons[daemon].limits.limit(&server_id(server), 1).copied();
        let limit = limit.filter(|_| self.scenario.policy != Policy::Ignore);
        let Some(limit) = limit else { return self.send(daemon, server) };
        let class = match self.rng.random_range(0..3) {
            0 => PermitClass::CONTROL,
            1 => PermitClass::caller(1),
            _ => PermitClass::job(0),
        };
        let demand = PermitDemand {
            server: &server_id(server),
            limit,
            class,
            patience: PATIENCE,
            origin: Origin::Own,
        };
        self.request(daemon, demand, Waiting::Request(server));
    }

    fn request(&mut self, daemon: usize, demand: PermitDemand<'_>, waiting: Waiting) {
        let mut out = Vec::new();
        let now = self.now;
        let id =
            self.with_view(daemon, |permits, view| permits.request(now, view, demand, &mut out));
        self.daemons[daemon].waiting.insert(id, waiting);
        self.perform(daemon, out);
    }

    fn with_view<R>(
        &mut self,
        daemon: usize,
        f: impl FnOnce(&mut Permits, PermitView<'_>) -> R,
    ) -> R {
        let own_host = host(daemon);
        let state = &mut self.daemons[daemon];
        let mut alone = Members::new(own_host.clone());
        alone.on_contact(self.now);
        alone.on_row(self.now, &own_host, member_row(daemon, 1, 1));
        let members = if self.scenario.policy == Policy::Alone { &alone } else { &state.members };
        let (location, clock) = (Some(&self.location), self.clock);
        let view = PermitView { own_host: &own_host, members, location, clock };
        f(&mut state.permits, view)
    }

    fn on_ask(&mut self, daemon: usize, waiting: Waiting, req: PermitRequest) {
        let server = req.limit.server.as_str();
        let stated =
            Limit::from_notice(self.now, self.clock, &req.limit).expect("limits are valid");
        let limits = &mut self.daemons[daemon].limits;
        limits.learn(server, stated);
        let Some(limit) = limits.get(server).copied().filter(|limit| limit.rate.is_some()) else {
            let verdict = Verdict { granted: true, next: Duration::ZERO };
            return self.reply(daemon, waiting, verdict);
        };
        let demand = PermitDemand {
            server,
            limit,
            class: PermitClass { source: req.source, priority: req.priority },
            patience: Duration::from_millis(u64::from(req.patience_ms)),
            origin: Origin::Peer { relayed: req.relayed },
        };
        self.request(daemon, demand, waiting);
    }

    fn on_reply(&mut self, daemon: usize, start: u32, id: PermitId, verdict: Option<Verdict>) {
        if self.daemons[daemon].start != start {
            return;
        }
        let mut out = Vec::new();
        let now = self.now;
        self.with_view(daemon, |permits, view| permits.on_reply(now, view, id, verdict, &mut out));
        self.perform(daemon, out);
    }

    fn perform(&mut self, daemon: usize, actions: Vec<PermitAction>) {
        for action in actions {
            match action {
                PermitAction::Decided { id, verdict } => {
                    let Some(waiting) = self.daemons[daemon].waiting.remove(&id) else { continue };
                    match waiting {
                        Waiting::Request(server) if verdict.granted => self.send(daemon, server),
                        Waiting::Request(_) => {}
                        Waiting::Peer { .. } => self.reply(daemon, waiting, verdict),
                    }
                }
                PermitAction::Ask { id, issuer, req } => self.ask(daemon, id, &issuer, req),
            }
        }
        if let Some(due) = self.daemons[daemon].permits.next_due(self.now) {
            let delay = due.saturating_sub(self.now) + Duration::from_micros(1);
            self.after(delay, Event::Poll { daemon });
        }
    }

    fn ask(&mut self, from: usize, id: PermitId, issuer: &IssuerHost, req: PermitRequest) {
        let start = self.daemons[from].start;
        let timeout = Duration::from_millis(u64::from(req.patience_ms)) + EXCHANGE_MARGIN;
        self.after(timeout, Event::Reply { daemon: from, start, id, verdict: None });
        let daemon = daemon_of(issuer);
        if self.is_delivered(from, daemon) {
            let delay = self.up_to_ms(15);
            self.after(delay, Event::Ask { daemon, from, start, id, req });
        }
    }

    fn reply(&mut self, from: usize, waiting: Waiting, verdict: Verdict) {
        let Waiting::Peer { daemon, start, id } = waiting else { return };
        if self.is_delivered(from, daemon) {
            let delay = self.up_to_ms(15);
            self.after(delay, Event::Reply { daemon, start, id, verdict: Some(verdict) });
        }
    }

    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let is_cut = [from, to].iter().any(|daemon| self.daemons[*daemon].cut_until > self.now);
        !is_cut && !self.rng.random_bool(self.scenario.loss)
    }

    fn send(&mut self, daemon: usize, server: usize) {
        let (now, start) = (self.now, self.daemons[daemon].start);
        let told_at = self.daemons[daemon].told.get(&server);
        let told = told_at.is_some_and(|at| now >= *at + NOTICE_TIME);
        let state = &mut self.servers[server];
        state.arrivals.push(Arrival { at: now, daemon, told });
        let stated = state.rate.map_or(StatedRate::Unlimited, StatedRate::PerSecond);
        let delay = self.up_to_ms(60);
        self.after(delay, Event::Response { daemon, start, server, sent_at: now, stated });
    }

    fn on_response(
        &mut self,
        daemon: usize,
        start: u32,
        server: usize,
        sent_at: Now,
        stated: StatedRate,
    ) {
        if self.daemons[daemon].start != start {
            return;
        }
        let now = self.now;
        let state = &mut self.daemons[daemon];
        match stated {
            StatedRate::PerSecond(_) => drop(state.told.entry(server).or_insert(now)),
            _ => drop(state.told.remove(&server)),
        }
        let id = server_id(server);
        let change = state.limits.on_response(now, sent_at, &id, 1, stated);
        let limit = self.daemons[daemon].limits.get(&id).copied();
        let (Some(_), Some(limit)) = (change, limit) else { return };
        self.notify_issuer(daemon, server, limit);
        if self.store_away_until > now {
            return;
        }
        self.limit_rows.insert(server, limit);
        for daemon in 0..self.daemons.len() {
            let delay = self.up_to_ms(150);
            self.after(delay, Event::LimitRow { daemon, server, limit });
        }
    }

    fn notify_issuer(&mut self, daemon: usize, server: usize, limit: Limit) {
        let now = self.now;
        let issuer = self.with_view(daemon, |permits, view| {
            permits.choose_issuer(now, view, &server_id(server))
        });
        let Some(issuer) = issuer.map(|issuer| daemon_of(&issuer)) else { return };
        if self.is_delivered(daemon, issuer) {
            let delay = self.up_to_ms(15);
            self.after(delay, Event::LimitRow { daemon: issuer, server, limit });
        } else {
            let start = self.daemons[daemon].start;
            self.after(SHARE_INTERVAL, Event::Notify { daemon, start, server, limit });
        }
    }

    fn on_beat(&mut self, daemon: usize) {
        self.after(BEAT, Event::Beat { daemon });
        let state = &mut self.daemons[daemon];
        if !state.up || state.cut_until > self.now || self.store_away_until > self.now {
            return;
        }
        state.beat += 1;
        let row = member_row(daemon, u64::from(state.start), state.beat);
        self.member_rows.insert(daemon, row.clone());
        for to in 0..self.daemons.len() {
            if self.daemons[to].cut_until <= self.now {
                let delay = self.up_to_ms(150);
                self.after(delay, Event::MemberRow { daemon: to, host: daemon, row: row.clone() });
            }
        }
    }

    fn change_limit(&mut self, server: usize) {
        let next = Duration::from_secs_f64(self.rng.random_range(4.0..16.0));
        let rate = match self.scenario.rate {
            Some(rate) => Some(rate),
            None => match self.rng.random_range(0..8) {
                0 => None,
                1 => Some(0.0),
                2 => Some(self.rng.random_range(20.0..60.0)),
                _ => Some(self.rng.random_range(0.5..12.0)),
            },
        };
        let now = self.now;
        let state = &mut self.servers[server];
        state.rate = rate;
        state.history.push((now, rate));
        match (rate, state.limited_since) {
            (Some(_), None) => state.limited_since = Some(now),
            (None, Some(since)) => {
                state.limited_since = None;
                state.periods.push((since, now));
            }
            _ => {}
        }
        if self.scenario.rate.is_none() {
            self.after(next, Event::Limit { server });
        }
    }

    fn inject_fault(&mut self) {
        let next = Duration::from_secs_f64(self.rng.random_range(0.3..2.5));
        self.after(next, Event::Fault);
        let daemon = self.rng.random_range(0..self.daemons.len());
        let duration = Duration::from_secs_f64(self.rng.random_range(0.2..4.0));
        let until = self.now + duration;
        match self.rng.random_range(0..6) {
            0 => {
                self.daemons[daemon].frozen_until = until;
                self.disturb(daemon, until);
            }
            1 => {
                self.daemons[daemon].cut_until = until;
                self.disturb(daemon, until);
            }
            2 => self.store_away_until = until,
            3 => {
                let count = self.daemons.len() / 2;
                (0..count).for_each(|daemon| self.kill(daemon, until));
            }
            _ => self.kill(daemon, until),
        }
    }

    fn disturb(&mut self, daemon: usize, until: Now) {
        self.daemons[daemon].disturbed_until = until;
        self.disturbances.push((daemon, self.now, until));
    }

    fn kill(&mut self, daemon: usize, until: Now) {
        let state = &mut self.daemons[daemon];
        if state.up {
            state.up = false;
            self.after(until - self.now, Event::Start { daemon });
            self.disturb(daemon, until);
        }
    }

    fn start(&mut self, daemon: usize) {
        if self.store_away_until > self.now {
            // A daemon serves only once it has read the tables of the store.
            let delay = self.store_away_until - self.now + Duration::from_millis(100);
            self.disturb(daemon, self.now + delay);
            return self.after(delay, Event::Start { daemon });
        }
        let start = self.daemons[daemon].start + 1;
        let mut state = Daemon { start, ..Daemon::new(daemon) };
        state.members.on_contact(self.now);
        for (of, row) in &self.member_rows {
            state.members.on_row(self.now, &host(*of), row.clone());
        }
        for (server, limit) in &self.limit_rows {
            state.limits.learn(&server_id(*server), *limit);
        }
        self.daemons[daemon] = state;
    }
}

fn member_row(daemon: usize, incarnation: u64, beat: u64) -> MemberRow {
    MemberRow {
        front: host(daemon),
        peers: host(daemon),
        zone: "zone-a".to_owned(),
        state: MemberState::Serving,
        incarnation,
        beat,
        beat_ms: u32::try_from(BEAT.as_millis()).unwrap() + 100,
        store_ms: 5,
        requests_per_s: 1,
    }
}

impl Server {
    /// Returns the windows with more requests than allowed, as texts.
    fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (since, until) in &self.periods {
            let starts = self.arrivals.iter().map(|arrival| arrival.at);
            for start in starts.filter(|at| *at >= *since + CONTACT_TIME && *at + WINDOW <= *until)
            {
                let in_window = |a: &&Arrival| a.told && a.at >= start && a.at < start + WINDOW;
                let count = self.arrivals.iter().filter(in_window).count();
                let rate = self.max_rate(start - Duration::from_secs(1), start + WINDOW);
                let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
                if count as f64 > allowed {
                    violations.push(format!(
                        "from {start:?} {count} requests, {allowed} allowed at {rate}"
                    ));
                }
            }
        }
        violations
    }

    fn max_rate(&self, from: Now, until: Now) -> f64 {
        let ends = self.history.iter().skip(1).map(|(at, _)| *at).chain([Now::MAX]);
        let spans = self.history.iter().zip(ends);
        let overlapping = spans.filter(|((start, _), end)| *start < until && *end > from);
        overlapping.filter_map(|((_, rate), _)| *rate).fold(0.0, f64::max)
    }
}

fn violations(scenario: &Scenario, seed: u64) -> Vec<String> {
    let servers = Simulation::new(scenario, seed).run();
    servers.iter().flat_map(Server::violations).collect()
}

fn scenario(policy: Policy, seed: u64) -> Scenario {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x51ab);
    Scenario {
        policy,
        daemons: [1, 3, 9, 24, 60][rng.random_range(0..5)],
        servers: rng.random_range(1..4),
        demand: rng.random_range(10.0..60.0),
        faults: true,
        loss: rng.random_range(0.0..0.1),
        rate: None,
    }
}

fn failed_seeds(seeds: Range<u64>) -> Vec<String> {
    seeds
        .filter_map(|seed| {
            let found = violations(&scenario(Policy::Shared, seed), seed);
            found.first().map(|first| format!("seed {seed}: {} windows, {first}", found.len()))
        })
        .collect()
}

/// Guards against servers that get more requests than they accept from all daemons together.
#[test]
fn requests_of_all_daemons_stay_within_the_limit_of_a_server_under_faults() {
    let failed = failed_seeds(0..CI_SEEDS);
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Runs the seeds of `LIMIT_SEEDS`, such as `0..2000`.
#[test]
#[ignore = "by hand: takes about 0.1 s a seed"]
fn requests_of_all_daemons_stay_within_the_limit_of_a_server_for_many_seeds() {
    let seeds = env::var("LIMIT_SEEDS").unwrap_or_else(|_| "0..500".to_owned());
    let (from, until) = seeds.split_once("..").expect("LIMIT_SEEDS must have the form FROM..UNTIL");
    let failed = failed_seeds(from.parse().unwrap()..until.parse().unwrap());
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Shows that the simulation detects daemons that ignore the limits, or keep to them one by one.
#[test]
fn separate_or_missing_limits_exceed_the_limit_of_a_server() {
    for policy in [Policy::Ignore, Policy::Alone] {
        let calm = Scenario {
            policy,
            daemons: 9,
            servers: 1,
            demand: 40.0,
            faults: false,
            loss: 0.0,
            rate: Some(2.0),
        };
        assert!(!violations(&calm, 1).is_empty(), "{policy:?}");
    }
}

/// Guards against a limit that is kept by leaving the server idle.
#[test]
fn the_limit_of_a_server_is_used() {
    for (daemons, rate) in [(1, 1.0), (9, 2.5), (60, 1.0), (60, 20.0)] {
        let calm = Scenario {
            policy: Policy::Shared,
            daemons,
            servers: 1,
            demand: 40.0,
            faults: false,
            loss: 0.0,
            rate: Some(rate),
        };
        let servers = Simulation::new(&calm, 7).run();
        let steady = START + Duration::from_secs(10);
        let count = servers[0].arrivals.iter().filter(|arrival| arrival.at >= steady).count();
        let seconds = (START + DURATION - steady).as_secs_f64();
        let used = count as f64 / (rate * seconds);
        assert!((0.9..=1.1).contains(&used), "{daemons} daemons, {rate}/s: {used:.2} used");
        assert_eq!(servers[0].violations(), [""; 0]);
    }
}
