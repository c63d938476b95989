//! Plays the gate and hunts of the regression sites, where the users' kit lies beside the repository.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::Command,
};

use serde_json::Value;
use snafu::{ensure, OptionExt, ResultExt, Snafu};

/// Why the regression runs failed.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    #[snafu(display("{} is not JSON: {source}", path.display()))]
    Json { path: PathBuf, source: serde_json::Error },
    #[snafu(display("{} does not name {name:?}", path.display()))]
    Missing { path: PathBuf, name: &'static str },
    #[snafu(display("the kit is not at {}; put it beside the repository to play its sites", path.display()))]
    NoKit { path: PathBuf },
    #[snafu(display("cannot run {}: {source}", path.display()))]
    Run { path: PathBuf, source: io::Error },
    #[snafu(display("not all sites passed"))]
    Failed,
}

type Result<T, E = Error> = std::result::Result<T, E>;

/// The sites, and how many days of each are hunted.
const LIST: &str = "deploy/regression.json";
/// Days that are played at a time.
const JOBS: &str = "3";

/// Outcome of one site.
struct Outcome {
    site: String,
    passed: bool,
    score: String,
    hunt: String,
}

/// Plays all sites of the list and prints a table.
#[allow(clippy::print_stdout)]
pub fn run() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let path = root.join(LIST);
    let text = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
    let list: Value = serde_json::from_str(&text).context(JsonSnafu { path: &path })?;
    let text_of = |name| list[name].as_str().context(MissingSnafu { path: &path, name });
    let kit = root.join(text_of("kit")?);
    let bench = kit.join(text_of("bench")?);
    ensure!(bench.exists(), NoKitSnafu { path: kit });
    let sites = list["sites"].as_array().context(MissingSnafu { path: &path, name: "sites" })?;
    let mut outcomes = Vec::new();
    for site in sites {
        let file = site["file"].as_str().context(MissingSnafu { path: &path, name: "file" })?;
        let days = site["days"].as_u64().context(MissingSnafu { path: &path, name: "days" })?;
        let play = |arguments: &[&str]| play(&root, &bench, &kit.join(file), arguments);
        let score = play(&["score"])?;
        let hunt = play(&["hunt", "--days", &days.to_string()])?;
        outcomes.push(Outcome {
            site: file.to_owned(),
            passed: score.contains("GATE passed") && hunt.contains(", 0 with a rule broken"),
            score: line(&score, "score on the standard days"),
            hunt: line(&hunt, "with a rule broken"),
        });
    }
    for Outcome { site, passed, score, hunt } in &outcomes {
        let verdict = if *passed { "passed" } else { "FAILED" };
        println!("{verdict}  {site}\n        {score}\n        {hunt}");
    }
    ensure!(outcomes.iter().all(|outcome| outcome.passed), FailedSnafu);
    Ok(())
}

fn play(root: &Path, bench: &Path, site: &Path, arguments: &[&str]) -> Result<String> {
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

/// The first line that holds `part`.
fn line(text: &str, part: &str) -> String {
    text.lines().find(|line| line.contains(part)).unwrap_or("no verdict").trim().to_owned()
}
