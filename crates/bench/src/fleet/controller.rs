//! Weight controller of a daemon, with the lease under which it sends orders.

use std::time::Duration;

use buckthornfall_core::{
    lease::Lease,
    weights::{WeightController, LEASE_TIMES},
    Now,
};
use buckthornfall_proto::ids::Fence;

/// Weight controller of a daemon and its lease.
#[derive(Debug)]
pub struct LeasedController {
    host: String,
    pub lease: Lease,
    pub weights: WeightController,
    /// Fencing token of the current term; `None` without the lease.
    pub term: Option<Fence>,
}

impl LeasedController {
    pub fn new(host: usize, incarnation: u64) -> LeasedController {
        let host = host_name(host);
        let lease = Lease::new("weights", &format!("{host}/{incarnation}"), LEASE_TIMES);
        LeasedController { lease, host, weights: WeightController::default(), term: None }
    }

    /// Returns the fencing token under which orders may be sent at `now`, and whether a term has
    /// begun for which the order records must be read.
    pub fn fence(&mut self, now: Now, min_gap: Duration) -> (Option<Fence>, bool) {
        let fence = self.lease.fence(now);
        let term_began = fence != self.term && fence.is_some();
        if fence != self.term {
            self.term = fence;
            self.weights.stop();
        }
        if term_began {
            self.weights.order_records.begin_term(now, &self.host, min_gap);
        }
        let must_read_records = term_began && self.weights.order_records.is_required();
        (fence.filter(|fence| self.weights.may_order(*fence)), must_read_records)
    }
}

/// Returns the name of a host.
pub fn host_name(host: usize) -> String {
    format!("h{host}")
}
