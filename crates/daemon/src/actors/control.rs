//! Follows the manifest, gossips with the other daemons and writes manifests and weights.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use buckthornfall_core::{
    commit::{Commit, CommitAction},
    config::{canonical_text, Config, ConfigAction},
    error::{ErrorKind, Refusal},
    membership::Membership,
    publish::{Publish, PublishAction},
    Now,
};
use buckthornfall_proto::{
    check,
    ids::{Fingerprint, HostId, Revision, ServerId},
    messages::{
        CommitAnswer, CommitRequest, Gossip, LeaseHint, LeaseStatus, ListedHost, ManifestPull,
        PeerMessage, PublishWeights, WeightsRow,
    },
    track::Track,
};
use log::{info, warn};
use rustc_hash::FxHashMap;
use stakker::{
    after, call, fwd, fwd_to, ret_some_to,
    sync::{Channel, ChannelGuard},
    Actor, Fwd, CX,
};

use super::{
    io::Io,
    serving::Serving,
    view::{Identity, View},
    TICK_INTERVAL,
};
use crate::{
    io::{Job, JobResult},
    peers::{OutgoingMessage, PeerEvent, PeerListener, Peers},
    reply::Reply,
    telemetry::Telemetry,
};

/// Minimum interval between reads of the host list.
const MIN_HOST_LIST_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between reads of the host list, multiplied by the number of hosts, since the list grows
/// with them.
const HOST_LIST_POLL_INTERVAL_PER_HOST: Duration = Duration::from_millis(75);
/// Maximum interval between views for the other actors.
const VIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a manifest commit or a weights publication.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of fingerprints of each kind in a gossip message.
const MAX_FINGERPRINTS: usize = 128;

/// Id of a manifest commit or a weights publication.
type WriteId = u64;

/// Actor for the manifest, the membership, and the writes that operators and trainers request.
pub struct Control {
    identity: Identity,
    io: Actor<Io>,
    serving: Actor<Serving>,
    config: Config,
    membership: Membership,
    peers: Peers,
    commits: FxHashMap<WriteId, (Commit, Option<Reply>)>,
    publishes: FxHashMap<WriteId, (Publish, Option<Reply>)>,
    next_write: WriteId,
    holders: Rc<FxHashMap<String, LeaseHint>>,
    held_leases: Vec<LeaseHint>,
    reported_leaving: Vec<ServerId>,
    quarantined: Vec<Fingerprint>,
    suspects: Vec<Fingerprint>,
    next_host_list_poll: Now,
    next_view: Now,
    views: Fwd<View>,
    _guard: ChannelGuard,
}

impl Control {
    /// Creates the actor and starts the thread for messages between daemons.
    #[allow(clippy::too_many_arguments)]
    pub fn init(
        cx: CX![],
        identity: Identity,
        own_host: ListedHost,
        listener: PeerListener,
        io: Actor<Io>,
        serving: Actor<Serving>,
        telemetry: Telemetry,
        views: Fwd<View>,
    ) -> Option<Control> {
        let events = fwd_to!([cx], on_peer() as (PeerEvent));
        let (events, guard) = Channel::new(cx, events);
        let peers = match listener.start(events, &telemetry) {
            Ok((peers, _)) => peers,
            Err(e) => {
                cx.fail(e);
                return None;
            }
        };
        call!([cx], tick());
        let seed = buckthornfall_proto::digest::fingerprint(&[identity.instance_id().as_bytes()]);
        Some(Control {
            membership: Membership::new(own_host, identity.incarnation / 1000, seed),
            identity,
            io,
            serving,
            config: Config::new(Duration::ZERO),
            peers,
            commits: FxHashMap::default(),
            publishes: FxHashMap::default(),
            next_write: 0,
            holders: Rc::default(),
            held_leases: Vec::new(),
            reported_leaving: Vec::new(),
            quarantined: Vec::new(),
            suspects: Vec::new(),
            next_host_list_poll: Now::ZERO,
            next_view: Now::ZERO,
            views,
            _guard: guard,
        })
    }

