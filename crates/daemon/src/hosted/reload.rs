//! Reloading of the settings file, on SIGHUP or when polling finds a change.

use std::{rc::Rc, time::Duration};

use buckthornfall_platform::settings::{self, NodeSettings};
use log::{info, warn};
use tokio::{signal::unix::Signal, sync::Mutex, time::sleep};

use super::node::Node;

/// Interval at which the file is read without a signal.
pub const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Starts to apply changes of the settings file; `changed` tells of them.
pub fn start(node: &Rc<Node>, changed: Signal) {
    let changed = Rc::new(Mutex::new(changed));
    node.keep_running("settings", move |node| watch(node, Rc::clone(&changed)));
}

async fn watch(node: Rc<Node>, changed: Rc<Mutex<Signal>>) {
    let mut changed = changed.lock().await;
    let mut last_error = None;
    loop {
        let signalled = tokio::select! {
            _ = changed.recv() => true,
            () = sleep(POLL_INTERVAL) => false,
        };
        match settings::load() {
            Ok(next) => {
                last_error = None;
                apply(&node, next, signalled);
            }
            // Settings from another source than a file have nothing to reload.
            Err(buckthornfall_platform::Error::NoFile { .. }) => {}
            Err(e) => {
                let error = e.to_string();
                if last_error.as_ref() != Some(&error) {
                    warn!(error; "settings_unreadable");
                }
                last_error = Some(error);
            }
        }
    }
}

/// Applies new settings. Those that a running daemon cannot change keep their values.
fn apply(node: &Node, next: NodeSettings, signalled: bool) {
    let current = node.settings();
    let (in_force, deferred) = merge(&current, next);
    let changed = in_force != *current;
    if changed {
        node.store.set_address(in_force.store);
        node.set_settings(in_force);
    }
    if changed || signalled {
        info!(changed, left_for_next_start:? = deferred; "settings_reloaded");
    }
}

/// Returns the settings in force after a change, and the names of the changed settings that take
/// effect at the next start.
fn merge(current: &NodeSettings, next: NodeSettings) -> (NodeSettings, Vec<&'static str>) {
    let in_force = NodeSettings {
        seeds: next.seeds.clone(),
        store: next.store,
        row_bytes: next.row_bytes,
        grace: next.grace,
        lease: next.lease,
        servers_check_fences: next.servers_check_fences,
        result_retention: next.result_retention,
        revocation: next.revocation,
        duties: next.duties.clone(),
        entry_ttl_max: next.entry_ttl_max,
        ..current.clone()
    };
    let fixed = [
        ("host", current.host != next.host),
        ("zone", current.zone != next.zone),
        ("regions", current.regions != next.regions),
        ("front", current.front != next.front),
        ("ready", current.ready != next.ready),
        ("directory", current.directory != next.directory),
        ("peers", current.peers != next.peers),
        ("metrics", current.metrics != next.metrics),
        ("memory_bytes", current.memory_bytes != next.memory_bytes),
    ];
    let deferred = fixed.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name);
    (in_force, deferred.collect())
}
