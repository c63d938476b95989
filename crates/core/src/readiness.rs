//! Tables that a daemon must have read before it accepts requests.

use std::collections::BTreeSet;

/// A table that every daemon follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Table {
    /// Desired state and named weight versions.
    Operator,
    /// Directory entries of the backend servers.
    Servers,
    /// State shared among the daemons.
    Fleet,
}

impl Table {
    /// All tables.
    pub const ALL: [Table; 3] = [Table::Operator, Table::Servers, Table::Fleet];
}

/// Tables that were read completely since the daemon started.
#[derive(Debug, Clone, Default)]
pub struct Readiness {
    read_tables: BTreeSet<Table>,
}

impl Readiness {
    /// Records that a table was read completely. A table is reread when its change history is lost.
    pub fn on_read(&mut self, table: Table) {
        self.read_tables.insert(table);
    }

    /// Returns whether all tables have been read.
    pub fn is_complete(&self) -> bool {
        self.read_tables.len() == Table::ALL.len()
    }
}
