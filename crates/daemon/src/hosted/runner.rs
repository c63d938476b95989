//! Actor that runs the jobs owned by this daemon.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::{
    backends::Ended,
    job::{AppendEnd, Batch, JobAction, JobId, Jobs, ProgressWrite, RunEnd, RunId, ScoreEnd, Text},
    store::{StoreFailure, StoreTx, TxEnd},
};
use buckthornfall_proto::messages::{JobRow, ResultRow};
use log::info;
use rustc_hash::{FxHashMap, FxHashSet};
use stakker::{after, CX};
use tokio::task::AbortHandle;

use super::{
    clock,
    node::Node,
    rows,
    score::{self, ScoreRequest},
    stream::{self, Event, RunRequest},
    submissions::{self, LoadedJob},
};
use crate::tasks;

/// Interval between scheduling passes when no event triggers one, and between attempts to read a
/// job's log.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between saves of a job's progress. After a failover, at most the text generated within
/// this time is generated again.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);

/// Jobs owned by this daemon and the tasks of their runs.
pub struct Runner {
    node: Rc<Node>,
    jobs: Jobs,
    tasks: FxHashMap<RunId, AbortHandle>,
    /// Tasks of the scoring requests of each job.
    scoring: FxHashMap<JobId, Vec<AbortHandle>>,
    /// Token in the keys of the progress rows of each open job. A job gets a new token each time it
    /// is opened, as the row numbers start again then.
    progress_tokens: FxHashMap<JobId, String>,
    /// Jobs with a save in flight.
    saving: FxHashSet<JobId>,
}

