//! What trainers do: ask, read, train, name.

use std::time::Duration;

use super::{Day, Event, READ_INTERVAL, SEND_AGAIN, START};

impl Day<'_> {
    pub(super) fn on_trainer(&mut self, index: usize) {
        self.push(READ_INTERVAL, Event::Trainer { trainer: index });
        let now = self.now;
        let until = START + Duration::from_millis(self.cfg.load_ms);
        while self.trainers[index].asks(now, START, until) {
            self.trainers[index].ask(now, &mut self.rng);
            let step = self.trainers[index].steps.len() - 1;
            self.push(self.call_time(), Event::Submit { trainer: index, step });
        }
        if self.store_is_away() {
            return;
        }
        let mut ended = Vec::new();
        let trainer = &mut self.trainers[index];
        let limit = Duration::from_millis(trainer.cfg.limit_ms);
        for step in trainer.steps.iter_mut().filter(|step| step.ended.is_none()) {
            let listed = self.store.results.get(&step.job);
            let ids: Vec<_> = listed.into_iter().flatten().map(|row| row.id.clone()).collect();
            step.read(now, &ids);
            let whole = step.whole.len() >= trainer.cfg.target_groups;
            if whole || now >= step.asked + limit {
                step.ended = Some(now);
                ended.push(step.job.clone());
            }
        }
        let train = Duration::from_millis(trainer.cfg.train_ms);
        for job in ended {
            for host in 0..self.hosts.len() {
                let mut out = Vec::new();
                self.hosts[host].jobs.close(now, &job, &mut out);
                self.advance_jobs(host, out);
            }
            self.push(train, Event::Name { trainer: index });
        }
    }

    pub(super) fn submit(&mut self, trainer: usize, step: usize) {
        if self.store_is_away() {
            return self.push(SEND_AGAIN, Event::Submit { trainer, step });
        }
        let now = self.now;
        let asked = &mut self.trainers[trainer].steps[step];
        asked.accepted = Some(now);
        let tokens = asked.spec.samples.iter().map(|sample| sample.expected_tokens).sum();
        let (model, needed) = (asked.spec.model.clone(), asked.spec.min_version);
        for host in &mut self.hosts {
            host.duty.weights.on_job(now, &model, tokens, needed);
        }
        let host = self.owners[trainer];
        let life = self.hosts[host].life;
        self.push(2 * self.call_time(), Event::Open { host, life, trainer, step });
    }

    pub(super) fn name(&mut self, index: usize) {
        if self.store_is_away() {
            return self.push(SEND_AGAIN, Event::Name { trainer: index });
        }
        let trainer = &mut self.trainers[index];
        trainer.named += 1;
        let version = trainer.named;
        self.push(2 * self.call_time(), Event::Named { trainer: index, version });
    }
}
