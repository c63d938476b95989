//! What is simulated: sizes, load, faults and the policies that are compared.

use std::time::Duration;

use buckthornfall_proto::{check, manifest::Manifest};
use serde_json::json;

/// One policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Servers in turn, rollouts in order of arrival, no second runs, no resumption.
    RoundRobin,
    /// Least loaded server, rollouts in order of arrival, no second runs, no resumption.
    LeastLoaded,
    /// Least loaded server, longest rollouts first, no second runs, no resumption.
    LongestFirst,
    /// The policy of the daemon without second runs.
    NoHedge,
    /// The policy of the daemon without resumption.
    NoResume,
    /// The policy of the daemon.
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

    /// Name in reports.
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

    /// Whether it is a baseline.
    pub fn is_baseline(self) -> bool {
        matches!(self, Variant::RoundRobin | Variant::LeastLoaded | Variant::LongestFirst)
    }
}

/// Sizes, load and faults.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name in reports.
    pub name: &'static str,
    /// Weight of idle time in the objective, in percent.
    pub idle_percent: u32,
    /// Engines.
    pub engines: usize,
    /// Requests in the batch of an engine.
    pub slots: u32,
    /// Trainers.
    pub trainers: usize,
    /// Steps of each trainer.
    pub steps: u64,
    /// Groups of a step.
    pub groups: u32,
    /// Samples of a group.
    pub samples: u32,
    /// Longest sample, in tokens.
    pub max_tokens: u32,
    /// Time that a trainer computes with a step.
    pub compute: Duration,
    /// Mean time between interactive requests; `None` for none.
    pub interactive_every: Option<Duration>,
    /// Whether rollouts run at all.
    pub rollouts: bool,
    /// Mean time between crashes of an engine.
    pub crash_every: Duration,
    /// Seeds, one run each.
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
            compute: Duration::from_secs(25),
            interactive_every: Some(Duration::from_millis(400)),
            rollouts: true,
            crash_every: Duration::from_secs(120),
            seeds: [1, 2, 3, 4, 5],
        }
    }
}

impl Scenario {
    /// Gedel's and the Consortium's objectives and sizes.
    pub fn all() -> [Scenario; 2] {
        let gedel = Scenario { name: "gedel", ..Scenario::default() };
        let consortium =
            Scenario { name: "consortium", idle_percent: 30, engines: 9, ..Scenario::default() };
        [gedel, consortium]
    }

    /// The same without rollouts.
    pub fn only_interactive(&self) -> Scenario {
        Scenario { rollouts: false, ..self.clone() }
    }

    /// The manifest of the scenario: engines in three zones, one of them in another region.
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
        check::manifest_value(doc).expect("the scenario is valid")
    }
}
