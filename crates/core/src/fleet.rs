//! The backend servers that one daemon works with, and what it knows of each.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_proto::{
    digest::{fingerprint, rendezvous_rank},
    ids::{AttemptId, HostId, ServerId, ServiceName, WeightVersion},
    manifest::{Manifest, Server},
    messages::EngineState,
};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::Now;

/// Kind of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines; a server takes work only for the version it reported.
    Model,
    /// Scoring service.
    Scoring,
    /// Plain service.
    Plain,
}

/// How far a server is from this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same availability zone.
    Zone,
    /// In another availability zone of the region.
    Region,
    /// Behind the link to another region.
    Remote,
}

/// The last report of a server.
#[derive(Debug, Clone)]
pub struct Report {
    /// When the report arrived.
    pub at: Now,
    /// What the server said.
    pub state: EngineState,
    /// Requests of this daemon in flight when the report arrived.
    own_in_flight: u32,
}

/// One backend server.
#[derive(Debug, Clone)]
pub struct ServerState {
    /// What the manifest says.
    pub info: Server,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Kind of that service.
    pub kind: ServiceKind,
    /// Distance from this daemon.
    pub distance: Distance,
    /// Requests of this daemon that run on the server.
    pub in_flight: u32,
    /// Newest report; `None` until the first one and after a death.
    pub report: Option<Report>,
    /// The attempt that the server is kept free for.
    pub isolated_for: Option<AttemptId>,
    /// Tokens a second of one request on the server if it were empty, as learned from answers;
    /// `None` before the first tokens.
    speed: Option<f64>,
    /// No new work before this time, after a failure.
    down_until: Now,
    /// Failures in a row; each doubles the next wait.
    failures: u32,
    /// Whether the host list or another daemon says that the server is leaving.
    leaving: bool,
}

/// Longest age of a report by which a server is given new work.
pub const REPORT_VALID: Duration = Duration::from_secs(10);
/// Weight of the newest tokens in the speed of a server.
const SPEED_WEIGHT: f64 = 0.02;
const BACKOFF_FIRST: Duration = Duration::from_millis(500);
const BACKOFF_DOUBLINGS: u32 = 5;

impl ServerState {
    /// Weight version of a track that the server reported; 0 for services without weights.
    pub fn version(&self, adapter: &str) -> WeightVersion {
        let track = self.report.as_ref().and_then(|report| report.state.track(adapter));
        track.map_or(0, |track| track.active)
    }

    /// Whether the server may be given new work for a track.
    pub fn can_run(&self, now: Now, adapter: &str) -> bool {
        let swapping = self.report.as_ref().is_some_and(|report| report.state.is_swapping(adapter));
        self.is_usable(now) && !swapping
    }

    /// Whether the server may be given new work, as far as its weights allow it.
    pub fn is_usable(&self, now: Now) -> bool {
        let Some(report) = &self.report else { return false };
        let ready = !report.state.draining;
        let fresh = now.saturating_sub(report.at) <= REPORT_VALID;
        ready && fresh && !self.leaving && now >= self.down_until
    }

    /// Whether nothing was heard of the server yet, neither a report nor a failure.
    pub fn is_unheard(&self) -> bool {
        self.report.is_none() && self.failures == 0 && !self.leaving
    }

    /// Whether any of the signals says that the server is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.report.as_ref().is_some_and(|report| report.state.draining)
    }

    /// Requests on the server: those of this daemon, and those of others as last reported.
    pub fn load(&self) -> u32 {
        let others = self.report.as_ref().map_or(0, |report| {
            (report.state.running + report.state.queued).saturating_sub(report.own_in_flight)
        });
        self.in_flight + others
    }

    /// Load as a share of the slots.
    pub fn load_ratio(&self) -> f64 {
        f64::from(self.load()) / f64::from(self.info.slots.max(1))
    }

    /// Tokens a second of one request on the empty server, if tokens came from it yet.
    pub fn speed(&self) -> Option<f64> {
        self.speed
    }

    /// One word for the state, for people.
    pub fn describe(&self, now: Now) -> &'static str {
        match &self.report {
            None => "unknown",
            Some(_) if self.is_leaving() => "leaving",
            Some(report) if report.state.tracks.iter().any(|track| track.swapping) => "swapping",
            Some(_) if self.isolated_for.is_some() => "isolated",
            Some(_) if self.is_usable(now) => "ready",
            Some(_) => "down",
        }
    }
}

