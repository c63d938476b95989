//! Follows the settings file, which may change with a signal or without one.

use std::{rc::Rc, time::Duration};

use buckthornfall_platform::settings::{self, NodeSettings};
use log::{info, warn};
use tokio::{signal::unix::Signal, time::sleep};

use super::node::Node;

/// Time between two looks at the file without a signal.
const INTERVAL: Duration = Duration::from_secs(2);

/// Takes over what changes, until the daemon ends.
pub async fn watch(node: Rc<Node>, mut changed: Signal) {
    let mut last_error = None;
    loop {
        let signalled = tokio::select! {
            _ = changed.recv() => true,
            () = sleep(INTERVAL) => false,
        };
        match settings::load() {
            Ok(next) => {
                last_error = None;
                apply(&node, next, signalled);
            }
            // Settings that were not read from a file have none to follow.
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

/// Puts settings in force; those that a running daemon cannot change keep their values.
fn apply(node: &Node, next: NodeSettings, signalled: bool) {
    let current = node.settings();
    let (in_force, left) = merged(&current, next);
    let changed = in_force != *current;
    if changed {
        node.store.set_address(in_force.store);
        node.set_settings(in_force);
    }
    if changed || signalled {
        info!(changed, left_for_next_start:? = left; "settings_reloaded");
    }
}

/// The settings in force after a change, and the names of those that wait for the next start.
fn merged(current: &NodeSettings, next: NodeSettings) -> (NodeSettings, Vec<&'static str>) {
    let in_force = NodeSettings {
        seeds: next.seeds.clone(),
        store: next.store,
        row_bytes: next.row_bytes,
        grace: next.grace,
        lease: next.lease,
        servers_check_fences: next.servers_check_fences,
        result_retention: next.result_retention,
        entry_ttl_max: next.entry_ttl_max,
        ..current.clone()
    };
    let waits = [
        ("host", current.host != next.host),
        ("zone", current.zone != next.zone),
        ("regions", current.regions != next.regions),
        ("front", current.front != next.front),
        ("ready", current.ready != next.ready),
        ("directory", current.directory != next.directory),
        ("peers", current.peers != next.peers),
        ("metrics", current.metrics != next.metrics),
    ];
    let left = waits.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name);
    (in_force, left.collect())
}
