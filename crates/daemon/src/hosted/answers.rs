//! Answers that a daemon gives itself.

use std::time::Duration;

use bytes::Bytes;
use http::{header, Response, StatusCode};

/// When a caller should come back after a refusal: about the time in which another daemon or
/// server has taken over the work.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// An answer without a body.
pub fn status(status: StatusCode) -> Response<Bytes> {
    let mut reply = Response::new(Bytes::new());
    *reply.status_mut() = status;
    reply
}

/// An answer that says what went wrong.
pub fn error(code: StatusCode, reason: &str) -> Response<Bytes> {
    let mut reply = status(code);
    *reply.body_mut() = Bytes::from(format!("{reason}\n"));
    reply
}

/// A refusal: the request has not run and will not run.
pub fn not_run(reason: &str) -> Response<Bytes> {
    let mut reply = error(StatusCode::SERVICE_UNAVAILABLE, reason);
    let after = format!("{:.1}", RETRY_AFTER.as_secs_f64());
    let after = after.parse().expect("a number is a header value");
    reply.headers_mut().insert(header::RETRY_AFTER, after);
    reply
}
