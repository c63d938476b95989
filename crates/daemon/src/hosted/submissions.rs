//! Requests of callers on jobs: submit a job, read its sample bodies, and end it.

use std::{rc::Rc, sync::Arc, time::Duration};

use buckthornfall_core::{
    accounts::Account,
    desired::Route,
    held_bytes::Purpose,
    job::{self, JobPolicy, JobSpec, SampleId, Text},
    store::{RowKey, RowVersion, StoreFailure, StoreTx, TxEnd},
    Now,
};
use buckthornfall_platform::jobs as wire;
use buckthornfall_proto::{
    digest::fingerprint,
    ids::ServiceName,
    messages::{JobRow, JobState, ResultRow},
};
use bytes::Bytes;
use http::{Response, StatusCode};
use log::{info, warn};
use rustc_hash::FxHashMap;
use tokio::time::{sleep, timeout};

use super::{
    access::{JobSender, Refusal},
    body::{full_response, ResponseBody},
    clock,
    hold::{Hold, Pieces},
    job_ends::{self, Requester},
    node::Node,
    responses, rows,
};

/// Part of a row, as numerator and denominator, that a chunk of a submission may fill, so that its
/// encoding fits the row.
const CHUNK_FRACTION: (usize, usize) = (3, 4);
/// Maximum size of a submission that is stored as rows; a larger one is stored as an object.
const MAX_ROWS_BYTES: usize = 600_000;
/// Interval between reads of the store while waiting for results, and between attempts to load a
/// job.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Margin added to the TTL of samples, as the clocks of daemons differ.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(500);
/// TTL of samples whose route does not set one.
const DEFAULT_SAMPLE_TTL: Duration = Duration::from_secs(60);
/// Maximum wait of a body that is read from the store for the budget.
const HOLD_PATIENCE: Duration = Duration::from_millis(700);
/// Maximum number of attempts to write a new job row while the outcome is unknown.
const MAX_WRITE_ATTEMPTS: u32 = 4;

/// A job as a caller submits it.
#[derive(Debug, Clone, Copy)]
pub struct Submission<'a> {
    /// Id of the job.
    pub id: &'a str,
    /// Host header.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Client account that submits it, if its route needs one.
    pub account: Option<&'a Account>,
}

impl Submission<'_> {
    fn account_name(&self) -> Option<&str> {
        self.account.map(|account| account.name.as_str())
    }

    /// Responds to the submission of a job that is stored with `row`.
    fn accepted(&self, row: &JobRow) -> Response<Bytes> {
        if row.account.as_deref() == self.account_name() {
            return responses::status(StatusCode::ACCEPTED);
        }
        warn!(job = self.id; "job_of_another_account");
        responses::error(StatusCode::CONFLICT, "the id belongs to another job")
    }
}

/// Accepts a job. Responds with 202 only once the whole job is stored.
pub async fn accept(
    node: &Rc<Node>,
    route: &Arc<Route>,
    submission: Submission<'_>,
    body: Bytes,
) -> Response<Bytes> {
    let id = submission.id;
    let known = node.jobs.borrow().get(id).map(|known| known.row.clone());
    if let Some(known) = known {
        info!(job = id; "job_known");
        return submission.accepted(&known);
    }
    let spec = match wire::decode_job(&body) {
        Ok(spec) => spec,
        Err(e) => {
            warn!(job = id, error:% = e; "job_unreadable");
            return responses::error(StatusCode::BAD_REQUEST, &e.to_string());
        }
    };
    if node.store.is_unavailable() {
        let silence_ms = node.store.time_since_success().as_millis() as u64;
        info!(job = id, silence_ms; "job_refused_without_store");
        return responses::not_run("the store does not answer");
    }
    let end = write_job(node, submission, &spec, &body).await;
    info!(job = id, route = route.name.as_str(), samples = spec.samples.len(), bytes = body.len(),
        outcome:? = end.as_ref().map(|(row, version)| (row.owner.clone(), *version)); "job_submitted");
    match end {
        Ok((row, version)) => {
            let response = submission.accepted(&row);
            node.on_job(id, row, version);
            response
        }
        Err(StoreFailure::Refused) => responses::not_run("the store refused the job"),
        Err(StoreFailure::Unknown) => {
            responses::error(StatusCode::GATEWAY_TIMEOUT, "the store did not confirm the job")
        }
    }
}

