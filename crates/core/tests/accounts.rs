//! Client accounts: their keys, and keys that are taken away while daemons know it late or not at all.

use std::{collections::VecDeque, time::Duration};

use buckthornfall_core::{
    accounts::{may_access_job, Account, Accounts, Denied, KeyCheck, KeyFreshness},
    Now,
};
use rand::{rngs::SmallRng, Rng, SeedableRng};

fn account(name: &str) -> Account {
    Account { name: name.to_owned(), priority: None }
}

fn check<'a>(accounts: &'a Accounts, freshness: &'a KeyFreshness) -> KeyCheck<'a> {
    KeyCheck { accounts, freshness, revocation: Some(REVOCATION) }
}

#[test]
fn a_key_identifies_one_account_and_problems_concern_only_their_own_part() {
    let (accounts, problems) = Accounts::new([
        (account("harbour"), vec!["k1", "k2"]),
        (account("mill"), vec!["k3", "shared", ""]),
        (account("empty"), vec![]),
        (account("bad\nname"), vec!["k4"]),
        (account("forge"), vec!["shared", "k5"]),
        (account("mill"), vec!["k6"]),
    ]);
    let name = |key: &str| accounts.account(key.as_bytes()).map(|account| account.name.as_str());
    let found = ["k1", "k2", "k3", "shared", "", "k4", "k5", "k6", "k7"].map(name);
    assert_eq!(
        found,
        [
            Some("harbour"),
            Some("harbour"),
            Some("mill"),
            None,
            None,
            None,
            Some("forge"),
            Some("mill"),
            None
        ]
    );
    let problems: Vec<_> = problems.iter().map(ToString::to_string).collect();
    assert_eq!(
        problems,
        [
            "account \"empty\" has no key",
            "the name of account 3 cannot be sent in a header",
            "accounts \"mill\" and \"forge\" have the same key, which is ignored",
            "account \"mill\" is declared twice",
        ]
    );
    assert!(!format!("{accounts:?}").contains("k1"), "keys are not stored");
}

#[test]
fn a_request_needs_exactly_one_known_key() {
    let (accounts, _) = Accounts::new([(account("harbour"), vec!["k1", "k2"])]);
    let mut freshness = KeyFreshness::default();
    freshness.on_read(START);
    let name = |keys: &[&'static [u8]]| {
        let found = check(&accounts, &freshness).account(START, keys.iter().copied());
        found.map(|account| account.name.clone())
    };
    assert_eq!(name(&[b"k1"]), Ok("harbour".to_owned()));
    assert_eq!(name(&[]), Err(Denied::UnknownKey));
    assert_eq!(name(&[b"k9"]), Err(Denied::UnknownKey));
    assert_eq!(name(&[b"k1", b"k2"]), Err(Denied::UnknownKey), "two keys are ambiguous");
}

#[test]
fn a_job_is_accessible_to_its_account_only() {
    let (harbour, mill) = (account("harbour"), account("mill"));
    assert!(may_access_job(Some("harbour"), Some(&harbour)));
    assert!(!may_access_job(Some("harbour"), Some(&mill)));
    assert!(!may_access_job(Some("harbour"), None));
    assert!(may_access_job(None, None), "jobs of public routes are open to all");
}

/// Guards against keys that stay in force because the desired state that takes them away is malformed.
#[test]
fn an_unreadable_desired_state_confirms_no_keys() {
    let mut freshness = KeyFreshness::default();
    freshness.on_read(START);
    freshness.on_desired_state(false);
    freshness.on_read(START + REVOCATION);
    assert!(!freshness.is_fresh(START + REVOCATION, REVOCATION));
    freshness.on_desired_state(true);
    freshness.on_read(START + REVOCATION);
    assert!(freshness.is_fresh(START + REVOCATION, REVOCATION));
}

const START: Now = Duration::from_secs(60);
const REVOCATION: Duration = Duration::from_millis(5_000);
/// Time without contact after which a daemon is not in touch with the store.
const CONTACT: Duration = Duration::from_millis(4_000);
const STEP: Duration = Duration::from_millis(5);
const DAY: Duration = Duration::from_secs(90);
const SEEDS: u64 = 120;
/// Wait of the store for changes, and timeout of a call.
const LONG_POLL: Duration = Duration::from_millis(400);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_600);
const KEYS: [&str; 6] = ["a1", "a2", "b1", "b2", "c1", "c2"];

