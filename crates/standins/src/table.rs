//! The transactional table service: rows with versions, and transactions with conditions.

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
};

use buckthornfall_proto::messages::{Row, ScanAnswer, Txn, TxnAnswer};

use crate::{
    faults::{Fate, Faults},
    server::{Call, Handler, Result, Server},
};

#[derive(Debug, Clone)]
struct Stored {
    version: u64,
    value: String,
}

/// The rows, without the server: tests drive it directly.
#[derive(Debug, Default)]
pub struct Rows {
    rows: BTreeMap<String, Stored>,
    /// Grows with each write, so that a version is never used twice.
    last_version: u64,
}

impl Rows {
    /// Runs a transaction: all writes if all checks hold, or none.
    pub fn run(&mut self, txn: &Txn) -> TxnAnswer {
        let committed =
            txn.checks.iter().all(|check| self.read(&check.key).version == check.version);
        if committed {
            for write in &txn.writes {
                self.write(&write.key, &write.value);
            }
        }
        let rows = txn.checks.iter().map(|check| self.read(&check.key)).collect();
        TxnAnswer { committed, rows }
    }

    /// Reads a row.
    pub fn read(&self, key: &str) -> Row {
        match self.rows.get(key) {
            Some(stored) => {
                Row { key: key.to_owned(), version: stored.version, value: stored.value.clone() }
            }
            None => Row { key: key.to_owned(), version: 0, value: String::new() },
        }
    }

    /// Rows under a prefix.
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        let from = self.rows.range(prefix.to_owned()..);
        from.take_while(|(key, _)| key.starts_with(prefix)).map(|(key, _)| self.read(key)).collect()
    }

    fn write(&mut self, key: &str, value: &str) {
        self.last_version += 1;
        if value.is_empty() {
            self.rows.remove(key);
        } else {
            let stored = Stored { version: self.last_version, value: value.to_owned() };
            self.rows.insert(key.to_owned(), stored);
        }
    }
}

/// The table service.
#[derive(Debug, Default)]
pub struct Table {
    rows: Mutex<Rows>,
    reads: AtomicU64,
    writes: AtomicU64,
    /// Faults to show.
    pub faults: Faults,
}

impl Table {
    /// Serves the table on `listen`.
    pub fn serve(self: &Arc<Table>, listen: &str) -> Result<Server> {
        Server::start(listen, THREADS, Arc::clone(self))
    }

    /// Reads and transactions so far.
    pub fn operations(&self) -> Operations {
        Operations {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
        }
    }

    /// Rows under a prefix, without a request.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.rows.lock().expect("no holder panics").scan(prefix)
    }
}

/// Operations that a table answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Operations {
    /// Reads and scans.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
}

const THREADS: usize = 16;

impl Handler for Table {
    fn handle(&self, call: Call) {
        let is_write = call.method == "POST";
        let fate = self.faults.next(is_write);
        if fate == Fate::Drop {
            return call.hang_up();
        }
        let counter = if is_write { &self.writes } else { &self.reads };
        counter.fetch_add(1, Ordering::Relaxed);
        let mut rows = self.rows.lock().expect("no holder panics");
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/v1/txn") => {
                let Some((call, txn)) = call.json::<Txn>() else { return };
                let answer = rows.run(&txn);
                drop(rows);
                match fate {
                    Fate::LoseReply => call.hang_up(),
                    _ => call.reply(&answer),
                }
            }
            ("GET", "/v1/rows") => {
                let row = rows.read(call.parameter("key"));
                drop(rows);
                call.reply(&row);
            }
            ("GET", "/v1/scan") => {
                let found = rows.scan(call.parameter("prefix"));
                drop(rows);
                call.reply(&ScanAnswer { rows: found });
            }
            _ => call.text(404, "no such path"),
        }
    }
}
