//! Slopes of the costs of control: `cargo bench --bench capacity` prints the tables of
//! docs/CAPACITY.md. Messages, bytes and operations are counted; times are of this machine.

#[path = "../tests/support/fleet.rs"]
mod fleet;
#[path = "../tests/support/gossip.rs"]
mod gossip;
#[path = "../tests/support/serving.rs"]
mod serving;
#[path = "../tests/support/sizes.rs"]
mod sizes;

use std::{
    alloc::System,
    time::{Duration, Instant},
};

use buckthornfall_core::{
    burn::BurnCounters,
    config::Config,
    dispatch::{AttemptEvent, DispatchAction, Dispatcher, Progress, Task, WorkEvent},
    lease::{Lease, LeaseAction, LeaseTimes},
    order::LongestFirst,
    pick::LocalityPick,
    quarantine::{Quarantine, QuarantineAction},
    step::{StepAction, StepCoordinator},
    Now,
};
use buckthornfall_proto::{
    check,
    manifest::Indicator,
    messages::{EngineState, GroupSpec, StepSpec, TrackState, TxnAnswer},
};
use buckthornfall_standins::table::Rows;
use bytes::Bytes;
use gossip::GossipNet;
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const SEED: u64 = 11;
const SETTLE: Duration = Duration::from_secs(40);
const MEASURE: Duration = Duration::from_secs(40);

#[allow(clippy::print_stdout)]
fn line(text: &str) {
    println!("{text}");
}

fn main() {
    let only = std::env::args().nth(1).unwrap_or_default();
    let parts: [(&str, fn()); 8] = [
        ("gossip", gossip_slope),
        ("manifest", manifest_slope),
        ("serving", serving_slope),
        ("step", step_slope),
        ("rollout", rollout_slope),
        ("lease", lease_operations),
        ("quarantine", quarantine_operations),
        ("burn", burn_cost),
    ];
    let all = !parts.iter().any(|(name, _)| *name == only);
    for (_, part) in parts.iter().filter(|(name, _)| all || *name == only) {
        part();
    }
}

