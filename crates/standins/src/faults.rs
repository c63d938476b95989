//! Faults of the platform's services, switched on by tests and demos.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

/// What a service does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It runs and answers.
    Answer,
    /// It does not run; the connection ends.
    Drop,
    /// It runs; the connection ends before the reply.
    LoseReply,
}

#[derive(Debug, Default)]
struct State {
    down_until: Option<Instant>,
    delay: Duration,
    replies_to_lose: u32,
}

/// Faults of one service.
#[derive(Debug, Default)]
pub struct Faults {
    state: Mutex<State>,
}

impl Faults {
    /// Makes the service drop every request for a while.
    pub fn outage(&self, duration: Duration) {
        self.state.lock().expect("no holder panics").down_until = Some(Instant::now() + duration);
    }

    /// Makes every answer slower.
    pub fn slow(&self, delay: Duration) {
        self.state.lock().expect("no holder panics").delay = delay;
    }

    /// Makes the next `count` writes take effect without a reply.
    pub fn lose_replies(&self, count: u32) {
        self.state.lock().expect("no holder panics").replies_to_lose = count;
    }

    /// What happens to the next request, after the delay.
    pub fn next(&self, is_write: bool) -> Fate {
        let mut state = self.state.lock().expect("no holder panics");
        let down = state.down_until.is_some_and(|until| Instant::now() < until);
        let delay = state.delay;
        let lose = is_write && state.replies_to_lose > 0;
        if lose && !down {
            state.replies_to_lose -= 1;
        }
        drop(state);
        super::server::pause(delay);
        match (down, lose) {
            (true, _) => Fate::Drop,
            (false, true) => Fate::LoseReply,
            (false, false) => Fate::Answer,
        }
    }
}
