//! Authorizes requests, routes them to the other actors and runs the graceful shutdown.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use buckthornfall_core::{
    auth::{Principal, Tokens},
    burn::BurnCounters,
    drain::{Drain, DrainStage},
    entry,
    error::{ErrorKind, Refusal},
    Now,
};
use buckthornfall_proto::{
    check,
    ids::TrainerName,
    manifest::Trainer,
    messages::{BurnAnswer, CommitRequest, LeaseStatus, ListedHost, PeerStatus, StatusAnswer},
    settings::Settings,
    track::Track,
};
use log::info;
use rustc_hash::FxHashMap;
use serde::de::DeserializeOwned;
use stakker::{
    actor, after, call, fwd_to, ret_nop,
    sync::{Channel, ChannelGuard},
    ActorOwn, StopCause, CX,
};

use super::{
    control::Control,
    io::Io,
    requests::{RequestMeasurement, Requests, ServiceCall},
    rollout::RolloutActor,
    serving::{Serving, ServingSummary},
    trainer::{RoleEvent, TrainerActor},
    view::{Identity, SharedCount, View},
    TICK_INTERVAL,
};
use crate::{
    api::ApiCall,
    http::{HttpCall, HttpEvent},
    options::DaemonLimits,
    peers::PeerListener,
    reply::Reply,
    telemetry::Telemetry,
};

/// An event from the owner of a daemon to the root actor.
pub enum NodeEvent {
    /// A graceful shutdown is requested.
    Stop,
}

/// Arguments of the root actor.
pub struct NodeArgs {
    /// Identity of this daemon.
    pub identity: Identity,
    /// Settings of this daemon.
    pub settings: Settings,
    /// Limits from the settings.
    pub limits: DaemonLimits,
    /// This daemon's entry in the host list, with its listening addresses.
    pub own_host: ListedHost,
    /// Listening socket for the other daemons.
    pub peer_listener: PeerListener,
    /// Recorder of the metrics.
    pub telemetry: Telemetry,
}

/// The root actor of one daemon.
pub struct Node {
    identity: Identity,
    io: ActorOwn<Io>,
    serving: ActorOwn<Serving>,
    control: ActorOwn<Control>,
    requests: ActorOwn<Requests>,
    trainers: FxHashMap<TrainerName, ActorOwn<TrainerActor>>,
    /// Rollouts by track and region.
    rollouts: FxHashMap<(Track, String), ActorOwn<RolloutActor>>,
    roles: FxHashMap<String, LeaseStatus>,
    view: View,
    summary: Rc<ServingSummary>,
    tokens: Tokens,
    revision: u64,
    in_flight: SharedCount,
    drain: Drain,
    entry_ttl: Duration,
    entry_requests: u64,
    burn: BurnCounters,
    last_work_namespace: u64,
}

impl Node {
    /// Starts all other actors.
    pub fn init(cx: CX![], args: NodeArgs) -> Option<Node> {
        let NodeArgs { identity, settings, limits, own_host, peer_listener, telemetry } = args;
        let platform = settings.platform;
        let io_threads = limits.io_threads;
        let io = actor!(cx, Io::init(platform, io_threads, telemetry.clone()), ret_nop!());
        let summary = fwd_to!([cx], on_summary() as (Rc<ServingSummary>));
        let threads = limits.stream_threads;
        let serving = actor!(
            cx,
            Serving::init(identity.clone(), io.clone(), threads, telemetry.clone(), summary),
            ret_nop!()
        );
        let views = fwd_to!([cx], on_view() as (View));
        let (io_ref, serving_ref) = (io.clone(), serving.clone());
        let control = actor!(
            cx,
            Control::init(
                identity.clone(),
                own_host,
                peer_listener,
                io_ref,
                serving_ref,
                telemetry,
                views
            ),
            ret_nop!()
        );
        let in_flight = SharedCount::default();
        let measurements = fwd_to!([cx], on_request_measurement() as (RequestMeasurement));
        let (io_ref, serving_ref, count) = (io.clone(), serving.clone(), Rc::clone(&in_flight));
        let requests = actor!(
            cx,
            Requests::init(identity.clone(), io_ref, serving_ref, count, measurements),
            ret_nop!()
        );
        call!([cx], tick());
        Some(Node {
            identity,
            io,
            serving,
            control,
            requests,
            trainers: FxHashMap::default(),
            rollouts: FxHashMap::default(),
            roles: FxHashMap::default(),
            view: View::default(),
            summary: Rc::default(),
            tokens: Tokens::default(),
            revision: 0,
            in_flight,
            drain: Drain::new(limits.entry_ttl, limits.drain_timeout),
            entry_ttl: limits.entry_ttl,
            entry_requests: 0,
            burn: BurnCounters::default(),
            last_work_namespace: 0,
        })
    }

