//! Recovery of work after a server crash: suspects run again in isolation.

use buckthornfall_proto::ids::{AttemptId, Fingerprint, ServerId};

use super::{
    work::{DispatchAction, Stage, WorkId, WorkState},
    Dispatcher, ISOLATED_SERVERS_DIVISOR, ISOLATION_TIMEOUT, PROBE_TIMEOUT, STALL_TIMEOUT,
};
use crate::{
    error::{ErrorKind, Refusal},
    fleet::ServiceKind,
    pick::Pick,
    quarantine::Grant,
    table::{ReadResult, TxnResult},
    Now,
};

/// Retry interval of a grant that another daemon holds.
const GRANT_RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

impl<P: Pick> Dispatcher<P> {
    /// Handles a failed probe: the server sent no status report.
    pub fn on_unreachable(&mut self, now: Now, server: &str, out: &mut Vec<DispatchAction>) {
        if self.works.values().any(|state| state.is_broken_on(server)) {
            self.on_server_crash(now, server, out);
        } else {
            self.fleet.on_unreachable(now, server);
        }
        self.start_queued(now, out);
    }

    /// Handles the reply to `Isolate`; `free` tells whether the server is idle now.
    pub fn on_isolated(
        &mut self,
        now: Now,
        attempt: &str,
        free: bool,
        out: &mut Vec<DispatchAction>,
    ) {
        let isolating = |s: &&WorkState| s.is_isolating(attempt);
        let Some(id) = self.works.values().find(isolating).map(|s| s.work.id) else { return };
        let Some(state) = self.works.get_mut(&id) else { return };
        let Stage::Isolating { attempt, server, .. } = state.stage.clone() else { return };
        if free {
            self.start_attempt(now, id, attempt, server, true, out);
        } else {
            self.fleet.on_unreachable(now, &server);
            self.unisolate(&server, &attempt, out);
            if let Some(state) = self.works.get_mut(&id) {
                state.stage = Stage::Granted { attempt };
            }
        }
    }

    /// Passes the reply to a table read to the quarantine.
    pub fn on_quarantine_read(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        reply: &ReadResult,
        out: &mut Vec<DispatchAction>,
    ) {
        self.with_quarantine(now, out, |q, actions| q.on_read(now, fingerprint, reply, actions));
    }

    /// Passes the reply to a transaction to the quarantine.
    pub fn on_quarantine_txn(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        reply: &TxnResult,
        out: &mut Vec<DispatchAction>,
    ) {
        self.with_quarantine(now, out, |q, actions| q.on_txn(now, fingerprint, reply, actions));
    }

    /// Marks the requests of callers on a crashed server as suspect. Those that are not idempotent
    /// fail; samples fail too, and their owner submits them again after a delay.
    pub(super) fn on_server_crash(
        &mut self,
        now: Now,
        server: &str,
        out: &mut Vec<DispatchAction>,
    ) {
        self.fleet.on_crash(now, server);
        let mut on_server: Vec<_> =
            self.works.values().filter(|s| s.runs_on(server)).map(|s| s.work.id).collect();
        on_server.sort_unstable();
        self.stats.server_crashes += u64::from(!on_server.is_empty());
        for id in on_server {
            self.on_work_crashed(now, id, server, out);
        }
    }

    fn on_work_crashed(
        &mut self,
        now: Now,
        id: WorkId,
        server: &str,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.works.get_mut(&id) else { return };
        let (Stage::Running { attempt, .. } | Stage::Probing { attempt, .. }) =
            std::mem::replace(&mut state.stage, Stage::Queued)
        else {
            return;
        };
        state.may_have_run = true;
        let fingerprint = state.work.fingerprint;
        let idempotent = state.work.idempotent;
        let is_subject_to_quarantine = state.work.is_subject_to_quarantine();
        self.attempts.remove(&attempt);
        self.fleet.ended(server);
        out.push(DispatchAction::Cancel { attempt: attempt.clone() });
        let message = format!("server {server:?} died while it ran the request");
        let refusal = Refusal::new(ErrorKind::ServerFailed, message);
        if !is_subject_to_quarantine {
            return self.fail(id, refusal, out);
        }
        self.with_quarantine(now, out, |quarantine, actions| {
            quarantine.on_crash(now, fingerprint, attempt, actions);
        });
        if idempotent {
            self.request_isolated_run(id, out);
        } else {
            self.fail(id, refusal, out);
        }
    }

