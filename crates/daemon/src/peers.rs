//! Messages between daemons: one HTTP/2 stream with bincode bodies per request and answer.

use std::{
    collections::HashMap,
    fmt,
    future::Future,
    io,
    net::SocketAddr,
    sync::Arc,
    thread::JoinHandle,
    time::{Duration, Instant},
};

use buckthornfall_proto::{
    codec::{self, MAX_MESSAGE_BYTES},
    ids::HostId,
    messages::PeerMessage,
};
use bytes::Bytes;
use h2::{
    client::{ResponseFuture, SendRequest},
    server::SendResponse,
    Ping, PingPong, RecvStream,
};
use http::{HeaderName, Request, Response, StatusCode};
use log::{debug, info, warn};
use snafu::{ResultExt, Snafu};
use stakker::sync::Channel;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot, watch, Mutex, Notify, Semaphore},
    task::{spawn_local, LocalSet},
    time::{sleep, timeout},
};

use crate::telemetry::Telemetry;

/// Error of a message exchange.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection could not be established; nothing was sent.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Address of the other daemon.
        address: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The connection failed.
    #[snafu(display("HTTP/2 with {address}: {source}"))]
    Http2 {
        /// Address of the other daemon.
        address: String,
        /// The HTTP/2 error.
        source: h2::Error,
    },
    /// The message cannot be encoded or decoded.
    #[snafu(display("{source}"))]
    Codec {
        /// The codec error.
        source: codec::Error,
    },
    /// The message exceeds the maximum length.
    #[snafu(display("the message is longer than {MAX_MESSAGE_BYTES} bytes"))]
    TooLong,
    /// The other daemon did not accept the message.
    #[snafu(display("{address} answered with status {status}"))]
    Refused {
        /// Address of the other daemon.
        address: String,
        /// Status of its response.
        status: StatusCode,
    },
    /// The exchange timed out.
    #[snafu(display("no answer from {address} in time"))]
    Timeout {
        /// Address of the other daemon.
        address: String,
    },
}

/// Result of an operation of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An event for the actors.
pub enum PeerEvent {
    /// Another daemon sent a message and is waiting for the answer.
    Request {
        /// The message.
        message: PeerMessage,
        /// Receives the answer; drop it to send none.
        reply: oneshot::Sender<PeerMessage>,
    },
    /// An exchange with another daemon ended.
    Answer {
        /// The answer; `None` if the exchange failed.
        message: Option<PeerMessage>,
    },
}

/// A message to another daemon.
#[derive(Debug)]
pub struct OutgoingMessage {
    /// Host of the other daemon.
    pub host: HostId,
    /// Address for messages of other daemons.
    pub address: String,
    /// The message.
    pub message: PeerMessage,
}

/// Maximum number of messages queued for sending.
const QUEUE_CAPACITY: usize = 256;
/// Maximum number of exchanges in flight: outgoing ones in total, incoming ones per connection.
const MAX_EXCHANGES: usize = 64;
/// Timeout of an exchange in either direction.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of connecting to another daemon: many times the round trip between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Age of the last ping that was answered above which a connection is checked before it is used: it may have
/// fallen silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Timeout of the check: several round trips between regions.
const PING_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval between pings on a connection while requests of callers are in progress on it.
const REQUEST_PING_INTERVAL: Duration = Duration::from_millis(300);
/// Time without an answer to such a ping after which the requests end: less than callers wait before they send
/// theirs elsewhere.
const REQUEST_PING_TIMEOUT: Duration = Duration::from_millis(700);
/// Initial flow control window of an HTTP/2 stream.
const WINDOW_BYTES: u32 = 1024 * 1024;
/// Flow control window of a connection that carries messages.
const CONNECTION_WINDOW_BYTES: u32 = 65_535;
/// Initial flow control window of a request that is passed on.
const REQUEST_WINDOW_BYTES: u32 = 64 * 1024;

/// Header of a caller's request that a daemon passes on, with the name of its host; absent from
/// messages.
pub const HOP: HeaderName = HeaderName::from_static("buckthornfall-hop");

