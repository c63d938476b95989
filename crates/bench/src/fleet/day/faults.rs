//! What goes wrong.

use std::time::Duration;

use buckthornfall_core::{job::RunEnd, Now};
use rand::seq::SliceRandom;

use super::{
    super::experiment::{Fault, FaultKind},
    Day, Event, Host, SERVER_CALL, TAKE_OVER,
};

impl Day<'_> {
    pub(super) fn begin_fault(&mut self, fault: &Fault) {
        let until = self.now + Duration::from_millis(fault.for_ms);
        match fault.kind {
            FaultKind::StoreAway => self.store.away_until = until,
            FaultKind::ServersSlow => {
                for server in self.some(fault.share, self.servers.len()) {
                    self.servers[server].slow_until = (until, fault.slower);
                }
            }
            FaultKind::ServersFail => {
                for server in self.some(fault.share, self.servers.len()) {
                    self.servers[server].fails_until = until;
                }
            }
            FaultKind::ServersCrash => {
                for server in self.some(fault.share, self.servers.len()) {
                    self.crash(server, until);
                }
            }
            FaultKind::DaemonsKilled => {
                for host in self.some(fault.share, self.hosts.len()) {
                    self.kill(host, Duration::from_millis(fault.for_ms));
                }
            }
            FaultKind::HolderKilled => {
                let now = self.now;
                let holder = self.hosts.iter().position(|h| h.duty.lease.fence(now).is_some());
                if let Some(host) = holder {
                    self.kill(host, Duration::from_millis(fault.for_ms));
                }
            }
        }
    }

    /// A share of `count`, at least one, by chance.
    fn some(&mut self, share: f64, count: usize) -> Vec<usize> {
        let mut all: Vec<_> = (0..count).collect();
        all.shuffle(&mut self.rng);
        all.truncate(((count as f64 * share).round() as usize).max(1));
        all
    }

    fn crash(&mut self, server: usize, until: Now) {
        let target = &mut self.servers[server];
        target.down_until = until;
        target.loads = None;
        let runs: Vec<_> = std::mem::take(&mut target.running).into_keys().collect();
        for (host, run) in runs {
            let life = self.hosts[host].life;
            self.push(SERVER_CALL, Event::RunEnd { host, life, run, end: RunEnd::Broken });
        }
    }

    fn kill(&mut self, host: usize, down: Duration) {
        let life = self.hosts[host].life;
        self.hosts[host] = Host { up: false, ..Day::start_host(host, life + 1) };
        for server in &mut self.servers {
            server.running.retain(|(of, _), _| *of != host);
        }
        self.push(down, Event::Restart { host, life: life + 1 });
        self.push(TAKE_OVER, Event::TakeOver { host, life });
    }
}
