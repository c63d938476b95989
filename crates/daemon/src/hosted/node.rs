//! What the parts of one daemon share. All of it lives on one thread.

use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use buckthornfall_core::{
    backends::{Backend, Backends, Location, ServerQuery},
    desired::{Desired, InForce},
    job::JobId,
    members::Members,
    readiness::Readiness,
    store::{RowKey, RowVersion, StoreTx, TxEnd},
    suspects::Suspects,
    weights::Plan,
    Now,
};
use buckthornfall_platform::{headers, settings::NodeSettings};
use buckthornfall_proto::{
    ids::{Fingerprint, ServerId},
    messages::{JobRow, JobState, LeavingRow, MemberState, SuspectRow},
};
use http::{HeaderMap, Response, StatusCode};
use log::info;
use metrics_exporter_prometheus::PrometheusHandle;
use rustc_hash::{FxHashMap, FxHashSet};
use stakker::{Actor, Deferrer, Stakker};
use tokio::{sync::Notify, time::sleep};

use super::{clock, http::Pool, rows, runner::Runner, store::Store, weights::WeightActor};

/// A job as its row shows it.
#[derive(Debug, Clone)]
pub struct KnownJob {
    /// The row.
    pub row: JobRow,
    /// Version of the row.
    pub version: RowVersion,
}

/// The actors, and how to reach them from a task.
pub struct Actors {
    pub deferrer: Deferrer,
    pub wake: Rc<Notify>,
    pub runner: Actor<Runner>,
    pub duty: Actor<WeightActor>,
}

