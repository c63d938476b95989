//! Permits for requests to servers that state a request limit.
//!
//! The limit holds for all daemons together, so one daemon issues the permits of a server and the
//! others ask it. Permits are issued at the stated rate without bursts. While more requests wait
//! than the rate lets through, the classes of requests share it by priority, so that urgent ones go
//! first and none starves. A request that would wait longer than its patience is denied at once.

mod issuer;

use std::time::Duration;

pub use buckthornfall_proto::messages::PermitSource;
use buckthornfall_proto::{
    digest::{fingerprint, rendezvous_rank},
    ids::{HostId, ServerId},
    messages::{PermitReply, PermitRequest},
};
use rustc_hash::FxHashMap;

pub use self::issuer::{Issue, Issuer, Ticket};
use crate::{backends::Location, members::Members, rate_limit::Limit, store::StoreClock, Now};

/// Time for which an issuer that did not reply is not asked again.
const FAILED_ISSUER_COOLDOWN: Duration = Duration::from_secs(1);
/// Maximum number of issuers asked for one permit.
const MAX_ISSUERS: u32 = 2;
/// Share of the stated rate that a daemon issues for each live one that ranks before it and does not
/// reply: others may still reach that one, so the shares of all issuers must stay bounded.
const DEPUTY_SHARE: f64 = 0.5;
/// Delay of a denied request if no issuer is known or replies.
const NO_ISSUER_DELAY: Duration = Duration::from_millis(500);

/// Class of a request; classes compete for the permits of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PermitClass {
    /// Kind of the sender. `Control` goes before all others.
    pub source: PermitSource,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
}

impl PermitClass {
    /// Orders and reports that keep servers in service.
    pub const CONTROL: PermitClass = PermitClass { source: PermitSource::Control, priority: 0 };

    /// Requests of callers on a route with this priority.
    pub fn caller(priority: u8) -> PermitClass {
        PermitClass { source: PermitSource::Caller, priority }
    }

    /// Samples and scoring requests on a route with this priority.
    pub fn job(priority: u8) -> PermitClass {
        PermitClass { source: PermitSource::Job, priority }
    }

    /// Share of the permits relative to the other waiting classes: half of that of the next higher
    /// priority.
    fn weight(self) -> f64 {
        0.5f64.powi(i32::from(self.priority.min(9)))
    }
}

/// Reply to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the request may be sent now.
    pub granted: bool,
    /// Expected wait of a further request of the same class.
    pub next: Duration,
}

impl Verdict {
    /// Creates the reply to another daemon.
    pub fn reply(self) -> PermitReply {
        let next_ms = u32::try_from(self.next.as_millis()).unwrap_or(u32::MAX);
        PermitReply { granted: self.granted, next_ms }
    }

    /// Decodes the reply of another daemon.
    pub fn from_reply(reply: &PermitReply) -> Verdict {
        let next = Duration::from_millis(u64::from(reply.next_ms));
        Verdict { granted: reply.granted, next }
    }
}

/// A daemon that issues permits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IssuerHost {
    /// Name of its host.
    pub host: HostId,
    /// Address for messages of other daemons.
    pub peers: String,
}

/// Number of a request for a permit, unique within the process.
pub type PermitId = u64;

/// Sender of a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// This daemon.
    Own,
    /// Another daemon.
    Peer {
        /// Whether it passed on the request of a third daemon.
        relayed: bool,
    },
}

/// A request for a permit to send one request to a limited server.
#[derive(Debug, Clone, Copy)]
pub struct PermitDemand<'a> {
    /// The server.
    pub server: &'a str,
    /// Its limit, as known to the sender.
    pub limit: Limit,
    /// Class in which the request competes.
    pub class: PermitClass,
    /// Maximum wait for the permit.
    pub patience: Duration,
    /// Sender of the request.
    pub origin: Origin,
}

/// What this daemon knows of the other daemons.
#[derive(Debug, Clone, Copy)]
pub struct PermitView<'a> {
    /// Name of this host.
    pub own_host: &'a str,
    /// Liveness of the daemons.
    pub members: &'a Members,
    /// Location of the server; `None` if its entry is not known.
    pub location: Option<&'a Location>,
    /// Clock of the store.
    pub clock: StoreClock,
}

