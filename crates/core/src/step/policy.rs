//! Policy for stale samples and stragglers.

use std::time::Duration;

use buckthornfall_proto::{
    ids::WeightVersion,
    manifest::{Objective, Trainer},
};

use super::{group::Hedge, SlotId, StepAction, StepCoordinator};
use crate::{order::Order, Now};

/// Policy of one coordinator, derived from the trainer's settings and the objective.
#[derive(Debug, Clone)]
pub struct StepPolicy {
    /// How many versions behind the trainer a run may start; at most the staleness bound.
    pub max_start_lag: u64,
    /// Percentage of the groups of a step that are started before the trainer waits for it.
    pub ahead_percent: u32,
    /// Timeout of one run of a sample.
    pub deadline: Duration,
    /// Percentage of the median token rate below which a run is hedged; 0 disables hedging.
    pub hedge_below_percent: u32,
    /// Whether a run resumes from the tokens of a failed one.
    pub resume: bool,
    /// Token budget of hedges, in per mille of the useful tokens.
    pub hedge_budget_per_mille: u64,
}

/// Weight of idle time in the objective, in percent, from which all groups are started ahead.
const FULL_AHEAD_IDLE_PERCENT: u32 = 75;
/// Minimum age of a run before its token rate is compared.
const MIN_RATE_WINDOW: Duration = Duration::from_millis(300);
const HEDGE_BELOW_PERCENT: u32 = 50;
const HEDGE_BUDGET_PER_MILLE: u64 = 40;

impl StepPolicy {
    /// Creates the policy for an objective: the more staleness weighs, the fresher a server must be
    /// to start a run, and the fewer samples are started before new weights arrive.
    pub fn new(trainer: &Trainer, objective: &Objective) -> StepPolicy {
        let share = u64::from(objective.idle_percent);
        StepPolicy {
            max_start_lag: trainer.staleness_bound * share / 100,
            ahead_percent: (objective.idle_percent * 100 / FULL_AHEAD_IDLE_PERCENT).min(100),
            deadline: Duration::from_millis(trainer.step_deadline_ms),
            hedge_below_percent: HEDGE_BELOW_PERCENT,
            resume: true,
            hedge_budget_per_mille: HEDGE_BUDGET_PER_MILLE,
        }
    }

    /// Returns the oldest version with which a run may start.
    pub fn min_version(&self, trainer_version: WeightVersion) -> WeightVersion {
        trainer_version.saturating_sub(self.max_start_lag)
    }
}

impl<O: Order> StepCoordinator<O> {
    /// Cancels runs whose oldest tokens are already too old to be delivered.
    pub(super) fn cancel_stale_runs(&mut self, now: Now, out: &mut Vec<StepAction>) {
        let bound = self.trainer.staleness_bound;
        let newest = self.trainer_version;
        let stale: Vec<_> = self
            .slots()
            .flat_map(|(id, slot)| slot.runs.iter().map(move |run| (id, run)))
            .filter(|(_, run)| run.oldest.is_some_and(|oldest| oldest + bound < newest))
            .map(|(id, run)| (id, run.work, run.tokens))
            .collect();
        for (id, work, tokens) in stale {
            self.slot_by_work.remove(&work);
            self.stats.wasted_tokens += u64::from(tokens);
            out.push(StepAction::Cancel(work));
            if let Some(slot) = self.slot_mut(id) {
                slot.runs.retain(|run| run.work != work);
            }
        }
        self.start_due(now, out);
    }

    /// Starts second runs of slow samples on other servers while slots are idle.
    pub(super) fn hedge(&mut self, now: Now, idle_slots: usize, out: &mut Vec<StepAction>) {
        if idle_slots == 0 || self.policy.hedge_below_percent == 0 {
            return;
        }
        let running =
            self.slots().flat_map(|(_, slot)| &slot.runs).filter(|run| run.hedge).count() as u64;
        let spent = self.stats.hedge_wasted_tokens + running * self.mean_tokens();
        let budget = self.stats.useful_tokens * self.policy.hedge_budget_per_mille / 1000;
        if spent > budget {
            return;
        }
        for id in self.slow_slots(now).into_iter().take(idle_slots) {
            let Some(run) = self.slot_mut(id).and_then(|slot| slot.runs.first()) else { continue };
            let hedge = Hedge { avoid: run.server.clone(), progress: run.progress.clone() };
            self.start_run(now, id, Some(hedge), out);
        }
    }

    fn mean_tokens(&self) -> u64 {
        let samples = self.slots().filter_map(|(_, slot)| slot.sample.as_ref());
        let (count, sum) =
            samples.fold((0u64, 0u64), |(n, s), sample| (n + 1, s + u64::from(sample.tokens)));
        sum.checked_div(count).unwrap_or(0)
    }

    fn slow_slots(&self, now: Now) -> Vec<SlotId> {
        let candidates = self.slots().filter_map(|(id, slot)| {
            let [run] = slot.runs.as_slice() else { return None };
            let has_rate = now.saturating_sub(run.started) >= MIN_RATE_WINDOW;
            (!run.scoring && !run.hedge && has_rate).then_some((id, run.rate(now).unwrap_or(0.0)))
        });
        let candidates: Vec<_> = candidates.collect();
        let mut rates: Vec<f64> = candidates.iter().map(|(_, rate)| *rate).collect();
        rates.sort_by(f64::total_cmp);
        let Some(median) = rates.get(rates.len() / 2) else { return Vec::new() };
        let limit = median * f64::from(self.policy.hedge_below_percent) / 100.0;
        candidates.into_iter().filter(|(_, rate)| *rate < limit).map(|(id, _)| id).collect()
    }
}
