//! Relays store calls for other daemons whose own calls the store refuses.

use std::{io, rc::Rc};

use buckthornfall_proto::messages::PeerMessage;

use super::{node::Node, server};
use crate::peers::{self, MessageHandler};

#[derive(Clone)]
struct StoreRelay(Rc<Node>);

impl MessageHandler for StoreRelay {
    async fn handle(&self, message: PeerMessage) -> Option<PeerMessage> {
        let PeerMessage::StoreCall(relayed) = message else { return None };
        Some(PeerMessage::StoreReply(self.0.store.relay_for_peer(relayed).await))
    }
}

/// Accepts connections of other daemons.
pub async fn listen(node: &Rc<Node>) -> io::Result<()> {
    let handler = StoreRelay(Rc::clone(node));
    server::accept(node.settings().peers, move |socket| peers::serve(socket, handler.clone())).await
}
