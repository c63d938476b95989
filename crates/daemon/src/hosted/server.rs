//! HTTP listeners and their connections.

use std::{
    cell::Cell,
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{ready, Context, Poll},
    time::Duration,
};

use buckthornfall_core::{desired::Limits, Now};
use bytes::Bytes;
use hyper::{
    body::{Body, Frame, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use log::{info, warn};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpSocket, TcpStream},
    task::AbortHandle,
    time::sleep,
};

use super::{
    body::{RelayError, ResponseBody},
    clock, entry,
    node::Node,
};
use crate::tasks;

/// Minimum buffer size that hyper accepts for a request head.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Size of the buffers of a caller's connection, for about 10 MB/s within a region. They do not grow: what
/// lies in them for callers who read slowly, or for bodies that are not read yet, counts as memory of the
/// process.
const BUFFER_BYTES: u32 = 64 << 10;
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Interval between checks for idle connections and late request heads.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a new connection to a leaving daemon stays open for its first request.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);
/// Delay after a failed accept, for example when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// Requests of callers and of the platform.
    Requests,
    /// Metrics in the Prometheus text format.
    Metrics,
}

/// Listens on `addr` and serves HTTP on each connection, until the daemon closes its listeners.
pub async fn listen(node: &Rc<Node>, addr: SocketAddr, kind: ListenerKind) -> io::Result<()> {
    let served = Rc::clone(node);
    let listener = accept(addr, move |stream| serve(Rc::clone(&served), stream, kind)).await?;
    node.listeners.borrow_mut().push(listener);
    Ok(())
}

/// Listens on `addr` and runs `serve` for each connection. The listener closes when the task is aborted.
pub async fn accept<F>(
    addr: SocketAddr,
    serve: impl Fn(TcpStream) -> F + 'static,
) -> io::Result<AbortHandle>
where
    F: Future<Output = ()> + 'static,
{
    let listener = Rc::new(bind(addr)?);
    let serve = Rc::new(serve);
    let start = move || accept_all(Rc::clone(&listener), addr, Rc::clone(&serve));
    let task = tokio::task::spawn_local(tasks::restart_after_panics("accept", start));
    Ok(task.abort_handle())
}

