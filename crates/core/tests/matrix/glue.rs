//! Connects the state machines of a host to the simulation, as the actors of the daemon do.

use std::time::Duration;

use buckthornfall_core::{
    claim::{ClaimAction, ClaimRequest},
    commit::{Commit, CommitAction},
    config::ConfigAction,
    dispatch::{Class, DispatchAction, Progress, Task, Work, WorkEvent},
    drain::DrainStage,
    error::{ErrorKind, Refusal},
    lease::LeaseAction,
    publish::{weights_key, Publish, PublishAction},
    quarantine::{self, QuarantineAction},
    rollout::{RolloutAction, ORDER_TIMEOUT},
    step::{StepAction, WORK_ID_BITS},
    table,
};
use buckthornfall_proto::{
    digest::{fingerprint, sha256_hex},
    manifest::Manifest,
    messages::{Gossip, OrderAction, Outcome, PoisonRow, Row, WeightsRow},
    track::Track,
};
use bytes::Bytes;

use crate::{
    clients::{Answer, CallerRequest, TrainerAnswer, TrainerRequest},
    host::{name, ActiveRequest},
    plan::{Mutation, Step},
    world::{
        manifest_text, Endpoint, Event, HostEvent, StoreContext, StoreOp, StoreReply, World, HOSTS,
        REQUEST_TIMEOUT,
    },
};

const POLL_INTERVAL: Duration = Duration::from_millis(500);
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

impl World {
    pub fn host_event(&mut self, host: usize, event: HostEvent) {
        match event {
            HostEvent::Tick => self.tick(host),
            HostEvent::Store { op, context, reply } => {
                if self.hosts[host].pending_ops.remove(&op) {
                    self.on_store_reply(host, context, reply);
                }
            }
            HostEvent::Gossip { from, gossip, is_answer } => {
                self.on_gossip(host, from, *gossip, is_answer)
            }
            HostEvent::Pull { from, above } => self.on_pull(host, from, above),
            HostEvent::Push(push) => {
                let mut out = Vec::new();
                self.hosts[host].config.on_push(&push, &mut out);
                self.apply_config(host, out);
            }
            HostEvent::Attempt { attempt, event } => {
                let attempt = self.apply_attempt_mutation(host, attempt);
                let mut event = event;
                if self.is_mutated(Mutation::BrokenIsNotRun) {
                    if let buckthornfall_core::dispatch::AttemptEvent::Broken { reason } = event {
                        event = buckthornfall_core::dispatch::AttemptEvent::NotRun {
                            unreachable: false,
                            reason,
                        };
                    }
                }
                if self.is_mutated(Mutation::OrderedVersions) {
                    let wanted = self.hosts[host].rollout.wanted().max(1);
                    if let buckthornfall_core::dispatch::AttemptEvent::Tokens { version, .. } =
                        &mut event
                    {
                        *version = wanted;
                    }
                }
                let now = self.now;
                let mut out = Vec::new();
                self.hosts[host].dispatcher.on_attempt(now, &attempt, event, &mut out);
                self.apply_dispatch(host, out);
            }
            HostEvent::Report { server, state, for_rollout } => {
                self.on_report(host, &server, state, for_rollout)
            }
            HostEvent::Isolated { attempt, free } => {
                let now = self.now;
                let mut out = Vec::new();
                self.hosts[host].dispatcher.on_isolated(now, &attempt, free, &mut out);
                self.apply_dispatch(host, out);
            }
            HostEvent::Caller { caller, try_number, payload } => {
                self.on_caller(host, caller, try_number, payload)
            }
            HostEvent::Trainer { id, payload } => self.on_trainer(host, id, payload),
            HostEvent::Commit { manifest, base, operator } => {
                self.on_commit(host, &manifest, base, operator)
            }
        }
    }

    /// With `Mutation::NoAttemptIds`, redirects an event to another attempt of the host.
    fn apply_attempt_mutation(&self, host: usize, attempt: String) -> String {
        if !self.is_mutated(Mutation::NoAttemptIds) {
            return attempt;
        }
        let epoch = self.hosts[host].epoch;
        let mut own: Vec<_> =
            self.attempts.iter().filter(|(_, (h, e, _))| (*h, *e) == (host, epoch)).collect();
        own.sort_by_key(|(_, (_, _, work))| *work);
        own.iter().map(|(attempt, _)| (*attempt).clone()).next().unwrap_or(attempt)
    }

    fn tick(&mut self, host: usize) {
        let now = self.now;
        let mut out = Vec::new();
        self.hosts[host].config.tick(now, &mut out);
        self.apply_config(host, out);
        self.gossip(host);
        self.tick_host_list(host);
        self.tick_leases(host);
        self.tick_steps(host);
        self.tick_rollout(host);
        self.tick_writes(host);
        self.tick_requests(host);
        self.tick_polls(host);
        self.tick_drain(host);
    }

    fn tick_drain(&mut self, host: usize) {
        let state = &self.hosts[host];
        let in_flight = state.requests.len() + state.claims.len();
        if state.drain.stage(self.now, in_flight) == DrainStage::Done {
            self.check_stop(host);
            self.kill(host);
        }
    }

