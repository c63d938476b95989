//! Clients that read the results of a batch job at their own pace, at machines with little memory.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    common::{BOUNDS, LIMITS},
    daemon::{temporary_folder, Daemon},
    http::{call, request, response, serve, Next},
    json::{base64, Json},
    store::Store,
    Stage,
};

const ITEMS: u64 = 64;
const EVENTS: usize = 20;
const EVENT_BYTES: usize = 600;
/// Clients that read at the same time from one machine, and what each of them reads every 100 ms.
const READERS: u64 = 240;
const PIECE: usize = 6_000;
/// Time that each client allows.
const ALLOWED: Duration = Duration::from_secs(15);
/// Memory of a machine, in MB.
const MEMORY_MB: u64 = 160;
/// Machines that the clients read from, and how often each has to end.
const MACHINES: usize = 2;
const ENDS: usize = 3;
const JOB: &str = "7c41e09b52d6a3f8";

fn start_model_server() -> SocketAddr {
    serve(|req, stream| {
        let id = req.header("x-attempt-id").to_owned();
        if req.path() == "/v1/report" {
            let body = r#"{"Stage":"combined","Models":[{"Name":"m1","Version":1,"Adapters":[]}],"Busy":false,"Sequence":0,"Waiting":0,"Running":0,"born":1700000000000}"#;
            return Next::Send(response(200, &[("X-Attempt-Id", &id)], body.as_bytes()));
        }
        let after: usize = req.header("last-event-id").parse().unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: proof\r\nX-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut bytes = head.into_bytes();
        for n in after + 1..=EVENTS {
            let event = format!("id: {n}\ndata: {}\n\n", "z".repeat(EVENT_BYTES));
            bytes.extend(format!("{:x}\r\n{event}\r\n", event.len()).into_bytes());
        }
        bytes.extend(b"0\r\n\r\n");
        match stream.write_all(&bytes) {
            Ok(()) => Next::Send(Vec::new()),
            Err(_) => Next::Close,
        }
    })
}

/// Reads one page of results. Returns whether it was complete.
fn read_page(front: SocketAddr, is_slow: bool) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(ALLOWED));
    let allowed = ALLOWED.as_millis().to_string();
    let headers =
        [("Host", "shop.example"), ("X-Deadline-Ms", allowed.as_str()), ("Connection", "close")];
    if stream.write_all(&request("GET", &format!("/v1/lots/{JOB}?After=0"), &headers, b"")).is_err()
    {
        return false;
    }
    let (mut buf, mut bytes) = (vec![0; PIECE], Vec::new());
    while let Ok(count) = stream.read(&mut buf) {
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&buf[..count]);
        if is_slow {
            thread::sleep(Duration::from_millis(100));
        }
    }
    bytes.starts_with(b"HTTP/1.1 200") && bytes.ends_with(b"}")
}

