//! Callers that send completion requests and calls to plain services, and verify each response.

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use buckthornfall_client::{entry::refusal, http, Client, ClientOptions};
use buckthornfall_proto::messages::{CallerCompletion, CompletionChunk, ErrorAnswer, Outcome};

use crate::engine::text;

/// Options of a caller.
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// Name of the caller; its idempotency keys start with it.
    pub name: String,
    /// Options of its client.
    pub client: ClientOptions,
    /// Model to send completion requests to; empty for none.
    pub model: String,
    /// Plain service to call; empty for none.
    pub service: String,
    /// Idempotent operation of the service.
    pub lookup: String,
    /// Non-idempotent operation of the service.
    pub record: String,
    /// Maximum length of an answer, in tokens.
    pub max_tokens: u32,
    /// Pause between requests.
    pub pause: Duration,
    /// Text that crashes servers; the first completion request contains it. Empty for none.
    pub crash_text: String,
}

/// Results observed by a caller.
#[derive(Debug, Clone, Default)]
pub struct CallerReport {
    /// Requests with a complete response.
    pub answered: u64,
    /// Responses that belong to another request.
    pub foreign: u64,
    /// Responses that were truncated.
    pub cut: u64,
    /// Refusals by kind.
    pub refused: BTreeMap<String, u64>,
    /// Outcome of the last attempt of each non-idempotent request, by idempotency key.
    pub records: BTreeMap<String, ReportedOutcome>,
    /// Time from each request to its complete response.
    pub latencies: Vec<Duration>,
}

/// Outcome of a non-idempotent request, as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// The service responded.
    Answered,
    /// The request was refused with the outcome "not run", or was not sent.
    NotRun,
    /// The request was refused with the outcome "ran" or "unknown", or there was no response.
    Unknown,
}

/// Caller that sends requests in a loop.
pub struct Caller {
    options: CallerOptions,
    client: Client,
    request_count: u64,
    report: CallerReport,
}

static NEXT_KEY: AtomicU64 = AtomicU64::new(1);

impl Caller {
    /// Creates a caller.
    pub fn new(options: CallerOptions) -> Caller {
        let client = Client::new(options.client.clone());
        Caller { options, client, request_count: 0, report: CallerReport::default() }
    }

    /// Sends requests until `stop` is set.
    pub fn run(mut self, stop: &Arc<AtomicBool>) -> CallerReport {
        while !stop.load(Ordering::Relaxed) {
            self.request_count += 1;
            match self.request_count % 3 {
                0 if !self.options.service.is_empty() => self.record(),
                1 if !self.options.service.is_empty() => self.look_up(),
                _ if !self.options.model.is_empty() => self.complete(),
                _ => {}
            }
            thread::sleep(self.options.pause);
        }
        self.report
    }

    fn complete(&mut self) {
        let crash = std::mem::take(&mut self.options.crash_text);
        let prompt = format!("{} asks question {} {crash}", self.options.name, self.request_count);
        let body = CallerCompletion {
            model: self.options.model.clone(),
            prompt: prompt.clone(),
            max_tokens: self.options.max_tokens,
            stream: true,
            adapter: None,
        };
        let body = serde_json::to_vec(&body).expect("messages serialize to JSON");
        let sent_at = Instant::now();
        match self.client.post_events("/v1/completions", &body) {
            Ok(mut events) if events.status == 200 => match read_stream(&mut events) {
                StreamEnd::Complete { text: answer, tokens } => {
                    self.record_answer(sent_at, text::is_answer(&prompt, &answer, tokens));
                }
                StreamEnd::Refused(refusal) => self.record_refusal(&refusal),
                StreamEnd::Truncated => self.report.cut += 1,
            },
            Ok(mut events) => match serde_json::from_str::<ErrorAnswer>(&events.text()) {
                Ok(refusal) => self.record_refusal(&refusal),
                Err(_) => self.report.cut += 1,
            },
            Err(http::Error::NotSent { .. }) => self.count_refusal("not_sent"),
            Err(_) => self.report.cut += 1,
        }
    }

    fn look_up(&mut self) {
        let body = format!("{} looks up {}", self.options.name, self.request_count);
        let operation = self.options.lookup.clone();
        self.call(&operation, &body, "");
    }

    /// Sends a non-idempotent request, and retries it until the service responds.
    fn record(&mut self) {
        let key = format!("{}-{}", self.options.name, NEXT_KEY.fetch_add(1, Ordering::Relaxed));
        let body = format!("{key} records a fee");
        let operation = self.options.record.clone();
        let mut outcome = ReportedOutcome::Unknown;
        for _ in 0..MAX_RECORD_ATTEMPTS {
            outcome = self.call(&operation, &body, &key);
            if outcome == ReportedOutcome::Answered {
                break;
            }
        }
        self.report.records.insert(key, outcome);
    }

    fn call(&mut self, operation: &str, body: &str, key: &str) -> ReportedOutcome {
        let path = format!("/v1/services/{}/{operation}", self.options.service);
        let headers: &[http::Header<'_>] =
            if key.is_empty() { &[] } else { &[("idempotency-key", key)] };
        let sent_at = Instant::now();
        match self.client.post(&path, headers, body.as_bytes()) {
            Ok(reply) if reply.status == 200 => {
                let answer: serde_json::Value =
                    serde_json::from_slice(&reply.body).unwrap_or_default();
                self.record_answer(sent_at, answer["request"] == body);
                ReportedOutcome::Answered
            }
            Ok(reply) => match refusal(&reply) {
                Some(refusal) => {
                    self.record_refusal(&refusal);
                    match refusal.outcome {
                        Outcome::NotRun => ReportedOutcome::NotRun,
                        Outcome::Ran | Outcome::Unknown => ReportedOutcome::Unknown,
                    }
                }
                None => ReportedOutcome::Unknown,
            },
            Err(http::Error::NotSent { .. }) => {
                self.count_refusal("not_sent");
                ReportedOutcome::NotRun
            }
            Err(_) => {
                self.report.cut += 1;
                ReportedOutcome::Unknown
            }
        }
    }

    fn record_answer(&mut self, sent_at: Instant, matches_request: bool) {
        self.report.answered += 1;
        self.report.foreign += u64::from(!matches_request);
        self.report.latencies.push(sent_at.elapsed());
    }

    fn record_refusal(&mut self, refusal: &ErrorAnswer) {
        self.count_refusal(&refusal.kind);
        if refusal.kind == "leaving" {
            self.client.invalidate_entry();
        }
    }

    fn count_refusal(&mut self, kind: &str) {
        *self.report.refused.entry(kind.to_owned()).or_default() += 1;
    }
}

/// Maximum number of attempts of a non-idempotent request.
const MAX_RECORD_ATTEMPTS: u32 = 3;

enum StreamEnd {
    Complete { text: String, tokens: u32 },
    Refused(ErrorAnswer),
    Truncated,
}

fn read_stream(events: &mut http::EventStream) -> StreamEnd {
    let mut text = String::new();
    let mut tokens = 0;
    while let Ok(Some(data)) = events.next_data() {
        if data == "[DONE]" {
            return StreamEnd::Complete { text, tokens };
        }
        if let Ok(chunk) = serde_json::from_slice::<CompletionChunk>(&data) {
            text.extend(chunk.choices.iter().map(|choice| choice.text.as_str()));
            tokens += chunk.tokens;
        } else if let Ok(refusal) = serde_json::from_slice(&data) {
            return StreamEnd::Refused(refusal);
        }
    }
    StreamEnd::Truncated
}
