//! Claims during and after an outage of the table service.

use std::{collections::VecDeque, time::Duration};

use buckthornfall_core::{
    claim::{self, ClaimAction, ClaimRequest, Claims},
    table::TableError,
    Now,
};
use buckthornfall_proto::messages::{ClaimRow, ClaimState, Txn};
use buckthornfall_standins::table::Rows;

const DEADLINE: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(100);

/// State of the connection to the table service.
#[derive(Clone, Copy, PartialEq)]
enum Link {
    Up,
    /// Calls fail before they are sent.
    Refused,
    /// Calls are delayed in transit and their replies lost.
    Lost,
}

/// Claims of one daemon and their table.
struct Harness {
    claims: Claims,
    rows: Rows,
    link: Link,
    now: Now,
    calls: usize,
    refused: Vec<u64>,
    dispatched: Vec<u64>,
    /// Writes in transit while the replies are lost.
    in_transit: Vec<Txn>,
}

impl Harness {
    fn new(link: Link) -> Harness {
        Harness {
            claims: Claims::new("entry-0/1"),
            rows: Rows::default(),
            link,
            now: Now::ZERO,
            calls: 0,
            refused: Vec::new(),
            dispatched: Vec::new(),
            in_transit: Vec::new(),
        }
    }

    fn begin(&mut self, id: u64) {
        let request = ClaimRequest {
            id,
            caller: "clerks".to_owned(),
            key: format!("key-{id}"),
            body_hash: "hash".to_owned(),
            deadline: self.now + DEADLINE,
        };
        let mut out = Vec::new();
        self.claims.begin(request, &mut out);
        self.run_actions(out);
    }

    fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            let mut out = Vec::new();
            self.claims.tick(self.now, &mut out);
            self.run_actions(out);
        }
    }

    fn run_actions(&mut self, actions: Vec<ClaimAction>) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            let mut out = Vec::new();
            match action {
                ClaimAction::Read { request, key } => {
                    self.calls += 1;
                    let reply = match self.link {
                        Link::Up => Ok(self.rows.read(&key)),
                        Link::Refused => Err(TableError::NotSent),
                        Link::Lost => Err(TableError::NoReply),
                    };
                    self.claims.on_read(self.now, request, &reply, &mut out);
                }
                ClaimAction::Txn { request, txn } => {
                    self.calls += 1;
                    let reply = match self.link {
                        Link::Up => Ok(self.rows.run(&txn)),
                        Link::Refused => Err(TableError::NotSent),
                        Link::Lost => {
                            self.in_transit.push(txn);
                            Err(TableError::NoReply)
                        }
                    };
                    self.claims.on_txn(self.now, request, &reply, &mut out);
                }
                ClaimAction::Dispatch { request } => self.dispatched.push(request),
                ClaimAction::Refuse { request, .. } => self.refused.push(request),
                ClaimAction::Replay { .. } => panic!("unexpected replay: no request has run"),
            }
            queue.extend(out);
        }
    }

    fn row(&self, id: u64) -> Option<ClaimRow> {
        let key = claim::key("clerks", &format!("key-{id}"));
        buckthornfall_core::table::value(&self.rows.read(&key))
    }
}

/// A claim whose write was never sent needs no further call. Retrying it would load the table and
/// delay a planned stop.
#[test]
fn unsent_claims_are_removed_when_refused() {
    let mut harness = Harness::new(Link::Refused);
    for id in 0..200 {
        harness.begin(id);
    }
    assert_eq!(harness.refused.len(), 200);
    assert_eq!(harness.claims.len(), 0);
    let calls = harness.calls;
    harness.advance(Duration::from_secs(10));
    assert_eq!(harness.calls, calls);
}

/// A claim whose write may still be applied is closed with one further write once the table is
/// available; the delayed write then has no effect.
#[test]
fn in_doubt_claims_are_closed_after_the_outage() {
    let mut harness = Harness::new(Link::Lost);
    for id in 0..50 {
        harness.begin(id);
    }
    assert_eq!(harness.refused.len(), 50);
    harness.advance(Duration::from_secs(3));
    harness.link = Link::Up;
    let calls = harness.calls;
    harness.advance(Duration::from_secs(1));
    assert_eq!(harness.claims.len(), 0);
    assert!(harness.calls - calls <= 2 * 50, "{} calls", harness.calls - calls);
    for txn in std::mem::take(&mut harness.in_transit) {
        harness.rows.run(&txn);
    }
    for id in 0..50 {
        assert_eq!(harness.row(id).map(|row| row.state), Some(ClaimState::Released));
    }
    assert!(harness.dispatched.is_empty());
}

/// A resend of a request that was refused as not run is dispatched.
#[test]
fn a_released_key_can_be_claimed_again() {
    let mut harness = Harness::new(Link::Lost);
    harness.begin(1);
    harness.link = Link::Up;
    harness.advance(Duration::from_secs(1));
    let request = ClaimRequest {
        id: 2,
        caller: "clerks".to_owned(),
        key: "key-1".to_owned(),
        body_hash: "hash".to_owned(),
        deadline: harness.now + DEADLINE,
    };
    let mut out = Vec::new();
    harness.claims.begin(request, &mut out);
    harness.run_actions(out);
    assert_eq!(harness.dispatched, [2]);
}
