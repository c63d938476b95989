//! Sends second copies of slow requests, and shares what the decisions need with the other daemons.

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use buckthornfall_core::{
    backends::{Backend, ServerQuery, SoftwareChoice},
    desired::{Route, RouteKind},
    permits::PermitClass,
    second_copies::{Delay, NoCopy, SlowRequest},
    server_bytes::SHORT_BODY_BYTES,
    Now,
};
use buckthornfall_platform::headers;
use buckthornfall_proto::{
    ids::{Fingerprint, ServerId},
    messages::CopiesRow,
};
use bytes::Bytes;
use http::request;
use log::info;
use tokio::time::sleep;

use super::{
    attempt::{attempt, AttemptOutcome, CallerRequest},
    clock,
    forward::header_text,
    hold::Hold,
    node::Node,
    permits::{self, Permit},
    request_body::BodyGuards,
    server_bytes::OnWay,
    streams::Scope,
    usage::Counted,
};

/// A request that is sent to one server, and to a second one if that is slow.
#[derive(Clone, Copy)]
pub struct Sending<'a> {
    pub route: &'a Route,
    pub head: &'a request::Parts,
    pub body: &'a Bytes,
    /// What the body holds of the budget.
    pub hold: &'a Rc<Hold>,
    pub scope: &'a Scope,
    pub class: PermitClass,
    pub fingerprint: Fingerprint,
    pub deadline: Now,
    /// Number of servers that may have run it.
    pub runs: u32,
    /// Maximum number of servers that may run it.
    pub max_runs: u32,
}

/// An attempt that has ended.
pub struct End {
    pub server: Backend,
    pub outcome: AttemptOutcome,
    pub sent_at: Now,
    /// The request in the usage of its client account.
    pub counted: Option<Counted>,
}

/// State of an attempt that its sender needs after its end.
struct Marks {
    is_sent: Cell<bool>,
    counted: Cell<Option<Counted>>,
    guards: BodyGuards,
    sent_at: Now,
}

impl Sending<'_> {
    /// Starts an attempt while `running` others may still run the request.
    fn request<'a>(&'a self, marks: &'a Marks, running: u32) -> CallerRequest<'a> {
        CallerRequest {
            route: self.route,
            head: self.head,
            body: self.body,
            guards: &marks.guards,
            scope: self.scope,
            fingerprint: self.fingerprint,
            is_last: self.runs + running + 1 >= self.max_runs,
            is_sent: &marks.is_sent,
            counted: &marks.counted,
        }
    }

    fn marks(&self, node: &Rc<Node>, server: &Backend) -> Marks {
        let on_way = Rc::new(OnWay::new(node, &server.id, self.body.len()));
        Marks {
            is_sent: Cell::new(false),
            counted: Cell::new(None),
            guards: (Rc::clone(self.hold), on_way),
            sent_at: clock::now(),
        }
    }

    fn may_copy(&self) -> bool {
        let is_short = self.body.len() <= SHORT_BODY_BYTES;
        self.route.kind == RouteKind::Idempotent && matches!(self.scope, Scope::Any) && is_short
    }
}

