//! Per-caller limits and the retry budget.

use std::time::Duration;

use buckthornfall_proto::{ids::CallerName, manifest::Caller};
use rustc_hash::FxHashMap;

use crate::{
    error::{ErrorKind, Refusal},
    Now,
};

/// Tokens that refill at a constant rate up to a bound.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    /// Largest number of tokens.
    burst: f64,
    /// Tokens at `updated`; between 0 and `burst`.
    tokens: f64,
    updated: Now,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(now: Now, rate: f64, burst: f64) -> TokenBucket {
        TokenBucket { rate, burst, tokens: burst, updated: now }
    }

    /// Takes `amount` tokens, or says how long to wait until they are there.
    pub fn take(&mut self, now: Now, amount: f64) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= amount {
            self.tokens -= amount;
            return Ok(());
        }
        let missing = amount.min(self.burst) - self.tokens;
        Err(Duration::from_secs_f64(missing / self.rate))
    }

    /// Takes `amount` tokens even if that leaves a debt.
    pub fn charge(&mut self, now: Now, amount: f64) {
        self.refill(now);
        self.tokens -= amount;
    }

    /// Whether tokens are left.
    pub fn has_tokens(&mut self, now: Now) -> bool {
        self.refill(now);
        self.tokens > 0.0
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
    /// Takes the limits of a new manifest; requests in flight stay counted.
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

    /// Admits one request of `caller`, which must be given back with `finished`.
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

    /// Gives back an admitted request.
    pub fn finished(&mut self, caller: &str) {
        if let Some(state) = self.callers.get_mut(caller) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}

/// Retries allowed at one daemon, as a share of its first tries.
#[derive(Debug)]
pub struct RetryBudget {
    /// Retries earned by one first try.
    ratio: f64,
    /// Retries that may be made now; between 0 and `RESERVE`.
    balance: f64,
}

impl RetryBudget {
    /// Retries that can be saved up, so that a quiet daemon can still retry.
    pub const RESERVE: f64 = 10.0;

    /// A budget of `percent` retries for 100 first tries, with its reserve full.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget { ratio: f64::from(percent) / 100.0, balance: RetryBudget::RESERVE }
    }

    /// Changes the share; what is saved up stays.
    pub fn configure(&mut self, percent: u32) {
        self.ratio = f64::from(percent) / 100.0;
    }

    /// Counts a first try.
    pub fn first_try(&mut self) {
        self.balance = (self.balance + self.ratio).min(RetryBudget::RESERVE);
    }

    /// Takes one retry if the budget has it.
    pub fn take(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
