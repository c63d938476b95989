//! Paths to servers: what a daemon concludes from connections and silence, what the daemons conclude from
//! each other, and whom a daemon without a path asks.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_core::{
    backends::{Backend, Backends, Ended, Location},
    members::Members,
    peer_choice::{PeerChoice, PeerEnd},
    reachability::{PathChange, Reachability},
    Now,
};
use buckthornfall_proto::messages::{MemberRow, MemberState, ReachRow};
use rand::{rngs::SmallRng, Rng, SeedableRng};

const START: Now = Duration::from_secs(100);
const STEP: Duration = Duration::from_millis(50);
/// Time that a connection to a host that does not respond takes to fail.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

fn server(service: &str, index: usize) -> Backend {
    Backend {
        id: format!("{service}-{index}"),
        service: service.to_owned(),
        addr: ([127, 0, 0, 1], 9_000).into(),
        zone: ZONES[index % ZONES.len()].to_owned(),
        slots: 8,
        draining: false,
        started_ms: 1,
        spot: false,
        software: String::new(),
        models: Vec::new(),
    }
}

fn member(host: &str, zone: &str, requests_per_s: u32, beat: u64) -> MemberRow {
    MemberRow {
        front: format!("{host}:1"),
        peers: format!("{host}:2"),
        zone: zone.to_owned(),
        state: MemberState::Serving,
        incarnation: 1,
        beat,
        beat_ms: 800,
        store_ms: 5,
        requests_per_s,
    }
}

/// One daemon and its connections.
struct Host {
    reachability: Reachability,
    backends: Backends,
    /// Probes under way, with the time of their end.
    probes: Vec<(Now, String, String)>,
    changes: Vec<(Now, PathChange)>,
}

impl Host {
    fn new(services: &[(&str, usize)]) -> Host {
        let mut backends = Backends::default();
        for (service, count) in services {
            (0..*count).for_each(|index| backends.upsert(server(service, index)));
        }
        Host {
            reachability: Reachability::default(),
            backends,
            probes: Vec::new(),
            changes: Vec::new(),
        }
    }

    fn log(&mut self, now: Now, change: Option<PathChange>) {
        self.changes.extend(change.map(|change| (now, change)));
    }

    /// Lets one step pass; `connects` tells whether a connection to a server can be opened.
    fn step(&mut self, now: Now, connects: impl Fn(&str) -> bool) {
        let ended: Vec<_> = self.probes.iter().filter(|(at, ..)| *at <= now).cloned().collect();
        self.probes.retain(|(at, ..)| *at > now);
        for (_, service, server) in ended {
            let connected = connects(&server);
            let change = self.reachability.on_probe_end(now, &service, &server, connected);
            self.log(now, change);
        }
        let (probes, changes) = self.reachability.tick(now, &self.backends);
        changes.into_iter().for_each(|(_, change)| self.log(now, Some(change)));
        for probe in probes {
            let took = if connects(&probe.server.id) { STEP } else { CONNECT_TIMEOUT };
            self.probes.push((now + took, probe.service, probe.server.id));
        }
    }

    fn request(&mut self, now: Now, service: &str, server: &str, connects: bool) {
        let change = match connects {
            true => self.reachability.on_response(now, service),
            false => self.reachability.on_connect_failed(now, service, server),
        };
        self.log(now, change);
    }

    fn names(&self) -> Vec<&'static str> {
        self.changes.iter().map(|(_, change)| change.name()).collect()
    }
}

/// Runs a host for `steps`.
fn run(host: &mut Host, from: Now, steps: u32, connects: impl Fn(&str) -> bool) -> Now {
    for step in 0..steps {
        host.step(from + STEP * step, &connects);
    }
    from + STEP * steps
}

