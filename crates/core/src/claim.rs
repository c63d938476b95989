//! Claims: a non-idempotent request runs at most once.
//!
//! A row for (caller, idempotency key) is inserted before the request is sent to a server, and
//! gets the outcome afterwards. Two resends meet the same row. Without a row nothing is sent; a
//! row without an outcome is answered `unknown`.

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

/// What a caller asks to run at most once.
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
    /// When the caller no longer waits.
    pub deadline: Now,
}

/// What the claims ask for.
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
    /// Answer the caller with the outcome of an earlier run.
    Replay {
        /// The request.
        request: RequestId,
        /// HTTP status of that run.
        status: u16,
        /// Its answer.
        body: Bytes,
    },
    /// Refuse the request.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why, and whether the work ran.
        refusal: Refusal,
    },
}

#[derive(Debug, Clone, PartialEq)]
enum Stage {
    /// The claim is being written; nothing was sent to a server.
    Claiming,
    /// The request was sent to a server.
    Dispatched,
    /// The caller has its answer; this outcome is still being written.
    Settling { outcome: ClaimRow, retry_at: Now, give_up_at: Now },
}

#[derive(Debug)]
struct Claim {
    request: ClaimRequest,
    row_key: String,
    attempt: AttemptId,
    /// Version of the row as last seen.
    version: u64,
    /// Whether a write of the claim got no reply and may still be carried out.
    unsure: bool,
    stage: Stage,
}

const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// How long an outcome is tried to be written.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);
/// Largest answer kept for a replay, in bytes.
pub const REPLAY_BYTES: usize = 32 * 1024;

/// All claims of one daemon.
#[derive(Debug)]
pub struct Claims {
    owner: String,
    claims: FxHashMap<RequestId, Claim>,
}

impl Claims {
    /// No claims yet; `owner` must be unique to this start of this process.
    pub fn new(owner: &str) -> Claims {
        Claims { owner: owner.to_owned(), claims: FxHashMap::default() }
    }

    /// Claims in any stage.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is left, not even an outcome to write.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Starts to claim a request.
    pub fn begin(&mut self, request: ClaimRequest, out: &mut Vec<ClaimAction>) {
        let id = request.id;
        let row_key = key(&request.caller, &request.key);
        let attempt = format!("{}/{id}", self.owner);
        let stage = Stage::Claiming;
        let claim = Claim { request, row_key, attempt, version: ABSENT, unsure: false, stage };
        out.push(claim.write(claim.claimed_row()));
        self.claims.insert(id, claim);
    }

    /// Records that the server answered; the answer is kept for resends.
    pub fn on_ran(
        &mut self,
        now: Now,
        request: RequestId,
        status: u16,
        body: &Bytes,
        out: &mut Vec<ClaimAction>,
    ) {
        let text = match std::str::from_utf8(body) {
            Ok(text) if body.len() <= REPLAY_BYTES => text.to_owned(),
            _ => String::new(),
        };
        self.settle(now, request, ClaimState::Done, status, text, out);
    }

    /// Records that the request provably did not run, so that a resend may run.
    pub fn on_not_run(&mut self, now: Now, request: RequestId, out: &mut Vec<ClaimAction>) {
        self.settle(now, request, ClaimState::Released, 0, String::new(), out);
    }

    /// Records that the outcome is not known: the row stays claimed for good.
    pub fn on_unknown(&mut self, request: RequestId) {
        self.claims.remove(&request);
    }

    /// Takes the reply to a transaction.
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
                claim.unsure = true;
                out.push(claim.read());
            }
            Err(TableError::NotSent) => self.on_away(now, request, out),
        }
    }

    /// Takes the reply to a read.
    pub fn on_read(
        &mut self,
        now: Now,
        request: RequestId,
        reply: &ReadResult,
        out: &mut Vec<ClaimAction>,
    ) {
        match reply {
            Ok(row) => self.on_row(now, request, row, out),
            Err(_) => self.on_away(now, request, out),
        }
    }

    /// Refuses what could not be claimed in time and writes outcomes again.
    pub fn tick(&mut self, now: Now, out: &mut Vec<ClaimAction>) {
        let expired: Vec<_> = self
            .claims
            .values()
            .filter(|c| c.stage == Stage::Claiming && now >= c.request.deadline)
            .map(|c| c.request.id)
            .collect();
        for id in expired {
            if let Some(claim) = self.claims.get_mut(&id) {
                claim.unsure = true;
            }
            self.refuse_unclaimed(now, id, ErrorKind::TableUnavailable, out);
        }
        self.claims.retain(|_, claim| match &claim.stage {
            Stage::Settling { give_up_at, .. } => now < *give_up_at,
            _ => true,
        });
        for claim in self.claims.values_mut() {
            let read = claim.read();
            if let Stage::Settling { retry_at, .. } = &mut claim.stage {
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
            Stage::Settling { outcome, .. } => self.on_row_settling(id, value, &outcome, out),
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
            self.on_row_of_other(id, value, out);
        }
    }

    fn on_row_of_other(&mut self, id: RequestId, value: ClaimRow, out: &mut Vec<ClaimAction>) {
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

    fn on_row_settling(
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
            // The insert may still be on its way; a row that stands already makes it fail.
            None if outcome.state == ClaimState::Released => {
                out.push(claim.write(outcome.clone()));
            }
            _ => {
                self.claims.remove(&id);
            }
        }
    }

    /// The table does not answer: a claim waits for its deadline, or is refused when it came.
    fn on_away(&mut self, now: Now, id: RequestId, out: &mut Vec<ClaimAction>) {
        let Some(claim) = self.claims.get(&id) else { return };
        if claim.stage == Stage::Claiming {
            self.refuse_unclaimed(now, id, ErrorKind::TableUnavailable, out);
        }
    }

    /// Refuses a request that was not sent to a server, and lets resends run.
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
        let sent = claim.unsure || claim.stage != Stage::Claiming;
        out.push(ClaimAction::Refuse { request: id, refusal: Refusal::new(kind, message) });
        if !sent {
            self.claims.remove(&id);
            return;
        }
        self.settle(now, id, ClaimState::Released, 0, String::new(), out);
    }

    fn settle(
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
        claim.stage = Stage::Settling {
            outcome: outcome.clone(),
            retry_at: now + RETRY_INTERVAL,
            give_up_at: now + SETTLE_LIMIT,
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

/// Key of the row of a caller's idempotency key.
pub fn key(caller: &str, key: &str) -> String {
    format!("claim/{caller}/{}", sha256_hex(key.as_bytes()))
}
