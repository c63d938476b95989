//! State of the backend servers in one daemon's subset.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_proto::{
    digest::{fingerprint, rendezvous_rank},
    ids::{AttemptId, HostId, ServerId, ServiceName, WeightVersion},
    manifest::{Manifest, Server},
    messages::EngineState,
};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::Now;

/// Kind of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines; a server is given work only for the version that it reported.
    Model,
    /// Scoring service.
    Scoring,
    /// Plain service.
    Plain,
}

/// Network distance of a server from this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone.
    Zone,
    /// Another availability zone of the same region.
    Region,
    /// Another region, over an inter-region link.
    Remote,
}

/// Last report of a server.
#[derive(Debug, Clone)]
pub struct Report {
    /// Arrival time of the report.
    pub received_at: Now,
    /// State that the server reported.
    pub state: EngineState,
    /// Requests of this daemon in flight on the server when the report arrived.
    own_in_flight: u32,
}

/// State of one backend server.
#[derive(Debug, Clone)]
pub struct ServerState {
    /// Entry of the server in the manifest.
    pub info: Server,
    /// Name of the server's service.
    pub service: ServiceName,
    /// Kind of the server's service.
    pub kind: ServiceKind,
    /// Distance from this daemon.
    pub distance: Distance,
    /// Requests of this daemon in flight on the server.
    pub in_flight: u32,
    /// Latest report; `None` before the first one and after a crash of the server.
    pub report: Option<Report>,
    /// Attempt that the server is reserved for.
    pub isolated_for: Option<AttemptId>,
    /// Estimated tokens per second of one request on the idle server; `None` before the first
    /// tokens.
    speed: Option<f64>,
    /// End of the backoff after a failure; the server is given no new work before it.
    down_until: Now,
    /// Consecutive failures; each doubles the backoff.
    failures: u32,
    /// Whether the host list or another daemon reports the server as leaving.
    leaving: bool,
}

/// Maximum age of a report for the server to be given new work.
pub const REPORT_TTL: Duration = Duration::from_secs(10);
/// Weight of the latest sample in the moving average of a server's speed.
const SPEED_EWMA_WEIGHT: f64 = 0.02;
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

impl ServerState {
    /// Returns the reported weight version of a track; 0 for services without weights.
    pub fn version(&self, adapter: &str) -> WeightVersion {
        let track = self.report.as_ref().and_then(|report| report.state.track(adapter));
        track.map_or(0, |track| track.active)
    }

    /// Returns whether the server may be given new work for a track.
    pub fn can_run(&self, now: Now, adapter: &str) -> bool {
        let swapping = self.report.as_ref().is_some_and(|report| report.state.is_swapping(adapter));
        self.is_usable(now) && !swapping
    }

    /// Returns whether the server may be given new work, regardless of the state of its weights.
    pub fn is_usable(&self, now: Now) -> bool {
        let Some(report) = &self.report else { return false };
        let ready = !report.state.draining;
        let is_fresh = now.saturating_sub(report.received_at) <= REPORT_TTL;
        ready && is_fresh && !self.leaving && now >= self.down_until
    }

    /// Returns whether nothing is known of the server yet, neither a report nor a failure.
    pub fn is_unknown(&self) -> bool {
        self.report.is_none() && self.failures == 0 && !self.leaving
    }

    /// Returns whether any source reports the server as leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.report.as_ref().is_some_and(|report| report.state.draining)
    }

    /// Returns the number of requests on the server: those of this daemon, plus those of others in
    /// the last report.
    pub fn load(&self) -> u32 {
        let others = self.report.as_ref().map_or(0, |report| {
            (report.state.running + report.state.queued).saturating_sub(report.own_in_flight)
        });
        self.in_flight + others
    }

    /// Returns the load as a fraction of the slots.
    pub fn load_ratio(&self) -> f64 {
        f64::from(self.load()) / f64::from(self.info.slots.max(1))
    }

    /// Returns the estimated tokens per second of one request on the idle server; `None` before the
    /// first tokens.
    pub fn speed(&self) -> Option<f64> {
        self.speed
    }

    /// Returns a one-word description of the state.
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

/// Location of this daemon.
#[derive(Debug, Clone)]
pub struct Place {
    /// Name of the daemon's host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: String,
    /// Region of the host.
    pub region: String,
}

/// Daemons that use each server in a large fleet.
pub const DAEMONS_PER_SERVER: usize = 8;
/// Minimum number of servers of each service in a daemon's subset.
pub const MIN_SERVERS_PER_SERVICE: usize = 4;
/// Maximum size of a service that every daemon uses in full.
pub const MAX_UNSHARDED_SERVERS: usize = 32;

/// Comparison of a server's incarnation with its previous report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationChange {
    /// The server has not restarted.
    Unchanged,
    /// The server has restarted since its previous report.
    Restarted,
}

/// The backend servers in one daemon's subset.
#[derive(Debug)]
pub struct Fleet {
    place: Place,
    servers: BTreeMap<ServerId, ServerState>,
    by_service: FxHashMap<ServiceName, Vec<ServerId>>,
}

