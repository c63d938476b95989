//! A daemon stops to act by what was changed in time after the change, whatever its reads go through: an owner
//! ends the work of a job, and no request is decided by an older version of the desired state.

use std::time::Duration;

use buckthornfall_core::{freshness::Freshness, Now};
use rand::{rngs::SmallRng, Rng, SeedableRng};

const CANCELLATION: Duration = Duration::from_millis(3_000);
const STEP: Duration = Duration::from_millis(10);
const DAY: Duration = Duration::from_secs(60);
/// Time within which a change of the desired state is in force.
const APPLY: Duration = Duration::from_millis(2_500);
/// Time without disturbance after which a daemon must keep these times.
const CONTACT: Duration = Duration::from_secs(4);
/// Longest duration and timeout of a read of the jobs' rows.
const READ_TIME: Duration = Duration::from_millis(550);
const READ_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Longest time between two turns of a busy daemon, in which it handles nothing.
const BUSY_TIME: Duration = Duration::from_millis(2_500);
/// Interval, longest duration and timeout of the other calls to the store.
const CALL_INTERVAL: Duration = Duration::from_millis(400);
const CALL_TIME: Duration = Duration::from_millis(600);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

fn may_send(freshness: &Freshness, now: Now) -> bool {
    freshness.may_act(now, CANCELLATION / 2)
}

fn may_decide(freshness: &Freshness, now: Now) -> bool {
    freshness.may_act(now, APPLY / 40)
}

/// A span of time.
#[derive(Debug, Clone, Copy)]
struct Span {
    from: Now,
    until: Now,
}

impl Span {
    fn random(rng: &mut SmallRng, longest_ms: u64) -> Span {
        let from = Duration::from_millis(rng.random_range(5_000..50_000));
        Span { from, until: from + Duration::from_millis(rng.random_range(0..longest_ms)) }
    }

    fn contains(&self, at: Now) -> bool {
        self.from <= at && at < self.until
    }

    /// Returns whether the span overlaps the time between `from` and `until`.
    fn overlaps(&self, from: Now, until: Now) -> bool {
        self.from < until && from < self.until
    }
}

/// One daemon and what disturbs it.
struct Day {
    /// Reads of the jobs' rows get no reply; the other calls do.
    deaf: Span,
    /// The daemon has little processor time.
    busy: Span,
    /// The store answers no call of the daemon, or is away for all.
    outage: Span,
    /// The process does not run.
    pause: Span,
    /// When the change is stored, for example the end of a job.
    end: Now,
    /// Time within which the change must be in effect.
    bound: Duration,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Steps in which work was sent too late after the end, by a daemon without disturbance.
    late: usize,
    /// Steps of an outage that nothing else precedes, but for its first part, and those with work.
    outage_steps: usize,
    outage_sent: usize,
    /// Steps without any disturbance before the end, and those with work.
    calm_steps: usize,
    calm_sent: usize,
}

/// A call in flight.
#[derive(Clone, Copy)]
struct Call {
    sent_at: Now,
    reply_at: Now,
}

impl Day {
    fn random(seed: u64, bound: Duration) -> Day {
        let mut rng = SmallRng::seed_from_u64(seed);
        Day {
            deaf: Span::random(&mut rng, 15_000),
            busy: Span::random(&mut rng, 10_000),
            outage: Span::random(&mut rng, 12_000),
            pause: Span::random(&mut rng, 8_000),
            end: Duration::from_millis(rng.random_range(5_000..50_000)),
            bound,
        }
    }

    fn is_answered(&self, call: Call, at: Now) -> bool {
        !self.outage.overlaps(call.sent_at, at + STEP)
    }