    /// Handles an event of the HTTP interface.
    pub fn on_http(&mut self, cx: CX![], event: HttpEvent) {
        match event {
            HttpEvent::Call(call) => self.on_call(cx, call),
            HttpEvent::Disconnected(id) => call!([self.requests], on_disconnect(id)),
        }
    }

    /// Handles an event from the owner of the daemon.
    pub fn on_event(&mut self, cx: CX![], event: NodeEvent) {
        match event {
            NodeEvent::Stop => self.stop(cx),
        }
    }

    fn now(&self, instant: Instant) -> Now {
        self.identity.clock.at(instant)
    }

    fn stop(&mut self, cx: CX![]) {
        if self.drain.is_leaving() {
            return;
        }
        info!(requests = self.in_flight.get(); "planned_stop");
        self.drain.begin(self.now(cx.now()));
        call!([self.control], leave());
        for trainer in self.trainers.values() {
            call!([trainer], release());
        }
        for rollout in self.rollouts.values() {
            call!([rollout], release());
        }
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        let now = self.now(cx.now());
        self.burn.tick(now);
        if self.drain.stage(now, self.in_flight.get()) == DrainStage::Done {
            info!(cut = self.in_flight.get(); "stopped");
            cx.shutdown(StopCause::Stopped);
        }
    }

    fn on_summary(&mut self, _cx: CX![], summary: Rc<ServingSummary>) {
        self.summary = summary;
        let summary = &self.summary;
        for (name, trainer) in &self.trainers {
            let model = self.view.in_force.as_ref().and_then(|in_force| {
                in_force.manifest.trainers.iter().find(|t| t.name == *name).map(|t| &t.model)
            });
            let idle = model.and_then(|model| summary.idle_slots.get(model)).copied().unwrap_or(0);
            call!([trainer], set_idle_slots(idle));
        }
        let leases: Vec<_> = self.roles.values().cloned().collect();
        let (leaving, quarantined) = (summary.leaving.clone(), summary.quarantined.clone());
        let suspects = summary.suspects.clone();
        call!([self.control], set_gossip(leases, leaving, quarantined, suspects));
    }

    fn on_view(&mut self, cx: CX![], view: View) {
        self.view = view.clone();
        if let Some(in_force) = &view.in_force {
            if in_force.revision != self.revision {
                self.revision = in_force.revision;
                self.tokens = Tokens::new(&in_force.manifest);
                self.burn.configure(&in_force.manifest.service_levels);
                self.reconcile_roles(cx);
            }
        }
        call!([self.serving], on_view(view.clone()));
        call!([self.requests], on_view(view.clone()));
        for trainer in self.trainers.values() {
            call!([trainer], on_view(view.clone()));
        }
        for rollout in self.rollouts.values() {
            call!([rollout], on_view(view.clone()));
        }
    }

    /// Starts and stops the actors of trainers and rollouts to match the manifest.
    fn reconcile_roles(&mut self, cx: CX![]) {
        let Some(in_force) = self.view.in_force.clone() else { return };
        let manifest = &in_force.manifest;
        self.trainers.retain(|name, _| manifest.trainers.iter().any(|t| t.name == *name));
        for trainer in &manifest.trainers {
            if !self.trainers.contains_key(&trainer.name) && !self.drain.is_leaving() {
                self.start_trainer(cx, trainer.clone());
            }
        }
        let mut tracks: Vec<_> = manifest.trainers.iter().map(track_of).collect();
        tracks.extend(manifest.models.iter().map(|model| Track::new(&model.name, None)));
        tracks.sort_unstable();
        tracks.dedup();
        let wanted: Vec<_> = tracks
            .into_iter()
            .flat_map(|track| manifest.regions.iter().map(move |r| (track.clone(), r.name.clone())))
            .collect();
        self.rollouts.retain(|key, _| wanted.contains(key));
        for (track, region) in wanted {
            let key = (track.clone(), region.clone());
            if !self.rollouts.contains_key(&key) && !self.drain.is_leaving() {
                let role_events = fwd_to!([cx], on_role() as (RoleEvent));
                let (identity, io) = (self.identity.clone(), self.io.clone());
                let view = self.view.clone();
                let rollout = actor!(
                    cx,
                    RolloutActor::init(identity, io, track, region, view, role_events),
                    ret_nop!()
                );
                self.rollouts.insert(key, rollout);
            }
        }
    }

