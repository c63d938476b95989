//! Tracks: a base model and each of its adapters have independent weight versions.

use crate::messages::{EngineState, TrackState};

/// A base model or one of its adapters.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Track {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter; empty for the base model.
    pub adapter: String,
}

impl Track {
    /// Creates the track of a base model, or of one of its adapters.
    pub fn new(model: &str, adapter: Option<&str>) -> Track {
        Track { model: model.to_owned(), adapter: adapter.unwrap_or_default().to_owned() }
    }

    /// Returns the name of the track in row keys and lease roles: `MODEL` or `MODEL/ADAPTER`.
    pub fn name(&self) -> String {
        if self.adapter.is_empty() {
            self.model.clone()
        } else {
            format!("{}/{}", self.model, self.adapter)
        }
    }
}

impl EngineState {
    /// Returns the state of one track; `None` if the server has no weights of it.
    pub fn track(&self, adapter: &str) -> Option<&TrackState> {
        self.tracks.iter().find(|track| track.adapter == adapter)
    }

    /// Returns whether requests for a track must wait for a weight swap. A swap of the base model
    /// blocks all of its adapters.
    pub fn is_swapping(&self, adapter: &str) -> bool {
        let swapping = |adapter| self.track(adapter).is_some_and(|track| track.swapping);
        swapping("") || swapping(adapter)
    }
}
