//! Bincode encoding of the messages between daemons, with a bound on their size.

use bincode::config::{self, Configuration, Limit, LittleEndian, Varint};
use serde::{de::DeserializeOwned, Serialize};
use snafu::Snafu;

/// Largest encoded message, in bytes; a manifest of 2,500 servers takes less than half.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Why a message could not be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The message does not fit the schema or the size bound.
    #[snafu(display("cannot encode a peer message: {message}"))]
    Encode {
        /// What the encoder found.
        message: String,
    },
    /// The bytes are not a whole message.
    #[snafu(display("cannot decode a peer message of {length} bytes: {message}"))]
    Decode {
        /// Length of the input, in bytes.
        length: usize,
        /// What the decoder found.
        message: String,
    },
}

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> =
    config::standard().with_limit::<MAX_MESSAGE_BYTES>();

/// Encodes `message`.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    bincode::serde::encode_to_vec(message, CONFIG)
        .map_err(|e| Error::Encode { message: e.to_string() })
}

/// Decodes a message; all of `buf` must be used.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T> {
    let length = buf.len();
    let (message, used) = bincode::serde::decode_from_slice(buf, CONFIG)
        .map_err(|e| Error::Decode { length, message: e.to_string() })?;
    if used != length {
        return DecodeSnafu { length, message: format!("{} bytes too many", length - used) }.fail();
    }
    Ok(message)
}
