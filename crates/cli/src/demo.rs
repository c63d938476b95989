//! `demo`: daemons, stand-ins, trainers and callers in one process.

pub mod deployment;
mod report;

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use buckthornfall_client::{entry::refusal, Client, ClientOptions};
use buckthornfall_proto::{
    manifest::Manifest,
    messages::{CommitRequest, StatusAnswer},
};
use buckthornfall_standins::{
    callers::{Caller, CallerOptions, CallerReport},
    engine::Latency,
    trainer::{Trainer, TrainerOptions, TrainerReport},
};
use clap::ArgMatches;

use self::{
    deployment::{Deployment, CRASH_TEXT},
    report::DemoReport,
};
use crate::{
    error::{Error, Result},
    options::{Format, Options},
    output,
};

pub const GEDEL_MANIFEST: &str = include_str!("../../../examples/gedel.json");
const CONSORTIUM_MANIFEST: &str = include_str!("../../../examples/consortium.json");
/// Timeout of the start of all daemons, and of the planned stop of one.
const START_STOP_TIMEOUT: Duration = Duration::from_secs(15);
const TRAINER_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const GROUPS_PER_STEP: u32 = 24;
const SAMPLES_PER_GROUP: u32 = 8;
const MAX_SAMPLE_TOKENS: u32 = 96;
const MAX_CALLER_TOKENS: u32 = 32;
const LATENCY: Latency =
    Latency { cross_zone: Duration::from_micros(1500), cross_region: Duration::from_millis(12) };
const TOKEN_TIME: Duration = Duration::from_micros(1500);

/// Fault injected into a stand-in, which the checks must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFault {
    /// Engines return the completion of another prompt.
    WrongAnswers,
    /// A trainer loses its cursor.
    CursorLoss,
    /// A plain service runs each call twice.
    DuplicateRuns,
}

/// Options of the demo.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Name of the example deployment.
    pub deployment: String,
    /// Number of steps of each trainer.
    pub steps: u64,
    /// Whether to simulate crashes, lost replies, an outage and a poison request.
    pub faults: bool,
    /// Fault to inject into a stand-in.
    pub injected_fault: Option<InjectedFault>,
    /// Time per token of an engine.
    pub token_time: Duration,
    /// One-way latency to other availability zones and regions.
    pub latency: Latency,
}

impl Default for DemoOptions {
    fn default() -> DemoOptions {
        DemoOptions {
            deployment: "gedel".to_owned(),
            steps: 4,
            faults: false,
            injected_fault: None,
            token_time: TOKEN_TIME,
            latency: LATENCY,
        }
    }
}

impl DemoOptions {
    fn from_matches(matches: &ArgMatches) -> DemoOptions {
        let injected_fault = matches.get_one::<String>("break").map(|part| match part.as_str() {
            "answers" => InjectedFault::WrongAnswers,
            "cursor" => InjectedFault::CursorLoss,
            _ => InjectedFault::DuplicateRuns,
        });
        let default = DemoOptions::default();
        DemoOptions {
            deployment: matches
                .get_one::<String>("deployment")
                .cloned()
                .unwrap_or(default.deployment),
            steps: matches.get_one::<u64>("steps").copied().unwrap_or(default.steps),
            faults: matches.get_flag("faults"),
            injected_fault,
            token_time: default.token_time,
            latency: default.latency,
        }
    }
}

/// Runs the demo and prints its summary; fails if a promise was broken.
pub fn run(options: &Options, matches: &ArgMatches) -> Result<()> {
    if matches.get_flag("verbose") {
        buckthornfall_daemon::logging::init();
    }
    let demo = DemoOptions::from_matches(matches);
    let progress = |text: &str| {
        if options.format == Format::Text {
            output::line(text);
        }
    };
    let report = run_deployment(&demo, &progress)?;
    output::result(options.format, &report, DemoReport::describe);
    let broken = report.broken();
    if broken.is_empty() {
        return Ok(());
    }
    for promise in &broken {
        progress(&format!("BROKEN: {promise}"));
    }
    Err(Error::PromiseBroken { count: broken.len() })
}

