//! What changed in a span of time.

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

/// Events of the usual work, which say nothing of a change.
const USUAL: [&str; 8] = [
    "results_appended",
    "scored",
    "server_report",
    "weights_ordered",
    "job_submitted",
    "job_opened",
    "job_closed",
    "job_known",
];
/// Events with an outcome; those that went well are not told.
const WITH_OUTCOME: [(&str, &str, &[&str]); 3] = [
    ("request_sent", "outcome", &["answered"]),
    ("request_answered", "status", &["200", "202"]),
    ("run_ended", "outcome", &["Complete"]),
];

/// One kind of change.
#[derive(Debug, Serialize)]
struct Change {
    first: String,
    last: String,
    event: String,
    /// What tells it from others of its event.
    cause: String,
    count: usize,
    /// Daemons that logged it.
    daemons: usize,
    /// The first line, as an example.
    example: String,
}

/// Prints what changed.
pub fn run(options: &Options, matches: &ArgMatches) -> Result<()> {
    let from = time(matches, "from")?.unwrap_or(Timestamp::MIN);
    let until = time(matches, "until")?.unwrap_or(Timestamp::MAX);
    let lines = log_lines::read(matches)?;
    let within: Vec<_> = lines.iter().filter(|l| l.time >= from && l.time < until).collect();
    if within.is_empty() {
        let message = "no line of the logs lies in the span; check --from and --until".to_owned();
        return Err(Error::NoLines { message });
    }
    let changes = changes(&within);
    output::result(options.format, &changes, |changes| describe(changes));
    Ok(())
}

fn time(matches: &ArgMatches, option: &'static str) -> Result<Option<Timestamp>> {
    let Some(value) = matches.get_one::<String>(option) else { return Ok(None) };
    match value.parse() {
        Ok(time) => Ok(Some(time)),
        Err(e) => TimeSnafu { option, value, message: format!("{e}") }.fail(),
    }
}

/// The cause by which lines of an event are told apart; `None` if the line is of no interest.
fn cause(line: &LogLine) -> Option<String> {
    if USUAL.contains(&line.event.as_str()) {
        return None;
    }
    let Some((_, key, usual)) = WITH_OUTCOME.iter().find(|(event, ..)| *event == line.event) else {
        let key = ["reason", "kind", "table", "call", "outcome"];
        let value = key.iter().find_map(|key| line.field(key));
        return Some(value.unwrap_or_default().to_owned());
    };
    let value = line.field(key).unwrap_or_default();
    (!usual.contains(&value)).then(|| value.to_owned())
}

fn changes(lines: &[&LogLine]) -> Vec<Change> {
    let mut kinds: BTreeMap<(String, String), Vec<&LogLine>> = BTreeMap::new();
    for line in lines {
        if let Some(cause) = cause(line) {
            kinds.entry((line.event.clone(), without_numbers(&cause))).or_default().push(line);
        }
    }
    let mut kinds: Vec<_> = kinds.into_iter().collect();
    kinds.sort_by_key(|(_, of_kind)| of_kind[0].time);
    kinds.into_iter().map(|(kind, of_kind)| change(kind, &of_kind)).collect()
}

/// A cause without the addresses and versions in it, so that like ones are counted together; a
/// status stays.
fn without_numbers(cause: &str) -> String {
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

fn change((event, cause): (String, String), lines: &[&LogLine]) -> Change {
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
