//! Network paths of a daemon to the servers of each service.
//!
//! A failed connection, or requests that all wait without any response, make a service suspect.
//! Connections to servers in different zones, opened as probes, then confirm that its paths are lost
//! or end the suspicion. What counts is whether connections can be opened: a daemon whose kept ones live
//! on while new ones are refused can serve little with them. Whether the service itself is down is not decided here, but by comparison
//! with the other daemons: see [`Members::is_cut_off`](crate::members::Members::is_cut_off).

use std::time::Duration;

use buckthornfall_proto::ids::{ServerId, ServiceName};
use rustc_hash::FxHashMap;

use crate::{
    backends::{Backend, Backends},
    Now,
};

/// Time for which requests to a service wait without any response until it is suspect.
const MAX_SILENCE: Duration = Duration::from_millis(250);
/// Upper bound of that time; it doubles whenever a probe shows that the servers are only slow.
const MAX_SILENCE_SLOW: Duration = Duration::from_secs(8);
/// Servers to which connections must fail before a service counts as lost, or all if there are fewer.
const PROBED_SERVERS: usize = 3;
/// Interval between probes of a lost service.
const LOST_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after a wrong suspicion for which failed connections raise no other: a server is gone.
const SUSPICION_PAUSE: Duration = Duration::from_secs(1);

/// A connection to open, to learn whether there is a path.
#[derive(Debug, Clone, PartialEq)]
pub struct Probe {
    /// Service of the server.
    pub service: ServiceName,
    /// The server.
    pub server: Backend,
}

/// A change of what is known of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// Its servers may be out of reach.
    Suspected,
    /// The suspicion was wrong.
    Cleared,
    /// No connection to a server can be opened.
    Lost,
    /// Servers can be reached again.
    Regained,
}

