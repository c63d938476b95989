//! The actors of one daemon.

pub mod control;
pub mod io;
pub mod lease;
pub mod node;
pub mod requests;
pub mod rollout;
pub mod serving;
pub mod trainer;
pub mod view;

use std::time::Duration;

/// Interval between ticks of an actor.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
