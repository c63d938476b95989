//! Selection of the backend server for a request.

use buckthornfall_proto::{digest::rendezvous_rank, ids::ServerId};

use crate::fleet::{Distance, ServerState};

/// A server eligible for a request.
#[derive(Debug, Clone)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a ServerState,
}

/// Selects a server among those with capacity.
pub trait Pick {
    /// Returns the selected server; `prefix` is a hash of the prompt's prefix.
    fn pick(&mut self, candidates: &[Candidate<'_>], prefix: u64) -> Option<ServerId>;
}

/// Selects the server with the lowest expected time, from its load, its speed, its distance and
/// whether the prompt's prefix is routed to it.
#[derive(Debug, Default, Clone)]
pub struct LocalityPick;

/// Cost of a server in another availability zone, as a fraction of a full server's load.
const CROSS_ZONE_COST: f64 = 0.15;
/// Cost of a server in another region, as a fraction of a full server's load.
const CROSS_REGION_COST: f64 = 0.9;
/// Bonus of a server that the prompt's prefix is routed to and that therefore probably caches it,
/// as a fraction of a full server's load.
const PREFIX_BONUS: f64 = 0.25;
/// Upper bound of a server's slowdown relative to the fastest one.
const MAX_SLOWDOWN: f64 = 4.0;
/// Number of servers that each prefix is routed to.
const PREFIX_SERVERS: usize = 2;

impl Pick for LocalityPick {
    fn pick(&mut self, candidates: &[Candidate<'_>], prefix: u64) -> Option<ServerId> {
        let rank = |c: &Candidate<'_>| rendezvous_rank(prefix, &c.server.info.name);
        let mut highest = [0u64; PREFIX_SERVERS];
        for candidate in candidates {
            // `highest` stays in descending order.
            let position = highest.partition_point(|other| *other > rank(candidate));
            if position < PREFIX_SERVERS {
                highest[position..].rotate_right(1);
                highest[position] = rank(candidate);
            }
        }
        let min_prefix_rank = highest[PREFIX_SERVERS - 1];
        let speeds = candidates.iter().filter_map(|c| c.server.speed());
        let fastest = speeds.fold(0.0, f64::max);
        let slowdown = |c: &Candidate<'_>| match c.server.speed() {
            Some(speed) if speed > 0.0 => (fastest / speed).min(MAX_SLOWDOWN),
            _ => 1.0,
        };
        let cost = |c: &Candidate<'_>| {
            let bonus = if rank(c) >= min_prefix_rank { PREFIX_BONUS } else { 0.0 };
            let time = (1.0 + c.server.load_ratio()) * slowdown(c);
            time + distance_cost(c.server.distance) - bonus
        };
        let best = candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        Some(best.server.info.name.clone())
    }
}

fn distance_cost(distance: Distance) -> f64 {
    match distance {
        Distance::Zone => 0.0,
        Distance::Region => CROSS_ZONE_COST,
        Distance::Remote => CROSS_REGION_COST,
    }
}

/// Baseline: round robin.
#[derive(Debug, Default, Clone)]
pub struct RoundRobinPick {
    index: usize,
}

impl Pick for RoundRobinPick {
    fn pick(&mut self, candidates: &[Candidate<'_>], _prefix: u64) -> Option<ServerId> {
        self.index = self.index.wrapping_add(1);
        let chosen = candidates.get(self.index.checked_rem(candidates.len())?)?;
        Some(chosen.server.info.name.clone())
    }
}

/// Baseline: the server with the lowest ratio of requests to slots.
#[derive(Debug, Default, Clone)]
pub struct LeastLoadedPick;

impl Pick for LeastLoadedPick {
    fn pick(&mut self, candidates: &[Candidate<'_>], _prefix: u64) -> Option<ServerId> {
        let least = |a: &&Candidate<'_>, b: &&Candidate<'_>| {
            a.server.load_ratio().total_cmp(&b.server.load_ratio())
        };
        Some(candidates.iter().min_by(least)?.server.info.name.clone())
    }
}
