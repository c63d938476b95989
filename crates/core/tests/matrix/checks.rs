//! What clients do, and the invariants that are checked after every event.

use std::time::Duration;

use buckthornfall_core::{commit::revision_key, quarantine::MAX_ISOLATED_CRASHES};
use buckthornfall_proto::messages::{GroupResult, ManifestRow, Outcome};
use buckthornfall_standins::engine::text;

use crate::{
    clients::{
        prompt, Answer, Ask, Stage, TrainerAnswer, TrainerAsk, GROUPS, MAX_TRIES, POISON, SAMPLES,
        STALENESS_BOUND, STEPS,
    },
    plan::Step,
    world::{
        manifest, Event, HostEvent, Party, World, CALLER_WAIT, CAPACITY_FLOOR_PERCENT, ENGINES,
        HOSTS, LEAVING_BOUND,
    },
};

const TRAINER_TIMEOUT: Duration = Duration::from_secs(2);
const TRAINER_POLL: Duration = Duration::from_millis(100);
const CALLER_RETRY: Duration = Duration::from_millis(500);

impl World {
    // Operators.

    pub fn operate(&mut self, operator: usize) {
        let base = self.hosts.iter().map(|host| host.config.revision()).max().unwrap_or(1);
        let host = operator % HOSTS;
        let life = self.hosts[host].life;
        let manifest = Box::new(manifest(operator + 1));
        self.note(|| format!("operator {operator} commits on revision {base}"));
        self.send_to_host(
            None,
            Party::Client,
            host,
            life,
            HostEvent::Commit { manifest, base, operator },
        );
    }

    // Callers.

    pub fn caller_send(&mut self, caller: usize) {
        let host = self.callers[caller].host;
        let life = self.hosts[host].life;
        self.callers[caller].tries += 1;
        self.callers[caller].waiting_since = Some(self.now);
        let try_number = self.callers[caller].tries;
        let ask = self.callers[caller].ask.clone();
        self.note(|| format!("caller {caller} try {try_number} to host {host}: {ask:?}"));
        let event = HostEvent::Caller { caller, try_number, ask };
        if !self.send_to_host(Some(Step::CallerSend), Party::Client, host, life, event) {
            let event = Event::CallerGet { caller, try_number, answer: Answer::Broken };
            self.at(self.now + Duration::from_millis(1500), event);
        }
    }

    pub fn caller_get(&mut self, caller: usize, try_number: u32, answer: Answer) {
        let state = &self.callers[caller];
        if state.done || state.tries != try_number || state.waiting_since.is_none() {
            return;
        }
        let ask = state.ask.clone();
        self.note(|| format!("caller {caller} try {try_number} gets {answer:?}"));
        self.callers[caller].waiting_since = None;
        match answer {
            Answer::Text { text, tokens } => {
                let own = match &ask {
                    Ask::Complete { prompt } => {
                        let length = text::length(
                            prompt,
                            buckthornfall_proto::digest::fingerprint(&[prompt.as_bytes()]),
                            32,
                        );
                        tokens == length
                            && text::is_answer(prompt, &String::from_utf8_lossy(&text), tokens)
                    }
                    _ => false,
                };
                self.finish_caller(caller, own);
            }
            Answer::Body { body, .. } => {
                let own = match &ask {
                    Ask::Look { body: sent } => body == sent.as_bytes(),
                    Ask::Record { key } => body == key.as_bytes(),
                    Ask::Complete { .. } => false,
                };
                self.finish_caller(caller, own);
                if let Ask::Record { key } = &ask {
                    if self.service.runs.get(key).copied().unwrap_or(0) == 0 {
                        self.violate("an answered request ran", key);
                    }
                }
            }
            Answer::Refused(refusal) => {
                let ran = refusal.work_outcome() == Outcome::Ran;
                let again = refusal.answer().retry_after_ms.map(Duration::from_millis);
                match again {
                    Some(after) if !ran => self.resend(caller, after),
                    _ if matches!(ask, Ask::Complete { .. }) && !ran => {
                        self.resend(caller, CALLER_RETRY)
                    }
                    _ => self.callers[caller].done = true,
                }
            }
            Answer::Broken => self.resend(caller, CALLER_RETRY),
        }
    }

