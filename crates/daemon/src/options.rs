//! Command line options and limits of a daemon.

use std::{path::PathBuf, time::Duration};

use buckthornfall_proto::settings::Settings;
use clap::ArgMatches;

/// Command line options.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Check the settings and exit.
    pub check_only: bool,
    /// Run on the users' platform, with the settings that it provides.
    pub hosted: bool,
    /// Limit of second copies of slow requests, in percent of the requests; 0 sends none.
    pub second_copies: u32,
}

impl Options {
    /// Reads the options from the command line.
    pub fn from_matches(matches: &ArgMatches) -> Options {
        let settings = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
        let check_only = matches.get_flag("check");
        Options {
            settings,
            check_only,
            hosted: matches.get_flag("hosted"),
            second_copies: matches.get_one("second-copies").copied().unwrap_or_default(),
        }
    }
}

/// Limits of a daemon, from its settings.
#[derive(Debug, Clone)]
pub struct DaemonLimits {
    /// Number of threads that serve HTTP requests.
    pub http_threads: u32,
    /// Number of threads that send orders to servers and request their reports.
    pub io_threads: u32,
    /// Number of threads that run attempts, one attempt per thread at a time.
    pub stream_threads: u32,
    /// Time for which callers may cache an entry response.
    pub entry_ttl: Duration,
    /// Timeout for the requests in flight during a planned stop.
    pub drain_timeout: Duration,
}

impl Default for DaemonLimits {
    fn default() -> DaemonLimits {
        DaemonLimits {
            http_threads: 64,
            io_threads: 16,
            stream_threads: 192,
            entry_ttl: Duration::from_secs(5),
            drain_timeout: Duration::from_secs(120),
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
            entry_ttl: millis(settings.entry_valid_ms, default.entry_ttl),
            drain_timeout: millis(settings.drain_limit_ms, default.drain_timeout),
        }
    }
}
