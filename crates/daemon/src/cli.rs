//! The command line of `buckthornfalld`.

use std::path::PathBuf;

use clap::{crate_version, value_parser, Arg, ArgAction, Command};

/// The whole command line.
pub fn command() -> Command {
    Command::new("buckthornfalld")
        .version(crate_version!())
        .about("One daemon of the buckthornfall rollout service")
        .long_about(
            "One daemon of the buckthornfall rollout service.\n\n\
             It takes requests of callers, trainers and operators, and works with the other \
             daemons that the platform's host list names. What it serves is declared in the \
             manifest that is in force; `buckthornfall commit` changes it. SIGTERM and SIGINT \
             start a planned stop, which finishes every request in flight.",
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
                     region and availability zone, the addresses that it listens on, and the \
                     addresses of the platform's services. All problems of the file are listed \
                     at once, and the exit code is 2.",
                ),
        )
        .arg(
            Arg::new("hosted")
                .long("hosted")
                .action(ArgAction::SetTrue)
                .conflicts_with("settings")
                .help("Run on the users' platform")
                .long_help(
                    "Run on the users' platform: the settings are those that the platform hands \
                     out, the desired state and all that lasts stand in the platform's store, and \
                     logs go to standard output.",
                ),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}
