//! Desired state of a deployment: routes, services and limits.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use buckthornfall_proto::ids::ServiceName;

use crate::accounts::Accounts;

/// Version of the desired state; increases with each change.
pub type DesiredVersion = u64;

/// Execution and retry semantics of the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request is executed at most once per attempt of the caller.
    Once,
    /// The response is an event stream.
    Stream,
    /// The request submits a job.
    Job,
}

/// A service and its weight in a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of the requests relative to the other targets.
    pub weight: u32,
}

/// A route from a host and path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route, unique within a version of the desired state.
    pub name: String,
    /// Value of the `Host` header to match.
    pub host: String,
    /// Path prefix to match; starts and ends with a slash.
    pub prefix: String,
    /// Execution and retry semantics.
    pub kind: RouteKind,
    /// Timeout of the whole request.
    pub timeout: Option<Duration>,
    /// Latency objective.
    pub objective: Option<Duration>,
    /// Time in which all results of a job are due.
    pub completion: Option<Duration>,
    /// Time after which an unfinished sample of a job is given up.
    pub sample_ttl: Option<Duration>,
    /// Maximum number of servers that may run one attempt of a caller; at least 1.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key of a client account.
    pub is_public: bool,
    /// Whether an interrupted stream may resume on another server.
    pub resumable: bool,
    /// Whether a single weight version must generate a whole sample.
    pub single_version: bool,
    /// Services that handle the requests; not empty.
    pub targets: Vec<Target>,
}

impl Route {
    /// Selects the target service of a request by weight, from the hash of the request.
    pub fn target(&self, hash: u64) -> &ServiceName {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut remainder = hash % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remainder < weight {
                return &target.service;
            }
            remainder -= weight;
        }
        &self.targets[0].service
    }

    /// Returns whether requests may go to a service.
    pub fn leads_to(&self, service: &str) -> bool {
        let mut weighted = self.targets.iter().filter(|target| target.weight > 0).peekable();
        match weighted.peek() {
            Some(_) => weighted.any(|target| target.service == service),
            None => self.targets[0].service == service,
        }
    }
}

/// Limits and prices of the servers that may be ordered for a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Scaling {
    /// Minimum number of servers in an availability zone, at most `max`.
    pub min: u32,
    /// Maximum number of servers in an availability zone, spot servers included.
    pub max: u32,
    /// Time until an ordered server serves.
    pub boot: Duration,
    /// Price of a spot server relative to others; `None` if there are none.
    pub spot_price: Option<f64>,
    /// Price of a second of a server in each availability zone that has them.
    pub zone_prices: BTreeMap<String, f64>,
}

/// A service and its properties.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum connections to one server from all daemons together.
    pub max_connections: u32,
    /// Models that its servers hold; empty for a service without models.
    pub models: Vec<String>,
    /// Limits of the orders of servers; `None` if their number is fixed.
    pub scaling: Option<Scaling>,
}

/// Upper limit of `Limits::header_bytes`: a connection holds a whole head in memory.
pub const MAX_HEADER_BYTES: usize = 1 << 20;

/// Size limits and timeouts for callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes; at most `MAX_HEADER_BYTES`.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head.
    pub header_timeout: Duration,
    /// Timeout of an idle connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 32 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A version of the desired state.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Desired {
    /// Version number.
    pub version: DesiredVersion,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: Limits,
    /// Client accounts; `None` if requests need no keys.
    pub accounts: Option<Accounts>,
    /// Problems of parts that are not in force, for the log.
    pub problems: Vec<String>,
}

impl Desired {
    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self.routes.iter().filter(|route| route.host.eq_ignore_ascii_case(host));
        let matching = of_host.filter(|route| path.starts_with(&route.prefix));
        matching.max_by_key(|route| route.prefix.len())
    }

    /// Returns whether the servers of a service hold models.
    pub fn has_models(&self, service: &str) -> bool {
        let of_name = |known: &&Service| known.name == service;
        self.services.iter().find(of_name).is_some_and(|known| !known.models.is_empty())
    }
}

/// Routes and keys that differ between two versions of the desired state.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Changes {
    /// Names of the routes whose host and prefix are new.
    pub added: Vec<String>,
    /// Names of the routes of which anything else is new.
    pub changed: Vec<String>,
    /// Names that the routes had whose host and prefix are gone.
    pub dropped: Vec<String>,
    /// Number of keys that are new.
    pub keys_added: usize,
    /// Number of keys that are gone.
    pub keys_dropped: usize,
}

impl Desired {
    /// Returns what differs from an earlier version.
    pub fn changes_since(&self, earlier: &Desired) -> Changes {
        let (own, other) = (self.routes_by_match(), earlier.routes_by_match());
        let mut changes = Changes::default();
        for (matched, route) in &own {
            match other.get(matched) {
                None => changes.added.push(route.name.clone()),
                Some(earlier) if earlier != route => changes.changed.push(route.name.clone()),
                Some(_) => {}
            }
        }
        let dropped = other.iter().filter(|(matched, _)| !own.contains_key(*matched));
        changes.dropped.extend(dropped.map(|(_, route)| route.name.clone()));
        let none = Accounts::default();
        let [own, other] =
            [self, earlier].map(|desired| desired.accounts.as_ref().unwrap_or(&none));
        changes.keys_added = own.keys_missing_in(other);
        changes.keys_dropped = other.keys_missing_in(own);
        changes
    }

    fn routes_by_match(&self) -> BTreeMap<(&str, &str), &Arc<Route>> {
        self.routes.iter().map(|route| ((&*route.host, &*route.prefix), route)).collect()
    }
}

/// The desired state in force; its version never decreases.
#[derive(Debug, Default)]
pub struct InForce {
    state: Option<Arc<Desired>>,
}

impl InForce {
    /// Returns the state in force; `None` until one is installed.
    pub fn get(&self) -> Option<&Arc<Desired>> {
        self.state.as_ref()
    }

    /// Installs `next` unless an equal or newer version is in force. Returns whether it was
    /// installed.
    pub fn install(&mut self, next: Desired) -> bool {
        let newer = self.state.as_ref().is_none_or(|state| state.version < next.version);
        if newer {
            self.state = Some(Arc::new(next));
        }
        newer
    }
}
