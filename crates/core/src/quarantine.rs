//! Quarantine of requests that crash backend servers.
//!
//! Every request on a server that crashes becomes a suspect. A suspect is rerun in isolation, as
//! the only request on its server; a table row per fingerprint admits one such run at a time across
//! all daemons. A successful run clears the fingerprint. `MAX_ISOLATED_CRASHES` crashes in isolated
//! runs quarantine it: a single one could be an unrelated server failure. A crash with other
//! requests on the server never leads to a quarantine.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use buckthornfall_proto::{
    ids::{AttemptId, Fingerprint},
    messages::{PoisonRow, Row, Txn},
};
use rustc_hash::FxHashMap;

use crate::{
    table::{self, ReadResult, TableError, TxnResult},
    Now,
};

/// Status of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FingerprintStatus {
    /// No crash is known.
    Clear,
    /// It was running on a server that crashed.
    Suspect,
    /// Its isolated runs crashed servers.
    Quarantined,
}

/// Reply to a request for an isolated run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// The run may start.
    Granted,
    /// The fingerprint is quarantined.
    Quarantined,
    /// Another daemon is running it; retry later.
    Busy,
    /// The table service is unavailable.
    TableUnavailable,
}

/// Action requested by a [`Quarantine`].
#[derive(Debug, Clone, PartialEq)]
pub enum QuarantineAction {
    /// Read the fingerprint's row.
    Read {
        /// The fingerprint.
        fingerprint: Fingerprint,
    },
    /// Run a transaction on the fingerprint's row.
    Txn {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// The transaction.
        txn: Txn,
    },
    /// Reply to `request_run`.
    Answer {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// The attempt that requested the run.
        attempt: AttemptId,
        /// The reply.
        grant: Grant,
    },
}

#[derive(Debug, Clone, PartialEq)]
enum Change {
    Crash(AttemptId),
    Request(AttemptId),
    Abandon(AttemptId),
    Clear(AttemptId),
}

#[derive(Debug, Default)]
struct Pending {
    /// Changes to the row, oldest first; the first is being written.
    changes: VecDeque<Change>,
    /// When the first change is retried.
    retry_at: Option<Now>,
}

/// An isolated run of another daemon, as recorded in its row.
#[derive(Debug, Clone)]
struct Running {
    version: u64,
    /// When this row version was first seen.
    first_seen: Now,
    last_seen: Now,
}

/// Time after which a suspect is dropped.
pub const SUSPECT_TTL: Duration = Duration::from_secs(120);
/// Time for which a suspect is gossiped to other daemons.
pub const SUSPECT_GOSSIP_TTL: Duration = Duration::from_secs(30);
/// Time after which another daemon may take over an isolated run recorded in a row.
pub const ISOLATED_RUN_TTL: Duration = Duration::from_secs(30);
/// Crashes in isolated runs after which a request is quarantined.
pub const MAX_ISOLATED_CRASHES: usize = 2;
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of crashes recorded in a table row; further ones add no evidence.
const MAX_RECORDED_CRASHES: usize = 8;

/// Suspect and quarantined fingerprints known to one daemon.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Time at which each suspect became known.
    suspects: BTreeMap<Fingerprint, Now>,
    quarantined: BTreeMap<Fingerprint, ()>,
    pending: FxHashMap<Fingerprint, Pending>,
    running: FxHashMap<Fingerprint, Running>,
}

impl Quarantine {
    /// Returns the status of a fingerprint.
    pub fn status(&self, fingerprint: Fingerprint) -> FingerprintStatus {
        if self.quarantined.contains_key(&fingerprint) {
            FingerprintStatus::Quarantined
        } else if self.suspects.contains_key(&fingerprint) {
            FingerprintStatus::Suspect
        } else {
            FingerprintStatus::Clear
        }
    }