/// Where this daemon stands.
#[derive(Debug, Clone)]
pub struct Place {
    /// Name of the daemon's host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// Daemons that each server is served by when the fleet is large.
pub const DAEMONS_PER_SERVER: usize = 8;
/// Servers of each service that a daemon keeps at least.
pub const SERVERS_PER_SERVICE: usize = 4;
/// Services up to this size are served whole by every daemon.
pub const WHOLE_SERVICE: usize = 32;

/// What a report showed about the run of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// The same run as before.
    Same,
    /// The server was started again since the last report.
    Restarted,
}

/// All backend servers of one daemon's subset.
#[derive(Debug)]
pub struct Fleet {
    place: Place,
    servers: BTreeMap<ServerId, ServerState>,
    by_service: FxHashMap<ServiceName, Vec<ServerId>>,
}

impl Fleet {
    /// An empty fleet as seen from `place`.
    pub fn new(place: Place) -> Fleet {
        Fleet { place, servers: BTreeMap::new(), by_service: FxHashMap::default() }
    }

    /// Takes the servers of a manifest; `daemons` are the hosts alive, this one included.
    ///
    /// What is known of a server that stays is kept.
    pub fn configure(&mut self, manifest: &Manifest, daemons: &[HostId]) {
        let mut old = std::mem::take(&mut self.servers);
        self.by_service.clear();
        for (service, kind, servers) in services(manifest) {
            let mut names = Vec::new();
            for info in subset(&self.place.host, servers, daemons) {
                let distance = self.distance(manifest, &info.zone);
                let state =
                    old.remove(&info.name).filter(|known| known.info.address == info.address);
                let state = match state {
                    Some(known) => ServerState {
                        info: info.clone(),
                        service: service.to_owned(),
                        kind,
                        distance,
                        ..known
                    },
                    None => new_server(info, service, kind, distance),
                };
                names.push(info.name.clone());
                self.servers.insert(info.name.clone(), state);
            }
            self.by_service.insert(service.to_owned(), names);
        }
    }

    /// Marks exactly the servers in `leaving` as leaving.
    pub fn set_leaving(&mut self, leaving: &FxHashSet<ServerId>) {
        for (name, server) in &mut self.servers {
            server.leaving = leaving.contains(name);
        }
    }

    /// Names of the servers that are leaving by any signal.
    pub fn leaving(&self) -> Vec<ServerId> {
        let leaving = self.servers.values().filter(|server| server.is_leaving());
        leaving.map(|server| server.info.name.clone()).collect()
    }

    /// A server by name.
    pub fn get(&self, server: &str) -> Option<&ServerState> {
        self.servers.get(server)
    }

