//! A server leaves without a report while a daemon cannot save the progress of a batch job, as the
//! text that its samples gain between two saves exceeds a row.

use std::{
    collections::BTreeMap,
    io::Write,
    net::TcpStream,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    json::{to_base64, Json},
    net,
    platform::{
        configure, plain_store, reply, resolve, route, sleep_ms, start_daemons, Case, Server,
        Verdict,
    },
    store::Store,
};

const DRAIN_MS: u64 = 2_500;
/// Time for which the server goes on serving once its entry is gone, and then exits.
const SERVES_ON_MS: u64 = 7_000;
const SAMPLES: usize = 112;
const EVENTS: usize = 200;
const EVENT_BYTES: usize = 2_000;
const EVENT_MS: u64 = 12;

fn stream_sample(stream: &mut TcpStream, id: &str, after: usize) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: proof.{id}\r\n\
         X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    for event in after + 1..=EVENTS {
        if !is_open {
            return false;
        }
        sleep_ms(EVENT_MS);
        let text = format!("id: {event}\ndata: {}\n\n", "t".repeat(EVENT_BYTES));
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        is_open = stream.write_all(chunk.as_bytes()).is_ok();
    }
    is_open && stream.write_all(b"0\r\n\r\n").is_ok()
}

fn job() -> Json {
    let samples = (0..SAMPLES).map(|sample| {
        let id = format!("s{sample:03}");
        obj! { "Id" => id.as_str(), "Path" => format!("/models/{id}"),
            "Headers" => obj! { "X-Model" => "m0", "X-Token-Usage" => "16,4000",
                "X-Prompt-Prefix" => "9c2e41:16" },
            "Body" => to_base64(b"prompt"), "TokenCount" => 4016, "Group" => format!("g{}", sample / 8) }
    });
    obj! { "Step" => 0, "Model" => "m0", "MinVersion" => 1, "TargetGroups" => 14,
    "Requests" => samples.collect::<Vec<_>>() }
}

pub fn run(case: &Case) -> Verdict {
    let store = Store::new();
    let models = || vec![obj! { "Name" => "m0", "Version" => 1 }];
    let _engines: Vec<_> = (1..=2)
        .map(|index| {
            let entry = obj! { "Service" => "models", "Zone" => "zone-a", "Slots" => 8,
                "Stage" => "combined", "Models" => models() };
            let case = case.clone();
            Server::start(&store, &format!("model-{index}"), entry, move |req, stream, conn| {
                if req.path() == "/v1/report" {
                    let report = obj! { "Stage" => "combined", "Models" => vec![obj! { "Name" => "m0",
                        "Version" => 1 }], "Busy" => false, "Sequence" => 0 };
                    return reply(stream, 200, "", "", report.to_string().as_bytes());
                }
                let id = req.header("x-attempt-id").to_owned();
                let after = req.header("last-event-id").parse().unwrap_or(0);
                case.note(&format!("{} runs {id} after {after}", conn.server));
                stream_sample(stream, &id, after)
            })
        })
        .collect();
    // When and where each request ran, in ms of the record.
    let runs = Arc::<Mutex<Vec<(u64, String, String)>>>::default();
    let desks: Vec<_> = (1..=3)
        .map(|index| {
            let (runs, case) = (Arc::clone(&runs), case.clone());
            let entry =
                obj! { "Service" => "desk", "Zone" => "zone-a", "Version" => "1", "Slots" => 6 };
            Server::start(&store, &format!("desk-{index}"), entry, move |req, stream, conn| {
                let id = req.header("x-attempt-id").to_owned();
                runs.lock().unwrap().push((case.ms(), conn.server.clone(), id.clone()));
                sleep_ms(120);
                reply(stream, 200, &id, "", b"booked")
            })
        })
        .collect();
    let routes = vec![
        route("models", "rollout", "models", 10_000, 3),
        route("fees", "unsafe", "desk", 2_000, 2),
    ];
    let services = vec![
        obj! { "Name" => "desk" },
        obj! { "Name" => "models", "Engine" => obj! { "Models" => vec![obj! { "Name" => "m0" }] } },
    ];
    configure(&store, 1, routes, services);
    let daemons = start_daemons(case, plain_store(&store), 3)?;
    let entries = resolve(&daemons[0]);
    if entries.is_empty() {
        return Err("the directory names no entries".to_owned());
    }

    let is_over = Arc::new(AtomicBool::new(false));
    let ends = Arc::<Mutex<BTreeMap<String, String>>>::default();
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (case, entries) = (case.clone(), entries.clone());
            let (is_over, ends) = (Arc::clone(&is_over), Arc::clone(&ends));
            thread::spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("f{client}-{number}");
                    let addr = entries[(client + number) % entries.len()];
                    let headers = [
                        ("Host", "shop.example"),
                        ("X-Attempt-Id", &*id),
                        ("X-Deadline-Ms", "2000"),
                    ];
                    let limit = Duration::from_secs(2);
                    let target = format!("/fees/{id}");
                    let reply = net::call(addr, "POST", &target, &headers, b"fee", limit);
                    let end =
                        reply.map_or_else(|e| e.to_string(), |reply| reply.status.to_string());
                    case.note(&format!("{id} at {addr}: {end}"));
                    ends.lock().unwrap().insert(id, end);
                    sleep_ms(150);
                }
            })
        })
        .collect();
    sleep_ms(1_000);
    let headers = [("Host", "shop.example"), ("X-Attempt-Id", "lot1"), ("X-Deadline-Ms", "3000")];
    let body = job().to_string();
    let limit = Duration::from_secs(4);
    let accepted = net::call(entries[0], "POST", "/models/lot1", &headers, body.as_bytes(), limit);
    case.note(&format!("job submitted: {:?}", accepted.as_ref().map(|reply| reply.status)));
    if accepted.map_or(0, |reply| reply.status) != 202 {
        return Err("the job was not accepted".to_owned());
    }
    sleep_ms(5_000);
    let mut removed_ms = None;
    if case.trouble {
        desks[1].unlist();
        removed_ms = Some(case.ms());
        case.note("desk-2 leaves: its entry is removed, the store has confirmed it");
    }
    let removed = Instant::now();
    sleep_ms(SERVES_ON_MS.saturating_sub(removed.elapsed().as_millis() as u64));
    if case.trouble {
        desks[1].crash();
        case.note("desk-2 has exited");
    }
    sleep_ms(1_000);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    let ends = ends.lock().unwrap();
    let mut late = 0;
    for (at, server, id) in runs.lock().unwrap().iter() {
        if server == "desk-2" && removed_ms.is_some_and(|removed| *at > removed + DRAIN_MS) {
            late += 1;
            let end = ends.get(id).map_or("", String::as_str);
            case.note(&format!(
                "{id} reached desk-2 {} ms after its entry was removed; its client got {end}",
                at - removed_ms.unwrap_or(0)
            ));
        }
    }
    case.note(&format!("{late} requests reached the server too late"));
    Ok(late > 0)
}
