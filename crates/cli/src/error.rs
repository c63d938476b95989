//! Errors of the command-line tool, and their exit codes.

use std::{io, path::PathBuf};

use buckthornfall_client::http;
use buckthornfall_proto::{check, messages::ErrorAnswer};
use snafu::Snafu;

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// An input file could not be read.
    #[snafu(display("cannot read {}: {source}; check the path", path.display()))]
    Read { path: PathBuf, source: io::Error },
    /// The manifest failed validation.
    #[snafu(display("{} is not a valid manifest; nothing was changed:\n{source}", path.display()))]
    Manifest { path: PathBuf, source: check::Error },
    /// An input document other than a manifest is invalid.
    #[snafu(display("{} is not valid: {message}", path.display()))]
    Document { path: PathBuf, message: String },
    /// No daemon address was given.
    #[snafu(display(
        "no daemon address is given; pass --daemon ADDRESS or set BUCKTHORNFALL_DAEMON"
    ))]
    NoDaemon,
    /// No token was given.
    #[snafu(display("no bearer token is given; pass --token TOKEN or set BUCKTHORNFALL_TOKEN"))]
    NoToken,
    /// A request to a daemon failed.
    #[snafu(display("{source}"))]
    Http { source: http::Error },
    /// A daemon refused the request.
    #[snafu(display("refused ({}, outcome: {}): {}{}", answer.kind, answer.outcome, answer.message, retry_hint(answer)))]
    Refused { answer: Box<ErrorAnswer> },
    /// A command-line option is not a valid timestamp.
    #[snafu(display("--{option}: {value:?} is not a time like 2026-12-04T08:16:11Z: {message}"))]
    Time { option: &'static str, value: String, message: String },
    /// No log line matches the query.
    #[snafu(display("{message}"))]
    NoLines { message: String },
    /// A report could not be written.
    #[snafu(display("cannot write {}: {reason}", path.display()))]
    Write { path: PathBuf, reason: String },
    /// A daemon or stand-in of the demo failed to start.
    #[snafu(display("the demo failed to start: {message}"))]
    DemoStart { message: String },
    /// The demo or the fleet bench found broken promises.
    #[snafu(display("{count} promises were broken; they are listed above"))]
    PromiseBroken { count: usize },
}

/// Result of the commands.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Exit code of a failure not caused by the input.
const EXIT_FAILURE: u8 = 1;
/// Exit code of invalid input.
const EXIT_INVALID_INPUT: u8 = 2;
/// Exit code of a commit whose base revision is no longer the newest.
const EXIT_CONFLICT: u8 = 3;
/// Exit code of a request that a daemon refused.
const EXIT_REFUSED: u8 = 4;
/// Exit code of a broken promise.
const EXIT_PROMISE_BROKEN: u8 = 5;

impl Error {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Read { .. }
            | Error::Manifest { .. }
            | Error::Document { .. }
            | Error::NoDaemon
            | Error::Time { .. }
            | Error::NoLines { .. }
            | Error::NoToken => EXIT_INVALID_INPUT,
            Error::Refused { answer } if answer.kind == "conflict" => EXIT_CONFLICT,
            Error::Refused { .. } => EXIT_REFUSED,
            Error::PromiseBroken { .. } => EXIT_PROMISE_BROKEN,
            Error::Http { .. } | Error::Write { .. } | Error::DemoStart { .. } => EXIT_FAILURE,
        }
    }
}

/// Formats where or when to retry a refused request.
fn retry_hint(answer: &ErrorAnswer) -> String {
    let address = answer.use_address.as_ref().map(|address| format!("; use {address}"));
    let delay = answer.retry_after_ms.map(|ms| format!("; retry after {ms} ms"));
    address.or(delay).unwrap_or_default()
}