    fn tick_host_list(&mut self, host: usize) {
        if self.now < self.hosts[host].next_host_list {
            return;
        }
        self.hosts[host].next_host_list = self.now + HOST_LIST_INTERVAL;
        let list = self.host_list();
        let now = self.now;
        let state = &mut self.hosts[host];
        state.membership.on_host_list(now, list);
        let leaving = state.membership.leaving_servers();
        state.dispatcher.set_leaving(&leaving);
    }

    fn tick_polls(&mut self, host: usize) {
        if self.now < self.hosts[host].next_poll {
            return;
        }
        self.hosts[host].next_poll = self.now + POLL_INTERVAL;
        let servers: Vec<_> =
            self.hosts[host].dispatcher.fleet().iter().map(|s| s.info.name.clone()).collect();
        for server in servers {
            self.poll(host, server, false);
        }
    }

    fn poll(&mut self, host: usize, server: String, for_rollout: bool) {
        let epoch = self.hosts[host].epoch;
        let state = self.server_report(host, &server);
        let from = self.endpoint(&server);
        let event = HostEvent::Report { server, state, for_rollout };
        if !self.send_to_host(Some(Step::Report), from, host, epoch, event.clone()) {
            if let HostEvent::Report { server, .. } = event {
                let event = HostEvent::Report { server, state: None, for_rollout };
                let at = self.now + Duration::from_millis(1500);
                self.schedule(at, Event::Host { host, epoch, event });
            }
        }
    }

    fn endpoint(&self, server: &str) -> Endpoint {
        let engine = self.engines.iter().position(|engine| engine.name == server);
        engine.map_or(Endpoint::Service, Endpoint::Engine)
    }

    fn on_report(
        &mut self,
        host: usize,
        server: &str,
        state: Option<buckthornfall_proto::messages::EngineState>,
        for_rollout: bool,
    ) {
        let now = self.now;
        if for_rollout {
            if let Some(state) = state {
                self.hosts[host].rollout.on_report(now, server, &state);
            }
            return;
        }
        let mut out = Vec::new();
        let dispatcher = &mut self.hosts[host].dispatcher;
        match state {
            Some(state) => dispatcher.on_report(now, server, state, &mut out),
            None => dispatcher.on_unreachable(now, server, &mut out),
        }
        self.apply_dispatch(host, out);
    }

    // Gossip and configuration.

    fn gossip_message(&mut self, host: usize) -> Gossip {
        let now = self.now;
        let state = &mut self.hosts[host];
        let listed = state.membership.listed_leaving().iter().cloned();
        let mut leaving: Vec<_> =
            state.dispatcher.fleet().leaving().into_iter().chain(listed).collect();
        leaving.sort_unstable();
        Gossip {
            from: name(host),
            revision: state.config.revision(),
            members: state.membership.entries(now),
            leaving_servers: leaving,
            quarantined: state.dispatcher.quarantine().quarantined().collect(),
            suspects: state.dispatcher.quarantine().gossiped_suspects(now),
            leases: Vec::new(),
        }
    }

    fn gossip(&mut self, host: usize) {
        let now = self.now;
        for target in self.hosts[host].membership.tick(now) {
            let Some(to) = (0..HOSTS).find(|i| name(*i) == target.host) else { continue };
            let gossip = Box::new(self.gossip_message(host));
            let epoch = self.hosts[to].epoch;
            let event = HostEvent::Gossip { from: host, gossip, is_answer: false };
            self.send_to_host(Some(Step::Gossip), Endpoint::Host(host), to, epoch, event);
        }
    }

    fn on_gossip(&mut self, host: usize, from: usize, gossip: Gossip, is_answer: bool) {
        let now = self.now;
        let state = &mut self.hosts[host];
        state.membership.on_entries(now, &gossip.members);
        if !self.mutation.is_some_and(|m| m == Mutation::NoLeavingSignals) {
            state.membership.on_leaving_servers(now, &gossip.leaving_servers);
        }
        let leaving = state.membership.leaving_servers();
        state.dispatcher.set_leaving(&leaving);
        state.dispatcher.on_gossip(now, &gossip.quarantined, &gossip.suspects);
        let mut out = Vec::new();
        state.config.on_peer_revision(now, &gossip.from, gossip.revision, &mut out);
        self.apply_config(host, out);
        if !is_answer {
            let answer = Box::new(self.gossip_message(host));
            let epoch = self.hosts[from].epoch;
            let event = HostEvent::Gossip { from: host, gossip: answer, is_answer: true };
            self.send_to_host(None, Endpoint::Host(host), from, epoch, event);
        }
    }

    fn on_pull(&mut self, host: usize, from: usize, above: u64) {
        if let Some(push) = self.hosts[host].config.push_above(&name(host), above) {
            let epoch = self.hosts[from].epoch;
            self.send_to_host(
                None,
                Endpoint::Host(host),
                from,
                epoch,
                HostEvent::Push(Box::new(push)),
            );
        }
    }

