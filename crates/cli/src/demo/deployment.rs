//! In-process deployment of a manifest: daemons and stand-ins on loopback addresses.

use std::{sync::Arc, time::Duration};

use buckthornfall_daemon::{Daemon, DaemonHandle};
use buckthornfall_proto::{
    check,
    manifest::Manifest,
    messages::HostListAnswer,
    settings::{PlatformSettings, Settings},
};
use buckthornfall_standins::{
    engine::{Engine, EngineOptions},
    hosts::HostList,
    objects::Objects,
    server::Server,
    service::{RunCounter, Service, ServiceOptions},
    table::Table,
    weights::WeightStore,
};

use super::{DemoOptions, InjectedFault};
use crate::error::{Error, Result};

/// Text that crashes an engine when a request contains it.
pub const CRASH_TEXT: &str = "[crash]";
/// Loopback address with a port chosen by the system.
const ANY_PORT: &str = "127.0.0.1:0";
const HOST_LIST_LAG: Duration = Duration::from_millis(1500);
const WEIGHT_STORE_BYTES_PER_S: f64 = 20_000_000.0;
const ENTRY_VALID_MS: u32 = 1500;
const STREAM_THREADS: u32 = 256;

/// A running in-process deployment.
pub struct Deployment {
    /// The manifest, with the addresses of the stand-ins.
    pub manifest: Manifest,
    /// The daemons: one in each availability zone, and a second one in the first zone.
    pub daemons: Vec<DaemonHandle>,
    /// The model engines.
    pub engines: Vec<Arc<Engine>>,
    /// The table service.
    pub table: Arc<Table>,
    /// The host list service.
    pub hosts: Arc<HostList>,
    /// The weight store.
    pub weights: Arc<WeightStore>,
    /// Counts the runs of each request of the plain services.
    pub run_counter: Arc<RunCounter>,
    servers: Vec<Server>,
}

fn start_error(e: impl std::fmt::Display) -> Error {
    Error::DemoStart { message: e.to_string() }
}

impl Deployment {
    /// Starts the servers that a manifest names, the platform services and the daemons.
    pub fn start(text: &str, options: &DemoOptions) -> Result<Deployment> {
        let manifest = check::manifest(text).map_err(start_error)?;
        let table = Arc::new(Table::default());
        let objects = Arc::new(Objects::default());
        let hosts = HostList::new(
            HOST_LIST_LAG,
            HostListAnswer { hosts: Vec::new(), leaving_servers: Vec::new() },
        );
        let weights = WeightStore::new(WEIGHT_STORE_BYTES_PER_S, &manifest.store_region);
        let mut deployment = Deployment {
            manifest,
            daemons: Vec::new(),
            engines: Vec::new(),
            table: Arc::clone(&table),
            hosts: Arc::clone(&hosts),
            weights: Arc::clone(&weights),
            run_counter: Arc::new(RunCounter::default()),
            servers: Vec::new(),
        };
        let platform = PlatformSettings {
            table: deployment.add_server(table.serve(ANY_PORT))?,
            objects: deployment.add_server(objects.serve(ANY_PORT))?,
            host_list: deployment.add_server(hosts.serve(ANY_PORT))?,
        };
        let store = deployment.add_server(weights.serve(ANY_PORT))?;
        deployment.start_engines(&store, options)?;
        deployment.start_services(options)?;
        deployment.start_daemons(&platform)?;
        let listed: Vec<_> = deployment.daemons.iter().map(|d| d.listed.clone()).collect();
        deployment.hosts.update(|list| list.hosts = listed);
        Ok(deployment)
    }

    /// Returns the region of an availability zone, or an empty string if the manifest has none.
    pub fn region_of(&self, zone: &str) -> String {
        let region = self.manifest.regions.iter().find(|r| r.zones.iter().any(|z| z == zone));
        region.map_or_else(String::new, |region| region.name.clone())
    }

    /// Keeps a started server running and returns its address.
    fn add_server(
        &mut self,
        server: buckthornfall_standins::server::Result<Server>,
    ) -> Result<String> {
        let server = server.map_err(start_error)?;
        let address = server.address().to_owned();
        self.servers.push(server);
        Ok(address)
    }

    fn start_engines(&mut self, store: &str, options: &DemoOptions) -> Result<()> {
        for i in 0..self.manifest.models.len() {
            let model = self.manifest.models[i].clone();
            for (j, server) in model.servers.iter().enumerate() {
                let engine = Engine::new(
                    EngineOptions {
                        model: model.name.clone(),
                        adapters: model.adapters.clone(),
                        region: self.region_of(&server.zone),
                        zone: server.zone.clone(),
                        slots: server.slots,
                        token_time: options.token_time,
                        checks_fence: server.checks_fence,
                        weight_store: store.to_owned(),
                        crash_text: CRASH_TEXT.to_owned(),
                        latency: options.latency,
                        inject_wrong_answers: options.injected_fault
                            == Some(InjectedFault::WrongAnswers),
                        ..EngineOptions::default()
                    },
                    1,
                );
                let address = self.add_server(engine.serve(ANY_PORT))?;
                self.manifest.models[i].servers[j].address = address;
                self.engines.push(engine);
            }
        }
        Ok(())
    }

    fn start_services(&mut self, options: &DemoOptions) -> Result<()> {
        for i in 0..self.manifest.scoring_services.len() {
            let name = self.manifest.scoring_services[i].name.clone();
            for j in 0..self.manifest.scoring_services[i].servers.len() {
                let options = ServiceOptions { service: name.clone(), ..ServiceOptions::default() };
                let address =
                    self.add_server(Service::new(options, Arc::default()).serve(ANY_PORT))?;
                self.manifest.scoring_services[i].servers[j].address = address;
            }
        }
        for i in 0..self.manifest.plain_services.len() {
            let name = self.manifest.plain_services[i].name.clone();
            for j in 0..self.manifest.plain_services[i].servers.len() {
                let options = ServiceOptions {
                    service: name.clone(),
                    inject_duplicate_runs: options.injected_fault
                        == Some(InjectedFault::DuplicateRuns),
                    ..ServiceOptions::default()
                };
                let service = Service::new(options, Arc::clone(&self.run_counter));
                let address = self.add_server(service.serve(ANY_PORT))?;
                self.manifest.plain_services[i].servers[j].address = address;
            }
        }
        Ok(())
    }

    fn start_daemons(&mut self, platform: &PlatformSettings) -> Result<()> {
        let zones: Vec<_> = self
            .manifest
            .regions
            .iter()
            .flat_map(|region| region.zones.iter().map(|zone| (region.name.clone(), zone.clone())))
            .collect();
        let daemon_zones = zones.iter().chain(zones.first());
        for (i, (region, zone)) in daemon_zones.enumerate() {
            let settings = Settings {
                host: format!("entry-{}", i + 1),
                region: region.clone(),
                zone: zone.clone(),
                listen: ANY_PORT.to_owned(),
                peer_listen: ANY_PORT.to_owned(),
                platform: platform.clone(),
                http_threads: Some(64),
                io_threads: Some(12),
                stream_threads: Some(STREAM_THREADS),
                entry_valid_ms: Some(ENTRY_VALID_MS),
                drain_limit_ms: None,
            };
            self.daemons.push(Daemon::start(settings).map_err(start_error)?);
        }
        Ok(())
    }
}
