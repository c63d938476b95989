//! Membership of daemons: the host list names the possible members, gossip tells which are alive.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_proto::{
    hot::MemberEntry,
    ids::{HostId, ServerId},
    messages::{HostListAnswer, HostState, ListedHost},
};
use rand::{rngs::SmallRng, seq::IndexedRandom, SeedableRng};
use rustc_hash::FxHashSet;

use crate::Now;

/// Interval between gossip rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between gossip rounds after a change.
const FAST_ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Number of fast rounds after a change.
const FAST_ROUNDS: u32 = 3;
/// Number of daemons that a gossip round is sent to.
pub const GOSSIP_FANOUT: usize = 2;
/// Maximum number of members that are probed directly in a round.
pub const PROBES_PER_ROUND: usize = 3;
/// Maximum number of member entries in a message.
pub const ENTRIES_PER_MESSAGE: usize = 56;
/// Rounds per heartbeat of a daemon; the other rounds only spread known entries.
pub const ROUNDS_PER_HEARTBEAT: u64 = 8;
/// Time without a new heartbeat after which a member counts as dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(30);
/// Time without a new heartbeat after which a member is probed directly.
pub const PROBE_AFTER: Duration = Duration::from_secs(14);
/// Time after which a dead member is dropped if the host list does not name it.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Interval, in rounds, at which a dead member is contacted as well, so that it can rejoin.
const ROUNDS_PER_REJOIN: u64 = 4;
/// Time for which a server stays marked as leaving after a daemon last named it.
const LEAVING_TTL: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
struct Member {
    entry: MemberEntry,
    /// Time at which the member raised its version, converted to this daemon's clock.
    advanced_at: Now,
    /// Number of times that this version of the entry was sent.
    times_sent: u32,
    /// Time of the last direct probe.
    probed_at: Now,
}

/// One daemon as seen by another or by itself.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerView {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: String,
    /// Region of the host.
    pub region: String,
    /// Address for requests of callers.
    pub address: String,
    /// Address for messages of other daemons.
    pub peer_address: String,
    /// Whether its heartbeats are arriving.
    pub alive: bool,
    /// Whether it is performing a planned stop.
    pub leaving: bool,
}

impl PeerView {
    /// Returns whether callers may be directed to this daemon.
    pub fn takes_callers(&self) -> bool {
        self.alive && !self.leaving
    }
}

/// A daemon that a gossip round is sent to.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name of the host.
    pub host: HostId,
    /// Address for messages of other daemons.
    pub peer_address: String,
}

/// One daemon's view of all daemons and of the leaving servers.
#[derive(Debug)]
pub struct Membership {
    own: MemberEntry,
    members: BTreeMap<HostId, Member>,
    listed: BTreeMap<HostId, ListedHost>,
    /// Servers marked as leaving in the host list.
    listed_leaving: FxHashSet<ServerId>,
    /// Servers that other daemons reported as leaving, with the time of the last report.
    gossiped_leaving: BTreeMap<ServerId, Now>,
    next_round_at: Now,
    round: u64,
    /// Remaining fast rounds.
    fast_rounds_left: u32,
    rng: SmallRng,
}

