//! The cases.

use std::{
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    daemon::{Daemon, CONT, KILL, STOP, TERM},
    http::{self, Conn},
    json::parse,
    proxy::Proxy,
    record::Record,
    server::Server,
    store::to_base64,
    Fleet, Outcome,
};

const HOST: &str = "ficu95.example";

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn route(name: &str, kind: &str, timeout_ms: u32, more: &str) -> String {
    format!(
        "{{\"Name\":\"r-{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/{name}/\",\"RouteType\":\"{kind}\",\
         \"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":400,\"Priority\":2,\"Service\":\"{name}\",\"MaxAttempts\":3{more}}}"
    )
}

fn head(id: &str, deadline: Duration, more: &str) -> String {
    format!(
        "Host: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n{more}",
        deadline.as_millis()
    )
}

/// Stops and continues a daemon; it is continued when this is dropped.
struct Frozen<'a>(&'a Daemon, &'a Record);

impl Drop for Frozen<'_> {
    fn drop(&mut self) {
        self.0.signal(self.1, CONT);
    }
}

/// What a client has got of a stream.
#[derive(Debug, Default, Clone)]
struct Received {
    status: u16,
    /// Number of the last event.
    last: u64,
    /// Whether the answer ended as its framing says.
    is_whole: bool,
    error: String,
}

/// Sends a request for a stream and reads it until it ends, breaks off, or nothing comes for `gap`.
fn read_stream(
    fleet: &Fleet,
    front: SocketAddr,
    path: &str,
    headers: &str,
    body: &str,
    gap: Duration,
) -> Received {
    let mut got = Received::default();
    let end = (|| -> io::Result<()> {
        let mut conn = Conn::connect(front, ms(1_000))?;
        conn.stream.set_read_timeout(Some(gap))?;
        let req = format!(
            "POST {path} HTTP/1.1\r\nContent-Length: {}\r\n{headers}\r\n{body}",
            body.len()
        );
        conn.send(req.as_bytes())?;
        let reply = conn.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        got.status = reply.status();
        if got.status != 200 {
            return Ok(());
        }
        let mut text = String::new();
        while let Some(piece) = conn.chunk()? {
            text.push_str(&String::from_utf8_lossy(&piece));
            while let Some((event, rest)) = text.split_once("\n\n") {
                let number = event.lines().find_map(|line| line.strip_prefix("id: ")?.parse().ok());
                got.last = number.unwrap_or(got.last);
                text = rest.to_owned();
            }
        }
        got.is_whole = true;
        Ok(())
    })();
    if let Err(e) = end {
        got.error = format!("{:?}", e.kind());
    }
    fleet.record.note(&format!("client: {path} at {front}: {got:?}"));
    got
}

