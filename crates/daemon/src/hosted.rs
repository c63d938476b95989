//! A daemon that keeps its durable state in the store of a hosting platform.
//!
//! It runs on one thread: a current-thread tokio runtime does the I/O, and stakker actors make the
//! decisions on jobs and weights between batches of its events.

mod access;
mod admission;
mod attempt;
mod body;
mod capacity;
mod cleanup;
mod clock;
mod duties;
mod entry;
mod feeds;
mod forward;
mod heartbeat;
mod hold;
mod http;
mod in_flight;
mod job_ends;
mod node;
mod origins;
mod owners;
mod paths;
mod peer_forward;
mod peers;
mod permits;
mod read_ahead;
mod reload;
mod request_body;
mod responses;
mod results;
mod rows;
mod runner;
mod score;
mod second_copy;
mod server;
mod server_bytes;
mod store;
mod stream;
mod streams;
mod submissions;
mod suspects;
mod usage;
mod weights;

use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use buckthornfall_core::second_copies::SecondCopies;
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
    duties::DutyActor,
    node::{Actors, Node},
    runner::Runner,
    server::ListenerKind,
    weights::WeightActor,
};

/// Why a daemon failed to start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings are invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// The cause.
        source: buckthornfall_platform::Error,
    },
    /// A listener cannot be bound to its address.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: String,
        /// The cause.
        source: io::Error,
    },
    /// The runtime or its signal handlers cannot be set up.
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime {
        /// The cause.
        source: io::Error,
    },
    /// The metrics recorder cannot be installed.
    #[snafu(display("cannot record metrics: {reason}"))]
    Metrics {
        /// The cause.
        reason: String,
    },
    /// A task panicked without which the daemon cannot go on.
    #[snafu(display("{task} panicked"))]
    Panicked {
        /// What the task does.
        task: &'static str,
    },
}

/// Result type of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Maximum time between two runs of the actors.
const MAX_ACTOR_WAIT: Duration = Duration::from_millis(500);
/// Part of the grace period that is reserved for the exit itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Minimum duration of a planned stop, as callers cache addresses for this long.
const MIN_STOP_DURATION: Duration = Duration::from_millis(2_200);
/// Time before the exit in which no connection is accepted, so that the requests on those that were are answered.
const CLOSING_TIME: Duration = Duration::from_millis(100);
/// Interval between checks whether a planned stop is complete.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Reads the platform's settings and runs the daemon until a planned stop is complete.
pub fn run(second_copies: SecondCopies) -> Result<()> {
    let settings = settings::load().context(SettingsSnafu)?;
    let recorder = recorder()?;
    let metrics = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|e| Error::Metrics { reason: e.to_string() })?;
    run_with(settings, second_copies, metrics)
}

/// Runs the daemon with these settings until a planned stop is complete. Its metrics endpoint
/// serves `metrics`.
pub fn run_with(
    settings: NodeSettings,
    second_copies: SecondCopies,
    metrics: PrometheusHandle,
) -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    LocalSet::new().block_on(&runtime, serve(settings, second_copies, metrics))
}

/// Checks the platform's settings.
pub fn check() -> Result<()> {
    settings::load().context(SettingsSnafu).map(drop)
}

/// Creates the metrics recorder.
pub fn recorder() -> Result<PrometheusRecorder> {
    let builder = PrometheusBuilder::new().set_buckets(&crate::telemetry::LATENCY_BUCKETS);
    let builder = builder.map_err(|e| Error::Metrics { reason: e.to_string() })?;
    Ok(builder.build_recorder())
}

