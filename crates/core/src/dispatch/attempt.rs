//! Events of running attempts.

use buckthornfall_proto::{ids::AttemptId, ids::ServerId};
use bytes::Bytes;

use super::{
    work::{AttemptEvent, Class, DispatchAction, Stage, WorkEvent, WorkId},
    Dispatcher, HOLD_WEIGHT, MAX_TRIES,
};
use crate::{
    error::{ErrorKind, Refusal},
    fleet::Distance,
    pick::Pick,
    Now,
};

impl<P: Pick> Dispatcher<P> {
    /// Takes an event of an attempt; events of attempts that ended are dropped and counted.
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
        self.pump(now, out);
    }

    /// Ends the attempt of a piece of work, if one runs; its later events are dropped.
    pub(super) fn stop_attempt(&mut self, now: Now, id: WorkId, out: &mut Vec<DispatchAction>) {
        if let Some((attempt, _)) = self.end_attempt(now, id, out) {
            out.push(DispatchAction::Cancel { attempt });
        }
    }

    /// Forgets the attempt of a piece of work and gives back what it held.
    pub(super) fn end_attempt(
        &mut self,
        now: Now,
        id: WorkId,
        out: &mut Vec<DispatchAction>,
    ) -> Option<(AttemptId, ServerId)> {
        let state = self.works.get_mut(&id)?;
        match std::mem::replace(&mut state.stage, Stage::Queued) {
            Stage::Running { attempt, server, alone, .. }
            | Stage::Verdict { attempt, server, alone, .. } => {
                self.attempts.remove(&attempt);
                self.fleet.ended(&server);
                if alone {
                    self.abandon_alone(now, id, &attempt, &server, out);
                }
                Some((attempt, server))
            }
            Stage::Isolating { attempt, server, .. } => {
                self.abandon_alone(now, id, &attempt, &server, out);
                None
            }
            Stage::Asking { attempt } | Stage::Granted { attempt } => {
                self.give_back_grant(now, id, &attempt, out);
                None
            }
            Stage::Queued | Stage::AskAt { .. } => None,
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
        // The first tokens come after the prompt was read.
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
        self.succeeded(now, id, out);
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
        self.succeeded(now, id, out);
        self.remove(id);
        let event = WorkEvent::Answered { status, body };
        out.push(DispatchAction::Emit { work: id, event });
    }

    /// Frees the server after an attempt that ended well and clears a suspect.
    fn succeeded(&mut self, now: Now, id: WorkId, out: &mut Vec<DispatchAction>) {
        let Some(state) = self.works.get_mut(&id) else { return };
        let fingerprint = state.work.fingerprint;
        let interactive = state.work.class == Class::Interactive;
        let service = state.work.service.clone();
        let Stage::Running { attempt, server, started, alone, .. } =
            std::mem::replace(&mut state.stage, Stage::Queued)
        else {
            return;
        };
        self.attempts.remove(&attempt);
        self.fleet.ended(&server);
        if alone {
            self.unisolate(&server, &attempt, out);
            self.with_quarantine(now, out, |quarantine, actions| {
                quarantine.on_survived(fingerprint, attempt, actions);
            });
            self.release_cleared(fingerprint);
        }
        if interactive {
            let hold = now.saturating_sub(started).as_secs_f64();
            let queue = self.queues.entry(service).or_default();
            queue.mean_hold += HOLD_WEIGHT * (hold - queue.mean_hold);
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
        let what = format!("server {server:?} did not take the work: {reason}");
        self.retry(id, &what, ErrorKind::NoServer, out);
    }

    /// A broken stream of idempotent work waits for the server's report; other work is given up.
    fn on_broken(&mut self, now: Now, id: WorkId, reason: &str, out: &mut Vec<DispatchAction>) {
        let Some(state) = self.works.get_mut(&id) else { return };
        let Stage::Running { attempt, server, alone, .. } = state.stage.clone() else { return };
        state.may_have_run = true;
        out.push(DispatchAction::Probe { server: server.clone() });
        if state.work.idempotent {
            state.stage = Stage::Verdict { attempt, server, since: now, alone };
            return;
        }
        let message = format!("server {server:?} broke off: {reason}");
        self.end_attempt(now, id, out);
        self.fail(id, Refusal::new(ErrorKind::ServerFailed, message), out);
    }

    /// Queues work again if the tries and the retry budget allow it.
    pub(super) fn retry(
        &mut self,
        id: WorkId,
        reason: &str,
        kind: ErrorKind,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.works.get(&id) else { return };
        if state.tries >= MAX_TRIES {
            let message = format!("gave up after {} tries: {reason}", state.tries);
            self.fail(id, Refusal::new(kind, message), out);
        } else if !self.budget.take() {
            let message = format!("no retry is left in the budget: {reason}");
            self.fail(id, Refusal::new(ErrorKind::RetryBudget, message), out);
        } else {
            self.enqueue(id);
        }
    }
}
