//! Proxying of callers' requests to backend servers, with retries.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::{
    backends::{Backend, Ended, ServerQuery},
    desired::{Route, RouteKind},
    Now,
};
use buckthornfall_platform::headers;
use buckthornfall_proto::{digest::fingerprint, ids::ServerId};
use bytes::Bytes;
use http::{header, request, HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use log::info;
use tokio::time::timeout;

use super::{
    answers,
    body::{whole, AnswerBody, Relay},
    clock,
    http::{Connection, Error},
    node::Node,
};

/// Timeout of connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum timeout of an attempt that another may follow; above the longest usual service time.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(350);
/// Timeout of such an attempt, as a multiple of the server's observed service time.
const SERVICE_TIME_FACTOR: u32 = 8;
/// Refusals by servers after which the request of the caller is refused.
const MAX_REFUSALS: usize = 4;
/// Timeout of a request that states no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time reserved for sending the response to the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// Hop-by-hop headers, which are not forwarded.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
];

/// Outcome of one attempt at a server.
enum AttemptOutcome {
    /// The server's response, to be forwarded.
    Answer(Response<AnswerBody>),
    /// The server did not run the request.
    NotRun(String),
    /// The server may have run the request and sent no usable response.
    Failed(Failure),
}

/// A failed attempt whose request may have run.
struct Failure {
    reason: String,
    /// The server's error response, to be forwarded if no other attempt succeeds.
    answer: Option<Response<AnswerBody>>,
    /// Whether the attempt counts as a crash of the server: it sent no complete response, and the
    /// connection was not a reused one that had become stale.
    crashed: bool,
}

impl AttemptOutcome {
    fn failed(reason: impl ToString) -> AttemptOutcome {
        AttemptOutcome::Failed(Failure { reason: reason.to_string(), answer: None, crashed: false })
    }
}

/// Forwards a request to a server and returns the response. Retries at other servers after failures
/// that allow it.
pub async fn forward(
    node: &Rc<Node>,
    route: &Route,
    head: &request::Parts,
    body: &Bytes,
) -> Response<AnswerBody> {
    let id = header_text(&head.headers, &headers::ATTEMPT).to_owned();
    let deadline = request_deadline(route, &head.headers);
    let service = route.target(fingerprint(&[id.as_bytes()])).clone();
    let mut tried: Vec<ServerId> = Vec::new();
    let mut runs = 0;
    let mut last_answer = None;
    let started = clock::now();
    let path = head.uri.path().as_bytes();
    let request = fingerprint(&[header_text(&head.headers, &header::HOST).as_bytes(), path, body]);
    let reply = loop {
        if !node.suspects.borrow().may_run(clock::now(), request) {
            info!(request = id.as_str(), fingerprint = request; "request_crashes_servers");
            break give_up(
                runs,
                last_answer,
                StatusCode::BAD_GATEWAY,
                "the request crashes servers",
            );
        }
        let remaining = deadline.saturating_sub(clock::now());
        if remaining.is_zero() {
            break give_up(runs, last_answer, StatusCode::GATEWAY_TIMEOUT, "out of time");
        }
        let query = ServerQuery { service: &service, location: &node.location, tried: &tried };
        let chosen = node.choose_server(query);
        let Some(server) = chosen.filter(|_| tried.len() < MAX_REFUSALS + runs as usize) else {
            break give_up(runs, last_answer, StatusCode::BAD_GATEWAY, "no server takes it");
        };
        tried.push(server.id.clone());
        let is_last = runs + 1 >= route.max_attempts;
        let end = attempt(node, route, head, body, &server, deadline, is_last).await;
        let (outcome, next) = match end {
            AttemptOutcome::Answer(reply) => {
                node.suspects.borrow_mut().on_answer(request);
                ("answered".to_owned(), Some(reply))
            }
            AttemptOutcome::NotRun(reason) => (reason, None),
            AttemptOutcome::Failed(failure) => {
                if failure.crashed {
                    node.on_crash(request);
                }
                runs += 1;
                last_answer = failure.answer.or(last_answer);
                let retries = route.kind == RouteKind::Idempotent && runs < route.max_attempts;
                let next = (!retries).then(|| {
                    give_up(runs, last_answer.take(), StatusCode::BAD_GATEWAY, "the server failed")
                });
                (failure.reason, next)
            }
        };
        info!(request = id.as_str(), route = route.name.as_str(), server = server.id.as_str(), tries = tried.len(),
            left_ms = remaining.as_millis() as u64, outcome; "request_sent");
        if let Some(reply) = next {
            break reply;
        }
    };
    let took = clock::now().saturating_sub(started);
    metrics::histogram!("request_seconds", "route" => route.name.clone())
        .record(took.as_secs_f64());
    let status = reply.status().as_u16();
    metrics::counter!("requests_total", "route" => route.name.clone(), "status" => status.to_string())
        .increment(1);
    info!(request = id.as_str(), route = route.name.as_str(), status, tries = tried.len(), runs,
        took_ms = took.as_millis() as u64; "request_answered");
    reply
}