async fn write_job(
    node: &Rc<Node>,
    submission: Submission<'_>,
    spec: &JobSpec,
    body: &Bytes,
) -> Result<(JobRow, RowVersion), StoreFailure> {
    let id = submission.id;
    let digest = format!("{:016x}", fingerprint(&[body]));
    let chunks = write_submission(node, id, &digest, body).await?;
    let owner = node.members.borrow().owner(clock::now(), &spec.model).cloned();
    let row = JobRow {
        state: JobState::Open,
        owner: owner.unwrap_or_else(|| node.settings().host.clone()),
        host: submission.host.to_owned(),
        account: submission.account_name().map(str::to_owned),
        path: submission.path.to_owned(),
        accepted_ms: node.store.clock_ms(),
        model: spec.model.clone(),
        min_version: spec.min_version,
        samples: u32::try_from(spec.samples.len()).unwrap_or(u32::MAX),
        digest,
        chunks,
        work: spec.samples.iter().map(|sample| sample.expected_tokens).sum(),
    };
    let key = Node::job_key(id);
    let tx = StoreTx::replace(key.clone(), 0, rows::encode(&row));
    let mut refusal = StoreFailure::Refused;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match node.store.transact(&tx).await {
            TxEnd::Committed(version) => return Ok((row, version)),
            TxEnd::Conflict(found) => {
                let found = found.into_iter().find(|found| found.key == key);
                let known = found.and_then(|found| Some((rows::decode(&found)?, found.version)));
                return known.ok_or(StoreFailure::Unknown);
            }
            // An earlier attempt of unknown outcome may still take effect.
            TxEnd::Failed(StoreFailure::Refused) => return Err(refusal),
            // A retry of the same write resolves the outcome: it commits, or the conflict returns
            // the row.
            TxEnd::Failed(StoreFailure::Unknown) => refusal = StoreFailure::Unknown,
        }
    }
    Err(StoreFailure::Unknown)
}

/// Stores a job's submission. Returns the number of rows, or 0 if it was stored as an object.
async fn write_submission(
    node: &Node,
    id: &str,
    digest: &str,
    body: &Bytes,
) -> Result<u32, StoreFailure> {
    if body.len() > MAX_ROWS_BYTES {
        return match node.store.put_object(&object_name(id, digest), body.clone()).await {
            Some(true) => Ok(0),
            _ => Err(StoreFailure::Refused),
        };
    }
    let size = node.settings().row_bytes / CHUNK_FRACTION.1 * CHUNK_FRACTION.0;
    let chunks = body.len().div_ceil(size);
    let put = (0..chunks).map(|index| {
        let end = body.len().min((index + 1) * size);
        (chunk_key(id, digest, index), body.slice(index * size..end))
    });
    let tx = StoreTx::put(put.collect());
    match node.store.transact(&tx).await {
        TxEnd::Committed(_) => Ok(u32::try_from(chunks).unwrap_or(u32::MAX)),
        // The job row is not written yet, so the job is not accepted and nothing of it runs.
        _ => Err(StoreFailure::Refused),
    }
}

fn chunk_key(id: &str, digest: &str, index: usize) -> RowKey {
    RowKey::new(rows::SUBMISSIONS, id, &format!("{digest}.{index:04}"))
}

/// Returns the name of the object that holds a large submission.
pub fn object_name(id: &str, digest: &str) -> String {
    format!("submission-{id}-{digest}")
}

