//! One attempt of a caller's request at one server, and what its end means for the request.

use std::{cell::Cell, rc::Rc, time::Duration};

use buckthornfall_core::{
    backends::{Backend, Ended},
    desired::{Route, RouteKind},
    held_bytes::Purpose,
    permits::PermitClass,
    Now,
};
use buckthornfall_platform::headers;
use buckthornfall_proto::ids::Fingerprint;
use bytes::Bytes;
use http::{header, request, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use log::info;
use tokio::time::{sleep, timeout};

use super::{
    access,
    body::{BodyEnd, Origin, PartialBody, Relay, ResponseBody},
    clock,
    forward::{header_text, max_permit_patience, may_repeat, HOP_BY_HOP_HEADERS},
    hold::{Hold, Pieces},
    http::{self as client, Connection, Error, ReadEnd, Reuse},
    node::Node,
    permits::{self, Permit, Verification, VerifyError},
    request_body::{BodyGuards, RequestBody},
    streams::{self, Scope, Start},
    suspects,
    usage::{self, Counted},
};

/// Timeout of connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum timeout of an attempt that another may follow; above the longest usual service time.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(350);
/// Timeout of an attempt that another may follow, as a multiple of the server's observed service
/// time.
const SERVICE_TIME_FACTOR: u32 = 8;
/// Interval between checks whether the servers of a waiting request have become silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of a response for which its stated size is believed.
const MAX_STATED_BYTES: u64 = 256 << 20;
/// Priority at servers of a request that resumes a stream: ahead of those that begin one.
const RESUME_PRIORITY: HeaderValue = HeaderValue::from_static("4");
/// Timeout of the report that tells the start time of a server process.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Outcome of one attempt at a server.
pub enum AttemptOutcome {
    /// The server's response, to be forwarded.
    Response(Response<ResponseBody>),
    /// The server did not run the request.
    NotRun(String),
    /// The server could not be reached, so it did not run the request.
    Unreachable(String),
    /// The server may have run the request and sent no usable response.
    Failed(Failure),
}

/// A failed attempt whose request may have run.
pub struct Failure {
    pub reason: String,
    /// The server's error response, to be forwarded if no other attempt succeeds.
    pub response: Option<Response<ResponseBody>>,
}

impl AttemptOutcome {
    fn failed(reason: impl ToString) -> AttemptOutcome {
        AttemptOutcome::Failed(Failure { reason: reason.to_string(), response: None })
    }
}

/// A caller's request and the servers that may run it.
#[derive(Clone, Copy)]
pub struct CallerRequest<'a> {
    pub route: &'a Route,
    pub head: &'a request::Parts,
    pub body: &'a Bytes,
    /// What the body holds until it is sent.
    pub guards: &'a BodyGuards,
    pub scope: &'a Scope,
    pub fingerprint: Fingerprint,
    /// Whether no other server may run the request if this attempt fails.
    pub is_last: bool,
    /// Whether any part of the request was sent to the server of this attempt.
    pub is_sent: &'a Cell<bool>,
    /// The request in the usage of its client account, once it is sent.
    pub counted: &'a Cell<Option<Counted>>,
}

