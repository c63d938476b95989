//! Blocking requests to the platform's services and to backend servers, run on thread pools.

use std::{
    io,
    sync::{
        mpsc::{sync_channel, Receiver, SyncSender},
        Arc, Mutex,
    },
    time::Duration,
};

use buckthornfall_client::http::{Error, Http, HttpOptions};
use buckthornfall_core::table::{ReadResult, ScanResult, TableError, TxnResult};
use buckthornfall_proto::{
    messages::{EngineOrder, EngineState, HostListAnswer, Isolation, Row, ScanAnswer, Txn},
    settings::PlatformSettings,
};
use stakker::sync::Channel;

use crate::telemetry::Telemetry;

/// A request to another process.
#[derive(Debug, Clone)]
pub enum Job {
    /// Runs a transaction of the table service.
    Txn(Txn),
    /// Reads one row of the table service.
    Read(String),
    /// Reads the rows whose keys have this prefix.
    Scan(String),
    /// Writes an object to the object store.
    Put {
        /// Key of the object.
        key: String,
        /// Content of the object.
        content: String,
    },
    /// Reads the object with this key from the object store.
    Get(String),
    /// Reads the host list.
    HostList,
    /// Reads the report of the backend server at this address.
    State(String),
    /// Sends an order to a backend server.
    Order {
        /// Address and port of the server.
        address: String,
        /// The order.
        order: EngineOrder,
    },
    /// Reserves a backend server for one attempt, or ends the reservation.
    Isolate {
        /// Address and port of the server.
        address: String,
        /// The attempt and the maximum duration of the isolation.
        isolation: Isolation,
    },
}

/// Result of a job.
#[derive(Debug, Clone)]
pub enum JobResult {
    /// Result of a transaction.
    Txn(TxnResult),
    /// Result of a row read.
    Read(ReadResult),
    /// Result of a scan.
    Scan(ScanResult),
    /// Result of an object write.
    Put(Result<(), TableError>),
    /// Result of an object read; `None` if the object does not exist.
    Get(Result<Option<String>, TableError>),
    /// The host list; `None` if the request failed.
    HostList(Option<HostListAnswer>),
    /// State from a report or an isolation; `None` if the request failed.
    State(Option<EngineState>),
    /// Whether the server accepted an order.
    Order(bool),
}

/// Id of a job.
pub type JobId = u64;

/// Maximum number of queued jobs.
const QUEUE_CAPACITY: usize = 4096;
/// Timeout of a request to the platform's services.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a request to a backend server.
const SERVER_TIMEOUT: Duration = Duration::from_millis(1500);

/// A pool of threads that run jobs.
pub struct Pool {
    jobs: SyncSender<(JobId, Job)>,
}

impl Pool {
    /// Starts `threads` threads that send their results to `results`.
    pub fn start(
        name: &str,
        threads: u32,
        platform: &PlatformSettings,
        results: &Channel<(JobId, JobResult)>,
        telemetry: &Telemetry,
    ) -> io::Result<Pool> {
        let (tx, rx) = sync_channel(QUEUE_CAPACITY);
        let jobs = Arc::new(Mutex::new(rx));
        let runner = Arc::new(Runner::new(platform));
        for _ in 0..threads {
            let (jobs, runner) = (Arc::clone(&jobs), Arc::clone(&runner));
            let results = results.clone();
            telemetry.spawn(name, move || run_worker(&jobs, &runner, &results))?;
        }
        Ok(Pool { jobs: tx })
    }

    /// Queues a job; returns it if the queue is full.
    pub fn submit(&self, id: JobId, job: Job) -> Result<(), Job> {
        self.jobs.try_send((id, job)).map_err(|e| match e {
            std::sync::mpsc::TrySendError::Full((_, job))
            | std::sync::mpsc::TrySendError::Disconnected((_, job)) => job,
        })
    }
}

fn run_worker(
    jobs: &Mutex<Receiver<(JobId, Job)>>,
    runner: &Runner,
    results: &Channel<(JobId, JobResult)>,
) {
    loop {
        let next = jobs.lock().expect("lock poisoned").recv();
        let Ok((id, job)) = next else { return };
        if !results.send((id, runner.run(job))) {
            return;
        }
    }
}

