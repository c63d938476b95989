//! Control costs by deployment size: `cargo bench --bench capacity` prints the tables of
//! docs/CAPACITY.md. Messages, bytes and operations are counted; times depend on the machine.

#[path = "../tests/support/gossip.rs"]
mod gossip;
#[path = "../tests/support/rollout.rs"]
mod rollout;
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
const SETTLE_TIME: Duration = Duration::from_secs(40);
const MEASURE_TIME: Duration = Duration::from_secs(40);

#[allow(clippy::print_stdout)]
fn print_line(text: &str) {
    println!("{text}");
}

fn main() {
    let selected = std::env::args().nth(1).unwrap_or_default();
    let sections: [(&str, fn()); 8] = [
        ("gossip", gossip_slope),
        ("manifest", manifest_slope),
        ("serving", serving_slope),
        ("step", step_slope),
        ("rollout", rollout_slope),
        ("lease", lease_operations),
        ("quarantine", quarantine_operations),
        ("burn", burn_cost),
    ];
    let run_all = !sections.iter().any(|(name, _)| *name == selected);
    for (_, section) in sections.iter().filter(|(name, _)| run_all || *name == selected) {
        section();
    }
}

/// Returns the bytes that `build` leaves allocated, and its result.
fn measure_allocated<T>(build: impl FnOnce() -> T) -> (usize, T) {
    let region = Region::new(ALLOCATOR);
    let value = build();
    let stats = region.change();
    (stats.bytes_allocated.saturating_sub(stats.bytes_deallocated), value)
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

fn gossip_slope() {
    print_line("\n| daemons | state KB | messages/s | bytes/s in and out | processor us/s |");
    print_line("| ---: | ---: | ---: | ---: | ---: |");
    for daemons in [9, 50, 100, 200, 400] {
        let (bytes, mut net) = measure_allocated(|| {
            let mut net = GossipNet::new(daemons, 0, SEED);
            net.run(SETTLE_TIME);
            net
        });
        net.reset_counts();
        let started = Instant::now();
        net.run(SETTLE_TIME + MEASURE_TIME);
        let daemon_seconds = daemons as f64 * MEASURE_TIME.as_secs_f64();
        let us_per_daemon_s = micros(started.elapsed()) / daemon_seconds;
        let total: u64 = net.nodes.iter().map(|n| n.bytes_in + n.bytes_out).sum();
        let messages: u64 = net.nodes.iter().map(|n| n.messages_out).sum();
        print_line(&format!(
            "| {daemons} | {:.0} | {:.1} | {:.0} | {us_per_daemon_s:.0} |",
            bytes as f64 / daemons as f64 / 1000.0,
            messages as f64 / daemon_seconds,
            total as f64 / daemon_seconds
        ));
    }
}

fn manifest_slope() {
    print_line("\n| servers | manifest KB | change bytes | state KB | processor ms a change | everywhere after s, 400 daemons |");
    print_line("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for servers in [20, 100, 500, 1000, 2500] {
        let first = sizes::push(1, &sizes::manifest(servers, 8, 0));
        let second = sizes::push(2, &sizes::manifest(servers, 8, 1));
        let mut author = Config::new(Duration::ZERO);
        author.on_push(&first, &mut Vec::new());
        author.on_push(&second, &mut Vec::new());
        let change = author.push_above("author", 1).expect("the author has a newer revision");
        let (bytes, mut config) = measure_allocated(|| {
            let mut config = Config::new(Duration::ZERO);
            config.on_push(&first, &mut Vec::new());
            config
        });
        let started = Instant::now();
        config.on_push(&change, &mut Vec::new());
        let elapsed = started.elapsed();
        assert_eq!(config.revision(), 2);
        print_line(&format!(
            "| {servers} | {:.0} | {} | {:.0} | {:.2} | {} |",
            first.content.len() as f64 / 1000.0,
            change.content.len(),
            bytes as f64 / 1000.0,
            micros(elapsed) / 1000.0,
            change_spread_s(&first, &second),
        ));
    }
}

/// Returns the seconds until a change is in force at 400 daemons with a tenth of the messages lost.
fn change_spread_s(
    first: &buckthornfall_proto::messages::ManifestPush,
    second: &buckthornfall_proto::messages::ManifestPush,
) -> String {
    let mut net = GossipNet::new(400, 100, SEED);
    net.run(SETTLE_TIME);
    net.install(0, first);
    net.run(SETTLE_TIME * 2);
    let start = net.now;
    net.install(0, second);
    net.run(start + SETTLE_TIME);
    let last_installed_at =
        net.nodes.iter().map(|node| node.installed_at.get(&2).copied()).max().flatten();
    last_installed_at.map_or("never".to_owned(), |at| format!("{:.2}", (at - start).as_secs_f64()))
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

/// Routes one request, and finishes it after `events` token events.
fn route_request(dispatcher: &mut Dispatcher<LocalityPick>, id: u64, events: u32) {
    let now = Duration::from_millis(id / 100);
    let mut out = Vec::new();
    dispatcher.submit(now, serving::completion(id), &mut out).expect("the dispatcher has capacity");
    let attempt = out.iter().find_map(|action| match action {
        DispatchAction::Start { attempt, .. } => Some(attempt.clone()),
        _ => None,
    });
    let attempt = attempt.expect("the request starts at once");
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
    print_line("\n| servers | of these at one daemon | state KB | us a request | allocations a request | us a token | us a round of reports |");
    print_line("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for servers in [20, 100, 500, 1000, 2500] {
        let manifest = check::manifest_value(sizes::manifest(servers, 8, 0))
            .expect("the generated manifest is valid");
        let (bytes, mut dispatcher) =
            measure_allocated(|| serving::dispatcher(&manifest, 400, &engine_state(1)));
        let subset_size = dispatcher.fleet().service("model").map_or(0, <[_]>::len);
        let region = Region::new(ALLOCATOR);
        let started = Instant::now();
        (1..=REQUESTS).for_each(|id| route_request(&mut dispatcher, id, 0));
        let request_us = micros(started.elapsed()) / REQUESTS as f64;
        let allocations = region.change().allocations as f64 / REQUESTS as f64;
        let started = Instant::now();
        (1..=REQUESTS / 10).for_each(|id| route_request(&mut dispatcher, REQUESTS + id, TOKENS));
        let with_tokens_us = micros(started.elapsed()) / (REQUESTS / 10) as f64;
        let token_us = (with_tokens_us - request_us) / f64::from(TOKENS);
        let names: Vec<_> = dispatcher.fleet().iter().map(|s| s.info.name.clone()).collect();
        let started = Instant::now();
        for name in &names {
            dispatcher.on_report(Duration::from_secs(1), name, engine_state(1), &mut Vec::new());
        }
        let reports_us = micros(started.elapsed());
        print_line(&format!(
            "| {servers} | {subset_size} | {:.0} | {request_us:.1} | {allocations:.0} | {token_us:.2} | {reports_us:.0} |",
            bytes as f64 / 1000.0
        ));
    }
}

/// Costs of one step at its coordinator.
struct StepCost {
    bytes: usize,
    elapsed: Duration,
    writes: u64,
    objects: u64,
}

fn run_step(samples: u32) -> StepCost {
    let manifest =
        check::manifest_value(sizes::manifest(20, 8, 0)).expect("the generated manifest is valid");
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
    let mut cost = StepCost { bytes: 0, elapsed: Duration::ZERO, writes: 0, objects: 0 };
    let (bytes, ()) = measure_allocated(|| {
        let mut out = Vec::new();
        let spec = StepSpec { step: 1, weights_version: 1, groups };
        coordinator.submit(Now::ZERO, spec, &mut out).expect("the step is valid");
        while let Some(action) = out.pop() {
            execute(&mut coordinator, &mut table, action, &mut cost, &mut out);
        }
    });
    cost.elapsed = started.elapsed();
    cost.bytes = bytes;
    cost
}

fn execute(
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
    print_line(
        "\n| samples | state KB at the end | processor us a sample | table writes | objects |",
    );
    print_line("| ---: | ---: | ---: | ---: | ---: |");
    for samples in [512, 1024, 2048, 4096] {
        let cost = run_step(samples);
        print_line(&format!(
            "| {samples} | {:.0} | {:.1} | {} | {} |",
            cost.bytes as f64 / 1000.0,
            micros(cost.elapsed) / f64::from(samples),
            cost.writes,
            cost.objects
        ));
    }
}

fn rollout_slope() {
    print_line("\n| servers | in the region | loads from the store | all hold s | all run s | orders | reports | processor ms |");
    print_line("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for servers in [20, 100, 500, 1000, 2500] {
        let manifest = check::manifest_value(sizes::manifest(servers, 8, 0))
            .expect("the generated manifest is valid");
        let started = Instant::now();
        let cost = rollout::simulate_rollout(&manifest, "region-0");
        let zones = &manifest.regions[0].zones;
        let subset_size =
            manifest.models[0].servers.iter().filter(|s| zones.contains(&s.zone)).count();
        print_line(&format!(
            "| {servers} | {subset_size} | {} | {:.2} | {:.2} | {} | {} | {:.0} |",
            cost.loads_from_store,
            cost.staged.as_secs_f64(),
            cost.activated.as_secs_f64(),
            cost.orders,
            cost.polls,
            micros(started.elapsed()) / 1000.0
        ));
    }
}

/// Counts the table operations of one role with a holder and two challengers.
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
    print_line("\n| lease of one role, three candidates | a second |");
    print_line("| --- | ---: |");
    print_line(&format!("| table reads | {:.2} |", reads as f64 / SECONDS as f64));
    print_line(&format!("| table writes | {:.2} |", writes as f64 / SECONDS as f64));
}

/// Counts the table operations of one suspect request that survives its isolated run.
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
    print_line("\n| one suspect, from the death to its clearance | operations |");
    print_line("| --- | ---: |");
    print_line(&format!("| table reads | {reads} |"));
    print_line(&format!("| table writes | {writes} |"));
}

fn burn_cost() {
    let mut burn = BurnCounters::default();
    let indicators = [Indicator::AnswerLatency, Indicator::Refusals, Indicator::TrainerIdle];
    let started = Instant::now();
    let (bytes, ()) = measure_allocated(|| {
        for slice in 0..6 * 360 {
            indicators.iter().for_each(|indicator| burn.record(*indicator, true));
            burn.tick(Duration::from_secs(slice * 10));
        }
    });
    let elapsed = started.elapsed();
    print_line("\n| service-level counts of six hours | |");
    print_line("| --- | ---: |");
    print_line(&format!("| state KB | {:.0} |", bytes as f64 / 1000.0));
    print_line(&format!("| processor us a slice of 10 s | {:.2} |", micros(elapsed) / 2160.0));
}
