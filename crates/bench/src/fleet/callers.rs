//! Callers of a plain service while some daemons are cut off from all servers.
//!
//! Compares what a daemon does that has lost the servers: it refuses its callers, leaves the directory,
//! or passes requests on. Only first attempts are simulated; a caller's retries add load elsewhere.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_core::{
    backends::{Backend, Backends, Location},
    members::Members,
    peer_choice::{PeerChoice, PeerEnd},
    reachability::Reachability,
    Now,
};
use buckthornfall_proto::messages::{MemberRow, MemberState, ReachRow};
use rand::{
    rngs::SmallRng,
    seq::{IndexedRandom, SliceRandom},
    Rng, SeedableRng,
};

use super::experiment::{Callers, Experiment, Fault, FaultKind, LostPathPolicy};

const SERVICE: &str = "plain";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Virtual time at which the load starts; above zero, so that no event is at time zero.
const START: Now = Duration::from_secs(100);
/// Interval between two checks of a daemon's paths.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two heartbeats of a daemon.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(800);
/// Delay until a row is seen by the other daemons.
const ROW_DELAY: Duration = Duration::from_millis(150);
/// Time after which a connection to a server that does not respond fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time of a request at a server.
const SERVER_TIME: Duration = Duration::from_millis(20);
/// Failed connections after which a request is passed on, or refused.
const MAX_PATH_FAILURES: u32 = 2;
/// Addresses that the directory names to a caller at most.
const MAX_ADDRESSES: usize = 8;
/// Time from the begin of a cut after which callers have to be served.
const CONTACT_TIME: Duration = Duration::from_secs(4);

/// First attempts, and those of them that were served.
#[derive(Debug, Clone, Copy, Default)]
pub struct Share {
    pub tries: u32,
    pub served: u32,
}

impl Share {
    fn count(&mut self, served: bool) {
        self.tries += 1;
        self.served += u32::from(served);
    }

    /// Returns the share that was served; 1 without attempts.
    pub fn value(self) -> f64 {
        if self.tries == 0 {
            return 1.0;
        }
        f64::from(self.served) / f64::from(self.tries)
    }
}

/// First attempts while daemons are cut off.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallersResult {
    /// At daemons that are cut off, before they have to be served.
    pub early: Share,
    /// At daemons that are cut off, afterwards.
    pub cut_off: Share,
    /// At the other daemons, during the cuts.
    pub others: Share,
    /// Most requests in flight that other daemons have passed on to one daemon.
    pub most_passed_on: u32,
}

#[derive(Debug)]
enum Event {
    Tick { host: usize },
    Heartbeat { beat: u64 },
    LostRow { host: usize, lost: Vec<String> },
    ProbeEnd { host: usize, server: String },
    Call,
    ConnectFailed { request: Request, server: String },
    Answered { request: Request },
    CutBegin { fault: usize },
    CutEnd { hosts: Vec<usize> },
}

#[derive(Debug, Clone)]
struct Request {
    started: Now,
    /// Daemon that the caller chose.
    first: usize,
    /// Daemon that sends it to a server.
    host: usize,
    path_failures: u32,
}

struct Host {
    reachability: Reachability,
    /// The daemons as the choice of a peer sees them.
    members: Members,
    /// The daemons as the directory sees them.
    directory: Members,
    peer_choice: PeerChoice,
    /// Since when the daemon is cut off.
    cut_since: Option<Now>,
    /// Lost services that were shared last.
    told: Vec<String>,
    /// Requests since the last heartbeat.
    requests: u32,
    passed_on: u32,
}

/// A caller and the addresses that it was told.
#[derive(Debug, Default)]
struct Caller {
    addresses: Vec<usize>,
    told_at: Now,
}

/// Simulation of the callers with one seed.
pub struct Simulation<'a> {
    cfg: &'a Experiment,
    callers_cfg: &'a Callers,
    rng: SmallRng,
    now: Now,
    queue: BTreeMap<(Now, u64), Event>,
    last_event_id: u64,
    backends: Backends,
    hosts: Vec<Host>,
    callers: Vec<Caller>,
    result: CallersResult,
}