/// A machine that is partitioned from all servers passes streams on to another one, and freezes. The clients
/// abandon it and go on at the other one; the runs before go on as well.
pub fn passed_on_streams(fleet: &Fleet) -> Outcome {
    const STREAMS: usize = 6;
    const EVENTS: u64 = 120;
    const GAP_MS: u64 = 100;
    let chat = route("chat", "streaming", 20_000, ",\"Resumable\":true,\"StickySessions\":true");
    fleet.desired(3, &[&chat], &["chat"]);
    let servers: Vec<Server> = (1..=3)
        .map(|index| fleet.server("chat", &format!("i-chat-{index}")))
        .collect::<io::Result<_>>()?;
    let mut links = Vec::new();
    for server in &servers {
        let link = Proxy::start(server.addr)?;
        fleet.store.map_server(server.addr, link.addr);
        links.push(link);
    }
    let cut_off = fleet.daemon(1, fleet.store.second_addr)?;
    let other = fleet.daemon(2, fleet.store.addr)?;
    fleet.wait_ready(&[&cut_off, &other])?;
    thread::sleep(ms(5_000));
    if fleet.has_trouble {
        fleet.record.note("front-1 is partitioned from all servers");
        links.iter().for_each(|link| link.cut(true));
        // Its clients' requests find that out.
        for number in 0..6 {
            let headers = head(&format!("warm{number}"), ms(3_000), "X-Model: m0\r\n");
            read_stream(fleet, cut_off.front, "/chat/w", &headers, "events=1 gap=10", ms(2_000));
            thread::sleep(ms(300));
        }
    }
    let body = format!("events={EVENTS} gap={GAP_MS}");
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let body = &body;
            let (cut_off, other) = (cut_off.front, other.front);
            scope.spawn(move || {
                let first = format!("stream{number}");
                let deadline = ms(20_000);
                let headers = head(&first, deadline, "X-Model: m0\r\n");
                // The largest of two seconds, four objectives and eight pauses of 150 ms.
                let patience = ms(2_000);
                let got = read_stream(fleet, cut_off, "/chat/s", &headers, body, patience);
                if got.is_whole {
                    return;
                }
                if got.status != 200 || got.last == 0 {
                    fleet.record.note(&format!("client: {first} did not begin"));
                    return;
                }
                let more =
                    format!("X-Model: m0\r\nLast-Event-Id: {}\r\nResumes: {first}\r\n", got.last);
                let headers = head(&format!("{first}-again"), ms(12_000), &more);
                read_stream(fleet, other, "/chat/s", &headers, body, patience);
            });
        }
        thread::sleep(ms(2_300));
        if fleet.has_trouble {
            cut_off.signal(&fleet.record, STOP);
            let _frozen = Frozen(&cut_off, &fleet.record);
            thread::sleep(ms(6_800));
        }
        if fleet.has_trouble {
            fleet.record.note("front-1 reaches the servers again");
            links.iter().for_each(|link| link.cut(false));
        }
    });
    thread::sleep(ms(500));
    let runs = fleet.runs.lock().unwrap().clone();
    let mut found = Vec::new();
    for again in runs.iter().filter(|run| run.id.ends_with("-again")) {
        let before = runs.iter().filter(|run| run.id == again.stream && run.server != again.server);
        for before in before {
            let ended = before.ended.unwrap_or(Duration::MAX);
            if ended > again.began + ms(400) {
                found.push(format!(
                    "{} goes on at {} from {:.1} s, while {} works on it until {:.1} s; front-2 had sent it there",
                    again.stream,
                    again.server,
                    again.began.as_secs_f64(),
                    before.server,
                    ended.as_secs_f64()
                ));
            }
        }
    }
    let resumed = runs.iter().filter(|run| run.id.ends_with("-again")).count();
    fleet.record.note(&format!("{resumed} streams went on at another machine"));
    if fleet.has_trouble && resumed == 0 {
        return Err(io::Error::other("no stream was taken up again"));
    }
    Ok(found)
}

/// A machine gets SIGTERM. A client that has its address from before sends it a stream; it takes the stream, and
/// exits in the middle of it.
pub fn stop_during_stream(fleet: &Fleet) -> Outcome {
    let chat = route("chat", "streaming", 10_000, ",\"Resumable\":true,\"StickySessions\":true");
    fleet.desired(3, &[&chat], &["chat"]);
    let _servers: Vec<Server> = (1..=3)
        .map(|index| fleet.server("chat", &format!("i-chat-{index}")))
        .collect::<io::Result<_>>()?;
    let mut stopped = fleet.daemon(1, fleet.store.addr)?;
    let other = fleet.daemon(2, fleet.store.addr)?;
    fleet.wait_ready(&[&stopped, &other])?;
    thread::sleep(ms(5_000));
    let deadline = ms(10_000);
    let front = stopped.front;
    let stream = |id: &str, events: u32, gap: u32| {
        let headers = head(id, deadline, "X-Model: m0\r\n");
        read_stream(
            fleet,
            front,
            "/chat/s",
            &headers,
            &format!("events={events} gap={gap}"),
            ms(2_000),
        )
    };
    for number in 0..8 {
        stream(&format!("usual{number}"), 8, 100);
    }
    let mut found = Vec::new();
    thread::scope(|scope| {
        let stream = &stream;
        // One that is in progress when the machine is stopped, and ends in time.
        scope.spawn(move || stream("early", 46, 100));
        thread::sleep(ms(200));
        let term_at = Instant::now();
        if fleet.has_trouble {
            stopped.signal(&fleet.record, TERM);
        }
        thread::sleep(ms(3_500));
        let late: Vec<_> = (0..3)
            .map(|number| scope.spawn(move || (number, stream(&format!("late{number}"), 45, 100))))
            .collect();
        for late in late {
            let Ok((number, got)) = late.join() else { continue };
            let since_term = term_at.elapsed().as_secs_f64();
            if got.status == 200 && !got.is_whole {
                found.push(format!(
                    "late{number}, sent 3.5 s after SIGTERM, was taken, and cut after event {} of 45, {since_term:.1} s after SIGTERM ({})",
                    got.last, got.error
                ));
            }
        }
    });
    thread::sleep(ms(1_500));
    if fleet.has_trouble && !stopped.has_ended() {
        stopped.signal(&fleet.record, KILL);
    }
    Ok(found)
}