    fn play(&self, seed: u64, may_send: impl Fn(&Freshness, Now) -> bool) -> Outcome {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut freshness = Freshness::new(self.bound);
        let mut outcome = Outcome::default();
        let (mut contact_at, mut knows_end) = (Now::ZERO, false);
        let (mut read, mut call): (Option<Call>, Option<Call>) = (None, None);
        let mut next_call_at = Now::ZERO;
        let mut next_turn_at = Now::ZERO;
        let mut now = Now::ZERO;
        while now < DAY {
            now += STEP;
            if self.pause.contains(now) {
                continue;
            }
            if now < next_turn_at {
                continue;
            }
            if self.busy.contains(now) {
                next_turn_at = now + BUSY_TIME.mul_f64(rng.random_range(0.0..1.0));
            }
            let new_call = |rng: &mut SmallRng, longest: Duration| Call {
                sent_at: now,
                reply_at: now + longest.mul_f64(rng.random_range(0.05..1.0)),
            };
            let pending = *read.get_or_insert_with(|| new_call(&mut rng, READ_TIME));
            if now >= pending.reply_at && !self.deaf.contains(now) && self.is_answered(pending, now)
            {
                contact_at = now;
                knows_end |= self.end <= pending.sent_at;
                freshness.on_read(pending.sent_at);
                read = None;
            } else if now >= pending.sent_at + READ_TIMEOUT {
                read = None;
            }
            if now >= next_call_at {
                let pending = *call.get_or_insert_with(|| new_call(&mut rng, CALL_TIME));
                if now >= pending.reply_at && self.is_answered(pending, now) {
                    contact_at = now;
                    (call, next_call_at) = (None, now + CALL_INTERVAL);
                } else if now >= pending.sent_at + CALL_TIMEOUT {
                    (call, next_call_at) = (None, now);
                }
            }
            freshness.on_tick(now, contact_at);
            let sends = !knows_end && may_send(&freshness, now);
            self.count(now, sends, &mut outcome);
        }
        outcome
    }

    fn count(&self, now: Now, sends: bool, outcome: &mut Outcome) {
        let disturbances = [self.outage, self.pause];
        let is_in_touch =
            !disturbances.iter().any(|d| d.overlaps(now.saturating_sub(CONTACT), now));
        outcome.late += usize::from(sends && is_in_touch && now > self.end + self.bound);
        if now >= self.end {
            return;
        }
        let others = [self.deaf, self.busy, self.pause];
        let calm_since = |from: Now| {
            let from = from.saturating_sub(CONTACT);
            others.iter().all(|span| !span.overlaps(from, now))
        };
        let is_settled = now >= self.outage.from + self.bound / 2 + CALL_TIME;
        if self.outage.contains(now) && is_settled && calm_since(self.outage.from) {
            outcome.outage_steps += 1;
            outcome.outage_sent += usize::from(sends);
        }
        if is_in_touch && calm_since(now) && now > CONTACT {
            outcome.calm_steps += 1;
            outcome.calm_sent += usize::from(sends);
        }
    }
}

fn play_all(bound: Duration, may_send: impl Fn(&Freshness, Now) -> bool) -> Outcome {
    let mut total = Outcome::default();
    for seed in 0..1_000 {
        let outcome = Day::random(seed, bound).play(seed, &may_send);
        total.late += outcome.late;
        total.outage_steps += outcome.outage_steps;
        total.outage_sent += outcome.outage_sent;
        total.calm_steps += outcome.calm_steps;
        total.calm_sent += outcome.calm_sent;
    }
    total
}

#[test]
fn no_work_is_sent_later_than_the_cancellation_time_after_an_end() {
    let outcome = play_all(CANCELLATION, may_send);
    assert_eq!(outcome.late, 0);
    assert_eq!(outcome.calm_sent, outcome.calm_steps, "work is held without a reason");
    assert_eq!(outcome.outage_sent, outcome.outage_steps, "work is held while nobody can end jobs");
    assert!(outcome.calm_steps > 100_000 && outcome.outage_steps > 10_000, "{outcome:?}");
}

#[test]
fn work_without_a_bound_on_what_is_known_is_sent_too_late() {
    assert!(play_all(CANCELLATION, |_, _| true).late > 0);
    let bounded_twice = play_all(CANCELLATION, |freshness, now| {
        may_send(freshness, now) || freshness.age(now).is_some_and(|age| age < 2 * CANCELLATION)
    });
    assert!(bounded_twice.late > 0);
}

#[test]
fn no_request_is_decided_by_a_version_that_a_change_replaced_longer_ago_than_the_bound() {
    let outcome = play_all(APPLY, may_decide);
    assert_eq!(outcome.late, 0);
    assert_eq!(outcome.calm_sent, outcome.calm_steps, "requests are refused without a reason");
    assert_eq!(outcome.outage_sent, outcome.outage_steps, "requests are refused during an outage");
    assert!(outcome.calm_steps > 100_000 && outcome.outage_steps > 10_000, "{outcome:?}");
}

#[test]
fn requests_without_a_bound_on_what_is_known_are_decided_by_an_old_version() {
    assert!(play_all(APPLY, |_, _| true).late > 0);
    let bounded_twice = play_all(APPLY, |freshness, now| {
        may_decide(freshness, now) || freshness.age(now).is_some_and(|age| age < 2 * APPLY)
    });
    assert!(bounded_twice.late > 0);
}
