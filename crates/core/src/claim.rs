//! Claims: at-most-once execution of non-idempotent requests.
//!
//! A row keyed by caller and idempotency key is inserted before the request is sent to a server,
//! and updated with the outcome afterwards. Resends use the same row. Without a row, nothing is
//! sent; a row without an outcome is answered with `unknown`.

use std::time::Duration;

use buckthornfall_proto::{
    digest::sha256_hex,
    ids::AttemptId,
    messages::{ClaimRow, ClaimState, Row, Txn},
};
use bytes::Bytes;
use rustc_hash::FxHashMap;

use crate::{
    error::{ErrorKind, Refusal},
    table::{self, ReadResult, TableError, TxnResult, ABSENT},
    Now,
};

/// Id of a request at one daemon.
pub type RequestId = u64;

/// A request to run at most once.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Name of the caller.
    pub caller: String,
    /// The caller's idempotency key.
    pub key: String,
    /// SHA-256 of service, operation and body.
    pub body_hash: String,
    /// Time at which the caller stops waiting.
    pub deadline: Now,
}

/// Action requested by [`Claims`].
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimAction {
    /// Read a row for a request.
    Read {
        /// The request.
        request: RequestId,
        /// Key of the row.
        key: String,
    },
    /// Run a transaction for a request.
    Txn {
        /// The request.
        request: RequestId,
        /// The transaction.
        txn: Txn,
    },
    /// Send the request to a server, once.
    Dispatch {
        /// The request.
        request: RequestId,
    },
    /// Return the stored response of an earlier run to the caller.
    Replay {
        /// The request.
        request: RequestId,
        /// Stored HTTP status.
        status: u16,
        /// Stored response body.
        body: Bytes,
    },
    /// Refuse the request.
    Refuse {
        /// The request.
        request: RequestId,
        /// The reason, and whether the work ran.
        refusal: Refusal,
    },
}

#[derive(Debug, Clone, PartialEq)]
enum Stage {
    /// The claim is being written; the request has not been sent to a server.
    Claiming,
    /// The request was sent to a server.
    Dispatched,
    /// The caller has its response; the outcome is still being written.
    WritingOutcome { outcome: ClaimRow, retry_at: Now, give_up_at: Now },
}

#[derive(Debug)]
struct Claim {
    request: ClaimRequest,
    row_key: String,
    attempt: AttemptId,
    /// Last known version of the row.
    version: u64,
    /// Whether a write of the claim got no reply and may still be applied.
    in_doubt: bool,
    stage: Stage,
}

const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the write of an outcome is no longer retried.
const OUTCOME_WRITE_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest response stored for replays.
pub const MAX_REPLAY_BYTES: usize = 32 * 1024;

/// Claims of one daemon.
#[derive(Debug)]
pub struct Claims {
    owner: String,
    claims: FxHashMap<RequestId, Claim>,
}

impl Claims {
    /// Creates an empty set of claims; `owner` must be unique to this start of the process.
    pub fn new(owner: &str) -> Claims {
        Claims { owner: owner.to_owned(), claims: FxHashMap::default() }
    }

    /// Returns the number of claims in any stage.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is open, including outcomes still to be written.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Starts the claim of a request.
    pub fn begin(&mut self, request: ClaimRequest, out: &mut Vec<ClaimAction>) {
        let id = request.id;
        let row_key = key(&request.caller, &request.key);
        let attempt = format!("{}/{id}", self.owner);
        let stage = Stage::Claiming;
        let claim = Claim { request, row_key, attempt, version: ABSENT, in_doubt: false, stage };
        out.push(claim.write(claim.claimed_row()));
        self.claims.insert(id, claim);
    }

    /// Records the server's response, which is stored for resends.
    pub fn on_response(
        &mut self,
        now: Now,
        request: RequestId,
        status: u16,
        body: &Bytes,
        out: &mut Vec<ClaimAction>,
    ) {
        let text = match std::str::from_utf8(body) {
            Ok(text) if body.len() <= MAX_REPLAY_BYTES => text.to_owned(),
            _ => String::new(),
        };
        self.write_outcome(now, request, ClaimState::Done, status, text, out);
    }

