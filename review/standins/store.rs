//! The platform's metadata store: rows, transactions, feeds and objects.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    json::{from_base64, to_base64, Json},
    net::{self, Req},
};

type Key = (String, String, String);
/// Addresses of servers as shown to one daemon, by the real address.
pub type Shown = Arc<Mutex<HashMap<String, String>>>;

const TX_TIME: Duration = Duration::from_millis(5);
const MAX_TX_WAIT: Duration = Duration::from_secs(1);
const READ_TIME: Duration = Duration::from_millis(4);
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1_000_000;
const MAX_PAGE_ROWS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;
const HISTORY: Duration = Duration::from_secs(20);
pub const ROW_BYTES: usize = 65_536;

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, (String, u64)>,
    history: Vec<(Key, u64, Instant)>,
    version: u64,
    /// Newest version whose changes are no longer kept.
    compacted: u64,
    /// When each part has ended the transactions that wait for it.
    busy_until: HashMap<String, Instant>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    start: Instant,
}

impl Store {
    pub fn new() -> Store {
        Store { state: Arc::default(), start: Instant::now() }
    }

    /// Opens an address of the store whose readers see the addresses of servers in `shown`.
    pub fn listen(&self, shown: &Shown) -> SocketAddr {
        let (store, shown) = (self.clone(), Arc::clone(shown));
        net::listen(move |stream| {
            net::serve_json(stream, |req| store.answer(req, &shown));
        })
    }

