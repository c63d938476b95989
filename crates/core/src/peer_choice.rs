//! Choice of the daemon that a request is passed on to when this one has lost the servers.
//!
//! Answers the load of an availability zone, or most of all daemons, that loses all servers at once:
//! the requests spread over the daemons that are left by distance and load, and what these cannot take
//! is refused at once.

use std::time::Duration;

use buckthornfall_proto::{
    digest::{fingerprint, rendezvous_rank},
    ids::HostId,
};
use rustc_hash::FxHashMap;

use crate::{backends::Location, members::Members, Now};

/// Requests in flight through one daemon above which others are used, or none.
const MAX_IN_FLIGHT: u32 = 32;
/// Cost of each request of this daemon in flight there, as added response time.
const IN_FLIGHT_COST: Duration = Duration::from_millis(4);
/// Cost of each request per second that a daemon reports, as added response time.
const LOAD_COST: Duration = Duration::from_micros(100);
/// Time for which a daemon that failed to answer is not used while there are others.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(1);
/// Time for which a daemon that refused a request is not used while there are others.
const REFUSAL_COOLDOWN: Duration = Duration::from_millis(200);

/// A daemon that requests are passed on to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of its host.
    pub host: HostId,
    /// Its address for messages of other daemons.
    pub address: String,
    /// Availability zone of its host.
    pub zone: String,
}

/// How a request that was passed on ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerEnd {
    /// The daemon sent the response of a server, or the caller left.
    Answered,
    /// The daemon refused the request, which did not run.
    Refused,
    /// The daemon did not answer.
    Failed,
}

#[derive(Debug, Clone, Copy, Default)]
struct Use {
    in_flight: u32,
    avoid_until: Now,
}

/// Requests passed on to each daemon.
#[derive(Debug, Default)]
pub struct PeerChoice {
    uses: FxHashMap<HostId, Use>,
}

impl PeerChoice {
    /// Returns the daemon for a request to `service`: one that says that it reaches the service, by
    /// distance and load. `None` if there is none, or if all have as many requests of this one as they
    /// may.
    pub fn choose(
        &self,
        now: Now,
        members: &Members,
        location: &Location,
        service: &str,
        tried: &[HostId],
    ) -> Option<Peer> {
        let own_host = members.own_host();
        let own_key = fingerprint(&[own_host.as_bytes()]);
        let others = members.serving(now).filter(|(host, _)| {
            *host != own_host && !tried.contains(host) && !members.has_lost(host, service)
        });
        let ranked = others.filter_map(|(host, row)| {
            let used = self.uses.get(host).copied().unwrap_or_default();
            let cost = location.round_trip(&row.zone)
                + IN_FLIGHT_COST * used.in_flight
                + LOAD_COST * row.requests_per_s;
            let rank = (used.avoid_until > now, cost, rendezvous_rank(own_key, host));
            (used.in_flight < MAX_IN_FLIGHT).then_some((rank, host, row))
        });
        ranked.min_by(|(a, ..), (b, ..)| a.cmp(b)).map(|(_, host, row)| Peer {
            host: host.clone(),
            address: row.peers.clone(),
            zone: row.zone.clone(),
        })
    }

    /// Counts a request that is passed on.
    pub fn started(&mut self, host: &str) {
        self.uses.entry(host.to_owned()).or_default().in_flight += 1;
    }

    /// Records the end of a request counted by `started`.
    pub fn ended(&mut self, now: Now, host: &str, end: PeerEnd) {
        let Some(used) = self.uses.get_mut(host) else { return };
        used.in_flight = used.in_flight.saturating_sub(1);
        match end {
            PeerEnd::Answered => used.avoid_until = Now::ZERO,
            PeerEnd::Refused => used.avoid_until = now + REFUSAL_COOLDOWN,
            PeerEnd::Failed => used.avoid_until = now + FAILURE_COOLDOWN,
        }
        self.uses.retain(|_, used| used.in_flight > 0 || used.avoid_until > now);
    }
}
