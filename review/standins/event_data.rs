//! A release: model servers are replaced one after the other by ones of another software version, whose
//! events hold words with the space before them.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{atomic::Ordering, Arc, Mutex},
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

const SERVERS: usize = 4;
const SAMPLES: usize = 12;
const EVENTS: usize = 16;
const DRAIN_MS: u64 = 2_500;

/// Data of an event: with software 2, words but the first have the space before them.
fn event_data(software: &str, event: usize) -> String {
    let words = ["the", "trench", "is", "licensed", "until", "may"];
    let word = words[(event - 1) % words.len()];
    if software == "2" && event > 1 {
        format!(" {word}")
    } else {
        word.to_owned()
    }
}

fn stream_sample(stream: &mut TcpStream, id: &str, software: &str, after: usize) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: proof.{id}\r\n\
         X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    for event in after + 1..=EVENTS {
        sleep_ms(20);
        let text = format!("id: {event}\ndata: {}\n\n", event_data(software, event));
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        is_open = is_open && stream.write_all(chunk.as_bytes()).is_ok();
    }
    is_open && stream.write_all(b"0\r\n\r\n").is_ok()
}

fn job(index: usize) -> Json {
    let samples = (0..SAMPLES).map(|sample| {
        let id = format!("j{index}-s{sample:02}");
        let headers =
            obj! { "X-Model" => "m0", "X-Token-Usage" => "16,20", "X-Prompt-Prefix" => "9c2e41:16" };
        obj! { "Id" => id.as_str(), "Path" => format!("/models/{id}"), "Headers" => headers,
        "Body" => to_base64(b"prompt"), "TokenCount" => 36, "Group" => format!("g{}", sample / 4) }
    });
    let samples: Vec<_> = samples.collect();
    obj! { "Step" => index as u64, "Model" => "m0", "MinVersion" => 1, "TargetGroups" => 3,
    "Requests" => samples }
}

fn results(entries: &[SocketAddr], id: &str) -> Result<Vec<Json>, String> {
    let mut all: Vec<Json> = Vec::new();
    let started = Instant::now();
    let headers = [("Host", "shop.example"), ("X-Wait-Ms", "1000"), ("X-Deadline-Ms", "3000")];
    while all.len() < SAMPLES {
        if started.elapsed() > Duration::from_secs(20) {
            return Err(format!("only {} results of {id}", all.len()));
        }
        let target = format!("/v1/lots/{id}?After={}", all.len());
        let reply = net::call(entries[0], "GET", &target, &headers, b"", Duration::from_secs(4));
        if let Some(page) = reply.ok().and_then(|reply| Json::parse(&reply.body)) {
            all.extend_from_slice(page.get("Results").list());
        }
        sleep_ms(100);
    }
    Ok(all)
}

pub fn run(case: &Case) -> Verdict {
    let store = Store::new();
    // Software version of the servers that streamed each sample.
    let made_by = Arc::<Mutex<BTreeMap<String, String>>>::default();
    let start = |index: usize, software: &'static str| {
        let (made_by, case) = (Arc::clone(&made_by), case.clone());
        let models = || vec![obj! { "Name" => "m0", "Version" => 1 }];
        let entry = obj! { "Service" => "models", "Zone" => "zone-a", "Version" => software,
        "Slots" => 8, "Stage" => "combined", "Models" => models() };
        let id = format!("model-{index}-{software}");
        case.note(&format!("{id} starts"));
        Server::start(&store, &id, entry, move |req, stream, conn| {
            if req.path() == "/v1/report" {
                let report = obj! { "Stage" => "combined", "Models" => models(), "Busy" => false,
                "Sequence" => 0, "born" => conn.born.load(Ordering::SeqCst) };
                return reply(stream, 200, "", "", report.to_string().as_bytes());
            }
            let id = req.header("x-attempt-id").to_owned();
            let after = req.header("last-event-id").parse().unwrap_or(0);
            case.note(&format!("{} runs {id} after {after}", conn.server));
            made_by.lock().unwrap().insert(id.clone(), software.to_owned());
            stream_sample(stream, &id, software, after)
        })
    };
    let mut servers: Vec<_> = (0..SERVERS).map(|index| start(index, "1")).collect();
    let routes = vec![route("models", "rollout", "models", 10_000, 3)];
    let engine = obj! { "Models" => vec![obj! { "Name" => "m0" }] };
    configure(&store, 1, routes, vec![obj! { "Name" => "models", "Engine" => engine }]);
    let daemons = start_daemons(case, plain_store(&store), 3)?;
    let entries = resolve(&daemons[0]);
    if entries.is_empty() {
        return Err("the directory names no entries".to_owned());
    }

    let mut is_broken = false;
    for index in 0..2 {
        if case.trouble && index == 1 {
            // Half of the servers, one at a time: the new one starts first, the old one drains.
            for replaced in 0..SERVERS / 2 {
                servers.push(start(replaced, "2"));
                servers[replaced].update(|entry| entry.set("State", "draining".into()));
                case.note(&format!("{} drains", servers[replaced].id));
                sleep_ms(1_000);
            }
            sleep_ms(DRAIN_MS);
            for server in &servers[..SERVERS / 2] {
                server.unlist();
                server.crash();
                case.note(&format!("{} has left", server.id));
            }
        }
        let id = format!("job{index}");
        let headers = [("Host", "shop.example"), ("X-Attempt-Id", &*id), ("X-Deadline-Ms", "3000")];
        let (body, target) = (job(index).to_string(), format!("/models/{id}"));
        let limit = Duration::from_secs(4);
        let reply = net::call(entries[0], "POST", &target, &headers, body.as_bytes(), limit);
        if reply.map_or(0, |reply| reply.status) != 202 {
            return Err("a job was not accepted".to_owned());
        }
        for result in results(&entries, &id)? {
            let sample = result.get("Id").str().to_owned();
            let software = made_by.lock().unwrap().get(&sample).cloned().unwrap_or_default();
            let whole: Vec<_> = (1..=EVENTS).map(|event| event_data(&software, event)).collect();
            let (state, text) = (result.get("State").str(), result.get("Output").str());
            let is_wrong = state == "completed" && text != whole.join("\n");
            case.note(&format!(
                "{sample} of software {software}: {state}, {text:?}, wrong: {is_wrong}"
            ));
            is_broken |= is_wrong;
        }
    }
    Ok(is_broken)
}
