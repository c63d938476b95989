//! HTTP/1.1 client with a connection pool, for requests to servers and to the store.

use std::{
    cell::RefCell,
    collections::VecDeque,
    io,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use buckthornfall_platform::headers;
use buckthornfall_proto::{digest::fingerprint, http_status, ids::Fingerprint};
use bytes::Bytes;
use http::{header, HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use snafu::{ensure, OptionExt, ResultExt, Snafu};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::{self, AbortHandle},
    time::timeout,
};

use super::{hold::Pieces, request_body::RequestBody};

/// Why a request has no response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The connection failed; nothing was sent.
    #[snafu(display("cannot connect to {addr}: {reason}"))]
    Connect {
        /// Address of the peer.
        addr: SocketAddr,
        /// Whether the peer did not respond at all.
        hung: bool,
        /// The cause.
        reason: String,
    },
    /// The request was sent, at least in part, and no complete response was received.
    #[snafu(display("no answer from {addr}: {source}"))]
    NoAnswer {
        /// Address of the peer.
        addr: SocketAddr,
        /// Whether the connection had been used for a request before.
        reused: bool,
        /// The cause.
        source: hyper::Error,
    },
    /// The response exceeds the maximum size.
    #[snafu(display("an answer of more than {limit} bytes from {addr}"))]
    TooLong {
        /// Address of the peer.
        addr: SocketAddr,
        /// Maximum size in bytes.
        limit: usize,
    },
    /// The daemon holds as many bytes of responses as it may.
    #[snafu(display("no memory for an answer of more than {held} bytes from {addr}"))]
    NoMemory {
        /// Address of the peer.
        addr: SocketAddr,
        /// Bytes of the response that were received.
        held: usize,
    },
    /// The response belongs to another request, for example a late duplicate.
    #[snafu(display("an answer to another request from {addr}"))]
    Mismatched {
        /// Address of the peer.
        addr: SocketAddr,
    },
    /// The status code is not one of a final response.
    #[snafu(display("an answer with the status {status} from {addr}"))]
    InvalidStatus {
        /// Address of the peer.
        addr: SocketAddr,
        /// The status code.
        status: StatusCode,
    },
    /// No complete response was received within the timeout.
    #[snafu(display("no answer from {addr} within {timeout:?}"))]
    TimedOut {
        /// Address of the peer.
        addr: SocketAddr,
        /// The timeout.
        timeout: Duration,
    },
    /// No response head was received on a reused connection for much longer than the peer usually takes.
    #[snafu(display("no answer from {addr} on a reused connection within {limit:?}"))]
    Silent {
        /// Address of the peer.
        addr: SocketAddr,
        /// The limit.
        limit: Duration,
    },
}

impl Error {
    /// Returns whether the peer may have crashed: no complete response was received, rather than one that
    /// cannot be used.
    pub fn may_be_crash(&self) -> bool {
        matches!(self, Error::NoAnswer { .. })
    }

    /// Returns whether the request failed on a reused connection, which the peer may close at any
    /// time.
    pub fn is_stale_connection(&self) -> bool {
        matches!(self, Error::NoAnswer { reused: true, .. })
    }

    /// Returns whether a reused connection was silent, so that a new one may work.
    pub fn is_silent_connection(&self) -> bool {
        matches!(self, Error::Silent { .. })
    }
}

/// Result type of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Idle timeout of connections whose peer does not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for which an idle connection is kept, whatever its peer states.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Margin subtracted from the idle timeout that the peer states, so that no request is sent while
/// the peer closes the connection.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);

/// Size of a connection's receive buffer, for about 2.5 MB/s over a link between regions. Those of responses
/// that wait for callers who read slowly stay full.
const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;
/// Size of a connection's send buffer. What lies in it counts as on its way to the server.
const SEND_BUFFER_BYTES: u32 = 128 << 10;
/// Maximum size of a response head: four times the maximum size of a request head.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum size of a response body that is read whole; above the largest object in the store (8 MiB).
pub const MAX_BODY_BYTES: usize = 9 << 20;
/// Maximum size of a response to a request of the daemon's own, and of a refusal.
pub const MAX_OWN_BODY_BYTES: usize = 256 << 10;

