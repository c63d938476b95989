//! Orders to an engine, and export and import of weights and of the prefix cache.

use std::{
    sync::{atomic::Ordering, Arc},
    thread,
};

use buckthornfall_proto::messages::{EngineOrder, OrderAction, TrackState};

use super::{new_track, Engine};
use crate::server::{pause, Call};

/// One of this many cache events is omitted.
const CACHE_EVENT_GAP_INTERVAL: usize = 7;

impl Engine {
    /// Accepts or rejects an order. An accepted order is executed after the response.
    pub(super) fn handle_order(engine: &Arc<Engine>, call: Call, order: EngineOrder) {
        let mut tracks = engine.tracks.lock().expect("lock poisoned");
        let track = tracks
            .entry(order.adapter.clone())
            .or_insert_with(|| new_track(order.adapter.clone(), 0));
        if order.fence < track.fence {
            engine.counters.stale_orders.fetch_add(1, Ordering::Relaxed);
            if engine.options.checks_fence {
                let text = format!("fencing number {} is below {}", order.fence, track.fence);
                drop(tracks);
                return call.text(409, &text);
            }
        }
        track.fence = track.fence.max(order.fence);
        let already_applied = match order.action {
            OrderAction::Stage => {
                [track.active, track.staged, track.loading].contains(&order.version)
            }
            OrderAction::Activate => track.active == order.version && !track.swapping,
        };
        let staged = track.staged == order.version;
        drop(tracks);
        if order.action == OrderAction::Activate && !staged && !already_applied {
            return call.text(409, "the version is not staged");
        }
        call.text(200, "");
        if !already_applied {
            let engine = Arc::clone(engine);
            thread::spawn(move || engine.execute_order(&order));
        }
    }

    /// Sends the weights to another engine; only the transfer time is simulated.
    pub(super) fn export_weights(&self, call: Call) {
        let version = call.parameter("version").parse().unwrap_or(0);
        let tracks = self.tracks.lock().expect("lock poisoned");
        let track = tracks.get(call.parameter("adapter"));
        let held = track.is_some_and(|t| t.active == version || t.staged == version);
        drop(tracks);
        if !held {
            return call.text(404, "this version is not here");
        }
        pause(self.options.copy_time);
        call.text(200, "");
    }

    /// Returns the fingerprints of the cached prompts. Some are missing, as in a lossy event stream.
    pub(super) fn cache_events(&self, call: Call) {
        let cache = self.cache.lock().expect("lock poisoned");
        let events: Vec<_> = cache
            .iter()
            .enumerate()
            .filter(|(i, _)| i % CACHE_EVENT_GAP_INTERVAL != 0)
            .map(|(_, key)| *key)
            .collect();
        drop(cache);
        call.reply(&events);
    }

    /// Exports the prefix cache on GET, and imports one on PUT.
    pub(super) fn kv(&self, call: Call) {
        if call.method == "GET" {
            let cache: Vec<_> = self.cache.lock().expect("lock poisoned").iter().copied().collect();
            return call.reply(&cache);
        }
        let Some((call, keys)) = call.json::<Vec<u64>>() else { return };
        let mut cache = self.cache.lock().expect("lock poisoned");
        cache.extend(keys);
        while cache.len() > self.options.cached_prompts {
            cache.pop_front();
        }
        drop(cache);
        call.text(200, "");
    }

    fn execute_order(&self, order: &EngineOrder) {
        let incarnation = self.incarnation.load(Ordering::Relaxed);
        match order.action {
            OrderAction::Stage => self.stage(order, incarnation),
            OrderAction::Activate => self.activate(order, incarnation),
        }
    }

    fn stage(&self, order: &EngineOrder, incarnation: u64) {
        let url = if order.source == "store" {
            format!(
                "http://{}/v1/weights/{}-{}-{}?bytes={}&region={}",
                self.options.weight_store,
                order.model,
                order.adapter,
                order.version,
                self.options.weight_bytes,
                self.options.region
            )
        } else {
            format!(
                "http://{}/admin/weights?version={}&adapter={}",
                order.source, order.version, order.adapter
            )
        };
        self.update_track(&order.adapter, |track| track.loading = order.version);
        let loaded = self.http.get(&url, &[]).is_ok_and(|reply| reply.status == 200);
        if loaded && self.incarnation.load(Ordering::Relaxed) == incarnation {
            self.update_track(&order.adapter, |track| track.staged = order.version);
        }
        self.update_track(&order.adapter, |track| track.loading = 0);
    }

    fn activate(&self, order: &EngineOrder, incarnation: u64) {
        self.update_track(&order.adapter, |track| track.swapping = true);
        pause(self.options.swap_time);
        let fails = self
            .swaps_to_fail
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1))
            .is_ok();
        if fails || self.incarnation.load(Ordering::Relaxed) != incarnation {
            return;
        }
        self.update_track(&order.adapter, |track| {
            track.active = order.version;
            track.staged = 0;
            track.swapping = false;
        });
    }

    fn update_track(&self, adapter: &str, update: impl FnOnce(&mut TrackState)) {
        if let Some(track) = self.tracks.lock().expect("lock poisoned").get_mut(adapter) {
            update(track);
        }
    }
}
