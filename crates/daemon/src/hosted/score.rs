//! Scoring requests for finished samples.

use std::{rc::Rc, sync::Arc, time::Duration};

use buckthornfall_core::{
    admission_queue::Demand,
    backends::{Ended, ServerQuery, SoftwareChoice},
    job::{ScoreEnd, Scorer},
    permits::PermitClass,
};
use buckthornfall_platform::headers;
use buckthornfall_proto::digest::fingerprint;
use http::{header, Request, StatusCode};
use log::info;
use tokio::time::timeout;

use super::{
    admission::{self, Applicant, Place},
    clock,
    forward::DEFAULT_OBJECTIVE,
    http::{self as client, Error, Reuse},
    in_flight::InFlight,
    node::{Destination, Node, OpenJob},
    paths, permits,
};
use crate::tasks;

/// Timeout of a scoring request whose route does not set one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);
/// The first attempt gets the timeout divided by this, so that a server that does not respond costs
/// less time; each further attempt gets twice as much, up to the full timeout.
const FIRST_ATTEMPT_DIVISOR: u32 = 2;
/// Timeout of connecting to a scoring server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum wait for a place at a service that is short of room.
const ADMISSION_PATIENCE: Duration = Duration::from_secs(2);

/// Maximum wait for a permit of a limited scoring server.
const PERMIT_PATIENCE: Duration = Duration::from_millis(1_000);

/// A scoring request of a sample.
#[derive(Debug, Clone, Copy)]
pub struct ScoreRequest<'a> {
    /// Job of the sample.
    pub job: &'a str,
    /// The request.
    pub scorer: &'a Scorer,
    /// Number of earlier attempts.
    pub tries: u32,
}

/// Outcome of a scoring request, with what its log line tells.
struct Scored {
    end: ScoreEnd,
    server: String,
    /// What was known of the job as it was sent; `None` if it was not sent.
    known: Option<OpenJob>,
    detail: String,
}

impl Scored {
    fn not_sent(end: ScoreEnd, server: &str, detail: impl ToString) -> Scored {
        Scored { end, server: server.to_owned(), known: None, detail: detail.to_string() }
    }
}

/// Sends one scoring request.
pub async fn request_score(node: &Rc<Node>, req: ScoreRequest<'_>) -> ScoreEnd {
    let decided_by = node.desired_version();
    let panicked = Scored::not_sent(ScoreEnd::NoAnswer, "", "the request panicked");
    let Scored { end, server, known, detail } =
        tasks::or_after_panic(exchange(node, req), panicked).await;
    let outcome = match end {
        ScoreEnd::Scored(_) => "scored",
        ScoreEnd::Failed { .. } => "failed",
        ScoreEnd::NoAnswer => "no_answer",
        ScoreEnd::Denied { .. } => "denied",
    };
    metrics::counter!("scores_total", "outcome" => outcome).increment(1);
    info!(job = req.job, request = req.scorer.id.as_str(), server, known_ms:? = known.map(|known| known.known_ms()),
        decided_by, sent_by:? = known.map(|known| known.desired_version),
        desired_ms:? = known.and_then(|known| known.desired_ms), outcome:? = end, detail; "scored");
    end
}

