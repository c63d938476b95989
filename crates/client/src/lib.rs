//! Client library of buckthornfall.
//!
//! A caller asks the system which of its daemons to use, keeps that answer for as long as it
//! says, and connects there. The module `http` is what the daemon itself uses towards servers and
//! the platform.

pub mod entry;
pub mod http;

pub use entry::{Client, ClientOptions};
