//! Slots of an engine's continuous batch. Queued requests are admitted in order of priority.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::{Condvar, Mutex},
    time::{Duration, Instant},
};

/// Number of running and queued requests of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in the batch.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    /// Queued requests, ordered by priority and then by arrival.
    queue: BTreeSet<(u32, u64)>,
    arrivals: u64,
    /// Load after each change, oldest first.
    history: VecDeque<(Instant, Load)>,
}

/// Batch of one engine.
#[derive(Debug)]
pub struct Batch {
    slots: u32,
    lag: Duration,
    state: Mutex<State>,
    changed: Condvar,
}

impl Batch {
    /// Creates a batch of `slots` requests whose load is reported after `lag`.
    pub fn new(slots: u32, lag: Duration) -> Batch {
        Batch { slots, lag, state: Mutex::new(State::default()), changed: Condvar::new() }
    }

    /// Waits for a slot, which must be released with `release`.
    pub fn acquire(&self, priority: u32) {
        let mut state = self.state.lock().expect("lock poisoned");
        state.arrivals += 1;
        let ticket = (priority, state.arrivals);
        state.queue.insert(ticket);
        self.record_load(&mut state);
        let must_wait =
            |state: &mut State| state.running >= self.slots || state.queue.first() != Some(&ticket);
        let mut state = self.changed.wait_while(state, must_wait).expect("lock poisoned");
        state.queue.remove(&ticket);
        state.running += 1;
        self.record_load(&mut state);
        self.changed.notify_all();
    }

    /// Releases a slot.
    pub fn release(&self) {
        let mut state = self.state.lock().expect("lock poisoned");
        state.running -= 1;
        self.record_load(&mut state);
        self.changed.notify_all();
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        self.state.lock().expect("lock poisoned").load()
    }

    /// Returns the load as it was `lag` ago.
    pub fn reported_load(&self) -> Load {
        let mut state = self.state.lock().expect("lock poisoned");
        while state.history.get(1).is_some_and(|(at, _)| at.elapsed() >= self.lag) {
            state.history.pop_front();
        }
        state.history.front().map_or(Load::default(), |(_, load)| *load)
    }

    fn record_load(&self, state: &mut State) {
        let load = state.load();
        state.history.push_back((Instant::now(), load));
    }
}

impl State {
    fn load(&self) -> Load {
        Load { running: self.running, queued: self.queue.len() as u32 }
    }
}