async fn exchange(node: &Rc<Node>, req: ScoreRequest<'_>) -> Scored {
    fail::fail_point!("score");
    let ScoreRequest { job, scorer, tries } = req;
    let (route, service) = {
        let path = scorer.path.split('?').next().unwrap_or_default();
        let desired = node.desired();
        let route = desired.as_ref().and_then(|desired| desired.route(&scorer.host, path));
        let Some(route) = route else {
            return Scored::not_sent(ScoreEnd::NoAnswer, "", "no route");
        };
        (Arc::clone(route), route.target(fingerprint(&[scorer.id.as_bytes()])).clone())
    };
    let class = PermitClass::job(route.priority);
    let route_timeout = route.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let attempt_timeout =
        route_timeout.min(route_timeout / FIRST_ATTEMPT_DIVISOR * 2u32.pow(tries.min(4)));
    let objective = route.objective.unwrap_or(DEFAULT_OBJECTIVE);
    let applicant = Applicant {
        service: &service,
        id: &scorer.id,
        demand: Demand {
            class,
            account: "",
            route: &route.name,
            bytes: scorer.body.len(),
            arrived: clock::now(),
            deadline: clock::now() + ADMISSION_PATIENCE,
            objective,
            was_refused: false,
            spread: rand::random(),
        },
    };
    let place = match admission::is_queued(node, &service) {
        false => None,
        true => match Place::wait(node, applicant).await {
            Ok(place) => Some(place),
            Err(refusal) => {
                let retry_after = refusal.retry_after;
                let detail = format!("no room: {}", refusal.reason.name());
                return Scored::not_sent(ScoreEnd::Denied { retry_after }, "", detail);
            }
        },
    };
    let query = ServerQuery {
        service: &service,
        location: &node.location,
        tried: &[],
        class,
        software: SoftwareChoice::Any,
    };
    let Some(server) = node.choose_server(query) else {
        return Scored::not_sent(ScoreEnd::NoAnswer, "", "no server");
    };
    let permit = match permits::acquire(node, &server, &scorer.id, class, PERMIT_PATIENCE).await {
        Ok(permit) => permit,
        Err(e) => {
            let end = ScoreEnd::Denied { retry_after: e.retry_after };
            return Scored::not_sent(end, &server.id, e);
        }
    };
    let message = Request::post(&scorer.path)
        .header(header::HOST, &scorer.host)
        .header(headers::ATTEMPT, &scorer.id)
        .header(headers::DEADLINE, attempt_timeout.as_millis().to_string())
        .header(headers::EXPECT_SERVER, &server.id)
        .body(scorer.body.clone());
    let message = match message {
        Ok(message) => message,
        Err(e) => {
            let end = ScoreEnd::Failed { most: route.max_attempts };
            return Scored::not_sent(end, &server.id, e);
        }
    };
    let started = permit.sent_at();
    let in_flight = InFlight::new(node, &server.id);
    let connect_timeout = CONNECT_TIMEOUT.min(attempt_timeout);
    // The attempt before may have waited on an idle connection that had fallen silent.
    let reuse = if tries == 0 { Reuse::Any } else { Reuse::Trusted };
    let mut conn = match node.servers.get(node, permit, reuse, connect_timeout).await {
        Ok(conn) => conn,
        Err(e) => {
            in_flight.end(Ended::Failed);
            return Scored::not_sent(ScoreEnd::NoAnswer, &server.id, e);
        }
    };
    let destination = Destination { host: &scorer.host, target: &scorer.path, service: &service };
    let known = match node.check_open(job, destination) {
        Ok(known) => known,
        Err(e) => {
            node.servers.put(conn);
            let end = ScoreEnd::Denied { retry_after: Duration::ZERO };
            return Scored::not_sent(end, &server.id, e);
        }
    };
    let exchange = async {
        let response = conn.send(message).await?;
        conn.discard(response, client::MAX_BODY_BYTES).await
    };
    let response = match timeout(attempt_timeout, exchange).await {
        Ok(response) => response,
        Err(_) => Err(Error::TimedOut { addr: server.addr, timeout: attempt_timeout }),
    };
    let now = clock::now();
    let took = now.saturating_sub(started).saturating_sub(node.location.round_trip(&server.zone));
    let scored =
        |end, detail| Scored { end, server: server.id.clone(), known: Some(known), detail };
    let response = match response {
        Ok(response) => response,
        Err(e) => {
            paths::on_failure(node, &server.service, &server.id, &e);
            in_flight.end(if e.is_stale_connection() { Ended::Cancelled } else { Ended::Failed });
            return scored(ScoreEnd::NoAnswer, e.to_string());
        }
    };
    node.servers.put(conn);
    node.on_response(&server.id, server.started_ms, started, &response);
    let echoed =
        response.headers().get(headers::ATTEMPT).is_some_and(|id| id == scorer.id.as_str());
    let proof = response.headers().get(headers::PROOF).and_then(|value| value.to_str().ok());
    let status = response.status();
    let end = match (proof, status) {
        (Some(proof), status) if status.is_success() && echoed => {
            in_flight.end(Ended::Answered(took));
            if let Some(place) = &place {
                place.on_answer(started, objective);
            }
            ScoreEnd::Scored(proof.to_owned())
        }
        (_, StatusCode::INTERNAL_SERVER_ERROR) if echoed => {
            in_flight.end(Ended::Erred);
            ScoreEnd::Failed { most: route.max_attempts }
        }
        _ => {
            let refused = response.headers().contains_key(headers::NOT_RUN);
            in_flight.end(if refused { Ended::Refused } else { Ended::Failed });
            ScoreEnd::NoAnswer
        }
    };
    scored(end, status.to_string())
}
