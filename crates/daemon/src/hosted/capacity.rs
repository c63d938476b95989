//! Orders servers while this daemon holds the lease on the duties.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use buckthornfall_core::{
    capacity::{Capacity, CapacityOrder, CapacityView, Decision, JobSeen, ServerKind, ServersSeen},
    desired::{Desired, RouteKind, Scaling},
    duties::CallEnd,
    Now,
};
use buckthornfall_platform::{duties as wire, settings::DutySettings};
use buckthornfall_proto::{
    ids::{Fence, ServiceName},
    messages::JobState,
};
use log::info;
use tokio::time::sleep;

use super::{clock, node::Node, reload};

/// Interval between decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(500);

/// Starts to order servers while this daemon holds the duties' lease.
pub fn start(node: &Rc<Node>) {
    node.keep_running("capacity", run);
}

/// The services whose servers are ordered, with the last decision on each for the log.
#[derive(Default)]
struct Services {
    term: Option<Fence>,
    by_name: BTreeMap<ServiceName, (Capacity, Option<Decision>)>,
}

async fn run(node: Rc<Node>) {
    let mut services = Services::default();
    loop {
        let duties = node.settings().duties.clone().filter(|duties| duties.orders_servers);
        let Some(duties) = duties else {
            sleep(reload::POLL_INTERVAL).await;
            continue;
        };
        sleep(DECISION_INTERVAL).await;
        let fence = node.duties.borrow().call_fence(clock::now());
        if fence != services.term {
            services = Services { term: fence, ..Services::default() };
        }
        let desired = node.desired().filter(|_| node.may_decide());
        let (Some(_), Some(desired)) = (fence, desired) else { continue };
        for service in &desired.services {
            let Some(scaling) = &service.scaling else { continue };
            let (capacity, last) = services.by_name.entry(service.name.clone()).or_default();
            let decision = decide(&node, &desired, &service.name, scaling, capacity, last);
            for order in decision.map(|decision| decision.orders).unwrap_or_default() {
                send(&node, &duties, &service.name, capacity, &order).await;
            }
        }
    }
}

fn decide(
    node: &Node,
    desired: &Desired,
    service: &str,
    scaling: &Scaling,
    capacity: &mut Capacity,
    last: &mut Option<Decision>,
) -> Option<Decision> {
    let now = clock::now();
    let servers = ServersSeen::of(&node.backends.borrow(), service);
    let jobs = jobs_of(node, desired, service);
    let routes = || desired.routes.iter().filter(|route| targets(route, service));
    let view = CapacityView {
        scaling,
        servers: &servers,
        jobs: &jobs,
        age: now.saturating_sub(node.servers_read_at.get().min(node.fleet_read_at.get())),
        has_only_jobs: routes().all(|route| route.kind == RouteKind::Job),
    };
    let decision = capacity.decide(now, &view);
    if decision != *last {
        let open_jobs = jobs.iter().filter(|job| job.is_open).count();
        let shown = decision.clone().unwrap_or_default();
        let there = |kind| -> u32 {
            servers.there.iter().filter(|(group, _)| group.kind == kind).map(|(_, n)| n).sum()
        };
        info!(service, is_decided = decision.is_some(), needed = shown.needed, wanted = shown.wanted,
            on_demand = there(ServerKind::OnDemand), spot = there(ServerKind::Spot),
            leaving = servers.leaving.values().sum::<u32>(), open_jobs,
            age_ms = view.age.as_millis() as u64, orders = shown.orders.len(); "servers_decided");
        last.clone_from(&decision);
    }
    let decided = decision.as_ref()?;
    let gauge = |name: &'static str, value: u32| {
        metrics::gauge!(name, "service" => service.to_owned()).set(f64::from(value));
    };
    gauge("servers_needed", decided.needed);
    gauge("servers_ordered", decided.wanted);
    gauge("servers_there", decided.there);
    decision
}

fn targets(route: &buckthornfall_core::desired::Route, service: &str) -> bool {
    route.targets.iter().any(|target| target.service == service)
}

/// Returns the known jobs of a service.
fn jobs_of(node: &Node, desired: &Desired, service: &str) -> Vec<JobSeen> {
    let jobs = node.jobs.borrow();
    let seen = jobs.values().filter_map(|job| {
        let row = &job.row;
        let route = desired.route(&row.host, &row.path).filter(|route| targets(route, service))?;
        let accepted: Now = node.store.to_local(row.accepted_ms);
        Some(JobSeen {
            model: row.model.clone(),
            samples: row.samples,
            accepted,
            due: route.completion.map(|completion| accepted + completion),
            is_open: row.state == JobState::Open,
        })
    });
    seen.collect()
}

async fn send(
    node: &Node,
    duties: &DutySettings,
    service: &str,
    capacity: &mut Capacity,
    order: &CapacityOrder,
) {
    if !capacity.may_send(clock::now(), order) {
        capacity.on_end(clock::now(), order, CallEnd::NotSent, Duration::ZERO);
        return;
    }
    let build = |duty: &wire::Duty| wire::order_servers(duty, service, order);
    let end = node.duty_client.call(node, duties, build).await;
    let quiet = node.settings().lease;
    capacity.on_end(clock::now(), order, end, quiet);
    let CapacityOrder { group, servers } = order;
    info!(service, zone = group.zone.as_str(), spot = group.kind == ServerKind::Spot, servers, outcome:? = end;
        "servers_ordered");
}
