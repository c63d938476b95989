//! HTTP/1.1 requests to servers and to the store, over connections that are kept.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::{Duration, Instant},
};

use buckthornfall_platform::headers;
use bytes::Bytes;
use http::{header, HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::{
    net::TcpStream,
    task::{self, AbortHandle},
    time::timeout,
};

/// Why a request has no answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection could be made; nothing was sent.
    #[snafu(display("cannot connect to {addr}: {reason}"))]
    Connect {
        /// The other side.
        addr: SocketAddr,
        /// What was seen.
        reason: String,
    },
    /// The request was sent, at least in part, and no whole answer came.
    #[snafu(display("no answer from {addr}: {source}"))]
    NoAnswer {
        /// The other side.
        addr: SocketAddr,
        /// Whether the connection had carried a request before.
        reused: bool,
        /// What was seen.
        source: hyper::Error,
    },
    /// The answer is longer than any that is expected.
    #[snafu(display("an answer of more than {limit} bytes from {addr}"))]
    TooLong {
        /// The other side.
        addr: SocketAddr,
        /// Most bytes that are read.
        limit: usize,
    },
    /// The answer belongs to another request, as a second copy that came late does.
    #[snafu(display("an answer to another request from {addr}"))]
    Foreign {
        /// The other side.
        addr: SocketAddr,
    },
    /// The answer did not come in time.
    #[snafu(display("no answer from {addr} within {limit:?}"))]
    TimedOut {
        /// The other side.
        addr: SocketAddr,
        /// The time that it had.
        limit: Duration,
    },
}

impl Error {
    /// Whether the other side closed a kept connection, as it may at any time.
    pub fn is_stale_connection(&self) -> bool {
        matches!(self, Error::NoAnswer { reused: true, .. })
    }
}

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// How long an idle connection is kept if the other side does not say.
const IDLE_DEFAULT: Duration = Duration::from_secs(10);
/// How long before the stated time an idle connection is given up, against a close that crosses.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Longest head of an answer, in bytes: four times the longest head of a request.
const HEAD_BYTES: usize = 64 << 10;
/// Longest body of an answer that is read whole, in bytes: above the largest object that the store
/// keeps (8 MiB), so that a daemon of 160 MB bears several without end at a time.
const BODY_BYTES: usize = 9 << 20;

/// One connection; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    tx: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Requests that it has carried.
    used: u32,
    idle_limit: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    async fn open(addr: SocketAddr, limit: Duration) -> Result<Connection> {
        let connect = async {
            let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
            stream.set_nodelay(true).map_err(|e| e.to_string())?;
            let mut builder = http1::Builder::new();
            builder.max_buf_size(HEAD_BYTES);
            builder.handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())
        };
        let connected = timeout(limit, connect).await.ok();
        let connected = connected.context(TimedOutSnafu { addr, limit });
        let connected = connected.map_err(|e| Error::Connect { addr, reason: e.to_string() })?;
        let (tx, conn) = connected.map_err(|reason| Error::Connect { addr, reason })?;
        // The end of a connection shows in its requests.
        let task = task::spawn_local(async move { drop(conn.await) }).abort_handle();
        Ok(Connection { addr, tx, task, used: 0, idle_limit: IDLE_DEFAULT })
    }

    /// Whether it has carried a request before the last one, so that a late answer may come on it.
    pub fn is_reused(&self) -> bool {
        self.used > 1
    }

    /// Sends a request and returns the head of the answer with the body to come.
    pub async fn send(&mut self, req: Request<Bytes>) -> Result<Response<Incoming>> {
        let reused = self.used > 0;
        self.used += 1;
        let addr = self.addr;
        let id = req.headers().get(headers::ATTEMPT).cloned();
        let sent = self.tx.send_request(req.map(Full::new)).await;
        let reply = sent.context(NoAnswerSnafu { addr, reused })?;
        if answers_another(&reply, id.as_ref()) {
            self.idle_limit = Duration::ZERO;
            return ForeignSnafu { addr }.fail();
        }
        self.idle_limit = idle_limit(&reply);
        Ok(reply)
    }

    /// Reads the rest of an answer. Without all of it the connection must not be kept.
    pub async fn read(&self, reply: Response<Incoming>) -> Result<Response<Bytes>> {
        let addr = self.addr;
        let (head, body) = reply.into_parts();
        match Limited::new(body, BODY_BYTES).collect().await {
            Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
            Err(e) => match e.downcast::<hyper::Error>() {
                Ok(source) => Err(Error::NoAnswer { addr, reused: false, source: *source }),
                Err(e) => {
                    debug_assert!(e.is::<LengthLimitError>());
                    TooLongSnafu { addr, limit: BODY_BYTES }.fail()
                }
            },
        }
    }
}

/// Whether an answer names another request than the one with `id`. Requests without an id get
/// answers without one.
fn answers_another<B>(reply: &Response<B>, id: Option<&HeaderValue>) -> bool {
    reply.headers().get(headers::ATTEMPT).is_some_and(|echoed| Some(echoed) != id)
}

fn idle_limit<B>(reply: &Response<B>) -> Duration {
    let value = reply.headers().get("keep-alive").and_then(|value| value.to_str().ok());
    let stated = value
        .and_then(|value| value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.parse().ok())
        .map(Duration::from_secs);
    let closes = reply.headers().get(header::CONNECTION).is_some_and(|value| value == "close");
    if closes {
        return Duration::ZERO;
    }
    stated.map_or(IDLE_DEFAULT, |stated| stated.saturating_sub(IDLE_MARGIN))
}

#[derive(Debug)]
struct Idle {
    conn: Connection,
    until: Instant,
}

/// Idle connections by address, those used last at the end.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<FxHashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// A kept connection, or a new one.
    pub async fn get(&self, addr: SocketAddr, limit: Duration) -> Result<Connection> {
        if let Some(conn) = self.take(addr) {
            return Ok(conn);
        }
        metrics::counter!("connections_opened_total").increment(1);
        Connection::open(addr, limit).await
    }

    /// Whether a connection to `addr` is idle.
    pub fn has_idle(&self, addr: SocketAddr) -> bool {
        let idle = self.idle.borrow();
        let now = Instant::now();
        let usable = |idle: &Idle| idle.until > now && idle.conn.tx.is_ready();
        idle.get(&addr).is_some_and(|kept| kept.iter().any(usable))
    }

    fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&addr)?;
        let now = Instant::now();
        while let Some(last) = kept.pop() {
            if last.until > now && last.conn.tx.is_ready() {
                return Some(last.conn);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn put(&self, conn: Connection) {
        if conn.tx.is_closed() || conn.idle_limit.is_zero() {
            return;
        }
        let until = Instant::now() + conn.idle_limit;
        let mut idle = self.idle.borrow_mut();
        idle.entry(conn.addr).or_default().push(Idle { conn, until });
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.values_mut().for_each(|kept| kept.retain(|idle| idle.until > now));
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Sends a request and reads the whole answer within `limit`.
    pub async fn call(
        &self,
        addr: SocketAddr,
        req: Request<Bytes>,
        connect_limit: Duration,
        limit: Duration,
    ) -> Result<Response<Bytes>> {
        let mut conn = self.get(addr, connect_limit.min(limit)).await?;
        let exchange = async {
            let reply = conn.send(req).await?;
            conn.read(reply).await
        };
        let reply =
            timeout(limit, exchange).await.ok().context(TimedOutSnafu { addr, limit })??;
        self.put(conn);
        Ok(reply)
    }
}
