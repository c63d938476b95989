//! Checks of the keys that callers send, and what servers and other daemons are told of them.

use std::sync::Arc;

use buckthornfall_core::{
    accounts::{may_access_job, Account, Denied, KeyCheck},
    desired::{Desired, Route},
};
use buckthornfall_platform::headers;
use bytes::Bytes;
use http::{header, request, HeaderMap, HeaderValue, Response, StatusCode};
use log::info;

use super::{clock, forward::header_text, node::Node, responses};

/// Sender of a request, where requests need keys. Kept in the extensions of the request's head.
#[derive(Debug, Clone)]
pub struct Sender {
    /// Account of the key; `None` on a public route, for a request without a known key.
    pub account: Option<Arc<Account>>,
    /// The key, for another daemon that the request is passed on to. Its value is never logged.
    key: Option<HeaderValue>,
}

/// Response to a request that is refused for want of a key.
pub type Refusal = Box<Response<Bytes>>;

/// Returns the account of a request's key; `None` if no key is needed.
pub fn authenticate(
    node: &Node,
    desired: &Desired,
    header_map: &HeaderMap,
    is_public: bool,
) -> Result<Option<Arc<Account>>, Refusal> {
    let Some(accounts) = &desired.accounts else { return Ok(None) };
    let freshness = node.key_freshness.borrow();
    let revocation = node.settings().revocation;
    let check = KeyCheck { accounts, freshness: &freshness, revocation };
    let keys = header_map.get_all(headers::API_KEY).iter().map(HeaderValue::as_bytes);
    let now = clock::now();
    let denied = match check.account(now, keys) {
        Ok(account) => return Ok(Some(Arc::clone(account))),
        Err(_) if is_public => return Ok(None),
        // The key may have been added since.
        Err(Denied::UnknownKey) if !node.is_desired_recent() => Denied::Stale,
        Err(denied) => denied,
    };
    let reason = match denied {
        Denied::UnknownKey => "unknown_key",
        Denied::Stale => "stale_keys",
    };
    metrics::counter!("requests_denied_total", "reason" => reason).increment(1);
    info!(request = header_text(header_map, &headers::ATTEMPT), host = header_text(header_map, &header::HOST), reason,
        desired_version = desired.version, keys_age_ms:? = freshness.age(now).map(|age| age.as_millis() as u64);
        "request_denied");
    let response = match denied {
        Denied::UnknownKey => responses::error(StatusCode::UNAUTHORIZED, &denied.to_string()),
        Denied::Stale => responses::not_run(&denied.to_string()),
    };
    Err(Box::new(response))
}

/// Authenticates a request for a route. Its key is removed, and its account is set, as servers are to
/// see them.
pub fn admit(
    node: &Node,
    desired: &Desired,
    route: &Route,
    head: &mut request::Parts,
) -> Result<(), Refusal> {
    if desired.accounts.is_none() {
        return Ok(());
    }
    let account = authenticate(node, desired, &head.headers, route.is_public)?;
    let key = head.headers.remove(headers::API_KEY).filter(|_| account.is_some());
    head.headers.remove(headers::ACCOUNT);
    if let Some(value) = account.as_ref().and_then(|account| account.name.parse().ok()) {
        head.headers.insert(headers::ACCOUNT, value);
    }
    head.extensions.insert(Sender { account, key });
    Ok(())
}

/// Returns the account that sent a request, if it has one.
pub fn account(head: &request::Parts) -> Option<&Account> {
    head.extensions.get::<Sender>()?.account.as_deref()
}

/// Returns the priority of a request: that of its account, else that of its route.
pub fn priority(route: &Route, head: &request::Parts) -> u8 {
    account(head).and_then(|account| account.priority).unwrap_or(route.priority)
}

/// Adds the key of a request for another daemon, which checks it again by what it knows itself.
pub fn restore_key(head: &request::Parts, header_map: &mut HeaderMap) {
    let sender = head.extensions.get::<Sender>();
    if let Some(key) = sender.and_then(|sender| sender.key.clone()) {
        header_map.insert(headers::API_KEY, key);
    }
}

/// Sender of a request about a job.
#[derive(Debug)]
pub enum JobSender {
    /// No keys are needed.
    Anyone,
    /// The owner of a key.
    Account(Arc<Account>),
    /// The request has no valid key; it may concern only jobs of public routes.
    Denied(Refusal),
}

impl JobSender {
    /// Determines the sender from the headers of a request.
    pub fn new(node: &Node, header_map: &HeaderMap) -> JobSender {
        let Some(desired) = node.desired() else { return JobSender::Anyone };
        match authenticate(node, &desired, header_map, false) {
            Ok(None) => JobSender::Anyone,
            Ok(Some(account)) => JobSender::Account(account),
            Err(refusal) => JobSender::Denied(refusal),
        }
    }

    /// Returns the refusal of a request about a job of the client account `job`, if it is refused. Jobs
    /// of other accounts do not exist for the sender.
    pub fn refusal(self, job: Option<&str>) -> Option<Refusal> {
        match self {
            JobSender::Anyone => None,
            JobSender::Account(account) => (!may_access_job(job, Some(&account)))
                .then(|| Box::new(responses::status(StatusCode::NOT_FOUND))),
            JobSender::Denied(refusal) => (!may_access_job(job, None)).then_some(refusal),
        }
    }

    /// Returns the response to a request about a job that does not exist.
    pub fn not_found(self) -> Response<Bytes> {
        match self {
            JobSender::Denied(refusal) => *refusal,
            JobSender::Anyone | JobSender::Account(_) => responses::status(StatusCode::NOT_FOUND),
        }
    }
}
