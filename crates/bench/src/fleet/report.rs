//! What callers got: of each day, and of all days with 95% intervals.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use buckthornfall_core::Now;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::{experiment::Experiment, trainer::Trainer};

/// Steps that were asked for in the same time, of which the worst is shown.
const WINDOW: Duration = Duration::from_secs(2);
/// Standard errors of a 95% interval.
const INTERVAL: f64 = 1.96;
/// Longest time of a step that histograms tell apart, in milliseconds.
const LONGEST_MS: u64 = 600_000;

/// What the trainers of one day got.
#[derive(Debug)]
pub(super) struct DayReport {
    trainers: Vec<TrainerDay>,
    worst_window: f64,
    loads: usize,
    broken: Vec<String>,
}

#[derive(Debug)]
struct TrainerDay {
    /// Groups on time, and all groups that the trainer would have waited for.
    on_time: usize,
    planned: usize,
    not_asked: usize,
    behind: Duration,
    steps: Vec<Duration>,
}

impl DayReport {
    pub(super) fn new(
        trainers: &[Trainer],
        start: Now,
        cfg: &Experiment,
        loads: usize,
        broken: Vec<String>,
    ) -> DayReport {
        let load = Duration::from_millis(cfg.load_ms);
        let mut windows: BTreeMap<u128, (usize, usize)> = BTreeMap::new();
        let of_trainer = |trainer: &Trainer| {
            let mut on_time = 0;
            for step in &trainer.steps {
                let groups = step.on_time(&trainer.cfg);
                on_time += groups;
                let window = step.asked.saturating_sub(start).as_millis() / WINDOW.as_millis();
                let known = windows.entry(window).or_default();
                known.0 += groups;
                known.1 += trainer.cfg.target_groups;
            }
            let planned = trainer.planned(load);
            TrainerDay {
                on_time,
                planned: planned * trainer.cfg.target_groups,
                not_asked: planned.saturating_sub(trainer.steps.len()),
                behind: trainer.behind(start),
                steps: trainer.steps.iter().filter_map(|step| step.took()).collect(),
            }
        };
        let trainers = trainers.iter().map(of_trainer).collect();
        let share = |(on_time, all): &(usize, usize)| *on_time as f64 / (*all).max(1) as f64;
        let worst_window = windows.values().map(share).fold(1.0, f64::min);
        DayReport { trainers, worst_window, loads, broken }
    }

    fn on_time(&self) -> f64 {
        let on_time: usize = self.trainers.iter().map(|trainer| trainer.on_time).sum();
        let planned: usize = self.trainers.iter().map(|trainer| trainer.planned).sum();
        on_time as f64 / planned.max(1) as f64
    }
}

/// A mean with the half width of its 95% interval.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Half the width of the interval.
    pub half: f64,
}

impl Mean {
    fn of(values: &[f64]) -> Mean {
        let count = values.len().max(1) as f64;
        let mean = values.iter().sum::<f64>() / count;
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let deviation = (squares / (count - 1.0).max(1.0)).sqrt();
        Mean { mean, half: INTERVAL * deviation / count.sqrt() }
    }
}

/// What one trainer got on all days.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TrainerReport {
    /// Its model.
    pub model: String,
    /// Share of the groups on time; those of steps that were never asked for are not.
    pub on_time: Mean,
    /// Median and 99th percentile of the time until the groups that it waits for were read, in
    /// seconds.
    pub step_p50: f64,
    /// See `step_p50`.
    pub step_p99: f64,
    /// Time by which its last step was behind, in seconds.
    pub behind: Mean,
    /// Steps of a day that it never asked for.
    pub not_asked: Mean,
}

/// What all days of an experiment showed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FleetReport {
    /// Name of the experiment.
    pub experiment: String,
    /// Share of all groups on time of each seed.
    pub seeds: Vec<f64>,
    /// Their mean.
    pub on_time: Mean,
    /// Share on time of the two seconds with the least.
    pub worst_window: Mean,
    /// Loads of weights in a day.
    pub loads: Mean,
    /// Each trainer.
    pub trainers: Vec<TrainerReport>,
    /// Broken promises, with their seeds.
    pub broken: Vec<String>,
}

