//! Callers that send completions and calls to plain services, and check each answer.

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

/// Settings of one caller.
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// Name of the caller; its idempotency keys start with it.
    pub name: String,
    /// How it reaches the system.
    pub client: ClientOptions,
    /// Model to ask; empty for none.
    pub model: String,
    /// Plain service to call; empty for none.
    pub service: String,
    /// Idempotent operation of that service.
    pub lookup: String,
    /// Non-idempotent operation of that service.
    pub record: String,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Pause between two requests.
    pub pause: Duration,
    /// Text that crashes servers; the first request holds it. Empty for none.
    pub crash_text: String,
}

/// What a caller saw.
#[derive(Debug, Clone, Default)]
pub struct CallerReport {
    /// Requests with a whole answer.
    pub answered: u64,
    /// Answers that belong to another request.
    pub foreign: u64,
    /// Answers that ended before their end.
    pub cut: u64,
    /// Refusals by kind.
    pub refused: BTreeMap<String, u64>,
    /// Keys of non-idempotent requests, with what was said of the last try.
    pub records: BTreeMap<String, Said>,
    /// Time from request to whole answer.
    pub latencies: Vec<Duration>,
}

/// What a caller was told of a non-idempotent request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Said {
    /// An answer of the service came.
    Answered,
    /// A refusal that says "not run".
    NotRun,
    /// A refusal that says "ran" or "unknown", or no answer at all.
    Unknown,
}

/// One caller.
pub struct Caller {
    options: CallerOptions,
    client: Client,
    count: u64,
    report: CallerReport,
}

static NEXT_KEY: AtomicU64 = AtomicU64::new(1);

impl Caller {
    /// A caller that has sent nothing yet.
    pub fn new(options: CallerOptions) -> Caller {
        let client = Client::new(options.client.clone());
        Caller { options, client, count: 0, report: CallerReport::default() }
    }

    /// Sends requests until `stop` is set.
    pub fn run(mut self, stop: &Arc<AtomicBool>) -> CallerReport {
        while !stop.load(Ordering::Relaxed) {
            self.count += 1;
            match self.count % 3 {
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
        let prompt = format!("{} asks question {} {crash}", self.options.name, self.count);
        let body = CallerCompletion {
            model: self.options.model.clone(),
            prompt: prompt.clone(),
            max_tokens: self.options.max_tokens,
            stream: true,
            adapter: None,
        };
        let body = serde_json::to_vec(&body).expect("messages are plain data");
        let sent = Instant::now();
        match self.client.post_lines("/v1/completions", &body) {
            Ok(mut lines) if lines.status == 200 => match read_stream(&mut lines) {
                StreamEnd::Whole { text: answer, tokens } => {
                    self.on_answer(sent, text::is_answer(&prompt, &answer, tokens));
                }
                StreamEnd::Refused(refusal) => self.on_refusal(&refusal),
                StreamEnd::Cut => self.report.cut += 1,
            },
            Ok(mut lines) => match serde_json::from_str::<ErrorAnswer>(&lines.rest()) {
                Ok(refusal) => self.on_refusal(&refusal),
                Err(_) => self.report.cut += 1,
            },
            Err(http::Error::NotSent { .. }) => self.count_refusal("not_sent"),
            Err(_) => self.report.cut += 1,
        }
    }

    fn look_up(&mut self) {
        let body = format!("{} looks up {}", self.options.name, self.count);
        let operation = self.options.lookup.clone();
        self.call(&operation, &body, "");
    }

    /// Sends a non-idempotent request, and sends it again until the outcome is known.
    fn record(&mut self) {
        let key = format!("{}-{}", self.options.name, NEXT_KEY.fetch_add(1, Ordering::Relaxed));
        let body = format!("{key} records a fee");
        let operation = self.options.record.clone();
        let mut said = Said::Unknown;
        for _ in 0..RECORD_TRIES {
            said = self.call(&operation, &body, &key);
            if said == Said::Answered {
                break;
            }
        }
        self.report.records.insert(key, said);
    }

    fn call(&mut self, operation: &str, body: &str, key: &str) -> Said {
        let path = format!("/v1/services/{}/{operation}", self.options.service);
        let headers: &[http::Header<'_>] =
            if key.is_empty() { &[] } else { &[("idempotency-key", key)] };
        let sent = Instant::now();
        match self.client.post(&path, headers, body.as_bytes()) {
            Ok(reply) if reply.status == 200 => {
                let answer: serde_json::Value =
                    serde_json::from_slice(&reply.body).unwrap_or_default();
                self.on_answer(sent, answer["request"] == body);
                Said::Answered
            }
            Ok(reply) => match refusal(&reply) {
                Some(refusal) => {
                    self.on_refusal(&refusal);
                    match refusal.outcome {
                        Outcome::NotRun => Said::NotRun,
                        Outcome::Ran | Outcome::Unknown => Said::Unknown,
                    }
                }
                None => Said::Unknown,
            },
            Err(http::Error::NotSent { .. }) => {
                self.count_refusal("not_sent");
                Said::NotRun
            }
            Err(_) => {
                self.report.cut += 1;
                Said::Unknown
            }
        }
    }

    fn on_answer(&mut self, sent: Instant, own: bool) {
        self.report.answered += 1;
        self.report.foreign += u64::from(!own);
        self.report.latencies.push(sent.elapsed());
    }

    fn on_refusal(&mut self, refusal: &ErrorAnswer) {
        self.count_refusal(&refusal.kind);
        if refusal.kind == "leaving" {
            self.client.invalidate_entry();
        }
    }

    fn count_refusal(&mut self, kind: &str) {
        *self.report.refused.entry(kind.to_owned()).or_default() += 1;
    }
}

/// Tries of one non-idempotent request.
const RECORD_TRIES: u32 = 3;

enum StreamEnd {
    Whole { text: String, tokens: u32 },
    Refused(ErrorAnswer),
    Cut,
}

fn read_stream(lines: &mut http::LineStream) -> StreamEnd {
    let mut text = String::new();
    let mut tokens = 0;
    while let Ok(Some(line)) = lines.next_line() {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            return StreamEnd::Whole { text, tokens };
        }
        if let Ok(chunk) = serde_json::from_str::<CompletionChunk>(data) {
            text.extend(chunk.choices.iter().map(|choice| choice.text.as_str()));
            tokens += chunk.tokens;
        } else if let Ok(refusal) = serde_json::from_str(data) {
            return StreamEnd::Refused(refusal);
        }
    }
    StreamEnd::Cut
}
