//! The buckthornfall daemon: stakker actors around the decision logic of `buckthornfall-core`.
//!
//! One thread owns all decisions. Other threads answer HTTP requests, talk to servers and to the
//! platform, and carry the streams between daemons; they meet the actors through channels only.

mod actors;
mod api;
pub mod cli;
mod clock;
pub mod daemon;
pub mod hosted;
mod http;
mod io;
pub mod log_budget;
pub mod logging;
pub mod options;
mod peers;
mod reply;
mod stream;
mod telemetry;

pub use daemon::{Daemon, DaemonHandle};
