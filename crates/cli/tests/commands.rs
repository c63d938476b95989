//! Commands of the binary: output and exit codes.

use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_buckthornfall"))
        .args(arguments)
        .env_remove("BUCKTHORNFALL_DAEMON")
        .env_remove("BUCKTHORNFALL_TOKEN")
        .output()
        .expect("the binary runs")
}

fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn temporary(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the folder for tests can be written");
    path.display().to_string()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn check_accepts_the_examples() {
    for name in ["gedel.json", "consortium.json"] {
        let output = run(&["check", &example(name)]);
        assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    }
    let output = run(&["--format", "json", "check", &example("gedel.json")]);
    let checked: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!((&checked["servers"], &checked["trainers"]), (&8.into(), &2.into()));
}

#[test]
fn check_lists_all_problems_with_their_places() {
    let text = fs::read_to_string(example("gedel.json")).expect("the example exists");
    let text = text.replace("\"idle_percent\": 80", "\"idle_percent\": 70");
    let text = text.replace("\"store_region\": \"addis\"", "\"store_region\": \"addi\"");
    let path = temporary("two-problems.json", &text);
    let output = run(&["check", &path]);
    assert_eq!(output.status.code(), Some(2));
    let message = stderr(&output);
    assert!(message.contains("/objective: "), "{message}");
    assert!(message.contains("/store_region: region \"addi\" does not exist"), "{message}");
}

#[test]
fn a_missing_file_daemon_or_token_is_an_input_error() {
    let output = run(&["check", "no-such-file.json"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("no-such-file.json"));
    let output = run(&["status", "--token", "t"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("--daemon"));
    let output = run(&["status", "--daemon", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("--token"));
}

#[test]
fn a_daemon_that_is_not_there_is_a_failure() {
    let output = run(&["entry", "--daemon", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("cannot connect"), "{}", stderr(&output));
}

#[test]
fn the_demo_fails_when_a_stand_in_is_broken() {
    for (part, promise) in [
        ("answers", "got the answer to another request"),
        ("cursor", "got samples twice"),
        ("ledger", "a non-idempotent request ran twice"),
    ] {
        let output = run(&["demo", "--steps", "1", "--break", part]);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(output.status.code(), Some(5), "{part}: {text}");
        assert!(text.contains(promise), "{part}: {text}");
    }
}
