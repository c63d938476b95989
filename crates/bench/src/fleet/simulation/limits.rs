//! Servers that state a request limit, and the permits of runs on them. Orders need no permits here.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_core::{
    job::RunEnd,
    permits::{Issue, Issuer, PermitClass, Ticket, Verdict},
    rate_limit::{Limit, StatedRate},
    Now,
};

use super::{
    super::{experiment::LimitPolicy, servers::RunningRequest},
    Event, Simulation, SERVER_LATENCY, START,
};

/// Maximum wait of a run for a permit.
const PATIENCE: Duration = Duration::from_millis(500);
/// Window in which the requests to a limited server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the start of a limit from which they are counted.
const NOTICE_TIME: Duration = Duration::from_secs(4);

/// A run that is about to be sent to its server.
pub struct StartingRun {
    pub host: usize,
    pub incarnation: u64,
    pub run: u64,
    pub server: usize,
    pub running: RunningRequest,
}

/// Permits of all limited servers.
#[derive(Default)]
pub struct Permits {
    /// One issuer for all daemons, or one for each.
    issuers: BTreeMap<usize, Issuer>,
    waiting: BTreeMap<(usize, Ticket), StartingRun>,
}

/// Limit of a server and the requests since it began.
#[derive(Debug, Default)]
pub struct ServerLimit {
    rate: Option<f64>,
    since: Now,
    until: Now,
    arrivals: Vec<Now>,
}

impl ServerLimit {
    pub fn start(&mut self, now: Now, until: Now, rate: f64) {
        *self = ServerLimit { rate: Some(rate), since: now, until, arrivals: Vec::new() };
    }

    fn rate(&self, now: Now) -> Option<f64> {
        self.rate.filter(|_| now < self.until)
    }

    pub fn stated(&self, now: Now) -> StatedRate {
        self.rate(now).map_or(StatedRate::Unlimited, StatedRate::PerSecond)
    }

    pub fn on_arrival(&mut self, now: Now) {
        if self.rate(now).is_some() {
            self.arrivals.push(now);
        }
    }

    /// Returns the most requests in a window and the number that the limit allows, if that is less.
    pub fn excess(&self) -> Option<(usize, usize)> {
        let allowed = (1.5 * self.rate? * WINDOW.as_secs_f64() + 5.0) as usize;
        let starts = self.arrivals.iter().filter(|at| **at >= self.since + NOTICE_TIME);
        let in_window = |start: &Now| {
            self.arrivals.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
        };
        let most = starts.map(in_window).max()?;
        (most > allowed).then_some((most, allowed))
    }
}

impl Simulation<'_> {
    /// Sends a run to its server once the limit that its daemon knows admits it.
    pub(super) fn admit_run(&mut self, starting: StartingRun) {
        let id = &self.servers[starting.server].id;
        let limit = self.hosts[starting.host].backends.limit(id).copied();
        let issuer = match self.cfg.limits {
            LimitPolicy::Shared => 0,
            LimitPolicy::Separate => starting.host,
            LimitPolicy::Ignored => return self.start_run(starting),
        };
        let Some(rate) = limit.and_then(|limit| limit.rate) else {
            return self.start_run(starting);
        };
        let class = PermitClass::job(0);
        let issuers = &mut self.permits.issuers;
        let issue = issuers.entry(issuer).or_default().request(self.now, id, rate, class, PATIENCE);
        match issue {
            Issue::Decided(verdict) => self.on_verdict(starting, verdict),
            Issue::Waiting(ticket) => {
                self.permits.waiting.insert((issuer, ticket), starting);
                self.schedule_poll(issuer);
            }
        }
    }

    pub(super) fn poll_permits(&mut self, issuer: usize) {
        let mut verdicts = Vec::new();
        if let Some(state) = self.permits.issuers.get_mut(&issuer) {
            state.poll(self.now, &mut verdicts);
        }
        for (ticket, verdict) in verdicts {
            if let Some(starting) = self.permits.waiting.remove(&(issuer, ticket)) {
                self.on_verdict(starting, verdict);
            }
        }
        self.schedule_poll(issuer);
    }

    fn schedule_poll(&mut self, issuer: usize) {
        let due = self.permits.issuers.get(&issuer).and_then(|state| state.next_due(self.now));
        if let Some(due) = due {
            self.schedule(due.saturating_sub(self.now), Event::Permits { issuer });
        }
    }

    fn on_verdict(&mut self, starting: StartingRun, verdict: Verdict) {
        let StartingRun { host, incarnation, run, server, .. } = starting;
        if !self.is_current(host, incarnation) {
            return;
        }
        let id = &self.servers[server].id;
        let class = PermitClass::job(0);
        self.hosts[host].backends.on_permit_wait(self.now, id, class, verdict.next);
        if verdict.granted {
            return self.start_run(starting);
        }
        let end = RunEnd::Denied;
        self.schedule(SERVER_LATENCY, Event::RunEnd { host, incarnation, run, end });
    }

    /// Records the rate that a server states in a response. All daemons learn of a change at once.
    pub(super) fn on_stated_rate(&mut self, host: usize, server: usize) {
        let stated = self.servers[server].limit.stated(self.now);
        let id = self.servers[server].id.clone();
        let limits = &mut self.hosts[host].backends.rate_limits;
        if limits.on_response(self.now, self.now, &id, 1, stated).is_none() {
            return;
        }
        let Some(limit): Option<Limit> = limits.get(&id).copied() else { return };
        for host in &mut self.hosts {
            host.backends.rate_limits.learn(&id, limit);
        }
    }

    /// Returns the servers that got more requests than their limits allow.
    pub(super) fn limit_violations(&self) -> Vec<String> {
        let excess = self.servers.iter().filter_map(|server| {
            let (most, allowed) = server.limit.excess()?;
            let since = (server.limit.since - START).as_secs_f64();
            Some(format!(
                "{} got {most} requests in 4 s, {allowed} allowed by its limit since {since:.1} s",
                server.id
            ))
        });
        excess.collect()
    }
}
