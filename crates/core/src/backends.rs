//! State of the backend servers, from their entries in the store and from their responses.
//!
//! An entry registers a server; its responses show whether it is healthy and how fast it is. Server
//! selection uses both, and avoids servers that failed recently as long as others are available.

use std::{net::SocketAddr, time::Duration};

use buckthornfall_proto::ids::{ServerId, ServiceName, SoftwareVersion, WeightVersion};
use rustc_hash::FxHashMap;

use crate::{
    origins::VersionSlots,
    permits::PermitClass,
    rate_limit::{Limit, RateLimits},
    Now,
};

/// A model loaded by a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldModel {
    /// Name of the model.
    pub name: String,
    /// Version of its weights.
    pub version: WeightVersion,
}

/// A server's entry in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// Id of the server.
    pub id: ServerId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Listen address.
    pub addr: SocketAddr,
    /// Availability zone of the server.
    pub zone: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the server is leaving.
    pub draining: bool,
    /// Start time of the server process, in Unix milliseconds; 0 if not reported.
    pub started_ms: u64,
    /// Whether the server may be reclaimed at short notice.
    pub spot: bool,
    /// Software version of the server process.
    pub software: SoftwareVersion,
    /// Models loaded by the server.
    pub models: Vec<HeldModel>,
}

impl Backend {
    /// Returns the weight version of `model`, if it is loaded.
    pub fn version(&self, model: &str) -> Option<WeightVersion> {
        self.models.iter().find(|held| held.name == model).map(|held| held.version)
    }
}

/// Outcome of a request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The server responded; holds the service time, excluding network time.
    Answered(Duration),
    /// The server responded; its service time was already recorded with `observe`.
    Done,
    /// The server ran the request and responded with an error.
    Erred,
    /// The server refused the request and did not run it.
    Refused,
    /// The server refused the request because it is loading other weights.
    Loading,
    /// No usable response arrived.
    Failed,
    /// The request was cancelled for a reason unrelated to the server.
    Cancelled,
}

/// Backoff after the first failure; doubles with each further one.
const FAILURE_BACKOFF: Duration = Duration::from_millis(400);
/// Upper bound of the failure backoff.
const FAILURE_BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Error responses since the last success from which a server counts as faulty; one alone is not
/// enough, as some requests fail at every server.
const FAULTY_ERROR_COUNT: u32 = 2;
/// Backoff after a refusal: about the time until a slot becomes free or a weight load progresses.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(120);
/// Longest backoff of a server that is loading weights; an updated entry ends it earlier.
const LOADING_BACKOFF: Duration = Duration::from_millis(1_000);
/// Number of servers of a service that refuse requests when it is short of room.
const SHORT_SERVERS: usize = 2;
/// Service time assumed until a server has responded.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(30);
/// Cost of a server without an open connection, as added response time: opening one takes server
/// time from all callers, whereas waiting is tolerable: a lookup may take four times its usual
/// time.
const CONNECT_COST: Duration = Duration::from_millis(20);
/// Cost of a server of a software version with fewer slots, as added response time of a new stream:
/// about the service time of a server at twice its slots.
const RARE_SOFTWARE_COST: Duration = Duration::from_millis(100);
/// Age at which a measured service time expires.
const SERVICE_TIME_TTL: Duration = Duration::from_secs(6);
/// Weight of a response in the moving average of the service time.
const RESPONSE_EWMA_WEIGHT: f64 = 0.25;
/// Weight of a response chunk in the moving average; a server sends hundreds per second.
const CHUNK_EWMA_WEIGHT: f64 = 0.04;
/// Grace period for a server whose entry is missing, counted while no store call fails.
pub const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(2_000);

#[derive(Debug, Clone)]
struct Tracked {
    entry: Backend,
    inflight: u32,
    /// Requests without a usable response since the last success.
    failures: u32,
    /// Error responses since the last success.
    errors: u32,
    backoff_until: Now,
    /// End of the backoff for loading weights.
    loading_until: Now,
    /// Moving average of the service time in seconds, with the time of the last sample.
    service_time: Option<(f64, Now)>,
    /// Time of the last refusal.
    refused_at: Option<Now>,
    /// When the entry disappeared, if a store call had failed shortly before.
    missing_since: Option<Now>,
    /// When a further request of each class is expected to get a permit.
    permits_at: Vec<(PermitClass, Now)>,
    /// When the server is taken away, if it has given notice of that.
    taken_at: Option<Now>,
}