#[test]
fn silence_of_a_cut_service_is_noticed_within_a_second_and_its_return_within_another() {
    let mut host = Host::new(&[("desk", 3)]);
    host.request(START, "desk", "desk-0", true);
    host.backends.started("desk-0");
    let now = run(&mut host, START, 21, |_| false);
    assert_eq!(host.names(), ["suspected", "lost"]);
    assert!(host.changes[1].0 - START < Duration::from_secs(1), "{:?}", host.changes);
    assert!(host.reachability.is_silent(now, "desk"));
    host.backends.ended(now, "desk-0", Ended::Cancelled);
    run(&mut host, now, 20, |_| true);
    assert_eq!(host.names(), ["suspected", "lost", "regained"]);
    assert!(host.reachability.lost().is_empty());
}

#[test]
fn servers_that_are_gone_are_not_taken_for_a_cut() {
    let mut host = Host::new(&[("desk", 6)]);
    // All servers of one zone, which fail every request.
    let is_up = |id: &str| !["desk-0", "desk-3"].contains(&id);
    for step in 0..200 {
        let now = START + STEP * step;
        host.request(now, "desk", if step % 2 == 0 { "desk-0" } else { "desk-3" }, false);
        host.step(now, is_up);
    }
    assert!(!host.names().contains(&"lost"), "{:?}", host.names());
    let probed = host.names().iter().filter(|name| **name == "suspected").count();
    assert!(probed <= 11, "{probed} suspicions in 10 s");
}

#[test]
fn slow_servers_are_probed_ever_less_often() {
    let mut host = Host::new(&[("desk", 3)]);
    host.backends.started("desk-0");
    run(&mut host, START, 400, |_| true);
    assert!(!host.names().contains(&"lost"));
    let probed = host.names().iter().filter(|name| **name == "suspected").count();
    assert!((2..=8).contains(&probed), "{probed} suspicions in 20 s");
}

#[test]
fn answers_on_kept_connections_do_not_hide_that_new_ones_fail() {
    let mut host = Host::new(&[("desk", 3)]);
    for step in 0..40 {
        let now = START + STEP * step;
        host.request(now, "desk", "desk-0", true);
        host.request(now, "desk", "desk-1", false);
        host.step(now, |_| false);
    }
    assert_eq!(host.names(), ["suspected", "lost"]);
    assert!(!host.reachability.is_silent(START + STEP * 40, "desk"));
    assert!(host.reachability.is_silent(START + Duration::from_secs(4), "desk"));
}

#[test]
fn a_lost_service_without_servers_is_forgotten() {
    let mut host = Host::new(&[("desk", 3), ("chat", 1)]);
    host.request(START, "desk", "desk-0", false);
    let now = run(&mut host, START, 20, |_| false);
    assert_eq!(host.reachability.lost(), ["desk"]);
    host.backends.retain(now, &["chat-0".to_owned()], true);
    host.step(now, |_| false);
    assert!(host.reachability.lost().is_empty());
    assert_eq!(host.names().last(), Some(&"regained"));
}

fn members(own: &str, hosts: &[(&str, &str, u32)]) -> Members {
    let mut members = Members::new(own.to_owned());
    members.on_contact(START);
    for (host, zone, load) in hosts {
        members.on_row(START, host, member(host, zone, *load, 1));
    }
    members
}

fn lost(services: &[&str], incarnation: u64) -> ReachRow {
    ReachRow { incarnation, lost: services.iter().map(|service| (*service).to_owned()).collect() }
}

fn location(zone: &str) -> Location {
    let regions = ZONES.iter().map(|zone| ((*zone).to_owned(), "r1".to_owned())).collect();
    Location { zone: zone.to_owned(), regions }
}

const THREE: [(&str, &str, u32); 3] = [("a", "zone-a", 1), ("b", "zone-b", 1), ("c", "zone-c", 1)];

