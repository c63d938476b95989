//! Bodies of responses to callers: complete ones, and ones relayed while a server sends them.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{ready, Context, Poll},
};

use buckthornfall_core::{
    backends::{Backend, Ended},
    Now,
};
use buckthornfall_proto::{event_stream::StreamTail, ids::Fingerprint};
use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use snafu::{ResultExt, Snafu};
use tokio::time::{sleep, Sleep};

use super::{
    clock, hold::Pieces, http::Connection, node::Node, paths, peer_forward::PeerBody,
    read_ahead::ReadAhead, suspects,
};

/// Counts a request of a caller as in flight until the response has been passed to its connection
/// in full.
pub struct InFlightGuard(Rc<Node>);

impl InFlightGuard {
    /// Counts a request as in flight from now on.
    pub fn new(node: &Rc<Node>) -> InFlightGuard {
        node.in_flight.set(node.in_flight.get() + 1);
        InFlightGuard(Rc::clone(node))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        if self.0.is_leaving() {
            self.0.stop.notify_waiters();
        }
    }
}

/// Records how long a request took once its response has been passed to its connection in full.
pub struct DurationGuard {
    node: Rc<Node>,
    route: String,
    started: Now,
}

impl DurationGuard {
    /// Measures a request of a route from now on.
    pub fn new(node: &Rc<Node>, route: &str) -> DurationGuard {
        let started = clock::now();
        node.durations.borrow_mut().begin(started, route);
        DurationGuard { node: Rc::clone(node), route: route.to_owned(), started }
    }
}

impl Drop for DurationGuard {
    fn drop(&mut self) {
        let now = clock::now();
        self.node.durations.borrow_mut().end(now, &self.route, self.started);
    }
}

/// Body of a response, with the guard that counts its request as in flight.
pub struct ResponseBody {
    source: Source,
    /// Error that ends the response once what was received before has been passed on.
    failure: Option<RelayError>,
    /// Dropped with the body, which ends the count.
    _guard: Option<InFlightGuard>,
    /// Dropped with the body, which ends the measurement.
    _duration: Option<DurationGuard>,
}

/// Source of a response body.
enum Source {
    /// A complete body.
    Full(Full<Bytes>),
    /// A complete body in pieces.
    Pieces(Pieces),
    /// A body that a server is still sending.
    Relay(Box<Relay>),
    /// A body that another daemon is still passing on.
    Peer(PeerBody),
}

impl ResponseBody {
    /// Creates a complete body.
    pub fn full(body: Bytes) -> ResponseBody {
        ResponseBody::new(Source::Full(Full::new(body)))
    }

    /// Creates a complete body that is held in pieces.
    pub fn pieces(pieces: Pieces) -> ResponseBody {
        ResponseBody::new(Source::Pieces(pieces))
    }

    /// Creates a body that a server is still sending.
    pub fn relay(relay: Relay) -> ResponseBody {
        ResponseBody::new(Source::Relay(Box::new(relay)))
    }

    /// Creates a body that another daemon is still passing on.
    pub fn peer(body: PeerBody) -> ResponseBody {
        ResponseBody::new(Source::Peer(body))
    }

    fn new(source: Source) -> ResponseBody {
        ResponseBody { source, failure: None, _guard: None, _duration: None }
    }

    /// Attaches the guard that measures the request until the body is sent.
    pub fn with_duration(self, guard: DurationGuard) -> ResponseBody {
        ResponseBody { _duration: Some(guard), ..self }
    }

    /// Attaches the guard that counts the request as in flight until the body is sent.
    pub fn with_guard(self, guard: InFlightGuard) -> ResponseBody {
        ResponseBody { _guard: Some(guard), ..self }
    }
}

/// Body whose start has been received.
pub struct PartialBody {
    /// What was received so far.
    pub start: Pieces,
    /// The rest.
    pub body: Incoming,
    /// How its end is recognized.
    pub end: BodyEnd,
}

/// How the end of a relayed body is recognized.
pub enum BodyEnd {
    /// The framing of the response shows it, or the end of its connection.
    Framed,
    /// The framing shows it, between two events.
    BetweenEvents {
        /// Whether the framing of the response shows its end.
        is_delimited: bool,
        /// End of what was passed on. A server that crashes in the middle of an event may close its
        /// connection as if the stream were complete.
        tail: StreamTail,
    },
}

impl BodyEnd {
    /// Creates the rule for an event stream.
    pub fn of_stream(is_delimited: bool) -> BodyEnd {
        BodyEnd::BetweenEvents { is_delimited, tail: StreamTail::default() }
    }

    fn push(&mut self, data: &[u8]) {
        if let BodyEnd::BetweenEvents { tail, .. } = self {
            tail.push(data);
        }
    }

    /// Checks whether the body may end here.
    fn check(&self) -> Result<(), RelayError> {
        match self {
            BodyEnd::Framed => Ok(()),
            // A server that crashes closes its connections, too.
            BodyEnd::BetweenEvents { is_delimited: false, .. } => UnconfirmedEndSnafu.fail(),
            BodyEnd::BetweenEvents { tail, .. } if tail.is_between_events() => Ok(()),
            BodyEnd::BetweenEvents { .. } => TruncatedEventSnafu.fail(),
        }
    }
}

/// Where the rest of a relayed response comes from.
enum Rest {
    /// An event stream, read at the pace of its caller: its events are few and short.
    Events {
        /// What was received before the relay started, until it is passed on.
        start: Pieces,
        body: Incoming,
    },
    /// Any other response, read ahead of the caller.
    Ahead(ReadAhead),
}

