//! The closed loop: experiments that cannot be played, and what an outage costs.

use buckthornfall_bench::fleet::{play, Experiment};
use serde_json::{json, Value};

const OUTAGE: &str = include_str!("../../../examples/fleet-outage.json");
/// Seeds of a day.
const SEEDS: u64 = 12;

fn outage() -> Value {
    serde_json::from_str(OUTAGE).expect("the example is JSON")
}

fn error(change: impl FnOnce(&mut Value)) -> String {
    let mut experiment = outage();
    change(&mut experiment);
    Experiment::from_json(&experiment.to_string()).expect_err("it cannot be played").to_string()
}

#[test]
fn errors_name_the_place() {
    let errors = [
        error(|e| e["trainers"][1]["target_groups"] = json!(6)),
        error(|e| e["trainers"][1]["model"] = json!("long")),
        error(|e| e["servers"]["event_ms"] = json!(0)),
        error(|e| e["faults"][2]["share"] = json!(1.5)),
        error(|e| e["daemons"] = json!(0)),
        error(|e| e["faults"][0]["kind"] = json!("flood")),
        error(|e| e["trainer"] = json!([])),
    ];
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn a_seed_plays_the_same_day_each_time() {
    let experiment = Experiment::from_json(OUTAGE).unwrap();
    let [one, two] = [1, 3].map(|threads| play(&experiment, 3, threads, |_| ()));
    assert_eq!(one.seeds, two.seeds);
    assert_eq!(one.describe(), two.describe());
}

#[test]
fn without_faults_every_group_is_on_time() {
    let mut experiment = outage();
    experiment["faults"] = json!([]);
    let experiment = Experiment::from_json(&experiment.to_string()).unwrap();
    let report = play(&experiment, SEEDS, 2, |_| ());
    assert!(report.on_time.mean > 0.99, "{}", report.describe());
    assert_eq!(report.broken, Vec::<String>::new());
}

/// An outage of the store, slow and lost servers, and then the loss of the daemon that gives the
/// orders and of all daemons: trainers catch up before the day ends.
#[test]
fn trainers_catch_up_after_an_outage_and_the_loss_of_all_daemons() {
    let experiment = Experiment::from_json(OUTAGE).unwrap();
    let report = play(&experiment, SEEDS, 2, |_| ());
    assert_eq!(report.broken, Vec::<String>::new());
    for trainer in &report.trainers {
        assert_eq!(trainer.not_asked.mean, 0.0, "{}", report.describe());
        assert!(trainer.behind.mean < 1.0, "{}", report.describe());
    }
    insta::assert_snapshot!(report.describe());
}
