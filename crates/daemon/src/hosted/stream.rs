//! One run of a sample: the request to a model server and its response, a stream of events.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::{
    accounts::AccountName,
    backends::Backend,
    held_bytes::Purpose,
    job::{RunEnd, RunId, SampleSpec},
    permits::PermitClass,
    progress::Progress,
    Now,
};
use buckthornfall_platform::headers;
use buckthornfall_proto::event_stream::{self, EventDecoder};
use bytes::Bytes;
use http::{header, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::{
    clock,
    hold::Hold,
    http::{self as client, Connection, Reuse},
    node::{Destination, Node, OpenJob},
    paths,
    permits::{self, Verification, VerifyError},
};
use crate::tasks;

/// Timeout of connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum wait for a permit of a limited server; meanwhile the run holds a slot of it.
const PERMIT_PATIENCE: Duration = Duration::from_millis(500);
/// Timeout of the report that tells the start time of a server process.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of the response head; leaves time for a load of weights and for a full batch that runs
/// before the request.
const HEAD_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Timeout of reading the body of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A run to start.
pub struct RunRequest {
    pub run: RunId,
    pub job: String,
    pub server: Backend,
    pub host: String,
    /// Path and query at which the job was submitted.
    pub job_target: String,
    /// Client account that submitted the job.
    pub account: Option<AccountName>,
    /// Whether requests need keys; samples then show no other account.
    pub has_accounts: bool,
    /// Priority of the job's route; 0 is the highest.
    pub priority: u8,
    pub sample: SampleSpec,
    /// Id of the last event received in earlier runs; `None` if there is none.
    pub after: Option<u64>,
    pub deadline: Now,
}

/// An event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Id of the event.
    pub id: u64,
    /// Data of the event.
    pub data: Bytes,
    /// Version of the weights from this event on, if it changes with this event.
    pub version: Option<u64>,
}

/// Executes a run and reports its events and its end to the job runner.
pub async fn run(node: Rc<Node>, req: RunRequest) {
    let mut run_log = RunLog::new(&req);
    let panicked = fail(RunEnd::Broken, "the run panicked");
    let exchanges = async {
        match exchange(&node, &req, &mut run_log, Reuse::Any).await {
            Err(Failure { is_silent: true, .. }) => {
                exchange(&node, &req, &mut run_log, Reuse::Never).await
            }
            end => end,
        }
    };
    let exchanged = tasks::or_after_panic(exchanges, panicked).await;
    let (end, detail) = match exchanged {
        Ok(end) => (end, String::new()),
        Err(Failure { end, detail, .. }) => (end, detail),
    };
    run_log.log(&format!("{end:?}"), &detail);
    let run = req.run;
    node.with_runner(move |runner, cx| runner.on_run_end(cx, run, &end));
}

struct Failure {
    end: RunEnd,
    detail: String,
    /// Whether the run got no response on a connection that had been used before.
    is_silent: bool,
}

fn fail<T>(end: RunEnd, detail: impl ToString) -> Result<T, Failure> {
    Err(Failure { end, detail: detail.to_string(), is_silent: false })
}

