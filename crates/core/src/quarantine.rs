//! Requests that crash the backend servers that run them.
//!
//! Every request on a server that dies becomes a suspect. A suspect runs again alone on one
//! server; one row of the table for each fingerprint admits one such run at a time over all
//! daemons. A run that ends well clears the fingerprint. `DEATHS_ALONE` deaths in such runs
//! quarantine it: one could be a server that failed by itself just then. A death with other
//! requests on the server never quarantines anything.

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

/// What is known of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// It was on a server that died.
    Suspect,
    /// Servers that ran nothing else died of it.
    Quarantined,
}

/// Answer to a request for a run alone on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// The run may start.
    Granted,
    /// The fingerprint is quarantined.
    Quarantined,
    /// Another daemon runs it; ask again.
    Busy,
    /// The table service does not answer.
    TableAway,
}

/// What the quarantine asks for.
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
    /// Answer to `ask`.
    Answer {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// The attempt that asked.
        attempt: AttemptId,
        /// Whether it may run.
        grant: Grant,
    },
}

#[derive(Debug, Clone, PartialEq)]
enum Change {
    Death(AttemptId),
    Ask(AttemptId),
    Abandon(AttemptId),
    Clear(AttemptId),
}

#[derive(Debug, Default)]
struct Pending {
    /// Changes to the row, oldest first; the first one is being written.
    changes: VecDeque<Change>,
    /// When the first change is tried again.
    retry_at: Option<Now>,
}

/// A run of another daemon, as its row shows it.
#[derive(Debug, Clone)]
struct Running {
    version: u64,
    /// When this version was first seen.
    since: Now,
    /// When it was last seen.
    seen: Now,
}

/// How long a suspect is remembered without new evidence.
pub const SUSPECT_KEPT: Duration = Duration::from_secs(120);
/// How long a suspect is passed on to other daemons.
pub const SUSPECT_SPREAD: Duration = Duration::from_secs(30);
/// How long a run alone may stand in the row before another daemon takes its place.
pub const RUN_TERM: Duration = Duration::from_secs(30);
/// Deaths of servers that ran nothing else, after which a request is not run again.
pub const DEATHS_ALONE: usize = 2;
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Deaths kept in a row; the rest adds no evidence.
const DEATHS_KEPT: usize = 8;

/// Suspects and quarantined fingerprints, as one daemon knows them.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// When each suspect was first known here.
    suspects: BTreeMap<Fingerprint, Now>,
    quarantined: BTreeMap<Fingerprint, ()>,
    pending: FxHashMap<Fingerprint, Pending>,
    running: FxHashMap<Fingerprint, Running>,
}

impl Quarantine {
    /// What is known of a fingerprint.
    pub fn standing(&self, fingerprint: Fingerprint) -> Standing {
        if self.quarantined.contains_key(&fingerprint) {
            Standing::Quarantined
        } else if self.suspects.contains_key(&fingerprint) {
            Standing::Suspect
        } else {
            Standing::Clear
        }
    }

