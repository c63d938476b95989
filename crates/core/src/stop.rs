//! Which requests a daemon still takes during a planned stop: those that can end before it exits.
//!
//! Answers callers who cached the address: they go on sending to a daemon that leaves. A request that is
//! refused as not run goes to another daemon at once; one that is cut at the exit is lost to its caller,
//! for good if it may run only once.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::Now;

/// Time allowed for a request of a kind, as a multiple of its longest recent duration.
const DURATION_MARGIN: f64 = 1.5;
/// Time for which a longest duration is kept at least; twice that at most.
const WINDOW: Duration = Duration::from_secs(30);
/// Time allowed for sending a response before the exit.
pub const RESPONSE_TIME: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy, Default)]
struct Longest {
    window_start: Now,
    current: Duration,
    last: Duration,
}

/// Longest recent duration of the requests of each route, from the whole request to the last byte of the
/// response.
#[derive(Debug, Default)]
pub struct Durations {
    routes: FxHashMap<String, Longest>,
}

impl Durations {
    /// Records the duration of a request.
    pub fn record(&mut self, now: Now, route: &str, took: Duration) {
        if !self.routes.contains_key(route) {
            let longest = Longest { window_start: now, ..Longest::default() };
            self.routes.insert(route.to_owned(), longest);
        }
        let longest = self.routes.get_mut(route).expect("inserted above");
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
        is_recent.then(|| longest.current.max(longest.last))
    }
}

/// A request that arrives during a planned stop.
#[derive(Debug, Clone, Copy)]
pub struct LateRequest {
    /// Time until its caller's deadline.
    pub deadline: Duration,
    /// Whether its caller may send it again whatever became of it.
    pub may_repeat: bool,
    /// Longest recent duration of the requests of its route.
    pub longest: Option<Duration>,
}

impl LateRequest {
    /// Returns whether the request can end within `left`, the time until the exit. One that may run once
    /// has to be able to use all of its time.
    pub fn can_end(&self, left: Duration) -> bool {
        let expected = self.longest.filter(|_| self.may_repeat);
        let expected = expected.map_or(self.deadline, |longest| longest.mul_f64(DURATION_MARGIN));
        expected.min(self.deadline) + RESPONSE_TIME <= left
    }
}
