//! The weight store: a limited number of bytes a second over all readers.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use crate::server::{pause, Call, Handler, Result, Server};

/// The weight store. It sends no weights, but takes the time and counts the bytes.
#[derive(Debug)]
pub struct WeightStore {
    bytes_per_s: f64,
    region: String,
    /// When the last promised byte will have been sent.
    busy_until: Mutex<Instant>,
    link_bytes: AtomicU64,
}

const THREADS: usize = 16;
const PREFIX: &str = "/v1/weights/";

impl WeightStore {
    /// A store in `region`.
    pub fn new(bytes_per_s: f64, region: &str) -> Arc<WeightStore> {
        Arc::new(WeightStore {
            bytes_per_s,
            region: region.to_owned(),
            busy_until: Mutex::new(Instant::now()),
            link_bytes: AtomicU64::new(0),
        })
    }

    /// Serves the store on `listen`.
    pub fn serve(self: &Arc<WeightStore>, listen: &str) -> Result<Server> {
        Server::start(listen, THREADS, Arc::clone(self))
    }

    /// Bytes read from other regions.
    pub fn link_bytes(&self) -> u64 {
        self.link_bytes.load(Ordering::Relaxed)
    }

    fn wait_for(&self, bytes: u64) -> Duration {
        let mut busy_until = self.busy_until.lock().expect("no holder panics");
        let now = Instant::now();
        let from = (*busy_until).max(now);
        *busy_until = from + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        *busy_until - now
    }
}

impl Handler for WeightStore {
    fn handle(&self, call: Call) {
        if !call.path.starts_with(PREFIX) {
            return call.text(404, "no such path");
        }
        let Ok(bytes) = call.parameter("bytes").parse() else {
            return call.text(400, "parameter bytes is not a number");
        };
        if call.parameter("region") != self.region {
            self.link_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        pause(self.wait_for(bytes));
        call.text(200, "");
    }
}
