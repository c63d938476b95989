//! Listeners and their connections.

use std::{
    cell::Cell, convert::Infallible, future::Future, net::SocketAddr, rc::Rc, time::Duration,
};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use log::warn;
use tokio::{
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
pub async fn listen(node: &Rc<Node>, addr: SocketAddr, surface: Surface) -> std::io::Result<()> {
    let node = Rc::clone(node);
    accept(addr, move |stream| serve(Rc::clone(&node), stream, surface)).await
}

/// Listens on `addr` and carries out `serve` for each connection.
pub async fn accept<F>(
    addr: SocketAddr,
    serve: impl Fn(TcpStream) -> F + 'static,
) -> std::io::Result<()>
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

/// Requests on one connection, and when the last one ended.
struct Activity {
    open: Cell<usize>,
    last: Cell<buckthornfall_core::Now>,
}

async fn serve(node: Rc<Node>, stream: TcpStream, surface: Surface) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = node.desired().map(|desired| desired.limits.clone()).unwrap_or_default();
    let activity = Rc::new(Activity { open: Cell::new(0), last: Cell::new(clock::now()) });
    let (of_service, owner) = (Rc::clone(&activity), Rc::clone(&node));
    let service = service_fn(move |req| {
        let (activity, node) = (Rc::clone(&of_service), Rc::clone(&owner));
        async move {
            activity.open.set(activity.open.get() + 1);
            let reply = match surface {
                Surface::Requests => entry::handle(node, req).await,
                Surface::Metrics => entry::metrics(&node),
            };
            activity.open.set(activity.open.get() - 1);
            activity.last.set(clock::now());
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
        let idle = activity.open.get() == 0
            && clock::now().saturating_sub(activity.last.get()) > limits.idle_timeout;
        if !closing && (node.is_leaving() || idle) {
            closing = true;
            conn.as_mut().graceful_shutdown();
        }
    }
}
