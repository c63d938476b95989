//! Bytes of callers' requests on their way to servers.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::{server_bytes::SHORT_BODY_BYTES, Now};
use buckthornfall_proto::ids::ServerId;
use log::info;
use tokio::time::timeout;

use super::{clock, node::Node};

/// Maximum wait of a long body until a server may be sent it.
const MAX_WAIT: Duration = Duration::from_millis(700);

/// Counts a body as on its way to a server until dropped.
pub struct OnWay {
    node: Rc<Node>,
    server: ServerId,
    bytes: usize,
}

impl OnWay {
    /// Counts a body of `bytes` bytes from now on.
    pub fn new(node: &Rc<Node>, server: &str, bytes: usize) -> OnWay {
        node.server_bytes.borrow_mut().started(server, bytes);
        OnWay { node: Rc::clone(node), server: server.to_owned(), bytes }
    }
}

impl Drop for OnWay {
    fn drop(&mut self) {
        self.node.server_bytes.borrow_mut().ended(&self.server, self.bytes);
        if self.bytes > SHORT_BODY_BYTES {
            self.node.bytes_released.notify_waiters();
        }
    }
}

/// Servers that may not be sent a body, and how long its request may wait for them.
pub struct FullServers {
    bytes: usize,
    until: Now,
}

impl FullServers {
    /// Creates the wait of a request with a body of `bytes` bytes until `deadline` at the latest.
    pub fn new(bytes: usize, deadline: Now) -> FullServers {
        let now = clock::now();
        FullServers { bytes, until: now + MAX_WAIT.min(deadline.saturating_sub(now) / 2) }
    }

    /// Returns `excluded`, and the servers to which too many bytes are on their way.
    pub fn add_to(&self, node: &Node, excluded: &[ServerId]) -> Vec<ServerId> {
        let mut servers = excluded.to_vec();
        if self.bytes > SHORT_BODY_BYTES {
            let max_body = node.desired().map_or(0, |desired| desired.limits.body_bytes);
            servers.extend(node.server_bytes.borrow().full(self.bytes, max_body).cloned());
        }
        servers
    }

    /// Waits until less may be on the way. Returns whether it may be, and not only the time was up.
    pub async fn wait(&self, node: &Node) -> bool {
        let left = self.until.saturating_sub(clock::now());
        let is_released = timeout(left, node.bytes_released.notified()).await.is_ok();
        if !is_released {
            metrics::counter!("server_bytes_denied_total").increment(1);
            info!(bytes = self.bytes, on_way = node.server_bytes.borrow().total(); "server_bytes_denied");
        }
        is_released
    }
}
