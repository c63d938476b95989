//! HTTP client whose errors tell whether the request may have reached the server.

use std::{
    io::{self, Read},
    time::Duration,
};

use buckthornfall_proto::{event_stream::EventDecoder, http_status};
use bytes::Bytes;
use serde::{de::DeserializeOwned, Serialize};
use snafu::{ensure, Snafu};
use ureq::Agent;

/// Error of a request.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The request never reached the server.
    #[snafu(display("cannot connect to {url}: {reason}"))]
    NotSent {
        /// URL of the request.
        url: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The request was sent, but no complete response arrived.
    #[snafu(display("no answer from {url}: {reason}"))]
    NoReply {
        /// URL of the request.
        url: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The server responded with a status other than 200.
    #[snafu(display("{url} answered {status}: {body}"))]
    Status {
        /// URL of the request.
        url: String,
        /// HTTP status.
        status: u16,
        /// Body of the response.
        body: String,
    },
    /// The response does not conform to the protocol.
    #[snafu(display("the answer of {url} cannot be read: {reason}"))]
    Malformed {
        /// URL of the request.
        url: String,
        /// Cause of the failure.
        reason: String,
    },
}

/// Result type of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Header that a server sets if it did not execute the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Maximum size of a response body.
pub const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;
/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum size of an error response that is read in place of an event stream.
const MAX_ERROR_BYTES: u64 = 64 * 1024;
/// Size of the buffer for reading an event stream.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Options of an HTTP client.
#[derive(Debug, Clone, Copy)]
pub struct HttpOptions {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Timeout of a request including its response; `None` for streams.
    pub timeout: Option<Duration>,
    /// Timeout for receiving the response body.
    pub body_timeout: Option<Duration>,
    /// Whether connections are reused. A failed request on a reused connection may have reached
    /// the server.
    pub pooled: bool,
}

impl Default for HttpOptions {
    fn default() -> HttpOptions {
        HttpOptions {
            connect_timeout: Duration::from_secs(1),
            timeout: Some(Duration::from_secs(2)),
            body_timeout: None,
            pooled: false,
        }
    }
}

/// Name and value of a request header.
pub type Header<'a> = (&'a str, &'a str);

/// Complete response.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Whether the server reports that it did not execute the request.
    pub not_run: bool,
    /// Body of the response.
    pub body: Bytes,
}

/// Response whose body is an event stream.
pub struct EventStream {
    url: String,
    /// HTTP status.
    pub status: u16,
    /// Whether the server reports that it did not execute the request.
    pub not_run: bool,
    body: Box<dyn Read + Send + Sync>,
    decoder: EventDecoder,
}

impl EventStream {
    /// Returns the data of the next event; `None` at the end of the body.
    pub fn next_data(&mut self) -> Result<Option<Bytes>> {
        let mut piece = [0; READ_BUFFER_BYTES];
        loop {
            while let Some(event) = self.decoder.next_event() {
                if let Some(data) = event.data {
                    return Ok(Some(data));
                }
            }
            if self.decoder.held_bytes() > MAX_EVENT_BYTES {
                let reason = format!("an event exceeds {MAX_EVENT_BYTES} bytes");
                return MalformedSnafu { url: &self.url, reason }.fail();
            }
            match self.body.read(&mut piece) {
                Ok(0) => return Ok(None),
                Ok(count) => self.decoder.push(&piece[..count]),
                Err(e) => return NoReplySnafu { url: &self.url, reason: e.to_string() }.fail(),
            }
        }
    }

    /// Returns the start of the body as text, or the error message if reading fails. The body must
    /// not have been read before.
    pub fn text(&mut self) -> String {
        let mut text = String::new();
        let mut body = (&mut self.body).take(MAX_ERROR_BYTES);
        match body.read_to_string(&mut text) {
            Ok(_) => text,
            Err(e) => e.to_string(),
        }
    }
}

/// HTTP client.
#[derive(Debug, Clone)]
pub struct Http {
    agent: Agent,
    pooled: bool,
}

impl Http {
    /// Creates a client with these options.
    pub fn new(options: &HttpOptions) -> Http {
        let config = Agent::config_builder()
            .timeout_connect(Some(options.connect_timeout))
            .timeout_global(options.timeout)
            .timeout_recv_body(options.body_timeout)
            .http_status_as_error(false)
            .max_idle_connections_per_host(if options.pooled { 8 } else { 0 })
            .max_idle_connections(if options.pooled { 64 } else { 0 })
            .build();
        Http { agent: Agent::new_with_config(config), pooled: options.pooled }
    }

