//! `buckthornfall-standins`: runs stand-ins from the command line, one per process or all in one
//! process.

mod cli;

use std::{fs, io, path::PathBuf, process::ExitCode, sync::Arc, thread, time::Duration};

use buckthornfall_proto::{check, manifest::Manifest, messages::HostListAnswer};
use buckthornfall_standins::{
    engine::{Engine, EngineOptions},
    hosts::HostList,
    objects::Objects,
    server::{self, Server},
    service::{RunCounter, Service, ServiceOptions},
    table::Table,
    weights::WeightStore,
};
use clap::ArgMatches;
use log::info;
use snafu::{ResultExt, Snafu};

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("cannot read {}: {source}; check the path", path.display()))]
    Read { path: PathBuf, source: io::Error },
    #[snafu(display("{} is not a valid manifest:\n{source}", path.display()))]
    Manifest { path: PathBuf, source: check::Error },
    #[snafu(display("{} is not a valid host list: {source}", path.display()))]
    Hosts { path: PathBuf, source: serde_json::Error },
    #[snafu(display("{source}"))]
    Serve { source: server::Error },
}

type Result<T, E = Error> = std::result::Result<T, E>;

const TABLE_ADDRESS: &str = "127.0.0.1:7001";
const OBJECTS_ADDRESS: &str = "127.0.0.1:7002";
const HOST_LIST_ADDRESS: &str = "127.0.0.1:7003";
const WEIGHT_STORE_ADDRESS: &str = "127.0.0.1:7004";
const WEIGHT_BYTES_PER_S: f64 = 20_000_000.0;
const HOST_LIST_LAG: Duration = Duration::from_secs(2);

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match start(&cli::command().get_matches()) {
        Ok(servers) => {
            for server in &servers {
                info!(address = server.address(); "serving");
            }
            loop {
                thread::park();
            }
        }
        Err(e) => {
            print_error(&e);
            ExitCode::FAILURE
        }
    }
}

fn start(matches: &ArgMatches) -> Result<Vec<Server>> {
    let (name, sub) = matches.subcommand().expect("clap requires a subcommand");
    if name == "all" {
        return start_all(sub);
    }
    let listen = string_arg(sub, "listen");
    let server = match name {
        "table" => Arc::new(Table::default()).serve(&listen),
        "objects" => Arc::new(Objects::default()).serve(&listen),
        "host-list" => {
            let lag = Duration::from_millis(
                *sub.get_one::<u64>("lag-ms").expect("the argument has a default value"),
            );
            HostList::new(lag, read_host_list(sub)?).serve(&listen)
        }
        "weight-store" => {
            let rate = *sub.get_one::<u64>("bytes-per-s").expect("the argument has a default value")
                as f64;
            WeightStore::new(rate, &string_arg(sub, "region")).serve(&listen)
        }
        "engine" => Engine::new(engine_options(sub), 1).serve(&listen),
        _ => {
            let options = ServiceOptions {
                service: string_arg(sub, "name"),
                crash_text: string_arg(sub, "crash-text"),
                ..ServiceOptions::default()
            };
            Service::new(options, Arc::default()).serve(&listen)
        }
    };
    Ok(vec![server.context(ServeSnafu)?])
}

fn engine_options(sub: &ArgMatches) -> EngineOptions {
    EngineOptions {
        model: string_arg(sub, "model"),
        region: string_arg(sub, "region"),
        zone: string_arg(sub, "zone"),
        slots: *sub.get_one::<u32>("slots").expect("the argument has a default value"),
        checks_fence: !sub.get_flag("ignore-fence"),
        weight_store: string_arg(sub, "weight-store"),
        crash_text: string_arg(sub, "crash-text"),
        ..EngineOptions::default()
    }
}

fn start_all(sub: &ArgMatches) -> Result<Vec<Server>> {
    let path = sub.get_one::<PathBuf>("manifest").expect("clap requires the argument").clone();
    let text = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
    let manifest = check::manifest(&text).context(ManifestSnafu { path })?;
    let mut servers = vec![
        Arc::new(Table::default()).serve(TABLE_ADDRESS),
        Arc::new(Objects::default()).serve(OBJECTS_ADDRESS),
        HostList::new(HOST_LIST_LAG, read_host_list(sub)?).serve(HOST_LIST_ADDRESS),
        WeightStore::new(WEIGHT_BYTES_PER_S, &manifest.store_region).serve(WEIGHT_STORE_ADDRESS),
    ];
    for model in &manifest.models {
        for server in &model.servers {
            let options = EngineOptions {
                model: model.name.clone(),
                adapters: model.adapters.clone(),
                region: region_of(&manifest, &server.zone),
                zone: server.zone.clone(),
                slots: server.slots,
                checks_fence: server.checks_fence,
                weight_store: WEIGHT_STORE_ADDRESS.to_owned(),
                ..EngineOptions::default()
            };
            servers.push(Engine::new(options, 1).serve(&server.address));
        }
    }
    let scoring = manifest.scoring_services.iter().map(|s| (&s.name, &s.servers));
    let plain = manifest.plain_services.iter().map(|s| (&s.name, &s.servers));
    for (name, backends) in scoring.chain(plain) {
        let run_counter = Arc::new(RunCounter::default());
        for server in backends {
            let options = ServiceOptions { service: name.clone(), ..ServiceOptions::default() };
            servers.push(Service::new(options, Arc::clone(&run_counter)).serve(&server.address));
        }
    }
    servers.into_iter().collect::<server::Result<_>>().context(ServeSnafu)
}

fn region_of(manifest: &Manifest, zone: &str) -> String {
    let region = manifest.regions.iter().find(|r| r.zones.iter().any(|z| z == zone));
    region.map_or_else(String::new, |region| region.name.clone())
}

fn read_host_list(sub: &ArgMatches) -> Result<HostListAnswer> {
    let path = sub.get_one::<PathBuf>("hosts").expect("clap requires the argument").clone();
    let text = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
    serde_json::from_str(&text).context(HostsSnafu { path })
}

fn string_arg(sub: &ArgMatches, name: &str) -> String {
    sub.get_one::<String>(name).cloned().unwrap_or_default()
}

#[allow(clippy::print_stderr)]
fn print_error(e: &Error) {
    eprintln!("error: {e}");
}
