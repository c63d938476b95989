//! What happens to work when its server dies: suspects run again, alone on a server.

use buckthornfall_proto::ids::{AttemptId, Fingerprint, ServerId};

use super::{
    work::{DispatchAction, Stage, WorkId, WorkState},
    Dispatcher, ISOLATED_SHARE, ISOLATE_TIMEOUT, STALL_TIMEOUT, VERDICT_TIMEOUT,
};
use crate::{
    error::{ErrorKind, Refusal},
    fleet::ServiceKind,
    pick::Pick,
    quarantine::Grant,
    table::{ReadResult, TxnResult},
    Now,
};

/// Time until a suspect that another daemon runs is asked for again.
const ASK_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

impl<P: Pick> Dispatcher<P> {
    /// Takes the news that a server gave no report.
    pub fn on_unreachable(&mut self, now: Now, server: &str, out: &mut Vec<DispatchAction>) {
        if self.works.values().any(|state| state.is_broken_on(server)) {
            self.on_death(now, server, out);
        } else {
            self.fleet.on_unreachable(now, server);
        }
        self.pump(now, out);
    }

    /// Takes the answer to `Isolate`: whether the server now runs nothing else.
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

    /// Takes the reply to a read for the quarantine.
    pub fn on_quarantine_read(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        reply: &ReadResult,
        out: &mut Vec<DispatchAction>,
    ) {
        self.with_quarantine(now, out, |q, actions| q.on_read(now, fingerprint, reply, actions));
    }

    /// Takes the reply to a transaction for the quarantine.
    pub fn on_quarantine_txn(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        reply: &TxnResult,
        out: &mut Vec<DispatchAction>,
    ) {
        self.with_quarantine(now, out, |q, actions| q.on_txn(now, fingerprint, reply, actions));
    }

    /// All work on a dead server becomes suspect; what must not run twice is given up.
    pub(super) fn on_death(&mut self, now: Now, server: &str, out: &mut Vec<DispatchAction>) {
        self.fleet.on_death(now, server);
        let mut on_server: Vec<_> =
            self.works.values().filter(|s| s.runs_on(server)).map(|s| s.work.id).collect();
        on_server.sort_unstable();
        self.stats.deaths += u64::from(!on_server.is_empty());
        for id in on_server {
            self.on_work_died(now, id, server, out);
        }
    }

    fn on_work_died(&mut self, now: Now, id: WorkId, server: &str, out: &mut Vec<DispatchAction>) {
        let Some(state) = self.works.get_mut(&id) else { return };
        let (Stage::Running { attempt, .. } | Stage::Verdict { attempt, .. }) =
            std::mem::replace(&mut state.stage, Stage::Queued)
        else {
            return;
        };
        state.may_have_run = true;
        let fingerprint = state.work.fingerprint;
        let idempotent = state.work.idempotent;
        self.attempts.remove(&attempt);
        self.fleet.ended(server);
        out.push(DispatchAction::Cancel { attempt: attempt.clone() });
        self.with_quarantine(now, out, |quarantine, actions| {
            quarantine.on_death(now, fingerprint, attempt, actions);
        });
        if idempotent {
            self.ask(id, out);
        } else {
            let message = format!("server {server:?} died while it ran the request");
            self.fail(id, Refusal::new(ErrorKind::ServerFailed, message), out);
        }
    }

    /// The server lives: only the connection was cut, so the work goes on elsewhere.
    pub(super) fn resolve_cut(&mut self, now: Now, server: &str, out: &mut Vec<DispatchAction>) {
        let cut = |s: &&WorkState| s.is_broken_on(server);
        let mut ids: Vec<_> = self.works.values().filter(cut).map(|s| s.work.id).collect();
        ids.sort_unstable();
        for id in ids {
            let alone = matches!(self.works[&id].stage, Stage::Verdict { alone: true, .. });
            self.end_attempt(now, id, out);
            if alone {
                self.ask(id, out);
            } else {
                let reason = format!("the connection to server {server:?} was cut");
                self.retry(id, &reason, ErrorKind::ServerFailed, out);
            }
        }
    }

    pub(super) fn check_stalls(&mut self, now: Now, out: &mut Vec<DispatchAction>) {
        let mut stalled = Vec::new();
        let mut dead = Vec::new();
        let mut busy = Vec::new();
        for state in self.works.values() {
            match &state.stage {
                Stage::Running { progress_at, .. }
                    if now.saturating_sub(*progress_at) > STALL_TIMEOUT =>
                {
                    stalled.push(state.work.id);
                }
                Stage::Verdict { server, since, .. }
                    if now.saturating_sub(*since) > VERDICT_TIMEOUT =>
                {
                    dead.push(server.clone());
                }
                Stage::Isolating { attempt, since, .. }
                    if now.saturating_sub(*since) > ISOLATE_TIMEOUT =>
                {
                    busy.push(attempt.clone());
                }
                _ => {}
            }
        }
        stalled.sort_unstable();
        dead.sort_unstable();
        dead.dedup();
        busy.sort_unstable();
        for id in stalled {
            self.on_stalled(now, id, out);
        }
        for server in dead {
            self.on_death(now, &server, out);
        }
        for attempt in busy {
            self.on_isolated(now, &attempt, false, out);
        }
    }