/// Servers break answers off before the first event of a stream.
pub fn empty_stream(fleet: &Fleet) -> Outcome {
    const EVENTS: u64 = 5;
    let chat = route("chat", "streaming", 5_000, ",\"Resumable\":true,\"StickySessions\":true");
    fleet.desired(3, &[&chat], &["chat"]);
    let servers: Vec<Server> = (1..=3)
        .map(|index| fleet.server("chat", &format!("i-chat-{index}")))
        .collect::<io::Result<_>>()?;
    let daemon = fleet.daemon(1, fleet.store.addr)?;
    fleet.wait_ready(&[&daemon])?;
    thread::sleep(ms(4_500));
    let mut found = Vec::new();
    for number in 0..100 {
        if fleet.has_trouble && number % 33 == 20 {
            servers.iter().for_each(|server| server.faults.store(1, Ordering::SeqCst));
        }
        let headers = head(&format!("s{number}"), ms(5_000), "X-Model: m0\r\n");
        let body = format!("events={EVENTS} gap=10");
        let got = read_stream(fleet, daemon.front, "/chat/s", &headers, &body, ms(2_000));
        servers.iter().for_each(|server| server.faults.store(0, Ordering::SeqCst));
        if got.status == 200 && got.is_whole && got.last < EVENTS {
            found.push(format!(
                "stream s{number} ended as complete after event {} of {EVENTS}",
                got.last
            ));
        }
    }
    Ok(found)
}

