//! `explain`: timeline of one request, job or sample, from the logs of all daemons.

use std::collections::{BTreeMap, BTreeSet};

use clap::ArgMatches;
use jiff::{SignedDuration, Timestamp};
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
/// Events that tell of work of a job that was sent to a server.
const WORK_EVENTS: [&str; 2] = ["run_ended", "scored"];
/// Prefix of the key of a job's row.
const JOB_KEY_PREFIX: &str = "job/";
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
    /// Whether the line tells of work that was sent after its job was closed at that daemon.
    after_close: bool,
    detail: String,
}

/// Timeline of an id.
#[derive(Debug, Serialize)]
struct Timeline {
    id: String,
    first: String,
    lines: Vec<TimelineEntry>,
    /// End of the job; absent if no line tells that one was stored.
    end: Option<JobEnd>,
}

/// End of a job.
#[derive(Debug, Serialize)]
struct JobEnd {
    /// Time at which the end was first stored.
    stored: String,
    /// Maximum time from then until the last work of the job was sent; absent if none was sent after.
    last_work_ms: Option<i64>,
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
    let id_lines: Vec<_> = lines.iter().filter(|line| names_id(line, id)).collect();
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
    let mut closed_jobs = ClosedJobs::default();
    let entries = lines.iter().map(|line| (line, closed_jobs.read(line)));
    let entries = entries.filter(|(line, _)| names_id(line, id) || is_related(line));
    let entries = entries.map(|(line, after_close)| TimelineEntry {
        after_ms: line.time.as_millisecond() - first.as_millisecond(),
        daemon: line.daemon.clone(),
        event: line.event.clone(),
        of_id: names_id(line, id),
        after_close,
        detail: line.describe(),
    });
    let (lines, end) = (entries.collect(), job_end(id, &id_lines));
    Some(Timeline { id: id.to_owned(), first: format!("{first:.3}"), lines, end })
}

/// Returns whether a line names the id, or the row of the job with that id.
fn names_id(line: &LogLine, id: &str) -> bool {
    let job_of_row = line.field("key").and_then(|key| key.strip_prefix(JOB_KEY_PREFIX));
    line.has_value(id) || job_of_row == Some(id)
}

/// Daemons and jobs that these had closed by some line, with the times at which they did.
#[derive(Default)]
struct ClosedJobs<'a>(BTreeMap<(&'a str, &'a str), Timestamp>);

impl<'a> ClosedJobs<'a> {
    /// Reads the next line; returns whether it tells of work that was sent after its job was closed there.
    fn read(&mut self, line: &'a LogLine) -> bool {
        let Some(job) = line.field("job") else { return false };
        let key = (line.daemon.as_str(), job);
        match line.event.as_str() {
            "job_opened" => drop(self.0.remove(&key)),
            "job_closed" => drop(self.0.insert(key, line.time)),
            _ => {}
        }
        let is_sent_since = |closed: &Timestamp| sent_from(line).is_some_and(|from| from > *closed);
        let was_known = is_sent(line) && line.field("job_owned") == Some("Some(false)");
        was_known || self.0.get(&key).is_some_and(is_sent_since)
    }
}

/// Returns whether the line tells of work that was sent to a server.
fn is_sent(line: &LogLine) -> bool {
    WORK_EVENTS.contains(&line.event.as_str())
        && line.field("known_ms").is_some_and(|known| known != "None")
}

/// Returns a time that is not after the one at which the work of a line was sent; that of the line where
/// nothing tells when it began. `None` if no work was sent.
fn sent_from(line: &LogLine) -> Option<Timestamp> {
    let took = milliseconds(line, "took_ms").unwrap_or_default();
    is_sent(line).then(|| line.time - took)
}

/// Returns the value of a field of milliseconds, bare or as `Some`.
fn milliseconds(line: &LogLine, key: &str) -> Option<SignedDuration> {
    let text = line.field(key)?.trim_matches(|c: char| !c.is_ascii_digit());
    text.parse().ok().map(SignedDuration::from_millis)
}

/// Returns the end of a job, from the lines that name it.
fn job_end(id: &str, lines: &[&LogLine]) -> Option<JobEnd> {
    let of_job = || lines.iter().filter(|line| line.field("job") == Some(id));
    let is_committed = |line: &&&LogLine| {
        let outcome = line.field("outcome").unwrap_or_default();
        line.event == "job_end" && outcome.starts_with("Committed(")
    };
    let stored =
        of_job().find(is_committed).or_else(|| of_job().find(|line| knows_end(line)))?.time;
    let last_work = of_job().filter_map(|line| sent_by(line)).max();
    let last_work_ms = last_work.map(|sent| sent.as_millisecond() - stored.as_millisecond());
    let last_work_ms = last_work_ms.filter(|after_ms| *after_ms > 0);
    Some(JobEnd { stored: format!("{stored:.3}"), last_work_ms })
}

/// Returns whether a daemon knows by a line that the job has ended. Where the store's reply to the write of
/// the end was lost, only these tell of it.
fn knows_end(line: &LogLine) -> bool {
    match line.event.as_str() {
        "job_end_requested" => line.field("state") == Some("Ended"),
        "job_closed" => line.field("reason") == Some("ended"),
        _ => false,
    }
}

/// Returns the time by which the work of a line had been sent; `None` if none was.
fn sent_by(line: &LogLine) -> Option<Timestamp> {
    // The first event of a run tells more precisely when it was sent than its end.
    let first = milliseconds(line, "first_ms").zip(milliseconds(line, "took_ms"));
    let since_first = first.map_or(SignedDuration::ZERO, |(first, took)| took - first);
    is_sent(line).then(|| line.time - since_first)
}

impl Timeline {
    fn describe(&self) -> String {
        let mut text = format!("{} from {}\n", self.id, self.first);
        for line in &self.lines {
            let mark = match line {
                TimelineEntry { of_id: false, .. } => '~',
                TimelineEntry { after_close: true, .. } => '!',
                _ => ' ',
            };
            text.push_str(&format!(
                "{:>8} ms {mark} {:<24} {:<24} {}\n",
                line.after_ms, line.daemon, line.event, line.detail
            ));
        }
        text.push_str("lines with ~ do not name the id: what changed meanwhile where it was");
        if self.lines.iter().any(|line| line.after_close) {
            text.push_str(
                "\nlines with ! tell of work that was sent after its job was closed at that daemon",
            );
        }
        if let Some(JobEnd { stored, last_work_ms }) = &self.end {
            let last_work = match last_work_ms {
                Some(ms) => format!("the last work was sent at most {ms} ms after that"),
                None => "no work was sent after that".to_owned(),
            };
            text.push_str(&format!("\nend of the job stored at {stored}; {last_work}"));
        }
        text
    }
}
