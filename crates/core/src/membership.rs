//! Which daemons there are: the host list says who may exist, gossip says who lives.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_proto::{
    hot::MemberEntry,
    ids::{HostId, ServerId},
    messages::{HostListAnswer, HostState, ListedHost},
};
use rand::{rngs::SmallRng, seq::IndexedRandom, SeedableRng};
use rustc_hash::FxHashSet;

use crate::Now;

/// Time between two rounds of gossip.
pub const ROUND: Duration = Duration::from_secs(1);
/// Time between two rounds while news spreads.
const HURRIED_ROUND: Duration = Duration::from_millis(200);
/// Rounds that come sooner after news.
const HURRIED_ROUNDS: u32 = 3;
/// Daemons that one round is sent to.
pub const FANOUT: usize = 2;
/// Members that one round asks directly.
pub const PROBES: usize = 3;
/// Member entries in one message.
pub const ENTRIES: usize = 56;
/// Rounds between two heartbeats of a daemon; the others only pass on what is new.
pub const HEARTBEAT_ROUNDS: u64 = 8;
/// A member whose heartbeat stood still for this long is taken for dead.
pub const ALIVE_FOR: Duration = Duration::from_secs(30);
/// A member whose heartbeat stood still for this long is asked directly.
pub const PROBE_AFTER: Duration = Duration::from_secs(14);
/// How long a dead member is remembered that the host list does not name.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Every round with this number also tries a member that is taken for dead.
const REJOIN_ROUNDS: u64 = 4;
/// How long a server stays marked as leaving after the last source said so.
const LEAVING_KEPT: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
struct Member {
    entry: MemberEntry,
    /// When the version grew at its origin, on this daemon's clock.
    advanced: Now,
    /// How often this entry was passed on since it grew.
    sent: u32,
    /// When the member was last asked directly.
    probed: Now,
}

/// What a daemon knows of another, or of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerView {
    /// Name of the host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Address for callers.
    pub address: String,
    /// Address for daemons.
    pub peer_address: String,
    /// Whether its heartbeat grows.
    pub alive: bool,
    /// Whether it is in a planned stop.
    pub leaving: bool,
}

impl PeerView {
    /// Whether callers may be sent to it.
    pub fn takes_callers(&self) -> bool {
        self.alive && !self.leaving
    }
}

/// Daemons to send this round to.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name of the host.
    pub host: HostId,
    /// Its address for daemons.
    pub peer_address: String,
}

/// One daemon's view of all daemons and of the servers that are leaving.
#[derive(Debug)]
pub struct Membership {
    own: MemberEntry,
    members: BTreeMap<HostId, Member>,
    listed: BTreeMap<HostId, ListedHost>,
    /// Servers that the host list names as leaving.
    listed_leaving: FxHashSet<ServerId>,
    /// Servers that other daemons name as leaving, and since when they were last named.
    heard_leaving: BTreeMap<ServerId, Now>,
    next_round: Now,
    round: u64,
    /// Rounds that come sooner.
    hurried: u32,
    rng: SmallRng,
}

