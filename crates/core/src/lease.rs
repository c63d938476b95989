//! Leases with fencing numbers, kept in one row of the table service for each role.
//!
//! A challenger takes a lease over only after the row stood unchanged for a full term on its own
//! clock. A holder stops acting a margin before its term ends, counted from the start of its last
//! renewal. No clock is compared with another's.

use std::{collections::VecDeque, time::Duration};

use buckthornfall_proto::{
    ids::{AttemptId, Fence},
    messages::{LeaseRow, Row, Txn},
};

use crate::{
    table::{self, ReadResult, TableError, TxnResult, ABSENT},
    Now,
};

/// Times of a lease.
#[derive(Debug, Clone, Copy)]
pub struct LeaseTimes {
    /// How long a row must stand unchanged before a challenger takes the lease.
    pub term: Duration,
    /// How long before the end of its term a holder stops acting.
    pub margin: Duration,
    /// Time between renewals and between a challenger's reads.
    pub interval: Duration,
    /// Longest wait for a reply of the table service.
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

/// What a lease asks of the table service.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseAction {
    /// Read the lease's row.
    Read,
    /// Run a transaction and report its reply with the attempt id.
    Txn {
        /// Id of this try.
        attempt: AttemptId,
        /// The transaction.
        txn: Txn,
    },
}

#[derive(Debug, Clone)]
struct Sent {
    attempt: AttemptId,
    at: Now,
}

#[derive(Debug, Clone)]
struct Held {
    fence: Fence,
    row: LeaseRow,
    version: u64,
    /// Start of the last renewal that is known to have been written.
    renewed: Now,
}

#[derive(Debug, Clone)]
struct Seen {
    version: u64,
    row: Option<LeaseRow>,
    /// When this version was first seen.
    since: Now,
}

/// One daemon's view of one lease.
#[derive(Debug)]
pub struct Lease {
    key: String,
    holder: String,
    times: LeaseTimes,
    held: Option<Held>,
    seen: Option<Seen>,
    /// Writes whose reply has not come, and recent ones, newest last; bounded by `SENT_KEPT`.
    sent: VecDeque<Sent>,
    waiting: Option<Now>,
    next: Now,
    attempts: u64,
    released: bool,
}

const SENT_KEPT: usize = 8;

impl Lease {
    /// A lease on `role`. `holder` must be unique to this start of this process.
    pub fn new(role: &str, holder: &str, times: LeaseTimes) -> Lease {
        Lease {
            key: format!("lease/{role}"),
            holder: holder.to_owned(),
            times,
            held: None,
            seen: None,
            sent: VecDeque::new(),
            waiting: None,
            next: Now::ZERO,
            attempts: 0,
            released: false,
        }
    }

    /// Key of the lease's row.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// The fencing number, if the holder may act at `now`.
    pub fn fence(&self, now: Now) -> Option<Fence> {
        let held = self.held.as_ref()?;
        (now < self.act_until(held)).then_some(held.fence)
    }

    /// How long the holder may still act; zero if it may not.
    pub fn time_left(&self, now: Now) -> Duration {
        self.held.as_ref().map_or(Duration::ZERO, |held| self.act_until(held).saturating_sub(now))
    }

    /// Who held the lease when the row was last read, with the fencing number.
    pub fn last_holder(&self) -> Option<(&str, Fence)> {
        let row = match (&self.held, &self.seen) {
            (Some(held), _) => Some(&held.row),
            (None, Some(seen)) => seen.row.as_ref(),
            (None, None) => None,
        }?;
        (!row.holder.is_empty()).then_some((row.holder.as_str(), row.fence))
    }

    /// Starts what is due: a renewal, or a read of the row if `wanted`.
    pub fn tick(&mut self, now: Now, wanted: bool, out: &mut Vec<LeaseAction>) {
        if self.waiting.is_some_and(|since| now.saturating_sub(since) > self.times.timeout) {
            self.waiting = None;
        }
        if now < self.next || self.waiting.is_some() || self.released {
            return;
        }
        self.next = now + self.times.interval;
        if self.held.is_some() {
            self.renew(now, out);
        } else if wanted {
            self.waiting = Some(now);
            out.push(LeaseAction::Read);
        }
    }

