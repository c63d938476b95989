//! What a daemon does with each request on its listeners.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::desired::RouteKind;
use buckthornfall_platform::{
    headers,
    interface::{self, ApiRequest},
};
use buckthornfall_proto::messages::MemberState;
use bytes::Bytes;
use http::{header, request, HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use log::info;
use tokio::time::timeout;

use super::{
    answers,
    body::{whole, AnswerBody, Pending},
    clock,
    forward::{self, text},
    node::Node,
    submissions,
};

/// How long callers keep an answer of the directory.
const ENTRY_TTL: Duration = Duration::from_secs(2);
/// Addresses in an answer of the directory.
const MAX_ENTRIES: usize = 64;
/// Time that a caller of a job's interface waits if it does not say.
const DEFAULT_WAIT: Duration = Duration::from_secs(3);

/// Answers a request on any listener.
pub async fn handle(node: Rc<Node>, req: Request<Incoming>) -> Response<AnswerBody> {
    let pending = Pending::new(&node);
    reply(node, req).await.map(|body| body.counted(pending))
}

async fn reply(node: Rc<Node>, req: Request<Incoming>) -> Response<AnswerBody> {
    let question = interface::api_request(&req);
    if question != Some(ApiRequest::Ready) {
        node.requests.set(node.requests.get().saturating_add(1));
    }
    if let Some(question) = question {
        return whole(answer(&node, question, &req).await);
    }
    let (head, body) = req.into_parts();
    let Some(desired) = node.desired() else {
        return whole(closing(answers::not_run("no desired state is known yet")));
    };
    let body = Limited::new(body, desired.limits.body_bytes).collect();
    match timeout(wait_limit(&head.headers), body).await {
        Ok(Ok(body)) => route(&node, &head, body.to_bytes()).await,
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            whole(answers::error(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"))
        }
        Ok(Err(_)) => whole(answers::error(StatusCode::BAD_REQUEST, "the body is not whole")),
        Err(_) => {
            info!(request = text(&head.headers, &headers::ATTEMPT); "body_not_in_time");
            let reply = answers::error(StatusCode::REQUEST_TIMEOUT, "the body took too long");
            whole(closing(reply))
        }
    }
}

/// Ends the connection after an answer whose request was not read to its end.
fn closing(mut reply: Response<Bytes>) -> Response<Bytes> {
    reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// All metrics.
pub fn metrics(node: &Node) -> Response<AnswerBody> {
    let now = clock::now();
    metrics::gauge!("store_silence_seconds").set(node.store.silence().as_secs_f64());
    metrics::gauge!("daemons_live").set(node.members.borrow().serving(now).count() as f64);
    metrics::gauge!("servers_known").set(node.backends.borrow().all().count() as f64);
    metrics::gauge!("jobs_known").set(node.jobs.borrow().len() as f64);
    metrics::gauge!("requests_in_flight").set(node.inflight.get() as f64);
    node.metrics.run_upkeep();
    whole(Response::new(Bytes::from(node.metrics.render())))
}

async fn answer(node: &Rc<Node>, question: ApiRequest, req: &Request<Incoming>) -> Response<Bytes> {
    let limit = wait_limit(req.headers());
    match question {
        ApiRequest::Ready => ready(node),
        ApiRequest::Entries { zone } => entries(node, &zone),
        ApiRequest::Results { job, after, wait_ms } => {
            let wait = Duration::from_millis(wait_ms);
            submissions::within(limit, submissions::results(node, &job, after, wait)).await
        }
        ApiRequest::SampleBody { job, sample } => {
            submissions::within(limit, submissions::sample_body(node, &job, &sample)).await
        }
        ApiRequest::EndJob { job } => {
            submissions::within(limit, submissions::end(node, &job)).await
        }
    }
}

fn wait_limit(sent: &HeaderMap) -> Duration {
    let stated = text(sent, &headers::DEADLINE).parse().ok();
    stated.map_or(DEFAULT_WAIT, Duration::from_millis)
}

fn ready(node: &Node) -> Response<Bytes> {
    if node.state.get() == MemberState::Serving {
        return answers::status(StatusCode::OK);
    }
    answers::not_run("this daemon does not take requests now")
}

fn entries(node: &Node, zone: &str) -> Response<Bytes> {
    let location = node.settings().location_of(zone);
    let own = node.settings().front.to_string();
    let mut addresses = node.members.borrow().entry_addresses(clock::now(), &location, MAX_ENTRIES);
    let reachable = !node.store.is_lost();
    if addresses.len() > 1 && (node.is_leaving() || !reachable) {
        addresses.retain(|address| *address != own);
    }
    if addresses.is_empty() {
        if node.state.get() != MemberState::Serving {
            return answers::not_run("no daemon is known that takes requests");
        }
        addresses.push(own);
    }
    interface::entries(&addresses, ENTRY_TTL.min(node.settings().entry_ttl_max))
}

async fn route(node: &Rc<Node>, head: &request::Parts, body: Bytes) -> Response<AnswerBody> {
    let Some(desired) = node.desired() else {
        return whole(answers::not_run("no desired state is known yet"));
    };
    let host = text(&head.headers, &header::HOST);
    let path = head.uri.path();
    let id = text(&head.headers, &headers::ATTEMPT);
    let Some(route) = desired.route(host, path) else {
        info!(request = id, host, path, version = desired.version; "no_route");
        return whole(answers::error(StatusCode::NOT_FOUND, "no route takes this host and path"));
    };
    if route.kind == RouteKind::Job {
        let target = head.uri.path_and_query().map_or(path, |target| target.as_str());
        let limit = route.timeout.unwrap_or(DEFAULT_WAIT).min(wait_limit(&head.headers));
        let accept = submissions::accept(node, route, id, host, target, body);
        return whole(submissions::within(limit, accept).await);
    }
    forward::forward(node, route, head, &body).await
}
