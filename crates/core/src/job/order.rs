//! The order in which the samples of a job start.
//!
//! The submitter waits for `target_groups` complete groups. Groups with samples carried over from
//! an earlier job are selected first, then those whose longest sample is shortest. Samples of the
//! selected groups start first, in order of descending length; the others fill idle slots.

use rustc_hash::FxHashMap;

use super::JobSpec;

/// Returns the indices of a job's samples in start order.
///
/// `carried_over` tells for each sample whether an earlier job left it unfinished.
pub(super) fn start_order(spec: &JobSpec, carried_over: &[bool]) -> Vec<usize> {
    let mut groups: FxHashMap<&str, Group> = FxHashMap::default();
    for (sample, carried_over) in spec.samples.iter().zip(carried_over) {
        let group = groups.entry(&sample.group).or_default();
        group.longest_tokens = group.longest_tokens.max(sample.expected_tokens);
        group.carried_over |= carried_over;
    }
    let mut groups: Vec<_> = groups.into_iter().collect();
    groups.sort_by_key(|(name, group)| (!group.carried_over, group.longest_tokens, *name));
    let selected: Vec<_> = groups.iter().take(spec.target_groups).map(|(name, _)| *name).collect();
    let mut order: Vec<_> = (0..spec.samples.len()).collect();
    order.sort_by_key(|index| {
        let sample = &spec.samples[*index];
        let optional = !selected.contains(&sample.group.as_str());
        (optional, std::cmp::Reverse(sample.expected_tokens), *index)
    });
    order
}

/// One in this many samples of a job counts as long.
const LONG_SAMPLE_DIVISOR: usize = 4;

/// Returns the lowest expected token count among the long samples.
pub(super) fn long_sample_tokens(spec: &JobSpec) -> u64 {
    let mut estimates: Vec<_> = spec.samples.iter().map(|s| s.expected_tokens).collect();
    estimates.sort_unstable_by_key(|tokens| std::cmp::Reverse(*tokens));
    estimates.get(estimates.len() / LONG_SAMPLE_DIVISOR).copied().unwrap_or_default()
}

#[derive(Default)]
struct Group {
    /// Expected tokens of the longest sample.
    longest_tokens: u64,
    carried_over: bool,
}
