//! Responses to HTTP requests, passed from the actors to the thread that serves the connection.

use std::{
    sync::{
        atomic::{AtomicUsize, Ordering},
        mpsc::{channel, Receiver, Sender},
        Arc,
    },
    time::Duration,
};

use buckthornfall_core::error::Refusal;
use bytes::Bytes;
use serde::Serialize;

/// A part of a response.
#[derive(Debug)]
pub enum ReplyPart {
    /// A full response, which has no further parts.
    Full(FullResponse),
    /// Start of an event stream.
    StreamStart,
    /// A server-sent event.
    Event(String),
    /// End of the event stream.
    StreamEnd,
}

/// A full response.
#[derive(Debug)]
pub struct FullResponse {
    /// HTTP status.
    pub status: u16,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Response body.
    pub body: Bytes,
}

/// Maximum number of events queued for a slow reader.
const MAX_QUEUED_EVENTS: usize = 4096;

/// The actors' end of a response. If it is dropped without a response, the caller gets an error.
#[derive(Debug)]
pub struct Reply {
    parts: Sender<ReplyPart>,
    queued: Arc<AtomicUsize>,
}

/// The connection's end of a response.
#[derive(Debug)]
pub struct ReplyReader {
    parts: Receiver<ReplyPart>,
    queued: Arc<AtomicUsize>,
}

/// Creates both ends of a response.
pub fn pair() -> (Reply, ReplyReader) {
    let (tx, rx) = channel();
    let queued = Arc::new(AtomicUsize::new(0));
    (Reply { parts: tx, queued: Arc::clone(&queued) }, ReplyReader { parts: rx, queued })
}

impl Reply {
    /// Responds with a JSON document.
    pub fn json<T: Serialize>(self, message: &T) {
        let body = serde_json::to_vec(message).expect("messages serialize to JSON");
        self.respond(200, Bytes::from(body));
    }

    /// Responds with a status and a body.
    pub fn respond(self, status: u16, body: Bytes) {
        self.send(ReplyPart::Full(FullResponse { status, retry_after: None, body }));
    }

    /// Responds with a refusal.
    pub fn refuse(self, refusal: &Refusal) {
        let answer = refusal.answer();
        let retry_after = answer.retry_after_ms.map(Duration::from_millis);
        let body = Bytes::from(serde_json::to_vec(&answer).expect("messages serialize to JSON"));
        self.send(ReplyPart::Full(FullResponse { status: refusal.status(), retry_after, body }));
    }

    /// Starts an event stream.
    pub fn start_stream(&self) {
        self.send(ReplyPart::StreamStart);
    }

    /// Sends an event; returns `false` if the reader is too slow or has disconnected.
    pub fn send_event<T: Serialize>(&self, message: &T) -> bool {
        let text = serde_json::to_string(message).expect("messages serialize to JSON");
        self.queued.load(Ordering::Relaxed) < MAX_QUEUED_EVENTS && self.send(ReplyPart::Event(text))
    }

    /// Ends an event stream that is complete.
    pub fn end_stream(self) {
        self.send(ReplyPart::Event("[DONE]".to_owned()));
        self.send(ReplyPart::StreamEnd);
    }

    /// Ends an event stream with a refusal.
    pub fn refuse_stream(self, refusal: &Refusal) {
        let text = serde_json::to_string(&refusal.answer()).expect("messages serialize to JSON");
        self.send(ReplyPart::Event(text));
        self.send(ReplyPart::StreamEnd);
    }

    fn send(&self, part: ReplyPart) -> bool {
        self.queued.fetch_add(1, Ordering::Relaxed);
        self.parts.send(part).is_ok()
    }
}

impl ReplyReader {
    /// Waits for the next part; returns `None` if the actors dropped their end.
    pub fn next(&self) -> Option<ReplyPart> {
        let part = self.parts.recv().ok()?;
        self.queued.fetch_sub(1, Ordering::Relaxed);
        Some(part)
    }
}
