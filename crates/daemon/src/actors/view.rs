//! What the actors share of the configuration and of the other daemons.

use std::{cell::Cell, rc::Rc};

use buckthornfall_core::{config::InForce, fleet::Place, membership::PeerView};
use buckthornfall_proto::{
    ids::{HostId, ServerId},
    messages::LeaseHint,
};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::clock::Clock;

/// Who this daemon is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Host, availability zone and region.
    pub place: Place,
    /// Grows at each start of the host.
    pub incarnation: u64,
    /// Time since the start.
    pub clock: Clock,
}

impl Identity {
    /// A name that no other start of any daemon has.
    pub fn unique(&self) -> String {
        format!("{}#{}", self.place.host, self.incarnation)
    }
}

/// The host part of a name made by `Identity::unique`.
pub fn host_of(holder: &str) -> &str {
    holder.split_once('#').map_or(holder, |(host, _)| host)
}

/// The configuration and the other daemons, as known at one time.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The manifest in force.
    pub in_force: Option<InForce>,
    /// All daemons, this one included.
    pub peers: Rc<Vec<PeerView>>,
    /// Hosts of the daemons that live and stay, in order.
    pub alive: Rc<Vec<HostId>>,
    /// Servers that are leaving.
    pub leaving_servers: Rc<FxHashSet<ServerId>>,
    /// Holders of the roles, as gossip says.
    pub holders: Rc<FxHashMap<String, LeaseHint>>,
}

impl View {
    /// Address for callers of a host.
    pub fn address(&self, host: &str) -> Option<String> {
        let peer = self.peers.iter().find(|peer| peer.host == host)?;
        Some(peer.address.clone())
    }
}

/// A number that two actors share.
pub type SharedCount = Rc<Cell<usize>>;