/// Handler of messages from other daemons.
pub trait MessageHandler: Clone + 'static {
    /// Handles a message and returns the answer, or `None` to send none.
    fn handle(&self, message: PeerMessage) -> impl Future<Output = Option<PeerMessage>>;

    /// Serves a request that does not carry a message: one of a caller that another daemon passes on.
    fn serve_request(
        &self,
        _request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) -> impl Future<Output = ()> {
        async move {
            if let Err(e) = respond_with(&mut respond, StatusCode::NOT_IMPLEMENTED, None) {
                debug!(error:% = e; "peer_request_not_answered");
            }
        }
    }
}

impl MessageHandler for Channel<PeerEvent> {
    async fn handle(&self, message: PeerMessage) -> Option<PeerMessage> {
        let (reply, answer) = oneshot::channel();
        self.send(PeerEvent::Request { message, reply });
        timeout(EXCHANGE_TIMEOUT, answer).await.ok()?.ok()
    }
}

/// Handle to the thread that exchanges messages with other daemons.
pub struct Peers {
    outgoing: mpsc::Sender<OutgoingMessage>,
}

impl Peers {
    /// Queues a message; returns `false` if the queue is full.
    pub fn send(&self, message: OutgoingMessage) -> bool {
        self.outgoing.try_send(message).is_ok()
    }
}

/// Listening socket for messages of other daemons.
pub struct PeerListener {
    listener: std::net::TcpListener,
    address: SocketAddr,
}

impl PeerListener {
    /// Opens the listening socket.
    pub fn bind(listen: &str) -> io::Result<PeerListener> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        Ok(PeerListener { listener, address })
    }

    /// Returns the listening address and port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts the thread, which ends when the returned `Peers` is dropped.
    pub fn start(
        self,
        events: Channel<PeerEvent>,
        telemetry: &Telemetry,
    ) -> io::Result<(Peers, JoinHandle<()>)> {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = telemetry.spawn("peers", move || {
            LocalSet::new().block_on(&runtime, async {
                match TcpListener::from_std(self.listener) {
                    Ok(listener) => run(listener, rx, events).await,
                    Err(e) => warn!(error:% = e; "peer_listener_failed"),
                }
            });
        })?;
        Ok((Peers { outgoing: tx }, thread))
    }
}

async fn run(
    listener: TcpListener,
    mut outgoing: mpsc::Receiver<OutgoingMessage>,
    events: Channel<PeerEvent>,
) {
    let connections = Arc::new(Connections::default());
    let exchanges = Arc::new(Semaphore::new(MAX_EXCHANGES));
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    spawn_local(serve(socket, events.clone()));
                }
                Err(e) => warn!(error:% = e; "peer_accept_failed"),
            },
            message = outgoing.recv() => {
                let Some(message) = message else { return };
                let Ok(permit) = Arc::clone(&exchanges).try_acquire_owned() else { continue };
                let (connections, events) = (Arc::clone(&connections), events.clone());
                spawn_local(async move {
                    send(&connections, message, &events).await;
                    drop(permit);
                });
            }
        }
    }
}

async fn send(connections: &Connections, outgoing: OutgoingMessage, events: &Channel<PeerEvent>) {
    let OutgoingMessage { host, address, message } = outgoing;
    let exchange = timeout(EXCHANGE_TIMEOUT, connections.exchange(&address, &message)).await;
    let result = exchange.unwrap_or_else(|_| TimeoutSnafu { address: &address }.fail());
    let message = match result {
        Ok(answer) => Some(answer),
        Err(e) => {
            connections.forget(&address).await;
            debug!(host = host.as_str(), error:% = e; "peer_exchange_failed");
            None
        }
    };
    events.send(PeerEvent::Answer { message });
}

/// An open connection to another daemon.
#[derive(Clone)]
struct OpenConnection {
    sender: SendRequest<Bytes>,
    check: Arc<Mutex<Check>>,
}

impl fmt::Debug for OpenConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OpenConnection").field("sender", &self.sender).finish_non_exhaustive()
    }
}

/// When a connection was last known to work.
struct Check {
    ping_pong: PingPong,
    /// `None` once a ping was not answered.
    answered_at: Option<Instant>,
}

impl OpenConnection {
    /// Returns whether the connection works; asks if that was not known lately.
    async fn is_working(&self) -> bool {
        let check = &mut *self.check.lock().await;
        let Some(answered_at) = check.answered_at else { return false };
        if answered_at.elapsed() < CHECK_INTERVAL {
            return true;
        }
        // Stays so if this call is cancelled, as the ping is still under way then.
        check.answered_at = None;
        let pong = timeout(PING_TIMEOUT, check.ping_pong.ping(Ping::opaque())).await;
        if matches!(pong, Ok(Ok(_))) {
            check.answered_at = Some(Instant::now());
        }
        check.answered_at.is_some()
    }
}

