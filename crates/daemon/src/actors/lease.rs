//! One lease with the jobs that it asks for.

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

/// Daemons that try to hold a role.
const CANDIDATES: usize = 3;

/// A role that one of a few daemons holds.
#[derive(Debug)]
pub struct Role {
    /// Name of the role.
    pub name: String,
    /// This daemon's view of the lease.
    pub lease: Lease,
}

/// A job of a lease, with the attempt id of a transaction.
#[derive(Debug)]
pub struct LeaseJob {
    /// Id of the attempt; empty for a read.
    pub attempt: String,
    /// The job.
    pub job: Job,
}

impl Role {
    /// A role that this daemon does not hold yet.
    pub fn new(name: String, identity: &Identity) -> Role {
        let lease = Lease::new(&name, &identity.unique(), LeaseTimes::default());
        Role { name, lease }
    }

    /// Whether this daemon should try to hold the role; daemons of `region` are preferred.
    pub fn is_candidate(&self, view: &View, place: &Place, region: Option<&str>) -> bool {
        let key = fingerprint(&[self.name.as_bytes()]);
        let near = |peer: &&PeerView| region.is_none_or(|region| peer.region == region);
        let able = |peer: &&PeerView| peer.takes_callers();
        let mut ranked: Vec<_> = view.peers.iter().filter(able).filter(near).collect();
        if ranked.is_empty() {
            ranked = view.peers.iter().filter(able).collect();
        }
        ranked.sort_by_key(|peer| std::cmp::Reverse(rendezvous_rank(key, &peer.host)));
        ranked.iter().take(CANDIDATES).any(|peer| peer.host == place.host)
    }

    /// Turns what the lease asks for into jobs.
    pub fn jobs(&self, actions: Vec<LeaseAction>) -> Vec<LeaseJob> {
        let job = |action| match action {
            LeaseAction::Read => {
                LeaseJob { attempt: String::new(), job: Job::Read(self.lease.key().to_owned()) }
            }
            LeaseAction::Txn { attempt, txn } => LeaseJob { attempt, job: Job::Txn(txn) },
        };
        actions.into_iter().map(job).collect()
    }

    /// The holder that the row showed last.
    pub fn status(&self) -> Option<LeaseStatus> {
        let (holder, fence) = self.lease.last_holder()?;
        Some(LeaseStatus { role: self.name.clone(), holder: holder.to_owned(), fence })
    }
}
