//! Closed-loop simulation of a fleet in virtual time, on the state machines that daemons run.
//!
//! A trainer submits a step only once the previous weight version is named, so a delay carries over
//! to the steps after it. Callers of a plain service are simulated beside the trainers, with first attempts
//! only. An experiment file sets sizes, load and faults. Not simulated: request bodies and prompts, groups
//! carried over to another step, relayed calls, and the computing time of decisions.

mod callers;
mod controller;
mod experiment;
mod report;
mod servers;
mod simulation;
mod trainer;

pub use self::{
    experiment::{Callers, Error, Experiment, Fault, FaultKind, LostPathPolicy},
    report::{CallersReport, FleetReport, TrainerReport},
};

use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

/// Simulates an experiment with each seed in `0..seeds` on `threads` threads. `on_progress` is
/// called after each seed with the number of completed seeds.
pub fn simulate(
    experiment: &Experiment,
    seeds: u64,
    threads: usize,
    on_progress: impl Fn(u64) + Sync,
) -> FleetReport {
    let next_seed = AtomicU64::new(0);
    let completed = AtomicU64::new(0);
    let mut results: Vec<_> = thread::scope(|scope| {
        let work = || {
            let mut results = Vec::new();
            loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds {
                    return results;
                }
                results.push((seed, simulation::Simulation::new(experiment, seed).run()));
                on_progress(completed.fetch_add(1, Ordering::Relaxed) + 1);
            }
        };
        let threads: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("simulation thread panicked"))
            .collect()
    });
    results.sort_by_key(|(seed, _)| *seed);
    let results: Vec<_> = results.into_iter().map(|(_, result)| result).collect();
    FleetReport::new(experiment, &results)
}
