//! Experiment file: sizes, load and faults.

use std::{fmt, time::Duration};

use serde::Deserialize;

/// Error of an invalid experiment file.
#[derive(Debug)]
pub enum Error {
    /// The text is not valid JSON, or not an experiment.
    Parse(serde_json::Error),
    /// A field has an invalid value.
    Value {
        /// Path of the field.
        field: String,
        /// What is wrong with the value.
        message: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Parse(e) => write!(f, "{e}"),
            Error::Value { field, message } => write!(f, "{field}: {message}"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of reading an experiment.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Sizes, load and faults of a simulation. Times are in milliseconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name shown in reports.
    pub name: String,
    /// Time during which trainers submit steps.
    pub load_ms: u64,
    /// Time after the load in which open steps can end.
    pub drain_ms: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Model servers.
    pub servers: Servers,
    /// Store.
    pub store: Store,
    /// Trainers.
    pub trainers: Vec<Trainer>,
    /// How daemons keep to the request limits of servers.
    #[serde(default)]
    pub limits: LimitPolicy,
    /// Callers of a plain service; none by default.
    #[serde(default)]
    pub callers: Option<Callers>,
    /// Injected faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Settings of the callers of a plain service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// Number of callers.
    pub count: usize,
    /// Requests of all callers per second.
    pub requests_per_s: f64,
    /// Time for which a caller keeps the addresses that it was told.
    pub keep_ms: u64,
    /// What a daemon does that has lost all servers.
    #[serde(default)]
    pub lost_paths: LostPathPolicy,
}

/// What a daemon does that has lost all servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostPathPolicy {
    /// It refuses its callers.
    Refuse,
    /// It refuses its callers, and the directory no longer names it.
    LeaveDirectory,
    /// It passes requests on to other daemons.
    PassOn,
    /// It passes requests on, and the directory no longer names it.
    #[default]
    PassOnAndLeave,
}

/// How daemons keep to the request limits of servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitPolicy {
    /// One daemon issues the permits of a server for all.
    #[default]
    Shared,
    /// Each daemon keeps to the limit on its own.
    Separate,
    /// Daemons ignore the limits.
    Ignored,
}

/// Settings of the model servers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// Number of servers.
    pub count: usize,
    /// Maximum number of concurrent requests on a server.
    pub slots: u32,
    /// Time per event of a request alone on a server.
    pub event_ms: f64,
    /// Fraction by which each additional request slows down all requests.
    pub slowed_by_each: f64,
    /// Share of servers that are permanently slower.
    pub slower_share: f64,
    /// Factor on the time per event on the slower servers.
    pub slower: f64,
    /// Time to load weights.
    pub load_ms: u64,
    /// Number of concurrent weight loads beyond which they slow each other down.
    pub loads_at_once: usize,
    /// Whether servers refuse orders with an outdated fencing token.
    pub check_fences: bool,
    /// Minimum time between the orders of two hosts to a server that does not check fencing tokens.
    pub turns_ms: u64,
}

/// Settings of the store.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Latency of a call.
    pub call_ms: u64,
}

/// Settings of a trainer.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    /// Model of the trainer.
    pub model: String,
    /// Number of groups in a step.
    pub groups: usize,
    /// Number of samples in a group.
    pub group_size: usize,
    /// Number of complete groups that the trainer waits for.
    pub target_groups: usize,
    /// Interval between two steps.
    pub every_ms: u64,
    /// Time from the submission of a step within which a complete group is on time.
    pub due_ms: u64,
    /// Timeout after which the trainer ends an incomplete step.
    pub limit_ms: u64,
    /// Time to train on a step.
    pub train_ms: u64,
    /// Median number of events of a sample.
    pub events_median: f64,
    /// Spread of the log-normal distribution of the number of events.
    pub events_spread: f64,
    /// Maximum number of events of a sample.
    pub events_max: u64,
    /// Spread of the estimated number of events around the actual one.
    pub estimate_spread: f64,
    /// Time to score a sample.
    pub score_ms: u64,
}

/// Injected fault.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of fault.
    pub kind: FaultKind,
    /// Start of the fault, from the start of the load.
    pub at_ms: u64,
    /// Duration of the fault.
    pub for_ms: u64,
    /// Share of the servers or daemons that are affected.
    #[serde(default = "all")]
    pub share: f64,
    /// Factor on the time per event on slow servers.
    #[serde(default = "slow")]
    pub slower: f64,
    /// Request limit of limited servers, in requests per second.
    #[serde(default = "one")]
    pub rate: f64,
}

