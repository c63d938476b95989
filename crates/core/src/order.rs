//! In which order rollouts wait for a backend server.

use buckthornfall_proto::ids::StepNumber;

/// What is known of a rollout before it runs.
#[derive(Debug, Clone, Copy)]
pub struct RolloutHint {
    /// Step that the sample belongs to.
    pub step: StepNumber,
    /// Tokens that the sample is expected to have still to come.
    pub expected_tokens: u32,
    /// Share of the trainer's fair use of the engines, in thousandths; above 1000 is too much.
    pub usage_per_mille: u32,
    /// Counts rollouts in order of submission.
    pub arrival: u64,
    /// Whether this is a second run for a straggler.
    pub hedge: bool,
}

/// Rank of a rollout in the queue; the lowest runs first.
pub trait Order {
    /// The rank.
    fn rank(&self, hint: &RolloutHint) -> u64;
}

/// Trainers below their share first, then the oldest step, then the longest sample.
#[derive(Debug, Default, Clone)]
pub struct LongestFirst;

const USAGE_STEP_PER_MILLE: u32 = 500;
const USAGE_BITS: u32 = 12;
const STEP_BITS: u32 = 32;
const LENGTH_BITS: u32 = 20;

impl Order for LongestFirst {
    fn rank(&self, hint: &RolloutHint) -> u64 {
        let usage =
            u64::from(hint.usage_per_mille / USAGE_STEP_PER_MILLE).min((1 << USAGE_BITS) - 1);
        let step = hint.step.min((1 << STEP_BITS) - 1);
        let longest = (1u64 << LENGTH_BITS) - 1;
        let length = longest - u64::from(hint.expected_tokens).min(longest);
        (usage << (STEP_BITS + LENGTH_BITS)) | (step << LENGTH_BITS) | length
    }
}

/// Baseline: first come, first served.
#[derive(Debug, Default, Clone)]
pub struct FirstComeFirstServed;

impl Order for FirstComeFirstServed {
    fn rank(&self, hint: &RolloutHint) -> u64 {
        hint.arrival
    }
}
