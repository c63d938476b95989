//! Daemons and stand-ins for one manifest, on loopback addresses.

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

use super::{Broken, DemoOptions};
use crate::error::{Error, Result};

/// Text in a request that crashes engines.
pub const CRASH_TEXT: &str = "[crash]";
/// Any free loopback address.
const ANY: &str = "127.0.0.1:0";
const HOST_LIST_LAG: Duration = Duration::from_millis(1500);
const WEIGHT_STORE_BYTES_PER_S: f64 = 20_000_000.0;
const ENTRY_VALID_MS: u32 = 1500;
const STREAM_THREADS: u32 = 256;

/// A running deployment.
pub struct Deployment {
    /// The manifest, with the addresses of the stand-ins.
    pub manifest: Manifest,
    /// The daemons, one in each availability zone and one more.
    pub daemons: Vec<DaemonHandle>,
    /// The model engines.
    pub engines: Vec<Arc<Engine>>,
    /// The table service.
    pub table: Arc<Table>,
    /// The host list.
    pub hosts: Arc<HostList>,
    /// The weight store.
    pub weights: Arc<WeightStore>,
    /// Runs of the plain service.
    pub ledger: Arc<RunCounter>,
    servers: Vec<Server>,
}

fn start_error(e: impl std::fmt::Display) -> Error {
    Error::DemoStart { message: e.to_string() }
}

impl Deployment {
    /// Starts everything that a manifest names.
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
            ledger: Arc::new(RunCounter::default()),
            servers: Vec::new(),
        };
        let platform = PlatformSettings {
            table: deployment.add(table.serve(ANY))?,
            objects: deployment.add(objects.serve(ANY))?,
            host_list: deployment.add(hosts.serve(ANY))?,
        };
        let store = deployment.add(weights.serve(ANY))?;
        deployment.start_engines(&store, options)?;
        deployment.start_services(options)?;
        deployment.start_daemons(&platform)?;
        let listed: Vec<_> = deployment.daemons.iter().map(|d| d.listed.clone()).collect();
        deployment.hosts.update(|list| list.hosts = listed);
        Ok(deployment)
    }

    /// Region of an availability zone; empty if there is none.
    pub fn region_of(&self, zone: &str) -> String {
        let region = self.manifest.regions.iter().find(|r| r.zones.iter().any(|z| z == zone));
        region.map_or_else(String::new, |region| region.name.clone())
    }

    fn add(&mut self, server: buckthornfall_standins::server::Result<Server>) -> Result<String> {
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
                        token_time: options.token,
                        checks_fence: server.checks_fence,
                        weight_store: store.to_owned(),
                        crash_text: CRASH_TEXT.to_owned(),
                        latency: options.latency,
                        inject_wrong_answers: options.broken == Some(Broken::Answers),
                        ..EngineOptions::default()
                    },
                    1,
                );
                let address = self.add(engine.serve(ANY))?;
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
                let address = self.add(Service::new(options, Arc::default()).serve(ANY))?;
                self.manifest.scoring_services[i].servers[j].address = address;
            }
        }
        for i in 0..self.manifest.plain_services.len() {
            let name = self.manifest.plain_services[i].name.clone();
            for j in 0..self.manifest.plain_services[i].servers.len() {
                let options = ServiceOptions {
                    service: name.clone(),
                    inject_duplicate_runs: options.broken == Some(Broken::Ledger),
                    ..ServiceOptions::default()
                };
                let service = Service::new(options, Arc::clone(&self.ledger));
                let address = self.add(service.serve(ANY))?;
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
        let places = zones.iter().chain(zones.first());
        for (i, (region, zone)) in places.enumerate() {
            let settings = Settings {
                host: format!("entry-{}", i + 1),
                region: region.clone(),
                zone: zone.clone(),
                listen: ANY.to_owned(),
                peer_listen: ANY.to_owned(),
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
