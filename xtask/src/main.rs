//! Development tasks of buckthornfall.
//!
//! - `cargo xtask codegen` writes the types of `crates/proto` from `schema/`.
//! - `cargo xtask codegen-check` fails if they differ from what it would write.
//! - `cargo xtask core-check` fails if `crates/core` depends on a crate that does I/O.
//! - `cargo xtask names-check` fails if names of the users' platform stand outside its folders.
//! - `cargo xtask regress` plays the sites of `deploy/regression.json`, where the kit is at hand.
//! - `cargo xtask test` runs all tests and judges them by KNOWN-RED.txt.

mod codegen;
mod core_check;
mod known_red;
mod names_check;
mod regress;

use std::process::ExitCode;

fn main() -> ExitCode {
    let task = std::env::args().nth(1).unwrap_or_default();
    let result = match task.as_str() {
        "codegen" => codegen::write().map_err(|e| e.to_string()),
        "codegen-check" => codegen::check().map_err(|e| e.to_string()),
        "core-check" => core_check::check().map_err(|e| e.to_string()),
        "names-check" => names_check::check().map_err(|e| e.to_string()),
        "regress" => regress::run().map_err(|e| e.to_string()),
        "test" => known_red::test().map_err(|e| e.to_string()),
        other => Err(format!("task {other:?} does not exist")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            report(&e);
            ExitCode::FAILURE
        }
    }
}

#[allow(clippy::print_stderr)]
fn report(e: &str) {
    eprintln!("error: {e}");
}
