//! A daemon on a platform that keeps what must last.
//!
//! One thread carries everything: a current-thread runtime moves the sockets, and stakker's actors
//! make the decisions on jobs and on weights between two batches of its events.

mod answers;
mod body;
mod cleanup;
mod clock;
mod duty;
mod entry;
mod feeds;
mod forward;
mod heartbeat;
mod http;
mod node;
mod owners;
mod peers;
mod reload;
mod rows;
mod runner;
mod score;
mod server;
mod store;
mod stream;
mod submissions;

use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use buckthornfall_platform::settings::{self, NodeSettings};
use buckthornfall_proto::messages::MemberState;
use log::info;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};
use snafu::{ResultExt, Snafu};
use stakker::{actor, ret_nop, Stakker};
use tokio::{
    signal::unix::{signal, SignalKind},
    sync::{oneshot, Notify},
    task::LocalSet,
    time::sleep,
};

use self::{
    duty::Duty,
    node::{Actors, Node},
    runner::Runner,
    server::Surface,
};

/// Why a daemon could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings cannot be used.
    #[snafu(display("{source}"))]
    Settings {
        /// What is wrong with them.
        source: buckthornfall_platform::Error,
    },
    /// An address cannot be used.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: String,
        /// What was seen.
        source: io::Error,
    },
    /// The runtime or its signals cannot be set up.
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime {
        /// What was seen.
        source: io::Error,
    },
    /// The recorder of metrics cannot be installed.
    #[snafu(display("cannot record metrics: {reason}"))]
    Metrics {
        /// What was seen.
        reason: String,
    },
}

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Longest sleep of the actors.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Part of the grace time that is kept for the exit itself.
const EXIT_MARGIN: Duration = Duration::from_millis(1_200);
/// Shortest time of a planned stop: callers keep addresses for this long.
const MIN_STOP: Duration = Duration::from_millis(2_200);
/// Time between two looks at whether a planned stop is done.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// Reads the settings of the platform and runs until a planned stop has ended.
pub fn run() -> Result<()> {
    let settings = settings::load().context(SettingsSnafu)?;
    let recorder = recorder()?;
    let metrics = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|e| Error::Metrics { reason: e.to_string() })?;
    run_with(settings, metrics)
}

/// Runs with these settings until a planned stop has ended; `metrics` is what it shows.
pub fn run_with(settings: NodeSettings, metrics: PrometheusHandle) -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    LocalSet::new().block_on(&runtime, serve(settings, metrics))
}

/// Checks the settings of the platform.
pub fn check() -> Result<()> {
    settings::load().context(SettingsSnafu).map(drop)
}

/// A recorder of metrics.
pub fn recorder() -> Result<PrometheusRecorder> {
    let builder = PrometheusBuilder::new().set_buckets(&crate::telemetry::LATENCY_BUCKETS);
    let builder = builder.map_err(|e| Error::Metrics { reason: e.to_string() })?;
    Ok(builder.build_recorder())
}

async fn serve(settings: NodeSettings, metrics: PrometheusHandle) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let changed = signal(SignalKind::hangup()).context(RuntimeSnafu)?;
    let node = Node::new(settings, metrics);
    start_actors(&node);
    let own = node.settings();
    let listeners = [
        (own.front, Surface::Requests),
        (own.ready, Surface::Requests),
        (own.directory, Surface::Requests),
        (own.metrics, Surface::Metrics),
    ];
    for (address, surface) in listeners {
        server::listen(&node, address, surface)
            .await
            .context(ListenSnafu { address: address.to_string() })?;
    }
    peers::listen(&node).await.context(ListenSnafu { address: own.peers.to_string() })?;
    feeds::start(&node);
    heartbeat::start(&node);
    tokio::task::spawn_local(owners::watch(Rc::clone(&node)));
    tokio::task::spawn_local(cleanup::run(Rc::clone(&node)));
    info!(host = own.host.as_str(), zone = own.zone.as_str(), front:% = own.front, store:% = own.store; "started");
    tokio::task::spawn_local(reload::watch(Rc::clone(&node), changed));
    terminate.recv().await;
    stop(&node).await;
    Ok(())
}

fn start_actors(node: &Rc<Node>) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let runner = actor!(s, Runner::init(Rc::clone(node)), ret_nop!());
    let duty = actor!(s, Duty::init(Rc::clone(node)), ret_nop!());
    let wake = Rc::new(Notify::new());
    let actors = Actors {
        deferrer: s.deferrer(),
        wake: Rc::clone(&wake),
        runner: runner.clone(),
        weight_controller: duty.clone(),
    };
    drop(node.actors.set(actors));
    tokio::task::spawn_local(async move {
        // The owning references keep the actors alive as long as this task.
        let _owners = (runner, duty);
        loop {
            stakker.run(Instant::now(), false);
            let wait = stakker.next_wait_max(Instant::now(), MAX_WAIT, false);
            tokio::select! {
                () = wake.notified() => {}
                () = sleep(wait) => {}
            }
        }
    });
}

/// A planned stop: no new work, the jobs go to other daemons, then what is open ends.
async fn stop(node: &Rc<Node>) {
    let started = clock::now();
    node.state.set(MemberState::Leaving);
    info!(inflight = node.inflight.get(); "stopping");
    node.stop.notify_waiters();
    node.with_weight_controller(|duty, cx| duty.release(cx));
    give_up_jobs(node).await;
    let grace = node.settings().grace;
    loop {
        sleep(STOP_CHECK).await;
        let passed = clock::now().saturating_sub(started);
        let quiet = node.inflight.get() == 0;
        if (passed >= MIN_STOP && quiet) || passed + EXIT_MARGIN >= grace {
            break;
        }
    }
    let took_ms = clock::now().saturating_sub(started).as_millis() as u64;
    info!(inflight = node.inflight.get(), jobs = node.owned_jobs().len(), took_ms; "stopped");
}

/// Saves the progress of all jobs and hands them to other daemons.
async fn give_up_jobs(node: &Rc<Node>) {
    let (tx, rx) = oneshot::channel();
    node.with_runner(move |runner, cx| drop(tx.send(runner.suspend(cx))));
    let saves = rx.await.unwrap_or_default();
    for save in saves {
        node.store.transact(&save).await;
    }
    owners::hand_over(node).await;
}