impl Actors {
    /// Runs `f` on an actor, later on the same thread.
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

/// One daemon.
pub struct Node {
    settings: RefCell<Rc<NodeSettings>>,
    pub location: Location,
    pub store: Store,
    /// Connections to servers.
    pub servers: Pool,
    pub metrics: PrometheusHandle,
    pub desired: RefCell<InForce>,
    pub backends: RefCell<Backends>,
    pub members: RefCell<Members>,
    pub suspects: RefCell<Suspects>,
    /// Servers of which the store says that they leave, with when that was read.
    pub leaving_rows: RefCell<FxHashMap<ServerId, Now>>,
    pub jobs: RefCell<FxHashMap<JobId, KnownJob>>,
    /// Jobs whose text is being read.
    pub loading: RefCell<FxHashSet<JobId>>,
    /// The plan that the store holds.
    pub plan: RefCell<Plan>,
    pub state: Cell<MemberState>,
    /// Requests of callers that have no final answer yet.
    pub inflight: Cell<usize>,
    /// Requests of callers since the last heartbeat.
    pub requests: Cell<u32>,
    pub readiness: RefCell<Readiness>,
    pub stop: Notify,
    /// Told when this daemon gets a job.
    pub job_taken: Notify,
    pub actors: OnceCell<Actors>,
}

/// Pause between two tries to tell the others that a server leaves.
const SHARE_PAUSE: Duration = Duration::from_secs(2);

impl Node {
    pub fn new(settings: NodeSettings, metrics: PrometheusHandle) -> Rc<Node> {
        let location = settings.location();
        Rc::new(Node {
            store: Store::new(settings.store),
            location,
            servers: Pool::default(),
            metrics,
            desired: RefCell::default(),
            backends: RefCell::default(),
            suspects: RefCell::default(),
            leaving_rows: RefCell::default(),
            members: RefCell::new(Members::new(settings.host.clone())),
            jobs: RefCell::default(),
            loading: RefCell::default(),
            plan: RefCell::default(),
            state: Cell::new(MemberState::Starting),
            inflight: Cell::new(0),
            requests: Cell::new(0),
            readiness: RefCell::default(),
            stop: Notify::new(),
            job_taken: Notify::new(),
            actors: OnceCell::new(),
            settings: RefCell::new(Rc::new(settings)),
        })
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<NodeSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts settings in force.
    pub fn set_settings(&self, settings: NodeSettings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// The desired state in force.
    pub fn desired(&self) -> Option<Arc<Desired>> {
        self.desired.borrow().get().cloned()
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.state.get() == MemberState::Leaving
    }

    /// Serves from when all tables were read and a desired state is known.
    pub fn serve_if_ready(&self) -> bool {
        let known = self.readiness.borrow().is_complete() && self.desired.borrow().get().is_some();
        let starts = known && self.state.get() == MemberState::Starting;
        if starts {
            self.state.set(MemberState::Serving);
        }
        starts
    }

    /// Runs `f` on the actor of the jobs, later on the same thread.
    pub fn runner(&self, f: impl FnOnce(&mut Runner, &mut stakker::Cx<'_, Runner>) + 'static) {
        let Some(actors) = self.actors.get() else { return };
        actors.defer(&actors.runner, f);
    }

    /// Runs `f` on the actor of the duty, later on the same thread.
    pub fn duty(
        &self,
        f: impl FnOnce(&mut WeightActor, &mut stakker::Cx<'_, WeightActor>) + 'static,
    ) {
        let Some(actors) = self.actors.get() else { return };
        actors.defer(&actors.duty, f);
    }

    /// Counts a server that died while it ran a request, and tells the other daemons.
    pub fn on_crash(self: &Rc<Node>, request: Fingerprint) {
        let crashes = self.suspects.borrow_mut().on_crash(clock::now(), request);
        let key = RowKey::new(rows::FLEET, "", &format!("{}{request:016x}", rows::SUSPECT_PREFIX));
        let value = rows::encode(&SuspectRow { crashes });
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let tx = StoreTx::put(vec![(key, value)]);
            let end = node.store.transact(&tx).await;
            info!(fingerprint = request, crashes, outcome:? = end; "request_suspected");
        });
    }

    /// Takes the head of a server's answer: a server may say there that it leaves. `started_ms` is
    /// the start of the server that the request was sent to.
    pub fn on_reply<B>(self: &Rc<Node>, server: &str, started_ms: u64, reply: &Response<B>) {
        // Another server may answer so at the address of one that is gone.
        let misdirected = reply.status() == StatusCode::MISDIRECTED_REQUEST;
        if misdirected || !says_leaving(reply.headers()) {
            return;
        }
        let news = self.backends.borrow_mut().on_leaving(clock::now(), server, started_ms);
        if news {
            info!(server, started_ms; "server_leaves");
            let (node, server) = (Rc::clone(self), server.to_owned());
            tokio::task::spawn_local(async move { node.share_leaving(&server, started_ms).await });
        }
    }

    /// Tells the other daemons, and later starts of this one, that a server leaves.
    async fn share_leaving(&self, server: &str, started_ms: u64) {
        let key = RowKey::new(rows::FLEET, "", &format!("{}{server}", rows::LEAVING_PREFIX));
        let tx = StoreTx::put(vec![(key, rows::encode(&LeavingRow { started_ms }))]);
        let is_open = || {
            let known = self.leaving_rows.borrow().contains_key(server);
            !known && self.backends.borrow().get(server).is_some()
        };
        while is_open() && !matches!(self.store.transact(&tx).await, TxEnd::Committed(_)) {
            sleep(SHARE_PAUSE).await;
        }
    }

    /// Takes the row of a job; an older version of it changes nothing.
    pub fn on_job(self: &Rc<Node>, id: &str, row: JobRow, version: RowVersion) {
        let known = self.jobs.borrow().get(id).map(|known| known.version);
        if known.is_some_and(|known| known >= version) {
            return;
        }
        let ours = self.owns(&row);
        if known.is_none() && row.state == JobState::Open {
            let job = row.clone();
            self.duty(move |duty, _| duty.on_job(&job));
        }
        self.jobs.borrow_mut().insert(id.to_owned(), KnownJob { row, version });
        if ours {
            self.job_taken.notify_one();
            self.start_job(id);
        } else {
            let id = id.to_owned();
            self.runner(move |runner, cx| runner.close(cx, &id));
        }
    }

    /// Forgets a job whose row is gone.
    pub fn forget_job(&self, id: &str) {
        if self.jobs.borrow_mut().remove(id).is_some() {
            let id = id.to_owned();
            self.runner(move |runner, cx| runner.close(cx, &id));
        }
    }

    /// The server for a request, an open connection preferred.
    pub fn choose(&self, want: ServerQuery<'_>) -> Option<Backend> {
        let is_connected = |entry: &Backend| self.servers.has_idle(entry.addr);
        self.backends.borrow().choose(clock::now(), want, is_connected).cloned()
    }

    /// Open jobs that this daemon runs.
    pub fn owned_jobs(&self) -> Vec<(JobId, KnownJob)> {
        let jobs = self.jobs.borrow();
        let ours = jobs.iter().filter(|(_, job)| self.owns(&job.row));
        ours.map(|(id, job)| (id.clone(), job.clone())).collect()
    }

    /// Whether this daemon runs any job.
    pub fn owns_jobs(&self) -> bool {
        self.jobs.borrow().values().any(|job| self.owns(&job.row))
    }

    /// Whether this daemon runs a job with this row.
    pub fn owns(&self, row: &JobRow) -> bool {
        row.state == JobState::Open && row.owner == self.settings.borrow().host
    }

    /// Reads a job's text and log, and runs it.
    pub fn start_job(self: &Rc<Node>, id: &str) {
        if !self.loading.borrow_mut().insert(id.to_owned()) {
            return;
        }
        let node = Rc::clone(self);
        let id = id.to_owned();
        tokio::task::spawn_local(async move {
            super::submissions::load(&node, &id).await;
            node.loading.borrow_mut().remove(&id);
        });
    }

    /// Name of the row of a job.
    pub fn job_key(id: &str) -> RowKey {
        RowKey::new(rows::FLEET, "", &format!("{}{id}", rows::JOB_PREFIX))
    }
}

fn says_leaving(sent: &HeaderMap) -> bool {
    sent.get(headers::LEAVING).is_some_and(|value| value == "1")
}