impl Tracked {
    fn new(entry: Backend) -> Tracked {
        Tracked {
            entry,
            inflight: 0,
            failures: 0,
            errors: 0,
            backoff_until: Now::ZERO,
            loading_until: Now::ZERO,
            service_time: None,
            refused_at: None,
            missing_since: None,
            permits_at: Vec::new(),
            taken_at: None,
        }
    }

    fn permit_wait(&self, now: Now, class: PermitClass) -> Duration {
        let at = self.permits_at.iter().find(|(of, _)| *of == class);
        at.map_or(Duration::ZERO, |(_, at)| at.saturating_sub(now))
    }

    fn is_faulty(&self) -> bool {
        self.errors >= FAULTY_ERROR_COUNT
    }

    /// Backs off after the `count`th failure in a row.
    fn back_off(&mut self, now: Now, count: u32) {
        let backoff = FAILURE_BACKOFF * 2u32.pow(count.saturating_sub(1).min(4));
        self.backoff_until = now + backoff.min(FAILURE_BACKOFF_MAX);
    }

    fn record_service_time(&mut self, now: Now, took: Duration, weight: f64) {
        let took = took.as_secs_f64();
        let last = self.service_time(now).unwrap_or(took);
        self.service_time = Some((last + weight * (took - last), now));
    }

    /// Returns the average service time in seconds, unless it has expired.
    fn service_time(&self, now: Now) -> Option<f64> {
        let (time, at) = self.service_time?;
        (now.saturating_sub(at) < SERVICE_TIME_TTL).then_some(time)
    }
}

/// A server that announced in a response that it is leaving.
#[derive(Debug, Clone, Copy)]
struct Leaving {
    /// Start time of the announcing server process.
    started_ms: u64,
    /// Time of the last announcement.
    announced_at: Now,
}

/// Time for which an announcement is kept: far longer than a leaving server keeps serving or its
/// stale entry can be read again.
const LEAVING_TTL: Duration = Duration::from_secs(3_600);

/// Time for which the limit of a server without an entry is kept, as the entry may reappear.
const LIMIT_TTL: Duration = Duration::from_secs(60);

/// All backend servers known to a daemon.
#[derive(Debug, Clone, Default)]
pub struct Backends {
    servers: FxHashMap<ServerId, Tracked>,
    /// Outlives the entries, as a stale entry may be read again.
    leaving: FxHashMap<ServerId, Leaving>,
    /// Request limits stated by the servers.
    pub rate_limits: RateLimits,
}

/// Location of a daemon.
#[derive(Debug, Clone, Default)]
pub struct Location {
    /// Availability zone of the daemon.
    pub zone: String,
    /// Region of each availability zone.
    pub regions: FxHashMap<String, String>,
}

/// Round-trip times within a zone, between zones of a region and between regions, as stated in the
/// data sheets of both users of the service.
const ROUND_TRIPS: [Duration; 3] =
    [Duration::from_micros(400), Duration::from_micros(2_800), Duration::from_millis(24)];

impl Location {
    /// Returns the distance to `zone`: 0 within the zone, 1 within the region, else 2.
    pub fn distance(&self, zone: &str) -> usize {
        if zone == self.zone {
            return 0;
        }
        let region = |zone: &str| self.regions.get(zone);
        if region(zone).is_some() && region(zone) == region(&self.zone) {
            1
        } else {
            2
        }
    }

    /// Returns the expected round-trip time to `zone`.
    pub fn round_trip(&self, zone: &str) -> Duration {
        ROUND_TRIPS[self.distance(zone)]
    }
}

/// Criteria of a server selection.
#[derive(Debug, Clone, Copy)]
pub struct ServerQuery<'a> {
    /// The service.
    pub service: &'a str,
    /// Location of the daemon.
    pub location: &'a Location,
    /// Servers that were already tried.
    pub tried: &'a [ServerId],
    /// Class in which the request competes for the permits of limited servers.
    pub class: PermitClass,
    /// Software versions of the servers.
    pub software: SoftwareChoice<'a>,
}

/// Software versions among which a server is selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoftwareChoice<'a> {
    /// Any version.
    Any,
    /// One version.
    Only(&'a str),
    /// Any version, preferring the one with the most slots: a stream that is resumed has to go to the
    /// servers of its own version.
    New,
}

