//! The command line of `buckthornfalld`.

use std::path::PathBuf;

use buckthornfall_core::second_copies::MAX_PERCENT;
use clap::{crate_version, value_parser, Arg, ArgAction, Command};

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("buckthornfalld")
        .version(crate_version!())
        .about("Daemon of the buckthornfall rollout service")
        .long_about(
            "Daemon of the buckthornfall rollout service.\n\n\
             It serves requests of callers, trainers and operators together with the other daemons \
             in the platform's host list. The services are declared in the manifest in force, \
             which `buckthornfall commit` changes. SIGTERM and SIGINT start a planned stop, which \
             finishes every request in flight.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .short('s')
                .value_name("FILE")
                .required_unless_present("hosted")
                .value_parser(value_parser!(PathBuf))
                .help("Read the settings of this daemon from FILE")
                .long_help(
                    "Read the settings of this daemon from FILE, a JSON document: its host name, \
                     region and availability zone, its listen addresses, and the addresses of the \
                     platform's services. If the file is invalid, all problems are listed and the \
                     exit code is 2.",
                ),
        )
        .arg(
            Arg::new("hosted")
                .long("hosted")
                .action(ArgAction::SetTrue)
                .conflicts_with("settings")
                .help("Run on the users' platform")
                .long_help(
                    "Run on the users' platform: the platform provides the settings, the desired \
                     state and all persistent data are kept in the platform's store, and logs go \
                     to standard output.",
                ),
        )
        .arg(
            Arg::new("second-copies")
                .long("second-copies")
                .value_name("PERCENT")
                .requires("hosted")
                .conflicts_with("settings")
                .default_value("0")
                .value_parser(value_parser!(u32).range(..=i64::from(MAX_PERCENT)))
                .help("Send second copies of slow requests, for at most PERCENT of the requests")
                .long_help(
                    "Send a second copy of a slow request to another server and return the answer \
                     that comes first. Only requests that may be repeated are copied. All daemons \
                     together send at most PERCENT further runs, copies and retries, per 100 such \
                     requests of callers to a service. 0 sends no copies.",
                ),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}
