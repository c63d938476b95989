//! A request that crashes each server that begins to run it, beside the usual traffic.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{BufReader, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    common::{BOUNDS, LIMITS},
    daemon::{temporary_folder, Daemon},
    http::{call, read_message, response},
    store::Store,
    Stage,
};

const SERVERS: usize = 3;
const DAEMONS: u8 = 3;
/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(60);
/// When the request that crashes servers first comes, and the time from one client attempt to the next.
const POISON_FROM: Duration = Duration::from_secs(5);
const POISON_EVERY: Duration = Duration::from_millis(4_000);
/// Time for which a crashed server is away.
const AWAY: Duration = Duration::from_millis(3_000);
const CONTACT: Duration = Duration::from_millis(4_000);
const USUAL_EVERY: Duration = Duration::from_millis(7);
const WORK: Duration = Duration::from_millis(25);

/// A server that may crash. It comes back under its id and address, as another start.
struct Server {
    id: String,
    addr: SocketAddr,
    boot: AtomicU64,
    is_away: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

struct Crash {
    at: Duration,
    attempt: String,
}

#[derive(Default)]
struct Log {
    crashes: Vec<Crash>,
    lines: Vec<String>,
}

/// How the requests look.
#[derive(Clone, Copy, PartialEq)]
pub enum Kind {
    /// POST requests that differ in their bodies, on an `unsafe` route.
    Bodies,
    /// GET requests that differ in their queries, on a `safe` route.
    Queries,
}

impl Kind {
    fn route(self) -> &'static str {
        match self {
            Kind::Bodies => "unsafe",
            Kind::Queries => "safe",
        }
    }

    /// Returns the method, target and body of the request for a record.
    fn request(self, record: &str) -> (&'static str, String, String) {
        match self {
            Kind::Bodies => ("POST", "/desk/lookup".to_owned(), format!("record {record}")),
            Kind::Queries => ("GET", format!("/desk/lookup?record={record}"), String::new()),
        }
    }
}

pub fn play(stage: &Stage, kind: Kind) -> bool {
    let store = Store::start(stage.seed);
    let started = Instant::now();
    let log: Arc<Mutex<Log>> = Arc::default();
    for index in 0..SERVERS {
        start_server(stage.trouble, index, &store, &log, started);
    }
    store.put("op", "config", &format!(
        r#"{{"Version":3,"Services":[{{"Name":"desk","MaxConnections":96}}],
        "Routes":[{{"Name":"desk","Host":"shop.example","PathPrefix":"/desk/","RouteType":"{}","TimeoutMs":2000,
        "TargetLatencyMs":200,"MaxAttempts":2,"Priority":2,"Service":"desk"}}],"Limits":{LIMITS}}}"#, kind.route()));
    let folder = temporary_folder("poison");
    let daemons: Vec<_> =
        (0..DAEMONS).map(|i| Daemon::start(&stage.root, &folder, i, store.addr, BOUNDS)).collect();
    daemons.iter().for_each(Daemon::wait_until_ready);
    let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
    let from = started.elapsed();
    stage.record.line("the daemons are ready; the usual traffic begins");
    let ends: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let end = Instant::now() + LENGTH;
    let usual = {
        let (fronts, ends) = (fronts.clone(), Arc::clone(&ends));
        thread::spawn(move || {
            let mut number = 0u64;
            while Instant::now() < end {
                number += 1;
                send(
                    fronts[number as usize % fronts.len()],
                    format!("{number:016x}"),
                    kind.request(&number.to_string()),
                    &ends,
                    "usual",
                );
                thread::sleep(USUAL_EVERY);
            }
        })
    };
    thread::sleep(POISON_FROM);
    let mut number = 0u64;
    while Instant::now() < end {
        number += 1;
        send(
            fronts[number as usize % fronts.len()],
            format!("bad{number:013x}"),
            kind.request("bad"),
            &ends,
            "poison",
        );
        thread::sleep(POISON_EVERY);
    }
    let _ = usual.join();
    thread::sleep(Duration::from_secs(3));
    let log = log.lock().unwrap();
    for line in &log.lines {
        stage.record.line(line);
    }
    stage.record.line(&format!("how client attempts ended: {:?}", ends.lock().unwrap()));
    let Some(third) = log.crashes.get(2).map(|crash| crash.at) else {
        stage.record.line(&format!("{} crashes", log.crashes.len()));
        if stage.trouble {
            crate::cannot_run("the request didn't crash three servers")
        }
        return false;
    };
    let late: BTreeSet<_> = log
        .crashes
        .iter()
        .filter(|crash| crash.at > third + CONTACT)
        .map(|crash| &crash.attempt)
        .collect();
    stage.record.line(&format!(
        "{} crashes, the first at {:.3} s and the third at {:.3} s (traffic from {:.3} s); {} client attempts reached servers later than {} ms after the third",
        log.crashes.len(), log.crashes[0].at.as_secs_f64(), third.as_secs_f64(), from.as_secs_f64(), late.len(), CONTACT.as_millis()
    ));
    late.len() > 3
}

