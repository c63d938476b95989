//! Injects every fault at every step of the protocols: alone, twice and in pairs.
//!
//! The cases are generated from the lists in `matrix/plan.rs`. Virtual time and a fixed seed make
//! runs reproducible. A failure prints the case and the trace of its events.

#[path = "matrix/checks.rs"]
mod checks;
#[path = "matrix/clients.rs"]
mod clients;
#[path = "matrix/fakes.rs"]
mod fakes;
#[path = "matrix/glue.rs"]
mod glue;
#[path = "matrix/host.rs"]
mod host;
#[path = "matrix/plan.rs"]
mod plan;
#[path = "matrix/world.rs"]
mod world;

use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{
        atomic::{AtomicUsize, Ordering},
        OnceLock,
    },
    thread,
};

use rand::{rngs::SmallRng, seq::IndexedRandom, SeedableRng};

use plan::{Fault, Mutation, Step, Trigger};
use world::World;

const SEED: u64 = 7;
const THREADS: usize = 6;
/// Occurrences of a step at which a single fault is injected.
const OCCURRENCES: [u32; 3] = [1, 2, 5];
/// Maximum number of failed cases that are printed with their trace.
const MAX_PRINTED_CASES: usize = 3;
const TRACE_LINES: usize = 120;
/// Number of random pairs of faults at different steps.
const MIXED_CASES: usize = 6000;

const PAGE_HEAD: &str = "\
# Faults

This page is a snapshot of the fault matrix, written by `UPDATE_FAULTS=1 cargo test -p
buckthornfall-core --test fault_matrix` and compared by each test run. A case runs three hosts,
four engines, the store, a trainer and callers in virtual time. One or two faults come just when
a message of a protocol step is sent. Every invariant of docs/PROMISES.md is checked after every
event, and all work has to end once the faults have healed.

| part | cases | all faults came | failed |
| --- | ---: | ---: | ---: |
";
const TABLE_HEAD: &str = "
Cells: cases in which the fault came at the step, over all parts.

";

type Case = Vec<Trigger>;

fn trigger(step: Step, occurrence: u32, fault: Fault) -> Trigger {
    Trigger { step, occurrence, fault }
}

fn run(plan: &[Trigger], mutation: Option<Mutation>) -> World {
    let mut world = World::new(plan, mutation, SEED);
    world.run();
    world
}

struct Failure {
    case: Case,
    violations: Vec<String>,
    trace: Vec<String>,
}

/// Runs all cases; returns the failures, and the number of triggers that fired in each case.
fn run_all(cases: &[Case]) -> (Vec<Failure>, Vec<usize>) {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(case) = cases.get(index) else { return done };
            let world = run(case, None);
            let failure = (!world.violations.is_empty()).then(|| Failure {
                case: case.clone(),
                violations: world.violations,
                trace: world.trace,
            });
            done.push((index, world.fired, failure));
        }
    };
    let mut all: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        threads.into_iter().flat_map(|t| t.join().expect("no case panics")).collect()
    });
    all.sort_by_key(|(index, _, _)| *index);
    let fired = all.iter().map(|(_, fired, _)| *fired).collect();
    (all.into_iter().filter_map(|(_, _, failure)| failure).collect(), fired)
}

fn format_failures(failures: &[Failure], cases: usize) -> String {
    let mut text = format!("{} of {cases} cases failed, seed {SEED}\n", failures.len());
    let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
    for failure in failures {
        let kind = failure.violations[0].split(':').next().unwrap_or_default().to_owned();
        *kinds.entry(kind).or_default() += 1;
    }
    for (kind, count) in kinds {
        let _ = writeln!(text, "{count:5} {kind}");
    }
    for failure in failures {
        let _ = writeln!(text, "{:?}: {:?}", failure.case, failure.violations);
    }
    for failure in failures.iter().take(MAX_PRINTED_CASES) {
        let _ = writeln!(text, "\n{:?}", failure.case);
        let skip = failure.trace.len().saturating_sub(TRACE_LINES);
        for line in &failure.trace[skip..] {
            let _ = writeln!(text, "{line}");
        }
    }
    text
}