    fn apply_config(&mut self, host: usize, actions: Vec<ConfigAction>) {
        for action in actions {
            match action {
                ConfigAction::ReadHead { key } => {
                    let op = StoreOp::Read(key.to_owned());
                    self.send_to_store(host, Some(Step::HeadPoll), StoreContext::Head, op);
                }
                ConfigAction::GetObject { key, revision } => {
                    let context = StoreContext::Manifest(revision);
                    self.send_to_store(host, Some(Step::ManifestGet), context, StoreOp::Get(key));
                }
                ConfigAction::PullFrom { host: target, above } => {
                    let Some(to) = (0..HOSTS).find(|i| name(*i) == target) else { continue };
                    let epoch = self.hosts[to].epoch;
                    let event = HostEvent::Pull { from: host, above };
                    self.send_to_host(
                        Some(Step::ManifestPull),
                        Endpoint::Host(host),
                        to,
                        epoch,
                        event,
                    );
                }
                ConfigAction::InForce(in_force) => {
                    let manifest = in_force.manifest.clone();
                    self.in_force(host, in_force.revision, &in_force.hash, &manifest);
                }
                ConfigAction::Rejected { revision, reason } => {
                    self.report_violation(
                        "committed manifests are valid",
                        &format!("{revision}: {reason}"),
                    );
                }
            }
        }
    }

    fn in_force(&mut self, host: usize, revision: u64, hash: &str, manifest: &Manifest) {
        self.trace_event(|| format!("host {host} has revision {revision}"));
        if revision < self.hosts[host].highest_revision {
            self.report_violation(
                "a configuration never reverts",
                &format!("host {host}: {revision}"),
            );
        }
        self.hosts[host].highest_revision = revision;
        let known = self.hashes.entry(revision).or_insert_with(|| hash.to_owned()).clone();
        if known != hash {
            self.report_violation("one content for each revision", &format!("revision {revision}"));
        }
        let now = self.now;
        self.hosts[host].membership.start_fast_rounds(now);
        self.hosts[host].configure(now, manifest);
        let mut daemons: Vec<_> = (0..HOSTS).map(name).collect();
        daemons.sort_unstable();
        let mut out = Vec::new();
        self.hosts[host].dispatcher.configure(now, manifest, &daemons, &mut out);
        self.apply_dispatch(host, out);
        if self.is_mutated(Mutation::Reverts) && revision > 1 {
            // Discards the manifest in force, so that an older one is installed.
            let first = crate::world::manifest(0);
            let content = manifest_text(&first);
            let push = buckthornfall_proto::messages::ManifestPush {
                from: name(host),
                revision: 1,
                hash: sha256_hex(content.as_bytes()),
                base: 0,
                content,
            };
            self.hosts[host].config = buckthornfall_core::config::Config::new(now + POLL_INTERVAL);
            let mut out = Vec::new();
            self.hosts[host].config.on_push(&push, &mut out);
            self.apply_config(host, out);
        }
    }

    // Writes of operators and trainers.

    fn on_commit(&mut self, host: usize, manifest: &Manifest, base: u64, operator: usize) {
        let content = manifest_text(manifest);
        self.operator_hashes.insert(operator, sha256_hex(content.as_bytes()));
        let attempt = format!("{}/commit/{operator}", self.hosts[host].instance_id());
        let mut commit = Commit::new(base, content, attempt, self.now + WRITE_TIMEOUT);
        let mut out = Vec::new();
        commit.begin(&mut out);
        let id = operator as u64;
        self.hosts[host].commits.insert(id, commit);
        self.apply_commit(host, id, out);
    }

    fn apply_commit(&mut self, host: usize, id: u64, actions: Vec<CommitAction>) {
        for action in actions {
            let (step, op) = match action {
                CommitAction::PutObject { key, content } => {
                    (Step::CommitPut, StoreOp::Put(key, content))
                }
                CommitAction::Read { key } => (Step::CommitHead, StoreOp::Read(key)),
                CommitAction::Txn(txn) => (Step::CommitTxn, StoreOp::Txn(txn)),
                CommitAction::Done(result) => {
                    let commit = self.hosts[host].commits.remove(&id);
                    if let (Some(commit), Ok(row)) = (commit, &result) {
                        let mut out = Vec::new();
                        self.hosts[host].config.on_committed(row, commit.content(), &mut out);
                        self.apply_config(host, out);
                    }
                    let hash = self.operator_hashes[&(id as usize)].clone();
                    self.trace_event(|| format!("commit {id}: {result:?}"));
                    match result {
                        Ok(row) => self.committed.push((row.revision, row.hash)),
                        Err(refusal) if refusal.work_outcome() == Outcome::NotRun => {
                            self.not_committed.push(hash);
                        }
                        Err(_) => {}
                    }
                    continue;
                }
            };
            self.send_to_store(host, Some(step), StoreContext::Commit(id), op);
        }
    }

    fn apply_publish(&mut self, host: usize, id: u64, actions: Vec<PublishAction>) {
        for action in actions {
            let (step, op) = match action {
                PublishAction::Read { key } => (None, StoreOp::Read(key)),
                PublishAction::Txn(txn) => (Some(Step::PublishTxn), StoreOp::Txn(txn)),
                PublishAction::Done(result) => {
                    let Some((_, request_id)) = self.hosts[host].publications.remove(&id) else {
                        continue;
                    };
                    let answer = match result {
                        Ok(_) => TrainerAnswer::Published,
                        Err(refusal) => TrainerAnswer::Refused(refusal),
                    };
                    self.schedule(self.now, Event::TrainerGet { id: request_id, answer });
                    continue;
                }
            };
            self.send_to_store(host, step, StoreContext::Publish(id), op);
        }
    }

