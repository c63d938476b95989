//! Usage of client accounts: counts of the requests that servers began, by window of time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::accounts::AccountName;

/// Number of a window; window `k` begins `k` times its length after the start of 1970.
pub type Window = u64;
/// Numbers of requests by client account.
pub type Counts = BTreeMap<AccountName, u64>;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Returns the window that contains the time `since_epoch`.
pub fn window_at(since_epoch: Duration, length: Duration) -> Window {
    let window = since_epoch.as_nanos() / length.as_nanos().max(1);
    Window::try_from(window).unwrap_or(Window::MAX)
}

/// Returns when a window ends, as a time since the start of 1970.
pub fn window_end(window: Window, length: Duration) -> Duration {
    let nanos = length.as_nanos().saturating_mul(u128::from(window) + 1);
    let seconds = u64::try_from(nanos / NANOS_PER_SECOND).unwrap_or(u64::MAX);
    Duration::new(seconds, (nanos % NANOS_PER_SECOND) as u32)
}

/// Adds counts of one part to those of the whole.
pub fn add(total: &mut Counts, part: &Counts) {
    for (account, count) in part {
        let sum = total.entry(account.clone()).or_default();
        *sum = sum.saturating_add(*count);
    }
}

/// Requests that servers began for one daemon, and which of the counts are not stored yet.
#[derive(Debug, Default)]
pub struct Tally {
    windows: BTreeMap<Window, Counts>,
    /// Windows whose counts differ from what was last stored; keys of `windows`.
    unsaved: BTreeSet<Window>,
}

/// Number of windows whose counts a daemon keeps; far more than until a window is reported.
const KEPT_WINDOWS: Window = 24;

impl Tally {
    /// Counts a request that was sent to a server.
    pub fn on_sent(&mut self, window: Window, account: &str) {
        let counts = self.windows.entry(window).or_default();
        match counts.get_mut(account) {
            Some(count) => *count += 1,
            None => drop(counts.insert(account.to_owned(), 1)),
        }
        self.unsaved.insert(window);
    }

    /// Takes back a request that its server has not begun.
    pub fn on_not_begun(&mut self, window: Window, account: &str) {
        let count = self.windows.get_mut(&window).and_then(|counts| counts.get_mut(account));
        if let Some(count) = count {
            *count = count.saturating_sub(1);
            self.unsaved.insert(window);
        }
    }

    /// Returns the windows whose counts are not stored, with all of their counts.
    pub fn unsaved(&self) -> Vec<(Window, Counts)> {
        let counts = |window: &Window| self.windows.get(window).cloned().unwrap_or_default();
        self.unsaved.iter().map(|window| (*window, counts(window))).collect()
    }

    /// Records that these counts of a window are stored. They may have changed since.
    pub fn on_saved(&mut self, window: Window, saved: &Counts) {
        if self.windows.get(&window) == Some(saved) {
            self.unsaved.remove(&window);
        }
        let oldest =
            self.windows.keys().next_back().map_or(0, |newest| newest.saturating_sub(KEPT_WINDOWS));
        self.windows = self.windows.split_off(&oldest);
        self.unsaved = self.unsaved.split_off(&oldest);
    }
}

/// Times of the reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportTimes {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window in which its report is due.
    pub due: Duration,
}

/// Part of the time until a report is due, as numerator and denominator, in which daemons store their
/// last counts. The rest is for a takeover of the duty, which takes up to two lease times.
const SETTLE_FRACTION: (u32, u32) = (2, 5);
/// The same while the store has failed lately, so that counts may be under way.
const LATE_SETTLE_FRACTION: (u32, u32) = (4, 5);
/// Time since the last failed call of the store after which counts are not under way any more.
const STEADY_TIME: Duration = Duration::from_millis(1_200);

impl ReportTimes {
    /// Returns whether the counts of a window are complete at `since_epoch`, as far as that can be
    /// known. `steady` is the time since a call of the store last failed.
    pub fn is_complete(&self, window: Window, since_epoch: Duration, steady: Duration) -> bool {
        let elapsed = since_epoch.saturating_sub(window_end(window, self.window));
        let part = |(numerator, denominator): (u32, u32)| self.due * numerator / denominator;
        let settled = elapsed >= part(SETTLE_FRACTION) && steady >= STEADY_TIME;
        settled || elapsed >= part(LATE_SETTLE_FRACTION)
    }

    /// Returns the interval at which each of `daemons` stores its counts: often enough that a lost
    /// daemon takes little with it, seldom enough for the store.
    pub fn save_interval(&self, daemons: usize) -> Duration {
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
        let shared = Duration::from_secs(1) * daemons / SAVES_PER_SECOND;
        shared.clamp(MIN_SAVE_INTERVAL, (self.window / 2).max(MIN_SAVE_INTERVAL))
    }
}

/// Total rate at which daemons store their counts.
const SAVES_PER_SECOND: u32 = 60;
/// Minimum interval between two saves of a daemon.
const MIN_SAVE_INTERVAL: Duration = Duration::from_millis(250);
