//! Liveness of the daemons of a deployment, from their heartbeat rows in the store.
//!
//! Each daemon rewrites its row with every heartbeat. A daemon counts as live while its row keeps
//! changing on the observer's own clock; time in which the observer itself had no contact with the
//! store, or in which the store did not take its own heartbeats, is not counted. The jobs that a daemon owns in the store can only be run by a daemon that
//! reaches the store, so the same test decides on takeovers.

use std::time::Duration;

use buckthornfall_proto::{
    digest::{fingerprint, rendezvous_rank},
    ids::{HostId, ServiceName},
    messages::{MemberRow, MemberState, ReachRow, SeenRow, ViewLeaseRow},
};
use rustc_hash::FxHashMap;

use crate::{backends::Location, store::RowVersion, Now};

/// Total rate of heartbeats of the daemons that own no jobs, which keeps their rows within 12 KB/s
/// for each reader.
const IDLE_HEARTBEATS_PER_SECOND: u32 = 50;
/// Minimum heartbeat interval of a daemon that owns no jobs.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(800);
/// Heartbeat interval of a daemon that owns jobs. Its jobs stall until its crash is detected, and a
/// step that loses more than a second is late.
const OWNER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Missed heartbeats after which a daemon counts as dead.
const MAX_MISSED_HEARTBEATS: u32 = 3;

#[derive(Debug, Clone)]
struct ObservedMember {
    row: MemberRow,
    /// Time at which the row last changed, moved forward by each gap in this daemon's contact with
    /// the store.
    changed_at: Now,
}

/// All known daemons.
#[derive(Debug)]
pub struct Members {
    own_host: HostId,
    observed: FxHashMap<HostId, ObservedMember>,
    /// How far each daemon says that it has followed the shared rows.
    seen: FxHashMap<HostId, SeenRow>,
    /// Starts of the daemons whose views expire with their heartbeats, as they say.
    view_leases: FxHashMap<HostId, u64>,
    /// Services that the daemons say they have lost, as read from the store.
    reach: FxHashMap<HostId, ReachRow>,
    /// Services that this daemon has lost; newer than its row.
    own_lost: Vec<ServiceName>,
    last_contact: Now,
    /// Time at which this daemon sent the first of its heartbeats that are not stored yet.
    waiting_since: Option<Now>,
    /// Number of the last heartbeat that this daemon sent.
    sent_beat: u64,
}

/// Time that the store takes for a heartbeat above which others may be silent for the same reason: it
/// stores the heartbeats of all daemons one by one.
const MAX_HEARTBEAT_WAIT: Duration = Duration::from_millis(300);

/// Additional silence after which the view of a daemon counts as expired with its heartbeats, for the drift of
/// clocks.
const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// Returns how long after it sent a stored heartbeat a daemon may act by its view of the shared rows without the
/// store. `interval` is what the heartbeat states.
pub fn view_lease(interval: Duration) -> Duration {
    interval * MAX_MISSED_HEARTBEATS
}

/// Time between two replies of the store above which this daemon counts as having lost contact.
const MAX_CONTACT_GAP: Duration = Duration::from_millis(600);

impl Members {
    /// Creates an empty view.
    pub fn new(own_host: HostId) -> Members {
        Members {
            own_host,
            observed: FxHashMap::default(),
            seen: FxHashMap::default(),
            view_leases: FxHashMap::default(),
            reach: FxHashMap::default(),
            own_lost: Vec::new(),
            last_contact: Now::ZERO,
            waiting_since: None,
            sent_beat: 0,
        }
    }

    /// Returns the heartbeat interval of this daemon.
    pub fn heartbeat_interval(&self, owns_jobs: bool) -> Duration {
        if owns_jobs {
            return OWNER_HEARTBEAT_INTERVAL;
        }
        let daemons = u32::try_from(self.observed.len()).unwrap_or(u32::MAX);
        MIN_HEARTBEAT_INTERVAL.max(Duration::from_secs(1) * daemons / IDLE_HEARTBEATS_PER_SECOND)
    }

