//! Second copies of slow requests: when a request that may be repeated is sent to a second server while
//! the first has not answered, within a limit that the operator sets.
//!
//! It answers a load in which a few servers are slow or silent and the others are not. The delay is the
//! response time that only as many requests of a route exceed as the limit pays for. A fleet of many
//! daemons sends few requests each, so that response times and work are added up over all of them, from
//! rows that each daemon writes with its heartbeats.

use std::{mem, time::Duration};

use buckthornfall_proto::{
    ids::{HostId, ServiceName},
    messages::{CopiesRoute, CopiesRow, CopiesService},
};
use rustc_hash::FxHashMap;

use crate::Now;

/// Maximum limit, in percent of the requests.
pub const MAX_PERCENT: u32 = 20;
/// Number of parts of a sliding window.
const SLICES: usize = 4;
/// Length of a part of the window in which work is counted. Work that was not used up in the window
/// cannot be saved up for later.
const WORK_SLICE: Duration = Duration::from_secs(5);
/// Mean time in which slow requests are counted: a part of the window and half of the next.
const SLOW_TIME: Duration = Duration::from_millis(7_500);
/// Age up to which others do not know of a copy: the interval of heartbeats in a large fleet, and the time
/// until the row is read.
const ROW_AGE: Duration = Duration::from_secs(2);
/// Share of the limit that is kept for copies that several daemons send at the same time.
const RESERVE: f64 = 0.1;
/// Length of a part of the window of response times.
const TIMES_SLICE: Duration = Duration::from_secs(15);
/// Number of response times from which a delay is computed: two beyond the 95th percentile.
const MIN_OBSERVATIONS: u32 = 40;
/// Time after refusals for which a service counts as short of room.
const FULL_TIME: Duration = Duration::from_secs(2);
/// Time that a copy must have until it is due, as a multiple of the usual response time.
const TIME_LEFT_FACTOR: u32 = 2;
/// Upper bound of the first step of response times.
const FIRST_STEP: Duration = Duration::from_millis(4);
/// Ratio of two steps.
const STEP_RATIO: f64 = 1.25;
/// Number of steps; the last one has no upper bound and begins at about 3 s.
const STEPS: usize = 32;
/// Minimum interval between two rows, unless others have to know of a copy or of a refusal at once.
const MIN_ROW_INTERVAL: Duration = Duration::from_secs(3);
/// Age at which the row of another daemon expires: the length of the window of work.
const ROW_TTL: Duration = Duration::from_secs(20);
/// Interval at which a row is written although it has not changed, so that it does not expire.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Name of a route.
pub type RouteName = String;

/// When a request counts as slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delay {
    /// Time after which a second copy is sent; at least `usual`.
    pub delay: Duration,
    /// Median response time.
    pub usual: Duration,
}

/// A slow request.
#[derive(Debug, Clone, Copy)]
pub struct SlowRequest<'a> {
    /// Service of the server that has not answered.
    pub service: &'a str,
    /// Number of further servers that may run the request.
    pub runs_left: u32,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Median response time of the route.
    pub usual: Duration,
    /// Whether a server crashed while it ran the request.
    pub is_suspect: bool,
}

/// Why a slow request gets no second copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoCopy {
    /// No further server may run it.
    NoRuns,
    /// It may have crashed a server.
    Suspect,
    /// The caller's time is nearly up.
    NoTime,
    /// The service is short of room.
    NoRoom,
    /// The limit is reached.
    Limit,
    /// No other server can take it.
    NoServer,
}

impl NoCopy {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            NoCopy::NoRuns => "no_runs",
            NoCopy::Suspect => "suspect",
            NoCopy::NoTime => "no_time",
            NoCopy::NoRoom => "no_room",
            NoCopy::Limit => "limit",
            NoCopy::NoServer => "no_server",
        }
    }
}

/// Values of the parts of a sliding window.
#[derive(Debug, Clone, Default)]
struct Sliced<T> {
    slices: [T; SLICES],
    /// Number of the newest part since the start of the process.
    newest: u128,
}

impl<T: Default> Sliced<T> {
    /// Returns the part of `now`, after the parts that have left the window were emptied.
    fn newest(&mut self, now: Now, length: Duration) -> &mut T {
        let index = now.as_nanos() / length.as_nanos();
        let slot = |index: u128| (index % SLICES as u128) as usize;
        let first = (self.newest + 1).max((index + 1).saturating_sub(SLICES as u128));
        (first..=index).for_each(|index| self.slices[slot(index)] = T::default());
        self.newest = self.newest.max(index);
        &mut self.slices[slot(self.newest)]
    }

