//! Attempts on backend servers: token streams of engines and calls of services.

use std::{
    io,
    sync::{
        atomic::{AtomicBool, Ordering},
        mpsc::{sync_channel, Receiver, SyncSender, TrySendError},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use buckthornfall_client::http::{Error, Header, Http, HttpOptions, LineStream};
use buckthornfall_core::dispatch::{AttemptEvent, Class, Task};
use buckthornfall_proto::{
    ids::AttemptId,
    messages::{CompletionChunk, CompletionRequest},
};
use bytes::Bytes;
use stakker::sync::Channel;

use crate::telemetry::Telemetry;

/// One attempt to run.
#[derive(Debug)]
pub struct AttemptJob {
    /// Its id.
    pub attempt: AttemptId,
    /// Address and port of the server.
    pub address: String,
    /// Service that the server belongs to.
    pub service: String,
    /// What to do.
    pub task: Task,
    /// Class of the work.
    pub class: Class,
    /// Text that earlier attempts produced.
    pub resume: Bytes,
    /// Tokens of that text.
    pub resume_tokens: u32,
    /// When the answer is of no use any more.
    pub deadline: Instant,
    /// Set when nobody wants the answer any more.
    pub cancelled: Arc<AtomicBool>,
}

/// An event with the attempt that it belongs to.
pub type AttemptNews = (AttemptId, AttemptEvent);

/// Attempts that may wait for a thread.
const QUEUE: usize = 1024;
/// Longest silence of a token stream.
const SILENCE: Duration = Duration::from_secs(30);
/// Shortest time given to a call.
const SHORTEST_CALL: Duration = Duration::from_millis(10);

/// Threads that each run one attempt at a time.
pub struct Streams {
    jobs: SyncSender<AttemptJob>,
}

struct Runner {
    /// Zone and region of this daemon, which engines are told.
    zone: String,
    region: String,
    engines: Http,
    news: Channel<AttemptNews>,
}

impl Streams {
    /// Starts `threads` threads that report to `news`.
    pub fn start(
        threads: u32,
        zone: &str,
        region: &str,
        news: &Channel<AttemptNews>,
        telemetry: &Telemetry,
    ) -> io::Result<Streams> {
        let (tx, rx) = sync_channel(QUEUE);
        let jobs = Arc::new(Mutex::new(rx));
        let options =
            HttpOptions { timeout: None, body_timeout: Some(SILENCE), ..HttpOptions::default() };
        let runner = Arc::new(Runner {
            zone: zone.to_owned(),
            region: region.to_owned(),
            engines: Http::new(&options),
            news: news.clone(),
        });
        for _ in 0..threads {
            let (jobs, runner) = (Arc::clone(&jobs), Arc::clone(&runner));
            telemetry.spawn("stream", move || work(&jobs, &runner))?;
        }
        Ok(Streams { jobs: tx })
    }

    /// Gives an attempt to the threads; gives its id back if all are busy and the queue is full.
    pub fn submit(&self, job: AttemptJob) -> Result<(), AttemptId> {
        self.jobs.try_send(job).map_err(|e| match e {
            TrySendError::Full(job) | TrySendError::Disconnected(job) => job.attempt,
        })
    }
}

fn work(jobs: &Mutex<Receiver<AttemptJob>>, runner: &Runner) {
    loop {
        let next = jobs.lock().expect("no holder panics").recv();
        let Ok(job) = next else { return };
        let event = if job.cancelled.load(Ordering::Relaxed) {
            not_run("cancelled before it started")
        } else {
            runner.run(&job)
        };
        if !runner.news.send((job.attempt, event)) {
            return;
        }
    }
}

impl Runner {
    /// Runs an attempt and returns its last event.
    fn run(&self, job: &AttemptJob) -> AttemptEvent {
        match &job.task {
            Task::Generate { .. } => self.generate(job),
            Task::Call { operation, key, body } => self.call(job, operation, key, body),
        }
    }

    fn call(&self, job: &AttemptJob, operation: &str, key: &str, body: &[u8]) -> AttemptEvent {
        let url = format!("http://{}/v1/operations/{operation}", job.address);
        let left = job.deadline.saturating_duration_since(Instant::now()).max(SHORTEST_CALL);
        let http = Http::new(&HttpOptions { timeout: Some(left), ..HttpOptions::default() });
        let key_header = (!key.is_empty()).then_some(("idempotency-key", key));
        let headers: Vec<Header<'_>> = self.headers(&job.attempt).chain(key_header).collect();
        match http.post(&url, &headers, body) {
            Ok(reply) if reply.not_run => not_run(&String::from_utf8_lossy(&reply.body)),
            Ok(reply) => AttemptEvent::Answered { status: reply.status, body: reply.body },
            Err(e) => failed(&e),
        }
    }

    fn generate(&self, job: &AttemptJob) -> AttemptEvent {
        let Some(request) = completion_request(job) else {
            return not_run("the prompt is not valid UTF-8");
        };
        let url = format!("http://{}/v1/completions", job.address);
        let body = serde_json::to_vec(&request).expect("messages are plain data");
        let headers: Vec<Header<'_>> = self.headers(&job.attempt).collect();
        match self.engines.post_lines(&url, &headers, &body) {
            Ok(mut lines) if lines.not_run => not_run(&lines.rest()),
            Ok(mut lines) if lines.status == 200 => self.read_tokens(job, &mut lines),
            Ok(mut lines) => {
                let status = lines.status;
                broken(&format!("status {status}: {}", lines.rest()))
            }
            Err(e) => failed(&e),
        }
    }

    /// Passes the tokens on; an event that names another attempt breaks the stream.
    fn read_tokens(&self, job: &AttemptJob, lines: &mut LineStream) -> AttemptEvent {
        loop {
            let line = match lines.next_line() {
                Ok(Some(line)) => line,
                Ok(None) => return broken("the stream ended before its end"),
                Err(e) => return broken(&e.to_string()),
            };
            if job.cancelled.load(Ordering::Relaxed) {
                return broken("cancelled");
            }
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                return AttemptEvent::Finished;
            }
            match serde_json::from_str::<CompletionChunk>(data) {
                Ok(chunk) if chunk.id == job.attempt => {
                    let text: String =
                        chunk.choices.into_iter().map(|choice| choice.text).collect();
                    let event = AttemptEvent::Tokens {
                        text: Bytes::from(text),
                        tokens: chunk.tokens,
                        version: chunk.version,
                    };
                    self.news.send((job.attempt.clone(), event));
                }
                Ok(chunk) => {
                    metrics::counter!("foreign_answers_total").increment(1);
                    return broken(&format!("the answer belongs to attempt {:?}", chunk.id));
                }
                Err(e) => return broken(&format!("an event cannot be read: {e}")),
            }
        }
    }

    fn headers<'a>(&'a self, attempt: &'a str) -> impl Iterator<Item = Header<'a>> {
        let zone = ("x-zone", self.zone.as_str());
        let region = ("x-region", self.region.as_str());
        [("x-attempt", attempt), zone, region].into_iter()
    }
}

fn completion_request(job: &AttemptJob) -> Option<CompletionRequest> {
    let Task::Generate { prompt, adapter, max_tokens, min_version, seed } = &job.task else {
        return None;
    };
    Some(CompletionRequest {
        model: job.service.clone(),
        prompt: String::from_utf8(prompt.to_vec()).ok()?,
        max_tokens: *max_tokens,
        stream: true,
        adapter: adapter.clone(),
        priority: job.class.priority(),
        min_version: *min_version,
        seed: *seed,
        resume_text: String::from_utf8(job.resume.to_vec()).ok()?,
        resume_tokens: job.resume_tokens,
    })
}

/// Only a request that never reached the server certainly did not run.
fn failed(error: &Error) -> AttemptEvent {
    match error {
        Error::NotSent { reason, .. } => {
            AttemptEvent::NotRun { unreachable: true, reason: reason.clone() }
        }
        e => broken(&e.to_string()),
    }
}

fn not_run(reason: &str) -> AttemptEvent {
    AttemptEvent::NotRun { unreachable: false, reason: reason.to_owned() }
}

fn broken(reason: &str) -> AttemptEvent {
    AttemptEvent::Broken { reason: reason.to_owned() }
}
