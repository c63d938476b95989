//! What the commands print.

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

/// Prints the line for a failed command.
#[allow(clippy::print_stderr)]
pub fn error(e: &Error) {
    eprintln!("error: {e}");
}
