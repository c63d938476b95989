//! Requests of callers that go to a server and back.

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

/// Longest wait for a connection to a server.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Shortest time for one try while another server is left: above the longest usual service time.
const TRY_MIN: Duration = Duration::from_millis(350);
/// One try has this many times the server's learned service time.
const TRY_FACTOR: u32 = 8;
/// Servers that may refuse a request before its caller is refused.
const MAX_REFUSALS: usize = 4;
/// Time that a caller waits if it does not say.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);
/// Part of the time that is kept for the way back to the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// Headers that concern one connection only.
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

/// How one try at a server ended.
enum Try {
    /// The server's answer, to be passed on.
    Answer(Response<AnswerBody>),
    /// The server did not run the request.
    NotRun(String),
    /// The server may have run it and gave no good answer.
    Failed(Failure),
}

/// A try that may have run.
struct Failure {
    reason: String,
    /// The server's own failure, to be passed on if no other server does better.
    answer: Option<Response<AnswerBody>>,
    /// Whether the server closed a new connection while it ran the request.
    crashed: bool,
}

impl Try {
    fn failed(reason: impl ToString) -> Try {
        Try::Failed(Failure { reason: reason.to_string(), answer: None, crashed: false })
    }
}

/// Sends a request to a server, to others after failures that allow it, and returns the answer.
pub async fn forward(
    node: &Rc<Node>,
    route: &Route,
    head: &request::Parts,
    body: &Bytes,
) -> Response<AnswerBody> {
    let id = text(&head.headers, &headers::ATTEMPT).to_owned();
    let until = deadline(route, &head.headers);
    let service = route.target(fingerprint(&[id.as_bytes()])).clone();
    let mut tried: Vec<ServerId> = Vec::new();
    let mut runs = 0;
    let mut last_answer = None;
    let started = clock::now();
    let path = head.uri.path().as_bytes();
    let request = fingerprint(&[text(&head.headers, &header::HOST).as_bytes(), path, body]);
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
        let left = until.saturating_sub(clock::now());
        if left.is_zero() {
            break give_up(runs, last_answer, StatusCode::GATEWAY_TIMEOUT, "out of time");
        }
        let want = ServerQuery { service: &service, location: &node.location, tried: &tried };
        let chosen = node.choose(want);
        let Some(server) = chosen.filter(|_| tried.len() < MAX_REFUSALS + runs as usize) else {
            break give_up(runs, last_answer, StatusCode::BAD_GATEWAY, "no server takes it");
        };
        tried.push(server.id.clone());
        let last = runs + 1 >= route.max_attempts;
        let end = attempt(node, route, head, body, &server, until, last).await;
        let (outcome, next) = match end {
            Try::Answer(reply) => {
                node.suspects.borrow_mut().on_answer(request);
                ("answered".to_owned(), Some(reply))
            }
            Try::NotRun(reason) => (reason, None),
            Try::Failed(failure) => {
                if failure.crashed {
                    node.on_crash(request);
                }
                runs += 1;
                last_answer = failure.answer.or(last_answer);
                let again = route.kind == RouteKind::Idempotent && runs < route.max_attempts;
                let next = (!again).then(|| {
                    give_up(runs, last_answer.take(), StatusCode::BAD_GATEWAY, "the server failed")
                });
                (failure.reason, next)
            }
        };
        info!(request = id.as_str(), route = route.name.as_str(), server = server.id.as_str(), tries = tried.len(),
            left_ms = left.as_millis() as u64, outcome; "request_sent");
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

/// The final answer to a request that no server answered well.
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

fn deadline(route: &Route, sent: &HeaderMap) -> Now {
    let stated = text(sent, &headers::DEADLINE).parse().ok().map(Duration::from_millis);
    let wait = stated.unwrap_or(DEFAULT_WAIT);
    let wait = route.timeout.map_or(wait, |timeout| wait.min(timeout));
    clock::now() + wait.saturating_sub(ANSWER_MARGIN)
}

async fn attempt(
    node: &Rc<Node>,
    route: &Route,
    head: &request::Parts,
    body: &Bytes,
    server: &Backend,
    until: Now,
    last: bool,
) -> Try {
    let left = until.saturating_sub(clock::now());
    let learned = node.backends.borrow().service_time(clock::now(), &server.id).unwrap_or_default();
    let patient = last || route.kind != RouteKind::Idempotent;
    let limit = if patient { left } else { left.min(TRY_MIN.max(learned * TRY_FACTOR)) };
    let started = clock::now();
    let guard = InFlight::new(node, &server.id, until);
    let end = timeout(limit, exchange(node, route, head, body, server, left)).await;
    let now = clock::now();
    let took = now.saturating_sub(started).saturating_sub(node.location.round_trip(&server.zone));
    match end {
        Ok(Ok((reply, conn))) => {
            judge(node, route, guard, reply, conn, head.headers.get(headers::ATTEMPT), took)
        }
        Ok(Err(e @ Error::Connect { .. })) => {
            guard.end(Ended::Failed);
            Try::NotRun(e.to_string())
        }
        Ok(Err(e)) => {
            if e.is_stale_connection() {
                guard.end(Ended::Cancelled);
                return Try::failed(e);
            }
            guard.end(Ended::Failed);
            Try::Failed(Failure { reason: e.to_string(), answer: None, crashed: true })
        }
        Err(_) => {
            guard.end(Ended::Failed);
            Try::failed(format!("no answer in {} ms", limit.as_millis()))
        }
    }
}

async fn exchange(
    node: &Rc<Node>,
    route: &Route,
    head: &request::Parts,
    body: &Bytes,
    server: &Backend,
    left: Duration,
) -> Result<(Response<Received>, Connection), Error> {
    let mut conn = node.servers.get(server.addr, CONNECT_LIMIT.min(left)).await?;
    let reply = conn.send(message(head, body, server, left)).await?;
    node.on_reply(&server.id, server.started_ms, &reply);
    let streams = route.kind == RouteKind::Stream && reply.status() == StatusCode::OK;
    let reply = if streams {
        reply.map(Received::Streaming)
    } else {
        conn.read(reply).await?.map(Received::Whole)
    };
    Ok((reply, conn))
}

/// What was read of a server's answer.
enum Received {
    Whole(Bytes),
    Streaming(Incoming),
}

fn message(
    head: &request::Parts,
    body: &Bytes,
    server: &Backend,
    left: Duration,
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
    let left = left.as_millis().to_string();
    let left = left.parse().expect("a number is a header value");
    message.headers_mut().insert(headers::DEADLINE, left);
    if let Ok(id) = server.id.parse() {
        message.headers_mut().insert(headers::EXPECT_SERVER, id);
    }
    message
}

fn judge(
    node: &Rc<Node>,
    route: &Route,
    guard: InFlight,
    reply: Response<Received>,
    conn: Connection,
    id: Option<&HeaderValue>,
    took: Duration,
) -> Try {
    let status = reply.status();
    let echoed = reply.headers().get(headers::ATTEMPT) == id;
    let not_run =
        reply.headers().contains_key(headers::NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST;
    // Without an id, what comes first on a kept connection may belong to the request before.
    if not_run && (echoed || !conn.is_reused()) {
        guard.end(Ended::Refused);
        node.servers.put(conn);
        return Try::NotRun(format!("refused with {}", status.as_u16()));
    }
    let proved = echoed && reply.headers().contains_key(headers::PROOF);
    if !proved || reply.headers().contains_key(header::CONTENT_ENCODING) {
        guard.end(Ended::Failed);
        return Try::failed(format!("{} without proof", status.as_u16()));
    }
    let mut reply = reply;
    CONNECTION_HEADERS.iter().for_each(|name| {
        reply.headers_mut().remove(name);
    });
    let (head, body) = reply.into_parts();
    let failed = status.is_server_error();
    // At its time limit a sound server gives up as well.
    let erred = failed && status != StatusCode::GATEWAY_TIMEOUT;
    let body = match body {
        Received::Whole(body) => {
            node.servers.put(conn);
            guard.end(if erred { Ended::Erred } else { Ended::Answered(took) });
            AnswerBody::whole(body)
        }
        Received::Streaming(body) => AnswerBody::relay(guard.relay(body, conn)),
    };
    let reply = Response::from_parts(head, body);
    if failed && route.kind == RouteKind::Idempotent {
        let reason = format!("failed with {}", status.as_u16());
        return Try::Failed(Failure { reason, answer: Some(reply), crashed: false });
    }
    Try::Answer(reply)
}

/// A request at a server; counted as cancelled if its future is dropped.
struct InFlight {
    node: Rc<Node>,
    server: Option<ServerId>,
    /// Until when the caller waits.
    until: Now,
}

impl InFlight {
    fn new(node: &Rc<Node>, server: &ServerId, until: Now) -> InFlight {
        node.backends.borrow_mut().started(server);
        InFlight { node: Rc::clone(node), server: Some(server.clone()), until }
    }

    fn end(mut self, how: Ended) {
        if let Some(server) = self.server.take() {
            self.node.backends.borrow_mut().ended(clock::now(), &server, how);
        }
    }

    fn relay(mut self, body: Incoming, conn: Connection) -> Relay {
        let server = self.server.take().unwrap_or_default();
        Relay::new(&self.node, server, body, conn, self.until)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(server) = self.server.take() {
            self.node.backends.borrow_mut().ended(clock::now(), &server, Ended::Cancelled);
        }
    }
}

/// The value of a header; empty if it is absent or not text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}
