//! Bytes of requests that are on their way to each backend server.
//!
//! The slots of a server bound the number of requests that it holds, not their size. A server that is sent
//! many long bodies at once runs out of memory, and a server that has stopped reading keeps them at this
//! daemon. As a server must be able to take one request of the maximum size, no more than that is on its
//! way to it at one time.

use buckthornfall_proto::ids::ServerId;
use rustc_hash::FxHashMap;

/// Size in bytes up to which a body is not counted: the slots of a server bound how many it holds.
pub const SHORT_BODY_BYTES: usize = 64 << 10;

/// Bytes of long bodies that this daemon has sent, or is sending, in requests that are not answered.
///
/// Invariant: those of one server exceed the maximum size of a body only while one body alone does, as
/// after a change of the maximum.
#[derive(Debug, Clone, Default)]
pub struct ServerBytes {
    on_way: FxHashMap<ServerId, usize>,
}

impl ServerBytes {
    /// Returns whether a body of `size` bytes may be sent to a server, where one of `max_body` bytes is
    /// the longest.
    pub fn admits(&self, server: &str, size: usize, max_body: usize) -> bool {
        let others = self.on_way(server);
        size <= SHORT_BODY_BYTES || others == 0 || others.saturating_add(size) <= max_body
    }

    /// Returns the servers to which a body of `size` bytes may not be sent now.
    pub fn full(&self, size: usize, max_body: usize) -> impl Iterator<Item = &ServerId> {
        self.on_way.keys().filter(move |server| !self.admits(server, size, max_body))
    }

    /// Counts a body that is sent from now on.
    pub fn started(&mut self, server: &str, size: usize) {
        if size > SHORT_BODY_BYTES {
            *self.on_way.entry(server.to_owned()).or_default() += size;
        }
    }

    /// Ends the count of a body: its request is answered or given up.
    pub fn ended(&mut self, server: &str, size: usize) {
        if size <= SHORT_BODY_BYTES {
            return;
        }
        if let Some(bytes) = self.on_way.get_mut(server) {
            *bytes = bytes.saturating_sub(size);
        }
        self.on_way.retain(|_, bytes| *bytes > 0);
    }

    /// Returns the bytes on their way to a server.
    pub fn on_way(&self, server: &str) -> usize {
        self.on_way.get(server).copied().unwrap_or_default()
    }

    /// Returns the bytes on their way to all servers.
    pub fn total(&self) -> usize {
        self.on_way.values().sum()
    }
}
