//! Callers' requests: completions of models and calls to plain services.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use buckthornfall_core::{
    admission::Admission,
    claim::{ClaimAction, ClaimRequest, Claims},
    dispatch::{Class, Progress, Task, Work, WorkEvent},
    error::{ErrorKind, Refusal},
    Now,
};
use buckthornfall_proto::{
    digest::{fingerprint, sha256_hex},
    ids::CallerName,
    manifest::{Indicator, Manifest, Operation},
    messages::{CallerCompletion, CompletionAnswer, CompletionChoice, CompletionChunk, Outcome},
};
use bytes::Bytes;
use log::info;
use rustc_hash::FxHashMap;
use stakker::{after, call, fwd, fwd_to, ret_some_to, Actor, Fwd, CX};

use super::{
    io::Io,
    serving::{Serving, WorkUpdate},
    trainer::ServiceLevelEvent,
    view::{Identity, SharedCount, View},
    TICK_INTERVAL,
};
use crate::{
    http::RequestId,
    io::{Job, JobResult},
    reply::Reply,
};

/// Lowest HTTP status of a refusal that the caller did not cause.
const MIN_SERVER_ERROR_STATUS: u16 = 500;
/// Length of the prompt prefix whose hash selects the servers likely to have it cached.
const PREFIX_BYTES: usize = 256;

/// A service-level measurement of a request.
#[derive(Debug, Clone, Copy)]
pub enum RequestMeasurement {
    /// Latency of an answered request.
    Latency(Duration),
    /// Good and total events.
    Count(ServiceLevelEvent),
}

enum RequestKind {
    Completion { model: String, stream: bool, chunks_sent: u32 },
    Call { at_most_once: bool },
}

struct ActiveRequest {
    caller: CallerName,
    kind: RequestKind,
    /// `None` once it is answered or the caller has disconnected.
    reply: Option<Reply>,
    /// Work of a non-idempotent call whose claim is not yet written.
    claimed_work: Option<Work>,
    received: Now,
}

/// Actor for the callers' requests at one daemon.
pub struct Requests {
    identity: Identity,
    io: Actor<Io>,
    serving: Actor<Serving>,
    admission: Admission,
    claims: Claims,
    manifest: Option<Rc<Manifest>>,
    revision: u64,
    active: FxHashMap<RequestId, ActiveRequest>,
    /// Requests and claims in flight, which a graceful shutdown waits for.
    in_flight: SharedCount,
    measurements: Fwd<RequestMeasurement>,
}

/// A call to a plain service.
pub struct ServiceCall {
    /// Name of the service.
    pub service: String,
    /// Name of the operation.
    pub operation: String,
    /// Idempotency key; empty for none.
    pub key: String,
    /// Body of the request.
    pub body: Bytes,
}

impl Requests {
    /// Creates the actor without any requests.
    pub fn init(
        cx: CX![],
        identity: Identity,
        io: Actor<Io>,
        serving: Actor<Serving>,
        in_flight: SharedCount,
        measurements: Fwd<RequestMeasurement>,
    ) -> Option<Requests> {
        call!([cx], tick());
        Some(Requests {
            claims: Claims::new(&identity.instance_id()),
            identity,
            io,
            serving,
            admission: Admission::default(),
            manifest: None,
            revision: 0,
            active: FxHashMap::default(),
            in_flight,
            measurements,
        })
    }

    /// Updates the configuration.
    pub fn on_view(&mut self, cx: CX![], view: View) {
        let Some(in_force) = &view.in_force else { return };
        if in_force.revision != self.revision {
            self.revision = in_force.revision;
            self.admission.configure(self.now(cx.now()), &in_force.manifest.callers);
            self.manifest = Some(Rc::new(Manifest::clone(&in_force.manifest)));
        }
    }

    /// Handles a completion request.
    pub fn complete(
        &mut self,
        cx: CX![],
        id: RequestId,
        caller: CallerName,
        request: CallerCompletion,
        reply: Reply,
    ) {
        let now = self.now(cx.now());
        match self.completion_work(now, id, &request) {
            Ok(work) => {
                let kind = RequestKind::Completion {
                    model: request.model,
                    stream: request.stream,
                    chunks_sent: 0,
                };
                if self.admit(now, id, caller, kind, reply) {
                    self.submit(cx, work);
                }
            }
            Err(refusal) => self.refuse(reply, &refusal),
        }
    }