impl<'a> Simulation<'a> {
    pub fn new(cfg: &'a Experiment, callers_cfg: &'a Callers, seed: u64) -> Simulation<'a> {
        let mut backends = Backends::default();
        (0..cfg.servers.count).for_each(|index| backends.upsert(server(index, cfg.servers.slots)));
        let new_host = |host: usize| Host {
            reachability: Reachability::default(),
            members: Members::new(name(host)),
            directory: Members::new(name(host)),
            peer_choice: PeerChoice::default(),
            cut_since: None,
            told: Vec::new(),
            requests: 0,
            passed_on: 0,
        };
        let mut simulation = Simulation {
            cfg,
            callers_cfg,
            rng: SmallRng::seed_from_u64(seed),
            now: START,
            queue: BTreeMap::new(),
            last_event_id: 0,
            backends,
            hosts: (0..cfg.daemons).map(new_host).collect(),
            callers: (0..callers_cfg.count).map(|_| Caller::default()).collect(),
            result: CallersResult::default(),
        };
        simulation.schedule(Duration::ZERO, Event::Heartbeat { beat: 1 });
        (0..cfg.daemons).for_each(|host| simulation.schedule(TICK_INTERVAL, Event::Tick { host }));
        for (fault, settings) in cfg.faults.iter().enumerate() {
            if settings.kind == FaultKind::DaemonsCutOff {
                let at = Duration::from_millis(settings.at_ms);
                simulation.schedule(at, Event::CutBegin { fault });
            }
        }
        simulation.schedule(HEARTBEAT_INTERVAL, Event::Call);
        simulation
    }

    /// Runs the simulation until the end of the load.
    pub fn run(mut self) -> CallersResult {
        let end = START + Duration::from_millis(self.cfg.load_ms);
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.result
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.last_event_id += 1;
        self.queue.insert((self.now + after, self.last_event_id), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick { host } => self.tick(host),
            Event::Heartbeat { beat } => self.heartbeat(beat),
            Event::LostRow { host, lost } => {
                let row = (!lost.is_empty()).then_some(ReachRow { incarnation: 1, lost });
                let leaves = self.leaves_directory();
                for view in &mut self.hosts {
                    view.members.on_reach(&name(host), row.clone());
                    if leaves {
                        view.directory.on_reach(&name(host), row.clone());
                    }
                }
            }
            Event::ProbeEnd { host, server } => {
                let connected = self.hosts[host].cut_since.is_none();
                let paths = &mut self.hosts[host].reachability;
                paths.on_probe_end(self.now, SERVICE, &server, connected);
            }
            Event::Call => self.call(),
            Event::ConnectFailed { request, server } => {
                let paths = &mut self.hosts[request.host].reachability;
                paths.on_connect_failed(self.now, SERVICE, &server);
                self.try_request(request);
            }
            Event::Answered { request } => self.on_answered(request),
            Event::CutBegin { fault } => {
                let fault = self.cfg.faults[fault].clone();
                self.begin_cut(&fault);
            }
            Event::CutEnd { hosts } => {
                hosts.into_iter().for_each(|host| self.hosts[host].cut_since = None);
            }
        }
    }

    fn begin_cut(&mut self, fault: &Fault) {
        let mut hosts: Vec<_> = (0..self.hosts.len()).collect();
        hosts.shuffle(&mut self.rng);
        hosts.truncate(((hosts.len() as f64 * fault.share).round() as usize).max(1));
        hosts.iter().for_each(|host| self.hosts[*host].cut_since = Some(self.now));
        self.schedule(Duration::from_millis(fault.for_ms), Event::CutEnd { hosts });
    }

    fn tick(&mut self, host: usize) {
        self.schedule(TICK_INTERVAL, Event::Tick { host });
        let target = &mut self.hosts[host];
        let (probes, _) = target.reachability.tick(self.now, &self.backends);
        let lost = target.reachability.lost();
        let took = if self.hosts[host].cut_since.is_some() { CONNECT_TIMEOUT } else { SERVER_TIME };
        for probe in probes {
            self.schedule(took, Event::ProbeEnd { host, server: probe.server.id });
        }
        if lost != self.hosts[host].told {
            self.hosts[host].told.clone_from(&lost);
            self.schedule(ROW_DELAY, Event::LostRow { host, lost });
        }
    }

    fn leaves_directory(&self) -> bool {
        matches!(
            self.callers_cfg.lost_paths,
            LostPathPolicy::LeaveDirectory | LostPathPolicy::PassOnAndLeave
        )
    }

    fn heartbeat(&mut self, beat: u64) {
        self.schedule(HEARTBEAT_INTERVAL, Event::Heartbeat { beat: beat + 1 });
        let per_s =
            |requests: u32| (f64::from(requests) / HEARTBEAT_INTERVAL.as_secs_f64()).round() as u32;
        let rows: Vec<_> = self
            .hosts
            .iter_mut()
            .enumerate()
            .map(|(host, state)| {
                (name(host), member(host, per_s(std::mem::take(&mut state.requests)), beat))
            })
            .collect();
        for view in &mut self.hosts {
            for members in [&mut view.members, &mut view.directory] {
                members.on_contact(self.now);
                for (host, row) in &rows {
                    members.on_row(self.now, host, row.clone());
                }
            }
        }
    }

    fn call(&mut self) {
        let wait = Duration::from_secs_f64(1.0 / self.callers_cfg.requests_per_s);
        let jitter = self.rng.random_range(0.5..1.5);
        self.schedule(wait.mul_f64(jitter), Event::Call);
        let caller = self.rng.random_range(0..self.callers.len());
        let keep = Duration::from_millis(self.callers_cfg.keep_ms);
        let is_old = self.callers[caller].told_at + keep <= self.now;
        if is_old || self.callers[caller].addresses.is_empty() {
            let told_by = self.rng.random_range(0..self.hosts.len());
            let directory = &self.hosts[told_by].directory;
            let told =
                directory.entry_addresses(self.now, &location(caller % ZONES.len()), MAX_ADDRESSES);
            let addresses = told.iter().filter_map(|address| address.parse().ok()).collect();
            self.callers[caller] = Caller { addresses, told_at: self.now };
        }
        let Some(first) = self.callers[caller].addresses.choose(&mut self.rng).copied() else {
            return;
        };
        let request = Request { started: self.now, first, host: first, path_failures: 0 };
        self.try_request(request);
    }

    /// Lets a daemon send a request to a server, pass it on or refuse it.
    fn try_request(&mut self, mut request: Request) {
        let host = request.host;
        let is_lost = self.hosts[host].reachability.is_lost(SERVICE);
        if is_lost || request.path_failures >= MAX_PATH_FAILURES {
            if host == request.first && self.passes_on() {
                return self.pass_on(request);
            }
            return self.finish(&request, false);
        }
        self.hosts[host].requests += u32::from(request.path_failures == 0);
        if self.hosts[host].cut_since.is_none() {
            return self.schedule(SERVER_TIME, Event::Answered { request });
        }
        let server = server(self.rng.random_range(0..self.cfg.servers.count), 1).id;
        request.path_failures += 1;
        self.schedule(CONNECT_TIMEOUT, Event::ConnectFailed { request, server });
    }

    fn passes_on(&self) -> bool {
        matches!(
            self.callers_cfg.lost_paths,
            LostPathPolicy::PassOn | LostPathPolicy::PassOnAndLeave
        )
    }

    fn pass_on(&mut self, mut request: Request) {
        let place = location(request.first % ZONES.len());
        let first = &mut self.hosts[request.first];
        let peer = first.peer_choice.choose(self.now, &first.members, &place, SERVICE, &[]);
        let Some(peer) = peer else { return self.finish(&request, false) };
        first.peer_choice.started(&peer.host);
        request.host = peer.address.parse().expect("addresses are indices of daemons");
        request.path_failures = 0;
        let target = &mut self.hosts[request.host];
        target.passed_on += 1;
        self.result.most_passed_on = self.result.most_passed_on.max(target.passed_on);
        self.try_request(request);
    }

    fn on_answered(&mut self, request: Request) {
        let host = &mut self.hosts[request.host];
        // An answer that is due during the cut is lost.
        let served = host.cut_since.is_none();
        if served {
            host.reachability.on_response(self.now, SERVICE);
        }
        self.finish(&request, served);
    }

    fn finish(&mut self, request: &Request, served: bool) {
        let now = self.now;
        if request.host != request.first {
            self.hosts[request.host].passed_on -= 1;
            let end = if served { PeerEnd::Answered } else { PeerEnd::Refused };
            let peer = name(request.host);
            self.hosts[request.first].peer_choice.ended(now, &peer, end);
        }
        let Some(since) = self.hosts[request.first].cut_since else {
            if self.hosts.iter().any(|host| host.cut_since.is_some()) {
                self.result.others.count(served);
            }
            return;
        };
        if request.started >= since + CONTACT_TIME {
            self.result.cut_off.count(served);
        } else if request.started >= since {
            self.result.early.count(served);
        }
    }
}

fn name(host: usize) -> String {
    format!("h{host}")
}

fn location(zone: usize) -> Location {
    let regions = ZONES.iter().map(|zone| ((*zone).to_owned(), "r1".to_owned())).collect();
    Location { zone: ZONES[zone].to_owned(), regions }
}

/// Returns a daemon's row, whose addresses are the index of the daemon.
fn member(host: usize, requests_per_s: u32, beat: u64) -> MemberRow {
    MemberRow {
        front: host.to_string(),
        peers: host.to_string(),
        zone: ZONES[host % ZONES.len()].to_owned(),
        state: MemberState::Serving,
        incarnation: 1,
        beat,
        beat_ms: HEARTBEAT_INTERVAL.as_millis() as u32,
        store_ms: 1,
        requests_per_s,
    }
}

fn server(index: usize, slots: u32) -> Backend {
    Backend {
        id: format!("s{index:03}"),
        service: SERVICE.to_owned(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: ZONES[index % ZONES.len()].to_owned(),
        slots,
        draining: false,
        started_ms: 1,
        spot: false,
        software: String::new(),
        models: Vec::new(),
    }
}
