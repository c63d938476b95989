//! Runs the gate and the hunts of the regression sites with the users' kit, which must be located
//! next to the repository.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::Command,
};

use serde_json::Value;
use snafu::{ensure, OptionExt, ResultExt, Snafu};

/// Error of the regression runs.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    #[snafu(display("{} is not JSON: {source}", path.display()))]
    Json { path: PathBuf, source: serde_json::Error },
    #[snafu(display("{} has no valid entry {name:?}", path.display()))]
    Missing { path: PathBuf, name: &'static str },
    #[snafu(display("the kit was not found at {}; place it next to the repository to run its sites", path.display()))]
    NoKit { path: PathBuf },
    #[snafu(display("cannot run {}: {source}", path.display()))]
    Run { path: PathBuf, source: io::Error },
    #[snafu(display("not all sites passed"))]
    Failed,
}

type Result<T, E = Error> = std::result::Result<T, E>;

/// List of the sites and of the number of days to hunt on each.
const SITE_LIST_PATH: &str = "deploy/regression.json";
/// Number of days that the bench simulates in parallel.
const JOBS: &str = "3";

/// Result of one site.
struct SiteResult {
    site: String,
    passed: bool,
    score: String,
    hunt: String,
}

/// Runs all sites of the list and prints their results.
#[allow(clippy::print_stdout)]
pub fn run() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let path = root.join(SITE_LIST_PATH);
    let text = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
    let list: Value = serde_json::from_str(&text).context(JsonSnafu { path: &path })?;
    let text_of = |name| list[name].as_str().context(MissingSnafu { path: &path, name });
    let kit = root.join(text_of("kit")?);
    let bench = kit.join(text_of("bench")?);
    ensure!(bench.exists(), NoKitSnafu { path: kit });
    let sites = list["sites"].as_array().context(MissingSnafu { path: &path, name: "sites" })?;
    let mut results = Vec::new();
    for site in sites {
        let file = site["file"].as_str().context(MissingSnafu { path: &path, name: "file" })?;
        let days = site["days"].as_u64().context(MissingSnafu { path: &path, name: "days" })?;
        let run_site = |arguments: &[&str]| run_bench(&root, &bench, &kit.join(file), arguments);
        let score = run_site(&["score"])?;
        let hunt = run_site(&["hunt", "--days", &days.to_string()])?;
        results.push(SiteResult {
            site: file.to_owned(),
            passed: score.contains("GATE passed") && hunt.contains(", 0 with a rule broken"),
            score: find_line(&score, "score on the standard days"),
            hunt: find_line(&hunt, "with a rule broken"),
        });
    }
    for SiteResult { site, passed, score, hunt } in &results {
        let verdict = if *passed { "passed" } else { "FAILED" };
        println!("{verdict}  {site}\n        {score}\n        {hunt}");
    }
    ensure!(results.iter().all(|result| result.passed), FailedSnafu);
    Ok(())
}

fn run_bench(root: &Path, bench: &Path, site: &Path, arguments: &[&str]) -> Result<String> {
    let output = Command::new(bench)
        .current_dir(root)
        .arg(arguments[0])
        .arg(site)
        .args(&arguments[1..])
        .args(["--jobs", JOBS, "--why", "regression"])
        .output()
        .context(RunSnafu { path: bench })?;
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}

/// Returns the first line that contains `part`.
fn find_line(text: &str, part: &str) -> String {
    text.lines().find(|line| line.contains(part)).unwrap_or("no verdict").trim().to_owned()
}