    /// Records that the request certainly did not run, which releases its key for a resend.
    pub fn on_not_run(&mut self, now: Now, request: RequestId, out: &mut Vec<ClaimAction>) {
        self.write_outcome(now, request, ClaimState::Released, 0, String::new(), out);
    }

    /// Records that the outcome is unknown; the row stays claimed permanently.
    pub fn on_unknown(&mut self, request: RequestId) {
        self.claims.remove(&request);
    }

    /// Handles the reply to a transaction.
    pub fn on_txn(
        &mut self,
        now: Now,
        request: RequestId,
        reply: &TxnResult,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(claim) = self.claims.get_mut(&request) else { return };
        match reply {
            Ok(answer) => {
                if let Some(row) = table::checked_row(answer, &claim.row_key).cloned() {
                    self.on_row(now, request, &row, out);
                }
            }
            Err(TableError::NoReply) => {
                claim.in_doubt = true;
                out.push(claim.read());
            }
            Err(TableError::NotSent) => self.on_table_unavailable(now, request, out),
        }
    }

    /// Handles the reply to a read.
    pub fn on_read(
        &mut self,
        now: Now,
        request: RequestId,
        reply: &ReadResult,
        out: &mut Vec<ClaimAction>,
    ) {
        match reply {
            Ok(row) => self.on_row(now, request, row, out),
            Err(_) => self.on_table_unavailable(now, request, out),
        }
    }

    /// Refuses requests whose claim missed the deadline and retries the writes of outcomes.
    pub fn tick(&mut self, now: Now, out: &mut Vec<ClaimAction>) {
        let expired: Vec<_> = self
            .claims
            .values()
            .filter(|c| c.stage == Stage::Claiming && now >= c.request.deadline)
            .map(|c| c.request.id)
            .collect();
        for id in expired {
            if let Some(claim) = self.claims.get_mut(&id) {
                claim.in_doubt = true;
            }
            self.refuse_unclaimed(now, id, ErrorKind::TableUnavailable, out);
        }
        self.claims.retain(|_, claim| match &claim.stage {
            Stage::WritingOutcome { give_up_at, .. } => now < *give_up_at,
            _ => true,
        });
        for claim in self.claims.values_mut() {
            let read = claim.read();
            if let Stage::WritingOutcome { retry_at, .. } = &mut claim.stage {
                if now >= *retry_at {
                    *retry_at = now + RETRY_INTERVAL;
                    out.push(read);
                }
            }
        }
    }

    fn on_row(&mut self, now: Now, id: RequestId, row: &Row, out: &mut Vec<ClaimAction>) {
        let Some(claim) = self.claims.get_mut(&id) else { return };
        claim.version = row.version;
        let value: Option<ClaimRow> = table::value(row);
        match claim.stage.clone() {
            Stage::Claiming => self.on_row_claiming(now, id, value, out),
            Stage::Dispatched => {}
            Stage::WritingOutcome { outcome, .. } => {
                self.on_row_writing_outcome(id, value, &outcome, out)
            }
        }
    }

    fn on_row_claiming(
        &mut self,
        now: Now,
        id: RequestId,
        value: Option<ClaimRow>,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(claim) = self.claims.get_mut(&id) else { return };
        let Some(value) = value else {
            out.push(claim.write(claim.claimed_row()));
            return;
        };
        if value.body_hash != claim.request.body_hash {
            let message = format!(
                "idempotency key {:?} of caller {:?} stands for another request",
                claim.request.key, claim.request.caller
            );
            self.claims.remove(&id);
            let refusal = Refusal::new(ErrorKind::KeyReused, message);
            out.push(ClaimAction::Refuse { request: id, refusal });
        } else if value.attempt == claim.attempt && value.state == ClaimState::Claimed {
            claim.stage = Stage::Dispatched;
            if now >= claim.request.deadline {
                self.refuse_unclaimed(now, id, ErrorKind::ExpiredQueued, out);
            } else {
                out.push(ClaimAction::Dispatch { request: id });
            }
        } else {
            self.on_foreign_row(id, value, out);
        }
    }

