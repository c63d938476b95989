//! Request rates that backend servers accept from all daemons together, as far as this daemon knows
//! them: from the servers' responses, and from the other daemons.

use buckthornfall_proto::{ids::ServerId, messages::LimitNotice};
use rustc_hash::FxHashMap;

use crate::{store::StoreClock, Now};

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

/// Latest known statement of one server process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Maximum requests per second from all daemons together, finite and not negative; `None` once
    /// the server has stopped stating a limit.
    pub rate: Option<f64>,
    /// Start time of the server process, in Unix milliseconds.
    pub started_ms: u64,
    /// When the latest request was sent whose response stated this. Responses may overtake each
    /// other, so this orders the statements.
    pub stated_at: Now,
    /// When that response arrived; not before `stated_at`.
    pub received_at: Now,
}

impl Limit {
    /// Creates the message that tells another daemon of the limit. It states times by the clock of the
    /// store, as the receiver may handle it late.
    pub fn notice(&self, now: Now, clock: StoreClock, server: &str) -> LimitNotice {
        LimitNotice {
            server: server.to_owned(),
            limited: self.rate.is_some(),
            rate: self.rate.unwrap_or_default(),
            started_ms: self.started_ms,
            at_ms: clock.to_clock_ms(now, self.stated_at),
        }
    }

    /// Decodes the message of another daemon; `None` if its rate is not valid.
    pub fn from_notice(now: Now, clock: StoreClock, notice: &LimitNotice) -> Option<Limit> {
        let is_valid = notice.rate.is_finite() && notice.rate >= 0.0;
        is_valid.then(|| Limit {
            rate: notice.limited.then_some(notice.rate),
            started_ms: notice.started_ms,
            stated_at: clock.to_local(now, notice.at_ms).min(now),
            received_at: now,
        })
    }
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
    /// Records the rate stated in a response of the server process started at `started_ms` to a
    /// request sent at `sent_at`, and returns what it changes.
    pub fn on_response(
        &mut self,
        now: Now,
        sent_at: Now,
        server: &str,
        started_ms: u64,
        stated: StatedRate,
    ) -> Option<LimitChange> {
        let known = self.limits.get(server).copied();
        if known.is_some_and(|known| known.started_ms > started_ms) {
            return None;
        }
        let rate = match stated {
            StatedRate::PerSecond(rate) => Some(rate),
            StatedRate::Unlimited => None,
            StatedRate::Unreadable => return Some(LimitChange::Unreadable),
        };
        let same_process = known.filter(|known| known.started_ms == started_ms);
        let known_rate = same_process.and_then(|known| known.rate);
        // Of two statements whose order is unknown, the lower one counts.
        let rises = rate.unwrap_or(f64::INFINITY) > known_rate.unwrap_or(f64::INFINITY);
        let may_be_older = same_process.is_some_and(|known| sent_at < known.received_at);
        if (rises && may_be_older) || (rate.is_none() && known.is_none()) {
            return None;
        }
        let limit = Limit { rate, started_ms, stated_at: sent_at, received_at: now };
        self.limits.insert(server.to_owned(), limit);
        match rate {
            Some(rate) => (known_rate != Some(rate)).then_some(LimitChange::Stated(rate)),
            None => known.and_then(|known| known.rate).map(|_| LimitChange::Withdrawn),
        }
    }

    /// Adopts what another daemon knows, if it is newer, and returns whether the rate changed.
    pub fn learn(&mut self, server: &str, limit: Limit) -> bool {
        let known = self.limits.get(server).copied();
        let age = |limit: &Limit| (limit.started_ms, limit.stated_at);
        if known.is_some_and(|known| age(&known) >= age(&limit)) {
            return false;
        }
        self.limits.insert(server.to_owned(), limit);
        known.and_then(|known| known.rate) != limit.rate
    }

    /// Returns what is known of a server, limited or not.
    pub fn get(&self, server: &str) -> Option<&Limit> {
        self.limits.get(server)
    }

    /// Returns the limit of the server process started at `started_ms`; `None` if it has none.
    pub fn limit(&self, server: &str, started_ms: u64) -> Option<&Limit> {
        let known = self.limits.get(server)?;
        (known.started_ms == started_ms && known.rate.is_some()).then_some(known)
    }

    /// Iterates over the servers with what is known of them.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, &Limit)> {
        self.limits.iter()
    }

    /// Forgets the servers for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&ServerId, &Limit) -> bool) {
        self.limits.retain(|server, limit| keep(server, limit));
    }
}
