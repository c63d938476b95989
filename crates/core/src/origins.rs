//! Software versions at which callers' streams began, so that each is resumed at its own.
//!
//! The store holds a base version for each service. A stream at another version is recorded in the
//! store before its first event is passed on, so a stream without a record began at the base
//! version, also for a daemon that has just started. The row of the service moves between four
//! modes; a move that another daemon must know of waits until all daemons have seen the row.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_proto::{
    ids::{Fingerprint, ServiceName, SoftwareVersion},
    messages::{OriginRow, SoftwareMode, SoftwareRow},
};
use rustc_hash::FxHashMap;

use crate::{
    backends::SoftwareChoice,
    members::{view_lease, Members},
    store::RowVersion,
    Now,
};

/// Attempt of a caller that received the first event of a stream.
pub type StreamId = String;

/// Usable slots of a service by software version; a version whose servers are all leaving has none.
pub type VersionSlots = BTreeMap<SoftwareVersion, u32>;

/// Longest time for which a stream without a record may be resumed.
pub const RESUME_WINDOW: Duration = Duration::from_secs(60);
/// Age of a daemon's view up to which it resumes streams without reading their records, if its heartbeats do
/// not end that sooner.
pub const RESUME_VIEW_TTL: Duration = Duration::from_secs(30);
/// Age of a daemon's view up to which it begins streams.
pub const BEGIN_VIEW_TTL: Duration = Duration::from_secs(600);
/// Additional silence after which the view of another daemon counts as expired, for the drift of
/// clocks and the lag of heartbeats.
const VIEW_MARGIN: Duration = Duration::from_secs(5);
/// Time for which another version must have more slots before the base version changes.
const BASE_CHANGE_DELAY: Duration = Duration::from_secs(3);
/// Maximum number of streams that a daemon remembers.
const MAX_REMEMBERED: usize = 100_000;

/// The software version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Service of the servers.
    pub service: ServiceName,
    /// Software version of the servers.
    pub software: SoftwareVersion,
    /// Fingerprint of the request.
    pub request: Fingerprint,
}

/// How a stream may begin at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Begin {
    /// Without a record.
    Unrecorded,
    /// Once its record is written.
    Recorded,
    /// Not now.
    Forbidden,
}

/// How to find the origin of a stream that is not remembered: by its record, or by the base version
/// if the store says that it has none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lookup {
    /// Base version; `None` if it must be read from the store.
    pub base: Option<SoftwareVersion>,
    /// Whether `base` also holds if the store does not answer.
    pub is_certain: bool,
}

#[derive(Debug)]
struct Service {
    row: SoftwareRow,
    version: RowVersion,
    /// Since when all daemons are known to have seen the row.
    seen_since: Option<Now>,
    /// Since when the row should change to another mode.
    due_since: Option<Now>,
}

#[derive(Debug)]
struct Remembered {
    origin: Origin,
    until: Now,
}

/// What one daemon knows of the origins of streams.
#[derive(Debug, Default)]
pub struct Origins {
    services: FxHashMap<ServiceName, Service>,
    remembered: FxHashMap<StreamId, Remembered>,
    /// Whether the other daemons can know that this start of the daemon must see a row.
    registered: bool,
    /// When the last call was sent whose reply shows the rows up to now.
    view_at: Now,
    /// When the last heartbeat was sent that the store confirmed.
    heartbeat_at: Now,
    /// Time after `heartbeat_at` for which the others wait for this daemon, by the shortest interval that
    /// a heartbeat since then stated.
    lease: Duration,
    /// Whether this daemon has told the others not to wait for it.
    is_withdrawn: bool,
}

impl Origins {
    /// Applies the row of a service, unless the same or a newer version of it is known.
    pub fn on_row(&mut self, service: &str, row: SoftwareRow, version: RowVersion) {
        if self.services.get(service).is_none_or(|known| known.version < version) {
            let service_state = Service { row, version, seen_since: None, due_since: None };
            self.services.insert(service.to_owned(), service_state);
        }
    }

    /// Records that this daemon has applied all rows, by the reply to a call sent at `sent_at`.
    pub fn on_view(&mut self, sent_at: Now) {
        self.view_at = self.view_at.max(sent_at);
    }

