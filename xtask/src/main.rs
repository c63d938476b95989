//! Development tasks of buckthornfall.
//!
//! - `cargo xtask codegen` generates the types of `crates/proto` from `schema/`.
//! - `cargo xtask codegen-check` fails if the generated types are out of date.
//! - `cargo xtask core-check` fails if `crates/core` depends on a crate that performs I/O.
//! - `cargo xtask names-check` fails if names of the users' platform appear in `crates/` or
//!   `schema/`.
//! - `cargo xtask regress` runs the sites in `deploy/regression.json`; it requires the users' kit.
//! - `cargo xtask test` runs all tests and accepts only the failures listed in KNOWN-RED.txt.

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
        other => {
            Err(format!("unknown task {other:?}; see xtask/src/main.rs for the list of tasks"))
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            print_error(&e);
            ExitCode::FAILURE
        }
    }
}

#[allow(clippy::print_stderr)]
fn print_error(e: &str) {
    eprintln!("error: {e}");
}