impl Runner {
    pub fn init(cx: CX![], node: Rc<Node>) -> Option<Runner> {
        after!(TICK_INTERVAL, [cx], tick());
        after!(SAVE_INTERVAL, [cx], save());
        let saving = FxHashSet::default();
        Some(Runner {
            node,
            jobs: Jobs::default(),
            tasks: FxHashMap::default(),
            scoring: FxHashMap::default(),
            progress_tokens: FxHashMap::default(),
            saving,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        fail::fail_point!("actors");
        let replied_at = self.node.store.last_reply();
        self.node.job_freshness.borrow_mut().on_tick(clock::now(), replied_at);
        self.node.desired_freshness.borrow_mut().on_tick(clock::now(), replied_at);
        self.advance(Vec::new());
    }

    fn save(&mut self, cx: CX![]) {
        after!(SAVE_INTERVAL, [cx], save());
        let ids: Vec<_> = self.jobs.ids().cloned().collect();
        for id in ids {
            let writes = self.jobs.unsaved(&id, self.progress_bytes());
            if writes.is_empty() || !self.saving.insert(id.clone()) {
                continue;
            }
            let node = Rc::clone(&self.node);
            let tx = self.save_tx(&id, &writes);
            tokio::task::spawn_local(async move {
                let end = tasks::catch_panic(node.store.transact(&tx)).await;
                let saved = matches!(end, Some(TxEnd::Committed(_)));
                node.with_runner(move |runner, _| runner.on_saved(&id, &writes, saved));
            });
        }
    }

    /// Returns the maximum size of a progress row, whose limit may be one of its base64.
    fn progress_bytes(&self) -> usize {
        self.node.settings().row_bytes / 4 * 3
    }

    fn save_tx(&self, id: &str, writes: &[ProgressWrite]) -> StoreTx {
        let token = self.progress_tokens.get(id).map_or("", String::as_str);
        let put = writes.iter().map(|write| {
            let key = rows::progress_key(id, token, write.sample, write.number);
            (key, rows::encode(&write.row))
        });
        StoreTx::put(put.collect())
    }

    fn on_saved(&mut self, id: &str, writes: &[ProgressWrite], saved: bool) {
        self.saving.remove(id);
        if saved {
            writes.iter().for_each(|write| self.jobs.on_saved(id, write));
        }
    }

    /// Closes all jobs at a planned stop and returns the transactions that save their progress.
    pub fn suspend(&mut self, _: CX![]) -> Vec<StoreTx> {
        let ids: Vec<_> = self.jobs.ids().cloned().collect();
        let mut saves = Vec::new();
        let mut out = Vec::new();
        for id in ids {
            let writes = self.jobs.unsaved(&id, self.progress_bytes());
            if !writes.is_empty() {
                saves.push(self.save_tx(&id, &writes));
            }
            self.close_job(&id, &mut out);
        }
        self.advance(out);
        saves
    }

    /// Returns the transaction that saves the progress of a job; `None` if all of it is saved.
    pub fn unsaved(&mut self, _: CX![], id: &str) -> Option<StoreTx> {
        let writes = self.jobs.unsaved(id, self.progress_bytes());
        (!writes.is_empty()).then(|| self.save_tx(id, &writes))
    }

    /// Opens a job that was read from the store, unless it is open already, has another owner by
    /// now or this daemon is stopping.
    pub fn open(&mut self, _: CX![], id: &str, loaded: LoadedJob) {
        let LoadedJob { spec, policy, listed, saved } = loaded;
        let is_owned = self.node.jobs.borrow().get(id).is_some_and(|job| self.node.owns(&job.row));
        let is_ending = self.node.job_ends.is_requested(id);
        if !is_owned || is_ending || self.jobs.is_open(id) || self.node.is_leaving() {
            return;
        }
        let saved_events: usize = saved.values().map(Text::events).sum();
        info!(job = id, samples = spec.samples.len(), listed = listed.len(), saved_events, model = spec.model.as_str(),
            min_version = spec.min_version, service = policy.service.as_str(), decided_by = self.node.desired_version();
            "job_opened");
        let token = format!("{:016x}", rand::random::<u64>());
        self.progress_tokens.insert(id.to_owned(), token);
        self.jobs.open(clock::now(), id, spec, policy, &listed, saved);
        // A version may have been installed while the job was read.
        self.refresh_policy(id);
        self.advance(Vec::new());
    }

    /// Applies the desired state in force to the open jobs.
    pub fn on_desired(&mut self, _: CX![]) {
        let ids: Vec<_> = self.jobs.ids().cloned().collect();
        ids.iter().for_each(|id| self.refresh_policy(id));
        self.advance(Vec::new());
    }

    fn refresh_policy(&mut self, id: &str) {
        let row = self.node.jobs.borrow().get(id).map(|job| job.row.clone());
        let current = self.jobs.service(id);
        let policy = row.and_then(|row| submissions::policy(&self.node, id, &row, current));
        let service = policy.as_ref().map(|policy| policy.service.clone());
        if self.jobs.set_policy(id, policy) {
            info!(job = id, service:? = service, version = self.node.desired_version(); "job_rerouted");
        }
    }

    /// Records a newly named version of a model.
    pub fn on_named(&mut self, _: CX![], model: &str, version: u64) {
        self.jobs.on_named(clock::now(), model, version);
    }

    /// Closes a job and cancels its runs and scoring requests; `reason` is for the log.
    pub fn close(&mut self, _: CX![], id: &str, reason: &'static str) {
        if !self.jobs.is_open(id) {
            return;
        }
        let scoring = self.jobs.scoring(id);
        info!(job = id, reason, scoring; "job_closed");
        self.progress_tokens.remove(id);
        let mut out = Vec::new();
        self.close_job(id, &mut out);
        self.advance(out);
    }

    fn close_job(&mut self, id: &str, out: &mut Vec<JobAction>) {
        self.jobs.close(clock::now(), id, out);
        let scoring = self.scoring.remove(id).unwrap_or_default();
        scoring.iter().for_each(AbortHandle::abort);
    }

    pub fn on_head(&mut self, cx: CX![], run: RunId, version: u64) {
        if !self.jobs.on_head(run, version) {
            self.on_run_end(cx, run, &RunEnd::Refused);
        }
    }

    pub fn on_events(&mut self, cx: CX![], run: RunId, events: Vec<Event>) {
        for event in events {
            let node = Rc::clone(&self.node);
            let mut backends = node.backends.borrow_mut();
            let now = clock::now();
            let Event { id, data, version } = event;
            let wanted = self.jobs.on_event(now, &mut backends, run, id, data, version);
            drop(backends);
            if !wanted {
                self.on_run_end(cx, run, &RunEnd::Broken);
                return;
            }
        }
    }

    pub fn on_run_end(&mut self, _: CX![], run: RunId, end: &RunEnd) {
        if let Some(task) = self.tasks.remove(&run) {
            task.abort();
        }
        let mut out = Vec::new();
        let now = clock::now();
        let mut backends = self.node.backends.borrow_mut();
        self.jobs.on_run_end(now, &mut backends, run, end, &mut out);
        drop(backends);
        self.advance(out);
    }

    pub fn on_scored(&mut self, _: CX![], job: &str, sample: usize, end: ScoreEnd) {
        let mut out = Vec::new();
        self.jobs.on_scored(clock::now(), job, sample, end, &mut out);
        self.advance(out);
    }

    pub fn on_appended(&mut self, _: CX![], job: &str, end: AppendEnd) {
        let mut out = Vec::new();
        self.jobs.on_appended(clock::now(), job, end, &mut out);
        self.advance(out);
    }

    pub fn on_log(&mut self, _: CX![], job: &str, listed: &[ResultRow]) {
        let mut out = Vec::new();
        self.jobs.on_log(job, listed, &mut out);
        self.advance(out);
    }

    fn advance(&mut self, mut out: Vec<JobAction>) {
        self.hold_work();
        let plan = self.node.plan.borrow();
        let mut backends = self.node.backends.borrow_mut();
        self.jobs.tick(clock::now(), &mut backends, &plan, &mut out);
        drop((plan, backends));
        for action in out {
            self.perform(action);
        }
        metrics::gauge!("runs").set(self.jobs.running() as f64);
        metrics::gauge!("jobs_run_here").set(self.jobs.ids().count() as f64);
    }

    /// Starts no work while the jobs may have ended without this daemon's knowledge.
    fn hold_work(&mut self) {
        let is_held = !self.node.may_send_work();
        if self.jobs.hold(is_held) {
            let now = clock::now();
            let known_ms =
                self.node.job_freshness.borrow().age(now).map(|age| age.as_millis() as u64);
            info!(held = is_held, known_ms:? = known_ms, desired_ms:? = self.node.desired_age_ms(), jobs = self.jobs.ids().count(); "job_work_held");
        }
    }

    fn perform(&mut self, action: JobAction) {
        match action {
            JobAction::Run { run, job, sample, server, after } => {
                self.start_run(run, &job, sample, server, after);
            }
            JobAction::Move { run } => {
                if let Some(task) = self.tasks.remove(&run) {
                    task.abort();
                }
                info!(run; "run_moved");
            }
            JobAction::Cancel { run, server } => {
                if let Some(task) = self.tasks.remove(&run) {
                    task.abort();
                }
                self.node.backends.borrow_mut().ended(clock::now(), &server, Ended::Cancelled);
            }
            JobAction::Score { job, sample, tries } => self.score(job, sample, tries),
            JobAction::Append { job, batch } => {
                let node = Rc::clone(&self.node);
                tokio::task::spawn_local(async move {
                    let append = append(&node, &job, &batch);
                    let end = tasks::or_after_panic(append, AppendEnd::Unknown).await;
                    node.with_runner(move |runner, cx| runner.on_appended(cx, &job, end));
                });
            }
            JobAction::ReadLog { job } => {
                let node = Rc::clone(&self.node);
                tokio::task::spawn_local(async move {
                    tasks::restart_after_panics("job log", || read_log(&node, &job)).await;
                });
            }
            JobAction::GaveUp { job, sample, reason } => {
                info!(job, sample, reason:? = reason; "sample_given_up");
            }
        }
    }

    fn start_run(
        &mut self,
        run: RunId,
        job: &str,
        index: usize,
        server: String,
        after: Option<u64>,
    ) {
        let Some((sample, policy)) = self.jobs.sample(job, index) else { return };
        let entry = self.node.backends.borrow().get(&server).cloned();
        let jobs = self.node.jobs.borrow();
        let row = jobs.get(job).map(|job| job.row.clone());
        drop(jobs);
        let (Some(entry), Some(JobRow { host, path, account, .. })) = (entry, row) else {
            // The server or the job was removed after the server was chosen.
            self.node.with_runner(move |runner, cx| runner.on_run_end(cx, run, &RunEnd::Refused));
            return;
        };
        let req = RunRequest {
            run,
            job: job.to_owned(),
            server: entry,
            host,
            job_target: path,
            has_accounts: self.node.desired().is_some_and(|desired| desired.accounts.is_some()),
            account,
            priority: policy.priority,
            sample: sample.clone(),
            after,
            deadline: policy.give_up_at,
        };
        let task = tokio::task::spawn_local(stream::run(Rc::clone(&self.node), req));
        self.tasks.insert(run, task.abort_handle());
    }

    fn score(&mut self, job: JobId, index: usize, tries: u32) {
        let scorer = self.jobs.sample(&job, index).and_then(|(sample, _)| sample.scorer.clone());
        let Some(scorer) = scorer else { return };
        let (node, id) = (Rc::clone(&self.node), job.clone());
        let task = tokio::task::spawn_local(async move {
            let req = ScoreRequest { job: &id, scorer: &scorer, tries };
            let end = score::request_score(&node, req).await;
            node.clone().with_runner(move |runner, cx| runner.on_scored(cx, &id, index, end));
        });
        let tasks = self.scoring.entry(job).or_default();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task.abort_handle());
    }
}

async fn append(node: &Node, job: &str, batch: &Batch) -> AppendEnd {
    fail::fail_point!("append");
    let mut tx = StoreTx::default();
    let row_bytes = node.settings().row_bytes;
    for (offset, result) in batch.results.iter().enumerate() {
        let position = batch.first + offset;
        tx.expected.push((rows::result_key(job, position, 0), 0));
        tx.put.extend(rows::encode_result(job, position, result, row_bytes));
    }
    let end = node.store.transact(&tx).await;
    let end = match end {
        TxEnd::Committed(_) => AppendEnd::Done,
        TxEnd::Conflict(_) => AppendEnd::Conflict,
        TxEnd::Failed(StoreFailure::Refused) => AppendEnd::Refused,
        TxEnd::Failed(StoreFailure::Unknown) => AppendEnd::Unknown,
    };
    info!(job, first = batch.first, results = batch.results.len(), outcome:? = end; "results_appended");
    end
}

async fn read_log(node: &Node, job: &JobId) {
    loop {
        if let Some(page) = node.store.rows(&rows::result_key(job, 0, 0), None).await {
            let listed = rows::decode_results(&page.rows);
            info!(job = job.as_str(), listed = listed.len(); "job_log_read");
            let job = job.clone();
            node.with_runner(move |runner, cx| runner.on_log(cx, &job, &listed));
            return;
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}
