//! A caller that asks for its entry addresses and keeps them while they are valid.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use buckthornfall_proto::messages::{EntryAnswer, ErrorAnswer};

use crate::http::{Error, Header, Http, HttpOptions, LineStream, Reply, Result};

/// Settings of a client.
#[derive(Debug, Clone)]
pub struct ClientOptions {
    /// Addresses of some daemons, to ask for the entry addresses.
    pub daemons: Vec<String>,
    /// Availability zone of the caller; empty for none.
    pub zone: String,
    /// Region of the caller; empty for none.
    pub region: String,
    /// Bearer token.
    pub token: String,
    /// Longest time of one request.
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
struct Known {
    addresses: Vec<String>,
    until: Option<Instant>,
}

/// A caller.
#[derive(Debug)]
pub struct Client {
    options: ClientOptions,
    authorization: String,
    http: Http,
    known: Mutex<Known>,
}

impl Client {
    /// A caller with these settings.
    pub fn new(options: ClientOptions) -> Client {
        let http =
            Http::new(&HttpOptions { total: Some(options.timeout), ..HttpOptions::default() });
        let authorization = format!("Bearer {}", options.token);
        Client { options, authorization, http, known: Mutex::new(Known::default()) }
    }

    /// Asks the daemons, one after the other, for the entry addresses.
    pub fn ask_entry(&self) -> Result<EntryAnswer> {
        let query = format!("zone={}&region={}", self.options.zone, self.options.region);
        let mut last = Error::NotSent {
            url: "entry".to_owned(),
            reason: "no daemon address is given".to_owned(),
        };
        for daemon in &self.options.daemons {
            let url = format!("http://{daemon}/v1/entry?{query}");
            match self.http.get_json::<EntryAnswer>(&url, &[]) {
                Ok(answer) => return Ok(answer),
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    /// The addresses to use now, best first.
    pub fn addresses(&self) -> Result<Vec<String>> {
        let mut known = self.known.lock().expect("no holder panics");
        if known.until.is_none_or(|until| Instant::now() >= until) {
            let answer = self.ask_entry()?;
            known.until = Some(Instant::now() + Duration::from_millis(answer.valid_for_ms));
            known.addresses = answer.addresses.into_iter().map(|entry| entry.address).collect();
        }
        Ok(known.addresses.clone())
    }

    /// Forgets the addresses, so that the next request asks again.
    pub fn forget(&self) {
        self.known.lock().expect("no holder panics").until = None;
    }

    /// Posts a body; another address is tried only if the request was not sent.
    pub fn post(&self, path: &str, headers: &[Header<'_>], body: &[u8]) -> Result<Reply> {
        let all = self.with_token(headers);
        self.on_each(|address| self.http.post(&format!("http://{address}{path}"), &all, body))
    }

    /// Posts a body to one daemon.
    pub fn post_to(&self, address: &str, path: &str, body: &[u8]) -> Result<Reply> {
        self.http.post(&format!("http://{address}{path}"), &self.with_token(&[]), body)
    }

    /// Gets a document of one daemon.
    pub fn get_from(&self, address: &str, path: &str) -> Result<Reply> {
        self.http.get(&format!("http://{address}{path}"), &self.with_token(&[]))
    }

    /// Posts a body and reads the answer line by line.
    pub fn post_lines(&self, path: &str, body: &[u8]) -> Result<LineStream> {
        let all = self.with_token(&[]);
        self.on_each(|address| self.http.post_lines(&format!("http://{address}{path}"), &all, body))
    }

    fn with_token<'a>(&'a self, headers: &[Header<'a>]) -> Vec<Header<'a>> {
        let token = ("authorization", self.authorization.as_str());
        headers.iter().copied().chain([token]).collect()
    }

    fn on_each<T>(&self, send: impl Fn(&str) -> Result<T>) -> Result<T> {
        let mut last = None;
        for address in self.addresses()? {
            match send(&address) {
                Err(e @ Error::NotSent { .. }) => last = Some(e),
                result => return result,
            }
        }
        self.forget();
        let reason = "the system names no daemon to use".to_owned();
        Err(last.unwrap_or(Error::NotSent { url: "entry".to_owned(), reason }))
    }
}

/// The refusal in an answer; `None` if the answer is no refusal of the system.
pub fn refusal(reply: &Reply) -> Option<ErrorAnswer> {
    if reply.status < 400 {
        return None;
    }
    serde_json::from_slice(&reply.body).ok()
}
