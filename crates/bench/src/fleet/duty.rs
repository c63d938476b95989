//! The duty on weights at one daemon: the lease and the orders, on calls that take some time.

use std::time::Duration;

use buckthornfall_core::{
    lease::{Lease, LeaseTimes},
    weights::{Recorded, Weights},
    Now,
};
use buckthornfall_proto::ids::Fence;

/// Times of the lease, as daemons on the users' platform have them.
const LEASE_TIMES: LeaseTimes = LeaseTimes {
    term: Duration::from_millis(2_200),
    margin: Duration::from_millis(700),
    interval: Duration::from_millis(400),
    timeout: Duration::from_millis(1_300),
};
/// Longest time between the record of an order and its start.
const RECORD_VALID: Duration = Duration::from_millis(400);

/// The duty at one daemon.
#[derive(Debug)]
pub struct Duty {
    host: String,
    pub lease: Lease,
    pub weights: Weights,
    /// Fencing number of the term.
    pub term: Option<Fence>,
}

impl Duty {
    pub fn new(host: usize, life: u64) -> Duty {
        let host = host_name(host);
        let lease = Lease::new("weights", &format!("{host}/{life}"), LEASE_TIMES);
        Duty { lease, host, weights: Weights::default(), term: None }
    }

    /// The fencing number under which orders may be sent now, and whether a term begins in which the
    /// records of orders have to be read.
    pub fn fence(&mut self, now: Now, turns: Duration) -> (Option<Fence>, bool) {
        let fence = self.lease.fence(now);
        let begins = fence != self.term && fence.is_some();
        if fence != self.term {
            self.term = fence;
            self.weights.stop();
        }
        if begins {
            self.weights.turns.begin(now, &self.host, turns);
        }
        let reads = begins && self.weights.turns.are_recorded();
        (fence.filter(|fence| self.weights.may_order(*fence)), reads)
    }

    /// Takes the record that stands in the store after this daemon tried to write its own, `began` ago
    /// begun; whether the order may be sent.
    pub fn on_record(
        &mut self,
        now: Now,
        server: &str,
        began: Now,
        found: Option<Recorded>,
    ) -> bool {
        if !self.weights.turns.are_recorded() {
            return true;
        }
        let Some(found) = found else { return false };
        let ours = found.host == self.host && found.at == began;
        self.weights.turns.on_record(server, found);
        ours && now.saturating_sub(began) <= RECORD_VALID
    }
}

/// Name of a host.
pub fn host_name(host: usize) -> String {
    format!("h{host}")
}