impl Membership {
    /// Creates a view that contains only this daemon. `version` must be higher than at earlier
    /// starts of the host: use the start time in seconds, which grows faster than heartbeats do.
    pub fn new(own: ListedHost, version: u64, seed: u64) -> Membership {
        let entry = MemberEntry { host: own.host.clone(), version, age_s: 0, leaving: false };
        Membership {
            own: entry,
            members: BTreeMap::new(),
            listed: BTreeMap::from([(own.host.clone(), own)]),
            listed_leaving: FxHashSet::default(),
            gossiped_leaving: BTreeMap::new(),
            next_round_at: Now::ZERO,
            round: 0,
            fast_rounds_left: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Marks this daemon as leaving.
    pub fn leave(&mut self) {
        self.own.leaving = true;
        self.own.version += 1;
    }

    /// Applies a new host list, and drops dead members that it does not name.
    pub fn on_host_list(&mut self, now: Now, answer: HostListAnswer) {
        let own = self.listed.remove(&self.own.host);
        self.listed = answer.hosts.into_iter().map(|host| (host.host.clone(), host)).collect();
        if let Some(own) = own {
            self.listed.insert(own.host.clone(), own);
        }
        self.listed_leaving = answer.leaving_servers.into_iter().collect();
        let listed = &self.listed;
        self.members.retain(|host, member| {
            listed.contains_key(host) || now.saturating_sub(member.advanced_at) < FORGET_AFTER
        });
    }

    /// Returns the daemons to gossip with if a round is due.
    pub fn tick(&mut self, now: Now) -> Vec<Target> {
        self.gossiped_leaving.retain(|_, last_heard| now.saturating_sub(*last_heard) < LEAVING_TTL);
        if now < self.next_round_at {
            return Vec::new();
        }
        self.next_round_at =
            now + if self.fast_rounds_left > 0 { FAST_ROUND_INTERVAL } else { ROUND_INTERVAL };
        self.fast_rounds_left = self.fast_rounds_left.saturating_sub(1);
        self.round += 1;
        if self.round.is_multiple_of(ROUNDS_PER_HEARTBEAT) {
            self.own.version += 1;
        }
        let (alive, dead): (Vec<_>, Vec<_>) =
            self.peers(now).into_iter().partition(|peer| peer.alive);
        let mut targets: Vec<_> =
            alive.choose_multiple(&mut self.rng, GOSSIP_FANOUT).map(to_target).collect();
        let probes = self.probes(now);
        if !probes.is_empty() {
            targets.truncate(GOSSIP_FANOUT - 1);
            targets.extend(probes);
        }
        let too_few = targets.len() < GOSSIP_FANOUT;
        if too_few || self.round.is_multiple_of(ROUNDS_PER_REJOIN) {
            targets.extend(dead.choose(&mut self.rng).map(to_target));
        }
        targets
    }

    /// Returns members to probe because they had no heartbeat for `PROBE_AFTER`, least recently
    /// probed first.
    fn probes(&mut self, now: Now) -> Vec<Target> {
        let age = |member: &Member| now.saturating_sub(member.advanced_at);
        let is_stale = |member: &Member| age(member) > PROBE_AFTER && age(member) <= DEAD_AFTER;
        let mut stale: Vec<_> =
            self.members.values_mut().filter(|member| is_stale(member)).collect();
        stale.sort_by_key(|member| member.probed_at);
        let mut targets = Vec::new();
        for member in stale.into_iter().take(PROBES_PER_ROUND) {
            member.probed_at = now;
            if let Some(listed) = self.listed.get(&member.entry.host) {
                let peer_address = listed.peer_address.clone();
                targets.push(Target { host: listed.host.clone(), peer_address });
            }
        }
        targets
    }

    /// Starts a series of fast rounds, which spread a change quickly.
    pub fn start_fast_rounds(&mut self, now: Now) {
        self.fast_rounds_left = FAST_ROUNDS;
        self.next_round_at = self.next_round_at.min(now + FAST_ROUND_INTERVAL);
    }

    /// Returns the entries for one message: this daemon's own, then those sent the fewest times.
    pub fn entries(&mut self, now: Now) -> Vec<MemberEntry> {
        let mut others: Vec<_> = self.members.values_mut().collect();
        others.sort_by_key(|member| (member.times_sent, std::cmp::Reverse(member.advanced_at)));
        let mut entries = vec![self.own.clone()];
        for member in others.into_iter().take(ENTRIES_PER_MESSAGE - 1) {
            member.times_sent += 1;
            let age_s = now.saturating_sub(member.advanced_at).as_secs() as u32;
            entries.push(MemberEntry { age_s, ..member.entry.clone() });
        }
        entries
    }

    /// Merges the entries of another daemon's message.
    pub fn on_entries(&mut self, now: Now, entries: &[MemberEntry]) {
        for entry in entries {
            if entry.host == self.own.host {
                self.refute(entry);
            } else {
                self.on_entry(now, entry);
            }
        }
    }

    /// Records the servers that another daemon reports as leaving.
    pub fn on_leaving_servers(&mut self, now: Now, servers: &[ServerId]) {
        for server in servers {
            self.gossiped_leaving.insert(server.clone(), now);
        }
    }

    /// Returns the servers that the host list or another daemon reports as leaving.
    pub fn leaving_servers(&self) -> FxHashSet<ServerId> {
        self.listed_leaving.iter().chain(self.gossiped_leaving.keys()).cloned().collect()
    }

    /// Returns the servers marked as leaving in the host list.
    pub fn listed_leaving(&self) -> &FxHashSet<ServerId> {
        &self.listed_leaving
    }

    /// Returns all daemons, including this one.
    pub fn view(&self, now: Now) -> Vec<PeerView> {
        let mut view = self.peers(now);
        if let Some(own) = self.listed.get(&self.own.host) {
            view.push(peer_view(own, true, self.own.leaving));
        }
        view
    }

    /// Returns the names of the daemons that are alive and not leaving, including this one.
    pub fn alive(&self, now: Now) -> Vec<HostId> {
        let staying = self.view(now).into_iter().filter(PeerView::takes_callers);
        let mut hosts: Vec<_> = staying.map(|peer| peer.host).collect();
        hosts.sort_unstable();
        hosts
    }

    /// Returns a host's address for messages of other daemons.
    pub fn peer_address(&self, host: &str) -> Option<&str> {
        self.listed.get(host).map(|listed| listed.peer_address.as_str())
    }

    /// Returns a host's address for requests of callers.
    pub fn address(&self, host: &str) -> Option<&str> {
        self.listed.get(host).map(|listed| listed.address.as_str())
    }

    /// Returns the number of members known from gossip.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no member is known from gossip.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn peers(&self, now: Now) -> Vec<PeerView> {
        let others = self.listed.values().filter(|listed| listed.host != self.own.host);
        others
            .map(|listed| {
                let member = self.members.get(&listed.host);
                let alive = member.is_some_and(|m| now.saturating_sub(m.advanced_at) <= DEAD_AFTER);
                let leaving =
                    listed.state == HostState::Leaving || member.is_some_and(|m| m.entry.leaving);
                peer_view(listed, alive, leaving)
            })
            .collect()
    }

    fn on_entry(&mut self, now: Now, entry: &MemberEntry) {
        let known_version = self.members.get(&entry.host).map(|member| member.entry.version);
        if known_version.is_none_or(|known_version| entry.version > known_version) {
            let age = Duration::from_secs(entry.age_s.into());
            let advanced_at = now.saturating_sub(age);
            let member =
                Member { entry: entry.clone(), advanced_at, times_sent: 0, probed_at: Now::ZERO };
            self.members.insert(entry.host.clone(), member);
        }
    }

    /// Raises the own version above an entry left by an earlier run of this host, which would
    /// otherwise win.
    fn refute(&mut self, entry: &MemberEntry) {
        if entry.version > self.own.version {
            self.own.version = entry.version + 1;
        }
    }
}

fn peer_view(listed: &ListedHost, alive: bool, leaving: bool) -> PeerView {
    PeerView {
        host: listed.host.clone(),
        zone: listed.zone.clone(),
        region: listed.region.clone(),
        address: listed.address.clone(),
        peer_address: listed.peer_address.clone(),
        alive,
        leaving,
    }
}

fn to_target(peer: &PeerView) -> Target {
    Target { host: peer.host.clone(), peer_address: peer.peer_address.clone() }
}