/// Sends a request to the server of the permit and waits for the end of the attempt.
pub async fn attempt(
    node: &Rc<Node>,
    req: CallerRequest<'_>,
    permit: Permit,
    deadline: Now,
) -> AttemptOutcome {
    let route = req.route;
    let server = permit.server().clone();
    let remaining = deadline.saturating_sub(clock::now());
    let service_time =
        node.backends.borrow().service_time(clock::now(), &server.id).unwrap_or_default();
    let uses_all_time = req.is_last || route.kind != RouteKind::Idempotent;
    let attempt_timeout = if uses_all_time {
        remaining
    } else {
        remaining.min(MIN_ATTEMPT_TIMEOUT.max(service_time * SERVICE_TIME_FACTOR))
    };
    // Where another attempt follows before long, that one takes the place of a repetition.
    let repeats = uses_all_time && may_repeat(route);
    let started = clock::now();
    let guard = AttemptGuard::new(node, &server, deadline);
    let end = tokio::select! {
        end = timeout(attempt_timeout, exchange(node, req, permit, deadline, repeats)) => end,
        () = useless(node, &server.service, req) => {
            guard.end(Ended::Failed);
            let reason = "the paths to the servers are lost";
            return match req.is_sent.get() {
                true => AttemptOutcome::failed(reason),
                false => AttemptOutcome::Unreachable(reason.to_owned()),
            };
        }
    };
    let now = clock::now();
    let took = now.saturating_sub(started).saturating_sub(node.location.round_trip(&server.zone));
    match end {
        Ok(Ok((response, conn))) => classify(node, req, guard, response, conn, took),
        Ok(Err(ExchangeError::Http(e @ Error::Connect { .. }))) => {
            guard.end(Ended::Failed);
            AttemptOutcome::Unreachable(e.to_string())
        }
        Ok(Err(ExchangeError::NotSent(reason))) => {
            guard.end(Ended::Refused);
            AttemptOutcome::NotRun(reason)
        }
        Ok(Err(ExchangeError::Incomplete(reason))) => {
            suspects::on_lost(node, req.fingerprint, &server);
            guard.end(Ended::Failed);
            AttemptOutcome::failed(reason)
        }
        Ok(Err(ExchangeError::Stalled)) => {
            guard.end(Ended::Failed);
            AttemptOutcome::failed("the server has stopped reading the request")
        }
        Ok(Err(ExchangeError::NotRecorded(reason))) => {
            guard.end(Ended::Cancelled);
            AttemptOutcome::failed(reason)
        }
        Ok(Err(ExchangeError::Http(e @ Error::NoMemory { .. }))) => {
            guard.end(Ended::Cancelled);
            AttemptOutcome::failed(e)
        }
        Ok(Err(ExchangeError::Http(e))) => {
            if e.may_be_crash() {
                suspects::on_lost(node, req.fingerprint, &server);
            }
            if e.is_stale_connection() {
                guard.end(Ended::Cancelled);
                if let Some(counted) = req.counted.take() {
                    usage::take_back(node, req.head, counted);
                }
                return AttemptOutcome::failed(e);
            }
            guard.end(Ended::Failed);
            AttemptOutcome::failed(e)
        }
        Err(_) => {
            guard.end(Ended::Failed);
            AttemptOutcome::failed(format!("no answer in {} ms", attempt_timeout.as_millis()))
        }
    }
}

/// Waits until an attempt has become useless: all paths to the servers are lost, the open connections as
/// well, and the request may be sent elsewhere.
async fn useless(node: &Node, service: &str, req: CallerRequest<'_>) {
    loop {
        tokio::select! {
            () = node.path_lost.notified() => {}
            () = sleep(SILENCE_CHECK_INTERVAL) => {}
        }
        let is_silent = node.reachability.borrow().is_silent(clock::now(), service);
        if is_silent && (!req.is_sent.get() || may_repeat(req.route)) {
            return;
        }
    }
}

