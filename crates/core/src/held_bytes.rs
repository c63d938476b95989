//! Budget of the bytes of bodies that a daemon holds in memory.
//!
//! Each body has a maximum size, but many long ones at once, of slow callers or of servers that send
//! without end, exceed the memory of a host. Each purpose has a share of its own, so that one does not
//! use up what the others need.

use crate::server_bytes::SHORT_BODY_BYTES;

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Responses of servers to callers' requests.
    Responses,
    /// Bodies of callers' requests.
    Requests,
    /// Events of samples that have not arrived whole.
    Events,
    /// Results and bodies of samples that callers read.
    Results,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Purpose; 4] =
        [Purpose::Responses, Purpose::Requests, Purpose::Events, Purpose::Results];

    /// Returns the name of the purpose in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Responses => "responses",
            Purpose::Requests => "requests",
            Purpose::Events => "events",
            Purpose::Results => "results",
        }
    }

    /// Returns the share of the memory limit, as a divisor.
    fn divisor(self) -> usize {
        match self {
            Purpose::Responses => 6,
            Purpose::Requests => 3,
            Purpose::Events => 24,
            Purpose::Results => 12,
        }
    }
}

/// Part of the memory limit, as a divisor, for what lies in the buffers of bodies that wait.
const WAITING_DIVISOR: usize = 16;
/// Bytes of a body that waits for the budget: as much of it as is not counted, and as much again in the
/// buffer of its connection.
const WAITING_BODY_BYTES: usize = 2 * SHORT_BODY_BYTES;
/// Part of the share of responses that one of them may take up while its caller reads slowly, as a divisor.
const READ_AHEAD_DIVISOR: usize = 2;
/// Part of the free share of results that one page of them may take up, as a divisor. Callers read on where a
/// page ends, so that shorter pages serve more of them.
const PAGE_DIVISOR: usize = 8;

/// Bytes held for each purpose.
///
/// Invariant: the bytes of a purpose exceed its share only while one body alone does.
#[derive(Debug, Clone)]
pub struct HeldBytes {
    shares: [usize; Purpose::ALL.len()],
    held: [usize; Purpose::ALL.len()],
    /// Bodies that wait for the budget.
    waiting: usize,
    max_waiting: usize,
}

impl HeldBytes {
    /// Creates the budget of a process that may use `memory_bytes`.
    pub fn new(memory_bytes: usize) -> HeldBytes {
        let shares = Purpose::ALL.map(|purpose| memory_bytes / purpose.divisor());
        let max_waiting = memory_bytes / WAITING_DIVISOR / WAITING_BODY_BYTES;
        HeldBytes { shares, held: [0; Purpose::ALL.len()], waiting: 0, max_waiting }
    }

    /// Changes what one body holds from `current` to `wanted` bytes. Returns whether the budget allows
    /// it; a body that holds less, or all of what is held, is always allowed.
    pub fn resize(&mut self, purpose: Purpose, current: usize, wanted: usize) -> bool {
        let (held, share) = (&mut self.held[purpose as usize], self.shares[purpose as usize]);
        let others = held.saturating_sub(current);
        if wanted > current && others > 0 && others + wanted > share {
            return false;
        }
        *held = others + wanted;
        true
    }

    /// Counts a body that waits for the budget. Returns false if too many wait: it is refused at once.
    pub fn start_wait(&mut self) -> bool {
        let may_wait = self.waiting < self.max_waiting;
        self.waiting += usize::from(may_wait);
        may_wait
    }

    /// Ends the count of a body that waited.
    pub fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns the bytes up to which one response is read ahead of its caller.
    pub fn read_ahead_limit(&self) -> usize {
        self.share(Purpose::Responses) / READ_AHEAD_DIVISOR
    }

    /// Returns the maximum size in bytes of the next page of results: `longest`, or less when the budget is
    /// short. A short body is not counted, so that the budget always allows it.
    pub fn page_limit(&self, longest: usize) -> usize {
        let free = self.share(Purpose::Results).saturating_sub(self.held(Purpose::Results));
        (free / PAGE_DIVISOR).max(SHORT_BODY_BYTES).min(longest)
    }

    /// Returns the bytes held for a purpose.
    pub fn held(&self, purpose: Purpose) -> usize {
        self.held[purpose as usize]
    }

    /// Returns the share of a purpose in bytes.
    pub fn share(&self, purpose: Purpose) -> usize {
        self.shares[purpose as usize]
    }
}
