//! How many servers a service is to have in each availability zone.
//!
//! The number is raised when jobs are late, and then far enough that no sample waits for a slot: the
//! servers that are needed have one for each sample of the largest recent step of every model. Spot
//! servers are spread over the zones so that the need is still met when those of one zone are reclaimed
//! at once. Orders state absolute numbers, so repeating one changes nothing, and a new holder of the
//! duty needs no other state than the servers that it sees.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{backends::Backends, desired::Scaling, duties::CallEnd, Now};

/// Kind of a server, by how long it may be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerKind {
    /// Kept until it is given up.
    OnDemand,
    /// May be reclaimed at short notice, all of an availability zone at once.
    Spot,
}

/// The servers of one kind of a service in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerGroup {
    /// Availability zone.
    pub zone: String,
    /// Kind of the servers.
    pub kind: ServerKind,
}

/// Numbers of servers by group.
pub type Counts = BTreeMap<ServerGroup, u32>;

/// The servers of a service as their entries show them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServersSeen {
    /// Servers that are there and do not leave.
    pub there: Counts,
    /// Servers that are leaving.
    pub leaving: Counts,
    /// Slots of the servers that are there.
    pub slots: u32,
}

impl ServersSeen {
    /// Counts the servers of a service.
    pub fn of(backends: &Backends, service: &str) -> ServersSeen {
        let mut seen = ServersSeen::default();
        for entry in backends.all().filter(|entry| entry.service == service) {
            let kind = if entry.spot { ServerKind::Spot } else { ServerKind::OnDemand };
            let group = ServerGroup { zone: entry.zone.clone(), kind };
            let counts = if entry.draining { &mut seen.leaving } else { &mut seen.there };
            *counts.entry(group).or_default() += 1;
            seen.slots += if entry.draining { 0 } else { entry.slots };
        }
        seen
    }
}

/// A job of the service as its row shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSeen {
    /// Model that generates the samples.
    pub model: String,
    /// Number of samples.
    pub samples: u32,
    /// When the job was accepted.
    pub accepted: Now,
    /// When its results are due; `None` if no time is set.
    pub due: Option<Now>,
    /// Whether it is still open.
    pub is_open: bool,
}

impl JobSeen {
    fn is_late(&self, now: Now) -> bool {
        let is_past =
            |due: Now| now > self.accepted + due.saturating_sub(self.accepted) / LATE_DIVISOR;
        self.is_open && self.due.is_some_and(is_past)
    }
}

/// Inputs of a decision.
#[derive(Debug, Clone)]
pub struct CapacityView<'a> {
    /// Limits and prices.
    pub scaling: &'a Scaling,
    /// The servers.
    pub servers: &'a ServersSeen,
    /// Known jobs of the service.
    pub jobs: &'a [JobSeen],
    /// Age of the oldest of these inputs.
    pub age: Duration,
    /// Whether the jobs are the only load of the service. Otherwise its need is not known, and no
    /// server is given up.
    pub has_only_jobs: bool,
}

/// An order of servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityOrder {
    /// The group.
    pub group: ServerGroup,
    /// The number of servers that the group is to have.
    pub servers: u32,
}

/// A decision and what it was based on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Decision {
    /// Number of servers needed, without a reserve.
    pub needed: u32,
    /// Number of servers that the groups are to have.
    pub wanted: u32,
    /// Number of servers there.
    pub there: u32,
    /// Orders to send now.
    pub orders: Vec<CapacityOrder>,
}

/// Age of the inputs above which nothing new is ordered.
const MAX_INPUT_AGE: Duration = Duration::from_secs(3);
/// Time for which the size of a job counts towards the need: a few steps of a slow trainer.
const JOB_MEMORY: Duration = Duration::from_secs(60);
/// Minimum time between two orders for one group.
const ORDER_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of orders of one decision.
const MAX_ORDERS: usize = 8;
/// Time for which servers that the platform did not have are not asked for again.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(5);
/// Time beyond their start after which ordered servers that are missing are ordered again.
const START_SLACK: Duration = Duration::from_secs(2);
/// Servers are given up once fewer were needed for this many times the time that it takes to start
/// one, and for at least `MIN_LOWERING_DELAY`.
const LOWERING_DELAY_STARTS: u32 = 10;
/// Minimum time for which fewer servers were needed before some are given up.
const MIN_LOWERING_DELAY: Duration = Duration::from_secs(60);
/// Part of the needed servers, as a divisor, that is kept on demand: without any spot servers a step
/// then takes about twice as long.
const ON_DEMAND_DIVISOR: u32 = 2;
/// Part of the wanted servers, as a divisor, that may be given up at a time.
const LOWERING_DIVISOR: u32 = 10;