    fn finish_caller(&mut self, caller: usize, own: bool) {
        self.callers[caller].done = true;
        self.callers[caller].answered = true;
        if !own {
            let detail = format!("caller {caller}");
            self.violate("every caller gets its own whole answer", &detail);
        }
    }

    /// Sends the same request again, through another host.
    fn resend(&mut self, caller: usize, after: Duration) {
        let state = &mut self.callers[caller];
        if state.tries >= MAX_TRIES {
            state.done = true;
            return;
        }
        state.host = (state.host + 1) % HOSTS;
        self.at(self.now + after, Event::CallerSend { caller });
    }

    // The trainer.

    pub fn trainer_act(&mut self) {
        let Some(ask) = self.trainer.ask() else { return };
        let host = self.trainer.host;
        let life = self.hosts[host].life;
        self.trainer.asked += 1;
        let id = self.trainer.asked;
        let step = match &ask {
            TrainerAsk::Submit(_) => Some(Step::TrainerSubmit),
            TrainerAsk::Pull(_) => Some(Step::Pull),
            TrainerAsk::Publish(_) => None,
        };
        let lost = Event::TrainerGet { id, answer: TrainerAnswer::NoReply };
        let limit =
            if matches!(ask, TrainerAsk::Publish(_)) { CALLER_WAIT } else { TRAINER_TIMEOUT };
        self.at(self.now + limit, lost);
        self.send_to_host(step, Party::Client, host, life, HostEvent::Trainer { id, ask });
    }

    pub fn trainer_get(&mut self, id: u64, answer: TrainerAnswer) {
        // One request is outstanding: an answer to an earlier one is dropped.
        if id != self.trainer.asked || self.trainer.stage == Stage::Done {
            return;
        }
        self.trainer.asked += 1;
        match answer {
            TrainerAnswer::Accepted => self.trainer.stage = Stage::Pull,
            TrainerAnswer::Groups(answer) => self.on_groups(answer),
            TrainerAnswer::Published => self.on_published(),
            TrainerAnswer::Refused(refusal) => {
                let kind = refusal.kind.rule().name;
                match (kind, self.trainer.stage) {
                    ("not_found", _) => self.trainer.stage = Stage::Submit,
                    ("old_weights", Stage::Publish { .. }) => self.on_published(),
                    _ => self.trainer.host = (self.trainer.host + 1) % HOSTS,
                }
            }
            TrainerAnswer::NoReply => self.trainer.host = (self.trainer.host + 1) % HOSTS,
        }
        self.at(self.now + TRAINER_POLL, Event::TrainerAct);
    }

    fn on_published(&mut self) {
        let Stage::Publish { then_pull } = self.trainer.stage else { return };
        self.trainer.version += 1;
        if then_pull {
            self.trainer.cursor.weights_version = self.trainer.version;
            self.trainer.stage = Stage::Pull;
        } else {
            self.trainer.next_step();
        }
    }

    fn on_groups(&mut self, answer: buckthornfall_proto::messages::PullAnswer) {
        let came = !answer.groups.is_empty();
        for group in &answer.groups {
            self.check_group(group);
        }
        let complete = answer.complete;
        self.trainer.cursor = answer.cursor;
        if complete {
            self.check_step();
            self.trainer.stage = Stage::Publish { then_pull: false };
        } else if came && self.trainer.step == STEPS && !self.trainer.bumped {
            // New weights in the middle of a step make the rest of its samples too old.
            self.trainer.bumped = true;
            self.trainer.stage = Stage::Publish { then_pull: true };
        }
    }

