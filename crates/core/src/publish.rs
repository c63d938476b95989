//! Publication of new weights of a track; the version in its row never decreases.

use std::time::Duration;

use buckthornfall_proto::{
    messages::{Row, Txn, WeightsRow},
    track::Track,
};

use crate::{
    error::{ErrorKind, Refusal},
    table::{self, ReadResult, TableError, TxnResult},
    Now,
};

/// Returns the key of the row of a track's weights.
pub fn weights_key(track: &Track) -> String {
    format!("weights/{}", track.name())
}

/// Action requested by a [`Publish`].
#[derive(Debug, Clone, PartialEq)]
pub enum PublishAction {
    /// Read the row.
    Read {
        /// Key of the row.
        key: String,
    },
    /// Run the transaction.
    Txn(Txn),
    /// The publication ended.
    Done(Result<WeightsRow, Refusal>),
}

/// Publication of one version, as a state machine.
#[derive(Debug)]
pub struct Publish {
    key: String,
    row: WeightsRow,
    deadline: Now,
    retry_at: Option<Now>,
    /// Transactions sent that may have taken effect.
    in_doubt: u32,
    done: bool,
}

const RETRY_INTERVAL: Duration = Duration::from_millis(300);

impl Publish {
    /// Creates a publication of `row` for `track`.
    pub fn new(track: &Track, row: WeightsRow, deadline: Now) -> Publish {
        Publish { key: weights_key(track), row, deadline, retry_at: None, in_doubt: 0, done: false }
    }

    /// Starts the publication.
    pub fn begin(&self, out: &mut Vec<PublishAction>) {
        out.push(PublishAction::Read { key: self.key.clone() });
    }

    /// Returns whether the publication ended.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Handles the reply to a read.
    pub fn on_read(&mut self, now: Now, reply: &ReadResult, out: &mut Vec<PublishAction>) {
        match reply {
            Ok(row) => self.on_row(row, out),
            Err(_) => self.retry_at = Some(now + RETRY_INTERVAL),
        }
    }

    /// Handles the reply to the transaction.
    pub fn on_txn(&mut self, now: Now, reply: &TxnResult, out: &mut Vec<PublishAction>) {
        match reply {
            Ok(answer) => {
                if let Some(row) = table::checked_row(answer, &self.key).cloned() {
                    self.on_row(&row, out);
                }
            }
            Err(e) => {
                self.in_doubt -= u32::from(*e == TableError::NotSent);
                self.retry_at = Some(now + RETRY_INTERVAL);
            }
        }
    }

    /// Retries the read after a failure, and ends the publication at its deadline.
    pub fn tick(&mut self, now: Now, out: &mut Vec<PublishAction>) {
        if self.done {
            return;
        }
        if now >= self.deadline {
            let kind = if self.in_doubt > 0 {
                ErrorKind::CommitUnresolved
            } else {
                ErrorKind::TableUnavailable
            };
            let message = format!("the table service does not answer for {:?}", self.key);
            self.finish(Err(Refusal::new(kind, message)), out);
        } else if self.retry_at.is_some_and(|at| now >= at) {
            self.retry_at = None;
            self.begin(out);
        }
    }

    fn on_row(&mut self, row: &Row, out: &mut Vec<PublishAction>) {
        if self.done {
            return;
        }
        match table::value::<WeightsRow>(row) {
            Some(value) if value.attempt == self.row.attempt || value.same_weights(&self.row) => {
                self.finish(Ok(value), out);
            }
            Some(value) if value.version >= self.row.version => {
                let message = format!(
                    "version {} is not above version {}, which is published",
                    self.row.version, value.version
                );
                self.finish(Err(Refusal::new(ErrorKind::OldWeights, message)), out);
            }
            _ => {
                self.in_doubt += 1;
                out.push(PublishAction::Txn(table::replace(&self.key, row.version, &self.row)));
            }
        }
    }

    fn finish(&mut self, result: Result<WeightsRow, Refusal>, out: &mut Vec<PublishAction>) {
        self.done = true;
        out.push(PublishAction::Done(result));
    }
}

trait SameWeights {
    /// Returns whether both rows publish the same weights, so that a resend succeeds.
    fn same_weights(&self, other: &Self) -> bool;
}

impl SameWeights for WeightsRow {
    fn same_weights(&self, other: &WeightsRow) -> bool {
        self.version == other.version && self.object == other.object
    }
}
