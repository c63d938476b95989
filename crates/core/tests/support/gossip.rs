//! Simulation of the gossip and configuration of many daemons over in-memory links in virtual time.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_core::{
    config::{Config, ConfigAction},
    membership::Membership,
    Now,
};
use buckthornfall_proto::{
    codec,
    messages::{
        Gossip, HostListAnswer, HostState, ListedHost, ManifestPull, ManifestPush, PeerMessage,
    },
};
use rand::{rngs::SmallRng, Rng, SeedableRng};

const LINK_DELAY: Duration = Duration::from_millis(15);
const TICK: Duration = Duration::from_millis(200);
pub const ZONES: usize = 11;

enum Event {
    Tick(usize),
    Message { from: usize, to: usize, is_reply: bool, message: PeerMessage },
}

#[allow(dead_code, reason = "each target that includes this file uses a part of it")]
pub struct Node {
    pub membership: Membership,
    pub config: Config,
    pub alive: bool,
    incarnation: u64,
    pub bytes_out: u64,
    pub bytes_in: u64,
    pub messages_out: u64,
    /// Time at which each revision came into force.
    pub installed_at: BTreeMap<u64, Now>,
}

pub struct GossipNet {
    pub now: Now,
    queue: BTreeMap<(Now, u64), Event>,
    sequence: u64,
    rng: SmallRng,
    pub nodes: Vec<Node>,
    loss_per_mille: u32,
    /// Messages between regions are dropped before this time.
    partitioned_until: Now,
    host_list: HostListAnswer,
}

pub fn host(index: usize) -> String {
    format!("entry-{index}")
}

fn listed(index: usize) -> ListedHost {
    ListedHost {
        host: host(index),
        zone: format!("zone-{}", index % ZONES),
        region: format!("region-{}", index % ZONES % 3),
        address: host(index),
        peer_address: host(index),
        state: HostState::Live,
    }
}

fn index_of(host: &str) -> usize {
    host.rsplit('-')
        .next()
        .and_then(|number| number.parse().ok())
        .expect("host names end in the index of their daemon")
}

#[allow(dead_code, reason = "each target that includes this file uses a part of it")]
impl GossipNet {
    pub fn new(daemons: usize, loss_per_mille: u32, seed: u64) -> GossipNet {
        let host_list = HostListAnswer {
            hosts: (0..daemons).map(listed).collect(),
            leaving_servers: Vec::new(),
        };
        let mut net = GossipNet {
            now: Now::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            nodes: (0..daemons).map(|i| new_node(i, 1)).collect(),
            loss_per_mille,
            partitioned_until: Now::ZERO,
            host_list,
        };
        for index in 0..daemons {
            let host_list = net.host_list.clone();
            net.nodes[index].membership.on_host_list(Now::ZERO, host_list);
            let offset = Duration::from_millis(net.rng.random_range(0..1000));
            net.schedule(offset, Event::Tick(index));
        }
        net
    }