/// How the daemon judges whether its keys are recent.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Judgement {
    /// As the product does.
    Product,
    /// Known keys are trusted for ever.
    ForEver,
    /// The age of keys counts from the arrival of the store's reply.
    FromReply,
    /// The clock stands still while the process is paused.
    ClockWithoutPauses,
}

/// Keys in force from a time on.
struct Change {
    at: Now,
    keys: Vec<&'static str>,
}

struct Poll {
    sent_at: Now,
    /// When the daemon measured that it sent the poll.
    measured_at: Now,
    executes_at: Now,
    /// Keys as of the execution, and when the reply arrives; `None` if it is lost.
    replies_at: Option<Now>,
}

#[derive(Default)]
struct Served {
    violations: usize,
    good_in_touch: usize,
    served_in_touch: usize,
}

/// One daemon under cuts, pauses, slow and lost replies, while keys come and go.
struct World {
    rng: SmallRng,
    judgement: Judgement,
    now: Now,
    changes: Vec<Change>,
    known: Accounts,
    freshness: KeyFreshness,
    poll: Option<Poll>,
    /// End of the current fault of each kind.
    cut_until: Now,
    paused_until: Now,
    slow_until: Now,
    /// When the daemon was last disturbed.
    disturbed_at: Now,
    /// Total time that the process was paused.
    paused: Duration,
    /// Requests that were sent but not handled yet: when they were sent, and their key.
    arrivals: VecDeque<(Now, &'static str)>,
    served: Served,
}

fn accounts_of(keys: &[&'static str]) -> Accounts {
    let of = |name: &str| keys.iter().copied().filter(|key| key.starts_with(name)).collect();
    Accounts::new(["a", "b", "c"].map(|name| (account(name), of(name)))).0
}

impl World {
    fn new(seed: u64, judgement: Judgement) -> World {
        World {
            rng: SmallRng::seed_from_u64(seed),
            judgement,
            now: START,
            changes: vec![Change { at: Duration::ZERO, keys: KEYS.to_vec() }],
            known: Accounts::default(),
            freshness: KeyFreshness::default(),
            poll: None,
            cut_until: START,
            paused_until: START,
            slow_until: START,
            disturbed_at: START,
            paused: Duration::ZERO,
            arrivals: VecDeque::new(),
            served: Served::default(),
        }
    }

    fn run(mut self) -> Served {
        while self.now < START + DAY {
            self.now += STEP;
            self.change_keys();
            self.disturb();
            self.send_requests();
            if self.now < self.paused_until {
                self.paused += STEP;
                continue;
            }
            self.follow_store();
            self.handle_requests();
        }
        self.served
    }

    fn keys_at(&self, at: Now) -> &[&'static str] {
        &self.changes.iter().rev().find(|change| change.at <= at).expect("keys at the start").keys
    }

    /// Takes keys away or adds them, one, a whole account, or several in quick succession.
    fn change_keys(&mut self) {
        if !self.rng.random_bool(0.004) {
            return;
        }
        let mut keys = self.keys_at(self.now).to_vec();
        let key = KEYS[self.rng.random_range(0..KEYS.len())];
        match keys.iter().position(|known| *known == key) {
            Some(index) => drop(keys.remove(index)),
            None => keys.push(key),
        }
        if self.rng.random_bool(0.2) {
            keys.retain(|known| known[..1] != key[..1]);
        }
        self.changes.push(Change { at: self.now, keys });
    }

    fn disturb(&mut self) {
        let duration = |rng: &mut SmallRng| Duration::from_millis(rng.random_range(200..9_000));
        if self.rng.random_bool(0.000_4) {
            self.cut_until = self.now + duration(&mut self.rng);
        }
        if self.rng.random_bool(0.000_4) {
            self.paused_until = self.now + duration(&mut self.rng);
        }
        if self.rng.random_bool(0.000_4) {
            self.slow_until = self.now + duration(&mut self.rng);
        }
        let faults = [self.cut_until, self.paused_until, self.slow_until];
        if faults.iter().any(|until| self.now < *until) {
            self.disturbed_at = self.now;
        }
    }

    fn send_requests(&mut self) {
        if self.rng.random_bool(0.3) {
            let key = KEYS[self.rng.random_range(0..KEYS.len())];
            self.arrivals.push_back((self.now, key));
        }
    }

    /// Time of the daemon's clock.
    fn clock(&self) -> Now {
        match self.judgement {
            Judgement::ClockWithoutPauses => self.now - self.paused,
            _ => self.now,
        }
    }

    fn follow_store(&mut self) {
        let Some(poll) = &self.poll else {
            self.poll = Some(self.send_poll());
            return;
        };
        if poll.replies_at.is_none_or(|at| at > self.now) {
            if self.now > poll.sent_at + CALL_TIMEOUT {
                self.poll = None;
            }
            return;
        }
        let (executed_at, measured_at) = (poll.executes_at, poll.measured_at);
        self.known = accounts_of(self.keys_at(executed_at));
        let read_at = match self.judgement {
            Judgement::FromReply => self.clock(),
            _ => measured_at,
        };
        self.freshness.on_read(read_at);
        self.poll = None;
    }

    /// Sends a poll, which the store answers at the next change or after its wait.
    fn send_poll(&mut self) -> Poll {
        let latency = match self.now < self.slow_until {
            true => Duration::from_millis(self.rng.random_range(50..1_500)),
            false => Duration::from_millis(self.rng.random_range(2..30)),
        };
        let lost =
            self.now < self.cut_until || (self.now < self.slow_until && self.rng.random_bool(0.3));
        // The store reads its rows when the call arrives, whenever its reply is under way.
        let executes_at = self.now + latency / 4;
        let waits = if self.rng.random_bool(0.5) { LONG_POLL } else { Duration::ZERO };
        Poll {
            sent_at: self.now,
            measured_at: self.clock(),
            executes_at,
            replies_at: (!lost).then_some(executes_at + latency + waits),
        }
    }

    /// Handles requests some time after they were sent; those that arrived in a pause after it.
    fn handle_requests(&mut self) {
        while let Some((sent_at, key)) = self.arrivals.front().copied() {
            if sent_at + Duration::from_millis(10) > self.now {
                break;
            }
            self.arrivals.pop_front();
            let revocation = (self.judgement != Judgement::ForEver).then_some(REVOCATION);
            let check = KeyCheck { accounts: &self.known, freshness: &self.freshness, revocation };
            let runs = check.account(self.clock(), [key.as_bytes()]).is_ok();
            let removed_at = self.removed_at(key, sent_at);
            if runs && removed_at.is_some_and(|at| sent_at > at + REVOCATION) {
                self.served.violations += 1;
            }
            let was_always_good = self
                .changes
                .iter()
                .rev()
                .take_while(|change| change.at + REVOCATION > sent_at)
                .all(|change| change.keys.contains(&key))
                && removed_at.is_none();
            if was_always_good && self.now > self.disturbed_at + CONTACT {
                self.served.good_in_touch += 1;
                self.served.served_in_touch += usize::from(runs);
            }
        }
    }

    /// Returns when `key` was taken away, if it was not in force at `at`.
    fn removed_at(&self, key: &str, at: Now) -> Option<Now> {
        let before = self.changes.iter().filter(|change| change.at <= at).rev();
        let without: Vec<_> = before.take_while(|change| !change.keys.contains(&key)).collect();
        without.last().map(|change| change.at)
    }
}

fn run_all(judgement: Judgement) -> Served {
    let mut all = Served::default();
    for seed in 0..SEEDS {
        let served = World::new(seed, judgement).run();
        all.violations += served.violations;
        all.good_in_touch += served.good_in_touch;
        all.served_in_touch += served.served_in_touch;
    }
    all
}

#[test]
fn no_daemon_serves_a_key_after_the_revocation_time_and_those_in_touch_serve_good_keys() {
    let served = run_all(Judgement::Product);
    assert_eq!(served.violations, 0);
    let share = served.served_in_touch as f64 / served.good_in_touch as f64;
    assert!(served.good_in_touch > 10_000, "{} requests", served.good_in_touch);
    assert!(share >= 0.99, "{share} of {} requests with good keys", served.good_in_touch);
}

/// Shows that the property above finds the usual mistakes.
#[test]
fn other_judgements_of_the_age_of_keys_serve_revoked_ones() {
    for judgement in [Judgement::ForEver, Judgement::FromReply, Judgement::ClockWithoutPauses] {
        assert!(run_all(judgement).violations > 0, "{judgement:?}");
    }
}
