//! A model engine: continuous batching, prefix cache, weight versions, orders, crashes.

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

/// Settings of one engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Name of the model.
    pub model: String,
    /// Adapters that are loaded at the start.
    pub adapters: Vec<String>,
    /// Region of the engine.
    pub region: String,
    /// Availability zone of the engine.
    pub zone: String,
    /// Requests in the batch.
    pub slots: u32,
    /// Time of one token in an empty batch; a full batch takes twice as long.
    pub token: Duration,
    /// Time to read a prompt that is not in the prefix cache.
    pub prefill: Duration,
    /// Prompts in the prefix cache.
    pub cached_prompts: usize,
    /// Lag of the load report.
    pub load_lag: Duration,
    /// Whether an order with an old fencing number is refused.
    pub checks_fence: bool,
    /// Time to change the active weights.
    pub swap: Duration,
    /// Time to copy weights from another engine.
    pub copy: Duration,
    /// Size of the weights, in bytes.
    pub weight_bytes: u64,
    /// Address of the weight store.
    pub weight_store: String,
    /// A prompt that holds this text crashes the engine; empty for none.
    pub crash_text: String,
    /// How long the engine is away after a crash.
    pub restart: Duration,
    /// One-way latency to other availability zones and to other regions.
    pub latency: Latency,
    /// Answers every request with the text of another prompt: a broken engine, to show that
    /// the checks see it.
    pub mixes_answers: bool,
}

/// One-way latency by distance.
#[derive(Debug, Clone, Copy, Default)]
pub struct Latency {
    /// Between availability zones.
    pub zones: Duration,
    /// Between regions.
    pub regions: Duration,
}