    /// Retries work that lost its connection to a server that turned out to be alive.
    pub(super) fn on_connection_lost(
        &mut self,
        now: Now,
        server: &str,
        out: &mut Vec<DispatchAction>,
    ) {
        let broken = |s: &&WorkState| s.is_broken_on(server);
        let mut ids: Vec<_> = self.works.values().filter(broken).map(|s| s.work.id).collect();
        ids.sort_unstable();
        for id in ids {
            let isolated = matches!(self.works[&id].stage, Stage::Probing { isolated: true, .. });
            self.end_attempt(now, id, out);
            if isolated {
                self.request_isolated_run(id, out);
            } else {
                let reason = format!("the connection to server {server:?} was cut");
                self.retry(id, &reason, ErrorKind::ServerFailed, out);
            }
        }
    }

    pub(super) fn check_stalls(&mut self, now: Now, out: &mut Vec<DispatchAction>) {
        let mut stalled = Vec::new();
        let mut crashed = Vec::new();
        let mut undrained = Vec::new();
        for state in self.works.values() {
            match &state.stage {
                Stage::Running { progress_at, .. }
                    if now.saturating_sub(*progress_at) > STALL_TIMEOUT =>
                {
                    stalled.push(state.work.id);
                }
                Stage::Probing { server, since, .. }
                    if now.saturating_sub(*since) > PROBE_TIMEOUT =>
                {
                    crashed.push(server.clone());
                }
                Stage::Isolating { attempt, since, .. }
                    if now.saturating_sub(*since) > ISOLATION_TIMEOUT =>
                {
                    undrained.push(attempt.clone());
                }
                _ => {}
            }
        }
        stalled.sort_unstable();
        crashed.sort_unstable();
        crashed.dedup();
        undrained.sort_unstable();
        for id in stalled {
            self.on_stalled(now, id, out);
        }
        for server in crashed {
            self.on_server_crash(now, &server, out);
        }
        for attempt in undrained {
            self.on_isolated(now, &attempt, false, out);
        }
    }

    /// Handles a stalled stream of idempotent work like a broken one.
    fn on_stalled(&mut self, now: Now, id: WorkId, out: &mut Vec<DispatchAction>) {
        let Some(state) = self.works.get_mut(&id) else { return };
        let Stage::Running { attempt, server, isolated, .. } = state.stage.clone() else { return };
        if !state.work.idempotent {
            return;
        }
        state.may_have_run = true;
        out.push(DispatchAction::Cancel { attempt: attempt.clone() });
        out.push(DispatchAction::Probe { server: server.clone() });
        state.stage = Stage::Probing { attempt, server, since: now, isolated };
    }

    /// Requests a grant to run a suspect in isolation.
    pub(super) fn request_isolated_run(&mut self, id: WorkId, out: &mut Vec<DispatchAction>) {
        let attempt = self.new_attempt();
        let Some(state) = self.works.get_mut(&id) else { return };
        let fingerprint = state.work.fingerprint;
        state.stage = Stage::AwaitingGrant { attempt: attempt.clone() };
        self.with_quarantine(Now::ZERO, out, |quarantine, actions| {
            quarantine.request_run(fingerprint, attempt, actions);
        });
    }

    pub(super) fn retry_grants(&mut self, now: Now, out: &mut Vec<DispatchAction>) {
        let due = |s: &&WorkState| matches!(s.stage, Stage::RetryGrant { at } if now >= at);
        let mut ids: Vec<_> = self.works.values().filter(due).map(|s| s.work.id).collect();
        ids.sort_unstable();
        for id in ids {
            self.request_isolated_run(id, out);
        }
        let granted = |s: &&WorkState| matches!(s.stage, Stage::Granted { .. });
        let mut ids: Vec<_> = self.works.values().filter(granted).map(|s| s.work.id).collect();
        ids.sort_unstable();
        for id in ids {
            self.isolate_server(now, id, out);
        }
    }

    /// Requeues waiting work whose fingerprint has been cleared.
    pub(super) fn requeue_cleared(&mut self, fingerprint: Fingerprint) {
        let waits = |s: &&WorkState| {
            s.work.fingerprint == fingerprint && matches!(s.stage, Stage::RetryGrant { .. })
        };
        let mut ids: Vec<_> = self.works.values().filter(waits).map(|s| s.work.id).collect();
        ids.sort_unstable();
        for id in ids {
            self.enqueue(id);
        }
    }

