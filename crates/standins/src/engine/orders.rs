//! Orders to an engine, copies of weights and of the prefix cache.

use std::{
    sync::{atomic::Ordering, Arc},
    thread,
};

use buckthornfall_proto::messages::{EngineOrder, OrderAction, TrackState};

use super::{new_track, Engine};
use crate::server::{pause, Call};

/// Every event with this number is missing from the cache events.
const GAP_EVERY: usize = 7;

impl Engine {
    /// Takes an order; the work goes on after the answer.
    pub(super) fn order(engine: &Arc<Engine>, call: Call, order: EngineOrder) {
        let mut tracks = engine.tracks.lock().expect("no holder panics");
        let weights = tracks
            .entry(order.adapter.clone())
            .or_insert_with(|| new_track(order.adapter.clone(), 0));
        if order.fence < weights.fence {
            engine.counters.old_orders.fetch_add(1, Ordering::Relaxed);
            if engine.options.checks_fence {
                let text = format!("fencing number {} is below {}", order.fence, weights.fence);
                drop(tracks);
                return call.text(409, &text);
            }
        }
        weights.fence = weights.fence.max(order.fence);
        let done = match order.action {
            OrderAction::Stage => {
                [weights.active, weights.staged, weights.loading].contains(&order.version)
            }
            OrderAction::Activate => weights.active == order.version && !weights.swapping,
        };
        let staged = weights.staged == order.version;
        drop(tracks);
        if order.action == OrderAction::Activate && !staged && !done {
            return call.text(409, "the version is not staged");
        }
        call.text(200, "");
        if !done {
            let engine = Arc::clone(engine);
            thread::spawn(move || engine.carry_out(&order));
        }
    }

    /// Sends a copy of the weights to another engine.
    pub(super) fn export_weights(&self, call: Call) {
        let version = call.parameter("version").parse().unwrap_or(0);
        let tracks = self.tracks.lock().expect("no holder panics");
        let track = tracks.get(call.parameter("adapter"));
        let held = track.is_some_and(|t| t.active == version || t.staged == version);
        drop(tracks);
        if !held {
            return call.text(404, "this version is not here");
        }
        pause(self.options.copy);
        call.text(200, "");
    }

    /// Names the prompts in the cache, late and with gaps.
    pub(super) fn cache_events(&self, call: Call) {
        let cache = self.cache.lock().expect("no holder panics");
        let events: Vec<_> = cache
            .iter()
            .enumerate()
            .filter(|(i, _)| i % GAP_EVERY != 0)
            .map(|(_, key)| *key)
            .collect();
        drop(cache);
        call.reply(&events);
    }

    /// Exports or imports the prefix cache.
    pub(super) fn kv(&self, call: Call) {
        if call.method == "GET" {
            let cache: Vec<_> =
                self.cache.lock().expect("no holder panics").iter().copied().collect();
            return call.reply(&cache);
        }
        let Some((call, keys)) = call.json::<Vec<u64>>() else { return };
        let mut cache = self.cache.lock().expect("no holder panics");
        cache.extend(keys);
        while cache.len() > self.options.cached_prompts {
            cache.pop_front();
        }
        drop(cache);
        call.text(200, "");
    }

    fn carry_out(&self, order: &EngineOrder) {
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
        self.change(&order.adapter, |track| track.loading = order.version);
        let loaded = self.http.get(&url, &[]).is_ok_and(|reply| reply.status == 200);
        if loaded && self.incarnation.load(Ordering::Relaxed) == incarnation {
            self.change(&order.adapter, |track| track.staged = order.version);
        }
        self.change(&order.adapter, |track| track.loading = 0);
    }

    fn activate(&self, order: &EngineOrder, incarnation: u64) {
        self.change(&order.adapter, |track| track.swapping = true);
        pause(self.options.swap);
        let fails = self
            .swaps_to_fail
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1))
            .is_ok();
        if fails || self.incarnation.load(Ordering::Relaxed) != incarnation {
            return;
        }
        self.change(&order.adapter, |track| {
            track.active = order.version;
            track.staged = 0;
            track.swapping = false;
        });
    }

    fn change(&self, adapter: &str, change: impl FnOnce(&mut TrackState)) {
        if let Some(track) = self.tracks.lock().expect("no holder panics").get_mut(adapter) {
            change(track);
        }
    }
}
