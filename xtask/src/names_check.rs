//! Checks that names of the users' platform appear only in `platform/` and `deploy/`.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use snafu::{ensure, ResultExt, Snafu};

/// Error of the check.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("cannot read {path:?}: {source}"))]
    Read { path: PathBuf, source: io::Error },
    #[snafu(display("names of the platform appear outside platform/ and deploy/:\n{found}"))]
    Found { found: String },
}

/// Names that are specific to the platform's messages; letter case is ignored.
const PLATFORM_NAMES: [&str; 23] = [
    "BUCKTHORNFALL_BOOT",
    "x-attempt-id",
    "x-deadline-ms",
    "x-expect-instance",
    "x-not-executed",
    "x-response-signature",
    "x-weight-versions",
    "server-leaving",
    "server-limit",
    "api-key",
    "x-tenant",
    "x-duty-holder",
    "x-fencing-token",
    "/v1/lots",
    "/v1/items",
    "/v1/resolve",
    "/v1/report",
    "/v1/order",
    "rows-feed",
    "rows-tx",
    "targetgroups",
    "fencetoken",
    "routetype",
];
const SOURCE_DIRS: [&str; 2] = ["crates", "schema"];

/// Fails if a file in `crates/` or `schema/` contains one of the names.
pub fn check() -> Result<(), Error> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut found = Vec::new();
    for dir in SOURCE_DIRS {
        search(&root.join(dir), &mut found)?;
    }
    ensure!(found.is_empty(), FoundSnafu { found: found.join("\n") });
    Ok(())
}

fn search(path: &Path, found: &mut Vec<String>) -> Result<(), Error> {
    if path.is_dir() {
        for entry in fs::read_dir(path).context(ReadSnafu { path })? {
            search(&entry.context(ReadSnafu { path })?.path(), found)?;
        }
        return Ok(());
    }
    let Ok(text) = fs::read_to_string(path) else { return Ok(()) };
    let text = text.to_lowercase();
    let names = PLATFORM_NAMES.iter().filter(|name| text.contains(&name.to_lowercase()));
    found.extend(names.map(|name| format!("{}: {name}", path.display())));
    Ok(())
}