    /// Records a reply of the store.
    pub fn on_contact(&mut self, now: Now) {
        let gap = now.saturating_sub(self.last_contact);
        if gap > MAX_CONTACT_GAP {
            self.excuse_silence(now, gap);
        }
        self.last_contact = now;
    }

    /// Records that this daemon sends the heartbeat `beat` to the store.
    pub fn on_heartbeat_sent(&mut self, now: Now, beat: u64) {
        self.sent_beat = beat;
        self.waiting_since.get_or_insert(now);
    }

    /// Records that a heartbeat of this daemon is stored. The silence of others while the store took none
    /// of this daemon does not count.
    pub fn on_heartbeat_stored(&mut self, now: Now) {
        let Some(since) = self.waiting_since.take() else { return };
        let wait = now.saturating_sub(since);
        if wait > MAX_HEARTBEAT_WAIT {
            self.excuse_silence(now, wait);
        }
    }

    fn excuse_silence(&mut self, now: Now, gap: Duration) {
        self.observed
            .values_mut()
            .for_each(|observed| observed.changed_at = (observed.changed_at + gap).min(now));
    }

    /// Returns how long a daemon has been silent, without the time in which this daemon could not know.
    fn silence(&self, now: Now, observed: &ObservedMember) -> Duration {
        let excused_from = self.waiting_since.map_or(now, |since| since + MAX_HEARTBEAT_WAIT);
        now.min(self.last_contact).min(excused_from).saturating_sub(observed.changed_at)
    }

    /// Updates a daemon's row; a row that is not newer is ignored.
    pub fn on_row(&mut self, now: Now, host: &str, row: MemberRow) {
        let is_stale = self.observed.get(host).is_some_and(|observed| {
            (row.incarnation, row.beat) <= (observed.row.incarnation, observed.row.beat)
        });
        if !is_stale {
            // An older heartbeat may be stored long after it was sent.
            if host == self.own_host && row.beat >= self.sent_beat {
                self.on_heartbeat_stored(now);
            }
            self.observed.insert(host.to_owned(), ObservedMember { row, changed_at: now });
        }
    }

    /// Updates how far a daemon has followed the shared rows.
    pub fn on_seen(&mut self, host: &str, row: SeenRow) {
        self.seen.insert(host.to_owned(), row);
    }

    /// Records that the view of a daemon expires with its heartbeats.
    pub fn on_view_lease(&mut self, host: &str, row: &ViewLeaseRow) {
        self.view_leases.insert(host.to_owned(), row.incarnation);
    }

    /// Updates the services that a daemon says it has lost; `None` if its row was removed.
    pub fn on_reach(&mut self, host: &str, row: Option<ReachRow>) {
        match row {
            Some(row) => drop(self.reach.insert(host.to_owned(), row)),
            None => drop(self.reach.remove(host)),
        }
    }

    /// Sets the services that this daemon has lost.
    pub fn set_own_lost(&mut self, lost: Vec<ServiceName>) {
        self.own_lost = lost;
    }

    /// Returns the row of this daemon's lost services, as read from the store.
    pub fn own_reach_row(&self) -> Option<&ReachRow> {
        self.reach.get(&self.own_host)
    }

    /// Returns the name of this daemon's host.
    pub fn own_host(&self) -> &HostId {
        &self.own_host
    }

    /// Returns whether a daemon says that it reaches no server of a service. A daemon without requests to
    /// the service does not know.
    pub fn has_lost(&self, host: &str, service: &str) -> bool {
        self.lost(host).iter().any(|lost| lost == service)
    }

    fn lost(&self, host: &str) -> &[ServiceName] {
        if host == self.own_host {
            return &self.own_lost;
        }
        // A daemon that has started again since does not know of the loss.
        let started = self.observed.get(host).map_or(0, |observed| observed.row.incarnation);
        let row = self.reach.get(host).filter(|row| row.incarnation >= started);
        row.map_or(&[], |row| &row.lost)
    }

