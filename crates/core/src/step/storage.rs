//! Storage of steps and groups as objects and table rows, and recovery from them.

use std::time::Duration;

use buckthornfall_proto::{
    digest::sha256_hex,
    ids::{GroupIndex, StepNumber},
    messages::{GroupResult, GroupRow, Row, StepRow, StepSpec, Txn, Write},
};

use super::{group::GroupStage, SlotId, Step, StepCoordinator};
use crate::{
    dispatch::{Work, WorkId},
    order::Order,
    table::{self, ReadResult, ScanResult, TableError, TxnResult, ABSENT},
    Now,
};

/// Identity of a stored object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepObject {
    /// The spec of a step.
    Spec {
        /// The step.
        step: StepNumber,
    },
    /// The samples of a group.
    Group {
        /// The step.
        step: StepNumber,
        /// The group.
        group: GroupIndex,
    },
}

/// Action requested by a [`StepCoordinator`].
#[derive(Debug, Clone, PartialEq)]
pub enum StepAction {
    /// Submit work to the dispatcher.
    Submit(Work),
    /// Cancel work at the dispatcher.
    Cancel(WorkId),
    /// Put an object into the object store.
    PutObject {
        /// Identity of the object.
        object: StepObject,
        /// Its key.
        key: String,
        /// Its content.
        content: String,
    },
    /// Get an object from the object store.
    GetObject {
        /// Identity of the object.
        object: StepObject,
        /// Its key.
        key: String,
    },
    /// Run a transaction on the row of a group.
    GroupTxn {
        /// The step.
        step: StepNumber,
        /// The group.
        group: GroupIndex,
        /// The transaction.
        txn: Txn,
    },
    /// Read the row of a group.
    GroupRead {
        /// The step.
        step: StepNumber,
        /// The group.
        group: GroupIndex,
        /// Key of the row.
        key: String,
    },
    /// Run a transaction whose reply is not needed.
    Write(Txn),
    /// Scan the rows of all steps of the trainer.
    ScanSteps {
        /// Prefix of the rows.
        prefix: String,
    },
    /// Scan the rows of all groups of a step.
    ScanGroups {
        /// The step.
        step: StepNumber,
        /// Prefix of the rows.
        prefix: String,
    },
}

/// Time to wait for the table service before a complete group is delivered without its row.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the key prefix of the rows of a trainer's steps.
pub fn step_prefix(trainer: &str) -> String {
    format!("step/{trainer}/")
}

/// Returns the key of the row of a step.
pub fn step_key(trainer: &str, step: StepNumber) -> String {
    format!("step/{trainer}/{step:020}")
}

/// Returns the key prefix of the rows of a step's groups.
pub fn group_prefix(trainer: &str, step: StepNumber) -> String {
    format!("group/{trainer}/{step:020}/")
}

/// Returns the key of the row of a group.
pub fn group_key(trainer: &str, step: StepNumber, group: GroupIndex) -> String {
    format!("group/{trainer}/{step:020}/{group:010}")
}

impl<O: Order> StepCoordinator<O> {
    /// Starts recovery of the steps that an earlier coordinator stored.
    pub fn recover(&mut self, out: &mut Vec<StepAction>) {
        out.push(StepAction::ScanSteps { prefix: step_prefix(&self.trainer.name) });
    }

    /// Handles the rows of the trainer's steps.
    pub fn on_steps(&mut self, reply: &ScanResult, out: &mut Vec<StepAction>) {
        let Ok(rows) = reply else { return };
        for value in rows.iter().filter_map(table::value::<StepRow>) {
            if !self.steps.contains_key(&value.step) {
                let object = StepObject::Spec { step: value.step };
                out.push(StepAction::GetObject { object, key: value.object });
            }
        }
    }

    /// Handles the rows of a step's groups; stored groups are not generated again.
    pub fn on_groups(&mut self, step: StepNumber, reply: &ScanResult, out: &mut Vec<StepAction>) {
        let Some(state) = self.steps.get_mut(&step) else { return };
        state.recovering = false;
        let Ok(rows) = reply else { return };
        for row in rows {
            let group = row.key.rsplit('/').next().and_then(|part| part.parse().ok());
            let (Some(group), Some(value)) = (group, table::value::<GroupRow>(row)) else {
                continue;
            };
            self.fetch(step, group, row.version, value.object, out);
        }
    }

    /// Handles the content of an object.
    pub fn on_object(
        &mut self,
        now: Now,
        object: &StepObject,
        content: Option<&str>,
        out: &mut Vec<StepAction>,
    ) {
        match object {
            StepObject::Spec { step } => self.on_spec_object(now, *step, content, out),
            StepObject::Group { step, group } => {
                self.on_group_object(now, *step, *group, content, out)
            }
        }
    }

