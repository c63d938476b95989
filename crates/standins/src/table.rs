//! Transactional table service: versioned rows, and transactions with preconditions.

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
};

use buckthornfall_proto::messages::{Row, ScanAnswer, Txn, TxnAnswer};

use crate::{
    faults::{FaultAction, Faults},
    server::{Call, Handler, Result, Server},
};

#[derive(Debug, Clone)]
struct StoredRow {
    version: u64,
    value: String,
}

/// Rows of the table, without the server, so that tests can use them directly.
#[derive(Debug, Default)]
pub struct Rows {
    rows: BTreeMap<String, StoredRow>,
    /// Incremented with each write, so that no version is used twice, even after a deletion.
    last_version: u64,
}

impl Rows {
    /// Executes a transaction: applies all writes if all checks hold, and none otherwise.
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

    /// Returns a row; version 0 if it does not exist.
    pub fn read(&self, key: &str) -> Row {
        match self.rows.get(key) {
            Some(stored) => {
                Row { key: key.to_owned(), version: stored.version, value: stored.value.clone() }
            }
            None => Row { key: key.to_owned(), version: 0, value: String::new() },
        }
    }

    /// Returns the rows whose keys start with `prefix`.
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        let from = self.rows.range(prefix.to_owned()..);
        from.take_while(|(key, _)| key.starts_with(prefix)).map(|(key, _)| self.read(key)).collect()
    }

    fn write(&mut self, key: &str, value: &str) {
        self.last_version += 1;
        if value.is_empty() {
            self.rows.remove(key);
        } else {
            let stored = StoredRow { version: self.last_version, value: value.to_owned() };
            self.rows.insert(key.to_owned(), stored);
        }
    }
}

/// Table service.
#[derive(Debug, Default)]
pub struct Table {
    rows: Mutex<Rows>,
    reads: AtomicU64,
    writes: AtomicU64,
    /// Faults to inject.
    pub faults: Faults,
}

impl Table {
    /// Starts serving the table on `listen`.
    pub fn serve(self: &Arc<Table>, listen: &str) -> Result<Server> {
        Server::start(listen, THREADS, Arc::clone(self))
    }

    /// Returns the numbers of reads and transactions so far.
    pub fn operations(&self) -> Operations {
        Operations {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
        }
    }

    /// Returns the rows whose keys start with `prefix`, without counting a read.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.rows.lock().expect("lock poisoned").scan(prefix)
    }
}

/// Number of operations executed by a table.
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
        let action = self.faults.next_action(is_write);
        if action == FaultAction::Drop {
            return call.close_connection();
        }
        let counter = if is_write { &self.writes } else { &self.reads };
        counter.fetch_add(1, Ordering::Relaxed);
        let mut rows = self.rows.lock().expect("lock poisoned");
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/v1/txn") => {
                let Some((call, txn)) = call.json::<Txn>() else { return };
                let answer = rows.run(&txn);
                drop(rows);
                match action {
                    FaultAction::LoseReply => call.close_connection(),
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
