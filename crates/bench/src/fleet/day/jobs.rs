//! What the daemons' decisions on samples ask for: runs, appends, saved progress.

use std::time::Duration;

use buckthornfall_core::{
    backends::Ended,
    job::{restore_texts, AppendEnd, Batch, JobAction, RunEnd},
};
use bytes::Bytes;
use rand::Rng;

use super::{super::servers::Running, Day, Event, JITTER, SAVE_INTERVAL, SERVER_CALL, STORE_PAUSE};

impl Day<'_> {
    pub(super) fn advance_jobs(&mut self, host: usize, mut out: Vec<JobAction>) {
        let known = &mut self.hosts[host];
        let plan = known.duty.weights.plan();
        known.jobs.tick(self.now, &mut known.backends, plan, &mut out);
        let life = known.life;
        for action in out {
            self.act(host, life, action);
        }
    }

    fn act(&mut self, host: usize, life: u64, action: JobAction) {
        let call = self.call_time();
        match action {
            JobAction::Run { run, job, sample, server, after } => {
                let index = self.server(&server);
                let running = self.running(&job, sample, after);
                self.start_run(host, life, run, index, running);
            }
            JobAction::Cancel { run, server } => {
                let index = self.server(&server);
                self.servers[index].running.remove(&(host, run));
                self.hosts[host].backends.ended(self.now, &server, Ended::Cancelled);
            }
            JobAction::Move { run } => {
                for server in &mut self.servers {
                    server.running.remove(&(host, run));
                }
            }
            JobAction::Score { job, sample, .. } => {
                let trainer = self.step_of(&job).0;
                let took = Duration::from_millis(self.trainers[trainer].cfg.score_ms);
                self.push(took, Event::Scored { host, life, job, sample });
            }
            JobAction::Append { job, batch } => {
                self.push(call, Event::Append { host, life, job, batch });
            }
            JobAction::ReadLog { job } => self.push(call, Event::ReadLog { host, life, job }),
            JobAction::GaveUp { .. } => {}
        }
    }

    /// The trainer and the step of a job.
    fn step_of(&self, job: &str) -> (usize, usize) {
        let (model, step) = job.rsplit_once('-').expect("a job of this day");
        let trainer = self.trainers.iter().position(|trainer| trainer.cfg.model == model);
        (trainer.expect("a model of this day"), step.parse().expect("the number of a step"))
    }

    /// The request for a sample, after its last known event.
    fn running(&self, job: &str, sample: usize, after: Option<u64>) -> Running {
        let (trainer, step) = self.step_of(job);
        let trainer = &self.trainers[trainer];
        Running {
            made: after.unwrap_or(0),
            length: trainer.steps[step].lengths[sample],
            model: trainer.cfg.model.clone(),
        }
    }

    fn start_run(&mut self, host: usize, life: u64, run: u64, server: usize, running: Running) {
        let (now, cfg) = (self.now, &self.cfg.servers);
        let target = &mut self.servers[server];
        let jobs = &mut self.hosts[host].jobs;
        let end = if now < target.down_until {
            RunEnd::Broken
        } else if !target.takes(now, cfg) || !jobs.on_head(run, target.versions[&running.model]) {
            RunEnd::Refused
        } else if now < target.fails_until {
            RunEnd::Failed
        } else {
            target.running.insert((host, run), running);
            return self.push_event(server, host, run);
        };
        self.push(SERVER_CALL, Event::RunEnd { host, life, run, end });
    }

    fn push_event(&mut self, server: usize, host: usize, run: u64) {
        let jitter = 1.0 + JITTER * (2.0 * self.rng.random::<f64>() - 1.0);
        let after = self.servers[server].event_time(self.now, &self.cfg.servers, jitter);
        self.push(after, Event::Made { server, host, run });
    }

    pub(super) fn on_made(&mut self, server: usize, host: usize, run: u64) {
        let now = self.now;
        let target = &mut self.servers[server];
        let Some(running) = target.running.get_mut(&(host, run)) else { return };
        running.made += 1;
        let (made, whole) = (running.made, running.made >= running.length);
        let version = target.versions[&running.model];
        let known = &mut self.hosts[host];
        let wanted =
            known.jobs.on_event(now, &mut known.backends, run, made, Bytes::new(), Some(version));
        if wanted && !whole {
            return self.push_event(server, host, run);
        }
        target.running.remove(&(host, run));
        let end = if wanted { RunEnd::Complete } else { RunEnd::Broken };
        let mut out = Vec::new();
        known.jobs.on_run_end(now, &mut known.backends, run, &end, &mut out);
        self.advance_jobs(host, out);
    }

    pub(super) fn append(&mut self, job: &str, batch: Batch) -> AppendEnd {
        if self.store_is_away() {
            return AppendEnd::Refused;
        }
        let log = self.store.results.entry(job.to_owned()).or_default();
        if batch.first != log.len() {
            return AppendEnd::Conflict;
        }
        log.extend(batch.results);
        AppendEnd::Done
    }

    pub(super) fn save(&mut self, host: usize, life: u64) {
        self.push(SAVE_INTERVAL, Event::Save { host, life });
        let ids: Vec<_> = self.hosts[host].jobs.ids().cloned().collect();
        for job in ids {
            let savings = self.hosts[host].jobs.unsaved(&job);
            if !savings.is_empty() {
                self.push(self.call_time(), Event::Saved { host, life, job, savings });
            }
        }
    }

    pub(super) fn open(&mut self, host: usize, life: u64, trainer: usize, step: usize) {
        if self.store_is_away() {
            return self.push(STORE_PAUSE, Event::Open { host, life, trainer, step });
        }
        let known = &self.trainers[trainer];
        let asked = &known.steps[step];
        if asked.ended.is_some() || self.owners[trainer] != host {
            return;
        }
        let listed = self.store.results.get(&asked.job).cloned().unwrap_or_default();
        let saved = restore_texts(self.store.progress.get(&asked.job).map_or(&[], Vec::as_slice));
        let (spec, policy) = (asked.spec.clone(), known.policy(asked));
        let target = &mut self.hosts[host];
        target.jobs.open(self.now, &asked.job, spec, policy, &listed, saved);
        self.advance_jobs(host, Vec::new());
    }

    /// Opens all jobs that a daemon owns.
    pub(super) fn open_all(&mut self, host: usize) {
        let life = self.hosts[host].life;
        for trainer in 0..self.trainers.len() {
            if self.owners[trainer] != host {
                continue;
            }
            for step in 0..self.trainers[trainer].steps.len() {
                let asked = &self.trainers[trainer].steps[step];
                if asked.accepted.is_some() && asked.ended.is_none() {
                    self.push(2 * self.call_time(), Event::Open { host, life, trainer, step });
                }
            }
        }
    }
}
