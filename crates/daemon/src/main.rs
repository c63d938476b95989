//! `buckthornfalld`: a daemon of the rollout service.

use std::{fs, process::ExitCode, thread};

use buckthornfall_core::second_copies::SecondCopies;
use buckthornfall_daemon::{cli, hosted, logging, options::Options, tasks, Daemon};
use buckthornfall_proto::{check, settings::Settings};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use snafu::{ResultExt, Snafu};

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("cannot read settings {file:?}: {source}"))]
    Read { file: String, source: std::io::Error },
    #[snafu(display("settings {file:?} are not valid:\n{source}"))]
    Settings { file: String, source: check::Error },
    #[snafu(display("{source}"))]
    Start { source: buckthornfall_daemon::daemon::Error },
    #[snafu(display("{source}"))]
    Hosted { source: hosted::Error },
    #[snafu(display("cannot install the signal handlers: {source}"))]
    Signals { source: std::io::Error },
}

/// Exit code if the settings cannot be read or are invalid.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let options = Options::from_matches(&cli::command().get_matches());
    let result = if options.hosted { run_hosted(&options) } else { run(&options) };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            print_error(&e);
            match e {
                Error::Read { .. } | Error::Settings { .. } => ExitCode::from(EXIT_SETTINGS),
                Error::Start { .. } | Error::Signals { .. } | Error::Hosted { .. } => {
                    ExitCode::FAILURE
                }
            }
        }
    }
}

fn run_hosted(options: &Options) -> Result<(), Error> {
    if options.check_only {
        return hosted::check().context(HostedSnafu);
    }
    logging::init_bounded();
    tasks::report_panics();
    hosted::run(SecondCopies::new(options.second_copies)).context(HostedSnafu)
}

fn run(options: &Options) -> Result<(), Error> {
    logging::init();
    tasks::report_panics();
    let settings = read_settings(options)?;
    if options.check_only {
        return Ok(());
    }
    let mut signals = Signals::new([SIGTERM, SIGINT]).context(SignalsSnafu)?;
    let daemon = Daemon::start(settings).context(StartSnafu)?;
    let stop = daemon.stopper();
    thread::spawn(move || signals.forever().for_each(|_| stop()));
    daemon.join();
    Ok(())
}

fn read_settings(options: &Options) -> Result<Settings, Error> {
    let file = options.settings.display().to_string();
    let text = fs::read_to_string(&options.settings).context(ReadSnafu { file: &file })?;
    check::settings(&text).context(SettingsSnafu { file })
}

#[allow(clippy::print_stderr)]
fn print_error(e: &Error) {
    eprintln!("error: {e}");
}