/// Wait for a response head after which a reused connection counts as silent; above the usual wait for a
/// slot of a server.
const SILENCE: Duration = Duration::from_millis(1_000);
/// The same at least, on a connection that was idle for long; shorter than the attempts that another one
/// may follow.
const MIN_SILENCE: Duration = Duration::from_millis(300);
/// Wait for a response head after which a reused connection counts as silent, as a multiple of the peer's
/// usual time.
const SILENCE_FACTOR: u32 = 6;
/// The same if the time left is short.
const MIN_SILENCE_FACTOR: u32 = 2;
/// Part of the time left after which a request is repeated on a new connection.
const SILENCE_SHARE: u32 = 3;
/// Weight of a new value in the usual time to the response head.
const HEAD_TIME_EWMA_WEIGHT: f64 = 0.2;
/// Age of the last response on a connection up to which a request that must not be repeated may use it.
const MAX_TRUSTED_AGE: Duration = Duration::from_millis(1_000);

/// Number of requests of a connection whose keys are remembered. A late duplicate of a response takes the
/// place of the next one, so that only the last request would have to be known.
const MAX_SENT_KEYS: usize = 64;

/// Hash of a request's id. A late duplicate of a response passes for the response to any further request
/// with the same key.
pub type RequestKey = Fingerprint;

/// Returns the key of a request by its id, which is empty if the request has none.
pub fn request_key(id: &[u8]) -> RequestKey {
    fingerprint(&[id])
}

/// Which idle connections a request may use. An idle connection may have fallen silent without a reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any; the request may be repeated on a new connection.
    Any,
    /// Those that had a response lately; the request must not be repeated.
    Trusted,
    /// None.
    Never,
}

/// A connection; closed when dropped. If it is dropped while a response has been due for long, the idle
/// connections to the peer that are no younger are closed too: they may have fallen silent with it.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    /// Pool that the connection was last put into.
    pool: Weak<Peers>,
    /// When a request was sent whose response head has not been received.
    awaited_since: Option<Instant>,
    /// When the last response was received, or the connection was opened.
    heard_at: Instant,
    /// Time to the last response head.
    head_time: Option<Duration>,
    /// Usual time of the peer to a response head.
    usual: Duration,
    tx: http1::SendRequest<RequestBody>,
    task: AbortHandle,
    /// Number of requests sent on the connection.
    requests_sent: u32,
    /// Keys of the last requests.
    sent: VecDeque<RequestKey>,
    idle_timeout: Duration,
    /// Start time of the process at the other end, in Unix milliseconds, if it was asked; `None` within
    /// if it does not report one.
    peer_start: Option<Option<u64>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        let Some(since) = self.awaited_since.filter(|_| self.requests_sent > 1) else { return };
        if since.elapsed() < MIN_SILENCE.max(self.usual * MIN_SILENCE_FACTOR) {
            return;
        }
        if let Some(pool) = self.pool.upgrade() {
            pool.close_unheard(self.addr, since);
        }
    }
}

impl Connection {
    /// Opens a connection.
    pub async fn open(addr: SocketAddr, connect_timeout: Duration) -> Result<Connection> {
        let connect = async {
            let stream = connect(addr).await.map_err(|e| e.to_string())?;
            stream.set_nodelay(true).map_err(|e| e.to_string())?;
            let mut builder = http1::Builder::new();
            builder.max_buf_size(MAX_HEAD_BYTES);
            builder.handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())
        };
        let connected = timeout(connect_timeout, connect).await.ok();
        let connected = connected.context(TimedOutSnafu { addr, timeout: connect_timeout });
        let connected =
            connected.map_err(|e| Error::Connect { addr, hung: true, reason: e.to_string() })?;
        let (tx, conn) =
            connected.map_err(|reason| Error::Connect { addr, hung: false, reason })?;
        // Errors of the connection are reported by the requests sent on it.
        let task = task::spawn_local(async move { drop(conn.await) }).abort_handle();
        Ok(Connection {
            addr,
            pool: Weak::new(),
            awaited_since: None,
            heard_at: Instant::now(),
            head_time: None,
            usual: Duration::ZERO,
            tx,
            task,
            requests_sent: 0,
            sent: VecDeque::new(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            peer_start: None,
        })
    }

