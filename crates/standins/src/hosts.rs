//! Host list of the platform, which shows changes after a delay.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use buckthornfall_proto::messages::{HostListAnswer, HostState};

use crate::server::{Call, Handler, Result, Server};

/// Host list.
#[derive(Debug)]
pub struct HostList {
    lag: Duration,
    /// Versions of the list with the time of their change, oldest first.
    changes: Mutex<Vec<(Instant, HostListAnswer)>>,
}

const THREADS: usize = 4;

impl HostList {
    /// Creates a list whose changes become visible after `lag`; `initial` is visible immediately.
    pub fn new(lag: Duration, initial: HostListAnswer) -> Arc<HostList> {
        let visible_since = Instant::now().checked_sub(lag).unwrap_or_else(Instant::now);
        Arc::new(HostList { lag, changes: Mutex::new(vec![(visible_since, initial)]) })
    }

    /// Starts serving the list on `listen`.
    pub fn serve(self: &Arc<HostList>, listen: &str) -> Result<Server> {
        Server::start(listen, THREADS, Arc::clone(self))
    }

    /// Updates the list.
    pub fn update(&self, update: impl FnOnce(&mut HostListAnswer)) {
        let mut changes = self.changes.lock().expect("lock poisoned");
        let mut list = changes.last().expect("there is an initial list").1.clone();
        update(&mut list);
        changes.push((Instant::now(), list));
    }

    /// Marks a host as leaving.
    pub fn mark_leaving(&self, host: &str) {
        self.update(|list| {
            for listed in list.hosts.iter_mut().filter(|listed| listed.host == host) {
                listed.state = HostState::Leaving;
            }
        });
    }

    fn visible(&self) -> HostListAnswer {
        let changes = self.changes.lock().expect("lock poisoned");
        let visible = changes.iter().rev().find(|(at, _)| at.elapsed() >= self.lag);
        visible.unwrap_or(&changes[0]).1.clone()
    }
}

impl Handler for HostList {
    fn handle(&self, call: Call) {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/v1/hosts") => call.reply(&self.visible()),
            ("PUT", "/v1/hosts") => {
                let Some((call, list)) = call.json::<HostListAnswer>() else { return };
                self.update(|current| *current = list);
                call.text(200, "");
            }
            _ => call.text(404, "no such path"),
        }
    }
}
