//! Runs all policies with all seeds and compares their medians.

use std::{fmt::Write, time::Duration};

use buckthornfall_core::{
    order::{FirstComeFirstServed, LongestFirst, Order},
    pick::{LeastLoadedPick, LocalityPick, Pick, RoundRobinPick},
    step::StepPolicy,
};
use serde::Serialize;

use crate::{
    scenario::{Scenario, Variant},
    simulation::{Measurements, Simulation},
};

/// Results of a policy with one seed, or the medians over all seeds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Outcome {
    /// Share of the time that trainers waited, in percent.
    pub idle_percent: f64,
    /// Mean staleness, in versions.
    pub staleness_mean: f64,
    /// 99th percentile of the staleness, in versions.
    pub staleness_p99: f64,
    /// Maximum staleness, in versions.
    pub staleness_max: f64,
    /// Share of generated tokens that were discarded, in percent.
    pub wasted_percent: f64,
    /// Median duration of a step, in seconds.
    pub step_p50: f64,
    /// 99th percentile of the duration of a step, in seconds.
    pub step_p99: f64,
    /// Share of prompts whose prefix was cached, in percent.
    pub prefix_hit_percent: f64,
    /// 99th percentile of the latency of interactive requests, in seconds.
    pub interactive_p99: f64,
    /// Traffic over the link between regions, in kilobytes.
    pub link_kb: f64,
    /// Lower bound of `idle_percent` for any schedule.
    pub idle_bound_percent: f64,
}

/// Results of a policy with all seeds.
#[derive(Debug, Clone, Serialize)]
pub struct VariantOutcome {
    /// Name of the policy.
    pub name: &'static str,
    /// Results of each seed.
    pub seeds: Vec<Outcome>,
    /// Medians over the seeds.
    pub median: Outcome,
}

/// Results of all policies in a scenario.
#[derive(Debug, Clone, Serialize)]
pub struct Comparison {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Results of all policies, baselines first.
    pub variants: Vec<VariantOutcome>,
    /// 99th percentile of the latency of interactive requests without rollouts, in seconds.
    pub interactive_alone_p99: f64,
}

/// Runs a scenario with all policies.
pub fn compare(scenario: &Scenario) -> Comparison {
    let variants = Variant::ALL.iter().map(|variant| run_variant(scenario, *variant)).collect();
    let interactive_only = run_variant(&scenario.without_rollouts(), Variant::Full);
    Comparison {
        scenario: scenario.name,
        variants,
        interactive_alone_p99: interactive_only.median.interactive_p99,
    }
}

fn run_variant(scenario: &Scenario, variant: Variant) -> VariantOutcome {
    let seeds: Vec<_> =
        scenario.seeds.iter().map(|seed| Outcome::new(&run(scenario, variant, *seed))).collect();
    let median = Outcome::median(&seeds);
    VariantOutcome { name: variant.name(), seeds, median }
}

fn run(scenario: &Scenario, variant: Variant, seed: u64) -> Measurements {
    let baseline = |policy: &mut StepPolicy| {
        policy.resume = false;
        policy.hedge_below_percent = 0;
    };
    let no_hedge = |policy: &mut StepPolicy| policy.hedge_below_percent = 0;
    let no_resume = |policy: &mut StepPolicy| policy.resume = false;
    let full = |_: &mut StepPolicy| {};
    match variant {
        Variant::RoundRobin => {
            simulate(scenario, seed, RoundRobinPick::default(), &FirstComeFirstServed, baseline)
        }
        Variant::LeastLoaded => {
            simulate(scenario, seed, LeastLoadedPick, &FirstComeFirstServed, baseline)
        }
        Variant::LongestFirst => simulate(scenario, seed, LeastLoadedPick, &LongestFirst, baseline),
        Variant::NoHedge => simulate(scenario, seed, LocalityPick, &LongestFirst, no_hedge),
        Variant::NoResume => simulate(scenario, seed, LocalityPick, &LongestFirst, no_resume),
        Variant::Full => simulate(scenario, seed, LocalityPick, &LongestFirst, full),
    }
}

