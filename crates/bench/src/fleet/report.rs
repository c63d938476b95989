//! Results of each seed, and of all seeds with 95% confidence intervals.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use buckthornfall_core::Now;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::{
    callers::{CallersResult, Share},
    experiment::Experiment,
    trainer::Trainer,
};

/// Length of the windows of submission time, the worst of which is reported.
const WINDOW: Duration = Duration::from_secs(2);
/// Half width of a 95% confidence interval, in standard errors.
const CONFIDENCE_HALF_WIDTH: f64 = 1.96;
/// Maximum value of the histograms of step times; longer times count as this one.
const MAX_STEP_TIME_MS: u64 = 600_000;

/// Results of a simulation with one seed.
#[derive(Debug)]
pub(super) struct SimulationResult {
    trainers: Vec<TrainerResult>,
    worst_window: f64,
    loads: usize,
    violations: Vec<String>,
    callers: Option<CallersResult>,
}

/// Results of a trainer with one seed.
#[derive(Debug)]
struct TrainerResult {
    /// Number of groups on time.
    on_time: usize,
    /// Number of groups that the trainer would have waited for in all planned steps.
    planned: usize,
    not_submitted: usize,
    delay: Duration,
    step_times: Vec<Duration>,
}

impl SimulationResult {
    pub(super) fn new(
        trainers: &[Trainer],
        start: Now,
        cfg: &Experiment,
        loads: usize,
        violations: Vec<String>,
        callers: Option<CallersResult>,
    ) -> SimulationResult {
        let load_time = Duration::from_millis(cfg.load_ms);
        let mut windows: BTreeMap<u128, (usize, usize)> = BTreeMap::new();
        let trainer_result = |trainer: &Trainer| {
            let mut on_time = 0;
            for step in &trainer.steps {
                let groups = step.groups_on_time(&trainer.cfg);
                on_time += groups;
                let window =
                    step.submitted_at.saturating_sub(start).as_millis() / WINDOW.as_millis();
                let counts = windows.entry(window).or_default();
                counts.0 += groups;
                counts.1 += trainer.cfg.target_groups;
            }
            let planned = trainer.planned_steps(load_time);
            TrainerResult {
                on_time,
                planned: planned * trainer.cfg.target_groups,
                not_submitted: planned.saturating_sub(trainer.steps.len()),
                delay: trainer.delay(start),
                step_times: trainer.steps.iter().filter_map(|step| step.wait_time()).collect(),
            }
        };
        let trainers = trainers.iter().map(trainer_result).collect();
        let share =
            |(on_time, planned): &(usize, usize)| *on_time as f64 / (*planned).max(1) as f64;
        let worst_window = windows.values().map(share).fold(1.0, f64::min);
        SimulationResult { trainers, worst_window, loads, violations, callers }
    }

    /// Returns the share of groups on time.
    fn on_time(&self) -> f64 {
        let on_time: usize = self.trainers.iter().map(|trainer| trainer.on_time).sum();
        let planned: usize = self.trainers.iter().map(|trainer| trainer.planned).sum();
        on_time as f64 / planned.max(1) as f64
    }
}

/// Mean with a 95% confidence interval.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Mean {
    /// Mean value.
    pub mean: f64,
    /// Half width of the interval.
    pub half: f64,
}

impl Mean {
    fn of(values: &[f64]) -> Mean {
        let count = values.len().max(1) as f64;
        let mean = values.iter().sum::<f64>() / count;
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let deviation = (squares / (count - 1.0).max(1.0)).sqrt();
        Mean { mean, half: CONFIDENCE_HALF_WIDTH * deviation / count.sqrt() }
    }
}

/// Results of a trainer over all seeds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TrainerReport {
    /// Model of the trainer.
    pub model: String,
    /// Share of groups on time; groups of planned steps that were never submitted count as late.
    pub on_time: Mean,
    /// Median time from a step's submission until the trainer stopped waiting for its groups, in
    /// seconds.
    pub step_p50: f64,
    /// 99th percentile of the same time, in seconds.
    pub step_p99: f64,
    /// Delay of the last step against its planned time, in seconds.
    pub behind: Mean,
    /// Number of planned steps that were never submitted.
    pub not_asked: Mean,
}

/// Shares of callers' first attempts that were served while daemons were cut off, over all seeds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallersReport {
    /// At daemons that were cut off, in the first 4 s of a cut.
    pub early: Mean,
    /// At daemons that were cut off, afterwards.
    pub cut_off: Mean,
    /// At the other daemons.
    pub others: Mean,
    /// First attempts at daemons that were cut off, after the first 4 s, for each seed.
    pub tries: Mean,
    /// Most requests in flight that other daemons had passed on to one daemon.
    pub most_passed_on: u32,
}

impl CallersReport {
    /// Returns `None` if no callers were simulated.
    fn new(results: &[SimulationResult]) -> Option<CallersReport> {
        let results: Vec<_> = results.iter().filter_map(|result| result.callers).collect();
        let mean = |value: &dyn Fn(&CallersResult) -> f64| {
            Mean::of(&results.iter().map(value).collect::<Vec<_>>())
        };
        let share = |of: fn(&CallersResult) -> Share| mean(&|result| of(result).value());
        Some(CallersReport {
            early: share(|result| result.early),
            cut_off: share(|result| result.cut_off),
            others: share(|result| result.others),
            tries: mean(&|result| f64::from(result.cut_off.tries)),
            most_passed_on: results.iter().map(|result| result.most_passed_on).max()?,
        })
    }
}