    /// Writes a row as the operator or a server.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let value = to_base64(value.to_string().as_bytes());
        state.write((table.to_owned(), String::new(), key.to_owned()), value);
        self.state.1.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        state.remove((table.to_owned(), String::new(), key.to_owned()));
        self.state.1.notify_all();
    }

    fn answer(&self, req: &Req, shown: &Shown) -> (u16, String) {
        let (status, reply) = match (req.method.as_str(), req.path()) {
            ("POST", "/v1/rows-tx") => self.transact(&req.body),
            ("GET", "/v1/rows-get") => {
                thread::sleep(READ_TIME);
                (200, self.page(req, shown))
            }
            ("GET", "/v1/rows-feed") => {
                thread::sleep(READ_TIME);
                match self.feed(req, shown) {
                    Some(reply) => (200, reply),
                    None => (410, Json::Null),
                }
            }
            _ => return (404, String::new()),
        };
        (status, reply.to_string())
    }

    fn transact(&self, body: &[u8]) -> (u16, Json) {
        let Some(tx) = Json::parse(body) else { return (400, Json::Null) };
        let (expected, put) = (tx.get("Expected").list(), tx.get("Put").list());
        let remove = tx.get("Remove").list();
        let all = || expected.iter().chain(put).chain(remove).map(row_key);
        let is_across = *tx.get("Across") == Json::Bool(true);
        let is_split = all().any(|key| Some(key.1) != all().next().map(|first| first.1));
        let size = |row: &Json| from_base64(row.get("Value").str()).map_or(usize::MAX, |v| v.len());
        if body.len() > MAX_CALL_BYTES
            || all().count() > MAX_ENTRIES
            || (is_split && !is_across)
            || put.iter().any(|row| size(row) > ROW_BYTES)
        {
            return (400, Json::Null);
        }
        if put.iter().chain(remove).map(row_key).any(|key| key.0 == "op" || key.0 == "servers") {
            return (403, Json::Null);
        }
        // A part handles one transaction after another, in the order of their arrival.
        let part = all().next().map(|key| key.1).unwrap_or_default();
        let wait = {
            let (mut state, now) = (self.state.0.lock().unwrap(), Instant::now());
            let until = state.busy_until.entry(part).or_insert(now);
            let wait = until.saturating_duration_since(now) + TX_TIME;
            if wait > MAX_TX_WAIT {
                return (429, Json::Null);
            }
            *until = now + wait;
            wait
        };
        thread::sleep(wait);
        let mut state = self.state.0.lock().unwrap();
        let now_ms = self.clock();
        let version = |key: &Key| state.rows.get(key).map_or(0, |(_, version)| *version);
        if expected.iter().any(|row| version(&row_key(row)) != row.get("Ver").num()) {
            let rows: Vec<_> =
                expected.iter().filter_map(|row| state.shown(&row_key(row), None)).collect();
            return (412, obj! { "Rows" => rows, "Ver" => state.version, "NowMs" => now_ms });
        }
        state.version += 1;
        remove.iter().for_each(|row| state.remove(row_key(row)));
        for row in put {
            state.write(row_key(row), row.get("Value").str().to_owned());
        }
        let version = state.version;
        self.state.1.notify_all();
        (200, obj! { "Ver" => version, "NowMs" => now_ms })
    }

    fn page(&self, req: &Req, shown: &Shown) -> Json {
        let state = self.state.0.lock().unwrap();
        let text = |name: &str| req.query(name).unwrap_or_default();
        let (table, part, from) = (text("Table"), text("part"), text("From"));
        let until = req.query("To");
        let limit = text("Limit").parse().unwrap_or(MAX_PAGE_ROWS).min(MAX_PAGE_ROWS);
        let wanted = |key: &&Key| {
            key.0 == table
                && key.1 == part
                && key.2 >= from
                && until.as_ref().is_none_or(|to| key.2 < *to)
        };
        let mut rows = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for key in state.rows.keys().filter(wanted) {
            let Some(row) = state.shown(key, Some(shown)) else { continue };
            bytes += row.get("Value").str().len();
            if rows.len() >= limit || (bytes > MAX_PAGE_BYTES && !rows.is_empty()) {
                more = true;
                break;
            }
            rows.push(row);
        }
        obj! { "Rows" => rows, "MorePages" => more, "Ver" => state.version, "NowMs" => self.clock() }
    }

    /// Returns the changes after a version; `None` if they are no longer kept.
    fn feed(&self, req: &Req, shown: &Shown) -> Option<Json> {
        let table = req.query("Table").unwrap_or_default();
        let after: u64 = req.query("After")?.parse().ok()?;
        let wait: u64 = req.query("WaitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            state.forget_history();
            if after < state.compacted {
                return None;
            }
            let mut newest: BTreeMap<&Key, u64> = BTreeMap::new();
            let changes =
                state.history.iter().filter(|(key, version, _)| key.0 == table && *version > after);
            for (key, version, _) in changes {
                newest.insert(key, *version);
            }
            let mut changed: Vec<_> = newest.into_iter().map(|(key, ver)| (ver, key)).collect();
            changed.sort();
            let rows: Vec<_> = changed
                .into_iter()
                .map(|(ver, key)| {
                    state.shown(key, Some(shown)).unwrap_or_else(|| {
                        obj! { "Table" => key.0.as_str(), "part" => key.1.as_str(),
                        "Key" => key.2.as_str(), "Ver" => ver, "Deleted" => true }
                    })
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return Some(
                    obj! { "Rows" => rows, "Ver" => state.version, "NowMs" => self.clock() },
                );
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn clock(&self) -> u64 {
        1_000 + self.start.elapsed().as_millis() as u64
    }
}

impl State {
    fn write(&mut self, key: Key, value: String) {
        self.rows.insert(key.clone(), (value, self.version));
        self.history.push((key, self.version, Instant::now()));
    }

    fn remove(&mut self, key: Key) {
        if self.rows.remove(&key).is_some() {
            self.history.push((key, self.version, Instant::now()));
        }
    }

    fn forget_history(&mut self) {
        let old = self.history.iter().take_while(|(.., at)| at.elapsed() > HISTORY).count();
        if let Some((_, version, _)) = self.history[..old].last() {
            self.compacted = *version;
        }
        self.history.drain(..old);
    }

    fn shown(&self, key: &Key, shown: Option<&Shown>) -> Option<Json> {
        let (value, version) = self.rows.get(key)?;
        let mut value = value.clone();
        if let Some(shown) = shown.filter(|_| key.0 == "servers") {
            let shown = shown.lock().unwrap();
            let entry = from_base64(&value).and_then(|bytes| Json::parse(&bytes));
            if let Some(mut entry) = entry {
                let address = shown.get(entry.get("Address").str()).cloned();
                if let Some(address) = address {
                    entry.set("Address", address.into());
                    value = to_base64(entry.to_string().as_bytes());
                }
            }
        }
        Some(obj! { "Table" => key.0.as_str(), "part" => key.1.as_str(), "Key" => key.2.as_str(),
        "Value" => value, "Ver" => *version })
    }
}

fn row_key(row: &Json) -> Key {
    let text = |name: &str| row.get(name).str().to_owned();
    (text("Table"), text("part"), text("Key"))
}
