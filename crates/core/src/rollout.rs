//! Rollout of new weights of one track over the servers of a region: stage, then activate in
//! waves.
//!
//! Orders are absolute ("run version 41"), carry the fencing token of the lease and are
//! reconciled with the reports of the servers.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_proto::{
    ids::{Fence, ServerId, WeightVersion},
    manifest::{Manifest, Server},
    messages::{EngineOrder, EngineState, OrderAction, TrackState},
    track::Track,
};

use rustc_hash::FxHashMap;

use crate::Now;

/// Action requested by a [`Rollout`].
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutAction {
    /// Send an order to a server.
    Order {
        /// The server.
        server: ServerId,
        /// Its address and port.
        address: String,
        /// The order.
        order: EngineOrder,
    },
    /// All servers of the track run this version.
    Complete {
        /// The version.
        version: WeightVersion,
        /// Time since this daemon learned of the version.
        took: Duration,
    },
}

/// Source name that denotes the platform's weight store.
pub const STORE: &str = "store";
/// Time after sending within which an order may still take effect.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before an order without visible effect is sent again.
const ORDER_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Timeout of loading weights.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);
/// Timeout of a swap; a swap that exceeds it has failed partway and is ordered again.
const SWAP_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after which an activation without visible effect can no longer take effect.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum age of a usable report.
const REPORT_TTL: Duration = Duration::from_secs(5);
/// Poll interval of a server with a pending order.
const PENDING_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Poll interval of a server without an order during a rollout.
const ROLLOUT_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Poll interval of a server while no rollout is in progress.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(4);
/// Time that activation waits for servers that do not have the weights yet.
const STAGE_TIMEOUT: Duration = Duration::from_secs(120);
/// Maximum number of servers that load from one server at the same time.
const COPIES_PER_SOURCE: usize = 4;

#[derive(Debug, Clone)]
struct Target {
    info: Server,
    report: Option<(Now, TrackState)>,
    /// Order whose effect no report has shown yet; cleared after a timeout.
    pending: Option<PendingOrder>,
    /// Activation that no report has shown yet. It may take effect late, so the server counts as
    /// out of service.
    pending_activation: Option<PendingOrder>,
    /// Time of the next poll of the server.
    next_poll: Now,
}

#[derive(Debug, Clone)]
struct PendingOrder {
    at: Now,
    action: OrderAction,
    version: WeightVersion,
    source: String,
}

/// Rollout of one track in one region, run by the holder of its lease.
#[derive(Debug)]
pub struct Rollout {
    track: Track,
    region: String,
    floor_percent: u32,
    targets: BTreeMap<ServerId, Target>,
    /// Highest published version.
    wanted: WeightVersion,
    wanted_since: Now,
    /// When a server first reported the wanted version as staged or active.
    first_holder_since: Option<Now>,
    completed: WeightVersion,
    fence: Fence,
    /// Time before which no order is sent, so that those of the previous holder have expired.
    no_orders_before: Now,
}

impl Rollout {
    /// Creates the rollout of a track in a region, without servers.
    pub fn new(track: Track, region: &str) -> Rollout {
        Rollout {
            track,
            region: region.to_owned(),
            floor_percent: 0,
            targets: BTreeMap::new(),
            wanted: 0,
            wanted_since: Now::ZERO,
            first_holder_since: None,
            completed: 0,
            fence: 0,
            no_orders_before: Now::ZERO,
        }
    }

    /// Updates the model's servers from a manifest.
    pub fn configure(&mut self, manifest: &Manifest) {
        let Some(model) = manifest.models.iter().find(|m| m.name == self.track.model) else {
            self.targets.clear();
            return;
        };
        self.floor_percent = model.capacity_floor_percent;
        let mut old = std::mem::take(&mut self.targets);
        let region = manifest.regions.iter().find(|region| region.name == self.region);
        let zones = region.map_or(&[][..], |region| &region.zones);
        for info in model.servers.iter().filter(|info| zones.contains(&info.zone)) {
            let known = old.remove(&info.name).filter(|t| t.info.address == info.address);
            let known = known.unwrap_or_else(|| Target::new(info.clone()));
            let target = Target { info: info.clone(), ..known };
            self.targets.insert(info.name.clone(), target);
        }
    }