    /// Returns whether a daemon has lost a service that another one has not. A service that is down for
    /// all cuts off none.
    pub fn is_cut_off(&self, now: Now, host: &str) -> bool {
        self.lost(host).iter().any(|service| {
            self.serving(now).any(|(other, _)| *other != host && !self.has_lost(other, service))
        })
    }

    /// Returns the daemons that serve and are not cut off from servers, or all that serve if each is.
    fn connected(&self, now: Now) -> Vec<(&HostId, &MemberRow)> {
        let serving: Vec<_> = self.serving(now).collect();
        if self.reach.is_empty() && self.own_lost.is_empty() {
            return serving;
        }
        let mut lost_by: FxHashMap<&ServiceName, usize> = FxHashMap::default();
        for (host, _) in &serving {
            self.lost(host).iter().for_each(|service| *lost_by.entry(service).or_default() += 1);
        }
        let is_cut_off =
            |host: &str| self.lost(host).iter().any(|service| lost_by[service] < serving.len());
        let connected: Vec<_> =
            serving.iter().filter(|(host, _)| !is_cut_off(host)).copied().collect();
        if connected.is_empty() {
            return serving;
        }
        connected
    }

    /// Returns whether all daemons have applied the shared rows up to `version`, except those that have
    /// been silent for longer than `max_silence`.
    pub fn all_seen(&self, now: Now, version: RowVersion, max_silence: Duration) -> bool {
        self.all_seen_or_silent(now, version, |_, _| max_silence)
    }

    /// Like `all_seen`, for a change that concerns only those who act by their views without the store: the
    /// views of most daemons expire with their heartbeats.
    pub fn all_seen_or_expired(
        &self,
        now: Now,
        version: RowVersion,
        max_silence: Duration,
    ) -> bool {
        self.all_seen_or_silent(now, version, |host, row| {
            let has_lease =
                self.view_leases.get(host).is_some_and(|start| *start >= row.incarnation);
            let lease = view_lease(Duration::from_millis(u64::from(row.beat_ms))) + LEASE_MARGIN;
            if has_lease {
                lease.min(max_silence)
            } else {
                max_silence
            }
        })
    }

    fn all_seen_or_silent(
        &self,
        now: Now,
        version: RowVersion,
        max_silence: impl Fn(&HostId, &MemberRow) -> Duration,
    ) -> bool {
        self.observed.iter().all(|(host, observed)| {
            let has_seen = self.seen.get(host).is_some_and(|seen| {
                seen.incarnation >= observed.row.incarnation && seen.version >= version
            });
            has_seen || self.silence(now, observed) > max_silence(host, &observed.row)
        })
    }

    /// Returns the row of a daemon, live or not.
    pub fn get(&self, host: &str) -> Option<&MemberRow> {
        self.observed.get(host).map(|observed| &observed.row)
    }

    /// Returns whether a daemon is writing its heartbeats.
    pub fn is_live(&self, now: Now, host: &str) -> bool {
        self.observed.get(host).is_some_and(|observed| {
            let timeout =
                Duration::from_millis(u64::from(observed.row.beat_ms)) * MAX_MISSED_HEARTBEATS;
            self.silence(now, observed) < timeout
        })
    }

    /// Returns the rows of the live daemons other than this one, also of those that leave.
    pub fn live_others(&self, now: Now) -> impl Iterator<Item = &MemberRow> {
        let live = self.observed.iter().filter(move |(host, _)| self.is_live(now, host));
        live.filter(|(host, _)| **host != self.own_host).map(|(_, observed)| &observed.row)
    }

    /// Returns the live daemons that accept requests, with their rows.
    pub fn serving(&self, now: Now) -> impl Iterator<Item = (&HostId, &MemberRow)> {
        let is_serving = |observed: &ObservedMember| observed.row.state == MemberState::Serving;
        let is_live = move |host: &str| self.is_live(now, host);
        self.observed
            .iter()
            .filter(move |(host, observed)| is_serving(observed) && is_live(host))
            .map(|(host, observed)| (host, &observed.row))
    }

