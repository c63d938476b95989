//! Starts and stops one daemon.

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
        node::{self, Node, NodeEvent, NodeParts},
        view::Identity,
    },
    clock::Clock,
    http::{HttpEvent, HttpServer},
    options::DaemonLimits,
    peers::PeerListener,
    telemetry::Telemetry,
};

/// Why a daemon could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address cannot be used.
    #[snafu(display("cannot listen on {address:?}: {source}"))]
    Listen {
        /// The address.
        address: String,
        /// What was seen.
        source: io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// What was seen.
        source: io::Error,
    },
    /// The daemon's main thread ended before it served.
    #[snafu(display("the daemon ended at its start"))]
    Ended,
}

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Longest sleep of the main loop.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// One daemon.
pub struct Daemon;

/// A running daemon.
pub struct DaemonHandle {
    /// What the host list should say of it.
    pub listed: ListedHost,
    events: Channel<NodeEvent>,
    thread: JoinHandle<()>,
}

impl DaemonHandle {
    /// Asks for a planned stop.
    pub fn stop(&self) {
        self.events.send(NodeEvent::Stop);
    }

    /// A function that asks for a planned stop from another thread.
    pub fn stopper(&self) -> impl Fn() + Send + 'static {
        let events = self.events.clone();
        move || {
            events.send(NodeEvent::Stop);
        }
    }

    /// Whether the daemon has ended.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits until the daemon has ended.
    pub fn join(self) {
        // A panic was printed by the thread itself.
        let _ = self.thread.join();
    }
}

impl Daemon {
    /// Starts a daemon with threads of its own.
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
        let own = listed.clone();
        let thread = telemetry
            .clone()
            .spawn("daemon", move || run(settings, own, http, peers, telemetry, &ready))
            .context(ThreadSnafu)?;
        let events = started.recv().map_err(|_| Error::Ended)?;
        info!(host = listed.host.as_str(), address = listed.address.as_str(), peers = listed.peer_address.as_str(); "started");
        Ok(DaemonHandle { listed, events, thread })
    }
}

fn run(
    settings: Settings,
    own: ListedHost,
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
    let main = thread::current();
    stakker.set_poll_waker(move || main.unpark());
    let s = &mut stakker;
    let parts =
        NodeParts { identity, settings, limits, own, peer_listener, telemetry: telemetry.clone() };
    let node = actor!(s, Node::init(parts), ret_nop!());
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
        let wait = stakker.next_wait_max(Instant::now(), MAX_WAIT, false);
        thread::park_timeout(wait);
        stakker.poll_wake();
    }
    http.stop();
}

/// Milliseconds since 1970: grows at each start of a host, and is compared with nothing else.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
