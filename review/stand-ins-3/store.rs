//! Stand-in of the platform's metadata store: rows, transactions, changes and objects, all in memory.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Conn, Message},
    json::{parse, quote, Json},
};

type Key = (String, String, String);

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, (Vec<u8>, u64)>,
    version: u64,
    /// All changes in order; `None` for a removed row.
    changes: Vec<(u64, Key, Option<Vec<u8>>)>,
    objects: BTreeMap<String, Vec<u8>>,
    /// Addresses of servers, as the daemons at the second address of the store are told them.
    other_addresses: Vec<(String, String)>,
}

/// The store. It has a second address: daemons that use it are told other addresses of the servers, those of
/// proxies, so that their links to the servers can be cut.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
    pub addr: SocketAddr,
    pub second_addr: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Store> {
        let listeners = [TcpListener::bind("127.0.0.1:0")?, TcpListener::bind("127.0.0.1:0")?];
        let store = Store {
            state: Arc::default(),
            started: Instant::now(),
            addr: listeners[0].local_addr()?,
            second_addr: listeners[1].local_addr()?,
        };
        for (index, listener) in listeners.into_iter().enumerate() {
            let store = store.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = store.clone();
                    thread::spawn(move || drop(store.serve(Conn::new(stream), index == 1)));
                }
            });
        }
        Ok(store)
    }

    /// Tells the daemons at the second address that the server at `addr` listens at `other`.
    pub fn map_server(&self, addr: SocketAddr, other: SocketAddr) {
        let pair = (format!("\"{addr}\""), format!("\"{other}\""));
        self.state.0.lock().unwrap().other_addresses.push(pair);
    }

    /// Writes a row without a condition, as the operator and the servers do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.apply(vec![(key, Some(value.as_bytes().to_vec()))]);
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.apply(vec![((table.to_owned(), String::new(), key.to_owned()), None)]);
    }

    /// Returns the values of the rows of a table whose keys begin with `prefix`.
    pub fn values(&self, table: &str, prefix: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let rows =
            state.rows.iter().filter(|((of, _, key), _)| of == table && key.starts_with(prefix));
        rows.map(|((_, _, key), (value, _))| format!("{key} {}", String::from_utf8_lossy(value)))
            .collect()
    }

    fn apply(&self, changes: Vec<(Key, Option<Vec<u8>>)>) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        let version = apply(&mut state, changes);
        self.state.1.notify_all();
        version
    }

    fn now_ms(&self) -> u128 {
        50_000 + self.started.elapsed().as_millis()
    }

    fn serve(&self, mut conn: Conn, is_second: bool) -> io::Result<()> {
        while let Some(req) = conn.message()? {
            let (status, body) = self.answer(&req, is_second);
            conn.respond(&status, "Content-Type: application/json\r\n", &body)?;
        }
        Ok(())
    }

    fn answer(&self, req: &Message, is_second: bool) -> (String, Vec<u8>) {
        let path = req.path().to_owned();
        if let Some(name) = path.strip_prefix("/v1/blob-put/") {
            let mut state = self.state.0.lock().unwrap();
            if state.objects.contains_key(name) && req.header("if-none-match") == "*" {
                return ("412 Precondition Failed".into(), Vec::new());
            }
            state.objects.insert(name.to_owned(), req.body.clone());
            return ("200 OK".into(), Vec::new());
        }
        if let Some(name) = path.strip_prefix("/v1/blob-get/") {
            let object = self.state.0.lock().unwrap().objects.get(name).cloned();
            return match object {
                Some(object) => ("200 OK".into(), object),
                None => ("404 Not Found".into(), Vec::new()),
            };
        }
        if let Some(name) = path.strip_prefix("/v1/blob-drop/") {
            self.state.0.lock().unwrap().objects.remove(name);
            return ("200 OK".into(), Vec::new());
        }
        match path.as_str() {
            "/v1/rows-tx" => {
                thread::sleep(Duration::from_millis(5));
                self.transact(&parse(&req.body))
            }
            "/v1/rows-get" => ("200 OK".into(), self.rows(req, is_second)),
            "/v1/rows-feed" => ("200 OK".into(), self.feed(req, is_second)),
            _ => ("404 Not Found".into(), Vec::new()),
        }
    }

    fn transact(&self, tx: &Json) -> (String, Vec<u8>) {
        let key = |row: &Json| -> Key {
            let text = |name| row.get(name).text().to_owned();
            (text("Table"), text("part"), text("Key"))
        };
        let mut state = self.state.0.lock().unwrap();
        let version =
            |state: &State, key: &Key| state.rows.get(key).map_or(0, |(_, version)| *version);
        let expected = tx.get("Expected").list();
        let holds =
            expected.iter().all(|row| version(&state, &key(row)) == row.get("Ver").number());
        if !holds {
            let rows: Vec<_> = expected
                .iter()
                .filter_map(|row| {
                    let key = key(row);
                    let (value, version) = state.rows.get(&key)?;
                    Some(encode_row(&key, Some(value), *version))
                })
                .collect();
            let body = self.reply(&rows, state.version, "");
            return ("412 Precondition Failed".into(), body);
        }
        let puts = tx.get("Put").list().iter();
        let puts = puts.map(|row| (key(row), Some(from_base64(row.get("Value").text()))));
        let removes = tx.get("Remove").list().iter().map(|row| (key(row), None));
        let changes = puts.chain(removes).collect();
        let version = apply(&mut state, changes);
        self.state.1.notify_all();
        ("200 OK".into(), self.reply(&[], version, ""))
    }

    fn reply(&self, rows: &[String], version: u64, more: &str) -> Vec<u8> {
        let now = self.now_ms();
        format!("{{\"Rows\":[{}],{more}\"Ver\":{version},\"NowMs\":{now}}}", rows.join(","))
            .into_bytes()
    }

    fn rows(&self, req: &Message, is_second: bool) -> Vec<u8> {
        let parameter = |name: &str| req.query(name).unwrap_or_default();
        let (table, part, from) = (parameter("Table"), parameter("part"), parameter("From"));
        let until = req.query("To");
        let limit = req.query("Limit").and_then(|limit| limit.parse().ok()).unwrap_or(500).min(500);
        let state = self.state.0.lock().unwrap();
        let found = state.rows.iter().filter(|((of, in_part, key), _)| {
            *of == table
                && *in_part == part
                && *key >= from
                && until.as_ref().is_none_or(|to| key < to)
        });
        let mut rows: Vec<_> = found
            .take(limit + 1)
            .map(|(key, (value, version))| {
                encode_row(key, Some(&state.shown(key, value, is_second)), *version)
            })
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        self.reply(&rows, state.version, &format!("\"MorePages\":{more},"))
    }

    fn feed(&self, req: &Message, is_second: bool) -> Vec<u8> {
        let table = req.query("Table").unwrap_or_default();
        let number =
            |name: &str| req.query(name).and_then(|text| text.parse().ok()).unwrap_or(0u64);
        let after = number("After");
        let until = Instant::now() + Duration::from_millis(number("WaitMs").min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let first = state.changes.partition_point(|(version, ..)| *version <= after);
            let changed = state.changes[first..].iter().filter(|(_, key, _)| key.0 == table);
            let rows: Vec<_> = changed
                .map(|(version, key, value)| match value {
                    Some(value) => {
                        encode_row(key, Some(&state.shown(key, value, is_second)), *version)
                    }
                    None => encode_row(key, None, *version),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.reply(&rows, state.version, "");
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn shown(&self, key: &Key, value: &[u8], is_second: bool) -> Vec<u8> {
        if !is_second || key.0 != "servers" {
            return value.to_vec();
        }
        let mut text = String::from_utf8_lossy(value).into_owned();
        for (addr, other) in &self.other_addresses {
            text = text.replace(addr, other);
        }
        text.into_bytes()
    }
}

fn apply(state: &mut State, changes: Vec<(Key, Option<Vec<u8>>)>) -> u64 {
    state.version += 1;
    let version = state.version;
    for (key, value) in changes {
        match &value {
            Some(value) => drop(state.rows.insert(key.clone(), (value.clone(), version))),
            None => drop(state.rows.remove(&key)),
        }
        state.changes.push((version, key, value));
    }
    version
}

fn encode_row(key: &Key, value: Option<&[u8]>, version: u64) -> String {
    let end = match value {
        Some(value) => format!("\"Value\":\"{}\"", to_base64(value)),
        None => "\"Deleted\":true".to_owned(),
    };
    let (table, part, key) = (quote(&key.0), quote(&key.1), quote(&key.2));
    format!("{{\"Table\":{table},\"part\":{part},\"Key\":{key},\"Ver\":{version},{end}}}")
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let word = three.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - three.len()));
        for index in 0..4 {
            match index <= three.len() {
                true => out.push(DIGITS[(word >> (18 - 6 * index) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == byte) else { continue };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    out
}