    fn last_two(&mut self, now: Now, length: Duration) -> [&T; 2] {
        self.newest(now, length);
        let slice = |index: u128| &self.slices[(index % SLICES as u128) as usize];
        [slice(self.newest), slice(self.newest + SLICES as u128 - 1)]
    }

    fn all(&mut self, now: Now, length: Duration) -> &[T; SLICES] {
        self.newest(now, length);
        &self.slices
    }
}

/// Numbers of requests to a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Work {
    /// Requests of callers.
    sent: u32,
    /// Further runs of them.
    extra: u32,
    /// Slow requests that could have a second copy.
    slow: u32,
}

impl Work {
    fn plus(self, other: Work) -> Work {
        Work {
            sent: self.sent.saturating_add(other.sent),
            extra: self.extra.saturating_add(other.extra),
            slow: self.slow.saturating_add(other.slow),
        }
    }

    fn minus(self, other: Work) -> Work {
        Work {
            sent: self.sent.saturating_sub(other.sent),
            extra: self.extra.saturating_sub(other.extra),
            slow: self.slow.saturating_sub(other.slow),
        }
    }
}

/// Work of this daemon.
#[derive(Debug, Default)]
struct OwnWork {
    recent: Sliced<Work>,
    /// Copies that the others do not know of.
    untold: u32,
    /// When the service was last short of room.
    short_at: Option<Now>,
}

impl OwnWork {
    /// Returns the work of the whole window, and the slow requests of its last two parts.
    fn recent(&mut self, now: Now) -> Work {
        let slow = self.recent.last_two(now, WORK_SLICE).map(|slice| slice.slow);
        let all =
            self.recent.all(now, WORK_SLICE).iter().copied().fold(Work::default(), Work::plus);
        Work { slow: slow[0].saturating_add(slow[1]), ..all }
    }

    fn is_full(&self, now: Now) -> bool {
        self.short_at.is_some_and(|at| now.saturating_sub(at) < FULL_TIME)
    }
}

/// Work of the other daemons, as the sum of their rows.
#[derive(Debug, Default)]
struct PeerWork {
    recent: Work,
    full_until: Now,
}

/// Numbers of requests by response time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Times([u32; STEPS]);

impl Times {
    fn count(&self) -> u32 {
        self.0.iter().fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Returns a response time that at most the share `1 - share` of the requests exceeds.
    fn quantile(&self, share: f64) -> Duration {
        let rank = (f64::from(self.count()) * share).ceil();
        let mut below = 0_u32;
        let step = self.0.iter().position(|count| {
            below = below.saturating_add(*count);
            f64::from(below) >= rank
        });
        step_bound(step.unwrap_or(STEPS - 1))
    }

    fn add(&mut self, counts: &[u32]) {
        self.0.iter_mut().zip(counts).for_each(|(sum, count)| *sum = sum.saturating_add(*count));
    }

    fn remove(&mut self, counts: &[u32]) {
        self.0.iter_mut().zip(counts).for_each(|(sum, count)| *sum = sum.saturating_sub(*count));
    }
}

fn step_bound(step: usize) -> Duration {
    FIRST_STEP.mul_f64(STEP_RATIO.powi(step as i32))
}

fn step_of(took: Duration) -> usize {
    (0..STEPS - 1).find(|step| took <= step_bound(*step)).unwrap_or(STEPS - 1)
}

#[derive(Debug)]
struct PeerRow {
    row: CopiesRow,
    /// Time of its counts.
    at: Now,
}

/// Decides on the second copies of one daemon.
#[derive(Debug, Default)]
pub struct SecondCopies {
    /// Limit as a share of the requests, from 0 to 0.2; no copies are sent if it is 0.
    limit: f64,
    services: FxHashMap<ServiceName, OwnWork>,
    routes: FxHashMap<RouteName, Sliced<Times>>,
    peers: FxHashMap<HostId, PeerRow>,
    peer_work: FxHashMap<ServiceName, PeerWork>,
    peer_times: FxHashMap<RouteName, Times>,
    /// The row that others have last seen.
    told: Option<(CopiesRow, Now)>,
}

impl SecondCopies {
    /// Creates the state for a limit of `percent` further runs per 100 requests, at most `MAX_PERCENT`.
    pub fn new(percent: u32) -> SecondCopies {
        let limit = f64::from(percent.min(MAX_PERCENT)) / 100.0;
        SecondCopies { limit, ..SecondCopies::default() }
    }

    /// Returns whether copies may be sent at all.
    pub fn is_on(&self) -> bool {
        self.limit > 0.0
    }

