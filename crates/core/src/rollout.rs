//! Rollout of new weights of one track over the servers of a region: stage, then activate in
//! waves.
//!
//! Orders are absolute ("be at version 41"), carry the fencing number of the lease and are
//! reconciled against what the servers report.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_proto::{
    ids::{Fence, ServerId, WeightVersion},
    manifest::{Manifest, Server},
    messages::{EngineOrder, EngineState, OrderAction, TrackState},
    track::Track,
};

use rustc_hash::FxHashMap;

use crate::Now;

/// What a rollout asks for.
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
        /// Time since the version was published, as seen here.
        took: Duration,
    },
}

/// Source of weights that come from the platform's weight store.
pub const STORE: &str = "store";
/// Longest time that an order may still take effect after it was sent.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an order that shows no effect is sent again.
const ORDER_RETRY: Duration = Duration::from_secs(3);
/// Longest time to load weights.
const LOAD_LIMIT: Duration = Duration::from_secs(600);
/// Longest time of a swap; one that takes longer has failed partway and is ordered again.
const SWAP_LIMIT: Duration = Duration::from_secs(8);
/// Time after which an activation that shows no effect will have none.
const ACTIVATION_LIMIT: Duration = Duration::from_secs(30);
/// Longest age of a report that counts.
const REPORT_VALID: Duration = Duration::from_secs(5);
/// Time between two reports of a server that has an order.
const ORDERED_POLL: Duration = Duration::from_millis(300);
/// Time between two reports of a server while others have orders.
const UNDER_WAY_POLL: Duration = Duration::from_secs(1);
/// Time between two reports of a server otherwise.
const IDLE_POLL: Duration = Duration::from_secs(4);
/// How long activation waits for servers that do not hold the weights yet.
const STAGE_PATIENCE: Duration = Duration::from_secs(120);
/// Servers that load from one server at the same time.
const COPIES_PER_SOURCE: usize = 4;

#[derive(Debug, Clone)]
struct Target {
    info: Server,
    report: Option<(Now, TrackState)>,
    /// The order whose effect is awaited.
    ordered: Option<Ordered>,
    /// An activation that no report has shown yet. It may take effect late, so that the server
    /// counts as out of service.
    activating: Option<Ordered>,
    /// When the server's next report is asked for.
    next_poll: Now,
}

#[derive(Debug, Clone)]
struct Ordered {
    at: Now,
    action: OrderAction,
    version: WeightVersion,
    source: String,
}

/// The rollout of one track in one region by the holder of its lease.
#[derive(Debug)]
pub struct Rollout {
    track: Track,
    region: String,
    floor_percent: u32,
    targets: BTreeMap<ServerId, Target>,
    /// Highest version that was published.
    wanted: WeightVersion,
    wanted_since: Now,
    /// When a server was first seen to hold the wanted version.
    first_held: Option<Now>,
    completed: WeightVersion,
    fence: Fence,
    /// No order before this time, so that orders of the last holder have ended.
    quiet_until: Now,
}

impl Rollout {
    /// The rollout of a track in a region that has no servers yet.
    pub fn new(track: Track, region: &str) -> Rollout {
        Rollout {
            track,
            region: region.to_owned(),
            floor_percent: 0,
            targets: BTreeMap::new(),
            wanted: 0,
            wanted_since: Now::ZERO,
            first_held: None,
            completed: 0,
            fence: 0,
            quiet_until: Now::ZERO,
        }
    }

    /// Takes the model's servers from a manifest.
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

