//! Requests of callers that a daemon without a path to the servers passes on to another one.
//!
//! A request takes at most one such hop, as an HTTP/2 stream: the daemon that receives it either sends
//! it to a server itself or refuses it. The response is passed on as it arrives. A response that ends
//! early has trailers with `HOP`, as a reset of the stream would discard what is still to be sent.

use std::{
    future::{poll_fn, Future},
    pin::Pin,
    rc::Rc,
    task::{ready, Context, Poll},
    time::Duration,
};

use buckthornfall_core::{
    desired::{Route, RouteKind},
    peer_choice::{Peer, PeerEnd},
    Now,
};
use buckthornfall_platform::headers;
use buckthornfall_proto::{http_status, messages::MemberState};
use bytes::Bytes;
use h2::{server::SendResponse, Reason, RecvStream, SendStream};
use http::{
    header, request, HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode,
};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use log::{debug, info};
use tokio::time::{sleep, timeout, Sleep};

use super::{
    access,
    body::{full_response, InFlightGuard, RelayError, ResponseBody},
    clock,
    entry::STALE_REASON,
    forward::{self, header_text, Arrival},
    hold::{HeldBody, Upload, UploadError},
    node::Node,
    responses,
};
use crate::peers::HOP;

/// Header with the number of servers that may still run the request.
const RUNS_LEFT: HeaderName = HeaderName::from_static("buckthornfall-runs-left");
/// Header with the version of the desired state that the sender has in force.
const DESIRED_VERSION: HeaderName = HeaderName::from_static("buckthornfall-desired-version");

/// Maximum number of daemons that one request is passed on to.
const MAX_PEERS: usize = 2;
/// Size above which a body is not kept for a second daemon.
const MAX_KEPT_BODY_BYTES: usize = 64 << 10;
/// Timeout of connecting to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of requests in flight that other daemons have passed on to this one; more would
/// crowd out its own callers.
const MAX_PASSED_ON: usize = 64;
/// Retry-After of a request that no daemon can take now: about the time of a few requests.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A request to pass on.
pub struct Forwarded<'a> {
    pub route: &'a Route,
    pub head: &'a request::Parts,
    pub service: &'a str,
    pub deadline: Now,
    /// Number of servers that may have run it.
    pub runs: u32,
    /// Maximum number of servers that may run it.
    pub max_runs: u32,
}

impl Forwarded<'_> {
    /// Returns whether another daemon may be asked once the request may have run at one.
    fn may_repeat(&self) -> bool {
        self.route.kind == RouteKind::Idempotent
    }

    /// Returns whether another daemon may be asked once one has refused the request. That one may have
    /// recorded at which software version the stream would begin.
    fn may_follow_refusal(&self) -> bool {
        self.route.kind != RouteKind::Stream
    }
}

/// Outcome of one attempt at a daemon.
enum Outcome {
    Response(Response<ResponseBody>),
    /// The daemon refused the request, which did not run.
    Refused(Response<ResponseBody>),
    /// Nothing was sent.
    NotSent(String),
    /// The request may have run.
    Unknown(String),
}

