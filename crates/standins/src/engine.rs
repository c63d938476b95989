//! Model engine with continuous batching, a prefix cache, weight versions, orders and crashes.

mod batch;
mod orders;
pub mod text;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{
        atomic::{AtomicU32, AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use buckthornfall_client::http::{Http, HttpOptions};
use buckthornfall_proto::{
    digest::fingerprint,
    messages::{
        CompletionChoice, CompletionChunk, CompletionRequest, EngineOrder, EngineState, Isolation,
        TrackState,
    },
};

use self::batch::Batch;
use crate::server::{pause, Call, EventStream, Handler, Result, Server};

/// Options of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Name of the model.
    pub model: String,
    /// Adapters that are loaded at startup.
    pub adapters: Vec<String>,
    /// Region of the engine.
    pub region: String,
    /// Availability zone of the engine.
    pub zone: String,
    /// Maximum number of requests in the batch.
    pub slots: u32,
    /// Time per token in an empty batch; a full batch takes twice as long.
    pub token_time: Duration,
    /// Prefill time of a prompt that is not in the prefix cache.
    pub prefill_time: Duration,
    /// Capacity of the prefix cache, in prompts.
    pub cached_prompts: usize,
    /// Delay of the reported load.
    pub load_lag: Duration,
    /// Whether orders with an outdated fencing token are rejected.
    pub checks_fence: bool,
    /// Time to swap the active weights.
    pub swap_time: Duration,
    /// Time to copy weights to another engine.
    pub copy_time: Duration,
    /// Size of the weights, in bytes.
    pub weight_bytes: u64,
    /// Address of the weight store.
    pub weight_store: String,
    /// A prompt that contains this text crashes the engine; empty for none.
    pub crash_text: String,
    /// Downtime after a crash.
    pub restart_time: Duration,
    /// One-way latency to other availability zones and to other regions.
    pub latency: Latency,
    /// Injects a fault: responds to every request with the answer to another prompt, to show that
    /// the checks detect it.
    pub inject_wrong_answers: bool,
}

/// One-way latency by distance.
#[derive(Debug, Clone, Copy, Default)]
pub struct Latency {
    /// Between availability zones.
    pub cross_zone: Duration,
    /// Between regions.
    pub cross_region: Duration,
}

impl Default for EngineOptions {
    fn default() -> EngineOptions {
        EngineOptions {
            model: String::new(),
            adapters: Vec::new(),
            region: String::new(),
            zone: String::new(),
            slots: 8,
            token_time: Duration::from_micros(1500),
            prefill_time: Duration::from_millis(8),
            cached_prompts: 64,
            load_lag: Duration::from_millis(300),
            checks_fence: true,
            swap_time: Duration::from_millis(150),
            copy_time: Duration::from_millis(50),
            weight_bytes: 1_000_000,
            weight_store: String::new(),
            crash_text: String::new(),
            restart_time: Duration::from_millis(800),
            latency: Latency::default(),
            inject_wrong_answers: false,
        }
    }
}

#[derive(Debug, Clone)]
struct Isolated {
    attempt: String,
    until: Instant,
}

/// Counters of one engine.
#[derive(Debug, Default)]
struct Counters {
    tokens: AtomicU64,
    crashes: AtomicU32,
    cache_hits: AtomicU64,
    cache_misses: AtomicU64,
    stale_orders: AtomicU32,
}

/// Model engine.
#[derive(Debug)]
pub struct Engine {
    options: EngineOptions,
    batch: Batch,
    /// State of the weights by adapter; the empty name stands for the base model.
    tracks: Mutex<BTreeMap<String, TrackState>>,
    cache: Mutex<VecDeque<u64>>,
    isolated: Mutex<Option<Isolated>>,
    down_until: Mutex<Option<Instant>>,
    draining: Mutex<bool>,
    incarnation: AtomicU64,
    swaps_to_fail: AtomicU32,
    counters: Counters,
    http: Http,
}

/// Maximum number of tokens in one event.
const TOKENS_PER_EVENT: u32 = 4;

impl Engine {
    /// Creates an engine that serves weight version `version` of the model and of its adapters.
    pub fn new(options: EngineOptions, version: u64) -> Arc<Engine> {
        let names = options.adapters.iter().cloned().chain([String::new()]);
        let tracks = names.map(|adapter| (adapter.clone(), new_track(adapter, version))).collect();
        let timeout = Some(Duration::from_secs(60));
        Arc::new(Engine {
            batch: Batch::new(options.slots, options.load_lag),
            tracks: Mutex::new(tracks),
            cache: Mutex::new(VecDeque::new()),
            isolated: Mutex::new(None),
            down_until: Mutex::new(None),
            draining: Mutex::new(false),
            incarnation: AtomicU64::new(1),
            swaps_to_fail: AtomicU32::new(0),
            counters: Counters::default(),
            http: Http::new(&HttpOptions { timeout, ..HttpOptions::default() }),
            options,
        })
    }

