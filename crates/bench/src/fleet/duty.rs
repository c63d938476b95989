//! The duty on weights at one daemon: the lease and the orders, on calls that take some time.

use std::time::Duration;

use buckthornfall_core::{
    lease::Lease,
    weights::{WeightController, LEASE_TIMES},
    Now,
};
use buckthornfall_proto::ids::Fence;

/// The duty at one daemon.
#[derive(Debug)]
pub struct Duty {
    host: String,
    pub lease: Lease,
    pub weights: WeightController,
    /// Fencing number of the term.
    pub term: Option<Fence>,
}

impl Duty {
    pub fn new(host: usize, life: u64) -> Duty {
        let host = host_name(host);
        let lease = Lease::new("weights", &format!("{host}/{life}"), LEASE_TIMES);
        Duty { lease, host, weights: WeightController::default(), term: None }
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
            self.weights.order_records.begin_term(now, &self.host, turns);
        }
        let reads = begins && self.weights.order_records.is_required();
        (fence.filter(|fence| self.weights.may_order(*fence)), reads)
    }
}

/// Name of a host.
pub fn host_name(host: usize) -> String {
    format!("h{host}")
}