#[test]
fn a_service_that_is_down_for_all_cuts_off_no_host() {
    let mut members = members("a", &THREE);
    members.on_reach("b", Some(lost(&["desk"], 1)));
    assert!(members.is_cut_off(START, "b"));
    members.on_reach("c", Some(lost(&["desk"], 1)));
    members.set_own_lost(vec!["desk".to_owned()]);
    for host in ["a", "b", "c"] {
        assert!(!members.is_cut_off(START, host), "{host}");
    }
    assert_eq!(members.entry_addresses(START, &location("zone-a"), 64).len(), 3);
    // Who reaches it again is the only one that is not cut off.
    members.set_own_lost(Vec::new());
    assert_eq!(members.entry_addresses(START, &location("zone-a"), 64), ["a:1"]);
    assert_eq!(members.owner(START, "m").map(String::as_str), Some("a"));
}

#[test]
fn what_an_earlier_start_of_a_daemon_had_lost_does_not_count() {
    let mut members = members("a", &THREE);
    members.on_reach("b", Some(lost(&["desk"], 1)));
    members.on_row(START, "b", MemberRow { incarnation: 2, ..member("b", "zone-b", 1, 2) });
    assert!(!members.is_cut_off(START, "b"));
    members.on_reach("b", Some(lost(&["desk"], 2)));
    assert!(members.is_cut_off(START, "b"));
    members.on_reach("b", None);
    assert!(!members.is_cut_off(START, "b"));
}

#[test]
fn a_host_that_is_cut_off_neither_owns_jobs_nor_competes_for_duties() {
    let mut members = members("a", &THREE);
    members.set_own_lost(vec!["desk".to_owned()]);
    for key in ["m", "n", "o", "p", "q"] {
        assert_ne!(members.owner(START, key).map(String::as_str), Some("a"));
        assert!(!members.ranks_within(START, key, 3));
    }
}

#[test]
fn requests_of_many_hosts_that_are_cut_off_spread_over_the_few_that_are_left() {
    // 36 of 40 hosts are cut off; each passes on a request that lasts 100 ms, 20 times a second.
    let names: Vec<String> = (0..40).map(|index| format!("h{index:02}")).collect();
    let left: Vec<_> = (0..4).map(|index| index * 10).collect();
    let zone = |index: usize| ZONES[index % 3];
    let mut received: BTreeMap<String, u32> = BTreeMap::new();
    let mut refused = 0;
    for own in (0..40).filter(|index| !left.contains(index)) {
        let hosts: Vec<_> = names
            .iter()
            .enumerate()
            .map(|(index, name)| (name.as_str(), zone(index), 20))
            .collect();
        let mut members = members(&names[own], &hosts);
        for index in (0..40).filter(|index| !left.contains(index)) {
            members.on_reach(&names[index], Some(lost(&["desk"], 1)));
        }
        members.set_own_lost(vec!["desk".to_owned()]);
        let mut choice = PeerChoice::default();
        let mut in_flight = Vec::new();
        for number in 0..20 {
            let now = START + Duration::from_millis(50) * number;
            in_flight.retain(|(until, host): &(Now, String)| {
                let is_open = *until > now;
                if !is_open {
                    choice.ended(now, host, PeerEnd::Answered);
                }
                is_open
            });
            match choice.choose(now, &members, &location(zone(own)), "desk", &[]) {
                Some(peer) => {
                    choice.started(&peer.host);
                    *received.entry(peer.host.clone()).or_default() += 1;
                    in_flight.push((now + Duration::from_millis(100), peer.host));
                }
                None => refused += 1,
            }
        }
    }
    assert_eq!(refused, 0);
    assert!(received.keys().all(|host| left.iter().any(|index| names[*index] == *host)));
    let (least, most) = (received.values().min().unwrap(), received.values().max().unwrap());
    assert!(received.len() == 4 && *most <= least * 4, "{received:?}");
}