async fn serve(
    settings: NodeSettings,
    second_copies: SecondCopies,
    metrics: PrometheusHandle,
) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let changed = signal(SignalKind::hangup()).context(RuntimeSnafu)?;
    let node = Node::new(settings, second_copies, metrics);
    start_actors(&node);
    let config = node.settings();
    let listeners = [
        (config.front, ListenerKind::Requests),
        (config.ready, ListenerKind::Requests),
        (config.directory, ListenerKind::Requests),
        (config.metrics, ListenerKind::Metrics),
    ];
    for (address, kind) in listeners {
        server::listen(&node, address, kind)
            .await
            .context(ListenSnafu { address: address.to_string() })?;
    }
    peers::listen(&node).await.context(ListenSnafu { address: config.peers.to_string() })?;
    feeds::start(&node);
    heartbeat::start(&node);
    node.keep_running("owners", owners::watch);
    node.keep_running("cleanup", cleanup::run);
    node.keep_running("permits", permits::run);
    node.keep_running("origins", origins::run);
    paths::start(&node);
    usage::start(&node);
    capacity::start(&node);
    reload::start(&node, changed);
    info!(host = config.host.as_str(), zone = config.zone.as_str(), front:% = config.front, store:% = config.store; "started");
    tokio::select! {
        _ = terminate.recv() => {}
        () = node.failed.notified() => {}
    }
    stop(&node).await;
    match node.panicked_task.get() {
        Some(task) => PanickedSnafu { task }.fail(),
        None => Ok(()),
    }
}

fn start_actors(node: &Rc<Node>) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let runner = actor!(s, Runner::init(Rc::clone(node)), ret_nop!());
    let duty_holder = actor!(s, DutyActor::init(Rc::clone(node)), ret_nop!());
    let weight_controller = actor!(s, WeightActor::init(Rc::clone(node)), ret_nop!());
    let wake = Rc::new(Notify::new());
    let actors = Actors {
        deferrer: s.deferrer(),
        wake: Rc::clone(&wake),
        runner: runner.clone(),
        duty_holder: duty_holder.clone(),
        weight_controller: weight_controller.clone(),
    };
    drop(node.actors.set(actors));
    node.spawn_essential("the scheduler of jobs and duties", async move {
        // The owning references keep the actors alive while this task runs.
        let _owners = (runner, duty_holder, weight_controller);
        loop {
            stakker.run(Instant::now(), false);
            let wait = stakker.next_wait_max(Instant::now(), MAX_ACTOR_WAIT, false);
            tokio::select! {
                () = wake.notified() => {}
                () = sleep(wait) => {}
            }
        }
    });
}

/// Performs a planned stop: takes no new work, releases the weight controller's lease, hands the
/// jobs over to other daemons and waits for the requests in flight.
async fn stop(node: &Rc<Node>) {
    let started = clock::now();
    node.state.set(MemberState::Leaving);
    let exit_at = started + node.settings().grace.saturating_sub(EXIT_MARGIN);
    node.stopped_at.set(Some(started));
    node.exit_at.set(Some(exit_at));
    origins::withdraw(node);
    info!(inflight = node.in_flight.get(); "stopping");
    node.stop.notify_waiters();
    node.with_duty_holder(|holder, cx| holder.release(cx));
    hand_over_jobs(node).await;
    // What a connection has buffered is lost when the process exits.
    let is_drained = || node.in_flight.get() == 0 && node.blocked_connections.get() == 0;
    loop {
        sleep(STOP_CHECK_INTERVAL).await;
        let now = clock::now();
        let may_end = now.saturating_sub(started) >= MIN_STOP_DURATION && is_drained();
        if !may_end && now + CLOSING_TIME < exit_at {
            continue;
        }
        node.listeners.borrow_mut().drain(..).for_each(|listener| listener.abort());
        sleep(CLOSING_TIME).await;
        if is_drained() || clock::now() >= exit_at {
            break;
        }
    }
    let took_ms = clock::now().saturating_sub(started).as_millis() as u64;
    info!(inflight = node.in_flight.get(), blocked = node.blocked_connections.get(), jobs = node.owned_jobs().len(),
        took_ms; "stopped");
}

/// Saves the progress of all jobs and hands them over to other daemons.
async fn hand_over_jobs(node: &Rc<Node>) {
    // The progress is with the actors, which may be gone.
    if node.panicked_task.get().is_none() {
        let (tx, rx) = oneshot::channel();
        node.with_runner(move |runner, cx| drop(tx.send(runner.suspend(cx))));
        let saves = rx.await.unwrap_or_default();
        for save in saves {
            owners::save_progress(node, &save).await;
        }
    }
    owners::hand_over(node).await;
}
