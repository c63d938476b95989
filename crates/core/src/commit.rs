//! Commit of a manifest: puts the object, then writes the head row and the row of the revision in
//! one transaction.

use std::time::Duration;

use buckthornfall_proto::{
    digest::sha256_hex,
    ids::{AttemptId, Revision},
    messages::{ManifestRow, Row, Txn},
};

use crate::{
    error::{ErrorKind, Refusal},
    table::{self, ReadResult, TableError, TxnResult},
    Now,
};

/// Key of the row that names the latest manifest.
pub const HEAD_KEY: &str = "manifest/head";

/// Returns the key of the row of a revision.
pub fn revision_key(revision: Revision) -> String {
    format!("manifest/rev/{revision:012}")
}

/// Returns the key of the object with a manifest.
pub fn object_key(hash: &str) -> String {
    format!("manifest/{hash}")
}

/// Action requested by a [`Commit`].
#[derive(Debug, Clone, PartialEq)]
pub enum CommitAction {
    /// Put the manifest into the object store.
    PutObject {
        /// Key of the object.
        key: String,
        /// The manifest.
        content: String,
    },
    /// Read a row.
    Read {
        /// Key of the row.
        key: String,
    },
    /// Run the transaction.
    Txn(Txn),
    /// The commit ended.
    Done(Result<ManifestRow, Refusal>),
}

#[derive(Debug, Clone, PartialEq)]
enum Stage {
    Putting,
    ReadingHead,
    Writing { head: Row },
    ReadingBack { head: Row },
    Done,
}

/// Commit of one manifest, as a state machine.
#[derive(Debug)]
pub struct Commit {
    base: Revision,
    content: String,
    row: ManifestRow,
    deadline: Now,
    stage: Stage,
    retry_at: Option<Now>,
    /// Transactions sent that may have taken effect: without a reply yet, or with a lost reply.
    in_doubt: u32,
}

const RETRY_INTERVAL: Duration = Duration::from_millis(300);

impl Commit {
    /// Creates a commit of `content`, a validated manifest, on top of revision `base`.
    pub fn new(base: Revision, content: String, attempt: AttemptId, deadline: Now) -> Commit {
        let hash = sha256_hex(content.as_bytes());
        let row = ManifestRow { revision: base + 1, hash, attempt };
        Commit { base, content, row, deadline, stage: Stage::Putting, retry_at: None, in_doubt: 0 }
    }

    /// Starts the commit.
    pub fn begin(&mut self, out: &mut Vec<CommitAction>) {
        self.emit_action(out);
    }

    /// Returns the text of the manifest.
    pub fn content(&self) -> &str {
        &self.content
    }

    /// Returns whether the commit ended.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Handles the reply of the object store.
    pub fn on_put(&mut self, now: Now, reply: Result<(), TableError>, out: &mut Vec<CommitAction>) {
        if self.stage != Stage::Putting {
            return;
        }
        match reply {
            Ok(()) => self.enter(Stage::ReadingHead, out),
            Err(_) => self.schedule_retry(now),
        }
    }

    /// Handles the reply to a read.
    pub fn on_read(&mut self, now: Now, reply: &ReadResult, out: &mut Vec<CommitAction>) {
        match (self.stage.clone(), reply) {
            (Stage::ReadingHead, Ok(row)) => self.on_head(row, out),
            (Stage::ReadingBack { head }, Ok(row)) => self.on_read_back(head, row, out),
            (Stage::ReadingHead | Stage::ReadingBack { .. }, Err(_)) => self.schedule_retry(now),
            (Stage::Putting | Stage::Writing { .. } | Stage::Done, _) => {}
        }
    }