    /// Returns all quarantined fingerprints.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.quarantined.keys().copied()
    }

    /// Returns the suspects recent enough to gossip.
    pub fn gossiped_suspects(&self, now: Now) -> Vec<Fingerprint> {
        let is_recent = |since: &Now| now.saturating_sub(*since) <= SUSPECT_GOSSIP_TTL;
        self.suspects.iter().filter(|(_, since)| is_recent(since)).map(|(f, _)| *f).collect()
    }

    /// Merges the state gossiped by another daemon.
    pub fn on_gossip(&mut self, now: Now, quarantined: &[Fingerprint], suspects: &[Fingerprint]) {
        for fingerprint in quarantined {
            self.set_quarantined(*fingerprint);
        }
        for fingerprint in suspects {
            if self.status(*fingerprint) == FingerprintStatus::Clear {
                self.suspects.insert(*fingerprint, now);
            }
        }
    }

    /// Records a server crash during `attempt`.
    pub fn on_crash(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        out: &mut Vec<QuarantineAction>,
    ) {
        self.suspects.entry(fingerprint).or_insert(now);
        self.push(fingerprint, Change::Crash(attempt), out);
    }

    /// Requests an isolated run; the reply is an `Answer` action.
    pub fn request_run(
        &mut self,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        out: &mut Vec<QuarantineAction>,
    ) {
        if self.status(fingerprint) == FingerprintStatus::Quarantined {
            out.push(answer(fingerprint, attempt, Grant::Quarantined));
            return;
        }
        self.push(fingerprint, Change::Request(attempt), out);
    }

    /// Records that an isolated run ended without a crash.
    pub fn on_completed(
        &mut self,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        out: &mut Vec<QuarantineAction>,
    ) {
        self.suspects.remove(&fingerprint);
        self.push(fingerprint, Change::Clear(attempt), out);
    }

    /// Releases the grant of a run that did not start or was cancelled.
    pub fn on_abandoned(
        &mut self,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        out: &mut Vec<QuarantineAction>,
    ) {
        self.push(fingerprint, Change::Abandon(attempt), out);
    }

    /// Handles the reply to a read of a fingerprint's row.
    pub fn on_read(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        reply: &ReadResult,
        out: &mut Vec<QuarantineAction>,
    ) {
        match reply {
            Ok(row) => self.apply_next(now, fingerprint, row, out),
            Err(_) => self.on_table_unavailable(now, fingerprint, out),
        }
    }

    /// Handles the reply to a transaction on a fingerprint's row.
    pub fn on_txn(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        reply: &TxnResult,
        out: &mut Vec<QuarantineAction>,
    ) {
        match reply {
            Ok(reply) => {
                let row = table::checked_row(reply, &key(fingerprint)).cloned();
                if let Some(row) = row {
                    self.apply_next(now, fingerprint, &row, out);
                }
            }
            Err(TableError::NoReply) => out.push(QuarantineAction::Read { fingerprint }),
            Err(TableError::NotSent) => self.on_table_unavailable(now, fingerprint, out),
        }
    }

    /// Drops expired suspects and retries changes that the table service did not accept.
    pub fn tick(&mut self, now: Now, out: &mut Vec<QuarantineAction>) {
        self.suspects.retain(|_, since| now.saturating_sub(*since) <= SUSPECT_TTL);
        self.running.retain(|_, running| now.saturating_sub(running.last_seen) <= ISOLATED_RUN_TTL);
        for (fingerprint, pending) in &mut self.pending {
            if pending.retry_at.is_some_and(|at| now >= at) {
                pending.retry_at = None;
                out.push(QuarantineAction::Read { fingerprint: *fingerprint });
            }
        }
    }

    fn set_quarantined(&mut self, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
        self.quarantined.insert(fingerprint, ());
    }

    fn push(&mut self, fingerprint: Fingerprint, change: Change, out: &mut Vec<QuarantineAction>) {
        let pending = self.pending.entry(fingerprint).or_default();
        pending.changes.push_back(change);
        if pending.changes.len() == 1 {
            out.push(QuarantineAction::Read { fingerprint });
        }
    }

    /// Applies the first pending change to the current row, or finishes it if already applied.
    fn apply_next(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        row: &Row,
        out: &mut Vec<QuarantineAction>,
    ) {
        let current: PoisonRow = table::value(row).unwrap_or_else(empty_row);
        if current.quarantined {
            self.set_quarantined(fingerprint);
        }
        let Some(change) = self.pending.get(&fingerprint).and_then(|p| p.changes.front()).cloned()
        else {
            return;
        };
        let expired = self.run_expired(now, fingerprint, row.version);
        match apply(&current, &change, expired) {
            Applied::Write(value) => {
                let txn = table::replace(&key(fingerprint), row.version, &value);
                out.push(QuarantineAction::Txn { fingerprint, txn });
            }
            Applied::Done(grant) => self.finish(fingerprint, change, grant, out),
        }
    }

    fn run_expired(&mut self, now: Now, fingerprint: Fingerprint, version: u64) -> bool {
        let first = Running { version, first_seen: now, last_seen: now };
        let running = self.running.entry(fingerprint).or_insert_with(|| first.clone());
        if running.version != version {
            *running = first;
        }
        running.last_seen = now;
        now.saturating_sub(running.first_seen) >= ISOLATED_RUN_TTL
    }

    fn finish(
        &mut self,
        fingerprint: Fingerprint,
        change: Change,
        grant: Grant,
        out: &mut Vec<QuarantineAction>,
    ) {
        if let Change::Request(attempt) = change {
            out.push(answer(fingerprint, attempt, grant));
        }
        self.start_next_change(fingerprint, out);
    }

    fn start_next_change(&mut self, fingerprint: Fingerprint, out: &mut Vec<QuarantineAction>) {
        let Some(pending) = self.pending.get_mut(&fingerprint) else { return };
        pending.changes.pop_front();
        if pending.changes.is_empty() {
            self.pending.remove(&fingerprint);
        } else {
            out.push(QuarantineAction::Read { fingerprint });
        }
    }

    /// Rejects a pending run request; other changes are kept and retried.
    fn on_table_unavailable(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        out: &mut Vec<QuarantineAction>,
    ) {
        let Some(pending) = self.pending.get_mut(&fingerprint) else { return };
        match pending.changes.front().cloned() {
            Some(change @ Change::Request(_)) => {
                self.finish(fingerprint, change, Grant::TableUnavailable, out);
            }
            Some(_) => pending.retry_at = Some(now + RETRY_INTERVAL),
            None => {}
        }
    }
}