/// Returns the final response to a request for which no attempt succeeded.
fn give_up(
    runs: u32,
    answer: Option<Response<AnswerBody>>,
    status: StatusCode,
    reason: &str,
) -> Response<AnswerBody> {
    match answer {
        Some(answer) => answer,
        None if runs == 0 => whole(answers::not_run(reason)),
        None => whole(answers::error(status, reason)),
    }
}

fn request_deadline(route: &Route, header_map: &HeaderMap) -> Now {
    let stated =
        header_text(header_map, &headers::DEADLINE).parse().ok().map(Duration::from_millis);
    let wait = stated.unwrap_or(DEFAULT_TIMEOUT);
    let wait = route.timeout.map_or(wait, |timeout| wait.min(timeout));
    clock::now() + wait.saturating_sub(RESPONSE_MARGIN)
}

async fn attempt(
    node: &Rc<Node>,
    route: &Route,
    head: &request::Parts,
    body: &Bytes,
    server: &Backend,
    deadline: Now,
    is_last: bool,
) -> AttemptOutcome {
    let remaining = deadline.saturating_sub(clock::now());
    let service_time =
        node.backends.borrow().service_time(clock::now(), &server.id).unwrap_or_default();
    let uses_all_time = is_last || route.kind != RouteKind::Idempotent;
    let attempt_timeout = if uses_all_time {
        remaining
    } else {
        remaining.min(MIN_ATTEMPT_TIMEOUT.max(service_time * SERVICE_TIME_FACTOR))
    };
    let started = clock::now();
    let guard = InFlight::new(node, &server.id, deadline);
    let end = timeout(attempt_timeout, exchange(node, route, head, body, server, remaining)).await;
    let now = clock::now();
    let took = now.saturating_sub(started).saturating_sub(node.location.round_trip(&server.zone));
    match end {
        Ok(Ok((reply, conn))) => {
            classify(node, route, guard, reply, conn, head.headers.get(headers::ATTEMPT), took)
        }
        Ok(Err(e @ Error::Connect { .. })) => {
            guard.end(Ended::Failed);
            AttemptOutcome::NotRun(e.to_string())
        }
        Ok(Err(e)) => {
            if e.is_stale_connection() {
                guard.end(Ended::Cancelled);
                return AttemptOutcome::failed(e);
            }
            guard.end(Ended::Failed);
            AttemptOutcome::Failed(Failure { reason: e.to_string(), answer: None, crashed: true })
        }
        Err(_) => {
            guard.end(Ended::Failed);
            AttemptOutcome::failed(format!("no answer in {} ms", attempt_timeout.as_millis()))
        }
    }
}

