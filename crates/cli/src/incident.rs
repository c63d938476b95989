//! `incident`: changes and failures in a time range, from the logs of all daemons.

use std::collections::{BTreeMap, BTreeSet};

use clap::ArgMatches;
use jiff::Timestamp;
use serde::Serialize;

use crate::{
    error::{Error, Result, TimeSnafu},
    log_lines::{self, LogLine},
    options::Options,
    output,
};

/// Events of routine work, which are left out.
const ROUTINE_EVENTS: [&str; 12] = [
    "results_appended",
    "scored",
    "server_report",
    "weights_ordered",
    "job_submitted",
    "job_opened",
    "job_closed",
    "job_end_requested",
    "job_known",
    "path_probed",
    "request_taken_over",
    "directory_changed",
];
/// Events with an outcome: event, field of the outcome, values that mean success, each with or without
/// details in parentheses. Successful ones are left out.
const EVENTS_WITH_OUTCOME: [(&str, &str, &[&str]); 7] = [
    ("permit", "outcome", &["granted"]),
    ("request_passed_on", "outcome", &["answered"]),
    ("request_sent", "outcome", &["answered"]),
    ("request_answered", "status", &["200", "202"]),
    ("run_ended", "outcome", &["Complete"]),
    ("job_end", "outcome", &["Committed"]),
    ("stream_resumed", "origin", &["memory", "record", "base"]),
];

/// Summary of the log lines with the same event and cause.
#[derive(Debug, Serialize)]
struct Change {
    first: String,
    last: String,
    event: String,
    /// Field that gives the cause, such as the reason or the outcome, with numbers masked.
    cause: String,
    count: usize,
    /// Number of daemons that logged it.
    daemons: usize,
    /// Fields of the first line.
    example: String,
}

/// Prints the changes in the time range.
pub fn run(options: &Options, matches: &ArgMatches) -> Result<()> {
    let from = parse_time(matches, "from")?.unwrap_or(Timestamp::MIN);
    let until = parse_time(matches, "until")?.unwrap_or(Timestamp::MAX);
    let lines = log_lines::read(matches)?;
    let in_range: Vec<_> = lines.iter().filter(|l| l.time >= from && l.time < until).collect();
    if in_range.is_empty() {
        let message = "no log line is in the given time range; check --from and --until".to_owned();
        return Err(Error::NoLines { message });
    }
    let changes = group_changes(&in_range);
    output::result(options.format, &changes, |changes| describe(changes));
    Ok(())
}

fn parse_time(matches: &ArgMatches, option: &'static str) -> Result<Option<Timestamp>> {
    let Some(value) = matches.get_one::<String>(option) else { return Ok(None) };
    match value.parse() {
        Ok(time) => Ok(Some(time)),
        Err(e) => TimeSnafu { option, value, message: format!("{e}") }.fail(),
    }
}

/// Returns the cause by which lines of an event are grouped, with numbers masked; `None` for routine and
/// successful events.
fn cause_of(line: &LogLine) -> Option<String> {
    if ROUTINE_EVENTS.contains(&line.event.as_str()) {
        return None;
    }
    let field = |key| line.field(key).unwrap_or_default();
    match line.event.as_str() {
        "software_mode" => {
            return Some(mask_numbers(&format!("{} {}", field("service"), field("mode"))));
        }
        "service_paths" => {
            return Some(mask_numbers(&format!("{} {}", field("service"), field("state"))));
        }
        "store_call_refused" => return Some(format!("{} {}", field("status"), field("table"))),
        _ => {}
    }
    let Some((_, key, successes)) =
        EVENTS_WITH_OUTCOME.iter().find(|(event, ..)| *event == line.event)
    else {
        let key = ["reason", "kind", "table", "call", "outcome"];
        let value = key.iter().find_map(|key| line.field(key));
        return Some(mask_numbers(value.unwrap_or_default()));
    };
    let value = line.field(key).unwrap_or_default();
    let name = value.split_once('(').map_or(value, |(name, _)| name);
    // The rows that a conflict found are no cause of their own.
    let cause = if name == "Conflict" { name } else { value };
    (!successes.contains(&name)).then(|| mask_numbers(cause))
}

fn group_changes(lines: &[&LogLine]) -> Vec<Change> {
    let mut groups: BTreeMap<(String, String), Vec<&LogLine>> = BTreeMap::new();
    for line in lines {
        if let Some(cause) = cause_of(line) {
            groups.entry((line.event.clone(), cause)).or_default().push(line);
        }
    }
    let mut groups: Vec<_> = groups.into_iter().collect();
    groups.sort_by_key(|(_, group_lines)| group_lines[0].time);
    groups.into_iter().map(|(kind, group_lines)| summarize(kind, &group_lines)).collect()
}

/// Replaces each run of digits by `N`, so that causes that differ only in addresses or versions are
/// counted together. A purely numeric cause, such as an HTTP status, is kept.
fn mask_numbers(cause: &str) -> String {
    if cause.chars().all(|c| c.is_ascii_digit()) {
        return cause.to_owned();
    }
    let mut text = String::new();
    for c in cause.chars() {
        match c.is_ascii_digit() {
            true if text.ends_with('N') => {}
            true => text.push('N'),
            false => text.push(c),
        }
    }
    text
}

fn summarize((event, cause): (String, String), lines: &[&LogLine]) -> Change {
    let daemons: BTreeSet<_> = lines.iter().map(|line| line.daemon.as_str()).collect();
    Change {
        first: format!("{:.3}", lines[0].time),
        last: format!("{:.3}", lines[lines.len() - 1].time),
        event,
        cause,
        count: lines.len(),
        daemons: daemons.len(),
        example: lines[0].describe(),
    }
}

fn describe(changes: &[Change]) -> String {
    let line = |change: &Change| {
        let Change { first, last, event, cause, count, daemons, example } = change;
        format!("{first} to {last} {count:>6}x on {daemons:>3} {event} {cause}\n    {example}")
    };
    changes.iter().map(line).collect::<Vec<_>>().join("\n")
}
