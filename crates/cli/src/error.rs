//! Errors of the command-line tool and their exit codes.

use std::{io, path::PathBuf};

use buckthornfall_client::http;
use buckthornfall_proto::{check, messages::ErrorAnswer};
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}; check the path", path.display()))]
    Read { path: PathBuf, source: io::Error },
    /// A manifest is not valid.
    #[snafu(display("{} is not a valid manifest; nothing was changed:\n{source}", path.display()))]
    Manifest { path: PathBuf, source: check::Error },
    /// A document is not valid.
    #[snafu(display("{} is not valid: {message}", path.display()))]
    Document { path: PathBuf, message: String },
    /// No daemon was named.
    #[snafu(display("no daemon is named; give --daemon ADDRESS or set BUCKTHORNFALL_DAEMON"))]
    NoDaemon,
    /// No token was given.
    #[snafu(display("no bearer token is given; give --token TOKEN or set BUCKTHORNFALL_TOKEN"))]
    NoToken,
    /// A daemon did not answer.
    #[snafu(display("{source}"))]
    Http { source: http::Error },
    /// The system refused.
    #[snafu(display("refused ({}, the work: {}): {}{}", answer.kind, answer.outcome, answer.message, hint(answer)))]
    Refused { answer: Box<ErrorAnswer> },
    /// A time is not valid.
    #[snafu(display("--{option}: {value:?} is not a time like 2026-12-04T08:16:11Z: {message}"))]
    Time { option: &'static str, value: String, message: String },
    /// No line of the logs fits.
    #[snafu(display("{message}"))]
    NoLines { message: String },
    /// A report cannot be written.
    #[snafu(display("cannot write {}: {reason}", path.display()))]
    Write { path: PathBuf, reason: String },
    /// A stand-in or a daemon of the demo could not start.
    #[snafu(display("the demo cannot start: {message}"))]
    DemoStart { message: String },
    /// The demo saw a promise broken.
    #[snafu(display("{count} promises were broken; they are listed above"))]
    PromiseBroken { count: usize },
}

/// Result of the commands.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Exit code for a failure outside the input.
const EXIT_FAILURE: u8 = 1;
/// Exit code for input that is not valid.
const EXIT_INPUT: u8 = 2;
/// Exit code for a commit that another one was faster than.
const EXIT_CONFLICT: u8 = 3;
/// Exit code for a refusal of the system.
const EXIT_REFUSED: u8 = 4;
/// Exit code for a broken promise.
const EXIT_BROKEN: u8 = 5;

impl Error {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Read { .. }
            | Error::Manifest { .. }
            | Error::Document { .. }
            | Error::NoDaemon
            | Error::Time { .. }
            | Error::NoLines { .. }
            | Error::NoToken => EXIT_INPUT,
            Error::Refused { answer } if answer.kind == "conflict" => EXIT_CONFLICT,
            Error::Refused { .. } => EXIT_REFUSED,
            Error::PromiseBroken { .. } => EXIT_BROKEN,
            Error::Http { .. } | Error::Write { .. } | Error::DemoStart { .. } => EXIT_FAILURE,
        }
    }
}

fn hint(answer: &ErrorAnswer) -> String {
    let address = answer.use_address.as_ref().map(|address| format!("; use {address}"));
    let after = answer.retry_after_ms.map(|ms| format!("; come back in {ms} ms"));
    address.or(after).unwrap_or_default()
}
