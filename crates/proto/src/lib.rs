//! Messages, settings and table rows of buckthornfall, generated from `schema/`, with their codec,
//! their validation and the id types.

pub mod check;
pub mod codec;
pub mod digest;
pub mod event_stream;
pub mod hot;
pub mod http_status;
pub mod ids;
pub mod track;

/// Types generated from `schema/` by `cargo xtask codegen`.
#[allow(missing_docs, clippy::all)]
mod generated {
    pub mod manifest;
    pub mod messages;
    pub mod settings;
}

pub use generated::{manifest, messages, settings};
