//! Behavior of the clients, and the invariants that are checked after every event.

use std::time::Duration;

use buckthornfall_core::{commit::revision_key, quarantine::MAX_ISOLATED_CRASHES};
use buckthornfall_proto::messages::{GroupResult, ManifestRow, Outcome};
use buckthornfall_standins::engine::text;

use crate::{
    clients::{
        prompt, Answer, CallerRequest, Stage, TrainerAnswer, TrainerRequest, GROUPS, MAX_TRIES,
        POISON, SAMPLES, STALENESS_BOUND, STEPS,
    },
    plan::Step,
    world::{
        manifest, Endpoint, Event, HostEvent, World, CALLER_TIMEOUT, CAPACITY_FLOOR_PERCENT,
        ENGINES, HOSTS, LEAVING_GRACE,
    },
};

const TRAINER_TIMEOUT: Duration = Duration::from_secs(2);
const TRAINER_POLL_INTERVAL: Duration = Duration::from_millis(100);
const CALLER_RETRY_DELAY: Duration = Duration::from_millis(500);

impl World {
    // Operators.

    pub fn submit_commit(&mut self, operator: usize) {
        let base = self.hosts.iter().map(|host| host.config.revision()).max().unwrap_or(1);
        let host = operator % HOSTS;
        let epoch = self.hosts[host].epoch;
        let manifest = Box::new(manifest(operator + 1));
        self.trace_event(|| format!("operator {operator} commits on revision {base}"));
        self.send_to_host(
            None,
            Endpoint::Client,
            host,
            epoch,
            HostEvent::Commit { manifest, base, operator },
        );
    }

    // Callers.

    pub fn caller_send(&mut self, caller: usize) {
        let host = self.callers[caller].host;
        let epoch = self.hosts[host].epoch;
        self.callers[caller].tries += 1;
        self.callers[caller].waiting_since = Some(self.now);
        let try_number = self.callers[caller].tries;
        let payload = self.callers[caller].payload.clone();
        self.trace_event(|| {
            format!("caller {caller} try {try_number} to host {host}: {payload:?}")
        });
        let event = HostEvent::Caller { caller, try_number, payload };
        if !self.send_to_host(Some(Step::CallerSend), Endpoint::Client, host, epoch, event) {
            let event = Event::CallerGet { caller, try_number, answer: Answer::Broken };
            self.schedule(self.now + Duration::from_millis(1500), event);
        }
    }