    /// Records that a heartbeat is sent which states this interval.
    pub fn on_heartbeat_sent(&mut self, interval: Duration) {
        self.lease = self.lease.min(view_lease(interval));
    }

    /// Records that the store confirmed the last heartbeat, which was sent at `sent_at` and states this
    /// interval.
    pub fn on_heartbeat(&mut self, sent_at: Now, interval: Duration) {
        self.heartbeat_at = self.heartbeat_at.max(sent_at);
        self.lease = view_lease(interval);
    }

    /// Stops to act by this daemon's view without the store, as it leaves: streams begin with records, and are
    /// resumed by what the store says. The others need not wait for it any more.
    pub fn withdraw(&mut self) {
        self.is_withdrawn = true;
    }

    /// Records that this daemon has read back its own row that says how far it has seen.
    pub fn on_registered(&mut self) {
        self.registered = true;
    }

    /// Returns whether `on_registered` was called.
    pub fn is_registered(&self) -> bool {
        self.registered
    }

    /// Returns the row of a service.
    pub fn row(&self, service: &str) -> Option<&SoftwareRow> {
        self.services.get(service).map(|known| &known.row)
    }

    /// Returns the version up to which the others need not wait for this daemon: that of the newest row of any
    /// service, or any if it has withdrawn.
    pub fn seen_version(&self) -> RowVersion {
        if self.is_withdrawn {
            return RowVersion::MAX;
        }
        self.services.values().map(|known| known.version).max().unwrap_or_default()
    }

    fn is_view_valid(&self, now: Now, ttl: Duration) -> bool {
        self.registered && now.saturating_sub(self.view_at.min(self.heartbeat_at)) < ttl
    }

    /// Returns whether streams may be resumed by the view alone.
    fn is_lease_valid(&self, now: Now) -> bool {
        self.is_view_valid(now, RESUME_VIEW_TTL.min(self.lease))
    }

    /// Returns how a stream may begin at a server of `software` whose caller waits until `wait` from
    /// now.
    pub fn begin(&self, now: Now, service: &str, software: &str, wait: Duration) -> Begin {
        let Some(row) = self.row(service) else { return Begin::Forbidden };
        if !self.is_view_valid(now, BEGIN_VIEW_TTL) {
            return Begin::Forbidden;
        }
        let is_base = row.base == software;
        match row.mode {
            SoftwareMode::Settled | SoftwareMode::Guarded if !is_base => Begin::Forbidden,
            SoftwareMode::Settled | SoftwareMode::Guarded | SoftwareMode::Mixed
                if is_base && wait <= RESUME_WINDOW && !self.is_withdrawn =>
            {
                Begin::Unrecorded
            }
            _ => Begin::Recorded,
        }
    }

    /// Returns the servers at which a stream may begin; `None` if there are none. Without the store no
    /// record can be written.
    pub fn choice(&self, now: Now, service: &str, has_store: bool) -> Option<SoftwareChoice<'_>> {
        let row = self.row(service)?;
        if !self.is_view_valid(now, BEGIN_VIEW_TTL) || (self.is_withdrawn && !has_store) {
            return None;
        }
        match row.mode {
            SoftwareMode::Settled | SoftwareMode::Guarded => Some(SoftwareChoice::Only(&row.base)),
            SoftwareMode::Mixed | SoftwareMode::Closing if has_store => Some(SoftwareChoice::New),
            SoftwareMode::Mixed => Some(SoftwareChoice::Only(&row.base)),
            SoftwareMode::Closing => None,
        }
    }

    /// Remembers a stream that this daemon began.
    pub fn remember(&mut self, id: &str, origin: Origin, until: Now) {
        if self.remembered.len() < MAX_REMEMBERED {
            self.remembered.insert(id.to_owned(), Remembered { origin, until });
        }
    }

    /// Returns the origin of a stream that this daemon began.
    pub fn remembered(&self, id: &str) -> Option<&Origin> {
        self.remembered.get(id).map(|known| &known.origin)
    }

    /// Returns until when a remembered stream may be resumed.
    pub fn remembered_until(&self, id: &str) -> Option<Now> {
        self.remembered.get(id).map(|known| known.until)
    }

    /// Forgets streams that can no longer be resumed.
    pub fn expire(&mut self, now: Now) {
        self.remembered.retain(|_, known| known.until > now);
    }

    /// Returns how to find the origin of a stream of a service that is not remembered.
    pub fn lookup(&self, now: Now, service: &str) -> Lookup {
        let row = self.row(service).filter(|row| row.mode != SoftwareMode::Closing);
        let has_view = self.is_view_valid(now, BEGIN_VIEW_TTL) && !self.is_withdrawn;
        let base = row.filter(|_| has_view);
        let is_certain =
            base.is_some_and(|row| row.mode == SoftwareMode::Settled) && self.is_lease_valid(now);
        Lookup { base: base.map(|row| row.base.clone()), is_certain }
    }

    /// Returns the next row of a service if it is due, with the version that the row must have in the
    /// store.
    pub fn next_row(
        &mut self,
        now: Now,
        service: &str,
        slots: &VersionSlots,
        members: &Members,
    ) -> Option<(RowVersion, SoftwareRow)> {
        let Some(known) = self.services.get_mut(service) else {
            let base = largest(slots, None)?;
            return Some((0, SoftwareRow { base, mode: SoftwareMode::Settled }));
        };
        known.update(now, slots, members).map(|row| (known.version, row))
    }
}

