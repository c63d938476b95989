//! Claims while the table service is away, and after it came back.

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

/// How the table treats a call.
#[derive(Clone, Copy, PartialEq)]
enum Link {
    Up,
    /// Calls fail before they are sent.
    Refused,
    /// Calls are held on the way and their replies lost.
    Lost,
}

/// Claims of one daemon and the table that they use.
struct Bench {
    claims: Claims,
    rows: Rows,
    link: Link,
    now: Now,
    calls: usize,
    refused: Vec<u64>,
    dispatched: Vec<u64>,
    /// Writes that are carried out later.
    held: Vec<Txn>,
}

impl Bench {
    fn new(link: Link) -> Bench {
        Bench {
            claims: Claims::new("entry-0/1"),
            rows: Rows::default(),
            link,
            now: Now::ZERO,
            calls: 0,
            refused: Vec::new(),
            dispatched: Vec::new(),
            held: Vec::new(),
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
        self.carry_out(out);
    }

    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            let mut out = Vec::new();
            self.claims.tick(self.now, &mut out);
            self.carry_out(out);
        }
    }

    fn carry_out(&mut self, actions: Vec<ClaimAction>) {
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
                            self.held.push(txn);
                            Err(TableError::NoReply)
                        }
                    };
                    self.claims.on_txn(self.now, request, &reply, &mut out);
                }
                ClaimAction::Dispatch { request } => self.dispatched.push(request),
                ClaimAction::Refuse { request, .. } => self.refused.push(request),
                ClaimAction::Replay { .. } => panic!("nothing ran before"),
            }
            queue.extend(out);
        }
    }

    fn row(&self, id: u64) -> Option<ClaimRow> {
        let key = claim::key("clerks", &format!("key-{id}"));
        buckthornfall_core::table::value(&self.rows.read(&key))
    }
}

/// A claim that never left the daemon needs no further call: neither calls of the table nor a
/// planned stop may depend on it.
#[test]
fn claims_that_were_not_sent_end_with_their_refusal() {
    let mut bench = Bench::new(Link::Refused);
    for id in 0..200 {
        bench.begin(id);
    }
    assert_eq!(bench.refused.len(), 200);
    assert_eq!(bench.claims.len(), 0);
    let calls = bench.calls;
    bench.pass(Duration::from_secs(10));
    assert_eq!(bench.calls, calls);
}

/// A claim whose write may still be carried out is closed with one write of its own as soon as
/// the table answers; the late write then changes nothing.
#[test]
fn claims_of_unknown_outcome_are_closed_once_the_table_is_back() {
    let mut bench = Bench::new(Link::Lost);
    for id in 0..50 {
        bench.begin(id);
    }
    assert_eq!(bench.refused.len(), 50);
    bench.pass(Duration::from_secs(3));
    bench.link = Link::Up;
    let calls = bench.calls;
    bench.pass(Duration::from_secs(1));
    assert_eq!(bench.claims.len(), 0);
    assert!(bench.calls - calls <= 2 * 50, "{} calls", bench.calls - calls);
    for txn in std::mem::take(&mut bench.held) {
        bench.rows.run(&txn);
    }
    for id in 0..50 {
        assert_eq!(bench.row(id).map(|row| row.state), Some(ClaimState::Released));
    }
    assert!(bench.dispatched.is_empty());
}

/// A resend of a request that was refused as not run may run.
#[test]
fn a_released_key_may_be_claimed_again() {
    let mut bench = Bench::new(Link::Lost);
    bench.begin(1);
    bench.link = Link::Up;
    bench.pass(Duration::from_secs(1));
    let request = ClaimRequest {
        id: 2,
        caller: "clerks".to_owned(),
        key: "key-1".to_owned(),
        body_hash: "hash".to_owned(),
        deadline: bench.now + DEADLINE,
    };
    let mut out = Vec::new();
    bench.claims.begin(request, &mut out);
    bench.carry_out(out);
    assert_eq!(bench.dispatched, [2]);
}