    pub(super) fn on_grant(
        &mut self,
        now: Now,
        attempt: &str,
        grant: Grant,
        out: &mut Vec<DispatchAction>,
    ) {
        let awaiting = |s: &&WorkState| s.is_awaiting_grant(attempt);
        let Some(id) = self.works.values().find(awaiting).map(|s| s.work.id) else { return };
        let Some(state) = self.works.get_mut(&id) else { return };
        match grant {
            Grant::Granted => {
                state.stage = Stage::Granted { attempt: attempt.to_owned() };
                self.isolate_server(now, id, out);
            }
            Grant::Busy => state.stage = Stage::RetryGrant { at: now + GRANT_RETRY_INTERVAL },
            Grant::Quarantined => {
                let refusal = self.quarantined_refusal(&self.works[&id].work);
                self.fail(id, refusal, out);
            }
            Grant::TableUnavailable => {
                let message = "a server died with the request on it, and the table service \
                               does not answer, which must admit another run";
                let refusal = Refusal::new(ErrorKind::TableUnavailable, message);
                self.fail(id, refusal, out);
            }
        }
    }

    /// Isolates the least loaded server for a suspect, within the limit of isolated servers.
    fn isolate_server(&mut self, now: Now, id: WorkId, out: &mut Vec<DispatchAction>) {
        let Some(state) = self.works.get(&id) else { return };
        let Stage::Granted { attempt } = &state.stage else { return };
        let attempt = attempt.clone();
        let service = &state.work.service;
        let Some(names) = self.fleet.service(service) else { return };
        let servers: Vec<_> = names.iter().filter_map(|name| self.fleet.get(name)).collect();
        let isolated = servers.iter().filter(|s| s.isolated_for.is_some()).count();
        if isolated >= (servers.len() / ISOLATED_SERVERS_DIVISOR).max(1) {
            return;
        }
        let best = servers
            .iter()
            .filter(|s| s.can_run(now, state.work.adapter()) && s.isolated_for.is_none())
            .filter(|s| s.version(state.work.adapter()) >= state.work.min_version())
            .min_by(|a, b| a.load_ratio().total_cmp(&b.load_ratio()));
        let Some(best) = best else { return };
        let server = best.info.name.clone();
        let address = best.info.address.clone();
        let supports_isolation = best.kind == ServiceKind::Model;
        self.fleet.isolate(&server, Some(attempt.clone()));
        if !supports_isolation {
            // Only model engines have an isolate call; other servers just get nothing else from this
            // daemon.
            return self.start_attempt(now, id, attempt, server, true, out);
        }
        if let Some(state) = self.works.get_mut(&id) {
            state.stage =
                Stage::Isolating { attempt: attempt.clone(), server: server.clone(), since: now };
        }
        out.push(DispatchAction::Isolate { server, address, attempt });
    }

    pub(super) fn unisolate(&mut self, server: &str, attempt: &str, out: &mut Vec<DispatchAction>) {
        let Some(known) = self.fleet.get(server) else { return };
        if known.isolated_for.as_deref() != Some(attempt) {
            return;
        }
        let address = known.info.address.clone();
        let supports_isolation = known.kind == ServiceKind::Model;
        self.fleet.isolate(server, None);
        if !supports_isolation {
            return;
        }
        out.push(DispatchAction::Unisolate {
            server: server.to_owned(),
            address,
            attempt: attempt.to_owned(),
        });
    }

    /// Ends an isolated run that neither succeeded nor crashed its server.
    pub(super) fn abandon_isolated_run(
        &mut self,
        now: Now,
        id: WorkId,
        attempt: &AttemptId,
        server: &ServerId,
        out: &mut Vec<DispatchAction>,
    ) {
        self.unisolate(server, attempt, out);
        self.release_grant(now, id, attempt, out);
    }

    pub(super) fn release_grant(
        &mut self,
        now: Now,
        id: WorkId,
        attempt: &AttemptId,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.works.get(&id) else { return };
        let fingerprint = state.work.fingerprint;
        let attempt = attempt.clone();
        self.with_quarantine(now, out, |quarantine, actions| {
            quarantine.on_abandoned(fingerprint, attempt, actions);
        });
    }
}

impl WorkState {
    fn is_isolating(&self, attempt: &str) -> bool {
        matches!(&self.stage, Stage::Isolating { attempt: own, .. } if own == attempt)
    }

    fn is_awaiting_grant(&self, attempt: &str) -> bool {
        matches!(&self.stage, Stage::AwaitingGrant { attempt: own } if own == attempt)
    }

    fn is_broken_on(&self, server: &str) -> bool {
        matches!(&self.stage, Stage::Probing { server: on, .. } if on == server)
    }

    fn runs_on(&self, server: &str) -> bool {
        match &self.stage {
            Stage::Running { server: on, .. } | Stage::Probing { server: on, .. } => on == server,
            _ => false,
        }
    }
}
