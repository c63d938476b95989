//! The manifest in force at one daemon: it only ever moves to a higher revision.

use std::{sync::Arc, time::Duration};

use buckthornfall_proto::{
    check,
    digest::sha256_hex,
    ids::{HostId, Revision},
    manifest::Manifest,
    messages::{ManifestPush, ManifestRow},
};

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
    /// The manifest.
    pub manifest: Arc<Manifest>,
}

/// Time between two reads of the head row by one daemon.
pub const POLL_INTERVAL: Duration = Duration::from_secs(4);
/// Longest wait for another daemon's manifest.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

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
    }

    /// Takes the head row.
    pub fn on_head(&mut self, reply: &ReadResult, out: &mut Vec<ConfigAction>) {
        let Ok(row) = reply else { return };
        let Some(head) = table::value::<ManifestRow>(row) else { return };
        if head.revision > self.revision().max(self.rejected) {
            let key = object_key(&head.hash);
            let revision = head.revision;
            self.wanted = Some(head);
            out.push(ConfigAction::GetObject { key, revision });
        }
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
        self.install(push.revision, &push.hash, &push.content, out);
    }

    /// The manifest in force, for a daemon that has only revision `above`.
    pub fn push_above(&self, host: &str, above: Revision) -> Option<ManifestPush> {
        let in_force = self.in_force.as_ref().filter(|in_force| in_force.revision > above)?;
        Some(ManifestPush {
            from: host.to_owned(),
            revision: in_force.revision,
            hash: in_force.hash.clone(),
            content: in_force.content.to_string(),
        })
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
        match check::manifest(content) {
            Ok(manifest) => {
                let in_force = InForce {
                    revision,
                    hash: hash.to_owned(),
                    content: Arc::from(content),
                    manifest: Arc::new(manifest),
                };
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
