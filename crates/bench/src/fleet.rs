//! A closed loop in virtual time: trainers that ask for a step once the version before it is named, so
//! that what is late makes the next step late, on the state machines that daemons run.
//!
//! An experiment file says sizes, load and faults. What is left out: callers of plain services, bytes
//! and prompts, carried groups, relayed calls, and the time that decisions themselves take.

mod day;
mod duty;
mod experiment;
mod report;
mod servers;
mod trainer;

pub use self::{
    experiment::{Error, Experiment, Fault, FaultKind},
    report::{FleetReport, TrainerReport},
};

use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

/// Plays the days of seeds 0 to `seeds` on `threads` threads; `on_day` is told how many are done.
pub fn play(
    experiment: &Experiment,
    seeds: u64,
    threads: usize,
    on_day: impl Fn(u64) + Sync,
) -> FleetReport {
    let next = AtomicU64::new(0);
    let done = AtomicU64::new(0);
    let mut days: Vec<_> = thread::scope(|scope| {
        let work = || {
            let mut days = Vec::new();
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds {
                    return days;
                }
                days.push((seed, day::Day::new(experiment, seed).play()));
                on_day(done.fetch_add(1, Ordering::Relaxed) + 1);
            }
        };
        let threads: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a day is played")).collect()
    });
    days.sort_by_key(|(seed, _)| *seed);
    let days: Vec<_> = days.into_iter().map(|(_, day)| day).collect();
    FleetReport::new(experiment, &days)
}
