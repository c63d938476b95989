//! Validation of settings and manifests. Reports all schema violations at once, or else all broken
//! consistency rules, each with its JSON pointer.

use std::{
    collections::{HashMap, HashSet},
    sync::OnceLock,
};

use jsonschema::Validator;
use serde_json::Value;
use snafu::Snafu;

use crate::{
    manifest::{Manifest, Server},
    settings::Settings,
};

/// Problem found in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// JSON pointer to the value; empty for the whole document.
    pub pointer: String,
    /// Description of the problem.
    pub message: String,
}

/// Error for a document that was rejected.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The text is not JSON.
    #[snafu(display("not valid JSON: {message}"))]
    Syntax {
        /// Error message of the parser, with line and column.
        message: String,
    },
    /// The document violates the schema or a consistency rule.
    #[snafu(display("{}", join_lines(problems)))]
    Invalid {
        /// All schema violations, or else all broken consistency rules.
        problems: Vec<Problem>,
    },
}

/// Result type of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

const SETTINGS_SCHEMA: &str = include_str!("../../../schema/settings.schema.json");
const MANIFEST_SCHEMA: &str = include_str!("../../../schema/manifest.schema.json");

/// Parses and validates settings from JSON text.
pub fn settings(text: &str) -> Result<Settings> {
    let doc = parse(text)?;
    let problems = schema_problems(&validator(SETTINGS_SCHEMA), &doc);
    ensure_no_problems(problems)?;
    let settings: Settings = deserialize(doc)?;
    let mut problems = Problems::default();
    for (pointer, address) in [
        ("/listen", &settings.listen),
        ("/peer_listen", &settings.peer_listen),
        ("/platform/table", &settings.platform.table),
        ("/platform/objects", &settings.platform.objects),
        ("/platform/host_list", &settings.platform.host_list),
    ] {
        problems.check_address(pointer.to_owned(), address);
    }
    ensure_no_problems(problems.0)?;
    Ok(settings)
}

/// Parses and validates a manifest from JSON text.
pub fn manifest(text: &str) -> Result<Manifest> {
    let doc = parse(text)?;
    manifest_value(doc)
}

/// Validates a manifest that was already parsed as JSON.
pub fn manifest_value(doc: Value) -> Result<Manifest> {
    static VALIDATOR: OnceLock<Validator> = OnceLock::new();
    ensure_no_problems(schema_problems(
        VALIDATOR.get_or_init(|| validator(MANIFEST_SCHEMA)),
        &doc,
    ))?;
    let manifest: Manifest = deserialize(doc)?;
    ensure_no_problems(manifest_problems(&manifest))?;
    Ok(manifest)
}

fn join_lines(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(|p| format!("{}: {}", p.pointer, p.message)).collect();
    lines.join("\n")
}

fn parse(text: &str) -> Result<Value> {
    serde_json::from_str(text).map_err(|e| Error::Syntax { message: e.to_string() })
}

fn deserialize<T: serde::de::DeserializeOwned>(doc: Value) -> Result<T> {
    serde_json::from_value(doc).map_err(|e| Error::Syntax { message: e.to_string() })
}

fn ensure_no_problems(problems: Vec<Problem>) -> Result<()> {
    if problems.is_empty() {
        Ok(())
    } else {
        InvalidSnafu { problems }.fail()
    }
}

fn validator(schema: &str) -> Validator {
    let schema = serde_json::from_str(schema).expect("the embedded schema is valid");
    Validator::new(&schema).expect("the embedded schema is valid")
}

fn schema_problems(validator: &Validator, doc: &Value) -> Vec<Problem> {
    validator
        .iter_errors(doc)
        .map(|e| Problem { pointer: e.instance_path.to_string(), message: e.to_string() })
        .collect()
}

#[derive(Default)]
struct Problems(Vec<Problem>);

impl Problems {
    fn add(&mut self, pointer: String, message: String) {
        self.0.push(Problem { pointer, message });
    }

    fn check_address(&mut self, pointer: String, address: &str) {
        if address.parse::<std::net::SocketAddrV4>().is_err() {
            self.add(pointer, format!("{address:?} is not an address and port"));
        }
    }

    fn check_reference(&mut self, pointer: String, kind: &str, name: &str, known: &HashSet<&str>) {
        if !known.contains(name) {
            self.add(pointer, format!("{kind} {name:?} does not exist in the manifest"));
        }
    }

    fn check_unique<'a>(&mut self, list: &str, kind: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = HashMap::new();
        for (i, name) in names.enumerate() {
            if let Some(first) = seen.insert(name, i) {
                let message = format!("{kind} {name:?} stands already at {list}/{first}");
                self.add(format!("{list}/{i}/name"), message);
            }
        }
    }
}

fn manifest_problems(manifest: &Manifest) -> Vec<Problem> {
    let mut problems = Problems::default();
    check_objective(manifest, &mut problems);
    check_names(manifest, &mut problems);
    check_servers(manifest, &mut problems);
    check_trainers(manifest, &mut problems);
    check_tokens(manifest, &mut problems);
    problems.0
}

fn check_objective(manifest: &Manifest, problems: &mut Problems) {
    let objective = &manifest.objective;
    let sum = objective.idle_percent + objective.staleness_percent;
    if sum != 100 {
        let message = format!("idle_percent and staleness_percent add up to {sum}, not to 100");
        problems.add("/objective".to_owned(), message);
    }
    let regions: HashSet<_> = manifest.regions.iter().map(|r| r.name.as_str()).collect();
    problems.check_reference(
        "/store_region".to_owned(),
        "region",
        &manifest.store_region,
        &regions,
    );
}

