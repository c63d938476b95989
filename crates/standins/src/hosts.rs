//! The platform's host list, which lags behind.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use buckthornfall_proto::messages::{HostListAnswer, HostState};

use crate::server::{Call, Handler, Result, Server};

/// The host list.
#[derive(Debug)]
pub struct HostList {
    lag: Duration,
    /// Lists with the time of their change, oldest first.
    changes: Mutex<Vec<(Instant, HostListAnswer)>>,
}

const THREADS: usize = 4;

impl HostList {
    /// A list that shows each change after `lag`; the first list shows at once.
    pub fn new(lag: Duration, first: HostListAnswer) -> Arc<HostList> {
        let shown = Instant::now().checked_sub(lag).unwrap_or_else(Instant::now);
        Arc::new(HostList { lag, changes: Mutex::new(vec![(shown, first)]) })
    }

    /// Serves the list on `listen`.
    pub fn serve(self: &Arc<HostList>, listen: &str) -> Result<Server> {
        Server::start(listen, THREADS, Arc::clone(self))
    }

    /// Changes the list.
    pub fn change(&self, change: impl FnOnce(&mut HostListAnswer)) {
        let mut changes = self.changes.lock().expect("no holder panics");
        let mut list = changes.last().expect("there is a first list").1.clone();
        change(&mut list);
        changes.push((Instant::now(), list));
    }

    /// Marks a host as leaving.
    pub fn leave(&self, host: &str) {
        self.change(|list| {
            for listed in list.hosts.iter_mut().filter(|listed| listed.host == host) {
                listed.state = HostState::Leaving;
            }
        });
    }

    fn shown(&self) -> HostListAnswer {
        let changes = self.changes.lock().expect("no holder panics");
        let old = changes.iter().rev().find(|(at, _)| at.elapsed() >= self.lag);
        old.unwrap_or(&changes[0]).1.clone()
    }
}

impl Handler for HostList {
    fn handle(&self, call: Call) {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/v1/hosts") => call.reply(&self.shown()),
            ("PUT", "/v1/hosts") => {
                let Some((call, list)) = call.json::<HostListAnswer>() else { return };
                self.change(|current| *current = list);
                call.text(200, "");
            }
            _ => call.text(404, "no such path"),
        }
    }
}