/// Passes a request on and returns the final response; `None` if no daemon could be asked. The body is
/// taken once it is sent for the last time.
pub async fn send(
    node: &Rc<Node>,
    req: Forwarded<'_>,
    body: &mut Bytes,
) -> Option<Response<ResponseBody>> {
    let id = header_text(&req.head.headers, &headers::ATTEMPT);
    let mut tried = Vec::new();
    let mut runs = req.runs;
    let mut refusal = None;
    while tried.len() < MAX_PEERS && runs < req.max_runs {
        let remaining = req.deadline.saturating_sub(clock::now());
        let peer = node.peer_choice.borrow().choose(
            clock::now(),
            &node.members.borrow(),
            &node.location,
            req.service,
            &tried,
        );
        let Some(peer) = peer.filter(|_| !remaining.is_zero()) else { break };
        tried.push(peer.host.clone());
        let is_last = tried.len() == MAX_PEERS || body.len() > MAX_KEPT_BODY_BYTES;
        let sent = if is_last { std::mem::take(body) } else { body.clone() };
        let wait = if is_last || !req.may_repeat() { remaining } else { remaining / 2 };
        let started = clock::now();
        let guard = UseGuard::new(node, &peer);
        let outcome = exchange(node, &req, &peer, sent, runs, wait, guard).await;
        let (name, detail) = outcome.describe();
        metrics::counter!("requests_passed_on_total", "outcome" => name).increment(1);
        info!(request = id, route = req.route.name.as_str(), service = req.service, peer = peer.host.as_str(),
            outcome = name, detail, took_ms = clock::now().saturating_sub(started).as_millis() as u64;
            "request_passed_on");
        match outcome {
            Outcome::Response(response) => return Some(response),
            Outcome::Refused(response) => {
                refusal = Some(response);
                if !req.may_follow_refusal() {
                    break;
                }
            }
            Outcome::NotSent(_) => {}
            Outcome::Unknown(_) => {
                runs += 1;
                if !req.may_repeat() {
                    break;
                }
            }
        }
        if is_last {
            break;
        }
    }
    if tried.is_empty() {
        return None;
    }
    if runs > 0 {
        let reason = "the request may have run, and no host has an answer";
        return Some(full_response(responses::error(StatusCode::BAD_GATEWAY, reason)));
    }
    Some(refusal.unwrap_or_else(|| {
        let reason = "this host reaches no server, and no other host takes the request";
        full_response(responses::not_run_until(reason, BUSY_RETRY_AFTER))
    }))
}

impl Outcome {
    fn describe(&self) -> (&'static str, String) {
        match self {
            Outcome::Response(response) => ("answered", response.status().as_u16().to_string()),
            Outcome::Refused(response) => ("refused", response.status().as_u16().to_string()),
            Outcome::NotSent(reason) => ("not_sent", reason.clone()),
            Outcome::Unknown(reason) => ("unknown", reason.clone()),
        }
    }
}

async fn exchange(
    node: &Rc<Node>,
    req: &Forwarded<'_>,
    peer: &Peer,
    body: Bytes,
    runs: u32,
    wait: Duration,
    mut guard: UseGuard,
) -> Outcome {
    let message = match build_request(node, req, peer, runs, wait) {
        Ok(message) => message,
        Err(e) => return Outcome::NotSent(e.to_string()),
    };
    let peers = &node.forward_peers;
    let sent =
        timeout(CONNECT_TIMEOUT.min(wait), peers.request(&peer.address, message, body)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        failed => {
            peers.forget(&peer.address).await;
            guard.end(PeerEnd::Failed);
            let reason = failed.map_or("no connection in time".to_owned(), |failed| {
                failed.err().map(|e| e.to_string()).unwrap_or_default()
            });
            return Outcome::NotSent(reason);
        }
    };
    let response = match timeout(wait, response).await {
        Ok(Ok(response)) => response,
        failed => {
            peers.forget(&peer.address).await;
            guard.end(PeerEnd::Failed);
            let reason = failed.map_or("no answer in time".to_owned(), |failed| {
                failed.err().map(|e| e.to_string()).unwrap_or_default()
            });
            return Outcome::Unknown(reason);
        }
    };
    let status = response.status();
    if !http_status::is_final(status.as_u16()) {
        guard.end(PeerEnd::Failed);
        return Outcome::Unknown(format!("an answer with the status {status}"));
    }
    let (head, body) = response.into_parts();
    let is_refusal = is_promise(head.status) && !head.headers.contains_key(headers::PROOF);
    if is_refusal {
        guard.end(PeerEnd::Refused);
    }
    let body = ResponseBody::peer(PeerBody::new(body, guard, req.deadline));
    let response = Response::from_parts(head, body);
    if is_refusal {
        return Outcome::Refused(response);
    }
    Outcome::Response(response)
}

