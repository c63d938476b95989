//! Admission of requests to a plain service at one daemon.
//!
//! The load that it answers: callers and the scoring requests of samples ask for more than the servers
//! of a service can take, while many daemons send to them and none sees the whole load. As long as no
//! server refuses, every request is sent at once. Then the daemon limits what it has in flight, and
//! requests wait here, in a bounded queue, or are refused at once if they cannot be served in time.
//!
//! Callers go before jobs, then the higher priority, then the account that was sent least recently,
//! then the request with the least time left. A large account uses what the others leave.

mod window;

use std::{cmp::Ordering, collections::BTreeMap, time::Duration};

use rustc_hash::FxHashMap;

use self::window::Window;
use crate::{
    accounts::AccountName,
    permits::{PermitClass, PermitSource},
    Now,
};

/// Number of a waiting request, unique within its queue.
pub type Ticket = u64;

/// Maximum number of waiting requests.
const MAX_WAITING: usize = 64;
/// Maximum size of their bodies together.
const MAX_WAITING_BYTES: usize = 1 << 20;
/// Share of the limit that jobs may use.
const JOB_SHARE: f64 = 0.5;
/// Wait after which a job's request goes with the callers' requests, so that it is not starved: its
/// step is due within seconds.
const JOB_YIELD_TIME: Duration = Duration::from_secs(1);
/// Longest wait of a job's request.
const MAX_JOB_WAIT: Duration = Duration::from_secs(2);
/// Half-life of the requests that count towards an account's share.
const SHARE_HALF_LIFE: f64 = 1.0;
/// Time after its last request for which an account competes.
const ACCOUNT_TTL: Duration = Duration::from_secs(3);
/// Part of the objective within which a newcomer is refused, so that its caller can return in time.
const PROMPT_DIVISOR: u32 = 4;
/// Share of a route's usual time limit below which a request has been refused before: a caller who
/// returns has less time left.
const RETURNED_BELOW: f64 = 0.9;
/// Lowest and highest stated delay of a refused request.
const RETRY_AFTER_BOUNDS: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(3)];

/// A request to be sent to a service.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// Source and priority.
    pub class: PermitClass,
    /// Client account; empty if none is known.
    pub account: &'a str,
    /// Name of its route.
    pub route: &'a str,
    /// Size of its body.
    pub bytes: usize,
    /// When it arrived at this daemon; earlier than now if servers have refused it meanwhile.
    pub arrived: Now,
    /// When its answer is due at the latest.
    pub deadline: Now,
    /// Latency objective of its route.
    pub objective: Duration,
    /// Whether servers have refused it before at this daemon.
    pub was_refused: bool,
    /// Random number from 0 to 1, which spreads returns and pauses.
    pub spread: f64,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// It would not be served in time.
    TooLate,
    /// Too many requests wait, and none of them goes behind it.
    QueueFull,
    /// It waited as long as it could.
    Expired,
}

impl RefusalReason {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::TooLate => "too_late",
            RefusalReason::QueueFull => "queue_full",
            RefusalReason::Expired => "expired",
        }
    }
}

/// A refusal: the request was not sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why it was refused.
    pub reason: RefusalReason,
    /// Delay after which the sender may return.
    pub retry_after: Duration,
    /// Account that was sent most in the last seconds.
    pub largest: Option<AccountName>,
}

/// Decision on a new request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// It is sent now.
    Send,
    /// It waits for its verdict.
    Wait(Ticket),
    /// It is refused.
    Refuse(Refusal),
}

/// Decision on a request that waited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent now.
    Send,
    /// It is refused.
    Refuse(Refusal),
}

#[derive(Debug, Clone)]
struct Waiting {
    class: PermitClass,
    account: AccountName,
    bytes: usize,
    deadline: Now,
    since: Now,
    /// When it is refused if it has not been sent.
    start_by: Now,
    spread: f64,
}

impl Waiting {
    /// Returns the class in which it competes now.
    fn class(&self, now: Now) -> PermitClass {
        let has_yielded = now.saturating_sub(self.since) >= JOB_YIELD_TIME;
        match self.class.source {
            PermitSource::Job if has_yielded => PermitClass::caller(self.class.priority),
            _ => self.class,
        }
    }
}

