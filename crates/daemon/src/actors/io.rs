//! Passes I/O jobs to the thread pools and their results to the actors that submitted them.

use rustc_hash::FxHashMap;
use stakker::{
    fwd_to, ret,
    sync::{Channel, ChannelGuard},
    Ret, CX,
};

use crate::{
    io::{not_run_result, Job, JobId, JobResult, Pool},
    telemetry::Telemetry,
};
use buckthornfall_proto::settings::PlatformSettings;

/// Number of threads for requests to the table service, the object store and the host list.
const PLATFORM_THREADS: u32 = 8;

/// Actor for the I/O jobs of one daemon.
pub struct Io {
    platform: Pool,
    servers: Pool,
    pending: FxHashMap<JobId, Ret<JobResult>>,
    next_id: JobId,
    _guard: ChannelGuard,
}

impl Io {
    /// Starts the thread pools.
    pub fn init(
        cx: CX![],
        platform: PlatformSettings,
        threads: u32,
        telemetry: Telemetry,
    ) -> Option<Io> {
        let results = fwd_to!([cx], on_result() as ((JobId, JobResult)));
        let (results, guard) = Channel::new(cx, results);
        let start = |name, threads| Pool::start(name, threads, &platform, &results, &telemetry);
        match (start("platform", PLATFORM_THREADS), start("servers", threads)) {
            (Ok(platform), Ok(servers)) => Some(Io {
                platform,
                servers,
                pending: FxHashMap::default(),
                next_id: 0,
                _guard: guard,
            }),
            (Err(e), _) | (_, Err(e)) => {
                cx.fail(e);
                None
            }
        }
    }

    /// Submits a job; if the queue is full, the job is reported as not run.
    pub fn submit(&mut self, _cx: CX![], job: Job, ret: Ret<JobResult>) {
        self.next_id += 1;
        let pool = match &job {
            Job::State(_) | Job::Order { .. } | Job::Isolate { .. } => &self.servers,
            _ => &self.platform,
        };
        match pool.submit(self.next_id, job) {
            Ok(()) => {
                self.pending.insert(self.next_id, ret);
            }
            Err(job) => {
                metrics::counter!("io_queue_full_total").increment(1);
                ret!([ret], not_run_result(&job));
            }
        }
    }

    fn on_result(&mut self, _cx: CX![], (id, result): (JobId, JobResult)) {
        if let Some(ret) = self.pending.remove(&id) {
            ret!([ret], result);
        }
    }
}
