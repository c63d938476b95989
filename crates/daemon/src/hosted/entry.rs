//! Handling of the HTTP requests on the daemon's listeners.

use std::{rc::Rc, sync::Arc, time::Duration};

use buckthornfall_core::{
    desired::{Route, RouteKind},
    held_bytes::Purpose,
    stop::{LateRequest, RESPONSE_TIME},
};
use buckthornfall_platform::{
    headers,
    interface::{self, ApiRequest},
};
use buckthornfall_proto::messages::MemberState;
use bytes::Bytes;
use http::{header, request, HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use log::{info, warn};
use tokio::time::timeout;

use super::{
    access::{self, JobSender},
    body::{full_response, DurationGuard, InFlightGuard, ResponseBody},
    clock,
    forward::{self, header_text, Arrival},
    hold::{HeldBody, Upload, UploadError},
    node::Node,
    responses, results,
    submissions::{self, Submission},
};
use crate::tasks;

/// Why a request is refused that an older desired state would decide.
pub const STALE_REASON: &str = "this host may have missed a change of the desired state";
/// Time for which callers may cache a response of the directory.
const DIRECTORY_TTL: Duration = Duration::from_secs(2);
/// Maximum number of addresses in a response of the directory.
const MAX_DIRECTORY_ADDRESSES: usize = 64;
/// Time before the exit from which requests to the interface are refused.
const MIN_API_TIME: Duration = Duration::from_millis(300);
/// Timeout of a request to the job interface that states no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

/// Handles a request on any of the request listeners.
pub async fn handle(node: Rc<Node>, req: Request<Incoming>) -> Response<ResponseBody> {
    let guard = InFlightGuard::new(&node);
    let id = req.headers().get(headers::ATTEMPT).cloned();
    let response = match tasks::catch_panic(respond(Rc::clone(&node), req)).await {
        Some(response) => response,
        None => on_panic(id.as_ref()),
    };
    let response = response.map(|body| body.with_guard(guard));
    // Callers who reuse a connection of a daemon that leaves would be cut off.
    match node.is_leaving() {
        true => close_connection(response),
        false => response,
    }
}

/// Responds to a request whose handling has panicked. It may have run.
fn on_panic(id: Option<&HeaderValue>) -> Response<ResponseBody> {
    warn!(request:? = id; "request_panicked");
    let reason = "this daemon failed to handle the request";
    full_response(close_connection(responses::error(StatusCode::BAD_GATEWAY, reason)))
}

async fn respond(node: Rc<Node>, req: Request<Incoming>) -> Response<ResponseBody> {
    fail::fail_point!("request");
    let api_request = interface::api_request(&req);
    if api_request != Some(ApiRequest::Ready) {
        node.requests.set(node.requests.get().saturating_add(1));
    }
    if let Some(api_request) = api_request {
        return handle_api_request(&node, api_request, &req).await;
    }
    let (mut head, body) = req.into_parts();
    let Some(desired) = node.desired() else {
        return full_response(close_connection(responses::not_run(
            "no desired state is known yet",
        )));
    };
    let body = read_body(&node, body, desired.limits.body_bytes);
    match timeout(request_timeout(&head.headers), body).await {
        Ok(Ok(body)) => route(&node, &mut head, body).await,
        Ok(Err(UploadError::TooLarge)) if !node.is_desired_recent() => refuse_stale(&node, &head),
        Ok(Err(UploadError::TooLarge)) => {
            full_response(responses::error(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"))
        }
        Ok(Err(UploadError::Broken)) => {
            full_response(responses::error(StatusCode::BAD_REQUEST, "the body is not whole"))
        }
        Ok(Err(UploadError::NoMemory)) => {
            let id = header_text(&head.headers, &headers::ATTEMPT);
            info!(request = id; "body_refused");
            let reason = "too many long bodies at this daemon";
            full_response(close_connection(responses::not_run(reason)))
        }
        Err(_) => {
            info!(request = header_text(&head.headers, &headers::ATTEMPT); "body_not_in_time");
            let response = responses::error(StatusCode::REQUEST_TIMEOUT, "the body took too long");
            full_response(close_connection(response))
        }
    }
}

async fn read_body(
    node: &Rc<Node>,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<HeldBody, UploadError> {
    let stated = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    let mut upload = Upload::new(node, stated, max_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| UploadError::Broken)?;
        if let Ok(data) = frame.into_data() {
            upload.push(&data).await?;
        }
    }
    Ok(upload.finish())
}

/// Closes the connection after the response.
fn close_connection<B>(mut response: Response<B>) -> Response<B> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Returns all metrics in the Prometheus text format.
pub fn metrics(node: &Node) -> Response<ResponseBody> {
    let now = clock::now();
    metrics::gauge!("store_silence_seconds").set(node.store.time_since_success().as_secs_f64());
    metrics::gauge!("daemons_live").set(node.members.borrow().serving(now).count() as f64);
    metrics::gauge!("servers_known").set(node.backends.borrow().all().count() as f64);
    metrics::gauge!("jobs_known").set(node.jobs.borrow().len() as f64);
    metrics::gauge!("requests_in_flight").set(node.in_flight.get() as f64);
    for (service, status) in node.admission.borrow().statuses() {
        metrics::gauge!("admission_waiting", "service" => service.clone())
            .set(status.waiting as f64);
        metrics::gauge!("admission_limit", "service" => service.clone())
            .set(status.limit.unwrap_or(f64::INFINITY));
    }
    for purpose in Purpose::ALL {
        metrics::gauge!("held_bytes", "purpose" => purpose.name())
            .set(node.held_bytes.borrow().held(purpose) as f64);
    }
    metrics::gauge!("server_bytes").set(node.server_bytes.borrow().total() as f64);
    for (service, silence) in node.reachability.borrow().silences(now) {
        metrics::gauge!("service_silence_seconds", "service" => service.clone())
            .set(silence.as_secs_f64());
    }
    if let Some(age) = node.desired_freshness.borrow().age(now) {
        metrics::gauge!("desired_state_age_seconds").set(age.as_secs_f64());
    }
    if let Some(age) = node.key_freshness.borrow().age(now) {
        metrics::gauge!("keys_age_seconds").set(age.as_secs_f64());
    }
    node.metrics.run_upkeep();
    full_response(Response::new(Bytes::from(node.metrics.render())))
}

async fn handle_api_request(
    node: &Rc<Node>,
    api_request: ApiRequest,
    req: &Request<Incoming>,
) -> Response<ResponseBody> {
    let left = node.time_to_exit().map(|left| left.saturating_sub(RESPONSE_TIME));
    if left.is_some_and(|left| left < MIN_API_TIME) && api_request != ApiRequest::Ready {
        return full_response(responses::not_run("this daemon exits now"));
    }
    let left = left.unwrap_or(Duration::MAX);
    let timeout = request_timeout(req.headers()).min(left);
    match api_request {
        ApiRequest::Ready => full_response(ready(node)),
        ApiRequest::Entries { zone } => full_response(entries(node, &zone)),
        ApiRequest::Results { job, after, wait_ms } => {
            let sender = JobSender::new(node, req.headers());
            let wait = Duration::from_millis(wait_ms).min(left.saturating_sub(MIN_API_TIME));
            let results = results::results(node, &job, sender, after, wait);
            submissions::with_timeout(timeout, results).await
        }
        ApiRequest::SampleBody { job, sample } => {
            let sender = JobSender::new(node, req.headers());
            let body = submissions::sample_body(node, &job, sender, &sample);
            submissions::with_timeout(timeout, body).await
        }
        ApiRequest::EndJob { job } => {
            let sender = JobSender::new(node, req.headers());
            let end = async { full_response(submissions::end(node, &job, sender).await) };
            submissions::with_timeout(timeout, end).await
        }
    }
}

fn request_timeout(req_headers: &HeaderMap) -> Duration {
    headers::deadline(req_headers).unwrap_or(DEFAULT_TIMEOUT)
}

fn ready(node: &Node) -> Response<Bytes> {
    if node.state.get() == MemberState::Serving {
        return responses::status(StatusCode::OK);
    }
    responses::not_run("this daemon does not take requests now")
}

fn entries(node: &Node, zone: &str) -> Response<Bytes> {
    let location = node.settings().location_of(zone);
    let own_address = node.settings().front.to_string();
    let mut addresses =
        node.members.borrow().entry_addresses(clock::now(), &location, MAX_DIRECTORY_ADDRESSES);
    let store_available = !node.store.is_unavailable();
    if addresses.len() > 1 && (node.is_leaving() || !store_available || node.is_cut_off()) {
        addresses.retain(|address| *address != own_address);
    }
    if addresses.is_empty() {
        if node.state.get() != MemberState::Serving {
            return responses::not_run("no daemon is known that takes requests");
        }
        addresses.push(own_address);
    }
    log_change(node, zone, &addresses);
    interface::entries(&addresses, DIRECTORY_TTL.min(node.settings().entry_ttl_max))
}

/// Logs the addresses that callers of a zone are told, whenever they change.
fn log_change(node: &Node, zone: &str, addresses: &[String]) {
    let mut told = node.told_addresses.borrow_mut();
    let is_known = node.location.regions.contains_key(zone);
    if !is_known || told.get(zone).is_some_and(|told| told == addresses) {
        return;
    }
    info!(zone, addresses:? = addresses; "directory_changed");
    told.insert(zone.to_owned(), addresses.to_vec());
}

async fn route(
    node: &Rc<Node>,
    head: &mut request::Parts,
    body: HeldBody,
) -> Response<ResponseBody> {
    let Some(desired) = node.desired() else {
        return full_response(responses::not_run("no desired state is known yet"));
    };
    let host = header_text(&head.headers, &header::HOST);
    let route = desired.route(host, head.uri.path());
    if !node.may_decide() || (route.is_none() && !node.is_desired_recent()) {
        return refuse_stale(node, head);
    }
    let Some(route) = route else {
        let id = header_text(&head.headers, &headers::ATTEMPT);
        info!(request = id, host, path = head.uri.path(), version = desired.version,
            desired_ms:? = node.desired_age_ms(); "no_route");
        return full_response(responses::error(
            StatusCode::NOT_FOUND,
            "no route takes this host and path",
        ));
    };
    match access::admit(node, &desired, route, head) {
        Ok(()) => serve_on_route(node, route, head, body).await,
        Err(refusal) => full_response(*refusal),
    }
}

/// Refuses a request as the daemon may have missed a change of the desired state.
fn refuse_stale(node: &Node, head: &request::Parts) -> Response<ResponseBody> {
    let id = header_text(&head.headers, &headers::ATTEMPT);
    info!(request = id, version = node.desired_version(), desired_ms:? = node.desired_age_ms(); "desired_state_stale");
    metrics::counter!("requests_denied_total", "reason" => "stale_desired_state").increment(1);
    full_response(close_connection(responses::not_run(STALE_REASON)))
}

async fn serve_on_route(
    node: &Rc<Node>,
    route: &Arc<Route>,
    head: &request::Parts,
    body: HeldBody,
) -> Response<ResponseBody> {
    let id = header_text(&head.headers, &headers::ATTEMPT);
    if let Some(left) = node.time_to_exit() {
        let late = late_request(node, route, head);
        if !late.can_end(left) {
            info!(request = id, route = route.name.as_str(), left_ms = left.as_millis() as u64,
                longest_ms:? = late.longest.map(|longest| longest.as_millis() as u64); "refused_before_exit");
            return full_response(responses::not_run(
                "this daemon exits before the request can end",
            ));
        }
    }
    let duration = DurationGuard::new(node, &route.name);
    if route.kind == RouteKind::Job {
        let path = head.uri.path();
        let target = head.uri.path_and_query().map_or(path, |target| target.as_str());
        let timeout = route.timeout.unwrap_or(DEFAULT_TIMEOUT).min(request_timeout(&head.headers));
        let host = header_text(&head.headers, &header::HOST);
        let submission = Submission { id, host, path: target, account: access::account(head) };
        let accept =
            async { full_response(submissions::accept(node, route, submission, body.bytes).await) };
        let response = submissions::with_timeout(timeout, accept).await;
        return response.map(|body| body.with_duration(duration));
    }
    let response = forward::forward(node, route, head, body, Arrival::Caller).await;
    response.map(|body| body.with_duration(duration))
}

fn late_request(node: &Node, route: &Route, head: &request::Parts) -> LateRequest {
    let stated = request_timeout(&head.headers);
    LateRequest {
        deadline: route.timeout.map_or(stated, |timeout| timeout.min(stated)),
        may_repeat: route.kind == RouteKind::Job || forward::may_repeat(route),
        is_stream: route.kind == RouteKind::Stream,
        longest: node.durations.borrow().longest(clock::now(), &route.name),
        since_stop: node.time_since_stop().unwrap_or_default(),
    }
}
