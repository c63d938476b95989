//! The experiment file: sizes, load and faults.

use std::{fmt, time::Duration};

use serde::Deserialize;

/// Why an experiment cannot be played.
#[derive(Debug)]
pub enum Error {
    /// The text is no experiment.
    Parse(serde_json::Error),
    /// A value does not fit.
    Value {
        /// Its place.
        place: String,
        /// What is wrong.
        message: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Parse(e) => write!(f, "{e}"),
            Error::Value { place, message } => write!(f, "{place}: {message}"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of reading an experiment.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Sizes, load and faults of a day. Times are in milliseconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name in reports.
    pub name: String,
    /// Time in which trainers ask for steps.
    pub load_ms: u64,
    /// Time after it in which steps may end.
    pub drain_ms: u64,
    /// Daemons.
    pub daemons: usize,
    /// The model servers.
    pub servers: Servers,
    /// The store.
    pub store: Store,
    /// The trainers.
    pub trainers: Vec<Trainer>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Model servers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// Their number.
    pub count: usize,
    /// Requests that each runs at once.
    pub slots: u32,
    /// Time of an event of a request that runs alone.
    pub event_ms: f64,
    /// Share by which each further request slows the events of all.
    pub slowed_by_each: f64,
    /// Share of the servers that are slower.
    pub slower_share: f64,
    /// How many times as long an event takes there.
    pub slower: f64,
    /// Time of a load of weights.
    pub load_ms: u64,
    /// Loads at once from which on they slow each other.
    pub loads_at_once: usize,
    /// Whether servers refuse a lower fencing number.
    pub check_fences: bool,
    /// Time between the orders of two hosts to a server, if they do not.
    pub turns_ms: u64,
}

/// The store.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Time of a call.
    pub call_ms: u64,
}

/// A trainer.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    /// Its model.
    pub model: String,
    /// Groups of a step.
    pub groups: usize,
    /// Samples of a group.
    pub group_size: usize,
    /// Whole groups that it waits for.
    pub target_groups: usize,
    /// Time between two steps.
    pub every_ms: u64,
    /// A group that is whole within this time is on time.
    pub due_ms: u64,
    /// The trainer gives a step up after this time.
    pub limit_ms: u64,
    /// Time of its training.
    pub train_ms: u64,
    /// Median number of events of a sample.
    pub events_median: f64,
    /// Spread of a logarithmic normal distribution around it.
    pub events_spread: f64,
    /// Largest number.
    pub events_max: u64,
    /// Spread of the estimates around the numbers.
    pub estimate_spread: f64,
    /// Time of a score.
    pub score_ms: u64,
}

/// Something that goes wrong.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// When.
    pub at_ms: u64,
    /// How long.
    pub for_ms: u64,
    /// Share of the servers or daemons, where it does not meet all.
    #[serde(default = "all")]
    pub share: f64,
    /// How many times as slow servers are.
    #[serde(default = "slow")]
    pub slower: f64,
}

fn all() -> f64 {
    1.0
}

fn slow() -> f64 {
    4.0
}

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The store refuses all calls.
    StoreAway,
    /// Servers are slow.
    ServersSlow,
    /// Servers fail all that they run.
    ServersFail,
    /// Servers are down and come back with the weights that they had.
    ServersCrash,
    /// Daemons are killed, and come back after the time.
    DaemonsKilled,
    /// The daemon that gives the orders to servers is killed.
    HolderKilled,
}

impl Experiment {
    /// Reads and checks an experiment.
    pub fn from_json(text: &str) -> Result<Experiment> {
        let experiment: Experiment = serde_json::from_str(text).map_err(Error::Parse)?;
        experiment.check()?;
        Ok(experiment)
    }

    fn check(&self) -> Result<()> {
        at_least("daemons", self.daemons, 1)?;
        at_least("servers.count", self.servers.count, 1)?;
        at_least("servers.slots", self.servers.slots as usize, 1)?;
        positive("servers.event_ms", self.servers.event_ms)?;
        positive("servers.slower", self.servers.slower)?;
        share("servers.slower_share", self.servers.slower_share)?;
        at_least("trainers", self.trainers.len(), 1)?;
        for (index, trainer) in self.trainers.iter().enumerate() {
            trainer.check(&format!("trainers[{index}]"))?;
            let twice = self.trainers[..index].iter().any(|other| other.model == trainer.model);
            if twice {
                return value(format!("trainers[{index}].model"), "another trainer has it");
            }
        }
        for (index, fault) in self.faults.iter().enumerate() {
            share(&format!("faults[{index}].share"), fault.share)?;
            positive(&format!("faults[{index}].slower"), fault.slower)?;
        }
        Ok(())
    }
}

impl Trainer {
    fn check(&self, place: &str) -> Result<()> {
        at_least(&format!("{place}.groups"), self.groups, 1)?;
        at_least(&format!("{place}.group_size"), self.group_size, 1)?;
        at_least(&format!("{place}.target_groups"), self.target_groups, 1)?;
        if self.target_groups > self.groups {
            let message = format!("{} is more than the {} groups", self.target_groups, self.groups);
            return value(format!("{place}.target_groups"), &message);
        }
        at_least(&format!("{place}.every_ms"), self.every_ms as usize, 1)?;
        positive(&format!("{place}.events_median"), self.events_median)?;
        at_least(&format!("{place}.events_max"), self.events_max as usize, 1)
    }

    /// Time between two steps.
    pub(super) fn every(&self) -> Duration {
        Duration::from_millis(self.every_ms)
    }
}

fn value<T>(place: String, message: &str) -> Result<T> {
    Err(Error::Value { place, message: message.to_owned() })
}

fn at_least(place: &str, number: usize, least: usize) -> Result<()> {
    if number < least {
        return value(place.to_owned(), &format!("{number} is less than {least}"));
    }
    Ok(())
}

fn positive(place: &str, number: f64) -> Result<()> {
    if !number.is_finite() || number <= 0.0 {
        return value(place.to_owned(), &format!("{number} is not above 0"));
    }
    Ok(())
}

fn share(place: &str, number: f64) -> Result<()> {
    if !(0.0..=1.0).contains(&number) {
        return value(place.to_owned(), &format!("{number} is not between 0 and 1"));
    }
    Ok(())
}
