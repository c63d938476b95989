//! One run of a sample: the request to a model server and the events of its answer.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use buckthornfall_core::{
    job::{RunEnd, RunId, SampleSpec},
    progress::Progress,
    Now,
};
use buckthornfall_platform::headers;
use bytes::{Buf, Bytes, BytesMut};
use http::{header, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::{clock, http::Connection, node::Node};

/// Longest wait for a connection to a server.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);
/// Longest wait for the head of an answer: a load of weights and a full batch before it.
const HEAD_LIMIT: Duration = Duration::from_millis(3_000);
/// Longest wait for the rest of a refusal.
const REFUSAL_LIMIT: Duration = Duration::from_millis(2_000);
/// Largest event.
const EVENT_BYTES: usize = 1 << 20;

/// A run to carry out.
pub struct RunRequest {
    pub run: RunId,
    pub job: String,
    pub server: String,
    pub addr: SocketAddr,
    /// The start of the server that is meant, in Unix milliseconds.
    pub started_ms: u64,
    pub host: String,
    pub sample: SampleSpec,
    pub after: Option<u64>,
    pub deadline: Now,
}

/// An event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id.
    pub id: u64,
    /// Its data.
    pub data: Bytes,
    /// Version of the weights from this event on, if it changes here.
    pub version: Option<u64>,
}

/// Carries out a run and reports each event and the end to the actor of the jobs.
pub async fn run(node: Rc<Node>, req: RunRequest) {
    let mut pace = Pace::new(&req);
    let (end, detail) = match exchange(&node, &req, &mut pace).await {
        Ok(end) => (end, String::new()),
        Err(Failure { end, detail }) => (end, detail),
    };
    pace.log(&format!("{end:?}"), &detail);
    let run = req.run;
    node.with_runner(move |runner, cx| runner.on_run_end(cx, run, &end));
}

struct Failure {
    end: RunEnd,
    detail: String,
}

fn fail<T>(end: RunEnd, detail: impl ToString) -> Result<T, Failure> {
    Err(Failure { end, detail: detail.to_string() })
}

async fn exchange(node: &Rc<Node>, req: &RunRequest, pace: &mut Pace) -> Result<RunEnd, Failure> {
    let mut conn = match node.servers.get(req.addr, CONNECT_LIMIT).await {
        Ok(conn) => conn,
        Err(e) => return fail(RunEnd::Broken, e),
    };
    let message = match message(req) {
        Ok(message) => message,
        Err(e) => return fail(RunEnd::Impossible, e),
    };
    let reply = match timeout(HEAD_LIMIT, conn.send(message)).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(e)) if e.is_stale_connection() => return fail(RunEnd::Refused, e),
        Ok(Err(e)) => return fail(RunEnd::Broken, e),
        Err(_) => return fail(RunEnd::Broken, "no head of an answer in time"),
    };
    node.on_reply(&req.server, req.started_ms, &reply);
    check_id(&reply, &req.sample.id)?;
    if reply.status() != StatusCode::OK {
        return refused(node, conn, reply).await;
    }
    let run = req.run;
    match number(&reply, &headers::VERSION) {
        Some(version) => node.with_runner(move |runner, cx| runner.on_head(cx, run, version)),
        // Nothing is left to make if the last run broke after its last event.
        None if req.after.is_some() => {}
        None => return fail(RunEnd::Broken, "the answer names no version"),
    }
    let has_end = has_end(&reply);
    read_events(node, run, reply.into_body(), pace).await?;
    if !has_end {
        // A server that dies closes its connections too, so the next run has to show the end.
        return fail(RunEnd::Broken, "the stream has no end but that of its connection");
    }
    if pace.events == 0 && req.after.is_none() {
        return fail(RunEnd::Broken, "the stream has no event");
    }
    node.servers.put(conn);
    Ok(RunEnd::Complete)
}

fn message(req: &RunRequest) -> Result<Request<Bytes>, http::Error> {
    let left = req.deadline.saturating_sub(clock::now()).as_millis();
    let mut message = Request::post(&req.sample.path);
    for (name, value) in &req.sample.headers {
        message = message.header(name, value);
    }
    message = message
        .header(header::HOST, &req.host)
        .header(headers::ATTEMPT, &req.sample.id)
        .header(headers::DEADLINE, left.to_string())
        .header(headers::EXPECT_SERVER, &req.server);
    if let Some(after) = req.after {
        message = message.header(headers::LAST_EVENT, after.to_string());
    }
    message.body(req.sample.body.clone())
}

fn check_id(reply: &Response<Incoming>, id: &str) -> Result<(), Failure> {
    let echoed = reply.headers().get(headers::ATTEMPT);
    if echoed.is_some_and(|echoed| echoed == id) {
        return Ok(());
    }
    if reply.headers().contains_key(headers::NOT_RUN) {
        return fail(RunEnd::Refused, reply.status());
    }
    fail(RunEnd::Broken, "the answer is not to this request")
}

/// Whether the end of an answer can be told from the end of its connection.
fn has_end<B>(reply: &Response<B>) -> bool {
    let names = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    names.iter().any(|name| reply.headers().contains_key(name))
}