    /// Commits a manifest.
    pub fn commit(&mut self, cx: CX![], request: CommitRequest, reply: Reply) {
        let content = canonical_text(&request.manifest);
        if let Err(e) = check::manifest_value(request.manifest) {
            return reply.refuse(&Refusal::new(ErrorKind::Invalid, e.to_string()));
        }
        self.next_write += 1;
        let id = self.next_write;
        let attempt = format!("{}/commit/{id}", self.identity.instance_id());
        let deadline = self.now(cx.now()) + WRITE_TIMEOUT;
        let mut commit = Commit::new(request.base_revision, content, attempt, deadline);
        let mut out = Vec::new();
        commit.begin(&mut out);
        self.commits.insert(id, (commit, Some(reply)));
        self.apply_commit(cx, id, out);
    }

    /// Publishes new weights of a track.
    pub fn publish(&mut self, cx: CX![], track: Track, request: PublishWeights, reply: Reply) {
        self.next_write += 1;
        let id = self.next_write;
        let row = WeightsRow {
            version: request.version,
            object: request.object,
            bytes: request.bytes,
            attempt: format!("{}/publish/{id}", self.identity.instance_id()),
        };
        let deadline = self.now(cx.now()) + WRITE_TIMEOUT;
        let publish = Publish::new(&track, row, deadline);
        let mut out = Vec::new();
        publish.begin(&mut out);
        self.publishes.insert(id, (publish, Some(reply)));
        self.apply_publish(cx, id, out);
    }

    /// Starts to gossip that this daemon is leaving.
    pub fn leave(&mut self, _cx: CX![]) {
        self.membership.leave();
    }

    /// Sets the state that this daemon gossips.
    pub fn set_gossip(
        &mut self,
        _cx: CX![],
        leases: Vec<LeaseStatus>,
        leaving_servers: Vec<ServerId>,
        quarantined: Vec<Fingerprint>,
        suspects: Vec<Fingerprint>,
    ) {
        let own = self.identity.instance_id();
        let hint = |l: LeaseStatus| LeaseHint { role: l.role, holder: l.holder, fence: l.fence };
        self.held_leases = leases.into_iter().filter(|l| l.holder == own).map(hint).collect();
        self.reported_leaving = leaving_servers;
        self.quarantined = quarantined;
        self.suspects = suspects;
    }

    fn now(&self, instant: Instant) -> Now {
        self.identity.clock.at(instant)
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        let now = self.now(cx.now());
        let mut out = Vec::new();
        self.config.tick(now, &mut out);
        self.apply_config(cx, out);
        self.gossip(now);
        self.tick_writes(cx, now);
        if now >= self.next_host_list_poll {
            let hosts = self.membership.len() as u32;
            self.next_host_list_poll =
                now + (HOST_LIST_POLL_INTERVAL_PER_HOST * hosts).max(MIN_HOST_LIST_POLL_INTERVAL);
            let ret = ret_some_to!([cx], on_host_list() as (JobResult));
            call!([self.io], submit(Job::HostList, ret));
        }
        if now >= self.next_view {
            self.send_view(now);
        }
    }

    fn tick_writes(&mut self, cx: CX![], now: Now) {
        let ids: Vec<_> = self.commits.keys().copied().collect();
        for id in ids {
            let mut out = Vec::new();
            if let Some((commit, _)) = self.commits.get_mut(&id) {
                commit.tick(now, &mut out);
            }
            self.apply_commit(cx, id, out);
        }
        let ids: Vec<_> = self.publishes.keys().copied().collect();
        for id in ids {
            let mut out = Vec::new();
            if let Some((publish, _)) = self.publishes.get_mut(&id) {
                publish.tick(now, &mut out);
            }
            self.apply_publish(cx, id, out);
        }
    }

    fn send_view(&mut self, now: Now) {
        self.next_view = now + VIEW_INTERVAL;
        let view = View {
            in_force: self.config.in_force().cloned(),
            peers: Rc::new(self.membership.view(now)),
            alive: Rc::new(self.membership.alive(now)),
            leaving_servers: Rc::new(self.membership.leaving_servers()),
            holders: Rc::clone(&self.holders),
        };
        fwd!([self.views], view);
    }

    fn gossip(&mut self, now: Now) {
        for target in self.membership.tick(now) {
            let message = PeerMessage::Gossip(self.gossip_message(now));
            let outgoing =
                OutgoingMessage { host: target.host, address: target.peer_address, message };
            metrics::counter!("gossip_sent_total").increment(1);
            self.peers.send(outgoing);
        }
    }

