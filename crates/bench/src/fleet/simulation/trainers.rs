//! Trainers: submit steps, read results, train and name weight versions.

use std::time::Duration;

use super::{Event, Simulation, READ_INTERVAL, RETRY_DELAY, START};

impl Simulation<'_> {
    pub(super) fn on_trainer(&mut self, index: usize) {
        self.schedule(READ_INTERVAL, Event::Trainer { trainer: index });
        let now = self.now;
        let until = START + Duration::from_millis(self.cfg.load_ms);
        while self.trainers[index].is_step_due(now, START, until) {
            self.trainers[index].start_step(now, &mut self.rng);
            let step = self.trainers[index].steps.len() - 1;
            self.schedule(self.store_latency(), Event::Submit { trainer: index, step });
        }
        if self.store_is_unavailable() {
            return;
        }
        let mut ended = Vec::new();
        let trainer = &mut self.trainers[index];
        let timeout = Duration::from_millis(trainer.cfg.limit_ms);
        for step in trainer.steps.iter_mut().filter(|step| step.ended_at.is_none()) {
            let listed = self.store.results.get(&step.job);
            let ids: Vec<_> = listed.into_iter().flatten().map(|row| row.id.clone()).collect();
            step.on_results_read(now, &ids);
            let complete = step.complete_groups.len() >= trainer.cfg.target_groups;
            if complete || now >= step.submitted_at + timeout {
                step.ended_at = Some(now);
                ended.push(step.job.clone());
            }
        }
        let training_time = Duration::from_millis(trainer.cfg.train_ms);
        for job in ended {
            for host in 0..self.hosts.len() {
                let mut out = Vec::new();
                self.hosts[host].jobs.close(now, &job, &mut out);
                self.advance_jobs(host, out);
            }
            self.schedule(training_time, Event::NameVersion { trainer: index });
        }
    }

    pub(super) fn submit(&mut self, trainer: usize, step: usize) {
        if self.store_is_unavailable() {
            return self.schedule(RETRY_DELAY, Event::Submit { trainer, step });
        }
        let now = self.now;
        let submitted = &mut self.trainers[trainer].steps[step];
        submitted.accepted_at = Some(now);
        let tokens = submitted.spec.samples.iter().map(|sample| sample.expected_tokens).sum();
        let (model, min_version) = (submitted.spec.model.clone(), submitted.spec.min_version);
        for host in &mut self.hosts {
            host.controller.weights.on_job(now, &model, tokens, min_version);
        }
        let host = self.owners[trainer];
        let incarnation = self.hosts[host].incarnation;
        self.schedule(
            2 * self.store_latency(),
            Event::OpenJob { host, incarnation, trainer, step },
        );
    }

    pub(super) fn name_version(&mut self, index: usize) {
        if self.store_is_unavailable() {
            return self.schedule(RETRY_DELAY, Event::NameVersion { trainer: index });
        }
        let trainer = &mut self.trainers[index];
        trainer.named_version += 1;
        let version = trainer.named_version;
        self.schedule(2 * self.store_latency(), Event::VersionNamed { trainer: index, version });
    }
}