    /// Counts a request of a caller that is sent to a server.
    pub fn on_sent(&mut self, now: Now, service: &str) {
        self.service(service).recent.newest(now, WORK_SLICE).sent += 1;
    }

    /// Counts a further run after a failure. It uses up the same limit.
    pub fn on_repeated(&mut self, now: Now, service: &str) {
        self.service(service).recent.newest(now, WORK_SLICE).extra += 1;
    }

    /// Counts a second copy.
    pub fn on_copied(&mut self, now: Now, service: &str) {
        let own = self.service(service);
        own.recent.newest(now, WORK_SLICE).extra += 1;
        own.untold += 1;
    }

    /// Records that the service was short of room at `at`: several of its servers refused requests.
    pub fn on_short_of_room(&mut self, at: Now, service: &str) {
        let own = self.service(service);
        own.short_at = own.short_at.max(Some(at));
    }

    /// Records the response time of a server, or the time after which it had not answered when the request
    /// was cancelled in favour of another one.
    pub fn on_time(&mut self, now: Now, route: &str, took: Duration) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), Sliced::default());
        }
        if let Some(times) = self.routes.get_mut(route) {
            times.newest(now, TIMES_SLICE).0[step_of(took)] += 1;
        }
    }

    /// Returns when a request counts as slow; `None` until enough response times are known. A copy comes
    /// before its answer would miss the route's latency objective, also if more requests are slow by then
    /// than the limit pays for.
    pub fn delay(&mut self, now: Now, route: &str, objective: Option<Duration>) -> Option<Delay> {
        if !self.is_on() {
            return None;
        }
        let mut times = self.peer_times.get(route).cloned().unwrap_or_default();
        if let Some(own) = self.routes.get_mut(route) {
            own.all(now, TIMES_SLICE).iter().for_each(|slice| times.add(&slice.0));
        }
        if times.count() < MIN_OBSERVATIONS {
            return None;
        }
        let usual = times.quantile(0.5);
        let last_useful =
            objective.map(|objective| objective.saturating_sub(usual * TIME_LEFT_FACTOR));
        let delay = times.quantile(1.0 - self.limit).min(last_useful.unwrap_or(Duration::MAX));
        Some(Delay { delay: delay.max(usual), usual })
    }

    /// Decides whether a slow request may be sent to a second server. `draw` is a random number from 0 to 1.
    pub fn decide(&mut self, now: Now, req: SlowRequest<'_>, draw: f64) -> Result<(), NoCopy> {
        self.forget(now);
        if req.runs_left == 0 {
            Err(NoCopy::NoRuns)
        } else if req.is_suspect {
            Err(NoCopy::Suspect)
        } else if req.time_left < req.usual * TIME_LEFT_FACTOR {
            Err(NoCopy::NoTime)
        } else if self.is_full(now, req.service) {
            Err(NoCopy::NoRoom)
        } else if !self.is_within_limit(now, req.service, draw) {
            Err(NoCopy::Limit)
        } else {
            Ok(())
        }
    }

    fn is_full(&self, now: Now, service: &str) -> bool {
        let own = self.services.get(service);
        let peers = self.peer_work.get(service);
        own.is_some_and(|own| own.is_full(now)) || peers.is_some_and(|peers| now < peers.full_until)
    }

    /// Returns whether one more run stays within the limit. What the others do at the same time is not
    /// known, so that a daemon beyond its own share sends one copy between two rows, and of the slow
    /// requests of all daemons in that time only as many are copied as the limit has room for.
    fn is_within_limit(&mut self, now: Now, service: &str, draw: f64) -> bool {
        let limit = self.limit * (1.0 - RESERVE);
        let room = |work: Work| limit * f64::from(work.sent) - f64::from(work.extra);
        let others = self.peer_work.get(service).map(|peers| peers.recent).unwrap_or_default();
        let own = self.service(service);
        own.recent.newest(now, WORK_SLICE).slow += 1;
        let recent = own.recent(now);
        let all_room = room(recent.plus(others));
        let rivals = f64::from(others.slow) * ROW_AGE.as_secs_f64() / SLOW_TIME.as_secs_f64();
        all_room >= 1.0
            && draw * (1.0 + rivals) < all_room
            && (own.untold == 0 || room(recent) >= 1.0)
    }

    fn service(&mut self, service: &str) -> &mut OwnWork {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), OwnWork::default());
        }
        self.services.get_mut(service).expect("the entry exists")
    }

    /// Returns the row to write for the other daemons, which states `at_ms` as the time of its counts;
    /// `None` if they know enough.
    pub fn row(&mut self, now: Now, at_ms: u64) -> Option<CopiesRow> {
        if !self.is_on() {
            return None;
        }
        self.forget(now);
        let row =
            CopiesRow { at_ms, services: self.own_services(now), routes: self.own_routes(now) };
        let is_empty = row.services.is_empty() && row.routes.is_empty();
        let is_full = row.services.iter().any(|service| service.full);
        let is_urgent = self.services.values().any(|own| own.untold > 0);
        let Some((told, told_at)) = &self.told else { return (!is_empty).then_some(row) };
        let since = now.saturating_sub(*told_at);
        let differs = told.services != row.services || told.routes != row.routes;
        let was_full = told.services.iter().any(|service| service.full);
        let is_due = (differs && since >= MIN_ROW_INTERVAL)
            || (is_full && (!was_full || since >= FULL_TIME / 2))
            || (!is_empty && since >= REFRESH_INTERVAL);
        (is_urgent || is_due).then_some(row)
    }

    fn own_services(&mut self, now: Now) -> Vec<CopiesService> {
        let services = self.services.iter_mut().map(|(name, own)| {
            let Work { sent, extra, slow } = own.recent(now);
            CopiesService { name: name.clone(), sent, extra, slow, full: own.is_full(now) }
        });
        let mut services: Vec<_> = services.collect();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        services
    }

    fn own_routes(&mut self, now: Now) -> Vec<CopiesRoute> {
        let routes = self.routes.iter_mut().map(|(name, times)| {
            let mut sum = Times::default();
            times.all(now, TIMES_SLICE).iter().for_each(|slice| sum.add(&slice.0));
            let len = sum.0.iter().rposition(|count| *count > 0).map_or(0, |last| last + 1);
            CopiesRoute { name: name.clone(), times: sum.0[..len].to_vec() }
        });
        let mut routes: Vec<_> = routes.collect();
        routes.sort_by(|a, b| a.name.cmp(&b.name));
        routes
    }

    /// Records that the row was written.
    pub fn on_row_written(&mut self, now: Now, row: CopiesRow) {
        for service in &row.services {
            let own = self.service(&service.name);
            if own.recent(now).extra <= service.extra {
                own.untold = 0;
            }
        }
        self.told = Some((row, now));
    }

    /// Applies the row of another daemon, with counts of the time `at`.
    pub fn on_row(&mut self, now: Now, host: &str, at: Now, row: CopiesRow) {
        if !self.is_on() {
            return;
        }
        if let Some(known) = self.peers.remove(host) {
            self.subtract(&known.row);
        }
        if now.saturating_sub(at) >= ROW_TTL {
            return;
        }
        for service in &row.services {
            let work = self.peer_work.entry(service.name.clone()).or_default();
            work.recent = work.recent.plus(Work {
                sent: service.sent,
                extra: service.extra,
                slow: service.slow,
            });
            if service.full {
                work.full_until = work.full_until.max(at + FULL_TIME);
            }
        }
        for route in &row.routes {
            self.peer_times.entry(route.name.clone()).or_default().add(&route.times);
        }
        self.peers.insert(host.to_owned(), PeerRow { row, at });
    }

    fn subtract(&mut self, row: &CopiesRow) {
        for service in &row.services {
            if let Some(work) = self.peer_work.get_mut(&service.name) {
                let gone = Work { sent: service.sent, extra: service.extra, slow: service.slow };
                work.recent = work.recent.minus(gone);
            }
        }
        for route in &row.routes {
            if let Some(times) = self.peer_times.get_mut(&route.name) {
                times.remove(&route.times);
            }
        }
    }

    /// Forgets expired rows, and what has left all windows.
    fn forget(&mut self, now: Now) {
        let is_expired = |peer: &PeerRow| now.saturating_sub(peer.at) >= ROW_TTL;
        let (expired, kept) =
            mem::take(&mut self.peers).into_iter().partition(|(_, peer)| is_expired(peer));
        self.peers = kept;
        let expired: FxHashMap<HostId, PeerRow> = expired;
        expired.values().for_each(|peer| self.subtract(&peer.row));
        self.peer_work.retain(|_, work| work.recent != Work::default() || now < work.full_until);
        self.peer_times.retain(|_, times| times.count() > 0);
        self.services.retain(|_, own| {
            own.untold > 0 || own.is_full(now) || own.recent(now) != Work::default()
        });
        self.routes
            .retain(|_, times| times.all(now, TIMES_SLICE).iter().any(|slice| slice.count() > 0));
    }
}
