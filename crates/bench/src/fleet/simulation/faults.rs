//! Injection of faults.

use std::time::Duration;

use buckthornfall_core::{job::RunEnd, Now};
use rand::seq::SliceRandom;

use super::{
    super::experiment::{Fault, FaultKind},
    Event, Host, Simulation, SERVER_LATENCY, TAKEOVER_DELAY,
};

impl Simulation<'_> {
    pub(super) fn start_fault(&mut self, fault: &Fault) {
        let until = self.now + Duration::from_millis(fault.for_ms);
        match fault.kind {
            FaultKind::StoreAway => self.store.unavailable_until = until,
            FaultKind::ServersSlow => {
                for server in self.choose(fault.share, self.servers.len()) {
                    self.servers[server].slow_fault = (until, fault.slower);
                }
            }
            FaultKind::ServersFail => {
                for server in self.choose(fault.share, self.servers.len()) {
                    self.servers[server].failing_until = until;
                }
            }
            FaultKind::ServersLimited => {
                let now = self.now;
                for server in self.choose(fault.share, self.servers.len()) {
                    self.servers[server].limit.start(now, until, fault.rate);
                }
            }
            FaultKind::ServersCrash => {
                for server in self.choose(fault.share, self.servers.len()) {
                    self.crash_server(server, until);
                }
            }
            FaultKind::DaemonsKilled => {
                for host in self.choose(fault.share, self.hosts.len()) {
                    self.kill_daemon(host, Duration::from_millis(fault.for_ms));
                }
            }
            FaultKind::HolderKilled => {
                let now = self.now;
                let holder =
                    self.hosts.iter().position(|h| h.controller.lease.fence(now).is_some());
                if let Some(host) = holder {
                    self.kill_daemon(host, Duration::from_millis(fault.for_ms));
                }
            }
            FaultKind::DaemonsCutOff => {}
        }
    }

    /// Returns a random share of the indices below `count`, at least one index.
    fn choose(&mut self, share: f64, count: usize) -> Vec<usize> {
        let mut indices: Vec<_> = (0..count).collect();
        indices.shuffle(&mut self.rng);
        indices.truncate(((count as f64 * share).round() as usize).max(1));
        indices
    }

    fn crash_server(&mut self, server: usize, until: Now) {
        let target = &mut self.servers[server];
        target.down_until = until;
        target.load = None;
        let runs: Vec<_> = std::mem::take(&mut target.running).into_keys().collect();
        for (host, run) in runs {
            let incarnation = self.hosts[host].incarnation;
            self.schedule(
                SERVER_LATENCY,
                Event::RunEnd { host, incarnation, run, end: RunEnd::Broken },
            );
        }
    }

    fn kill_daemon(&mut self, host: usize, down: Duration) {
        let incarnation = self.hosts[host].incarnation;
        self.hosts[host] = Host { up: false, ..Simulation::new_host(host, incarnation + 1) };
        for server in &mut self.servers {
            server.running.retain(|(sender, _), _| *sender != host);
        }
        self.schedule(down, Event::Restart { host, incarnation: incarnation + 1 });
        self.schedule(TAKEOVER_DELAY, Event::TakeOver { host, incarnation });
    }
}
