//! Fault injection for the platform's services, used by tests and demos.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

/// How a service handles a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultAction {
    /// Executes the request and responds.
    Respond,
    /// Closes the connection without executing the request.
    Drop,
    /// Executes the request, but closes the connection without a reply.
    LoseReply,
}

#[derive(Debug, Default)]
struct State {
    down_until: Option<Instant>,
    delay: Duration,
    replies_to_lose: u32,
}

/// Fault state of one service.
#[derive(Debug, Default)]
pub struct Faults {
    state: Mutex<State>,
}

impl Faults {
    /// Makes the service drop all requests for `duration`.
    pub fn outage(&self, duration: Duration) {
        self.state.lock().expect("lock poisoned").down_until = Some(Instant::now() + duration);
    }

    /// Delays every response by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().expect("lock poisoned").delay = delay;
    }

    /// Makes the next `count` writes take effect without a reply.
    pub fn lose_replies(&self, count: u32) {
        self.state.lock().expect("lock poisoned").replies_to_lose = count;
    }

    /// Waits for the configured delay and returns how to handle the next request.
    pub fn next_action(&self, is_write: bool) -> FaultAction {
        let mut state = self.state.lock().expect("lock poisoned");
        let down = state.down_until.is_some_and(|until| Instant::now() < until);
        let delay = state.delay;
        let lose = is_write && state.replies_to_lose > 0;
        if lose && !down {
            state.replies_to_lose -= 1;
        }
        drop(state);
        super::server::pause(delay);
        match (down, lose) {
            (true, _) => FaultAction::Drop,
            (false, true) => FaultAction::LoseReply,
            (false, false) => FaultAction::Respond,
        }
    }
}
