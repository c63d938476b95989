//! Proxying of callers' requests to backend servers, with retries.

use std::{cell::Cell, rc::Rc, time::Duration};

use buckthornfall_core::{
    backends::{Backend, Ended, ServerQuery, SoftwareChoice},
    desired::{Route, RouteKind},
    held_bytes::Purpose,
    permits::PermitClass,
    Now,
};
use buckthornfall_platform::headers;
use buckthornfall_proto::{digest::fingerprint, ids::ServerId};
use bytes::Bytes;
use http::{
    header, request, HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode,
};
use hyper::body::{Body, Incoming};
use log::info;
use tokio::time::{sleep, timeout};

use super::{
    access,
    admission::{Applicant, Place},
    body::{full_response, BodyEnd, PartialBody, Relay, ResponseBody},
    clock,
    hold::{HeldBody, Hold, Pieces},
    http::{self as client, Connection, Error, ReadEnd},
    node::Node,
    peer_forward::{self, Forwarded},
    permits::{self, Permit, Verification, VerifyError},
    request_body::{BodyGuards, RequestBody},
    responses,
    server_bytes::{FullServers, OnWay},
    streams::{self, Choice, Scope, Start},
    usage::{self, Counted},
};

/// Timeout of connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum timeout of an attempt that another may follow; above the longest usual service time.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(350);
/// Timeout of an attempt that another may follow, as a multiple of the server's observed service
/// time.
const SERVICE_TIME_FACTOR: u32 = 8;
/// Number of refusals by servers after which the caller's request is refused.
const MAX_REFUSALS: usize = 4;
/// The same while the service is short of room, before the request waits again.
const MAX_CONTESTED_REFUSALS: usize = 2;
/// Number of servers that cannot be reached after which another daemon is asked.
const MAX_PATH_FAILURES: u32 = 2;
/// Interval between checks whether the servers of a waiting request have become silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of a response for which its stated size is believed.
const MAX_STATED_BYTES: u64 = 256 << 20;
/// Timeout of a request that states no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Latency objective of a route that does not set one.
pub const DEFAULT_OBJECTIVE: Duration = Duration::from_millis(200);
/// Maximum time for which a request that resumes a stream waits while the servers of its software
/// version are full.
const RESUME_PATIENCE: Duration = Duration::from_secs(1);
/// Interval between its attempts.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Priority at servers of a request that resumes a stream: ahead of those that begin one.
const RESUME_PRIORITY: HeaderValue = HeaderValue::from_static("4");
/// Timeout of the report that tells the start time of a server process.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time reserved for sending the response to the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// Hop-by-hop headers and the content length, which are not forwarded.
pub const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
];

/// How a request arrived at this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// From its caller.
    Caller,
    /// Passed on by another daemon, which has reserved a number of runs. It is not passed on again.
    Peer {
        /// Maximum number of servers that may run it.
        max_runs: u32,
    },
}

impl Arrival {
    fn max_runs(self, route: &Route) -> u32 {
        match self {
            Arrival::Caller => route.max_attempts,
            Arrival::Peer { max_runs } => route.max_attempts.min(max_runs),
        }
    }
}

