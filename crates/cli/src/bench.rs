//! `bench`: policies and fleet experiments in virtual time, and the load bench of one daemon.

use std::{
    fs,
    path::PathBuf,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use buckthornfall_bench::{
    compare,
    fleet::{self, Experiment, FleetReport},
    Comparison, Scenario,
};
use buckthornfall_client::http::{Http, HttpOptions};
use buckthornfall_proto::messages::{CallerCompletion, CompletionChunk, CompletionRequest};
use buckthornfall_standins::engine::Latency;
use clap::ArgMatches;
use serde::Serialize;
use snafu::ResultExt;

use crate::{
    demo::{self, deployment::Deployment, DemoOptions},
    error::{self, Error, Result},
    options::Options,
    output,
};

/// Time per token of the engines in the load bench; zero, so that the engines add no delay.
const TOKEN_TIME: Duration = Duration::ZERO;
const MAX_TOKENS: u32 = 128;
const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer token-of-clerks");

/// Runs the selected bench.
pub fn run(options: &Options, matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("load", sub)) => load(options, sub),
        Some(("fleet", sub)) => fleet(options, sub),
        _ => policy(options),
    }
}

fn policy(options: &Options) -> Result<()> {
    for scenario in Scenario::all() {
        output::result(options.format, &compare(&scenario), Comparison::describe);
    }
    Ok(())
}

fn fleet(options: &Options, matches: &ArgMatches) -> Result<()> {
    let path: &PathBuf = matches.get_one("file").expect("the argument is required");
    let invalid = |path: &PathBuf, message: String| Error::Document { path: path.clone(), message };
    let experiment =
        Experiment::from_json(&read_file(path)?).map_err(|e| invalid(path, e.to_string()))?;
    let old: Option<FleetReport> = match matches.get_one::<PathBuf>("compare") {
        Some(path) => {
            let old = serde_json::from_str(&read_file(path)?);
            Some(old.map_err(|e| invalid(path, e.to_string()))?)
        }
        None => None,
    };
    let seeds = *matches.get_one("seeds").expect("the argument has a default");
    let threads = thread::available_parallelism().map_or(1, usize::from);
    let report = fleet::simulate(&experiment, seeds, threads, |done| output::progress(done, seeds));
    output::result(options.format, &report, FleetReport::describe);
    if let Some(old) = old {
        let difference = report.difference(&old).ok_or_else(|| {
            let path = matches.get_one::<PathBuf>("compare").expect("the argument was read above");
            invalid(path, "it was made with another experiment or with other seeds".to_owned())
        })?;
        output::note(&FleetReport::describe_difference(difference));
    }
    match report.broken.len() {
        0 => Ok(()),
        count => Err(Error::PromiseBroken { count }),
    }
}

fn read_file(path: &PathBuf) -> Result<String> {
    fs::read_to_string(path).context(error::ReadSnafu { path })
}

/// Result of one load.
#[derive(Debug, Serialize)]
struct LoadResult {
    answered: u64,
    failed: u64,
    seconds: f64,
    requests_per_s: f64,
    tokens_per_s: f64,
}

/// Results of the load through a daemon and of the same load sent directly to the engines.
#[derive(Debug, Serialize)]
struct LoadReport {
    through_daemon: LoadResult,
    direct: LoadResult,
}

fn load(options: &Options, matches: &ArgMatches) -> Result<()> {
    let requests = *matches.get_one::<u64>("requests").expect("the argument has a default");
    let callers = *matches.get_one::<u64>("callers").expect("the argument has a default");
    let demo = DemoOptions {
        token_time: TOKEN_TIME,
        latency: Latency::default(),
        ..DemoOptions::default()
    };
    let mut deployment = Deployment::start(demo::GEDEL_MANIFEST, &demo)?;
    for caller in &mut deployment.manifest.callers {
        caller.requests_per_s = u32::MAX;
        caller.burst = u32::MAX;
        caller.max_in_flight = u32::MAX;
    }
    demo::commit(&deployment)?;
    let daemon = deployment.daemons[0].listed.address.clone();
    let model = deployment.manifest.models[0].name.clone();
    let through_daemon = {
        let model = model.clone();
        run_load(requests, callers, move |http, id| {
            let url = format!("http://{daemon}/v1/completions");
            count_tokens(http, &url, &[AUTHORIZATION], &caller_request(&model, id))
        })
    };
    let engines: Vec<_> =
        deployment.manifest.models[0].servers.iter().map(|s| s.address.clone()).collect();
    let direct = run_load(requests, callers, move |http, id| {
        let engine = &engines[id as usize % engines.len()];
        let url = format!("http://{engine}/v1/completions");
        let attempt = id.to_string();
        count_tokens(http, &url, &[("x-attempt", &attempt)], &engine_request(&model, id))
    });
    let report = LoadReport { through_daemon, direct };
    output::result(options.format, &report, LoadReport::describe);
    Ok(())
}