impl ServerQuery<'_> {
    fn matches(&self, entry: &Backend) -> bool {
        let is_software_right = match self.software {
            SoftwareChoice::Any | SoftwareChoice::New => true,
            SoftwareChoice::Only(software) => entry.software == software,
        };
        entry.service == self.service
            && is_software_right
            && !entry.draining
            && !self.tried.contains(&entry.id)
    }
}

impl Backends {
    /// Adds or replaces an entry. The state of a restarted server's previous process is discarded.
    /// The entry of a server process that is leaving counts as draining, even if it says otherwise.
    pub fn upsert(&mut self, mut entry: Backend) {
        if let Some(leaving) = self.leaving.get(&entry.id) {
            if entry.started_ms <= leaving.started_ms {
                entry.draining = true;
            } else {
                self.leaving.remove(&entry.id);
            }
        }
        match self.servers.get_mut(&entry.id) {
            Some(known) if known.entry.started_ms == entry.started_ms => {
                if known.entry.models != entry.models {
                    known.loading_until = Now::ZERO;
                }
                known.entry = entry;
                known.missing_since = None;
            }
            _ => {
                self.servers.insert(entry.id.clone(), Tracked::new(entry));
            }
        }
    }

    /// Records that the server process started at `started_ms` announced that it is leaving, and
    /// returns whether this is new. The server gets no more requests until it restarts.
    pub fn on_leaving(&mut self, now: Now, id: &str, started_ms: u64) -> bool {
        let known = self.leaving.get(id).copied();
        let newest = self.servers.get(id).map(|server| server.entry.started_ms);
        let newest = newest.max(known.map(|known| known.started_ms));
        if newest.is_some_and(|newest| newest > started_ms) {
            return false;
        }
        self.leaving.insert(id.to_owned(), Leaving { started_ms, announced_at: now });
        if let Some(server) = self.servers.get_mut(id) {
            server.entry.draining = true;
        }
        known.is_none_or(|known| known.started_ms < started_ms)
    }

    /// Records that a server is taken away after `time_left`.
    pub fn on_notice(&mut self, now: Now, id: &str, time_left: Duration) {
        if let Some(known) = self.servers.get_mut(id) {
            let at = now + time_left;
            known.taken_at = Some(known.taken_at.map_or(at, |taken_at| taken_at.min(at)));
        }
    }

    /// Returns when a server is taken away, if it has given notice of that.
    pub fn taken_at(&self, id: &str) -> Option<Now> {
        self.servers.get(id).and_then(|known| known.taken_at)
    }

    /// Removes an entry. If a store call failed recently (`steady` is false), the server stays usable
    /// for a grace period.
    pub fn remove(&mut self, now: Now, id: &str, steady: bool) {
        if steady {
            self.servers.remove(id);
        } else if let Some(known) = self.servers.get_mut(id) {
            known.missing_since.get_or_insert(now);
        }
    }

    /// Removes all servers that are missing from a complete listing.
    pub fn retain(&mut self, now: Now, listed: &[ServerId], steady: bool) {
        let missing: Vec<_> =
            self.servers.keys().filter(|id| !listed.contains(id)).cloned().collect();
        missing.iter().for_each(|id| self.remove(now, id, steady));
    }

    /// Removes servers whose entry has been missing for `MISSING_ENTRY_GRACE` without a failed store
    /// call; `steady_since` is the time of the last one.
    pub fn expire(&mut self, steady_since: Now, now: Now) {
        self.leaving.retain(|_, leaving| now.saturating_sub(leaving.announced_at) < LEAVING_TTL);
        self.servers.retain(|_, known| {
            known
                .missing_since
                .is_none_or(|at| now.saturating_sub(at.max(steady_since)) < MISSING_ENTRY_GRACE)
        });
        let servers = &self.servers;
        self.rate_limits.retain(|id, limit| {
            servers.contains_key(id) || now.saturating_sub(limit.stated_at) < LIMIT_TTL
        });
    }

    /// Returns the entry of a server.
    pub fn get(&self, id: &str) -> Option<&Backend> {
        self.servers.get(id).map(|known| &known.entry)
    }

    /// Returns all entries.
    pub fn all(&self) -> impl Iterator<Item = &Backend> {
        self.servers.values().map(|known| &known.entry)
    }

    /// Ends the backoffs of the servers of a service, which say nothing once its paths were lost.
    pub fn on_paths_regained(&mut self, service: &str) {
        for known in self.servers.values_mut().filter(|known| known.entry.service == service) {
            known.failures = 0;
            known.backoff_until = Now::ZERO;
        }
    }