fn check_names(manifest: &Manifest, problems: &mut Problems) {
    let m = manifest;
    problems.check_unique("/regions", "region", m.regions.iter().map(|x| x.name.as_str()));
    problems.check_unique("/trainers", "trainer", m.trainers.iter().map(|x| x.name.as_str()));
    problems.check_unique("/callers", "caller", m.callers.iter().map(|x| x.name.as_str()));
    problems.check_unique("/operators", "operator", m.operators.iter().map(|x| x.name.as_str()));
    let mut service_names = HashMap::new();
    let models = m.models.iter().map(|x| x.name.as_str()).enumerate().map(|x| ("/models", x));
    let scoring = m.scoring_services.iter().map(|x| x.name.as_str()).enumerate();
    let plain = m.plain_services.iter().map(|x| x.name.as_str()).enumerate();
    let all = models
        .chain(scoring.map(|x| ("/scoring_services", x)))
        .chain(plain.map(|x| ("/plain_services", x)));
    for (list, (i, name)) in all {
        let pointer = format!("{list}/{i}");
        if let Some(first) = service_names.insert(name, pointer.clone()) {
            problems.add(
                format!("{pointer}/name"),
                format!("service {name:?} stands already at {first}"),
            );
        }
    }
    for (i, service) in m.plain_services.iter().enumerate() {
        let names = service.operations.iter().map(|x| x.name.as_str());
        problems.check_unique(&format!("/plain_services/{i}/operations"), "operation", names);
    }
}

/// Returns all servers of the manifest, each with its JSON pointer.
fn all_servers(manifest: &Manifest) -> Vec<(String, &Server)> {
    let models = manifest.models.iter().map(|x| &x.servers).enumerate();
    let scoring = manifest.scoring_services.iter().map(|x| &x.servers).enumerate();
    let plain = manifest.plain_services.iter().map(|x| &x.servers).enumerate();
    let lists = models
        .map(|x| ("/models", x))
        .chain(scoring.map(|x| ("/scoring_services", x)))
        .chain(plain.map(|x| ("/plain_services", x)));
    lists
        .flat_map(|(list, (i, servers))| {
            let with_pointer = move |(j, s)| (format!("{list}/{i}/servers/{j}"), s);
            servers.iter().enumerate().map(with_pointer)
        })
        .collect()
}

fn check_servers(manifest: &Manifest, problems: &mut Problems) {
    let zones: HashSet<_> =
        manifest.regions.iter().flat_map(|r| r.zones.iter().map(String::as_str)).collect();
    let mut names = HashMap::new();
    let mut addresses = HashMap::new();
    for (pointer, server) in all_servers(manifest) {
        problems.check_address(format!("{pointer}/address"), &server.address);
        problems.check_reference(
            format!("{pointer}/zone"),
            "availability zone",
            &server.zone,
            &zones,
        );
        if let Some(first) = names.insert(server.name.as_str(), pointer.clone()) {
            let message = format!("server {:?} stands already at {first}", server.name);
            problems.add(format!("{pointer}/name"), message);
        }
        if let Some(first) = addresses.insert(server.address.as_str(), pointer.clone()) {
            let message = format!("address {:?} stands already at {first}", server.address);
            problems.add(format!("{pointer}/address"), message);
        }
    }
}

fn check_trainers(manifest: &Manifest, problems: &mut Problems) {
    let scoring: HashSet<_> = manifest.scoring_services.iter().map(|s| s.name.as_str()).collect();
    let models: HashSet<_> = manifest.models.iter().map(|m| m.name.as_str()).collect();
    for (i, trainer) in manifest.trainers.iter().enumerate() {
        let pointer = format!("/trainers/{i}");
        problems.check_reference(format!("{pointer}/model"), "model", &trainer.model, &models);
        let service = &trainer.scoring_service;
        problems.check_reference(
            format!("{pointer}/scoring_service"),
            "scoring service",
            service,
            &scoring,
        );
        let model = manifest.models.iter().find(|m| m.name == trainer.model);
        if let (Some(adapter), Some(model)) = (&trainer.adapter, model) {
            if !model.adapters.contains(adapter) {
                let message =
                    format!("adapter {adapter:?} does not exist in model {:?}", model.name);
                problems.add(format!("{pointer}/adapter"), message);
            }
        }
    }
}

fn check_tokens(manifest: &Manifest, problems: &mut Problems) {
    let trainers = manifest.trainers.iter().map(|x| &x.token_sha256).enumerate();
    let callers = manifest.callers.iter().map(|x| &x.token_sha256).enumerate();
    let operators = manifest.operators.iter().map(|x| &x.token_sha256).enumerate();
    let all = trainers
        .map(|x| ("/trainers", x))
        .chain(callers.map(|x| ("/callers", x)))
        .chain(operators.map(|x| ("/operators", x)));
    let mut seen = HashMap::new();
    for (list, (i, digest)) in all {
        let pointer = format!("{list}/{i}");
        if let Some(first) = seen.insert(digest, pointer.clone()) {
            let message = format!("the same token stands already at {first}");
            problems.add(format!("{pointer}/token_sha256"), message);
        }
    }
}
