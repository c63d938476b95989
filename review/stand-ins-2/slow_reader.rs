//! A planned stop of a machine while a client reads a long answer at its own pace.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use crate::{
    common::BOUNDS,
    daemon::{temporary_folder, Daemon},
    http::{request, response, serve, Next},
    store::Store,
    Stage,
};

/// Size of the answer.
const ANSWER_BYTES: usize = 700_000;
/// What the client reads every 100 ms.
const PIECE: usize = 12_000;
/// Time from the request to the signal.
const SIGNAL_AFTER: Duration = Duration::from_millis(500);
const GRACE: Duration = Duration::from_secs(8);

pub fn play(stage: &Stage) -> bool {
    let store = Store::start(stage.seed);
    let server = serve(|req, _| {
        let id = req.header("x-attempt-id").to_owned();
        let headers = [("X-Attempt-Id", id.as_str()), ("X-Response-Signature", "proof")];
        Next::Send(response(200, &headers, &vec![b'x'; ANSWER_BYTES]))
    });
    store.put("servers", "i-1", &format!(
        r#"{{"Service":"desk","Address":"{server}","Zone":"zone-a","Version":"1","Slots":8,"State":"ready","ColdRemainingMs":0,"Sequence":1,"born":1700000000000}}"#
    ));
    store.put("op", "config",
        r#"{"Version":3,"Services":[{"Name":"desk","MaxConnections":96}],
        "Routes":[{"Name":"desk","Host":"shop.example","PathPrefix":"/desk/","RouteType":"safe","TimeoutMs":20000,
        "TargetLatencyMs":2000,"MaxAttempts":2,"Priority":2,"Service":"desk"}],
        "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutMs":5000,"IdleTimeoutMs":30000}}"#
    );
    let folder = temporary_folder("slow-reader");
    let mut daemons: Vec<_> = (0..2)
        .map(|index| Daemon::start(&stage.root, &folder, index, store.addr, BOUNDS))
        .collect();
    daemons.iter().for_each(Daemon::wait_until_ready);
    thread::sleep(Duration::from_secs(1));
    let mut stream =
        TcpStream::connect(daemons[0].front).unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
    set_receive_buffer(&stream);
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("above 0");
    let headers = [
        ("Host", "shop.example"),
        ("X-Attempt-Id", "5d07b8000000a001"),
        ("X-Deadline-Ms", "20000"),
    ];
    if stream.write_all(&request("POST", "/desk/long", &headers, b"x")).is_err() {
        crate::cannot_run("the request can't be sent");
    }
    let sent = Instant::now();
    stage.record.line("request 5d07b8000000a001 is sent to front-a-0, with 20 s to its end");
    let (mut signalled, mut ended) = (None, None);
    let (mut received, mut buf) = (Vec::new(), vec![0; PIECE]);
    let mut last = Instant::now();
    let end = loop {
        if stage.trouble && signalled.is_none() && sent.elapsed() >= SIGNAL_AFTER {
            daemons[0].signal("TERM");
            signalled = Some(Instant::now());
            stage.record.line(&format!("SIGTERM to front-a-0; {} bytes were read", received.len()));
        }
        if ended.is_none() && daemons[0].has_ended() {
            ended = Some(Instant::now());
            stage.record.line(&format!("front-a-0 has ended; {} bytes were read", received.len()));
        }
        match stream.read(&mut buf) {
            Ok(0) => break "the connection ends".to_owned(),
            Ok(count) => received.extend_from_slice(&buf[..count]),
            Err(e) => break format!("the connection fails: {e}"),
        }
        if let Some(head) = received.windows(4).position(|end| end == b"\r\n\r\n") {
            if received.len() >= head + 4 + ANSWER_BYTES {
                break "the answer is whole".to_owned();
            }
        }
        thread::sleep(Duration::from_millis(100).saturating_sub(last.elapsed()));
        last = Instant::now();
    };
    let took = sent.elapsed();
    let head = received.windows(4).position(|end| end == b"\r\n\r\n").map_or(0, |at| at + 4);
    let first = String::from_utf8_lossy(&received[..received.len().min(15)]).into_owned();
    stage.record.line(&format!(
        "{end} after {:.3} s: {first:?}, {} of {ANSWER_BYTES} bytes of the body",
        took.as_secs_f64(),
        received.len() - head
    ));
    if let Some(signalled) = signalled {
        stage.record.line(&format!(
            "that is {:.3} s after SIGTERM, of {} s",
            signalled.elapsed().as_secs_f64(),
            GRACE.as_secs()
        ));
        if signalled.elapsed() >= GRACE {
            crate::cannot_run("the answer would have lasted beyond the grace time");
        }
    }
    if !first.starts_with("HTTP/1.1 200") {
        crate::cannot_run("the request wasn't served");
    }
    received.len() - head < ANSWER_BYTES
}

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Bounds what the kernel keeps for the client, so that its own pace is that of the connection.
fn set_receive_buffer(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the value outlives the call, and its length is that of an i32.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &32_768, 4) };
}
