//! The platform around the daemons: processes, servers' entries, the record and the time limit.

use std::{
    collections::BTreeMap,
    env,
    fs::{self, File},
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    json::Json,
    net::{self, Req},
    store::{Shown, Store},
};

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
/// After this time the case ends as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(112);
/// Interval at which servers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time after which servers close idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that are still running.
pub fn end_children() {
    for pid in CHILDREN.lock().unwrap().drain(..) {
        // SAFETY: the process was started by this one and has not been waited for.
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

/// What a case reports: whether the rule was broken, or why it could not run.
pub type Verdict = Result<bool, String>;

/// The record of a case and its clock.
#[derive(Clone)]
pub struct Case {
    pub trouble: bool,
    start: Instant,
    record: Arc<Mutex<File>>,
    pub temp: PathBuf,
}

impl Case {
    pub fn start(folder: &Path) -> Case {
        let temp = env::temp_dir().join(format!("buckthornfall-review-{}", process::id()));
        fs::create_dir_all(&temp).expect("a temporary folder");
        let record = File::create(folder.join("record.txt")).expect("the folder is writable");
        thread::spawn(|| {
            thread::sleep(TIME_LIMIT);
            eprintln!("time limit");
            end_children();
            process::exit(2);
        });
        let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
        let (start, record) = (Instant::now(), Arc::new(Mutex::new(record)));
        Case { trouble, start, record, temp }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Adds a line to the record.
    pub fn note(&self, line: &str) {
        let line = format!("{:>9.3} {line}\n", self.start.elapsed().as_secs_f64());
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis() as u64)
}

/// A daemon, started with the command of the deploy file.
pub struct Daemon {
    pub name: String,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Writes the settings of a daemon that calls the store at `store`. `index` starts at 1.
    pub fn new(case: &Case, index: u8, store: SocketAddr, bounds: &str) -> Daemon {
        let [.., high, low] = process::id().to_be_bytes();
        let ip = format!("127.{}.{low}.{index}", 64 | (high & 63));
        let ports: Vec<_> =
            (0..4).map(|_| TcpListener::bind(format!("{ip}:0")).expect("loopback")).collect();
        let addr = |port: usize| ports[port].local_addr().expect("a bound socket");
        let name = format!("front-{index}");
        let text = format!(
            "NodeName={name}\nRole=rollout\nMachineClass=front\nServes=front,directory,control\n\
             Ip={ip}\nZone=zone-a\nRegion=region-a\nZones.zone-a=region-a\n\
             Listen.Front={}\nListen.Ready={}\nListen.Control={}\nListen.Directory={}\n\
             PortRange=7380,7395\nSeeds=\nBootstrap=true\nInTolerance=false\nLimits.CpuShare=0.5\n\
             Limits.Cores=1\nLimits.MemoryMb=290\nLimits.MaxFds=8200\nDiscovery=platform\n\
             Entry=directory\nHeartbeatMs=1200\nFaultTolerance.Machines=1\nBounds.SeedLagS=3\n\
             Bounds.ReuseAfterS=2\nBounds.ContactMs=4000\nBounds.AckTimeoutMs=5000\n\
             Bounds.DrainMs=2500\nBounds.GraceS=8\nBounds.LossSlackMs=200\n\
             Bounds.ConfigApplyMs=2500\nBounds.RecoveryS=12\nBounds.StatusS=120\n\
             Bounds.CancelMs=3000\nBounds.SettleMs=1000\nBounds.LeaseMs=3000\n\
             Bounds.ThawSlackMs=300\nBounds.ttl_max_s=5\nBounds.RequireFence=true\n\
             Provider.Address={store}\nProvider.form=table\nProvider.WritesPerS=800\n\
             Provider.ReadsPerS=2000\nProvider.TxMs=5.0\nProvider.RowBytes=65536\n\
             Provider.Across=false\nProvider.HistoryS=20\n{bounds}",
            addr(0),
            addr(1),
            addr(2),
            addr(3)
        );
        let settings = case.temp.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the temporary folder is writable");
        let (ready, directory) = (addr(1), addr(3));
        let log = case.temp.join(format!("{name}.log"));
        Daemon { name, ready, directory, settings, log, child: None }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let errors = log.try_clone().expect("an open file");
        let child = Command::new("target/release/buckthornfalld")
            .arg("--hosted")
            .env_clear()
            .env("PATH", env::var("PATH").unwrap_or_default())
            .env("BUCKTHORNFALL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("target/release/buckthornfalld can be started");
        CHILDREN.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process was started by this one and has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        let Some(child) = &mut self.child else { return true };
        if matches!(child.try_wait(), Ok(None)) {
            return false;
        }
        let id = child.id();
        CHILDREN.lock().unwrap().retain(|pid| *pid != id);
        self.child = None;
        true
    }

    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        while !self.has_exited() {
            sleep_ms(5);
        }
    }

    pub fn is_ready(&self) -> bool {
        let reply = net::call(self.ready, "GET", "/v1/ready", &[], b"", Duration::from_millis(300));
        reply.is_ok_and(|reply| reply.status == 200)
    }

    pub fn await_ready(&self) -> Result<(), String> {
        for _ in 0..100 {
            if self.is_ready() {
                return Ok(());
            }
            sleep_ms(100);
        }
        Err(format!("{} does not become ready", self.name))
    }
}

/// Asks a directory for the addresses of entries.
pub fn resolve(daemon: &Daemon) -> Vec<SocketAddr> {
    let target = "/v1/resolve?Name=shop.example&Region=region-a&Zone=zone-a";
    let reply = net::call(daemon.directory, "GET", target, &[], b"", Duration::from_secs(1));
    let Some(found) = reply.ok().and_then(|reply| Json::parse(&reply.body)) else {
        return Vec::new();
    };
    let addresses = found.get("Addresses").list().iter();
    addresses.filter_map(|address| address.str().parse().ok()).collect()
}

/// Answers a request on a server's connection; returns whether the connection stays open.
pub type Handler = dyn Fn(&Req, &mut TcpStream, &Conn) -> bool + Send + Sync;

/// A connection to a server.
pub struct Conn {
    pub index: u64,
    pub server: String,
    /// Start time that the server states, in Unix ms.
    pub born: Arc<AtomicU64>,
    /// Bytes that precede the next response on this connection.
    pub pending: Mutex<Vec<u8>>,
}

/// A backend server: a listener and an entry in the store.
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    store: Store,
    entry: Arc<Mutex<Json>>,
    is_up: Arc<AtomicBool>,
    /// Whether the entry is being written.
    is_listed: Arc<AtomicBool>,
    open: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
    born: Arc<AtomicU64>,
}

impl Server {
    pub fn start(
        store: &Store,
        id: &str,
        mut entry: Json,
        handler: impl Fn(&Req, &mut TcpStream, &Conn) -> bool + Send + Sync + 'static,
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let addr = listener.local_addr().expect("a bound socket");
        entry.set("Address", addr.to_string().into());
        entry.set("State", "ready".into());
        entry.set("ColdRemainingMs", 0.into());
        let born = Arc::new(AtomicU64::new(unix_ms()));
        entry.set("born", born.load(Ordering::SeqCst).into());
        let server = Server {
            id: id.to_owned(),
            addr,
            store: store.clone(),
            entry: Arc::new(Mutex::new(entry)),
            is_up: Arc::new(AtomicBool::new(true)),
            is_listed: Arc::new(AtomicBool::new(true)),
            open: Arc::default(),
            born,
        };
        server.write_entries();
        server.accept(listener, Arc::new(handler));
        server
    }

    /// Changes the entry and writes it.
    pub fn update(&self, change: impl FnOnce(&mut Json)) {
        let mut entry = self.entry.lock().unwrap();
        change(&mut entry);
        self.store.put("servers", &self.id, &entry);
    }

    fn write_entries(&self) {
        let (store, id, entry) = (self.store.clone(), self.id.clone(), Arc::clone(&self.entry));
        let (is_up, is_listed) = (Arc::clone(&self.is_up), Arc::clone(&self.is_listed));
        thread::spawn(move || {
            for sequence in 1u64.. {
                if is_up.load(Ordering::SeqCst) && is_listed.load(Ordering::SeqCst) {
                    let mut entry = entry.lock().unwrap();
                    entry.set("Sequence", sequence.into());
                    store.put("servers", &id, &entry);
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn accept(&self, listener: TcpListener, handler: Arc<Handler>) {
        let (addr, id, born) = (self.addr, self.id.clone(), Arc::clone(&self.born));
        let (is_up, open) = (Arc::clone(&self.is_up), Arc::clone(&self.open));
        thread::spawn(move || {
            static NEXT: AtomicU64 = AtomicU64::new(1);
            let mut listener = Some(listener);
            loop {
                if !is_up.load(Ordering::SeqCst) {
                    // A port without a listener resets connections.
                    listener = None;
                    sleep_ms(5);
                    continue;
                }
                let listener = listener.get_or_insert_with(|| loop {
                    match TcpListener::bind(addr) {
                        Ok(listener) => break listener,
                        Err(_) => sleep_ms(20),
                    }
                });
                listener.set_nonblocking(true).expect("a socket");
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                let index = NEXT.fetch_add(1, Ordering::SeqCst);
                stream.set_nonblocking(false).expect("a socket");
                let copy = stream.try_clone().expect("a socket");
                open.lock().unwrap().insert(index, copy);
                let (handler, open, server) = (Arc::clone(&handler), Arc::clone(&open), id.clone());
                let conn =
                    Conn { index, server, born: Arc::clone(&born), pending: Mutex::default() };
                thread::spawn(move || {
                    serve(stream, &conn, &*handler);
                    open.lock().unwrap().remove(&conn.index);
                });
            }
        });
    }

    /// Ends the process of the server; its connections end with it.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for (_, stream) in std::mem::take(&mut *self.open.lock().unwrap()) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Starts the process again under its id.
    pub fn restart(&self) {
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.entry.lock().unwrap().set("born", self.born.load(Ordering::SeqCst).into());
        self.is_up.store(true, Ordering::SeqCst);
        self.update(|_| ());
    }

    /// Takes the entry out of the list; the server goes on serving.
    pub fn unlist(&self) {
        self.is_listed.store(false, Ordering::SeqCst);
        self.store.remove("servers", &self.id);
    }
}

fn serve(mut stream: TcpStream, conn: &Conn, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(req) = net::read_request(&mut reader) {
        let pending = std::mem::take(&mut *conn.pending.lock().unwrap());
        if stream.write_all(&pending).is_err() {
            return;
        }
        let expected = req.header("x-expect-instance");
        let is_open = if !expected.is_empty() && expected != conn.server {
            reply(&mut stream, 421, req.header("x-attempt-id"), "X-Not-Executed: 1\r\n", b"")
        } else {
            handler(&req, &mut stream, conn)
        };
        if !is_open {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

/// Returns the bytes of a server's response. A response to a request without an id has no proof.
pub fn response(status: u16, id: &str, extra: &str, body: &[u8]) -> Vec<u8> {
    let own = match id {
        "" => String::new(),
        id => format!("X-Attempt-Id: {id}\r\nX-Response-Signature: proof.{id}.{status}\r\n"),
    };
    let head = format!(
        "HTTP/1.1 {status} X\r\n{own}{extra}Keep-Alive: timeout=3\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Writes a server's response; returns whether the connection is still open.
pub fn reply(stream: &mut TcpStream, status: u16, id: &str, extra: &str, body: &[u8]) -> bool {
    stream.write_all(&response(status, id, extra, body)).is_ok()
}

/// Returns an address of the store that shows the servers' own addresses.
pub fn plain_store(store: &Store) -> SocketAddr {
    store.listen(&Shown::default())
}

/// Returns a route of the desired state.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u64) -> Json {
    obj! { "Name" => name, "Host" => "shop.example", "PathPrefix" => format!("/{name}/"),
    "RouteType" => kind, "TimeoutMs" => timeout_ms, "TargetLatencyMs" => 200,
    "TargetCompletionMs" => 7_500, "ItemTtlS" => 40, "MaxAttempts" => attempts,
    "Priority" => 1, "Service" => service }
}

/// Writes a desired state.
pub fn configure(store: &Store, version: u64, routes: Vec<Json>, services: Vec<Json>) {
    let limits = obj! { "MaxHeaderBytes" => 16_384, "MaxBodyBytes" => 33_554_432,
    "HeaderTimeoutMs" => 3_000, "IdleTimeoutMs" => 15_000 };
    let state = obj! { "Version" => version, "Routes" => routes, "Services" => services,
    "Limits" => limits };
    store.put("op", "config", &state);
}

/// Starts daemons with one store and waits until they are ready and in touch.
pub fn start_daemons(case: &Case, store: SocketAddr, count: u8) -> Result<Vec<Daemon>, String> {
    let mut daemons: Vec<_> =
        (1..=count).map(|index| Daemon::new(case, index, store, "")).collect();
    daemons.iter_mut().for_each(Daemon::start);
    for daemon in &daemons {
        daemon.await_ready()?;
        case.note(&format!("{} is ready, pid {}", daemon.name, daemon.pid()));
    }
    sleep_ms(4_500);
    Ok(daemons)
}
