//! When the holder of the duty may order a server that another host ordered before.
//!
//! Where servers do not check fencing numbers, the orders of two hosts to one server must be some
//! time apart. A new holder cannot tell what the last one sent, so each order is recorded in the
//! store before it is sent, and a server without a recent record can be ordered at once.

use std::time::Duration;

use buckthornfall_proto::ids::{HostId, ServerId};
use rustc_hash::FxHashMap;

use crate::{store::RowVersion, Now};

/// Longest time between the record of an order and its start; a holder that could not send it by then
/// records it again.
const RECORD_VALID: Duration = Duration::from_millis(400);
/// Longest time between the record of an order and its arrival: above `RECORD_VALID` this is half a
/// second for a connection and a tenth for the way.
const ORDER_ARRIVES: Duration = Duration::from_secs(1);

/// The record of the last order to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recorded {
    /// The host that sent it.
    pub host: HostId,
    /// When it was recorded.
    pub at: Now,
    /// Version of the record's row.
    pub version: RowVersion,
}

/// Turns of the holders of the duty at each server.
#[derive(Debug, Default)]
pub struct Turns {
    own: HostId,
    /// Time between the orders of two hosts to a server; zero if servers check fencing numbers.
    wait: Duration,
    /// Start of the term.
    since: Now,
    /// Whether the records were read in this term.
    is_read: bool,
    records: FxHashMap<ServerId, Recorded>,
}

impl Turns {
    /// Begins a term of the host `own`.
    pub fn begin(&mut self, now: Now, own: &str, wait: Duration) {
        *self = Turns { own: own.to_owned(), wait, since: now, ..Turns::default() };
    }

    /// Whether orders have to be recorded.
    pub fn are_recorded(&self) -> bool {
        !self.wait.is_zero()
    }

    /// Takes the records as they were read after the term began.
    pub fn on_read(&mut self, records: FxHashMap<ServerId, Recorded>) {
        self.is_read = true;
        // What this term has recorded already is newer.
        for (server, record) in records {
            self.records.entry(server).or_insert(record);
        }
    }

    /// Takes the record that stands in the store after this host tried to write its own, which it began
    /// at `began`; whether the order may be sent at `now`.
    pub fn on_record(
        &mut self,
        now: Now,
        server: &str,
        began: Now,
        found: Option<Recorded>,
    ) -> bool {
        if !self.are_recorded() {
            return true;
        }
        let Some(found) = found else { return false };
        let ours = found.host == self.own && found.at == began;
        self.records.insert(server.to_owned(), found);
        ours && now.saturating_sub(began) <= RECORD_VALID
    }

    /// Version that the record of a server has; 0 if there is none.
    pub fn version(&self, server: &str) -> RowVersion {
        self.records.get(server).map_or(0, |record| record.version)
    }

    /// Whether no order of another host can have reached a server in the last `wait`. The last holder
    /// stopped to order before this term began, which is enough where nothing is recorded.
    pub fn may_order(&self, now: Now, server: &str) -> bool {
        if now >= self.since + self.wait {
            return true;
        }
        let is_over = |record: &Recorded| {
            record.host == self.own || now >= record.at + ORDER_ARRIVES + self.wait
        };
        self.is_read && self.records.get(server).is_none_or(is_over)
    }
}