/// Sends a request to the server of the permit, and to a second one if the first has not answered after
/// the route's delay. Returns the attempts that ended, in this order, up to the first response that can be
/// used; another one is cancelled. The server of a copy is added to `excluded`.
pub async fn send(
    node: &Rc<Node>,
    req: Sending<'_>,
    permit: Permit,
    excluded: &mut Vec<ServerId>,
) -> Vec<End> {
    let server = permit.server().clone();
    let marks = req.marks(node, &server);
    let started = clock::now();
    let mut first = pin!(attempt(node, req.request(&marks, 0), permit, req.deadline));
    let end = |server: &Backend, outcome, marks: &Marks| End {
        server: server.clone(),
        outcome,
        sent_at: marks.sent_at,
        counted: marks.counted.take(),
    };
    let delay = count(node, &req, &server);
    let slow_after = async {
        match delay {
            Some(delay) => sleep(delay.delay).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        outcome = &mut first => {
            observe(node, &req, &outcome, started);
            return vec![end(&server, outcome, &marks)];
        }
        () = slow_after => {}
    }
    let copied = match delay {
        Some(delay) => start_copy(node, &req, &server, delay, excluded).await,
        None => Err(NoCopy::NoServer),
    };
    let copy_permit = match copied {
        Ok(permit) => permit,
        Err(reason) => {
            metrics::counter!("second_copies_not_sent_total", "reason" => reason.name())
                .increment(1);
            let outcome = first.await;
            observe(node, &req, &outcome, started);
            return vec![end(&server, outcome, &marks)];
        }
    };
    let copy_server = copy_permit.server().clone();
    let copy_marks = req.marks(node, &copy_server);
    let after = clock::now().saturating_sub(started);
    let copied_at = clock::now();
    let mut copy = pin!(attempt(node, req.request(&copy_marks, 1), copy_permit, req.deadline));
    let mut ends = Vec::with_capacity(2);
    let name = tokio::select! {
        outcome = &mut first => {
            observe(node, &req, &outcome, started);
            let is_usable = is_response(&outcome);
            ends.push(end(&server, outcome, &marks));
            if is_usable {
                on_outrun(node, &copy_server, copied_at);
                "lost"
            } else {
                let outcome = copy.await;
                let name = if is_response(&outcome) { "won" } else { "both_failed" };
                ends.push(end(&copy_server, outcome, &copy_marks));
                name
            }
        }
        outcome = &mut copy => {
            let is_usable = is_response(&outcome);
            ends.push(end(&copy_server, outcome, &copy_marks));
            if is_usable {
                let elapsed = clock::now().saturating_sub(started);
                node.second_copies.borrow_mut().on_time(clock::now(), &req.route.name, elapsed);
                on_outrun(node, &server, started);
                "won"
            } else {
                let outcome = first.await;
                observe(node, &req, &outcome, started);
                let name = if is_response(&outcome) { "failed" } else { "both_failed" };
                ends.push(end(&server, outcome, &marks));
                name
            }
        }
    };
    metrics::counter!("second_copies_total", "route" => req.route.name.clone(), "outcome" => name)
        .increment(1);
    let took_ms = clock::now().saturating_sub(started).as_millis() as u64;
    info!(request = header_text(&req.head.headers, &headers::ATTEMPT), route = req.route.name.as_str(),
        server = server.id.as_str(), copy = copy_server.id.as_str(), reason = "slow",
        after_ms = after.as_millis() as u64, took_ms, outcome = name; "second_copy");
    ends
}

/// Counts a request for the limit and returns when it counts as slow.
fn count(node: &Node, req: &Sending<'_>, server: &Backend) -> Option<Delay> {
    let mut copies = node.second_copies.borrow_mut();
    if !copies.is_on() || !req.may_copy() {
        return None;
    }
    let now = clock::now();
    match req.runs {
        0 => copies.on_sent(now, &server.service),
        _ => copies.on_repeated(now, &server.service),
    }
    copies.delay(now, &req.route.name, req.route.objective)
}

/// Decides whether a slow request is copied, and to which server.
async fn start_copy(
    node: &Rc<Node>,
    req: &Sending<'_>,
    server: &Backend,
    delay: Delay,
    excluded: &mut Vec<ServerId>,
) -> Result<Permit, NoCopy> {
    let now = clock::now();
    let service = server.service.as_str();
    note_shortage(node, service);
    let slow = SlowRequest {
        service,
        runs_left: req.max_runs.saturating_sub(req.runs + 1),
        time_left: req.deadline.saturating_sub(now),
        usual: delay.usual,
        is_suspect: node.suspects.borrow().is_suspect(now, req.fingerprint),
    };
    node.second_copies.borrow_mut().decide(now, slow, rand::random())?;
    let query = ServerQuery {
        service,
        location: &node.location,
        tried: excluded,
        class: req.class,
        software: SoftwareChoice::Any,
    };
    let chosen = node.choose_server(query).filter(|entry| has_room(node, now, entry));
    let chosen = chosen.ok_or(NoCopy::NoServer)?;
    let id = header_text(&req.head.headers, &headers::ATTEMPT);
    let permit = permits::acquire(node, &chosen, id, req.class, Duration::ZERO).await;
    let permit = permit.map_err(|_| NoCopy::NoRoom)?;
    excluded.push(chosen.id);
    node.second_copies.borrow_mut().on_copied(now, service);
    Ok(permit)
}

/// Returns whether a server has a free slot for a copy, as far as this daemon knows. One with a request
/// limit has none to spare.
fn has_room(node: &Node, now: Now, entry: &Backend) -> bool {
    let backends = node.backends.borrow();
    let is_free = backends.inflight(&entry.id) < backends.capacity(&entry.id);
    backends.usable(now, &entry.id) && is_free && backends.limit(&entry.id).is_none()
}

fn is_response(outcome: &AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Response(_))
}

/// Records the response time of a request.
fn observe(node: &Node, req: &Sending<'_>, outcome: &AttemptOutcome, started: Now) {
    let mut copies = node.second_copies.borrow_mut();
    if copies.is_on() && req.may_copy() && is_response(outcome) {
        let now = clock::now();
        copies.on_time(now, &req.route.name, now.saturating_sub(started));
    }
}

/// Records that a server was slower than another one.
fn on_outrun(node: &Node, server: &Backend, started: Now) {
    let now = clock::now();
    let elapsed = now.saturating_sub(started);
    let elapsed = elapsed.saturating_sub(node.location.round_trip(&server.zone));
    node.backends.borrow_mut().on_outrun(now, &server.id, elapsed);
}

/// Notes when the service was last short of room, for whichever requests.
fn note_shortage(node: &Node, service: &str) {
    if let Some(at) = node.backends.borrow().short_of_room_at(service) {
        node.second_copies.borrow_mut().on_short_of_room(at, service);
    }
}

/// Returns the row with this daemon's recent requests, if the others have to know them.
pub fn row(node: &Node) -> Option<CopiesRow> {
    if !node.second_copies.borrow().is_on() {
        return None;
    }
    let now = clock::now();
    let desired = node.desired()?;
    let routes = desired.routes.iter().filter(|route| route.kind == RouteKind::Idempotent);
    for target in routes.flat_map(|route| &route.targets) {
        note_shortage(node, &target.service);
    }
    node.second_copies.borrow_mut().row(now, node.store.clock_ms())
}

/// Applies the row of another daemon.
pub fn on_row(node: &Node, host: &str, row: CopiesRow) {
    if host != node.settings().host {
        let now = clock::now();
        let at = node.store.to_local(row.at_ms).min(now);
        node.second_copies.borrow_mut().on_row(now, host, at, row);
    }
}