    /// Returns the daemon that should run the job `key`: one of those with the lowest latency to
    /// the store, where all results are written, that are not cut off from servers.
    pub fn owner(&self, now: Now, key: &str) -> Option<&HostId> {
        let key = fingerprint(&[key.as_bytes()]);
        let connected = self.connected(now);
        let lowest_store_ms = connected.iter().map(|(_, row)| row.store_ms).min()?;
        let near = connected.into_iter().filter(|(_, row)| {
            row.store_ms <= lowest_store_ms.saturating_add(STORE_LATENCY_TOLERANCE_MS)
        });
        near.map(|(host, _)| host).max_by_key(|host| rendezvous_rank(key, host))
    }

    /// Returns whether this daemon ranks among the first `count` for `key` of those that are not cut off
    /// from servers.
    pub fn ranks_within(&self, now: Now, key: &str, count: usize) -> bool {
        let key = fingerprint(&[key.as_bytes()]);
        let own_rank = rendezvous_rank(key, &self.own_host);
        let connected = self.connected(now);
        let is_own = |(host, _): &(&HostId, &MemberRow)| **host == self.own_host;
        if !connected.iter().any(is_own) && self.is_cut_off(now, &self.own_host) {
            return false;
        }
        let others = connected.iter().filter(|other| !is_own(other));
        others.filter(|(host, _)| rendezvous_rank(key, host) > own_rank).count() < count
    }

    /// Returns the addresses of live daemons that may relay calls of this one, nearest first; each
    /// daemon has its own order among those at the same distance.
    pub fn relays(&self, now: Now, location: &Location) -> Vec<String> {
        let own_key = fingerprint(&[self.own_host.as_bytes()]);
        let others = self.serving(now).filter(|(host, _)| **host != self.own_host);
        let mut near: Vec<_> = others.collect();
        near.sort_by_key(|(host, row)| {
            (location.distance(&row.zone), rendezvous_rank(own_key, host))
        });
        near.into_iter().take(MAX_RELAYS).map(|(_, row)| row.peers.clone()).collect()
    }

    /// Returns the addresses of the entry daemons for callers at `location`: daemons of its region
    /// first, as many as the total load requires, without those that are cut off from servers. Fewer entry daemons open fewer connections to the
    /// same servers; if one is lost, any other entry daemon can replace it.
    pub fn entry_addresses(&self, now: Now, location: &Location, max_count: usize) -> Vec<String> {
        let mut near = self.connected(now);
        let rank = |host: &str| rendezvous_rank(ENTRY_RANK_KEY, host);
        near.sort_by_key(|(host, row)| {
            let is_other_region = location.distance(&row.zone) > 1;
            (is_other_region, std::cmp::Reverse(rank(host)))
        });
        let load =
            near.iter().fold(0, |load: u32, (_, row)| load.saturating_add(row.requests_per_s));
        let needed_entries = load.div_ceil(REQUESTS_PER_S_PER_ENTRY) as usize;
        let count = needed_entries.max(MIN_ENTRY_ADDRESSES).min(max_count);
        near.into_iter().take(count).map(|(_, row)| row.front.clone()).collect()
    }
}

/// Difference of the store write latency up to which daemons count as equally near to the store:
/// above the difference between zones of a region, below the one between regions.
const STORE_LATENCY_TOLERANCE_MS: u32 = 8;
/// Maximum number of daemons that may relay calls for one that the store refuses: enough that the store
/// serves one of them while it turns half of all daemons away.
const MAX_RELAYS: usize = 24;
/// Rank key for the choice of entry daemons.
const ENTRY_RANK_KEY: u64 = 0;
/// Minimum number of entry addresses: after the loss of two at once, callers still have a choice.
const MIN_ENTRY_ADDRESSES: usize = 4;
/// Requests per second that one daemon serves at 10 % load of half a core; see docs/CAPACITY.md.
const REQUESTS_PER_S_PER_ENTRY: u32 = 70;