/// Action requested by [`Permits`].
#[derive(Debug, Clone, PartialEq)]
pub enum PermitAction {
    /// Ask another daemon; [`Permits::on_reply`] takes its reply or the failure.
    Ask {
        /// The request for a permit.
        id: PermitId,
        /// The daemon.
        issuer: IssuerHost,
        /// The message.
        req: PermitRequest,
    },
    /// A request for a permit is decided.
    Decided {
        /// The request for a permit.
        id: PermitId,
        /// The decision.
        verdict: Verdict,
    },
}

#[derive(Debug)]
struct Pending {
    server: ServerId,
    limit: Limit,
    class: PermitClass,
    patience: Duration,
    origin: Origin,
    /// The daemon that is asked.
    asked: Option<HostId>,
    /// Number of daemons that may still be asked.
    asks_left: u32,
}

/// Requests of this and other daemons for permits of limited servers.
///
/// All daemons rank the live ones alike and ask the first: those in the server's region rank first,
/// as a cut between the regions then separates the daemons that cannot reach the server anyway. A
/// daemon that is asked although it ranks another one first passes the request on once, so that
/// daemons with different views do not both issue.
#[derive(Debug, Default)]
pub struct Permits {
    issuer: Issuer,
    pending: FxHashMap<PermitId, Pending>,
    /// Requests that wait for a permit issued here.
    tickets: FxHashMap<Ticket, PermitId>,
    last_id: PermitId,
    /// When each daemon last failed to reply.
    failed_at: FxHashMap<HostId, Now>,
}

impl Permits {
    /// Starts a request for a permit and returns its number.
    pub fn request(
        &mut self,
        now: Now,
        view: PermitView<'_>,
        demand: PermitDemand<'_>,
        out: &mut Vec<PermitAction>,
    ) -> PermitId {
        let PermitDemand { server, limit, class, patience, origin } = demand;
        self.last_id += 1;
        let id = self.last_id;
        let server = server.to_owned();
        let asks_left = match origin {
            Origin::Own => MAX_ISSUERS,
            Origin::Peer { relayed: false } => 1,
            Origin::Peer { relayed: true } => 0,
        };
        let pending = Pending { server, limit, class, patience, origin, asked: None, asks_left };
        self.pending.insert(id, pending);
        self.proceed(now, view, id, out);
        id
    }

    /// Handles the reply of the daemon that was asked; `None` if it did not reply.
    pub fn on_reply(
        &mut self,
        now: Now,
        view: PermitView<'_>,
        id: PermitId,
        verdict: Option<Verdict>,
        out: &mut Vec<PermitAction>,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let asked = pending.asked.take();
        if let Some(verdict) = verdict {
            return self.decide(id, verdict, out);
        }
        self.failed_at.retain(|_, at| now.saturating_sub(*at) < FAILED_ISSUER_COOLDOWN);
        self.failed_at.extend(asked.map(|host| (host, now)));
        self.proceed(now, view, id, out);
    }

    /// Withdraws a request whose sender does not wait for it any more.
    pub fn cancel(&mut self, id: PermitId) {
        let Some(pending) = self.pending.remove(&id) else { return };
        let ticket = self.tickets.iter().find(|(_, of)| **of == id).map(|(ticket, _)| *ticket);
        if let Some(ticket) = ticket {
            self.tickets.remove(&ticket);
            self.issuer.cancel(&pending.server, ticket);
        }
    }

    /// Decides the waiting requests that are due.
    pub fn poll(&mut self, now: Now, out: &mut Vec<PermitAction>) {
        let mut verdicts = Vec::new();
        self.issuer.poll(now, &mut verdicts);
        for (ticket, verdict) in verdicts {
            if let Some(id) = self.tickets.remove(&ticket) {
                self.decide(id, verdict, out);
            }
        }
    }

    /// Returns when [`Permits::poll`] has something to decide.
    pub fn next_due(&self, now: Now) -> Option<Now> {
        self.issuer.next_due(now)
    }