    /// Returns the start time of the process at the other end, as set by `set_peer_start`.
    pub fn peer_start(&self) -> Option<Option<u64>> {
        self.peer_start
    }

    /// Records the start time that the process at the other end reports.
    pub fn set_peer_start(&mut self, started_ms: Option<u64>) {
        self.peer_start = Some(started_ms);
    }

    /// Returns whether the connection was used for more than one request, so that a response may be
    /// a late one to an earlier request.
    pub fn is_reused(&self) -> bool {
        self.requests_sent > 1
    }

    /// Returns whether the connection had a response lately.
    fn is_trusted(&self) -> bool {
        self.heard_at.elapsed() <= MAX_TRUSTED_AGE
    }

    /// Returns the wait for a response head after which the connection counts as silent.
    fn silence(&self, time_left: Duration) -> Duration {
        let limit = SILENCE.max(self.usual * SILENCE_FACTOR);
        if self.is_trusted() {
            return limit;
        }
        let min = MIN_SILENCE.max(self.usual * MIN_SILENCE_FACTOR);
        limit.min(time_left / SILENCE_SHARE).max(min)
    }

    fn record_sent(&mut self, key: RequestKey) {
        self.requests_sent += 1;
        if self.sent.len() == MAX_SENT_KEYS {
            self.sent.pop_front();
        }
        self.sent.push_back(key);
    }

    /// Sends a request and returns the response head, with a body that is yet to be read.
    pub async fn send(
        &mut self,
        req: Request<impl Into<RequestBody>>,
    ) -> Result<Response<Incoming>> {
        let reused = self.requests_sent > 0;
        let addr = self.addr;
        let id = req.headers().get(headers::ATTEMPT).cloned();
        self.record_sent(request_key(id.as_ref().map_or(b"", |id| id.as_bytes())));
        let sent_at = Instant::now();
        self.awaited_since = Some(sent_at);
        let sent = self.tx.send_request(req.map(Into::into)).await;
        self.awaited_since = None;
        let response = sent.context(NoAnswerSnafu { addr, reused })?;
        self.heard_at = Instant::now();
        self.head_time = Some(self.heard_at - sent_at);
        if is_mismatched(&response, id.as_ref()) {
            self.idle_timeout = Duration::ZERO;
            return MismatchedSnafu { addr }.fail();
        }
        let status = response.status();
        if !http_status::is_final(status.as_u16()) {
            self.idle_timeout = Duration::ZERO;
            return InvalidStatusSnafu { addr, status }.fail();
        }
        self.idle_timeout = idle_timeout(&response);
        Ok(response)
    }

    /// Like `send`, for a request that may be repeated on a new connection: gives up a reused connection
    /// on which no response head arrives for much longer than usual, so that `time_left` suffices for
    /// the repetition.
    pub async fn send_repeatable(
        &mut self,
        req: Request<impl Into<RequestBody>>,
        time_left: Duration,
    ) -> Result<Response<Incoming>> {
        if self.requests_sent == 0 {
            return self.send(req).await;
        }
        let limit = self.silence(time_left);
        let addr = self.addr;
        match timeout(limit, self.send(req)).await {
            Ok(response) => response,
            Err(_) => {
                metrics::counter!("silent_connections_total").increment(1);
                log::info!(addr:% = addr, limit_ms = limit.as_millis() as u64; "connection_silent");
                SilentSnafu { addr, limit }.fail()
            }
        }
    }

    /// Reads the body of a response, of at most `limit` bytes. If this fails, the connection must not go
    /// back to the pool.
    pub async fn read(
        &self,
        response: Response<Incoming>,
        limit: usize,
    ) -> Result<Response<Bytes>> {
        let addr = self.addr;
        let (head, body) = response.into_parts();
        match Limited::new(body, limit).collect().await {
            Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
            Err(e) => match e.downcast::<hyper::Error>() {
                Ok(source) => Err(Error::NoAnswer { addr, reused: false, source: *source }),
                Err(e) => {
                    debug_assert!(e.is::<LengthLimitError>());
                    TooLongSnafu { addr, limit }.fail()
                }
            },
        }
    }

