//! Handles the messages of other daemons: relays store calls whose sender the store refuses, issues
//! permits, and serves requests that they pass on.

use std::{io, rc::Rc};

use buckthornfall_proto::messages::PeerMessage;
use bytes::Bytes;
use h2::{server::SendResponse, RecvStream};
use http::Request;

use super::{job_ends, node::Node, origins, peer_forward, permits, server};
use crate::peers::{self, MessageHandler};

#[derive(Clone)]
struct PeerHandler(Rc<Node>);

impl MessageHandler for PeerHandler {
    async fn handle(&self, message: PeerMessage) -> Option<PeerMessage> {
        match message {
            PeerMessage::StoreCall(relayed) => {
                Some(PeerMessage::StoreReply(self.0.store.relay_for_peer(relayed).await))
            }
            PeerMessage::PermitRequest(req) => {
                Some(PeerMessage::PermitReply(permits::handle(&self.0, req).await))
            }
            PeerMessage::LimitNotice(notice) => {
                permits::handle_notice(&self.0, &notice).map(PeerMessage::LimitNotice)
            }
            PeerMessage::EndNotice(notice) => {
                Some(PeerMessage::EndNotice(job_ends::handle_notice(&self.0, notice)))
            }
            PeerMessage::OriginRequest(req) => {
                Some(PeerMessage::OriginReply(origins::handle_request(&self.0, &req)))
            }
            _ => None,
        }
    }

    async fn serve_request(&self, request: Request<RecvStream>, respond: SendResponse<Bytes>) {
        peer_forward::serve(Rc::clone(&self.0), request, respond).await;
    }
}

/// Accepts connections of other daemons.
pub async fn listen(node: &Rc<Node>) -> io::Result<()> {
    let handler = PeerHandler(Rc::clone(node));
    let serve = move |socket| peers::serve(socket, handler.clone());
    server::accept(node.settings().peers, serve).await.map(drop)
}
