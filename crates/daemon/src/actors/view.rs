//! The configuration and the state of the other daemons, as shared by the actors.

use std::{cell::Cell, rc::Rc};

use buckthornfall_core::{config::InForce, fleet::Place, membership::PeerView};
use buckthornfall_proto::{
    ids::{HostId, ServerId},
    messages::LeaseHint,
};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::clock::Clock;

/// Identity of this daemon.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Host, availability zone and region.
    pub place: Place,
    /// Increases at each start on the same host.
    pub incarnation: u64,
    /// Monotonic clock, counted from the start.
    pub clock: Clock,
}

impl Identity {
    /// Returns an id that is unique among all starts of all daemons.
    pub fn instance_id(&self) -> String {
        format!("{}#{}", self.place.host, self.incarnation)
    }
}

/// Returns the host in an id made by `Identity::instance_id`.
pub fn host_of(holder: &str) -> &str {
    holder.split_once('#').map_or(holder, |(host, _)| host)
}

/// Snapshot of the configuration and of the state of all daemons.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The active manifest.
    pub in_force: Option<InForce>,
    /// All daemons, this one included.
    pub peers: Rc<Vec<PeerView>>,
    /// Hosts of the daemons that are alive and not leaving, sorted.
    pub alive: Rc<Vec<HostId>>,
    /// Servers that are leaving.
    pub leaving_servers: Rc<FxHashSet<ServerId>>,
    /// Lease holders by role, as learned from gossip.
    pub holders: Rc<FxHashMap<String, LeaseHint>>,
}

impl View {
    /// Returns a host's address for requests of callers.
    pub fn address(&self, host: &str) -> Option<String> {
        let peer = self.peers.iter().find(|peer| peer.host == host)?;
        Some(peer.address.clone())
    }
}

/// A counter shared by two actors.
pub type SharedCount = Rc<Cell<usize>>;