    /// Handles a call to a plain service.
    pub fn call(
        &mut self,
        cx: CX![],
        id: RequestId,
        caller: CallerName,
        request: ServiceCall,
        reply: Reply,
    ) {
        let now = self.now(cx.now());
        let work = match self.call_work(now, id, &request) {
            Ok(work) => work,
            Err(refusal) => return self.refuse(reply, &refusal),
        };
        let at_most_once = !work.idempotent;
        let kind = RequestKind::Call { at_most_once };
        if !self.admit(now, id, caller.clone(), kind, reply) {
            return;
        }
        if !at_most_once {
            return self.submit(cx, work);
        }
        let parts = [request.service.as_bytes(), request.operation.as_bytes(), &request.body];
        let body_hash = sha256_hex(&parts.join(&0));
        let deadline = work.deadline;
        if let Some(active) = self.active.get_mut(&id) {
            active.claimed_work = Some(work);
        }
        let mut out = Vec::new();
        let claim = ClaimRequest { id, caller, key: request.key, body_hash, deadline };
        self.claims.begin(claim, &mut out);
        self.apply_claims(cx, out);
    }

    /// Handles a caller's disconnect: idempotent work is cancelled, other work runs to completion.
    pub fn on_disconnect(&mut self, _cx: CX![], id: RequestId) {
        let Some(active) = self.active.get_mut(&id) else { return };
        active.reply = None;
        if !matches!(active.kind, RequestKind::Call { at_most_once: true }) {
            call!([self.serving], cancel(id));
            self.finish(id);
        }
    }

    fn now(&self, instant: Instant) -> Now {
        self.identity.clock.at(instant)
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        let mut out = Vec::new();
        self.claims.tick(self.now(cx.now()), &mut out);
        self.apply_claims(cx, out);
        self.update_in_flight();
    }

    fn update_in_flight(&self) {
        self.in_flight.set(self.active.len() + self.claims.len());
        metrics::gauge!("requests_in_flight").set(self.active.len() as f64);
    }

    fn admit(
        &mut self,
        now: Now,
        id: RequestId,
        caller: CallerName,
        kind: RequestKind,
        reply: Reply,
    ) -> bool {
        if let Err(refusal) = self.admission.admit(now, &caller) {
            self.refuse(reply, &refusal);
            return false;
        }
        let active =
            ActiveRequest { caller, kind, reply: Some(reply), claimed_work: None, received: now };
        self.active.insert(id, active);
        self.update_in_flight();
        true
    }

    fn submit(&mut self, cx: CX![], work: Work) {
        let owner = fwd_to!([cx], on_work() as (WorkUpdate));
        call!([self.serving], submit(work, owner));
    }

    fn manifest(&self) -> Result<&Manifest, Refusal> {
        self.manifest.as_deref().ok_or_else(|| {
            Refusal::new(ErrorKind::NotReady, "no manifest is in force at this daemon yet")
        })
    }

    fn completion_work(
        &self,
        now: Now,
        id: RequestId,
        request: &CallerCompletion,
    ) -> Result<Work, Refusal> {
        let manifest = self.manifest()?;
        let name = &request.model;
        let Some(model) = manifest.models.iter().find(|model| model.name == *name) else {
            let message = format!("model {name:?} does not exist in the manifest");
            return Err(Refusal::new(ErrorKind::NotFound, message));
        };
        if request.max_tokens == 0 || request.max_tokens > model.max_tokens {
            let message = format!(
                "/max_tokens: {} is not between 1 and {}, the bound of model {name:?}",
                request.max_tokens, model.max_tokens
            );
            return Err(Refusal::new(ErrorKind::Invalid, message));
        }
        if let Some(adapter) = request.adapter.as_ref().filter(|a| !model.adapters.contains(a)) {
            let message = format!("/adapter: {adapter:?} does not exist in model {name:?}");
            return Err(Refusal::new(ErrorKind::NotFound, message));
        }
        let prompt = request.prompt.as_bytes();
        let adapter = request.adapter.clone().unwrap_or_default();
        let fingerprint = fingerprint(&[
            name.as_bytes(),
            adapter.as_bytes(),
            prompt,
            &request.max_tokens.to_le_bytes(),
        ]);
        Ok(Work {
            id,
            service: name.clone(),
            class: Class::Interactive,
            task: Task::Generate {
                prompt: Bytes::copy_from_slice(prompt),
                adapter: request.adapter.clone(),
                max_tokens: request.max_tokens,
                min_version: 0,
                seed: fingerprint,
            },
            idempotent: true,
            fingerprint,
            prefix: buckthornfall_proto::digest::fingerprint(&[
                &prompt[..prompt.len().min(PREFIX_BYTES)]
            ]),
            deadline: now + request_timeout(manifest),
            rank: id,
            avoid: None,
            resume: Progress::default(),
        })
    }

