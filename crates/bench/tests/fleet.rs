//! Fleet simulation: errors of invalid experiments, and recovery after outages.

use buckthornfall_bench::fleet::{simulate, CallersReport, Experiment, FleetReport};
use serde_json::{json, Value};

const OUTAGE: &str = include_str!("../../../examples/fleet-outage.json");
const CUT_OFF: &str = include_str!("../../../examples/fleet-cut-off.json");
/// Number of seeds.
const SEEDS: u64 = 12;
/// Number of seeds of the comparison for daemons that are cut off.
const CUT_OFF_SEEDS: u64 = 4;

fn outage() -> Value {
    serde_json::from_str(OUTAGE).expect("examples/fleet-outage.json is not valid JSON")
}

fn error(change: impl FnOnce(&mut Value)) -> String {
    let mut experiment = outage();
    change(&mut experiment);
    Experiment::from_json(&experiment.to_string())
        .expect_err("invalid experiment was accepted")
        .to_string()
}

#[test]
fn errors_name_the_invalid_field() {
    let errors = [
        error(|e| e["trainers"][1]["target_groups"] = json!(6)),
        error(|e| e["trainers"][1]["model"] = json!("long")),
        error(|e| e["servers"]["event_ms"] = json!(0)),
        error(|e| e["faults"][2]["share"] = json!(1.5)),
        error(|e| e["daemons"] = json!(0)),
        error(|e| e["callers"] = json!({ "count": 0, "requests_per_s": 1.0, "keep_ms": 1 })),
        error(|e| e["callers"] = json!({ "count": 1, "requests_per_s": 0.0, "keep_ms": 1 })),
        error(|e| e["faults"][0]["kind"] = json!("daemons_cut_off")),
        error(|e| e["faults"][0]["kind"] = json!("flood")),
        error(|e| e["trainer"] = json!([])),
    ];
    insta::assert_snapshot!(errors.join("\n"));
}

/// Compares how daemons keep to the limits of servers that take one request a second from all of
/// them together.
#[test]
fn only_shared_permits_keep_limited_servers_within_their_limits() {
    let mut experiment = outage();
    // Four daemons send requests, so that each of them has only a part of the load.
    for model in ["short-2", "short-3"] {
        let mut trainer = experiment["trainers"][1].clone();
        trainer["model"] = json!(model);
        experiment["trainers"].as_array_mut().unwrap().push(trainer);
    }
    let limited = json!({ "kind": "servers_limited", "at_ms": 8000, "for_ms": 24000, "share": 1.0, "rate": 1.0 });
    experiment["faults"] = json!([limited]);
    let reports = ["shared", "separate", "ignored"].map(|policy| {
        experiment["limits"] = json!(policy);
        let experiment = Experiment::from_json(&experiment.to_string()).unwrap();
        let report = simulate(&experiment, SEEDS, 2, |_| ());
        (policy, report)
    });
    let row = |(policy, report): &(&str, FleetReport)| {
        let (on_time, broken) = (report.on_time.mean, report.broken.len());
        format!("{policy:9} {on_time:.3} on time, {broken} limits broken")
    };
    assert_eq!(reports[0].1.broken, Vec::<String>::new());
    assert!(!reports[1].1.broken.is_empty() && !reports[2].1.broken.is_empty());
    insta::assert_snapshot!(reports.iter().map(row).collect::<Vec<_>>().join("\n"));
}

/// Compares what daemons do that are cut off from all servers: a third of them, then nine tenths.
#[test]
fn only_requests_that_are_passed_on_are_served_at_daemons_that_are_cut_off() {
    let policies = ["refuse", "leave_directory", "pass_on", "pass_on_and_leave"];
    let reports = policies.map(|policy| {
        let mut experiment: Value = serde_json::from_str(CUT_OFF).unwrap();
        experiment["callers"]["lost_paths"] = json!(policy);
        let experiment = Experiment::from_json(&experiment.to_string()).unwrap();
        simulate(&experiment, CUT_OFF_SEEDS, 2, |_| ()).callers.unwrap()
    });
    let [refuse, leave, pass_on, both] = &reports;
    assert!(refuse.cut_off.mean < 0.01 && leave.cut_off.mean < 0.01);
    for report in [pass_on, both] {
        assert!(report.cut_off.mean >= report.others.mean * 0.9, "{report:?}");
    }
    assert!(leave.tries.mean < refuse.tries.mean && both.tries.mean < pass_on.tries.mean);
    let row = |(policy, report): (&str, &CallersReport)| {
        let (early, late, others) = (report.early.mean, report.cut_off.mean, report.others.mean);
        let tries = report.tries.mean;
        format!("{policy:17} {early:.3} early, {late:.3} later of {tries:.0}, {others:.3} at the others")
    };
    let rows: Vec<_> = policies.into_iter().zip(&reports).map(row).collect();
    insta::assert_snapshot!(rows.join("\n"));
}

#[test]
fn results_do_not_depend_on_the_number_of_threads() {
    let experiment = Experiment::from_json(OUTAGE).unwrap();
    let [one, two] = [1, 3].map(|threads| simulate(&experiment, 3, threads, |_| ()));
    assert_eq!(one.seeds, two.seeds);
    assert_eq!(one.describe(), two.describe());
}

#[test]
fn without_faults_every_group_is_on_time() {
    let mut experiment = outage();
    experiment["faults"] = json!([]);
    let experiment = Experiment::from_json(&experiment.to_string()).unwrap();
    let report = simulate(&experiment, SEEDS, 2, |_| ());
    assert!(report.on_time.mean > 0.99, "{}", report.describe());
    assert_eq!(report.broken, Vec::<String>::new());
}

/// Trainers catch up before the simulation ends after a store outage, slow and crashed servers, a
/// crash of the daemon that sends the orders, and a crash of all daemons.
#[test]
fn trainers_catch_up_after_a_store_outage_and_a_crash_of_all_daemons() {
    let experiment = Experiment::from_json(OUTAGE).unwrap();
    let report = simulate(&experiment, SEEDS, 2, |_| ());
    assert_eq!(report.broken, Vec::<String>::new());
    for trainer in &report.trainers {
        assert_eq!(trainer.not_asked.mean, 0.0, "{}", report.describe());
        assert!(trainer.behind.mean < 1.0, "{}", report.describe());
    }
    insta::assert_snapshot!(report.describe());
}
