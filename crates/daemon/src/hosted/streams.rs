//! Callers' streams: where a new one may begin, and where one that broke off goes on.

use std::{cell::RefCell, rc::Rc, time::Duration};

use buckthornfall_core::{
    backends::{Backend, SoftwareChoice},
    desired::{Route, RouteKind},
    held_bytes::Purpose,
    origins::{Begin, Origin},
    Now,
};
use buckthornfall_platform::headers;
use buckthornfall_proto::{
    digest::fingerprint,
    event_stream::EventDecoder,
    ids::{Fingerprint, ServiceName, SoftwareVersion},
};
use bytes::{Bytes, BytesMut};
use http::{header, request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use log::info;
use tokio::sync::oneshot;

use super::{
    access, clock,
    forward::header_text,
    hold::Hold,
    node::Node,
    origins::{self, RecordEnd, Resumed},
};

/// Time for which a stream whose caller states no deadline may be resumed.
const DEFAULT_RESUME_TIME: Duration = Duration::from_secs(600);
/// Maximum size of the first event of a stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// What a request may be sent to, by the software versions of servers.
pub enum Scope {
    /// Any server.
    Any,
    /// The servers of the version that began the stream.
    Resumed(SoftwareVersion),
    /// The servers at which a new stream may begin.
    New(NewStream),
}

/// A new stream that its caller may resume later.
pub struct NewStream {
    id: String,
    service: ServiceName,
    request: Fingerprint,
    /// Until when the caller waits.
    until: Now,
    /// Version in a record that may be in the store; the stream begins at no other one.
    recorded: RefCell<Option<SoftwareVersion>>,
}

/// A record that is being written, `None` if the stream needs none.
pub type PendingRecord = Option<oneshot::Receiver<RecordEnd>>;

/// A request together with the service that runs it.
pub struct Scoped {
    pub service: ServiceName,
    pub scope: Scope,
}

/// Determines the service of a request and the servers that may run it, or why none may.
pub async fn scope(
    node: &Rc<Node>,
    route: &Route,
    head: &request::Parts,
    body: &Bytes,
) -> Result<Scoped, &'static str> {
    let id = header_text(&head.headers, &headers::ATTEMPT);
    let resumed_stream = header_text(&head.headers, &headers::RESUMES);
    let is_resumed = head.headers.contains_key(headers::LAST_EVENT) || !resumed_stream.is_empty();
    if route.kind != RouteKind::Stream {
        return Ok(Scoped { service: target(route, id), scope: Scope::Any });
    }
    if !route.resumable {
        let service = target(route, id);
        return match is_resumed {
            true => Err("streams of this route cannot be resumed"),
            false => Ok(Scoped { service, scope: Scope::Any }),
        };
    }
    // A retry has an id of its own; the service is that of the attempt that began the stream.
    let first = if resumed_stream.is_empty() { id } else { resumed_stream };
    let service = target(route, first);
    // An account may resume its streams with another one of its keys.
    let credentials = header_text(&head.headers, &header::AUTHORIZATION);
    let sender = access::account(head).map_or(credentials, |account| &account.name);
    let host = header_text(&head.headers, &header::HOST);
    let request = fingerprint(&[host.as_bytes(), sender.as_bytes(), body]);
    if !is_resumed {
        let wait = headers::deadline(&head.headers).unwrap_or(DEFAULT_RESUME_TIME);
        let stream = NewStream {
            id: id.to_owned(),
            service: service.clone(),
            request,
            until: clock::now() + wait,
            recorded: RefCell::default(),
        };
        return Ok(Scoped { service, scope: Scope::New(stream) });
    }
    let stream = Some(resumed_stream).filter(|stream| !stream.is_empty());
    let found = origins::resolve(node, Resumed { service: &service, stream, request }).await;
    let outcome = found.as_ref().map_or("unknown", |(_, source)| *source);
    metrics::counter!("streams_resumed_total", "origin" => outcome).increment(1);
    let software = found.as_ref().map_or("", |(software, _)| software.as_str());
    let reason = found.as_ref().err().copied().unwrap_or_default();
    info!(request = id, stream = resumed_stream, service = service.as_str(), software, origin = outcome, reason;
        "stream_resumed");
    let (software, _) = found?;
    Ok(Scoped { service, scope: Scope::Resumed(software) })
}

fn target(route: &Route, id: &str) -> ServiceName {
    route.target(fingerprint(&[id.as_bytes()])).clone()
}

/// Software versions of the servers among which the next one is chosen.
pub enum Choice {
    /// Any version.
    Any,
    /// One version.
    Only(SoftwareVersion),
    /// Any version, for a new stream.
    New,
}

impl Choice {
    /// Returns the choice for a query.
    pub fn as_query(&self) -> SoftwareChoice<'_> {
        match self {
            Choice::Any => SoftwareChoice::Any,
            Choice::Only(software) => SoftwareChoice::Only(software),
            Choice::New => SoftwareChoice::New,
        }
    }
}

impl Scope {
    /// Returns whether the request resumes a stream.
    pub fn is_resumed(&self) -> bool {
        matches!(self, Scope::Resumed(_))
    }

