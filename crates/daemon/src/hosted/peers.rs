//! Messages of other daemons: calls of the store that it refuses to make for them.

use std::{io, rc::Rc};

use buckthornfall_proto::messages::PeerMessage;

use super::{node::Node, server};
use crate::peers::{self, Answer};

#[derive(Clone)]
struct Calls(Rc<Node>);

impl Answer for Calls {
    async fn answer(&self, message: PeerMessage) -> Option<PeerMessage> {
        let PeerMessage::StoreCall(asked) = message else { return None };
        Some(PeerMessage::StoreReply(self.0.store.make_for_peer(asked).await))
    }
}

/// Listens for other daemons.
pub async fn listen(node: &Rc<Node>) -> io::Result<()> {
    let calls = Calls(Rc::clone(node));
    server::accept(node.settings().peers, move |socket| peers::serve(socket, calls.clone())).await
}
