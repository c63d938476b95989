//! Which backend server runs a request.

use buckthornfall_proto::{digest::rendezvous_rank, ids::ServerId};

use crate::fleet::{Distance, ServerState};

/// One server that could run a request.
#[derive(Debug, Clone)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a ServerState,
}

/// Chooses a server among those with room.
pub trait Pick {
    /// The server to use; `prefix` is a hash of the start of the prompt.
    fn pick(&mut self, candidates: &[Candidate<'_>], prefix: u64) -> Option<ServerId>;
}

/// Shortest expected time: load and speed of the server, its distance, and whether it holds the
/// prompt's prefix.
#[derive(Debug, Default, Clone)]
pub struct LocalityPick;

/// Cost of a server in another availability zone, as a share of a full server.
const REGION_COST: f64 = 0.15;
/// Cost of a server in another region, as a share of a full server.
const REMOTE_COST: f64 = 0.9;
/// Gain of a server that holds the prompt's prefix, as a share of a full server.
const PREFIX_GAIN: f64 = 0.25;
/// Greatest slowness that counts; a server that is slower still is only as bad.
const SLOWEST: f64 = 4.0;
/// Servers that a prefix is spread over.
const PREFIX_SERVERS: usize = 2;

impl Pick for LocalityPick {
    fn pick(&mut self, candidates: &[Candidate<'_>], prefix: u64) -> Option<ServerId> {
        let rank = |c: &Candidate<'_>| rendezvous_rank(prefix, &c.server.info.name);
        let mut highest = [0u64; PREFIX_SERVERS];
        for candidate in candidates {
            // Keeps the highest ranks in descending order.
            let lower = highest.partition_point(|known| *known > rank(candidate));
            if lower < PREFIX_SERVERS {
                highest[lower..].rotate_right(1);
                highest[lower] = rank(candidate);
            }
        }
        let holds_from = highest[PREFIX_SERVERS - 1];
        let speeds = candidates.iter().filter_map(|c| c.server.speed());
        let fastest = speeds.fold(0.0, f64::max);
        let slowness = |c: &Candidate<'_>| match c.server.speed() {
            Some(speed) if speed > 0.0 => (fastest / speed).min(SLOWEST),
            _ => 1.0,
        };
        let cost = |c: &Candidate<'_>| {
            let gain = if rank(c) >= holds_from { PREFIX_GAIN } else { 0.0 };
            let time = (1.0 + c.server.load_ratio()) * slowness(c);
            time + distance_cost(c.server.distance) - gain
        };
        let best = candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        Some(best.server.info.name.clone())
    }
}

fn distance_cost(distance: Distance) -> f64 {
    match distance {
        Distance::Zone => 0.0,
        Distance::Region => REGION_COST,
        Distance::Remote => REMOTE_COST,
    }
}

/// Baseline: the servers in turn.
#[derive(Debug, Default, Clone)]
pub struct RoundRobinPick {
    turn: usize,
}

impl Pick for RoundRobinPick {
    fn pick(&mut self, candidates: &[Candidate<'_>], _prefix: u64) -> Option<ServerId> {
        self.turn = self.turn.wrapping_add(1);
        let chosen = candidates.get(self.turn.checked_rem(candidates.len())?)?;
        Some(chosen.server.info.name.clone())
    }
}

/// Baseline: the server with the fewest requests for its slots.
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