async fn exchange(
    node: &Rc<Node>,
    req: &RunRequest,
    run_log: &mut RunLog,
    reuse: Reuse,
) -> Result<RunEnd, Failure> {
    fail::fail_point!("run");
    let permit = match permits::acquire(
        node,
        &req.server,
        &req.sample.id,
        PermitClass::job(req.priority),
        PERMIT_PATIENCE,
    )
    .await
    {
        Ok(permit) => permit,
        Err(e) => return fail(RunEnd::Denied, e),
    };
    let verification = Verification {
        connect_timeout: CONNECT_TIMEOUT,
        report_timeout: REPORT_TIMEOUT,
        class: PermitClass::job(req.priority),
        patience: PERMIT_PATIENCE,
    };
    let verified = node.servers.get_verified(node, permit, reuse, verification).await;
    let (mut conn, sent_at) = match verified {
        Ok(verified) => verified,
        Err(e @ VerifyError::Connection { .. }) => return fail(RunEnd::Broken, e),
        Err(e @ VerifyError::Limited { .. }) => return fail(RunEnd::Denied, e),
        Err(e @ VerifyError::OtherProcess { .. }) => return fail(RunEnd::Refused, e),
    };
    let message = match build_request(req) {
        Ok(message) => message,
        Err(e) => return fail(RunEnd::Impossible, e),
    };
    let destination =
        Destination { host: &req.host, target: &req.job_target, service: &req.server.service };
    match node.check_open(&req.job, destination) {
        Ok(known) => run_log.known = Some(known),
        Err(e) => {
            node.servers.put(conn);
            return fail(RunEnd::Denied, e);
        }
    }
    let sending = conn.send_repeatable(message, HEAD_TIMEOUT);
    let response = match timeout(HEAD_TIMEOUT, sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(e)) if e.is_silent_connection() => {
            return Err(Failure { end: RunEnd::Broken, detail: e.to_string(), is_silent: true });
        }
        Ok(Err(e)) if e.is_stale_connection() => return fail(RunEnd::Refused, e),
        Ok(Err(e)) => return fail(RunEnd::Broken, e),
        Err(_) => return fail(RunEnd::Broken, "no response head within the timeout"),
    };
    node.on_response(&req.server.id, req.server.started_ms, sent_at, &response);
    check_id(&response, &req.sample.id)?;
    if response.status() != StatusCode::OK {
        return read_refusal(node, conn, response).await;
    }
    let run = req.run;
    match numeric_header(&response, &headers::VERSION) {
        Some(version) => node.with_runner(move |runner, cx| runner.on_head(cx, run, version)),
        // A resumed run may have nothing left to generate, if the run before it broke off after the
        // last event.
        None if req.after.is_some() => {}
        None => return fail(RunEnd::Broken, "the response has no version header"),
    }
    let is_delimited = client::is_delimited(response.headers());
    read_events(node, req, response.into_body(), run_log).await?;
    if !is_delimited {
        // A crash of the server also closes the connection, so the next run has to confirm the end.
        return fail(RunEnd::Broken, "the stream has no end but that of its connection");
    }
    if run_log.events == 0 && req.after.is_none() {
        return fail(RunEnd::Broken, "the stream has no events");
    }
    node.servers.put(conn);
    Ok(RunEnd::Complete)
}

fn build_request(req: &RunRequest) -> Result<Request<Bytes>, http::Error> {
    let remaining = req.deadline.saturating_sub(clock::now()).as_millis();
    let mut message = Request::post(&req.sample.path);
    let is_hidden = |name: &str| {
        let hidden = [headers::API_KEY, headers::ACCOUNT];
        req.has_accounts && hidden.iter().any(|hidden| name.eq_ignore_ascii_case(hidden.as_str()))
    };
    for (name, value) in req.sample.headers.iter().filter(|(name, _)| !is_hidden(name)) {
        message = message.header(name, value);
    }
    if let Some(account) = &req.account {
        message = message.header(headers::ACCOUNT, account);
    }
    message = message
        .header(header::HOST, &req.host)
        .header(headers::ATTEMPT, &req.sample.id)
        .header(headers::DEADLINE, remaining.to_string())
        .header(headers::EXPECT_SERVER, &req.server.id);
    if let Some(after) = req.after {
        message = message.header(headers::LAST_EVENT, after.to_string());
    }
    message.body(req.sample.body.clone())
}

fn check_id(response: &Response<Incoming>, id: &str) -> Result<(), Failure> {
    let echoed = response.headers().get(headers::ATTEMPT);
    if echoed.is_some_and(|echoed| echoed == id) {
        return Ok(());
    }
    if response.headers().contains_key(headers::NOT_RUN) {
        return fail(RunEnd::Refused, response.status());
    }
    fail(RunEnd::Broken, "the response belongs to another request")
}

async fn read_refusal(
    node: &Rc<Node>,
    conn: Connection,
    response: Response<Incoming>,
) -> Result<RunEnd, Failure> {
    let status = response.status();
    let not_run = response.headers().contains_key(headers::NOT_RUN);
    let end = match status {
        StatusCode::UNPROCESSABLE_ENTITY => RunEnd::Impossible,
        _ if not_run || status == StatusCode::MISDIRECTED_REQUEST => RunEnd::Refused,
        StatusCode::INTERNAL_SERVER_ERROR => RunEnd::Failed,
        _ => RunEnd::Broken,
    };
    let read = conn.discard(response, client::MAX_OWN_BODY_BYTES);
    if let Ok(Ok(_)) = timeout(REFUSAL_TIMEOUT, read).await {
        node.servers.put(conn);
    }
    fail(end, status)
}