/// Returns whether a daemon's own response with this status says that the request was not run.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn build_request(
    node: &Node,
    req: &Forwarded<'_>,
    peer: &Peer,
    runs: u32,
    wait: Duration,
) -> Result<Request<()>, http::Error> {
    let path = req.head.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = format!("http://{}{path}", peer.address);
    let mut message = Request::builder().method(req.head.method.clone()).uri(uri).body(())?;
    let header_map = message.headers_mut();
    for (name, value) in &req.head.headers {
        if !forward::HOP_BY_HOP_HEADERS.contains(name) {
            header_map.append(name, value.clone());
        }
    }
    access::restore_key(req.head, header_map);
    let left = wait.saturating_sub(node.location.round_trip(&peer.zone) / 2);
    let version = node.desired().map_or(0, |desired| desired.version);
    let number =
        |number: u128| HeaderValue::from_str(&number.to_string()).map_err(http::Error::from);
    header_map.insert(HOP, HeaderValue::from_str(&node.settings().host)?);
    header_map.insert(headers::DEADLINE, number(left.as_millis())?);
    header_map.insert(RUNS_LEFT, number(u128::from(req.max_runs - runs))?);
    header_map.insert(DESIRED_VERSION, number(u128::from(version))?);
    Ok(message)
}

/// Counts a request as in flight at a daemon until its response is complete.
struct UseGuard {
    node: Rc<Node>,
    /// Host of the daemon, until the end is recorded.
    host: Option<String>,
}

impl UseGuard {
    fn new(node: &Rc<Node>, peer: &Peer) -> UseGuard {
        node.peer_choice.borrow_mut().started(&peer.host);
        UseGuard { node: Rc::clone(node), host: Some(peer.host.clone()) }
    }

    fn end(&mut self, end: PeerEnd) {
        if let Some(host) = self.host.take() {
            self.node.peer_choice.borrow_mut().ended(clock::now(), &host, end);
        }
    }
}

impl Drop for UseGuard {
    fn drop(&mut self) {
        self.end(PeerEnd::Answered);
    }
}

/// Body of a response that another daemon passes on.
pub struct PeerBody {
    body: RecvStream,
    /// Dropped with the body, which ends the count.
    _guard: UseGuard,
    /// Aborts the response at the caller's deadline.
    deadline: Pin<Box<Sleep>>,
}

impl PeerBody {
    fn new(body: RecvStream, guard: UseGuard, until: Now) -> PeerBody {
        let deadline = Box::pin(sleep(until.saturating_sub(clock::now())));
        PeerBody { body, _guard: guard, deadline }
    }

    /// Returns the next part of the body.
    pub fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(RelayError::DeadlineExceeded)));
        }
        match ready!(self.body.poll_data(cx)) {
            Some(Ok(data)) => {
                let released = self.body.flow_control().release_capacity(data.len());
                let frame = released.map(|()| Frame::data(data));
                Poll::Ready(Some(frame.map_err(|source| RelayError::Peer { source })))
            }
            Some(Err(source)) => Poll::Ready(Some(Err(RelayError::Peer { source }))),
            None => match ready!(self.body.poll_trailers(cx)) {
                Ok(Some(trailers)) if trailers.contains_key(HOP) => {
                    Poll::Ready(Some(Err(RelayError::BrokenAtPeer)))
                }
                Ok(_) => Poll::Ready(None),
                Err(source) => Poll::Ready(Some(Err(RelayError::Peer { source }))),
            },
        }
    }
}

/// Counts a request that another daemon has passed on, until its response is sent.
struct PassedOnGuard(Rc<Node>);

impl PassedOnGuard {
    fn new(node: &Rc<Node>) -> PassedOnGuard {
        node.passed_on.set(node.passed_on.get() + 1);
        PassedOnGuard(Rc::clone(node))
    }
}

impl Drop for PassedOnGuard {
    fn drop(&mut self) {
        self.0.passed_on.set(self.0.passed_on.get() - 1);
    }
}

