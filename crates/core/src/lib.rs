//! Decision logic of buckthornfall.
//!
//! The types are state machines: a method takes the current time and an input, and appends the
//! resulting actions. Nothing here does I/O, reads a clock, spawns a thread or generates random
//! numbers, so that tests can inject any fault between any two steps.

pub mod accounts;
pub mod admission;
pub mod admission_queue;
pub mod auth;
pub mod backends;
pub mod burn;
pub mod capacity;
pub mod claim;
pub mod commit;
pub mod config;
pub mod desired;
pub mod dispatch;
pub mod drain;
pub mod duties;
pub mod entry;
pub mod error;
pub mod fleet;
pub mod freshness;
pub mod held_bytes;
pub mod job;
pub mod lease;
pub mod members;
pub mod membership;
pub mod order;
pub mod origins;
pub mod peer_choice;
pub mod permits;
pub mod pick;
pub mod progress;
pub mod publish;
pub mod quarantine;
pub mod rate_limit;
pub mod reachability;
pub mod readiness;
pub mod relay;
pub mod retention;
pub mod rollout;
pub mod second_copies;
pub mod server_bytes;
pub mod step;
pub mod stop;
pub mod store;
pub mod suspects;
pub mod table;
pub mod usage;
pub mod weights;

use std::time::Duration;

/// Monotonic time since the start of the process.
pub type Now = Duration;
