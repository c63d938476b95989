//! Messages of other daemons: calls of the store that it refuses to make for them.

use std::{io, rc::Rc};

use buckthornfall_proto::messages::PeerMessage;
use log::warn;
use tokio::{net::TcpListener, task::spawn_local, time::sleep};

use super::{node::Node, server::ACCEPT_PAUSE};
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
    let listener = TcpListener::bind(node.settings.peers).await?;
    let calls = Calls(Rc::clone(node));
    spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((socket, _)) => drop(spawn_local(peers::serve(socket, calls.clone()))),
                Err(e) => {
                    warn!(address:% = calls.0.settings.peers, error:% = e; "accept_failed");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}