    /// Runs all events up to `until`.
    pub fn run(&mut self, until: Now) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((event_time, _), event) = self.queue.pop_first().expect("the queue is not empty");
            self.now = event_time;
            match event {
                Event::Tick(index) => self.tick(index),
                Event::Message { from, to, is_reply, message } => {
                    self.receive(from, to, is_reply, message);
                }
            }
        }
        self.now = until;
    }

    /// Resets the counts of bytes and messages.
    pub fn reset_counts(&mut self) {
        for node in &mut self.nodes {
            (node.bytes_out, node.bytes_in, node.messages_out) = (0, 0, 0);
        }
    }

    /// Installs a manifest at one daemon, as if that daemon had committed it.
    pub fn install(&mut self, index: usize, push: &ManifestPush) {
        let mut out = Vec::new();
        self.nodes[index].config.on_push(push, &mut out);
        self.apply(index, out);
    }

    /// Crashes daemons.
    pub fn crash(&mut self, indices: impl Iterator<Item = usize>) {
        for index in indices {
            self.nodes[index].alive = false;
        }
    }

    /// Drops all messages between regions for `duration`.
    pub fn partition_regions(&mut self, duration: Duration) {
        self.partitioned_until = self.now + duration;
    }

    /// Restarts a daemon with empty state; its traffic counts are kept.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation + 1;
        let old_node = &self.nodes[index];
        let counts = (old_node.bytes_out, old_node.bytes_in, old_node.messages_out);
        let was_alive = old_node.alive;
        let mut node = new_node(index, incarnation);
        (node.bytes_out, node.bytes_in, node.messages_out) = counts;
        node.membership.on_host_list(self.now, self.host_list.clone());
        self.nodes[index] = node;
        if !was_alive {
            self.schedule(self.now, Event::Tick(index));
        }
    }

    fn schedule(&mut self, time: Now, event: Event) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), event);
    }

    fn tick(&mut self, index: usize) {
        if !self.nodes[index].alive {
            return;
        }
        let now = self.now;
        self.schedule(now + TICK, Event::Tick(index));
        let mut out = Vec::new();
        self.nodes[index].config.tick(now, &mut out);
        self.apply(index, out);
        for target in self.nodes[index].membership.tick(now) {
            let message = self.gossip_message(index);
            self.send(index, index_of(&target.host), false, message);
        }
    }

    fn gossip_message(&mut self, index: usize) -> PeerMessage {
        let now = self.now;
        let node = &mut self.nodes[index];
        PeerMessage::Gossip(Gossip {
            from: host(index),
            revision: node.config.revision(),
            members: node.membership.entries(now),
            leaving_servers: Vec::new(),
            quarantined: Vec::new(),
            suspects: Vec::new(),
            leases: Vec::new(),
        })
    }

    fn send(&mut self, from: usize, to: usize, is_reply: bool, message: PeerMessage) {
        let bytes = codec::encode(&message).expect("test messages can be encoded").len() as u64;
        self.nodes[from].bytes_out += bytes;
        self.nodes[from].messages_out += 1;
        let is_partitioned =
            self.now < self.partitioned_until && listed(from).region != listed(to).region;
        if is_partitioned || self.rng.random_range(0..1000) < self.loss_per_mille {
            return;
        }
        self.nodes[to].bytes_in += bytes;
        self.schedule(self.now + LINK_DELAY, Event::Message { from, to, is_reply, message });
    }

    fn receive(&mut self, from: usize, to: usize, is_reply: bool, message: PeerMessage) {
        if !self.nodes[to].alive {
            return;
        }
        let now = self.now;
        let mut out = Vec::new();
        match message {
            PeerMessage::Gossip(gossip) => {
                let node = &mut self.nodes[to];
                node.membership.on_entries(now, &gossip.members);
                node.config.on_peer_revision(now, &gossip.from, gossip.revision, &mut out);
                if !is_reply {
                    let reply = self.gossip_message(to);
                    self.send(to, from, true, reply);
                }
            }
            PeerMessage::ManifestPull(pull) => {
                let push = self.nodes[to].config.push_above(&host(to), pull.above);
                if let Some(push) = push {
                    self.send(to, from, true, PeerMessage::ManifestPush(push));
                }
            }
            PeerMessage::ManifestPush(push) => self.nodes[to].config.on_push(&push, &mut out),
            PeerMessage::StoreCall(_)
            | PeerMessage::StoreReply(_)
            | PeerMessage::PermitRequest(_)
            | PeerMessage::PermitReply(_)
            | PeerMessage::LimitNotice(_)
            | PeerMessage::EndNotice(_)
            | PeerMessage::OriginRequest(_)
            | PeerMessage::OriginReply(_) => {
                panic!("only hosted daemons relay store calls, issue permits and run jobs of the store")
            }
        }
        self.apply(to, out);
    }

    fn apply(&mut self, index: usize, actions: Vec<ConfigAction>) {
        for action in actions {
            match action {
                ConfigAction::PullFrom { host: target, above } => {
                    let pull = ManifestPull { from: host(index), above };
                    self.send(index, index_of(&target), false, PeerMessage::ManifestPull(pull));
                }
                ConfigAction::InForce(in_force) => {
                    let now = self.now;
                    self.nodes[index].membership.start_fast_rounds(now);
                    self.nodes[index].installed_at.insert(in_force.revision, self.now);
                }
                ConfigAction::Rejected { revision, reason } => panic!("{revision}: {reason}"),
                // The platform's table and object store are unreachable in this simulation.
                ConfigAction::ReadHead { .. } | ConfigAction::GetObject { .. } => {}
            }
        }
    }
}

fn new_node(index: usize, incarnation: u64) -> Node {
    let started = 1_796_000_000 + incarnation * 1000;
    Node {
        membership: Membership::new(listed(index), started, index as u64 * 7919 + incarnation),
        config: Config::new(Duration::ZERO),
        alive: true,
        incarnation,
        bytes_out: 0,
        bytes_in: 0,
        messages_out: 0,
        installed_at: BTreeMap::new(),
    }
}
