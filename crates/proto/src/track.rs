//! Tracks: the weights of a model and of each of its adapters have versions of their own.

use crate::messages::{EngineState, TrackState};

/// A model, or one of its adapters.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Track {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter; empty for the model itself.
    pub adapter: String,
}

impl Track {
    /// The track of a model, or of one of its adapters.
    pub fn new(model: &str, adapter: Option<&str>) -> Track {
        Track { model: model.to_owned(), adapter: adapter.unwrap_or_default().to_owned() }
    }

    /// Name for rows and roles.
    pub fn name(&self) -> String {
        if self.adapter.is_empty() {
            self.model.clone()
        } else {
            format!("{}/{}", self.model, self.adapter)
        }
    }
}

impl EngineState {
    /// The state of one track; `None` if the server holds nothing of it.
    pub fn track(&self, adapter: &str) -> Option<&TrackState> {
        self.tracks.iter().find(|track| track.adapter == adapter)
    }

    /// Whether requests for a track have to wait for a change of weights.
    pub fn is_swapping(&self, adapter: &str) -> bool {
        let swaps = |adapter| self.track(adapter).is_some_and(|track| track.swapping);
        swaps("") || swaps(adapter)
    }
}