    /// Starts serving the engine on `listen`.
    pub fn serve(self: &Arc<Engine>, listen: &str) -> Result<Server> {
        let threads = self.options.slots as usize * 3 + 8;
        Server::start(listen, threads, Arc::new(EngineHandler(Arc::clone(self))))
    }

    /// Simulates a crash of the process and a restart after the configured downtime.
    pub fn crash(&self) {
        self.counters.crashes.fetch_add(1, Ordering::Relaxed);
        self.incarnation.fetch_add(1, Ordering::Relaxed);
        let until = Instant::now() + self.options.restart_time;
        *self.down_until.lock().expect("lock poisoned") = Some(until);
        *self.isolated.lock().expect("lock poisoned") = None;
        self.cache.lock().expect("lock poisoned").clear();
        for track in self.tracks.lock().expect("lock poisoned").values_mut() {
            track.staged = 0;
            track.loading = 0;
            track.swapping = false;
        }
    }

    /// Makes the next `count` swaps hang before they complete.
    pub fn fail_swaps(&self, count: u32) {
        self.swaps_to_fail.store(count, Ordering::Relaxed);
    }

    /// Makes the engine report that it is draining.
    pub fn drain(&self) {
        *self.draining.lock().expect("lock poisoned") = true;
    }

    /// Returns the number of tokens generated so far.
    pub fn tokens(&self) -> u64 {
        self.counters.tokens.load(Ordering::Relaxed)
    }

    /// Returns the number of crashes so far.
    pub fn crashes(&self) -> u32 {
        self.counters.crashes.load(Ordering::Relaxed)
    }

    /// Returns the active weight version of an adapter; 0 if none.
    pub fn active(&self, adapter: &str) -> u64 {
        let tracks = self.tracks.lock().expect("lock poisoned");
        tracks.get(adapter).map_or(0, |track| track.active)
    }

    /// Returns the reported state; its load lags behind by `load_lag`.
    pub fn state(&self) -> EngineState {
        let tracks = self.tracks.lock().expect("lock poisoned");
        let load = self.batch.reported_load();
        EngineState {
            model: self.options.model.clone(),
            tracks: tracks.values().cloned().collect(),
            slots: self.options.slots,
            running: load.running,
            queued: load.queued,
            draining: *self.draining.lock().expect("lock poisoned"),
            incarnation: self.incarnation.load(Ordering::Relaxed),
        }
    }

    fn is_down(&self) -> bool {
        let down_until = *self.down_until.lock().expect("lock poisoned");
        down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Returns the reason for which a request is refused; `None` if it is accepted.
    fn refusal(&self, attempt: &str, adapter: &str) -> Option<&'static str> {
        if self.is_swapping(adapter) {
            return Some("changing weights");
        }
        if *self.draining.lock().expect("lock poisoned") {
            return Some("draining");
        }
        let isolated = self.isolated.lock().expect("lock poisoned");
        let reserved =
            isolated.as_ref().is_some_and(|i| i.attempt != attempt && Instant::now() < i.until);
        reserved.then_some("kept free for another request")
    }

    fn is_swapping(&self, adapter: &str) -> bool {
        let tracks = self.tracks.lock().expect("lock poisoned");
        ["", adapter].iter().any(|name| tracks.get(*name).is_some_and(|track| track.swapping))
    }

    fn isolate(&self, call: Call) {
        let Some((call, isolation)) = call.json::<Isolation>() else { return };
        let mut isolated = self.isolated.lock().expect("lock poisoned");
        let until = Instant::now() + Duration::from_millis(isolation.millis);
        *isolated = (!isolation.attempt.is_empty())
            .then_some(Isolated { attempt: isolation.attempt, until });
        drop(isolated);
        let load = self.batch.load();
        let state = EngineState { running: load.running, queued: load.queued, ..self.state() };
        call.reply(&state);
    }

    fn complete(&self, call: Call) {
        let attempt = call.header("x-attempt").to_owned();
        let round_trip = self.round_trip_time(&call);
        let Some((call, request)) = call.json::<CompletionRequest>() else { return };
        let adapter = request.adapter.as_deref().unwrap_or_default();
        if let Some(reason) = self.refusal(&attempt, adapter) {
            return call.reply_not_run(reason);
        }
        let incarnation = self.incarnation.load(Ordering::Relaxed);
        self.batch.acquire(request.priority);
        pause(round_trip);
        let result = self.run(call, &request, &attempt, incarnation);
        self.batch.release();
        // An error means that the client closed the connection to cancel its request.
        drop(result);
    }

