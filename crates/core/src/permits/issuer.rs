//! The permits of one server: who gets the next one, and when.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use buckthornfall_proto::ids::ServerId;
use rustc_hash::FxHashMap;

use super::{PermitClass, PermitSource, Verdict};
use crate::{admission::TokenBucket, Now};

/// Lowest issued rate, in requests per second. A server that states zero still gets a request now
/// and then, as only its responses show that the limit is withdrawn.
const MIN_RATE: f64 = 0.2;
/// Highest issued rate, in requests per second.
const MAX_RATE: f64 = 1e6;
/// Time over which unused permits accumulate.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Maximum number of requests that wait for permits of one server.
const MAX_WAITING: usize = 256;
/// Shortest time until the next poll: the wait for a permit is rounded down to a nanosecond.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Time after which a budget that is not used is forgotten.
const IDLE_TTL: Duration = Duration::from_secs(600);

/// Number of a waiting request.
pub type Ticket = u64;

/// What becomes of a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Issue {
    /// It is decided.
    Decided(Verdict),
    /// It waits; [`Issuer::poll`] decides it.
    Waiting(Ticket),
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    expires_at: Now,
}

/// Waiting requests of one class.
#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<Waiting>,
    /// Permits issued to the queue divided by its weight; the lowest is served next.
    pass: f64,
}

/// Permits of one server.
#[derive(Debug)]
struct Budget {
    rate: f64,
    bucket: TokenBucket,
    queues: BTreeMap<PermitClass, Queue>,
    /// `Queue::pass` of the queue that was served last.
    pass: f64,
    used_at: Now,
}

impl Budget {
    /// Creates a budget without permits: another daemon may have issued the latest ones just now.
    fn new(now: Now, rate: f64) -> Budget {
        let bucket = TokenBucket::empty(now, rate, burst(rate));
        Budget { rate, bucket, queues: BTreeMap::new(), pass: 0.0, used_at: now }
    }

    fn set_rate(&mut self, now: Now, rate: f64) {
        if rate != self.rate {
            self.rate = rate;
            self.bucket.set_rate(now, rate, burst(rate));
        }
    }

    fn waiting(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }

    /// Returns the wait of a further request of `class`, if no more urgent ones arrive.
    fn expected_wait(&self, now: Now, class: PermitClass) -> Duration {
        let own = self.queues.get(&class).map_or(0, |queue| queue.waiting.len()) + 1;
        let ahead_of = |(other, queue): (&PermitClass, &Queue)| {
            let waiting = queue.waiting.len() as f64;
            if *other == class || other.source == PermitSource::Control {
                waiting
            } else if class.source == PermitSource::Control {
                0.0
            } else {
                waiting.min(own as f64 * other.weight() / class.weight())
            }
        };
        let ahead: f64 = self.queues.iter().map(ahead_of).sum();
        self.bucket.wait(now, ahead + 1.0)
    }

    fn enqueue(&mut self, class: PermitClass, waiting: Waiting) {
        let pass = self.pass;
        let queue = self.queues.entry(class).or_default();
        if queue.waiting.is_empty() {
            queue.pass = queue.pass.max(pass);
        }
        queue.waiting.push_back(waiting);
    }

    /// Removes the request that is served next.
    fn dequeue(&mut self) -> Option<(PermitClass, Waiting)> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.waiting.is_empty());
        let is_control = |class: &PermitClass| class.source == PermitSource::Control;
        let next = waiting.min_by(|(a, queue_a), (b, queue_b)| {
            is_control(b).cmp(&is_control(a)).then(queue_a.pass.total_cmp(&queue_b.pass))
        });
        let class = *next?.0;
        let queue = self.queues.get_mut(&class)?;
        self.pass = queue.pass;
        queue.pass += 1.0 / class.weight();
        queue.waiting.pop_front().map(|waiting| (class, waiting))
    }

    fn poll(&mut self, now: Now, out: &mut Vec<(Ticket, Verdict)>) {
        let mut expired = Vec::new();
        for (class, queue) in &mut self.queues {
            queue.waiting.retain(|waiting| {
                let keep = waiting.expires_at > now;
                if !keep {
                    expired.push((*class, waiting.ticket));
                }
                keep
            });
        }
        while self.waiting() > 0 && self.bucket.take(now, 1.0).is_ok() {
            let Some((class, waiting)) = self.dequeue() else { break };
            let next = self.expected_wait(now, class);
            out.push((waiting.ticket, Verdict { granted: true, next }));
            self.used_at = now;
        }
        for (class, ticket) in expired {
            let next = self.expected_wait(now, class);
            out.push((ticket, Verdict { granted: false, next }));
        }
        self.queues.retain(|_, queue| !queue.waiting.is_empty() || queue.pass > self.pass);
    }

    /// Returns when `poll` has something to decide.
    fn next_due(&self, now: Now) -> Option<Now> {
        let waiting = self.queues.values().flat_map(|queue| &queue.waiting);
        let expires_at = waiting.map(|waiting| waiting.expires_at).min()?;
        let next_permit = self.bucket.wait(now, 1.0).max(MIN_POLL_INTERVAL);
        Some(expires_at.min(now + next_permit))
    }
}

fn burst(rate: f64) -> f64 {
    1.0 + rate * BURST_TIME.as_secs_f64()
}

/// Issues the permits of the servers that this daemon is responsible for.
#[derive(Debug, Default)]
pub struct Issuer {
    budgets: FxHashMap<ServerId, Budget>,
    last_ticket: Ticket,
}

impl Issuer {
    /// Handles a request for a permit of a server that takes `rate` requests per second. It waits
    /// for at most `patience`.
    pub fn request(
        &mut self,
        now: Now,
        server: &str,
        rate: f64,
        class: PermitClass,
        patience: Duration,
    ) -> Issue {
        let rate = rate.clamp(MIN_RATE, MAX_RATE);
        let budget =
            self.budgets.entry(server.to_owned()).or_insert_with(|| Budget::new(now, rate));
        budget.set_rate(now, rate);
        let is_first = budget.waiting() == 0 || class.source == PermitSource::Control;
        if is_first && budget.bucket.take(now, 1.0).is_ok() {
            budget.used_at = now;
            let next = budget.expected_wait(now, class);
            return Issue::Decided(Verdict { granted: true, next });
        }
        let wait = budget.expected_wait(now, class);
        if wait > patience || budget.waiting() >= MAX_WAITING {
            return Issue::Decided(Verdict { granted: false, next: wait });
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        budget.enqueue(class, Waiting { ticket, expires_at: now + patience });
        Issue::Waiting(ticket)
    }

    /// Withdraws a waiting request.
    pub fn cancel(&mut self, server: &str, ticket: Ticket) {
        let Some(budget) = self.budgets.get_mut(server) else { return };
        for queue in budget.queues.values_mut() {
            queue.waiting.retain(|waiting| waiting.ticket != ticket);
        }
    }

    /// Decides the waiting requests that are due.
    pub fn poll(&mut self, now: Now, out: &mut Vec<(Ticket, Verdict)>) {
        self.budgets.values_mut().for_each(|budget| budget.poll(now, out));
        self.budgets.retain(|_, budget| {
            budget.waiting() > 0 || now.saturating_sub(budget.used_at) < IDLE_TTL
        });
    }

    /// Returns when [`Issuer::poll`] has something to decide.
    pub fn next_due(&self, now: Now) -> Option<Now> {
        self.budgets.values().filter_map(|budget| budget.next_due(now)).min()
    }
}
