//! `explain`: timeline of one request, job or sample, from the logs of all daemons.

use std::collections::BTreeSet;

use clap::ArgMatches;
use jiff::Timestamp;
use serde::Serialize;

use crate::{
    error::{Error, Result},
    log_lines::{self, LogLine},
    options::Options,
    output,
};

/// Events that change the state of a daemon; included for each daemon that logged the id.
const DAEMON_EVENTS: [&str; 14] = [
    "started",
    "stopping",
    "stopped",
    "serving",
    "store_lost",
    "store_regained",
    "store_calls_relayed",
    "store_calls_direct",
    "feed_history_lost",
    "desired_state_installed",
    "settings_reloaded",
    "settings_unreadable",
    "software_mode",
    "service_paths",
];
/// Events of a server; included for each daemon that logged the id, if a line with the id names the
/// server.
const SERVER_EVENTS: [&str; 6] = [
    "server_entry",
    "server_entry_removed",
    "server_limit",
    "server_process_differs",
    "server_limit_withdrawn",
    "weights_ordered",
];
/// Time before the first line with the id from which related events are included.
const LEAD_TIME_S: i64 = 5;

/// An entry of a timeline.
#[derive(Debug, Serialize)]
struct TimelineEntry {
    /// Time since the first line that contains the id.
    after_ms: i64,
    daemon: String,
    event: String,
    /// Whether the line contains the id; otherwise it is a related event.
    of_id: bool,
    detail: String,
}

/// Timeline of an id.
#[derive(Debug, Serialize)]
struct Timeline {
    id: String,
    first: String,
    lines: Vec<TimelineEntry>,
}

/// Prints the timeline of an id.
pub fn run(options: &Options, matches: &ArgMatches) -> Result<()> {
    let id = matches.get_one::<String>("id").cloned().unwrap_or_default();
    let lines = log_lines::read(matches)?;
    let Some(timeline) = build_timeline(&id, &lines) else {
        let message = format!("no line of the logs names {id:?}; pass the logs of all daemons");
        return Err(Error::NoLines { message });
    };
    output::result(options.format, &timeline, Timeline::describe);
    Ok(())
}

/// Returns the lines that contain the id, with related events; `None` if no line does.
fn build_timeline(id: &str, lines: &[LogLine]) -> Option<Timeline> {
    let id_lines: Vec<_> = lines.iter().filter(|line| line.has_value(id)).collect();
    let (first, last) = (id_lines.first()?.time, id_lines.last()?.time);
    let daemons: BTreeSet<_> = id_lines.iter().map(|line| line.daemon.as_str()).collect();
    let servers: BTreeSet<_> = id_lines.iter().filter_map(|line| line.field("server")).collect();
    let in_time_range =
        |time: Timestamp| time.as_second() >= first.as_second() - LEAD_TIME_S && time <= last;
    let is_related = |line: &LogLine| {
        let event = line.event.as_str();
        let of_daemon = DAEMON_EVENTS.contains(&event) && daemons.contains(line.daemon.as_str());
        let of_server = SERVER_EVENTS.contains(&event)
            && daemons.contains(line.daemon.as_str())
            && line.field("server").is_some_and(|server| servers.contains(server));
        in_time_range(line.time) && (of_daemon || of_server)
    };
    let entries = lines.iter().filter(|line| line.has_value(id) || is_related(line));
    let entries = entries.map(|line| TimelineEntry {
        after_ms: line.time.as_millisecond() - first.as_millisecond(),
        daemon: line.daemon.clone(),
        event: line.event.clone(),
        of_id: line.has_value(id),
        detail: line.describe(),
    });
    Some(Timeline { id: id.to_owned(), first: format!("{first:.3}"), lines: entries.collect() })
}

impl Timeline {
    fn describe(&self) -> String {
        let mut text = format!("{} from {}\n", self.id, self.first);
        for line in &self.lines {
            let mark = if line.of_id { ' ' } else { '~' };
            text.push_str(&format!(
                "{:>8} ms {mark} {:<24} {:<24} {}\n",
                line.after_ms, line.daemon, line.event, line.detail
            ));
        }
        text.push_str("lines with ~ do not name the id: what changed meanwhile where it was");
        text
    }
}