    /// Handles the reply to the transaction.
    pub fn on_txn(&mut self, now: Now, reply: &TxnResult, out: &mut Vec<CommitAction>) {
        let Stage::Writing { head } = self.stage.clone() else { return };
        match reply {
            Ok(answer) if answer.committed => self.finish(Ok(self.row.clone()), out),
            Ok(_) => self.enter(Stage::ReadingBack { head }, out),
            Err(TableError::NotSent) => {
                self.in_doubt -= 1;
                self.schedule_retry(now);
            }
            Err(TableError::NoReply) => self.enter(Stage::ReadingBack { head }, out),
        }
    }

    /// Retries a failed operation, and ends the commit at its deadline.
    pub fn tick(&mut self, now: Now, out: &mut Vec<CommitAction>) {
        if self.stage == Stage::Done {
            return;
        }
        if now >= self.deadline {
            self.expire(out);
        } else if self.retry_at.is_some_and(|at| now >= at) {
            self.emit_action(out);
        }
    }

    fn on_head(&mut self, row: &Row, out: &mut Vec<CommitAction>) {
        let head: Option<ManifestRow> = table::value(row);
        let revision = head.as_ref().map_or(0, |head| head.revision);
        if revision == self.base {
            self.enter(Stage::Writing { head: row.clone() }, out);
        } else {
            self.finish(Err(self.conflict(revision)), out);
        }
    }

    /// Resolves a transaction with an unknown outcome: the row of the revision names the attempt
    /// that committed it.
    fn on_read_back(&mut self, head: Row, row: &Row, out: &mut Vec<CommitAction>) {
        match table::value::<ManifestRow>(row) {
            Some(value) if value.attempt == self.row.attempt => self.finish(Ok(value), out),
            Some(value) => self.finish(Err(self.conflict(value.revision)), out),
            None => self.enter(Stage::Writing { head }, out),
        }
    }

    fn conflict(&self, revision: Revision) -> Refusal {
        let message = format!(
            "the manifest was made for revision {}, and revision {revision} is committed; \
             make the change again on revision {revision}",
            self.base
        );
        Refusal::new(ErrorKind::Conflict, message)
    }

    fn expire(&mut self, out: &mut Vec<CommitAction>) {
        let refusal = if self.in_doubt > 0 {
            let message = format!(
                "no reply says whether revision {} was committed; ask for the status",
                self.row.revision
            );
            Refusal::new(ErrorKind::CommitUnresolved, message)
        } else {
            let message = "the platform's storage does not answer; the manifest was not applied";
            Refusal::new(ErrorKind::NotApplied, message)
        };
        self.finish(Err(refusal), out);
    }

    fn finish(&mut self, result: Result<ManifestRow, Refusal>, out: &mut Vec<CommitAction>) {
        self.stage = Stage::Done;
        out.push(CommitAction::Done(result));
    }

    fn enter(&mut self, stage: Stage, out: &mut Vec<CommitAction>) {
        self.stage = stage;
        self.emit_action(out);
    }

    fn schedule_retry(&mut self, now: Now) {
        self.retry_at = Some(now + RETRY_INTERVAL);
    }

    fn emit_action(&mut self, out: &mut Vec<CommitAction>) {
        self.retry_at = None;
        match &self.stage {
            Stage::Putting => out.push(CommitAction::PutObject {
                key: object_key(&self.row.hash),
                content: self.content.clone(),
            }),
            Stage::ReadingHead => out.push(CommitAction::Read { key: HEAD_KEY.to_owned() }),
            Stage::Writing { head } => {
                let txn = self.txn(head);
                self.in_doubt += 1;
                out.push(CommitAction::Txn(txn));
            }
            Stage::ReadingBack { .. } => {
                out.push(CommitAction::Read { key: revision_key(self.row.revision) });
            }
            Stage::Done => {}
        }
    }

    fn txn(&self, head: &Row) -> Txn {
        let revision = revision_key(self.row.revision);
        Txn {
            checks: vec![
                table::check(HEAD_KEY, head.version),
                table::check(&revision, table::ABSENT),
            ],
            writes: vec![table::write(HEAD_KEY, &self.row), table::write(&revision, &self.row)],
        }
    }
}
