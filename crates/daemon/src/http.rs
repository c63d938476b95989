//! The HTTP interface for callers, trainers and operators.

use std::{
    io::{self, Read, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use buckthornfall_core::error::{ErrorKind, Refusal};
use bytes::Bytes;
use chunked_transfer::Encoder;
use log::warn;
use stakker::sync::Channel;

use crate::{
    api::{self, ApiCall},
    reply::{self, Reply, ReplyPart, ReplyReader, Whole},
    telemetry::Telemetry,
};

/// Id of a request at one daemon.
pub type RequestId = u64;

/// A request, or the news that its connection ended.
pub enum HttpEvent {
    /// A request.
    Call(HttpCall),
    /// The connection of a streamed answer ended early.
    Gone(RequestId),
}

/// A request for the actors.
pub struct HttpCall {
    /// Its id.
    pub id: RequestId,
    /// What it asks for.
    pub call: ApiCall,
    /// The bearer token; empty if there is none.
    pub token: String,
    /// The idempotency key; empty if there is none.
    pub idempotency_key: String,
    /// The body.
    pub body: Bytes,
    /// Where to answer.
    pub reply: Reply,
}

/// Largest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Longest idempotency key or token, in bytes.
const MAX_HEADER_BYTES: usize = 256;
const CHUNK_BYTES: usize = 8 * 1024;

/// The threads that answer requests.
pub struct HttpServer {
    server: Arc<tiny_http::Server>,
    threads: Vec<JoinHandle<()>>,
    address: String,
}

struct Worker {
    server: Arc<tiny_http::Server>,
    events: Channel<HttpEvent>,
    ids: Arc<AtomicU64>,
    telemetry: Telemetry,
}

impl HttpServer {
    /// Opens the listening socket.
    pub fn bind(listen: &str) -> io::Result<HttpServer> {
        let server = tiny_http::Server::http(listen).map_err(io::Error::other)?;
        let address = server.server_addr().to_string();
        Ok(HttpServer { server: Arc::new(server), threads: Vec::new(), address })
    }

    /// Address and port that are listened on.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Starts `count` threads that pass requests to `events`.
    pub fn start(
        &mut self,
        count: u32,
        events: &Channel<HttpEvent>,
        telemetry: &Telemetry,
    ) -> io::Result<()> {
        let ids = Arc::new(AtomicU64::new(1));
        for _ in 0..count {
            let worker = Worker {
                server: Arc::clone(&self.server),
                events: events.clone(),
                ids: Arc::clone(&ids),
                telemetry: telemetry.clone(),
            };
            self.threads.push(telemetry.spawn("http", move || worker.run())?);
        }
        Ok(())
    }

    /// Ends the threads after the requests that they hold.
    pub fn stop(mut self) {
        let until = Instant::now() + STOP_LIMIT;
        while !self.threads.is_empty() && Instant::now() < until {
            // A wake-up may go to a thread that ends anyway, so it is sent again.
            self.threads.iter().for_each(|_| self.server.unblock());
            thread::sleep(STOP_PAUSE);
            self.threads.retain(|thread| !thread.is_finished());
        }
        if !self.threads.is_empty() {
            warn!(threads = self.threads.len(); "http_threads_left");
        }
    }
}

/// Longest wait for threads at a stop; the end of the process ends those that are stuck.
const STOP_LIMIT: Duration = Duration::from_secs(2);
/// Pause between two wake-ups.
const STOP_PAUSE: Duration = Duration::from_millis(5);

impl Worker {
    fn run(&self) {
        while let Ok(request) = self.server.recv() {
            self.answer(request);
        }
    }

    fn answer(&self, mut request: tiny_http::Request) {
        if request.url() == "/metrics" {
            let response = tiny_http::Response::from_string(self.telemetry.render());
            // A client that hung up needs no answer.
            let _ = request.respond(response);
            return;
        }
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        let (reply, reader) = reply::pair();
        match self.read(&mut request, id, reply) {
            Ok(call) => {
                self.events.send(HttpEvent::Call(call));
            }
            Err((reply, refusal)) => reply.refuse(&refusal),
        }
        if self.write(request, &reader).is_err() {
            self.events.send(HttpEvent::Gone(id));
        }
    }

    fn read(
        &self,
        request: &mut tiny_http::Request,
        id: RequestId,
        reply: Reply,
    ) -> Result<HttpCall, (Reply, Refusal)> {
        let method = request.method().to_string();
        let Some(call) = api::parse(&method, request.url()) else {
            let message = format!("path \"{method} {}\" does not exist", request.url());
            return Err((reply, Refusal::new(ErrorKind::NotFound, message)));
        };
        let header = |name: &'static str| header(request, name);
        let (authorization, idempotency_key) =
            match (header("authorization"), header("idempotency-key")) {
                (Ok(authorization), Ok(key)) => (authorization, key),
                (Err(refusal), _) | (_, Err(refusal)) => return Err((reply, refusal)),
            };
        let token = authorization.strip_prefix("Bearer ").unwrap_or("").to_owned();
        match read_body(request) {
            Ok(body) => Ok(HttpCall { id, call, token, idempotency_key, body, reply }),
            Err(refusal) => Err((reply, refusal)),
        }
    }

    fn write(&self, request: tiny_http::Request, reader: &ReplyReader) -> io::Result<()> {
        match reader.next() {
            Some(ReplyPart::Whole(whole)) => write_whole(request, whole),
            Some(_) => write_stream(request, reader),
            None => {
                let refusal = Refusal::new(ErrorKind::Internal, "the daemon dropped the request");
                let body = serde_json::to_vec(&refusal.answer()).expect("messages are plain data");
                let whole =
                    Whole { status: refusal.status(), retry_after: None, body: Bytes::from(body) };
                write_whole(request, whole)
            }
        }
    }
}

fn header(request: &tiny_http::Request, name: &'static str) -> Result<String, Refusal> {
    let found = request.headers().iter().find(|h| h.field.equiv(name));
    let value = found.map_or("", |h| h.value.as_str());
    if value.len() > MAX_HEADER_BYTES {
        let message = format!("header {name:?} is longer than {MAX_HEADER_BYTES} bytes");
        return Err(Refusal::new(ErrorKind::TooLarge, message));
    }
    Ok(value.to_owned())
}

fn read_body(request: &mut tiny_http::Request) -> Result<Bytes, Refusal> {
    let mut body = Vec::new();
    let limit = MAX_BODY_BYTES as u64 + 1;
    if let Err(e) = request.as_reader().take(limit).read_to_end(&mut body) {
        return Err(Refusal::new(ErrorKind::Invalid, format!("the body cannot be read: {e}")));
    }
    if body.len() > MAX_BODY_BYTES {
        let message = format!("the body is longer than {MAX_BODY_BYTES} bytes");
        return Err(Refusal::new(ErrorKind::TooLarge, message));
    }
    Ok(Bytes::from(body))
}

fn write_whole(request: tiny_http::Request, whole: Whole) -> io::Result<()> {
    let mut response =
        tiny_http::Response::from_data(whole.body.to_vec()).with_status_code(whole.status);
    if let Some(after) = whole.retry_after {
        let seconds = after.as_secs_f64().ceil().to_string();
        if let Ok(header) = tiny_http::Header::from_bytes("retry-after", seconds) {
            response = response.with_header(header);
        }
    }
    request.respond(response)
}

/// The library holds a chunked body back until 8 KiB are full, so tokens are written here.
fn write_stream(request: tiny_http::Request, reader: &ReplyReader) -> io::Result<()> {
    let mut writer = request.into_writer();
    writer.write_all(
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
          transfer-encoding: chunked\r\n\r\n",
    )?;
    let mut encoder = Encoder::with_chunks_size(&mut writer, CHUNK_BYTES);
    loop {
        match reader.next() {
            Some(ReplyPart::Event(text)) => {
                write!(encoder, "data: {text}\n\n")?;
                encoder.flush()?;
            }
            Some(ReplyPart::StreamEnd) => break,
            Some(ReplyPart::StreamStart | ReplyPart::Whole(_)) => {}
            None => return Err(io::Error::other("the daemon dropped the request")),
        }
    }
    drop(encoder);
    writer.flush()
}