    /// Returns whether the start of a server at `started_ms` is listed and does not leave.
    pub fn is_taking_requests(&self, id: &str, started_ms: u64) -> bool {
        let entry = self.get(id);
        entry.is_some_and(|entry| entry.started_ms == started_ms && !entry.draining)
    }

    /// Returns whether a server accepts new requests now.
    pub fn usable(&self, now: Now, id: &str) -> bool {
        self.servers.get(id).is_some_and(|known| {
            !known.entry.draining && known.backoff_until.max(known.loading_until) <= now
        })
    }

    /// Returns the request limit of a server; `None` if it has none.
    pub fn limit(&self, id: &str) -> Option<&Limit> {
        let known = self.servers.get(id)?;
        self.rate_limits.limit(id, known.entry.started_ms)
    }

    /// Records when a further request of `class` is expected to get a permit.
    pub fn on_permit_wait(&mut self, now: Now, id: &str, class: PermitClass, wait: Duration) {
        if let Some(known) = self.servers.get_mut(id) {
            known.permits_at.retain(|(of, at)| *of != class && *at > now);
            known.permits_at.push((class, now + wait));
        }
    }

    /// Returns the expected wait of a request of `class` for a permit; zero for a server without a
    /// limit, and while no earlier request had to wait.
    pub fn permit_wait(&self, now: Now, id: &str, class: PermitClass) -> Duration {
        let wait = |known: &Tracked| known.permit_wait(now, class);
        self.limit(id).and_then(|_| self.servers.get(id)).map_or(Duration::ZERO, wait)
    }

    /// Returns whether a server without a limit could take the request now.
    pub fn has_unlimited(&self, now: Now, query: ServerQuery<'_>) -> bool {
        self.servers.values().any(|known| {
            query.matches(&known.entry)
                && known.backoff_until <= now
                && self.limit(&known.entry.id).is_none()
        })
    }

    /// Returns the slots of the usable servers of a service by software version. A version whose
    /// servers are all leaving has none.
    pub fn slots_by_software(&self, service: &str) -> VersionSlots {
        let mut slots = VersionSlots::new();
        for known in self.servers.values().filter(|known| known.entry.service == service) {
            let usable = if known.entry.draining { 0 } else { known.entry.slots };
            *slots.entry(known.entry.software.clone()).or_default() += usable;
        }
        slots
    }

    /// Returns whether a server of the service that is not leaving has this software version.
    pub fn has_software(&self, service: &str, software: &str) -> bool {
        self.servers.values().any(|known| {
            let entry = &known.entry;
            entry.service == service && entry.software == software && !entry.draining
        })
    }

    /// Returns the number of this daemon's requests at a server.
    pub fn inflight(&self, id: &str) -> u32 {
        self.servers.get(id).map_or(0, |known| known.inflight)
    }

    /// Returns the maximum number of concurrent requests for a server: one, as a probe, while it is
    /// faulty.
    pub fn capacity(&self, id: &str) -> u32 {
        self.servers.get(id).map_or(0, |known| match known.is_faulty() {
            true => known.entry.slots.min(1),
            false => known.entry.slots,
        })
    }

    /// Returns when a service was last short of room: when `SHORT_SERVERS` of its servers, or the only one,
    /// had refused requests. One server alone may be full because it is slow.
    pub fn short_of_room_at(&self, service: &str) -> Option<Now> {
        let of_service = self.servers.values().filter(|known| known.entry.service == service);
        let mut refused: Vec<_> = of_service.map(|known| known.refused_at).collect();
        refused.sort_unstable_by(|a, b| b.cmp(a));
        refused.get(SHORT_SERVERS.min(refused.len()).checked_sub(1)?).copied().flatten()
    }

    /// Returns the service time of a server, or its service's mean while none is known.
    pub fn service_time(&self, now: Now, id: &str) -> Option<Duration> {
        let known = self.servers.get(id)?;
        let time = known
            .service_time(now)
            .unwrap_or_else(|| self.mean_service_time(now, &known.entry.service));
        Some(Duration::from_secs_f64(time))
    }

    /// Returns the mean service time of the servers of a service; for a model service, the time of an
    /// event.
    pub fn mean_event_time(&self, now: Now, service: &str) -> Duration {
        Duration::from_secs_f64(self.mean_service_time(now, service))
    }

