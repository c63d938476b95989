//! Checks that `crates/core` depends on no crate that does I/O.

use std::{io, process::Command};

use snafu::{ensure, ResultExt, Snafu};

/// Why the check failed.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("cannot run cargo tree: {source}"))]
    Run { source: io::Error },
    #[snafu(display("cargo tree failed: {message}"))]
    Tree { message: String },
    #[snafu(display("crates/core depends on {crates:?}, which do I/O"))]
    Forbidden { crates: Vec<&'static str> },
}

const FORBIDDEN: [&str; 6] = ["tokio", "h2", "tiny_http", "ureq", "stakker", "mio"];

/// Fails if one of the forbidden crates is among the dependencies.
pub fn check() -> Result<(), Error> {
    let arguments =
        ["tree", "--package", "buckthornfall-core", "--edges", "normal", "--prefix", "none"];
    let output = Command::new(env!("CARGO")).args(arguments).output().context(RunSnafu)?;
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    ensure!(output.status.success(), TreeSnafu { message });
    let tree = String::from_utf8_lossy(&output.stdout).into_owned();
    let names: Vec<_> = tree.lines().filter_map(|line| line.split(' ').next()).collect();
    let crates: Vec<_> = FORBIDDEN.into_iter().filter(|name| names.contains(name)).collect();
    ensure!(crates.is_empty(), ForbiddenSnafu { crates });
    Ok(())
}
