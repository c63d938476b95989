//! Counts of good and total events per service level indicator over several windows, from which
//! error budget burn rates are computed.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use buckthornfall_proto::{
    manifest::{Indicator, ServiceLevel},
    messages::{BurnCount, BurnTarget, BurnWindow},
};

use crate::Now;

/// Reported windows: five minutes, one hour, six hours.
pub const WINDOWS: [Duration; 3] =
    [Duration::from_secs(300), Duration::from_secs(3600), Duration::from_secs(6 * 3600)];
/// Interval between two snapshots of the counters.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Count {
    /// Never above `total`.
    good: u64,
    total: u64,
}

/// Service level counters of one daemon.
#[derive(Debug, Default)]
pub struct BurnCounters {
    levels: Vec<ServiceLevel>,
    counts: BTreeMap<String, Count>,
    /// Snapshots of the counters, oldest first, as far back as the longest window.
    snapshots: VecDeque<(Now, BTreeMap<String, Count>)>,
}

impl BurnCounters {
    /// Applies the service levels of a manifest.
    pub fn configure(&mut self, levels: &[ServiceLevel]) {
        self.levels = levels.to_vec();
    }

    /// Counts an event that took `time`; it is good if it is within the level's threshold.
    pub fn record_time(&mut self, indicator: Indicator, time: Duration) {
        let threshold = |level: &ServiceLevel| Duration::from_millis(level.threshold_ms);
        let good = self.level(indicator).map(|level| time <= threshold(level));
        if let Some(good) = good {
            self.record(indicator, good);
        }
    }

    /// Counts a good or a bad event.
    pub fn record(&mut self, indicator: Indicator, good: bool) {
        self.record_many(indicator, u64::from(good), 1);
    }

    /// Counts several events.
    pub fn record_many(&mut self, indicator: Indicator, good: u64, total: u64) {
        let count = self.counts.entry(indicator.to_string()).or_default();
        count.good += good;
        count.total += total;
    }

    /// Takes a snapshot of the counters when one is due.
    pub fn tick(&mut self, now: Now) {
        let due = self
            .snapshots
            .back()
            .is_none_or(|(at, _)| now.saturating_sub(*at) >= SNAPSHOT_INTERVAL);
        if !due {
            return;
        }
        self.snapshots.push_back((now, self.counts.clone()));
        let longest = WINDOWS[WINDOWS.len() - 1] + SNAPSHOT_INTERVAL;
        while self.snapshots.front().is_some_and(|(at, _)| now.saturating_sub(*at) > longest) {
            self.snapshots.pop_front();
        }
    }

    /// Returns the targets of the service levels.
    pub fn targets(&self) -> Vec<BurnTarget> {
        let target = |level: &ServiceLevel| BurnTarget {
            indicator: level.indicator.to_string(),
            target_per_mille: level.target_per_mille,
        };
        self.levels.iter().map(target).collect()
    }

    /// Returns the counts of each window ending at `now`.
    pub fn windows(&self, now: Now) -> Vec<BurnWindow> {
        WINDOWS.iter().map(|window| self.window(now, *window)).collect()
    }

    fn level(&self, indicator: Indicator) -> Option<&ServiceLevel> {
        self.levels.iter().find(|level| level.indicator == indicator)
    }

    fn window(&self, now: Now, window: Duration) -> BurnWindow {
        let before = |(at, _): &&(Now, BTreeMap<String, Count>)| now.saturating_sub(*at) >= window;
        let start = self.snapshots.iter().rev().find(before).map(|(_, counts)| counts);
        let counts = self
            .counts
            .iter()
            .map(|(indicator, count)| {
                let baseline = start.and_then(|s| s.get(indicator)).copied().unwrap_or_default();
                BurnCount {
                    indicator: indicator.clone(),
                    good: count.good - baseline.good,
                    total: count.total - baseline.total,
                }
            })
            .collect();
        BurnWindow { seconds: window.as_secs(), counts }
    }
}