    /// Returns whether the stream may have a record in the store; it begins at no other version.
    pub fn has_record(&self) -> bool {
        matches!(self, Scope::New(stream) if stream.recorded.borrow().is_some())
    }

    /// Returns the servers among which the next one is chosen; `None` if there are none now.
    pub fn choice(&self, node: &Node) -> Option<Choice> {
        match self {
            Scope::Any => Some(Choice::Any),
            Scope::Resumed(software) => Some(Choice::Only(software.clone())),
            Scope::New(stream) => {
                let origins = node.origins.borrow();
                let has_store = !node.store.is_unavailable();
                let choice = origins.choice(clock::now(), &stream.service, has_store)?;
                let recorded = stream.recorded.borrow();
                match (choice, recorded.as_deref()) {
                    (SoftwareChoice::Only(base), Some(recorded)) if base != recorded => None,
                    (_, Some(recorded)) => Some(Choice::Only(recorded.to_owned())),
                    (SoftwareChoice::Only(base), None) => Some(Choice::Only(base.to_owned())),
                    (SoftwareChoice::New, None) => Some(Choice::New),
                    (SoftwareChoice::Any, None) => Some(Choice::Any),
                }
            }
        }
    }
}

impl NewStream {
    fn origin(&self, software: &str) -> Origin {
        let (service, software) = (self.service.clone(), software.to_owned());
        Origin { service, software, request: self.request }
    }

    fn begin_rule(&self, node: &Node, software: &str) -> Begin {
        let now = clock::now();
        let wait = self.until.saturating_sub(now);
        node.origins.borrow().begin(now, &self.service, software, wait)
    }

    /// Starts to write the record of the stream if it needs one at a server of `software`.
    pub fn prepare(&self, node: &Rc<Node>, software: &str) -> Result<PendingRecord, &'static str> {
        match self.begin_rule(node, software) {
            Begin::Forbidden => Err("no stream may begin at this software version now"),
            Begin::Unrecorded => Ok(None),
            Begin::Recorded => Ok(Some(self.write(node, software))),
        }
    }

    fn write(&self, node: &Rc<Node>, software: &str) -> oneshot::Receiver<RecordEnd> {
        let (tx, rx) = oneshot::channel();
        *self.recorded.borrow_mut() = Some(software.to_owned());
        let (node, id) = (Rc::clone(node), self.id.clone());
        let (origin, until) = (self.origin(software), self.until);
        // The write goes on if the caller leaves, as it may have reached the store.
        tokio::task::spawn_local(async move {
            let end = origins::record(&node, &id, origin, until).await;
            let _ = tx.send(end);
        });
        rx
    }

    /// Waits until the first event may be passed on.
    pub async fn confirm(
        &self,
        node: &Rc<Node>,
        server: &Backend,
        pending: PendingRecord,
    ) -> Result<(), &'static str> {
        let mut pending = pending;
        loop {
            let is_recorded = pending.is_some();
            if let Some(rx) = pending.take() {
                match rx.await.unwrap_or(RecordEnd::Unknown) {
                    RecordEnd::Written => {}
                    RecordEnd::NotWritten => {
                        *self.recorded.borrow_mut() = None;
                        return Err("the origin of the stream cannot be recorded");
                    }
                    RecordEnd::Unknown => {
                        return Err("the origin of the stream may not be recorded")
                    }
                }
            }
            // The rule may have changed since the request was sent.
            match self.begin_rule(node, &server.software) {
                Begin::Forbidden => return Err("no stream may begin at this software version now"),
                Begin::Recorded if !is_recorded => {
                    pending = Some(self.write(node, &server.software));
                }
                Begin::Recorded | Begin::Unrecorded => break,
            }
        }
        let origin = self.origin(&server.software);
        node.origins.borrow_mut().remember(&self.id, origin, self.until);
        Ok(())
    }
}

/// Start of a stream.
pub enum Start {
    /// The first event, with what followed it so far.
    Event(Bytes),
    /// The stream ended before its first event; holds what was received.
    Ended(Bytes),
}

/// Reads a stream until its first event is whole.
pub async fn read_first_event(node: &Rc<Node>, body: &mut Incoming) -> Result<Start, String> {
    let mut hold = Hold::new(node, Purpose::Responses);
    let mut buf = BytesMut::new();
    let mut decoder = EventDecoder::default();
    loop {
        match body.frame().await {
            None => return Ok(Start::Ended(buf.freeze())),
            Some(Err(e)) => return Err(e.to_string()),
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                buf.extend_from_slice(&data);
                decoder.push(&data);
            }
        }
        while let Some(event) = decoder.next_event() {
            if event.data.is_some() {
                return Ok(Start::Event(buf.freeze()));
            }
        }
        if buf.len() > MAX_EVENT_BYTES {
            return Err("an event exceeds the maximum size".to_owned());
        }
        if !hold.resize(buf.len() + decoder.held_bytes()) {
            return Err("no memory for a long event".to_owned());
        }
    }
}
