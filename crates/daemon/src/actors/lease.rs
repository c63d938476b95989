//! The lease of one role, with its requests as I/O jobs.

use buckthornfall_core::{
    fleet::Place,
    lease::{Lease, LeaseAction, LeaseTimes},
    membership::PeerView,
};
use buckthornfall_proto::{
    digest::{fingerprint, rendezvous_rank},
    messages::LeaseStatus,
};

use crate::io::Job;

use super::view::{Identity, View};

/// Maximum number of daemons that try to acquire a role's lease.
const MAX_CANDIDATES: usize = 3;

/// A role whose lease is held by one daemon at a time.
#[derive(Debug)]
pub struct Role {
    /// Name of the role.
    pub name: String,
    /// State of the lease as known to this daemon.
    pub lease: Lease,
}

/// An I/O job of a lease, with the attempt id if it is a transaction.
#[derive(Debug)]
pub struct LeaseJob {
    /// Attempt id; empty for a read.
    pub attempt: String,
    /// The job.
    pub job: Job,
}

impl Role {
    /// Creates a role whose lease this daemon does not hold yet.
    pub fn new(name: String, identity: &Identity) -> Role {
        let lease = Lease::new(&name, &identity.instance_id(), LeaseTimes::default());
        Role { name, lease }
    }

    /// Returns whether this daemon should try to acquire the lease; daemons in `region` are
    /// preferred.
    pub fn is_candidate(&self, view: &View, place: &Place, region: Option<&str>) -> bool {
        let key = fingerprint(&[self.name.as_bytes()]);
        let in_region = |peer: &&PeerView| region.is_none_or(|region| peer.region == region);
        let takes_callers = |peer: &&PeerView| peer.takes_callers();
        let mut ranked: Vec<_> =
            view.peers.iter().filter(takes_callers).filter(in_region).collect();
        if ranked.is_empty() {
            ranked = view.peers.iter().filter(takes_callers).collect();
        }
        ranked.sort_by_key(|peer| std::cmp::Reverse(rendezvous_rank(key, &peer.host)));
        ranked.iter().take(MAX_CANDIDATES).any(|peer| peer.host == place.host)
    }

    /// Converts the lease's actions into I/O jobs.
    pub fn jobs(&self, actions: Vec<LeaseAction>) -> Vec<LeaseJob> {
        let job = |action| match action {
            LeaseAction::Read => {
                LeaseJob { attempt: String::new(), job: Job::Read(self.lease.key().to_owned()) }
            }
            LeaseAction::Txn { attempt, txn } => LeaseJob { attempt, job: Job::Txn(txn) },
        };
        actions.into_iter().map(job).collect()
    }

    /// Returns the holder that was last read from the lease row.
    pub fn status(&self) -> Option<LeaseStatus> {
        let (holder, fence) = self.lease.last_holder()?;
        Some(LeaseStatus { role: self.name.clone(), holder: holder.to_owned(), fence })
    }
}