    /// Handles the reply to the put of an object.
    pub fn on_put(
        &mut self,
        object: &StepObject,
        key: &str,
        reply: Result<(), TableError>,
        out: &mut Vec<StepAction>,
    ) {
        if reply.is_err() {
            return;
        }
        match object {
            StepObject::Spec { step } => self.write_step_row(*step, key, out),
            StepObject::Group { step, group } => {
                let state = self.steps.get_mut(step).and_then(|s| s.groups.get_mut(group));
                let Some(state) = state else { return };
                if let GroupStage::Storing { object, object_stored, .. } = &mut state.stage {
                    if object == key {
                        *object_stored = true;
                        self.write_group_row(*step, *group, out);
                    }
                }
            }
        }
    }

    /// Handles the reply to a transaction on the row of a group.
    pub fn on_group_txn(
        &mut self,
        step: StepNumber,
        group: GroupIndex,
        reply: &TxnResult,
        out: &mut Vec<StepAction>,
    ) {
        let key = group_key(&self.trainer.name, step, group);
        match reply {
            Ok(answer) => {
                let row = table::checked_row(answer, &key).cloned();
                if let Some(row) = row {
                    self.on_group_row(step, group, &row, out);
                }
            }
            Err(TableError::NoReply) => out.push(StepAction::GroupRead { step, group, key }),
            Err(TableError::NotSent) => {}
        }
    }

    /// Handles the reply to a read of the row of a group.
    pub fn on_group_read(
        &mut self,
        step: StepNumber,
        group: GroupIndex,
        reply: &ReadResult,
        out: &mut Vec<StepAction>,
    ) {
        if let Ok(row) = reply {
            self.on_group_row(step, group, row, out);
        }
    }

    pub(super) fn store_spec(&mut self, spec: &StepSpec, out: &mut Vec<StepAction>) {
        let content = serde_json::to_string(spec).expect("a step spec serializes to JSON");
        let name = &self.trainer.name;
        let key = format!("step/{name}/{}/{}", spec.step, sha256_hex(content.as_bytes()));
        out.push(StepAction::PutObject {
            object: StepObject::Spec { step: spec.step },
            key,
            content,
        });
    }

    pub(super) fn store_group_if_complete(
        &mut self,
        now: Now,
        id: SlotId,
        out: &mut Vec<StepAction>,
    ) {
        let attempt = self.new_attempt();
        let name = self.trainer.name.clone();
        let Some(group) = self.group_mut(id) else { return };
        let GroupStage::Collecting { expected_row_version } = group.stage else { return };
        if !group.is_complete() {
            return;
        }
        let content =
            serde_json::to_string(&group.result(id.step)).expect("a group serializes to JSON");
        let hash = sha256_hex(content.as_bytes());
        let key = format!("group/{name}/{}/{}/{hash}", id.step, id.group);
        group.stage = GroupStage::Storing {
            object: key.clone(),
            attempt,
            expected_row_version,
            object_stored: false,
            retry_at: now + RETRY_INTERVAL,
            since: now,
        };
        let object = StepObject::Group { step: id.step, group: id.group };
        out.push(StepAction::PutObject { object, key, content });
    }

    /// Retries failed writes, and releases groups without a row after `STORE_TIMEOUT`.
    pub(super) fn retry_storage(&mut self, now: Now, out: &mut Vec<StepAction>) {
        let mut due = Vec::new();
        for (step, state) in &mut self.steps {
            for (number, group) in &mut state.groups {
                let GroupStage::Storing { retry_at, since, .. } = &mut group.stage else {
                    continue;
                };
                if now.saturating_sub(*since) >= STORE_TIMEOUT {
                    group.deliver_without_row = true;
                }
                if now >= *retry_at {
                    *retry_at = now + RETRY_INTERVAL;
                    due.push((*step, *number));
                }
            }
        }
        for (step, group) in due {
            self.retry_store(step, group, out);
        }
    }

    pub(super) fn delete_rows(&self, step: &Step, number: StepNumber, out: &mut Vec<StepAction>) {
        let name = &self.trainer.name;
        let keys = step.groups.keys().map(|group| group_key(name, number, *group));
        let keys: Vec<_> = keys.chain([step_key(name, number)]).collect();
        for chunk in keys.chunks(DELETES_PER_TXN) {
            let writes =
                chunk.iter().map(|key| Write { key: key.clone(), value: String::new() }).collect();
            out.push(StepAction::Write(Txn { checks: Vec::new(), writes }));
        }
    }