/// Sends requests from `callers` threads.
///
/// `call` returns the number of tokens of a complete answer, or `None` if the request failed.
fn run_load(
    requests: u64,
    callers: u64,
    call: impl Fn(&Http, u64) -> Option<u64> + Send + Sync + 'static,
) -> LoadResult {
    let (next_id, answered, tokens) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let shared = Arc::new((next_id, answered, tokens, call));
    let started = Instant::now();
    let spawn_caller = || {
        let shared = Arc::clone(&shared);
        thread::spawn(move || {
            let http = Http::new(&HttpOptions { timeout: None, ..HttpOptions::default() });
            let (next_id, answered, tokens, call) = &*shared;
            loop {
                let id = next_id.fetch_add(1, Ordering::Relaxed);
                if id >= requests {
                    return;
                }
                if let Some(count) = call(&http, id) {
                    answered.fetch_add(1, Ordering::Relaxed);
                    tokens.fetch_add(count, Ordering::Relaxed);
                }
            }
        })
    };
    let threads: Vec<_> = (0..callers).map(|_| spawn_caller()).collect();
    for thread in threads {
        thread.join().expect("caller thread panicked");
    }
    let seconds = started.elapsed().as_secs_f64();
    let answered = shared.1.load(Ordering::Relaxed);
    LoadResult {
        answered,
        failed: requests - answered,
        seconds,
        requests_per_s: answered as f64 / seconds,
        tokens_per_s: shared.2.load(Ordering::Relaxed) as f64 / seconds,
    }
}

/// Sends a streaming request; returns the number of tokens, or `None` without a `[DONE]` event.
fn count_tokens(http: &Http, url: &str, headers: &[(&str, &str)], body: &[u8]) -> Option<u64> {
    let mut events = http.post_events(url, headers, body).ok()?;
    let mut tokens = 0;
    while let Ok(Some(data)) = events.next_data() {
        if data == "[DONE]" {
            return Some(tokens);
        }
        tokens += u64::from(serde_json::from_slice::<CompletionChunk>(&data).ok()?.tokens);
    }
    None
}

fn prompt(id: u64) -> String {
    format!("question {id} of the load bench")
}

fn caller_request(model: &str, id: u64) -> Vec<u8> {
    let request = CallerCompletion {
        model: model.to_owned(),
        prompt: prompt(id),
        max_tokens: MAX_TOKENS,
        stream: true,
        adapter: None,
    };
    serde_json::to_vec(&request).expect("messages serialize to JSON")
}

fn engine_request(model: &str, id: u64) -> Vec<u8> {
    let request = CompletionRequest {
        model: model.to_owned(),
        prompt: prompt(id),
        max_tokens: MAX_TOKENS,
        stream: true,
        adapter: None,
        priority: 0,
        min_version: 0,
        seed: id,
        resume_text: String::new(),
        resume_tokens: 0,
    };
    serde_json::to_vec(&request).expect("messages serialize to JSON")
}

impl LoadReport {
    fn describe(&self) -> String {
        let line = |name: &str, r: &LoadResult| {
            format!(
                "{name:<16} {} answers, {} failed in {:.2} s: {:.0} requests/s, {:.0} tokens/s",
                r.answered, r.failed, r.seconds, r.requests_per_s, r.tokens_per_s
            )
        };
        let ratio = self.through_daemon.requests_per_s / self.direct.requests_per_s;
        format!(
            "{}\n{}\nratio            {ratio:.2}",
            line("through a daemon", &self.through_daemon),
            line("direct", &self.direct)
        )
    }
}
