//! Stand-ins of backend servers. Each follows the pages: it answers with its signature, echoes the id of the
//! request, rejects requests for another instance, drops a request whose connection closes, and writes its entry
//! to the store about every `HeartbeatMs`.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Conn, Message},
    record::Record,
    store::Store,
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// One run of a request at a server.
#[derive(Debug, Clone)]
pub struct Run {
    pub server: String,
    pub id: String,
    /// The attempt whose stream this run goes on with, else the id of the run.
    pub stream: String,
    pub began: Duration,
    pub ended: Option<Duration>,
    pub is_whole: bool,
}

/// All runs of all servers of a case.
pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    software: String,
    /// Address in the entry: that of the server or of a proxy before it.
    listed: Arc<Mutex<SocketAddr>>,
    store: Store,
    record: Record,
    runs: Runs,
    is_down: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// Streams that are still to be broken off.
    pub faults: Arc<AtomicUsize>,
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

/// Returns the models of a server, as JSON: only those of the service `llm` have one.
fn models(service: &str) -> &'static str {
    match service {
        "llm" => "[{\"Name\":\"m0\",\"Version\":1}]",
        _ => "[]",
    }
}

impl Server {
    /// Starts a server of a service and a version of its software, and its entry in the store.
    pub fn start(
        store: &Store,
        record: &Record,
        runs: &Runs,
        (service, software): (&str, &str),
        id: &str,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Server {
            listed: Arc::new(Mutex::new(listener.local_addr()?)),
            id: id.to_owned(),
            addr: listener.local_addr()?,
            service: service.to_owned(),
            software: software.to_owned(),
            store: store.clone(),
            record: record.clone(),
            runs: Arc::clone(runs),
            is_down: Arc::default(),
            is_draining: Arc::default(),
            open: Arc::default(),
            faults: Arc::default(),
        };
        listener.set_nonblocking(true)?;
        let (is_down, open) = (Arc::clone(&server.is_down), Arc::clone(&server.open));
        let handler = Handler {
            id: id.to_owned(),
            models: models(service),
            born: unix_ms(),
            record: record.clone(),
            runs: Arc::clone(runs),
            faults: Arc::clone(&server.faults),
            is_down: Arc::clone(&is_down),
            is_draining: Arc::clone(&server.is_draining),
        };
        server.beat(handler.born);
        thread::spawn(move || {
            while !is_down.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || drop(handler.serve(Conn::new(stream))));
            }
        });
        record.note(&format!("server {id} of {service}, software {software}, starts"));
        Ok(server)
    }

    /// Writes the entry to the store.
    fn write_entry(&self, sequence: u64, born: u128) {
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let (service, software, models) = (&self.service, &self.software, models(&self.service));
        let addr = *self.listed.lock().unwrap();
        let entry = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{addr}\",\"Zone\":\"wien\",\"Version\":\"{software}\",\
             \"Slots\":8,\"Models\":{models},\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Sequence\":{sequence},\"born\":{born}}}"
        );
        self.store.put("servers", &self.id, &entry);
    }

    fn beat(&self, born: u128) {
        let own = Server {
            id: self.id.clone(),
            service: self.service.clone(),
            software: self.software.clone(),
            listed: Arc::clone(&self.listed),
            store: self.store.clone(),
            record: self.record.clone(),
            runs: Arc::clone(&self.runs),
            is_down: Arc::clone(&self.is_down),
            is_draining: Arc::clone(&self.is_draining),
            open: Arc::clone(&self.open),
            faults: Arc::clone(&self.faults),
            addr: self.addr,
        };
        own.write_entry(0, born);
        thread::spawn(move || {
            let mut sequence = 0;
            let mut last = Instant::now();
            let (mut was_draining, mut was_listed) = (false, own.addr);
            while !own.is_down.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                let is_draining = own.is_draining.load(Ordering::SeqCst);
                let listed = *own.listed.lock().unwrap();
                if last.elapsed() >= HEARTBEAT
                    || is_draining != was_draining
                    || listed != was_listed
                {
                    sequence += 1;
                    (last, was_draining, was_listed) = (Instant::now(), is_draining, listed);
                    own.write_entry(sequence, born);
                }
            }
            // The entry of a server that has left is removed; another one lapses after three intervals of silence.
            if !was_draining {
                thread::sleep((HEARTBEAT * 3).saturating_sub(last.elapsed()));
            }
            own.store.remove("servers", &own.id);
        });
    }

    /// Leaves as planned: reports that it is draining, serves for `drain` and a little longer, and ends.
    pub fn drain(&self, drain: Duration) {
        self.record.note(&format!("server {} is draining", self.id));
        self.is_draining.store(true, Ordering::SeqCst);
        let (record, id) = (self.record.clone(), self.id.clone());
        let (is_down, open) = (Arc::clone(&self.is_down), Arc::clone(&self.open));
        thread::spawn(move || {
            thread::sleep(drain + Duration::from_millis(700));
            record.note(&format!("server {id} has left"));
            is_down.store(true, Ordering::SeqCst);
            open.lock().unwrap().drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        });
    }

    /// Lists the server with the address of a proxy before it.
    pub fn list_at(&self, addr: SocketAddr) {
        *self.listed.lock().unwrap() = addr;
    }

    /// Crashes: the listener and all connections close, and nothing is said.
    pub fn crash(&self) {
        self.record.note(&format!("server {} crashes", self.id));
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

#[derive(Clone)]
struct Handler {
    id: String,
    models: &'static str,
    born: u128,
    record: Record,
    runs: Runs,
    faults: Arc<AtomicUsize>,
    is_down: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
}

impl Handler {
    fn serve(&self, mut conn: Conn) -> io::Result<()> {
        while let Some(req) = conn.message()? {
            let id = req.header("x-attempt-id").to_owned();
            let is_draining = self.is_draining.load(Ordering::SeqCst);
            let leaving = if is_draining { "Server-Leaving: 1\r\n" } else { "" };
            let echo = format!("X-Attempt-Id: {id}\r\nX-Instance-Id: {}\r\n{leaving}", self.id);
            let expected = req.header("x-expect-instance");
            if !expected.is_empty() && expected != self.id {
                conn.respond("421 Misdirected Request", &echo, b"")?;
                continue;
            }
            match req.path() {
                "/health" if is_draining => conn.respond("503 Service Unavailable", &echo, b"")?,
                "/health" => conn.respond("200 OK", &echo, b"")?,
                "/v1/report" => {
                    let report = format!(
                        "{{\"Stage\":\"combined\",\"Models\":{},\"Busy\":false,\"Sequence\":0,\"Waiting\":0,\
                         \"Running\":0,\"KvUsed\":0,\"KvTotal\":1000,\"Handles\":0,\"born\":{}}}",
                        self.models, self.born
                    );
                    conn.respond("200 OK", &echo, report.as_bytes())?;
                }
                _ => self.run(&mut conn, &req, &id, &echo)?,
            }
        }
        Ok(())
    }

    /// Runs a request. Its body says what it takes: `work=MS`, `bytes=N`, or `events=N gap=MS` for a stream.
    fn run(&self, conn: &mut Conn, req: &Message, id: &str, echo: &str) -> io::Result<()> {
        let text = String::from_utf8_lossy(&req.body).into_owned();
        let number = |name: &str| -> u64 {
            let found =
                text.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
            found.and_then(|value| value.parse().ok()).unwrap_or_default()
        };
        let resumes = req.header("resumes");
        let after: u64 = req.header("last-event-id").parse().unwrap_or_default();
        let run = Run {
            server: self.id.clone(),
            id: id.to_owned(),
            stream: if resumes.is_empty() { id } else { resumes }.to_owned(),
            began: self.record.now(),
            ended: None,
            is_whole: false,
        };
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(run);
            runs.len() - 1
        };
        let version = if self.models.len() > 2 { "X-Weight-Versions: 1\r\n" } else { "" };
        let signature = format!(
            "{echo}{version}Keep-Alive: timeout=30\r\nX-Response-Signature: sig.{}.{id}\r\n",
            self.id
        );
        self.record.note(&format!(
            "{} begins {id} {} after={after} resumes={resumes}",
            self.id,
            req.path()
        ));
        let events = number("events");
        let end = match events {
            0 => self.answer(conn, number("work"), number("bytes"), &signature),
            _ => self.stream(conn, after, events, number("gap"), &signature),
        };
        let is_whole = matches!(end, Ok(true));
        self.record.note(&format!("{} ends {id} whole={is_whole}", self.id));
        let mut runs = self.runs.lock().unwrap();
        (runs[index].ended, runs[index].is_whole) = (Some(self.record.now()), is_whole);
        drop(runs);
        match end {
            Ok(true) => Ok(()),
            Ok(false) => Err(io::ErrorKind::ConnectionAborted.into()),
            Err(e) => Err(e),
        }
    }

    fn answer(&self, conn: &mut Conn, work: u64, bytes: u64, signature: &str) -> io::Result<bool> {
        if !conn.wait_open(Duration::from_millis(work)) || self.is_down.load(Ordering::SeqCst) {
            return Ok(false);
        }
        let body: Vec<u8> = (0..bytes.max(8)).map(|index| b'a' + (index % 26) as u8).collect();
        conn.respond("200 OK", signature, &body)?;
        Ok(true)
    }

    fn stream(
        &self,
        conn: &mut Conn,
        after: u64,
        events: u64,
        gap: u64,
        signature: &str,
    ) -> io::Result<bool> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{signature}\r\n"
        );
        conn.send(head.as_bytes())?;
        let is_faulty = self
            .faults
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
        if is_faulty.is_ok() {
            self.record.note(&format!("{} breaks the answer off before its first event", self.id));
            conn.send(b"0\r\n\r\n")?;
            return Ok(true);
        }
        for number in after + 1..=events {
            if !conn.wait_open(Duration::from_millis(gap)) || self.is_down.load(Ordering::SeqCst) {
                return Ok(false);
            }
            let event = format!("id: {number}\ndata: word {number}\n\n");
            conn.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        conn.send(b"0\r\n\r\n")?;
        Ok(true)
    }
}
