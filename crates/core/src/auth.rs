//! Authentication by bearer token.

use buckthornfall_proto::{
    digest::sha256_hex,
    ids::{CallerName, TrainerName},
    manifest::Manifest,
};
use rustc_hash::FxHashMap;

/// Authenticated sender of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Principal {
    /// A caller of models and services.
    Caller(CallerName),
    /// A trainer, which may access only its own steps.
    Trainer(TrainerName),
    /// An operator.
    Operator(String),
}

/// Tokens of a manifest.
#[derive(Debug, Default, Clone)]
pub struct Tokens {
    /// Principals by the SHA-256 digest of their token; the tokens themselves are not stored.
    by_digest: FxHashMap<String, Principal>,
}

impl Tokens {
    /// Collects the token digests of a manifest.
    pub fn new(manifest: &Manifest) -> Tokens {
        let callers = manifest
            .callers
            .iter()
            .map(|c| (c.token_sha256.clone(), Principal::Caller(c.name.clone())));
        let trainers = manifest
            .trainers
            .iter()
            .map(|t| (t.token_sha256.clone(), Principal::Trainer(t.name.clone())));
        let operators = manifest
            .operators
            .iter()
            .map(|o| (o.token_sha256.clone(), Principal::Operator(o.name.clone())));
        Tokens { by_digest: callers.chain(trainers).chain(operators).collect() }
    }

    /// Returns the principal that `token` identifies.
    pub fn principal(&self, token: &str) -> Option<&Principal> {
        self.by_digest.get(&sha256_hex(token.as_bytes()))
    }
}
