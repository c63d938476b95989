//! Proxying of callers' requests to backend servers, with retries.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::{
    admission_queue::Demand,
    backends::{ServerQuery, SoftwareChoice},
    desired::{Route, RouteKind},
    permits::PermitClass,
    Now,
};
use buckthornfall_platform::headers;
use buckthornfall_proto::ids::ServerId;
use http::{header, request, HeaderMap, HeaderName, Response, StatusCode};
use log::info;
use tokio::time::sleep;

use super::{
    access,
    admission::{self, Applicant, Place},
    attempt::AttemptOutcome,
    body::{full_response, ResponseBody},
    clock,
    hold::HeldBody,
    node::Node,
    peer_forward::{self, Forwarded},
    permits, responses,
    second_copy::{self, Sending},
    server_bytes::FullServers,
    streams::{self, Choice},
    suspects, usage,
};

/// Number of refusals by servers after which the caller's request is refused.
const MAX_REFUSALS: usize = 4;
/// The same while the service is short of room, before the request waits again.
const MAX_CONTESTED_REFUSALS: usize = 2;
/// Number of servers that cannot be reached after which another daemon is asked.
const MAX_PATH_FAILURES: u32 = 2;
/// Timeout of a request that states no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Latency objective of a route that does not set one.
pub const DEFAULT_OBJECTIVE: Duration = Duration::from_millis(200);
/// Maximum time for which a request that resumes a stream waits while the servers of its software
/// version are full.
const RESUME_PATIENCE: Duration = Duration::from_secs(1);
/// Interval between its attempts.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(100);
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
    let (decided_by, desired_ms) = (node.desired_version(), node.desired_age_ms());
    let scoped = match streams::scope(node, route, head, &body).await {
        Ok(scoped) => scoped,
        Err(reason) => return full_response(responses::not_run(reason)),
    };
    let (service, scope) = (scoped.service, scoped.scope);
    let class = PermitClass::caller(access::priority(route, head));
    let mut applicant = Applicant {
        service: &service,
        id: &id,
        demand: Demand {
            class,
            account: access::account(head).map_or("", |account| &account.name),
            route: &route.name,
            bytes: body.len(),
            arrived: clock::now(),
            deadline,
            objective: route.objective.unwrap_or(DEFAULT_OBJECTIVE),
            was_refused: false,
            spread: rand::random(),
        },
    };
    let is_single = matches!(route.kind, RouteKind::Idempotent | RouteKind::Once);
    let is_queued = is_single && admission::is_queued(node, &service);
    let mut place = None;
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
    let request_fingerprint = suspects::request_fingerprint(head, &body);
    let response = loop {
        if is_queued && place.is_none() {
            match Place::wait(node, applicant).await {
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
                place = None;
                (applicant.demand.was_refused, applicant.demand.spread) = (true, rand::random());
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
        let sending = Sending {
            route,
            head,
            body: &body,
            hold: &hold,
            scope: &scope,
            class,
            fingerprint: request_fingerprint,
            deadline,
            runs,
            max_runs,
        };
        let mut answer = None;
        for end in second_copy::send(node, sending, permit, &mut excluded).await {
            tries += 1;
            let outcome = match end.outcome {
                AttemptOutcome::Response(response) => {
                    if let Some(place) = &place {
                        place.on_answer(end.sent_at, applicant.demand.objective);
                    }
                    answer = Some(response);
                    "answered".to_owned()
                }
                AttemptOutcome::NotRun(reason) => {
                    if let Some(counted) = end.counted {
                        usage::take_back(node, head, counted);
                    }
                    reason
                }
                AttemptOutcome::Unreachable(reason) => {
                    path_failures += 1;
                    reason
                }
                AttemptOutcome::Failed(failure) => {
                    runs += 1;
                    last_response = failure.response.or(last_response);
                    failure.reason
                }
            };
            info!(request = id.as_str(), route = route.name.as_str(), server = end.server.id.as_str(), software = end.server.software.as_str(), tries,
                resumes = header_text(&head.headers, &headers::RESUMES), after = header_text(&head.headers, &headers::LAST_EVENT),
                left_ms = remaining.as_millis() as u64, outcome; "request_sent");
        }
        if let Some(response) = answer {
            break response;
        }
        if runs > 0 && !(may_repeat(route) && runs < max_runs) {
            break give_up(runs, last_response, StatusCode::BAD_GATEWAY, "the server failed");
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
        decided_by, desired_ms:? = desired_ms, took_ms = took.as_millis() as u64; "request_answered");
    response
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

/// Returns the same for a request that only a limited server can take.
pub fn max_permit_patience(route: &Route, remaining: Duration) -> Duration {
    route.objective.unwrap_or(DEFAULT_OBJECTIVE).min(remaining) / 2
}

/// Returns when the response is due: also before the exit of a daemon that leaves.
fn request_deadline(node: &Node, route: &Route, header_map: &HeaderMap) -> Now {
    let wait = headers::deadline(header_map).unwrap_or(DEFAULT_TIMEOUT);
    let wait = route.timeout.map_or(wait, |timeout| wait.min(timeout));
    let wait = node.time_to_exit().map_or(wait, |left| wait.min(left));
    clock::now() + wait.saturating_sub(RESPONSE_MARGIN)
}
/// Returns the value of a header, or an empty string if it is absent or not text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}
