//! Client library of buckthornfall.
//!
//! A caller asks any daemon for the addresses of the daemons to use, caches them for the TTL in the
//! response, and connects to them. The daemon itself uses the module `http` for its requests to
//! backend servers and the platform.

pub mod entry;
pub mod http;

pub use entry::{Client, ClientOptions};
