//! The manifest in force at one daemon; its revision never decreases.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use buckthornfall_proto::{
    check,
    digest::sha256_hex,
    ids::{HostId, Revision},
    manifest::Manifest,
    messages::{ManifestPush, ManifestRow},
};

use json_patch::Patch;
use serde_json::Value;

use crate::{
    commit::{object_key, HEAD_KEY},
    table::{self, ReadResult},
    Now,
};

/// Action requested by a [`Config`].
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigAction {
    /// Read the head row.
    ReadHead {
        /// Key of the row.
        key: &'static str,
    },
    /// Get a manifest from the object store.
    GetObject {
        /// Key of the object.
        key: String,
        /// Revision of the manifest.
        revision: Revision,
    },
    /// Request a newer manifest from another daemon.
    PullFrom {
        /// The daemon's host.
        host: HostId,
        /// The revision in force here.
        above: Revision,
    },
    /// A manifest came into force.
    InForce(InForce),
    /// A manifest is invalid and was rejected.
    Rejected {
        /// Its revision.
        revision: Revision,
        /// Why it is invalid.
        reason: String,
    },
}

/// Manifest in force.
#[derive(Debug, Clone, PartialEq)]
pub struct InForce {
    /// Its revision.
    pub revision: Revision,
    /// SHA-256 of its text.
    pub hash: String,
    /// Its text.
    pub content: Arc<str>,
    /// Its text as a JSON document, for patches.
    pub document: Arc<Value>,
    /// Its parsed content.
    pub manifest: Arc<Manifest>,
}

/// Difference between two revisions that were in force in succession.
#[derive(Debug, Clone)]
struct Change {
    base: Revision,
    revision: Revision,
    patch: Patch,
}

/// Returns the text of a manifest; equal documents have equal texts.
pub fn canonical_text(document: &Value) -> String {
    serde_json::to_string_pretty(document).expect("a JSON value serializes")
}

/// Interval at which a daemon polls the head row.
pub const POLL_INTERVAL: Duration = Duration::from_secs(4);
/// Timeout of a pull from another daemon.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a daemon waits for a manifest from its peers before it fetches the object itself.
const FETCH_DELAY: Duration = Duration::from_secs(3);
/// Maximum number of changes retained for daemons that are behind.
const MAX_CHANGES: usize = 64;

/// Keeps the manifest of one daemon up to date.
#[derive(Debug, Default)]
pub struct Config {
    in_force: Option<InForce>,
    /// Latest head row that was read, whose manifest may not be in force yet.
    wanted: Option<ManifestRow>,
    /// Highest invalid revision; not requested again.
    rejected: Revision,
    next_poll: Now,
    /// When the pending pull from another daemon started.
    pull_started: Option<Now>,
    /// When the object of the wanted head row is fetched, unless a daemon sends it before.
    fetch_at: Option<Now>,
    /// The latest changes, oldest first and without gaps.
    changes: VecDeque<Change>,
}

impl Config {
    /// Creates a configuration without a manifest; the first poll is due `offset` after the start.
    pub fn new(offset: Duration) -> Config {
        Config { next_poll: offset, ..Config::default() }
    }

