//! Runs all tests and passes over exactly the failures that KNOWN-RED.txt lists.

use std::{
    collections::BTreeSet,
    fs, io,
    io::{BufRead, BufReader},
    process::{Command, Stdio},
};

use snafu::{ensure, OptionExt, ResultExt, Snafu};

/// Why the test run is not accepted.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("cannot read KNOWN-RED.txt: {source}"))]
    List { source: io::Error },
    #[snafu(display("cannot run cargo test: {source}"))]
    Run { source: io::Error },
    #[snafu(display("cargo test printed nothing"))]
    Silent,
    #[snafu(display("these tests failed: {tests:?}"))]
    Failed { tests: BTreeSet<String> },
    #[snafu(display("these tests pass but stand in KNOWN-RED.txt: {tests:?}"))]
    TurnedGreen { tests: BTreeSet<String> },
    #[snafu(display("these tests stand in KNOWN-RED.txt but did not run: {tests:?}"))]
    NotRun { tests: BTreeSet<String> },
    #[snafu(display("cargo test failed without a failed test; see above"))]
    Broken,
}

/// Names of the tests that passed and failed.
#[derive(Default)]
pub struct Outcome {
    passed: BTreeSet<String>,
    failed: BTreeSet<String>,
}

/// Runs the README's test command and judges its outcome.
pub fn test() -> Result<(), Error> {
    let listed = listed()?;
    // The command of the README; tests go on after a failure, so that all are judged.
    let mut child = Command::new(env!("CARGO"))
        .args(["test", "--workspace", "--no-fail-fast"])
        .stdout(Stdio::piped())
        .spawn()
        .context(RunSnafu)?;
    let stdout = child.stdout.take().context(SilentSnafu)?;
    let mut outcome = Outcome::default();
    for line in BufReader::new(stdout).lines() {
        let line = line.context(RunSnafu)?;
        outcome.read(&line);
        print(&line);
    }
    let status = child.wait().context(RunSnafu)?;
    judge(&listed, &outcome, status.success())
}

/// Accepts a run in which just the listed tests failed.
pub fn judge(listed: &BTreeSet<String>, outcome: &Outcome, success: bool) -> Result<(), Error> {
    for test in listed {
        print(&format!("known red: {test}"));
    }
    let failed: BTreeSet<_> = outcome.failed.difference(listed).cloned().collect();
    ensure!(failed.is_empty(), FailedSnafu { tests: failed });
    let green: BTreeSet<_> = outcome.passed.intersection(listed).cloned().collect();
    ensure!(green.is_empty(), TurnedGreenSnafu { tests: green });
    let absent: BTreeSet<_> = listed.difference(&outcome.failed).cloned().collect();
    ensure!(absent.is_empty(), NotRunSnafu { tests: absent });
    ensure!(success || !outcome.failed.is_empty(), BrokenSnafu);
    Ok(())
}

impl Outcome {
    /// Reads a line such as `test claims::lost_reply ... ok`.
    pub fn read(&mut self, line: &str) {
        let Some((name, result)) =
            line.strip_prefix("test ").and_then(|rest| rest.split_once(" ... "))
        else {
            return;
        };
        match result {
            "ok" => self.passed.insert(name.to_owned()),
            "FAILED" => self.failed.insert(name.to_owned()),
            _ => false,
        };
    }
}

fn listed() -> Result<BTreeSet<String>, Error> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../KNOWN-RED.txt");
    let text = fs::read_to_string(path).context(ListSnafu)?;
    let entries = text.lines().filter(|line| !line.starts_with('#') && !line.trim().is_empty());
    Ok(entries.filter_map(|l| l.split('|').next()).map(|name| name.trim().to_owned()).collect())
}

#[allow(clippy::print_stdout)]
fn print(line: &str) {
    println!("{line}");
}