async fn accept_all<F>(
    listener: Rc<TcpListener>,
    addr: SocketAddr,
    serve: Rc<impl Fn(TcpStream) -> F>,
) where
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(stream));
            }
            Err(e) => {
                warn!(address:% = addr, error:% = e; "accept_failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Binds a listener. Its connections inherit the sizes of its buffers.
fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(BUFFER_BYTES)?;
    socket.set_send_buffer_size(BUFFER_BYTES)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Activity on one connection.
struct Activity {
    node: Rc<Node>,
    in_flight: Cell<usize>,
    /// Whether no bytes have arrived yet.
    is_unused: Cell<bool>,
    /// When the last response ended, or the connection was opened.
    last_end: Cell<Now>,
    /// When the first bytes arrived of a request head that is not complete yet.
    head_since: Cell<Option<Now>>,
    /// Since when the caller has not taken what is to be sent to it.
    blocked_since: Cell<Option<Now>>,
}

impl Activity {
    fn new(node: &Rc<Node>) -> Rc<Activity> {
        Rc::new(Activity {
            node: Rc::clone(node),
            in_flight: Cell::new(0),
            is_unused: Cell::new(true),
            last_end: Cell::new(clock::now()),
            head_since: Cell::new(None),
            blocked_since: Cell::new(None),
        })
    }

    /// Returns whether a request head has begun to arrive and is not complete yet.
    fn has_partial_head(&self) -> bool {
        self.head_since.get().is_some()
    }

    /// Returns whether the first request on a new connection may still be on its way.
    fn awaits_first_request(&self) -> bool {
        self.is_unused.get() && !self.is_idle(FIRST_REQUEST_TIME)
    }

    fn is_idle(&self, timeout: Duration) -> bool {
        self.in_flight.get() == 0 && clock::now().saturating_sub(self.last_end.get()) > timeout
    }

    fn on_write(&self, result: &Poll<io::Result<usize>>) {
        let since = self.blocked_since.get().unwrap_or_else(clock::now);
        self.set_blocked(result.is_pending().then_some(since));
    }

    fn set_blocked(&self, since: Option<Now>) {
        let was_blocked = self.blocked_since.replace(since).is_some();
        let count = &self.node.blocked_connections;
        count.set(count.get() + usize::from(since.is_some()) - usize::from(was_blocked));
    }

    /// Returns whether the caller has taken nothing for longer than `timeout`.
    fn is_blocked(&self, timeout: Duration) -> bool {
        let since = self.blocked_since.get();
        since.is_some_and(|since| clock::now().saturating_sub(since) > timeout)
    }

    /// Returns whether an incomplete request head has been arriving for longer than `timeout`.
    fn is_head_late(&self, timeout: Duration) -> bool {
        let since = self.head_since.get();
        since.is_some_and(|since| clock::now().saturating_sub(since) > timeout)
    }
}

impl Drop for Activity {
    fn drop(&mut self) {
        self.set_blocked(None);
    }
}

/// Counts a request as in flight on its connection until its response has been sent.
struct ActivityGuard(Rc<Activity>);

impl ActivityGuard {
    fn new(activity: &Rc<Activity>) -> ActivityGuard {
        activity.in_flight.set(activity.in_flight.get() + 1);
        activity.head_since.set(None);
        ActivityGuard(Rc::clone(activity))
    }
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.last_end.set(clock::now());
    }
}

/// Body of a response during which its connection is not idle.
struct ActiveBody {
    body: ResponseBody,
    _guard: ActivityGuard,
}

impl Body for ActiveBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Stream of a connection that records when a request head starts to arrive, and whether the peer takes
/// what is sent.
struct MonitoredStream {
    stream: TcpStream,
    activity: Rc<Activity>,
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        let activity = &self.activity;
        if buf.filled().len() == before {
            return Poll::Ready(result);
        }
        activity.is_unused.set(false);
        if activity.in_flight.get() == 0 && activity.head_since.get().is_none() {
            activity.head_since.set(Some(clock::now()));
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.activity.on_write(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.activity.on_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

async fn serve(node: Rc<Node>, stream: TcpStream, kind: ListenerKind) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let buffer_bytes = |limits: &Limits| limits.header_bytes.max(MIN_BUFFER_BYTES) * 2;
    let max_buffer_bytes = buffer_bytes(&node.limits());
    let activity = Activity::new(&node);
    let stream = MonitoredStream { stream, activity: Rc::clone(&activity) };
    let (service_activity, service_node) = (Rc::clone(&activity), Rc::clone(&node));
    let service = service_fn(move |req| {
        let (activity, node) = (Rc::clone(&service_activity), Rc::clone(&service_node));
        async move {
            let guard = ActivityGuard::new(&activity);
            let response = match kind {
                ListenerKind::Requests => entry::handle(node, req).await,
                ListenerKind::Metrics => entry::metrics(&node),
            };
            Ok::<_, Infallible>(response.map(|body| ActiveBody { body, _guard: guard }))
        }
    });
    let conn = http1::Builder::new()
        .max_buf_size(max_buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let mut closing = false;
    loop {
        tokio::select! {
            // Errors of a caller's connection need no handling.
            _ = conn.as_mut() => return,
            () = node.stop.notified(), if !closing => {}
            () = sleep(CHECK_INTERVAL) => {}
        }
        let limits = node.limits();
        if activity.is_head_late(limits.header_timeout) {
            info!(limit_ms = limits.header_timeout.as_millis() as u64; "head_not_in_time");
            return;
        }
        if activity.is_blocked(limits.idle_timeout) {
            info!(limit_ms = limits.idle_timeout.as_millis() as u64; "response_not_taken");
            return;
        }
        // The buffer of an open connection cannot grow.
        let is_too_small = buffer_bytes(&limits) > max_buffer_bytes;
        let is_due = node.is_leaving() || is_too_small || activity.is_idle(limits.idle_timeout);
        // A shutdown while a head arrives would leave the request without an answer.
        let expects_request = activity.has_partial_head() || activity.awaits_first_request();
        if !closing && is_due && !expects_request {
            closing = true;
            conn.as_mut().graceful_shutdown();
        }
    }
}
