//! Simulated host: the state machines of a daemon without threads or sockets.

use std::collections::{BTreeMap, BTreeSet};

use buckthornfall_core::{
    admission::Admission,
    claim::Claims,
    commit::Commit,
    config::Config,
    dispatch::{Dispatcher, Work},
    drain::Drain,
    fleet::Place,
    lease::{Lease, LeaseTimes},
    membership::Membership,
    order::LongestFirst,
    pick::LocalityPick,
    publish::Publish,
    rollout::Rollout,
    step::StepCoordinator,
    Now,
};
use buckthornfall_proto::{
    ids::Fence,
    manifest::Manifest,
    messages::{HostState, ListedHost},
    track::Track,
};
use std::time::Duration;

use crate::{clients::TRAINER, world::HostEvent};

/// Request of a caller at a host.
#[derive(Debug)]
pub struct ActiveRequest {
    pub caller: usize,
    pub try_number: u32,
    pub at_most_once: bool,
    pub claimed_work: Option<Work>,
}

pub struct Host {
    pub index: usize,
    /// Number of this start of the host process.
    pub epoch: u64,
    pub alive: bool,
    pub paused_until: Now,
    /// Events that arrived while the host was paused.
    pub deferred: Vec<HostEvent>,
    pub config: Config,
    pub commits: BTreeMap<u64, Commit>,
    pub publications: BTreeMap<u64, (Publish, u64)>,
    pub membership: Membership,
    pub steps_lease: Lease,
    pub coordinator: Option<StepCoordinator<LongestFirst>>,
    pub coordinating: Option<Fence>,
    pub rollout_lease: Lease,
    pub rollout: Rollout,
    pub dispatcher: Dispatcher<LocalityPick>,
    pub claims: Claims,
    pub admission: Admission,
    pub requests: BTreeMap<u64, ActiveRequest>,
    pub drain: Drain,
    pub next_request: u64,
    pub next_op: u64,
    pub pending_ops: BTreeSet<u64>,
    pub next_poll: Now,
    pub next_weights: Now,
    pub next_host_list: Now,
    /// Highest revision in force since this start of the host.
    pub highest_revision: u64,
}

pub const ENTRY_VALID: Duration = Duration::from_secs(2);

pub fn name(index: usize) -> String {
    format!("host-{index}")
}

pub fn region(index: usize) -> &'static str {
    if index == 2 {
        "b"
    } else {
        "a"
    }
}

pub fn listed_host(index: usize) -> ListedHost {
    ListedHost {
        host: name(index),
        zone: format!("{}-zone", region(index)),
        region: region(index).to_owned(),
        address: name(index),
        peer_address: name(index),
        state: HostState::Live,
    }
}

impl Host {
    pub fn new(index: usize, epoch: u64) -> Host {
        let host = name(index);
        let instance_id = format!("{host}#{epoch}");
        let place =
            Place { host, zone: format!("{}-zone", region(index)), region: region(index).into() };
        let seed = index as u64 * 1000 + epoch;
        Host {
            index,
            epoch,
            alive: true,
            paused_until: Now::ZERO,
            deferred: Vec::new(),
            config: Config::new(Duration::from_millis(index as u64 * 300)),
            commits: BTreeMap::new(),
            publications: BTreeMap::new(),
            membership: Membership::new(listed_host(index), epoch, seed),
            steps_lease: Lease::new("steps/trainer", &instance_id, LeaseTimes::default()),
            coordinator: None,
            coordinating: None,
            rollout_lease: Lease::new("rollout/model", &instance_id, LeaseTimes::default()),
            rollout: Rollout::new(Track::new("model", None), "a"),
            dispatcher: Dispatcher::new(place, epoch, LocalityPick),
            claims: Claims::new(&instance_id),
            admission: Admission::default(),
            requests: BTreeMap::new(),
            drain: Drain::new(ENTRY_VALID, Duration::from_secs(120)),
            next_request: 0,
            next_op: 0,
            pending_ops: BTreeSet::new(),
            next_poll: Now::ZERO,
            next_weights: Now::ZERO,
            next_host_list: Now::ZERO,
            highest_revision: 0,
        }
    }

    pub fn instance_id(&self) -> String {
        format!("{}#{}", name(self.index), self.epoch)
    }

    /// Applies a manifest to all state machines.
    pub fn configure(&mut self, now: Now, manifest: &Manifest) {
        self.rollout.configure(manifest);
        self.admission.configure(now, &manifest.callers);
        let Some(trainer) = manifest.trainers.iter().find(|t| t.name == TRAINER) else { return };
        match &mut self.coordinator {
            Some(coordinator) => coordinator.configure(trainer.clone(), &manifest.objective),
            None => {
                self.coordinator = Some(StepCoordinator::new(
                    trainer.clone(),
                    &manifest.objective,
                    LongestFirst,
                    &self.instance_id(),
                    1,
                ));
            }
        }
    }
}
