//! Simulation of a weight rollout to many servers in virtual time.

use std::{collections::BTreeMap, time::Duration};

use buckthornfall_core::{
    rollout::{Rollout, RolloutAction},
    Now,
};
use buckthornfall_proto::{
    manifest::Manifest,
    messages::{EngineState, OrderAction, TrackState},
    track::Track,
};

const TICK: Duration = Duration::from_millis(50);
const HOP_DELAY: Duration = Duration::from_millis(13);
const ADAPTER: &str = "adapter-0";

/// Time for a server to activate staged weights.
pub const ACTIVATE_TIME: Duration = Duration::from_secs(1);
/// Time for a server to copy weights from another server.
pub const PEER_COPY_TIME: Duration = Duration::from_secs(8);
/// Time for a server to load weights from the weight store.
pub const STORE_LOAD_TIME: Duration = Duration::from_secs(30);

/// Duration and number of operations of a rollout.
#[derive(Debug, Clone, Default)]
pub struct RolloutCost {
    /// Time from publication until all servers have staged the weights.
    pub staged: Duration,
    /// Time from the first activate order until all servers run the weights.
    pub activated: Duration,
    pub orders: u64,
    pub polls: u64,
    pub loads_from_store: u64,
}

struct Engine {
    track: TrackState,
    running_order: Option<(Now, OrderAction, u64)>,
}

/// Simulates the rollout of one version to the servers of one region.
pub fn simulate_rollout(manifest: &Manifest, region: &str) -> RolloutCost {
    let mut rollout = Rollout::new(Track::new("model", Some(ADAPTER)), region);
    rollout.configure(manifest);
    let mut engines: BTreeMap<String, Engine> =
        rollout.servers().map(|server| (server.name.clone(), new_engine())).collect();
    rollout.on_published(Now::ZERO, 2);
    let mut cost = RolloutCost::default();
    let mut first_activate_order_at = None;
    let mut now = Now::ZERO;
    loop {
        now += TICK;
        engines.values_mut().for_each(|engine| engine.advance(now));
        for server in rollout.due_polls(now) {
            cost.polls += 1;
            rollout.on_report(now + HOP_DELAY, &server.name, &engines[&server.name].report());
        }
        let mut out = Vec::new();
        rollout.tick(now + HOP_DELAY, Some(1), &mut out);
        for action in out {
            match action {
                RolloutAction::Order { server, order, .. } => {
                    cost.orders += 1;
                    cost.loads_from_store += u64::from(order.source == "store");
                    let duration = match (order.action, order.source.as_str()) {
                        (OrderAction::Activate, _) => ACTIVATE_TIME,
                        (OrderAction::Stage, "store") => STORE_LOAD_TIME,
                        (OrderAction::Stage, _) => PEER_COPY_TIME,
                    };
                    if order.action == OrderAction::Activate {
                        first_activate_order_at.get_or_insert(now);
                    }
                    let engine =
                        engines.get_mut(&server).expect("orders go only to servers of the rollout");
                    match order.action {
                        OrderAction::Activate => engine.track.swapping = true,
                        OrderAction::Stage => engine.track.loading = order.version,
                    }
                    engine.running_order =
                        Some((now + HOP_DELAY * 2 + duration, order.action, order.version));
                }
                RolloutAction::Complete { .. } => {
                    cost.activated = now - first_activate_order_at.unwrap_or_default();
                    return cost;
                }
            }
        }
        let all_staged = engines.values().all(|e| e.track.staged == 2 || e.track.active == 2);
        if all_staged && cost.staged.is_zero() {
            cost.staged = now;
        }
        assert!(now < Duration::from_secs(3600), "rollout not complete after an hour: {cost:?}");
    }
}

fn new_engine() -> Engine {
    let track = TrackState {
        adapter: ADAPTER.to_owned(),
        active: 1,
        staged: 0,
        loading: 0,
        swapping: false,
        fence: 0,
    };
    Engine { track, running_order: None }
}

impl Engine {
    fn advance(&mut self, now: Now) {
        let Some((_, action, version)) = self.running_order.filter(|(until, _, _)| now >= *until)
        else {
            return;
        };
        self.running_order = None;
        match action {
            OrderAction::Stage => {
                self.track.staged = version;
                self.track.loading = 0;
            }
            OrderAction::Activate => {
                self.track.active = version;
                self.track.staged = 0;
                self.track.swapping = false;
            }
        }
    }

    fn report(&self) -> EngineState {
        EngineState {
            model: "model".to_owned(),
            tracks: vec![self.track.clone()],
            slots: 128,
            running: 0,
            queued: 0,
            draining: false,
            incarnation: 1,
        }
    }
}