    /// Like `read`, for a response of which only the head is of interest.
    pub async fn discard(
        &self,
        response: Response<Incoming>,
        limit: usize,
    ) -> Result<Response<Bytes>> {
        let addr = self.addr;
        let (head, mut body) = response.into_parts();
        let mut bytes = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.context(NoAnswerSnafu { addr, reused: false })?;
            bytes += frame.data_ref().map_or(0, Bytes::len);
            ensure!(bytes <= limit, TooLongSnafu { addr, limit });
        }
        Ok(Response::from_parts(head, Bytes::new()))
    }

    /// Reads the body of a response as far as the budget and `limit` allow, and all of it if
    /// `must_end`.
    pub async fn read_held(
        &self,
        body: &mut Incoming,
        pieces: &mut Pieces,
        limit: usize,
        must_end: bool,
    ) -> Result<ReadEnd> {
        let addr = self.addr;
        while let Some(frame) = body.frame().await {
            let frame = frame.context(NoAnswerSnafu { addr, reused: false })?;
            let Ok(data) = frame.into_data() else { continue };
            let is_allowed = pieces.push(data);
            if pieces.len() <= limit && is_allowed {
                continue;
            }
            if !must_end {
                return Ok(ReadEnd::Partial);
            }
            ensure!(is_allowed, NoMemorySnafu { addr, held: pieces.len() });
            return TooLongSnafu { addr, limit }.fail();
        }
        Ok(ReadEnd::Whole)
    }
}

/// How far a body was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadEnd {
    /// To its end.
    Whole,
    /// Until the daemon could hold no more of it.
    Partial,
}

/// Opens a socket whose buffers do not grow, as what lies in them counts as memory of the process
/// where responses wait for their callers.
async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.connect(addr).await
}

/// Returns whether a response belongs to another request than the one with `id`. A response to a
/// request without an id has no id.
fn is_mismatched<B>(response: &Response<B>, id: Option<&HeaderValue>) -> bool {
    response.headers().get(headers::ATTEMPT).is_some_and(|echoed| Some(echoed) != id)
}

/// Returns whether a response is delimited by its framing, not by the end of its connection.
pub fn is_delimited(headers: &HeaderMap) -> bool {
    let names = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    names.iter().any(|name| headers.contains_key(name))
}

fn idle_timeout<B>(response: &Response<B>) -> Duration {
    let value = response.headers().get("keep-alive").and_then(|value| value.to_str().ok());
    let stated = value
        .and_then(|value| value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.parse().ok())
        .map(|seconds| Duration::from_secs(seconds).min(MAX_IDLE_TIMEOUT));
    let closes = response.headers().get(header::CONNECTION).is_some_and(|value| value == "close");
    if closes {
        return Duration::ZERO;
    }
    stated.map_or(DEFAULT_IDLE_TIMEOUT, |stated| stated.saturating_sub(IDLE_TIMEOUT_MARGIN))
}

#[derive(Debug)]
struct Idle {
    conn: Connection,
    until: Instant,
}

/// What is kept of one peer.
#[derive(Debug, Default)]
struct Peer {
    /// The most recently used last.
    idle: Vec<Idle>,
    /// Usual time to the response head on connections that were kept.
    head_time: Option<Duration>,
}

impl Peer {
    fn record_head_time(&mut self, took: Duration) {
        let usual = self.head_time.map_or(took, |usual| {
            usual.mul_f64(1.0 - HEAD_TIME_EWMA_WEIGHT) + took.mul_f64(HEAD_TIME_EWMA_WEIGHT)
        });
        self.head_time = Some(usual);
    }
}

/// Peers by address.
#[derive(Debug, Default)]
struct Peers(RefCell<FxHashMap<SocketAddr, Peer>>);

impl Peers {
    /// Closes the idle connections to `addr` on which nothing was received since `since`.
    fn close_unheard(&self, addr: SocketAddr, since: Instant) {
        let mut peers = self.0.borrow_mut();
        let Some(peer) = peers.get_mut(&addr) else { return };
        let kept = peer.idle.len();
        peer.idle.retain(|idle| idle.conn.heard_at > since);
        let closed = kept - peer.idle.len();
        if closed > 0 {
            metrics::counter!("unheard_connections_closed_total").increment(closed as u64);
            log::info!(addr:% = addr, closed; "unheard_connections_closed");
        }
    }
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    peers: Rc<Peers>,
    /// Whether a connection takes only one request of each key.
    separates_keys: bool,
}

