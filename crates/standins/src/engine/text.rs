//! Text that a model stand-in produces: it shows which prompt it answers, and where it is cut.

use buckthornfall_proto::digest::fingerprint;

/// Token `index` of the answer to a prompt.
pub fn token(prompt: &str, index: u32) -> String {
    format!("{:04x}.{index} ", fingerprint(&[prompt.as_bytes()]) & 0xffff)
}

/// Tokens `start..end` of the answer to a prompt.
pub fn tokens(prompt: &str, start: u32, end: u32) -> String {
    (start..end).map(|index| token(prompt, index)).collect()
}

/// Whether `text` is exactly the first `count` tokens of the answer to `prompt`.
pub fn is_answer(prompt: &str, text: &str, count: u32) -> bool {
    text == tokens(prompt, 0, count)
}

/// Shortest answer, in tokens.
const SHORTEST: u32 = 6;
/// Answers of which this share is long, in percent.
const LONG_PERCENT: u64 = 6;

/// Length of the answer to a prompt with a seed: most are short, a few reach the bound.
pub fn length(prompt: &str, seed: u64, max_tokens: u32) -> u32 {
    let hash = fingerprint(&[prompt.as_bytes(), &seed.to_le_bytes()]);
    let share = (hash >> 32) as f64 / f64::from(u32::MAX);
    let limit = if hash % 100 < LONG_PERCENT { 1.0 } else { 0.35 };
    let length = f64::from(max_tokens) * limit * (0.2 + 0.8 * share);
    (length as u32).clamp(SHORTEST.min(max_tokens), max_tokens)
}
