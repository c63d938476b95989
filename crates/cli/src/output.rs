//! Output of the commands to standard output and standard error.

use std::io::{self, IsTerminal};

use serde::Serialize;

use crate::{error::Error, options::Format};

/// Prints a line to standard output.
#[allow(clippy::print_stdout)]
pub fn line(text: &str) {
    println!("{text}");
}

/// Prints a result to standard output, as JSON or as the text that `text` returns.
pub fn result<T: Serialize>(format: Format, value: &T, text: impl FnOnce(&T) -> String) {
    match format {
        Format::Json => {
            line(&serde_json::to_string_pretty(value).expect("results serialize to JSON"));
        }
        Format::Text => line(&text(value)),
    }
}

/// Shows progress on standard error, if it is a terminal.
#[allow(clippy::print_stderr)]
pub fn progress(completed: u64, total: u64) {
    if io::stderr().is_terminal() {
        eprint!("\r{completed} of {total}{}", if completed == total { "\n" } else { "" });
    }
}

/// Prints a line to standard error, apart from the result.
#[allow(clippy::print_stderr)]
pub fn note(text: &str) {
    eprintln!("{text}");
}

/// Prints the error of a failed command to standard error.
#[allow(clippy::print_stderr)]
pub fn error(e: &Error) {
    eprintln!("error: {e}");
}
