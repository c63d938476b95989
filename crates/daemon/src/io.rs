//! Requests to the platform and orders to servers, on threads of their own.

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

/// Something to ask of another process.
#[derive(Debug, Clone)]
pub enum Job {
    /// A transaction of the table service.
    Txn(Txn),
    /// A read of one row.
    Read(String),
    /// A scan of a prefix.
    Scan(String),
    /// A put into the object store.
    Put {
        /// Key of the object.
        key: String,
        /// Its content.
        content: String,
    },
    /// A get from the object store.
    Get(String),
    /// The host list.
    HostList,
    /// The report of the server at this address.
    State(String),
    /// An order to an engine.
    Order {
        /// Address of the engine.
        address: String,
        /// The order.
        order: EngineOrder,
    },
    /// Keeps an engine free for one attempt, or lifts that.
    Isolate {
        /// Address of the engine.
        address: String,
        /// What to do.
        isolation: Isolation,
    },
}

/// What came of a job.
#[derive(Debug, Clone)]
pub enum JobResult {
    /// Of a transaction.
    Txn(TxnResult),
    /// Of a read.
    Read(ReadResult),
    /// Of a scan.
    Scan(ScanResult),
    /// Of a put.
    Put(Result<(), TableError>),
    /// Of a get; `None` if the object does not exist.
    Get(Result<Option<String>, TableError>),
    /// Of the host list.
    HostList(Option<HostListAnswer>),
    /// Of a report or an isolation; `None` if the server did not answer.
    State(Option<EngineState>),
    /// Of an order: whether the engine took it.
    Order(bool),
}

/// Id of a job.
pub type JobId = u64;

/// Jobs that may wait for a thread.
const QUEUE: usize = 4096;
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1500);
const SERVER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Threads that run jobs.
pub struct Pool {
    jobs: SyncSender<(JobId, Job)>,
}

impl Pool {
    /// Starts `threads` threads that report to `results`.
    pub fn start(
        name: &str,
        threads: u32,
        platform: &PlatformSettings,
        results: &Channel<(JobId, JobResult)>,
        telemetry: &Telemetry,
    ) -> io::Result<Pool> {
        let (tx, rx) = sync_channel(QUEUE);
        let jobs = Arc::new(Mutex::new(rx));
        let runner = Arc::new(Runner::new(platform));
        for _ in 0..threads {
            let (jobs, runner) = (Arc::clone(&jobs), Arc::clone(&runner));
            let results = results.clone();
            telemetry.spawn(name, move || work(&jobs, &runner, &results))?;
        }
        Ok(Pool { jobs: tx })
    }

    /// Gives a job to the threads; gives it back if the queue is full.
    pub fn submit(&self, id: JobId, job: Job) -> Result<(), Job> {
        self.jobs.try_send((id, job)).map_err(|e| match e {
            std::sync::mpsc::TrySendError::Full((_, job))
            | std::sync::mpsc::TrySendError::Disconnected((_, job)) => job,
        })
    }
}

fn work(
    jobs: &Mutex<Receiver<(JobId, Job)>>,
    runner: &Runner,
    results: &Channel<(JobId, JobResult)>,
) {
    loop {
        let next = jobs.lock().expect("no holder panics").recv();
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
        let options =
            |total, pooled| HttpOptions { timeout: Some(total), pooled, ..HttpOptions::default() };
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
                let body = serde_json::to_vec(&order).expect("messages are plain data");
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

/// What a job that found no place in the queue comes to: it did not run.
pub fn not_run(job: &Job) -> JobResult {
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
