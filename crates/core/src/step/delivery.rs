//! Delivery of complete, fresh groups that are not in the trainer's cursor.

use buckthornfall_proto::{
    ids::WeightVersion,
    messages::{Cursor, GroupResult, PullAnswer, PullRequest, Sample},
};

use super::{
    group::{Group, GroupStage},
    StepAction, StepCoordinator,
};
use crate::{
    error::{ErrorKind, Refusal},
    order::Order,
    Now,
};

impl<O: Order> StepCoordinator<O> {
    /// Answers a trainer's pull with complete, fresh groups that are not in its cursor.
    pub fn pull(
        &mut self,
        now: Now,
        request: &PullRequest,
        out: &mut Vec<StepAction>,
    ) -> Result<PullAnswer, Refusal> {
        let cursor = &request.cursor;
        if !self.steps.contains_key(&cursor.step) {
            let message = format!(
                "step {} of trainer {:?} is not open here; submit it again",
                cursor.step, self.trainer.name
            );
            return Err(Refusal::new(ErrorKind::NotFound, message));
        }
        self.trainer_version = self.trainer_version.max(cursor.weights_version);
        self.current_step = self.current_step.max(cursor.step);
        self.drop_stale(now, cursor, out);
        let groups = self.ready_groups(cursor, request.max_groups as usize);
        let mut taken = cursor.taken.clone();
        taken.extend(groups.iter().map(|group| group.group));
        taken.sort_unstable();
        taken.dedup();
        let complete =
            self.steps[&cursor.step].groups.keys().all(|g| taken.binary_search(g).is_ok());
        self.stats.delivered += groups.iter().map(|g| g.samples.len() as u64).sum::<u64>();
        let cursor = Cursor { taken, ..cursor.clone() };
        Ok(PullAnswer { groups, cursor, complete })
    }

    pub(super) fn ready_groups(&self, cursor: &Cursor, max: usize) -> Vec<GroupResult> {
        let step = &self.steps[&cursor.step];
        let wanted = |g: &&Group| !cursor.taken.contains(&g.spec.group);
        let ready = step.groups.values().filter(wanted).filter(|g| g.is_deliverable());
        let fresh = ready.filter(|g| self.is_fresh(g, cursor.weights_version));
        fresh.take(max).map(|g| g.result(cursor.step)).collect()
    }

    pub(super) fn is_fresh(&self, group: &Group, trainer_version: WeightVersion) -> bool {
        let bound = self.trainer.staleness_bound;
        group.oldest_version().is_some_and(|oldest| oldest + bound >= trainer_version)
    }

    /// Regenerates finished samples that became too old to deliver.
    pub(super) fn drop_stale(&mut self, now: Now, cursor: &Cursor, out: &mut Vec<StepAction>) {
        let bound = self.trainer.staleness_bound;
        let Some(step) = self.steps.get_mut(&cursor.step) else { return };
        for group in step.groups.values_mut() {
            if cursor.taken.contains(&group.spec.group) {
                continue;
            }
            for slot in &mut group.slots {
                let Some(sample) = &slot.sample else { continue };
                if !is_sample_fresh(sample, bound, cursor.weights_version) {
                    self.stats.stale_discarded += 1;
                    self.stats.wasted_tokens += u64::from(sample.tokens);
                    slot.restart(now);
                    group.stage =
                        GroupStage::Collecting { expected_row_version: group.stage.row_version() };
                }
            }
        }
        self.start_due(now, out);
    }
}

/// Returns whether all tokens of a sample are within the staleness bound.
pub fn is_sample_fresh(sample: &Sample, bound: u64, trainer_version: WeightVersion) -> bool {
    let oldest = sample.spans.iter().map(|span| span.version).min();
    oldest.is_some_and(|oldest| oldest + bound >= trainer_version)
}
