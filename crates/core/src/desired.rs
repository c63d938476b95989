//! The desired state of a deployment: which requests go to which service, under which limits.

use std::{sync::Arc, time::Duration};

use buckthornfall_proto::ids::ServiceName;

/// Version of the desired state; grows with each change.
pub type DesiredVersion = u64;

/// What may be repeated when a request fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once for each attempt of its caller.
    Once,
    /// The answer is a stream of events.
    Stream,
    /// The request submits a job of many samples.
    Job,
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// Where requests of one host and path go.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route, unique in a version.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time until the final answer.
    pub timeout: Option<Duration>,
    /// Latency objective.
    pub objective: Option<Duration>,
    /// Time within which all results of a job are due.
    pub completion: Option<Duration>,
    /// Time after which a sample of a job may be given up.
    pub sample_ttl: Option<Duration>,
    /// Most servers that one attempt of a caller may run on; at least 1.
    pub max_attempts: u32,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Whether a stream may go on at another server.
    pub resumable: bool,
    /// Whether one version of the weights must make all of a sample.
    pub single_version: bool,
    /// Services that take the requests; not empty.
    pub targets: Vec<Target>,
}

impl Route {
    /// The target of the request with this hash.
    pub fn target(&self, hash: u64) -> &ServiceName {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut left = hash % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return &target.service;
            }
            left -= weight;
        }
        &self.targets[0].service
    }
}

/// A service that requests may go to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one server accepts from all daemons together.
    pub max_connections: u32,
    /// Models that its servers hold; empty for a plain service.
    pub models: Vec<String>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time to send the head of a request.
    pub header_timeout: Duration,
    /// Longest time without a request on a connection.
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

/// One version of the desired state.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Desired {
    /// Its version.
    pub version: DesiredVersion,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits of callers.
    pub limits: Limits,
}

impl Desired {
    /// The route with the longest prefix that begins `path`, among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self.routes.iter().filter(|route| route.host.eq_ignore_ascii_case(host));
        let fitting = of_host.filter(|route| path.starts_with(&route.prefix));
        fitting.max_by_key(|route| route.prefix.len())
    }
}

/// The desired state in force, which only moves to higher versions.
#[derive(Debug, Default)]
pub struct InForce {
    state: Option<Arc<Desired>>,
}

impl InForce {
    /// The state in force; `None` until one is known.
    pub fn get(&self) -> Option<&Arc<Desired>> {
        self.state.as_ref()
    }

    /// Installs `next` unless an equal or newer version is in force, and says whether it did.
    pub fn install(&mut self, next: Desired) -> bool {
        let newer = self.state.as_ref().is_none_or(|state| state.version < next.version);
        if newer {
            self.state = Some(Arc::new(next));
        }
        newer
    }
}
