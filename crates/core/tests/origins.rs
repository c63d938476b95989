//! Simulation of callers' streams while the software of servers changes, in virtual time: daemons
//! crash, freeze, are cut off and restart, and the store is away. A stream that is resumed at another
//! version than the one that began it is a violation.

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    ops::Range,
    time::Duration,
};

use buckthornfall_core::{
    backends::SoftwareChoice,
    members::Members,
    origins::{Begin, Origin, Origins, VersionSlots, BEGIN_VIEW_TTL, RESUME_WINDOW},
    store::RowVersion,
    Now,
};
use buckthornfall_proto::messages::{
    MemberRow, MemberState, OriginRow, SeenRow, SoftwareRow, ViewLeaseRow,
};
use rand::{rngs::SmallRng, Rng, SeedableRng};

const SERVICE: &str = "chat";
const DAEMONS: usize = 4;
const START: Now = Duration::from_secs(100);
const TICK: Duration = Duration::from_millis(100);
/// Interval of heartbeats, for a few daemons and for each of many.
const MIN_HEARTBEAT_TICKS: u64 = 8;
const TICKS_PER_DAEMON: f64 = 0.2;
/// Number of daemons up to which each of them changes the rows of services.
const MAX_WRITERS: usize = 8;
/// Maximum drift of a daemon's clock.
const MAX_DRIFT: f64 = 0.01;
/// Time from the start of a planned stop to the exit.
const STOP_TIME: Duration = Duration::from_secs(7);
/// Longest time for which a caller waits for its stream.
const MAX_WAIT: Duration = Duration::from_secs(40);
/// Number of seeds that CI runs.
const CI_SEEDS: u64 = 60;
/// Number of seeds with an omission that CI runs.
const OMISSION_SEEDS: u64 = 20;

/// What the daemons leave out, to show that the simulation notices it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Omission {
    Nothing,
    /// The rows of services change at once, without waiting for the other daemons.
    WaitForViews,
    /// Streams at other versions than the base version have no records.
    Records,
    /// Streams without a record that are not remembered go on at any version.
    Lookup,
    /// Daemons resume streams by their views for as long as they may without the lease.
    Lease,
}

/// A row of the shared table.
#[derive(Debug, Clone)]
enum Row {
    Member(usize, MemberRow),
    Seen(usize, SeenRow, ViewLeaseRow),
    Software(SoftwareRow),
    Servers(VersionSlots),
}

#[derive(Default)]
struct Store {
    version: RowVersion,
    /// All changes in order.
    history: Vec<(RowVersion, Row)>,
    software: Option<(RowVersion, SoftwareRow)>,
    records: BTreeMap<String, OriginRow>,
    away_until: Now,
    /// Calls whose reply was lost and that take effect later.
    late: Vec<(Now, Write)>,
}

#[derive(Clone)]
enum Write {
    Row(Row),
    Replace(RowVersion, SoftwareRow),
    Record(String, OriginRow),
}

impl Store {
    /// Applies a write; returns its version unless its condition does not hold.
    fn apply(&mut self, write: Write) -> Option<RowVersion> {
        let row = match write {
            Write::Record(id, row) => {
                self.version += 1;
                self.records.insert(id, row);
                return Some(self.version);
            }
            Write::Replace(expected, row) => {
                let current = self.software.as_ref().map_or(0, |(version, _)| *version);
                if current != expected {
                    return None;
                }
                self.software = Some((self.version + 1, row.clone()));
                Row::Software(row)
            }
            Write::Row(row) => row,
        };
        self.version += 1;
        self.history.push((self.version, row));
        Some(self.version)
    }
}

/// A stream that a daemon has passed on, or the first event of which it holds.
#[derive(Debug, Clone)]
struct Held {
    id: String,
    software: String,
    wait_until: Now,
    is_recorded: bool,
    /// When its first event arrives.
    at: Now,
}

struct Daemon {
    origins: Origins,
    members: Members,
    slots: VersionSlots,
    incarnation: u64,
    beat: u64,
    position: RowVersion,
    confirmed: Option<RowVersion>,
    up_from: Now,
    frozen_until: Now,
    cut_until: Now,
    /// When it exits, once a planned stop has begun.
    exits_at: Option<Now>,
    /// Delay of its feed, in ticks.
    lag: u64,
    /// Rate of its clock.
    clock_rate: f64,
    held: Vec<Held>,
}

