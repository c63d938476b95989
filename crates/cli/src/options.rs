//! Global command-line options.

use std::time::Duration;

use buckthornfall_client::{Client, ClientOptions};
use clap::ArgMatches;

use crate::error::{Error, Result};

/// Output format of results.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// JSON for scripts.
    Json,
}

/// Global command-line options.
#[derive(Debug, Clone)]
pub struct Options {
    /// Daemon addresses, as `host:port`.
    pub daemons: Vec<String>,
    /// Bearer token.
    pub token: Option<String>,
    /// Preferred availability zone; empty for no preference.
    pub zone: String,
    /// Output format of results.
    pub format: Format,
    /// Timeout of one request.
    pub timeout: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            daemons: Vec::new(),
            token: None,
            zone: String::new(),
            format: Format::Text,
            timeout: Duration::from_secs(60),
        }
    }
}

impl Options {
    /// Builds the options from the parsed command line.
    pub fn from_matches(matches: &ArgMatches) -> Options {
        let mut options = Options::default();
        if let Some(daemons) = matches.get_many::<String>("daemon") {
            options.daemons = daemons.cloned().collect();
        }
        options.token = matches.get_one::<String>("token").cloned();
        if let Some(zone) = matches.get_one::<String>("zone") {
            options.zone.clone_from(zone);
        }
        if matches.get_one::<String>("format").is_some_and(|format| format == "json") {
            options.format = Format::Json;
        }
        options
    }

    /// Creates a client; fails if no daemon address is given.
    pub fn client(&self) -> Result<Client> {
        if self.daemons.is_empty() {
            return Err(Error::NoDaemon);
        }
        let token = self.token.clone().unwrap_or_default();
        Ok(Client::new(ClientOptions {
            daemons: self.daemons.clone(),
            zone: self.zone.clone(),
            region: String::new(),
            token,
            timeout: self.timeout,
        }))
    }

    /// Creates a client; fails if the token or the daemon address is missing.
    pub fn client_with_token(&self) -> Result<Client> {
        if self.token.is_none() {
            return Err(Error::NoToken);
        }
        self.client()
    }
}