/// Part of the time in which the results of a job are due, as a divisor, after which a job that is still
/// open counts as late. What is left is for more servers to start.
const LATE_DIVISOR: u32 = 2;

/// What is known of the last order for a group.
#[derive(Debug, Clone, Copy)]
struct Ordered {
    servers: u32,
    sent_at: Now,
    /// Whether the platform has accepted the order.
    is_accepted: bool,
}

/// Decides on the servers of one service while this daemon holds the duty.
#[derive(Debug, Default)]
pub struct Capacity {
    /// When the need was first known.
    known_since: Option<Now>,
    /// Since when no more servers than now were needed.
    lower_since: Option<(Now, u32)>,
    /// Sizes of recent jobs by model, with the time at which they were last open.
    steps: BTreeMap<String, Vec<(Now, u32)>>,
    /// When a job was last late.
    late_at: Option<Now>,
    ordered: BTreeMap<ServerGroup, Ordered>,
    /// Groups of which the platform has none, and until when they are not asked for.
    refused_until: BTreeMap<ServerGroup, Now>,
    /// Zones in which a call was refused, and until when none is made: the refusal may also mean that
    /// another daemon holds the duty.
    quiet_until: BTreeMap<String, Now>,
}

impl Capacity {
    /// Forgets the orders at the end of a term; another holder may have changed them since.
    pub fn end_term(&mut self) {
        *self = Capacity::default();
    }

    /// Decides on the numbers of servers. Without recent inputs everything stays as it was ordered.
    pub fn decide(&mut self, now: Now, view: &CapacityView<'_>) -> Option<Decision> {
        if view.age > MAX_INPUT_AGE {
            return None;
        }
        self.note_reclaimed(now, view.servers);
        self.note_jobs(now, view.jobs);
        let there = &view.servers.there;
        let on_demand_there = total(there, ServerKind::OnDemand);
        let needed = self.needed(view)?;
        self.known_since.get_or_insert(now);
        let may_lower = self.may_lower(now, needed, view);
        let goal = self.goal(now, needed, may_lower, on_demand_there, view);
        let mut orders: Vec<_> =
            goal.iter().filter_map(|(group, goal)| self.order(now, group, *goal, view)).collect();
        orders.truncate(MAX_ORDERS);
        for order in &orders {
            let ordered = Ordered { servers: order.servers, sent_at: now, is_accepted: false };
            self.ordered.insert(order.group.clone(), ordered);
        }
        Some(Decision { needed, wanted: goal.values().sum(), there: there.values().sum(), orders })
    }

    /// Returns whether an order may still be sent: a call for the same zone may have been refused since
    /// the decision.
    pub fn may_send(&self, now: Now, order: &CapacityOrder) -> bool {
        self.quiet_until.get(&order.group.zone).is_none_or(|until| *until <= now)
    }

    /// Handles the outcome of an order. `quiet` is the time in which a daemon that has lost the duty
    /// hears of it.
    pub fn on_end(&mut self, now: Now, order: &CapacityOrder, end: CallEnd, quiet: Duration) {
        let Some(ordered) = self.ordered.get_mut(&order.group) else { return };
        if ordered.servers != order.servers {
            return;
        }
        match end {
            CallEnd::Accepted => ordered.is_accepted = true,
            // Repeated after `ORDER_INTERVAL`.
            CallEnd::Unknown => {}
            CallEnd::Busy | CallEnd::NotSent => drop(self.ordered.remove(&order.group)),
            CallEnd::Refused => {
                self.ordered.remove(&order.group);
                self.quiet_until.insert(order.group.zone.clone(), now + quiet);
                let until = now + REFUSAL_BACKOFF.max(quiet);
                self.refused_until.insert(order.group.clone(), until);
            }
        }
    }

    /// Spot servers that leave were reclaimed, with all others of their zone.
    fn note_reclaimed(&mut self, now: Now, servers: &ServersSeen) {
        self.refused_until.retain(|_, until| *until > now);
        self.quiet_until.retain(|_, until| *until > now);
        for group in servers.leaving.keys().filter(|group| group.kind == ServerKind::Spot) {
            let is_emptied = servers.there.get(group).is_none_or(|count| *count == 0);
            let is_given_up = self.ordered.get(group).is_some_and(|ordered| ordered.servers == 0);
            if is_emptied && !is_given_up {
                self.ordered.remove(group);
                self.refused_until.insert(group.clone(), now + REFUSAL_BACKOFF);
            }
        }
    }

