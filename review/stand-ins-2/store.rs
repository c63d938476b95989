//! The platform's store on loopback: rows, transactions and feeds, as PROTOCOL.md has them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{response, serve, Message, Next},
    json::{base64, Json},
    Random,
};

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    history: Vec<(Key, u64)>,
    blobs: BTreeMap<String, Vec<u8>>,
    version: u64,
    /// Share of the transactions that get no answer and are done 1 to 6 s later.
    late_share: f64,
    late: u64,
    random: Random,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

/// Time of a read, and of a transaction.
const READ_TIME: Duration = Duration::from_millis(4);
const TX_TIME: Duration = Duration::from_millis(5);
/// Time of a call on an object.
const BLOB_TIME: Duration = Duration::from_millis(25);
/// Maximum number of rows in a reply.
const MAX_ROWS: usize = 500;
/// Maximum size of the rows in a reply and of a call.
const MAX_BYTES: usize = 1_000_000;
/// Maximum number of entries of a call.
const MAX_ENTRIES: usize = 100;

impl Store {
    pub fn start(seed: u64) -> Store {
        let rows: Arc<(Mutex<Rows>, Condvar)> = Arc::default();
        rows.0.lock().unwrap().random = Random::new(seed);
        let mut store = Store { addr: ([127, 0, 0, 1], 0).into(), rows, started: Instant::now() };
        let handle = store.clone();
        store.addr = serve(move |req, _| handle.answer(req));
        store
    }

    /// Sets the share of the transactions that get no answer and are done later.
    pub fn lose_answers(&self, share: f64) {
        self.rows.0.lock().unwrap().late_share = share;
    }

    /// Returns how many transactions were done late.
    pub fn late(&self) -> u64 {
        self.rows.0.lock().unwrap().late
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(key.clone(), (base64(value.as_bytes()), version));
        rows.history.push((key, version));
        self.rows.1.notify_all();
    }

    fn reply(&self, status: u16, body: Json) -> Next {
        let headers = [("Content-Type", "application/json")];
        Next::Send(response(status, &headers, body.to_string().as_bytes()))
    }

    fn answer(&self, req: &Message) -> Next {
        match (req.method(), req.path()) {
            ("POST", "/v1/rows-tx") => self.transact(req),
            ("GET", "/v1/rows-get") => self.read(req),
            ("GET", "/v1/rows-feed") => self.feed(req),
            (method, path) => match path.strip_prefix("/v1/blob-") {
                Some(rest) => self.blob(method, rest, req),
                None => self.reply(404, Json::Null),
            },
        }
    }

    fn blob(&self, method: &str, rest: &str, req: &Message) -> Next {
        thread::sleep(BLOB_TIME);
        let Some((call, name)) = rest.split_once('/') else { return self.reply(404, Json::Null) };
        let mut rows = self.rows.0.lock().unwrap();
        match (method, call) {
            ("PUT", "put")
                if rows.blobs.contains_key(name) && req.header("if-none-match") == "*" =>
            {
                self.reply(412, Json::Null)
            }
            ("PUT", "put") => {
                rows.blobs.insert(name.to_owned(), req.body.clone());
                self.reply(200, Json::Null)
            }
            ("GET", "get") => match rows.blobs.get(name) {
                Some(bytes) => Next::Send(response(200, &[], bytes)),
                None => self.reply(404, Json::Null),
            },
            ("DELETE", "drop") => {
                rows.blobs.remove(name);
                self.reply(200, Json::Null)
            }
            _ => self.reply(404, Json::Null),
        }
    }

    fn transact(&self, req: &Message) -> Next {
        thread::sleep(TX_TIME);
        let Some(tx) = Json::parse(&req.text()) else { return self.reply(400, Json::Null) };
        let entries: usize =
            ["Expected", "Put", "Remove"].iter().map(|list| tx.get(list).list().len()).sum();
        if entries > MAX_ENTRIES || req.body.len() > MAX_BYTES {
            return self.reply(400, Json::Null);
        }
        let delay = {
            let mut rows = self.rows.0.lock().unwrap();
            let share = rows.late_share;
            let is_late = rows.random.next() < share;
            is_late.then(|| Duration::from_secs_f64(1.0 + 5.0 * rows.random.next()))
        };
        if let Some(delay) = delay {
            let store = self.clone();
            thread::spawn(move || {
                thread::sleep(delay);
                drop(store.apply(&tx));
                store.rows.0.lock().unwrap().late += 1;
            });
            return Next::Silent;
        }
        match self.apply(&tx) {
            Ok(version) => self.reply(200, self.page(Vec::new(), false, version)),
            Err(found) => self.reply(412, self.page(found, false, 0)),
        }
    }

