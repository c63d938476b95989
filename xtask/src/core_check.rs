//! Checks that `crates/core` does not depend on a crate that performs I/O.

use std::{io, process::Command};

use snafu::{ensure, ResultExt, Snafu};

/// Error of the check.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("cannot run cargo tree: {source}"))]
    Run { source: io::Error },
    #[snafu(display("cargo tree failed: {message}"))]
    Tree { message: String },
    #[snafu(display(
        "crates/core depends on {crates:?}, which perform I/O; remove these dependencies"
    ))]
    Forbidden { crates: Vec<&'static str> },
}

const FORBIDDEN_CRATES: [&str; 6] = ["tokio", "h2", "tiny_http", "ureq", "stakker", "mio"];

/// Fails if `crates/core` depends on a forbidden crate, directly or indirectly.
pub fn check() -> Result<(), Error> {
    let arguments =
        ["tree", "--package", "buckthornfall-core", "--edges", "normal", "--prefix", "none"];
    let output = Command::new(env!("CARGO")).args(arguments).output().context(RunSnafu)?;
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    ensure!(output.status.success(), TreeSnafu { message });
    let tree = String::from_utf8_lossy(&output.stdout).into_owned();
    let names: Vec<_> = tree.lines().filter_map(|line| line.split(' ').next()).collect();
    let crates: Vec<_> = FORBIDDEN_CRATES.into_iter().filter(|name| names.contains(name)).collect();
    ensure!(crates.is_empty(), ForbiddenSnafu { crates });
    Ok(())
}