enum Applied {
    Write(PoisonRow),
    Done(Grant),
}

fn apply(current: &PoisonRow, change: &Change, run_expired: bool) -> Applied {
    let mut row = current.clone();
    match change {
        Change::Crash(attempt) if row.deaths.contains(attempt) => Applied::Done(Grant::Granted),
        Change::Crash(attempt) => {
            let isolated = row.running == *attempt;
            if row.deaths.len() < MAX_RECORDED_CRASHES {
                row.deaths.push(attempt.clone());
            }
            if isolated {
                row.deaths_alone.push(attempt.clone());
                row.running.clear();
            }
            row.quarantined |= row.deaths_alone.len() >= MAX_ISOLATED_CRASHES;
            row.attempt.clone_from(attempt);
            if row == *current {
                return Applied::Done(Grant::Granted);
            }
            Applied::Write(row)
        }
        Change::Request(_) if row.quarantined => Applied::Done(Grant::Quarantined),
        Change::Request(attempt) if row.running == *attempt => Applied::Done(Grant::Granted),
        Change::Request(_) if !row.running.is_empty() && !run_expired => Applied::Done(Grant::Busy),
        Change::Request(attempt) => {
            row.running.clone_from(attempt);
            row.attempt.clone_from(attempt);
            Applied::Write(row)
        }
        Change::Clear(attempt) | Change::Abandon(attempt) if row.running != *attempt => {
            Applied::Done(Grant::Granted)
        }
        Change::Abandon(attempt) => {
            row.running.clear();
            row.attempt.clone_from(attempt);
            Applied::Write(row)
        }
        Change::Clear(attempt) => {
            row.running.clear();
            row.deaths.clear();
            row.deaths_alone.clear();
            row.attempt.clone_from(attempt);
            Applied::Write(row)
        }
    }
}

fn answer(fingerprint: Fingerprint, attempt: AttemptId, grant: Grant) -> QuarantineAction {
    QuarantineAction::Answer { fingerprint, attempt, grant }
}

fn empty_row() -> PoisonRow {
    PoisonRow {
        deaths: Vec::new(),
        deaths_alone: Vec::new(),
        running: String::new(),
        quarantined: false,
        attempt: String::new(),
    }
}

/// Returns the key of a fingerprint's row.
pub fn key(fingerprint: Fingerprint) -> String {
    format!("poison/{fingerprint:016x}")
}