/// Body of a server's response that is relayed to the caller.
pub struct Relay {
    rest: Rest,
    end: BodyEnd,
    conn: Option<Connection>,
    node: Rc<Node>,
    origin: Origin,
    /// Aborts the response at the caller's deadline.
    deadline: Pin<Box<Sleep>>,
}

/// Where a relayed response comes from.
pub struct Origin {
    pub server: Backend,
    /// The request that the server runs.
    pub request: Fingerprint,
}

/// Why a relayed response was aborted. The connection to the caller is closed, so that the response
/// cannot be mistaken for a complete one.
#[derive(Debug, Snafu)]
pub enum RelayError {
    /// The server aborted the response.
    #[snafu(display("the server aborted the response: {source}"))]
    Server {
        /// The cause.
        source: hyper::Error,
    },
    /// The server closed its connection within an event.
    #[snafu(display("the stream ends within an event"))]
    TruncatedEvent,
    /// The connection to the server ended, and nothing else shows that the stream did.
    #[snafu(display("the stream has no end but that of its connection"))]
    UnconfirmedEnd,
    /// The connection to the daemon that passes the response on failed.
    #[snafu(display("the other daemon aborted the response: {source}"))]
    Peer {
        /// The cause.
        source: h2::Error,
    },
    /// The daemon that passes the response on got no more of it.
    #[snafu(display("the response ended early at the other daemon"))]
    BrokenAtPeer,
    /// The stream did not end before the caller's deadline.
    #[snafu(display("the stream did not end before its deadline"))]
    DeadlineExceeded,
}

impl Drop for Relay {
    fn drop(&mut self) {
        // The connection is returned to the pool only at the end of a complete response.
        let outcome = if self.conn.is_some() { Ended::Cancelled } else { Ended::Done };
        self.node.backends.borrow_mut().ended(clock::now(), &self.origin.server.id, outcome);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let this = self.get_mut();
        if let Some(failure) = this.failure.take() {
            return Poll::Ready(Some(Err(failure)));
        }
        let next = match &mut this.source {
            Source::Full(body) => ready!(Pin::new(body).poll_frame(cx))
                .map(|frame| frame.map_err(|never| match never {})),
            Source::Pieces(pieces) => pieces.pop().map(|piece| Ok(Frame::data(piece))),
            Source::Relay(relay) => ready!(relay.poll_frame(cx)),
            Source::Peer(body) => ready!(body.poll_frame(cx)),
        };
        match next {
            Some(Err(failure)) => {
                // The connection writes what it has buffered before it polls again.
                this.failure = Some(failure);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            next => Poll::Ready(next),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Full(body) => body.is_end_stream(),
            Source::Pieces(pieces) => pieces.len() == 0,
            Source::Relay(_) | Source::Peer(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Full(body) => body.size_hint(),
            Source::Pieces(pieces) => SizeHint::with_exact(pieces.len() as u64),
            Source::Relay(relay) => {
                relay.rest_bytes().map_or_else(SizeHint::default, SizeHint::with_exact)
            }
            Source::Peer(_) => SizeHint::default(),
        }
    }
}

impl Relay {
    /// Creates the relay of a response, which is aborted at the time `until`.
    pub fn new(
        node: &Rc<Node>,
        origin: Origin,
        conn: Connection,
        response: PartialBody,
        until: Now,
    ) -> Relay {
        let deadline = Box::pin(sleep(until.saturating_sub(clock::now())));
        let PartialBody { start, body, end } = response;
        let rest = match end {
            BodyEnd::Framed => {
                Rest::Ahead(ReadAhead::start(node, &origin.server.service, start, body))
            }
            BodyEnd::BetweenEvents { .. } => Rest::Events { start, body },
        };
        Relay { rest, end, conn: Some(conn), node: Rc::clone(node), origin, deadline }
    }

    /// Returns the size of the rest if the server has stated it and it shows the end.
    fn rest_bytes(&self) -> Option<u64> {
        match &self.rest {
            Rest::Events { .. } => None,
            Rest::Ahead(rest) => rest.rest_bytes(),
        }
    }

    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, RelayError>>> {
        let (start, body) = match &mut self.rest {
            Rest::Ahead(rest) => {
                return rest
                    .poll_piece(cx)
                    .map(|piece| piece.map(|data| data.context(ServerSnafu)));
            }
            Rest::Events { start, body } => (start, body),
        };
        if let Some(piece) = start.pop() {
            return Poll::Ready(Some(Ok(piece)));
        }
        while let Some(frame) = ready!(Pin::new(&mut *body).poll_frame(cx)) {
            let frame = frame.context(ServerSnafu)?;
            if let Ok(data) = frame.into_data() {
                paths::on_response(&self.node, &self.origin.server.service);
                return Poll::Ready(Some(Ok(data)));
            }
        }
        Poll::Ready(None)
    }

    /// Records that the response ended early.
    fn on_broken(&self, e: RelayError) -> RelayError {
        suspects::on_lost(&self.node, self.origin.request, &self.origin.server);
        e
    }

    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(DeadlineExceededSnafu.fail()));
        }
        match ready!(self.poll_piece(cx)) {
            Some(Ok(data)) => {
                self.end.push(&data);
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(Err(e)) => Poll::Ready(Some(Err(self.on_broken(e)))),
            None => {
                if let Err(e) = self.end.check() {
                    return Poll::Ready(Some(Err(self.on_broken(e))));
                }
                suspects::on_answer(&self.node, self.origin.request);
                if let Some(conn) = self.conn.take() {
                    self.node.servers.put(conn);
                }
                Poll::Ready(None)
            }
        }
    }
}

/// Converts a response with a complete body.
pub fn full_response(response: Response<Bytes>) -> Response<ResponseBody> {
    response.map(ResponseBody::full)
}