/// Part of the matrix, run once for all tests of this file.
struct Part {
    name: &'static str,
    cases: Vec<Case>,
    failures: Vec<Failure>,
    /// Number of triggers that fired in each case.
    fired: Vec<usize>,
}

impl Part {
    fn run(name: &'static str, cases: Vec<Case>) -> Part {
        let (failures, fired) = run_all(&cases);
        Part { name, cases, failures, fired }
    }
}

fn parts() -> &'static [Part] {
    static PARTS: OnceLock<Vec<Part>> = OnceLock::new();
    PARTS.get_or_init(|| {
        vec![
            Part::run("alone", alone()),
            Part::run("twice", twice()),
            Part::run("pairs at one step", pairs()),
            Part::run("pairs at different steps", mixed(MIXED_CASES, SEED)),
        ]
    })
}

fn check(name: &str) {
    let part = parts().iter().find(|part| part.name == name).expect("a known part");
    assert!(part.failures.is_empty(), "{}", format_failures(&part.failures, part.cases.len()));
}

/// Returns the page that counts the cases with each fault at each step.
fn page() -> String {
    let mut cells: BTreeMap<(Step, Fault), usize> = BTreeMap::new();
    let mut text = String::from(PAGE_HEAD);
    for part in parts() {
        let fully_fired =
            part.cases.iter().zip(&part.fired).filter(|(case, fired)| case.len() == **fired);
        for (case, _) in fully_fired.clone() {
            for trigger in case {
                *cells.entry((trigger.step, trigger.fault)).or_default() += 1;
            }
        }
        let (name, all, fired, failed) =
            (part.name, part.cases.len(), fully_fired.count(), part.failures.len());
        let _ = writeln!(text, "| {name} | {all} | {fired} | {failed} |");
    }
    text.push_str(TABLE_HEAD);
    for (i, fault) in Fault::ALL.iter().enumerate() {
        let _ = writeln!(text, "{}. {fault:?}", i + 1);
    }
    let numbers: Vec<_> = (1..=Fault::ALL.len()).map(|i| i.to_string()).collect();
    let _ = writeln!(text, "\n| step | {} |", numbers.join(" | "));
    let _ = writeln!(text, "| --- |{}", " ---: |".repeat(Fault::ALL.len()));
    for step in Step::ALL {
        let count = |fault| cells.get(&(step, fault)).copied().unwrap_or(0).to_string();
        let counts: Vec<_> = Fault::ALL.into_iter().map(count).collect();
        let _ = writeln!(text, "| {step:?} | {} |", counts.join(" | "));
    }
    text
}

fn alone() -> Vec<Case> {
    let mut cases = Vec::new();
    for step in Step::ALL {
        for fault in Fault::ALL {
            cases.extend(OCCURRENCES.map(|occurrence| vec![trigger(step, occurrence, fault)]));
        }
    }
    cases
}

fn twice() -> Vec<Case> {
    let both = |step, fault| vec![trigger(step, 1, fault), trigger(step, 2, fault)];
    Step::ALL
        .into_iter()
        .flat_map(|step| Fault::ALL.into_iter().map(move |fault| both(step, fault)))
        .collect()
}

fn pairs() -> Vec<Case> {
    let mut cases = Vec::new();
    for step in Step::ALL {
        for first in Fault::ALL {
            for second in Fault::ALL.into_iter().filter(|second| *second != first) {
                cases.push(vec![trigger(step, 1, first), trigger(step, 2, second)]);
            }
        }
    }
    cases
}

/// Returns random pairs of faults at random steps and occurrences.
fn mixed(count: usize, seed: u64) -> Vec<Case> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut draw = || {
        let step = *Step::ALL.choose(&mut rng).expect("there are steps");
        let fault = *Fault::ALL.choose(&mut rng).expect("there are faults");
        let occurrence = *OCCURRENCES.choose(&mut rng).expect("there are occurrences");
        trigger(step, occurrence, fault)
    };
    (0..count).map(|_| vec![draw(), draw()]).collect()
}

