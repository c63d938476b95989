//! A request in flight at a server.

use std::rc::Rc;

use buckthornfall_core::backends::Ended;
use buckthornfall_proto::ids::ServerId;

use super::{clock, node::Node};

/// A request of the daemon's own in flight; recorded as cancelled when dropped before its end.
pub struct InFlight {
    node: Rc<Node>,
    server: ServerId,
    outcome: Ended,
}

impl InFlight {
    /// Records the start of a request to a server.
    pub fn new(node: &Rc<Node>, server: &str) -> InFlight {
        node.backends.borrow_mut().started(server);
        InFlight { node: Rc::clone(node), server: server.to_owned(), outcome: Ended::Cancelled }
    }

    /// Records the end of the request.
    pub fn end(mut self, outcome: Ended) {
        self.outcome = outcome;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.node.backends.borrow_mut().ended(clock::now(), &self.server, self.outcome);
    }
}