/// Open connections to other daemons, by address.
#[derive(Debug)]
pub struct Connections {
    open: Mutex<HashMap<String, OpenConnection>>,
    /// Flow control window of a stream and of the whole connection.
    windows: (u32, u32),
}

impl Default for Connections {
    fn default() -> Connections {
        Connections { open: Mutex::default(), windows: (WINDOW_BYTES, CONNECTION_WINDOW_BYTES) }
    }
}

impl Connections {
    /// Creates connections for requests that are passed on. The window of a connection has room for those of
    /// its streams, so that one slow caller does not block the others.
    pub fn for_requests() -> Connections {
        let stream_window = REQUEST_WINDOW_BYTES;
        let windows = (stream_window, stream_window * MAX_EXCHANGES as u32);
        Connections { windows, ..Connections::default() }
    }

    /// Sends a message and returns the answer. After an error, the caller must `forget` the
    /// connection.
    pub async fn exchange(&self, address: &str, message: &PeerMessage) -> Result<PeerMessage> {
        let body = Bytes::from(codec::encode(message).context(CodecSnafu)?);
        metrics::counter!("peer_bytes_sent_total").increment(body.len() as u64);
        let sender = self.connection(address).await?;
        let mut sender = sender.ready().await.context(Http2Snafu { address })?;
        let request =
            Request::post(format!("http://{address}/")).body(()).expect("the URI is valid");
        let (response, mut stream) =
            sender.send_request(request, false).context(Http2Snafu { address })?;
        stream.send_data(body, true).context(Http2Snafu { address })?;
        let response = response.await.context(Http2Snafu { address })?;
        let status = response.status();
        if status != StatusCode::OK {
            return RefusedSnafu { address, status }.fail();
        }
        let body = read(address, response.into_body()).await?;
        codec::decode(&body).context(CodecSnafu)
    }

    async fn connection(&self, address: &str) -> Result<SendRequest<Bytes>> {
        let known = self.open.lock().await.get(address).cloned();
        if let Some(known) = known {
            if known.is_working().await {
                return Ok(known.sender);
            }
            metrics::counter!("peer_connections_replaced_total").increment(1);
            info!(address; "peer_connection_replaced");
            self.forget(address).await;
        }
        let socket = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let socket = socket.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let socket = socket.context(ConnectSnafu { address })?;
        socket.set_nodelay(true).context(ConnectSnafu { address })?;
        let (sender, mut connection) = h2::client::Builder::new()
            .initial_window_size(self.windows.0)
            .initial_connection_window_size(self.windows.1)
            .handshake(socket)
            .await
            .context(Http2Snafu { address })?;
        let ping_pong = connection.ping_pong().expect("the connection is new");
        spawn_local(async move {
            if let Err(e) = connection.await {
                debug!(error:% = e; "peer_connection_ended");
            }
        });
        let check = Check { ping_pong, answered_at: Some(Instant::now()) };
        let opened = OpenConnection { sender, check: Arc::new(Mutex::new(check)) };
        self.open.lock().await.insert(address.to_owned(), opened.clone());
        Ok(opened.sender)
    }

    /// Sends a request with `HOP` and returns the response, whose body is yet to be received. An error
    /// of this call means that nothing was sent.
    pub async fn request(
        &self,
        address: &str,
        request: Request<()>,
        body: Bytes,
    ) -> Result<ResponseFuture> {
        let sender = self.connection(address).await?;
        let mut sender = sender.ready().await.context(Http2Snafu { address })?;
        let is_empty = body.is_empty();
        let (response, mut stream) =
            sender.send_request(request, is_empty).context(Http2Snafu { address })?;
        if !is_empty {
            stream.send_data(body, true).context(Http2Snafu { address })?;
        }
        Ok(response)
    }

    /// Removes the connection to a daemon; it closes once its exchanges are complete.
    pub async fn forget(&self, address: &str) {
        self.open.lock().await.remove(address);
    }
}

