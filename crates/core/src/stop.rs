//! Which requests a daemon still takes during a planned stop: those that can end before it exits.
//!
//! Answers callers who cached the address: they go on sending to a daemon that leaves. A request that is
//! refused as not run goes to another daemon at once; one that is cut at the exit is lost to its caller,
//! for good if it may run only once.

use std::{collections::BTreeMap, time::Duration};

use rustc_hash::FxHashMap;

use crate::Now;

/// Time allowed for a request of a kind, as a multiple of its longest recent duration.
const DURATION_MARGIN: f64 = 1.5;
/// Time for which a longest duration is kept at least; twice that at most.
const WINDOW: Duration = Duration::from_secs(30);
/// Time from the start of a stop in which an estimate suffices for a stream that may be resumed. Lengths of
/// streams differ by more than a factor, so that later ones are taken only if they end by their deadline.
const ESTIMATE_TIME: Duration = Duration::from_millis(2_500);
/// Time allowed for sending a response before the exit.
pub const RESPONSE_TIME: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Default)]
struct Longest {
    window_start: Now,
    current: Duration,
    last: Duration,
    /// Number of requests in progress by their start.
    in_progress: BTreeMap<Now, u32>,
}

/// Longest recent duration of the requests of each route, from the whole request to the last byte of the
/// response, or until now.
#[derive(Debug, Default)]
pub struct Durations {
    routes: FxHashMap<String, Longest>,
}

impl Durations {
    /// Records the start of a request.
    pub fn begin(&mut self, now: Now, route: &str) {
        if !self.routes.contains_key(route) {
            let longest = Longest { window_start: now, ..Longest::default() };
            self.routes.insert(route.to_owned(), longest);
        }
        let longest = self.routes.get_mut(route).expect("inserted above");
        *longest.in_progress.entry(now).or_default() += 1;
    }

    /// Records the end of a request that began at `started`.
    pub fn end(&mut self, now: Now, route: &str, started: Now) {
        let Some(longest) = self.routes.get_mut(route) else { return };
        if let Some(count) = longest.in_progress.get_mut(&started) {
            *count -= 1;
            if *count == 0 {
                longest.in_progress.remove(&started);
            }
        }
        let took = now.saturating_sub(started);
        if now.saturating_sub(longest.window_start) > WINDOW {
            longest.last = longest.current;
            longest.current = Duration::ZERO;
            longest.window_start = now;
        }
        longest.current = longest.current.max(took);
    }

    /// Returns the longest recent duration of a route's requests; `None` if there were none.
    pub fn longest(&self, now: Now, route: &str) -> Option<Duration> {
        let longest = self.routes.get(route)?;
        let is_recent = now.saturating_sub(longest.window_start) <= WINDOW * 2;
        let ended = longest.current.max(longest.last);
        let ended = Some(ended).filter(|ended| is_recent && !ended.is_zero());
        let oldest = longest.in_progress.first_key_value();
        ended.max(oldest.map(|(started, _)| now.saturating_sub(*started)))
    }
}

/// A request that arrives during a planned stop.
#[derive(Debug, Clone, Copy)]
pub struct LateRequest {
    /// Time until its caller's deadline.
    pub deadline: Duration,
    /// Whether its caller may send it again whatever became of it.
    pub may_repeat: bool,
    /// Whether its response is a stream.
    pub is_stream: bool,
    /// Longest recent duration of the requests of its route.
    pub longest: Option<Duration>,
    /// Time since the stop began.
    pub since_stop: Duration,
}

impl LateRequest {
    /// Returns whether the request can end within `left`, the time until the exit. One that may run once
    /// has to be able to use all of its time, and so has a stream that begins late.
    pub fn can_end(&self, left: Duration) -> bool {
        let is_late_stream = self.is_stream && self.since_stop > ESTIMATE_TIME;
        let expected = self.longest.filter(|_| self.may_repeat && !is_late_stream);
        let expected = expected.map_or(self.deadline, |longest| longest.mul_f64(DURATION_MARGIN));
        expected.min(self.deadline) + RESPONSE_TIME <= left
    }
}