fn simulate<P: Pick, O: Order + Clone>(
    scenario: &Scenario,
    seed: u64,
    pick: P,
    order: &O,
    adjust: impl Fn(&mut StepPolicy),
) -> Measurements {
    Simulation::new(scenario, seed, pick, order, adjust).run()
}

impl Outcome {
    fn new(measurements: &Measurements) -> Outcome {
        let seconds = |times: &[Duration]| times.iter().map(Duration::as_secs_f64).collect();
        let staleness: Vec<f64> = measurements.staleness.iter().map(|s| *s as f64).collect();
        let steps: Vec<f64> = seconds(&measurements.step_times);
        let interactive: Vec<f64> = seconds(&measurements.interactive_latencies);
        Outcome {
            idle_percent: measurements.idle_share * 100.0,
            staleness_mean: staleness.iter().sum::<f64>() / staleness.len().max(1) as f64,
            staleness_p99: quantile(&staleness, 0.99),
            staleness_max: quantile(&staleness, 1.0),
            wasted_percent: measurements.wasted_share * 100.0,
            step_p50: quantile(&steps, 0.5),
            step_p99: quantile(&steps, 0.99),
            prefix_hit_percent: measurements.prefix_hit_share * 100.0,
            interactive_p99: quantile(&interactive, 0.99),
            link_kb: measurements.link_bytes as f64 / 1000.0,
            idle_bound_percent: measurements.idle_bound * 100.0,
        }
    }

    fn median(all: &[Outcome]) -> Outcome {
        let median =
            |value: fn(&Outcome) -> f64| quantile(&all.iter().map(value).collect::<Vec<_>>(), 0.5);
        Outcome {
            idle_percent: median(|o| o.idle_percent),
            staleness_mean: median(|o| o.staleness_mean),
            staleness_p99: median(|o| o.staleness_p99),
            staleness_max: median(|o| o.staleness_max),
            wasted_percent: median(|o| o.wasted_percent),
            step_p50: median(|o| o.step_p50),
            step_p99: median(|o| o.step_p99),
            prefix_hit_percent: median(|o| o.prefix_hit_percent),
            interactive_p99: median(|o| o.interactive_p99),
            link_kb: median(|o| o.link_kb),
            idle_bound_percent: median(|o| o.idle_bound_percent),
        }
    }
}

fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = ((sorted.len().saturating_sub(1)) as f64 * q).round() as usize;
    sorted.get(index).copied().unwrap_or(0.0)
}

impl Comparison {
    /// Formats the comparison as a table.
    pub fn describe(&self) -> String {
        let mut text = format!(
            "{}, medians of {} seeds\n{:<28} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>6} {:>7} {:>8}\n",
            self.scenario,
            self.variants.first().map_or(0, |variant| variant.seeds.len()),
            "policy",
            "idle %",
            "stale",
            "p99",
            "max",
            "waste%",
            "step50",
            "step99",
            "hit %",
            "int99 s",
            "link KB"
        );
        for variant in &self.variants {
            let o = &variant.median;
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{:<28} {:>6.1} {:>6.2} {:>6.0} {:>6.0} {:>6.1} {:>7.1} {:>7.1} {:>6.1} {:>7.2} {:>8.0}",
                variant.name,
                o.idle_percent,
                o.staleness_mean,
                o.staleness_p99,
                o.staleness_max,
                o.wasted_percent,
                o.step_p50,
                o.step_p99,
                o.prefix_hit_percent,
                o.interactive_p99,
                o.link_kb
            );
        }
        let bound = self.variants.last().map_or(0.0, |v| v.median.idle_bound_percent);
        let _ = write!(
            text,
            "idle of any schedule at least {bound:.1} %; interactive p99 without rollouts {:.2} s",
            self.interactive_alone_p99
        );
        text
    }
}