/// Serves the messages of one connection, and the requests that the other daemon passes on. Requests end with
/// their connection, also when the other daemon is no longer heard.
pub async fn serve(socket: TcpStream, handler: impl MessageHandler) {
    // Without TCP_NODELAY, answers are only slower.
    let _ = socket.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .max_concurrent_streams(MAX_EXCHANGES as u32)
        .handshake(socket)
        .await;
    let mut connection = match handshake {
        Ok(connection) => connection,
        Err(e) => {
            debug!(error:% = e; "peer_handshake_failed");
            return;
        }
    };
    let ping_pong = connection.ping_pong().expect("the connection is new");
    let requests = Requests::default();
    let mut silence = std::pin::pin!(requests.silence(ping_pong));
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = &mut silence => {
                info!(requests = requests.count(); "peer_silent");
                return;
            }
        };
        let Some(Ok((request, respond))) = accepted else { return };
        let handler = handler.clone();
        if request.headers().contains_key(HOP) {
            let mut is_open = requests.start();
            spawn_local(async move {
                tokio::select! {
                    () = handler.serve_request(request, respond) => {}
                    // Fails once the connection is no longer served.
                    _ = is_open.changed() => {}
                }
            });
            continue;
        }
        spawn_local(async move {
            if let Err(e) = serve_exchange(request.into_body(), respond, &handler).await {
                warn!(error:% = e; "peer_message_refused");
            }
        });
    }
}

/// Requests of callers in progress on one connection. Each holds a receiver, which tells the end of the connection.
struct Requests {
    open: watch::Sender<()>,
    started: Notify,
}

impl Default for Requests {
    fn default() -> Requests {
        Requests { open: watch::channel(()).0, started: Notify::new() }
    }
}

impl Requests {
    fn start(&self) -> watch::Receiver<()> {
        self.started.notify_one();
        self.open.subscribe()
    }

    fn count(&self) -> usize {
        self.open.receiver_count()
    }

    /// Waits until the other daemon answers no ping while requests are in progress.
    async fn silence(&self, mut ping_pong: PingPong) {
        loop {
            if self.count() == 0 {
                self.started.notified().await;
            }
            sleep(REQUEST_PING_INTERVAL).await;
            if self.count() == 0 {
                continue;
            }
            let mut pong = std::pin::pin!(ping_pong.ping(Ping::opaque()));
            // The second half is for an answer that arrived while this process was paused.
            let half = REQUEST_PING_TIMEOUT / 2;
            let is_answered = matches!(timeout(half, &mut pong).await, Ok(Ok(_)))
                || matches!(timeout(half, &mut pong).await, Ok(Ok(_)));
            if !is_answered {
                return;
            }
        }
    }
}

async fn serve_exchange(
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
    handler: &impl MessageHandler,
) -> Result<()> {
    let address = "a peer";
    let message = match read(address, body).await {
        Ok(body) => codec::decode(&body).context(CodecSnafu),
        Err(e) => Err(e),
    };
    let message = match message {
        Ok(message) => message,
        Err(e) => {
            respond_with(&mut respond, StatusCode::BAD_REQUEST, None)?;
            return Err(e);
        }
    };
    match handler.handle(message).await {
        Some(message) => {
            let body = Bytes::from(codec::encode(&message).context(CodecSnafu)?);
            metrics::counter!("peer_bytes_sent_total").increment(body.len() as u64);
            respond_with(&mut respond, StatusCode::OK, Some(body))
        }
        None => respond_with(&mut respond, StatusCode::NO_CONTENT, None),
    }
}

fn respond_with(
    respond: &mut SendResponse<Bytes>,
    status: StatusCode,
    body: Option<Bytes>,
) -> Result<()> {
    let address = "a peer";
    let response = Response::builder().status(status).body(()).expect("the status is valid");
    let mut stream =
        respond.send_response(response, body.is_none()).context(Http2Snafu { address })?;
    if let Some(body) = body {
        stream.send_data(body, true).context(Http2Snafu { address })?;
    }
    Ok(())
}

async fn read(address: &str, mut body: RecvStream) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.context(Http2Snafu { address })?;
        if bytes.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return TooLongSnafu.fail();
        }
        let length = chunk.len();
        bytes.extend_from_slice(&chunk);
        body.flow_control().release_capacity(length).context(Http2Snafu { address })?;
    }
    metrics::counter!("peer_bytes_received_total").increment(bytes.len() as u64);
    Ok(bytes)
}
