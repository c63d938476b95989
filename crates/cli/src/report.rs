//! The report on service-level burn, added up over all daemons.

use std::{collections::BTreeMap, path::PathBuf};

use buckthornfall_proto::messages::{BurnAnswer, BurnCount, BurnTarget, StatusAnswer};
use clap::ArgMatches;
use serde::Serialize;
use snafu::ResultExt;

use crate::{
    admin::{get_first, read},
    error::{HttpSnafu, Result},
    export::{ExportManager, HtmlExporter, JsonExporter, TextExporter},
    options::{Format, Options},
    output,
};

/// One service level in one window.
#[derive(Debug, Clone, Serialize)]
pub struct BurnRow {
    /// What is counted.
    pub indicator: String,
    /// Length of the window, in seconds.
    pub window_s: u64,
    /// Good events.
    pub good: u64,
    /// All events.
    pub total: u64,
    /// Promised share of good events, in thousandths.
    pub target_per_mille: u32,
    /// Share of bad events over the share that the target allows; 0 without events.
    pub burn_rate: f64,
    /// Share of the error budget of this window that is left; below 0 when it is used up.
    pub budget_left: f64,
}

/// The report over all daemons.
#[derive(Debug, Clone, Serialize)]
pub struct BurnReport {
    /// Hosts whose counts are in the report.
    pub hosts: Vec<String>,
    /// Hosts that did not answer.
    pub silent: Vec<String>,
    /// Service levels by indicator and window.
    pub rows: Vec<BurnRow>,
}

/// Makes a report.
pub fn run(options: &Options, matches: &ArgMatches) -> Result<()> {
    let sub = matches.subcommand_matches("burn").expect("clap requires a known subcommand");
    let report = collect(options)?;
    let mut manager = ExportManager::default();
    if let Some(path) = sub.get_one::<PathBuf>("html") {
        manager.add(HtmlExporter, path.clone());
    }
    if let Some(path) = sub.get_one::<PathBuf>("json") {
        manager.add(JsonExporter, path.clone());
    }
    manager.write(&report)?;
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
        match reply.context(HttpSnafu).and_then(|reply| read::<BurnAnswer>(&reply)) {
            Ok(answer) => answers.push(answer),
            Err(_) => silent.push(peer.host.clone()),
        }
    }
    Ok(BurnReport::new(&answers, silent))
}

impl BurnReport {
    /// Adds up the counts of all daemons.
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
        let allowed = 1.0 - f64::from(target.target_per_mille) / 1000.0;
        let bad = if total == 0 { 0.0 } else { (total - good) as f64 / total as f64 };
        let burn_rate = bad / allowed;
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
