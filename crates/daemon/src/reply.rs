//! Answers to HTTP requests, from the actors to the thread that holds the connection.

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

/// A part of an answer.
#[derive(Debug)]
pub enum ReplyPart {
    /// The whole answer.
    Whole(Whole),
    /// An answer whose events follow.
    StreamStart,
    /// One server-sent event.
    Event(String),
    /// The end of the events.
    StreamEnd,
}

/// A whole answer.
#[derive(Debug)]
pub struct Whole {
    /// HTTP status.
    pub status: u16,
    /// Time after which to come back.
    pub retry_after: Option<Duration>,
    /// The body.
    pub body: Bytes,
}

/// Events that may wait for a slow reader.
const MAX_WAITING: usize = 4096;

/// The actors' end of one answer. Dropped without an answer, the reader gets an error.
#[derive(Debug)]
pub struct Reply {
    parts: Sender<ReplyPart>,
    waiting: Arc<AtomicUsize>,
}

/// The connection's end of one answer.
#[derive(Debug)]
pub struct ReplyReader {
    parts: Receiver<ReplyPart>,
    waiting: Arc<AtomicUsize>,
}

/// Both ends of one answer.
pub fn pair() -> (Reply, ReplyReader) {
    let (tx, rx) = channel();
    let waiting = Arc::new(AtomicUsize::new(0));
    (Reply { parts: tx, waiting: Arc::clone(&waiting) }, ReplyReader { parts: rx, waiting })
}

impl Reply {
    /// Answers with a document.
    pub fn json<T: Serialize>(self, message: &T) {
        let body = serde_json::to_vec(message).expect("messages are plain data");
        self.whole(200, Bytes::from(body));
    }

    /// Answers with a status and a body.
    pub fn whole(self, status: u16, body: Bytes) {
        self.send(ReplyPart::Whole(Whole { status, retry_after: None, body }));
    }

    /// Refuses the request.
    pub fn refuse(self, refusal: &Refusal) {
        let answer = refusal.answer();
        let retry_after = answer.retry_after_ms.map(Duration::from_millis);
        let body = Bytes::from(serde_json::to_vec(&answer).expect("messages are plain data"));
        self.send(ReplyPart::Whole(Whole { status: refusal.status(), retry_after, body }));
    }

    /// Starts an answer of events.
    pub fn start_stream(&self) {
        self.send(ReplyPart::StreamStart);
    }

    /// Sends an event; `false` if the reader is too slow or gone.
    pub fn event<T: Serialize>(&self, message: &T) -> bool {
        let text = serde_json::to_string(message).expect("messages are plain data");
        self.waiting.load(Ordering::Relaxed) < MAX_WAITING && self.send(ReplyPart::Event(text))
    }

    /// Ends an answer of events that came whole.
    pub fn end_stream(self) {
        self.send(ReplyPart::Event("[DONE]".to_owned()));
        self.send(ReplyPart::StreamEnd);
    }

    /// Ends an answer of events with a refusal.
    pub fn refuse_stream(self, refusal: &Refusal) {
        let text = serde_json::to_string(&refusal.answer()).expect("messages are plain data");
        self.send(ReplyPart::Event(text));
        self.send(ReplyPart::StreamEnd);
    }

    fn send(&self, part: ReplyPart) -> bool {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        self.parts.send(part).is_ok()
    }
}

impl ReplyReader {
    /// Waits for the next part; `None` if the actors dropped their end.
    pub fn next(&self) -> Option<ReplyPart> {
        let part = self.parts.recv().ok()?;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        Some(part)
    }
}
