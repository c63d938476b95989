//! Messages between daemons: one HTTP/2 stream with a bincode body for each request.

use std::{
    collections::HashMap, future::Future, io, net::SocketAddr, sync::Arc, thread::JoinHandle,
    time::Duration,
};

use buckthornfall_proto::{
    codec::{self, MAX_MESSAGE_BYTES},
    ids::HostId,
    messages::PeerMessage,
};
use bytes::Bytes;
use h2::{client::SendRequest, server::SendResponse, RecvStream};
use http::{Request, Response, StatusCode};
use log::{debug, warn};
use snafu::{ResultExt, Snafu};
use stakker::sync::Channel;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot, Mutex, Semaphore},
    task::{spawn_local, LocalSet},
    time::timeout,
};

use crate::telemetry::Telemetry;

/// Why a message was not exchanged.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection could be made; nothing was sent.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// The other daemon.
        address: String,
        /// What was seen.
        source: io::Error,
    },
    /// The connection failed.
    #[snafu(display("HTTP/2 with {address}: {source}"))]
    Http2 {
        /// The other daemon.
        address: String,
        /// What was seen.
        source: h2::Error,
    },
    /// The message cannot be encoded or decoded.
    #[snafu(display("{source}"))]
    Codec {
        /// What was seen.
        source: codec::Error,
    },
    /// The message is too long.
    #[snafu(display("the message is longer than {MAX_MESSAGE_BYTES} bytes"))]
    TooLong,
    /// The other daemon did not answer the message.
    #[snafu(display("{address} answered with status {status}"))]
    Refused {
        /// The other daemon.
        address: String,
        /// Status of its answer.
        status: StatusCode,
    },
    /// No answer came in time.
    #[snafu(display("no answer from {address} in time"))]
    Timeout {
        /// The other daemon.
        address: String,
    },
}

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// News for the actors.
pub enum PeerEvent {
    /// Another daemon sent a message and waits for the answer.
    Request {
        /// The message.
        message: PeerMessage,
        /// Where to answer; dropped for no answer.
        reply: oneshot::Sender<PeerMessage>,
    },
    /// Another daemon answered.
    Answer {
        /// The answer; `None` if none came.
        message: Option<PeerMessage>,
    },
}

/// A message to another daemon.
#[derive(Debug)]
pub struct Outgoing {
    /// Host of the other daemon.
    pub host: HostId,
    /// Its address for daemons.
    pub address: String,
    /// The message.
    pub message: PeerMessage,
}

/// Messages that may wait to be sent.
const QUEUE: usize = 256;
/// Exchanges under way at the same time.
const MAX_EXCHANGES: usize = 64;
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
const WINDOW_BYTES: u32 = 1024 * 1024;

/// Answers what other daemons send.
pub trait Answer: Clone + 'static {
    /// The answer to a message; `None` for none.
    fn answer(&self, message: PeerMessage) -> impl Future<Output = Option<PeerMessage>>;
}

impl Answer for Channel<PeerEvent> {
    async fn answer(&self, message: PeerMessage) -> Option<PeerMessage> {
        let (reply, answer) = oneshot::channel();
        self.send(PeerEvent::Request { message, reply });
        timeout(EXCHANGE_TIMEOUT, answer).await.ok()?.ok()
    }
}

/// The thread that carries messages between daemons.
pub struct Peers {
    outgoing: mpsc::Sender<Outgoing>,
}

impl Peers {
    /// Sends a message; `false` if too many wait.
    pub fn send(&self, message: Outgoing) -> bool {
        self.outgoing.try_send(message).is_ok()
    }
}

/// The listening socket of one daemon.
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

    /// Address and port that are listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts the thread; it ends when the returned sender is dropped.
    pub fn start(
        self,
        events: Channel<PeerEvent>,
        telemetry: &Telemetry,
    ) -> io::Result<(Peers, JoinHandle<()>)> {
        let (tx, rx) = mpsc::channel(QUEUE);
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
    mut outgoing: mpsc::Receiver<Outgoing>,
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

async fn send(connections: &Connections, outgoing: Outgoing, events: &Channel<PeerEvent>) {
    let Outgoing { host, address, message } = outgoing;
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

/// Open connections to other daemons, by address.
#[derive(Debug, Default)]
pub struct Connections {
    open: Mutex<HashMap<String, SendRequest<Bytes>>>,
}

impl Connections {
    /// Sends a message and returns the answer. A connection that fails is to be forgotten.
    pub async fn exchange(&self, address: &str, message: &PeerMessage) -> Result<PeerMessage> {
        let body = Bytes::from(codec::encode(message).context(CodecSnafu)?);
        metrics::counter!("peer_bytes_sent_total").increment(body.len() as u64);
        let sender = self.connection(address).await?;
        let mut sender = sender.ready().await.context(Http2Snafu { address })?;
        let request =
            Request::post(format!("http://{address}/")).body(()).expect("a valid request");
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
        if let Some(sender) = self.open.lock().await.get(address) {
            return Ok(sender.clone());
        }
        let socket = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
        socket.set_nodelay(true).context(ConnectSnafu { address })?;
        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .handshake(socket)
            .await
            .context(Http2Snafu { address })?;
        spawn_local(async move {
            if let Err(e) = connection.await {
                debug!(error:% = e; "peer_connection_ended");
            }
        });
        self.open.lock().await.insert(address.to_owned(), sender.clone());
        Ok(sender)
    }

    /// Closes the connection to a daemon once its exchanges have ended.
    pub async fn forget(&self, address: &str) {
        self.open.lock().await.remove(address);
    }
}

/// Answers the messages of one connection.
pub async fn serve(socket: TcpStream, answers: impl Answer) {
    // Without the option, answers are only slower.
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
    while let Some(Ok((request, respond))) = connection.accept().await {
        let answers = answers.clone();
        spawn_local(async move {
            if let Err(e) = answer(request.into_body(), respond, &answers).await {
                warn!(error:% = e; "peer_message_refused");
            }
        });
    }
}

async fn answer(
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
    answers: &impl Answer,
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
    match answers.answer(message).await {
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
    let response = Response::builder().status(status).body(()).expect("a valid response");
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
