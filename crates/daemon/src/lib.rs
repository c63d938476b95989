//! The buckthornfall daemon: stakker actors around the decision logic of `buckthornfall-core`.
//!
//! One thread runs all actors and makes all decisions. Other threads serve HTTP requests, call
//! servers and the platform, and transfer the streams between daemons; they communicate with the
//! actors through channels only.

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
pub mod tasks;
mod telemetry;

pub use daemon::{Daemon, DaemonHandle};