fn host(index: usize) -> String {
    format!("h{index}")
}

impl Daemon {
    fn new(index: usize, incarnation: u64, clock_rate: f64) -> Daemon {
        Daemon {
            origins: Origins::default(),
            members: Members::new(host(index)),
            slots: VersionSlots::new(),
            incarnation,
            beat: 0,
            position: 0,
            confirmed: None,
            up_from: START,
            frozen_until: START,
            cut_until: START,
            exits_at: None,
            lag: 0,
            clock_rate,
            held: Vec::new(),
        }
    }

    /// Returns the reading of its clock.
    fn clock(&self, now: Now) -> Now {
        now.mul_f64(self.clock_rate)
    }
}

struct Stream {
    software: String,
    /// Until when its caller waits.
    until: Now,
}

struct Simulation {
    rng: SmallRng,
    omission: Omission,
    now: Now,
    store: Store,
    daemons: Vec<Daemon>,
    /// Streams whose first event was passed on.
    streams: BTreeMap<String, Stream>,
    next_stream: u64,
    servers: VersionSlots,
    next_release: u32,
    resumed: u32,
    refused: u32,
    begun: u32,
    joined: Vec<String>,
}

impl Simulation {
    fn new(seed: u64, omission: Omission, daemons: usize) -> Simulation {
        let servers = VersionSlots::from([("v0".to_owned(), 8)]);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut clock_rate = || 1.0 + rng.random_range(-MAX_DRIFT..MAX_DRIFT);
        let daemons = (0..daemons).map(|index| Daemon::new(index, 1, clock_rate())).collect();
        let mut simulation = Simulation {
            rng,
            omission,
            now: START,
            store: Store::default(),
            daemons,
            streams: BTreeMap::new(),
            next_stream: 0,
            servers: servers.clone(),
            next_release: 1,
            resumed: 0,
            refused: 0,
            begun: 0,
            joined: Vec::new(),
        };
        simulation.store.apply(Write::Row(Row::Servers(servers)));
        simulation
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        let mut ticks = 0;
        while self.now < end {
            self.now += TICK;
            ticks += 1;
            self.apply_late_writes();
            if self.rng.random_ratio(1, 120) {
                self.change_servers();
            }
            if self.rng.random_ratio(1, 90) {
                self.fault();
            }
            self.step_all(ticks);
            let now = self.now;
            self.streams.retain(|_, stream| stream.until > now);
        }
    }

    fn apply_late_writes(&mut self) {
        let now = self.now;
        let (due, late) = self.store.late.drain(..).partition(|(at, _)| *at <= now);
        self.store.late = late;
        let due: Vec<(Now, Write)> = due;
        for (_, write) in due {
            self.store.apply(write);
        }
    }

    /// Releases another version, an older one again, or ends the release of one.
    fn change_servers(&mut self) {
        let known: Vec<_> = self.servers.keys().cloned().collect();
        match self.rng.random_range(0..5) {
            0 | 1 => {
                let version = format!("v{}", self.next_release);
                self.next_release += 1;
                self.servers.insert(version, self.rng.random_range(2..10));
            }
            2 => {
                let version = format!("v{}", self.rng.random_range(0..self.next_release));
                self.servers.insert(version, self.rng.random_range(2..10));
            }
            3 if known.len() > 1 => {
                let index = self.rng.random_range(0..known.len());
                self.servers.remove(&known[index]);
            }
            _ => {
                let last = known.last().expect("there is a server").clone();
                self.servers.retain(|version, _| *version == last);
            }
        }
        self.store.apply(Write::Row(Row::Servers(self.servers.clone())));
    }

    fn fault(&mut self) {
        let now = self.now;
        let until =
            |rng: &mut SmallRng, most: u64| now + Duration::from_secs(rng.random_range(1..most));
        let daemons = self.daemons.len();
        let index = self.rng.random_range(0..daemons);
        match self.rng.random_range(0..9) {
            0 => self.daemons[index].frozen_until = until(&mut self.rng, 90),
            1 => self.daemons[index].cut_until = until(&mut self.rng, 90),
            2 => self.daemons[index].lag = self.rng.random_range(0..40),
            3 => self.store.away_until = until(&mut self.rng, 25),
            4 => (0..daemons).for_each(|index| self.restart(index)),
            5 => {
                let daemon = &mut self.daemons[index];
                daemon.origins.withdraw();
                daemon.exits_at.get_or_insert(now + STOP_TIME);
            }
            6 => {
                self.restart(index);
                self.daemons[index].up_from = until(&mut self.rng, 120);
            }
            _ => self.restart(index),
        }
    }

