//! Events of running attempts.

use buckthornfall_proto::{ids::AttemptId, ids::ServerId};
use bytes::Bytes;

use super::{
    work::{AttemptEvent, Class, DispatchAction, Stage, WorkEvent, WorkId},
    Dispatcher, MAX_ATTEMPTS, SLOT_TIME_EWMA_WEIGHT,
};
use crate::{
    error::{ErrorKind, Refusal},
    fleet::Distance,
    pick::Pick,
    Now,
};

impl<P: Pick> Dispatcher<P> {
    /// Handles an event of an attempt; events of ended attempts are dropped and counted.
    pub fn on_attempt(
        &mut self,
        now: Now,
        attempt: &str,
        event: AttemptEvent,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(id) = self.attempts.get(attempt).copied() else {
            self.stats.late_events += 1;
            return;
        };
        match event {
            AttemptEvent::Tokens { text, tokens, version } => {
                self.on_tokens(now, id, text, tokens, version, out);
            }
            AttemptEvent::Finished => self.on_finished(now, id, out),
            AttemptEvent::Answered { status, body } => self.on_answered(now, id, status, body, out),
            AttemptEvent::NotRun { unreachable, reason } => {
                self.on_not_run(now, id, unreachable, &reason, out);
            }
            AttemptEvent::Broken { reason } => self.on_broken(now, id, &reason, out),
        }
        self.start_queued(now, out);
    }

    /// Cancels the running attempt of a work item, if any; its later events are dropped.
    pub(super) fn stop_attempt(&mut self, now: Now, id: WorkId, out: &mut Vec<DispatchAction>) {
        if let Some((attempt, _)) = self.end_attempt(now, id, out) {
            out.push(DispatchAction::Cancel { attempt });
        }
    }

    /// Removes the attempt of a work item and releases its slot, isolation and grant.
    pub(super) fn end_attempt(
        &mut self,
        now: Now,
        id: WorkId,
        out: &mut Vec<DispatchAction>,
    ) -> Option<(AttemptId, ServerId)> {
        let state = self.works.get_mut(&id)?;
        match std::mem::replace(&mut state.stage, Stage::Queued) {
            Stage::Running { attempt, server, isolated, .. }
            | Stage::Probing { attempt, server, isolated, .. } => {
                self.attempts.remove(&attempt);
                self.fleet.ended(&server);
                if isolated {
                    self.abandon_isolated_run(now, id, &attempt, &server, out);
                }
                Some((attempt, server))
            }
            Stage::Isolating { attempt, server, .. } => {
                self.abandon_isolated_run(now, id, &attempt, &server, out);
                None
            }
            Stage::AwaitingGrant { attempt } | Stage::Granted { attempt } => {
                self.release_grant(now, id, &attempt, out);
                None
            }
            Stage::Queued | Stage::RetryGrant { .. } => None,
        }
    }

    fn on_tokens(
        &mut self,
        now: Now,
        id: WorkId,
        text: Bytes,
        tokens: u32,
        version: u64,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.works.get_mut(&id) else { return };
        let Stage::Running { server, progress_at, started, .. } = &mut state.stage else {
            return;
        };
        let elapsed = now.saturating_sub(*progress_at);
        let is_first = *progress_at == *started;
        *progress_at = now;
        let server = server.clone();
        // The time to the first tokens includes prompt processing, so it is no measure of speed.
        if !is_first {
            self.fleet.on_tokens(&server, tokens, elapsed);
        }
        let Some(state) = self.works.get_mut(&id) else { return };
        state.progress.add(&text, tokens, version);
        let remote = self.fleet.get(&server).is_some_and(|s| s.distance == Distance::Remote);
        if remote {
            self.charge_link(now, text.len());
        }
        let event = WorkEvent::Tokens { text, tokens, version };
        out.push(DispatchAction::Emit { work: id, event });
    }

    fn on_finished(&mut self, now: Now, id: WorkId, out: &mut Vec<DispatchAction>) {
        self.on_success(now, id, out);
        let Some(state) = self.remove(id) else { return };
        let event = WorkEvent::Finished { progress: state.progress };
        out.push(DispatchAction::Emit { work: id, event });
    }

    fn on_answered(
        &mut self,
        now: Now,
        id: WorkId,
        status: u16,
        body: Bytes,
        out: &mut Vec<DispatchAction>,
    ) {
        self.on_success(now, id, out);
        self.remove(id);
        let event = WorkEvent::Answered { status, body };
        out.push(DispatchAction::Emit { work: id, event });
    }

    /// Releases the server after a successful attempt and clears a suspect fingerprint.
    fn on_success(&mut self, now: Now, id: WorkId, out: &mut Vec<DispatchAction>) {
        let Some(state) = self.works.get_mut(&id) else { return };
        let fingerprint = state.work.fingerprint;
        let interactive = state.work.class == Class::Interactive;
        let service = state.work.service.clone();
        let Stage::Running { attempt, server, started, isolated, .. } =
            std::mem::replace(&mut state.stage, Stage::Queued)
        else {
            return;
        };
        self.attempts.remove(&attempt);
        self.fleet.ended(&server);
        if isolated {
            self.unisolate(&server, &attempt, out);
            self.with_quarantine(now, out, |quarantine, actions| {
                quarantine.on_completed(fingerprint, attempt, actions);
            });
            self.requeue_cleared(fingerprint);
        }
        if interactive {
            let slot_time = now.saturating_sub(started).as_secs_f64();
            let queue = self.queues.entry(service).or_default();
            queue.mean_slot_time_s += SLOT_TIME_EWMA_WEIGHT * (slot_time - queue.mean_slot_time_s);
        }
    }

    fn on_not_run(
        &mut self,
        now: Now,
        id: WorkId,
        unreachable: bool,
        reason: &str,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some((_, server)) = self.end_attempt(now, id, out) else { return };
        self.fleet.on_unreachable(now, &server);
        if unreachable {
            out.push(DispatchAction::Probe { server: server.clone() });
        }
        let message = format!("server {server:?} did not take the work: {reason}");
        self.retry(id, &message, ErrorKind::NoServer, out);
    }

    /// Probes the server after a broken stream; work that is not idempotent fails immediately.
    fn on_broken(&mut self, now: Now, id: WorkId, reason: &str, out: &mut Vec<DispatchAction>) {
        let Some(state) = self.works.get_mut(&id) else { return };
        let Stage::Running { attempt, server, isolated, .. } = state.stage.clone() else { return };
        state.may_have_run = true;
        out.push(DispatchAction::Probe { server: server.clone() });
        if state.work.idempotent {
            state.stage = Stage::Probing { attempt, server, since: now, isolated };
            return;
        }
        let message = format!("server {server:?} broke off: {reason}");
        self.end_attempt(now, id, out);
        self.fail(id, Refusal::new(ErrorKind::ServerFailed, message), out);
    }

    /// Requeues work if the attempt limit and the retry budget allow it.
    pub(super) fn retry(
        &mut self,
        id: WorkId,
        reason: &str,
        kind: ErrorKind,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.works.get(&id) else { return };
        if state.attempts >= MAX_ATTEMPTS {
            let message = format!("gave up after {} tries: {reason}", state.attempts);
            self.fail(id, Refusal::new(kind, message), out);
        } else if !self.budget.take() {
            let message = format!("no retry is left in the budget: {reason}");
            self.fail(id, Refusal::new(ErrorKind::RetryBudget, message), out);
        } else {
            self.enqueue(id);
        }
    }
}