async fn read_submission(node: &Node, id: &str, row: &JobRow) -> Option<Bytes> {
    if row.chunks == 0 {
        return node.store.get_object(&object_name(id, &row.digest)).await;
    }
    let end_key = format!("{}.~", row.digest);
    let page = node.store.rows(&chunk_key(id, &row.digest, 0), Some(&end_key)).await?;
    let values: Vec<_> = page.rows.into_iter().filter_map(|row| row.value).collect();
    (values.len() == row.chunks as usize).then(|| values.concat().into())
}

/// Reads a job that this daemon owns, with retries, and opens it in the runner.
pub async fn load(node: &Rc<Node>, id: &str) {
    loop {
        fail::fail_point!("load");
        let known = node.jobs.borrow().get(id).cloned();
        let Some(job) = known else { return };
        if !node.owns(&job.row) || node.is_leaving() || node.job_ends.is_requested(id) {
            return;
        }
        if let Some(loaded) = load_once(node, id, &job.row).await {
            let id = id.to_owned();
            node.with_runner(move |runner, cx| runner.open(cx, &id, loaded));
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// A job as read from the store.
pub struct LoadedJob {
    /// The submission.
    pub spec: JobSpec,
    /// Policy set by the job's route.
    pub policy: JobPolicy,
    /// Rows of the results log.
    pub listed: Vec<ResultRow>,
    /// Text of unfinished samples that earlier owners saved.
    pub saved: FxHashMap<SampleId, Text>,
}

async fn load_once(node: &Rc<Node>, id: &str, row: &JobRow) -> Option<LoadedJob> {
    let policy = policy(node, id, row, None)?;
    let (results, progress) = (rows::result_key(id, 0, 0), RowKey::new(rows::PROGRESS, id, ""));
    let (text, listed, saved) = tokio::join!(
        read_submission(node, id, row),
        node.store.rows(&results, None),
        node.store.rows(&progress, None),
    );
    let text = text?;
    let spec = match wire::decode_job(&text) {
        Ok(spec) => spec,
        Err(e) => {
            warn!(job = id, error:% = e; "stored_job_unreadable");
            return None;
        }
    };
    let listed = rows::decode_results(&listed?.rows);
    let saved: Vec<_> = saved?
        .rows
        .iter()
        .filter_map(|row| Some((rows::progress_token(row).to_owned(), rows::decode(row)?)))
        .collect();
    Some(LoadedJob { spec, policy, listed, saved: job::restore_texts(&saved) })
}

/// Returns the policy of a job by the desired state in force; `None` if no route takes the job. It stays at
/// the service `current` while its route leads there.
pub fn policy(
    node: &Node,
    id: &str,
    row: &JobRow,
    current: Option<&ServiceName>,
) -> Option<JobPolicy> {
    let desired = node.desired()?;
    let path = row.path.split('?').next().unwrap_or_default();
    let route = desired.route(&row.host, path)?;
    let account = row.account.as_deref().and_then(|name| desired.accounts.as_ref()?.by_name(name));
    let account_priority = account.and_then(|account| account.priority);
    let current = current.filter(|current| route.leads_to(current));
    let accepted: Now = node.store.to_local(row.accepted_ms);
    Some(JobPolicy {
        service: current.unwrap_or_else(|| route.target(fingerprint(&[id.as_bytes()]))).clone(),
        max_attempts: route.max_attempts,
        priority: account_priority.unwrap_or(route.priority),
        single_version: route.single_version,
        give_up_at: accepted + route.sample_ttl.unwrap_or(DEFAULT_SAMPLE_TTL) + GIVE_UP_MARGIN,
        accepted,
    })
}

/// Returns the row of a job: `Ok(None)` if there is none, `Err` if it could not be read.
pub async fn job_row(
    node: &Rc<Node>,
    id: &str,
) -> Result<Option<(JobRow, RowVersion)>, StoreFailure> {
    if let Some(known) = node.jobs.borrow().get(id) {
        return Ok(Some((known.row.clone(), known.version)));
    }
    let Some(found) = node.store.row(&Node::job_key(id)).await? else { return Ok(None) };
    let Some(row) = rows::decode::<JobRow>(&found) else { return Ok(None) };
    node.on_job(id, row.clone(), found.version);
    Ok(Some((row, found.version)))
}

/// Returns the row of a job that its sender may access, or the refusal.
pub async fn accessible_job(
    node: &Rc<Node>,
    id: &str,
    sender: JobSender,
) -> Result<JobRow, Refusal> {
    match job_row(node, id).await {
        Ok(Some((row, _))) => match sender.refusal(row.account.as_deref()) {
            Some(refusal) => Err(refusal),
            None => Ok(row),
        },
        Ok(None) => Err(Box::new(sender.not_found())),
        Err(_) => Err(Box::new(responses::not_run("the store does not answer"))),
    }
}

/// Responds with the request body of a sample.
pub async fn sample_body(
    node: &Rc<Node>,
    id: &str,
    sender: JobSender,
    sample: &str,
) -> Response<ResponseBody> {
    let row = match accessible_job(node, id, sender).await {
        Ok(row) => row,
        Err(refusal) => return full_response(*refusal),
    };
    // Few objects are read at the same time, whoever needs them.
    let rows_bytes = row.chunks as usize * node.settings().row_bytes;
    let mut submission = Hold::new(node, Purpose::Requests);
    if !submission.wait(rows_bytes, HOLD_PATIENCE).await {
        return full_response(responses::not_run("too many long bodies at this daemon"));
    }
    let Some(text) = read_submission(node, id, &row).await else {
        return full_response(responses::not_run("the store does not answer"));
    };
    let spec = wire::decode_job(&text).ok();
    let found = spec.and_then(|spec| spec.samples.into_iter().find(|s| s.id == sample));
    let Some(sample) = found else {
        return full_response(responses::status(StatusCode::NOT_FOUND));
    };
    let mut hold = Hold::new(node, Purpose::Results);
    if !hold.wait(sample.body.len(), HOLD_PATIENCE).await {
        return full_response(responses::not_run(
            "too many callers read long bodies at this daemon",
        ));
    }
    let mut body = Pieces::new(hold);
    body.push(sample.body);
    Response::new(ResponseBody::pieces(body))
}

/// Ends a job. Responds with 200 only once the end is stored; it is stored later if the caller's time
/// ends before.
pub async fn end(node: &Rc<Node>, id: &str, sender: JobSender) -> Response<Bytes> {
    let row = match accessible_job(node, id, sender).await {
        Ok(row) => row,
        Err(refusal) => return *refusal,
    };
    if row.state == JobState::Ended {
        return responses::status(StatusCode::OK);
    }
    info!(job = id, owner = row.owner.as_str(); "job_end_requested");
    job_ends::request(node, id, Requester::Caller);
    loop {
        match node.jobs.borrow().get(id).map(|job| job.row.state) {
            None => return responses::status(StatusCode::NOT_FOUND),
            Some(JobState::Ended) => return responses::status(StatusCode::OK),
            Some(JobState::Open | JobState::Refused) => {}
        }
        if node.store.is_unavailable() {
            return responses::error(
                StatusCode::GATEWAY_TIMEOUT,
                "the store does not answer; the end will be stored once it does",
            );
        }
        node.job_ends.wait(POLL_INTERVAL).await;
    }
}

/// Applies the caller's timeout to `call`; responds with 504 when it expires.
pub async fn with_timeout(
    caller_timeout: Duration,
    call: impl std::future::Future<Output = Response<ResponseBody>>,
) -> Response<ResponseBody> {
    let reason = "the store did not answer in time";
    match timeout(caller_timeout, call).await {
        Ok(response) => response,
        Err(_) => full_response(responses::error(StatusCode::GATEWAY_TIMEOUT, reason)),
    }
}
