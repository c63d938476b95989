//! `report`: burn rates of the error budgets, summed over all daemons, and the capacity report.

use std::{collections::BTreeMap, path::PathBuf};

use buckthornfall_proto::messages::{BurnAnswer, BurnCount, BurnTarget, StatusAnswer};
use clap::ArgMatches;
use serde::Serialize;
use snafu::ResultExt;

use crate::{
    admin::{get_first, parse_reply},
    capacity,
    error::{HttpSnafu, Result},
    export::{ExportManager, HtmlExporter, JsonExporter, TextExporter},
    options::{Format, Options},
    output,
};

/// Burn rate of a service level in one time window.
#[derive(Debug, Clone, Serialize)]
pub struct BurnRow {
    /// Name of the service-level indicator.
    pub indicator: String,
    /// Length of the window.
    pub window_s: u64,
    /// Number of good events.
    pub good: u64,
    /// Number of all events.
    pub total: u64,
    /// Target share of good events.
    pub target_per_mille: u32,
    /// Share of bad events divided by the share that the target allows; 0 without events.
    pub burn_rate: f64,
    /// Remaining share of the error budget of this window; negative if it is overspent.
    pub budget_left: f64,
}

/// Burn report over all daemons.
#[derive(Debug, Clone, Serialize)]
pub struct BurnReport {
    /// Hosts whose counts are included.
    pub hosts: Vec<String>,
    /// Hosts that did not respond.
    pub silent: Vec<String>,
    /// Rows in order of indicator and window.
    pub rows: Vec<BurnRow>,
}

/// Runs a report.
pub fn run(options: &Options, matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("burn", sub)) => burn(options, sub),
        Some(("capacity", sub)) => capacity::run(options, sub),
        _ => unreachable!("clap requires a known subcommand"),
    }
}

/// Runs `report burn`: exports the report to the given files and prints it.
fn burn(options: &Options, sub: &ArgMatches) -> Result<()> {
    let report = collect(options)?;
    let mut exports = ExportManager::default();
    if let Some(path) = sub.get_one::<PathBuf>("html") {
        exports.add(HtmlExporter, path.clone());
    }
    if let Some(path) = sub.get_one::<PathBuf>("json") {
        exports.add(JsonExporter, path.clone());
    }
    exports.write(&report)?;
    let text = match options.format {
        Format::Text => ExportManager::text(&TextExporter, &report),
        Format::Json => ExportManager::text(&JsonExporter, &report),
    };
    output::line(text.trim_end());
    Ok(())
}

fn collect(options: &Options) -> Result<BurnReport> {
    let client = options.client_with_token()?;
    let status: StatusAnswer = get_first(&client, &options.daemons, "/v1/status")?;
    let mut answers = Vec::new();
    let mut silent = Vec::new();
    for peer in &status.peers {
        let reply = client.get_from(&peer.address, "/v1/burn");
        match reply.context(HttpSnafu).and_then(|reply| parse_reply::<BurnAnswer>(&reply)) {
            Ok(answer) => answers.push(answer),
            Err(_) => silent.push(peer.host.clone()),
        }
    }
    Ok(BurnReport::new(&answers, silent))
}

impl BurnReport {
    /// Sums the counts of all daemons; the targets are those of the newest revision.
    pub fn new(answers: &[BurnAnswer], silent: Vec<String>) -> BurnReport {
        let mut sums: BTreeMap<(String, u64), (u64, u64)> = BTreeMap::new();
        for window in answers.iter().flat_map(|answer| &answer.windows) {
            for BurnCount { indicator, good, total } in &window.counts {
                let sum = sums.entry((indicator.clone(), window.seconds)).or_default();
                *sum = (sum.0 + good, sum.1 + total);
            }
        }
        let newest = answers.iter().max_by_key(|answer| answer.revision);
        let targets = newest.map_or(&[][..], |answer| &answer.targets);
        let rows = sums
            .into_iter()
            .filter_map(|((indicator, window_s), (good, total))| {
                let target = targets.iter().find(|target| target.indicator == indicator)?;
                Some(BurnRow::new(target, window_s, good, total))
            })
            .collect();
        let mut hosts: Vec<_> = answers.iter().map(|answer| answer.host.clone()).collect();
        hosts.sort_unstable();
        BurnReport { hosts, silent, rows }
    }
}

impl BurnRow {
    fn new(target: &BurnTarget, window_s: u64, good: u64, total: u64) -> BurnRow {
        let allowed_bad_share = 1.0 - f64::from(target.target_per_mille) / 1000.0;
        let bad_share = if total == 0 { 0.0 } else { (total - good) as f64 / total as f64 };
        let burn_rate = bad_share / allowed_bad_share;
        BurnRow {
            indicator: target.indicator.clone(),
            window_s,
            good,
            total,
            target_per_mille: target.target_per_mille,
            burn_rate,
            budget_left: 1.0 - burn_rate,
        }
    }
}
