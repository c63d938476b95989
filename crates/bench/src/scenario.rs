//! Simulated scenarios (sizes, load, faults) and the policies to compare.

use std::time::Duration;

use buckthornfall_proto::{check, manifest::Manifest};
use serde_json::json;

/// Scheduling policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Round-robin over the servers, rollouts in order of arrival, no hedging, no resumption.
    RoundRobin,
    /// Least loaded server, rollouts in order of arrival, no hedging, no resumption.
    LeastLoaded,
    /// Least loaded server, longest rollouts first, no hedging, no resumption.
    LongestFirst,
    /// The daemon's policy without hedging.
    NoHedge,
    /// The daemon's policy without resumption.
    NoResume,
    /// The daemon's policy.
    Full,
}

impl Variant {
    /// All policies, baselines first.
    pub const ALL: [Variant; 6] = [
        Variant::RoundRobin,
        Variant::LeastLoaded,
        Variant::LongestFirst,
        Variant::NoHedge,
        Variant::NoResume,
        Variant::Full,
    ];

    /// Returns the name shown in reports.
    pub fn name(self) -> &'static str {
        match self {
            Variant::RoundRobin => "round robin, first come",
            Variant::LeastLoaded => "least loaded, first come",
            Variant::LongestFirst => "least loaded, longest first",
            Variant::NoHedge => "daemon without second runs",
            Variant::NoResume => "daemon without resumption",
            Variant::Full => "daemon",
        }
    }

    /// Returns whether this is a baseline policy.
    pub fn is_baseline(self) -> bool {
        matches!(self, Variant::RoundRobin | Variant::LeastLoaded | Variant::LongestFirst)
    }
}

/// Sizes, load and faults of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name shown in reports.
    pub name: &'static str,
    /// Weight of idle time in the objective, in percent.
    pub idle_percent: u32,
    /// Number of engines.
    pub engines: usize,
    /// Batch slots of an engine.
    pub slots: u32,
    /// Number of trainers.
    pub trainers: usize,
    /// Number of steps of each trainer.
    pub steps: u64,
    /// Number of groups in a step.
    pub groups: u32,
    /// Number of samples in a group.
    pub samples: u32,
    /// Maximum length of a sample, in tokens.
    pub max_tokens: u32,
    /// Training time of a step.
    pub training_time: Duration,
    /// Mean interval between interactive requests; `None` disables them.
    pub interactive_interval: Option<Duration>,
    /// Whether trainers submit rollouts.
    pub rollouts: bool,
    /// Mean interval between engine crashes.
    pub crash_interval: Duration,
    /// Random seeds; one simulation runs per seed.
    pub seeds: [u64; 5],
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            name: "",
            idle_percent: 80,
            engines: 8,
            slots: 16,
            trainers: 2,
            steps: 8,
            groups: 24,
            samples: 8,
            max_tokens: 2048,
            training_time: Duration::from_secs(25),
            interactive_interval: Some(Duration::from_millis(400)),
            rollouts: true,
            crash_interval: Duration::from_secs(120),
            seeds: [1, 2, 3, 4, 5],
        }
    }
}

impl Scenario {
    /// Returns the scenarios with the objectives and sizes of Gedel and the Consortium.
    pub fn all() -> [Scenario; 2] {
        let gedel = Scenario { name: "gedel", ..Scenario::default() };
        let consortium =
            Scenario { name: "consortium", idle_percent: 30, engines: 9, ..Scenario::default() };
        [gedel, consortium]
    }

    /// Returns the scenario without rollouts.
    pub fn without_rollouts(&self) -> Scenario {
        Scenario { rollouts: false, ..self.clone() }
    }

    /// Returns the manifest of the scenario: engines in three zones, one of which is in another
    /// region.
    pub fn manifest(&self) -> Manifest {
        let zones = ["near", "next", "far"];
        let server = |name: String, index: usize, slots: u32| {
            json!({ "name": name, "address": format!("10.0.0.{}:{}", index + 1, 7000 + slots),
                "zone": zones[index % zones.len()], "slots": slots, "checks_fence": true })
        };
        let engines: Vec<_> =
            (0..self.engines).map(|i| server(format!("engine-{i}"), i, self.slots)).collect();
        let adapters: Vec<_> = (0..self.trainers).map(|i| format!("adapter-{i}")).collect();
        let trainers: Vec<_> = (0..self.trainers)
            .map(|i| {
                json!({ "name": format!("trainer-{i}"), "model": "model",
                    "adapter": format!("adapter-{i}"), "scoring_service": "scoring",
                    "staleness_bound": 2, "weight": 1, "step_deadline_ms": 1_320_000,
                    "token_sha256": format!("{i:064x}") })
            })
            .collect();
        let doc = json!({
            "deployment": self.name,
            "objective": { "idle_percent": self.idle_percent,
                "staleness_percent": 100 - self.idle_percent },
            "regions": [{ "name": "home", "zones": ["near", "next"] },
                { "name": "away", "zones": ["far"] }],
            "store_region": "home",
            "models": [{ "name": "model", "version": 1, "adapters": adapters, "max_tokens": 4096,
                "capacity_floor_percent": 60, "servers": engines }],
            "trainers": trainers,
            "scoring_services": [{ "name": "scoring", "servers": [server("score".into(), 0, 512)] }],
            "plain_services": [],
            "callers": [],
            "operators": [{ "name": "operator", "token_sha256": format!("{:064x}", 99) }],
            "limits": { "queue_length": 256, "retry_percent": 20,
                "region_link_bytes_per_s": 14_000_000, "request_timeout_ms": 60_000 },
            "service_levels": [],
        });
        check::manifest_value(doc).expect("scenario manifest is invalid")
    }
}
