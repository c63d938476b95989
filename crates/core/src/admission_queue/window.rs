//! Adaptive limit on the requests that one daemon has in flight at a service.

use std::time::Duration;

use buckthornfall_proto::ids::ServerId;

use crate::Now;

/// Time for which a server counts as full after a refusal.
const FULL_TTL: Duration = Duration::from_millis(200);
/// Number of full servers from which the service counts as short of room; one alone may just be the
/// nearest one.
const SHORT_FROM: usize = 2;
/// Time without a refusal after which the service counts as having room again.
const SHORTAGE_END: Duration = Duration::from_secs(2);
/// Time without a refusal after which the limit grows faster.
const FAST_GROWTH_DELAY: Duration = Duration::from_millis(500);
/// Factor of the limit at a refusal or a late answer.
const DECREASE: f64 = 0.7;
/// Growth of the limit for as many answers in time as it allows requests.
const GROWTH: f64 = 0.1;
/// The same while there was no refusal for `FAST_GROWTH_DELAY`.
const FAST_GROWTH: f64 = 0.5;
/// Maximum factor of the limit for the accounts that compete here.
const MAX_GROWTH_WEIGHT: usize = 4;
/// Lowest limit; below 1, it is the share of the time in which one request is in flight.
const MIN_LIMIT: f64 = 1.0 / 16.0;
/// Longest pause between two requests.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Answer time assumed until a server has answered.
const DEFAULT_ANSWER_TIME: Duration = Duration::from_millis(30);
/// Weight of an answer in the moving average of the answer times.
const ANSWER_EWMA_WEIGHT: f64 = 0.2;

/// Limit on the requests of one daemon in flight at one service. There is none until servers refuse.
#[derive(Debug, Clone)]
pub struct Window {
    /// The limit, at least `MIN_LIMIT`; `None` while the service has room.
    limit: Option<f64>,
    in_flight: u32,
    /// Servers that refused a request, with the time of the last refusal.
    full: Vec<(ServerId, Now)>,
    last_refusal: Now,
    last_decrease: Now,
    /// When the next request may be sent, for a limit below 1.
    next_send: Now,
    /// Moving average of the answer times, which include the time in the servers' queues.
    answer_time: Duration,
}

impl Default for Window {
    fn default() -> Window {
        Window {
            limit: None,
            in_flight: 0,
            full: Vec::new(),
            last_refusal: Now::ZERO,
            last_decrease: Now::ZERO,
            next_send: Now::ZERO,
            answer_time: DEFAULT_ANSWER_TIME,
        }
    }
}

impl Window {
    /// Returns the limit; `None` while the service has room.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the usual time from sending a request to its answer.
    pub fn answer_time(&self) -> Duration {
        self.answer_time
    }

    /// Returns whether another request may be sent while at most `share` of the limit, and one request
    /// in any case, is in flight.
    pub fn has_room(&self, now: Now, share: f64) -> bool {
        let Some(limit) = self.limit else { return true };
        f64::from(self.in_flight) + 1.0 <= (limit * share).max(1.0) && self.next_send <= now
    }

    /// Returns when a pause between two requests ends, if one lasts.
    pub fn pause_end(&self, now: Now) -> Option<Now> {
        (self.limit.is_some() && self.next_send > now).then_some(self.next_send)
    }

    /// Returns the expected time until `count` further requests have been sent.
    pub fn expected_wait(&self, now: Now, count: usize) -> Duration {
        let Some(limit) = self.limit else { return Duration::ZERO };
        let pause = self.next_send.saturating_sub(now);
        pause + self.interval(limit) * u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the mean time between two requests.
    fn interval(&self, limit: f64) -> Duration {
        self.answer_time.div_f64(limit).min(MAX_PAUSE)
    }

    /// Counts a request that is sent. `spread`, from 0 to 1, varies the pause after it, so that the
    /// daemons' requests do not meet.
    pub fn on_send(&mut self, now: Now, spread: f64) {
        self.in_flight += 1;
        if let Some(limit) = self.limit.filter(|limit| *limit < 1.0) {
            self.next_send = now + self.interval(limit).mul_f64(0.5 + spread);
        }
    }

    /// Counts the end of a request.
    pub fn on_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Handles a refusal by one of the service's `servers`, which was full. Returns whether the service
    /// became short of room.
    pub fn on_refusal(&mut self, now: Now, server: &str, servers: usize) -> bool {
        self.last_refusal = now;
        self.full.retain(|(id, at)| id != server && now.saturating_sub(*at) < FULL_TTL);
        self.full.push((server.to_owned(), now));
        if self.limit.is_some() {
            self.decrease(now, MIN_LIMIT);
            return false;
        }
        if self.full.len() < SHORT_FROM.min(servers) {
            return false;
        }
        self.limit = Some(f64::from(self.in_flight.max(1)) * DECREASE);
        self.last_decrease = now;
        true
    }

    /// Handles an answer to a request with a latency objective, while requests of `accounts` accounts
    /// are here: daemons where more accounts compete get a larger share.
    pub fn on_answer(&mut self, now: Now, took: Duration, objective: Duration, accounts: usize) {
        let change = (took.as_secs_f64() - self.answer_time.as_secs_f64()) * ANSWER_EWMA_WEIGHT;
        let answer_time = self.answer_time.as_secs_f64() + change;
        self.answer_time = Duration::from_secs_f64(answer_time.max(0.001));
        let Some(limit) = self.limit else { return };
        let is_quiet = now.saturating_sub(self.last_refusal) > FAST_GROWTH_DELAY;
        if took > objective && !is_quiet {
            // Waits in the servers' queues; fewer than one request at a time would leave slots empty.
            self.decrease(now, limit.min(1.0));
        } else if took <= objective / 2 || is_quiet {
            let growth = if is_quiet { FAST_GROWTH } else { GROWTH };
            // The limits of two daemons relate as the square roots of their growth.
            let weight = accounts.clamp(1, MAX_GROWTH_WEIGHT) as f64;
            self.limit = Some(limit + growth * weight * weight * limit.min(1.0 / limit));
        }
    }

    /// Lowers the limit, at most once in the time of an answer: what was refused together tells no more
    /// than one refusal.
    fn decrease(&mut self, now: Now, min: f64) {
        let Some(limit) = self.limit else { return };
        if now.saturating_sub(self.last_decrease) >= self.answer_time {
            self.limit = Some((limit * DECREASE).max(min));
            self.last_decrease = now;
        }
    }

    /// Lifts the limit if no server has refused for some time. Returns whether it was lifted.
    pub fn expire(&mut self, now: Now) -> bool {
        let is_over = now.saturating_sub(self.last_refusal) >= SHORTAGE_END;
        let is_lifted = self.limit.is_some() && is_over;
        if is_lifted {
            self.limit = None;
        }
        is_lifted
    }
}
