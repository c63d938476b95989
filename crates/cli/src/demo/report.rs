//! Report of the demo, and the promises that it checks.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use buckthornfall_standins::{
    callers::{CallerReport, ReportedOutcome},
    trainer::TrainerReport,
};
use hdrhistogram::Histogram;
use serde::Serialize;

use super::deployment::Deployment;

/// Results of one trainer.
#[derive(Debug, Clone, Serialize)]
pub struct TrainerSummary {
    name: String,
    steps: u64,
    expected: u64,
    delivered: u64,
    duplicated: u64,
    stale: u64,
    foreign: u64,
    idle_percent: f64,
    step_seconds_median: f64,
    staleness_mean: f64,
    staleness_max: u64,
    gave_up: Option<String>,
}

/// Results of the demo.
#[derive(Debug, Clone, Serialize)]
pub struct DemoReport {
    deployment: String,
    seconds: f64,
    trainers: Vec<TrainerSummary>,
    answered: u64,
    foreign_answers: u64,
    cut_answers: u64,
    refusals: BTreeMap<String, u64>,
    answer_ms_median: f64,
    answer_ms_p99: f64,
    records: u64,
    records_run_twice: u64,
    not_run_but_ran: u64,
    answered_but_not_run: u64,
    daemons_not_stopped: u32,
    /// Active weight versions of all engines, by adapter.
    weights_active: BTreeMap<String, Vec<u64>>,
    engine_crashes: u32,
    link_bytes_weights: u64,
    table_reads: u64,
    table_writes: u64,
}

impl DemoReport {
    /// Combines the results of trainers, callers and stand-ins.
    pub fn new(
        deployment: &Deployment,
        trainers: &[TrainerReport],
        callers: &[CallerReport],
        daemons_not_stopped: u32,
        elapsed: Duration,
    ) -> DemoReport {
        let names = deployment.manifest.trainers.iter().map(|trainer| &trainer.name);
        let runs = deployment.run_counter.runs();
        let records: BTreeMap<_, _> = callers.iter().flat_map(|c| c.records.clone()).collect();
        let run_count = |key: &String| runs.get(key).copied().unwrap_or(0);
        let count = |reported: ReportedOutcome, has_run: bool| {
            let matches = |(key, outcome): &(&String, &ReportedOutcome)| {
                **outcome == reported && (run_count(key) > 0) == has_run
            };
            records.iter().filter(matches).count() as u64
        };
        let mut refusals = BTreeMap::new();
        for (kind, count) in callers.iter().flat_map(|caller| &caller.refused) {
            *refusals.entry(kind.clone()).or_default() += count;
        }
        let latencies = histogram(callers.iter().flat_map(|caller| &caller.latencies));
        let operations = deployment.table.operations();
        DemoReport {
            deployment: deployment.manifest.deployment.clone(),
            seconds: elapsed.as_secs_f64(),
            trainers: names
                .zip(trainers)
                .map(|(n, report)| TrainerSummary::new(n, report))
                .collect(),
            answered: callers.iter().map(|caller| caller.answered).sum(),
            foreign_answers: callers.iter().map(|caller| caller.foreign).sum(),
            cut_answers: callers.iter().map(|caller| caller.cut).sum(),
            refusals,
            answer_ms_median: latencies.value_at_quantile(0.5) as f64 / 1000.0,
            answer_ms_p99: latencies.value_at_quantile(0.99) as f64 / 1000.0,
            records: records.len() as u64,
            records_run_twice: records.keys().filter(|key| run_count(key) > 1).count() as u64,
            not_run_but_ran: count(ReportedOutcome::NotRun, true),
            answered_but_not_run: count(ReportedOutcome::Answered, false),
            daemons_not_stopped,
            weights_active: active_versions(deployment),
            engine_crashes: deployment.engines.iter().map(|engine| engine.crashes()).sum(),
            link_bytes_weights: deployment.weights.link_bytes(),
            table_reads: operations.reads,
            table_writes: operations.writes,
        }
    }