/// Results of an experiment over all seeds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FleetReport {
    /// Name of the experiment.
    pub experiment: String,
    /// Share of groups on time for each seed.
    pub seeds: Vec<f64>,
    /// Mean of `seeds`.
    pub on_time: Mean,
    /// Share of groups on time among the steps submitted in the worst window of two seconds.
    pub worst_window: Mean,
    /// Number of weight loads per seed.
    pub loads: Mean,
    /// Results of each trainer.
    pub trainers: Vec<TrainerReport>,
    /// Results of the callers, if there are any.
    #[serde(default)]
    pub callers: Option<CallersReport>,
    /// Violations of guarantees, each with its seed.
    pub broken: Vec<String>,
}

impl FleetReport {
    pub(super) fn new(cfg: &Experiment, results: &[SimulationResult]) -> FleetReport {
        let mean_of = |value: &dyn Fn(&SimulationResult) -> f64| {
            Mean::of(&results.iter().map(value).collect::<Vec<_>>())
        };
        let trainers = cfg.trainers.iter().enumerate().map(|(index, trainer)| {
            let mut steps = Histogram::<u64>::new_with_max(MAX_STEP_TIME_MS, 3)
                .expect("histogram bounds are invalid");
            for step in results.iter().flat_map(|result| &result.trainers[index].step_times) {
                steps.saturating_record(u64::try_from(step.as_millis()).unwrap_or(u64::MAX));
            }
            let seconds = |quantile: f64| steps.value_at_quantile(quantile) as f64 / 1_000.0;
            let trainer_mean = |value: &dyn Fn(&TrainerResult) -> f64| {
                mean_of(&|result| value(&result.trainers[index]))
            };
            TrainerReport {
                model: trainer.model.clone(),
                on_time: trainer_mean(&|result| {
                    result.on_time as f64 / result.planned.max(1) as f64
                }),
                step_p50: seconds(0.5),
                step_p99: seconds(0.99),
                behind: trainer_mean(&|result| result.delay.as_secs_f64()),
                not_asked: trainer_mean(&|result| result.not_submitted as f64),
            }
        });
        let violations = results.iter().enumerate().flat_map(|(seed, result)| {
            result.violations.iter().map(move |violation| format!("seed {seed}: {violation}"))
        });
        FleetReport {
            experiment: cfg.name.clone(),
            seeds: results.iter().map(SimulationResult::on_time).collect(),
            on_time: mean_of(&SimulationResult::on_time),
            worst_window: mean_of(&|result| result.worst_window),
            loads: mean_of(&|result| result.loads as f64),
            trainers: trainers.collect(),
            callers: CallersReport::new(results),
            broken: violations.collect(),
        }
    }

    /// Returns the mean difference to an older report over pairs of equal seeds; `None` if the
    /// reports are of other experiments or seeds.
    pub fn difference(&self, old: &FleetReport) -> Option<Mean> {
        let is_comparable =
            self.experiment == old.experiment && self.seeds.len() == old.seeds.len();
        let differences: Vec<_> =
            self.seeds.iter().zip(&old.seeds).map(|(new, old)| new - old).collect();
        is_comparable.then(|| Mean::of(&differences))
    }

    /// Formats the difference as a line.
    pub fn describe_difference(difference: Mean) -> String {
        let Mean { mean, half } = difference;
        // Numbers parsed from text can give a negative zero, which adding zero turns into zero.
        let mean = (mean * 10_000.0).round() / 10_000.0 + 0.0;
        format!("groups on time: {mean:+.4} ±{half:.4} on the older result")
    }

    /// Formats the report as a table, in which a day is the simulation of one seed.
    pub fn describe(&self) -> String {
        let mut text = format!("{}, {} days\n", self.experiment, self.seeds.len());
        let mean =
            |mean: Mean, digits: usize| format!("{:.digits$} ±{:.digits$}", mean.mean, mean.half);
        let mut write_row = |name: &str, cells: [String; 5]| {
            let [a, b, c, d, e] = cells;
            writeln!(text, "{name:20} {a:>14} {b:>10} {c:>10} {d:>13} {e:>12}")
                .expect("writing to a string cannot fail");
        };
        let headings = ["groups on time", "step p50 s", "p99 s", "behind s", "not asked"];
        write_row("trainer", headings.map(str::to_owned));
        for trainer in &self.trainers {
            let cells = [
                mean(trainer.on_time, 3),
                format!("{:.2}", trainer.step_p50),
                format!("{:.2}", trainer.step_p99),
                mean(trainer.behind, 2),
                mean(trainer.not_asked, 2),
            ];
            write_row(&trainer.model, cells);
        }
        let (on_time, window) = (mean(self.on_time, 3), mean(self.worst_window, 3));
        let loads = mean(self.loads, 1);
        writeln!(text, "all groups {on_time}, worst two seconds {window}, loads {loads}")
            .expect("writing to a string cannot fail");
        if let Some(callers) = &self.callers {
            let (early, late) = (mean(callers.early, 3), mean(callers.cut_off, 3));
            let (others, tries) = (mean(callers.others, 3), mean(callers.tries, 0));
            writeln!(text, "callers served at daemons that are cut off: {early} in the first 4 s, {late} afterwards ({tries} tries)")
                .expect("writing to a string cannot fail");
            let most = callers.most_passed_on;
            writeln!(text, "callers served at the others: {others}; at most {most} requests passed on to one at a time")
                .expect("writing to a string cannot fail");
        }
        match self.broken.first() {
            Some(first) => writeln!(text, "{} promises broken; {first}", self.broken.len()),
            None => writeln!(text, "every promise was kept"),
        }
        .expect("writing to a string cannot fail");
        text
    }
}