/// Outcome of one attempt at a server.
enum AttemptOutcome {
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
struct Failure {
    reason: String,
    /// The server's error response, to be forwarded if no other attempt succeeds.
    response: Option<Response<ResponseBody>>,
    /// Whether the attempt counts as a crash of the server: it sent no complete response, and the
    /// connection was not a reused one that had become stale.
    crashed: bool,
}

impl AttemptOutcome {
    fn failed(reason: impl ToString) -> AttemptOutcome {
        AttemptOutcome::Failed(Failure {
            reason: reason.to_string(),
            response: None,
            crashed: false,
        })
    }
}

/// Forwards a request to a server and returns the response. Retries on other servers after failures
/// that allow a retry.
pub async fn forward(
    node: &Rc<Node>,
    route: &Route,
    head: &request::Parts,
    body: HeldBody,
    arrival: Arrival,
) -> Response<ResponseBody> {
    // The bytes are held until the response is known, also those that another daemon is sent.
    let HeldBody { bytes: mut body, hold } = body;
    let id = header_text(&head.headers, &headers::ATTEMPT).to_owned();
    let deadline = request_deadline(node, route, &head.headers);
    let scoped = match streams::scope(node, route, head, &body).await {
        Ok(scoped) => scoped,
        Err(reason) => return full_response(responses::not_run(reason)),
    };
    let (service, scope) = (scoped.service, scoped.scope);
    let class = PermitClass::caller(access::priority(route, head));
    let applicant = Applicant {
        service: &service,
        route: &route.name,
        id: &id,
        account: access::account(head).map_or("", |account| &account.name),
        class,
        bytes: body.len(),
        arrived: clock::now(),
        deadline,
        objective: route.objective.unwrap_or(DEFAULT_OBJECTIVE),
    };
    let is_queued = is_queued(node, route, &service);
    let mut place = None;
    let mut was_refused = false;
    // Servers that were tried, or whose request limit does not admit the request.
    let mut excluded: Vec<ServerId> = Vec::new();
    let mut tries = 0;
    let mut permit_delay: Option<Duration> = None;
    let mut runs = 0;
    let mut path_failures = 0;
    let max_runs = arrival.max_runs(route);
    let mut last_response = None;
    let started = clock::now();
    let full = FullServers::new(body.len(), deadline);
    let resume_until = started + RESUME_PATIENCE.min(deadline.saturating_sub(started) / 3);
    let path = head.uri.path().as_bytes();
    let request_fingerprint =
        fingerprint(&[header_text(&head.headers, &header::HOST).as_bytes(), path, &body]);
    let response = loop {
        if is_queued && place.is_none() {
            match Place::wait(node, applicant, was_refused).await {
                Ok(admitted) => place = Some(admitted),
                Err(refusal) => {
                    break full_response(responses::short_of_room(refusal.retry_after));
                }
            }
        }
        if !node.suspects.borrow().may_run(clock::now(), request_fingerprint) {
            info!(request = id.as_str(), fingerprint = request_fingerprint; "request_crashes_servers");
            break give_up(
                runs,
                last_response,
                StatusCode::BAD_GATEWAY,
                "the request crashes servers",
            );
        }
        let remaining = deadline.saturating_sub(clock::now());
        if remaining.is_zero() {
            break give_up(runs, last_response, StatusCode::GATEWAY_TIMEOUT, "out of time");
        }
        let is_lost = node.reachability.borrow().is_lost(&service);
        let passes_on = is_lost || path_failures >= MAX_PATH_FAILURES;
        if passes_on && arrival == Arrival::Caller && !scope.has_record() {
            let forwarded = Forwarded { route, head, service: &service, deadline, runs, max_runs };
            if let Some(response) = peer_forward::send(node, forwarded, &mut body).await {
                break response;
            }
        }
        if node.reachability.borrow().is_silent(clock::now(), &service) {
            let reason = "this host reaches no server of the service, and no other host does";
            break give_up(runs, last_response, StatusCode::BAD_GATEWAY, reason);
        }
        let choice = scope.choice(node);
        let avoided = full.add_to(node, &excluded);
        let query = ServerQuery {
            service: &service,
            location: &node.location,
            tried: &avoided,
            class,
            software: choice.as_ref().map_or(SoftwareChoice::Any, Choice::as_query),
        };
        let chosen = choice.as_ref().and_then(|_| node.choose_server(query));
        let is_contested = place.as_ref().is_some_and(Place::is_contested);
        let max_refusals = if is_contested { MAX_CONTESTED_REFUSALS } else { MAX_REFUSALS };
        let max_tries = max_refusals + runs as usize;
        let Some(server) = chosen.filter(|_| tries < max_tries) else {
            let may_wait = scope.is_resumed() && permit_delay.is_none();
            if may_wait && clock::now() < resume_until && !excluded.is_empty() && runs == 0 {
                // Its servers are full; the others cannot continue the stream.
                sleep(RESUME_RETRY_DELAY).await;
                (excluded, tries) = (Vec::new(), 0);
                continue;
            }
            if is_contested && runs == 0 && permit_delay.is_none() && tries > 0 {
                (place, was_refused) = (None, true);
                (excluded, tries) = (Vec::new(), 0);
                continue;
            }
            if tries < max_tries && avoided.len() > excluded.len() && full.wait(node).await {
                continue;
            }
            break match permit_delay {
                Some(delay) if runs == 0 => full_response(responses::not_run_until(
                    "the servers are at their request limits",
                    delay,
                )),
                _ => give_up(runs, last_response, StatusCode::BAD_GATEWAY, "no server takes it"),
            };
        };
        let patience = permit_patience(node, route, query, remaining);
        excluded.push(server.id.clone());
        let permit = match permits::acquire(node, &server, &id, class, patience).await {
            Ok(permit) => permit,
            Err(denied) => {
                let delay = denied.retry_after;
                permit_delay = Some(permit_delay.map_or(delay, |shortest| shortest.min(delay)));
                continue;
            }
        };
        tries += 1;
        let is_last = runs + 1 >= max_runs;
        let is_sent = Cell::new(false);
        let counted = Cell::new(None);
        let on_way = Rc::new(OnWay::new(node, &server.id, body.len()));
        let guards: BodyGuards = (Rc::clone(&hold), on_way);
        let (body, scope) = (&body, &scope);
        let req = CallerRequest {
            route,
            head,
            body,
            guards: &guards,
            scope,
            is_last,
            is_sent: &is_sent,
            counted: &counted,
        };
        let sent_at = clock::now();
        let end = attempt(node, req, permit, deadline).await;
        let (outcome, next) = match end {
            AttemptOutcome::Response(response) => {
                node.suspects.borrow_mut().on_answer(request_fingerprint);
                if let Some(place) = &place {
                    place.on_answer(sent_at, applicant.objective);
                }
                ("answered".to_owned(), Some(response))
            }
            AttemptOutcome::NotRun(reason) => {
                if let Some(counted) = counted.take() {
                    usage::take_back(node, head, counted);
                }
                (reason, None)
            }
            AttemptOutcome::Unreachable(reason) => {
                path_failures += 1;
                (reason, None)
            }
            AttemptOutcome::Failed(failure) => {
                if failure.crashed {
                    node.on_crash(request_fingerprint);
                }
                runs += 1;
                last_response = failure.response.or(last_response);
                let retries = may_repeat(route) && runs < max_runs;
                let next = (!retries).then(|| {
                    give_up(
                        runs,
                        last_response.take(),
                        StatusCode::BAD_GATEWAY,
                        "the server failed",
                    )
                });
                (failure.reason, next)
            }
        };
        info!(request = id.as_str(), route = route.name.as_str(), server = server.id.as_str(), software = server.software.as_str(), tries,
            resumes = header_text(&head.headers, &headers::RESUMES), after = header_text(&head.headers, &headers::LAST_EVENT),
            left_ms = remaining.as_millis() as u64, outcome; "request_sent");
        if let Some(response) = next {
            break response;
        }
    };
    let took = clock::now().saturating_sub(started);
    metrics::histogram!("request_seconds", "route" => route.name.clone())
        .record(took.as_secs_f64());
    let status = response.status().as_u16();
    metrics::counter!("requests_total", "route" => route.name.clone(), "status" => status.to_string())
        .increment(1);
    let account = access::account(head).map(|account| account.name.as_str());
    info!(request = id.as_str(), route = route.name.as_str(), account:? = account, status, tries, runs,
        took_ms = took.as_millis() as u64; "request_answered");
    response
}

/// Returns whether requests of a route wait while their service is short of room. Model servers queue
/// requests by themselves, in the order that suits their batches.
fn is_queued(node: &Node, route: &Route, service: &str) -> bool {
    let is_single = matches!(route.kind, RouteKind::Idempotent | RouteKind::Once);
    is_single && !node.desired().is_some_and(|desired| desired.has_models(service))
}

/// Returns whether more than one server may run a request. A stream that may be resumed has passed on
/// no event when an attempt fails.
pub fn may_repeat(route: &Route) -> bool {
    match route.kind {
        RouteKind::Idempotent => true,
        RouteKind::Stream => route.resumable,
        RouteKind::Once | RouteKind::Job => false,
    }
}

/// Returns the final response to a request for which no attempt succeeded.
fn give_up(
    runs: u32,
    response: Option<Response<ResponseBody>>,
    status: StatusCode,
    reason: &str,
) -> Response<ResponseBody> {
    match response {
        Some(response) => response,
        None if runs == 0 => full_response(responses::not_run(reason)),
        None => full_response(responses::error(status, reason)),
    }
}

/// Returns how long a request may wait for a permit of a limited server: not at all if a server
/// without a limit could take it, else until half of its latency objective has passed.
fn permit_patience(
    node: &Node,
    route: &Route,
    query: ServerQuery<'_>,
    remaining: Duration,
) -> Duration {
    if node.backends.borrow().has_unlimited(clock::now(), query) {
        return Duration::ZERO;
    }
    max_permit_patience(route, remaining)
}

fn max_permit_patience(route: &Route, remaining: Duration) -> Duration {
    route.objective.unwrap_or(DEFAULT_OBJECTIVE).min(remaining) / 2
}

/// Returns when the response is due: also before the exit of a daemon that leaves.
fn request_deadline(node: &Node, route: &Route, header_map: &HeaderMap) -> Now {
    let stated =
        header_text(header_map, &headers::DEADLINE).parse().ok().map(Duration::from_millis);
    let wait = stated.unwrap_or(DEFAULT_TIMEOUT);
    let wait = route.timeout.map_or(wait, |timeout| wait.min(timeout));
    let wait = node.time_to_exit().map_or(wait, |left| wait.min(left));
    clock::now() + wait.saturating_sub(RESPONSE_MARGIN)
}

/// A caller's request and the servers that may run it.
#[derive(Clone, Copy)]
struct CallerRequest<'a> {
    route: &'a Route,
    head: &'a request::Parts,
    body: &'a Bytes,
    guards: &'a BodyGuards,
    scope: &'a Scope,
    /// Whether no other server may run the request if this attempt fails.
    is_last: bool,
    /// Whether any part of the request was sent to the server of this attempt.
    is_sent: &'a Cell<bool>,
    /// The request in the usage of its client account, once it is sent.
    counted: &'a Cell<Option<Counted>>,
}