    /// Gives the lease back at a planned stop, so that the next holder need not wait.
    pub fn release(&mut self, now: Now, out: &mut Vec<LeaseAction>) {
        self.released = true;
        let Some(held) = self.held.take() else { return };
        let row = LeaseRow { holder: String::new(), ..held.row };
        self.send(now, held.version, row, out);
    }

    /// Takes the reply to a read that was asked for before `now`.
    pub fn on_read(&mut self, now: Now, reply: &ReadResult, out: &mut Vec<LeaseAction>) {
        self.waiting = None;
        if let Ok(row) = reply {
            self.observe(now, row, out);
        }
    }

    /// Takes the reply to the transaction `attempt`.
    pub fn on_txn(
        &mut self,
        now: Now,
        attempt: &str,
        reply: &TxnResult,
        out: &mut Vec<LeaseAction>,
    ) {
        self.waiting = None;
        match reply {
            Ok(answer) => {
                if let Some(row) = table::checked_row(answer, &self.key) {
                    let row = row.clone();
                    self.observe(now, &row, out);
                }
            }
            Err(TableError::NotSent) => self.sent.retain(|sent| sent.attempt != attempt),
            Err(TableError::NoReply) if !self.released => {
                self.waiting = Some(now);
                out.push(LeaseAction::Read);
            }
            Err(TableError::NoReply) => {}
        }
    }

    fn act_until(&self, held: &Held) -> Now {
        held.renewed + self.times.term - self.times.margin
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

    /// The row names this holder: the term counts from the start of the write that it shows.
    fn observe_own(&mut self, version: u64, row: LeaseRow) {
        let newest = self.held.as_ref().map_or(ABSENT, |held| held.version);
        if version <= newest {
            return;
        }
        let Some(sent) = self.sent.iter().find(|sent| sent.attempt == row.attempt) else { return };
        self.seen = None;
        self.held = Some(Held { fence: row.fence, version, renewed: sent.at, row });
    }

    fn observe_other(
        &mut self,
        now: Now,
        version: u64,
        row: Option<LeaseRow>,
        out: &mut Vec<LeaseAction>,
    ) {
        let known = self.seen.as_ref().filter(|seen| seen.version == version);
        let since = known.map_or(now, |seen| seen.since);
        let free = row.as_ref().is_none_or(|row| row.holder.is_empty());
        let fence = row.as_ref().map_or(0, |row| row.fence);
        self.seen = Some(Seen { version, row, since });
        if free || now.saturating_sub(since) >= self.times.term {
            self.acquire(now, version, fence + 1, out);
        }
    }

    fn acquire(&mut self, now: Now, version: u64, fence: Fence, out: &mut Vec<LeaseAction>) {
        let row =
            LeaseRow { holder: self.holder.clone(), fence, renewals: 0, attempt: String::new() };
        self.send(now, version, row, out);
    }

    fn renew(&mut self, now: Now, out: &mut Vec<LeaseAction>) {
        let Some(held) = &self.held else { return };
        let mut row = held.row.clone();
        row.renewals += 1;
        let version = held.version;
        self.send(now, version, row, out);
    }

    fn send(&mut self, now: Now, version: u64, mut row: LeaseRow, out: &mut Vec<LeaseAction>) {
        self.attempts += 1;
        row.attempt = format!("{}/{}", self.holder, self.attempts);
        let attempt = row.attempt.clone();
        self.sent.push_back(Sent { attempt: attempt.clone(), at: now });
        if self.sent.len() > SENT_KEPT {
            self.sent.pop_front();
        }
        self.waiting = Some(now);
        out.push(LeaseAction::Txn { attempt, txn: table::replace(&self.key, version, &row) });
    }
}
