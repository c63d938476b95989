//! Validation of settings and manifests: all problems are reported at once, with their location.

use buckthornfall_proto::check;
use serde_json::Value;

const GEDEL: &str = include_str!("../../../examples/gedel.json");
const CONSORTIUM: &str = include_str!("../../../examples/consortium.json");
const SETTINGS: &str = r#"{
    "host": "entry-1", "region": "addis", "zone": "addis-bole",
    "listen": "127.0.0.1:8001", "peer_listen": "127.0.0.1:9001",
    "platform": { "table": "127.0.0.1:7001", "objects": "127.0.0.1:7002",
                  "host_list": "127.0.0.1:7003" }
}"#;

fn gedel_with(change: impl FnOnce(&mut Value)) -> String {
    let mut doc = serde_json::from_str(GEDEL).expect("the example is valid JSON");
    change(&mut doc);
    check::manifest(&doc.to_string()).expect_err("the changed manifest is invalid").to_string()
}

fn settings_with(change: impl FnOnce(&mut Value)) -> String {
    let mut doc = serde_json::from_str(SETTINGS).expect("the settings are valid JSON");
    change(&mut doc);
    check::settings(&doc.to_string()).expect_err("the changed settings are invalid").to_string()
}

#[test]
fn examples_are_valid() {
    check::manifest(GEDEL).expect("gedel.json is valid");
    check::manifest(CONSORTIUM).expect("consortium.json is valid");
    check::settings(SETTINGS).expect("the settings are valid");
}

#[test]
fn schema_problems_are_reported_together() {
    insta::assert_snapshot!(gedel_with(|doc| {
        doc["surprise"] = true.into();
        doc["models"][0]["servers"][0]["slots"] = 0.into();
        doc["trainers"][0]["token_sha256"] = "secret".into();
        doc.as_object_mut().expect("an object").remove("limits");
    }));
}

#[test]
fn consistency_problems_are_reported_together() {
    insta::assert_snapshot!(gedel_with(|doc| {
        doc["trainers"][0]["model"] = "permit-model".into();
        doc["trainers"][1]["adapter"] = "objection".into();
        doc["models"][0]["servers"][1]["zone"] = "addis".into();
        doc["models"][0]["servers"][2]["address"] = "127.0.0.1:70000".into();
        doc["plain_services"][0]["servers"][0]["name"] = "permit-models-1".into();
        doc["objective"]["idle_percent"] = 90.into();
        doc["callers"][1]["token_sha256"] = doc["callers"][0]["token_sha256"].clone();
    }));
}

#[test]
fn settings_problems_are_reported_together() {
    insta::assert_snapshot!(settings_with(|doc| {
        doc["listen"] = "localhost".into();
        doc["http_threads"] = 0.into();
        doc["colour"] = "red".into();
        doc["platform"].as_object_mut().expect("an object").remove("table");
    }));
}

#[test]
fn settings_reject_invalid_ip_address() {
    insta::assert_snapshot!(settings_with(|doc| doc["listen"] = "127.0.0.300:80".into()));
}

#[test]
fn syntax_error_reports_line_and_column() {
    let error = check::manifest("{ \"deployment\": }").expect_err("the text is not valid JSON");
    insta::assert_snapshot!(error.to_string());
}