    fn on_foreign_row(&mut self, id: RequestId, value: ClaimRow, out: &mut Vec<ClaimAction>) {
        let Some(claim) = self.claims.get(&id) else { return };
        match value.state {
            ClaimState::Released => out.push(claim.write(claim.claimed_row())),
            ClaimState::Done => {
                self.claims.remove(&id);
                let body = Bytes::from(value.answer);
                let status = value.status as u16;
                out.push(ClaimAction::Replay { request: id, status, body });
            }
            ClaimState::Claimed => {
                let message = format!(
                    "an earlier request with idempotency key {:?} may have run",
                    claim.request.key
                );
                self.claims.remove(&id);
                let refusal = Refusal::new(ErrorKind::ClaimUnresolved, message);
                out.push(ClaimAction::Refuse { request: id, refusal });
            }
        }
    }

    fn on_row_writing_outcome(
        &mut self,
        id: RequestId,
        value: Option<ClaimRow>,
        outcome: &ClaimRow,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(claim) = self.claims.get(&id) else { return };
        match value {
            Some(value) if value.attempt == claim.attempt && value.state == ClaimState::Claimed => {
                out.push(claim.write(outcome.clone()));
            }
            // The insert may still be in flight; it fails if this row is written first.
            None if outcome.state == ClaimState::Released => {
                out.push(claim.write(outcome.clone()));
            }
            _ => {
                self.claims.remove(&id);
            }
        }
    }

    /// Refuses a request whose claim is not yet confirmed because the table is unavailable.
    fn on_table_unavailable(&mut self, now: Now, id: RequestId, out: &mut Vec<ClaimAction>) {
        let Some(claim) = self.claims.get(&id) else { return };
        if claim.stage == Stage::Claiming {
            self.refuse_unclaimed(now, id, ErrorKind::TableUnavailable, out);
        }
    }

    /// Refuses a request that was not sent to a server and releases its key for resends.
    fn refuse_unclaimed(
        &mut self,
        now: Now,
        id: RequestId,
        kind: ErrorKind,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(claim) = self.claims.get(&id) else { return };
        let message = format!(
            "idempotency key {:?} could not be claimed, so nothing was sent to a server",
            claim.request.key
        );
        let may_be_written = claim.in_doubt || claim.stage != Stage::Claiming;
        out.push(ClaimAction::Refuse { request: id, refusal: Refusal::new(kind, message) });
        if !may_be_written {
            self.claims.remove(&id);
            return;
        }
        self.write_outcome(now, id, ClaimState::Released, 0, String::new(), out);
    }

    fn write_outcome(
        &mut self,
        now: Now,
        id: RequestId,
        state: ClaimState,
        status: u16,
        answer: String,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(claim) = self.claims.get_mut(&id) else { return };
        let outcome = ClaimRow { state, status: u32::from(status), answer, ..claim.claimed_row() };
        let claimed = claim.stage == Stage::Dispatched;
        claim.stage = Stage::WritingOutcome {
            outcome: outcome.clone(),
            retry_at: now + RETRY_INTERVAL,
            give_up_at: now + OUTCOME_WRITE_TIMEOUT,
        };
        if claimed {
            out.push(claim.write(outcome));
        }
    }
}

impl Claim {
    fn claimed_row(&self) -> ClaimRow {
        ClaimRow {
            body_hash: self.request.body_hash.clone(),
            attempt: self.attempt.clone(),
            state: ClaimState::Claimed,
            status: 0,
            answer: String::new(),
        }
    }

    fn write(&self, row: ClaimRow) -> ClaimAction {
        let txn = table::replace(&self.row_key, self.version, &row);
        ClaimAction::Txn { request: self.request.id, txn }
    }

    fn read(&self) -> ClaimAction {
        ClaimAction::Read { request: self.request.id, key: self.row_key.clone() }
    }
}

/// Returns the row key of a caller's idempotency key.
pub fn key(caller: &str, key: &str) -> String {
    format!("claim/{caller}/{}", sha256_hex(key.as_bytes()))
}
