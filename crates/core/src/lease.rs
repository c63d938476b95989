//! Leases with fencing tokens, stored in one row of the table service per role.
//!
//! A challenger takes over a lease only after the row has been unchanged for a full term on the
//! challenger's own clock. A holder stops acting a margin before its term ends, counted from the
//! start of its last renewal. Clocks of different hosts are never compared.

use std::{collections::VecDeque, time::Duration};

use buckthornfall_proto::{
    ids::{AttemptId, Fence},
    messages::{LeaseRow, Row, Txn},
};

use crate::{
    table::{self, ReadResult, TableError, TxnResult, ABSENT},
    Now,
};

/// Timing of a lease.
#[derive(Debug, Clone, Copy)]
pub struct LeaseTimes {
    /// Time for which the row must be unchanged before a challenger takes over the lease.
    pub term: Duration,
    /// Time before the end of its term at which a holder stops acting.
    pub margin: Duration,
    /// Interval between renewals, and between a challenger's reads.
    pub interval: Duration,
    /// Timeout of a table service request.
    pub timeout: Duration,
}

impl Default for LeaseTimes {
    fn default() -> LeaseTimes {
        LeaseTimes {
            term: Duration::from_secs(9),
            margin: Duration::from_secs(3),
            interval: Duration::from_secs(2),
            timeout: Duration::from_secs(2),
        }
    }
}

/// Action requested by a [`Lease`].
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseAction {
    /// Read the lease row.
    Read,
    /// Run a transaction; its reply is reported with the attempt id.
    Txn {
        /// Id of this attempt.
        attempt: AttemptId,
        /// The transaction.
        txn: Txn,
    },
}

#[derive(Debug, Clone)]
struct SentWrite {
    attempt: AttemptId,
    at: Now,
}

#[derive(Debug, Clone)]
struct HeldLease {
    fence: Fence,
    row: LeaseRow,
    version: u64,
    /// Start time of the last renewal known to be written.
    renewed_at: Now,
}

#[derive(Debug, Clone)]
struct ObservedRow {
    version: u64,
    row: Option<LeaseRow>,
    /// Time at which this version was first read.
    unchanged_since: Now,
}

/// One daemon's view of one lease.
#[derive(Debug)]
pub struct Lease {
    key: String,
    holder: String,
    times: LeaseTimes,
    held: Option<HeldLease>,
    observed: Option<ObservedRow>,
    /// Recent writes and writes without a reply, newest last; at most `MAX_SENT_WRITES`.
    writes: VecDeque<SentWrite>,
    /// Start time of the request in flight.
    pending_since: Option<Now>,
    next_action_at: Now,
    attempt_count: u64,
    /// Whether this holder wanted the lease at the last tick.
    wanted: bool,
    released: bool,
}

const MAX_SENT_WRITES: usize = 8;

impl Lease {
    /// Creates a lease on `role`. `holder` must be unique to this start of the process.
    pub fn new(role: &str, holder: &str, times: LeaseTimes) -> Lease {
        Lease {
            key: format!("lease/{role}"),
            holder: holder.to_owned(),
            times,
            held: None,
            observed: None,
            writes: VecDeque::new(),
            pending_since: None,
            next_action_at: Now::ZERO,
            attempt_count: 0,
            wanted: false,
            released: false,
        }
    }

    /// Returns the key of the lease row.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the fencing token if this holder may act at `now`.
    pub fn fence(&self, now: Now) -> Option<Fence> {
        let held = self.held.as_ref()?;
        (now < self.valid_until(held)).then_some(held.fence)
    }

    /// Returns how long this holder may still act; zero if it may not.
    pub fn time_left(&self, now: Now) -> Duration {
        self.held.as_ref().map_or(Duration::ZERO, |held| self.valid_until(held).saturating_sub(now))
    }

    /// Returns the holder and fencing token in the row as last read.
    pub fn last_holder(&self) -> Option<(&str, Fence)> {
        let row = match (&self.held, &self.observed) {
            (Some(held), _) => Some(&held.row),
            (None, Some(observed)) => observed.row.as_ref(),
            (None, None) => None,
        }?;
        (!row.holder.is_empty()).then_some((row.holder.as_str(), row.fence))
    }

    /// Renews a held lease, or reads the row to acquire it if `wanted`, once the interval has
    /// passed.
    pub fn tick(&mut self, now: Now, wanted: bool, out: &mut Vec<LeaseAction>) {
        self.wanted = wanted;
        if self
            .pending_since
            .is_some_and(|started| now.saturating_sub(started) > self.times.timeout)
        {
            self.pending_since = None;
        }
        if now < self.next_action_at || self.pending_since.is_some() || self.released {
            return;
        }
        self.next_action_at = now + self.times.interval;
        if self.held.is_some() {
            self.renew(now, out);
        } else if wanted {
            self.pending_since = Some(now);
            out.push(LeaseAction::Read);
        }
    }