    fn tick_writes(&mut self, host: usize) {
        let now = self.now;
        let ids: Vec<_> = self.hosts[host].commits.keys().copied().collect();
        for id in ids {
            let mut out = Vec::new();
            self.hosts[host].commits.get_mut(&id).expect("known").tick(now, &mut out);
            self.apply_commit(host, id, out);
        }
        let ids: Vec<_> = self.hosts[host].publications.keys().copied().collect();
        for id in ids {
            let mut out = Vec::new();
            self.hosts[host].publications.get_mut(&id).expect("known").0.tick(now, &mut out);
            self.apply_publish(host, id, out);
        }
    }

    // Leases, steps and rollouts.

    fn tick_leases(&mut self, host: usize) {
        let now = self.now;
        let wanted =
            self.hosts[host].config.in_force().is_some() && !self.hosts[host].drain.is_leaving();
        let mut out = Vec::new();
        self.hosts[host].steps_lease.tick(now, wanted, &mut out);
        self.apply_lease(host, true, out);
        let mut out = Vec::new();
        self.hosts[host].rollout_lease.tick(now, wanted, &mut out);
        self.apply_lease(host, false, out);
        self.update_coordination(host);
    }

    pub fn release_leases(&mut self, host: usize) {
        let now = self.now;
        let mut out = Vec::new();
        self.hosts[host].steps_lease.release(now, &mut out);
        self.apply_lease(host, true, out);
        let mut out = Vec::new();
        self.hosts[host].rollout_lease.release(now, &mut out);
        self.apply_lease(host, false, out);
        self.stop_coordinating(host);
    }

    fn apply_lease(&mut self, host: usize, steps: bool, actions: Vec<LeaseAction>) {
        for action in actions {
            let key = if steps {
                self.hosts[host].steps_lease.key()
            } else {
                self.hosts[host].rollout_lease.key()
            };
            let (step, attempt, op) = match action {
                LeaseAction::Read => {
                    (Step::LeaseRead, String::new(), StoreOp::Read(key.to_owned()))
                }
                LeaseAction::Txn { attempt, txn } => (Step::LeaseTxn, attempt, StoreOp::Txn(txn)),
            };
            let context = if steps {
                StoreContext::StepsLease(attempt)
            } else {
                StoreContext::RolloutLease(attempt)
            };
            self.send_to_store(host, Some(step), context, op);
        }
    }

    fn update_coordination(&mut self, host: usize) {
        let now = self.now;
        let state = &mut self.hosts[host];
        let own = state.instance_id();
        let other = state.steps_lease.last_holder().is_some_and(|(holder, _)| holder != own);
        if other && state.coordinating.is_some() {
            self.stop_coordinating(host);
        }
        let state = &mut self.hosts[host];
        let Some(fence) = state.steps_lease.fence(now) else { return };
        let Some(coordinator) = &mut state.coordinator else { return };
        if state.coordinating != Some(fence) {
            state.coordinating = Some(fence);
            let mut out = Vec::new();
            coordinator.recover(&mut out);
            self.trace_event(|| format!("host {host} coordinates with fence {fence}"));
            self.apply_steps(host, out);
        }
    }

    fn stop_coordinating(&mut self, host: usize) {
        self.hosts[host].coordinating = None;
        let mut out = Vec::new();
        if let Some(coordinator) = &mut self.hosts[host].coordinator {
            coordinator.cancel_all(&mut out);
        }
        self.apply_steps(host, out);
    }

    fn tick_steps(&mut self, host: usize) {
        let now = self.now;
        let state = &mut self.hosts[host];
        if state.coordinating.is_none() {
            return;
        }
        let mut out = Vec::new();
        if let Some(coordinator) = &mut state.coordinator {
            coordinator.tick(now, 4, &mut out);
        }
        self.apply_steps(host, out);
    }

    fn tick_rollout(&mut self, host: usize) {
        let now = self.now;
        let state = &mut self.hosts[host];
        let fence = state.rollout_lease.fence(now);
        let may_order = state.rollout_lease.time_left(now) > ORDER_TIMEOUT;
        let fence = if self.mutation == Some(Mutation::NoLease) {
            Some(state.index as u64 + 1)
        } else {
            fence.filter(|_| may_order)
        };
        if fence.is_some() && now >= state.next_weights {
            state.next_weights = now + POLL_INTERVAL;
            let op = StoreOp::Read(weights_key(&Track::new("model", None)));
            self.send_to_store(host, Some(Step::WeightsRead), StoreContext::Weights, op);
        }
        if self.hosts[host].rollout_lease.fence(now).is_some() {
            for server in self.hosts[host].rollout.due_polls(now) {
                self.poll(host, server.name, true);
            }
        }
        let mut out = Vec::new();
        self.hosts[host].rollout.tick(now, fence, &mut out);
        for action in out {
            let RolloutAction::Order { server, order, .. } = action else { continue };
            let Endpoint::Engine(engine) = self.endpoint(&server) else { continue };
            let step = match order.action {
                OrderAction::Stage => Step::StageOrder,
                OrderAction::Activate => Step::ActivateOrder,
            };
            let event = Event::OrderArrive { engine, order };
            self.send(Some(step), Endpoint::Host(host), Endpoint::Engine(engine), event);
        }
    }

