//! Start and stop of one daemon.

use std::{
    io,
    sync::mpsc,
    thread::{self, JoinHandle},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use buckthornfall_core::fleet::Place;
use buckthornfall_proto::{
    messages::{HostState, ListedHost},
    settings::Settings,
};
use log::info;
use snafu::{ResultExt, Snafu};
use stakker::{actor, fwd_to, ret_nop, sync::Channel, Stakker};

use crate::{
    actors::{
        node::{self, Node, NodeArgs, NodeEvent},
        view::Identity,
    },
    clock::Clock,
    http::{HttpEvent, HttpServer},
    options::DaemonLimits,
    peers::PeerListener,
    telemetry::Telemetry,
};

/// Error at the start of a daemon.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listening socket cannot be opened.
    #[snafu(display("cannot listen on {address:?}: {source}"))]
    Listen {
        /// The listening address.
        address: String,
        /// The I/O error.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// The I/O error.
        source: io::Error,
    },
    /// The daemon's main thread ended before it served requests.
    #[snafu(display("the daemon exited during startup"))]
    Ended,
}

/// Result of an operation of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Maximum sleep of the main loop.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// One daemon.
pub struct Daemon;

/// A running daemon.
pub struct DaemonHandle {
    /// Entry of this daemon for the host list.
    pub listed: ListedHost,
    events: Channel<NodeEvent>,
    thread: JoinHandle<()>,
}

impl DaemonHandle {
    /// Requests a graceful shutdown.
    pub fn stop(&self) {
        self.events.send(NodeEvent::Stop);
    }

    /// Returns a function that requests a graceful shutdown and may be called from any thread.
    pub fn stopper(&self) -> impl Fn() + Send + 'static {
        let events = self.events.clone();
        move || {
            events.send(NodeEvent::Stop);
        }
    }

    /// Returns whether the daemon has exited.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits until the daemon has exited.
    pub fn join(self) {
        // The panic hook has already printed a panic of the thread.
        let _ = self.thread.join();
    }
}

impl Daemon {
    /// Starts a daemon on its own threads.
    pub fn start(settings: Settings) -> Result<DaemonHandle> {
        let http = HttpServer::bind(&settings.listen)
            .context(ListenSnafu { address: settings.listen.clone() })?;
        let peers = PeerListener::bind(&settings.peer_listen)
            .context(ListenSnafu { address: settings.peer_listen.clone() })?;
        let listed = ListedHost {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            address: http.address().to_owned(),
            peer_address: peers.address().to_string(),
            state: HostState::Live,
        };
        let telemetry = Telemetry::new();
        let (ready, started) = mpsc::channel();
        let own_host = listed.clone();
        let thread = telemetry
            .clone()
            .spawn("daemon", move || run(settings, own_host, http, peers, telemetry, &ready))
            .context(ThreadSnafu)?;
        let events = started.recv().map_err(|_| Error::Ended)?;
        info!(host = listed.host.as_str(), address = listed.address.as_str(), peers = listed.peer_address.as_str(); "started");
        Ok(DaemonHandle { listed, events, thread })
    }
}

fn run(
    settings: Settings,
    own_host: ListedHost,
    mut http: HttpServer,
    peer_listener: PeerListener,
    telemetry: Telemetry,
    ready: &mpsc::Sender<Channel<NodeEvent>>,
) {
    let identity = Identity {
        place: Place {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        },
        incarnation: incarnation(),
        clock: Clock::start(),
    };
    let limits = DaemonLimits::from(&settings);
    let http_threads = limits.http_threads;
    let mut stakker = Stakker::new(Instant::now());
    let main_thread = thread::current();
    stakker.set_poll_waker(move || main_thread.unpark());
    let s = &mut stakker;
    let args = NodeArgs {
        identity,
        settings,
        limits,
        own_host,
        peer_listener,
        telemetry: telemetry.clone(),
    };
    let node = actor!(s, Node::init(args), ret_nop!());
    let (events, _guard) = node::channel(s, &node);
    let http_events = fwd_to!([node], on_http() as (HttpEvent));
    let (http_events, _http_guard) = Channel::new(s, http_events);
    if http.start(http_threads, &http_events, &telemetry).is_err() {
        return;
    }
    if ready.send(events).is_err() {
        return;
    }
    while stakker.not_shutdown() {
        stakker.run(Instant::now(), false);
        let wait = stakker.next_wait_max(Instant::now(), MAX_SLEEP, false);
        thread::park_timeout(wait);
        stakker.poll_wake();
    }
    http.stop();
}

/// Returns the Unix time in milliseconds, counted from 1970, which increases with each start on the
/// same host. It is only compared with the incarnations of that host.
fn incarnation() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_millis() as u64
}
