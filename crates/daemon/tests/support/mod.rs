//! Daemon processes, with the stand-ins running in the test's own process.

use std::{
    fs,
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::Duration,
};

use buckthornfall_client::{Client, ClientOptions};
use buckthornfall_proto::{
    check,
    manifest::Manifest,
    messages::{CommitRequest, HostListAnswer, HostState, ListedHost, StatusAnswer},
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
use rustix::process::{kill_process, Pid, Signal};

const ANY_PORT: &str = "127.0.0.1:0";
const EXAMPLE_MANIFEST: &str = include_str!("../../../../examples/gedel.json");
pub const OPERATOR_TOKEN: &str = "token-of-pipeline";

/// A daemon process.
pub struct Process {
    pub listed: ListedHost,
    child: Child,
}

impl Process {
    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, Signal::TERM).expect("the process is running");
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is running");
    }

    /// Waits for the process to exit; returns whether it exited with status 0.
    pub fn exits_successfully(&mut self) -> bool {
        self.child.wait().expect("the process was started").success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The stand-ins and the daemon processes of a test.
pub struct Cluster {
    pub manifest: Manifest,
    pub processes: Vec<Process>,
    pub engines: Vec<Arc<Engine>>,
    pub table: Arc<Table>,
    pub hosts: Arc<HostList>,
    pub ledger: Arc<RunCounter>,
    platform: PlatformSettings,
    name: String,
    _servers: Vec<Server>,
}

impl Cluster {
    /// Starts the stand-ins for the example manifest and `daemons` daemon processes.
    pub fn start(name: &str, daemons: usize, token_time: Duration) -> Cluster {
        let mut manifest = check::manifest(EXAMPLE_MANIFEST).expect("the example is valid");
        let table = Arc::new(Table::default());
        let hosts = HostList::new(
            Duration::ZERO,
            HostListAnswer { hosts: Vec::new(), leaving_servers: Vec::new() },
        );
        let mut servers = Vec::new();
        let mut add = |server: buckthornfall_standins::server::Result<Server>| {
            let server = server.expect("a loopback port is free");
            let address = server.address().to_owned();
            servers.push(server);
            address
        };
        let platform = PlatformSettings {
            table: add(table.serve(ANY_PORT)),
            objects: add(Arc::new(Objects::default()).serve(ANY_PORT)),
            host_list: add(hosts.serve(ANY_PORT)),
        };
        let store = add(WeightStore::new(1e9, "addis").serve(ANY_PORT));
        let mut engines = Vec::new();
        let adapters = manifest.models[0].adapters.clone();
        for server in &mut manifest.models[0].servers {
            let options = EngineOptions {
                adapters: adapters.clone(),
                slots: server.slots,
                token_time,
                checks_fence: server.checks_fence,
                weight_store: store.clone(),
                ..EngineOptions::default()
            };
            let engine = Engine::new(options, 1);
            server.address = add(engine.serve(ANY_PORT));
            engines.push(engine);
        }
        let ledger = Arc::new(RunCounter::default());
        let options = ServiceOptions::default();
        for server in &mut manifest.scoring_services[0].servers {
            server.address = add(Service::new(options.clone(), Arc::default()).serve(ANY_PORT));
        }
        for server in &mut manifest.plain_services[0].servers {
            server.address =
                add(Service::new(options.clone(), Arc::clone(&ledger)).serve(ANY_PORT));
        }
        let mut cluster = Cluster {
            manifest,
            processes: Vec::new(),
            engines,
            table,
            hosts,
            ledger,
            platform,
            name: name.to_owned(),
            _servers: servers,
        };
        for index in 0..daemons {
            cluster.add_process(index);
        }
        cluster.commit();
        cluster
    }

    fn add_process(&mut self, index: usize) {
        let settings = Settings {
            host: format!("entry-{index}"),
            region: "addis".to_owned(),
            zone: "addis-bole".to_owned(),
            listen: ANY_PORT.to_owned(),
            peer_listen: ANY_PORT.to_owned(),
            platform: self.platform.clone(),
            http_threads: Some(32),
            io_threads: Some(8),
            stream_threads: Some(128),
            entry_valid_ms: Some(1000),
            drain_limit_ms: None,
        };
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = directory.join(format!("{}-{index}.json", self.name));
        let text = serde_json::to_string(&settings).expect("settings serialize to JSON");
        fs::write(&file, text).expect("the test directory is writable");
        let mut child = Command::new(env!("CARGO_BIN_EXE_buckthornfalld"))
            .arg("--settings")
            .arg(file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let stderr = child.stderr.take().expect("stderr is piped");
        let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
        let started = lines
            .find(|line| line.contains("event=started"))
            .expect("the daemon logs that it started");
        thread::spawn(move || lines.for_each(drop));
        let field = |name: &str| {
            let parts = started.split(' ').filter_map(|part| part.split_once('='));
            parts
                .filter(|(key, _)| *key == name)
                .map(|(_, v)| v.to_owned())
                .next()
                .expect("the start event has the field")
        };
        let listed = ListedHost {
            host: settings.host,
            zone: settings.zone,
            region: settings.region,
            address: field("address"),
            peer_address: field("peers"),
            state: HostState::Live,
        };
        self.hosts.update(|list| list.hosts.push(listed.clone()));
        self.processes.push(Process { listed, child });
    }

    /// Commits the manifest and waits until every daemon sees all daemons and servers as ready.
    fn commit(&self) {
        let client = self.client(OPERATOR_TOKEN);
        let manifest = serde_json::to_value(&self.manifest).expect("a manifest serializes to JSON");
        let body = serde_json::to_vec(&CommitRequest { base_revision: 0, manifest })
            .expect("messages serialize to JSON");
        let address = &self.processes[0].listed.address;
        let reply = client.post_to(address, "/v1/manifest", &body).expect("the daemon responds");
        assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
        for process in &self.processes {
            while !self.is_ready(&client, &process.listed.address) {
                thread::yield_now();
            }
        }
    }

    fn is_ready(&self, client: &Client, address: &str) -> bool {
        let Ok(reply) = client.get_from(address, "/v1/status") else { return false };
        let Ok(status) = serde_json::from_slice::<StatusAnswer>(&reply.body) else { return false };
        let ready = status.servers.iter().filter(|server| server.state == "ready").count();
        let alive = status.peers.iter().filter(|peer| peer.alive).count();
        ready == self.engines.len() + 5 && alive == self.processes.len()
    }

    /// Returns the options of a client that authenticates with `token`.
    pub fn options(&self, token: &str) -> ClientOptions {
        ClientOptions {
            daemons: self.processes.iter().map(|p| p.listed.address.clone()).collect(),
            token: token.to_owned(),
            ..ClientOptions::default()
        }
    }

    /// Returns a client that authenticates with `token`.
    pub fn client(&self, token: &str) -> Client {
        Client::new(self.options(token))
    }

    /// Waits until the table has a lease holder of a role, and returns its process.
    pub fn holder(&mut self, role: &str) -> &mut Process {
        let key = format!("lease/{role}");
        let host = loop {
            let rows = self.table.rows(&key);
            let row = rows
                .iter()
                .filter(|row| row.key == key)
                .find_map(|row| serde_json::from_str::<serde_json::Value>(&row.value).ok());
            let holder = row.and_then(|row| row["holder"].as_str().map(str::to_owned));
            match holder.as_deref().and_then(|holder| holder.split_once('#')) {
                Some((host, _)) => break host.to_owned(),
                None => thread::yield_now(),
            }
        };
        let holds = |process: &&mut Process| process.listed.host == host;
        self.processes.iter_mut().find(holds).expect("the holder is one of the processes")
    }

    /// Waits until the table has a row under a prefix.
    pub fn wait_for_row(&self, prefix: &str) {
        while self.table.rows(prefix).is_empty() {
            thread::yield_now();
        }
    }
}