    /// Asks the next daemon, or issues the permit here.
    fn proceed(
        &mut self,
        now: Now,
        view: PermitView<'_>,
        id: PermitId,
        out: &mut Vec<PermitAction>,
    ) {
        let server = &self.pending[&id].server;
        let issuer = self.choose_issuer(now, view, server);
        let pending = self.pending.get_mut(&id).expect("callers pass a pending request");
        let other = issuer.as_ref().filter(|issuer| issuer.host != view.own_host);
        match (other, pending.origin) {
            (Some(other), _) if pending.asks_left > 0 => {
                pending.asks_left -= 1;
                pending.asked = Some(other.host.clone());
                let req = pending.message(now, view.clock);
                out.push(PermitAction::Ask { id, issuer: other.clone(), req });
            }
            // Issuing here as well, without knowing that the issuer is gone, could exceed the limit.
            (Some(_), Origin::Own) => self.deny(id, out),
            (None, Origin::Own) if issuer.is_none() => self.deny(id, out),
            _ => self.issue(now, view, id, out),
        }
    }

    fn issue(&mut self, now: Now, view: PermitView<'_>, id: PermitId, out: &mut Vec<PermitAction>) {
        let Pending { server, limit, class, patience, .. } = &self.pending[&id];
        let rank = |host: &str, zone: &str| issuer_rank(view, server, host, zone);
        let own_zone = view.members.get(view.own_host).map_or("", |row| row.zone.as_str());
        let own_rank = rank(view.own_host, own_zone);
        let live = view.members.serving(now);
        let before = live.filter(|(host, row)| rank(host, &row.zone) > own_rank).count();
        let share = DEPUTY_SHARE.powi(i32::try_from(before).unwrap_or(i32::MAX));
        let rate = limit.rate.unwrap_or_default() * share;
        match self.issuer.request(now, server, rate, *class, *patience) {
            Issue::Decided(verdict) => self.decide(id, verdict, out),
            Issue::Waiting(ticket) => drop(self.tickets.insert(ticket, id)),
        }
    }

    fn deny(&mut self, id: PermitId, out: &mut Vec<PermitAction>) {
        self.decide(id, Verdict { granted: false, next: NO_ISSUER_DELAY }, out);
    }

    fn decide(&mut self, id: PermitId, verdict: Verdict, out: &mut Vec<PermitAction>) {
        self.pending.remove(&id);
        out.push(PermitAction::Decided { id, verdict });
    }

    /// Returns the live daemon that ranks first for a server, without those that failed to reply.
    pub fn choose_issuer(
        &self,
        now: Now,
        view: PermitView<'_>,
        server: &str,
    ) -> Option<IssuerHost> {
        let has_failed = |host: &HostId| {
            let failed_at = self.failed_at.get(host);
            failed_at.is_some_and(|at| now.saturating_sub(*at) < FAILED_ISSUER_COOLDOWN)
        };
        first_issuer(now, view, server, |host| !has_failed(host))
    }
}

/// Returns the live daemon that ranks first for a server among those for which `accept` is true.
fn first_issuer(
    now: Now,
    view: PermitView<'_>,
    server: &str,
    accept: impl Fn(&HostId) -> bool,
) -> Option<IssuerHost> {
    let live = view.members.serving(now).filter(|(host, _)| accept(host));
    let (host, row) = live.max_by_key(|(host, row)| issuer_rank(view, server, host, &row.zone))?;
    Some(IssuerHost { host: host.clone(), peers: row.peers.clone() })
}

/// Returns the rank of a daemon as issuer of a server; the highest is the first.
fn issuer_rank(view: PermitView<'_>, server: &str, host: &str, zone: &str) -> (bool, u64) {
    let in_region = view.location.is_some_and(|server| server.distance(zone) <= 1);
    (in_region, rendezvous_rank(fingerprint(&[server.as_bytes()]), host))
}

impl Pending {
    fn message(&self, now: Now, clock: StoreClock) -> PermitRequest {
        PermitRequest {
            limit: self.limit.notice(now, clock, &self.server),
            source: self.class.source,
            priority: self.class.priority,
            patience_ms: u32::try_from(self.patience.as_millis()).unwrap_or(u32::MAX),
            relayed: self.origin != Origin::Own,
        }
    }
}
