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
    reply::{self, FullResponse, Reply, ReplyPart, ReplyReader},
    telemetry::Telemetry,
};

/// Id of a request at one daemon.
pub type RequestId = u64;

/// An event of the HTTP interface.
pub enum HttpEvent {
    /// A request.
    Call(HttpCall),
    /// The caller disconnected before the end of the response.
    Disconnected(RequestId),
}

/// A parsed request for the actors.
pub struct HttpCall {
    /// Id of the request.
    pub id: RequestId,
    /// The API call.
    pub call: ApiCall,
    /// Bearer token; empty for none.
    pub token: String,
    /// Idempotency key; empty for none.
    pub idempotency_key: String,
    /// Request body.
    pub body: Bytes,
    /// Receives the response.
    pub reply: Reply,
}

/// Maximum size of a request body.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Maximum length of the idempotency key and of the authorization header.
const MAX_HEADER_BYTES: usize = 256;
/// Chunk size of a streamed response.
const CHUNK_BYTES: usize = 8 * 1024;

/// The listening socket and the threads that serve its connections.
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

    /// Returns the listening address and port.
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

    /// Stops the threads once their current requests are complete.
    pub fn stop(mut self) {
        let deadline = Instant::now() + STOP_TIMEOUT;
        while !self.threads.is_empty() && Instant::now() < deadline {
            // A wake-up may reach a thread that is already exiting, so it is repeated.
            self.threads.iter().for_each(|_| self.server.unblock());
            thread::sleep(STOP_WAKE_INTERVAL);
            self.threads.retain(|thread| !thread.is_finished());
        }
        if !self.threads.is_empty() {
            warn!(threads = self.threads.len(); "http_threads_left");
        }
    }
}

/// Timeout for the threads at shutdown; threads that are stuck end with the process.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between wake-ups of the threads at shutdown.
const STOP_WAKE_INTERVAL: Duration = Duration::from_millis(5);

impl Worker {
    fn run(&self) {
        while let Ok(request) = self.server.recv() {
            self.serve(request);
        }
    }

    fn serve(&self, mut request: tiny_http::Request) {
        if request.url() == "/metrics" {
            let response = tiny_http::Response::from_string(self.telemetry.render());
            // Fails only if the client has disconnected.
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
            self.events.send(HttpEvent::Disconnected(id));
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
            Some(ReplyPart::Full(response)) => write_full(request, response),
            Some(_) => write_stream(request, reader),
            None => {
                let refusal = Refusal::new(ErrorKind::Internal, "the daemon dropped the request");
                let body =
                    serde_json::to_vec(&refusal.answer()).expect("messages serialize to JSON");
                let response = FullResponse {
                    status: refusal.status(),
                    retry_after: None,
                    body: Bytes::from(body),
                };
                write_full(request, response)
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

fn write_full(request: tiny_http::Request, response: FullResponse) -> io::Result<()> {
    let mut http_response =
        tiny_http::Response::from_data(response.body.to_vec()).with_status_code(response.status);
    if let Some(after) = response.retry_after {
        let seconds = after.as_secs_f64().ceil().to_string();
        if let Ok(header) = tiny_http::Header::from_bytes("retry-after", seconds) {
            http_response = http_response.with_header(header);
        }
    }
    request.respond(http_response)
}

/// Writes an event stream. tiny_http buffers a chunked body until 8 KiB are full, which would delay
/// tokens, so the chunks are encoded and flushed here.
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
            Some(ReplyPart::StreamStart | ReplyPart::Full(_)) => {}
            None => return Err(io::Error::other("the daemon dropped the request")),
        }
    }
    drop(encoder);
    writer.flush()
}
