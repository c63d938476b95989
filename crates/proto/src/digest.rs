//! Hash functions: SHA-256 for contents and tokens, XXH3 for fingerprints and rendezvous hashing.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::{xxh3_64_with_seed, Xxh3};

use crate::ids::Fingerprint;

/// A SHA-256 digest.
pub type Sha256Digest = [u8; 32];

/// Returns the SHA-256 of `bytes`.
pub fn sha256(bytes: &[u8]) -> Sha256Digest {
    Sha256::digest(bytes).into()
}

/// Returns the SHA-256 of `bytes` as 64 hexadecimal digits.
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|b| format!("{b:02x}")).collect()
}

/// Returns the hash of the parts of a request. The length of each part is hashed too, so that
/// `["ab", "c"]` and `["a", "bc"]` differ.
pub fn fingerprint(parts: &[&[u8]]) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Returns the rank of `candidate` for `key` in rendezvous hashing; the highest rank wins.
pub fn rendezvous_rank(key: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), key)
}
