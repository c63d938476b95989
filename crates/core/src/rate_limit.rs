//! Request rates that backend servers accept from all daemons together.

use buckthornfall_proto::ids::ServerId;
use rustc_hash::FxHashMap;

use crate::Now;

/// Request rate that a response of a server states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StatedRate {
    /// The response states no limit.
    Unlimited,
    /// Maximum requests per second, finite and not negative.
    PerSecond(f64),
    /// The response states a limit that is not a valid rate.
    Unreadable,
}

/// Limit of one server process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Maximum requests per second from all daemons together; finite and not negative.
    pub rate: f64,
    /// Start time of the server process, in Unix milliseconds.
    pub started_ms: u64,
    /// Time of the latest response that stated the limit.
    pub stated_at: Now,
}

/// Change of what is known of a server's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The server stated a limit, or another one than before.
    Stated(f64),
    /// The server stopped stating a limit.
    Withdrawn,
    /// The server stated an invalid limit; what was known before stays.
    Unreadable,
}

/// Known limits of all servers.
#[derive(Debug, Clone, Default)]
pub struct RateLimits {
    limits: FxHashMap<ServerId, Limit>,
}

impl RateLimits {
    /// Records the rate stated in a response of the server process started at `started_ms`, and
    /// returns what it changes.
    pub fn on_response(
        &mut self,
        now: Now,
        server: &str,
        started_ms: u64,
        stated: StatedRate,
    ) -> Option<LimitChange> {
        let known = self.limits.get(server).filter(|limit| limit.started_ms <= started_ms);
        let known_rate = known.filter(|limit| limit.started_ms == started_ms).map(|l| l.rate);
        match stated {
            StatedRate::PerSecond(rate) => {
                let limit = Limit { rate, started_ms, stated_at: now };
                self.limits.insert(server.to_owned(), limit);
                (known_rate != Some(rate)).then_some(LimitChange::Stated(rate))
            }
            StatedRate::Unlimited => {
                known?;
                self.limits.remove(server).map(|_| LimitChange::Withdrawn)
            }
            StatedRate::Unreadable => Some(LimitChange::Unreadable),
        }
    }

    /// Returns the limit of a server.
    pub fn get(&self, server: &str) -> Option<&Limit> {
        self.limits.get(server)
    }
}