async fn attempt(
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
    let started = clock::now();
    let guard = AttemptGuard::new(node, &server, deadline);
    let end = tokio::select! {
        end = timeout(attempt_timeout, exchange(node, req, permit, remaining)) => end,
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
        Ok(Ok((response, conn))) => {
            let id = req.head.headers.get(headers::ATTEMPT);
            classify(node, route, guard, response, conn, id, took)
        }
        Ok(Err(ExchangeError::Http(e @ Error::Connect { .. }))) => {
            guard.end(Ended::Failed);
            AttemptOutcome::Unreachable(e.to_string())
        }
        Ok(Err(ExchangeError::NotSent(reason))) => {
            guard.end(Ended::Refused);
            AttemptOutcome::NotRun(reason)
        }
        Ok(Err(ExchangeError::Incomplete(reason))) => {
            guard.end(Ended::Failed);
            AttemptOutcome::Failed(Failure { reason, response: None, crashed: true })
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
            if e.is_stale_connection() {
                guard.end(Ended::Cancelled);
                if let Some(counted) = req.counted.take() {
                    usage::take_back(node, req.head, counted);
                }
                return AttemptOutcome::failed(e);
            }
            guard.end(Ended::Failed);
            let (reason, crashed) = (e.to_string(), e.may_be_crash());
            AttemptOutcome::Failed(Failure { reason, response: None, crashed })
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

async fn exchange(
    node: &Rc<Node>,
    req: CallerRequest<'_>,
    permit: Permit,
    remaining: Duration,
) -> Result<(Response<Received>, Connection), ExchangeError> {
    let CallerRequest { route, head, body, guards, scope, is_sent, counted, .. } = req;
    let (server, permitted_at) = (permit.server().clone(), permit.sent_at());
    let connect_timeout = CONNECT_TIMEOUT.min(remaining);
    let (mut conn, sent_at) = match scope {
        Scope::Any => (node.servers.get(node, permit, connect_timeout).await?, permitted_at),
        Scope::New(_) | Scope::Resumed(_) => {
            let verification = Verification {
                connect_timeout,
                report_timeout: REPORT_TIMEOUT,
                class: PermitClass::caller(access::priority(route, head)),
                patience: max_permit_patience(route, remaining),
            };
            node.servers.get_verified(node, permit, verification).await?
        }
    };
    let pending = match scope {
        Scope::New(stream) => stream
            .prepare(node, &server.software)
            .map_err(|reason| ExchangeError::NotSent(reason.to_owned()))?,
        Scope::Any | Scope::Resumed(_) => None,
    };
    let body = RequestBody::new(body.clone(), guards.clone());
    let progress = body.progress();
    let mut message = build_request(head, body, &server, remaining);
    if scope.is_resumed() {
        message.headers_mut().entry(headers::PRIORITY).or_insert(RESUME_PRIORITY);
    }
    is_sent.set(true);
    counted.set(usage::count(node, head, node.location.round_trip(&server.zone) / 2));
    let response = tokio::select! {
        response = conn.send(message) => response?,
        () = progress.stalled() => return Err(ExchangeError::Stalled),
    };
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
        Start::Ended(start) if start.is_empty() && is_delimited => start,
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
    route: &Route,
    guard: AttemptGuard,
    response: Response<Received>,
    conn: Connection,
    id: Option<&HeaderValue>,
    took: Duration,
) -> AttemptOutcome {
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
            guard.end(if is_faulty { Ended::Erred } else { Ended::Answered(took) });
            ResponseBody::pieces(body)
        }
        Received::Partial(partial) => ResponseBody::relay(guard.relay(partial, conn)),
    };
    let response = Response::from_parts(head, body);
    if failed && route.kind == RouteKind::Idempotent {
        let reason = format!("failed with {}", status.as_u16());
        return AttemptOutcome::Failed(Failure {
            reason,
            response: Some(response),
            crashed: false,
        });
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

    fn relay(mut self, partial: PartialBody, conn: Connection) -> Relay {
        let server = self.server.take().expect("the attempt has not ended");
        Relay::new(&self.node, server, conn, partial, self.deadline)
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if let Some(server) = self.server.take() {
            self.node.backends.borrow_mut().ended(clock::now(), &server.id, Ended::Cancelled);
        }
    }
}

/// Returns the value of a header, or an empty string if it is absent or not text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}
