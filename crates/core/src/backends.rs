//! Backend servers as their entries in the store and their own answers show them.
//!
//! An entry names a server; what it answers says whether and how fast it serves. The choice of a
//! server weighs both, and leaves out servers that failed a short while ago while others are left.

use std::{net::SocketAddr, time::Duration};

use buckthornfall_proto::ids::{ServerId, ServiceName, WeightVersion};
use rustc_hash::FxHashMap;

use crate::Now;

/// A model that a server holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldModel {
    /// Name of the model.
    pub name: String,
    /// Version of its weights.
    pub version: WeightVersion,
}

/// A server's entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// Id of the server.
    pub id: ServerId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// When this start of the server began, in Unix milliseconds; 0 if it doesn't say.
    pub started_ms: u64,
    /// Models that it holds.
    pub models: Vec<HeldModel>,
}

impl Backend {
    /// Version of the weights of `model`.
    pub fn version(&self, model: &str) -> Option<WeightVersion> {
        self.models.iter().find(|held| held.name == model).map(|held| held.version)
    }
}

/// How a request ended at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The server answered; how long it took, without the network's share.
    Answered(Duration),
    /// The server answered; `observe` has learned from it.
    Done,
    /// The server ran the request and answered with a failure of its own.
    Erred,
    /// The server refused the request and did not run it.
    Refused,
    /// The server refused the request because it loads other weights.
    Loading,
    /// No usable answer came.
    Failed,
    /// The request was given up for a reason that is not the server's.
    Cancelled,
}

/// First pause after a failure; doubles with each further one.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause of a server that keeps failing.
const FAILURE_PAUSE_MAX: Duration = Duration::from_secs(4);
/// Failures of its own, without a success in between, from which a server counts as faulty: single
/// requests fail at every server.
const FAULTY_ERRORS: u32 = 2;
/// Pause after a refusal: about the time in which a slot becomes free or a load goes on.
const REFUSAL_PAUSE: Duration = Duration::from_millis(120);
/// Longest pause of a server that loads weights; its entry shows the end of the load.
const LOAD_PAUSE: Duration = Duration::from_millis(1_000);
/// Service time that is assumed until a server has answered.
const ASSUMED_TIME: Duration = Duration::from_millis(30);
/// Cost of a server to which no connection is open, as time to an answer: opening one takes the
/// server's time from all callers, and a lookup has four times its usual time to spare.
const NEW_CONNECTION: Duration = Duration::from_millis(20);
/// Age after which a learned service time no longer counts.
const LEARNED_KEPT: Duration = Duration::from_secs(6);
/// Share of one answer in the learned service time.
const LEARNING_RATE: f64 = 0.25;
/// Share of one part of an answer in the learned service time; a server sends hundreds a second.
const PART_RATE: f64 = 0.04;
/// Time without an entry after which a server is forgotten once the store is steady again.
pub const LAPSED_KEPT: Duration = Duration::from_millis(2_000);

#[derive(Debug, Clone)]
struct Tracked {
    entry: Backend,
    inflight: u32,
    /// Failures without an answer in between.
    failures: u32,
    /// Failures of its own that it answered with, without a success in between.
    errors: u32,
    paused_until: Now,
    /// Until when it is taken to load weights.
    loading_until: Now,
    /// Learned service time in seconds, with the time of the last sample.
    learned: Option<(f64, Now)>,
    /// When the entry vanished while the store was not steady.
    lapsed: Option<Now>,
}

impl Tracked {
    fn new(entry: Backend) -> Tracked {
        Tracked {
            entry,
            inflight: 0,
            failures: 0,
            errors: 0,
            paused_until: Now::ZERO,
            loading_until: Now::ZERO,
            learned: None,
            lapsed: None,
        }
    }

    fn is_faulty(&self) -> bool {
        self.errors >= FAULTY_ERRORS
    }

    /// Pauses the server after its `count`th failure in a row.
    fn pause(&mut self, now: Now, count: u32) {
        let pause = FAILURE_PAUSE * 2u32.pow(count.saturating_sub(1).min(4));
        self.paused_until = now + pause.min(FAILURE_PAUSE_MAX);
    }

    fn learn(&mut self, now: Now, took: Duration, rate: f64) {
        let took = took.as_secs_f64();
        let last = self.learned(now).unwrap_or(took);
        self.learned = Some((last + rate * (took - last), now));
    }

