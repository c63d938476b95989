//! Commands of callers and trainers: `entry`, `request` and `submit`.

use std::{io::Write, path::PathBuf, thread, time::Duration};

use buckthornfall_client::{entry::refusal, http, Client};
use buckthornfall_proto::messages::{
    CallerCompletion, CompletionChunk, Cursor, ErrorAnswer, GroupResult, PullAnswer, PullRequest,
    StepAccepted, StepSpec,
};
use clap::ArgMatches;
use serde::{de::DeserializeOwned, Serialize};
use snafu::ResultExt;

use crate::{
    admin::{parse_reply, read_json},
    error::{Error, HttpSnafu, Result},
    options::{Format, Options},
    output,
};

const PULL_INTERVAL: Duration = Duration::from_millis(200);
const GROUPS_PER_PULL: u32 = 64;

/// Prints the daemon addresses to use.
pub fn entry(options: &Options) -> Result<()> {
    let answer = options.client()?.fetch_entry().context(HttpSnafu)?;
    output::result(options.format, &answer, |answer| {
        let line = |entry: &buckthornfall_proto::messages::EntryAddress| {
            format!("{}  {} in {}", entry.address, entry.host, entry.zone)
        };
        let mut lines: Vec<_> = answer.addresses.iter().map(line).collect();
        lines.push(format!("valid for {} ms", answer.valid_for_ms));
        lines.join("\n")
    });
    Ok(())
}

/// Sends one request to a model or a plain service.
pub fn request(options: &Options, matches: &ArgMatches) -> Result<()> {
    let client = options.client_with_token()?;
    let service = matches.get_one::<String>("service").expect("the argument is required");
    let text = matches.get_one::<String>("text").expect("the argument is required");
    match matches.get_one::<String>("operation") {
        Some(operation) => call_operation(&client, service, operation, text, matches),
        None => stream_completion(options, &client, service, text, matches),
    }
}

/// Calls an operation of a plain service and prints the response body.
fn call_operation(
    client: &Client,
    service: &str,
    operation: &str,
    text: &str,
    matches: &ArgMatches,
) -> Result<()> {
    let key = matches.get_one::<String>("key");
    let headers: Vec<_> = key.iter().map(|key| ("idempotency-key", key.as_str())).collect();
    let path = format!("/v1/services/{service}/{operation}");
    let reply = client.post(&path, &headers, text.as_bytes()).context(HttpSnafu)?;
    if let Some(answer) = refusal(&reply) {
        return Err(Error::Refused { answer: Box::new(answer) });
    }
    output::line(&String::from_utf8_lossy(&reply.body));
    Ok(())
}

/// Requests a completion and prints it as it is streamed.
fn stream_completion(
    options: &Options,
    client: &Client,
    model: &str,
    prompt: &str,
    matches: &ArgMatches,
) -> Result<()> {
    let request = CallerCompletion {
        model: model.to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: *matches.get_one::<u32>("max-tokens").expect("the argument has a default"),
        stream: true,
        adapter: None,
    };
    let body = serde_json::to_vec(&request).expect("messages serialize to JSON");
    let mut events = client.post_events("/v1/completions", &body).context(HttpSnafu)?;
    if events.status != 200 {
        return Err(refusal_error(&events.text()));
    }
    while let Some(data) = events.next_data().context(HttpSnafu)? {
        if data == "[DONE]" {
            output::line("");
            return Ok(());
        }
        let text = String::from_utf8_lossy(&data);
        match (options.format, serde_json::from_str::<CompletionChunk>(&text)) {
            (Format::Json, Ok(_)) => output::line(&text),
            (Format::Text, Ok(chunk)) => print_tokens(&chunk),
            (_, Err(_)) => return Err(refusal_error(&text)),
        }
    }
    let reason = "the response stream ended before its [DONE] event".to_owned();
    Err(Error::Http { source: http::Error::NoReply { url: "/v1/completions".to_owned(), reason } })
}

fn print_tokens(chunk: &CompletionChunk) {
    let mut stdout = std::io::stdout();
    for choice in &chunk.choices {
        // A write error on a closed standard output is ignored here; the next printed line panics.
        let _ = stdout.write_all(choice.text.as_bytes());
    }
    let _ = stdout.flush();
}

/// Parses a refusal; text that is not one becomes a malformed reply.
fn refusal_error(text: &str) -> Error {
    match serde_json::from_str::<ErrorAnswer>(text) {
        Ok(answer) => Error::Refused { answer: Box::new(answer) },
        Err(_) => {
            let url = "the daemon".to_owned();
            Error::Http { source: http::Error::Malformed { url, reason: text.to_owned() } }
        }
    }
}

#[derive(Serialize)]
struct DeliveredStep {
    step: u64,
    groups: Vec<GroupResult>,
}

/// Submits a step and pulls its groups until the step is complete.
pub fn submit(options: &Options, matches: &ArgMatches) -> Result<()> {
    let trainer = matches.get_one::<String>("trainer").expect("the argument is required");
    let path = matches.get_one::<PathBuf>("step").expect("the argument is required");
    let spec: StepSpec = read_json(path)?;
    let client = options.client_with_token()?;
    let mut coordinator = CoordinatorClient { client: &client, address: None };
    let steps_path = format!("/v1/trainers/{trainer}/steps");
    let accepted: StepAccepted = coordinator.post(&steps_path, &spec)?;
    let pull_path = format!("/v1/trainers/{trainer}/pull");
    let mut cursor =
        Cursor { step: spec.step, taken: Vec::new(), weights_version: spec.weights_version };
    let mut delivered = DeliveredStep { step: spec.step, groups: Vec::new() };
    loop {
        let request = PullRequest { cursor, max_groups: GROUPS_PER_PULL };
        let answer: PullAnswer = coordinator.post(&pull_path, &request)?;
        delivered.groups.extend(answer.groups);
        cursor = answer.cursor;
        if answer.complete {
            break;
        }
        thread::sleep(PULL_INTERVAL);
    }
    output::result(options.format, &delivered, |delivered| {
        let samples: usize = delivered.groups.iter().map(|group| group.samples.len()).sum();
        format!(
            "step {} is whole: {} groups, {samples} of {} samples",
            delivered.step,
            delivered.groups.len(),
            accepted.samples
        )
    });
    Ok(())
}

/// Client of the daemon that coordinates a trainer; follows redirects to that daemon.
struct CoordinatorClient<'a> {
    client: &'a Client,
    /// Address of the coordinator, once another daemon has returned it.
    address: Option<String>,
}

impl CoordinatorClient<'_> {
    fn post<B: Serialize, T: DeserializeOwned>(&mut self, path: &str, body: &B) -> Result<T> {
        let body = serde_json::to_vec(body).expect("messages serialize to JSON");
        loop {
            let reply = match &self.address {
                Some(address) => self.client.post_to(address, path, &body),
                None => self.client.post(path, &[], &body),
            };
            match refusal(&reply.as_ref().map_or_else(|_| empty_reply(), Clone::clone)) {
                Some(answer) if answer.kind == "not_coordinator" => {
                    self.address = answer.use_address;
                    thread::sleep(PULL_INTERVAL);
                }
                _ => return parse_reply(&reply.context(HttpSnafu)?),
            }
        }
    }
}

/// Stands in for the reply of a failed request, so that it is not taken for a refusal.
fn empty_reply() -> http::Reply {
    http::Reply { status: 200, not_run: false, body: bytes::Bytes::new() }
}
