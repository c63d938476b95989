//! Shared state of one daemon, used from a single thread.

use std::{
    cell::{Cell, OnceCell, RefCell},
    future::Future,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use buckthornfall_core::{
    accounts::KeyFreshness,
    backends::{Backend, Backends, Location, ServerQuery},
    desired::{Desired, DesiredVersion, InForce, Limits},
    duties::Duties,
    freshness::Freshness,
    held_bytes::HeldBytes,
    job::JobId,
    members::Members,
    origins::Origins,
    peer_choice::PeerChoice,
    reachability::Reachability,
    readiness::Readiness,
    second_copies::SecondCopies,
    server_bytes::ServerBytes,
    stop::Durations,
    store::{RowKey, RowVersion, StoreTx, TxEnd},
    suspects::Suspects,
    usage::Tally,
    weights::Plan,
    Now,
};
use buckthornfall_platform::{headers, settings::NodeSettings};
use buckthornfall_proto::{
    ids::ServerId,
    messages::{JobRow, JobState, LeavingRow, MemberState},
};
use http::{HeaderMap, Response, StatusCode};
use log::info;
use metrics_exporter_prometheus::PrometheusHandle;
use rustc_hash::{FxHashMap, FxHashSet};
use snafu::Snafu;
use stakker::{Actor, Deferrer, Stakker};
use tokio::{
    sync::{Notify, Semaphore},
    task::AbortHandle,
    time::sleep,
};

use super::{
    admission::{self, Queues},
    clock,
    duties::{DutyActor, DutyClient},
    job_ends::JobEnds,
    origins::Records,
    paths,
    permits::{self, ServerClient},
    results, rows,
    runner::Runner,
    store::Store,
    weights::WeightActor,
};
use crate::{peers::Connections, tasks};

/// A job row that this daemon has read or written.
#[derive(Debug, Clone)]
pub struct KnownJob {
    /// Content of the row.
    pub row: JobRow,
    /// Version of the row.
    pub version: RowVersion,
}

/// A job that was open here at the moment of the check.
#[derive(Debug, Clone, Copy)]
pub struct OpenJob {
    /// Age of what is known of the jobs.
    known_for: Duration,
    /// Version of the desired state that was in force.
    pub desired_version: DesiredVersion,
    /// Age of what is known of the desired state, in milliseconds.
    pub desired_ms: Option<u64>,
}

impl OpenJob {
    /// Returns the age of what is known of the jobs in milliseconds, for logs.
    pub fn known_ms(&self) -> u64 {
        millis(self.known_for)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Why no work of a job may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum WorkWithheld {
    /// The job has ended, is about to end, or belongs to another daemon.
    #[snafu(display("the job is not open here"))]
    NotOpen,
    /// The job may have ended since its row was read.
    #[snafu(display("the job may have ended since it was read"))]
    Stale,
    /// The desired state may have changed since it was read.
    #[snafu(display("the desired state may have changed since it was read"))]
    DesiredStale,
    /// The desired state has changed since the service was chosen.
    #[snafu(display("the route leads no longer to the service"))]
    Rerouted,
}

/// Where a request of a job goes.
#[derive(Debug, Clone, Copy)]
pub struct Destination<'a> {
    /// Host header by which its route was chosen.
    pub host: &'a str,
    /// Path and query by which its route was chosen.
    pub target: &'a str,
    /// Service of the server.
    pub service: &'a str,
}

/// The actors, with the handles that tasks use to run code on them.
pub struct Actors {
    pub deferrer: Deferrer,
    pub wake: Rc<Notify>,
    pub runner: Actor<Runner>,
    pub duty_holder: Actor<DutyActor>,
    pub weight_controller: Actor<WeightActor>,
}

impl Actors {
    /// Schedules `f` to run on an actor, later on the same thread.
    fn defer<A: 'static>(
        &self,
        actor: &Actor<A>,
        f: impl FnOnce(&mut A, &mut stakker::Cx<'_, A>) + 'static,
    ) {
        let actor = actor.clone();
        self.deferrer.defer(move |s: &mut Stakker| actor.apply(s, f));
        self.wake.notify_one();
    }
}

impl WorkWithheld {
    fn name(self) -> &'static str {
        match self {
            WorkWithheld::NotOpen => "not_open",
            WorkWithheld::Stale => "stale",
            WorkWithheld::DesiredStale => "desired_stale",
            WorkWithheld::Rerouted => "rerouted",
        }
    }
}

/// State of one daemon.
pub struct Node {
    settings: RefCell<Rc<NodeSettings>>,
    pub location: Location,
    pub store: Store,
    pub servers: ServerClient,
    pub metrics: PrometheusHandle,
    pub desired: RefCell<InForce>,
    /// How recent the desired state is.
    pub desired_freshness: RefCell<Freshness>,
    /// How recent the keys of the desired state are.
    pub key_freshness: RefCell<KeyFreshness>,
    /// The lease on the duties, as this daemon holds it.
    pub duties: RefCell<Duties>,
    pub duty_client: DutyClient,
    /// Requests that servers began, by client account.
    pub tally: RefCell<Tally>,
    pub backends: RefCell<Backends>,
    /// When the store was last asked for changes of the servers' entries that are known here.
    pub servers_read_at: Cell<Now>,
    /// The same for the rows of jobs.
    pub fleet_read_at: Cell<Now>,
    pub members: RefCell<Members>,
    pub suspects: RefCell<Suspects>,
    pub second_copies: RefCell<SecondCopies>,
    pub origins: RefCell<Origins>,
    pub records: Records,
    pub reachability: RefCell<Reachability>,
    /// Incarnation of this start of the daemon; 0 until its first heartbeat is written.
    pub incarnation: Cell<u64>,
    /// Servers with a leaving row in the store, with the time at which the row was read.
    pub leaving_rows: RefCell<FxHashMap<ServerId, Now>>,
    /// Servers with a limit row in the store, with the time at which the row was read.
    pub limit_rows: RefCell<FxHashMap<ServerId, Now>>,
    /// Keys of the rows of requests that crashed servers, with the time at which each was read.
    pub suspect_rows: RefCell<FxHashMap<String, Now>>,
    pub jobs: RefCell<FxHashMap<JobId, KnownJob>>,
    /// How recent the rows of jobs are.
    pub job_freshness: RefCell<Freshness>,
    /// Ends of jobs that may not be stored yet.
    pub job_ends: JobEnds,
    /// Jobs that are being read from the store.
    pub loading: RefCell<FxHashSet<JobId>>,
    /// Weight plan last read from the store or made by this daemon.
    pub plan: RefCell<Plan>,
    pub state: Cell<MemberState>,
    /// Tasks that accept the connections of callers and of the platform.
    pub listeners: RefCell<Vec<AbortHandle>>,
    /// When a planned stop began.
    pub stopped_at: Cell<Option<Now>>,
    /// When the daemon exits at the latest, once a planned stop has begun.
    pub exit_at: Cell<Option<Now>>,
    /// How long the requests of callers took.
    pub durations: RefCell<Durations>,
    /// Number of requests of callers whose responses are not fully sent.
    pub in_flight: Cell<usize>,
    /// Number of requests of callers received since the last heartbeat.
    pub requests: Cell<u32>,
    pub readiness: RefCell<Readiness>,
    /// Notified when a planned stop begins, and when a request ends during it.
    pub stop: Notify,
    /// Addresses that the directory last named to callers of each zone.
    pub told_addresses: RefCell<FxHashMap<String, Vec<String>>>,
    /// Notified when this daemon becomes the owner of a job.
    pub job_taken: Notify,
    /// Notified when all paths to the servers of a service are lost.
    pub path_lost: Notify,
    /// Requests that this daemon passes on to others.
    pub peer_choice: RefCell<PeerChoice>,
    /// Connections for them.
    pub forward_peers: Connections,
    /// Number of requests in flight that others have passed on to this daemon.
    pub passed_on: Cell<usize>,
    /// Connections with bytes of a response that their callers have not taken yet.
    pub blocked_connections: Cell<usize>,
    /// Requests to plain services that are short of room.
    pub admission: RefCell<Queues>,
    /// Bytes of bodies held in memory.
    pub held_bytes: RefCell<HeldBytes>,
    /// Reads of results that may start.
    pub result_reads: Semaphore,
    /// Bytes of bodies on their way to servers.
    pub server_bytes: RefCell<ServerBytes>,
    /// Notified when some of either are given back.
    pub bytes_released: Notify,
    pub actors: OnceCell<Actors>,
    /// Task that has panicked without which the daemon cannot go on.
    pub panicked_task: Cell<Option<&'static str>>,
    /// Notified when that happens.
    pub failed: Notify,
}

/// Part of the bound of the desired state in which a daemon decides no more by it, as clocks of hosts run at
/// slightly different rates.
const CLOCK_LEAD_DIVISOR: u32 = 40;
/// Part of the bound of the desired state that is left for the way of a job's request to its server.
const WORK_LEAD_DIVISOR: u32 = 4;
/// Part of the cancellation time that is left for the same.
const JOB_LEAD_DIVISOR: u32 = 2;
/// Interval between attempts to store the leaving row of a server.
const LEAVING_RETRY_INTERVAL: Duration = Duration::from_secs(2);

impl Node {
    pub fn new(
        settings: NodeSettings,
        second_copies: SecondCopies,
        metrics: PrometheusHandle,
    ) -> Rc<Node> {
        let location = settings.location();
        Rc::new(Node {
            store: Store::new(settings.store),
            location,
            servers: ServerClient::default(),
            metrics,
            desired: RefCell::default(),
            desired_freshness: RefCell::new(Freshness::new(settings.desired_bound)),
            key_freshness: RefCell::default(),
            duties: RefCell::default(),
            duty_client: DutyClient::default(),
            tally: RefCell::default(),
            backends: RefCell::default(),
            servers_read_at: Cell::default(),
            fleet_read_at: Cell::default(),
            suspects: RefCell::default(),
            second_copies: RefCell::new(second_copies),
            origins: RefCell::default(),
            records: Records::default(),
            reachability: RefCell::default(),
            incarnation: Cell::new(0),
            leaving_rows: RefCell::default(),
            members: RefCell::new(Members::new(settings.host.clone())),
            limit_rows: RefCell::default(),
            suspect_rows: RefCell::default(),
            jobs: RefCell::default(),
            job_freshness: RefCell::new(Freshness::new(settings.cancellation)),
            job_ends: JobEnds::default(),
            loading: RefCell::default(),
            plan: RefCell::default(),
            state: Cell::new(MemberState::Starting),
            listeners: RefCell::default(),
            stopped_at: Cell::new(None),
            exit_at: Cell::new(None),
            durations: RefCell::default(),
            in_flight: Cell::new(0),
            requests: Cell::new(0),
            readiness: RefCell::default(),
            stop: Notify::new(),
            told_addresses: RefCell::default(),
            job_taken: Notify::new(),
            path_lost: Notify::new(),
            peer_choice: RefCell::default(),
            forward_peers: Connections::for_requests(),
            passed_on: Cell::new(0),
            blocked_connections: Cell::new(0),
            admission: RefCell::default(),
            held_bytes: RefCell::new(HeldBytes::new(settings.memory_bytes)),
            result_reads: Semaphore::new(results::MAX_READS),
            server_bytes: RefCell::default(),
            bytes_released: Notify::new(),
            actors: OnceCell::new(),
            panicked_task: Cell::new(None),
            failed: Notify::new(),
            settings: RefCell::new(Rc::new(settings)),
        })
    }

    /// Starts the task `name`, which runs until the daemon exits.
    pub fn keep_running<F>(
        self: &Rc<Node>,
        name: &'static str,
        run: impl Fn(Rc<Node>) -> F + 'static,
    ) where
        F: Future<Output = ()> + 'static,
    {
        let node = Rc::clone(self);
        let start = move || run(Rc::clone(&node));
        tokio::task::spawn_local(tasks::restart_after_panics(name, start));
    }

    /// Starts a task without which the daemon cannot go on: if it panics, the daemon stops, so that its
    /// platform starts it again.
    pub fn spawn_essential(
        self: &Rc<Node>,
        name: &'static str,
        work: impl Future<Output = ()> + 'static,
    ) {
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            if tasks::catch_panic(work).await.is_none() {
                node.panicked_task.set(Some(name));
                node.failed.notify_one();
            }
        });
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<NodeSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Replaces the settings in force.
    pub fn set_settings(&self, settings: NodeSettings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns the desired state in force.
    pub fn desired(&self) -> Option<Arc<Desired>> {
        self.desired.borrow().get().cloned()
    }

    /// Returns the version of the desired state in force; 0 if none is known.
    pub fn desired_version(&self) -> DesiredVersion {
        self.desired.borrow().get().map_or(0, |desired| desired.version)
    }

    /// Returns the age of what is known of the desired state in milliseconds, for logs.
    pub fn desired_age_ms(&self) -> Option<u64> {
        self.desired_freshness.borrow().age(clock::now()).map(millis)
    }

    /// Returns the limits for callers in force.
    pub fn limits(&self) -> Limits {
        self.desired.borrow().get().map(|desired| desired.limits.clone()).unwrap_or_default()
    }

    /// Returns whether requests may be decided by the desired state in force.
    pub fn may_decide(&self) -> bool {
        may_act(&self.desired_freshness, clock::now(), CLOCK_LEAD_DIVISOR)
    }

    /// Returns whether the desired state in force is recent. If it is not, a route or a key that it lacks may
    /// have been added.
    pub fn is_desired_recent(&self) -> bool {
        let freshness = self.desired_freshness.borrow();
        freshness.is_recent(clock::now(), freshness.bound() / CLOCK_LEAD_DIVISOR)
    }

    /// Returns whether this daemon has lost a service that another daemon reaches.
    pub fn is_cut_off(&self) -> bool {
        let host = &self.settings.borrow().host;
        self.members.borrow().is_cut_off(clock::now(), host)
    }

    /// Returns whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.state.get() == MemberState::Leaving
    }

    /// Returns the time until the daemon exits; `None` if no planned stop has begun.
    pub fn time_to_exit(&self) -> Option<Duration> {
        let exit_at = self.exit_at.get()?;
        Some(exit_at.saturating_sub(clock::now()))
    }

    /// Returns the time since a planned stop began; `None` if none has.
    pub fn time_since_stop(&self) -> Option<Duration> {
        let stopped_at = self.stopped_at.get()?;
        Some(clock::now().saturating_sub(stopped_at))
    }

    /// Starts to serve once all tables are read and a desired state is known. Returns whether this
    /// call started it.
    pub fn serve_if_ready(&self) -> bool {
        let is_ready =
            self.readiness.borrow().is_complete() && self.desired.borrow().get().is_some();
        let starts = is_ready && self.state.get() == MemberState::Starting;
        if starts {
            self.state.set(MemberState::Serving);
        }
        starts
    }

    /// Schedules `f` to run on the job runner, later on the same thread.
    pub fn with_runner(&self, f: impl FnOnce(&mut Runner, &mut stakker::Cx<'_, Runner>) + 'static) {
        let Some(actors) = self.actors.get() else { return };
        actors.defer(&actors.runner, f);
    }

    /// Schedules `f` to run on the holder of the duties' lease, later on the same thread.
    pub fn with_duty_holder(
        &self,
        f: impl FnOnce(&mut DutyActor, &mut stakker::Cx<'_, DutyActor>) + 'static,
    ) {
        let Some(actors) = self.actors.get() else { return };
        actors.defer(&actors.duty_holder, f);
    }

    /// Schedules `f` to run on the weight controller, later on the same thread.
    pub fn with_weight_controller(
        &self,
        f: impl FnOnce(&mut WeightActor, &mut stakker::Cx<'_, WeightActor>) + 'static,
    ) {
        let Some(actors) = self.actors.get() else { return };
        actors.defer(&actors.weight_controller, f);
    }

    /// Checks the head of a server's response for its request limit and for the announcement that
    /// the server is leaving. `started_ms` is the start time of the server that the request was sent
    /// to at `sent_at`.
    pub fn on_response<B>(
        self: &Rc<Node>,
        server: &str,
        started_ms: u64,
        sent_at: Now,
        response: &Response<B>,
    ) {
        let service = self.backends.borrow().get(server).map(|entry| entry.service.clone());
        if let Some(service) = service {
            paths::on_response(self, &service);
            if is_full(response) {
                admission::on_full(self, &service, server);
            }
        }
        // A 421 may come from another server that now has the address of a server that is gone.
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        permits::on_response(self, server, started_ms, sent_at, response);
        if !announces_leaving(response.headers()) {
            return;
        }
        let changed = self.backends.borrow_mut().on_leaving(clock::now(), server, started_ms);
        if changed {
            info!(server, started_ms; "server_leaves");
            let (node, server) = (Rc::clone(self), server.to_owned());
            tokio::task::spawn_local(async move { node.share_leaving(&server, started_ms).await });
        }
    }

    /// Stores the leaving row of a server, for the other daemons and for later starts of this one.
    async fn share_leaving(&self, server: &str, started_ms: u64) {
        let key = RowKey::new(rows::FLEET, "", &format!("{}{server}", rows::LEAVING_PREFIX));
        let tx = StoreTx::put(vec![(key, rows::encode(&LeavingRow { started_ms }))]);
        let is_needed = || {
            let is_stored = self.leaving_rows.borrow().contains_key(server);
            !is_stored && self.backends.borrow().get(server).is_some()
        };
        while is_needed() && !matches!(self.store.transact(&tx).await, TxEnd::Committed(_)) {
            sleep(LEAVING_RETRY_INTERVAL).await;
        }
    }

    /// Applies a job row, unless the same or a newer version of it is known.
    pub fn on_job(self: &Rc<Node>, id: &str, row: JobRow, version: RowVersion) {
        let known = self.jobs.borrow().get(id).map(|known| known.version);
        if known.is_some_and(|known| known >= version) {
            return;
        }
        let is_owned = self.owns(&row);
        let is_ended = row.state == JobState::Ended;
        if known.is_none() && row.state == JobState::Open {
            let job = row.clone();
            self.with_weight_controller(move |controller, _| controller.on_job(&job));
        }
        self.jobs.borrow_mut().insert(id.to_owned(), KnownJob { row, version });
        if is_owned {
            self.job_taken.notify_one();
            self.start_job(id);
        } else {
            self.close_job(id, if is_ended { "ended" } else { "owner_changed" });
        }
        if is_ended {
            self.job_ends.on_stored(id);
        }
    }

    /// Removes a job whose row was deleted.
    pub fn forget_job(&self, id: &str) {
        if self.jobs.borrow_mut().remove(id).is_some() {
            self.close_job(id, "removed");
            self.job_ends.on_stored(id);
        }
    }

    /// Chooses the server for a request, preferring servers with an idle connection.
    pub fn choose_server(&self, query: ServerQuery<'_>) -> Option<Backend> {
        let is_connected = |entry: &Backend| self.servers.has_idle(entry.addr);
        self.backends.borrow().choose(clock::now(), query, is_connected).cloned()
    }

    /// Returns the open jobs that this daemon owns.
    pub fn owned_jobs(&self) -> Vec<(JobId, KnownJob)> {
        let jobs = self.jobs.borrow();
        let owned = jobs.iter().filter(|(_, job)| self.owns(&job.row));
        owned.map(|(id, job)| (id.clone(), job.clone())).collect()
    }

    /// Returns whether this daemon owns an open job.
    pub fn owns_jobs(&self) -> bool {
        self.jobs.borrow().values().any(|job| self.owns(&job.row))
    }

    /// Returns whether the row is of an open job that this daemon owns.
    pub fn owns(&self, row: &JobRow) -> bool {
        row.state == JobState::Open && row.owner == self.settings.borrow().host
    }

    /// Checks that a job is open here and that the route of a request of it still leads to the service, for
    /// a request that is sent at once.
    pub fn check_open(
        &self,
        id: &str,
        destination: Destination<'_>,
    ) -> Result<OpenJob, WorkWithheld> {
        let open = self.find_open(id, destination);
        match &open {
            Ok(open) => {
                metrics::histogram!("job_knowledge_age_seconds")
                    .record(open.known_for.as_secs_f64());
            }
            Err(e) => {
                metrics::counter!("job_work_withheld_total", "reason" => e.name()).increment(1);
            }
        }
        open
    }

    fn find_open(&self, id: &str, destination: Destination<'_>) -> Result<OpenJob, WorkWithheld> {
        let is_owned = self.jobs.borrow().get(id).is_some_and(|job| self.owns(&job.row));
        if !is_owned || self.job_ends.is_requested(id) {
            return Err(WorkWithheld::NotOpen);
        }
        let now = clock::now();
        if !may_act(&self.job_freshness, now, JOB_LEAD_DIVISOR) {
            return Err(WorkWithheld::Stale);
        }
        if !may_act(&self.desired_freshness, now, WORK_LEAD_DIVISOR) {
            return Err(WorkWithheld::DesiredStale);
        }
        if !self.leads_to(destination) {
            return Err(WorkWithheld::Rerouted);
        }
        let known_for = self.job_freshness.borrow().age(now).unwrap_or_default();
        Ok(OpenJob {
            known_for,
            desired_version: self.desired_version(),
            desired_ms: self.desired_age_ms(),
        })
    }

    fn leads_to(&self, destination: Destination<'_>) -> bool {
        let Destination { host, target, service } = destination;
        let path = target.split('?').next().unwrap_or_default();
        let desired = self.desired();
        let route = desired.as_ref().and_then(|desired| desired.route(host, path));
        route.is_some_and(|route| route.leads_to(service))
    }

    /// Returns whether what is known of the jobs and of the desired state is recent enough to send work of
    /// the jobs.
    pub fn may_send_work(&self) -> bool {
        let now = clock::now();
        may_act(&self.job_freshness, now, JOB_LEAD_DIVISOR)
            && may_act(&self.desired_freshness, now, WORK_LEAD_DIVISOR)
    }

    /// Stops the work of a job here; `reason` is for the log.
    pub fn close_job(&self, id: &str, reason: &'static str) {
        let id = id.to_owned();
        self.with_runner(move |runner, cx| runner.close(cx, &id, reason));
    }

    /// Reads a job and its results from the store and opens it in the runner, unless a read of it
    /// is in progress.
    pub fn start_job(self: &Rc<Node>, id: &str) {
        if !self.loading.borrow_mut().insert(id.to_owned()) {
            return;
        }
        let node = Rc::clone(self);
        let id = id.to_owned();
        tokio::task::spawn_local(async move {
            tasks::restart_after_panics("load", || super::submissions::load(&node, &id)).await;
            node.loading.borrow_mut().remove(&id);
        });
    }

    /// Returns the key of the row of a job.
    pub fn job_key(id: &str) -> RowKey {
        RowKey::new(rows::FLEET, "", &format!("{}{id}", rows::JOB_PREFIX))
    }
}

/// Returns whether work may be sent by what is known, if a part of the bound is left for its way.
fn may_act(freshness: &RefCell<Freshness>, now: Now, lead_divisor: u32) -> bool {
    let freshness = freshness.borrow();
    freshness.may_act(now, freshness.bound() / lead_divisor)
}

/// Returns whether a server refused a request for want of room.
fn is_full<B>(response: &Response<B>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(headers::NOT_RUN)
        && !announces_leaving(response.headers())
}

fn announces_leaving(header_map: &HeaderMap) -> bool {
    header_map.get(headers::LEAVING).is_some_and(|value| value == "1")
}