/// A machine is removed as planned, and then the servers of streams are replaced by ones of another version of
/// their software, as planned. Afterwards no stream begins at the machines that stay.
pub fn release_after_removal(fleet: &Fleet) -> Outcome {
    const DRAIN: Duration = Duration::from_millis(2_500);
    let desk = route("desk", "safe", 2_000, "");
    let chat = route("chat", "streaming", 5_000, ",\"Resumable\":true,\"StickySessions\":true");
    fleet.desired(3, &[&desk], &["desk", "chat"]);
    let _desk: Vec<Server> = (1..=2)
        .map(|index| fleet.server("desk", &format!("i-desk-{index}")))
        .collect::<io::Result<_>>()?;
    let before: Vec<Server> = (1..=3)
        .map(|index| fleet.server_of("chat", "v1", &format!("i-chat-{index}")))
        .collect::<io::Result<_>>()?;
    let daemons = (1..=3)
        .map(|index| fleet.daemon(index, fleet.store.addr))
        .collect::<io::Result<Vec<_>>>()?;
    fleet.wait_ready(&[&daemons[0], &daemons[1], &daemons[2]])?;
    thread::sleep(ms(1_000));
    fleet.desired(5, &[&desk, &chat], &["desk", "chat"]);
    thread::sleep(ms(8_000));
    let fronts = [daemons[0].front, daemons[1].front];
    let stop = AtomicBool::new(false);
    // Time of sending, route, and whether the request was served.
    let answers: Mutex<Vec<(Duration, &'static str, bool)>> = Mutex::default();
    let mut after = Vec::new();
    let mut planned_until = Duration::ZERO;
    thread::scope(|scope| -> io::Result<()> {
        for client in 0..4 {
            let (stop, answers) = (&stop, &answers);
            scope.spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let front = fronts[(client + number) % fronts.len()];
                    let sent = fleet.record.now();
                    let (name, is_served) = if client < 2 {
                        let headers =
                            head(&format!("chat{client}x{number}"), ms(5_000), "X-Model: m0\r\n");
                        let body = "events=5 gap=20";
                        let got = read_stream(fleet, front, "/chat/s", &headers, body, ms(2_000));
                        ("chat", got.status == 200 && got.is_whole)
                    } else {
                        let headers = head(
                            &format!("desk{client}x{number}"),
                            ms(2_000),
                            "Connection: close\r\n",
                        );
                        let reply =
                            http::call(front, "POST", "/desk/fee", &headers, b"work=30", ms(3_000));
                        ("desk", reply.is_ok_and(|reply| reply.status() == 200))
                    };
                    answers.lock().unwrap().push((sent, name, is_served));
                    thread::sleep(ms(150));
                }
            });
        }
        thread::sleep(ms(2_000));
        if fleet.has_trouble {
            daemons[2].signal(&fleet.record, TERM);
            thread::sleep(ms(3_000));
        }
        // The release is planned work and is done in any case.
        for (index, old) in before.iter().enumerate() {
            after.push(fleet.server_of("chat", "v2", &format!("i-chat-{}", index + 4))?);
            thread::sleep(ms(200));
            old.drain(DRAIN);
            thread::sleep(ms(800));
        }
        thread::sleep(DRAIN + ms(1_000));
        planned_until = fleet.record.now();
        thread::sleep(ms(4_000 + 15_000));
        stop.store(true, Ordering::SeqCst);
        Ok(())
    })?;
    let steady_from = planned_until + ms(4_000);
    let answers = answers.into_inner().unwrap();
    let count = |name: &str, only_served: bool| {
        let of_route = answers.iter().filter(|(sent, of, _)| *sent >= steady_from && *of == name);
        of_route.filter(|(.., is_served)| *is_served || !only_served).count()
    };
    let (asked, served) = (count("chat", false), count("chat", true));
    let (asked_first, served_first) = (count("desk", false), count("desk", true));
    let text = format!(
        "in steady state from {:.1} s, {served} of {asked} requests on the added route are served, {served_first} of {asked_first} on the first one",
        steady_from.as_secs_f64()
    );
    fleet.record.note(&text);
    fleet.record.note(&format!("rows: {:?}", fleet.store.values("fleet", "software/")));
    if asked < 20 || asked_first == 0 {
        return Err(io::Error::other("too few requests"));
    }
    let (share, share_first) =
        (served as f64 / asked as f64, served_first as f64 / asked_first as f64);
    Ok(if share < share_first / 4.0 { vec![text] } else { Vec::new() })
}

/// Submits a batch job of one model. Returns the ids of its items.
fn submit(
    fleet: &Fleet,
    front: SocketAddr,
    job: &str,
    items: usize,
    events: u32,
    gap: u32,
) -> io::Result<Vec<String>> {
    let ids: Vec<_> = (0..items).map(|number| format!("{job}i{number}")).collect();
    let body = to_base64(format!("events={events} gap={gap}").as_bytes());
    let item = |(number, id): (usize, &String)| {
        format!(
            "{{\"Id\":\"{id}\",\"Path\":\"/llm/3/x\",\"Headers\":{{\"X-Model\":\"m0\",\"X-Token-Usage\":\"16,{events}\",\
             \"X-Prompt-Prefix\":\"a{number}:16\"}},\"Body\":\"{body}\",\"TokenCount\":{},\"Group\":\"{job}g{}\"}}",
            16 + events,
            number / 8
        )
    };
    let list: Vec<_> = ids.iter().enumerate().map(item).collect();
    let body = format!(
        "{{\"Step\":1,\"Model\":\"m0\",\"MinVersion\":1,\"TargetGroups\":{},\"Requests\":[{}]}}",
        items.div_ceil(8),
        list.join(",")
    );
    let headers = head(job, ms(3_000), "Content-Type: application/json\r\nConnection: close\r\n");
    let reply =
        http::call(front, "POST", &format!("/llm/{job}"), &headers, body.as_bytes(), ms(4_500))?;
    fleet
        .record
        .note(&format!("client: batch job {job} of {items} items at {front}: {}", reply.status()));
    match reply.status() {
        202 => Ok(ids),
        status => Err(io::Error::other(format!("batch job refused with {status}"))),
    }
}

