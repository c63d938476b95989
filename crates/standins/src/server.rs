//! Small HTTP server with a fixed number of threads; each handles one request at a time.

use std::{
    io::{self, Read, Write},
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornfall_client::http::NOT_RUN_HEADER;
use bytes::Bytes;
use serde::{de::DeserializeOwned, Serialize};
use snafu::{ResultExt, Snafu};

/// Error while starting a stand-in.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The server cannot listen on the address.
    #[snafu(display("cannot listen on {address:?}: {reason}"))]
    Listen {
        /// Requested address.
        address: String,
        /// Cause of the failure.
        reason: String,
    },
    /// A thread could not be started.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// Cause of the failure.
        source: io::Error,
    },
}

/// Result type of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Maximum size of a request body; the rest is ignored.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
const THREAD_STACK_BYTES: usize = 256 * 1024;

/// Request that is waiting for its response.
pub struct Call {
    request: tiny_http::Request,
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    query: String,
    /// Body of the request.
    pub body: Bytes,
}

impl Call {
    fn new(mut request: tiny_http::Request) -> Call {
        let mut body = Vec::new();
        // A body that cannot be read is handled like an empty one: it is rejected with a parse error.
        let _ = request.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body);
        let (path, query) = match request.url().split_once('?') {
            Some((path, query)) => (path.to_owned(), query.to_owned()),
            None => (request.url().to_owned(), String::new()),
        };
        let method = request.method().to_string();
        Call { request, method, path, query, body: Bytes::from(body) }
    }

    /// Returns the value of a header; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let matches = |h: &&tiny_http::Header| h.field.as_str().as_str().eq_ignore_ascii_case(name);
        self.request.headers().iter().find(matches).map_or("", |h| h.value.as_str())
    }

    /// Returns the value of a query parameter; empty if it is absent.
    pub fn parameter(&self, name: &str) -> &str {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next().unwrap_or("")
    }

    /// Parses the body as JSON. Responds with status 400 and returns `None` if it is invalid.
    pub fn json<T: DeserializeOwned>(self) -> Option<(Call, T)> {
        match serde_json::from_slice(&self.body) {
            Ok(message) => Some((self, message)),
            Err(e) => {
                self.text(400, &format!("the body is not valid: {e}"));
                None
            }
        }
    }

    /// Responds with a JSON document.
    pub fn reply<T: Serialize>(self, message: &T) {
        let body = serde_json::to_vec(message).expect("messages serialize to JSON");
        self.respond(tiny_http::Response::from_data(body));
    }

    /// Responds with a status and a text.
    pub fn text(self, status: u16, text: &str) {
        self.respond(tiny_http::Response::from_string(text).with_status_code(status));
    }

    /// Responds with status 503 and reports that the request was not executed.
    pub fn reply_not_run(self, reason: &str) {
        let header = tiny_http::Header::from_bytes(NOT_RUN_HEADER, "1").expect("a valid header");
        let response = tiny_http::Response::from_string(reason).with_status_code(503);
        self.respond(response.with_header(header));
    }

    /// Closes the connection without a response, as a process does when it crashes.
    pub fn close_connection(self) {
        drop(self.request.into_writer());
    }

    /// Starts a response of server-sent events.
    pub fn stream(self) -> io::Result<EventStream> {
        let mut writer = self.request.into_writer();
        writer.write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
              transfer-encoding: chunked\r\nconnection: close\r\n\r\n",
        )?;
        Ok(EventStream { writer })
    }

    fn respond<R: Read>(self, response: tiny_http::Response<R>) {
        // The client may have closed the connection.
        let _ = self.request.respond(response);
    }
}

/// Response that consists of server-sent events.
pub struct EventStream {
    writer: Box<dyn Write + Send>,
}

impl EventStream {
    /// Sends one event.
    pub fn send(&mut self, data: &str) -> io::Result<()> {
        let event = format!("data: {data}\n\n");
        write!(self.writer, "{:x}\r\n{event}\r\n", event.len())?;
        self.writer.flush()
    }

    /// Ends the response. Without it, the client receives a truncated stream.
    pub fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}

/// Request handler of a stand-in.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, call: Call);
}

/// Running server; it stops when this value is dropped.
pub struct Server {
    address: String,
    server: Arc<tiny_http::Server>,
    threads: Vec<JoinHandle<()>>,
}

impl Server {
    /// Starts a server on the loopback address `listen` with `threads` threads.
    pub fn start<H: Handler>(listen: &str, threads: usize, handler: Arc<H>) -> Result<Server> {
        let is_loopback =
            listen.parse::<SocketAddr>().is_ok_and(|address| address.ip().is_loopback());
        if !is_loopback {
            let reason = "not a loopback address and port".to_owned();
            return Err(Error::Listen { address: listen.to_owned(), reason });
        }
        let server = tiny_http::Server::http(listen)
            .map_err(|e| Error::Listen { address: listen.to_owned(), reason: e.to_string() })?;
        let address = server.server_addr().to_string();
        let server = Arc::new(server);
        let spawn = |_| {
            let (server, handler) = (Arc::clone(&server), Arc::clone(&handler));
            thread::Builder::new()
                .stack_size(THREAD_STACK_BYTES)
                .spawn(move || {
                    while let Ok(request) = server.recv() {
                        handler.handle(Call::new(request));
                    }
                })
                .context(ThreadSnafu)
        };
        let threads = (0..threads).map(spawn).collect::<Result<_>>()?;
        Ok(Server { address, server, threads })
    }

    /// Returns the address and port that the server listens on.
    pub fn address(&self) -> &str {
        &self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        for _ in &self.threads {
            self.server.unblock();
        }
    }
}

/// Sleeps for `duration`, to simulate work.
pub fn pause(duration: Duration) {
    if !duration.is_zero() {
        thread::sleep(duration);
    }
}