    fn start_trainer(&mut self, cx: CX![], trainer: Trainer) {
        self.last_work_namespace += 1;
        let namespace = self.last_work_namespace;
        let role_events = fwd_to!([cx], on_role() as (RoleEvent));
        let (identity, view) = (self.identity.clone(), self.view.clone());
        let (io, serving) = (self.io.clone(), self.serving.clone());
        let name = trainer.name.clone();
        let actor = actor!(
            cx,
            TrainerActor::init(identity, io, serving, trainer, view, namespace, role_events),
            ret_nop!()
        );
        self.trainers.insert(name, actor);
    }

    fn on_role(&mut self, _cx: CX![], event: RoleEvent) {
        match event {
            RoleEvent::Holder(status) => {
                self.roles.insert(status.role.clone(), status);
            }
            RoleEvent::ServiceLevel(event) => {
                self.burn.record_many(event.indicator, event.good, event.total);
            }
        }
    }

    fn on_request_measurement(&mut self, _cx: CX![], measurement: RequestMeasurement) {
        match measurement {
            RequestMeasurement::Latency(took) => {
                let indicator = buckthornfall_proto::manifest::Indicator::AnswerLatency;
                self.burn.record_time(indicator, took);
            }
            RequestMeasurement::Count(event) => {
                self.burn.record_many(event.indicator, event.good, event.total);
            }
        }
    }

    fn on_call(&mut self, cx: CX![], call: HttpCall) {
        let now = self.now(cx.now());
        if let ApiCall::Entry { zone, region } = &call.call {
            let answer = self.entry(zone, region);
            return call.reply.json(&answer);
        }
        if self.drain.stage(now, self.in_flight.get()) >= DrainStage::Finishing {
            let message = "this daemon is stopping; ask for another entry address";
            return call.reply.refuse(&Refusal::new(ErrorKind::Leaving, message));
        }
        match self.authorize(&call) {
            Ok(principal) => self.route(cx, call, principal),
            Err(refusal) => call.reply.refuse(&refusal),
        }
    }

    fn entry(&mut self, zone: &str, region: &str) -> buckthornfall_proto::messages::EntryAnswer {
        self.entry_requests += 1;
        let own = &self.identity.place;
        let (zone, region) = if zone.is_empty() && region.is_empty() {
            (own.zone.as_str(), own.region.as_str())
        } else {
            (zone, region)
        };
        let spread = self.entry_requests.wrapping_add(self.identity.incarnation);
        let ttl_ms = self.entry_ttl.as_millis() as u64;
        entry::answer(&self.view.peers, zone, region, spread, ttl_ms)
    }

    /// Returns the principal that sent a request, or a refusal if it lacks permission.
    fn authorize(&self, call: &HttpCall) -> Result<Principal, Refusal> {
        if self.revision == 0 {
            return authorize_first_commit(call);
        }
        let Some(principal) = self.tokens.principal(&call.token) else {
            let message = "the request shows no bearer token that the manifest knows";
            return Err(Refusal::new(ErrorKind::Unauthorized, message));
        };
        let allowed = match (&call.call, principal) {
            (ApiCall::Completion | ApiCall::Service { .. }, Principal::Caller(_)) => true,
            (
                ApiCall::SubmitStep { trainer } | ApiCall::Pull { trainer },
                Principal::Trainer(name),
            ) => trainer == name,
            (ApiCall::Publish { model }, Principal::Trainer(name)) => {
                self.is_trainer_of(name, model)
            }
            (ApiCall::Commit | ApiCall::Status | ApiCall::Burn, Principal::Operator(_)) => true,
            _ => false,
        };
        if allowed {
            return Ok(principal.clone());
        }
        let message = "the bearer token is not valid for this path";
        Err(Refusal::new(ErrorKind::Forbidden, message))
    }

    fn trainer(&self, name: &str) -> Option<&Trainer> {
        let in_force = self.view.in_force.as_ref()?;
        in_force.manifest.trainers.iter().find(|trainer| trainer.name == name)
    }

    fn is_trainer_of(&self, trainer: &str, model: &str) -> bool {
        self.trainer(trainer).is_some_and(|trainer| trainer.model == model)
    }

