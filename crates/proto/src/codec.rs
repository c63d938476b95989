//! Bincode encoding of messages between daemons, with a size limit.

use bincode::config::{self, Configuration, Limit, LittleEndian, Varint};
use serde::{de::DeserializeOwned, Serialize};
use snafu::Snafu;

/// Maximum size of an encoded message. A manifest with 2,500 servers takes less than half of it.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Error while encoding or decoding a message.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The message cannot be serialized or exceeds the size limit.
    #[snafu(display("cannot encode a peer message: {message}"))]
    Encode {
        /// Error message of the encoder.
        message: String,
    },
    /// The input is not exactly one message.
    #[snafu(display("cannot decode a peer message of {length} bytes: {message}"))]
    Decode {
        /// Length of the input, in bytes.
        length: usize,
        /// Error message of the decoder.
        message: String,
    },
}

/// Result type of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> =
    config::standard().with_limit::<MAX_MESSAGE_BYTES>();

/// Encodes `message`.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    bincode::serde::encode_to_vec(message, CONFIG)
        .map_err(|e| Error::Encode { message: e.to_string() })
}

/// Decodes a message; trailing bytes in `buf` are an error.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T> {
    let length = buf.len();
    let (message, used) = bincode::serde::decode_from_slice(buf, CONFIG)
        .map_err(|e| Error::Decode { length, message: e.to_string() })?;
    if used != length {
        return DecodeSnafu { length, message: format!("{} bytes too many", length - used) }.fail();
    }
    Ok(message)
}