    fn call_work(&self, now: Now, id: RequestId, call: &ServiceCall) -> Result<Work, Refusal> {
        let manifest = self.manifest()?;
        let operation = find_operation(manifest, &call.service, &call.operation)?;
        if !operation.idempotent && call.key.is_empty() {
            let message = format!(
                "operation {:?} of service {:?} is not idempotent: it needs the header \
                 \"idempotency-key\"",
                call.operation, call.service
            );
            return Err(Refusal::new(ErrorKind::Invalid, message));
        }
        let parts = [call.service.as_bytes(), call.operation.as_bytes(), &call.body];
        Ok(Work {
            id,
            service: call.service.clone(),
            class: Class::Interactive,
            task: Task::Call {
                operation: call.operation.clone(),
                key: call.key.clone(),
                body: call.body.clone(),
            },
            idempotent: operation.idempotent,
            fingerprint: fingerprint(&parts),
            prefix: 0,
            deadline: now + request_timeout(manifest),
            rank: id,
            avoid: None,
            resume: Progress::default(),
        })
    }

    fn on_work(&mut self, cx: CX![], (id, event): WorkUpdate) {
        match event {
            WorkEvent::Started { .. } => {}
            WorkEvent::Tokens { text, tokens, version } => {
                self.on_tokens(cx, id, &text, tokens, version);
            }
            WorkEvent::Finished { progress } => self.on_finished(cx, id, &progress),
            WorkEvent::Answered { status, body } => self.on_answered(cx, id, status, body),
            WorkEvent::Failed { refusal, .. } => self.on_failed(cx, id, &refusal),
        }
    }

    fn on_tokens(&mut self, cx: CX![], id: RequestId, text: &Bytes, tokens: u32, version: u64) {
        let Some(active) = self.active.get_mut(&id) else { return };
        let RequestKind::Completion { stream: true, chunks_sent, .. } = &mut active.kind else {
            return;
        };
        let Some(reply) = &active.reply else { return };
        if *chunks_sent == 0 {
            reply.start_stream();
        }
        *chunks_sent += 1;
        let choice = CompletionChoice {
            index: 0,
            text: String::from_utf8_lossy(text).into_owned(),
            finish_reason: None,
        };
        let chunk = CompletionChunk { id: id.to_string(), choices: vec![choice], tokens, version };
        if !reply.send_event(&chunk) {
            let refusal = Refusal::new(ErrorKind::SlowCaller, "the answer was read too slowly");
            call!([self.serving], cancel(id));
            self.on_failed(cx, id, &refusal);
        }
    }

    fn on_finished(&mut self, cx: CX![], id: RequestId, progress: &Progress) {
        let Some(active) = self.active.get_mut(&id) else { return };
        let Some(reply) = active.reply.take() else { return self.finish(id) };
        match &active.kind {
            RequestKind::Completion { stream: true, chunks_sent, .. } => {
                if *chunks_sent == 0 {
                    reply.start_stream();
                }
                reply.end_stream();
            }
            RequestKind::Completion { model, .. } => {
                reply.json(&completion_answer(id, model, progress));
            }
            RequestKind::Call { .. } => {}
        }
        self.on_success(cx, id);
    }

    fn on_answered(&mut self, cx: CX![], id: RequestId, status: u16, body: Bytes) {
        let Some(active) = self.active.get_mut(&id) else { return };
        let at_most_once = matches!(active.kind, RequestKind::Call { at_most_once: true });
        if let Some(reply) = active.reply.take() {
            reply.respond(status, body.clone());
        }
        if at_most_once {
            let mut out = Vec::new();
            self.claims.on_response(self.now(cx.now()), id, status, &body, &mut out);
            self.apply_claims(cx, out);
        }
        self.on_success(cx, id);
    }

    fn on_success(&mut self, cx: CX![], id: RequestId) {
        if let Some(active) = self.active.get(&id) {
            let took = self.now(cx.now()).saturating_sub(active.received);
            let caller = active.caller.as_str();
            info!(request = id, caller, ms = took.as_millis() as u64; "request_answered");
            metrics::histogram!("answer_seconds").record(took.as_secs_f64());
            fwd!([self.measurements], RequestMeasurement::Latency(took));
            self.record_availability(true);
        }
        self.finish(id);
    }