    /// Returns the broken promises, one line each.
    pub fn broken(&self) -> Vec<String> {
        let mut broken = Vec::new();
        let mut check = |kept: bool, promise: &str| {
            if !kept {
                broken.push(promise.to_owned());
            }
        };
        for trainer in &self.trainers {
            let name = &trainer.name;
            check(trainer.gave_up.is_none(), &format!("trainer {name} gave up"));
            let complete = trainer.delivered - trainer.duplicated == trainer.expected;
            check(complete, &format!("trainer {name} did not get every sample"));
            let without_duplicates = trainer.duplicated == 0;
            check(without_duplicates, &format!("trainer {name} got samples twice"));
            check(trainer.stale == 0, &format!("trainer {name} got samples that are too old"));
            check(trainer.foreign == 0, &format!("trainer {name} got samples of another prompt"));
        }
        check(self.answered > 0, "callers got answers");
        check(self.foreign_answers == 0, "a caller got the answer to another request");
        check(self.cut_answers == 0, "a caller's answer ended before its end");
        check(self.records_run_twice == 0, "a non-idempotent request ran twice");
        check(self.not_run_but_ran == 0, "a refusal said \"not run\", but the work ran");
        check(self.answered_but_not_run == 0, "an answered record never ran");
        check(self.daemons_not_stopped == 0, "a planned stop did not end");
        broken
    }

    /// Formats the report as text.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = writeln!(text, "\n{} in {:.1} s", self.deployment, self.seconds);
        for t in &self.trainers {
            let _ = writeln!(
                text,
                "  trainer {:<20} {} steps, {} of {} samples, {} duplicated, {} too old, \
                 {} foreign\n{:31}idle {:.0}% of the time, step median {:.2} s, \
                 staleness mean {:.2} max {} versions",
                t.name,
                t.steps,
                t.delivered,
                t.expected,
                t.duplicated,
                t.stale,
                t.foreign,
                "",
                t.idle_percent,
                t.step_seconds_median,
                t.staleness_mean,
                t.staleness_max
            );
        }
        let _ = writeln!(
            text,
            "  callers   {} answers, {} foreign, {} cut off; median {:.0} ms, p99 {:.0} ms",
            self.answered,
            self.foreign_answers,
            self.cut_answers,
            self.answer_ms_median,
            self.answer_ms_p99
        );
        let refusals: Vec<_> = self.refusals.iter().map(|(k, n)| format!("{k} {n}")).collect();
        let refusals = if refusals.is_empty() { "none".to_owned() } else { refusals.join(", ") };
        let _ = writeln!(text, "  refusals  {refusals}");
        let _ = writeln!(
            text,
            "  records   {} non-idempotent requests, {} run twice, {} wrongly called \"not run\"",
            self.records, self.records_run_twice, self.not_run_but_ran
        );
        let _ = writeln!(
            text,
            "  weights   {} bytes over the region link, {} engine crashes; active versions {:?}",
            self.link_bytes_weights, self.engine_crashes, self.weights_active
        );
        let _ = writeln!(
            text,
            "  table     {} reads and {} writes, {:.0} and {:.0} a second",
            self.table_reads,
            self.table_writes,
            self.table_reads as f64 / self.seconds,
            self.table_writes as f64 / self.seconds
        );
        let verdict = if self.broken().is_empty() { "every promise was kept" } else { "" };
        let _ = write!(text, "  {verdict}");
        text.trim_end().to_owned()
    }
}

impl TrainerSummary {
    fn new(name: &str, report: &TrainerReport) -> TrainerSummary {
        let total = report.total.as_secs_f64().max(f64::MIN_POSITIVE);
        let steps = histogram(report.step_times.iter());
        let count = report.staleness.len().max(1) as f64;
        TrainerSummary {
            name: name.to_owned(),
            steps: report.steps,
            expected: report.expected,
            delivered: report.delivered,
            duplicated: report.duplicated,
            stale: report.stale,
            foreign: report.foreign,
            idle_percent: 100.0 * report.idle.as_secs_f64() / total,
            step_seconds_median: steps.value_at_quantile(0.5) as f64 / 1_000_000.0,
            staleness_mean: report.staleness.iter().sum::<u64>() as f64 / count,
            staleness_max: report.staleness.iter().copied().max().unwrap_or(0),
            gave_up: report.gave_up.clone(),
        }
    }
}

fn active_versions(deployment: &Deployment) -> BTreeMap<String, Vec<u64>> {
    let adapters = deployment.manifest.trainers.iter().filter_map(|t| t.adapter.clone());
    let versions = |adapter: &str| deployment.engines.iter().map(|e| e.active(adapter)).collect();
    adapters.map(|adapter| (adapter.clone(), versions(&adapter))).collect()
}

/// Highest time that a histogram records; longer times are recorded as this value.
const MAX_RECORDED_MICROS: u64 = 3_600_000_000;

/// Returns a histogram of the times, in microseconds.
fn histogram<'a>(times: impl Iterator<Item = &'a Duration>) -> Histogram<u64> {
    let mut histogram =
        Histogram::new_with_max(MAX_RECORDED_MICROS, 3).expect("the histogram bounds are valid");
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    histogram
}
