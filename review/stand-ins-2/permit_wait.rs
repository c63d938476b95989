//! A server with a request limit that drains while requests wait for their turn at it.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    common::{BOUNDS, LIMITS},
    daemon::{temporary_folder, Daemon},
    http::{call, response, serve, Next},
    store::Store,
    Stage,
};

const SERVERS: usize = 6;
const DAEMONS: u8 = 3;
/// Requests a second that each server takes.
const RATE: &str = "1.0";
const WORK: Duration = Duration::from_millis(100);
/// Time from one request to the next.
const EVERY: Duration = Duration::from_millis(100);
/// When the server begins to leave, and how long it serves after that.
const DRAIN_AT: Duration = Duration::from_secs(14);
const SERVES_ON: Duration = Duration::from_millis(3_600);
const LENGTH: Duration = Duration::from_secs(24);
const DRAIN_MS: Duration = Duration::from_millis(2_500);

struct Arrival {
    server: usize,
    at: Instant,
    id: String,
}

fn entry(index: usize, addr: SocketAddr, state: &str, sequence: u32) -> String {
    format!(
        r#"{{"Service":"desk","Address":"{addr}","Zone":"zone-a","Version":"1","Slots":8,"State":"{state}","ColdRemainingMs":0,"Sequence":{sequence},"born":{}}}"#,
        1_700_000_000_000u64 + index as u64
    )
}

pub fn play(stage: &Stage) -> bool {
    let store = Store::start(stage.seed);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let gone_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let addrs: Vec<_> = (0..SERVERS)
        .map(|server| {
            let (arrivals, gone_at) = (Arc::clone(&arrivals), Arc::clone(&gone_at));
            serve(move |req, _| {
                let id = req.header("x-attempt-id").to_owned();
                let is_gone = || {
                    server == 0 && gone_at.lock().unwrap().is_some_and(|at| Instant::now() >= at)
                };
                arrivals.lock().unwrap().push(Arrival {
                    server,
                    at: Instant::now(),
                    id: id.clone(),
                });
                thread::sleep(WORK);
                if is_gone() {
                    return Next::Close;
                }
                let headers = [
                    ("X-Attempt-Id", id.as_str()),
                    ("X-Response-Signature", "proof"),
                    ("Server-Limit", RATE),
                ];
                Next::Send(response(200, &headers, b"whole"))
            })
        })
        .collect();
    for (index, addr) in addrs.iter().enumerate() {
        store.put("servers", &format!("i-{index}"), &entry(index, *addr, "ready", 1));
    }
    store.put("op", "config", &format!(
        r#"{{"Version":3,"Services":[{{"Name":"desk","MaxConnections":96}}],
        "Routes":[{{"Name":"desk","Host":"shop.example","PathPrefix":"/desk/","RouteType":"unsafe","TimeoutMs":15000,
        "TargetLatencyMs":8000,"MaxAttempts":2,"Priority":2,"Service":"desk"}}],"Limits":{LIMITS}}}"#
    ));
    let folder = temporary_folder("permit-wait");
    let settings = format!("{BOUNDS}Bounds.DrainMs=2500\nBounds.ConfigApplyMs=2500\nBounds.AckTimeoutMs=5000\nBounds.RequireFence=true\n");
    let daemons: Vec<_> = (0..DAEMONS)
        .map(|i| Daemon::start(&stage.root, &folder, i, store.addr, &settings))
        .collect();
    daemons.iter().for_each(Daemon::wait_until_ready);
    thread::sleep(Duration::from_secs(1));
    let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
    let ends: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    let started = Instant::now();
    let (mut number, mut drained_at) = (0usize, None);
    while started.elapsed() < LENGTH {
        number += 1;
        let (front, ends) = (fronts[number % fronts.len()], Arc::clone(&ends));
        thread::spawn(move || {
            let id = format!("{number:016x}");
            let headers = [
                ("Host", "shop.example"),
                ("X-Attempt-Id", id.as_str()),
                ("X-Deadline-Ms", "15000"),
            ];
            let end = call(front, "POST", "/desk/a", &headers, b"x", Duration::from_secs(16));
            let end =
                end.map_or_else(|e| e.kind().to_string(), |message| message.status().to_string());
            ends.lock().unwrap().insert(id, end);
        });
        if stage.trouble && drained_at.is_none() && started.elapsed() >= DRAIN_AT {
            store.put("servers", "i-0", &entry(0, addrs[0], "draining", 2));
            let now = Instant::now();
            drained_at = Some(now);
            *gone_at.lock().unwrap() = Some(now + SERVES_ON);
            stage.record.line("the store accepts that i-0 is draining");
        }
        thread::sleep(EVERY);
    }
    thread::sleep(Duration::from_secs(6));
    let (arrivals, ends) = (arrivals.lock().unwrap(), ends.lock().unwrap());
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    ends.values().for_each(|end| *counts.entry(end).or_default() += 1);
    stage.record.line(&format!("{number} requests were sent; how they ended: {counts:?}"));
    let Some(drained_at) = drained_at else { return false };
    let mut late = 0;
    for arrival in arrivals.iter().filter(|arrival| arrival.server == 0 && arrival.at > drained_at)
    {
        let after = arrival.at - drained_at;
        let end = ends.get(&arrival.id).map_or("no end", String::as_str);
        stage.record.line(&format!(
            "{:.3} s after that i-0 is sent {}, which ends with {end}",
            after.as_secs_f64(),
            arrival.id
        ));
        late += u32::from(after > DRAIN_MS);
    }
    stage.record.line(&format!("{late} of them later than {} ms", DRAIN_MS.as_millis()));
    late > 0
}
