//! Long responses that are read from their server ahead of the caller, as far as the budget allows: a
//! server cuts off a response that remains unread.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    task::{Context, Poll, Waker},
};

use buckthornfall_proto::ids::ServiceName;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::{
    select,
    sync::Notify,
    task::{spawn_local, AbortHandle},
};

use super::{hold::Pieces, node::Node, paths};

/// What the task has read and the caller has not taken.
struct Shared {
    pieces: RefCell<Pieces>,
    /// How the response has ended, once no further piece follows.
    end: Cell<Option<Result<(), hyper::Error>>>,
    /// Notified when the caller has taken a piece.
    taken: Notify,
    /// Wakes the caller's connection, which waits for a piece.
    waker: Cell<Option<Waker>>,
}

impl Shared {
    fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// Rest of a response, which a task reads; it ends when this is dropped.
pub struct ReadAhead {
    shared: Rc<Shared>,
    /// Bytes that the caller has not taken, if the server has stated the size.
    rest: Option<u64>,
    task: AbortHandle,
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ReadAhead {
    /// Reads on `body` of a response of `service`, of which `pieces` were read.
    pub fn start(
        node: &Rc<Node>,
        service: &ServiceName,
        pieces: Pieces,
        body: Incoming,
    ) -> ReadAhead {
        let rest = body.size_hint().exact().map(|bytes| bytes + pieces.len() as u64);
        let shared = Rc::new(Shared {
            pieces: RefCell::new(pieces),
            end: Cell::new(None),
            taken: Notify::new(),
            waker: Cell::new(None),
        });
        let reader = read(Rc::clone(node), service.clone(), Rc::clone(&shared), body);
        ReadAhead { shared, rest, task: spawn_local(reader).abort_handle() }
    }

    /// Returns the number of bytes that are still to be taken, if it is known.
    pub fn rest_bytes(&self) -> Option<u64> {
        self.rest
    }

    /// Returns the next piece; `None` at the end of the response.
    pub fn poll_piece(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, hyper::Error>>> {
        if let Some(piece) = self.shared.pieces.borrow_mut().pop() {
            self.rest = self.rest.map(|rest| rest.saturating_sub(piece.len() as u64));
            self.shared.taken.notify_one();
            return Poll::Ready(Some(Ok(piece)));
        }
        if let Some(end) = self.shared.end.take() {
            return Poll::Ready(end.err().map(Err));
        }
        self.shared.waker.set(Some(cx.waker().clone()));
        Poll::Pending
    }
}

async fn read(node: Rc<Node>, service: ServiceName, shared: Rc<Shared>, mut body: Incoming) {
    let end = loop {
        wait_for_room(&node, &shared).await;
        match body.frame().await {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                paths::on_response(&node, &service);
                shared.pieces.borrow_mut().push(data);
                shared.wake();
            }
            Some(Err(e)) => break Err(e),
            None => break Ok(()),
        }
    };
    shared.end.set(Some(end));
    shared.wake();
}

async fn wait_for_room(node: &Node, shared: &Shared) {
    let limit = node.held_bytes.borrow().read_ahead_limit();
    while !shared.pieces.borrow_mut().has_room(limit) {
        select! {
            () = shared.taken.notified() => {}
            () = node.bytes_released.notified() => {}
        }
    }
}