    fn apply_steps(&mut self, host: usize, actions: Vec<StepAction>) {
        for action in actions {
            match action {
                StepAction::Submit(work) => self.submit(host, work),
                StepAction::Cancel(work) => {
                    let now = self.now;
                    let mut out = Vec::new();
                    self.hosts[host].dispatcher.cancel(now, work, &mut out);
                    self.apply_dispatch(host, out);
                }
                StepAction::PutObject { object, key, content } => {
                    let context = StoreContext::StepPut(object, key.clone());
                    self.send_to_store(
                        host,
                        Some(Step::GroupPut),
                        context,
                        StoreOp::Put(key, content),
                    );
                }
                StepAction::GetObject { object, key } => {
                    self.send_to_store(
                        host,
                        None,
                        StoreContext::StepGet(object),
                        StoreOp::Get(key),
                    );
                }
                StepAction::GroupTxn { step, group, txn } => {
                    let context = StoreContext::Group(step, group);
                    self.send_to_store(host, Some(Step::GroupTxn), context, StoreOp::Txn(txn));
                }
                StepAction::GroupRead { step, group, key } => {
                    self.send_to_store(
                        host,
                        None,
                        StoreContext::Group(step, group),
                        StoreOp::Read(key),
                    );
                }
                StepAction::Write(txn) => {
                    self.send_to_store(host, None, StoreContext::Forget, StoreOp::Txn(txn));
                }
                StepAction::ScanSteps { prefix } => {
                    self.send_to_store(host, None, StoreContext::Steps, StoreOp::Scan(prefix));
                }
                StepAction::ScanGroups { step, prefix } => {
                    self.send_to_store(
                        host,
                        None,
                        StoreContext::Groups(step),
                        StoreOp::Scan(prefix),
                    );
                }
            }
        }
    }

    fn submit(&mut self, host: usize, work: Work) {
        let now = self.now;
        let id = work.id;
        let progress = work.resume.clone();
        let mut out = Vec::new();
        if let Err(refusal) = self.hosts[host].dispatcher.submit(now, work, &mut out) {
            out.push(DispatchAction::Emit {
                work: id,
                event: WorkEvent::Failed { refusal, progress },
            });
        }
        self.apply_dispatch(host, out);
    }

    // Work on servers.

    fn apply_dispatch(&mut self, host: usize, actions: Vec<DispatchAction>) {
        for action in actions {
            self.apply_dispatch_action(host, action);
        }
    }

    fn apply_dispatch_action(&mut self, host: usize, action: DispatchAction) {
        let epoch = self.hosts[host].epoch;
        match action {
            DispatchAction::Start { attempt, work, server, task, class, resume_tokens, .. } => {
                self.check_start(host, &server);
                self.attempts.insert(attempt.clone(), (host, epoch, work));
                let is_score =
                    matches!(&task, Task::Call { operation, .. } if operation == "score");
                let step = match &task {
                    Task::Generate { .. } => Step::GenerateStart,
                    Task::Call { .. } if is_score => Step::ScoreStart,
                    Task::Call { .. } => Step::CallStart,
                };
                let to = self.endpoint(&server);
                let resume = resume_tokens;
                self.trace_event(|| format!("host {host} starts {attempt} on {server}"));
                let event = Event::AttemptArrive {
                    host,
                    epoch,
                    attempt: attempt.clone(),
                    server,
                    task,
                    resume,
                    class,
                };
                if !self.send(Some(step), Endpoint::Host(host), to, event) {
                    let event = buckthornfall_core::dispatch::AttemptEvent::Broken {
                        reason: "no answer in time".to_owned(),
                    };
                    let at = self.now + Duration::from_millis(1500);
                    self.schedule(
                        at,
                        Event::Host { host, epoch, event: HostEvent::Attempt { attempt, event } },
                    );
                }
            }
            DispatchAction::Cancel { attempt } => {
                for engine in &mut self.engines {
                    engine.runs.remove(&attempt);
                }
            }
            DispatchAction::Emit { work, event } => self.on_work_event(host, work, event),
            DispatchAction::Probe { server } => self.poll(host, server, false),
            DispatchAction::Isolate { server, attempt, .. } => {
                self.isolate(host, &server, attempt, false)
            }
            DispatchAction::Unisolate { server, attempt, .. } => {
                self.isolate(host, &server, attempt, true)
            }
            DispatchAction::Quarantine(QuarantineAction::Read { fingerprint }) => {
                let op = StoreOp::Read(quarantine::key(fingerprint));
                self.send_to_store(host, None, StoreContext::Quarantine(fingerprint), op);
            }
            DispatchAction::Quarantine(QuarantineAction::Txn { fingerprint, txn }) => {
                self.send_to_store(
                    host,
                    None,
                    StoreContext::Quarantine(fingerprint),
                    StoreOp::Txn(txn),
                );
            }
            DispatchAction::Quarantine(QuarantineAction::Answer { .. }) => {}
        }
    }

    fn isolate(&mut self, host: usize, server: &str, attempt: String, lift: bool) {
        let epoch = self.hosts[host].epoch;
        let Endpoint::Engine(engine) = self.endpoint(server) else {
            if !lift {
                self.send_to_host(
                    None,
                    Endpoint::Service,
                    host,
                    epoch,
                    HostEvent::Isolated { attempt, free: true },
                );
            }
            return;
        };
        let event = Event::IsolateArrive { host, epoch, engine, attempt: attempt.clone(), lift };
        if !self.send(None, Endpoint::Host(host), Endpoint::Engine(engine), event) && !lift {
            let at = self.now + Duration::from_millis(1500);
            let event = HostEvent::Isolated { attempt, free: false };
            self.schedule(at, Event::Host { host, epoch, event });
        }
    }

