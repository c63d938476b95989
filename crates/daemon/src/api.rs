//! Paths of the HTTP interface.

/// An API call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApiCall {
    /// Returns the addresses of daemons to use.
    Entry {
        /// Availability zone of the caller; empty if not given.
        zone: String,
        /// Region of the caller; empty if not given.
        region: String,
    },
    /// Generates a completion.
    Completion,
    /// Calls a plain service.
    Service {
        /// Name of the service.
        service: String,
        /// Name of the operation.
        operation: String,
    },
    /// Submits a trainer's step.
    SubmitStep {
        /// Name of the trainer.
        trainer: String,
    },
    /// Pulls a trainer's samples.
    Pull {
        /// Name of the trainer.
        trainer: String,
    },
    /// Publishes weights of a model.
    Publish {
        /// Name of the model.
        model: String,
    },
    /// Commits a manifest.
    Commit,
    /// Returns the state of this daemon.
    Status,
    /// Returns the error budget burn counts of this daemon.
    Burn,
}

/// Parses the method and URL of a request; returns `None` if the path does not exist.
pub fn parse(method: &str, url: &str) -> Option<ApiCall> {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let parts: Vec<_> = path.trim_start_matches('/').split('/').collect();
    let call = match (method, parts.as_slice()) {
        ("GET", ["v1", "entry"]) => {
            ApiCall::Entry { zone: parameter(query, "zone"), region: parameter(query, "region") }
        }
        ("POST", ["v1", "completions"]) => ApiCall::Completion,
        ("POST", ["v1", "services", service, operation]) => {
            ApiCall::Service { service: (*service).to_owned(), operation: (*operation).to_owned() }
        }
        ("POST", ["v1", "trainers", trainer, "steps"]) => {
            ApiCall::SubmitStep { trainer: (*trainer).to_owned() }
        }
        ("POST", ["v1", "trainers", trainer, "pull"]) => {
            ApiCall::Pull { trainer: (*trainer).to_owned() }
        }
        ("POST", ["v1", "models", model, "weights"]) => {
            ApiCall::Publish { model: (*model).to_owned() }
        }
        ("POST", ["v1", "manifest"]) => ApiCall::Commit,
        ("GET", ["v1", "status"]) => ApiCall::Status,
        ("GET", ["v1", "burn"]) => ApiCall::Burn,
        _ => return None,
    };
    Some(call)
}

fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
        .next()
        .unwrap_or_default()
}