    fn note_jobs(&mut self, now: Now, jobs: &[JobSeen]) {
        if jobs.iter().any(|job| job.is_late(now)) {
            self.late_at = Some(now);
        }
        self.late_at = self.late_at.filter(|at| now.saturating_sub(*at) < JOB_MEMORY);
        for job in jobs {
            let seen_at = if job.is_open { now } else { job.accepted };
            let sizes = self.steps.entry(job.model.clone()).or_default();
            match sizes.iter_mut().find(|(_, size)| *size == job.samples) {
                Some((at, _)) => *at = seen_at.max(*at),
                None => sizes.push((seen_at, job.samples)),
            }
        }
        for sizes in self.steps.values_mut() {
            sizes.retain(|(at, _)| now.saturating_sub(*at) < JOB_MEMORY);
        }
    }

    /// Returns the number of servers with a slot for each sample of the largest recent step of every
    /// model, within the limits, but no more than there are while no job is late; `None` while no server is there.
    fn needed(&self, view: &CapacityView<'_>) -> Option<u32> {
        let there: u32 = view.servers.there.values().sum();
        let slots_each = view.servers.slots.checked_div(there).filter(|slots| *slots > 0)?;
        let largest = |sizes: &Vec<(Now, u32)>| sizes.iter().map(|(_, size)| *size).max();
        let samples: u32 = self.steps.values().filter_map(largest).fold(0, u32::saturating_add);
        let zones = u32::try_from(zones(view).len()).unwrap_or(u32::MAX);
        let for_all = samples.div_ceil(slots_each).min(view.scaling.max.saturating_mul(zones));
        Some(if self.late_at.is_some() { for_all } else { for_all.min(there) })
    }

    /// Returns whether fewer servers than now may be kept.
    fn may_lower(&mut self, now: Now, needed: u32, view: &CapacityView<'_>) -> bool {
        let (since, highest) = self.lower_since.unwrap_or((now, needed));
        let since = if needed > highest { now } else { since };
        self.lower_since = Some((since, needed));
        let delay = (view.scaling.boot * LOWERING_DELAY_STARTS).max(MIN_LOWERING_DELAY);
        let known = self.known_since.is_some_and(|known| now.saturating_sub(known) >= delay);
        view.has_only_jobs && known && now.saturating_sub(since) >= delay && self.late_at.is_none()
    }

    /// Returns the number of servers that each group is to have.
    fn goal(
        &self,
        now: Now,
        needed: u32,
        may_lower: bool,
        on_demand_there: u32,
        view: &CapacityView<'_>,
    ) -> Counts {
        let (scaling, there) = (view.scaling, &view.servers.there);
        let zones = zones(view);
        let is_open = |zone: &str, kind: ServerKind| {
            let group = ServerGroup { zone: zone.to_owned(), kind };
            !self.refused_until.contains_key(&group) && !self.quiet_until.contains_key(zone)
        };
        let spot_zones: Vec<_> = zones
            .iter()
            .filter(|zone| scaling.spot_price.is_some() && is_open(zone, ServerKind::Spot))
            .cloned()
            .collect();
        let mut goal: Counts = BTreeMap::new();
        for zone in &zones {
            for kind in [ServerKind::OnDemand, ServerKind::Spot] {
                let group = ServerGroup { zone: zone.clone(), kind };
                let servers = self.expected(now, &group, view);
                goal.insert(group, servers);
            }
        }
        let floor = needed.div_ceil(ON_DEMAND_DIVISOR);
        let is_spot_cheaper =
            scaling.spot_price.is_some_and(|price| with_reserve(100, zones.len()) * price < 100.0);
        let on_demand_goal = if is_spot_cheaper { floor } else { needed };
        let spots_needed = |on_demand: u32| {
            with_reserve(needed.saturating_sub(on_demand), spot_zones.len()).ceil() as u32
        };
        let on_demand = total(&goal, ServerKind::OnDemand);
        let open: Vec<_> =
            zones.iter().filter(|zone| is_open(zone, ServerKind::OnDemand)).cloned().collect();
        raise(&mut goal, ServerKind::OnDemand, on_demand_goal, &open, scaling);
        // Spot servers replace others only once they are there.
        let kept = if may_lower { on_demand_goal } else { on_demand.max(on_demand_goal) };
        let spots = spots_needed(kept.min(on_demand));
        raise(&mut goal, ServerKind::Spot, spots, &spot_zones, scaling);
        // What cannot be had as spot servers is had on demand.
        let missing = spots.saturating_sub(total(&goal, ServerKind::Spot));
        let replaced = (on_demand + missing).min(needed);
        raise(&mut goal, ServerKind::OnDemand, replaced, &open, scaling);
        let spots_there = total(there, ServerKind::Spot);
        if may_lower && on_demand_there + spots_there >= total_of(&goal) {
            let step = (total_of(&goal) / LOWERING_DIVISOR).max(1);
            if spots_there >= spots && on_demand > on_demand_goal {
                let target = on_demand_goal.max(on_demand.saturating_sub(step));
                lower(&mut goal, ServerKind::OnDemand, target, scaling);
            } else if total(&goal, ServerKind::Spot) > spots {
                let target = spots.max(total(&goal, ServerKind::Spot).saturating_sub(step));
                lower(&mut goal, ServerKind::Spot, target, scaling);
            }
        }
        goal
    }