    fn round_trip_time(&self, call: &Call) -> Duration {
        let latency = self.options.latency;
        if call.header("x-region") != self.options.region {
            latency.cross_region * 2
        } else if call.header("x-zone") != self.options.zone {
            latency.cross_zone * 2
        } else {
            Duration::ZERO
        }
    }

    fn run(
        &self,
        call: Call,
        request: &CompletionRequest,
        attempt: &str,
        incarnation: u64,
    ) -> std::io::Result<()> {
        let crash_text = &self.options.crash_text;
        let must_crash = !crash_text.is_empty() && request.prompt.contains(crash_text);
        let mut stream = call.stream()?;
        self.simulate_prefill(&request.prompt);
        let length = text::length(&request.prompt, request.seed, request.max_tokens);
        let mut at = request.resume_tokens;
        while at < length {
            let end = (at + TOKENS_PER_EVENT).min(length);
            self.simulate_decode(end - at, request.adapter.as_deref().unwrap_or_default());
            if must_crash && self.incarnation.load(Ordering::Relaxed) == incarnation {
                self.crash();
            }
            if self.incarnation.load(Ordering::Relaxed) != incarnation {
                return Ok(());
            }
            self.send_chunk(&mut stream, request, attempt, at, end, length)?;
            at = end;
        }
        stream.send("[DONE]")?;
        stream.finish()
    }

    fn send_chunk(
        &self,
        stream: &mut EventStream,
        request: &CompletionRequest,
        attempt: &str,
        start: u32,
        end: u32,
        length: u32,
    ) -> std::io::Result<()> {
        let tokens = end - start;
        self.counters.tokens.fetch_add(u64::from(tokens), Ordering::Relaxed);
        let finish_reason = if length == request.max_tokens { "length" } else { "stop" };
        let prompt =
            if self.options.inject_wrong_answers { "another prompt" } else { &request.prompt };
        let choice = CompletionChoice {
            index: 0,
            text: text::tokens(prompt, start, end),
            finish_reason: (end == length).then(|| finish_reason.to_owned()),
        };
        let chunk = CompletionChunk {
            id: attempt.to_owned(),
            choices: vec![choice],
            tokens,
            version: self.active(request.adapter.as_deref().unwrap_or_default()),
        };
        stream.send(&serde_json::to_string(&chunk).expect("messages serialize to JSON"))
    }

    fn simulate_prefill(&self, prompt: &str) {
        let key = fingerprint(&[prompt.as_bytes()]);
        let mut cache = self.cache.lock().expect("lock poisoned");
        let cache_index = cache.iter().position(|cached| *cached == key);
        if let Some(position) = cache_index {
            cache.remove(position);
        }
        cache.push_back(key);
        if cache.len() > self.options.cached_prompts {
            cache.pop_front();
        }
        drop(cache);
        match cache_index {
            Some(_) => {
                self.counters.cache_hits.fetch_add(1, Ordering::Relaxed);
            }
            None => {
                self.counters.cache_misses.fetch_add(1, Ordering::Relaxed);
                pause(self.options.prefill_time);
            }
        }
    }

    /// Waits for the time needed to generate `tokens`. A weight swap blocks the batch until it ends.
    fn simulate_decode(&self, tokens: u32, adapter: &str) {
        let load = self.batch.load();
        let fill = f64::from(load.running) / f64::from(self.options.slots);
        pause(self.options.token_time.mul_f64(f64::from(tokens) * (1.0 + fill)));
        while self.is_swapping(adapter) {
            pause(Duration::from_millis(5));
        }
    }
}

fn new_track(adapter: String, version: u64) -> TrackState {
    TrackState { adapter, active: version, staged: 0, loading: 0, swapping: false, fence: 0 }
}

struct EngineHandler(Arc<Engine>);

impl Handler for EngineHandler {
    fn handle(&self, call: Call) {
        let engine = &self.0;
        if engine.is_down() {
            return call.close_connection();
        }
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/admin/state") => call.reply(&engine.state()),
            ("POST", "/v1/completions") => engine.complete(call),
            ("POST", "/admin/isolate") => engine.isolate(call),
            ("POST", "/admin/order") => {
                let Some((call, order)) = call.json::<EngineOrder>() else { return };
                Engine::handle_order(engine, call, order);
            }
            ("GET", "/admin/weights") => engine.export_weights(call),
            ("GET", "/admin/cache_events") => engine.cache_events(call),
            ("GET" | "PUT", "/admin/kv") => engine.kv(call),
            _ => call.text(404, "no such path"),
        }
    }
}