impl PathChange {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            PathChange::Suspected => "suspected",
            PathChange::Cleared => "cleared",
            PathChange::Lost => "lost",
            PathChange::Regained => "regained",
        }
    }

    /// Returns whether other daemons have to know of the change.
    pub fn is_shared(self) -> bool {
        matches!(self, PathChange::Lost | PathChange::Regained)
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum PathState {
    #[default]
    Reached,
    Suspected,
    Lost,
}

#[derive(Debug, Clone)]
struct ServicePaths {
    state: PathState,
    /// Time of the last response.
    heard_at: Option<Now>,
    /// Since when requests have been waiting without any response.
    waiting_since: Option<Now>,
    /// Silence after which the service is suspect.
    max_silence: Duration,
    /// Servers to which a connection failed since the suspicion.
    failed: Vec<ServerId>,
    /// Servers to which a probe is being opened.
    probing: Vec<ServerId>,
    next_probe_at: Now,
    /// When a suspicion last proved wrong.
    cleared_at: Option<Now>,
    /// Number of probes, which selects the next server while the service is lost.
    probes: usize,
}

impl Default for ServicePaths {
    fn default() -> ServicePaths {
        ServicePaths {
            state: PathState::default(),
            heard_at: None,
            waiting_since: None,
            max_silence: MAX_SILENCE,
            failed: Vec::new(),
            probing: Vec::new(),
            next_probe_at: Now::ZERO,
            cleared_at: None,
            probes: 0,
        }
    }
}

/// Paths of one daemon to the servers of all services.
#[derive(Debug, Default)]
pub struct Reachability {
    services: FxHashMap<ServiceName, ServicePaths>,
}

impl Reachability {
    /// Records a response of a server of a service.
    pub fn on_response(&mut self, now: Now, service: &str) -> Option<PathChange> {
        let paths = self.paths(service);
        paths.max_silence = MAX_SILENCE;
        paths.heard_at = Some(now);
        paths.waiting_since = None;
        // Failed connections count although kept ones work.
        let is_silence_over = paths.state == PathState::Suspected && paths.failed.is_empty();
        is_silence_over.then(|| paths.on_reached(now)).flatten()
    }

    /// Records that no connection to a server could be established.
    pub fn on_connect_failed(
        &mut self,
        now: Now,
        service: &str,
        server: &str,
    ) -> Option<PathChange> {
        let paths = self.paths(service);
        let is_paused = paths.cleared_at.is_some_and(|at| now.saturating_sub(at) < SUSPICION_PAUSE);
        match paths.state {
            PathState::Reached if is_paused => None,
            PathState::Reached => {
                paths.suspect();
                paths.failed.push(server.to_owned());
                Some(PathChange::Suspected)
            }
            PathState::Suspected => {
                if !paths.failed.iter().any(|failed| failed == server) {
                    paths.failed.push(server.to_owned());
                }
                None
            }
            PathState::Lost => None,
        }
    }

    /// Records the outcome of a probe.
    pub fn on_probe_end(
        &mut self,
        now: Now,
        service: &str,
        server: &str,
        connected: bool,
    ) -> Option<PathChange> {
        let paths = self.paths(service);
        paths.probing.retain(|probed| probed != server);
        if !connected {
            return self.on_connect_failed(now, service, server);
        }
        if paths.state == PathState::Suspected && paths.failed.is_empty() {
            paths.max_silence = (paths.max_silence * 2).min(MAX_SILENCE_SLOW);
        }
        paths.on_reached(now)
    }

    /// Returns the probes to open now and the services whose state changed.
    pub fn tick(
        &mut self,
        now: Now,
        backends: &Backends,
    ) -> (Vec<Probe>, Vec<(ServiceName, PathChange)>) {
        let mut servers: FxHashMap<&str, Vec<&Backend>> = FxHashMap::default();
        let mut waiting: FxHashMap<&str, u32> = FxHashMap::default();
        for server in backends.all() {
            *waiting.entry(&server.service).or_default() += backends.inflight(&server.id);
            if !server.draining {
                servers.entry(&server.service).or_default().push(server);
            }
        }
        let (mut probes, mut changes) = (Vec::new(), Vec::new());
        self.services.retain(|service, paths| {
            let is_listed = servers.contains_key(service.as_str());
            if !is_listed && paths.state == PathState::Lost {
                changes.push((service.clone(), PathChange::Regained));
            }
            is_listed
        });
        for (service, listed) in servers {
            let paths = self.paths(service);
            let is_waiting = waiting.get(service).is_some_and(|count| *count > 0);
            if let Some(change) = paths.advance(now, is_waiting, &listed) {
                changes.push((service.to_owned(), change));
            }
            let due = paths.due_probes(now, listed);
            probes.extend(due.map(|server| Probe { service: service.to_owned(), server }));
        }
        (probes, changes)
    }

    /// Returns whether no connection to a server of a service can be opened.
    pub fn is_lost(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|paths| paths.state == PathState::Lost)
    }

    /// Returns whether kept connections do not work either: a lost service has been silent.
    pub fn is_silent(&self, now: Now, service: &str) -> bool {
        self.services.get(service).is_some_and(|paths| {
            let is_heard = paths.heard_at.is_some_and(|at| now.saturating_sub(at) < MAX_SILENCE);
            paths.state == PathState::Lost && !is_heard
        })
    }

    /// Returns the services to whose servers no connection can be opened, in order of their names.
    pub fn lost(&self) -> Vec<ServiceName> {
        let is_lost = |paths: &ServicePaths| paths.state == PathState::Lost;
        let lost = self.services.iter().filter(|(_, paths)| is_lost(paths));
        let mut lost: Vec<_> = lost.map(|(service, _)| service.clone()).collect();
        lost.sort_unstable();
        lost
    }

    /// Returns whether a server of a service has responded since the time `since`.
    pub fn has_responded_since(&self, service: &str, since: Now) -> bool {
        let heard_at = self.services.get(service).and_then(|paths| paths.heard_at);
        heard_at.is_some_and(|at| at > since)
    }

    /// Returns the time since the last response of each service that has responded.
    pub fn silences(&self, now: Now) -> impl Iterator<Item = (&ServiceName, Duration)> {
        self.services.iter().filter_map(move |(service, paths)| {
            Some((service, now.saturating_sub(paths.heard_at?)))
        })
    }

    fn paths(&mut self, service: &str) -> &mut ServicePaths {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), ServicePaths::default());
        }
        self.services.get_mut(service).expect("inserted above")
    }
}