/// Returns the number of results that a machine lists.
fn listed(front: SocketAddr, job: &str) -> usize {
    let headers =
        format!("Host: {HOST}\r\nX-Deadline-Ms: 2000\r\nX-Wait-Ms: 300\r\nConnection: close\r\n");
    let reply =
        http::call(front, "GET", &format!("/v1/lots/{job}?After=0"), &headers, b"", ms(3_500));
    reply.map_or(0, |reply| parse(&reply.body).get("Results").list().len())
}

/// The connections to the servers fall silent between two steps of a trainer. Items of the next step reach no
/// server until the step is over.
pub fn silent_connections(fleet: &Fleet) -> Outcome {
    const TIME_LIMIT: Duration = Duration::from_millis(12_000);
    const CONTACT: Duration = Duration::from_millis(4_000);
    const ITEMS: usize = 32;
    const SLOTS: usize = 8;
    let llm = route("llm", "rollout", 10_000, ",\"ItemTtlS\":40,\"TargetCompletionMs\":7500");
    fleet.desired(3, &[&llm], &["llm"]);
    let servers: Vec<Server> = (1..=8)
        .map(|index| fleet.server("llm", &format!("i-llm-{index}")))
        .collect::<io::Result<_>>()?;
    let links: Vec<Proxy> =
        servers.iter().map(|server| Proxy::start(server.addr)).collect::<io::Result<_>>()?;
    servers.iter().zip(&links).for_each(|(server, link)| server.list_at(link.addr));
    let daemons = [fleet.daemon(1, fleet.store.addr)?, fleet.daemon(2, fleet.store.addr)?];
    fleet.wait_ready(&[&daemons[0], &daemons[1]])?;
    thread::sleep(ms(6_000));
    let front = daemons[0].front;
    // A trainer that asks ahead: two steps are open at once.
    for job in ["step1", "step2"] {
        submit(fleet, front, job, ITEMS, 28, 40)?;
    }
    let until = Instant::now() + TIME_LIMIT;
    while listed(front, "step1") + listed(front, "step2") < 2 * ITEMS {
        if Instant::now() > until {
            return Err(io::Error::other("the first steps are not done"));
        }
    }
    let silent_at = fleet.record.now();
    if fleet.has_trouble {
        fleet.record.note("the open connections to the servers fall silent; new ones work");
        links.iter().for_each(Proxy::silence);
    }
    let ids = submit(fleet, front, "step3", ITEMS, 28, 40)?;
    let sent_at = fleet.record.now();
    let mut count = 0;
    while count < ids.len() && fleet.record.now() < sent_at + TIME_LIMIT {
        count = listed(front, "step3");
        thread::sleep(ms(200));
    }
    let end = fleet.record.now();
    let runs = fleet.runs.lock().unwrap().clone();
    fleet.record.note(&format!(
        "step3: {count} of {} listed after {:.1} s",
        ids.len(),
        (end - sent_at).as_secs_f64()
    ));
    let steady_from = (silent_at + CONTACT).max(sent_at);
    let mut found = Vec::new();
    for id in ids.iter().filter(|_| count < ids.len()) {
        let own: Vec<_> = runs.iter().filter(|run| run.id == *id).collect();
        let is_finished = own.iter().any(|run| run.is_whole);
        let is_running = own.iter().any(|run| run.ended.is_none());
        let last = own.iter().filter_map(|run| run.ended).max().unwrap_or_default();
        let away = end.saturating_sub(last.max(steady_from));
        if !is_finished && !is_running && away >= ms(5_000) {
            found.push(format!(
                "item {id} has been at no server for {:.1} s of steady state when the step's time is up",
                away.as_secs_f64()
            ));
        }
    }
    let is_at = |run: &&crate::server::Run, at: Duration| {
        run.began <= at && run.ended.is_none_or(|end| end > at)
    };
    let most = (0..50)
        .map(|step| {
            runs.iter().filter(|run| is_at(run, end.saturating_sub(ms(step * 100)))).count()
        })
        .max();
    let most = most.unwrap_or_default();
    let places = SLOTS * servers.len();
    fleet.record.note(&format!(
        "in the last 5 s at most {most} of {places} places of the servers were taken"
    ));
    let begun = ids.iter().filter(|id| runs.iter().any(|run| run.id == **id)).count();
    fleet.record.note(&format!("{begun} of {} items of step3 had begun", ids.len()));
    // The rule holds if no other item of the step had begun, or the servers were half full.
    Ok(if begun > 0 && most < places / 2 { found } else { Vec::new() })
}