    /// All quarantined fingerprints.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.quarantined.keys().copied()
    }

    /// Suspects young enough to be passed on to other daemons.
    pub fn spreading(&self, now: Now) -> Vec<Fingerprint> {
        let young = |since: &Now| now.saturating_sub(*since) <= SUSPECT_SPREAD;
        self.suspects.iter().filter(|(_, since)| young(since)).map(|(f, _)| *f).collect()
    }

    /// Takes what another daemon knows.
    pub fn on_gossip(&mut self, now: Now, quarantined: &[Fingerprint], suspects: &[Fingerprint]) {
        for fingerprint in quarantined {
            self.set_quarantined(*fingerprint);
        }
        for fingerprint in suspects {
            if self.standing(*fingerprint) == Standing::Clear {
                self.suspects.insert(*fingerprint, now);
            }
        }
    }

    /// Records that a server died while it ran `attempt`.
    pub fn on_death(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        out: &mut Vec<QuarantineAction>,
    ) {
        self.suspects.entry(fingerprint).or_insert(now);
        self.push(fingerprint, Change::Death(attempt), out);
    }

    /// Asks for a run alone on a server; the answer comes as an action.
    pub fn ask(
        &mut self,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        out: &mut Vec<QuarantineAction>,
    ) {
        if self.standing(fingerprint) == Standing::Quarantined {
            out.push(answer(fingerprint, attempt, Grant::Quarantined));
            return;
        }
        self.push(fingerprint, Change::Ask(attempt), out);
    }

    /// Records that a run alone ended without a death.
    pub fn on_survived(
        &mut self,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        out: &mut Vec<QuarantineAction>,
    ) {
        self.suspects.remove(&fingerprint);
        self.push(fingerprint, Change::Clear(attempt), out);
    }

    /// Gives back a granted run that did not take place or was cancelled.
    pub fn on_abandoned(
        &mut self,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        out: &mut Vec<QuarantineAction>,
    ) {
        self.push(fingerprint, Change::Abandon(attempt), out);
    }

    /// Takes the reply to a read of a fingerprint's row.
    pub fn on_read(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        reply: &ReadResult,
        out: &mut Vec<QuarantineAction>,
    ) {
        match reply {
            Ok(row) => self.step(now, fingerprint, row, out),
            Err(_) => self.on_away(now, fingerprint, out),
        }
    }

    /// Takes the reply to a transaction on a fingerprint's row.
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
                    self.step(now, fingerprint, &row, out);
                }
            }
            Err(TableError::NoReply) => out.push(QuarantineAction::Read { fingerprint }),
            Err(TableError::NotSent) => self.on_away(now, fingerprint, out),
        }
    }

    /// Drops old suspects and tries again what the table service did not take.
    pub fn tick(&mut self, now: Now, out: &mut Vec<QuarantineAction>) {
        self.suspects.retain(|_, since| now.saturating_sub(*since) <= SUSPECT_KEPT);
        self.running.retain(|_, running| now.saturating_sub(running.seen) <= RUN_TERM);
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

    /// Applies the first change to the row as it stands, or sees that it is already applied.
    fn step(
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
        let first = Running { version, since: now, seen: now };
        let running = self.running.entry(fingerprint).or_insert_with(|| first.clone());
        if running.version != version {
            *running = first;
        }
        running.seen = now;
        now.saturating_sub(running.since) >= RUN_TERM
    }

    fn finish(
        &mut self,
        fingerprint: Fingerprint,
        change: Change,
        grant: Grant,
        out: &mut Vec<QuarantineAction>,
    ) {
        if let Change::Ask(attempt) = change {
            out.push(answer(fingerprint, attempt, grant));
        }
        self.next(fingerprint, out);
    }

    fn next(&mut self, fingerprint: Fingerprint, out: &mut Vec<QuarantineAction>) {
        let Some(pending) = self.pending.get_mut(&fingerprint) else { return };
        pending.changes.pop_front();
        if pending.changes.is_empty() {
            self.pending.remove(&fingerprint);
        } else {
            out.push(QuarantineAction::Read { fingerprint });
        }
    }

    /// Refuses a waiting `ask`; deaths and clearances are kept and tried again.
    fn on_away(&mut self, now: Now, fingerprint: Fingerprint, out: &mut Vec<QuarantineAction>) {
        let Some(pending) = self.pending.get_mut(&fingerprint) else { return };
        match pending.changes.front().cloned() {
            Some(change @ Change::Ask(_)) => {
                self.finish(fingerprint, change, Grant::TableAway, out);
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
        Change::Death(attempt) if row.deaths.contains(attempt) => Applied::Done(Grant::Granted),
        Change::Death(attempt) => {
            let alone = row.running == *attempt;
            if row.deaths.len() < DEATHS_KEPT {
                row.deaths.push(attempt.clone());
            }
            if alone {
                row.deaths_alone.push(attempt.clone());
                row.running.clear();
            }
            row.quarantined |= row.deaths_alone.len() >= DEATHS_ALONE;
            row.attempt.clone_from(attempt);
            if row == *current {
                return Applied::Done(Grant::Granted);
            }
            Applied::Write(row)
        }
        Change::Ask(_) if row.quarantined => Applied::Done(Grant::Quarantined),
        Change::Ask(attempt) if row.running == *attempt => Applied::Done(Grant::Granted),
        Change::Ask(_) if !row.running.is_empty() && !run_expired => Applied::Done(Grant::Busy),
        Change::Ask(attempt) => {
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

/// Key of a fingerprint's row.
pub fn key(fingerprint: Fingerprint) -> String {
    format!("poison/{fingerprint:016x}")
}