    fn on_work_event(&mut self, host: usize, work: u64, event: WorkEvent) {
        if work >> WORK_ID_BITS > 0 {
            let now = self.now;
            let mut out = Vec::new();
            if let Some(coordinator) = &mut self.hosts[host].coordinator {
                coordinator.on_work(now, work, event, &mut out);
            }
            return self.apply_steps(host, out);
        }
        match event {
            WorkEvent::Started { .. } | WorkEvent::Tokens { .. } => {}
            WorkEvent::Finished { progress } => {
                let text = progress.text.freeze();
                self.answer(host, work, Answer::Text { text, tokens: progress.tokens });
            }
            WorkEvent::Answered { status, body } => {
                let at_most_once =
                    self.hosts[host].requests.get(&work).is_some_and(|r| r.at_most_once);
                self.answer(host, work, Answer::Body { body: body.clone() });
                if at_most_once {
                    let now = self.now;
                    let mut out = Vec::new();
                    self.hosts[host].claims.on_response(now, work, status, &body, &mut out);
                    self.apply_claims(host, out);
                }
            }
            WorkEvent::Failed { refusal, .. } => self.on_work_failed(host, work, &refusal),
        }
    }

    fn on_work_failed(&mut self, host: usize, work: u64, refusal: &Refusal) {
        let at_most_once = self.hosts[host].requests.get(&work).is_some_and(|r| r.at_most_once);
        self.answer(host, work, Answer::Refused(refusal.clone()));
        if !at_most_once {
            return;
        }
        let now = self.now;
        let mut out = Vec::new();
        match refusal.work_outcome() {
            Outcome::NotRun => self.hosts[host].claims.on_not_run(now, work, &mut out),
            Outcome::Ran | Outcome::Unknown => self.hosts[host].claims.on_unknown(work),
        }
        self.apply_claims(host, out);
    }

    // Callers.

    fn on_caller(&mut self, host: usize, caller: usize, try_number: u32, payload: CallerRequest) {
        self.hosts[host].next_request += 1;
        let id = self.hosts[host].next_request;
        let stage = self.hosts[host].drain.stage(self.now, 1);
        let in_force = self.hosts[host].config.in_force().is_some();
        let active = ActiveRequest { caller, try_number, at_most_once: false, claimed_work: None };
        self.hosts[host].requests.insert(id, active);
        if stage >= DrainStage::Finishing {
            let refusal = Refusal::new(ErrorKind::Leaving, "this daemon is stopping");
            return self.answer(host, id, Answer::Refused(refusal));
        }
        let now = self.now;
        if !in_force {
            let refusal = Refusal::new(ErrorKind::NotReady, "no manifest yet");
            return self.answer(host, id, Answer::Refused(refusal));
        }
        if let Err(refusal) = self.hosts[host].admission.admit(now, "caller") {
            return self.answer(host, id, Answer::Refused(refusal));
        }
        let work = self.caller_work(id, &payload);
        let CallerRequest::Record { key } = payload else { return self.submit(host, work) };
        let request = self.hosts[host].requests.get_mut(&id).expect("just inserted");
        request.at_most_once = true;
        if self.is_mutated(Mutation::NoClaim) {
            return self.submit(host, work);
        }
        let request = self.hosts[host].requests.get_mut(&id).expect("just inserted");
        request.claimed_work = Some(work);
        let claim = ClaimRequest {
            id,
            caller: "caller".to_owned(),
            body_hash: sha256_hex(key.as_bytes()),
            key,
            deadline: now + REQUEST_TIMEOUT,
        };
        let mut out = Vec::new();
        self.hosts[host].claims.begin(claim, &mut out);
        self.apply_claims(host, out);
    }

    fn caller_work(&self, id: u64, payload: &CallerRequest) -> Work {
        let (service, task, idempotent, request_hash) = match payload {
            CallerRequest::Complete { prompt } => {
                let request_hash = fingerprint(&[prompt.as_bytes()]);
                let task = Task::Generate {
                    prompt: Bytes::from(prompt.clone()),
                    adapter: None,
                    max_tokens: 32,
                    min_version: 0,
                    seed: request_hash,
                };
                ("model", task, true, request_hash)
            }
            CallerRequest::Look { body } => {
                let request_hash = fingerprint(&[body.as_bytes()]);
                ("plain", call("look", "", body), true, request_hash)
            }
            CallerRequest::Record { key } => {
                let request_hash = fingerprint(&[key.as_bytes()]);
                ("plain", call("record", key, key), false, request_hash)
            }
        };
        Work {
            id,
            service: service.to_owned(),
            class: Class::Interactive,
            task,
            idempotent,
            fingerprint: request_hash,
            prefix: request_hash,
            deadline: self.now + REQUEST_TIMEOUT,
            rank: id,
            avoid: None,
            resume: Progress::default(),
        }
    }