    /// Learned service time in seconds, unless it is too old.
    fn learned(&self, now: Now) -> Option<f64> {
        let (time, at) = self.learned?;
        (now.saturating_sub(at) < LEARNED_KEPT).then_some(time)
    }
}

/// A server whose own answers said that it leaves.
#[derive(Debug, Clone, Copy)]
struct Leaving {
    /// The start of the server that said so.
    started_ms: u64,
    /// When that was last heard.
    heard: Now,
}

/// How long after the last such answer it is remembered that a server leaves: far longer than a
/// server serves after it or its entry can be read again.
const LEAVING_KEPT: Duration = Duration::from_secs(3_600);

/// All backend servers known to a daemon.
#[derive(Debug, Clone, Default)]
pub struct Backends {
    servers: FxHashMap<ServerId, Tracked>,
    /// Outlives the entries, as an older entry may be read again.
    leaving: FxHashMap<ServerId, Leaving>,
}

/// Where a daemon stands among the availability zones.
#[derive(Debug, Clone, Default)]
pub struct Location {
    /// Its availability zone.
    pub zone: String,
    /// Region of each availability zone.
    pub regions: FxHashMap<String, String>,
}

/// Round trips within a zone, between zones of a region and between regions, as both users' sheets
/// state them.
const ROUND_TRIPS: [Duration; 3] =
    [Duration::from_micros(400), Duration::from_micros(2_800), Duration::from_millis(24)];

impl Location {
    /// Number of boundaries between here and `zone`: 0 within a zone, 1 within a region, else 2.
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

    /// Expected round trip to `zone`.
    pub fn round_trip(&self, zone: &str) -> Duration {
        ROUND_TRIPS[self.distance(zone)]
    }
}

/// What a choice of a server asks for.
#[derive(Debug, Clone, Copy)]
pub struct Want<'a> {
    /// The service.
    pub service: &'a str,
    /// Where the daemon stands.
    pub location: &'a Location,
    /// Servers that were tried already.
    pub tried: &'a [ServerId],
}