    /// Returns the mean over the servers of a service with a known service time.
    fn mean_service_time(&self, now: Now, service: &str) -> f64 {
        let of_service = self.servers.values().filter(|known| known.entry.service == service);
        let times: Vec<_> = of_service.filter_map(|known| known.service_time(now)).collect();
        if times.is_empty() {
            return DEFAULT_SERVICE_TIME.as_secs_f64();
        }
        times.iter().sum::<f64>() / times.len() as f64
    }

    /// Returns the server with the shortest expected response time; one that failed recently only
    /// if no other is left. `is_connected` tells whether an idle connection to a server exists.
    pub fn choose(
        &self,
        now: Now,
        query: ServerQuery<'_>,
        is_connected: impl Fn(&Backend) -> bool,
    ) -> Option<&Backend> {
        let matches = |known: &&Tracked| query.matches(&known.entry);
        let mean = self.mean_service_time(now, query.service);
        let cost = |known: &Tracked| {
            let load = f64::from(known.inflight) / f64::from(known.entry.slots.max(1));
            let queued = known.service_time(now).unwrap_or(mean) * (1.0 + load * load);
            let connect = if is_connected(&known.entry) { Duration::ZERO } else { CONNECT_COST };
            let permit = self.permit_wait(now, &known.entry.id, query.class);
            (connect + permit).as_secs_f64()
                + queued
                + query.location.round_trip(&known.entry.zone).as_secs_f64()
        };
        let slots = match query.software {
            SoftwareChoice::New => self.slots_by_software(query.service),
            SoftwareChoice::Any | SoftwareChoice::Only(_) => VersionSlots::new(),
        };
        let most_slots = slots.values().max().copied().unwrap_or_default();
        let is_rare = |known: &Tracked| {
            slots.get(&known.entry.software).is_some_and(|slots| *slots < most_slots)
        };
        let cost = |known: &Tracked| {
            cost(known) + if is_rare(known) { RARE_SOFTWARE_COST.as_secs_f64() } else { 0.0 }
        };
        let backing_off = |known: &Tracked| known.backoff_until > now;
        self.servers
            .values()
            .filter(matches)
            .map(|known| (backing_off(known), cost(known), known))
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(.., known)| &known.entry)
    }

    /// Records the time of a response chunk, such as one event of a stream.
    pub fn observe(&mut self, now: Now, id: &str, took: Duration) {
        if let Some(known) = self.servers.get_mut(id) {
            known.record_service_time(now, took, CHUNK_EWMA_WEIGHT);
        }
    }

    /// Records that a server had not answered a request after `elapsed`, when another one had. It is at
    /// least that slow.
    pub fn on_outrun(&mut self, now: Now, id: &str, elapsed: Duration) {
        let Some(known) = self.servers.get_mut(id) else { return };
        if known.service_time(now).is_none_or(|time| elapsed.as_secs_f64() > time) {
            known.record_service_time(now, elapsed, RESPONSE_EWMA_WEIGHT);
        }
    }

    /// Counts a request that was sent to a server.
    pub fn started(&mut self, id: &str) {
        if let Some(known) = self.servers.get_mut(id) {
            known.inflight += 1;
        }
    }

    /// Records the outcome of a request counted by `started`.
    pub fn ended(&mut self, now: Now, id: &str, outcome: Ended) {
        let Some(known) = self.servers.get_mut(id) else { return };
        known.inflight = known.inflight.saturating_sub(1);
        match outcome {
            Ended::Answered(took) => {
                known.record_service_time(now, took, RESPONSE_EWMA_WEIGHT);
                known.failures = 0;
                known.errors = 0;
                known.backoff_until = Now::ZERO;
            }
            Ended::Refused => {
                known.refused_at = Some(now);
                known.backoff_until = known.backoff_until.max(now + REFUSAL_BACKOFF);
            }
            Ended::Loading => known.loading_until = now + LOADING_BACKOFF,
            Ended::Failed => {
                known.failures += 1;
                known.back_off(now, known.failures);
            }
            Ended::Erred => {
                known.errors += 1;
                if known.is_faulty() {
                    known.back_off(now, known.errors + 1 - FAULTY_ERROR_COUNT);
                }
            }
            Ended::Done => {
                known.failures = 0;
                known.errors = 0;
            }
            Ended::Cancelled => {}
        }
    }
}
