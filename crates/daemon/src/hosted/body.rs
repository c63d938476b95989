//! Bodies of answers to callers: whole ones, and the rest of what a server still sends.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{ready, Context, Poll},
};

use buckthornfall_core::{backends::Ended, Now};
use buckthornfall_proto::ids::ServerId;
use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use snafu::{ResultExt, Snafu};
use tokio::time::{sleep, Sleep};

use super::{clock, http::Connection, node::Node};

/// Counts a request until the whole answer was handed to its connection.
pub struct Pending(Rc<Node>);

impl Pending {
    /// Counts a request from now on.
    pub fn new(node: &Rc<Node>) -> Pending {
        node.inflight.set(node.inflight.get() + 1);
        Pending(Rc::clone(node))
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.0.inflight.set(self.0.inflight.get() - 1);
        if self.0.is_leaving() {
            self.0.stop.notify_waiters();
        }
    }
}

/// The body of an answer, and the request that waits for it.
pub struct AnswerBody {
    source: Source,
    /// Dropped with the body.
    _pending: Option<Pending>,
}

/// Where the body of an answer comes from.
enum Source {
    /// All of it.
    Whole(Full<Bytes>),
    /// What a server still sends.
    Relay(Relay),
}

impl AnswerBody {
    /// All of it.
    pub fn whole(body: Bytes) -> AnswerBody {
        AnswerBody { source: Source::Whole(Full::new(body)), _pending: None }
    }

    /// What a server still sends.
    pub fn relay(relay: Relay) -> AnswerBody {
        AnswerBody { source: Source::Relay(relay), _pending: None }
    }

    /// Counts the request as unanswered until the body was sent.
    pub fn counted(self, pending: Pending) -> AnswerBody {
        AnswerBody { _pending: Some(pending), ..self }
    }
}

/// The rest of a server's answer.
pub struct Relay {
    body: Incoming,
    conn: Option<Connection>,
    node: Rc<Node>,
    server: ServerId,
    /// Ends the answer when the caller waits no longer.
    deadline: Pin<Box<Sleep>>,
    tail: Tail,
}

/// The last bytes of a stream of events. A server that dies in the middle of an event may close its
/// connection as if the stream were whole.
#[derive(Default)]
struct Tail([u8; 4]);

impl Tail {
    fn push(&mut self, data: &[u8]) {
        for byte in &data[data.len().saturating_sub(self.0.len())..] {
            self.0.rotate_left(1);
            self.0[3] = *byte;
        }
    }

    fn ends_event(&self) -> bool {
        self.0.ends_with(b"\n\n") || self.0 == *b"\r\n\r\n" || self.0 == [0; 4]
    }
}

/// Why the rest of an answer does not come. Its connection is cut, so that the answer cannot be
/// taken for a whole one.
#[derive(Debug, Snafu)]
pub enum RelayError {
    /// The server broke off.
    #[snafu(display("the server broke off: {source}"))]
    Server {
        /// What was seen.
        source: hyper::Error,
    },
    /// The server closed its connection within an event.
    #[snafu(display("the stream ends within an event"))]
    WithinEvent,
    /// The caller waits no longer.
    #[snafu(display("the stream goes on after its time limit"))]
    OutOfTime,
}

impl Drop for Relay {
    fn drop(&mut self) {
        // Without its connection the answer was whole.
        let how = if self.conn.is_some() { Ended::Cancelled } else { Ended::Done };
        self.node.backends.borrow_mut().ended(clock::now(), &self.server, how);
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        match &mut self.get_mut().source {
            Source::Whole(body) => match ready!(Pin::new(body).poll_frame(cx)) {
                Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
                Some(Err(never)) => match never {},
                None => Poll::Ready(None),
            },
            Source::Relay(relay) => relay.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Whole(body) => body.is_end_stream(),
            Source::Relay(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(body) => body.size_hint(),
            Source::Relay(_) => SizeHint::default(),
        }
    }
}

impl Relay {
    /// The body of an answer of `server`, which the caller waits for until `until`.
    pub fn new(
        node: &Rc<Node>,
        server: ServerId,
        body: Incoming,
        conn: Connection,
        until: Now,
    ) -> Relay {
        let deadline = Box::pin(sleep(until.saturating_sub(clock::now())));
        let (node, tail) = (Rc::clone(node), Tail::default());
        Relay { body, conn: Some(conn), node, server, deadline, tail }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(OutOfTimeSnafu.fail()));
        }
        match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.tail.push(data);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(e)) => Poll::Ready(Some(Err(e).context(ServerSnafu))),
            None if self.tail.ends_event() => {
                if let Some(conn) = self.conn.take() {
                    self.node.servers.put(conn);
                }
                Poll::Ready(None)
            }
            None => Poll::Ready(Some(WithinEventSnafu.fail())),
        }
    }
}

/// An answer with all of its body.
pub fn whole(reply: Response<Bytes>) -> Response<AnswerBody> {
    reply.map(AnswerBody::whole)
}