impl Backends {
    /// Adds or replaces an entry. A new start of a server forgets what was learned of the last one.
    /// An entry of a start that leaves counts as draining, whatever it says.
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
                known.lapsed = None;
            }
            _ => {
                self.servers.insert(entry.id.clone(), Tracked::new(entry));
            }
        }
    }

    /// Takes an answer of a server, sent by the start that began at `started_ms`, that says that it
    /// leaves; whether that is news. From now on the server gets nothing until it starts anew.
    pub fn on_leaving(&mut self, now: Now, id: &str, started_ms: u64) -> bool {
        let known = self.leaving.get(id).copied();
        let newest = self.servers.get(id).map(|server| server.entry.started_ms);
        let newest = newest.max(known.map(|known| known.started_ms));
        if newest.is_some_and(|newest| newest > started_ms) {
            return false;
        }
        self.leaving.insert(id.to_owned(), Leaving { started_ms, heard: now });
        if let Some(server) = self.servers.get_mut(id) {
            server.entry.draining = true;
        }
        known.is_none_or(|known| known.started_ms < started_ms)
    }

    /// Removes an entry; while the store is not `steady` the server stays usable for a while.
    pub fn remove(&mut self, now: Now, id: &str, steady: bool) {
        if steady {
            self.servers.remove(id);
        } else if let Some(known) = self.servers.get_mut(id) {
            known.lapsed.get_or_insert(now);
        }
    }

    /// Keeps just the servers of a whole listing.
    pub fn retain(&mut self, now: Now, listed: &[ServerId], steady: bool) {
        let gone: Vec<_> = self.servers.keys().filter(|id| !listed.contains(id)).cloned().collect();
        gone.iter().for_each(|id| self.remove(now, id, steady));
    }

    /// Forgets servers whose entry has been away for `LAPSED_KEPT` of a steady store.
    pub fn expire(&mut self, steady_since: Now, now: Now) {
        self.leaving.retain(|_, leaving| now.saturating_sub(leaving.heard) < LEAVING_KEPT);
        self.servers.retain(|_, known| {
            known.lapsed.is_none_or(|at| now.saturating_sub(at.max(steady_since)) < LAPSED_KEPT)
        });
    }

    /// The entry of a server.
    pub fn get(&self, id: &str) -> Option<&Backend> {
        self.servers.get(id).map(|known| &known.entry)
    }

    /// All entries.
    pub fn all(&self) -> impl Iterator<Item = &Backend> {
        self.servers.values().map(|known| &known.entry)
    }

    /// Whether a server takes new requests now.
    pub fn usable(&self, now: Now, id: &str) -> bool {
        self.servers.get(id).is_some_and(|known| {
            !known.entry.draining && known.paused_until.max(known.loading_until) <= now
        })
    }

    /// Requests of this daemon at a server.
    pub fn inflight(&self, id: &str) -> u32 {
        self.servers.get(id).map_or(0, |known| known.inflight)
    }

    /// Requests that a server may be given at once: one, as a trial, while it counts as faulty.
    pub fn capacity(&self, id: &str) -> u32 {
        self.servers.get(id).map_or(0, |known| match known.is_faulty() {
            true => known.entry.slots.min(1),
            false => known.entry.slots,
        })
    }

    /// Learned service time of a server, or the mean of its service while it has none.
    pub fn service_time(&self, now: Now, id: &str) -> Option<Duration> {
        let known = self.servers.get(id)?;
        let time = known.learned(now).unwrap_or_else(|| self.mean(now, &known.entry.service));
        Some(Duration::from_secs_f64(time))
    }

    /// Mean service time of the servers of a service that have a learned one.
    fn mean(&self, now: Now, service: &str) -> f64 {
        let of_service = self.servers.values().filter(|known| known.entry.service == service);
        let learned: Vec<_> = of_service.filter_map(|known| known.learned(now)).collect();
        if learned.is_empty() {
            return ASSUMED_TIME.as_secs_f64();
        }
        learned.iter().sum::<f64>() / learned.len() as f64
    }

    /// The server with the least expected time to an answer; one that failed lately only if no
    /// other is left. `is_connected` says whether a connection to a server is idle.
    pub fn choose(
        &self,
        now: Now,
        want: Want<'_>,
        is_connected: impl Fn(&Backend) -> bool,
    ) -> Option<&Backend> {
        let fits = |known: &&Tracked| {
            known.entry.service == want.service
                && !known.entry.draining
                && !want.tried.contains(&known.entry.id)
        };
        let mean = self.mean(now, want.service);
        let cost = |known: &Tracked| {
            let load = f64::from(known.inflight) / f64::from(known.entry.slots.max(1));
            let queued = known.learned(now).unwrap_or(mean) * (1.0 + load * load);
            let connect = if is_connected(&known.entry) { Duration::ZERO } else { NEW_CONNECTION };
            connect.as_secs_f64()
                + queued
                + want.location.round_trip(&known.entry.zone).as_secs_f64()
        };
        let paused = |known: &Tracked| known.paused_until > now;
        self.servers
            .values()
            .filter(fits)
            .map(|known| (paused(known), cost(known), known))
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(.., known)| &known.entry)
    }

    /// Learns from a part of an answer that took `took`, such as one event of a stream.
    pub fn observe(&mut self, now: Now, id: &str, took: Duration) {
        if let Some(known) = self.servers.get_mut(id) {
            known.learn(now, took, PART_RATE);
        }
    }

    /// Counts a request that was sent to a server.
    pub fn started(&mut self, id: &str) {
        if let Some(known) = self.servers.get_mut(id) {
            known.inflight += 1;
        }
    }

    /// Learns from the end of a request that `started` counted.
    pub fn ended(&mut self, now: Now, id: &str, how: Ended) {
        let Some(known) = self.servers.get_mut(id) else { return };
        known.inflight = known.inflight.saturating_sub(1);
        match how {
            Ended::Answered(took) => {
                known.learn(now, took, LEARNING_RATE);
                known.failures = 0;
                known.errors = 0;
                known.paused_until = Now::ZERO;
            }
            Ended::Refused => known.paused_until = known.paused_until.max(now + REFUSAL_PAUSE),
            Ended::Loading => known.loading_until = now + LOAD_PAUSE,
            Ended::Failed => {
                known.failures += 1;
                known.pause(now, known.failures);
            }
            Ended::Erred => {
                known.errors += 1;
                if known.is_faulty() {
                    known.pause(now, known.errors + 1 - FAULTY_ERRORS);
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
