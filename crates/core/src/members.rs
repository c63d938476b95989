//! The daemons of a deployment, as their rows in the store show them.
//!
//! Each daemon writes its row again with each heartbeat. A daemon counts as live while its row
//! keeps changing, on the observer's own clock; time in which the observer itself did not hear from
//! the store does not count against anybody. What a daemon owns in the store can only be served by
//! one that reaches the store, so this is also the test for a takeover.

use std::time::Duration;

use buckthornfall_proto::{
    digest::{fingerprint, rendezvous_rank},
    ids::HostId,
    messages::{MemberRow, MemberState},
};
use rustc_hash::FxHashMap;

use crate::{backends::Location, Now};

/// Heartbeats a second of all daemons that own nothing, so that their rows stay within 12 KB/s for
/// each reader.
const BEATS_PER_SECOND: u32 = 50;
/// Shortest time between two heartbeats of a daemon that owns nothing.
const MIN_BEAT: Duration = Duration::from_millis(800);
/// Time between two heartbeats of a daemon that runs jobs: these wait for its end to be noticed, and
/// a step that loses more than a second is late.
const OWNER_BEAT: Duration = Duration::from_millis(500);
/// Heartbeats that may be missed before a daemon counts as gone.
const MISSED_BEATS: u32 = 3;

#[derive(Debug, Clone)]
struct Seen {
    row: MemberRow,
    /// When its row last changed, moved forward by each gap in this daemon's contact to the store.
    changed: Now,
}

/// The daemons that this one knows.
#[derive(Debug)]
pub struct Members {
    own: HostId,
    seen: FxHashMap<HostId, Seen>,
    last_contact: Now,
}

/// Longest time between two replies of the store that is not a gap.
const CONTACT_GAP: Duration = Duration::from_millis(600);

impl Members {
    /// A view that knows of no daemon.
    pub fn new(own: HostId) -> Members {
        Members { own, seen: FxHashMap::default(), last_contact: Now::ZERO }
    }

    /// Time between two heartbeats of this daemon.
    pub fn beat_interval(&self, owns_jobs: bool) -> Duration {
        if owns_jobs {
            return OWNER_BEAT;
        }
        let daemons = u32::try_from(self.seen.len()).unwrap_or(u32::MAX);
        MIN_BEAT.max(Duration::from_secs(1) * daemons / BEATS_PER_SECOND)
    }

    /// Notes a reply of the store.
    pub fn on_contact(&mut self, now: Now) {
        let gap = now.saturating_sub(self.last_contact);
        if gap > CONTACT_GAP {
            self.seen.values_mut().for_each(|seen| seen.changed = (seen.changed + gap).min(now));
        }
        self.last_contact = now;
    }

    /// Takes a daemon's row.
    pub fn on_row(&mut self, now: Now, host: &str, row: MemberRow) {
        let stale = self.seen.get(host).is_some_and(|seen| {
            (row.incarnation, row.beat) <= (seen.row.incarnation, seen.row.beat)
        });
        if !stale {
            self.seen.insert(host.to_owned(), Seen { row, changed: now });
        }
    }

    /// Whether a daemon writes its heartbeats.
    pub fn live(&self, now: Now, host: &str) -> bool {
        self.seen.get(host).is_some_and(|seen| {
            let limit = Duration::from_millis(u64::from(seen.row.beat_ms)) * MISSED_BEATS;
            let silent = now.min(self.last_contact).saturating_sub(seen.changed);
            silent < limit
        })
    }

    /// Live daemons that take requests, with their rows.
    pub fn serving(&self, now: Now) -> impl Iterator<Item = (&HostId, &MemberRow)> {
        let takes = |seen: &Seen| seen.row.state == MemberState::Serving;
        let live = move |host: &str| self.live(now, host);
        self.seen
            .iter()
            .filter(move |(host, seen)| takes(seen) && live(host))
            .map(|(host, seen)| (host, &seen.row))
    }

    /// The daemon that should run what `key` names: one of those near the store, where all results
    /// are written.
    pub fn owner(&self, now: Now, key: &str) -> Option<&HostId> {
        let key = fingerprint(&[key.as_bytes()]);
        let nearest = self.serving(now).map(|(_, row)| row.store_ms).min()?;
        let near = self
            .serving(now)
            .filter(|(_, row)| row.store_ms <= nearest.saturating_add(NEAR_STORE_MS));
        near.map(|(host, _)| host).max_by_key(|host| rendezvous_rank(key, host))
    }

    /// Whether this daemon is among the `count` first for `key`.
    pub fn among_first(&self, now: Now, key: &str, count: usize) -> bool {
        let key = fingerprint(&[key.as_bytes()]);
        let own = rendezvous_rank(key, &self.own);
        let others = self.serving(now).filter(|(host, _)| **host != self.own);
        others.filter(|(host, _)| rendezvous_rank(key, host) > own).count() < count
    }

    /// Addresses of live daemons that may make calls for this one, the nearest first; each daemon
    /// has its own order among those that are equally near.
    pub fn relays(&self, now: Now, location: &Location) -> Vec<String> {
        let own = fingerprint(&[self.own.as_bytes()]);
        let others = self.serving(now).filter(|(host, _)| **host != self.own);
        let mut near: Vec<_> = others.collect();
        near.sort_by_key(|(host, row)| (location.distance(&row.zone), rendezvous_rank(own, host)));
        near.into_iter().take(MAX_RELAYS).map(|(_, row)| row.peers.clone()).collect()
    }

    /// Addresses for callers at `location`: daemons of its region, as many as the load of all
    /// daemons asks for. Fewer daemons keep fewer connections to the same servers; each of them
    /// stands in for one that is lost.
    pub fn entries(&self, now: Now, location: &Location, most: usize) -> Vec<String> {
        let mut near: Vec<_> = self.serving(now).collect();
        let rank = |host: &str| rendezvous_rank(ENTRY_KEY, host);
        near.sort_by_key(|(host, row)| {
            let other_region = location.distance(&row.zone) > 1;
            (other_region, std::cmp::Reverse(rank(host)))
        });
        let load: u32 = near.iter().map(|(_, row)| row.requests_per_s).sum();
        let needed = load.div_ceil(REQUESTS_PER_ENTRY) as usize;
        let count = needed.max(MIN_ENTRIES).min(most);
        near.into_iter().take(count).map(|(_, row)| row.front.clone()).collect()
    }
}

/// Difference of the times of writes up to which daemons are equally near to the store, in
/// milliseconds: above that between zones of a region, below that between regions.
const NEAR_STORE_MS: u32 = 8;
/// Daemons that may make calls for one that the store refuses.
const MAX_RELAYS: usize = 6;
/// Key of the order in which daemons become entries.
const ENTRY_KEY: u64 = 0;
/// Fewest addresses that callers choose from: the loss of two at once leaves a choice.
const MIN_ENTRIES: usize = 4;
/// Requests a second that one daemon takes with a tenth of half a core, from the slopes of
/// docs/CAPACITY.md.
const REQUESTS_PER_ENTRY: u32 = 70;