/// All servers of a service crash while clients call the same lookup. The servers return; the lookup is refused by
/// all machines.
pub fn banned_request(fleet: &Fleet) -> Outcome {
    const LOOKUPS: usize = 12;
    let desk = route("desk", "safe", 2_000, "");
    let permits = route("permits", "safe", 2_000, "");
    fleet.desired(3, &[&desk], &["desk", "permits"]);
    let _desk: Vec<Server> = (1..=2)
        .map(|index| fleet.server("desk", &format!("i-desk-{index}")))
        .collect::<io::Result<_>>()?;
    let before: Vec<Server> = (1..=3)
        .map(|index| fleet.server("permits", &format!("i-permits-{index}")))
        .collect::<io::Result<_>>()?;
    let daemons = [fleet.daemon(1, fleet.store.addr)?, fleet.daemon(2, fleet.store.addr)?];
    fleet.wait_ready(&[&daemons[0], &daemons[1]])?;
    thread::sleep(ms(1_000));
    fleet.desired(5, &[&desk, &permits], &["desk", "permits"]);
    thread::sleep(ms(4_500));
    let fronts = [daemons[0].front, daemons[1].front];
    let stop = AtomicBool::new(false);
    // Time of sending, route and status of each request.
    let answers: Mutex<Vec<(Duration, &'static str, u16)>> = Mutex::default();
    let (mut after, mut crashed_until) = (Vec::new(), fleet.record.now());
    thread::scope(|scope| -> io::Result<()> {
        for client in 0..LOOKUPS + 2 {
            let (stop, answers) = (&stop, &answers);
            scope.spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let (path, name) = match client < LOOKUPS {
                        true => ("/permits/trench-7", "permits"),
                        false => ("/desk/fee", "desk"),
                    };
                    let body = match client < LOOKUPS {
                        true => "work=150 licence of trench 7".to_owned(),
                        false => format!("work=30 fee {client} {number}"),
                    };
                    let id = format!("{name}{client}x{number}");
                    let sent = fleet.record.now();
                    let headers = head(&id, ms(2_000), "Connection: close\r\n");
                    let front = fronts[(client + number) % fronts.len()];
                    let reply =
                        http::call(front, "POST", path, &headers, body.as_bytes(), ms(3_000));
                    let status = reply.map_or(0, |reply| reply.status());
                    fleet.record.note(&format!("client: {id} at {front}: {status}"));
                    answers.lock().unwrap().push((sent, name, status));
                    let pause = 5 + (client * 17 + number * 31) as u64 % 40;
                    thread::sleep(ms(if status == 200 { pause } else { 400 }));
                }
            });
        }
        thread::sleep(ms(4_000));
        if fleet.has_trouble {
            before.iter().for_each(Server::crash);
            thread::sleep(ms(4_500));
            for index in 1..=3 {
                after.push(fleet.server("permits", &format!("i-permits-{}", index + 3))?);
            }
            crashed_until = fleet.record.now();
        }
        // Steady state begins `ContactMs` after the end of the disruption.
        thread::sleep(ms(4_000 + 20_000));
        stop.store(true, Ordering::SeqCst);
        Ok(())
    })?;
    let steady_from = crashed_until + ms(4_000);
    let answers = answers.into_inner().unwrap();
    let count = |name: &str, is_counted: &dyn Fn(u16) -> bool| {
        answers
            .iter()
            .filter(|(sent, of, status)| *sent >= steady_from && *of == name && is_counted(*status))
            .count()
    };
    let (asked, served) = (count("permits", &|_| true), count("permits", &|status| status == 200));
    let (asked_first, served_first) =
        (count("desk", &|_| true), count("desk", &|status| status == 200));
    fleet.record.note(&format!(
        "steady state from {:.1} s: {served} of {asked} on the route that was added later, {served_first} of {asked_first} on the first route",
        steady_from.as_secs_f64()
    ));
    fleet.record.note(&format!("rows: {:?}", fleet.store.values("fleet", "crashes/")));
    if asked < 20 || asked_first == 0 {
        return Err(io::Error::other("too few requests"));
    }
    let (share, share_first) =
        (served as f64 / asked as f64, served_first as f64 / asked_first as f64);
    Ok(match share < share_first / 4.0 {
        true => vec![format!("in steady state {served} of {asked} requests on the added route are served, {served_first} of {asked_first} on the first one")],
        false => Vec::new(),
    })
}