    /// A silent stream is treated like a broken one.
    fn on_stalled(&mut self, now: Now, id: WorkId, out: &mut Vec<DispatchAction>) {
        let Some(state) = self.works.get_mut(&id) else { return };
        let Stage::Running { attempt, server, alone, .. } = state.stage.clone() else { return };
        if !state.work.idempotent {
            return;
        }
        state.may_have_run = true;
        out.push(DispatchAction::Cancel { attempt: attempt.clone() });
        out.push(DispatchAction::Probe { server: server.clone() });
        state.stage = Stage::Verdict { attempt, server, since: now, alone };
    }

    /// Asks for the right to run a suspect alone.
    pub(super) fn ask(&mut self, id: WorkId, out: &mut Vec<DispatchAction>) {
        let attempt = self.new_attempt();
        let Some(state) = self.works.get_mut(&id) else { return };
        let fingerprint = state.work.fingerprint;
        state.stage = Stage::Asking { attempt: attempt.clone() };
        self.with_quarantine(Now::ZERO, out, |quarantine, actions| {
            quarantine.ask(fingerprint, attempt, actions);
        });
    }

    pub(super) fn ask_again(&mut self, now: Now, out: &mut Vec<DispatchAction>) {
        let due = |s: &&WorkState| matches!(s.stage, Stage::AskAt { at } if now >= at);
        let mut ids: Vec<_> = self.works.values().filter(due).map(|s| s.work.id).collect();
        ids.sort_unstable();
        for id in ids {
            self.ask(id, out);
        }
        let granted = |s: &&WorkState| matches!(s.stage, Stage::Granted { .. });
        let mut ids: Vec<_> = self.works.values().filter(granted).map(|s| s.work.id).collect();
        ids.sort_unstable();
        for id in ids {
            self.find_server_alone(now, id, out);
        }
    }

    /// Other work with a fingerprint that was just cleared runs like any other.
    pub(super) fn release_cleared(&mut self, fingerprint: Fingerprint) {
        let waits = |s: &&WorkState| {
            s.work.fingerprint == fingerprint && matches!(s.stage, Stage::AskAt { .. })
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
        let asking = |s: &&WorkState| s.is_asking(attempt);
        let Some(id) = self.works.values().find(asking).map(|s| s.work.id) else { return };
        let Some(state) = self.works.get_mut(&id) else { return };
        match grant {
            Grant::Granted => {
                state.stage = Stage::Granted { attempt: attempt.to_owned() };
                self.find_server_alone(now, id, out);
            }
            Grant::Busy => state.stage = Stage::AskAt { at: now + ASK_INTERVAL },
            Grant::Quarantined => {
                let refusal = self.quarantined_refusal(&self.works[&id].work);
                self.fail(id, refusal, out);
            }
            Grant::TableAway => {
                let message = "a server died with the request on it, and the table service \
                               does not answer, which must admit another run";
                let refusal = Refusal::new(ErrorKind::TableUnavailable, message);
                self.fail(id, refusal, out);
            }
        }
    }

    /// Keeps the least loaded server free for a suspect, if enough servers stay for the rest.
    fn find_server_alone(&mut self, now: Now, id: WorkId, out: &mut Vec<DispatchAction>) {
        let Some(state) = self.works.get(&id) else { return };
        let Stage::Granted { attempt } = &state.stage else { return };
        let attempt = attempt.clone();
        let service = &state.work.service;
        let Some(names) = self.fleet.service(service) else { return };
        let servers: Vec<_> = names.iter().filter_map(|name| self.fleet.get(name)).collect();
        let isolated = servers.iter().filter(|s| s.isolated_for.is_some()).count();
        if isolated >= (servers.len() / ISOLATED_SHARE).max(1) {
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
        let takes_orders = best.kind == ServiceKind::Model;
        self.fleet.isolate(&server, Some(attempt.clone()));
        if !takes_orders {
            // Plain services know no isolation; this daemon sends nothing else there.
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
        let takes_orders = known.kind == ServiceKind::Model;
        self.fleet.isolate(server, None);
        if !takes_orders {
            return;
        }
        out.push(DispatchAction::Unisolate {
            server: server.to_owned(),
            address,
            attempt: attempt.to_owned(),
        });
    }

    /// Ends a run alone that has neither ended well nor killed its server.
    pub(super) fn abandon_alone(
        &mut self,
        now: Now,
        id: WorkId,
        attempt: &AttemptId,
        server: &ServerId,
        out: &mut Vec<DispatchAction>,
    ) {
        self.unisolate(server, attempt, out);
        self.give_back_grant(now, id, attempt, out);
    }

    pub(super) fn give_back_grant(
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

    fn is_asking(&self, attempt: &str) -> bool {
        matches!(&self.stage, Stage::Asking { attempt: own } if own == attempt)
    }

    fn is_broken_on(&self, server: &str) -> bool {
        matches!(&self.stage, Stage::Verdict { server: on, .. } if on == server)
    }

    fn runs_on(&self, server: &str) -> bool {
        match &self.stage {
            Stage::Running { server: on, .. } | Stage::Verdict { server: on, .. } => on == server,
            _ => false,
        }
    }
}
