//! The plan of models on servers, and the orders that bring servers to named versions.

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
        models: models().into_iter().map(held).collect(),
    }
}

fn backends(count: usize) -> Backends {
    let mut backends = Backends::default();
    (0..count).for_each(|index| backends.upsert(backend(index, 1)));
    backends
}

fn tick(weights: &mut WeightController, now: Now, backends: &Backends) -> Vec<WeightAction> {
    let mut out = Vec::new();
    weights.tick(now, 7, &models(), backends, &mut out);
    out
}

fn asked(actions: &[WeightAction]) -> Vec<String> {
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

/// Orders a server to load a named version, which ends like this; the server.
fn order(weights: &mut WeightController, servers: &Backends, end: OrderEnd) -> String {
    weights.on_named("a", 2);
    let server = asked(&tick(weights, NOW, servers)).remove(0);
    weights.on_report(NOW, Some(7), &server, Some(&report(1, 0)), &mut Vec::new());
    weights.on_order(NOW, 7, &server, end);
    server
}

fn shares(weights: &WeightController) -> BTreeMap<String, usize> {
    let share = |model: String| (model.clone(), weights.plan().servers(&model).len());
    models().into_iter().map(share).collect()
}

#[test]
fn servers_are_shared_alike_until_each_model_had_a_job_and_by_work_then() {
    let mut weights = WeightController::default();
    let servers = backends(9);
    tick(&mut weights, NOW, &servers);
    let alike = BTreeMap::from([("a".into(), 3), ("b".into(), 3), ("c".into(), 3)]);
    assert_eq!(shares(&weights), alike);
    weights.on_job(NOW, "a", 6_000, 1);
    weights.on_job(NOW, "b", 2_000, 1);
    tick(&mut weights, NOW, &servers);
    assert_eq!(shares(&weights), alike);
    weights.on_job(NOW, "c", 1_000, 1);
    tick(&mut weights, NOW, &servers);
    let by_work = BTreeMap::from([("a".into(), 6), ("b".into(), 2), ("c".into(), 1)]);
    assert_eq!(shares(&weights), by_work);
}

#[test]
fn a_lost_server_changes_the_plan_of_its_model_only() {
    let mut weights = WeightController::default();
    let mut servers = backends(9);
    tick(&mut weights, NOW, &servers);
    let before = weights.plan().clone();
    let lost = before.servers("a")[0].clone();
    servers.remove(NOW, &lost, true);
    tick(&mut weights, NOW, &servers);
    assert_eq!(weights.plan().servers("a").len(), 2);
    assert_eq!(weights.plan().servers("b"), before.servers("b"));
    assert_eq!(weights.plan().servers("c"), before.servers("c"));
}

#[test]
fn fewer_servers_than_models_share_a_server() {
    let mut weights = WeightController::default();
    tick(&mut weights, NOW, &backends(1));
    let expected = BTreeMap::from([("a".into(), 1), ("b".into(), 1), ("c".into(), 1)]);
    assert_eq!(shares(&weights), expected);
}

#[test]
fn an_order_names_the_orders_that_the_server_has_accepted() {
    let mut weights = WeightController::default();
    let servers = backends(9);
    weights.on_named("a", 2);
    let server = asked(&tick(&mut weights, NOW, &servers)).remove(0);
    let mut out = Vec::new();
    weights.on_report(NOW, Some(7), &server, Some(&report(1, 12)), &mut out);
    let [WeightAction::Send { order, .. }] = out.as_slice() else { panic!("{out:?}") };
    assert_eq!((order.accepted, order.fence, order.version), (12, 7, 2));
}

#[test]
fn at_most_half_of_a_models_servers_load_while_they_are_useful() {
    let mut weights = WeightController::default();
    let servers = backends(30);
    weights.on_named("a", 2);
    weights.on_job(NOW, "a", 100, 1);
    assert_eq!(asked(&tick(&mut weights, NOW, &servers)).len(), 5, "10 servers, 6 loads allowed");
    weights.on_job(NOW, "a", 100, 2);
    let later = asked(&tick(&mut weights, NOW, &servers));
    assert_eq!(later.len(), 1, "no job can use the others: the bound on all loads alone holds");
}

#[test]
fn a_server_of_an_unknown_answer_is_asked_again_before_the_next_order() {
    let mut weights = WeightController::default();
    let servers = backends(9);
    let server = order(&mut weights, &servers, OrderEnd::Unknown);
    let later = NOW + Duration::from_millis(450);
    let again = asked(&tick(&mut weights, later, &servers));
    assert!(again.contains(&server), "{again:?}");
}

#[test]
fn a_fenced_term_orders_nothing_more() {
    let mut weights = WeightController::default();
    let servers = backends(9);
    order(&mut weights, &servers, OrderEnd::Fenced);
    assert!(!weights.may_order(7));
    weights.on_named("b", 2);
    assert_eq!(tick(&mut weights, NOW + Duration::from_secs(5), &servers), []);
    assert!(weights.may_order(8));
}

#[test]
fn a_report_after_the_end_of_the_term_orders_nothing() {
    let mut weights = WeightController::default();
    weights.on_named("a", 2);
    let server = asked(&tick(&mut weights, NOW, &backends(9))).remove(0);
    let mut out = Vec::new();
    weights.on_report(NOW, None, &server, Some(&report(1, 0)), &mut out);
    assert_eq!(out, []);
}