/// A machine gets SIGTERM while a client reads an answer slowly.
pub fn stop_during_slow_read(fleet: &Fleet) -> Outcome {
    const BYTES: usize = 6_000_000;
    let files = route("files", "safe", 10_000, "");
    fleet.desired(3, &[&files], &["files"]);
    let _servers: Vec<Server> = (1..=2)
        .map(|index| fleet.server("files", &format!("i-files-{index}")))
        .collect::<io::Result<_>>()?;
    let mut stopped = fleet.daemon(1, fleet.store.addr)?;
    let other = fleet.daemon(2, fleet.store.addr)?;
    fleet.wait_ready(&[&stopped, &other])?;
    thread::sleep(ms(5_000));
    let mut conn = Conn::connect(stopped.front, ms(1_000))?;
    conn.stream.set_read_timeout(Some(ms(3_000)))?;
    let body = format!("work=50 bytes={BYTES}");
    let req = format!(
        "POST /files/f HTTP/1.1\r\nContent-Length: {}\r\n{}\r\n{body}",
        body.len(),
        head("slow", ms(10_000), "")
    );
    conn.send(req.as_bytes())?;
    fleet.record.note("client: slow sent");
    let reply = conn.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let length: usize = reply.header("content-length").parse().unwrap_or_default();
    fleet.record.note(&format!("client: slow: status {}, {length} bytes", reply.status()));
    if reply.status() != 200 || length != BYTES {
        return Err(io::Error::other("no answer"));
    }
    let term_at = Instant::now();
    if fleet.has_trouble {
        stopped.signal(&fleet.record, TERM);
    }
    // Reads evenly, to end 7.4 s after the signal.
    let mut got = conn.buf.len();
    let mut error = None;
    while got < length {
        let due = (length as f64 * term_at.elapsed().as_secs_f64() / 7.4) as usize;
        if got >= due {
            thread::sleep(ms(10));
            continue;
        }
        conn.buf.clear();
        match conn.fill() {
            Ok(0) => error = Some("the connection ended".to_owned()),
            Ok(count) => got += count,
            Err(e) => error = Some(format!("{:?}", e.kind())),
        }
        if error.is_some() {
            break;
        }
    }
    let since = term_at.elapsed().as_secs_f64();
    fleet.record.note(&format!(
        "client: slow: {got} of {length} bytes, {since:.1} s after SIGTERM: {error:?}"
    ));
    thread::sleep(ms(1_000));
    if fleet.has_trouble && !stopped.has_ended() {
        stopped.signal(&fleet.record, KILL);
    }
    Ok(match error {
        Some(error) => vec![format!(
            "the answer ended after {got} of {length} bytes, {since:.1} s after SIGTERM: {error}"
        )],
        None => Vec::new(),
    })
}