/// Recent requests of an account, decayed until `at`.
#[derive(Debug, Clone, Copy)]
struct Share {
    count: f64,
    at: Now,
    /// Time of its last request, sent or not.
    asked: Now,
}

impl Share {
    fn at(self, now: Now) -> f64 {
        let halvings = now.saturating_sub(self.at).as_secs_f64() / SHARE_HALF_LIFE;
        self.count * 0.5f64.powf(halvings)
    }
}

/// State of a queue, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Status {
    /// Number of waiting requests.
    pub waiting: usize,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Limit on them; `None` while the service has room.
    pub limit: Option<f64>,
}

/// Requests of one daemon to one plain service.
#[derive(Debug, Clone, Default)]
pub struct AdmissionQueue {
    window: Window,
    /// At most `MAX_WAITING`, with at most `MAX_WAITING_BYTES`; empty while there is no limit.
    waiting: BTreeMap<Ticket, Waiting>,
    last_ticket: Ticket,
    /// Recent requests by account, since the service is short of room.
    shares: FxHashMap<AccountName, Share>,
    /// Longest time that a request of each route had left, since the service is short of room.
    time_limits: FxHashMap<String, Duration>,
}

impl AdmissionQueue {
    /// Decides on a new request.
    pub fn arrive(&mut self, now: Now, demand: &Demand<'_>) -> Decision {
        self.expire(now);
        if self.window.limit().is_none() {
            self.window.on_send(now, demand.spread);
            return Decision::Send;
        }
        let new = self.waiting(now, demand);
        let goes_before = |other: &&Waiting| self.order(now, other, &new).is_lt();
        let ahead = self.waiting.values().filter(goes_before).count();
        let mut rivals = self.waiting.values().filter(goes_before);
        if self.has_room(now, &new) && !rivals.any(|other| self.has_room(now, other)) {
            self.send(now, &new);
            return Decision::Send;
        }
        let wait = self.window.expected_wait(now, ahead + 1);
        let is_job = demand.class.source == PermitSource::Job;
        if !is_job && now + wait > new.start_by {
            return Decision::Refuse(self.refusal(
                now,
                RefusalReason::TooLate,
                wait,
                demand.spread,
            ));
        }
        if !self.fits(&new) {
            return Decision::Refuse(self.refusal(
                now,
                RefusalReason::QueueFull,
                wait,
                demand.spread,
            ));
        }
        self.last_ticket += 1;
        self.waiting.insert(self.last_ticket, new);
        Decision::Wait(self.last_ticket)
    }

    fn waiting(&mut self, now: Now, demand: &Demand<'_>) -> Waiting {
        let left = demand.deadline.saturating_sub(now);
        let longest = self.time_limits.entry(demand.route.to_owned()).or_default();
        *longest = left.max(*longest);
        let prompt = demand.objective / PROMPT_DIVISOR;
        let patience = if demand.class.source == PermitSource::Job {
            MAX_JOB_WAIT
        } else if self.has_returned(now, demand) {
            demand.objective.saturating_sub(self.window.answer_time()).max(prompt)
        } else {
            prompt
        };
        let latest = now + left.saturating_sub(self.window.answer_time());
        let start_by = latest.min(demand.arrived + patience);
        let share = self.shares.entry(demand.account.to_owned());
        share.or_insert(Share { count: 0.0, at: now, asked: now }).asked = now;
        Waiting {
            class: demand.class,
            account: demand.account.to_owned(),
            bytes: demand.bytes,
            deadline: demand.deadline,
            since: now,
            start_by,
            spread: demand.spread,
        }
    }

    fn has_returned(&self, now: Now, demand: &Demand<'_>) -> bool {
        let left = demand.deadline.saturating_sub(now);
        let longest = self.time_limits.get(demand.route).copied().unwrap_or_default();
        demand.was_refused || left < longest.mul_f64(RETURNED_BELOW)
    }

    /// Returns which of two requests goes first.
    fn order(&self, now: Now, a: &Waiting, b: &Waiting) -> Ordering {
        let share = |of: &Waiting| self.shares.get(&of.account).map_or(0.0, |share| share.at(now));
        let by_class = a.class(now).cmp(&b.class(now));
        by_class.then(share(a).total_cmp(&share(b))).then(a.deadline.cmp(&b.deadline))
    }

