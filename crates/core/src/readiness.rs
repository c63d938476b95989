//! What a daemon must have read of the store before it takes requests.

use std::collections::BTreeSet;

/// A table that every daemon follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Table {
    /// The operator's desired state and named versions.
    Operator,
    /// Entries of servers.
    Servers,
    /// What the daemons tell each other.
    Fleet,
}

impl Table {
    /// All of them.
    pub const ALL: [Table; 3] = [Table::Operator, Table::Servers, Table::Fleet];
}

/// The tables that were read whole since the start of the daemon.
#[derive(Debug, Clone, Default)]
pub struct Readiness {
    read: BTreeSet<Table>,
}

impl Readiness {
    /// Notes that a table was read whole; it may be read again when its history is lost.
    pub fn on_read(&mut self, table: Table) {
        self.read.insert(table);
    }

    /// Whether each table has been read.
    pub fn is_complete(&self) -> bool {
        self.read.len() == Table::ALL.len()
    }
}
