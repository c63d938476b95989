//! Order of the rollouts in the queue for backend servers.

use buckthornfall_proto::ids::StepNumber;

/// Scheduling information about a rollout before it runs.
#[derive(Debug, Clone, Copy)]
pub struct RolloutHint {
    /// Step of the sample.
    pub step: StepNumber,
    /// Expected number of tokens still to be generated.
    pub expected_tokens: u32,
    /// Samples in flight of the trainer, in per mille of its fair share; above 1000, it exceeds the
    /// share.
    pub usage_per_mille: u32,
    /// Sequence number in order of submission.
    pub arrival: u64,
    /// Whether this is a hedge: a second run of a straggler.
    pub hedge: bool,
}

/// Queueing policy for rollouts.
pub trait Order {
    /// Returns the rank of a rollout; the lowest rank runs first.
    fn rank(&self, hint: &RolloutHint) -> u64;
}

/// Trainers with the lowest usage first, then the oldest step, then the longest sample.
#[derive(Debug, Default, Clone)]
pub struct LongestFirst;

/// Width of the usage classes within which trainers rank as equal.
const USAGE_BUCKET_PER_MILLE: u32 = 500;
const USAGE_BITS: u32 = 12;
const STEP_BITS: u32 = 32;
const LENGTH_BITS: u32 = 20;

impl Order for LongestFirst {
    fn rank(&self, hint: &RolloutHint) -> u64 {
        let usage =
            u64::from(hint.usage_per_mille / USAGE_BUCKET_PER_MILLE).min((1 << USAGE_BITS) - 1);
        let step = hint.step.min((1 << STEP_BITS) - 1);
        let max_length = (1u64 << LENGTH_BITS) - 1;
        let length = max_length - u64::from(hint.expected_tokens).min(max_length);
        (usage << (STEP_BITS + LENGTH_BITS)) | (step << LENGTH_BITS) | length
    }
}

/// Baseline policy: order of submission.
#[derive(Debug, Default, Clone)]
pub struct FirstComeFirstServed;

impl Order for FirstComeFirstServed {
    fn rank(&self, hint: &RolloutHint) -> u64 {
        hint.arrival
    }
}
