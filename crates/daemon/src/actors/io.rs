//! Gives jobs to the threads and their results to the actors that asked.

use rustc_hash::FxHashMap;
use stakker::{
    fwd_to, ret,
    sync::{Channel, ChannelGuard},
    Ret, CX,
};

use crate::{
    io::{not_run, Job, JobId, JobResult, Pool},
    telemetry::Telemetry,
};
use buckthornfall_proto::settings::PlatformSettings;

/// Threads towards the table service, the object store and the host list.
const PLATFORM_THREADS: u32 = 8;

/// The jobs of one daemon.
pub struct Io {
    platform: Pool,
    servers: Pool,
    waiting: FxHashMap<JobId, Ret<JobResult>>,
    next: JobId,
    _guard: ChannelGuard,
}

impl Io {
    /// Starts the threads.
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
                waiting: FxHashMap::default(),
                next: 0,
                _guard: guard,
            }),
            (Err(e), _) | (_, Err(e)) => {
                cx.fail(e);
                None
            }
        }
    }

    /// Runs a job; one that finds no place in the queue has not run.
    pub fn submit(&mut self, _cx: CX![], job: Job, ret: Ret<JobResult>) {
        self.next += 1;
        let pool = match &job {
            Job::State(_) | Job::Order { .. } | Job::Isolate { .. } => &self.servers,
            _ => &self.platform,
        };
        match pool.submit(self.next, job) {
            Ok(()) => {
                self.waiting.insert(self.next, ret);
            }
            Err(job) => {
                metrics::counter!("io_queue_full_total").increment(1);
                ret!([ret], not_run(&job));
            }
        }
    }

    fn on_result(&mut self, _cx: CX![], (id, result): (JobId, JobResult)) {
        if let Some(ret) = self.waiting.remove(&id) {
            ret!([ret], result);
        }
    }
}