    fn restart(&mut self, index: usize) {
        let incarnation = self.daemons[index].incarnation + 1;
        let down = Duration::from_millis(self.rng.random_range(500..4_000));
        let up_from = self.now + down;
        let clock_rate = self.daemons[index].clock_rate;
        self.daemons[index] = Daemon { up_from, ..Daemon::new(index, incarnation, clock_rate) };
    }

    fn reaches_store(&self, index: usize) -> bool {
        self.now >= self.store.away_until && self.now >= self.daemons[index].cut_until
    }

    /// Writes to the store; returns the version if the daemon learns it. Some replies are lost, and
    /// some of these writes take effect later.
    fn write(&mut self, index: usize, write: Write) -> Option<RowVersion> {
        if !self.reaches_store(index) {
            return None;
        }
        if self.rng.random_ratio(1, 30) {
            let at = self.now + Duration::from_millis(self.rng.random_range(0..5_000));
            self.store.late.push((at, write));
            return None;
        }
        self.store.apply(write)
    }

    fn step_all(&mut self, ticks: u64) {
        (0..self.daemons.len()).for_each(|index| self.step(index, ticks));
    }

    fn step(&mut self, index: usize, ticks: u64) {
        let now = self.now;
        if now < self.daemons[index].up_from {
            return;
        }
        if self.daemons[index].exits_at.is_some_and(|exits_at| exits_at <= now) {
            return self.restart(index);
        }
        // A frozen daemon handles what waits in its sockets before it hears from the store again.
        if now < self.daemons[index].frozen_until {
            return;
        }
        self.pass_on(index);
        self.serve(index);
        self.follow(index, ticks);
        let beat_ticks = self.heartbeat_ticks();
        if ticks % beat_ticks == index as u64 % beat_ticks {
            self.beat(index);
        }
        self.confirm(index);
        if index.is_multiple_of(self.daemons.len().div_ceil(MAX_WRITERS)) {
            self.advance(index);
        }
    }

    fn heartbeat_ticks(&self) -> u64 {
        let daemons = self.daemons.len() as f64;
        MIN_HEARTBEAT_TICKS.max((daemons * TICKS_PER_DAEMON) as u64)
    }

    fn follow(&mut self, index: usize, ticks: u64) {
        if !self.reaches_store(index) {
            return;
        }
        let now = self.daemons[index].clock(self.now);
        let daemon = &mut self.daemons[index];
        if daemon.lag > 0 && !ticks.is_multiple_of(daemon.lag + 1) {
            return;
        }
        daemon.members.on_contact(now);
        let from = self.store.history.partition_point(|(version, _)| *version <= daemon.position);
        for (version, row) in &self.store.history[from..] {
            match row.clone() {
                Row::Member(of, row) => daemon.members.on_row(now, &host(of), row),
                Row::Seen(of, row, lease) => {
                    if of == index && row.incarnation == daemon.incarnation {
                        daemon.origins.on_registered();
                    }
                    daemon.members.on_seen(&host(of), row);
                    daemon.members.on_view_lease(&host(of), &lease);
                }
                Row::Software(row) => daemon.origins.on_row(SERVICE, row, *version),
                Row::Servers(slots) => daemon.slots = slots,
            }
        }
        daemon.position = self.store.version;
        daemon.origins.on_view(now);
    }