    fn check_group(&mut self, group: &GroupResult) {
        let version = self.trainer.cursor.weights_version;
        let text_of = prompt(group.step, group.group);
        if group.step != self.trainer.step || group.samples.len() != SAMPLES as usize {
            self.violate("groups come whole", &format!("{group:?}"));
        }
        for sample in &group.samples {
            let slot = (group.step, group.group, sample.index);
            let count = self.trainer.stored.entry(slot).or_default();
            *count += 1;
            if *count > 1 {
                self.violate("each sample comes exactly once", &format!("{slot:?}"));
            }
            if !text::is_answer(&text_of, &sample.text, sample.tokens) {
                self.violate("a sample answers its own prompt", &format!("{slot:?}: {sample:?}"));
            }
            let covered = sample.spans.iter().try_fold(0, |at, s| (s.start == at).then_some(s.end));
            if covered != Some(sample.tokens) {
                self.violate("a sample names all its versions", &format!("{slot:?}: {sample:?}"));
            }
            for span in &sample.spans {
                let produced = (span.start..span.end)
                    .all(|index| self.was_produced(&text_of, index, span.version));
                if !produced {
                    self.violate(
                        "a sample names the versions that made it",
                        &format!("{slot:?}: {span:?}"),
                    );
                }
                if span.version + STALENESS_BOUND < version {
                    self.violate(
                        "no sample is older than the bound",
                        &format!("{slot:?}: {span:?} for {version}"),
                    );
                }
            }
        }
    }

    fn was_produced(&self, prompt: &str, index: u32, version: u64) -> bool {
        let key = (prompt.to_owned(), index);
        self.engines
            .iter()
            .any(|e| e.produced.get(&key).is_some_and(|versions| versions.contains(&version)))
    }

    fn check_step(&mut self) {
        let step = self.trainer.step;
        let missing = (0..GROUPS)
            .flat_map(|group| (0..SAMPLES).map(move |index| (step, group, index)))
            .filter(|slot| !self.trainer.stored.contains_key(slot))
            .count();
        if missing > 0 {
            self.violate("a step comes whole", &format!("step {step}: {missing} missing"));
        }
    }

    // Invariants.

    /// A leaving server gets no new work after the bound.
    pub fn check_start(&mut self, host: usize, server: &str) {
        let Some(engine) = self.engines.iter().find(|engine| engine.name == server) else { return };
        let late = engine.draining_since.is_some_and(|since| self.now > since + LEAVING_BOUND);
        if late {
            let detail = format!("host {host} starts work on {server}");
            self.violate("a leaving server gets no new work", &detail);
        }
    }

    pub fn check(&mut self) {
        self.check_leases();
        self.check_callers();
        self.check_poison();
        self.check_floor();
    }

    /// A rollout takes no more servers out of service than the capacity floor allows.
    fn check_floor(&mut self) {
        let swapping = self.engines.iter().filter(|e| e.swapping && !e.swap_failed).count();
        let failed = self.engines.iter().filter(|e| e.swap_failed).count();
        let allowed = (ENGINES - ENGINES * CAPACITY_FLOOR_PERCENT / 100).max(failed);
        if swapping > allowed {
            self.violate("the capacity floor holds", &format!("{swapping} engines change weights"));
        }
    }

    /// Two holders never both may act.
    fn check_leases(&mut self) {
        let holders = |steps: bool| {
            let may_act = |host: &&crate::host::Host| {
                let lease = if steps { &host.steps_lease } else { &host.rollout_lease };
                host.alive && lease.fence(self.now).is_some()
            };
            self.hosts.iter().filter(may_act).count()
        };
        if holders(true) > 1 || holders(false) > 1 {
            self.violate("one holder acts at a time", "two hosts may act on one role");
        }
    }

    /// A request that is given up gets its final answer at once.
    fn check_callers(&mut self) {
        for (i, caller) in self.callers.iter().enumerate() {
            let host = &self.hosts[caller.host];
            let paused = !host.paused_until.is_zero() && self.now < host.paused_until + CALLER_WAIT;
            let waits = caller.waiting_since.is_some_and(|since| self.now > since + CALLER_WAIT);
            if waits && !caller.done && !paused {
                let detail = format!("caller {i} waits for host {}", caller.host);
                return self.violate("every request gets a final answer", &detail);
            }
        }
    }