    fn apply_claims(&mut self, host: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Read { request, key } => {
                    self.send_to_store(
                        host,
                        None,
                        StoreContext::Claim(request),
                        StoreOp::Read(key),
                    );
                }
                ClaimAction::Txn { request, txn } => {
                    let step = Some(Step::ClaimTxn);
                    self.send_to_store(host, step, StoreContext::Claim(request), StoreOp::Txn(txn));
                }
                ClaimAction::Dispatch { request } => {
                    let active = self.hosts[host].requests.get_mut(&request);
                    if let Some(work) = active.and_then(|active| active.claimed_work.take()) {
                        self.submit(host, work);
                    }
                }
                ClaimAction::Replay { request, body, .. } => {
                    self.answer(host, request, Answer::Body { body });
                }
                ClaimAction::Refuse { request, refusal } => {
                    self.answer(host, request, Answer::Refused(refusal));
                }
            }
        }
    }

    fn answer(&mut self, host: usize, request: u64, answer: Answer) {
        let Some(active) = self.hosts[host].requests.remove(&request) else { return };
        let epoch = self.hosts[host].epoch;
        self.hosts[host].admission.release("caller");
        if let Answer::Refused(refusal) = &answer {
            if refusal.work_outcome() == Outcome::NotRun {
                self.log.refused_as_not_run.insert((host, epoch, request));
                if self.log.ran.contains(&(host, epoch, request)) {
                    let detail = format!("host {host} request {request}: {refusal:?}");
                    self.report_violation("not run means not run", &detail);
                }
            }
        }
        let ActiveRequest { caller, try_number, .. } = active;
        let event = Event::CallerGet { caller, try_number, answer };
        let lost =
            !self.send(Some(Step::CallerAnswer), Endpoint::Host(host), Endpoint::Client, event);
        if lost {
            let event = Event::CallerGet { caller, try_number, answer: Answer::Broken };
            let at = self.now + Duration::from_millis(1500);
            self.schedule(at, event);
        }
    }

    fn tick_requests(&mut self, host: usize) {
        let now = self.now;
        let mut out = Vec::new();
        self.hosts[host].claims.tick(now, &mut out);
        self.apply_claims(host, out);
        let mut out = Vec::new();
        self.hosts[host].dispatcher.tick(now, &mut out);
        self.apply_dispatch(host, out);
    }

    // The trainer's requests.

    fn on_trainer(&mut self, host: usize, id: u64, payload: TrainerRequest) {
        let now = self.now;
        if let TrainerRequest::Publish(version) = payload {
            return self.on_publish(host, id, version);
        }
        if self.hosts[host].coordinating.is_none() || self.hosts[host].coordinator.is_none() {
            let refusal = Refusal::new(ErrorKind::NotCoordinator, "another host coordinates");
            return self.answer_trainer(
                host,
                Step::TrainerAnswer,
                id,
                TrainerAnswer::Refused(refusal),
            );
        }
        let mut out = Vec::new();
        let no_freshness = self.is_mutated(Mutation::NoFreshness);
        let no_cursor = self.is_mutated(Mutation::NoCursor);
        let coordinator = self.hosts[host].coordinator.as_mut().expect("checked");
        let (step, answer) = match payload {
            TrainerRequest::Submit(mut spec) => {
                if no_freshness {
                    spec.weights_version = 0;
                }
                let answer = coordinator.submit(now, spec, &mut out);
                (Step::TrainerAnswer, answer.map(|_| TrainerAnswer::Accepted))
            }
            TrainerRequest::Pull(mut cursor) => {
                coordinator.close_before(now, cursor.step, &mut out);
                let version = cursor.weights_version;
                if no_freshness {
                    cursor.weights_version = 0;
                }
                if no_cursor {
                    cursor.taken.clear();
                }
                let request = buckthornfall_proto::messages::PullRequest { cursor, max_groups: 1 };
                let answer = coordinator.pull(now, &request, &mut out).map(|mut answer| {
                    answer.cursor.weights_version = version;
                    TrainerAnswer::Groups(answer)
                });
                (Step::PullAnswer, answer)
            }
            TrainerRequest::Publish(_) => return,
        };
        self.apply_steps(host, out);
        let answer = answer.unwrap_or_else(TrainerAnswer::Refused);
        self.answer_trainer(host, step, id, answer);
    }

    fn on_publish(&mut self, host: usize, request_id: u64, version: u64) {
        self.hosts[host].next_request += 1;
        let id = self.hosts[host].next_request;
        let attempt = format!("{}/publish/{id}", self.hosts[host].instance_id());
        let row = WeightsRow { version, object: format!("v{version}"), bytes: 1, attempt };
        let publish = Publish::new(&Track::new("model", None), row, self.now + WRITE_TIMEOUT);
        let mut out = Vec::new();
        publish.begin(&mut out);
        self.hosts[host].publications.insert(id, (publish, request_id));
        self.apply_publish(host, id, out);
    }

    fn answer_trainer(&mut self, host: usize, step: Step, id: u64, answer: TrainerAnswer) {
        self.send(
            Some(step),
            Endpoint::Host(host),
            Endpoint::Client,
            Event::TrainerGet { id, answer },
        );
    }

    // Replies of the store.

    fn on_store_reply(&mut self, host: usize, context: StoreContext, reply: StoreReply) {
        let now = self.now;
        match (context, reply) {
            (StoreContext::Head, StoreReply::Read(reply)) => {
                let mut out = Vec::new();
                self.hosts[host].config.on_head(now, &reply, &mut out);
                self.apply_config(host, out);
            }
            (StoreContext::Manifest(revision), StoreReply::Get(Some(content))) => {
                let mut out = Vec::new();
                self.hosts[host].config.on_object(revision, &content, &mut out);
                self.apply_config(host, out);
            }
            (StoreContext::Commit(id), reply) => {
                let Some(commit) = self.hosts[host].commits.get_mut(&id) else { return };
                let mut out = Vec::new();
                match reply {
                    StoreReply::Put(reply) => commit.on_put(now, reply, &mut out),
                    StoreReply::Read(reply) => commit.on_read(now, &reply, &mut out),
                    StoreReply::Txn(reply) => commit.on_txn(now, &reply, &mut out),
                    _ => {}
                }
                self.apply_commit(host, id, out);
            }
            (StoreContext::Publish(id), reply) => {
                let Some((publish, _)) = self.hosts[host].publications.get_mut(&id) else { return };
                let mut out = Vec::new();
                match reply {
                    StoreReply::Read(reply) => publish.on_read(now, &reply, &mut out),
                    StoreReply::Txn(reply) => publish.on_txn(now, &reply, &mut out),
                    _ => {}
                }
                self.apply_publish(host, id, out);
            }
            (StoreContext::StepsLease(attempt), reply) => {
                self.on_lease_reply(host, true, &attempt, &reply)
            }
            (StoreContext::RolloutLease(attempt), reply) => {
                self.on_lease_reply(host, false, &attempt, &reply)
            }
            (StoreContext::Claim(id), reply) => {
                let mut out = Vec::new();
                match reply {
                    StoreReply::Read(reply) => {
                        self.hosts[host].claims.on_read(now, id, &reply, &mut out)
                    }
                    StoreReply::Txn(reply) => {
                        self.hosts[host].claims.on_txn(now, id, &reply, &mut out)
                    }
                    _ => {}
                }
                self.apply_claims(host, out);
            }
            (StoreContext::Quarantine(request_hash), reply) => {
                let reply = self.apply_quarantine_mutation(reply);
                let mut out = Vec::new();
                let dispatcher = &mut self.hosts[host].dispatcher;
                match reply {
                    StoreReply::Read(reply) => {
                        dispatcher.on_quarantine_read(now, request_hash, &reply, &mut out)
                    }
                    StoreReply::Txn(reply) => {
                        dispatcher.on_quarantine_txn(now, request_hash, &reply, &mut out)
                    }
                    _ => {}
                }
                self.apply_dispatch(host, out);
            }
            (StoreContext::Weights, StoreReply::Read(Ok(row))) => {
                if let Some(weights) = table::value::<WeightsRow>(&row) {
                    self.hosts[host].rollout.on_published(now, weights.version);
                }
            }
            (context, reply) => self.on_step_reply(host, context, reply),
        }
    }

    /// With `Mutation::NoQuarantine`, drops the recorded crashes of requests that ran alone.
    fn apply_quarantine_mutation(&self, mut reply: StoreReply) -> StoreReply {
        if !self.is_mutated(Mutation::NoQuarantine) {
            return reply;
        }
        let clear_deaths = |row: &mut Row| {
            if let Some(value) = table::value::<PoisonRow>(row) {
                let cleared = PoisonRow { deaths_alone: Vec::new(), quarantined: false, ..value };
                row.value = serde_json::to_string(&cleared).expect("plain data");
            }
        };
        match &mut reply {
            StoreReply::Read(Ok(row)) => clear_deaths(row),
            StoreReply::Txn(Ok(answer)) => answer.rows.iter_mut().for_each(clear_deaths),
            _ => {}
        }
        reply
    }

    fn on_lease_reply(&mut self, host: usize, steps: bool, attempt: &str, reply: &StoreReply) {
        let now = self.now;
        let state = &mut self.hosts[host];
        let lease = if steps { &mut state.steps_lease } else { &mut state.rollout_lease };
        let mut out = Vec::new();
        match reply {
            StoreReply::Read(reply) => lease.on_read(now, reply, &mut out),
            StoreReply::Txn(reply) => lease.on_txn(now, attempt, reply, &mut out),
            _ => {}
        }
        self.apply_lease(host, steps, out);
        self.update_coordination(host);
    }

    fn on_step_reply(&mut self, host: usize, context: StoreContext, reply: StoreReply) {
        let now = self.now;
        let Some(coordinator) = &mut self.hosts[host].coordinator else { return };
        let mut out = Vec::new();
        match (context, reply) {
            (StoreContext::StepPut(object, key), StoreReply::Put(reply)) => {
                coordinator.on_put(&object, &key, reply, &mut out);
            }
            (StoreContext::StepGet(object), StoreReply::Get(content)) => {
                coordinator.on_object(now, &object, content.as_deref(), &mut out);
            }
            (StoreContext::Steps, StoreReply::Scan(reply)) => {
                coordinator.on_steps(&reply, &mut out)
            }
            (StoreContext::Groups(step), StoreReply::Scan(reply)) => {
                coordinator.on_groups(step, &reply, &mut out)
            }
            (StoreContext::Group(step, group), StoreReply::Txn(reply)) => {
                coordinator.on_group_txn(step, group, &reply, &mut out);
            }
            (StoreContext::Group(step, group), StoreReply::Read(reply)) => {
                coordinator.on_group_read(step, group, &reply, &mut out);
            }
            _ => {}
        }
        self.apply_steps(host, out);
    }
}

fn call(operation: &str, key: &str, body: &str) -> Task {
    Task::Call {
        operation: operation.to_owned(),
        key: key.to_owned(),
        body: Bytes::from(body.to_owned()),
    }
}
