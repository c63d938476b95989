//! Options that all commands share.

use std::time::Duration;

use buckthornfall_client::{Client, ClientOptions};
use clap::ArgMatches;

use crate::error::{Error, Result};

/// How results are printed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For scripts.
    Json,
}

/// Options that all commands share.
#[derive(Debug, Clone)]
pub struct Options {
    /// Addresses of daemons.
    pub daemons: Vec<String>,
    /// Bearer token.
    pub token: Option<String>,
    /// Availability zone to ask for.
    pub zone: String,
    /// How results are printed.
    pub format: Format,
    /// Longest time of one request.
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
    /// Reads the options from the command line.
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

    /// A client for these options.
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

    /// A client that has a token.
    pub fn client_with_token(&self) -> Result<Client> {
        if self.token.is_none() {
            return Err(Error::NoToken);
        }
        self.client()
    }
}