    /// Releases the lease at a planned stop, so that the next holder does not wait for a full
    /// term.
    pub fn release(&mut self, now: Now, out: &mut Vec<LeaseAction>) {
        self.released = true;
        self.give_up(now, out);
    }

    /// Gives up a held lease, so that the next holder does not wait for a full term. It may be acquired
    /// again once it is wanted.
    pub fn give_up(&mut self, now: Now, out: &mut Vec<LeaseAction>) {
        let Some(held) = self.held.take() else { return };
        let row = LeaseRow { holder: String::new(), ..held.row };
        self.write_row(now, held.version, row, out);
    }

    /// Handles the reply to a read that was started before `now`.
    pub fn on_read(&mut self, now: Now, reply: &ReadResult, out: &mut Vec<LeaseAction>) {
        self.pending_since = None;
        if let Ok(row) = reply {
            self.observe(now, row, out);
        }
    }

    /// Handles the reply to the transaction `attempt`.
    pub fn on_txn(
        &mut self,
        now: Now,
        attempt: &str,
        reply: &TxnResult,
        out: &mut Vec<LeaseAction>,
    ) {
        self.pending_since = None;
        match reply {
            Ok(answer) => {
                if let Some(row) = table::checked_row(answer, &self.key) {
                    let row = row.clone();
                    self.observe(now, &row, out);
                }
            }
            Err(TableError::NotSent) => self.writes.retain(|write| write.attempt != attempt),
            Err(TableError::NoReply) if !self.released => {
                self.pending_since = Some(now);
                out.push(LeaseAction::Read);
            }
            Err(TableError::NoReply) => {}
        }
    }

    fn valid_until(&self, held: &HeldLease) -> Now {
        held.renewed_at + self.times.term - self.times.margin
    }

    fn observe(&mut self, now: Now, row: &Row, out: &mut Vec<LeaseAction>) {
        if self.released {
            return;
        }
        let value: Option<LeaseRow> = table::value(row);
        match value {
            Some(value) if value.holder == self.holder => self.observe_own(row.version, value),
            value => {
                self.held = None;
                self.observe_other(now, row.version, value, out);
            }
        }
    }

    /// Handles a row that names this holder. The term counts from the start of the write that
    /// produced the row.
    fn observe_own(&mut self, version: u64, row: LeaseRow) {
        let known_version = self.held.as_ref().map_or(ABSENT, |held| held.version);
        if version <= known_version {
            return;
        }
        let Some(sent) = self.writes.iter().find(|w| w.attempt == row.attempt) else { return };
        self.observed = None;
        self.held = Some(HeldLease { fence: row.fence, version, renewed_at: sent.at, row });
    }

    fn observe_other(
        &mut self,
        now: Now,
        version: u64,
        row: Option<LeaseRow>,
        out: &mut Vec<LeaseAction>,
    ) {
        let known = self.observed.as_ref().filter(|observed| observed.version == version);
        let unchanged_since = known.map_or(now, |observed| observed.unchanged_since);
        let is_free = row.as_ref().is_none_or(|row| row.holder.is_empty());
        let fence = row.as_ref().map_or(0, |row| row.fence);
        self.observed = Some(ObservedRow { version, row, unchanged_since });
        let is_due = is_free || now.saturating_sub(unchanged_since) >= self.times.term;
        if is_due && self.wanted {
            // Without a higher fencing token nobody may hold the lease.
            if let Some(fence) = fence.checked_add(1) {
                self.acquire(now, version, fence, out);
            }
        }
    }

    fn acquire(&mut self, now: Now, version: u64, fence: Fence, out: &mut Vec<LeaseAction>) {
        let row =
            LeaseRow { holder: self.holder.clone(), fence, renewals: 0, attempt: String::new() };
        self.write_row(now, version, row, out);
    }

    fn renew(&mut self, now: Now, out: &mut Vec<LeaseAction>) {
        let Some(held) = &self.held else { return };
        let mut row = held.row.clone();
        row.renewals = row.renewals.wrapping_add(1);
        let version = held.version;
        self.write_row(now, version, row, out);
    }

    fn write_row(&mut self, now: Now, version: u64, mut row: LeaseRow, out: &mut Vec<LeaseAction>) {
        self.attempt_count += 1;
        row.attempt = format!("{}/{}", self.holder, self.attempt_count);
        let attempt = row.attempt.clone();
        self.writes.push_back(SentWrite { attempt: attempt.clone(), at: now });
        if self.writes.len() > MAX_SENT_WRITES {
            self.writes.pop_front();
        }
        self.pending_since = Some(now);
        out.push(LeaseAction::Txn { attempt, txn: table::replace(&self.key, version, &row) });
    }
}
