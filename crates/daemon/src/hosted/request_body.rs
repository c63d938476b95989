//! Bodies of requests, as they are sent to servers.

use std::{
    cell::Cell,
    convert::Infallible,
    future::pending,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use buckthornfall_core::server_bytes::SHORT_BODY_BYTES;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::sleep;

use super::{hold::Hold, server_bytes::OnWay};

/// Interval between checks whether a server reads on.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Checks in a row at which a server has read nothing, after which it has stopped reading. They are
/// counted, not timed, as this process may have been paused.
const MAX_IDLE_CHECKS: u32 = 8;

/// What a body in memory holds until it is sent and its request has ended: the budget of the daemon, and
/// bytes on their way to the server.
pub type BodyGuards = (Rc<Hold>, Rc<OnWay>);

/// Body of a request, sent in pieces as the server reads them.
pub struct RequestBody {
    rest: Bytes,
    progress: Progress,
    /// Dropped with the body: a server may respond before it has read all of it.
    _guards: Option<BodyGuards>,
}

impl RequestBody {
    /// Creates a body that holds `guards` until it is sent.
    pub fn new(body: Bytes, guards: BodyGuards) -> RequestBody {
        RequestBody { _guards: Some(guards), ..RequestBody::from(body) }
    }

    /// Returns how far the body is sent.
    pub fn progress(&self) -> Progress {
        self.progress.clone()
    }
}

impl From<Bytes> for RequestBody {
    fn from(body: Bytes) -> RequestBody {
        let progress = Progress(Rc::new(Cell::new(body.len())));
        RequestBody { rest: body, progress, _guards: None }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let size = self.rest.len().min(SHORT_BODY_BYTES);
        let piece = self.rest.split_to(size);
        self.progress.0.set(self.rest.len());
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// Number of bytes of a body that are still to be sent.
#[derive(Debug, Clone)]
pub struct Progress(Rc<Cell<usize>>);

impl Progress {
    /// Waits until the server has stopped reading the body. Short bodies are not watched, as they fit
    /// into the buffers of the connection.
    pub async fn stalled(&self) {
        let (mut rest, mut idle_checks) = (self.0.get(), 0);
        if rest <= SHORT_BODY_BYTES {
            return pending().await;
        }
        while idle_checks < MAX_IDLE_CHECKS {
            sleep(CHECK_INTERVAL).await;
            let is_idle = self.0.get() == rest && rest > 0;
            idle_checks = if is_idle { idle_checks + 1 } else { 0 };
            rest = self.0.get();
        }
    }
}
