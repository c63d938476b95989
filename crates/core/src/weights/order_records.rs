//! Records of the last order to each server, which keep orders of different hosts a minimum time
//! apart.
//!
//! Where servers do not check fencing tokens, the orders of two hosts to one server need a minimum
//! time between them. A new lease holder cannot tell what the previous one sent, so each order is
//! recorded in the store before it is sent, and a server without a recent record may be sent an
//! order at once.

use std::time::Duration;

use buckthornfall_proto::ids::{HostId, ServerId};
use rustc_hash::FxHashMap;

use crate::{store::RowVersion, Now};

/// Longest time between the start of a record's write and the sending of its order. A holder that
/// is later than that records the order again.
const RECORD_TTL: Duration = Duration::from_millis(400);
/// Longest time between the record of an order and its arrival: `RECORD_TTL`, plus half a second to
/// connect and a tenth of a second in transit.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(1);

/// Record of the last order to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRecord {
    /// Host that sent the order.
    pub host: HostId,
    /// Time at which the order was recorded.
    pub at: Now,
    /// Version of the record's row.
    pub version: RowVersion,
}

/// Order records of all servers, as known to the lease holder.
#[derive(Debug, Default)]
pub struct OrderRecords {
    own_host: HostId,
    /// Minimum time between the orders of two hosts to a server; zero if servers check fencing
    /// tokens.
    min_gap: Duration,
    /// Start of the lease term.
    term_start: Now,
    /// Whether the records were read from the store in this term.
    is_loaded: bool,
    records: FxHashMap<ServerId, OrderRecord>,
}

impl OrderRecords {
    /// Starts a lease term of the host `own_host`.
    pub fn begin_term(&mut self, now: Now, own_host: &str, min_gap: Duration) {
        *self = OrderRecords {
            own_host: own_host.to_owned(),
            min_gap,
            term_start: now,
            ..OrderRecords::default()
        };
    }

    /// Returns whether orders must be recorded before they are sent.
    pub fn is_required(&self) -> bool {
        !self.min_gap.is_zero()
    }

    /// Merges the records read from the store after the start of the term.
    pub fn on_read(&mut self, records: FxHashMap<ServerId, OrderRecord>) {
        self.is_loaded = true;
        // Records written in this term are newer.
        for (server, record) in records {
            self.records.entry(server).or_insert(record);
        }
    }

    /// Handles the result of the write of an order record that started at `write_started`; `stored`
    /// is the record in the store after it. Returns whether the order may be sent at `now`.
    pub fn on_record(
        &mut self,
        now: Now,
        server: &str,
        write_started: Now,
        stored: Option<OrderRecord>,
    ) -> bool {
        if !self.is_required() {
            return true;
        }
        let Some(stored) = stored else { return false };
        let is_own = stored.host == self.own_host && stored.at == write_started;
        self.records.insert(server.to_owned(), stored);
        is_own && now.saturating_sub(write_started) <= RECORD_TTL
    }

    /// Returns the row version of a server's record; 0 if there is none.
    pub fn version(&self, server: &str) -> RowVersion {
        self.records.get(server).map_or(0, |record| record.version)
    }

    /// Returns whether no order of another host can have reached a server within the last
    /// `min_gap`. The previous holder stopped sending orders before this term started, so without
    /// records it is enough to wait for `min_gap` from the start of the term.
    pub fn may_order(&self, now: Now, server: &str) -> bool {
        if now >= self.term_start + self.min_gap {
            return true;
        }
        let has_expired = |record: &OrderRecord| {
            record.host == self.own_host || now >= record.at + MAX_ORDER_DELAY + self.min_gap
        };
        self.is_loaded && self.records.get(server).is_none_or(has_expired)
    }
}