    /// Returns the manifest in force.
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// Returns the revision in force, or 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.in_force.as_ref().map_or(0, |in_force| in_force.revision)
    }

    /// Polls the head row, expires a pending pull and fetches a due object.
    pub fn tick(&mut self, now: Now, out: &mut Vec<ConfigAction>) {
        if now >= self.next_poll {
            self.next_poll = now + POLL_INTERVAL;
            out.push(ConfigAction::ReadHead { key: HEAD_KEY });
        }
        if self.pull_started.is_some_and(|since| now.saturating_sub(since) > PULL_TIMEOUT) {
            self.pull_started = None;
        }
        if self.fetch_at.is_some_and(|at| now >= at) {
            self.fetch(now, out);
        }
    }

    /// Handles the head row.
    pub fn on_head(&mut self, now: Now, reply: &ReadResult, out: &mut Vec<ConfigAction>) {
        let Ok(row) = reply else { return };
        let Some(head) = table::value::<ManifestRow>(row) else { return };
        if head.revision <= self.revision().max(self.rejected) {
            return;
        }
        let is_first = self.in_force.is_none();
        let is_new = self.wanted.as_ref().is_none_or(|wanted| wanted.revision < head.revision);
        self.wanted = Some(head);
        if is_first {
            self.fetch(now, out);
        } else if is_new {
            self.fetch_at.get_or_insert(now + FETCH_DELAY);
        }
    }

    /// Installs a manifest that this daemon itself committed.
    pub fn on_committed(&mut self, row: &ManifestRow, content: &str, out: &mut Vec<ConfigAction>) {
        self.install(row.revision, &row.hash, content, out);
    }

    /// Installs the manifest from the object of the head row.
    pub fn on_object(&mut self, revision: Revision, content: &str, out: &mut Vec<ConfigAction>) {
        let Some(wanted) = self.wanted.clone().filter(|w| w.revision == revision) else { return };
        self.install(wanted.revision, &wanted.hash, content, out);
    }

    /// Handles the revision in force at another daemon; pulls the manifest if it is newer.
    pub fn on_peer_revision(
        &mut self,
        now: Now,
        host: &str,
        revision: Revision,
        out: &mut Vec<ConfigAction>,
    ) {
        if revision > self.revision().max(self.rejected) && self.pull_started.is_none() {
            self.pull_started = Some(now);
            out.push(ConfigAction::PullFrom { host: host.to_owned(), above: self.revision() });
        }
    }

    /// Installs a manifest from another daemon.
    pub fn on_push(&mut self, push: &ManifestPush, out: &mut Vec<ConfigAction>) {
        self.pull_started = None;
        if push.base == 0 {
            self.install(push.revision, &push.hash, &push.content, out);
        } else if push.base == self.revision() {
            if let Some(content) = self.patched(&push.content) {
                self.install(push.revision, &push.hash, &content, out);
            }
        }
    }

    /// Returns the manifest in force for a daemon that has revision `above`: the patches since that
    /// revision if they are retained, or else the full text. Returns `None` if it is not newer.
    pub fn push_above(&self, host: &str, above: Revision) -> Option<ManifestPush> {
        let in_force = self.in_force.as_ref().filter(|in_force| in_force.revision > above)?;
        let patches = self.patches_since(above);
        let (base, content) = match &patches {
            Some(patches) => {
                (above, serde_json::to_string(patches).expect("patches serialize to JSON"))
            }
            None => (0, in_force.content.to_string()),
        };
        Some(ManifestPush {
            from: host.to_owned(),
            revision: in_force.revision,
            hash: in_force.hash.clone(),
            base,
            content,
        })
    }

    fn fetch(&mut self, now: Now, out: &mut Vec<ConfigAction>) {
        self.fetch_at = None;
        let Some(wanted) = self.wanted.as_ref().filter(|w| w.revision > self.revision()) else {
            return;
        };
        self.fetch_at = Some(now + FETCH_DELAY);
        let key = object_key(&wanted.hash);
        out.push(ConfigAction::GetObject { key, revision: wanted.revision });
    }

    fn patches_since(&self, above: Revision) -> Option<Vec<&Patch>> {
        let start = self.changes.iter().position(|change| change.base == above)?;
        Some(self.changes.range(start..).map(|change| &change.patch).collect())
    }

    /// Returns the text in force with patches applied, or `None` if they do not apply.
    fn patched(&self, patches: &str) -> Option<String> {
        let patches: Vec<Patch> = serde_json::from_str(patches).ok()?;
        let mut document = Value::clone(&self.in_force.as_ref()?.document);
        for patch in &patches {
            json_patch::patch(&mut document, patch).ok()?;
        }
        Some(canonical_text(&document))
    }

    fn record_change(&mut self, next: &InForce) {
        let Some(old) = &self.in_force else { return };
        let patch = json_patch::diff(&old.document, &next.document);
        let change = Change { base: old.revision, revision: next.revision, patch };
        if self.changes.back().is_some_and(|last| last.revision != change.base) {
            self.changes.clear();
        }
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    fn install(
        &mut self,
        revision: Revision,
        hash: &str,
        content: &str,
        out: &mut Vec<ConfigAction>,
    ) {
        if revision <= self.revision() {
            return;
        }
        if sha256_hex(content.as_bytes()) != hash {
            let reason = format!("its content does not have hash {hash}");
            out.push(ConfigAction::Rejected { revision, reason });
            return;
        }
        let document: Value = serde_json::from_str(content).unwrap_or_default();
        match check::manifest_value(document.clone()) {
            Ok(manifest) => {
                let in_force = InForce {
                    revision,
                    hash: hash.to_owned(),
                    content: Arc::from(content),
                    document: Arc::new(document),
                    manifest: Arc::new(manifest),
                };
                self.record_change(&in_force);
                self.in_force = Some(in_force.clone());
                out.push(ConfigAction::InForce(in_force));
            }
            Err(e) => {
                self.rejected = self.rejected.max(revision);
                out.push(ConfigAction::Rejected { revision, reason: e.to_string() });
            }
        }
    }
}