/// Bytes that `make` leaves allocated, and what it made.
fn held_bytes<T>(make: impl FnOnce() -> T) -> (usize, T) {
    let region = Region::new(ALLOCATOR);
    let value = make();
    let stats = region.change();
    (stats.bytes_allocated.saturating_sub(stats.bytes_deallocated), value)
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

fn gossip_slope() {
    line("\n| daemons | state KB | messages/s | bytes/s in and out | processor us/s |");
    line("| ---: | ---: | ---: | ---: | ---: |");
    for daemons in [9, 50, 100, 200, 400] {
        let (bytes, mut net) = held_bytes(|| {
            let mut net = GossipNet::new(daemons, 0, SEED);
            net.run(SETTLE);
            net
        });
        net.reset_counts();
        let started = Instant::now();
        net.run(SETTLE + MEASURE);
        let each = daemons as f64 * MEASURE.as_secs_f64();
        let busy = micros(started.elapsed()) / each;
        let total: u64 = net.nodes.iter().map(|n| n.bytes_in + n.bytes_out).sum();
        let messages: u64 = net.nodes.iter().map(|n| n.messages_out).sum();
        line(&format!(
            "| {daemons} | {:.0} | {:.1} | {:.0} | {busy:.0} |",
            bytes as f64 / daemons as f64 / 1000.0,
            messages as f64 / each,
            total as f64 / each
        ));
    }
}

fn manifest_slope() {
    line("\n| servers | manifest KB | change bytes | state KB | processor ms a change | everywhere after s, 400 daemons |");
    line("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for servers in [20, 100, 500, 1000, 2500] {
        let first = sizes::push(1, &sizes::manifest(servers, 8, 0));
        let second = sizes::push(2, &sizes::manifest(servers, 8, 1));
        let mut author = Config::new(Duration::ZERO);
        author.on_push(&first, &mut Vec::new());
        author.on_push(&second, &mut Vec::new());
        let change = author.push_above("author", 1).expect("it is newer");
        let (bytes, mut config) = held_bytes(|| {
            let mut config = Config::new(Duration::ZERO);
            config.on_push(&first, &mut Vec::new());
            config
        });
        let started = Instant::now();
        config.on_push(&change, &mut Vec::new());
        let busy = started.elapsed();
        assert_eq!(config.revision(), 2);
        line(&format!(
            "| {servers} | {:.0} | {} | {:.0} | {:.2} | {} |",
            first.content.len() as f64 / 1000.0,
            change.content.len(),
            bytes as f64 / 1000.0,
            micros(busy) / 1000.0,
            spread(&first, &second),
        ));
    }
}

/// Time until a change is in force at 400 daemons with a tenth of the messages lost.
fn spread(
    first: &buckthornfall_proto::messages::ManifestPush,
    second: &buckthornfall_proto::messages::ManifestPush,
) -> String {
    let mut net = GossipNet::new(400, 100, SEED);
    net.run(SETTLE);
    net.install(0, first);
    net.run(SETTLE * 2);
    let from = net.now;
    net.install(0, second);
    net.run(from + SETTLE);
    let last = net.nodes.iter().map(|node| node.in_force_at.get(&2).copied()).max().flatten();
    last.map_or("never".to_owned(), |at| format!("{:.2}", (at - from).as_secs_f64()))
}

fn engine_state(version: u64) -> EngineState {
    let track = TrackState {
        adapter: "adapter-0".to_owned(),
        active: version,
        staged: 0,
        loading: 0,
        swapping: false,
        fence: 1,
    };
    EngineState {
        model: "model".to_owned(),
        tracks: vec![track],
        slots: 128,
        running: 0,
        queued: 0,
        draining: false,
        incarnation: 1,
    }
}

/// Routes one request and ends it after some events of tokens.
fn route(dispatcher: &mut Dispatcher<LocalityPick>, id: u64, events: u32) {
    let now = Duration::from_millis(id / 100);
    let mut out = Vec::new();
    dispatcher.submit(now, serving::completion(id), &mut out).expect("there is room");
    let attempt = out.iter().find_map(|action| match action {
        DispatchAction::Start { attempt, .. } => Some(attempt.clone()),
        _ => None,
    });
    let attempt = attempt.expect("it starts at once");
    for _ in 0..events {
        let event =
            AttemptEvent::Tokens { text: Bytes::from_static(b"token "), tokens: 1, version: 1 };
        out.clear();
        dispatcher.on_attempt(now, &attempt, event, &mut out);
    }
    dispatcher.on_attempt(now, &attempt, AttemptEvent::Finished, &mut out);
}

fn serving_slope() {
    const REQUESTS: u64 = 2000;
    const TOKENS: u32 = 209;
    line("\n| servers | of these at one daemon | state KB | us a request | allocations a request | us a token | us a round of reports |");
    line("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for servers in [20, 100, 500, 1000, 2500] {
        let manifest = check::manifest_value(sizes::manifest(servers, 8, 0)).expect("it is valid");
        let (bytes, mut dispatcher) =
            held_bytes(|| serving::dispatcher(&manifest, 400, &engine_state(1)));
        let own = dispatcher.fleet().service("model").map_or(0, <[_]>::len);
        let region = Region::new(ALLOCATOR);
        let started = Instant::now();
        (1..=REQUESTS).for_each(|id| route(&mut dispatcher, id, 0));
        let request = micros(started.elapsed()) / REQUESTS as f64;
        let allocations = region.change().allocations as f64 / REQUESTS as f64;
        let started = Instant::now();
        (1..=REQUESTS / 10).for_each(|id| route(&mut dispatcher, REQUESTS + id, TOKENS));
        let with_tokens = micros(started.elapsed()) / (REQUESTS / 10) as f64;
        let token = (with_tokens - request) / f64::from(TOKENS);
        let names: Vec<_> = dispatcher.fleet().iter().map(|s| s.info.name.clone()).collect();
        let started = Instant::now();
        for name in &names {
            dispatcher.on_report(Duration::from_secs(1), name, engine_state(1), &mut Vec::new());
        }
        let reports = micros(started.elapsed());
        line(&format!(
            "| {servers} | {own} | {:.0} | {request:.1} | {allocations:.0} | {token:.2} | {reports:.0} |",
            bytes as f64 / 1000.0
        ));
    }
}

/// What one step cost its coordinator.
struct StepCost {
    bytes: usize,
    busy: Duration,
    writes: u64,
    objects: u64,
}

fn run_step(samples: u32) -> StepCost {
    let manifest = check::manifest_value(sizes::manifest(20, 8, 0)).expect("it is valid");
    let trainer = manifest.trainers[0].clone();
    let mut coordinator =
        StepCoordinator::new(trainer, &manifest.objective, LongestFirst, "owner", 1);
    let groups = (0..samples / 8)
        .map(|group| GroupSpec {
            group,
            prompt: format!("prompt {group}"),
            samples: 8,
            max_tokens: 512,
        })
        .collect();
    let mut table = Rows::default();
    let started = Instant::now();
    let mut cost = StepCost { bytes: 0, busy: Duration::ZERO, writes: 0, objects: 0 };
    let (bytes, ()) = held_bytes(|| {
        let mut out = Vec::new();
        let spec = StepSpec { step: 1, weights_version: 1, groups };
        coordinator.submit(Now::ZERO, spec, &mut out).expect("a valid step");
        while let Some(action) = out.pop() {
            answer(&mut coordinator, &mut table, action, &mut cost, &mut out);
        }
    });
    cost.busy = started.elapsed();
    cost.bytes = bytes;
    cost
}

fn answer(
    coordinator: &mut StepCoordinator<LongestFirst>,
    table: &mut Rows,
    action: StepAction,
    cost: &mut StepCost,
    out: &mut Vec<StepAction>,
) {
    let now = Duration::from_secs(1);
    match action {
        StepAction::Submit(work) => {
            let event = match work.task {
                Task::Generate { .. } => {
                    let mut progress = Progress::default();
                    progress.add(&[b'x'; 800], 200, 1);
                    WorkEvent::Finished { progress }
                }
                Task::Call { .. } => WorkEvent::Answered {
                    status: 200,
                    body: Bytes::from_static(b"{\"score\":0.5}"),
                },
            };
            coordinator.on_work(now, work.id, event, out);
        }
        StepAction::PutObject { object, key, .. } => {
            cost.objects += 1;
            coordinator.on_put(&object, &key, Ok(()), out);
        }
        StepAction::GroupTxn { step, group, txn } => {
            cost.writes += 1;
            let reply: TxnAnswer = table.run(&txn);
            coordinator.on_group_txn(step, group, &Ok(reply), out);
        }
        StepAction::Write(txn) => {
            cost.writes += 1;
            table.run(&txn);
        }
        _ => {}
    }
}

fn step_slope() {
    line("\n| samples | state KB at the end | processor us a sample | table writes | objects |");
    line("| ---: | ---: | ---: | ---: | ---: |");
    for samples in [512, 1024, 2048, 4096] {
        let cost = run_step(samples);
        line(&format!(
            "| {samples} | {:.0} | {:.1} | {} | {} |",
            cost.bytes as f64 / 1000.0,
            micros(cost.busy) / f64::from(samples),
            cost.writes,
            cost.objects
        ));
    }
}

fn rollout_slope() {
    line("\n| servers | in the region | loads from the store | all hold s | all run s | orders | reports | processor ms |");
    line("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for servers in [20, 100, 500, 1000, 2500] {
        let manifest = check::manifest_value(sizes::manifest(servers, 8, 0)).expect("it is valid");
        let started = Instant::now();
        let cost = fleet::roll_out(&manifest, "region-0");
        let zones = &manifest.regions[0].zones;
        let own = manifest.models[0].servers.iter().filter(|s| zones.contains(&s.zone)).count();
        line(&format!(
            "| {servers} | {own} | {} | {:.2} | {:.2} | {} | {} | {:.0} |",
            cost.from_store,
            cost.staged.as_secs_f64(),
            cost.activated.as_secs_f64(),
            cost.orders,
            cost.polls,
            micros(started.elapsed()) / 1000.0
        ));
    }
}

/// Table operations of one role with a holder and two challengers.
fn lease_operations() {
    const SECONDS: u64 = 600;
    let mut table = Rows::default();
    let times = LeaseTimes::default();
    let mut leases: Vec<_> =
        (0..3).map(|i| Lease::new("role", &format!("holder-{i}"), times)).collect();
    let (mut reads, mut writes) = (0u64, 0u64);
    for tick in 0..SECONDS * 20 {
        let now = Duration::from_millis(tick * 50);
        for lease in &mut leases {
            let mut out = Vec::new();
            lease.tick(now, true, &mut out);
            while let Some(action) = out.pop() {
                match action {
                    LeaseAction::Read => {
                        reads += 1;
                        let reply = Ok(table.read(lease.key()));
                        lease.on_read(now, &reply, &mut out);
                    }
                    LeaseAction::Txn { attempt, txn } => {
                        writes += 1;
                        let reply = Ok(table.run(&txn));
                        lease.on_txn(now, &attempt, &reply, &mut out);
                    }
                }
            }
        }
    }
    line("\n| lease of one role, three candidates | a second |");
    line("| --- | ---: |");
    line(&format!("| table reads | {:.2} |", reads as f64 / SECONDS as f64));
    line(&format!("| table writes | {:.2} |", writes as f64 / SECONDS as f64));
}

/// Table operations of one suspect that survives its run alone.
fn quarantine_operations() {
    let mut table = Rows::default();
    let mut quarantine = Quarantine::default();
    let (mut reads, mut writes) = (0u64, 0u64);
    let mut out = Vec::new();
    quarantine.on_crash(Now::ZERO, 7, "first".to_owned(), &mut out);
    quarantine.request_run(7, "second".to_owned(), &mut out);
    let mut survived = false;
    while let Some(action) = out.pop() {
        match action {
            QuarantineAction::Read { fingerprint } => {
                reads += 1;
                let reply = Ok(table.read(&buckthornfall_core::quarantine::key(fingerprint)));
                quarantine.on_read(Now::ZERO, fingerprint, &reply, &mut out);
            }
            QuarantineAction::Txn { fingerprint, txn } => {
                writes += 1;
                let reply = Ok(table.run(&txn));
                quarantine.on_txn(Now::ZERO, fingerprint, &reply, &mut out);
            }
            QuarantineAction::Answer { fingerprint, attempt, .. } if !survived => {
                survived = true;
                quarantine.on_completed(fingerprint, attempt, &mut out);
            }
            QuarantineAction::Answer { .. } => {}
        }
    }
    line("\n| one suspect, from the death to its clearance | operations |");
    line("| --- | ---: |");
    line(&format!("| table reads | {reads} |"));
    line(&format!("| table writes | {writes} |"));
}

fn burn_cost() {
    let mut burn = BurnCounters::default();
    let indicators = [Indicator::AnswerLatency, Indicator::Refusals, Indicator::TrainerIdle];
    let started = Instant::now();
    let (bytes, ()) = held_bytes(|| {
        for slice in 0..6 * 360 {
            indicators.iter().for_each(|indicator| burn.record(*indicator, true));
            burn.tick(Duration::from_secs(slice * 10));
        }
    });
    let busy = started.elapsed();
    line("\n| service-level counts of six hours | |");
    line("| --- | ---: |");
    line(&format!("| state KB | {:.0} |", bytes as f64 / 1000.0));
    line(&format!("| processor us a slice of 10 s | {:.2} |", micros(busy) / 2160.0));
}
