//! Fixture: manifests of configurable size.

use buckthornfall_proto::{digest::sha256_hex, messages::ManifestPush};
use serde_json::{json, Value};

/// Returns a manifest with 11 availability zones, `servers` engines and `trainers` trainers;
/// `variant` changes its content.
pub fn manifest(servers: usize, trainers: usize, variant: usize) -> Value {
    let regions: Vec<_> = (0..3)
        .map(|region| {
            let zones: Vec<_> =
                (0..11).filter(|zone| zone % 3 == region).map(|z| format!("zone-{z}")).collect();
            json!({ "name": format!("region-{region}"), "zones": zones })
        })
        .collect();
    let server = |i: usize, kind: &str, port: usize| {
        json!({ "name": format!("{kind}-{i}"), "address": format!("10.0.{}.{}:{port}", i / 250, i % 250),
            "zone": format!("zone-{}", i % 11), "slots": 128, "checks_fence": !i.is_multiple_of(3) })
    };
    let adapters: Vec<_> = (0..trainers).map(|i| format!("adapter-{i}")).collect();
    let trainer = |i: usize| {
        json!({ "name": format!("trainer-{i}"), "model": "model", "adapter": format!("adapter-{i}"),
            "scoring_service": "scoring", "staleness_bound": 2, "weight": 1,
            "step_deadline_ms": 1_320_000, "token_sha256": token("trainer", i) })
    };
    let caller = |i: usize| {
        json!({ "name": format!("caller-{i}"), "token_sha256": token("caller", i),
            "requests_per_s": 100 + variant, "burst": 100, "max_in_flight": 64 })
    };
    json!({
        "deployment": "sizes",
        "objective": { "idle_percent": 80, "staleness_percent": 20 },
        "regions": regions,
        "store_region": "region-0",
        "models": [{ "name": "model", "version": 1, "adapters": adapters, "max_tokens": 4096,
            "capacity_floor_percent": 60,
            "servers": (0..servers).map(|i| server(i, "engine", 7000)).collect::<Vec<_>>() }],
        "trainers": (0..trainers).map(trainer).collect::<Vec<_>>(),
        "scoring_services": [{ "name": "scoring",
            "servers": (0..8).map(|i| server(i, "score", 7001)).collect::<Vec<_>>() }],
        "plain_services": [{ "name": "plain", "operations": [{ "name": "look", "idempotent": true }],
            "servers": (0..8).map(|i| server(i, "plain", 7002)).collect::<Vec<_>>() }],
        "callers": (0..4).map(caller).collect::<Vec<_>>(),
        "operators": [{ "name": "pipeline", "token_sha256": token("operator", 0) }],
        "limits": { "queue_length": 256, "retry_percent": 10,
            "region_link_bytes_per_s": 14_000_000, "request_timeout_ms": 30_000 },
        "service_levels": [],
    })
}

fn token(kind: &str, index: usize) -> String {
    sha256_hex(format!("{kind}-{index}").as_bytes())
}

/// Returns a complete manifest as pushed by another daemon.
#[allow(dead_code, reason = "each target that includes this file uses a part of it")]
pub fn push(revision: u64, value: &Value) -> ManifestPush {
    let content = serde_json::to_string_pretty(value).expect("the manifest is serializable");
    ManifestPush {
        from: "entry-0".to_owned(),
        revision,
        hash: sha256_hex(content.as_bytes()),
        base: 0,
        content,
    }
}