    fn on_spec_object(
        &mut self,
        now: Now,
        step: StepNumber,
        content: Option<&str>,
        out: &mut Vec<StepAction>,
    ) {
        let Some(spec) = content.and_then(|c| serde_json::from_str::<StepSpec>(c).ok()) else {
            return;
        };
        if spec.step != step || self.steps.contains_key(&step) {
            return;
        }
        self.open(now, spec, true);
        out.push(StepAction::ScanGroups { step, prefix: group_prefix(&self.trainer.name, step) });
    }

    fn on_group_object(
        &mut self,
        now: Now,
        step: StepNumber,
        group: GroupIndex,
        content: Option<&str>,
        out: &mut Vec<StepAction>,
    ) {
        let Some(state) = self.steps.get_mut(&step).and_then(|s| s.groups.get_mut(&group)) else {
            return;
        };
        let GroupStage::Fetching { row_version, .. } = state.stage else { return };
        let result = content.and_then(|c| serde_json::from_str::<GroupResult>(c).ok());
        let valid = result.filter(|r| r.step == step && r.group == group);
        let Some(result) = valid.filter(|r| r.samples.len() == state.slots.len()) else {
            state.stage = GroupStage::Collecting { expected_row_version: row_version };
            return;
        };
        let mut cancelled = Vec::new();
        for (slot, sample) in state.slots.iter_mut().zip(result.samples) {
            cancelled.append(&mut slot.runs);
            slot.restart(now);
            slot.sample = Some(sample);
        }
        state.stage = GroupStage::Stored { row_version };
        for run in cancelled {
            self.slot_by_work.remove(&run.work);
            self.stats.wasted_tokens += u64::from(run.tokens);
            out.push(StepAction::Cancel(run.work));
        }
    }

    fn on_group_row(
        &mut self,
        step: StepNumber,
        group: GroupIndex,
        row: &Row,
        out: &mut Vec<StepAction>,
    ) {
        let Some(state) = self.steps.get_mut(&step).and_then(|s| s.groups.get_mut(&group)) else {
            return;
        };
        let GroupStage::Storing { object, expected_row_version, .. } = &mut state.stage else {
            return;
        };
        match table::value::<GroupRow>(row) {
            Some(value) if value.object == *object => {
                state.stage = GroupStage::Stored { row_version: row.version };
                state.deliver_without_row = false;
            }
            Some(value) if row.version != *expected_row_version => {
                self.fetch(step, group, row.version, value.object, out);
            }
            _ => *expected_row_version = row.version,
        }
    }

    fn fetch(
        &mut self,
        step: StepNumber,
        group: GroupIndex,
        row_version: u64,
        object: String,
        out: &mut Vec<StepAction>,
    ) {
        let Some(state) = self.steps.get_mut(&step).and_then(|s| s.groups.get_mut(&group)) else {
            return;
        };
        if matches!(state.stage, GroupStage::Stored { .. }) {
            return;
        }
        state.stage = GroupStage::Fetching { object: object.clone(), row_version };
        out.push(StepAction::GetObject { object: StepObject::Group { step, group }, key: object });
    }

    fn write_step_row(&mut self, step: StepNumber, key: &str, out: &mut Vec<StepAction>) {
        let row = StepRow { step, object: key.to_owned(), attempt: self.new_attempt() };
        let key = step_key(&self.trainer.name, step);
        out.push(StepAction::Write(table::replace(&key, ABSENT, &row)));
    }

    fn write_group_row(&self, step: StepNumber, group: GroupIndex, out: &mut Vec<StepAction>) {
        let state = self.steps.get(&step).and_then(|s| s.groups.get(&group));
        let Some(GroupStage::Storing { object, attempt, expected_row_version, .. }) =
            state.map(|s| &s.stage)
        else {
            return;
        };
        let row = GroupRow { object: object.clone(), attempt: attempt.clone() };
        let key = group_key(&self.trainer.name, step, group);
        let txn = table::replace(&key, *expected_row_version, &row);
        out.push(StepAction::GroupTxn { step, group, txn });
    }

    fn retry_store(&self, step: StepNumber, group: GroupIndex, out: &mut Vec<StepAction>) {
        let Some(state) = self.steps.get(&step).and_then(|s| s.groups.get(&group)) else { return };
        let GroupStage::Storing { object, object_stored, .. } = &state.stage else { return };
        if *object_stored {
            self.write_group_row(step, group, out);
        } else {
            let content =
                serde_json::to_string(&state.result(step)).expect("a group serializes to JSON");
            let object_id = StepObject::Group { step, group };
            out.push(StepAction::PutObject { object: object_id, key: object.clone(), content });
        }
    }
}

/// Rows deleted in one transaction.
const DELETES_PER_TXN: usize = 64;
