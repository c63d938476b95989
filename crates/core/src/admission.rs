//! Per-caller rate limits and the retry budget.

use std::time::Duration;

use buckthornfall_proto::{ids::CallerName, manifest::Caller};
use rustc_hash::FxHashMap;

use crate::{
    error::{ErrorKind, Refusal},
    Now,
};

/// Longest wait for tokens, also if the rate is zero.
const MAX_WAIT: Duration = Duration::from_secs(24 * 3_600);

/// A token bucket.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Refill rate, in tokens per second.
    rate: f64,
    /// Capacity, in tokens.
    burst: f64,
    /// Tokens at `updated`, at most `burst`; negative after a `charge` beyond the balance.
    tokens: f64,
    updated: Now,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Now, rate: f64, burst: f64) -> TokenBucket {
        TokenBucket { rate, burst, tokens: burst, updated: now }
    }

    /// Creates an empty bucket.
    pub fn empty(now: Now, rate: f64, burst: f64) -> TokenBucket {
        TokenBucket { tokens: 0.0, ..TokenBucket::new(now, rate, burst) }
    }

    /// Changes the rate and the capacity, and keeps the tokens that fit.
    pub fn set_rate(&mut self, now: Now, rate: f64, burst: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Returns the time until `amount` tokens have accumulated, even if they exceed the capacity.
    pub fn wait(&self, now: Now, amount: f64) -> Duration {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.time_for(amount - tokens)
    }

    /// Takes `amount` tokens, or returns the time until they are available.
    pub fn take(&mut self, now: Now, amount: f64) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= amount {
            self.tokens -= amount;
            return Ok(());
        }
        Err(self.time_for(amount.min(self.burst) - self.tokens))
    }

    /// Takes `amount` tokens even if the balance becomes negative.
    pub fn charge(&mut self, now: Now, amount: f64) {
        self.refill(now);
        self.tokens -= amount;
    }

    /// Returns whether the balance is positive.
    pub fn has_tokens(&mut self, now: Now) -> bool {
        self.refill(now);
        self.tokens > 0.0
    }

    /// Returns the time in which `missing` tokens accumulate.
    fn time_for(&self, missing: f64) -> Duration {
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
    }

    fn refill(&mut self, now: Now) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.updated = self.updated.max(now);
    }
}

#[derive(Debug)]
struct CallerState {
    limits: Caller,
    bucket: TokenBucket,
    /// Never above `limits.max_in_flight`.
    in_flight: u32,
}

/// Limits of all callers at one daemon.
#[derive(Debug, Default)]
pub struct Admission {
    callers: FxHashMap<CallerName, CallerState>,
}

impl Admission {
    /// Applies the limits of a manifest; requests in flight stay counted.
    pub fn configure(&mut self, now: Now, callers: &[Caller]) {
        let mut old = std::mem::take(&mut self.callers);
        for limits in callers {
            let state = match old.remove(&limits.name) {
                Some(state) if state.limits == *limits => state,
                known => CallerState {
                    bucket: TokenBucket::new(
                        now,
                        f64::from(limits.requests_per_s),
                        f64::from(limits.burst),
                    ),
                    in_flight: known.map_or(0, |s| s.in_flight),
                    limits: limits.clone(),
                },
            };
            self.callers.insert(limits.name.clone(), state);
        }
    }

    /// Admits one request of `caller`; each admitted request must be followed by one `release`.
    pub fn admit(&mut self, now: Now, caller: &str) -> Result<(), Refusal> {
        let Some(state) = self.callers.get_mut(caller) else {
            let message = format!("caller {caller:?} does not exist in the manifest");
            return Err(Refusal::new(ErrorKind::Forbidden, message));
        };
        if state.in_flight >= state.limits.max_in_flight {
            let message = format!(
                "caller {caller:?} has {} requests in flight, its limit at this daemon",
                state.in_flight
            );
            return Err(Refusal::new(ErrorKind::RateLimited, message));
        }
        if let Err(wait) = state.bucket.take(now, 1.0) {
            let limit = state.limits.requests_per_s;
            let message = format!("caller {caller:?} is over {limit} requests a second");
            return Err(Refusal::new(ErrorKind::RateLimited, message).retry_after(wait));
        }
        state.in_flight += 1;
        Ok(())
    }

    /// Releases an admitted request.
    pub fn release(&mut self, caller: &str) {
        if let Some(state) = self.callers.get_mut(caller) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}

/// Retry budget of one daemon, as a percentage of its first attempts.
#[derive(Debug)]
pub struct RetryBudget {
    /// Retries earned per first attempt.
    ratio: f64,
    /// Retries available now; between 0 and `MAX_BALANCE`.
    balance: f64,
}

impl RetryBudget {
    /// Maximum number of retries that accumulate; lets a daemon with little traffic still retry.
    pub const MAX_BALANCE: f64 = 10.0;

    /// Creates a budget of `percent` retries per 100 first attempts, with a full balance.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget { ratio: f64::from(percent) / 100.0, balance: RetryBudget::MAX_BALANCE }
    }

    /// Changes the percentage and keeps the balance.
    pub fn configure(&mut self, percent: u32) {
        self.ratio = f64::from(percent) / 100.0;
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.balance = (self.balance + self.ratio).min(RetryBudget::MAX_BALANCE);
    }

    /// Takes one retry if the balance allows it.
    pub fn take(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