    fn gossip_message(&mut self, now: Now) -> Gossip {
        let listed = self.membership.listed_leaving().iter();
        let leaving = self.reported_leaving.iter().chain(listed).cloned();
        let newest =
            |all: &[Fingerprint]| all.iter().rev().take(MAX_FINGERPRINTS).copied().collect();
        Gossip {
            from: self.identity.place.host.clone(),
            revision: self.config.revision(),
            leaving_servers: leaving.collect(),
            quarantined: newest(&self.quarantined),
            suspects: newest(&self.suspects),
            leases: self.held_leases.clone(),
            members: self.membership.entries(now),
        }
    }

    fn on_host_list(&mut self, cx: CX![], result: JobResult) {
        if let JobResult::HostList(Some(list)) = result {
            self.membership.on_host_list(self.now(cx.now()), list);
        }
    }

    fn on_peer(&mut self, cx: CX![], event: PeerEvent) {
        match event {
            PeerEvent::Request { message: PeerMessage::Gossip(gossip), reply } => {
                self.on_gossip(cx, gossip);
                // If the peer has disconnected, it gossips again in its next round.
                let message = self.gossip_message(self.now(cx.now()));
                let _ = reply.send(PeerMessage::Gossip(message));
            }
            PeerEvent::Request { message: PeerMessage::ManifestPull(pull), reply } => {
                let host = &self.identity.place.host;
                if let Some(push) = self.config.push_above(host, pull.above) {
                    let _ = reply.send(PeerMessage::ManifestPush(push));
                }
            }
            PeerEvent::Request { message: PeerMessage::ManifestPush(_), .. } => {}
            PeerEvent::Answer { message: Some(PeerMessage::Gossip(gossip)) } => {
                self.on_gossip(cx, gossip);
            }
            PeerEvent::Answer { message: Some(PeerMessage::ManifestPush(push)) } => {
                let mut out = Vec::new();
                self.config.on_push(&push, &mut out);
                self.apply_config(cx, out);
            }
            // Only hosted daemons relay store calls, issue permits and run jobs of the store.
            PeerEvent::Request {
                message:
                    PeerMessage::StoreCall(_)
                    | PeerMessage::StoreReply(_)
                    | PeerMessage::PermitRequest(_)
                    | PeerMessage::PermitReply(_)
                    | PeerMessage::LimitNotice(_)
                    | PeerMessage::EndNotice(_)
                    | PeerMessage::OriginRequest(_)
                    | PeerMessage::OriginReply(_),
                ..
            } => {}
            PeerEvent::Answer { .. } => {}
        }
    }

    fn on_gossip(&mut self, cx: CX![], gossip: Gossip) {
        let now = self.now(cx.now());
        self.membership.on_entries(now, &gossip.members);
        self.membership.on_leaving_servers(now, &gossip.leaving_servers);
        for hint in gossip.leases {
            let known = self.holders.get(&hint.role).map_or(0, |known| known.fence);
            if hint.fence > known {
                Rc::make_mut(&mut self.holders).insert(hint.role.clone(), hint);
            }
        }
        call!([self.serving], on_gossip(gossip.quarantined, gossip.suspects));
        let mut out = Vec::new();
        self.config.on_peer_revision(now, &gossip.from, gossip.revision, &mut out);
        self.apply_config(cx, out);
    }

    fn apply_config(&mut self, cx: CX![], actions: Vec<ConfigAction>) {
        for action in actions {
            match action {
                ConfigAction::ReadHead { key } => {
                    let ret = ret_some_to!([cx], on_head() as (JobResult));
                    call!([self.io], submit(Job::Read(key.to_owned()), ret));
                }
                ConfigAction::GetObject { key, revision } => {
                    let ret = ret_some_to!([cx], on_manifest(revision) as (JobResult));
                    call!([self.io], submit(Job::Get(key), ret));
                }
                ConfigAction::PullFrom { host, above } => self.pull(host, above),
                ConfigAction::InForce(in_force) => {
                    let revision = in_force.revision;
                    info!(revision, hash = in_force.hash.as_str(); "manifest_in_force");
                    metrics::gauge!("manifest_revision").set(revision as f64);
                    let now = self.now(cx.now());
                    self.membership.start_fast_rounds(now);
                    self.send_view(now);
                }
                ConfigAction::Rejected { revision, reason } => {
                    warn!(revision, reason = reason.as_str(); "manifest_rejected");
                }
            }
        }
    }

