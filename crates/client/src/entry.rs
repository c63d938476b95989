//! Client that fetches its entry addresses and caches them until they expire.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use buckthornfall_proto::messages::{EntryAnswer, ErrorAnswer};

use crate::http::{Error, EventStream, Header, Http, HttpOptions, Reply, Result};

/// Options of a client.
#[derive(Debug, Clone)]
pub struct ClientOptions {
    /// Addresses of daemons to fetch the entry addresses from.
    pub daemons: Vec<String>,
    /// Availability zone of the caller; empty for none.
    pub zone: String,
    /// Region of the caller; empty for none.
    pub region: String,
    /// Bearer token.
    pub token: String,
    /// Timeout of one request.
    pub timeout: Duration,
}

impl Default for ClientOptions {
    fn default() -> ClientOptions {
        ClientOptions {
            daemons: Vec::new(),
            zone: String::new(),
            region: String::new(),
            token: String::new(),
            timeout: Duration::from_secs(60),
        }
    }
}

#[derive(Debug, Default)]
struct EntryCache {
    addresses: Vec<String>,
    expires_at: Option<Instant>,
}

/// Client of the rollout service.
#[derive(Debug)]
pub struct Client {
    options: ClientOptions,
    authorization: String,
    http: Http,
    entry_cache: Mutex<EntryCache>,
}

impl Client {
    /// Creates a client with these options.
    pub fn new(options: ClientOptions) -> Client {
        let http =
            Http::new(&HttpOptions { timeout: Some(options.timeout), ..HttpOptions::default() });
        let authorization = format!("Bearer {}", options.token);
        Client { options, authorization, http, entry_cache: Mutex::new(EntryCache::default()) }
    }

    /// Queries the configured daemons in order until one returns the entry addresses.
    pub fn fetch_entry(&self) -> Result<EntryAnswer> {
        let query = format!("zone={}&region={}", self.options.zone, self.options.region);
        let mut last_error = Error::NotSent {
            url: "entry".to_owned(),
            reason: "no daemon address is configured".to_owned(),
        };
        for daemon in &self.options.daemons {
            let url = format!("http://{daemon}/v1/entry?{query}");
            match self.http.get_json::<EntryAnswer>(&url, &[]) {
                Ok(answer) => return Ok(answer),
                Err(e) => last_error = e,
            }
        }
        Err(last_error)
    }

    /// Returns the entry addresses in order of preference. Fetches them again if the cache has
    /// expired.
    pub fn addresses(&self) -> Result<Vec<String>> {
        let mut cache = self.entry_cache.lock().expect("lock poisoned");
        if cache.expires_at.is_none_or(|expires_at| Instant::now() >= expires_at) {
            let answer = self.fetch_entry()?;
            cache.expires_at = Some(Instant::now() + Duration::from_millis(answer.valid_for_ms));
            cache.addresses = answer.addresses.into_iter().map(|entry| entry.address).collect();
        }
        Ok(cache.addresses.clone())
    }

    /// Invalidates the cached addresses, so that the next request fetches them again.
    pub fn invalidate_entry(&self) {
        self.entry_cache.lock().expect("lock poisoned").expires_at = None;
    }

    /// Posts a body. Tries the next address only if the request was not sent.
    pub fn post(&self, path: &str, headers: &[Header<'_>], body: &[u8]) -> Result<Reply> {
        let headers = self.with_token(headers);
        self.try_each_address(|address| {
            self.http.post(&format!("http://{address}{path}"), &headers, body)
        })
    }

    /// Posts a body to a given daemon.
    pub fn post_to(&self, address: &str, path: &str, body: &[u8]) -> Result<Reply> {
        self.http.post(&format!("http://{address}{path}"), &self.with_token(&[]), body)
    }

    /// Gets a document from a given daemon.
    pub fn get_from(&self, address: &str, path: &str) -> Result<Reply> {
        self.http.get(&format!("http://{address}{path}"), &self.with_token(&[]))
    }

    /// Posts a body and returns the response as an event stream.
    pub fn post_events(&self, path: &str, body: &[u8]) -> Result<EventStream> {
        let headers = self.with_token(&[]);
        self.try_each_address(|address| {
            self.http.post_events(&format!("http://{address}{path}"), &headers, body)
        })
    }

    fn with_token<'a>(&'a self, headers: &[Header<'a>]) -> Vec<Header<'a>> {
        let token = ("authorization", self.authorization.as_str());
        headers.iter().copied().chain([token]).collect()
    }

    fn try_each_address<T>(&self, send: impl Fn(&str) -> Result<T>) -> Result<T> {
        let mut last_error = None;
        for address in self.addresses()? {
            match send(&address) {
                Err(e @ Error::NotSent { .. }) => last_error = Some(e),
                result => return result,
            }
        }
        self.invalidate_entry();
        let reason = "the entry response contains no daemon address".to_owned();
        Err(last_error.unwrap_or(Error::NotSent { url: "entry".to_owned(), reason }))
    }
}

/// Returns the refusal in a response; `None` if the response is not an error of the system.
pub fn refusal(reply: &Reply) -> Option<ErrorAnswer> {
    if reply.status < 400 {
        return None;
    }
    serde_json::from_slice(&reply.body).ok()
}