#[test]
fn a_host_without_room_or_answer_is_avoided_and_the_rest_is_refused_at_once() {
    let mut members = members("a", &THREE);
    members.set_own_lost(vec!["desk".to_owned()]);
    members.on_reach("c", Some(lost(&["desk"], 1)));
    let mut choice = PeerChoice::default();
    let mut chosen = 0;
    while let Some(peer) = choice.choose(START, &members, &location("zone-a"), "desk", &[]) {
        assert_eq!((peer.host.as_str(), peer.address.as_str()), ("b", "b:2"));
        choice.started(&peer.host);
        chosen += 1;
    }
    assert_eq!(chosen, 32);
    choice.ended(START, "b", PeerEnd::Failed);
    members.on_reach("c", None);
    let next = choice.choose(START, &members, &location("zone-a"), "desk", &[]);
    assert_eq!(next.map(|peer| peer.host).as_deref(), Some("c"));
}

/// How a host is cut off from servers in the simulation.
#[derive(Debug, Clone)]
struct CutSpan {
    host: usize,
    from: Now,
    until: Now,
    /// Only the servers of this service.
    service: Option<&'static str>,
}

impl CutSpan {
    fn covers(&self, now: Now, host: usize, server: &str) -> bool {
        self.host == host
            && (self.from..self.until).contains(&now)
            && self.service.is_none_or(|service| server.starts_with(service))
    }
}

const SERVICES: [&str; 2] = ["desk", "models"];
/// Time from the begin of a cut after which its host has to be served by others.
const CONTACT: Duration = Duration::from_secs(4);
/// Maximum number of hosts that a request is passed on to.
const MAX_PEERS: usize = 2;
/// Time for which a duty may stay at a host that is cut off.
const DUTY_BOUND: Duration = Duration::from_secs(2);

/// Hosts, servers and random cuts, also between two hosts; the store delays rows and is away at times.
struct Simulation {
    rng: SmallRng,
    hosts: Vec<Host>,
    views: Vec<Members>,
    choices: Vec<PeerChoice>,
    cuts: Vec<CutSpan>,
    /// Spans in which a service is down for all.
    down: Vec<(Now, Now, &'static str)>,
    store_away: (Now, Now),
    /// Spans in which two hosts do not reach each other.
    peer_cuts: Vec<(Now, Now, [usize; 2])>,
    /// Rows on their way to the other daemons: time of arrival, host, lost services.
    rows: Vec<(Now, usize, Vec<String>)>,
    told: Vec<Vec<String>>,
}

/// Outcome of all requests at hosts that were cut off, and at the others.
#[derive(Debug, Default)]
struct Tally {
    cut: (u32, u32),
    others: (u32, u32),
    /// Longest time for which a host that was cut off was named as owner by a host that knew of others.
    duty: Duration,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = rng.random_range(3..10);
        let servers: Vec<_> = SERVICES.iter().map(|service| (*service, 6)).collect();
        let at = |ms: u64| START + Duration::from_millis(ms);
        let cut_count = rng.random_range(1..count);
        let mut cuts = Vec::new();
        for host in 0..cut_count {
            for _ in 0..rng.random_range(1..4) {
                let from = rng.random_range(2_000..14_000);
                let length = rng.random_range(100..9_000);
                let service = rng.random_bool(0.3).then(|| SERVICES[rng.random_range(0..2)]);
                cuts.push(CutSpan { host, from: at(from), until: at(from + length), service });
            }
        }
        let mut down = Vec::new();
        if rng.random_bool(0.3) {
            let from = rng.random_range(1_000..15_000);
            let until = from + rng.random_range(500..4_000);
            down.push((at(from), at(until), SERVICES[rng.random_range(0..2)]));
        }
        let mut peer_cuts = Vec::new();
        for host in 0..cut_count {
            let from = rng.random_range(1_000..15_000);
            let until = from + rng.random_range(500..9_000);
            let other = rng.random_range(0..count);
            if rng.random_bool(0.5) && other != host {
                peer_cuts.push((at(from), at(until), [host, other]));
            }
        }
        let away = rng.random_range(0..20_000);
        let hosts = (0..count).map(|_| Host::new(&servers)).collect();
        let views = (0..count).map(|own| {
            let mut members = Members::new(format!("h{own}"));
            members.on_contact(START);
            members
        });
        Simulation {
            hosts,
            views: views.collect(),
            choices: (0..count).map(|_| PeerChoice::default()).collect(),
            cuts,
            down,
            store_away: (at(away), at(away + rng.random_range(0..3_000))),
            peer_cuts,
            rows: Vec::new(),
            told: vec![Vec::new(); count],
            rng,
        }
    }