impl Membership {
    /// A daemon that knows only itself. `version` must be higher than at earlier starts of the
    /// host: its time of start in seconds, which grows faster than heartbeats do.
    pub fn new(own: ListedHost, version: u64, seed: u64) -> Membership {
        let entry = MemberEntry { host: own.host.clone(), version, age_s: 0, leaving: false };
        Membership {
            own: entry,
            members: BTreeMap::new(),
            listed: BTreeMap::from([(own.host.clone(), own)]),
            listed_leaving: FxHashSet::default(),
            heard_leaving: BTreeMap::new(),
            next_round: Now::ZERO,
            round: 0,
            hurried: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Marks this daemon as leaving.
    pub fn leave(&mut self) {
        self.own.leaving = true;
        self.own.version += 1;
    }

    /// Takes the platform's host list.
    pub fn on_host_list(&mut self, now: Now, answer: HostListAnswer) {
        let own = self.listed.remove(&self.own.host);
        self.listed = answer.hosts.into_iter().map(|host| (host.host.clone(), host)).collect();
        if let Some(own) = own {
            self.listed.insert(own.host.clone(), own);
        }
        self.listed_leaving = answer.leaving_servers.into_iter().collect();
        let listed = &self.listed;
        self.members.retain(|host, member| {
            listed.contains_key(host) || now.saturating_sub(member.advanced) < FORGET_AFTER
        });
    }

    /// The daemons to gossip with, when a round is due.
    pub fn tick(&mut self, now: Now) -> Vec<Target> {
        self.heard_leaving.retain(|_, heard| now.saturating_sub(*heard) < LEAVING_KEPT);
        if now < self.next_round {
            return Vec::new();
        }
        self.next_round = now + if self.hurried > 0 { HURRIED_ROUND } else { ROUND };
        self.hurried = self.hurried.saturating_sub(1);
        self.round += 1;
        if self.round.is_multiple_of(HEARTBEAT_ROUNDS) {
            self.own.version += 1;
        }
        let (alive, dead): (Vec<_>, Vec<_>) =
            self.peers(now).into_iter().partition(|peer| peer.alive);
        let mut targets: Vec<_> =
            alive.choose_multiple(&mut self.rng, FANOUT).map(target).collect();
        let stale = self.probes(now);
        if !stale.is_empty() {
            targets.truncate(FANOUT - 1);
            targets.extend(stale);
        }
        let lonely = targets.len() < FANOUT;
        if lonely || self.round.is_multiple_of(REJOIN_ROUNDS) {
            targets.extend(dead.choose(&mut self.rng).map(target));
        }
        targets
    }

    /// Members to ask directly because their heartbeat stood still for long, those that were
    /// not asked for longest first.
    fn probes(&mut self, now: Now) -> Vec<Target> {
        let age = |member: &Member| now.saturating_sub(member.advanced);
        let is_stale = |member: &Member| age(member) > PROBE_AFTER && age(member) <= ALIVE_FOR;
        let mut stale: Vec<_> =
            self.members.values_mut().filter(|member| is_stale(member)).collect();
        stale.sort_by_key(|member| member.probed);
        let mut targets = Vec::new();
        for member in stale.into_iter().take(PROBES) {
            member.probed = now;
            if let Some(listed) = self.listed.get(&member.entry.host) {
                let peer_address = listed.peer_address.clone();
                targets.push(Target { host: listed.host.clone(), peer_address });
            }
        }
        targets
    }

    /// Makes the next rounds come sooner, so that news spreads fast.
    pub fn hurry(&mut self, now: Now) {
        self.hurried = HURRIED_ROUNDS;
        self.next_round = self.next_round.min(now + HURRIED_ROUND);
    }

    /// Entries for one message: this daemon's, then those passed on least.
    pub fn entries(&mut self, now: Now) -> Vec<MemberEntry> {
        let mut rest: Vec<_> = self.members.values_mut().collect();
        rest.sort_by_key(|member| (member.sent, std::cmp::Reverse(member.advanced)));
        let mut entries = vec![self.own.clone()];
        for member in rest.into_iter().take(ENTRIES - 1) {
            member.sent += 1;
            let age_s = now.saturating_sub(member.advanced).as_secs() as u32;
            entries.push(MemberEntry { age_s, ..member.entry.clone() });
        }
        entries
    }

    /// Takes the entries of another daemon's message.
    pub fn on_entries(&mut self, now: Now, entries: &[MemberEntry]) {
        for entry in entries {
            if entry.host == self.own.host {
                self.refute(entry);
            } else {
                self.on_entry(now, entry);
            }
        }
    }

    /// Takes the servers that another daemon names as leaving.
    pub fn on_leaving_servers(&mut self, now: Now, servers: &[ServerId]) {
        for server in servers {
            self.heard_leaving.insert(server.clone(), now);
        }
    }

    /// Servers that are leaving as the host list or another daemon says.
    pub fn leaving_servers(&self) -> FxHashSet<ServerId> {
        self.listed_leaving.iter().chain(self.heard_leaving.keys()).cloned().collect()
    }

    /// Servers that the host list names as leaving.
    pub fn listed_leaving(&self) -> &FxHashSet<ServerId> {
        &self.listed_leaving
    }

    /// All daemons, this one included.
    pub fn view(&self, now: Now) -> Vec<PeerView> {
        let mut view = self.peers(now);
        if let Some(own) = self.listed.get(&self.own.host) {
            view.push(peer_view(own, true, self.own.leaving));
        }
        view
    }

    /// Names of the daemons that live and stay, this one included unless it leaves.
    pub fn alive(&self, now: Now) -> Vec<HostId> {
        let staying = self.view(now).into_iter().filter(PeerView::takes_callers);
        let mut hosts: Vec<_> = staying.map(|peer| peer.host).collect();
        hosts.sort_unstable();
        hosts
    }

    /// Address for daemons of a host.
    pub fn peer_address(&self, host: &str) -> Option<&str> {
        self.listed.get(host).map(|listed| listed.peer_address.as_str())
    }

    /// Address for callers of a host.
    pub fn address(&self, host: &str) -> Option<&str> {
        self.listed.get(host).map(|listed| listed.address.as_str())
    }

    /// Members that gossip told of.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether gossip told of no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn peers(&self, now: Now) -> Vec<PeerView> {
        let others = self.listed.values().filter(|listed| listed.host != self.own.host);
        others
            .map(|listed| {
                let member = self.members.get(&listed.host);
                let alive = member.is_some_and(|m| now.saturating_sub(m.advanced) <= ALIVE_FOR);
                let leaving =
                    listed.state == HostState::Leaving || member.is_some_and(|m| m.entry.leaving);
                peer_view(listed, alive, leaving)
            })
            .collect()
    }

    fn on_entry(&mut self, now: Now, entry: &MemberEntry) {
        let newest = self.members.get(&entry.host).map(|member| member.entry.version);
        if newest.is_none_or(|newest| entry.version > newest) {
            let age = Duration::from_secs(entry.age_s.into());
            let advanced = now.saturating_sub(age);
            let member = Member { entry: entry.clone(), advanced, sent: 0, probed: Now::ZERO };
            self.members.insert(entry.host.clone(), member);
        }
    }

    /// An entry of an earlier run of this host must not outlive it.
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

fn target(peer: &PeerView) -> Target {
    Target { host: peer.host.clone(), peer_address: peer.peer_address.clone() }
}