    /// Gets a JSON document.
    pub fn get_json<T: DeserializeOwned>(&self, url: &str, headers: &[Header<'_>]) -> Result<T> {
        let reply = self.get(url, headers)?;
        parse(url, &reply)
    }

    /// Posts a JSON document and parses the response as JSON.
    pub fn post_json<B: Serialize, T: DeserializeOwned>(
        &self,
        url: &str,
        headers: &[Header<'_>],
        body: &B,
    ) -> Result<T> {
        let body = serde_json::to_vec(body).expect("messages serialize to JSON");
        let reply = self.post(url, headers, &body)?;
        parse(url, &reply)
    }

    /// Gets a document.
    pub fn get(&self, url: &str, headers: &[Header<'_>]) -> Result<Reply> {
        let mut request = self.agent.get(url);
        for (name, value) in self.headers(headers) {
            request = request.header(name, value);
        }
        read_response(url, request.call())
    }

    /// Posts a body.
    pub fn post(&self, url: &str, headers: &[Header<'_>], body: &[u8]) -> Result<Reply> {
        read_response(url, self.send(self.agent.post(url), headers, body))
    }

    /// Puts a body.
    pub fn put(&self, url: &str, headers: &[Header<'_>], body: &[u8]) -> Result<Reply> {
        read_response(url, self.send(self.agent.put(url), headers, body))
    }

    /// Posts a body and returns the response as an event stream.
    pub fn post_events(
        &self,
        url: &str,
        headers: &[Header<'_>],
        body: &[u8],
    ) -> Result<EventStream> {
        match self.send(self.agent.post(url), headers, body) {
            Ok(response) => {
                let status = final_status(url, &response)?;
                let not_run = response.headers().contains_key(NOT_RUN_HEADER);
                let body: Box<dyn Read + Send + Sync> =
                    Box::new(response.into_body().into_reader());
                let decoder = EventDecoder::default();
                Ok(EventStream { url: url.to_owned(), status, not_run, body, decoder })
            }
            Err(e) => Err(classify_error(url, &e)),
        }
    }

    fn send(
        &self,
        mut request: ureq::RequestBuilder<ureq::typestate::WithBody>,
        headers: &[Header<'_>],
        body: &[u8],
    ) -> std::result::Result<ureq::http::Response<ureq::Body>, ureq::Error> {
        for (name, value) in self.headers(headers) {
            request = request.header(name, value);
        }
        request.header("content-type", "application/json").send(body)
    }

    fn headers<'a>(&self, headers: &'a [Header<'a>]) -> impl Iterator<Item = Header<'a>> {
        let close = (!self.pooled).then_some(("connection", "close"));
        headers.iter().copied().chain(close)
    }
}

fn read_response(
    url: &str,
    result: std::result::Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<Reply> {
    let mut response = result.map_err(|e| classify_error(url, &e))?;
    let status = final_status(url, &response)?;
    let not_run = response.headers().contains_key(NOT_RUN_HEADER);
    let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec();
    match body {
        Ok(body) => Ok(Reply { status, not_run, body: Bytes::from(body) }),
        Err(e) => NoReplySnafu { url, reason: e.to_string() }.fail(),
    }
}

/// Returns the status code of a response, if it is one of a final response.
fn final_status<B>(url: &str, response: &ureq::http::Response<B>) -> Result<u16> {
    let status = response.status().as_u16();
    ensure!(
        http_status::is_final(status),
        MalformedSnafu { url, reason: format!("the status {status} ends no request") }
    );
    Ok(status)
}

/// Parses the body of a response with status 200.
pub fn parse<T: DeserializeOwned>(url: &str, reply: &Reply) -> Result<T> {
    if reply.status != 200 {
        let body = String::from_utf8_lossy(&reply.body).into_owned();
        return StatusSnafu { url, status: reply.status, body }.fail();
    }
    serde_json::from_slice(&reply.body)
        .map_err(|e| Error::Malformed { url: url.to_owned(), reason: e.to_string() })
}

/// Converts an error. A request that failed before the connection was established cannot have
/// been executed.
fn classify_error(url: &str, error: &ureq::Error) -> Error {
    let not_sent = match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => true,
        ureq::Error::Io(e) => e.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        _ => false,
    };
    let (url, reason) = (url.to_owned(), error.to_string());
    if not_sent {
        Error::NotSent { url, reason }
    } else {
        Error::NoReply { url, reason }
    }
}
