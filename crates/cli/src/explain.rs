//! The story of one request, job or sample.

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

/// Changes of what a daemon believes, whatever they name.
const BELIEFS: [&str; 12] = [
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
];
/// Changes of a server, told if the story names the server.
const OF_SERVERS: [&str; 3] = ["server_entry", "server_entry_removed", "weights_ordered"];
/// Seconds before the first line in which changes are told.
const BEFORE_S: i64 = 5;

/// A line of a story.
#[derive(Debug, Serialize)]
struct Told {
    /// Milliseconds since the first line that names the id.
    after_ms: i64,
    daemon: String,
    event: String,
    /// Whether the line names the id itself.
    of_id: bool,
    detail: String,
}

/// The story of an id.
#[derive(Debug, Serialize)]
struct Story {
    id: String,
    first: String,
    lines: Vec<Told>,
}

/// Prints the story of an id.
pub fn run(options: &Options, matches: &ArgMatches) -> Result<()> {
    let id = matches.get_one::<String>("id").cloned().unwrap_or_default();
    let lines = log_lines::read(matches)?;
    let Some(story) = tell(&id, &lines) else {
        let message = format!("no line of the logs names {id:?}; give the logs of all daemons");
        return Err(Error::NoLines { message });
    };
    output::result(options.format, &story, Story::describe);
    Ok(())
}

fn tell(id: &str, lines: &[LogLine]) -> Option<Story> {
    let own: Vec<_> = lines.iter().filter(|line| line.names(id)).collect();
    let (first, last) = (own.first()?.time, own.last()?.time);
    let daemons: BTreeSet<_> = own.iter().map(|line| line.daemon.as_str()).collect();
    let servers: BTreeSet<_> = own.iter().filter_map(|line| line.field("server")).collect();
    let near = |time: Timestamp| time.as_second() >= first.as_second() - BEFORE_S && time <= last;
    let matters = |line: &LogLine| {
        let event = line.event.as_str();
        let of_daemon = BELIEFS.contains(&event) && daemons.contains(line.daemon.as_str());
        let of_server = OF_SERVERS.contains(&event)
            && daemons.contains(line.daemon.as_str())
            && line.field("server").is_some_and(|server| servers.contains(server));
        near(line.time) && (of_daemon || of_server)
    };
    let told = lines.iter().filter(|line| line.names(id) || matters(line));
    let told = told.map(|line| Told {
        after_ms: line.time.as_millisecond() - first.as_millisecond(),
        daemon: line.daemon.clone(),
        event: line.event.clone(),
        of_id: line.names(id),
        detail: line.describe(),
    });
    Some(Story { id: id.to_owned(), first: format!("{first:.3}"), lines: told.collect() })
}

impl Story {
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