    /// Applies all entries, or returns the rows that differ from what was expected.
    fn apply(&self, tx: &Json) -> Result<u64, Vec<Json>> {
        let mut rows = self.rows.0.lock().unwrap();
        let expected = tx.get("Expected").list();
        let version_of = |row: &Json| rows.rows.get(&key(row)).map_or(0, |(_, version)| *version);
        if expected.iter().any(|row| version_of(row) != row.get("Ver").number()) {
            let found = expected.iter().filter_map(|row| shown(&rows, &key(row)));
            return Err(found.collect());
        }
        rows.version += 1;
        let version = rows.version;
        for row in tx.get("Remove").list() {
            if rows.rows.remove(&key(row)).is_some() {
                rows.history.push((key(row), version));
            }
        }
        for row in tx.get("Put").list() {
            rows.rows.insert(key(row), (row.get("Value").text().to_owned(), version));
            rows.history.push((key(row), version));
        }
        self.rows.1.notify_all();
        Ok(version)
    }

    fn page(&self, rows: Vec<Json>, more: bool, version: u64) -> Json {
        let now_ms = self.started.elapsed().as_millis() as f64;
        Json::Table(BTreeMap::from([
            ("Rows".to_owned(), Json::List(rows)),
            ("MorePages".to_owned(), Json::Bool(more)),
            ("Ver".to_owned(), Json::Number(version as f64)),
            ("NowMs".to_owned(), Json::Number(now_ms)),
        ]))
    }

    fn read(&self, req: &Message) -> Next {
        thread::sleep(READ_TIME);
        let text = |name: &str| req.parameter(name).unwrap_or_default();
        let (table, part, from, to) =
            (text("Table"), text("part"), text("From"), req.parameter("To"));
        let rows = self.rows.0.lock().unwrap();
        let (mut found, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (value, _)) in &rows.rows {
            let is_wanted = key.0 == table
                && key.1 == part
                && key.2 >= from
                && to.as_ref().is_none_or(|to| key.2 < *to);
            if !is_wanted {
                continue;
            }
            bytes += value.len();
            if found.len() == MAX_ROWS || (bytes > MAX_BYTES && !found.is_empty()) {
                more = true;
                break;
            }
            found.extend(shown(&rows, key));
        }
        let page = self.page(found, more, rows.version);
        self.reply(200, page)
    }

    fn feed(&self, req: &Message) -> Next {
        let number = |name: &str| -> u64 {
            req.parameter(name).and_then(|value| value.parse().ok()).unwrap_or_default()
        };
        let table = req.parameter("Table").unwrap_or_default();
        let after = number("After");
        let until = Instant::now() + Duration::from_millis(number("WaitMs"));
        let mut rows = self.rows.0.lock().unwrap();
        loop {
            let first = rows.history.partition_point(|(_, version)| *version <= after);
            let changed: Vec<Json> = rows.history[first..]
                .iter()
                .filter(|(key, _)| key.0 == table)
                .map(|(key, version)| shown(&rows, key).unwrap_or_else(|| deleted(key, *version)))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let page = self.page(changed, false, rows.version);
                drop(rows);
                thread::sleep(READ_TIME);
                return self.reply(200, page);
            }
            rows = self.rows.1.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn key(row: &Json) -> Key {
    let text = |name: &str| row.get(name).text().to_owned();
    (text("Table"), text("part"), text("Key"))
}

fn row(key: &Key, version: u64) -> BTreeMap<String, Json> {
    BTreeMap::from([
        ("Table".to_owned(), Json::Text(key.0.clone())),
        ("part".to_owned(), Json::Text(key.1.clone())),
        ("Key".to_owned(), Json::Text(key.2.clone())),
        ("Ver".to_owned(), Json::Number(version as f64)),
    ])
}

fn shown(rows: &Rows, key: &Key) -> Option<Json> {
    let (value, version) = rows.rows.get(key)?;
    let mut row = row(key, *version);
    row.insert("Value".to_owned(), Json::Text(value.clone()));
    Some(Json::Table(row))
}

fn deleted(key: &Key, version: u64) -> Json {
    let mut row = row(key, version);
    row.insert("Deleted".to_owned(), Json::Bool(true));
    Json::Table(row)
}