    fn beat(&mut self, index: usize) {
        let interval = TICK * u32::try_from(self.heartbeat_ticks()).expect("it is small");
        let now = self.daemons[index].clock(self.now);
        let daemon = &mut self.daemons[index];
        daemon.beat += 1;
        if self.omission != Omission::Lease {
            daemon.origins.on_heartbeat_sent(interval);
        }
        let row = MemberRow {
            front: String::new(),
            peers: String::new(),
            zone: String::new(),
            state: MemberState::Serving,
            incarnation: daemon.incarnation,
            beat: daemon.beat,
            beat_ms: u32::try_from(interval.as_millis()).expect("it is small"),
            store_ms: 5,
            requests_per_s: 0,
        };
        if self.write(index, Write::Row(Row::Member(index, row))).is_some() {
            let lease = if self.omission == Omission::Lease { interval * 100 } else { interval };
            self.daemons[index].origins.on_heartbeat(now, lease);
        }
    }

    fn confirm(&mut self, index: usize) {
        let daemon = &self.daemons[index];
        let version = daemon.origins.seen_version();
        let is_current = daemon.confirmed == Some(version) && daemon.origins.is_registered();
        if is_current || daemon.beat == 0 {
            return;
        }
        let incarnation = daemon.incarnation;
        let row = Row::Seen(index, SeenRow { incarnation, version }, ViewLeaseRow { incarnation });
        if self.write(index, Write::Row(row)).is_some() {
            self.daemons[index].confirmed = Some(version);
        }
    }

    fn advance(&mut self, index: usize) {
        let now = self.daemons[index].clock(self.now);
        let strangers = Members::new("nobody".to_owned());
        let daemon = &mut self.daemons[index];
        let members = match self.omission {
            Omission::WaitForViews => &strangers,
            _ => &daemon.members,
        };
        let next = daemon.origins.next_row(now, SERVICE, &daemon.slots, members);
        if let Some((version, row)) = next {
            if let Some(version) = self.write(index, Write::Replace(version, row.clone())) {
                self.daemons[index].origins.on_row(SERVICE, row, version);
            }
        }
    }

    fn serve(&mut self, index: usize) {
        if self.rng.random_ratio(1, 2) {
            self.begin(index);
        }
        if !self.streams.is_empty() && self.rng.random_ratio(1, 3) {
            let nth = self.rng.random_range(0..self.streams.len());
            let id = self.streams.keys().nth(nth).expect("it is below the length").clone();
            self.resume(index, &id);
        }
    }

    /// Sends a new stream to a server; its first event arrives a little later.
    fn begin(&mut self, index: usize) {
        let now = self.now;
        let has_store = self.reaches_store(index);
        let daemon = &self.daemons[index];
        let local = daemon.clock(now);
        let Some(choice) = daemon.origins.choice(local, SERVICE, has_store) else { return };
        let usable: Vec<_> = daemon.slots.iter().filter(|(_, slots)| **slots > 0).collect();
        let matching = usable.into_iter().filter(|(version, _)| match choice {
            SoftwareChoice::Only(only) => only == *version,
            SoftwareChoice::Any | SoftwareChoice::New => true,
        });
        let versions: Vec<_> = matching.map(|(version, _)| version.clone()).collect();
        if versions.is_empty() {
            return;
        }
        let software = versions[self.rng.random_range(0..versions.len())].clone();
        let wait = MAX_WAIT.mul_f64(self.rng.random_range(0.2..1.0));
        self.next_stream += 1;
        let (id, until) = (format!("s{}", self.next_stream), now + wait);
        let is_recorded = match self.daemons[index].origins.begin(local, SERVICE, &software, wait) {
            Begin::Forbidden => return,
            Begin::Unrecorded => false,
            Begin::Recorded if self.omission == Omission::Records => false,
            Begin::Recorded => {
                if !self.record(index, &id, &software, until) {
                    return;
                }
                true
            }
        };
        let at = now + Duration::from_millis(self.rng.random_range(0..2_000));
        self.daemons[index].held.push(Held { id, software, wait_until: until, is_recorded, at });
    }

    fn record(&mut self, index: usize, id: &str, software: &str, until: Now) -> bool {
        let origin =
            Origin { service: SERVICE.to_owned(), software: software.to_owned(), request: 1 };
        let until_ms = u64::try_from(until.as_millis()).expect("the time is short");
        self.write(index, Write::Record(id.to_owned(), origin.into_record(until_ms))).is_some()
    }