impl Service {
    fn update(&mut self, now: Now, slots: &VersionSlots, members: &Members) -> Option<SoftwareRow> {
        let base = &self.row.base;
        let others_serve = slots.iter().any(|(version, slots)| version != base && *slots > 0);
        let others_listed = slots.keys().any(|version| version != base);
        let to = |mode| Some(SoftwareRow { base: base.clone(), mode });
        match self.row.mode {
            SoftwareMode::Settled if others_serve => to(SoftwareMode::Guarded),
            SoftwareMode::Settled => None,
            SoftwareMode::Guarded if others_serve => members
                .all_seen_or_expired(now, self.version, RESUME_VIEW_TTL + VIEW_MARGIN)
                .then(|| SoftwareRow { base: base.clone(), mode: SoftwareMode::Mixed }),
            SoftwareMode::Guarded => {
                let row = SoftwareRow { base: base.clone(), mode: SoftwareMode::Settled };
                self.is_window_over(now, members).then_some(row)
            }
            SoftwareMode::Mixed => {
                let largest = largest(slots, Some(base));
                let next = match largest {
                    _ if !others_listed => SoftwareMode::Guarded,
                    Some(largest) if largest != *base => SoftwareMode::Closing,
                    _ => {
                        self.due_since = None;
                        return None;
                    }
                };
                let row = SoftwareRow { base: base.clone(), mode: next };
                let since = *self.due_since.get_or_insert(now);
                (now.saturating_sub(since) >= BASE_CHANGE_DELAY).then_some(row)
            }
            SoftwareMode::Closing => {
                let base = largest(slots, Some(base))?;
                let row = SoftwareRow { base, mode: SoftwareMode::Mixed };
                self.is_window_over(now, members).then_some(row)
            }
        }
    }

    /// Returns whether every stream that began before all daemons saw the row has ended.
    fn is_window_over(&mut self, now: Now, members: &Members) -> bool {
        if self.seen_since.is_none()
            && members.all_seen(now, self.version, BEGIN_VIEW_TTL + VIEW_MARGIN)
        {
            self.seen_since = Some(now);
        }
        self.seen_since
            .is_some_and(|since| now.saturating_sub(since) >= RESUME_WINDOW + VIEW_MARGIN)
    }
}

/// Returns the version with the most usable slots; of equal ones `preferred`, else the lowest.
fn largest(slots: &VersionSlots, preferred: Option<&SoftwareVersion>) -> Option<SoftwareVersion> {
    let usable = slots.iter().filter(|(_, slots)| **slots > 0);
    let rank = |version: &SoftwareVersion, slots: u32| (slots, Some(version) == preferred);
    usable
        .rev()
        .max_by_key(|(version, slots)| rank(version, **slots))
        .map(|(version, _)| version.clone())
}

impl Origin {
    /// Returns the record of the stream, which may be resumed until `until_ms` by the store's clock.
    pub fn into_record(self, until_ms: u64) -> OriginRow {
        let Origin { service, software, request } = self;
        OriginRow { service, software, request, until_ms }
    }
}

impl From<OriginRow> for Origin {
    fn from(row: OriginRow) -> Origin {
        Origin { service: row.service, software: row.software, request: row.request }
    }
}
