//! The order in which the samples of a job start.
//!
//! The submitter waits for some of the groups, and a group counts only when it is whole. Groups
//! that an earlier job left unfinished are always among those; of the others, the groups whose
//! longest sample is shortest are finished first, the rest fills idle slots. Among the samples
//! that are waited for, the longest starts first.

use rustc_hash::FxHashMap;

use super::JobSpec;

/// Indices of a job's samples, the first to start at the front.
///
/// `carried` says for each sample whether an earlier job left it unfinished.
pub(super) fn of_samples(spec: &JobSpec, carried: &[bool]) -> Vec<usize> {
    let mut groups: FxHashMap<&str, Group> = FxHashMap::default();
    for (sample, carried) in spec.samples.iter().zip(carried) {
        let group = groups.entry(&sample.group).or_default();
        group.longest = group.longest.max(sample.expected_tokens);
        group.carried |= carried;
    }
    let mut groups: Vec<_> = groups.into_iter().collect();
    groups.sort_by_key(|(name, group)| (!group.carried, group.longest, *name));
    let waited_for: Vec<_> =
        groups.iter().take(spec.target_groups).map(|(name, _)| *name).collect();
    let mut order: Vec<_> = (0..spec.samples.len()).collect();
    order.sort_by_key(|index| {
        let sample = &spec.samples[*index];
        let spare = !waited_for.contains(&sample.group.as_str());
        (spare, std::cmp::Reverse(sample.expected_tokens), *index)
    });
    order
}

/// Of a job's samples, one in this many counts as long.
const LONG_SHARE: usize = 4;

/// Least estimate, in tokens, of the samples that count as long.
pub(super) fn long_estimate(spec: &JobSpec) -> u64 {
    let mut estimates: Vec<_> = spec.samples.iter().map(|s| s.expected_tokens).collect();
    estimates.sort_unstable_by_key(|tokens| std::cmp::Reverse(*tokens));
    estimates.get(estimates.len() / LONG_SHARE).copied().unwrap_or_default()
}

#[derive(Default)]
struct Group {
    /// Expected tokens of its longest sample.
    longest: u64,
    carried: bool,
}