    fn connects(&self, now: Now, host: usize, server: &str) -> bool {
        let is_down = |(from, until, service): &(Now, Now, &str)| {
            (*from..*until).contains(&now) && server.starts_with(service)
        };
        !self.down.iter().any(is_down) && !self.cuts.iter().any(|cut| cut.covers(now, host, server))
    }

    fn is_store_away(&self, now: Now) -> bool {
        (self.store_away.0..self.store_away.1).contains(&now)
    }

    fn run(&mut self) -> Tally {
        let mut tally = Tally::default();
        let mut named_since: BTreeMap<(usize, usize), Now> = BTreeMap::new();
        for step in 0..500u32 {
            let now = START + STEP * step;
            self.spread(now, step);
            for host in 0..self.hosts.len() {
                self.step_host(now, host);
            }
            for _ in 0..self.hosts.len() {
                self.send(now, &mut tally);
            }
            self.check_duty(now, &mut named_since, &mut tally);
        }
        tally
    }

    /// Delivers heartbeats and rows of lost services.
    fn spread(&mut self, now: Now, step: u32) {
        if self.is_store_away(now) {
            return;
        }
        let arrived: Vec<_> = self.rows.iter().filter(|(at, ..)| *at <= now).cloned().collect();
        self.rows.retain(|(at, ..)| *at > now);
        let count = self.hosts.len();
        for view in &mut self.views {
            view.on_contact(now);
            if step.is_multiple_of(10) {
                for host in 0..count {
                    let row = member(&format!("h{host}"), ZONES[host % 3], 20, u64::from(step) + 1);
                    view.on_row(now, &format!("h{host}"), row);
                }
            }
            for (_, host, services) in &arrived {
                let row = ReachRow { incarnation: 1, lost: services.clone() };
                view.on_reach(&format!("h{host}"), (!services.is_empty()).then_some(row));
            }
        }
    }

    fn step_host(&mut self, now: Now, host: usize) {
        let connects: BTreeMap<String, bool> = SERVICES
            .iter()
            .flat_map(|service| (0..6).map(move |index| format!("{service}-{index}")))
            .map(|id| (id.clone(), self.connects(now, host, &id)))
            .collect();
        self.hosts[host].step(now, |id| connects[id]);
        let lost = self.hosts[host].reachability.lost();
        self.views[host].set_own_lost(lost.clone());
        if lost != self.told[host] && !self.is_store_away(now) {
            self.told[host].clone_from(&lost);
            let delay = Duration::from_millis(self.rng.random_range(20..150));
            self.rows.push((now + delay, host, lost));
        }
    }

    /// Sends a request to a random host, which serves it, passes it on at most once or refuses it.
    fn send(&mut self, now: Now, tally: &mut Tally) {
        let host = self.rng.random_range(0..self.hosts.len());
        let service = SERVICES[self.rng.random_range(0..2)];
        let server = format!("{service}-{}", self.rng.random_range(0..6));
        let served = self.serve(now, host, service, &server) || self.pass_on(now, host, service);
        // Where the service is down for all, nobody can serve.
        if self.down.iter().any(|(from, until, _)| now >= *from && now < *until + CONTACT) {
            return;
        }
        let is_covered = |cut: &CutSpan, at: Now| cut.covers(at, host, &server);
        let count = |(tries, ok): &mut (u32, u32)| {
            *tries += 1;
            *ok += u32::from(served);
        };
        if self.cuts.iter().any(|cut| is_covered(cut, now) && is_covered(cut, now - CONTACT)) {
            count(&mut tally.cut);
        } else if !self.cuts.iter().any(|cut| cut.host == host) {
            count(&mut tally.others);
        }
    }