    /// All servers in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &ServerState> {
        self.servers.values()
    }

    /// Names of the servers of a service; `None` if the service does not exist.
    pub fn service(&self, service: &str) -> Option<&[ServerId]> {
        self.by_service.get(service).map(Vec::as_slice)
    }

    /// Counts a request of this daemon that starts on a server.
    pub fn started(&mut self, server: &str) {
        if let Some(state) = self.servers.get_mut(server) {
            state.in_flight += 1;
        }
    }

    /// Counts a request of this daemon that ended on a server.
    pub fn ended(&mut self, server: &str) {
        if let Some(state) = self.servers.get_mut(server) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Learns from tokens that came `elapsed` after the ones before; a batch that fills up makes
    /// each request slower, up to twice as slow.
    pub fn on_tokens(&mut self, server: &str, tokens: u32, elapsed: Duration) {
        let Some(state) = self.servers.get_mut(server) else { return };
        if elapsed.is_zero() {
            return;
        }
        let fill = state.load_ratio().min(1.0);
        let speed = f64::from(tokens) / elapsed.as_secs_f64() * (1.0 + fill);
        let known = state.speed.unwrap_or(speed);
        state.speed = Some(known + SPEED_WEIGHT * (speed - known));
    }

    /// Sets or lifts the isolation of a server.
    pub fn isolate(&mut self, server: &str, attempt: Option<AttemptId>) {
        if let Some(state) = self.servers.get_mut(server) {
            state.isolated_for = attempt;
        }
    }

    /// Takes a server's report.
    pub fn on_report(&mut self, now: Now, server: &str, state: EngineState) -> Liveness {
        let Some(known) = self.servers.get_mut(server) else { return Liveness::Same };
        let before = known.report.as_ref().map(|report| report.state.incarnation);
        let restarted = before.is_some_and(|incarnation| incarnation != state.incarnation);
        known.failures = 0;
        known.down_until = Now::ZERO;
        known.report = Some(Report { at: now, state, own_in_flight: known.in_flight });
        if restarted {
            Liveness::Restarted
        } else {
            Liveness::Same
        }
    }

    /// Takes a server out of routing for a while after it could not be reached.
    pub fn on_unreachable(&mut self, now: Now, server: &str) {
        let Some(state) = self.servers.get_mut(server) else { return };
        let wait = BACKOFF_FIRST * 2u32.pow(state.failures.min(BACKOFF_DOUBLINGS));
        state.failures += 1;
        state.down_until = now + wait;
    }

    /// Forgets what a dead server reported, so that it gets no work before its next report.
    pub fn on_death(&mut self, now: Now, server: &str) {
        self.on_unreachable(now, server);
        if let Some(state) = self.servers.get_mut(server) {
            state.report = None;
            state.isolated_for = None;
        }
    }

    fn distance(&self, manifest: &Manifest, zone: &str) -> Distance {
        if zone == self.place.zone {
            return Distance::Zone;
        }
        let region = manifest.regions.iter().find(|region| region.name == self.place.region);
        if region.is_some_and(|region| region.zones.iter().any(|z| z == zone)) {
            Distance::Region
        } else {
            Distance::Remote
        }
    }
}

/// All services of a manifest with their kind and servers.
pub fn services(manifest: &Manifest) -> Vec<(&str, ServiceKind, &[Server])> {
    let models =
        manifest.models.iter().map(|m| (m.name.as_str(), ServiceKind::Model, &m.servers[..]));
    let scoring = manifest
        .scoring_services
        .iter()
        .map(|s| (s.name.as_str(), ServiceKind::Scoring, &s.servers[..]));
    let plain = manifest
        .plain_services
        .iter()
        .map(|s| (s.name.as_str(), ServiceKind::Plain, &s.servers[..]));
    models.chain(scoring).chain(plain).collect()
}

/// The servers of a service that `host` works with.
///
/// Each server is served by the `DAEMONS_PER_SERVER` daemons that rank highest for it, so that
/// no server is left out; each daemon keeps at least `SERVERS_PER_SERVICE` servers, so that it
/// can answer for every service.
pub fn subset<'a>(host: &str, servers: &'a [Server], daemons: &[HostId]) -> Vec<&'a Server> {
    if servers.len() <= WHOLE_SERVICE || daemons.len() <= DAEMONS_PER_SERVER {
        return servers.iter().collect();
    }
    let host_key = fingerprint(&[host.as_bytes()]);
    let mut ranked: Vec<_> =
        servers.iter().map(|s| (rendezvous_rank(host_key, &s.name), &s.name)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let own: FxHashSet<_> =
        ranked.iter().take(SERVERS_PER_SERVICE).map(|(_, name)| name.as_str()).collect();
    servers
        .iter()
        .filter(|s| own.contains(s.name.as_str()) || serves(host, &s.name, daemons))
        .collect()
}

fn serves(host: &str, server: &str, daemons: &[HostId]) -> bool {
    let key = fingerprint(&[server.as_bytes()]);
    let own = rendezvous_rank(key, host);
    let higher = daemons.iter().filter(|d| rendezvous_rank(key, d) > own).count();
    higher < DAEMONS_PER_SERVER
}

fn new_server(info: &Server, service: &str, kind: ServiceKind, distance: Distance) -> ServerState {
    ServerState {
        info: info.clone(),
        service: service.to_owned(),
        kind,
        distance,
        in_flight: 0,
        report: None,
        isolated_for: None,
        speed: None,
        down_until: Now::ZERO,
        failures: 0,
        leaving: false,
    }
}
