//! Execution of the actions that daemons request for jobs: runs, appends, progress writes.

use std::time::Duration;

use buckthornfall_core::{
    backends::Ended,
    job::{restore_texts, AppendEnd, Batch, JobAction, RunEnd},
};
use bytes::Bytes;
use rand::Rng;

use super::{
    super::servers::RunningRequest, limits::StartingRun, Event, Simulation, MAX_JITTER,
    SAVE_INTERVAL, SERVER_LATENCY, STORE_RETRY_DELAY,
};

/// Maximum size of a progress row.
const ROW_BYTES: usize = 48_000;

impl Simulation<'_> {
    pub(super) fn advance_jobs(&mut self, host: usize, mut out: Vec<JobAction>) {
        let daemon = &mut self.hosts[host];
        let plan = daemon.controller.weights.plan();
        daemon.jobs.tick(self.now, &mut daemon.backends, plan, &mut out);
        let incarnation = daemon.incarnation;
        for action in out {
            self.apply_job_action(host, incarnation, action);
        }
    }

    fn apply_job_action(&mut self, host: usize, incarnation: u64, action: JobAction) {
        let call = self.store_latency();
        match action {
            JobAction::Run { run, job, sample, server, after } => {
                let index = self.server(&server);
                let running = self.request(&job, sample, after);
                self.admit_run(StartingRun { host, incarnation, run, server: index, running });
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
                let trainer = self.trainer_and_step(&job).0;
                let took = Duration::from_millis(self.trainers[trainer].cfg.score_ms);
                self.schedule(took, Event::Scored { host, incarnation, job, sample });
            }
            JobAction::Append { job, batch } => {
                self.schedule(call, Event::Append { host, incarnation, job, batch });
            }
            JobAction::ReadLog { job } => {
                self.schedule(call, Event::ReadLog { host, incarnation, job })
            }
            JobAction::GaveUp { .. } => {}
        }
    }

    /// Returns the trainer and the step of a job.
    fn trainer_and_step(&self, job: &str) -> (usize, usize) {
        let (model, step) = job.rsplit_once('-').expect("job id without a step number");
        let trainer = self.trainers.iter().position(|trainer| trainer.cfg.model == model);
        (
            trainer.expect("job of an unknown model"),
            step.parse().expect("invalid step number in job id"),
        )
    }

    /// Returns the request for a sample, resumed after the event `after`.
    fn request(&self, job: &str, sample: usize, after: Option<u64>) -> RunningRequest {
        let (trainer, step) = self.trainer_and_step(job);
        let trainer = &self.trainers[trainer];
        RunningRequest {
            generated: after.unwrap_or(0),
            length: trainer.steps[step].lengths[sample],
            model: trainer.cfg.model.clone(),
        }
    }

    pub(super) fn start_run(&mut self, starting: StartingRun) {
        let StartingRun { host, incarnation, run, server, running } = starting;
        let (now, cfg) = (self.now, &self.cfg.servers);
        if now >= self.servers[server].down_until {
            self.servers[server].limit.on_arrival(now);
            self.on_stated_rate(host, server);
        }
        let target = &mut self.servers[server];
        let jobs = &mut self.hosts[host].jobs;
        let end = if now < target.down_until {
            RunEnd::Broken
        } else if !target.accepts_request(now, cfg)
            || !jobs.on_head(run, target.versions[&running.model])
        {
            RunEnd::Refused
        } else if now < target.failing_until {
            RunEnd::Failed
        } else {
            target.running.insert((host, run), running);
            return self.schedule_generation(server, host, run);
        };
        self.schedule(SERVER_LATENCY, Event::RunEnd { host, incarnation, run, end });
    }

    fn schedule_generation(&mut self, server: usize, host: usize, run: u64) {
        let jitter = 1.0 + MAX_JITTER * (2.0 * self.rng.random::<f64>() - 1.0);
        let after = self.servers[server].event_time(self.now, &self.cfg.servers, jitter);
        self.schedule(after, Event::Generated { server, host, run });
    }

    pub(super) fn on_generated(&mut self, server: usize, host: usize, run: u64) {
        let now = self.now;
        let target = &mut self.servers[server];
        let Some(running) = target.running.get_mut(&(host, run)) else { return };
        running.generated += 1;
        let (generated, complete) = (running.generated, running.generated >= running.length);
        let version = target.versions[&running.model];
        let daemon = &mut self.hosts[host];
        let should_continue = daemon.jobs.on_event(
            now,
            &mut daemon.backends,
            run,
            generated,
            Bytes::new(),
            Some(version),
        );
        if should_continue && !complete {
            return self.schedule_generation(server, host, run);
        }
        target.running.remove(&(host, run));
        let end = if should_continue { RunEnd::Complete } else { RunEnd::Broken };
        let mut out = Vec::new();
        daemon.jobs.on_run_end(now, &mut daemon.backends, run, &end, &mut out);
        self.advance_jobs(host, out);
    }

    pub(super) fn append(&mut self, job: &str, batch: Batch) -> AppendEnd {
        if self.store_is_unavailable() {
            return AppendEnd::Refused;
        }
        let log = self.store.results.entry(job.to_owned()).or_default();
        if batch.first != log.len() {
            return AppendEnd::Conflict;
        }
        log.extend(batch.results);
        AppendEnd::Done
    }

    pub(super) fn save(&mut self, host: usize, incarnation: u64) {
        self.schedule(SAVE_INTERVAL, Event::SaveProgress { host, incarnation });
        let ids: Vec<_> = self.hosts[host].jobs.ids().cloned().collect();
        for job in ids {
            let unsaved = self.hosts[host].jobs.unsaved(&job, ROW_BYTES);
            if !unsaved.is_empty() {
                self.schedule(
                    self.store_latency(),
                    Event::ProgressWritten { host, incarnation, job, unsaved },
                );
            }
        }
    }

    pub(super) fn open(&mut self, host: usize, incarnation: u64, trainer: usize, step: usize) {
        if self.store_is_unavailable() {
            return self
                .schedule(STORE_RETRY_DELAY, Event::OpenJob { host, incarnation, trainer, step });
        }
        let state = &self.trainers[trainer];
        let submitted = &state.steps[step];
        if submitted.ended_at.is_some() || self.owners[trainer] != host {
            return;
        }
        let listed = self.store.results.get(&submitted.job).cloned().unwrap_or_default();
        let saved =
            restore_texts(self.store.progress.get(&submitted.job).map_or(&[], Vec::as_slice));
        let (spec, policy) = (submitted.spec.clone(), state.policy(submitted));
        let target = &mut self.hosts[host];
        target.jobs.open(self.now, &submitted.job, spec, policy, &listed, saved);
        self.advance_jobs(host, Vec::new());
    }

    /// Opens all jobs that a daemon owns.
    pub(super) fn open_owned_jobs(&mut self, host: usize) {
        let incarnation = self.hosts[host].incarnation;
        for trainer in 0..self.trainers.len() {
            if self.owners[trainer] != host {
                continue;
            }
            for step in 0..self.trainers[trainer].steps.len() {
                let submitted = &self.trainers[trainer].steps[step];
                if submitted.accepted_at.is_some() && submitted.ended_at.is_none() {
                    self.schedule(
                        2 * self.store_latency(),
                        Event::OpenJob { host, incarnation, trainer, step },
                    );
                }
            }
        }
    }
}
