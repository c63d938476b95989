//! Lines of the daemons' logs, read back.

use std::{fs, path::Path};

use buckthornfall_daemon::logging::Pair;
use clap::ArgMatches;
use jiff::Timestamp;
use snafu::ResultExt;

use crate::error::{ReadSnafu, Result};

/// One event that a daemon logged.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// When it was logged, by that daemon's clock.
    pub time: Timestamp,
    /// The daemon: what stands before the time, else the name of the file.
    pub daemon: String,
    /// Name of the event.
    pub event: String,
    /// The other fields, in their order.
    pub fields: Vec<Field>,
}

/// A field of a line.
#[derive(Debug, Clone, PartialEq)]
pub struct Field {
    /// Its name.
    pub key: String,
    /// Its value without quotes.
    pub value: String,
}

impl LogLine {
    /// The value of a field.
    pub fn field(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|field| field.key == key).map(|field| field.value.as_str())
    }

    /// Whether a field has this value.
    pub fn names(&self, value: &str) -> bool {
        self.fields.iter().any(|field| field.value == value)
    }

    /// The fields as `key=value`.
    pub fn describe(&self) -> String {
        let pair = |field: &Field| Pair { key: &field.key, value: &field.value }.to_string();
        self.fields.iter().map(pair).collect::<Vec<_>>().join(" ")
    }
}

/// All events in the logs that the command names, in order of time; other lines are left out.
pub fn read(matches: &ArgMatches) -> Result<Vec<LogLine>> {
    let paths = matches.get_many::<std::path::PathBuf>("logs").into_iter().flatten();
    let mut lines = Vec::new();
    for path in paths {
        let bytes = fs::read(path).context(ReadSnafu { path: path.as_path() })?;
        let text = String::from_utf8_lossy(&bytes);
        let daemon = name_of(path);
        lines.extend(text.lines().filter_map(|line| parse(&daemon, line)));
    }
    lines.sort_by(|a, b| (a.time, &a.daemon).cmp(&(b.time, &b.daemon)));
    Ok(lines)
}

fn name_of(path: &Path) -> String {
    path.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default()
}

fn parse(file: &str, line: &str) -> Option<LogLine> {
    let (before, rest) = line.split_at(line.find("time=")?);
    let mut fields = fields(rest);
    let mut take = |key: &str| {
        let index = fields.iter().position(|field| field.key == key)?;
        Some(fields.remove(index).value)
    };
    let time = take("time")?.parse().ok()?;
    take("level");
    let event = take("event")?;
    let daemon = before.split_whitespace().last().unwrap_or(file).to_owned();
    Some(LogLine { time, daemon, event, fields })
}

fn fields(text: &str) -> Vec<Field> {
    let mut fields = Vec::new();
    let mut rest = text.trim_start();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, end) = value(after);
        fields.push(Field { key: key.trim_start().to_owned(), value });
        rest = &after[end..];
    }
    fields
}

/// A value, bare or quoted, and where it ends.
fn value(text: &str) -> (String, usize) {
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
