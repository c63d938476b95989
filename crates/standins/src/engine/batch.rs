//! Slots of an engine's continuous batch: waiting requests enter by priority.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::{Condvar, Mutex},
    time::{Duration, Instant},
};

/// Requests that an engine runs and that wait.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    /// Priority and order of arrival of the waiting requests.
    queue: BTreeSet<(u32, u64)>,
    arrivals: u64,
    /// Load after each change, oldest first.
    history: VecDeque<(Instant, Load)>,
}

/// The batch of one engine.
#[derive(Debug)]
pub struct Batch {
    slots: u32,
    lag: Duration,
    state: Mutex<State>,
    changed: Condvar,
}

impl Batch {
    /// A batch of `slots` requests whose load is reported after `lag`.
    pub fn new(slots: u32, lag: Duration) -> Batch {
        Batch { slots, lag, state: Mutex::new(State::default()), changed: Condvar::new() }
    }

    /// Waits for a slot; it must be given back with `leave`.
    pub fn enter(&self, priority: u32) {
        let mut state = self.state.lock().expect("no holder panics");
        state.arrivals += 1;
        let ticket = (priority, state.arrivals);
        state.queue.insert(ticket);
        self.record(&mut state);
        let waits =
            |state: &mut State| state.running >= self.slots || state.queue.first() != Some(&ticket);
        let mut state = self.changed.wait_while(state, waits).expect("no holder panics");
        state.queue.remove(&ticket);
        state.running += 1;
        self.record(&mut state);
        self.changed.notify_all();
    }

    /// Gives a slot back.
    pub fn leave(&self) {
        let mut state = self.state.lock().expect("no holder panics");
        state.running -= 1;
        self.record(&mut state);
        self.changed.notify_all();
    }

    /// The load now.
    pub fn load(&self) -> Load {
        self.state.lock().expect("no holder panics").load()
    }

    /// The load as it was before the lag.
    pub fn reported(&self) -> Load {
        let mut state = self.state.lock().expect("no holder panics");
        while state.history.get(1).is_some_and(|(at, _)| at.elapsed() >= self.lag) {
            state.history.pop_front();
        }
        state.history.front().map_or(Load::default(), |(_, load)| *load)
    }

    fn record(&self, state: &mut State) {
        let load = state.load();
        state.history.push_back((Instant::now(), load));
    }
}

impl State {
    fn load(&self) -> Load {
        Load { running: self.running, queued: self.queue.len() as u32 }
    }
}