    pub fn caller_get(&mut self, caller: usize, try_number: u32, answer: Answer) {
        let state = &self.callers[caller];
        if state.done || state.tries != try_number || state.waiting_since.is_none() {
            return;
        }
        let payload = state.payload.clone();
        self.trace_event(|| format!("caller {caller} try {try_number} gets {answer:?}"));
        self.callers[caller].waiting_since = None;
        match answer {
            Answer::Text { text, tokens } => {
                let is_own = match &payload {
                    CallerRequest::Complete { prompt } => {
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
                self.finish_caller(caller, is_own);
            }
            Answer::Body { body, .. } => {
                let is_own = match &payload {
                    CallerRequest::Look { body: sent } => body == sent.as_bytes(),
                    CallerRequest::Record { key } => body == key.as_bytes(),
                    CallerRequest::Complete { .. } => false,
                };
                self.finish_caller(caller, is_own);
                if let CallerRequest::Record { key } = &payload {
                    if self.service.runs.get(key).copied().unwrap_or(0) == 0 {
                        self.report_violation("an answered request ran", key);
                    }
                }
            }
            Answer::Refused(refusal) => {
                let ran = refusal.work_outcome() == Outcome::Ran;
                let retry_after = refusal.answer().retry_after_ms.map(Duration::from_millis);
                match retry_after {
                    Some(after) if !ran => self.resend(caller, after),
                    _ if matches!(payload, CallerRequest::Complete { .. }) && !ran => {
                        self.resend(caller, CALLER_RETRY_DELAY)
                    }
                    _ => self.callers[caller].done = true,
                }
            }
            Answer::Broken => self.resend(caller, CALLER_RETRY_DELAY),
        }
    }

    fn finish_caller(&mut self, caller: usize, is_own: bool) {
        self.callers[caller].done = true;
        self.callers[caller].answered = true;
        if !is_own {
            let detail = format!("caller {caller}");
            self.report_violation("every caller gets its own whole answer", &detail);
        }
    }

    /// Sends the same request again through another host.
    fn resend(&mut self, caller: usize, after: Duration) {
        let state = &mut self.callers[caller];
        if state.tries >= MAX_TRIES {
            state.done = true;
            return;
        }
        state.host = (state.host + 1) % HOSTS;
        self.schedule(self.now + after, Event::CallerSend { caller });
    }

    // The trainer.

    pub fn trainer_act(&mut self) {
        let Some(payload) = self.trainer.request() else { return };
        let host = self.trainer.host;
        let epoch = self.hosts[host].epoch;
        self.trainer.request_id += 1;
        let id = self.trainer.request_id;
        let step = match &payload {
            TrainerRequest::Submit(_) => Some(Step::TrainerSubmit),
            TrainerRequest::Pull(_) => Some(Step::Pull),
            TrainerRequest::Publish(_) => None,
        };
        let lost = Event::TrainerGet { id, answer: TrainerAnswer::NoReply };
        let timeout = if matches!(payload, TrainerRequest::Publish(_)) {
            CALLER_TIMEOUT
        } else {
            TRAINER_TIMEOUT
        };
        self.schedule(self.now + timeout, lost);
        self.send_to_host(step, Endpoint::Client, host, epoch, HostEvent::Trainer { id, payload });
    }

    pub fn trainer_get(&mut self, id: u64, answer: TrainerAnswer) {
        // The trainer has one request outstanding; answers to earlier ones are dropped.
        if id != self.trainer.request_id || self.trainer.stage == Stage::Done {
            return;
        }
        self.trainer.request_id += 1;
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
        self.schedule(self.now + TRAINER_POLL_INTERVAL, Event::TrainerAct);
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
        let received = !answer.groups.is_empty();
        for group in &answer.groups {
            self.check_group(group);
        }
        let complete = answer.complete;
        self.trainer.cursor = answer.cursor;
        if complete {
            self.check_step();
            self.trainer.stage = Stage::Publish { then_pull: false };
        } else if received && self.trainer.step == STEPS && !self.trainer.published_mid_step {
            // New weights in the middle of a step make its other samples stale.
            self.trainer.published_mid_step = true;
            self.trainer.stage = Stage::Publish { then_pull: true };
        }
    }

    fn check_group(&mut self, group: &GroupResult) {
        let version = self.trainer.cursor.weights_version;
        let expected_prompt = prompt(group.step, group.group);
        if group.step != self.trainer.step || group.samples.len() != SAMPLES as usize {
            self.report_violation("groups come whole", &format!("{group:?}"));
        }
        for sample in &group.samples {
            let slot = (group.step, group.group, sample.index);
            let count = self.trainer.stored.entry(slot).or_default();
            *count += 1;
            if *count > 1 {
                self.report_violation("each sample comes exactly once", &format!("{slot:?}"));
            }
            if !text::is_answer(&expected_prompt, &sample.text, sample.tokens) {
                self.report_violation(
                    "a sample answers its own prompt",
                    &format!("{slot:?}: {sample:?}"),
                );
            }
            let covered = sample.spans.iter().try_fold(0, |at, s| (s.start == at).then_some(s.end));
            if covered != Some(sample.tokens) {
                self.report_violation(
                    "a sample names all its versions",
                    &format!("{slot:?}: {sample:?}"),
                );
            }
            for span in &sample.spans {
                let produced = (span.start..span.end)
                    .all(|index| self.was_produced(&expected_prompt, index, span.version));
                if !produced {
                    self.report_violation(
                        "a sample names the versions that made it",
                        &format!("{slot:?}: {span:?}"),
                    );
                }
                if span.version + STALENESS_BOUND < version {
                    self.report_violation(
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
            self.report_violation("a step comes whole", &format!("step {step}: {missing} missing"));
        }
    }

    // Invariants.

    /// Checks that a leaving server gets no new work after `LEAVING_GRACE`.
    pub fn check_start(&mut self, host: usize, server: &str) {
        let Some(engine) = self.engines.iter().find(|engine| engine.name == server) else { return };
        let past_grace =
            engine.draining_since.is_some_and(|since| self.now > since + LEAVING_GRACE);
        if past_grace {
            let detail = format!("host {host} starts work on {server}");
            self.report_violation("a leaving server gets no new work", &detail);
        }
    }

    pub fn check(&mut self) {
        self.check_leases();
        self.check_callers();
        self.check_poison();
        self.check_floor();
    }

    /// Checks that a rollout takes no more servers out of service than the capacity floor allows.
    fn check_floor(&mut self) {
        let swapping = self.engines.iter().filter(|e| e.swapping && !e.swap_failed).count();
        let failed = self.engines.iter().filter(|e| e.swap_failed).count();
        let allowed = (ENGINES - ENGINES * CAPACITY_FLOOR_PERCENT / 100).max(failed);
        if swapping > allowed {
            self.report_violation(
                "the capacity floor holds",
                &format!("{swapping} engines change weights"),
            );
        }
    }

    /// Checks that each lease has at most one valid holder.
    fn check_leases(&mut self) {
        let holders = |steps: bool| {
            let may_act = |host: &&crate::host::Host| {
                let lease = if steps { &host.steps_lease } else { &host.rollout_lease };
                host.alive && lease.fence(self.now).is_some()
            };
            self.hosts.iter().filter(may_act).count()
        };
        if holders(true) > 1 || holders(false) > 1 {
            self.report_violation("one holder acts at a time", "two hosts may act on one role");
        }
    }

    /// Checks that every request gets a final answer within `CALLER_TIMEOUT`, except at paused
    /// hosts.
    fn check_callers(&mut self) {
        for (i, caller) in self.callers.iter().enumerate() {
            let host = &self.hosts[caller.host];
            let paused =
                !host.paused_until.is_zero() && self.now < host.paused_until + CALLER_TIMEOUT;
            let timed_out =
                caller.waiting_since.is_some_and(|since| self.now > since + CALLER_TIMEOUT);
            if timed_out && !caller.done && !paused {
                let detail = format!("caller {i} waits for host {}", caller.host);
                return self.report_violation("every request gets a final answer", &detail);
            }
        }
    }

    /// Checks the number of engine crashes per poison request: at most one for each start of a
    /// host, which may run it before it learns of earlier crashes, plus `DEATHS_ALONE` for runs
    /// alone on a server.
    fn check_poison(&mut self) {
        let bound = self.host_starts as u32 + MAX_ISOLATED_CRASHES as u32;
        if let Some((prompt, deaths)) =
            self.poison_crashes.iter().find(|(_, deaths)| **deaths > bound)
        {
            let detail = format!("{prompt}: {deaths} servers lost, bound {bound}");
            self.report_violation("a request that crashes servers is stopped", &detail);
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
        buckthornfall_core::table::value(&row).expect("the head row exists")
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
            self.report_violation("all work ends after the faults", &detail);
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
                self.report_violation("an accepted configuration stays", &format!("{committed:?}"));
            }
        }
        for hash in self.not_committed.clone() {
            if chain.iter().any(|(_, known)| *known == hash) {
                self.report_violation("a refused configuration is not in force", &hash);
            }
        }
        self.check_quarantine();
        self.check_store_crossings();
    }

    /// Checks that only requests that crash servers are quarantined.
    fn check_quarantine(&mut self) {
        let poison: Vec<_> = self
            .callers
            .iter()
            .filter_map(|caller| match &caller.payload {
                CallerRequest::Complete { prompt } if prompt.starts_with(POISON) => {
                    Some(buckthornfall_proto::digest::fingerprint(&[prompt.as_bytes()]))
                }
                _ => None,
            })
            .collect();
        let innocent = self
            .hosts
            .iter()
            .flat_map(|host| host.dispatcher.quarantine().quarantined())
            .find(|request_hash| !poison.contains(request_hash));
        if let Some(request_hash) = innocent {
            self.report_violation(
                "no innocent request is quarantined",
                &format!("{request_hash:016x}"),
            );
        }
    }

    /// Checks that each version is loaded from the store once, and again at most once per fault.
    fn check_store_crossings(&mut self) {
        let bound = 1 + self.fired as u32;
        if let Some((version, count)) = self.store_stages.iter().find(|(_, count)| **count > bound)
        {
            let detail = format!("version {version}: {count} times");
            self.report_violation("weights cross the region link once", &detail);
        }
    }
}