/// Why an exchange with a server has no usable response.
enum ExchangeError {
    /// The connection failed.
    Http(Error),
    /// The request was not sent.
    NotSent(String),
    /// The response ended too early, a stream before its first event.
    Incomplete(String),
    /// The server has stopped reading the request.
    Stalled,
    /// The stream began, but its first event must not be passed on.
    NotRecorded(&'static str),
}

impl From<VerifyError> for ExchangeError {
    fn from(e: VerifyError) -> ExchangeError {
        match e {
            VerifyError::Connection { source } => ExchangeError::Http(source),
            e => ExchangeError::NotSent(e.to_string()),
        }
    }
}

impl From<Error> for ExchangeError {
    fn from(e: Error) -> ExchangeError {
        ExchangeError::Http(e)
    }
}

/// Sends the request and receives the response as far as it is needed here. The request is sent once more
/// on a new connection if `repeats` and the first one is silent.
async fn exchange(
    node: &Rc<Node>,
    req: CallerRequest<'_>,
    permit: Permit,
    deadline: Now,
    repeats: bool,
) -> Result<(Response<Received>, Connection), ExchangeError> {
    let CallerRequest { route, scope, .. } = req;
    let server = permit.server().clone();
    let reuse = if may_repeat(route) { Reuse::Any } else { Reuse::Trusted };
    let (mut conn, mut sent_at) = connect(node, req, permit, deadline, reuse).await?;
    let pending = match scope {
        Scope::New(stream) => stream
            .prepare(node, &server.software)
            .map_err(|reason| ExchangeError::NotSent(reason.to_owned()))?,
        Scope::Any | Scope::Resumed(_) => None,
    };
    let mut sent = send(node, req, &server, &mut conn, deadline, repeats).await;
    if let Err(ExchangeError::Http(Error::Silent { .. })) = sent {
        if let Some(reconnected) = reconnect(node, req, &server, deadline).await {
            (conn, sent_at) = reconnected;
            sent = send(node, req, &server, &mut conn, deadline, false).await;
        }
    }
    let response = sent?;
    node.on_response(&server.id, server.started_ms, sent_at, &response);
    let is_streaming = route.kind == RouteKind::Stream && response.status() == StatusCode::OK;
    if !is_streaming {
        let response = read_body(node, req, &conn, response).await?;
        return Ok((response, conn));
    }
    let (head, mut body) = response.into_parts();
    let is_delimited = client::is_delimited(&head.headers);
    let start =
        streams::read_first_event(node, &mut body).await.map_err(ExchangeError::Incomplete)?;
    let start = match start {
        Start::Event(start) => start,
        // Nothing follows the last event of a resumed stream that had ended.
        Start::Ended(start) if scope.is_resumed() && start.is_empty() && is_delimited => start,
        Start::Ended(_) => {
            return Err(ExchangeError::Incomplete(
                "the stream ends before its first event".to_owned(),
            ));
        }
    };
    if let Scope::New(stream) = scope {
        let confirmed = stream.confirm(node, &server, pending).await;
        confirmed.map_err(ExchangeError::NotRecorded)?;
    }
    let mut pieces = Pieces::new(Hold::new(node, Purpose::Responses));
    pieces.push(start);
    let stream = PartialBody { start: pieces, body, end: BodyEnd::of_stream(is_delimited) };
    Ok((Response::from_parts(head, Received::Partial(stream)), conn))
}

/// Returns a connection to the server of the permit, and when the permit was granted.
async fn connect(
    node: &Rc<Node>,
    req: CallerRequest<'_>,
    permit: Permit,
    deadline: Now,
    reuse: Reuse,
) -> Result<(Connection, Now), VerifyError> {
    let (remaining, permitted_at) = (deadline.saturating_sub(clock::now()), permit.sent_at());
    let connect_timeout = CONNECT_TIMEOUT.min(remaining);
    match req.scope {
        Scope::Any => {
            let conn = node.servers.get(node, permit, reuse, connect_timeout).await?;
            Ok((conn, permitted_at))
        }
        Scope::New(_) | Scope::Resumed(_) => {
            let verification = Verification {
                connect_timeout,
                report_timeout: REPORT_TIMEOUT,
                class: PermitClass::caller(access::priority(req.route, req.head)),
                patience: max_permit_patience(req.route, remaining),
            };
            node.servers.get_verified(node, permit, reuse, verification).await
        }
    }
}

/// Returns a new connection for a request that got no response on an idle one.
async fn reconnect(
    node: &Rc<Node>,
    req: CallerRequest<'_>,
    server: &Backend,
    deadline: Now,
) -> Option<(Connection, Now)> {
    if let Some(counted) = req.counted.take() {
        usage::take_back(node, req.head, counted);
    }
    let class = PermitClass::caller(access::priority(req.route, req.head));
    let patience = max_permit_patience(req.route, deadline.saturating_sub(clock::now()));
    let id = header_text(&req.head.headers, &headers::ATTEMPT);
    let permit = permits::acquire(node, server, id, class, patience).await.ok()?;
    connect(node, req, permit, deadline, Reuse::Never).await.ok()
}

/// Sends the request and waits for the response head; on a reused connection not for long if `repeats`.
async fn send(
    node: &Rc<Node>,
    req: CallerRequest<'_>,
    server: &Backend,
    conn: &mut Connection,
    deadline: Now,
    repeats: bool,
) -> Result<Response<Incoming>, ExchangeError> {
    let body = RequestBody::new(req.body.clone(), req.guards.clone());
    let progress = body.progress();
    let remaining = deadline.saturating_sub(clock::now());
    let mut message = build_request(req.head, body, server, remaining);
    if req.scope.is_resumed() {
        message.headers_mut().entry(headers::PRIORITY).or_insert(RESUME_PRIORITY);
    }
    req.is_sent.set(true);
    let transit = node.location.round_trip(&server.zone) / 2;
    req.counted.set(usage::count(node, req.head, transit));
    let response = async {
        match repeats {
            true => conn.send_repeatable(message, remaining).await,
            false => conn.send(message).await,
        }
    };
    tokio::select! {
        response = response => Ok(response?),
        () = progress.stalled() => Err(ExchangeError::Stalled),
    }
}

/// Body of a server's response: read in full, or still being received.
enum Received {
    Full(Pieces),
    Partial(PartialBody),
}

/// Reads a body in full, if the daemon may hold all of it. One that it cannot hold is passed on as it
/// arrives if the response is final.
async fn read_body(
    node: &Rc<Node>,
    req: CallerRequest<'_>,
    conn: &Connection,
    response: Response<Incoming>,
) -> Result<Response<Received>, ExchangeError> {
    let is_delimited = client::is_delimited(response.headers());
    let mut pieces = Pieces::new(Hold::new(node, Purpose::Responses));
    if !is_answer(&response, req.head.headers.get(headers::ATTEMPT)) {
        let response = conn.discard(response, client::MAX_OWN_BODY_BYTES).await?;
        return Ok(response.map(|_| Received::Full(pieces)));
    }
    let (parts, mut body) = response.into_parts();
    let is_bounded = body.size_hint().exact().is_some_and(|bytes| bytes <= MAX_STATED_BYTES);
    let must_end = match parts.status.is_server_error() {
        true => req.route.kind == RouteKind::Idempotent,
        // Another server may have a response that ends.
        false => req.route.kind == RouteKind::Idempotent && !req.is_last && !is_bounded,
    };
    let end = conn.read_held(&mut body, &mut pieces, client::MAX_BODY_BYTES, must_end).await?;
    if end == ReadEnd::Partial {
        let id = header_text(&req.head.headers, &headers::ATTEMPT);
        info!(request = id, held = pieces.len(); "long_response_relayed");
        metrics::counter!("long_responses_relayed_total").increment(1);
        let partial = PartialBody { start: pieces, body, end: BodyEnd::Framed };
        return Ok(Response::from_parts(parts, Received::Partial(partial)));
    }
    // The server stopped after its head, unless the response has no body by its nature.
    let may_be_empty = req.head.method == Method::HEAD || parts.status != StatusCode::OK;
    if !is_delimited && pieces.len() == 0 && !may_be_empty {
        let reason = "the response has neither a length nor a body".to_owned();
        return Err(ExchangeError::Incomplete(reason));
    }
    Ok(Response::from_parts(parts, Received::Full(pieces)))
}

/// Returns whether a response may be passed on to the caller.
fn is_answer<B>(response: &Response<B>, id: Option<&HeaderValue>) -> bool {
    let header_map = response.headers();
    header_map.get(headers::ATTEMPT) == id
        && header_map.contains_key(headers::PROOF)
        && !header_map.contains_key(header::CONTENT_ENCODING)
        && !is_not_run(response)
}

fn is_not_run<B>(response: &Response<B>) -> bool {
    response.headers().contains_key(headers::NOT_RUN)
        || response.status() == StatusCode::MISDIRECTED_REQUEST
}

fn build_request(
    head: &request::Parts,
    body: RequestBody,
    server: &Backend,
    remaining: Duration,
) -> Request<RequestBody> {
    let mut message = Request::new(body);
    *message.method_mut() = head.method.clone();
    let path = head.uri.path_and_query().cloned();
    *message.uri_mut() = path.map(http::Uri::from).unwrap_or_default();
    for (name, value) in &head.headers {
        if !HOP_BY_HOP_HEADERS.contains(name) {
            message.headers_mut().append(name, value.clone());
        }
    }
    let remaining = remaining.as_millis().to_string();
    let remaining = remaining.parse().expect("a number is a header value");
    message.headers_mut().insert(headers::DEADLINE, remaining);
    if let Ok(id) = server.id.parse() {
        message.headers_mut().insert(headers::EXPECT_SERVER, id);
    }
    message
}

fn classify(
    node: &Rc<Node>,
    req: CallerRequest<'_>,
    guard: AttemptGuard,
    response: Response<Received>,
    conn: Connection,
    took: Duration,
) -> AttemptOutcome {
    let id = req.head.headers.get(headers::ATTEMPT);
    let status = response.status();
    let echoed = response.headers().get(headers::ATTEMPT) == id;
    // Without the id, a response on a reused connection may belong to an earlier request.
    if is_not_run(&response) && (echoed || !conn.is_reused()) {
        guard.end(Ended::Refused);
        node.servers.put(conn);
        return AttemptOutcome::NotRun(format!("refused with {}", status.as_u16()));
    }
    if !is_answer(&response, id) {
        guard.end(Ended::Failed);
        return AttemptOutcome::failed(format!("{} without proof", status.as_u16()));
    }
    let mut response = response;
    HOP_BY_HOP_HEADERS.iter().for_each(|name| {
        response.headers_mut().remove(name);
    });
    let (head, body) = response.into_parts();
    let failed = status.is_server_error();
    // A healthy server also responds with 504 when the deadline of the request has passed.
    let is_faulty = failed && status != StatusCode::GATEWAY_TIMEOUT;
    let body = match body {
        Received::Full(body) => {
            node.servers.put(conn);
            suspects::on_answer(node, req.fingerprint);
            guard.end(if is_faulty { Ended::Erred } else { Ended::Answered(took) });
            ResponseBody::pieces(body)
        }
        Received::Partial(partial) => {
            ResponseBody::relay(guard.relay(req.fingerprint, partial, conn))
        }
    };
    let response = Response::from_parts(head, body);
    if failed && req.route.kind == RouteKind::Idempotent {
        let reason = format!("failed with {}", status.as_u16());
        return AttemptOutcome::Failed(Failure { reason, response: Some(response) });
    }
    AttemptOutcome::Response(response)
}

/// A request in flight at a server; recorded as cancelled when dropped before its end.
struct AttemptGuard {
    node: Rc<Node>,
    server: Option<Backend>,
    /// The caller's deadline.
    deadline: Now,
}

impl AttemptGuard {
    fn new(node: &Rc<Node>, server: &Backend, deadline: Now) -> AttemptGuard {
        node.backends.borrow_mut().started(&server.id);
        AttemptGuard { node: Rc::clone(node), server: Some(server.clone()), deadline }
    }

    fn end(mut self, outcome: Ended) {
        if let Some(server) = self.server.take() {
            self.node.backends.borrow_mut().ended(clock::now(), &server.id, outcome);
        }
    }

    fn relay(mut self, request: Fingerprint, partial: PartialBody, conn: Connection) -> Relay {
        let server = self.server.take().expect("the attempt has not ended");
        let origin = Origin { server, request };
        Relay::new(&self.node, origin, conn, partial, self.deadline)
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if let Some(server) = self.server.take() {
            self.node.backends.borrow_mut().ended(clock::now(), &server.id, Ended::Cancelled);
        }
    }
}
