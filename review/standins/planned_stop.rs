//! A planned stop of one daemon while callers are still reading long answers from it.

use std::{
    net::{SocketAddr, SocketAddrV4, TcpStream},
    os::fd::FromRawFd,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    net,
    platform::{
        configure, plain_store, reply, resolve, route, sleep_ms, start_daemons, Case, Server,
        Verdict, SIGKILL, SIGTERM,
    },
    store::Store,
};

const ANSWER_BYTES: usize = 4_000_000;
/// Pace of a caller: 5 Mbit/s, so that an answer takes 6.7 s.
const BYTES_PER_S: usize = 600_000;
const TIME_LIMIT_MS: u64 = 9_000;
const GRACE: Duration = Duration::from_secs(8);
const CALLERS: usize = 9;
/// Segments of callers, as on an Ethernet path.
const SEGMENT_BYTES: i32 = 1_400;
const WINDOW_BYTES: i32 = 65_536;

#[repr(C)]
struct SockAddr {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, addr: *const SockAddr, len: u32) -> i32;
}

/// Connects with the segment size and window of a usual path.
fn connect_like_ethernet(addr: SocketAddrV4) -> Option<TcpStream> {
    let (stream_socket, inet, tcp, sol_socket) = (1, 2, 6, 1);
    let (max_segment, receive_buffer) = (2, 8);
    let addr = SockAddr {
        family: inet as u16,
        port: addr.port().to_be_bytes(),
        ip: addr.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the arguments are valid for these calls, and the descriptor is owned by the stream.
    unsafe {
        let fd = socket(inet, stream_socket, 0);
        let stream = (fd >= 0).then(|| TcpStream::from_raw_fd(fd))?;
        setsockopt(fd, tcp, max_segment, &SEGMENT_BYTES, 4);
        setsockopt(fd, sol_socket, receive_buffer, &WINDOW_BYTES, 4);
        (connect(fd, &addr, 16) == 0).then_some(stream)
    }
}

#[derive(Debug)]
struct Outcome {
    id: String,
    addr: SocketAddr,
    status: String,
    received: usize,
    is_whole: bool,
    took_ms: u64,
}

/// Sends a request and reads the answer at the caller's pace.
fn ask(case: &Case, addr: SocketAddr, id: &str) -> Outcome {
    let started = Instant::now();
    let mut outcome = Outcome {
        id: id.to_owned(),
        addr,
        status: "none".to_owned(),
        received: 0,
        is_whole: false,
        took_ms: 0,
    };
    let SocketAddr::V4(v4) = addr else { return outcome };
    let Some(mut stream) = connect_like_ethernet(v4) else { return outcome };
    let limit = Duration::from_millis(TIME_LIMIT_MS);
    let _ = stream.set_read_timeout(Some(limit));
    let deadline = TIME_LIMIT_MS.to_string();
    let headers =
        [("Host", "shop.example"), ("X-Attempt-Id", id), ("X-Deadline-Ms", deadline.as_str())];
    case.note(&format!("sent {id} to {addr}"));
    if net::send(&mut stream, "POST", &format!("/export/{id}"), &headers, b"all").is_err() {
        return outcome;
    }
    let (mut buf, mut answer, mut first) = ([0; 4_000], Vec::new(), None);
    while started.elapsed() < limit {
        match net::read_some(&mut stream, &mut buf) {
            Ok(0) => break,
            Ok(count) => answer.extend_from_slice(&buf[..count]),
            Err(_) => break,
        }
        let first = *first.get_or_insert_with(Instant::now);
        let head = &answer[..answer.len().min(1_000)];
        let head_end = head.windows(4).position(|part| part == b"\r\n\r\n");
        let body = head_end.map_or(0, |at| answer.len() - at - 4);
        outcome.received = body;
        if body == ANSWER_BYTES {
            outcome.is_whole = true;
            break;
        }
        let due = Duration::from_secs_f64(answer.len() as f64 / BYTES_PER_S as f64);
        thread::sleep(due.saturating_sub(first.elapsed()));
    }
    let head = String::from_utf8_lossy(&answer[..answer.len().min(100)]).into_owned();
    outcome.status = head.split(' ').nth(1).unwrap_or("none").to_owned();
    outcome.took_ms = started.elapsed().as_millis() as u64;
    outcome
}

pub fn run(case: &Case) -> Verdict {
    let store = Store::new();
    let runs = Arc::<Mutex<Vec<String>>>::default();
    let _servers: Vec<_> = (1..=2)
        .map(|index| {
            let (runs, case) = (Arc::clone(&runs), case.clone());
            let entry =
                obj! { "Service" => "desk", "Zone" => "zone-a", "Version" => "1", "Slots" => 6 };
            Server::start(&store, &format!("desk-{index}"), entry, move |req, stream, conn| {
                let id = req.header("x-attempt-id");
                runs.lock().unwrap().push(id.to_owned());
                sleep_ms(25);
                let is_open = reply(stream, 200, id, "", &vec![b'x'; ANSWER_BYTES]);
                case.note(&format!("{} ran {id} and answered it whole: {is_open}", conn.server));
                is_open
            })
        })
        .collect();
    let routes = vec![route("export", "unsafe", "desk", TIME_LIMIT_MS, 2)];
    configure(&store, 1, routes, vec![obj! { "Name" => "desk" }]);
    let mut daemons = start_daemons(case, plain_store(&store), 3)?;

    let entries = resolve(&daemons[0]);
    if entries.len() != 3 {
        return Err(format!("the directory names {} entries", entries.len()));
    }
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let (case, addr) = (case.clone(), entries[index % entries.len()]);
            thread::spawn(move || ask(&case, addr, &format!("a{index:02}")))
        })
        .collect();
    sleep_ms(600);
    if case.trouble {
        case.note(&format!("SIGTERM to {}", daemons[0].name));
        daemons[0].signal(SIGTERM);
        let signalled = Instant::now();
        while !daemons[0].has_exited() {
            if signalled.elapsed() >= GRACE {
                daemons[0].signal(SIGKILL);
            }
            sleep_ms(5);
        }
        case.note(&format!(
            "{} exited {} ms after SIGTERM",
            daemons[0].name,
            signalled.elapsed().as_millis()
        ));
        sleep_ms(300);
        daemons[0].start();
    }
    let mut is_broken = false;
    let mut whole = 0;
    for caller in callers {
        let outcome = caller.join().map_err(|_| "a caller panicked")?;
        let ran = runs.lock().unwrap().contains(&outcome.id);
        let is_lost = ran && !outcome.is_whole && outcome.took_ms < TIME_LIMIT_MS;
        let Outcome { id, addr, status, received, took_ms, .. } = &outcome;
        case.note(&format!(
            "{id} at {addr}: {status}, {received} of {ANSWER_BYTES} bytes in {took_ms} ms, ran: {ran}, \
             lost: {is_lost}"
        ));
        is_broken |= is_lost;
        whole += usize::from(outcome.is_whole);
    }
    if whole == 0 {
        return Err("no answer arrived whole".to_owned());
    }
    Ok(is_broken)
}
