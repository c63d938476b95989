//! Compares policies: the real decision logic in virtual time over fakes of engines, trainers
//! and callers, with the baselines that the decision logic keeps.

mod engine;
pub mod fleet;
mod report;
mod scenario;
mod simulation;

pub use self::{
    report::{compare, Comparison, Outcome},
    scenario::{Scenario, Variant},
};