struct Runner {
    platform: Http,
    servers: Http,
    table: String,
    objects: String,
    host_list: String,
}

impl Runner {
    fn new(platform: &PlatformSettings) -> Runner {
        let options = |timeout, pooled| HttpOptions {
            timeout: Some(timeout),
            pooled,
            ..HttpOptions::default()
        };
        Runner {
            platform: Http::new(&options(PLATFORM_TIMEOUT, false)),
            servers: Http::new(&options(SERVER_TIMEOUT, false)),
            table: format!("http://{}/v1", platform.table),
            objects: format!("http://{}/v1/objects", platform.objects),
            host_list: format!("http://{}/v1/hosts", platform.host_list),
        }
    }

    fn run(&self, job: Job) -> JobResult {
        match job {
            Job::Txn(txn) => {
                let url = format!("{}/txn", self.table);
                JobResult::Txn(
                    self.platform.post_json(&url, &[], &txn).map_err(|e| table_error(&e)),
                )
            }
            Job::Read(key) => {
                let url = format!("{}/rows?key={key}", self.table);
                JobResult::Read(
                    self.platform.get_json::<Row>(&url, &[]).map_err(|e| table_error(&e)),
                )
            }
            Job::Scan(prefix) => {
                let url = format!("{}/scan?prefix={prefix}", self.table);
                let answer = self.platform.get_json::<ScanAnswer>(&url, &[]);
                JobResult::Scan(answer.map(|a| a.rows).map_err(|e| table_error(&e)))
            }
            Job::Put { key, content } => {
                let url = format!("{}/{key}", self.objects);
                let reply = self.platform.put(&url, &[], content.as_bytes());
                JobResult::Put(match reply {
                    Ok(reply) if reply.status == 200 => Ok(()),
                    Ok(_) => Err(TableError::NotSent),
                    Err(e) => Err(table_error(&e)),
                })
            }
            Job::Get(key) => JobResult::Get(self.get_object(&key)),
            Job::HostList => JobResult::HostList(self.platform.get_json(&self.host_list, &[]).ok()),
            Job::State(address) => {
                let url = format!("http://{address}/admin/state");
                JobResult::State(self.servers.get_json(&url, &[]).ok())
            }
            Job::Order { address, order } => {
                let url = format!("http://{address}/admin/order");
                let body = serde_json::to_vec(&order).expect("messages serialize to JSON");
                let reply = self.servers.post(&url, &[], &body);
                JobResult::Order(reply.is_ok_and(|reply| reply.status == 200))
            }
            Job::Isolate { address, isolation } => {
                let url = format!("http://{address}/admin/isolate");
                JobResult::State(self.servers.post_json(&url, &[], &isolation).ok())
            }
        }
    }

    fn get_object(&self, key: &str) -> Result<Option<String>, TableError> {
        let url = format!("{}/{key}", self.objects);
        let reply = self.platform.get(&url, &[]).map_err(|e| table_error(&e))?;
        match reply.status {
            200 => Ok(String::from_utf8(reply.body.to_vec()).ok()),
            404 => Ok(None),
            _ => Err(TableError::NoReply),
        }
    }
}

fn table_error(error: &Error) -> TableError {
    match error {
        Error::NotSent { .. } => TableError::NotSent,
        Error::NoReply { .. } | Error::Status { .. } | Error::Malformed { .. } => {
            TableError::NoReply
        }
    }
}

/// Returns the result of a job that was not run because the queue was full.
pub fn not_run_result(job: &Job) -> JobResult {
    match job {
        Job::Txn(_) => JobResult::Txn(Err(TableError::NotSent)),
        Job::Read(_) => JobResult::Read(Err(TableError::NotSent)),
        Job::Scan(_) => JobResult::Scan(Err(TableError::NotSent)),
        Job::Put { .. } => JobResult::Put(Err(TableError::NotSent)),
        Job::Get(_) => JobResult::Get(Err(TableError::NotSent)),
        Job::HostList => JobResult::HostList(None),
        Job::State(_) | Job::Isolate { .. } => JobResult::State(None),
        Job::Order { .. } => JobResult::Order(false),
    }
}