async fn exchange(
    node: &Rc<Node>,
    route: &Route,
    head: &request::Parts,
    body: &Bytes,
    server: &Backend,
    remaining: Duration,
) -> Result<(Response<Received>, Connection), Error> {
    let mut conn = node.servers.get(server.addr, CONNECT_TIMEOUT.min(remaining)).await?;
    let reply = conn.send(message(head, body, server, remaining)).await?;
    node.on_reply(&server.id, server.started_ms, &reply);
    let is_streaming = route.kind == RouteKind::Stream && reply.status() == StatusCode::OK;
    let reply = if is_streaming {
        reply.map(Received::Streaming)
    } else {
        conn.read(reply).await?.map(Received::Whole)
    };
    Ok((reply, conn))
}

/// A server's response, as far as it was read.
enum Received {
    Whole(Bytes),
    Streaming(Incoming),
}

fn message(
    head: &request::Parts,
    body: &Bytes,
    server: &Backend,
    remaining: Duration,
) -> Request<Bytes> {
    let mut message = Request::new(body.clone());
    *message.method_mut() = head.method.clone();
    let path = head.uri.path_and_query().cloned();
    *message.uri_mut() = path.map(http::Uri::from).unwrap_or_default();
    for (name, value) in &head.headers {
        if !CONNECTION_HEADERS.contains(name) {
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
    route: &Route,
    guard: InFlight,
    reply: Response<Received>,
    conn: Connection,
    id: Option<&HeaderValue>,
    took: Duration,
) -> AttemptOutcome {
    let status = reply.status();
    let echoed = reply.headers().get(headers::ATTEMPT) == id;
    let not_run =
        reply.headers().contains_key(headers::NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST;
    // Without the id, the first response on a reused connection may belong to an earlier request.
    if not_run && (echoed || !conn.is_reused()) {
        guard.end(Ended::Refused);
        node.servers.put(conn);
        return AttemptOutcome::NotRun(format!("refused with {}", status.as_u16()));
    }
    let has_proof = echoed && reply.headers().contains_key(headers::PROOF);
    if !has_proof || reply.headers().contains_key(header::CONTENT_ENCODING) {
        guard.end(Ended::Failed);
        return AttemptOutcome::failed(format!("{} without proof", status.as_u16()));
    }
    let mut reply = reply;
    CONNECTION_HEADERS.iter().for_each(|name| {
        reply.headers_mut().remove(name);
    });
    let (head, body) = reply.into_parts();
    let failed = status.is_server_error();
    // A healthy server also responds with 504 when the deadline of the request has passed.
    let is_faulty = failed && status != StatusCode::GATEWAY_TIMEOUT;
    let body = match body {
        Received::Whole(body) => {
            node.servers.put(conn);
            guard.end(if is_faulty { Ended::Erred } else { Ended::Answered(took) });
            AnswerBody::whole(body)
        }
        Received::Streaming(body) => AnswerBody::relay(guard.relay(body, conn)),
    };
    let reply = Response::from_parts(head, body);
    if failed && route.kind == RouteKind::Idempotent {
        let reason = format!("failed with {}", status.as_u16());
        return AttemptOutcome::Failed(Failure { reason, answer: Some(reply), crashed: false });
    }
    AttemptOutcome::Answer(reply)
}

/// A request in flight at a server; recorded as cancelled when dropped before its end.
struct InFlight {
    node: Rc<Node>,
    server: Option<ServerId>,
    /// Deadline of the caller.
    deadline: Now,
}

impl InFlight {
    fn new(node: &Rc<Node>, server: &ServerId, deadline: Now) -> InFlight {
        node.backends.borrow_mut().started(server);
        InFlight { node: Rc::clone(node), server: Some(server.clone()), deadline }
    }

    fn end(mut self, how: Ended) {
        if let Some(server) = self.server.take() {
            self.node.backends.borrow_mut().ended(clock::now(), &server, how);
        }
    }

    fn relay(mut self, body: Incoming, conn: Connection) -> Relay {
        let server = self.server.take().unwrap_or_default();
        Relay::new(&self.node, server, body, conn, self.deadline)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(server) = self.server.take() {
            self.node.backends.borrow_mut().ended(clock::now(), &server, Ended::Cancelled);
        }
    }
}

/// Returns the value of a header, or an empty string if it is absent or not text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}