    fn route(&mut self, cx: CX![], call: HttpCall, principal: Principal) {
        let HttpCall { id, call, idempotency_key, body, reply, .. } = call;
        match (call, principal) {
            (ApiCall::Completion, Principal::Caller(caller)) => {
                if let Some((request, reply)) = parse(&body, reply) {
                    call!([self.requests], complete(id, caller, request, reply));
                }
            }
            (ApiCall::Service { service, operation }, Principal::Caller(caller)) => {
                let request = ServiceCall { service, operation, key: idempotency_key, body };
                call!([self.requests], call(id, caller, request, reply));
            }
            (ApiCall::SubmitStep { trainer }, _) => {
                let Some((spec, reply)) = parse(&body, reply) else { return };
                match self.trainers.get(&trainer) {
                    Some(actor) => call!([actor], submit(spec, reply)),
                    None => reply.refuse(&unknown_trainer(&trainer)),
                }
            }
            (ApiCall::Pull { trainer }, _) => {
                let Some((request, reply)) = parse(&body, reply) else { return };
                match self.trainers.get(&trainer) {
                    Some(actor) => call!([actor], pull(request, reply)),
                    None => reply.refuse(&unknown_trainer(&trainer)),
                }
            }
            (ApiCall::Publish { .. }, Principal::Trainer(trainer)) => {
                let Some((request, reply)) = parse(&body, reply) else { return };
                match self.trainer(&trainer).map(track_of) {
                    Some(track) => call!([self.control], publish(track, request, reply)),
                    None => reply.refuse(&unknown_trainer(&trainer)),
                }
            }
            (ApiCall::Commit, _) => {
                if let Some((request, reply)) = parse::<CommitRequest>(&body, reply) {
                    call!([self.control], commit(request, reply));
                }
            }
            (ApiCall::Status, _) => reply.json(&self.status()),
            (ApiCall::Burn, _) => reply.json(&BurnAnswer {
                host: self.identity.place.host.clone(),
                revision: self.revision,
                windows: self.burn.windows(self.now(cx.now())),
                targets: self.burn.targets(),
            }),
            _ => reply.refuse(&Refusal::new(ErrorKind::Forbidden, "not for this token")),
        }
    }

    fn status(&self) -> StatusAnswer {
        let in_force = self.view.in_force.as_ref();
        let peers = self.view.peers.iter().map(|peer| PeerStatus {
            host: peer.host.clone(),
            address: peer.address.clone(),
            alive: peer.alive,
            leaving: peer.leaving,
            revision: 0,
        });
        let mut leases: Vec<_> = self.roles.values().cloned().collect();
        leases.sort_by(|a, b| a.role.cmp(&b.role));
        StatusAnswer {
            host: self.identity.place.host.clone(),
            zone: self.identity.place.zone.clone(),
            revision: self.revision,
            hash: in_force.map_or_else(String::new, |in_force| in_force.hash.clone()),
            leaving: self.drain.is_leaving(),
            requests_in_flight: self.in_flight.get() as u32,
            peers: peers.collect(),
            servers: self.summary.servers.clone(),
            leases,
            quarantined: self.summary.quarantined.clone(),
        }
    }
}

/// Before the first manifest, accepts a commit whose bearer token belongs to an operator named in
/// the committed manifest itself.
fn authorize_first_commit(call: &HttpCall) -> Result<Principal, Refusal> {
    let not_ready = || Refusal::new(ErrorKind::NotReady, "no manifest is in force here yet");
    if call.call != ApiCall::Commit {
        return Err(not_ready());
    }
    let invalid = |e: String| Refusal::new(ErrorKind::Invalid, e);
    let request: CommitRequest =
        serde_json::from_slice(&call.body).map_err(|e| invalid(e.to_string()))?;
    let manifest =
        check::manifest(&request.manifest.to_string()).map_err(|e| invalid(e.to_string()))?;
    match Tokens::new(&manifest).principal(&call.token) {
        Some(principal @ Principal::Operator(_)) => Ok(principal.clone()),
        _ => {
            let message = "the first manifest must name the shown token among its operators";
            Err(Refusal::new(ErrorKind::Unauthorized, message))
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8], reply: Reply) -> Option<(T, Reply)> {
    match serde_json::from_slice(body) {
        Ok(message) => Some((message, reply)),
        Err(e) => {
            let message = format!("the body is not valid: {e}");
            reply.refuse(&Refusal::new(ErrorKind::Invalid, message));
            None
        }
    }
}

/// Returns the track that a trainer publishes weights for.
fn track_of(trainer: &Trainer) -> Track {
    Track::new(&trainer.model, trainer.adapter.as_deref())
}

fn unknown_trainer(trainer: &str) -> Refusal {
    let message = format!("trainer {trainer:?} does not exist in the manifest");
    Refusal::new(ErrorKind::NotFound, message)
}

/// Creates the channel from the owner of the daemon to the root actor.
pub fn channel(
    cx: &mut stakker::Core,
    node: &ActorOwn<Node>,
) -> (Channel<NodeEvent>, ChannelGuard) {
    let events = fwd_to!([node], on_event() as (NodeEvent));
    Channel::new(cx, events)
}
