//! A run of a sample fails once, and a copy of that answer comes late, when the sample is run again on
//! the same connection.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use crate::{
    json::{to_base64, Json},
    net,
    platform::{
        configure, plain_store, reply, resolve, response, route, sleep_ms, start_daemons, Case,
        Server, Verdict,
    },
    store::Store,
};

const MAX_ATTEMPTS: usize = 2;
const SERVERS: usize = 6;
const SAMPLES_PER_JOB: usize = 18;
const JOBS: usize = 3;
const EVENTS: usize = 20;
/// Time until the first event of a run, and between events.
const PREFILL_MS: u64 = 150;
const EVENT_MS: u64 = 20;

fn event_data(sample: &str, event: usize) -> String {
    format!("{sample}.{event:03}")
}

/// Streams the events after `after`.
fn stream_sample(stream: &mut TcpStream, id: &str, after: usize) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: proof.{id}\r\n\
         X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    sleep_ms(10);
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    sleep_ms(PREFILL_MS);
    for event in after + 1..=EVENTS {
        sleep_ms(EVENT_MS);
        let text = format!("id: {event}\ndata: {}\n\n", event_data(id, event));
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        is_open = is_open && stream.write_all(chunk.as_bytes()).is_ok();
    }
    is_open && stream.write_all(b"0\r\n\r\n").is_ok()
}

fn job(index: usize) -> Json {
    let samples = (0..SAMPLES_PER_JOB).map(|sample| {
        let id = format!("j{index}-s{sample:02}");
        obj! { "Id" => id.as_str(), "Path" => format!("/models/{id}"),
        "Headers" => obj! { "X-Model" => "m0", "X-Token-Usage" => "16,20",
            "X-Prompt-Prefix" => "9c2e41:16" },
        "Body" => to_base64(b"prompt"), "TokenCount" => 36, "Group" => format!("g{}", sample / 4) }
    });
    obj! { "Step" => index as u64, "Model" => "m0", "MinVersion" => 1, "TargetGroups" => 4,
    "Requests" => samples.collect::<Vec<_>>() }
}

/// Submits a job until it is accepted.
fn submit(case: &Case, entries: &[SocketAddr], id: &str, body: &Json) -> Result<(), String> {
    let headers = [("Host", "shop.example"), ("X-Attempt-Id", id), ("X-Deadline-Ms", "3000")];
    for attempt in 0..10 {
        let addr = entries[attempt % entries.len()];
        let body = body.to_string();
        let limit = Duration::from_secs(4);
        let target = format!("/models/{id}");
        let reply = net::call(addr, "POST", &target, &headers, body.as_bytes(), limit);
        let status = reply.map_or(0, |reply| reply.status);
        case.note(&format!("job {id} submitted at {addr}: {status}"));
        if status == 202 {
            return Ok(());
        }
        sleep_ms(200);
    }
    Err("a job was not accepted".to_owned())
}

/// Reads all results of a job.
fn results(entries: &[SocketAddr], id: &str) -> Result<Vec<Json>, String> {
    let mut all: Vec<Json> = Vec::new();
    let started = Instant::now();
    let headers = [("Host", "shop.example"), ("X-Wait-Ms", "1000"), ("X-Deadline-Ms", "3000")];
    while all.len() < SAMPLES_PER_JOB {
        if started.elapsed() > Duration::from_secs(25) {
            return Err(format!("only {} results of {id}", all.len()));
        }
        let target = format!("/v1/lots/{id}?After={}", all.len());
        let limit = Duration::from_secs(4);
        let reply = net::call(entries[0], "GET", &target, &headers, b"", limit);
        if let Some(page) = reply.ok().and_then(|reply| Json::parse(&reply.body)) {
            all.extend_from_slice(page.get("Results").list());
        }
        sleep_ms(100);
    }
    Ok(all)
}

pub fn run(case: &Case) -> Verdict {
    let store = Store::new();
    // Statuses that servers answered to the runs of each sample.
    let answers = Arc::<Mutex<BTreeMap<String, Vec<u16>>>>::default();
    let has_failed = Arc::new(AtomicBool::new(false));
    let _servers: Vec<_> = (1..=SERVERS)
        .map(|index| {
            let (answers, case) = (Arc::clone(&answers), case.clone());
            let has_failed = Arc::clone(&has_failed);
            let models = vec![obj! { "Name" => "m0", "Version" => 1 }];
            let entry = obj! { "Service" => "models", "Zone" => "zone-a", "Slots" => 8,
            "Stage" => "combined", "Models" => models };
            Server::start(&store, &format!("model-{index}"), entry, move |req, stream, conn| {
                if req.path() == "/v1/report" {
                    let models = vec![obj! { "Name" => "m0", "Version" => 1 }];
                    let report = obj! { "Stage" => "combined", "Models" => models,
                    "Busy" => false, "Sequence" => 0 };
                    return reply(stream, 200, "", "", report.to_string().as_bytes());
                }
                let id = req.header("x-attempt-id").to_owned();
                let run = answers.lock().unwrap().get(&id).map_or(0, Vec::len);
                // One run fails, the first one at this server.
                let fails = conn.server == "model-1" && !has_failed.swap(true, Ordering::SeqCst);
                let status = if fails { 500 } else { 200 };
                answers.lock().unwrap().entry(id.clone()).or_default().push(status);
                let after = req.header("last-event-id").parse().unwrap_or(0);
                case.note(&format!(
                    "{} runs {id}, run {}, connection {}, after {after}: {status}",
                    conn.server,
                    run + 1,
                    conn.index
                ));
                if !fails {
                    return stream_sample(stream, &id, after);
                }
                sleep_ms(10);
                let answer = response(500, &id, "", b"failed");
                if case.trouble {
                    let index = conn.index;
                    case.note(&format!(
                        "a copy of this answer will come late on connection {index}"
                    ));
                    *conn.pending.lock().unwrap() = answer.clone();
                }
                stream.write_all(&answer).is_ok()
            })
        })
        .collect();
    let routes = vec![route("models", "rollout", "models", 10_000, MAX_ATTEMPTS as u64)];
    let services = vec![
        obj! { "Name" => "models", "Engine" => obj! { "Models" => vec![obj! { "Name" => "m0" }] } },
    ];
    configure(&store, 1, routes, services);
    let daemons = start_daemons(case, plain_store(&store), 3)?;
    let entries = resolve(&daemons[0]);
    if entries.is_empty() {
        return Err("the directory names no entries".to_owned());
    }

    let mut is_broken = false;
    for index in 0..JOBS {
        let id = format!("job{index}");
        submit(case, &entries, &id, &job(index))?;
        for result in results(&entries, &id)? {
            let sample = result.get("Id").str().to_owned();
            let state = result.get("State").str();
            let whole: Vec<_> = (1..=EVENTS).map(|event| event_data(&sample, event)).collect();
            let failures = answers
                .lock()
                .unwrap()
                .get(&sample)
                .map_or(0, |statuses| statuses.iter().filter(|status| **status == 500).count());
            let is_early = state == "errored" && failures < MAX_ATTEMPTS;
            let is_wrong = state == "completed" && result.get("Output").str() != whole.join("\n");
            case.note(&format!(
                "result {sample}: {state}, answers of 500: {failures}, errored too early: {is_early}, \
                 wrong text: {is_wrong}"
            ));
            is_broken |= is_early || is_wrong;
        }
    }
    Ok(is_broken)
}