    /// Returns the number of servers of a group that are there or on their way.
    fn expected(&self, now: Now, group: &ServerGroup, view: &CapacityView<'_>) -> u32 {
        let there = view.servers.there.get(group).copied().unwrap_or_default();
        match self.ordered.get(group) {
            Some(ordered) if ordered.servers < there => ordered.servers,
            Some(ordered) if now < ordered.sent_at + view.scaling.boot + START_SLACK => {
                ordered.servers
            }
            // Servers that fail come back or are ordered again; see `order`.
            Some(ordered) if group.kind == ServerKind::OnDemand => ordered.servers.max(there),
            _ => there,
        }
    }

    /// Returns the order for a group that brings it to `goal`, if one is due.
    fn order(
        &self,
        now: Now,
        group: &ServerGroup,
        goal: u32,
        view: &CapacityView<'_>,
    ) -> Option<CapacityOrder> {
        let there = view.servers.there.get(group).copied().unwrap_or_default();
        if self.quiet_until.contains_key(&group.zone) {
            return None;
        }
        let is_due = match self.ordered.get(group) {
            None => goal != there,
            Some(ordered) => {
                let age = now.saturating_sub(ordered.sent_at);
                let has_changed = ordered.servers != goal;
                let is_overdue = there != goal && age >= view.scaling.boot + START_SLACK;
                age >= ORDER_INTERVAL && (has_changed || !ordered.is_accepted || is_overdue)
            }
        };
        is_due.then(|| CapacityOrder { group: group.clone(), servers: goal })
    }
}

/// Returns the availability zones in which the service may have servers.
fn zones(view: &CapacityView<'_>) -> Vec<String> {
    let with_servers = view.servers.there.keys().map(|group| &group.zone);
    let zones: BTreeSet<_> = view.scaling.zone_prices.keys().chain(with_servers).collect();
    zones.into_iter().cloned().collect()
}

fn total(counts: &Counts, kind: ServerKind) -> u32 {
    counts.iter().filter(|(group, _)| group.kind == kind).map(|(_, count)| count).sum()
}

fn total_of(counts: &Counts) -> u32 {
    counts.values().sum()
}

/// Returns the number of servers of which `servers` are left when those of one of `zones` are lost.
fn with_reserve(servers: u32, zones: usize) -> f64 {
    let zones = zones as f64;
    let factor = if zones > 1.0 { zones / (zones - 1.0) } else { 1.0 };
    f64::from(servers) * factor
}

fn price(scaling: &Scaling, zone: &str) -> f64 {
    scaling.zone_prices.get(zone).copied().unwrap_or(1.0)
}

/// Adds servers one by one to the zone with the fewest of the kind, and of those to the cheapest,
/// within the limit of each zone.
fn raise(goal: &mut Counts, kind: ServerKind, to: u32, zones: &[String], scaling: &Scaling) {
    while total(goal, kind) < to {
        let in_zone = |zone: &str| -> u32 {
            goal.iter().filter(|(group, _)| group.zone == zone).map(|(_, count)| count).sum()
        };
        let of_kind = |zone: &str| {
            goal.get(&ServerGroup { zone: zone.to_owned(), kind }).copied().unwrap_or_default()
        };
        let cheapest = zones.iter().filter(|zone| in_zone(zone) < scaling.max).min_by(|a, b| {
            let by_price = price(scaling, a).total_cmp(&price(scaling, b));
            of_kind(a).cmp(&of_kind(b)).then(by_price)
        });
        let Some(zone) = cheapest else { return };
        *goal.entry(ServerGroup { zone: zone.clone(), kind }).or_default() += 1;
    }
}

/// Removes servers one by one from the zone with the most of the kind, and of those from the dearest,
/// within the limit of each zone.
fn lower(goal: &mut Counts, kind: ServerKind, to: u32, scaling: &Scaling) {
    while total(goal, kind) > to {
        let in_zone = |zone: &str| -> u32 {
            goal.iter().filter(|(group, _)| group.zone == zone).map(|(_, count)| count).sum()
        };
        let dearest = goal
            .iter()
            .filter(|(group, count)| {
                group.kind == kind && **count > 0 && in_zone(&group.zone) > scaling.min
            })
            .max_by(|a, b| {
                let by_price = price(scaling, &a.0.zone).total_cmp(&price(scaling, &b.0.zone));
                a.1.cmp(b.1).then(by_price)
            })
            .map(|(group, _)| group.clone());
        let Some(group) = dearest else { return };
        *goal.entry(group).or_default() -= 1;
    }
}
