//! Servers of plain and scoring services.

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use buckthornfall_proto::{
    digest::fingerprint,
    messages::{EngineState, ScoreAnswer, ScoreRequest},
};

use crate::server::{pause, Call, Handler, Result, Server};

/// Options of one server of a plain or scoring service.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Name of the service.
    pub service: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Time to execute one request.
    pub work_time: Duration,
    /// A request whose body contains this text crashes the server; empty for none.
    pub crash_text: String,
    /// Downtime after a crash.
    pub restart_time: Duration,
    /// Injects a fault: executes every call twice, to show that the checks detect it.
    pub inject_duplicate_runs: bool,
}

impl Default for ServiceOptions {
    fn default() -> ServiceOptions {
        ServiceOptions {
            service: String::new(),
            slots: 16,
            work_time: Duration::from_millis(3),
            crash_text: String::new(),
            restart_time: Duration::from_millis(500),
            inject_duplicate_runs: false,
        }
    }
}

/// Number of executions of each call across all servers of a service. A call is identified by its
/// idempotency key, or by its operation and body if it has none.
#[derive(Debug, Default)]
pub struct RunCounter {
    runs: Mutex<BTreeMap<String, u32>>,
}

impl RunCounter {
    /// Counts an execution and returns the number of executions of the call so far.
    pub fn record(&self, call: &str) -> u32 {
        let mut runs = self.runs.lock().expect("lock poisoned");
        let count = runs.entry(call.to_owned()).or_default();
        *count += 1;
        *count
    }

    /// Returns all calls with their number of executions.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.runs.lock().expect("lock poisoned").clone()
    }
}

/// One server of a plain or scoring service.
#[derive(Debug)]
pub struct Service {
    options: ServiceOptions,
    run_counter: Arc<RunCounter>,
    running: AtomicU32,
    incarnation: AtomicU64,
    draining: AtomicBool,
    down_until: Mutex<Option<Instant>>,
    crashes: AtomicU32,
}

const OPERATIONS_PATH: &str = "/v1/operations/";

impl Service {
    /// Creates a server that records its executions in `run_counter`.
    pub fn new(options: ServiceOptions, run_counter: Arc<RunCounter>) -> Arc<Service> {
        Arc::new(Service {
            options,
            run_counter,
            running: AtomicU32::new(0),
            incarnation: AtomicU64::new(1),
            draining: AtomicBool::new(false),
            down_until: Mutex::new(None),
            crashes: AtomicU32::new(0),
        })
    }

    /// Starts serving on `listen`.
    pub fn serve(self: &Arc<Service>, listen: &str) -> Result<Server> {
        Server::start(listen, self.options.slots as usize + 4, Arc::clone(self))
    }

    /// Makes the server report that it is draining.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the number of crashes so far.
    pub fn crashes(&self) -> u32 {
        self.crashes.load(Ordering::Relaxed)
    }

    fn is_down(&self) -> bool {
        let down_until = *self.down_until.lock().expect("lock poisoned");
        down_until.is_some_and(|until| Instant::now() < until)
    }

    fn crash(&self) {
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.incarnation.fetch_add(1, Ordering::Relaxed);
        let until = Instant::now() + self.options.restart_time;
        *self.down_until.lock().expect("lock poisoned") = Some(until);
    }

    fn state(&self) -> EngineState {
        EngineState {
            model: self.options.service.clone(),
            tracks: Vec::new(),
            slots: self.options.slots,
            running: self.running.load(Ordering::Relaxed),
            queued: 0,
            draining: self.draining.load(Ordering::Relaxed),
            incarnation: self.incarnation.load(Ordering::Relaxed),
        }
    }

    fn run(&self, call: Call, operation: &str) {
        let incarnation = self.incarnation.load(Ordering::Relaxed);
        let crash_text = &self.options.crash_text;
        if !crash_text.is_empty() && String::from_utf8_lossy(&call.body).contains(crash_text) {
            self.crash();
            return call.close_connection();
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        pause(self.options.work_time);
        self.running.fetch_sub(1, Ordering::Relaxed);
        if self.incarnation.load(Ordering::Relaxed) != incarnation {
            return call.close_connection();
        }
        if operation == "score" {
            return score(call);
        }
        let key = call.header("idempotency-key").to_owned();
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let call_id = if key.is_empty() { format!("{operation} {body}") } else { key };
        if self.options.inject_duplicate_runs {
            self.run_counter.record(&call_id);
        }
        let count = self.run_counter.record(&call_id);
        call.text(200, &answer(operation, &body, count));
    }
}

/// Returns the response of a plain service: the request and the number of its executions.
pub fn answer(operation: &str, body: &str, count: u32) -> String {
    serde_json::json!({ "operation": operation, "request": body, "runs": count }).to_string()
}

fn score(call: Call) {
    let Some((call, request)) = call.json::<ScoreRequest>() else { return };
    let hash = fingerprint(&[request.prompt.as_bytes(), request.text.as_bytes()]);
    call.reply(&ScoreAnswer { score: (hash % 1000) as f64 / 1000.0 });
}

impl Handler for Service {
    fn handle(&self, call: Call) {
        if self.is_down() {
            return call.close_connection();
        }
        if call.path == "/admin/state" {
            return call.reply(&self.state());
        }
        match call.path.strip_prefix(OPERATIONS_PATH).map(str::to_owned) {
            Some(_) if self.draining.load(Ordering::Relaxed) => call.reply_not_run("draining"),
            Some(operation) => self.run(call, &operation),
            None => call.text(404, "no such path"),
        }
    }
}