impl Fleet {
    /// Creates an empty fleet for a daemon at `place`.
    pub fn new(place: Place) -> Fleet {
        Fleet { place, servers: BTreeMap::new(), by_service: FxHashMap::default() }
    }

    /// Applies the servers of a manifest; `daemons` are the live hosts, including this one.
    ///
    /// The state of servers that remain with the same address is kept.
    pub fn configure(&mut self, manifest: &Manifest, daemons: &[HostId]) {
        let mut previous = std::mem::take(&mut self.servers);
        self.by_service.clear();
        for (service, kind, servers) in services(manifest) {
            let mut names = Vec::new();
            for info in subset(&self.place.host, servers, daemons) {
                let distance = self.distance(manifest, &info.zone);
                let state =
                    previous.remove(&info.name).filter(|known| known.info.address == info.address);
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

    /// Marks the servers in `leaving` as leaving, and all others as not leaving.
    pub fn set_leaving(&mut self, leaving: &FxHashSet<ServerId>) {
        for (name, server) in &mut self.servers {
            server.leaving = leaving.contains(name);
        }
    }

    /// Returns the names of the servers that any source reports as leaving.
    pub fn leaving(&self) -> Vec<ServerId> {
        let leaving = self.servers.values().filter(|server| server.is_leaving());
        leaving.map(|server| server.info.name.clone()).collect()
    }

    /// Returns the state of a server.
    pub fn get(&self, server: &str) -> Option<&ServerState> {
        self.servers.get(server)
    }

    /// Iterates over all servers in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &ServerState> {
        self.servers.values()
    }

    /// Returns the names of a service's servers; `None` if the service does not exist.
    pub fn service(&self, service: &str) -> Option<&[ServerId]> {
        self.by_service.get(service).map(Vec::as_slice)
    }

    /// Counts a request of this daemon that started on a server.
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

    /// Updates the speed estimate with tokens that arrived `elapsed` after the previous ones. A
    /// full batch makes each request up to twice as slow, which the estimate corrects for.
    pub fn on_tokens(&mut self, server: &str, tokens: u32, elapsed: Duration) {
        let Some(state) = self.servers.get_mut(server) else { return };
        if elapsed.is_zero() {
            return;
        }
        let occupancy = state.load_ratio().min(1.0);
        let speed = f64::from(tokens) / elapsed.as_secs_f64() * (1.0 + occupancy);
        let known = state.speed.unwrap_or(speed);
        state.speed = Some(known + SPEED_EWMA_WEIGHT * (speed - known));
    }

    /// Reserves a server for an attempt, or ends the reservation.
    pub fn isolate(&mut self, server: &str, attempt: Option<AttemptId>) {
        if let Some(state) = self.servers.get_mut(server) {
            state.isolated_for = attempt;
        }
    }

    /// Stores a server's report and ends its backoff; returns whether the server has restarted.
    pub fn on_report(&mut self, now: Now, server: &str, state: EngineState) -> IncarnationChange {
        let Some(known) = self.servers.get_mut(server) else { return IncarnationChange::Unchanged };
        let previous = known.report.as_ref().map(|report| report.state.incarnation);
        let is_restarted = previous.is_some_and(|incarnation| incarnation != state.incarnation);
        known.failures = 0;
        known.down_until = Now::ZERO;
        known.report = Some(Report { received_at: now, state, own_in_flight: known.in_flight });
        if is_restarted {
            IncarnationChange::Restarted
        } else {
            IncarnationChange::Unchanged
        }
    }

    /// Starts a backoff for a server that could not be reached.
    pub fn on_unreachable(&mut self, now: Now, server: &str) {
        let Some(state) = self.servers.get_mut(server) else { return };
        let backoff = INITIAL_BACKOFF * 2u32.pow(state.failures.min(MAX_BACKOFF_DOUBLINGS));
        state.failures += 1;
        state.down_until = now + backoff;
    }

    /// Drops the report of a crashed server, so that it is given no work before its next report.
    pub fn on_crash(&mut self, now: Now, server: &str) {
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

/// Returns all services of a manifest with their kind and servers.
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

/// Returns the servers of a service that `host` uses.
///
/// Each server is used by the `DAEMONS_PER_SERVER` daemons that rank highest for it, so no server
/// is left out. Each daemon uses at least `MIN_SERVERS_PER_SERVICE` servers, so it can handle
/// requests for every service.
pub fn subset<'a>(host: &str, servers: &'a [Server], daemons: &[HostId]) -> Vec<&'a Server> {
    if servers.len() <= MAX_UNSHARDED_SERVERS || daemons.len() <= DAEMONS_PER_SERVER {
        return servers.iter().collect();
    }
    let host_key = fingerprint(&[host.as_bytes()]);
    let mut ranked: Vec<_> =
        servers.iter().map(|s| (rendezvous_rank(host_key, &s.name), &s.name)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let own: FxHashSet<_> =
        ranked.iter().take(MIN_SERVERS_PER_SERVICE).map(|(_, name)| name.as_str()).collect();
    servers
        .iter()
        .filter(|s| own.contains(s.name.as_str()) || uses_server(host, &s.name, daemons))
        .collect()
}

fn uses_server(host: &str, server: &str, daemons: &[HostId]) -> bool {
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