pub fn play(stage: &Stage) -> bool {
    let store = Store::start(stage.seed);
    for index in 0..3 {
        let addr = start_model_server();
        store.put("servers", &format!("i-{index}"), &format!(
            r#"{{"Service":"models","Address":"{addr}","Zone":"zone-a","Version":"1","Slots":8,"State":"ready","ColdRemainingMs":0,
            "Sequence":1,"born":1700000000000,"Stage":"combined","Models":[{{"Name":"m1","Version":1,"Adapters":[]}}]}}"#
        ));
    }
    store.put("op", "config", &format!(
        r#"{{"Version":3,"Services":[{{"Name":"models","MaxConnections":96,"Engine":{{"Models":[{{"Name":"m1"}}]}}}}],
        "Routes":[{{"Name":"models","Host":"shop.example","PathPrefix":"/models/","RouteType":"rollout","TargetLatencyMs":500,
        "TargetCompletionMs":7500,"ItemTtlS":100,"MaxAttempts":3,"Priority":0,"Service":"models"}}],"Limits":{LIMITS}}}"#
    ));
    let folder = temporary_folder("slow-pages");
    let settings = format!("{BOUNDS}Limits.MemoryMb={MEMORY_MB}\nLimits.MaxFds=4100\n");
    let mut started = 0;
    let mut start = || {
        started += 1;
        Daemon::start(&stage.root, &folder, started, store.addr, &settings)
    };
    let mut daemons: Vec<_> = (0..=MACHINES).map(|_| start()).collect();
    daemons.iter().for_each(Daemon::wait_until_ready);
    thread::sleep(Duration::from_secs(2));
    submit(&daemons[MACHINES]);
    wait_for_results(stage, &daemons[MACHINES]);
    let mut ends = [0; MACHINES];
    for round in 1..=ENDS {
        let complete = Arc::new(AtomicU64::new(0));
        let readers: Vec<_> = (0..READERS * MACHINES as u64)
            .map(|number| {
                let (front, complete) =
                    (daemons[number as usize % MACHINES].front, Arc::clone(&complete));
                let is_slow = stage.trouble;
                thread::sleep(Duration::from_millis(8));
                thread::spawn(move || {
                    complete.fetch_add(u64::from(read_page(front, is_slow)), Ordering::SeqCst)
                })
            })
            .collect();
        let mut most = [0; MACHINES];
        let mut is_over = [false; MACHINES];
        let until = Instant::now() + ALLOWED;
        while Instant::now() < until && !readers.iter().all(|reader| reader.is_finished()) {
            for index in 0..MACHINES {
                most[index] = most[index].max(daemons[index].rss_mb());
                if most[index] > MEMORY_MB && !is_over[index] {
                    // The platform kills a process that exceeds its memory, and starts it again.
                    is_over[index] = true;
                    ends[index] += 1;
                    daemons[index].signal("KILL");
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        for reader in readers {
            let _ = reader.join();
        }
        stage.record.line(&format!(
            "round {round}: {READERS} clients at each of {MACHINES} machines, {} pages were complete; most memory {most:?} of {MEMORY_MB} MB; over it: {is_over:?}",
            complete.load(Ordering::SeqCst)
        ));
        for index in 0..MACHINES {
            if is_over[index] {
                daemons[index] = start();
                daemons[index].wait_until_ready();
            }
        }
        thread::sleep(Duration::from_secs(1));
    }
    stage.record.line(&format!("ends of processes by machine: {ends:?}"));
    ends.iter().all(|ends| *ends >= ENDS)
}

fn submit(daemon: &Daemon) {
    let items: Vec<_> = (0..ITEMS)
        .map(|n| format!(
            r#"{{"Id":"{n:016x}","Path":"/models/x/{n}","Headers":{{"X-Model":"m1","X-Token-Usage":"10,20"}},"Body":"{}","TokenCount":30,"Group":"g{}"}}"#,
            base64(b"prompt"), n / 8
        ))
        .collect();
    let body = format!(
        r#"{{"Step":0,"Model":"m1","MinVersion":1,"TargetGroups":{},"Requests":[{}]}}"#,
        ITEMS / 8,
        items.join(",")
    );
    let headers = [("Host", "shop.example"), ("X-Attempt-Id", JOB), ("X-Deadline-Ms", "5000")];
    let reply = call(
        daemon.front,
        "POST",
        "/models/7c41e0",
        &headers,
        body.as_bytes(),
        Duration::from_secs(6),
    );
    if !reply.is_ok_and(|reply| reply.status() == 202) {
        crate::cannot_run("the batch job isn't accepted");
    }
}

fn wait_for_results(stage: &Stage, daemon: &Daemon) {
    let until = Instant::now() + Duration::from_secs(15);
    let (mut listed, mut bytes) = (0, 0);
    while listed < ITEMS && Instant::now() < until {
        let target = format!("/v1/lots/{JOB}?After={listed}");
        let reply = call(
            daemon.front,
            "GET",
            &target,
            &[("Host", "shop.example")],
            b"",
            Duration::from_secs(5),
        );
        if let Ok(reply) = reply {
            listed += Json::parse(&reply.text())
                .map_or(0, |page| page.get("Results").list().len() as u64);
            bytes += reply.body.len();
        }
        thread::sleep(Duration::from_millis(50));
    }
    stage.record.line(&format!(
        "{listed} of {ITEMS} results are listed, {bytes} bytes; one page has at most 1 MB"
    ));
    if listed < ITEMS {
        crate::cannot_run("the batch job isn't done");
    }
}
