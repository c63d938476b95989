//! Commands for callers and trainers: entry, request, submit.

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
    admin::{document, read},
    error::{Error, HttpSnafu, Result},
    options::{Format, Options},
    output,
};

const PULL_INTERVAL: Duration = Duration::from_millis(200);
const GROUPS_PER_PULL: u32 = 64;

/// Asks which daemons to use.
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

/// Sends one request.
pub fn request(options: &Options, matches: &ArgMatches) -> Result<()> {
    let client = options.client_with_token()?;
    let service = matches.get_one::<String>("service").expect("clap requires it");
    let text = matches.get_one::<String>("text").expect("clap requires it");
    match matches.get_one::<String>("operation") {
        Some(operation) => call(&client, service, operation, text, matches),
        None => complete(options, &client, service, text, matches),
    }
}

fn call(
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

fn complete(
    options: &Options,
    client: &Client,
    model: &str,
    prompt: &str,
    matches: &ArgMatches,
) -> Result<()> {
    let request = CallerCompletion {
        model: model.to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: *matches.get_one::<u32>("max-tokens").expect("it has a default"),
        stream: true,
        adapter: None,
    };
    let body = serde_json::to_vec(&request).expect("messages are plain data");
    let mut lines = client.post_lines("/v1/completions", &body).context(HttpSnafu)?;
    if lines.status != 200 {
        return Err(refused(&lines.rest()));
    }
    while let Some(line) = lines.next_line().context(HttpSnafu)? {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            output::line("");
            return Ok(());
        }
        match (options.format, serde_json::from_str::<CompletionChunk>(data)) {
            (Format::Json, Ok(_)) => output::line(data),
            (Format::Text, Ok(chunk)) => print_tokens(&chunk),
            (_, Err(_)) => return Err(refused(data)),
        }
    }
    let reason = "the answer ended before its end".to_owned();
    Err(Error::Http { source: http::Error::NoReply { url: "/v1/completions".to_owned(), reason } })
}

fn print_tokens(chunk: &CompletionChunk) {
    let mut stdout = std::io::stdout();
    for choice in &chunk.choices {
        // A closed standard output ends the process at its next line.
        let _ = stdout.write_all(choice.text.as_bytes());
    }
    let _ = stdout.flush();
}

fn refused(text: &str) -> Error {
    match serde_json::from_str::<ErrorAnswer>(text) {
        Ok(answer) => Error::Refused { answer: Box::new(answer) },
        Err(_) => {
            let url = "the daemon".to_owned();
            Error::Http { source: http::Error::Malformed { url, reason: text.to_owned() } }
        }
    }
}

#[derive(Serialize)]
struct Delivered {
    step: u64,
    groups: Vec<GroupResult>,
}

/// Submits a step and pulls it until it is whole.
pub fn submit(options: &Options, matches: &ArgMatches) -> Result<()> {
    let trainer = matches.get_one::<String>("trainer").expect("clap requires it");
    let path = matches.get_one::<PathBuf>("step").expect("clap requires it");
    let spec: StepSpec = document(path)?;
    let client = options.client_with_token()?;
    let mut daemon = Coordinator { client: &client, address: None };
    let steps = format!("/v1/trainers/{trainer}/steps");
    let accepted: StepAccepted = daemon.post(&steps, &spec)?;
    let pull = format!("/v1/trainers/{trainer}/pull");
    let mut cursor =
        Cursor { step: spec.step, taken: Vec::new(), weights_version: spec.weights_version };
    let mut delivered = Delivered { step: spec.step, groups: Vec::new() };
    loop {
        let request = PullRequest { cursor, max_groups: GROUPS_PER_PULL };
        let answer: PullAnswer = daemon.post(&pull, &request)?;
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

/// The daemon that coordinates a trainer, as the others name it.
struct Coordinator<'a> {
    client: &'a Client,
    address: Option<String>,
}

impl Coordinator<'_> {
    fn post<B: Serialize, T: DeserializeOwned>(&mut self, path: &str, body: &B) -> Result<T> {
        let body = serde_json::to_vec(body).expect("messages are plain data");
        loop {
            let reply = match &self.address {
                Some(address) => self.client.post_to(address, path, &body),
                None => self.client.post(path, &[], &body),
            };
            match refusal(&reply.as_ref().map_or_else(|_| empty(), Clone::clone)) {
                Some(answer) if answer.kind == "not_coordinator" => {
                    self.address = answer.use_address;
                    thread::sleep(PULL_INTERVAL);
                }
                _ => return read(&reply.context(HttpSnafu)?),
            }
        }
    }
}

fn empty() -> http::Reply {
    http::Reply { status: 200, not_run: false, body: bytes::Bytes::new() }
}