impl FleetReport {
    pub(super) fn new(cfg: &Experiment, days: &[DayReport]) -> FleetReport {
        let of_days = |value: &dyn Fn(&DayReport) -> f64| {
            Mean::of(&days.iter().map(value).collect::<Vec<_>>())
        };
        let trainers = cfg.trainers.iter().enumerate().map(|(index, trainer)| {
            let mut steps = Histogram::<u64>::new_with_max(LONGEST_MS, 3).expect("valid bounds");
            for step in days.iter().flat_map(|day| &day.trainers[index].steps) {
                steps.saturating_record(u64::try_from(step.as_millis()).unwrap_or(u64::MAX));
            }
            let seconds = |quantile: f64| steps.value_at_quantile(quantile) as f64 / 1_000.0;
            let of =
                |value: &dyn Fn(&TrainerDay) -> f64| of_days(&|day| value(&day.trainers[index]));
            TrainerReport {
                model: trainer.model.clone(),
                on_time: of(&|day| day.on_time as f64 / day.planned.max(1) as f64),
                step_p50: seconds(0.5),
                step_p99: seconds(0.99),
                behind: of(&|day| day.behind.as_secs_f64()),
                not_asked: of(&|day| day.not_asked as f64),
            }
        });
        let broken = days.iter().enumerate().flat_map(|(seed, day)| {
            day.broken.iter().map(move |broken| format!("seed {seed}: {broken}"))
        });
        FleetReport {
            experiment: cfg.name.clone(),
            seeds: days.iter().map(DayReport::on_time).collect(),
            on_time: of_days(&DayReport::on_time),
            worst_window: of_days(&|day| day.worst_window),
            loads: of_days(&|day| day.loads as f64),
            trainers: trainers.collect(),
            broken: broken.collect(),
        }
    }

    /// Mean difference of this report from an older one, seed by seed; `None` if they are not of the
    /// same experiment and seeds.
    pub fn difference(&self, old: &FleetReport) -> Option<Mean> {
        let alike = self.experiment == old.experiment && self.seeds.len() == old.seeds.len();
        let differences: Vec<_> =
            self.seeds.iter().zip(&old.seeds).map(|(new, old)| new - old).collect();
        alike.then(|| Mean::of(&differences))
    }

    /// The difference as a line.
    pub fn describe_difference(difference: Mean) -> String {
        let Mean { mean, half } = difference;
        // Adding zero turns a negative zero, which numbers read back from text lead to, into zero.
        let mean = (mean * 10_000.0).round() / 10_000.0 + 0.0;
        format!("groups on time: {mean:+.4} ±{half:.4} on the older result")
    }

    /// The report as a table.
    pub fn describe(&self) -> String {
        let mut text = format!("{}, {} days\n", self.experiment, self.seeds.len());
        let mean =
            |mean: Mean, digits: usize| format!("{:.digits$} ±{:.digits$}", mean.mean, mean.half);
        let mut line = |name: &str, cells: [String; 5]| {
            let [a, b, c, d, e] = cells;
            writeln!(text, "{name:20} {a:>14} {b:>10} {c:>10} {d:>13} {e:>12}").expect("a string");
        };
        let names = ["groups on time", "step p50 s", "p99 s", "behind s", "not asked"];
        line("trainer", names.map(str::to_owned));
        for trainer in &self.trainers {
            let cells = [
                mean(trainer.on_time, 3),
                format!("{:.2}", trainer.step_p50),
                format!("{:.2}", trainer.step_p99),
                mean(trainer.behind, 2),
                mean(trainer.not_asked, 2),
            ];
            line(&trainer.model, cells);
        }
        let (on_time, window) = (mean(self.on_time, 3), mean(self.worst_window, 3));
        let loads = mean(self.loads, 1);
        writeln!(text, "all groups {on_time}, worst two seconds {window}, loads {loads}")
            .expect("a string");
        match self.broken.first() {
            Some(first) => writeln!(text, "{} promises broken; {first}", self.broken.len()),
            None => writeln!(text, "every promise was kept"),
        }
        .expect("a string");
        text
    }
}
