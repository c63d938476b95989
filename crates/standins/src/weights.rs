//! Weight store whose bandwidth is shared by all readers.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use crate::server::{pause, Call, Handler, Result, Server};

/// Weight store. It sends no weights, but simulates the transfer time and counts the bytes.
#[derive(Debug)]
pub struct WeightStore {
    bytes_per_s: f64,
    region: String,
    /// End of the last scheduled transfer.
    busy_until: Mutex<Instant>,
    link_bytes: AtomicU64,
}

const THREADS: usize = 16;
const PATH_PREFIX: &str = "/v1/weights/";

impl WeightStore {
    /// Creates a store in `region`.
    pub fn new(bytes_per_s: f64, region: &str) -> Arc<WeightStore> {
        Arc::new(WeightStore {
            bytes_per_s,
            region: region.to_owned(),
            busy_until: Mutex::new(Instant::now()),
            link_bytes: AtomicU64::new(0),
        })
    }

    /// Starts serving the store on `listen`.
    pub fn serve(self: &Arc<WeightStore>, listen: &str) -> Result<Server> {
        Server::start(listen, THREADS, Arc::clone(self))
    }

    /// Returns the number of bytes read from other regions.
    pub fn link_bytes(&self) -> u64 {
        self.link_bytes.load(Ordering::Relaxed)
    }

    /// Schedules a transfer after the transfers in progress and returns the time until its end.
    fn schedule_transfer(&self, bytes: u64) -> Duration {
        let mut busy_until = self.busy_until.lock().expect("lock poisoned");
        let now = Instant::now();
        let start = (*busy_until).max(now);
        *busy_until = start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        *busy_until - now
    }
}

impl Handler for WeightStore {
    fn handle(&self, call: Call) {
        if !call.path.starts_with(PATH_PREFIX) {
            return call.text(404, "no such path");
        }
        let Ok(bytes) = call.parameter("bytes").parse() else {
            return call.text(400, "parameter bytes is not a number");
        };
        if call.parameter("region") != self.region {
            self.link_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        pause(self.schedule_transfer(bytes));
        call.text(200, "");
    }
}
