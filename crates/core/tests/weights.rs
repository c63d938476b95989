//! Tests of the weight controller: assignment of servers to models, and update orders.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_core::{
    backends::{Backend, Backends, HeldModel},
    weights::{OrderEnd, OrderReport, WeightAction, WeightController},
    Now,
};

const NOW: Now = Duration::from_secs(100);

fn models() -> Vec<String> {
    ["a", "b", "c"].map(str::to_owned).to_vec()
}

fn backend(index: usize, version: u64) -> Backend {
    let held = |name: String| HeldModel { name, version };
    Backend {
        id: format!("s{index}"),
        service: "engines".to_owned(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: "zone-a".to_owned(),
        slots: 8,
        draining: false,
        started_ms: 1,
        spot: false,
        software: String::new(),
        models: models().into_iter().map(held).collect(),
    }
}

fn backends(count: usize) -> Backends {
    let mut backends = Backends::default();
    (0..count).for_each(|index| backends.upsert(backend(index, 1)));
    backends
}

fn tick(controller: &mut WeightController, now: Now, backends: &Backends) -> Vec<WeightAction> {
    let mut out = Vec::new();
    controller.tick(now, 7, &models(), backends, &mut out);
    out
}

fn report_requests(actions: &[WeightAction]) -> Vec<String> {
    let servers = actions.iter().filter_map(|action| match action {
        WeightAction::RequestReport { server } => Some(server.clone()),
        _ => None,
    });
    servers.collect()
}

fn report(version: u64, accepted: u64) -> OrderReport {
    let held = |name: String| HeldModel { name, version };
    OrderReport { busy: false, accepted, models: models().into_iter().map(held).collect() }
}

/// Sends an order for a new version, which has the outcome `end`; returns the server.
fn order_with_outcome(
    controller: &mut WeightController,
    servers: &Backends,
    end: OrderEnd,
) -> String {
    controller.on_named("a", 2);
    let server = report_requests(&tick(controller, NOW, servers)).remove(0);
    controller.on_report(NOW, Some(7), &server, Some(&report(1, 0)), &mut Vec::new());
    controller.on_order(NOW, 7, &server, end);
    server
}

fn server_counts(controller: &WeightController) -> BTreeMap<String, usize> {
    let server_count = |model: String| (model.clone(), controller.plan().servers(&model).len());
    models().into_iter().map(server_count).collect()
}

#[test]
fn servers_are_split_equally_until_every_model_had_a_job_then_by_demand() {
    let mut controller = WeightController::default();
    let servers = backends(9);
    tick(&mut controller, NOW, &servers);
    let equal = BTreeMap::from([("a".into(), 3), ("b".into(), 3), ("c".into(), 3)]);
    assert_eq!(server_counts(&controller), equal);
    controller.on_job(NOW, "a", 6_000, 1);
    controller.on_job(NOW, "b", 2_000, 1);
    tick(&mut controller, NOW, &servers);
    assert_eq!(server_counts(&controller), equal);
    controller.on_job(NOW, "c", 1_000, 1);
    tick(&mut controller, NOW, &servers);
    let by_demand = BTreeMap::from([("a".into(), 6), ("b".into(), 2), ("c".into(), 1)]);
    assert_eq!(server_counts(&controller), by_demand);
}

#[test]
fn losing_a_server_changes_the_plan_of_its_model_only() {
    let mut controller = WeightController::default();
    let mut servers = backends(9);
    tick(&mut controller, NOW, &servers);
    let old_plan = controller.plan().clone();
    let lost_server = old_plan.servers("a")[0].clone();
    servers.remove(NOW, &lost_server, true);
    tick(&mut controller, NOW, &servers);
    assert_eq!(controller.plan().servers("a").len(), 2);
    assert_eq!(controller.plan().servers("b"), old_plan.servers("b"));
    assert_eq!(controller.plan().servers("c"), old_plan.servers("c"));
}

#[test]
fn fewer_servers_than_models_share_a_server() {
    let mut controller = WeightController::default();
    tick(&mut controller, NOW, &backends(1));
    let expected = BTreeMap::from([("a".into(), 1), ("b".into(), 1), ("c".into(), 1)]);
    assert_eq!(server_counts(&controller), expected);
}

#[test]
fn an_order_carries_the_accepted_count_of_the_server() {
    let mut controller = WeightController::default();
    let servers = backends(9);
    controller.on_named("a", 2);
    let server = report_requests(&tick(&mut controller, NOW, &servers)).remove(0);
    let mut out = Vec::new();
    controller.on_report(NOW, Some(7), &server, Some(&report(1, 12)), &mut out);
    let [WeightAction::Send { order, .. }] = out.as_slice() else { panic!("{out:?}") };
    assert_eq!((order.accepted, order.fence, order.version), (12, 7, 2));
}

#[test]
fn at_most_half_of_a_models_servers_load_while_their_version_is_usable() {
    let mut controller = WeightController::default();
    let servers = backends(30);
    controller.on_named("a", 2);
    controller.on_job(NOW, "a", 100, 1);
    assert_eq!(
        report_requests(&tick(&mut controller, NOW, &servers)).len(),
        5,
        "half of 10 servers, although 6 loads are allowed"
    );
    controller.on_job(NOW, "a", 100, 2);
    let later = report_requests(&tick(&mut controller, NOW, &servers));
    assert_eq!(
        later.len(),
        1,
        "the other servers are not usable: only the limit on all loads applies"
    );
}

#[test]
fn an_unknown_outcome_triggers_a_new_report_request_before_the_next_order() {
    let mut controller = WeightController::default();
    let servers = backends(9);
    let server = order_with_outcome(&mut controller, &servers, OrderEnd::Unknown);
    let later = NOW + Duration::from_millis(450);
    let requested = report_requests(&tick(&mut controller, later, &servers));
    assert!(requested.contains(&server), "{requested:?}");
}

#[test]
fn a_fenced_term_sends_no_more_orders() {
    let mut controller = WeightController::default();
    let servers = backends(9);
    order_with_outcome(&mut controller, &servers, OrderEnd::Fenced);
    assert!(!controller.may_order(7));
    controller.on_named("b", 2);
    assert_eq!(tick(&mut controller, NOW + Duration::from_secs(5), &servers), []);
    assert!(controller.may_order(8));
}

#[test]
fn a_report_after_the_end_of_the_term_triggers_no_order() {
    let mut controller = WeightController::default();
    controller.on_named("a", 2);
    let server = report_requests(&tick(&mut controller, NOW, &backends(9))).remove(0);
    let mut out = Vec::new();
    controller.on_report(NOW, None, &server, Some(&report(1, 0)), &mut out);
    assert_eq!(out, []);
}