fn all() -> f64 {
    1.0
}

fn one() -> f64 {
    1.0
}

fn slow() -> f64 {
    4.0
}

/// Kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The store is unavailable.
    StoreAway,
    /// Servers are slow.
    ServersSlow,
    /// Servers fail every new request.
    ServersFail,
    /// Servers state a request limit, which holds for all daemons together.
    ServersLimited,
    /// Servers crash and restart with the same weights.
    ServersCrash,
    /// Daemons are killed, and restart at the end of the fault.
    DaemonsKilled,
    /// The daemon that holds the lease for orders to servers is killed, and restarts at the end of
    /// the fault.
    HolderKilled,
    /// Daemons reach no server, while callers, the store and the other daemons reach them. Only callers
    /// are affected in the simulation, not trainers.
    DaemonsCutOff,
}

impl Experiment {
    /// Parses and validates an experiment.
    pub fn from_json(text: &str) -> Result<Experiment> {
        let experiment: Experiment = serde_json::from_str(text).map_err(Error::Parse)?;
        experiment.check()?;
        Ok(experiment)
    }

    fn check(&self) -> Result<()> {
        check_min("daemons", self.daemons, 1)?;
        check_min("servers.count", self.servers.count, 1)?;
        check_min("servers.slots", self.servers.slots as usize, 1)?;
        check_positive("servers.event_ms", self.servers.event_ms)?;
        check_positive("servers.slower", self.servers.slower)?;
        check_share("servers.slower_share", self.servers.slower_share)?;
        check_min("trainers", self.trainers.len(), 1)?;
        for (index, trainer) in self.trainers.iter().enumerate() {
            trainer.check(&format!("trainers[{index}]"))?;
            let is_duplicate =
                self.trainers[..index].iter().any(|other| other.model == trainer.model);
            if is_duplicate {
                return invalid_value(
                    format!("trainers[{index}].model"),
                    "already used by another trainer",
                );
            }
        }
        if let Some(callers) = &self.callers {
            check_min("callers.count", callers.count, 1)?;
            check_positive("callers.requests_per_s", callers.requests_per_s)?;
        }
        for (index, fault) in self.faults.iter().enumerate() {
            if fault.kind == FaultKind::DaemonsCutOff && self.callers.is_none() {
                let message = "daemons_cut_off affects callers only; add \"callers\"";
                return invalid_value(format!("faults[{index}].kind"), message);
            }
            check_share(&format!("faults[{index}].share"), fault.share)?;
            check_positive(&format!("faults[{index}].slower"), fault.slower)?;
            check_positive(&format!("faults[{index}].rate"), fault.rate)?;
        }
        Ok(())
    }
}

impl Trainer {
    fn check(&self, field: &str) -> Result<()> {
        check_min(&format!("{field}.groups"), self.groups, 1)?;
        check_min(&format!("{field}.group_size"), self.group_size, 1)?;
        check_min(&format!("{field}.target_groups"), self.target_groups, 1)?;
        if self.target_groups > self.groups {
            let message = format!("{} is more than the {} groups", self.target_groups, self.groups);
            return invalid_value(format!("{field}.target_groups"), &message);
        }
        check_min(&format!("{field}.every_ms"), self.every_ms as usize, 1)?;
        check_positive(&format!("{field}.events_median"), self.events_median)?;
        check_min(&format!("{field}.events_max"), self.events_max as usize, 1)
    }

    /// Returns the interval between two steps.
    pub(super) fn step_interval(&self) -> Duration {
        Duration::from_millis(self.every_ms)
    }
}

fn invalid_value<T>(field: String, message: &str) -> Result<T> {
    Err(Error::Value { field, message: message.to_owned() })
}

fn check_min(field: &str, number: usize, min: usize) -> Result<()> {
    if number < min {
        return invalid_value(
            field.to_owned(),
            &format!("{number} is less than the minimum of {min}"),
        );
    }
    Ok(())
}

fn check_positive(field: &str, number: f64) -> Result<()> {
    if !number.is_finite() || number <= 0.0 {
        return invalid_value(field.to_owned(), &format!("{number} is not greater than 0"));
    }
    Ok(())
}

fn check_share(field: &str, number: f64) -> Result<()> {
    if !(0.0..=1.0).contains(&number) {
        return invalid_value(field.to_owned(), &format!("{number} is not between 0 and 1"));
    }
    Ok(())
}