async fn read_events(
    node: &Rc<Node>,
    req: &RunRequest,
    mut body: Incoming,
    run_log: &mut RunLog,
) -> Result<(), Failure> {
    let run = req.run;
    let mut decoder = EventDecoder::default();
    let mut hold = Hold::new(node, Purpose::Events);
    let mut progress = Progress::new(clock::now());
    loop {
        // Data that arrived while the process was paused is read although the deadline has passed.
        let wait = progress.deadline().saturating_sub(clock::now());
        let frame = match timeout(wait, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(e))) => return fail(RunEnd::Broken, e),
            Ok(None) => break,
            Err(_) => return stalled(),
        };
        let Ok(data) = frame.into_data() else { continue };
        decoder.push(&data);
        let mut events = Vec::new();
        while let Some(event) = decoder.next_event() {
            match to_event(event) {
                Ok(Some(event)) => events.push(event),
                Ok(None) => {}
                Err(MalformedEvent) => return fail(RunEnd::Broken, "malformed event"),
            }
        }
        let new_events = events.len();
        if new_events > 0 {
            progress.on_event(clock::now());
            paths::on_response(node, &req.server.service);
            events.iter().for_each(|_| run_log.count_event());
            node.with_runner(move |runner, cx| runner.on_events(cx, run, events));
        }
        if new_events == 0 && wait.is_zero() {
            return stalled();
        }
        if decoder.held_bytes() > MAX_EVENT_BYTES {
            return fail(RunEnd::Broken, "an event exceeds the maximum size");
        }
        if !hold.resize(decoder.held_bytes()) {
            return fail(RunEnd::Broken, "no memory for a long event");
        }
    }
    if decoder.is_partial() {
        return fail(RunEnd::Broken, "the stream ends within an event");
    }
    Ok(())
}

fn stalled<T>() -> Result<T, Failure> {
    fail(RunEnd::Broken, "no whole event in time")
}

/// An event that cannot be part of a sample's text.
struct MalformedEvent;

/// Converts a decoded event; one that is not part of the text is `None`.
fn to_event(event: event_stream::Event) -> Result<Option<Event>, MalformedEvent> {
    let parse_number = |value: &Bytes| {
        let text = std::str::from_utf8(value).ok();
        text.and_then(|text| text.trim().parse().ok()).ok_or(MalformedEvent)
    };
    let version = event.other(headers::VERSION_FIELD).map(parse_number).transpose()?;
    match (event.id, event.data) {
        (Some(id), Some(data)) => Ok(Some(Event { id: parse_number(&id)?, data, version })),
        (None, None) if version.is_none() => Ok(None),
        // Without the rest, it is unknown which event of the text is missing.
        _ => Err(MalformedEvent),
    }
}

fn numeric_header<B>(response: &Response<B>, name: &HeaderName) -> Option<u64> {
    let value: &HeaderValue = response.headers().get(name)?;
    value.to_str().ok()?.parse().ok()
}

/// Counts and times of one run for its log line; also logs a run that is dropped before its end.
struct RunLog {
    run: RunId,
    job: String,
    sample: String,
    server: String,
    software: String,
    after: Option<u64>,
    events: u32,
    started: Now,
    first_event: Option<Now>,
    /// What was known of the job as the request was sent.
    known: Option<OpenJob>,
    logged: bool,
}

impl RunLog {
    fn new(req: &RunRequest) -> RunLog {
        RunLog {
            run: req.run,
            job: req.job.clone(),
            sample: req.sample.id.clone(),
            server: req.server.id.clone(),
            software: req.server.software.clone(),
            after: req.after,
            events: 0,
            started: clock::now(),
            first_event: None,
            known: None,
            logged: false,
        }
    }

    fn count_event(&mut self) {
        self.events += 1;
        self.first_event.get_or_insert_with(clock::now);
    }

    fn log(&mut self, outcome: &str, detail: &str) {
        self.logged = true;
        metrics::counter!("runs_total", "outcome" => outcome.to_owned()).increment(1);
        let since = |at: Now| at.saturating_sub(self.started).as_millis() as u64;
        let (first_ms, took_ms) = (self.first_event.map(since), since(clock::now()));
        log::info!(job = self.job.as_str(), sample = self.sample.as_str(), run = self.run,
            server = self.server.as_str(), software = self.software.as_str(), after:? = self.after, events = self.events,
            known_ms:? = self.known.map(|known| known.known_ms()),
            sent_by:? = self.known.map(|known| known.desired_version),
            desired_ms:? = self.known.and_then(|known| known.desired_ms),
            first_ms:? = first_ms, took_ms, outcome, detail; "run_ended");
    }
}

impl Drop for RunLog {
    fn drop(&mut self) {
        if !self.logged {
            self.log("Cancelled", "");
        }
    }
}
