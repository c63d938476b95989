//! What the commands print.

use std::io::{self, IsTerminal};

use serde::Serialize;

use crate::{error::Error, options::Format};

/// Prints a line.
#[allow(clippy::print_stdout)]
pub fn line(text: &str) {
    println!("{text}");
}

/// Prints a result as a JSON document or as text.
pub fn result<T: Serialize>(format: Format, value: &T, text: impl FnOnce(&T) -> String) {
    match format {
        Format::Json => {
            line(&serde_json::to_string_pretty(value).expect("results are plain data"));
        }
        Format::Text => line(&text(value)),
    }
}

/// Shows how much is done, on a terminal only.
#[allow(clippy::print_stderr)]
pub fn progress(done: u64, all: u64) {
    if io::stderr().is_terminal() {
        eprint!("\r{done} of {all}{}", if done == all { "\n" } else { "" });
    }
}

/// Prints a line beside the result.
#[allow(clippy::print_stderr)]
pub fn note(text: &str) {
    eprintln!("{text}");
}

/// Prints the line for a failed command.
#[allow(clippy::print_stderr)]
pub fn error(e: &Error) {
    eprintln!("error: {e}");
}
