//! Responses that a daemon creates itself.

use std::time::Duration;

use bytes::Bytes;
use http::{header, Response, StatusCode};

/// Delay after which a caller should retry a refused request: about the time that another daemon or
/// server needs to take over the work.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Lowest delay that a refusal states.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Creates a response without a body.
pub fn status(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

/// Creates an error response with the reason as its body.
pub fn error(code: StatusCode, reason: &str) -> Response<Bytes> {
    let mut response = status(code);
    *response.body_mut() = Bytes::from(format!("{reason}\n"));
    response
}

/// Creates a refusal: the request was not run and will not be.
pub fn not_run(reason: &str) -> Response<Bytes> {
    not_run_until(reason, RETRY_AFTER)
}

/// Creates a refusal of a request that may be served after `delay`.
pub fn not_run_until(reason: &str, delay: Duration) -> Response<Bytes> {
    let mut response = error(StatusCode::SERVICE_UNAVAILABLE, reason);
    let after = format!("{:.1}", delay.max(MIN_RETRY_AFTER).as_secs_f64());
    let after = after.parse().expect("a number is a header value");
    response.headers_mut().insert(header::RETRY_AFTER, after);
    response
}

/// Creates a refusal of a request to a service that is short of room. The delay is stated in
/// milliseconds, so that the callers do not return together.
pub fn short_of_room(delay: Duration) -> Response<Bytes> {
    let mut response = not_run("the servers have no room for the request in its time");
    let after = format!("{:.3}", delay.as_secs_f64());
    let after = after.parse().expect("a number is a header value");
    response.headers_mut().insert(header::RETRY_AFTER, after);
    response
}
