//! Messages, settings and rows of buckthornfall, generated from `schema/`, with their codec,
//! their checks and the ids that name things.

pub mod check;
pub mod codec;
pub mod digest;
pub mod hot;
pub mod ids;
pub mod track;

/// Types generated from `schema/`; `cargo xtask codegen` writes them.
#[allow(missing_docs, clippy::all)]
mod generated {
    pub mod manifest;
    pub mod messages;
    pub mod settings;
}

pub use generated::{manifest, messages, settings};