/// Serves a request that another daemon passes on.
pub async fn serve(node: Rc<Node>, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
    let _in_flight = InFlightGuard::new(&node);
    let _passed_on = PassedOnGuard::new(&node);
    node.requests.set(node.requests.get().saturating_add(1));
    let is_head = request.method() == Method::HEAD;
    let response = tokio::select! {
        biased;
        _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
        response = answer(&node, request) => response,
    };
    let (mut head, body) = response.into_parts();
    if let Some(length) = body.size_hint().exact().filter(|_| !is_head) {
        head.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    let is_empty = body.is_end_stream();
    match respond.send_response(Response::from_parts(head, ()), is_empty) {
        Ok(_) if is_empty => {}
        Ok(stream) => {
            if let Err(e) = send_body(stream, body).await {
                debug!(error:% = e; "passed_on_response_ended");
            }
        }
        Err(e) => debug!(error:% = e; "passed_on_response_ended"),
    }
}

async fn answer(node: &Rc<Node>, request: Request<RecvStream>) -> Response<ResponseBody> {
    let (mut head, body) = request.into_parts();
    let refuse = |reason: &str| full_response(responses::not_run(reason));
    let from = head.headers.remove(HOP);
    let from = from.as_ref().and_then(|from| from.to_str().ok()).unwrap_or_default().to_owned();
    let runs_left = take_number(&mut head.headers, &RUNS_LEFT);
    let version = take_number(&mut head.headers, &DESIRED_VERSION);
    info!(request = header_text(&head.headers, &headers::ATTEMPT), from, passed_on = node.passed_on.get();
        "request_taken_over");
    let Some(desired) = node.desired().filter(|desired| Some(desired.version) >= version) else {
        return refuse("this host has not got the newest desired state yet");
    };
    if node.state.get() != MemberState::Serving {
        return refuse("this host does not take requests now");
    }
    if node.passed_on.get() > MAX_PASSED_ON {
        let reason = "too many requests of other hosts";
        return full_response(responses::not_run_until(reason, BUSY_RETRY_AFTER));
    }
    let wait = headers::deadline(&head.headers);
    let body = read_body(node, body, desired.limits.body_bytes);
    let Ok(Ok(body)) = timeout(wait.unwrap_or_default(), body).await else {
        return refuse("the body did not arrive whole");
    };
    let Some(desired) = node.desired().filter(|_| node.may_decide()) else {
        return refuse(STALE_REASON);
    };
    let host = header_text(&head.headers, &header::HOST);
    let Some(route) = desired.route(host, head.uri.path()) else {
        return refuse("no route takes this host and path");
    };
    if let Err(refusal) = access::admit(node, &desired, route, &mut head) {
        // Another host may know a key that this one does not know yet.
        let is_unknown = refusal.status() == StatusCode::UNAUTHORIZED;
        let reason = "this host does not know the key";
        return full_response(if is_unknown { responses::not_run(reason) } else { *refusal });
    }
    let max_runs = runs_left.and_then(|runs| u32::try_from(runs).ok()).unwrap_or(1);
    forward::forward(node, route, &head, body, Arrival::Peer { max_runs }).await
}

fn take_number(header_map: &mut HeaderMap, name: &HeaderName) -> Option<u64> {
    header_map.remove(name)?.to_str().ok()?.parse().ok()
}

async fn read_body(
    node: &Rc<Node>,
    mut body: RecvStream,
    max_bytes: usize,
) -> Result<HeldBody, UploadError> {
    let mut upload = Upload::new(node, None, max_bytes);
    while let Some(data) = body.data().await {
        let data = data.map_err(|_| UploadError::Broken)?;
        upload.push(&data).await?;
        let released = body.flow_control().release_capacity(data.len());
        released.map_err(|_| UploadError::Broken)?;
    }
    Ok(upload.finish())
}

/// Sends a body as it arrives, until its end or until the other daemon no longer wants it.
async fn send_body(mut stream: SendStream<Bytes>, mut body: ResponseBody) -> Result<(), h2::Error> {
    loop {
        let frame = tokio::select! {
            biased;
            reason = poll_fn(|cx| stream.poll_reset(cx)) => return reason.map(drop),
            frame = body.frame() => frame,
        };
        match frame {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    send_data(&mut stream, data).await?;
                }
            }
            Some(Err(e)) => {
                info!(error:% = e; "passed_on_response_broken");
                let mut trailers = HeaderMap::new();
                trailers.insert(HOP, HeaderValue::from_static("broken"));
                return stream.send_trailers(trailers);
            }
            None => return stream.send_data(Bytes::new(), true),
        }
    }
}

async fn send_data(stream: &mut SendStream<Bytes>, mut data: Bytes) -> Result<(), h2::Error> {
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let Some(capacity) = poll_fn(|cx| stream.poll_capacity(cx)).await else {
            return Err(Reason::CANCEL.into());
        };
        let part = data.split_to(capacity?.min(data.len()));
        stream.send_data(part, false)?;
    }
    Ok(())
}