    /// Servers of the track with their addresses.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.targets.values().map(|target| &target.info)
    }

    /// Whether a server is not known to run the wanted version.
    pub fn is_under_way(&self) -> bool {
        self.completed < self.wanted
    }

    /// Takes the news that a server refused an order or could not be reached.
    pub fn on_order_failed(&mut self, now: Now, server: &str) {
        if let Some(ordered) = self.targets.get_mut(server).and_then(|t| t.ordered.as_mut()) {
            ordered.at = ordered.at.min(now.saturating_sub(ORDER_RETRY / 2));
        }
    }

    /// Servers whose report is due: often while an order is under way, else seldom.
    pub fn polls(&mut self, now: Now) -> Vec<Server> {
        let under_way = self.is_under_way();
        let mut due = Vec::new();
        for target in self.targets.values_mut().filter(|target| now >= target.next_poll) {
            let interval = match (&target.ordered, under_way) {
                (Some(_), _) => ORDERED_POLL,
                (None, true) => UNDER_WAY_POLL,
                (None, false) => IDLE_POLL,
            };
            target.next_poll = now + interval;
            due.push(target.info.clone());
        }
        due
    }

    /// Version that the servers are brought to.
    pub fn wanted(&self) -> WeightVersion {
        self.wanted
    }

    /// Takes a published version; an older one than before changes nothing.
    pub fn on_published(&mut self, now: Now, version: WeightVersion) {
        if version > self.wanted {
            self.wanted = version;
            self.wanted_since = now;
            self.first_held = None;
            for target in self.targets.values_mut() {
                target.next_poll = now;
            }
        }
    }

    /// Takes a server's report.
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
        let done = target.ordered.as_ref().is_some_and(|ordered| ordered.shows_in(&state));
        if done {
            target.ordered = None;
        }
        if target.activating.as_ref().is_some_and(|activating| activating.shows_in(&state)) {
            target.activating = None;
        }
        target.report = Some((now, state));
    }

    /// Sends the orders that are due. `fence` is the fencing number, if the lease still allows
    /// an order that takes `ORDER_TIMEOUT`.
    pub fn tick(&mut self, now: Now, fence: Option<Fence>, out: &mut Vec<RolloutAction>) {
        let Some(fence) = fence else { return };
        self.take_over(now, fence);
        if now < self.quiet_until || self.wanted == 0 {
            return;
        }
        self.forget_lost_orders(now);
        self.stage(now, out);
        self.activate(now, out);
        self.complete(now, out);
    }

    /// A new holder waits until no order of the last one can still take effect, and counts only
    /// reports from after that.
    fn take_over(&mut self, now: Now, fence: Fence) {
        if fence == self.fence {
            return;
        }
        self.fence = fence;
        let unchecked = self.targets.values().any(|target| !target.info.checks_fence);
        if unchecked {
            self.quiet_until = now + ORDER_TIMEOUT;
        }
        for target in self.targets.values_mut() {
            target.report = None;
            target.ordered = None;
        }
    }

    fn forget_lost_orders(&mut self, now: Now) {
        for target in self.targets.values_mut() {
            let lost = target.ordered.as_ref().is_some_and(|ordered| {
                let state = target.report.as_ref().map(|(_, state)| state);
                let loading = state.is_some_and(|state| state.loading == ordered.version);
                let swapping = state.is_some_and(|state| state.swapping);
                let patience = match ordered.action {
                    OrderAction::Stage if loading => LOAD_LIMIT,
                    OrderAction::Activate if swapping => SWAP_LIMIT,
                    _ => ORDER_RETRY,
                };
                now.saturating_sub(ordered.at) > patience
            });
            if lost {
                target.ordered = None;
            }
            let over = |order: &Ordered| now.saturating_sub(order.at) > ACTIVATION_LIMIT;
            if target.activating.as_ref().is_some_and(over) {
                target.activating = None;
            }
        }
    }

    fn stage(&mut self, now: Now, out: &mut Vec<RolloutAction>) {
        let wanted = self.wanted;
        let behind: Vec<_> = self
            .targets
            .values()
            .filter(|target| target.is_known(now) && target.ordered.is_none())
            .filter(|target| !target.holds(wanted))
            .map(|target| target.info.name.clone())
            .collect();
        let mut sources = self.sources(now).into_iter();
        for server in behind {
            let Some(source) = sources.next() else { return };
            self.order(now, &server, OrderAction::Stage, source, out);
        }
    }

    /// Where servers may load from now, one entry for each load. The weights cross the link to
    /// the region once; there, servers copy from each other.
    fn sources(&self, now: Now) -> Vec<String> {
        let mut loads: FxHashMap<&str, usize> = FxHashMap::default();
        for ordered in self.targets.values().filter_map(|target| target.ordered.as_ref()) {
            *loads.entry(&ordered.source).or_default() += 1;
        }
        let loads_from = |source: &str| loads.get(source).copied().unwrap_or(0);
        let holders: Vec<_> =
            self.targets.values().filter(|t| t.is_known(now) && t.holds(self.wanted)).collect();
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

    /// Activation starts when all servers hold the weights, so that few versions are in use at
    /// a time; a server that does not get them delays the others for `STAGE_PATIENCE` only.
    fn may_activate(&mut self, now: Now) -> bool {
        let holds = |target: &&Target| target.holds(self.wanted);
        let known = || self.targets.values().filter(|target| target.is_known(now));
        let holders = known().filter(holds).count();
        if holders == 0 {
            return false;
        }
        let all = known().count() == holders;
        let since = *self.first_held.get_or_insert(now);
        all || now.saturating_sub(since) >= STAGE_PATIENCE
    }

    fn activate(&mut self, now: Now, out: &mut Vec<RolloutAction>) {
        if !self.may_activate(now) {
            return;
        }
        let mut allowed = self.wave_room(now);
        let staged: Vec<_> = self
            .targets
            .values()
            .filter(|t| t.is_known(now) && t.ordered.is_none() && t.has_staged(self.wanted))
            .map(|t| (t.info.name.clone(), t.is_serving(now)))
            .collect();
        for (server, serves) in staged {
            // A swap that failed partway took its server out already, so it may go on at once.
            if serves {
                if allowed == 0 {
                    continue;
                }
                allowed -= 1;
            }
            self.order(now, &server, OrderAction::Activate, String::new(), out);
        }
    }

    /// Servers that may be out of service more than are now, so that the floor holds.
    fn wave_room(&self, now: Now) -> usize {
        let total = self.targets.len();
        let floor = (total * self.floor_percent as usize).div_ceil(100);
        let serving = self.targets.values().filter(|target| target.is_serving(now)).count();
        let room = serving.saturating_sub(floor);
        if room == 0 && serving == self.targets.len() {
            // A floor that allows no server out of service would stop every rollout.
            return 1;
        }
        room
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
        let ordered = Ordered { at: now, action, version: self.wanted, source: source.clone() };
        if action == OrderAction::Activate {
            target.activating = Some(ordered.clone());
        }
        target.ordered = Some(ordered);
        target.next_poll = now + ORDERED_POLL;
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
        let active =
            |t: &Target| t.is_known(now) && t.state().is_some_and(|s| s.active == self.wanted);
        if self.is_under_way() && self.targets.values().all(active) {
            self.completed = self.wanted;
            let took = now.saturating_sub(self.wanted_since);
            out.push(RolloutAction::Complete { version: self.wanted, took });
        }
    }
}

impl Target {
    fn new(info: Server) -> Target {
        Target { info, report: None, ordered: None, activating: None, next_poll: Now::ZERO }
    }

    fn state(&self) -> Option<&TrackState> {
        self.report.as_ref().map(|(_, state)| state)
    }

    fn is_known(&self, now: Now) -> bool {
        self.report.as_ref().is_some_and(|(at, _)| now.saturating_sub(*at) <= REPORT_VALID)
    }

    fn holds(&self, version: WeightVersion) -> bool {
        self.state().is_some_and(|s| s.active >= version || s.staged >= version)
    }

    fn has_staged(&self, version: WeightVersion) -> bool {
        self.state().is_some_and(|s| s.active < version && s.staged == version)
    }

    fn is_serving(&self, now: Now) -> bool {
        self.is_known(now) && self.activating.is_none() && self.state().is_some_and(|s| !s.swapping)
    }
}

impl Ordered {
    fn shows_in(&self, state: &TrackState) -> bool {
        match self.action {
            OrderAction::Stage => state.active >= self.version || state.staged >= self.version,
            OrderAction::Activate => state.active >= self.version && !state.swapping,
        }
    }
}
