//! Parser of the daemons' logs.

use std::{fs, path::Path};

use buckthornfall_daemon::logging::Pair;
use clap::ArgMatches;
use jiff::Timestamp;
use snafu::ResultExt;

use crate::error::{ReadSnafu, Result};

/// An event logged by a daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Time of the event, by the clock of the daemon.
    pub time: Timestamp,
    /// Name of the daemon: the last word before `time=`, or the file name without extension.
    pub daemon: String,
    /// Name of the event.
    pub event: String,
    /// Fields other than time, level and event, in the order of the line.
    pub fields: Vec<Field>,
}

/// A `key=value` field of a line.
#[derive(Debug, Clone, PartialEq)]
pub struct Field {
    pub key: String,
    /// Value, without quotes and escapes.
    pub value: String,
}

impl LogLine {
    /// Returns the value of a field.
    pub fn field(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|field| field.key == key).map(|field| field.value.as_str())
    }

    /// Returns whether any field has this value.
    pub fn has_value(&self, value: &str) -> bool {
        self.fields.iter().any(|field| field.value == value)
    }

    /// Formats the fields as `key=value` pairs.
    pub fn describe(&self) -> String {
        let pair = |field: &Field| Pair { key: &field.key, value: &field.value }.to_string();
        self.fields.iter().map(pair).collect::<Vec<_>>().join(" ")
    }
}

/// Reads the log files given on the command line and returns their events in order of time.
///
/// Lines that are not events are skipped.
pub fn read(matches: &ArgMatches) -> Result<Vec<LogLine>> {
    let paths = matches.get_many::<std::path::PathBuf>("logs").into_iter().flatten();
    let mut lines = Vec::new();
    for path in paths {
        let bytes = fs::read(path).context(ReadSnafu { path: path.as_path() })?;
        let text = String::from_utf8_lossy(&bytes);
        let default_daemon = file_stem(path);
        lines.extend(text.lines().filter_map(|line| parse_line(&default_daemon, line)));
    }
    lines.sort_by(|a, b| (a.time, &a.daemon).cmp(&(b.time, &b.daemon)));
    Ok(lines)
}

fn file_stem(path: &Path) -> String {
    path.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default()
}

/// Parses a line; returns `None` if it has no valid time or no event.
fn parse_line(default_daemon: &str, line: &str) -> Option<LogLine> {
    let (prefix, rest) = line.split_at(line.find("time=")?);
    let mut fields = parse_fields(rest);
    let mut take_field = |key: &str| {
        let index = fields.iter().position(|field| field.key == key)?;
        Some(fields.remove(index).value)
    };
    let time = take_field("time")?.parse().ok()?;
    take_field("level");
    let event = take_field("event")?;
    let daemon = prefix.split_whitespace().last().unwrap_or(default_daemon).to_owned();
    Some(LogLine { time, daemon, event, fields })
}

fn parse_fields(text: &str) -> Vec<Field> {
    let mut fields = Vec::new();
    let mut rest = text.trim_start();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, end) = parse_value(after);
        fields.push(Field { key: key.trim_start().to_owned(), value });
        rest = &after[end..];
    }
    fields
}

/// Parses a bare or quoted value at the start of `text`; returns it with its end index.
fn parse_value(text: &str) -> (String, usize) {
    if !text.starts_with('"') {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_owned(), end);
    }
    let mut value = String::new();
    let mut escaped = false;
    for (index, c) in text.char_indices().skip(1) {
        match c {
            '"' if !escaped => return (value, index + 1),
            '\\' if !escaped => {
                escaped = true;
                continue;
            }
            _ => value.push(c),
        }
        escaped = false;
    }
    (value, text.len())
}
