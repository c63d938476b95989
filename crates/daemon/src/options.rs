//! Options of one daemon.

use std::{path::PathBuf, time::Duration};

use buckthornfall_proto::settings::Settings;
use clap::ArgMatches;

/// Options from the command line.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// File with the settings.
    pub settings: PathBuf,
    /// Only check the settings.
    pub check_only: bool,
    /// Run on the users' platform, with the settings that it hands out.
    pub hosted: bool,
}

impl Options {
    /// Reads the options from the command line.
    pub fn from_matches(matches: &ArgMatches) -> Options {
        let settings = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
        let check_only = matches.get_flag("check");
        Options { settings, check_only, hosted: matches.get_flag("hosted") }
    }
}

/// Limits of one daemon, from its settings.
#[derive(Debug, Clone)]
pub struct DaemonLimits {
    /// Threads that answer HTTP requests.
    pub http_threads: u32,
    /// Threads for orders to and reports of servers.
    pub io_threads: u32,
    /// Threads that each run one attempt.
    pub stream_threads: u32,
    /// How long callers may keep an entry answer.
    pub entry_valid: Duration,
    /// Longest wait for requests in flight at a planned stop.
    pub drain: Duration,
}

impl Default for DaemonLimits {
    fn default() -> DaemonLimits {
        DaemonLimits {
            http_threads: 64,
            io_threads: 16,
            stream_threads: 192,
            entry_valid: Duration::from_secs(5),
            drain: Duration::from_secs(120),
        }
    }
}

impl From<&Settings> for DaemonLimits {
    fn from(settings: &Settings) -> DaemonLimits {
        let default = DaemonLimits::default();
        let millis =
            |ms: Option<u32>, default| ms.map_or(default, |ms| Duration::from_millis(ms.into()));
        DaemonLimits {
            http_threads: settings.http_threads.unwrap_or(default.http_threads),
            io_threads: settings.io_threads.unwrap_or(default.io_threads),
            stream_threads: settings.stream_threads.unwrap_or(default.stream_threads),
            entry_valid: millis(settings.entry_valid_ms, default.entry_valid),
            drain: millis(settings.drain_limit_ms, default.drain),
        }
    }
}
