//! The manifest in force at one daemon: it only ever moves to a higher revision.

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

/// What the configuration asks for.
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
        /// Revision that the object is for.
        revision: Revision,
    },
    /// Ask another daemon for a manifest above a revision.
    PullFrom {
        /// The daemon's host.
        host: HostId,
        /// The revision in force here.
        above: Revision,
    },
    /// A manifest came into force.
    InForce(InForce),
    /// A manifest was not valid and is not used.
    Rejected {
        /// Its revision.
        revision: Revision,
        /// What is wrong.
        reason: String,
    },
}

/// A manifest in force.
#[derive(Debug, Clone, PartialEq)]
pub struct InForce {
    /// Its revision.
    pub revision: Revision,
    /// SHA-256 of its text.
    pub hash: String,
    /// Its text.
    pub content: Arc<str>,
    /// The same as a JSON document, to apply changes to.
    pub document: Arc<Value>,
    /// The manifest.
    pub manifest: Arc<Manifest>,
}

/// What changed from one revision to the next.
#[derive(Debug, Clone)]
struct Change {
    base: Revision,
    revision: Revision,
    patch: Patch,
}

/// Text of a manifest, the same for the same document.
pub fn canonical_text(document: &Value) -> String {
    serde_json::to_string_pretty(document).expect("a JSON value is plain data")
}

/// Time between two reads of the head row by one daemon.
pub const POLL_INTERVAL: Duration = Duration::from_secs(4);
/// Longest wait for another daemon's manifest.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a daemon waits for another's manifest before it fetches the object itself.
const FETCH_AFTER: Duration = Duration::from_secs(3);
/// Changes that are kept for daemons that are behind.
const CHANGES_KEPT: usize = 64;

/// Keeps one daemon's manifest up to date.
#[derive(Debug, Default)]
pub struct Config {
    in_force: Option<InForce>,
    /// Newest head row read, if it is not in force yet.
    wanted: Option<ManifestRow>,
    /// Highest revision that was not valid; it is not asked for again.
    rejected: Revision,
    next_poll: Now,
    pulling: Option<Now>,
    /// When the object of the wanted head row is fetched, if no daemon has sent it by then.
    fetch_at: Option<Now>,
    /// The last changes, oldest first; each starts where the one before ends.
    changes: VecDeque<Change>,
}

impl Config {
    /// No manifest yet; the first poll is due `offset` after the start.
    pub fn new(offset: Duration) -> Config {
        Config { next_poll: offset, ..Config::default() }
    }

    /// The manifest in force.
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// The revision in force; 0 for none.
    pub fn revision(&self) -> Revision {
        self.in_force.as_ref().map_or(0, |in_force| in_force.revision)
    }

    /// Polls the head row when it is due.
    pub fn tick(&mut self, now: Now, out: &mut Vec<ConfigAction>) {
        if now >= self.next_poll {
            self.next_poll = now + POLL_INTERVAL;
            out.push(ConfigAction::ReadHead { key: HEAD_KEY });
        }
        if self.pulling.is_some_and(|since| now.saturating_sub(since) > PULL_TIMEOUT) {
            self.pulling = None;
        }
        if self.fetch_at.is_some_and(|at| now >= at) {
            self.fetch(now, out);
        }
    }

    /// Takes the head row.
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
            self.fetch_at.get_or_insert(now + FETCH_AFTER);
        }
    }

    /// Takes a manifest that this daemon itself committed.
    pub fn on_committed(&mut self, row: &ManifestRow, content: &str, out: &mut Vec<ConfigAction>) {
        self.install(row.revision, &row.hash, content, out);
    }

    /// Takes the object of the head row.
    pub fn on_object(&mut self, revision: Revision, content: &str, out: &mut Vec<ConfigAction>) {
        let Some(wanted) = self.wanted.clone().filter(|w| w.revision == revision) else { return };
        self.install(wanted.revision, &wanted.hash, content, out);
    }

    /// Takes the revision in force at another daemon.
    pub fn on_peer_revision(
        &mut self,
        now: Now,
        host: &str,
        revision: Revision,
        out: &mut Vec<ConfigAction>,
    ) {
        if revision > self.revision().max(self.rejected) && self.pulling.is_none() {
            self.pulling = Some(now);
            out.push(ConfigAction::PullFrom { host: host.to_owned(), above: self.revision() });
        }
    }

    /// Takes a manifest from another daemon.
    pub fn on_push(&mut self, push: &ManifestPush, out: &mut Vec<ConfigAction>) {
        self.pulling = None;
        if push.base == 0 {
            self.install(push.revision, &push.hash, &push.content, out);
        } else if push.base == self.revision() {
            if let Some(content) = self.patched(&push.content) {
                self.install(push.revision, &push.hash, &content, out);
            }
        }
    }

    /// The manifest in force, for a daemon that has only revision `above`: the changes since
    /// then if they are known, else the whole.
    pub fn push_above(&self, host: &str, above: Revision) -> Option<ManifestPush> {
        let in_force = self.in_force.as_ref().filter(|in_force| in_force.revision > above)?;
        let patches = self.patches_since(above);
        let (base, content) = match &patches {
            Some(patches) => (above, serde_json::to_string(patches).expect("plain data")),
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
        self.fetch_at = Some(now + FETCH_AFTER);
        let key = object_key(&wanted.hash);
        out.push(ConfigAction::GetObject { key, revision: wanted.revision });
    }

    fn patches_since(&self, above: Revision) -> Option<Vec<&Patch>> {
        let start = self.changes.iter().position(|change| change.base == above)?;
        Some(self.changes.range(start..).map(|change| &change.patch).collect())
    }

    /// The text in force with patches applied; `None` if they do not fit.
    fn patched(&self, patches: &str) -> Option<String> {
        let patches: Vec<Patch> = serde_json::from_str(patches).ok()?;
        let mut document = Value::clone(&self.in_force.as_ref()?.document);
        for patch in &patches {
            json_patch::patch(&mut document, patch).ok()?;
        }
        Some(canonical_text(&document))
    }

    fn remember_change(&mut self, next: &InForce) {
        let Some(old) = &self.in_force else { return };
        let patch = json_patch::diff(&old.document, &next.document);
        let change = Change { base: old.revision, revision: next.revision, patch };
        if self.changes.back().is_some_and(|last| last.revision != change.base) {
            self.changes.clear();
        }
        self.changes.push_back(change);
        if self.changes.len() > CHANGES_KEPT {
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
                self.remember_change(&in_force);
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