impl ServicePaths {
    fn suspect(&mut self) {
        self.state = PathState::Suspected;
        self.failed.clear();
        self.next_probe_at = Now::ZERO;
    }

    fn on_reached(&mut self, now: Now) -> Option<PathChange> {
        self.waiting_since = None;
        self.failed.clear();
        match std::mem::take(&mut self.state) {
            PathState::Reached => None,
            PathState::Suspected => {
                self.cleared_at = Some(now);
                Some(PathChange::Cleared)
            }
            PathState::Lost => Some(PathChange::Regained),
        }
    }

    fn advance(&mut self, now: Now, is_waiting: bool, listed: &[&Backend]) -> Option<PathChange> {
        match self.state {
            PathState::Reached if !is_waiting => {
                self.waiting_since = None;
                None
            }
            PathState::Reached => {
                let since = *self.waiting_since.get_or_insert(now);
                if now.saturating_sub(since) < self.max_silence {
                    return None;
                }
                self.suspect();
                Some(PathChange::Suspected)
            }
            PathState::Suspected => {
                let failed =
                    listed.iter().filter(|server| self.failed.contains(&server.id)).count();
                if failed < listed.len().min(PROBED_SERVERS) {
                    return None;
                }
                self.state = PathState::Lost;
                self.next_probe_at = now + LOST_PROBE_INTERVAL;
                Some(PathChange::Lost)
            }
            PathState::Lost => None,
        }
    }

    /// Returns the servers to probe now: one after silence, more once a connection failed.
    fn due_probes<'a>(
        &mut self,
        now: Now,
        listed: Vec<&'a Backend>,
    ) -> impl Iterator<Item = Backend> + use<'a> {
        let count = match self.state {
            PathState::Reached => 0,
            PathState::Suspected if self.failed.is_empty() => 1 - self.probing.len().min(1),
            PathState::Suspected => {
                PROBED_SERVERS.saturating_sub(self.failed.len() + self.probing.len())
            }
            PathState::Lost if now < self.next_probe_at || !self.probing.is_empty() => 0,
            PathState::Lost => {
                self.next_probe_at = now + LOST_PROBE_INTERVAL;
                1
            }
        };
        let mut due = Vec::new();
        if count > 0 {
            let is_candidate = |server: &&Backend| {
                !self.probing.contains(&server.id)
                    && (self.state == PathState::Lost || !self.failed.contains(&server.id))
            };
            let candidates: Vec<_> = listed.iter().copied().filter(is_candidate).collect();
            due = self.spread_over_zones(&listed, candidates, count);
            self.probing.extend(due.iter().map(|server| server.id.clone()));
            self.probes = self.probes.wrapping_add(due.len());
        }
        due.into_iter().cloned()
    }

    /// Picks `count` candidates, in zones without a failed or probed server first: the servers of one
    /// zone may be down together.
    fn spread_over_zones<'a>(
        &self,
        listed: &[&'a Backend],
        mut candidates: Vec<&'a Backend>,
        count: usize,
    ) -> Vec<&'a Backend> {
        candidates.sort_by(|a, b| a.id.cmp(&b.id));
        if !candidates.is_empty() {
            let turn = self.probes % candidates.len();
            candidates.rotate_left(turn);
        }
        let is_used = |server: &&&Backend| {
            self.failed.contains(&server.id) || self.probing.contains(&server.id)
        };
        let mut zones: Vec<&str> =
            listed.iter().filter(is_used).map(|server| server.zone.as_str()).collect();
        let mut picked = Vec::new();
        while picked.len() < count && !candidates.is_empty() {
            let other_zone = candidates.iter().position(|server| !zones.contains(&&*server.zone));
            let server = candidates.remove(other_zone.unwrap_or_default());
            zones.push(&server.zone);
            picked.push(server);
        }
        picked
    }
}