    fn has_room(&self, now: Now, of: &Waiting) -> bool {
        let share = if of.class.source == PermitSource::Job { JOB_SHARE } else { 1.0 };
        self.window.has_room(now, share)
    }

    fn fits(&self, new: &Waiting) -> bool {
        let bytes: usize = self.waiting.values().map(|waiting| waiting.bytes).sum();
        self.waiting.len() < MAX_WAITING && bytes + new.bytes <= MAX_WAITING_BYTES
    }

    fn send(&mut self, now: Now, of: &Waiting) {
        self.window.on_send(now, of.spread);
        let share = self.shares.entry(of.account.clone());
        let share = share.or_insert(Share { count: 0.0, at: now, asked: now });
        (share.count, share.at) = (share.at(now) + 1.0, now);
    }

    fn refusal(&self, now: Now, reason: RefusalReason, wait: Duration, spread: f64) -> Refusal {
        let [min, max] = RETRY_AFTER_BOUNDS;
        let largest = self.shares.iter().max_by(|a, b| a.1.at(now).total_cmp(&b.1.at(now)));
        Refusal {
            reason,
            retry_after: wait.mul_f64(1.0 + spread).clamp(min, max),
            largest: largest.map(|(account, _)| account.clone()),
        }
    }

    /// Handles the refusal of a request by one of the service's `servers`, which was full. Returns
    /// whether the service became short of room.
    pub fn on_full(&mut self, now: Now, server: &str, servers: usize) -> bool {
        self.window.on_refusal(now, server, servers)
    }

    /// Handles an answer, `took` after its request was sent.
    pub fn on_answer(&mut self, now: Now, took: Duration, objective: Duration) {
        self.window.on_answer(now, took, objective, self.shares.len());
    }

    /// Counts the end of a request that was sent.
    pub fn ended(&mut self) {
        self.window.on_end();
    }

    /// Removes a waiting request whose sender has gone.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Decides on the waiting requests. Called after `ended`, and when `wake_at` has passed.
    pub fn poll(&mut self, now: Now) -> Vec<(Ticket, Verdict)> {
        self.expire(now);
        let mut verdicts = Vec::new();
        while let Some(ticket) = self.next(now) {
            let Some(waiting) = self.waiting.remove(&ticket) else { break };
            self.send(now, &waiting);
            verdicts.push((ticket, Verdict::Send));
        }
        let expired = self.waiting.iter().filter(|(_, waiting)| waiting.start_by <= now);
        let expired: Vec<_> = expired.map(|(ticket, _)| *ticket).collect();
        for ticket in expired {
            let Some(waiting) = self.waiting.remove(&ticket) else { continue };
            let wait = self.window.expected_wait(now, self.waiting.len() + 1);
            let refusal = self.refusal(now, RefusalReason::Expired, wait, waiting.spread);
            verdicts.push((ticket, Verdict::Refuse(refusal)));
        }
        verdicts
    }

    /// Returns the waiting request to be sent now, if one may be.
    fn next(&self, now: Now) -> Option<Ticket> {
        let next = self.waiting.iter().filter(|(_, waiting)| self.has_room(now, waiting));
        let next = next.min_by(|(_, a), (_, b)| self.order(now, a, b));
        next.map(|(ticket, _)| *ticket)
    }

    /// Returns when `poll` is due at the latest; `None` while nothing waits.
    pub fn wake_at(&self, now: Now) -> Option<Now> {
        let expiry = self.waiting.values().map(|waiting| waiting.start_by).min()?;
        Some(self.window.pause_end(now).map_or(expiry, |pause_end| pause_end.min(expiry)))
    }

    fn expire(&mut self, now: Now) {
        if self.window.expire(now) {
            self.shares.clear();
            self.time_limits.clear();
        }
        self.shares.retain(|_, share| now.saturating_sub(share.asked) < ACCOUNT_TTL);
    }

    /// Returns the state.
    pub fn status(&self) -> Status {
        Status {
            waiting: self.waiting.len(),
            in_flight: self.window.in_flight(),
            limit: self.window.limit(),
        }
    }
}
