//! Stand-ins for the environment of buckthornfall: the platform's services, model engines, scoring
//! and plain services, trainers and callers. Each implements the protocol of docs/API.md on a
//! loopback address.

pub mod callers;
pub mod engine;
pub mod faults;
pub mod hosts;
pub mod objects;
pub mod server;
pub mod service;
pub mod table;
pub mod trainer;
pub mod weights;