impl Pool {
    /// Creates a pool of connections to peers that may send a response twice.
    pub fn separating_keys() -> Pool {
        Pool { separates_keys: true, ..Pool::default() }
    }

    /// Returns an idle connection that may be used for a request with this key, or opens one.
    pub async fn get(
        &self,
        addr: SocketAddr,
        key: RequestKey,
        reuse: Reuse,
        connect_timeout: Duration,
    ) -> Result<Connection> {
        if let Some(conn) = self.take(addr, key, reuse) {
            return Ok(conn);
        }
        metrics::counter!("connections_opened_total").increment(1);
        Connection::open(addr, connect_timeout).await
    }

    /// Returns whether there is a usable idle connection to `addr`.
    pub fn has_idle(&self, addr: SocketAddr) -> bool {
        let peers = self.peers.0.borrow();
        let now = Instant::now();
        let usable = |idle: &Idle| idle.until > now && idle.conn.tx.is_ready();
        peers.get(&addr).is_some_and(|peer| peer.idle.iter().any(usable))
    }

    fn take(&self, addr: SocketAddr, key: RequestKey, reuse: Reuse) -> Option<Connection> {
        let mut peers = self.peers.0.borrow_mut();
        let peer = peers.get_mut(&addr)?;
        let now = Instant::now();
        peer.idle.retain(|idle| idle.until > now && idle.conn.tx.is_ready());
        let may_take = |idle: &Idle| {
            let is_fit = match reuse {
                Reuse::Any => true,
                Reuse::Trusted => idle.conn.is_trusted(),
                Reuse::Never => false,
            };
            is_fit && (!self.separates_keys || !idle.conn.sent.contains(&key))
        };
        let newest = peer.idle.iter().rposition(may_take)?;
        let mut conn = peer.idle.remove(newest).conn;
        conn.usual = peer.head_time.unwrap_or_default();
        Some(conn)
    }

    /// Returns a connection to the pool; its last response must have been read to the end.
    pub fn put(&self, mut conn: Connection) {
        if conn.tx.is_closed() || conn.idle_timeout.is_zero() {
            return;
        }
        let until = Instant::now() + conn.idle_timeout;
        conn.pool = Rc::downgrade(&self.peers);
        let mut peers = self.peers.0.borrow_mut();
        let peer = peers.entry(conn.addr).or_default();
        if let Some(took) = conn.head_time.take() {
            conn.heard_at = Instant::now();
            peer.record_head_time(took);
        }
        peer.idle.push(Idle { conn, until });
    }

    /// Closes all idle connections to `addr`.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.peers.0.borrow_mut().remove(&addr);
    }

    /// Closes connections whose idle timeout has passed.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut peers = self.peers.0.borrow_mut();
        peers.values_mut().for_each(|peer| peer.idle.retain(|idle| idle.until > now));
        peers.retain(|_, peer| !peer.idle.is_empty());
    }

    /// Sends a request and reads the whole response, of at most `limit` bytes, within `call_timeout`.
    pub async fn call(
        &self,
        addr: SocketAddr,
        req: Request<Bytes>,
        connect_timeout: Duration,
        call_timeout: Duration,
        limit: usize,
    ) -> Result<Response<Bytes>> {
        let id = req.headers().get(headers::ATTEMPT);
        let key = request_key(id.map_or(b"", |id| id.as_bytes()));
        let connect_timeout = connect_timeout.min(call_timeout);
        let mut conn = self.get(addr, key, Reuse::Any, connect_timeout).await?;
        let exchange = async {
            let response = conn.send(req).await?;
            conn.read(response, limit).await
        };
        let response = timeout(call_timeout, exchange)
            .await
            .ok()
            .context(TimedOutSnafu { addr, timeout: call_timeout })??;
        self.put(conn);
        Ok(response)
    }
}