async fn refused(
    node: &Rc<Node>,
    conn: Connection,
    reply: Response<Incoming>,
) -> Result<RunEnd, Failure> {
    let status = reply.status();
    let not_run = reply.headers().contains_key(headers::NOT_RUN);
    let end = match status {
        StatusCode::UNPROCESSABLE_ENTITY => RunEnd::Impossible,
        _ if not_run || status == StatusCode::MISDIRECTED_REQUEST => RunEnd::Refused,
        StatusCode::INTERNAL_SERVER_ERROR => RunEnd::Failed,
        _ => RunEnd::Broken,
    };
    if let Ok(Ok(_)) = timeout(REFUSAL_LIMIT, conn.read(reply)).await {
        node.servers.put(conn);
    }
    fail(end, status)
}

async fn read_events(
    node: &Rc<Node>,
    run: RunId,
    mut body: Incoming,
    pace: &mut Pace,
) -> Result<(), Failure> {
    let mut buf = BytesMut::new();
    let mut progress = Progress::new(clock::now());
    loop {
        // What came while the process was paused is read although its time has passed.
        let wait = progress.deadline().saturating_sub(clock::now());
        let frame = match timeout(wait, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(e))) => return fail(RunEnd::Broken, e),
            Ok(None) => break,
            Err(_) => return stalled(),
        };
        let Ok(data) = frame.into_data() else { continue };
        buf.extend_from_slice(&data);
        let mut events = Vec::new();
        while let Some(block) = next_block(&mut buf) {
            match parse_event(&block) {
                Ok(Some(event)) => events.push(event),
                Ok(None) => {}
                Err(Unreadable) => return fail(RunEnd::Broken, "an event cannot be read"),
            }
        }
        let events_came = events.len();
        if events_came > 0 {
            progress.on_event(clock::now());
            events.iter().for_each(|_| pace.count());
            node.with_runner(move |runner, cx| runner.on_events(cx, run, events));
        }
        if events_came == 0 && wait.is_zero() {
            return stalled();
        }
        if buf.len() > EVENT_BYTES {
            return fail(RunEnd::Broken, "an event is too large");
        }
    }
    if buf.is_empty() {
        return Ok(());
    }
    fail(RunEnd::Broken, "the stream ends within an event")
}

fn stalled<T>() -> Result<T, Failure> {
    fail(RunEnd::Broken, "no whole event in time")
}

/// Takes the bytes of the next whole event, without the empty line that ends it.
fn next_block(buf: &mut BytesMut) -> Option<Bytes> {
    let end = buf.windows(2).position(|pair| pair == b"\n\n")?;
    let block = buf.split_to(end).freeze();
    buf.advance(2);
    Some(block)
}

/// A block that is no event.
struct Unreadable;

/// The event in a block; `None` if it holds comments only.
fn parse_event(block: &Bytes) -> Result<Option<Event>, Unreadable> {
    let mut id = None;
    let mut data = None;
    let mut version = None;
    let number = |value: &[u8]| {
        std::str::from_utf8(value).ok().and_then(|text| text.trim().parse().ok()).ok_or(Unreadable)
    };
    let mut only_comments = true;
    for line in block.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
        let colon = line.iter().position(|byte| *byte == b':').ok_or(Unreadable)?;
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii_start());
        only_comments &= name.is_empty();
        if name == b"id" {
            id = Some(number(value)?);
        } else if name == b"data" {
            data = Some(block.slice_ref(value));
        } else if name == headers::VERSION_FIELD.as_bytes() {
            version = Some(number(value)?);
        }
    }
    match (id, data) {
        (Some(id), Some(data)) => Ok(Some(Event { id, data, version })),
        _ if only_comments => Ok(None),
        _ => Err(Unreadable),
    }
}

fn number<B>(reply: &Response<B>, name: &HeaderName) -> Option<u64> {
    let value: &HeaderValue = reply.headers().get(name)?;
    value.to_str().ok()?.parse().ok()
}

/// Progress of one run; logs a run that is dropped before its end.
struct Pace {
    run: RunId,
    job: String,
    sample: String,
    server: String,
    after: Option<u64>,
    events: u32,
    started: Now,
    first: Option<Now>,
    logged: bool,
}

impl Pace {
    fn new(req: &RunRequest) -> Pace {
        Pace {
            run: req.run,
            job: req.job.clone(),
            sample: req.sample.id.clone(),
            server: req.server.clone(),
            after: req.after,
            events: 0,
            started: clock::now(),
            first: None,
            logged: false,
        }
    }

    fn count(&mut self) {
        self.events += 1;
        self.first.get_or_insert_with(clock::now);
    }

    fn log(&mut self, outcome: &str, detail: &str) {
        self.logged = true;
        metrics::counter!("runs_total", "outcome" => outcome.to_owned()).increment(1);
        let since = |at: Now| at.saturating_sub(self.started).as_millis() as u64;
        let (first_ms, took_ms) = (self.first.map(since), since(clock::now()));
        log::info!(job = self.job.as_str(), sample = self.sample.as_str(), run = self.run,
            server = self.server.as_str(), after:? = self.after, events = self.events,
            first_ms:? = first_ms, took_ms, outcome, detail; "run_ended");
    }
}

impl Drop for Pace {
    fn drop(&mut self) {
        if !self.logged {
            self.log("Cancelled", "");
        }
    }
}
