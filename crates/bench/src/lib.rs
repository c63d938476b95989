//! Compares scheduling policies: runs the decision logic and its baseline policies in virtual time
//! with simulated engines, trainers and callers.

mod engine;
pub mod fleet;
mod report;
mod scenario;
mod simulation;

pub use self::{
    report::{compare, Comparison, Outcome},
    scenario::{Scenario, Variant},
};
