//! The paths of the HTTP interface.

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApiCall {
    /// Which daemons to use.
    Entry {
        /// Availability zone of the caller; empty for none.
        zone: String,
        /// Region of the caller; empty for none.
        region: String,
    },
    /// Tokens of a model.
    Completion,
    /// A call of a plain service.
    Service {
        /// The service.
        service: String,
        /// The operation.
        operation: String,
    },
    /// A new step of a trainer.
    SubmitStep {
        /// The trainer.
        trainer: String,
    },
    /// A trainer's pull.
    Pull {
        /// The trainer.
        trainer: String,
    },
    /// New weights of a model.
    Publish {
        /// The model.
        model: String,
    },
    /// A new manifest.
    Commit,
    /// State of this daemon.
    Status,
    /// Service-level counts of this daemon.
    Burn,
}

/// Finds what a request asks for; `None` if the path does not exist.
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
