//! `buckthornfall`: the command-line tool of the rollout service.

mod admin;
mod bench;
mod caller;
mod capacity;
mod cli;
mod demo;
mod error;
mod explain;
mod export;
mod incident;
mod log_lines;
mod options;
mod output;
mod report;

use std::process::ExitCode;

use crate::{error::Result, options::Options};

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let result = run(&matches);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            output::error(&e);
            ExitCode::from(e.exit_code())
        }
    }
}

fn run(matches: &clap::ArgMatches) -> Result<()> {
    let options = Options::from_matches(matches);
    match matches.subcommand() {
        Some(("check", sub)) => admin::check(&options, sub),
        Some(("commit", sub)) => admin::commit(&options, sub),
        Some(("status", sub)) => admin::status(&options, sub),
        Some(("entry", _)) => caller::entry(&options),
        Some(("request", sub)) => caller::request(&options, sub),
        Some(("submit", sub)) => caller::submit(&options, sub),
        Some(("report", sub)) => report::run(&options, sub),
        Some(("explain", sub)) => explain::run(&options, sub),
        Some(("incident", sub)) => incident::run(&options, sub),
        Some(("bench", sub)) => bench::run(&options, sub),
        Some(("demo", sub)) => demo::run(&options, sub),
        _ => unreachable!("clap requires a known subcommand"),
    }
}