    /// Sends a request from a host to a server, unless the host knows better.
    fn serve(&mut self, now: Now, host: usize, service: &str, server: &str) -> bool {
        if self.hosts[host].reachability.is_lost(service) {
            return false;
        }
        let connects = self.connects(now, host, server);
        self.hosts[host].request(now, service, server, connects);
        connects
    }

    /// Passes a request on to at most two other hosts, one after the other.
    fn pass_on(&mut self, now: Now, host: usize, service: &str) -> bool {
        let place = location(ZONES[host % 3]);
        let mut tried = Vec::new();
        while tried.len() < MAX_PEERS {
            let choice = &self.choices[host];
            let peer = choice.choose(now, &self.views[host], &place, service, &tried);
            let Some(peer) = peer else { return false };
            let index: usize = peer.host[1..].parse().expect("a host of the simulation");
            assert_ne!(index, host, "a request is passed on to its own host");
            self.choices[host].started(&peer.host);
            let server = format!("{service}-{}", self.rng.random_range(0..6));
            let end = if self.peers_are_cut(now, host, index) {
                PeerEnd::Failed
            } else if self.serve(now, index, service, &server) {
                PeerEnd::Answered
            } else {
                PeerEnd::Refused
            };
            self.choices[host].ended(now, &peer.host, end);
            if end == PeerEnd::Answered {
                return true;
            }
            tried.push(peer.host);
        }
        false
    }

    fn peers_are_cut(&self, now: Now, host: usize, other: usize) -> bool {
        self.peer_cuts.iter().any(|(from, until, pair)| {
            (*from..*until).contains(&now) && pair.contains(&host) && pair.contains(&other)
        })
    }

    fn check_duty(
        &self,
        now: Now,
        named_since: &mut BTreeMap<(usize, usize), Now>,
        tally: &mut Tally,
    ) {
        for (viewer, view) in self.views.iter().enumerate() {
            let owner = view.owner(now, "job").map(|host| host[1..].parse().expect("a host"));
            for host in 0..self.hosts.len() {
                let is_cut = self.cuts.iter().any(|cut| {
                    cut.service.is_none()
                        && (cut.from..cut.until).contains(&now)
                        && cut.host == host
                });
                let is_named = owner == Some(host) && is_cut && !self.is_store_away(now);
                let others = (0..self.hosts.len())
                    .any(|other| other != host && self.hosts[other].reachability.lost().is_empty());
                if is_named && others {
                    let since = *named_since.entry((viewer, host)).or_insert(now);
                    tally.duty = tally.duty.max(now - since);
                } else {
                    named_since.remove(&(viewer, host));
                }
            }
        }
    }
}

#[test]
fn hosts_that_are_cut_off_serve_two_thirds_as_often_as_the_others_and_keep_no_duty() {
    let mut total = Tally::default();
    for seed in 0..200 {
        let tally = Simulation::new(seed).run();
        let share = |(tries, ok): (u32, u32)| f64::from(ok) / f64::from(tries.max(1));
        let (cut, others) = (share(tally.cut), share(tally.others));
        assert!(tally.cut.0 < 30 || cut >= others * 2.0 / 3.0, "seed {seed}: {tally:?}");
        assert!(tally.duty <= DUTY_BOUND, "seed {seed}: {tally:?}");
        total.cut = (total.cut.0 + tally.cut.0, total.cut.1 + tally.cut.1);
        total.others = (total.others.0 + tally.others.0, total.others.1 + tally.others.1);
    }
    let share = |(tries, ok): (u32, u32)| f64::from(ok) / f64::from(tries);
    assert!(total.cut.0 > 1_000, "{total:?}");
    assert!(share(total.cut) >= share(total.others) * 0.9, "{total:?}");
}