/// Sends a request in a thread of its own.
fn send(
    front: SocketAddr,
    id: String,
    (method, target, body): (&'static str, String, String),
    ends: &Arc<Mutex<BTreeMap<String, u64>>>,
    kind: &'static str,
) {
    let ends = Arc::clone(ends);
    thread::spawn(move || {
        let headers =
            [("Host", "shop.example"), ("X-Attempt-Id", id.as_str()), ("X-Deadline-Ms", "2000")];
        let end = call(front, method, &target, &headers, body.as_bytes(), Duration::from_secs(4));
        let end = end.map_or_else(
            |e| format!("{kind}: {:?}", e.kind()),
            |m| format!("{kind}: {}", m.status()),
        );
        *ends.lock().unwrap().entry(end).or_default() += 1;
    });
}

fn start_server(
    trouble: bool,
    index: usize,
    store: &Store,
    log: &Arc<Mutex<Log>>,
    started: Instant,
) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
    let server = Arc::new(Server {
        id: format!("i-{index}"),
        addr: listener.local_addr().expect("a bound socket"),
        boot: AtomicU64::new(0),
        is_away: AtomicBool::new(false),
        open: Mutex::default(),
    });
    register(store, &server);
    let (store, log) = (store.clone(), Arc::clone(log));
    thread::spawn(move || {
        let mut listener = Some(listener);
        loop {
            if server.is_away.load(Ordering::SeqCst) {
                // A port without a listener refuses connections.
                listener = None;
                thread::sleep(Duration::from_millis(2));
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(server.addr).ok();
                if listener.is_some() {
                    register(&store, &server);
                }
            }
            let Some(accepting) = &listener else { continue };
            let _ = accepting.set_nonblocking(true);
            let Ok((stream, _)) = accepting.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
            if let Ok(open) = stream.try_clone() {
                server.open.lock().unwrap().push(open);
            }
            let (server, log) = (Arc::clone(&server), Arc::clone(&log));
            thread::spawn(move || serve(trouble, stream, &server, &log, started));
        }
    });
}

fn register(store: &Store, server: &Server) {
    let boot = server.boot.load(Ordering::SeqCst);
    store.put("servers", &server.id, &format!(
        r#"{{"Service":"desk","Address":"{}","Zone":"zone-a","Version":"1","Slots":8,"State":"ready","ColdRemainingMs":0,"Sequence":1,"born":{}}}"#,
        server.addr, 1_700_000_000_000 + boot * 1_000
    ));
}

fn serve(
    trouble: bool,
    mut stream: TcpStream,
    server: &Arc<Server>,
    log: &Arc<Mutex<Log>>,
    started: Instant,
) {
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reading);
    let mut count = 0;
    while let Ok(req) = read_message(&mut reader, false) {
        count += 1;
        let id = req.header("x-attempt-id").to_owned();
        if trouble && id.starts_with("bad") {
            let at = started.elapsed();
            let mut log = log.lock().unwrap();
            log.crashes.push(Crash { at, attempt: id.clone() });
            log.lines.push(format!(
                "{:.3} s: {} begins to run {id}, request {count} on its connection, and crashes",
                at.as_secs_f64(),
                server.id
            ));
            drop(log);
            crash(server);
            return;
        }
        thread::sleep(WORK);
        let headers = [("X-Attempt-Id", id.as_str()), ("X-Response-Signature", "proof")];
        if stream.write_all(&response(200, &headers, b"whole")).is_err() {
            return;
        }
    }
}

fn crash(server: &Arc<Server>) {
    if server.is_away.swap(true, Ordering::SeqCst) {
        return;
    }
    for stream in server.open.lock().unwrap().drain(..) {
        let _ = stream.shutdown(Shutdown::Both);
    }
    let server = Arc::clone(server);
    thread::spawn(move || {
        thread::sleep(AWAY);
        server.boot.fetch_add(1, Ordering::SeqCst);
        server.is_away.store(false, Ordering::SeqCst);
    });
}