    /// Passes on the first events that have arrived, if the rules of this moment still allow it.
    fn pass_on(&mut self, index: usize) {
        let now = self.now;
        let (due, held) = self.daemons[index].held.drain(..).partition(|held| held.at <= now);
        self.daemons[index].held = held;
        let due: Vec<Held> = due;
        for held in due {
            let wait = held.wait_until.saturating_sub(now);
            if wait.is_zero() {
                continue;
            }
            let daemon = &self.daemons[index];
            let rule = daemon.origins.begin(daemon.clock(now), SERVICE, &held.software, wait);
            let may_pass = match rule {
                Begin::Forbidden => self.omission == Omission::Records,
                Begin::Unrecorded => true,
                Begin::Recorded => {
                    held.is_recorded
                        || self.omission == Omission::Records
                        || self.record(index, &held.id, &held.software, held.wait_until)
                }
            };
            if may_pass {
                self.begun += 1;
                let origin = Origin {
                    service: SERVICE.to_owned(),
                    software: held.software.clone(),
                    request: 1,
                };
                self.daemons[index].origins.remember(&held.id, origin, held.wait_until);
                let stream = Stream { software: held.software, until: held.wait_until };
                self.streams.insert(held.id, stream);
            }
        }
    }

    fn resume(&mut self, index: usize, id: &str) {
        let now = self.now;
        let daemon = &self.daemons[index];
        let lookup = daemon.origins.lookup(daemon.clock(now), SERVICE);
        let found = match daemon.origins.remembered(id) {
            Some(origin) => Some(origin.software.clone()),
            None if self.omission == Omission::Lookup => daemon.slots.keys().next().cloned(),
            None if self.reaches_store(index) => {
                let record = self.store.records.get(id).map(|row| row.software.clone());
                let stored_base = || self.store.software.as_ref().map(|(_, row)| row.base.clone());
                record.or_else(|| lookup.base.or_else(stored_base))
            }
            None => {
                let certain_base = lookup.base.filter(|_| lookup.is_certain);
                certain_base.or_else(|| self.ask_others(id))
            }
        };
        let stream = &self.streams[id];
        match found.filter(|found| daemon.slots.get(found).is_some_and(|slots| *slots > 0)) {
            None => self.refused += 1,
            Some(found) => {
                self.resumed += 1;
                if found != stream.software {
                    self.joined.push(format!(
                        "{id} began at {} and goes on at {found} at {now:?}",
                        stream.software
                    ));
                }
            }
        }
    }
}

impl Simulation {
    /// Asks the daemons that run which of them began a stream.
    fn ask_others(&self, id: &str) -> Option<String> {
        let runs = |daemon: &&Daemon| self.now >= daemon.up_from && self.now >= daemon.frozen_until;
        let origin = self.daemons.iter().filter(runs).find_map(|of| of.origins.remembered(id));
        origin.map(|origin| origin.software.clone())
    }
}

fn simulate(seed: u64, omission: Omission) -> Simulation {
    let mut simulation = Simulation::new(seed, omission, DAEMONS);
    simulation.run(Duration::from_secs(900));
    simulation
}

fn check(seeds: Range<u64>) {
    let (mut begun, mut resumed, mut refused) = (0, 0, 0);
    for seed in seeds {
        let simulation = simulate(seed, Omission::Nothing);
        assert!(simulation.joined.is_empty(), "seed {seed}: {:?}", simulation.joined);
        begun += simulation.begun;
        resumed += simulation.resumed;
        refused += simulation.refused;
    }
    assert!(begun > 0 && resumed > refused, "{begun} begun, {resumed} resumed, {refused} refused");
}

#[test]
fn a_stream_is_never_resumed_at_another_software_version() {
    check(0..CI_SEEDS);
}

/// Runs the seeds in `ORIGIN_SEEDS`, such as `0..2000`.
#[test]
#[ignore = "runs for minutes"]
fn a_stream_is_never_resumed_at_another_software_version_over_many_seeds() {
    let seeds = env::var("ORIGIN_SEEDS").unwrap_or_else(|_| "0..1000".to_owned());
    let (from, until) = seeds.split_once("..").expect("a range such as 0..1000");
    check(from.parse().expect("a number")..until.parse().expect("a number"));
}

#[test]
fn the_simulation_notices_each_missing_precaution() {
    let all = [Omission::WaitForViews, Omission::Records, Omission::Lookup, Omission::Lease];
    for omission in all {
        let seeds: BTreeSet<_> = (0..OMISSION_SEEDS)
            .filter(|seed| !simulate(*seed, omission).joined.is_empty())
            .collect();
        assert!(!seeds.is_empty(), "{omission:?} goes unnoticed");
    }
}