#[test]
fn no_violations_without_faults() {
    let world = run(&[], None);
    let trace = world.trace.join("\n");
    assert!(world.violations.is_empty(), "{:?}\n{trace}", world.violations);
    assert!(world.callers.iter().all(|caller| caller.answered), "{trace}");
}

#[test]
fn each_fault_alone_at_each_step() {
    check("alone");
}

#[test]
fn each_fault_twice_at_each_step() {
    check("twice");
}

#[test]
fn each_pair_of_faults_at_each_step() {
    check("pairs at one step");
}

/// Environment variable that makes the test write the page instead of comparing it.
const UPDATE: &str = "UPDATE_FAULTS";

#[test]
fn faults_page_is_up_to_date() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/FAULTS.md");
    let page = page();
    if std::env::var_os(UPDATE).is_some() {
        std::fs::write(path, &page).expect("docs can be written");
    }
    let current = std::fs::read_to_string(path).expect("the page exists");
    assert!(current == page, "docs/FAULTS.md is old; run the tests with {UPDATE}=1 and commit it");
}

#[test]
fn every_fault_fires_at_every_step() {
    let part = parts().iter().find(|part| part.name == "alone").expect("a known part");
    let mut missing = Vec::new();
    for (case, fired) in part.cases.iter().zip(&part.fired) {
        if case[0].occurrence == 1 && *fired == 0 {
            missing.push(case[0]);
        }
    }
    assert!(missing.is_empty(), "{missing:?}");
}

/// Returns the invariant that is violated when a mechanism is disabled.
fn expected_violation(mutation: Mutation) -> &'static str {
    match mutation {
        Mutation::OrderedVersions => "a sample names the versions that made it",
        Mutation::NoFreshness => "no sample is older than the bound",
        Mutation::NoCursor => "each sample comes exactly once",
        Mutation::NoAttemptIds => "every caller gets its own whole answer",
        Mutation::BrokenIsNotRun => "not run means not run",
        Mutation::NoClaim => "non-idempotent requests run at most once",
        Mutation::NoLeavingSignals => "a leaving server gets no new work",
        Mutation::NoDrain => "planned stop cuts nothing off",
        Mutation::Reverts => "a configuration never reverts",
        Mutation::NoLease => "no order of an old holder takes effect",
        Mutation::NoQuarantine => "a request that crashes servers is stopped",
    }
}

#[test]
fn pairs_of_faults_at_different_steps() {
    check("pairs at different steps");
}

/// Runs the cases until one violates the expected invariant; returns the count of each violation.
fn violations_with(mutation: Mutation, cases: &[Case]) -> BTreeMap<String, usize> {
    let mut detected = BTreeMap::new();
    for case in cases {
        for violation in run(case, Some(mutation)).violations {
            let kind = violation.split(':').next().unwrap_or_default().to_owned();
            *detected.entry(kind).or_insert(0) += 1;
        }
        if detected.contains_key(expected_violation(mutation)) {
            break;
        }
    }
    detected
}

#[test]
fn each_disabled_mechanism_is_detected() {
    let cases = alone();
    let detected: Vec<_> = thread::scope(|scope| {
        let start = |mutation| {
            scope.spawn({
                let cases = &cases;
                move || violations_with(mutation, cases)
            })
        };
        let threads: Vec<_> = Mutation::ALL.map(start).into_iter().collect();
        threads.into_iter().map(|t| t.join().expect("no case panics")).collect()
    });
    let undetected: Vec<_> = Mutation::ALL
        .into_iter()
        .zip(detected)
        .filter(|(mutation, detected)| !detected.contains_key(expected_violation(*mutation)))
        .collect();
    assert!(undetected.is_empty(), "{undetected:#?}");
}
