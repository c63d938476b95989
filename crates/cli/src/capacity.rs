//! `report capacity`: what the servers of each service still take, from the logs of all daemons.

use std::collections::BTreeMap;

use clap::ArgMatches;
use jiff::Timestamp;
use serde::Serialize;

use crate::{
    error::{Error, Result},
    log_lines::{self, LogLine},
    options::Options,
    output,
};

/// Time before the last line over which permits are counted, in seconds.
const RATE_WINDOW_S: i64 = 10;

/// Latest known state of a server.
#[derive(Debug, Default)]
struct ServerState {
    service: String,
    draining: bool,
    /// Request limit in requests per second, if the server states one.
    limit: Option<f64>,
    granted: u64,
    denied: u64,
}

/// What the servers of a service take.
#[derive(Debug, Default, Serialize)]
struct ServiceCapacity {
    service: String,
    /// Servers that accept requests.
    servers: usize,
    /// Those of them that state a request limit.
    limited: usize,
    /// Sum of the limits, in requests per second.
    limited_requests_per_s: f64,
    /// Requests per second that the limited servers were sent lately.
    granted_per_s: f64,
    /// Requests per second that their limits did not admit lately.
    denied_per_s: f64,
}

/// Prints the capacity of each service at the end of the logs.
pub fn run(options: &Options, matches: &ArgMatches) -> Result<()> {
    let lines = log_lines::read(matches)?;
    let Some(last) = lines.last().map(|line| line.time) else {
        let message = "no line of the logs is an event; pass the logs of all daemons".to_owned();
        return Err(Error::NoLines { message });
    };
    let services = capacities(&lines, last);
    output::result(options.format, &services, |services| describe(services));
    Ok(())
}

fn capacities(lines: &[LogLine], last: Timestamp) -> Vec<ServiceCapacity> {
    let mut servers: BTreeMap<&str, ServerState> = BTreeMap::new();
    for line in lines {
        let Some(server) = line.field("server") else { continue };
        let is_recent = line.time.as_second() > last.as_second() - RATE_WINDOW_S;
        match line.event.as_str() {
            "server_entry" => {
                let state = servers.entry(server).or_default();
                state.service = line.field("service").unwrap_or_default().to_owned();
                state.draining = line.field("draining") == Some("true");
            }
            "server_entry_removed" => drop(servers.remove(server)),
            "server_leaves" => servers.entry(server).or_default().draining = true,
            "server_limit" => {
                let rate = line.field("rate").and_then(|rate| rate.parse().ok());
                servers.entry(server).or_default().limit = rate;
            }
            "server_limit_withdrawn" => servers.entry(server).or_default().limit = None,
            "permit" if is_recent => {
                let state = servers.entry(server).or_default();
                match line.field("outcome") {
                    Some("granted") => state.granted += 1,
                    _ => state.denied += 1,
                }
            }
            _ => {}
        }
    }
    let mut services: BTreeMap<&str, ServiceCapacity> = BTreeMap::new();
    for state in servers.values().filter(|state| !state.draining && !state.service.is_empty()) {
        let service = services.entry(&state.service).or_default();
        service.service.clone_from(&state.service);
        service.servers += 1;
        service.limited += usize::from(state.limit.is_some());
        service.limited_requests_per_s += state.limit.unwrap_or_default();
        service.granted_per_s += state.granted as f64 / RATE_WINDOW_S as f64;
        service.denied_per_s += state.denied as f64 / RATE_WINDOW_S as f64;
    }
    services.into_values().collect()
}

fn describe(services: &[ServiceCapacity]) -> String {
    let mut text = format!(
        "{:<24} {:>8} {:>8} {:>10} {:>10} {:>10}  still serves\n",
        "service", "servers", "limited", "limit/s", "granted/s", "denied/s"
    );
    for service in services {
        let ServiceCapacity {
            service,
            servers,
            limited,
            limited_requests_per_s: limit,
            granted_per_s,
            denied_per_s,
        } = service;
        let unlimited = servers - limited;
        let still_serves = match (unlimited, limited) {
            (_, 0) => "all that its servers can run".to_owned(),
            (0, _) => format!("{limit:.1} requests/s"),
            _ => format!(
                "{limit:.1} requests/s and what its unlimited servers ({unlimited}) can run"
            ),
        };
        text.push_str(&format!(
            "{service:<24} {servers:>8} {limited:>8} {limit:>10.1} {granted_per_s:>10.1} \
             {denied_per_s:>10.1}  {still_serves}\n"
        ));
    }
    text.trim_end().to_owned()
}