    /// Returns the servers of the track.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.targets.values().map(|target| &target.info)
    }

    /// Returns whether some server is not yet known to run the wanted version.
    pub fn is_in_progress(&self) -> bool {
        self.completed < self.wanted
    }

    /// Handles an order that a server refused or that could not be delivered: shortens the retry
    /// delay.
    pub fn on_order_failed(&mut self, now: Now, server: &str) {
        if let Some(pending) = self.targets.get_mut(server).and_then(|t| t.pending.as_mut()) {
            pending.at = pending.at.min(now.saturating_sub(ORDER_RETRY_DELAY / 2));
        }
    }

    /// Returns the servers whose poll is due; polls are frequent while orders are pending.
    pub fn due_polls(&mut self, now: Now) -> Vec<Server> {
        let in_progress = self.is_in_progress();
        let mut due = Vec::new();
        for target in self.targets.values_mut().filter(|target| now >= target.next_poll) {
            let interval = match (&target.pending, in_progress) {
                (Some(_), _) => PENDING_POLL_INTERVAL,
                (None, true) => ROLLOUT_POLL_INTERVAL,
                (None, false) => IDLE_POLL_INTERVAL,
            };
            target.next_poll = now + interval;
            due.push(target.info.clone());
        }
        due
    }

    /// Returns the version that the servers are to run.
    pub fn wanted(&self) -> WeightVersion {
        self.wanted
    }

    /// Handles a published version; ignores it unless it is newer than the wanted one.
    pub fn on_published(&mut self, now: Now, version: WeightVersion) {
        if version > self.wanted {
            self.wanted = version;
            self.wanted_since = now;
            self.first_holder_since = None;
            for target in self.targets.values_mut() {
                target.next_poll = now;
            }
        }
    }

    /// Handles a server's report.
    pub fn on_report(&mut self, now: Now, server: &str, state: &EngineState) {
        let Some(target) = self.targets.get_mut(server) else { return };
        let state = state.track(&self.track.adapter).cloned().unwrap_or_else(|| TrackState {
            adapter: self.track.adapter.clone(),
            active: 0,
            staged: 0,
            loading: 0,
            swapping: false,
            fence: 0,
        });
        let done = target.pending.as_ref().is_some_and(|pending| pending.is_reflected_in(&state));
        if done {
            target.pending = None;
        }
        if target
            .pending_activation
            .as_ref()
            .is_some_and(|pending_activation| pending_activation.is_reflected_in(&state))
        {
            target.pending_activation = None;
        }
        target.report = Some((now, state));
    }

    /// Sends due orders. `fence` is the fencing token, or `None` if the lease ends before an order
    /// sent now would time out (`ORDER_TIMEOUT`).
    pub fn tick(&mut self, now: Now, fence: Option<Fence>, out: &mut Vec<RolloutAction>) {
        let Some(fence) = fence else { return };
        self.on_new_fence(now, fence);
        if now < self.no_orders_before || self.wanted == 0 {
            return;
        }
        self.expire_orders(now);
        self.stage(now, out);
        self.activate(now, out);
        self.complete(now, out);
    }

    /// After a change of the lease holder, waits until no order of the previous holder can still
    /// take effect, and discards earlier reports. Servers that check the fencing token need no
    /// wait.
    fn on_new_fence(&mut self, now: Now, fence: Fence) {
        if fence == self.fence {
            return;
        }
        self.fence = fence;
        let unchecked = self.targets.values().any(|target| !target.info.checks_fence);
        if unchecked {
            self.no_orders_before = now + ORDER_TIMEOUT;
        }
        for target in self.targets.values_mut() {
            target.report = None;
            target.pending = None;
        }
    }

    fn expire_orders(&mut self, now: Now) {
        for target in self.targets.values_mut() {
            let timed_out = target.pending.as_ref().is_some_and(|pending| {
                let state = target.report.as_ref().map(|(_, state)| state);
                let loading = state.is_some_and(|state| state.loading == pending.version);
                let swapping = state.is_some_and(|state| state.swapping);
                let timeout = match pending.action {
                    OrderAction::Stage if loading => LOAD_TIMEOUT,
                    OrderAction::Activate if swapping => SWAP_TIMEOUT,
                    _ => ORDER_RETRY_DELAY,
                };
                now.saturating_sub(pending.at) > timeout
            });
            if timed_out {
                target.pending = None;
            }
            let is_expired =
                |order: &PendingOrder| now.saturating_sub(order.at) > ACTIVATION_TIMEOUT;
            if target.pending_activation.as_ref().is_some_and(is_expired) {
                target.pending_activation = None;
            }
        }
    }

    fn stage(&mut self, now: Now, out: &mut Vec<RolloutAction>) {
        let wanted = self.wanted;
        let behind: Vec<_> = self
            .targets
            .values()
            .filter(|target| target.has_fresh_report(now) && target.pending.is_none())
            .filter(|target| !target.holds(wanted))
            .map(|target| target.info.name.clone())
            .collect();
        let mut sources = self.sources(now).into_iter();
        for server in behind {
            let Some(source) = sources.next() else { return };
            self.order(now, &server, OrderAction::Stage, source, out);
        }
    }

    /// Returns the sources that servers may load from now, one entry per load. The weights cross
    /// the link to the region once; within the region, servers copy from each other.
    fn sources(&self, now: Now) -> Vec<String> {
        let mut loads: FxHashMap<&str, usize> = FxHashMap::default();
        for pending in self.targets.values().filter_map(|target| target.pending.as_ref()) {
            *loads.entry(&pending.source).or_default() += 1;
        }
        let loads_from = |source: &str| loads.get(source).copied().unwrap_or(0);
        let holders: Vec<_> = self
            .targets
            .values()
            .filter(|t| t.has_fresh_report(now) && t.holds(self.wanted))
            .collect();
        if holders.is_empty() {
            let free = loads_from(STORE) == 0;
            return free.then(|| STORE.to_owned()).into_iter().collect();
        }
        let free = |target: &&Target| {
            let address = target.info.address.clone();
            let free = COPIES_PER_SOURCE.saturating_sub(loads_from(&address));
            std::iter::repeat_n(address, free)
        };
        holders.iter().flat_map(free).collect()
    }

    /// Returns whether activation may start: when all servers have the weights, so that few
    /// versions are in use at a time. A server that fails to load them delays the others by at
    /// most `STAGE_TIMEOUT`.
    fn may_activate(&mut self, now: Now) -> bool {
        let holds = |target: &&Target| target.holds(self.wanted);
        let known = || self.targets.values().filter(|target| target.has_fresh_report(now));
        let holders = known().filter(holds).count();
        if holders == 0 {
            return false;
        }
        let all = known().count() == holders;
        let since = *self.first_holder_since.get_or_insert(now);
        all || now.saturating_sub(since) >= STAGE_TIMEOUT
    }

    fn activate(&mut self, now: Now, out: &mut Vec<RolloutAction>) {
        if !self.may_activate(now) {
            return;
        }
        let mut allowed = self.wave_capacity(now);
        let staged: Vec<_> = self
            .targets
            .values()
            .filter(|t| t.has_fresh_report(now) && t.pending.is_none() && t.has_staged(self.wanted))
            .map(|t| (t.info.name.clone(), t.is_serving(now)))
            .collect();
        for (server, serves) in staged {
            // A server whose swap failed partway is out of service already and needs no capacity.
            if serves {
                if allowed == 0 {
                    continue;
                }
                allowed -= 1;
            }
            self.order(now, &server, OrderAction::Activate, String::new(), out);
        }
    }

    /// Returns how many more servers may be out of service within the capacity floor.
    fn wave_capacity(&self, now: Now) -> usize {
        let total = self.targets.len();
        let floor = (total * self.floor_percent as usize).div_ceil(100);
        let serving = self.targets.values().filter(|target| target.is_serving(now)).count();
        let capacity = serving.saturating_sub(floor);
        if capacity == 0 && serving == self.targets.len() {
            // A floor that keeps every server in service would block all rollouts.
            return 1;
        }
        capacity
    }

    fn order(
        &mut self,
        now: Now,
        server: &str,
        action: OrderAction,
        source: String,
        out: &mut Vec<RolloutAction>,
    ) {
        let Some(target) = self.targets.get_mut(server) else { return };
        let pending =
            PendingOrder { at: now, action, version: self.wanted, source: source.clone() };
        if action == OrderAction::Activate {
            target.pending_activation = Some(pending.clone());
        }
        target.pending = Some(pending);
        target.next_poll = now + PENDING_POLL_INTERVAL;
        out.push(RolloutAction::Order {
            server: server.to_owned(),
            address: target.info.address.clone(),
            order: EngineOrder {
                fence: self.fence,
                model: self.track.model.clone(),
                adapter: self.track.adapter.clone(),
                action,
                version: self.wanted,
                source,
            },
        });
    }

    fn complete(&mut self, now: Now, out: &mut Vec<RolloutAction>) {
        let active = |t: &Target| {
            t.has_fresh_report(now) && t.state().is_some_and(|s| s.active == self.wanted)
        };
        if self.is_in_progress() && self.targets.values().all(active) {
            self.completed = self.wanted;
            let took = now.saturating_sub(self.wanted_since);
            out.push(RolloutAction::Complete { version: self.wanted, took });
        }
    }
}

impl Target {
    fn new(info: Server) -> Target {
        Target { info, report: None, pending: None, pending_activation: None, next_poll: Now::ZERO }
    }

    fn state(&self) -> Option<&TrackState> {
        self.report.as_ref().map(|(_, state)| state)
    }

    fn has_fresh_report(&self, now: Now) -> bool {
        self.report.as_ref().is_some_and(|(at, _)| now.saturating_sub(*at) <= REPORT_TTL)
    }

    fn holds(&self, version: WeightVersion) -> bool {
        self.state().is_some_and(|s| s.active >= version || s.staged >= version)
    }

    fn has_staged(&self, version: WeightVersion) -> bool {
        self.state().is_some_and(|s| s.active < version && s.staged == version)
    }

    fn is_serving(&self, now: Now) -> bool {
        self.has_fresh_report(now)
            && self.pending_activation.is_none()
            && self.state().is_some_and(|s| !s.swapping)
    }
}

impl PendingOrder {
    fn is_reflected_in(&self, state: &TrackState) -> bool {
        match self.action {
            OrderAction::Stage => state.active >= self.version || state.staged >= self.version,
            OrderAction::Activate => state.active >= self.version && !state.swapping,
        }
    }
}