#[test]
fn a_settled_service_resumes_streams_while_the_store_is_away() {
    let mut simulation = Simulation::new(1, Omission::Nothing, DAEMONS);
    for tick in 0..100 {
        simulation.now += TICK;
        simulation.step_all(tick);
    }
    simulation.store.away_until = simulation.now + BEGIN_VIEW_TTL;
    for tick in 0..200 {
        simulation.now += TICK;
        simulation.step_all(tick);
    }
    assert_eq!((simulation.refused, simulation.joined.len()), (0, 0));
    assert!(simulation.resumed > 100 && RESUME_WINDOW > MAX_WAIT);
}

#[test]
fn a_stream_is_never_resumed_at_another_software_version_by_many_daemons() {
    for (daemons, seconds, seeds) in [(8, 900, 20), (88, 300, 3), (400, 60, 1)] {
        for seed in 0..seeds {
            let mut simulation = Simulation::new(seed, Omission::Nothing, daemons);
            simulation.run(Duration::from_secs(seconds));
            assert!(simulation.joined.is_empty(), "{daemons}, {seed}: {:?}", simulation.joined);
            assert!(simulation.begun > 0 && simulation.resumed > simulation.refused);
        }
    }
}

/// Guards against a service that begins no streams after a host is lost: the change of its row waited for that host for
/// 35 s, while its base version had no server left.
#[test]
fn streams_begin_soon_after_a_host_was_lost_and_all_servers_were_replaced() {
    for daemons in [8, 88] {
        for is_planned in [false, true] {
            let mut simulation = Simulation::new(1, Omission::Nothing, daemons);
            let mut ticks = 0;
            let mut pass = |simulation: &mut Simulation, seconds: u64| {
                for _ in 0..seconds * 10 {
                    ticks += 1;
                    simulation.now += TICK;
                    simulation.step_all(ticks);
                }
            };
            pass(&mut simulation, 20);
            if is_planned {
                simulation.daemons[3].origins.withdraw();
                pass(&mut simulation, 2);
            }
            simulation.daemons[3].up_from = Now::MAX;
            simulation.servers = VersionSlots::from([("v1".to_owned(), 8)]);
            let servers = simulation.servers.clone();
            simulation.store.apply(Write::Row(Row::Servers(servers)));
            // Three heartbeats of the lost host, and a margin.
            pass(&mut simulation, if is_planned { 1 } else { 8 });
            let begun = simulation.begun;
            pass(&mut simulation, 5);
            assert!(simulation.begun > begun, "{daemons} daemons, planned: {is_planned}");
            assert!(simulation.joined.is_empty());
        }
    }
}

/// A daemon of an earlier build does not say that its view expires with its heartbeats, and resumes streams for longer.
#[test]
fn a_daemon_that_does_not_state_a_lease_is_waited_for_until_its_view_has_expired() {
    let seconds = Duration::from_secs;
    for (has_lease, waits) in [(true, [true, false, false]), (false, [true, true, false])] {
        let mut members = Members::new("observer".to_owned());
        members.on_contact(START);
        let row = MemberRow {
            front: String::new(),
            peers: String::new(),
            zone: String::new(),
            state: MemberState::Serving,
            incarnation: 2,
            beat: 1,
            beat_ms: 1_000,
            store_ms: 5,
            requests_per_s: 0,
        };
        members.on_row(START, "lost", row);
        members.on_seen("lost", SeenRow { incarnation: 2, version: 6 });
        // The lease of an earlier start does not count.
        members.on_view_lease("lost", &ViewLeaseRow { incarnation: if has_lease { 2 } else { 1 } });
        let max_silence = seconds(35);
        for (after, waits) in [3, 5, 36].into_iter().zip(waits) {
            for tick in 0..after * 10 {
                members.on_contact(START + TICK * tick);
            }
            let now = START + seconds(u64::from(after));
            members.on_contact(now);
            assert_eq!(members.all_seen_or_expired(now, 7, max_silence), !waits, "{after} s");
            assert!(members.all_seen_or_expired(now, 6, max_silence));
        }
    }
}
