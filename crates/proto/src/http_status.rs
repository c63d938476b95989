//! Status codes of HTTP responses.

/// Returns whether a status code is one of a final response: HTTP defines none from 600 on, those below 200
/// are interim, and 101 begins another protocol.
pub fn is_final(status: u16) -> bool {
    (200..600).contains(&status)
}
