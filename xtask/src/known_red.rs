//! Runs all tests and accepts only the failures that are listed in KNOWN-RED.txt.

use std::{
    collections::BTreeSet,
    fs, io,
    io::{BufRead, BufReader},
    process::{Command, Stdio},
};

use snafu::{ensure, OptionExt, ResultExt, Snafu};

/// Reason for which a test run is not accepted.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("cannot read KNOWN-RED.txt: {source}"))]
    ReadList { source: io::Error },
    #[snafu(display("cannot run cargo test: {source}"))]
    Run { source: io::Error },
    #[snafu(display("cannot read the output of cargo test"))]
    NoOutput,
    #[snafu(display("these tests failed: {tests:?}"))]
    Failed { tests: BTreeSet<String> },
    #[snafu(display(
        "these tests passed but are listed in KNOWN-RED.txt; remove them from the list: {tests:?}"
    ))]
    UnexpectedPass { tests: BTreeSet<String> },
    #[snafu(display("these tests are listed in KNOWN-RED.txt but did not run: {tests:?}"))]
    NotRun { tests: BTreeSet<String> },
    #[snafu(display("cargo test failed, but no test did; see its output above"))]
    NoFailedTest,
}

/// Names of the tests that passed or failed in a run.
#[derive(Default)]
pub struct TestResults {
    passed: BTreeSet<String>,
    failed: BTreeSet<String>,
}

/// Runs the test command from the README and checks its results.
pub fn test() -> Result<(), Error> {
    let known_failures = read_known_failures()?;
    // Test command of the README. It continues after a failure, so that all results are checked.
    let mut child = Command::new(env!("CARGO"))
        .args(["test", "--workspace", "--no-fail-fast"])
        .stdout(Stdio::piped())
        .spawn()
        .context(RunSnafu)?;
    let stdout = child.stdout.take().context(NoOutputSnafu)?;
    let mut results = TestResults::default();
    for line in BufReader::new(stdout).lines() {
        let line = line.context(RunSnafu)?;
        results.parse_line(&line);
        print(&line);
    }
    let status = child.wait().context(RunSnafu)?;
    check_results(&known_failures, &results, status.success())
}

/// Accepts a run in which exactly the known failures occurred.
pub fn check_results(
    known_failures: &BTreeSet<String>,
    results: &TestResults,
    success: bool,
) -> Result<(), Error> {
    for test in known_failures {
        print(&format!("known red: {test}"));
    }
    let failed: BTreeSet<_> = results.failed.difference(known_failures).cloned().collect();
    ensure!(failed.is_empty(), FailedSnafu { tests: failed });
    let passed: BTreeSet<_> = results.passed.intersection(known_failures).cloned().collect();
    ensure!(passed.is_empty(), UnexpectedPassSnafu { tests: passed });
    let missing: BTreeSet<_> = known_failures.difference(&results.failed).cloned().collect();
    ensure!(missing.is_empty(), NotRunSnafu { tests: missing });
    ensure!(success || !results.failed.is_empty(), NoFailedTestSnafu);
    Ok(())
}

impl TestResults {
    /// Parses an output line such as `test claims::lost_reply ... ok`.
    pub fn parse_line(&mut self, line: &str) {
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

fn read_known_failures() -> Result<BTreeSet<String>, Error> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../KNOWN-RED.txt");
    let text = fs::read_to_string(path).context(ReadListSnafu)?;
    let entries = text.lines().filter(|line| !line.starts_with('#') && !line.trim().is_empty());
    Ok(entries.filter_map(|l| l.split('|').next()).map(|name| name.trim().to_owned()).collect())
}

#[allow(clippy::print_stdout)]
fn print(line: &str) {
    println!("{line}");
}