/// Starts the deployment, runs trainers and callers against it and returns the report.
fn run_deployment(options: &DemoOptions, progress: &dyn Fn(&str)) -> Result<DemoReport> {
    let started = Instant::now();
    let text = if options.deployment == "gedel" { GEDEL_MANIFEST } else { CONSORTIUM_MANIFEST };
    let deployment = Deployment::start(text, options)?;
    let manifest = &deployment.manifest;
    progress(&format!(
        "{}: {} daemons, {} engines, stand-ins of the platform and of the services",
        manifest.deployment,
        deployment.daemons.len(),
        deployment.engines.len()
    ));
    commit(&deployment)?;
    progress(&format!(
        "revision 1 is in force at all daemons after {:.1} s",
        started.elapsed().as_secs_f64()
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let trainers = start_trainers(&deployment, options);
    let callers = start_callers(&deployment, options, &stop);
    let daemons_not_stopped = inject_faults_and_stop(&deployment, options, progress);
    let trainers: Vec<TrainerReport> =
        trainers.into_iter().map(|t| t.join().expect("trainer thread panicked")).collect();
    for (trainer, report) in manifest.trainers.iter().zip(&trainers) {
        progress(&format!("trainer {} holds {} whole steps", trainer.name, report.steps));
    }
    stop.store(true, Ordering::Relaxed);
    let callers: Vec<CallerReport> =
        callers.into_iter().map(|c| c.join().expect("caller thread panicked")).collect();
    Ok(DemoReport::new(&deployment, &trainers, &callers, daemons_not_stopped, started.elapsed()))
}

/// Commits the manifest and waits until all daemons have it and see all servers as ready.
pub fn commit(deployment: &Deployment) -> Result<()> {
    let client = deployment.client("token-of-pipeline", "");
    let manifest =
        serde_json::to_value(&deployment.manifest).expect("a manifest serializes to JSON");
    let body = serde_json::to_vec(&CommitRequest { base_revision: 0, manifest })
        .expect("messages serialize to JSON");
    let start_error = |message: String| Error::DemoStart { message };
    let address = &deployment.daemons[0].listed.address;
    let reply =
        client.post_to(address, "/v1/manifest", &body).map_err(|e| start_error(e.to_string()))?;
    if let Some(answer) = refusal(&reply) {
        return Err(Error::Refused { answer: Box::new(answer) });
    }
    let started = Instant::now();
    let ready = |address: &str| is_ready(&client, address, server_count(&deployment.manifest));
    while !deployment.daemons.iter().all(|daemon| ready(&daemon.listed.address)) {
        if started.elapsed() > START_STOP_TIMEOUT {
            return Err(start_error("not all daemons became ready in time".to_owned()));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Returns whether a daemon has revision 1, sees `servers` servers as ready and all peers as alive.
fn is_ready(client: &Client, address: &str, servers: usize) -> bool {
    let Ok(reply) = client.get_from(address, "/v1/status") else { return false };
    let Ok(status) = serde_json::from_slice::<StatusAnswer>(&reply.body) else { return false };
    let ready = status.servers.iter().filter(|server| server.state == "ready").count();
    status.revision == 1 && ready == servers && status.peers.iter().all(|peer| peer.alive)
}

fn server_count(manifest: &Manifest) -> usize {
    let models = manifest.models.iter().map(|model| model.servers.len());
    let scoring = manifest.scoring_services.iter().map(|service| service.servers.len());
    let plain = manifest.plain_services.iter().map(|service| service.servers.len());
    models.chain(scoring).chain(plain).sum()
}

fn start_trainers(
    deployment: &Deployment,
    options: &DemoOptions,
) -> Vec<thread::JoinHandle<TrainerReport>> {
    let start = |trainer: &buckthornfall_proto::manifest::Trainer| {
        let trainer = Trainer::new(TrainerOptions {
            name: trainer.name.clone(),
            model: trainer.model.clone(),
            client: deployment.client_options(&format!("token-of-{}", trainer.name), ""),
            first_step: 1,
            steps: options.steps,
            groups: GROUPS_PER_STEP,
            samples: SAMPLES_PER_GROUP,
            max_tokens: MAX_SAMPLE_TOKENS,
            version: 1,
            compute_time: Duration::from_millis(300),
            staleness_bound: trainer.staleness_bound,
            timeout: TRAINER_TIMEOUT,
            inject_cursor_loss: options.injected_fault == Some(InjectedFault::CursorLoss),
        });
        thread::spawn(move || trainer.run())
    };
    deployment.manifest.trainers.iter().map(start).collect()
}

fn start_callers(
    deployment: &Deployment,
    options: &DemoOptions,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<CallerReport>> {
    let manifest = &deployment.manifest;
    let service = &manifest.plain_services[0];
    let operation = |idempotent: bool| {
        let found = service.operations.iter().find(|o| o.idempotent == idempotent);
        found.map_or_else(String::new, |operation| operation.name.clone())
    };
    let start = |(i, zone): (usize, &String)| {
        let caller = &manifest.callers[i % manifest.callers.len()];
        let crash = if options.faults && i == 0 { CRASH_TEXT } else { "" };
        let caller = Caller::new(CallerOptions {
            name: format!("{}-{i}", caller.name),
            client: deployment.client_options(&format!("token-of-{}", caller.name), zone),
            model: manifest.models[0].name.clone(),
            service: service.name.clone(),
            lookup: operation(true),
            record: operation(false),
            max_tokens: MAX_CALLER_TOKENS,
            pause: Duration::from_millis(20),
            crash_text: crash.to_owned(),
        });
        let stop = Arc::clone(stop);
        thread::spawn(move || caller.run(&stop))
    };
    zones(manifest).iter().chain(zones(manifest).iter()).enumerate().map(start).collect()
}

fn zones(manifest: &Manifest) -> Vec<String> {
    manifest.regions.iter().flat_map(|region| region.zones.clone()).collect()
}

/// Simulates the faults, if enabled, then the planned stop of one daemon.
///
/// Returns the number of daemons that did not stop in time.
fn inject_faults_and_stop(
    deployment: &Deployment,
    options: &DemoOptions,
    progress: &dyn Fn(&str),
) -> u32 {
    thread::sleep(Duration::from_secs(1));
    if options.faults {
        progress("fault: engine 2 crashes");
        deployment.engines[1].crash();
        progress("fault: the table loses the replies of its next 5 writes");
        deployment.table.faults.lose_replies(5);
        thread::sleep(Duration::from_secs(1));
        progress("fault: the table is away for 3 s");
        deployment.table.faults.outage(Duration::from_secs(3));
        progress("fault: the next swap of engine 1 stops partway");
        deployment.engines[0].fail_swaps(1);
    }
    let last = deployment.daemons.last().expect("a deployment has at least one daemon");
    progress(&format!("planned stop of daemon {}", last.listed.host));
    deployment.hosts.mark_leaving(&last.listed.host);
    last.stop();
    let started = Instant::now();
    while !last.is_finished() && started.elapsed() < START_STOP_TIMEOUT {
        thread::sleep(POLL_INTERVAL);
    }
    let stopped = last.is_finished();
    progress(&format!(
        "daemon {} {} after {:.1} s",
        last.listed.host,
        if stopped { "ended" } else { "DID NOT END" },
        started.elapsed().as_secs_f64()
    ));
    u32::from(!stopped)
}

impl Deployment {
    fn client_options(&self, token: &str, zone: &str) -> ClientOptions {
        ClientOptions {
            daemons: self.daemons.iter().map(|daemon| daemon.listed.address.clone()).collect(),
            zone: zone.to_owned(),
            region: self.region_of(zone),
            token: token.to_owned(),
            timeout: Duration::from_secs(40),
        }
    }

    fn client(&self, token: &str, zone: &str) -> Client {
        Client::new(self.client_options(token, zone))
    }
}