    /// Servers lost for one request: one for each daemon start that ran it unwarned, and those
    /// that it ran on alone.
    fn check_poison(&mut self) {
        let bound = self.lives as u32 + MAX_ISOLATED_CRASHES as u32;
        if let Some((prompt, deaths)) =
            self.poison_deaths.iter().find(|(_, deaths)| **deaths > bound)
        {
            let detail = format!("{prompt}: {deaths} servers lost, bound {bound}");
            self.violate("a request that crashes servers is stopped", &detail);
        }
    }

    pub fn is_settled(&self) -> bool {
        let callers = self.callers.iter().all(|caller| caller.done);
        let trainer = self.trainer.stage == Stage::Done;
        let commits = self.hosts.iter().all(|host| host.commits.is_empty());
        let head = self.head().revision;
        let agreed = self.hosts.iter().all(|host| host.alive && host.config.revision() == head);
        let newest = self.trainer.version;
        let weights = self.engines.iter().all(|e| e.active == newest && !e.swapping);
        callers && trainer && commits && agreed && weights
    }

    fn head(&self) -> ManifestRow {
        let row = self.table.read(buckthornfall_core::commit::HEAD_KEY);
        buckthornfall_core::table::value(&row).expect("there is a head")
    }

    pub fn check_end(&mut self) {
        let head = self.head();
        if !self.is_settled() {
            let revisions: Vec<_> = self.hosts.iter().map(|h| h.config.revision()).collect();
            let versions: Vec<_> = self.engines.iter().map(|e| e.active).collect();
            let open: Vec<_> =
                self.callers.iter().enumerate().filter(|(_, c)| !c.done).map(|(i, _)| i).collect();
            let detail = format!(
                "trainer {:?} in step {} version {}, callers {open:?}, revisions {revisions:?} of {}, weights {versions:?}",
                self.trainer.stage, self.trainer.step, self.trainer.version, head.revision
            );
            self.violate("all work ends after the faults", &detail);
        }
        let chain: Vec<(u64, String)> = (1..=head.revision)
            .filter_map(|revision| {
                let row = self.table.read(&revision_key(revision));
                buckthornfall_core::table::value::<ManifestRow>(&row)
                    .map(|row| (revision, row.hash))
            })
            .collect();
        for committed in self.committed.clone() {
            if !chain.contains(&committed) {
                self.violate("an accepted configuration stays", &format!("{committed:?}"));
            }
        }
        for hash in self.not_committed.clone() {
            if chain.iter().any(|(_, known)| *known == hash) {
                self.violate("a refused configuration is not in force", &hash);
            }
        }
        self.check_innocent();
        self.check_store_crossings();
    }

    /// No request is quarantined that did not crash a server.
    fn check_innocent(&mut self) {
        let guilty: Vec<_> = self
            .callers
            .iter()
            .filter_map(|caller| match &caller.ask {
                Ask::Complete { prompt } if prompt.starts_with(POISON) => {
                    Some(buckthornfall_proto::digest::fingerprint(&[prompt.as_bytes()]))
                }
                _ => None,
            })
            .collect();
        let innocent = self
            .hosts
            .iter()
            .flat_map(|host| host.dispatcher.quarantine().quarantined())
            .find(|print| !guilty.contains(print));
        if let Some(print) = innocent {
            self.violate("no innocent request is quarantined", &format!("{print:016x}"));
        }
    }

    /// Weights come from the store once for each version, and again only after a fault.
    fn check_store_crossings(&mut self) {
        let bound = 1 + self.fired as u32;
        if let Some((version, count)) = self.store_stages.iter().find(|(_, count)| **count > bound)
        {
            let detail = format!("version {version}: {count} times");
            self.violate("weights cross the region link once", &detail);
        }
    }
}