    fn pull(&self, host: HostId, above: Revision) {
        let Some(address) = self.membership.peer_address(&host).map(str::to_owned) else { return };
        let pull = ManifestPull { from: self.identity.place.host.clone(), above };
        let message = PeerMessage::ManifestPull(pull);
        self.peers.send(OutgoingMessage { host, address, message });
    }

    fn on_head(&mut self, cx: CX![], result: JobResult) {
        let JobResult::Read(reply) = result else { return };
        let mut out = Vec::new();
        self.config.on_head(self.now(cx.now()), &reply, &mut out);
        self.apply_config(cx, out);
    }

    fn on_manifest(&mut self, cx: CX![], revision: Revision, result: JobResult) {
        let JobResult::Get(Ok(Some(content))) = result else { return };
        let mut out = Vec::new();
        self.config.on_object(revision, &content, &mut out);
        self.apply_config(cx, out);
    }

    fn apply_commit(&mut self, cx: CX![], id: WriteId, actions: Vec<CommitAction>) {
        for action in actions {
            let job = match action {
                CommitAction::PutObject { key, content } => Job::Put { key, content },
                CommitAction::Read { key } => Job::Read(key),
                CommitAction::Txn(txn) => Job::Txn(txn),
                CommitAction::Done(result) => {
                    self.finish_commit(cx, id, result);
                    continue;
                }
            };
            let ret = ret_some_to!([cx], on_commit(id) as (JobResult));
            call!([self.io], submit(job, ret));
        }
    }

    fn on_commit(&mut self, cx: CX![], id: WriteId, result: JobResult) {
        let now = self.now(cx.now());
        let Some((commit, _)) = self.commits.get_mut(&id) else { return };
        let mut out = Vec::new();
        match result {
            JobResult::Put(reply) => commit.on_put(now, reply, &mut out),
            JobResult::Read(reply) => commit.on_read(now, &reply, &mut out),
            JobResult::Txn(reply) => commit.on_txn(now, &reply, &mut out),
            _ => {}
        }
        self.apply_commit(cx, id, out);
    }

    fn finish_commit(
        &mut self,
        cx: CX![],
        id: WriteId,
        result: Result<buckthornfall_proto::messages::ManifestRow, Refusal>,
    ) {
        let Some((commit, Some(reply))) = self.commits.remove(&id) else { return };
        match result {
            Ok(row) => {
                info!(revision = row.revision, hash = row.hash.as_str(); "manifest_committed");
                let mut out = Vec::new();
                self.config.on_committed(&row, commit.content(), &mut out);
                self.apply_config(cx, out);
                reply.json(&CommitAnswer { revision: row.revision, hash: row.hash });
            }
            Err(refusal) => {
                let kind = refusal.kind.rule().name;
                warn!(kind, reason = refusal.message.as_str(); "manifest_not_committed");
                reply.refuse(&refusal);
            }
        }
    }

    fn apply_publish(&mut self, cx: CX![], id: WriteId, actions: Vec<PublishAction>) {
        for action in actions {
            let job = match action {
                PublishAction::Read { key } => Job::Read(key),
                PublishAction::Txn(txn) => Job::Txn(txn),
                PublishAction::Done(result) => {
                    let Some((_, Some(reply))) = self.publishes.remove(&id) else { continue };
                    match result {
                        Ok(row) => {
                            info!(version = row.version, object = row.object.as_str(); "weights_published");
                            reply.json(&row);
                        }
                        Err(refusal) => reply.refuse(&refusal),
                    }
                    continue;
                }
            };
            let ret = ret_some_to!([cx], on_publish(id) as (JobResult));
            call!([self.io], submit(job, ret));
        }
    }

    fn on_publish(&mut self, cx: CX![], id: WriteId, result: JobResult) {
        let now = self.now(cx.now());
        let Some((publish, _)) = self.publishes.get_mut(&id) else { return };
        let mut out = Vec::new();
        match result {
            JobResult::Read(reply) => publish.on_read(now, &reply, &mut out),
            JobResult::Txn(reply) => publish.on_txn(now, &reply, &mut out),
            _ => {}
        }
        self.apply_publish(cx, id, out);
    }
}
