//! Client accounts: their keys, and how long a daemon may rely on what it knows of them.

use std::{sync::Arc, time::Duration};

use buckthornfall_proto::digest::{sha256, Sha256Digest};
use rustc_hash::FxHashMap;
use snafu::Snafu;

use crate::Now;

/// Name of a client account.
pub type AccountName = String;
/// Digest of the key of a client account.
pub type KeyDigest = Sha256Digest;

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name; neither empty nor with control characters.
    pub name: AccountName,
    /// Priority of its requests, instead of that of their route; 0 is the highest.
    pub priority: Option<u8>,
}

/// Why a part of the accounts of a desired state is not in force.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Problem {
    /// An account has no usable name; its keys are unknown.
    #[snafu(display("the name of account {index} cannot be sent in a header"))]
    InvalidName {
        /// Position in the desired state.
        index: usize,
    },
    /// Two accounts have the same name; the keys of both are those of one account.
    #[snafu(display("account {name:?} is declared twice"))]
    RepeatedName {
        /// The name.
        name: AccountName,
    },
    /// An account has no keys, so that nobody can use it.
    #[snafu(display("account {name:?} has no key"))]
    NoKey {
        /// Name of the account.
        name: AccountName,
    },
    /// Two accounts have the same key, which identifies neither of them.
    #[snafu(display("accounts {first:?} and {second:?} have the same key, which is ignored"))]
    SharedKey {
        /// Name of the account that is declared first.
        first: AccountName,
        /// Name of the other account.
        second: AccountName,
    },
}

/// The client accounts of a desired state.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Accounts {
    by_name: FxHashMap<AccountName, Arc<Account>>,
    /// Accounts by the digests of their keys; the keys themselves are not stored.
    by_digest: FxHashMap<KeyDigest, Arc<Account>>,
}

impl Accounts {
    /// Collects accounts with their keys. Returns the problems as well; everything else is in force.
    pub fn new<'a>(
        declared: impl IntoIterator<Item = (Account, Vec<&'a str>)>,
    ) -> (Accounts, Vec<Problem>) {
        let mut known: FxHashMap<AccountName, Arc<Account>> = FxHashMap::default();
        let mut by_digest: FxHashMap<KeyDigest, Option<Arc<Account>>> = FxHashMap::default();
        let mut problems = Vec::new();
        for (index, (account, keys)) in declared.into_iter().enumerate() {
            if account.name.is_empty() || account.name.chars().any(|c| !is_header_char(c)) {
                problems.push(Problem::InvalidName { index });
                continue;
            }
            let name = account.name.clone();
            let account = match known.get(&name) {
                Some(first) => {
                    problems.push(Problem::RepeatedName { name: name.clone() });
                    Arc::clone(first)
                }
                None => Arc::clone(known.entry(name.clone()).or_insert(Arc::new(account))),
            };
            let keys: Vec<_> = keys.into_iter().filter(|key| !key.is_empty()).collect();
            if keys.is_empty() {
                problems.push(Problem::NoKey { name });
            }
            for key in keys {
                let holder = by_digest
                    .entry(sha256(key.as_bytes()))
                    .or_insert_with(|| Some(Arc::clone(&account)));
                let other = holder.as_ref().filter(|holder| holder.name != account.name);
                if let Some(first) = other {
                    let (first, second) = (first.name.clone(), account.name.clone());
                    problems.push(Problem::SharedKey { first, second });
                    *holder = None;
                }
            }
        }
        let by_digest = by_digest.into_iter().filter_map(|(key, holder)| Some((key, holder?)));
        (Accounts { by_name: known, by_digest: by_digest.collect() }, problems)
    }

    /// Returns the account that a key belongs to.
    pub fn account(&self, key: &[u8]) -> Option<&Arc<Account>> {
        self.by_digest.get(&sha256(key))
    }

    /// Returns the account with this name, also one whose keys were all taken away.
    pub fn by_name(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// Returns the number of keys.
    pub fn keys(&self) -> usize {
        self.by_digest.len()
    }

    /// Returns the number of keys that `other` lacks.
    pub fn keys_missing_in(&self, other: &Accounts) -> usize {
        self.by_digest.keys().filter(|digest| !other.by_digest.contains_key(*digest)).count()
    }
}

fn is_header_char(c: char) -> bool {
    c.is_ascii_graphic()
}

/// Part of the revocation time in which a daemon stops to rely on its keys, as clocks of hosts run at
/// slightly different rates.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);

/// How recent the keys are that a daemon knows.
///
/// A read of the operator's table shows all changes that were confirmed before the read was sent. A
/// key that the read still showed may be used by requests that were sent until the revocation time
/// after that. Times are of a clock that includes pauses of the process and of the host.
#[derive(Debug, Default)]
pub struct KeyFreshness {
    /// When the newest read was sent whose rows have all been applied.
    read_sent_at: Option<Now>,
    /// Whether the newest desired state could not be read.
    is_unreadable: bool,
}

impl KeyFreshness {
    /// Records that all rows of a read that was sent at `sent_at` have been applied.
    pub fn on_read(&mut self, sent_at: Now) {
        if !self.is_unreadable {
            self.read_sent_at = self.read_sent_at.max(Some(sent_at));
        }
    }

    /// Records whether the desired state of the newest row could be read. One that could not may
    /// have taken keys away.
    pub fn on_desired_state(&mut self, is_readable: bool) {
        self.is_unreadable = !is_readable;
    }

    /// Returns how old the known keys may be; `None` if no keys were ever read.
    pub fn age(&self, now: Now) -> Option<Duration> {
        self.read_sent_at.map(|sent_at| now.saturating_sub(sent_at))
    }

    /// Returns whether a request that arrives at `now` may be served by what is known, if keys that
    /// are taken away must be refused after `revocation`.
    pub fn is_fresh(&self, now: Now, revocation: Duration) -> bool {
        self.age(now).is_some_and(|age| age + CLOCK_MARGIN < revocation)
    }
}

/// Why a request with a key, or without one, is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Denied {
    /// The request has no key, or one that belongs to no account.
    #[snafu(display("the key belongs to no client account"))]
    UnknownKey,
    /// The daemon cannot tell which keys are in force.
    #[snafu(display("this host cannot tell which keys are in force"))]
    Stale,
}

/// What decides on the requests with keys at one moment.
#[derive(Debug, Clone, Copy)]
pub struct KeyCheck<'a> {
    /// Accounts in force.
    pub accounts: &'a Accounts,
    /// How recent they are.
    pub freshness: &'a KeyFreshness,
    /// Time after which a key that was taken away must be refused by all daemons; `None` if that
    /// holds only for daemons that reach the store.
    pub revocation: Option<Duration>,
}

impl<'a> KeyCheck<'a> {
    /// Returns the account of a request that arrives at `now` with these keys.
    pub fn account(
        &self,
        now: Now,
        keys: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<&'a Arc<Account>, Denied> {
        if self.revocation.is_some_and(|revocation| !self.freshness.is_fresh(now, revocation)) {
            return Err(Denied::Stale);
        }
        let mut keys = keys.into_iter();
        match (keys.next(), keys.next()) {
            (Some(key), None) => self.accounts.account(key).ok_or(Denied::UnknownKey),
            _ => Err(Denied::UnknownKey),
        }
    }
}

/// Returns whether a sender may see and change a job. A job without an account was submitted on a
/// public route.
pub fn may_access_job(job: Option<&str>, sender: Option<&Account>) -> bool {
    match (job, sender) {
        (None, _) => true,
        (Some(job), Some(sender)) => job == sender.name,
        (Some(_), None) => false,
    }
}