impl Default for EngineOptions {
    fn default() -> EngineOptions {
        EngineOptions {
            model: String::new(),
            adapters: Vec::new(),
            region: String::new(),
            zone: String::new(),
            slots: 8,
            token: Duration::from_micros(1500),
            prefill: Duration::from_millis(8),
            cached_prompts: 64,
            load_lag: Duration::from_millis(300),
            checks_fence: true,
            swap: Duration::from_millis(150),
            copy: Duration::from_millis(50),
            weight_bytes: 1_000_000,
            weight_store: String::new(),
            crash_text: String::new(),
            restart: Duration::from_millis(800),
            latency: Latency::default(),
            mixes_answers: false,
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
    old_orders: AtomicU32,
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    options: EngineOptions,
    batch: Batch,
    /// Weights by adapter; the empty name is the model itself.
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

/// Tokens in one event.
const TOKENS_PER_EVENT: u32 = 4;

impl Engine {
    /// An engine that runs weight version `version` of the model and of its adapters.
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

    /// Serves on `listen`.
    pub fn serve(self: &Arc<Engine>, listen: &str) -> Result<Server> {
        let threads = self.options.slots as usize * 3 + 8;
        Server::start(listen, threads, Arc::new(EngineHandler(Arc::clone(self))))
    }

    /// Ends the process, as far as its peers can see, and starts it again after a while.
    pub fn crash(&self) {
        self.counters.crashes.fetch_add(1, Ordering::Relaxed);
        self.incarnation.fetch_add(1, Ordering::Relaxed);
        let until = Instant::now() + self.options.restart;
        *self.down_until.lock().expect("no holder panics") = Some(until);
        *self.isolated.lock().expect("no holder panics") = None;
        self.cache.lock().expect("no holder panics").clear();
        for track in self.tracks.lock().expect("no holder panics").values_mut() {
            track.staged = 0;
            track.loading = 0;
            track.swapping = false;
        }
    }

    /// Makes the next swaps stop partway.
    pub fn fail_swaps(&self, count: u32) {
        self.swaps_to_fail.store(count, Ordering::Relaxed);
    }

    /// Makes the engine say that it is leaving.
    pub fn drain(&self) {
        *self.draining.lock().expect("no holder panics") = true;
    }

    /// Tokens produced.
    pub fn tokens(&self) -> u64 {
        self.counters.tokens.load(Ordering::Relaxed)
    }

    /// Crashes so far.
    pub fn crashes(&self) -> u32 {
        self.counters.crashes.load(Ordering::Relaxed)
    }

    /// The weight version of an adapter that is active; 0 for none.
    pub fn active(&self, adapter: &str) -> u64 {
        let tracks = self.tracks.lock().expect("no holder panics");
        tracks.get(adapter).map_or(0, |track| track.active)
    }

    /// What the engine reports, with the load as it was before the lag.
    pub fn state(&self) -> EngineState {
        let tracks = self.tracks.lock().expect("no holder panics");
        let load = self.batch.reported();
        EngineState {
            model: self.options.model.clone(),
            tracks: tracks.values().cloned().collect(),
            slots: self.options.slots,
            running: load.running,
            queued: load.queued,
            draining: *self.draining.lock().expect("no holder panics"),
            incarnation: self.incarnation.load(Ordering::Relaxed),
        }
    }

    fn is_down(&self) -> bool {
        let down_until = *self.down_until.lock().expect("no holder panics");
        down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Why a request is not run; `None` if it is.
    fn refusal(&self, attempt: &str, adapter: &str) -> Option<&'static str> {
        if self.is_swapping(adapter) {
            return Some("changing weights");
        }
        if *self.draining.lock().expect("no holder panics") {
            return Some("draining");
        }
        let isolated = self.isolated.lock().expect("no holder panics");
        let other =
            isolated.as_ref().is_some_and(|i| i.attempt != attempt && Instant::now() < i.until);
        other.then_some("kept free for another request")
    }

    fn is_swapping(&self, adapter: &str) -> bool {
        let tracks = self.tracks.lock().expect("no holder panics");
        ["", adapter].iter().any(|name| tracks.get(*name).is_some_and(|track| track.swapping))
    }

    fn isolate(&self, call: Call) {
        let Some((call, isolation)) = call.json::<Isolation>() else { return };
        let mut isolated = self.isolated.lock().expect("no holder panics");
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
        let distance = self.delay_to(&call);
        let Some((call, request)) = call.json::<CompletionRequest>() else { return };
        let adapter = request.adapter.as_deref().unwrap_or_default();
        if let Some(reason) = self.refusal(&attempt, adapter) {
            return call.not_run(reason);
        }
        let incarnation = self.incarnation.load(Ordering::Relaxed);
        self.batch.enter(request.priority);
        pause(distance);
        let done = self.run(call, &request, &attempt, incarnation);
        self.batch.leave();
        // A client that hung up has cancelled its request.
        drop(done);
    }

    fn delay_to(&self, call: &Call) -> Duration {
        let latency = self.options.latency;
        if call.header("x-region") != self.options.region {
            latency.regions * 2
        } else if call.header("x-zone") != self.options.zone {
            latency.zones * 2
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
        let crash = &self.options.crash_text;
        let crashes = !crash.is_empty() && request.prompt.contains(crash);
        let mut stream = call.stream()?;
        self.read_prompt(&request.prompt);
        let length = text::length(&request.prompt, request.seed, request.max_tokens);
        let mut at = request.resume_tokens;
        while at < length {
            let end = (at + TOKENS_PER_EVENT).min(length);
            self.work_on(end - at, request.adapter.as_deref().unwrap_or_default());
            if crashes && self.incarnation.load(Ordering::Relaxed) == incarnation {
                self.crash();
            }
            if self.incarnation.load(Ordering::Relaxed) != incarnation {
                return Ok(());
            }
            self.emit(&mut stream, request, attempt, at, end, length)?;
            at = end;
        }
        stream.send("[DONE]")?;
        stream.finish()
    }

    fn emit(
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
        let finish = if length == request.max_tokens { "length" } else { "stop" };
        let prompt = if self.options.mixes_answers { "another prompt" } else { &request.prompt };
        let choice = CompletionChoice {
            index: 0,
            text: text::tokens(prompt, start, end),
            finish_reason: (end == length).then(|| finish.to_owned()),
        };
        let chunk = CompletionChunk {
            id: attempt.to_owned(),
            choices: vec![choice],
            tokens,
            version: self.active(request.adapter.as_deref().unwrap_or_default()),
        };
        stream.send(&serde_json::to_string(&chunk).expect("messages are plain data"))
    }

    fn read_prompt(&self, prompt: &str) {
        let key = fingerprint(&[prompt.as_bytes()]);
        let mut cache = self.cache.lock().expect("no holder panics");
        let known = cache.iter().position(|cached| *cached == key);
        if let Some(position) = known {
            cache.remove(position);
        }
        cache.push_back(key);
        if cache.len() > self.options.cached_prompts {
            cache.pop_front();
        }
        drop(cache);
        match known {
            Some(_) => {
                self.counters.cache_hits.fetch_add(1, Ordering::Relaxed);
            }
            None => {
                self.counters.cache_misses.fetch_add(1, Ordering::Relaxed);
                pause(self.options.prefill);
            }
        }
    }

    /// Takes the time of some tokens; a swap stops the batch until it ends.
    fn work_on(&self, tokens: u32, adapter: &str) {
        let load = self.batch.load();
        let fill = f64::from(load.running) / f64::from(self.options.slots);
        pause(self.options.token.mul_f64(f64::from(tokens) * (1.0 + fill)));
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
            return call.hang_up();
        }
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/admin/state") => call.reply(&engine.state()),
            ("POST", "/v1/completions") => engine.complete(call),
            ("POST", "/admin/isolate") => engine.isolate(call),
            ("POST", "/admin/order") => {
                let Some((call, order)) = call.json::<EngineOrder>() else { return };
                Engine::order(engine, call, order);
            }
            ("GET", "/admin/weights") => engine.export_weights(call),
            ("GET", "/admin/cache_events") => engine.cache_events(call),
            ("GET" | "PUT", "/admin/kv") => engine.kv(call),
            _ => call.text(404, "no such path"),
        }
    }
}
