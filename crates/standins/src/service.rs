//! Plain and scoring services.

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

/// Settings of one server of a plain or scoring service.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Name of the service.
    pub service: String,
    /// Requests that run at the same time.
    pub slots: u32,
    /// Time of one request.
    pub work: Duration,
    /// A request whose body holds this text crashes the server; empty for none.
    pub crash_text: String,
    /// How long the server is away after a crash.
    pub restart: Duration,
    /// Runs every call twice: a broken server, to show that the checks see it.
    pub doubles_runs: bool,
}

impl Default for ServiceOptions {
    fn default() -> ServiceOptions {
        ServiceOptions {
            service: String::new(),
            slots: 16,
            work: Duration::from_millis(3),
            crash_text: String::new(),
            restart: Duration::from_millis(500),
            doubles_runs: false,
        }
    }
}

/// Runs of each call over all servers of a service: idempotency key or body, and count.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: Mutex<BTreeMap<String, u32>>,
}

impl Ledger {
    /// Counts a run.
    pub fn record(&self, call: &str) -> u32 {
        let mut runs = self.runs.lock().expect("no holder panics");
        let count = runs.entry(call.to_owned()).or_default();
        *count += 1;
        *count
    }

    /// All calls with their runs.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.runs.lock().expect("no holder panics").clone()
    }
}

/// One server of a plain or scoring service.
#[derive(Debug)]
pub struct Service {
    options: ServiceOptions,
    ledger: Arc<Ledger>,
    running: AtomicU32,
    incarnation: AtomicU64,
    draining: AtomicBool,
    down_until: Mutex<Option<Instant>>,
    crashes: AtomicU32,
}

const OPERATIONS: &str = "/v1/operations/";

impl Service {
    /// A server that records its runs in `ledger`.
    pub fn new(options: ServiceOptions, ledger: Arc<Ledger>) -> Arc<Service> {
        Arc::new(Service {
            options,
            ledger,
            running: AtomicU32::new(0),
            incarnation: AtomicU64::new(1),
            draining: AtomicBool::new(false),
            down_until: Mutex::new(None),
            crashes: AtomicU32::new(0),
        })
    }

    /// Serves on `listen`.
    pub fn serve(self: &Arc<Service>, listen: &str) -> Result<Server> {
        Server::start(listen, self.options.slots as usize + 4, Arc::clone(self))
    }

    /// Makes the server say that it is leaving.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Crashes so far.
    pub fn crashes(&self) -> u32 {
        self.crashes.load(Ordering::Relaxed)
    }

    fn is_down(&self) -> bool {
        let down_until = *self.down_until.lock().expect("no holder panics");
        down_until.is_some_and(|until| Instant::now() < until)
    }

    fn crash(&self) {
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.incarnation.fetch_add(1, Ordering::Relaxed);
        let until = Instant::now() + self.options.restart;
        *self.down_until.lock().expect("no holder panics") = Some(until);
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
        let crash = &self.options.crash_text;
        if !crash.is_empty() && String::from_utf8_lossy(&call.body).contains(crash) {
            self.crash();
            return call.hang_up();
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        pause(self.options.work);
        self.running.fetch_sub(1, Ordering::Relaxed);
        if self.incarnation.load(Ordering::Relaxed) != incarnation {
            return call.hang_up();
        }
        if operation == "score" {
            return score(call);
        }
        let key = call.header("idempotency-key").to_owned();
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let name = if key.is_empty() { format!("{operation} {body}") } else { key };
        if self.options.doubles_runs {
            self.ledger.record(&name);
        }
        let count = self.ledger.record(&name);
        call.text(200, &answer(operation, &body, count));
    }
}

/// What a plain service answers: the request itself and how often it ran.
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
            return call.hang_up();
        }
        if call.path == "/admin/state" {
            return call.reply(&self.state());
        }
        match call.path.strip_prefix(OPERATIONS).map(str::to_owned) {
            Some(_) if self.draining.load(Ordering::Relaxed) => call.not_run("draining"),
            Some(operation) => self.run(call, &operation),
            None => call.text(404, "no such path"),
        }
    }
}