    fn on_failed(&mut self, cx: CX![], id: RequestId, refusal: &Refusal) {
        let Some(active) = self.active.get_mut(&id) else { return };
        let at_most_once = matches!(active.kind, RequestKind::Call { at_most_once: true });
        let started =
            matches!(&active.kind, RequestKind::Completion { chunks_sent, .. } if *chunks_sent > 0);
        if let Some(reply) = active.reply.take() {
            if started {
                reply.refuse_stream(refusal);
                self.record_availability(false);
            } else {
                self.refuse(reply, refusal);
            }
        }
        if at_most_once {
            self.resolve_failed_claim(cx, id, refusal);
        }
        self.finish(id);
    }

    fn resolve_failed_claim(&mut self, cx: CX![], id: RequestId, refusal: &Refusal) {
        match refusal.work_outcome() {
            Outcome::NotRun => {
                let mut out = Vec::new();
                self.claims.on_not_run(self.now(cx.now()), id, &mut out);
                self.apply_claims(cx, out);
            }
            Outcome::Ran | Outcome::Unknown => self.claims.on_unknown(id),
        }
    }

    fn finish(&mut self, id: RequestId) {
        if let Some(active) = self.active.remove(&id) {
            self.admission.release(&active.caller);
        }
        self.update_in_flight();
    }

    fn refuse(&self, reply: Reply, refusal: &Refusal) {
        let kind = refusal.kind.rule().name;
        info!(kind, reason = refusal.message.as_str(); "request_refused");
        metrics::counter!("refusals_total", "kind" => kind).increment(1);
        // Client errors don't count against the availability of the service.
        if refusal.status() >= MIN_SERVER_ERROR_STATUS {
            self.record_availability(false);
        }
        reply.refuse(refusal);
    }

    fn record_availability(&self, good: bool) {
        let event =
            ServiceLevelEvent { indicator: Indicator::Refusals, good: u64::from(good), total: 1 };
        fwd!([self.measurements], RequestMeasurement::Count(event));
    }

    fn apply_claims(&mut self, cx: CX![], actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Read { request, key } => {
                    let ret = ret_some_to!([cx], on_claim(request) as (JobResult));
                    call!([self.io], submit(Job::Read(key), ret));
                }
                ClaimAction::Txn { request, txn } => {
                    let ret = ret_some_to!([cx], on_claim(request) as (JobResult));
                    call!([self.io], submit(Job::Txn(txn), ret));
                }
                ClaimAction::Dispatch { request } => {
                    let active = self.active.get_mut(&request);
                    if let Some(work) = active.and_then(|active| active.claimed_work.take()) {
                        self.submit(cx, work);
                    }
                }
                ClaimAction::Replay { request, status, body } => {
                    metrics::counter!("replays_total").increment(1);
                    let active = self.active.get_mut(&request);
                    if let Some(reply) = active.and_then(|active| active.reply.take()) {
                        reply.respond(status, body);
                    }
                    self.finish(request);
                }
                ClaimAction::Refuse { request, refusal } => {
                    let active = self.active.get_mut(&request);
                    if let Some(reply) = active.and_then(|active| active.reply.take()) {
                        self.refuse(reply, &refusal);
                    }
                    self.finish(request);
                }
            }
        }
    }

    fn on_claim(&mut self, cx: CX![], request: RequestId, result: JobResult) {
        let now = self.now(cx.now());
        let mut out = Vec::new();
        match result {
            JobResult::Read(reply) => self.claims.on_read(now, request, &reply, &mut out),
            JobResult::Txn(reply) => self.claims.on_txn(now, request, &reply, &mut out),
            _ => {}
        }
        self.apply_claims(cx, out);
    }
}

fn request_timeout(manifest: &Manifest) -> Duration {
    Duration::from_millis(u64::from(manifest.limits.request_timeout_ms))
}

fn find_operation<'a>(
    manifest: &'a Manifest,
    service: &str,
    operation: &str,
) -> Result<&'a Operation, Refusal> {
    let Some(known) = manifest.plain_services.iter().find(|known| known.name == service) else {
        let message = format!("service {service:?} does not exist in the manifest");
        return Err(Refusal::new(ErrorKind::NotFound, message));
    };
    known.operations.iter().find(|known| known.name == operation).ok_or_else(|| {
        let message = format!("operation {operation:?} does not exist in service {service:?}");
        Refusal::new(ErrorKind::NotFound, message)
    })
}

fn completion_answer(id: RequestId, model: &str, progress: &Progress) -> CompletionAnswer {
    let choice = CompletionChoice {
        index: 0,
        text: String::from_utf8_lossy(&progress.text).into_owned(),
        finish_reason: Some("stop".to_owned()),
    };
    CompletionAnswer {
        id: id.to_string(),
        model: model.to_owned(),
        choices: vec![choice],
        tokens: progress.tokens,
        spans: progress.spans.clone(),
    }
}
