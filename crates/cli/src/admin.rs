//! Operator commands: `check`, `commit` and `status`.

use std::{fmt::Write, fs, path::PathBuf, thread, time::Duration};

use buckthornfall_client::{entry::refusal, http, Client};
use buckthornfall_proto::{
    check,
    messages::{CommitAnswer, CommitRequest, StatusAnswer},
};
use clap::ArgMatches;
use serde::{de::DeserializeOwned, Serialize};
use snafu::ResultExt;

use crate::{
    error::{DocumentSnafu, Error, HttpSnafu, ManifestSnafu, ReadSnafu, Result},
    options::Options,
    output,
};

const WATCH_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct CheckResult {
    file: String,
    models: usize,
    servers: usize,
    trainers: usize,
}

/// Validates a manifest file.
pub fn check(options: &Options, matches: &ArgMatches) -> Result<()> {
    let (path, text) = read_manifest(matches)?;
    let manifest = check::manifest(&text).context(ManifestSnafu { path: &path })?;
    let checked = CheckResult {
        file: path.display().to_string(),
        models: manifest.models.len(),
        servers: manifest.models.iter().map(|model| model.servers.len()).sum(),
        trainers: manifest.trainers.len(),
    };
    output::result(options.format, &checked, |c| {
        format!(
            "{} is valid: {} models on {} servers, {} trainers",
            c.file, c.models, c.servers, c.trainers
        )
    });
    Ok(())
}

/// Validates a manifest file and commits it.
pub fn commit(options: &Options, matches: &ArgMatches) -> Result<()> {
    let (path, text) = read_manifest(matches)?;
    check::manifest(&text).context(ManifestSnafu { path: &path })?;
    let manifest = serde_json::from_str(&text)
        .map_err(|e| Error::Document { path, message: e.to_string() })?;
    let base_revision = *matches.get_one::<u64>("base").expect("the argument is required");
    let request = CommitRequest { base_revision, manifest };
    let client = options.client_with_token()?;
    let body = serde_json::to_vec(&request).expect("messages serialize to JSON");
    let reply = post_first(&client, &options.daemons, "/v1/manifest", &body)?;
    let answer: CommitAnswer = parse_reply(&reply)?;
    output::result(options.format, &answer, |a| {
        format!("revision {} is committed (SHA-256 {})", a.revision, a.hash)
    });
    Ok(())
}

/// Shows the status of all daemons, with `--watch` until all have the same revision.
pub fn status(options: &Options, matches: &ArgMatches) -> Result<()> {
    let client = options.client_with_token()?;
    loop {
        let fleet = fetch_status(&client, options)?;
        output::result(options.format, &fleet, describe);
        if !matches.get_flag("watch") || fleet.is_in_agreement() {
            return Ok(());
        }
        thread::sleep(WATCH_INTERVAL);
    }
}

#[derive(Serialize)]
struct FleetStatus {
    daemons: Vec<StatusAnswer>,
    /// Hosts that another daemon lists as alive but that did not respond.
    silent: Vec<String>,
}

impl FleetStatus {
    fn is_in_agreement(&self) -> bool {
        let mut revisions: Vec<_> = self.daemons.iter().map(|daemon| daemon.revision).collect();
        revisions.dedup();
        revisions.len() == 1 && self.silent.is_empty()
    }
}

fn fetch_status(client: &Client, options: &Options) -> Result<FleetStatus> {
    let first: StatusAnswer = get_first(client, &options.daemons, "/v1/status")?;
    let mut fleet = FleetStatus { daemons: Vec::new(), silent: Vec::new() };
    for peer in &first.peers {
        if peer.host == first.host {
            continue;
        }
        let reply = client.get_from(&peer.address, "/v1/status");
        match reply.context(HttpSnafu).and_then(|reply| parse_reply(&reply)) {
            Ok(status) => fleet.daemons.push(status),
            Err(_) if peer.alive => fleet.silent.push(peer.host.clone()),
            Err(_) => {}
        }
    }
    fleet.daemons.push(first);
    fleet.daemons.sort_by(|a, b| a.host.cmp(&b.host));
    Ok(fleet)
}

fn describe(fleet: &FleetStatus) -> String {
    let mut text = String::new();
    for daemon in &fleet.daemons {
        let state = if daemon.leaving { "leaving" } else { "serving" };
        let ready = daemon.servers.iter().filter(|server| server.state == "ready").count();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{:<12} {:<16} revision {:<4} {state:<8} {} requests, {ready} of {} servers ready",
            daemon.host,
            daemon.zone,
            daemon.revision,
            daemon.requests_in_flight,
            daemon.servers.len()
        );
        for lease in daemon.leases.iter().filter(|l| l.holder.starts_with(&daemon.host)) {
            let _ = writeln!(text, "{:<12} holds {} (fence {})", "", lease.role, lease.fence);
        }
    }
    for host in &fleet.silent {
        let _ = writeln!(text, "{host:<12} does not answer");
    }
    text.pop();
    text
}

fn read_manifest(matches: &ArgMatches) -> Result<(PathBuf, String)> {
    let path = matches.get_one::<PathBuf>("manifest").expect("the argument is required").clone();
    let text = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
    Ok((path, text))
}

/// Reads and parses a JSON file.
pub fn read_json<T: DeserializeOwned>(path: &PathBuf) -> Result<T> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    serde_json::from_str(&text).or_else(|e| DocumentSnafu { path, message: e.to_string() }.fail())
}

/// Parses the body of a reply; returns an error if it is a refusal.
pub fn parse_reply<T: DeserializeOwned>(reply: &http::Reply) -> Result<T> {
    if let Some(answer) = refusal(reply) {
        return Err(Error::Refused { answer: Box::new(answer) });
    }
    http::parse("the daemon", reply).context(HttpSnafu)
}

/// Posts to the first reachable daemon.
///
/// Tries the next daemon only if the request was not sent.
fn post_first(client: &Client, daemons: &[String], path: &str, body: &[u8]) -> Result<http::Reply> {
    let mut last_error = Error::NoDaemon;
    for daemon in daemons {
        match client.post_to(daemon, path, body) {
            Err(e @ http::Error::NotSent { .. }) => last_error = Error::Http { source: e },
            result => return result.context(HttpSnafu),
        }
    }
    Err(last_error)
}

/// Fetches a document from the first daemon that responds.
pub fn get_first<T: DeserializeOwned>(
    client: &Client,
    daemons: &[String],
    path: &str,
) -> Result<T> {
    let mut last_error = Error::NoDaemon;
    for daemon in daemons {
        match client.get_from(daemon, path) {
            Ok(reply) => return parse_reply(&reply),
            Err(e) => last_error = Error::Http { source: e },
        }
    }
    Err(last_error)
}
