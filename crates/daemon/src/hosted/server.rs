//! Listeners and their connections.

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

use buckthornfall_core::Now;

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use log::{info, warn};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{clock, entry, node::Node};

/// Shortest buffer that hyper takes for the head of a request.
const MIN_BUFFER: usize = 8 << 10;
/// Time between two looks at whether a connection is idle.
const IDLE_CHECK: Duration = Duration::from_secs(1);
/// Pause after a connection that could not be accepted, as when no descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Surface {
    /// Callers and the platform.
    Requests,
    /// Metrics in the Prometheus text format.
    Metrics,
}

/// Listens on `addr` and serves each connection.
pub async fn listen(node: &Rc<Node>, addr: SocketAddr, surface: Surface) -> io::Result<()> {
    let node = Rc::clone(node);
    accept(addr, move |stream| serve(Rc::clone(&node), stream, surface)).await
}

/// Listens on `addr` and carries out `serve` for each connection.
pub async fn accept<F>(addr: SocketAddr, serve: impl Fn(TcpStream) -> F + 'static) -> io::Result<()>
where
    F: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(serve(stream));
                }
                Err(e) => {
                    warn!(address:% = addr, error:% = e; "accept_failed");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

/// Requests on one connection.
struct Activity {
    open: Cell<usize>,
    /// When the last one ended.
    last: Cell<Now>,
    /// When the first bytes came of a head that is not whole yet.
    head_since: Cell<Option<Now>>,
}

impl Activity {
    fn new() -> Rc<Activity> {
        let (open, head_since) = (Cell::new(0), Cell::new(None));
        Rc::new(Activity { open, last: Cell::new(clock::now()), head_since })
    }

    fn on_request(&self) {
        self.open.set(self.open.get() + 1);
        self.head_since.set(None);
    }

    fn on_answer(&self) {
        self.open.set(self.open.get() - 1);
        self.last.set(clock::now());
    }

    fn is_idle(&self, limit: Duration) -> bool {
        self.open.get() == 0 && clock::now().saturating_sub(self.last.get()) > limit
    }

    /// Whether a head has been on its way for longer than `limit`.
    fn is_head_late(&self, limit: Duration) -> bool {
        let since = self.head_since.get();
        since.is_some_and(|since| clock::now().saturating_sub(since) > limit)
    }
}

/// A caller's connection that notes when the head of a request begins to arrive.
struct Watched {
    stream: TcpStream,
    activity: Rc<Activity>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let end = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        let activity = &self.activity;
        let begins = activity.open.get() == 0 && activity.head_since.get().is_none();
        if begins && buf.filled().len() > before {
            activity.head_since.set(Some(clock::now()));
        }
        Poll::Ready(end)
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

async fn serve(node: Rc<Node>, stream: TcpStream, surface: Surface) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = node.desired().map(|desired| desired.limits.clone()).unwrap_or_default();
    let activity = Activity::new();
    let stream = Watched { stream, activity: Rc::clone(&activity) };
    let (of_service, owner) = (Rc::clone(&activity), Rc::clone(&node));
    let service = service_fn(move |req| {
        let (activity, node) = (Rc::clone(&of_service), Rc::clone(&owner));
        async move {
            activity.on_request();
            let reply = match surface {
                Surface::Requests => entry::handle(node, req).await,
                Surface::Metrics => entry::metrics(&node),
            };
            activity.on_answer();
            Ok::<_, Infallible>(reply)
        }
    });
    let conn = http1::Builder::new()
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER) * 2)
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let mut closing = false;
    loop {
        tokio::select! {
            // How a caller's connection ends changes nothing here.
            _ = conn.as_mut() => return,
            () = node.stop.notified(), if !closing => {}
            () = sleep(IDLE_CHECK) => {}
        }
        if activity.is_head_late(limits.header_timeout) {
            info!(limit_ms = limits.header_timeout.as_millis() as u64; "head_not_in_time");
            return;
        }
        if !closing && (node.is_leaving() || activity.is_idle(limits.idle_timeout)) {
            closing = true;
            conn.as_mut().graceful_shutdown();
        }
    }
}
