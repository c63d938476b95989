//! A rollout and a dispatcher with many servers behind them, in virtual time.

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
const HOP: Duration = Duration::from_millis(13);
const ADAPTER: &str = "adapter-0";

/// Time that a server needs to change its active weights.
pub const SWAP: Duration = Duration::from_secs(1);
/// Time that a server needs to copy weights from another.
pub const COPY: Duration = Duration::from_secs(8);
/// Time that the weight store needs to send weights once.
pub const STORE: Duration = Duration::from_secs(30);

/// What a rollout cost.
#[derive(Debug, Clone, Default)]
pub struct RolloutCost {
    /// From publication until all servers hold the weights beside the old ones.
    pub staged: Duration,
    /// From the first order to activate until all servers run the weights.
    pub activated: Duration,
    pub orders: u64,
    pub polls: u64,
    pub from_store: u64,
}

struct Engine {
    track: TrackState,
    busy: Option<(Now, OrderAction, u64)>,
}

/// Rolls one version out over the servers of one region.
pub fn roll_out(manifest: &Manifest, region: &str) -> RolloutCost {
    let mut rollout = Rollout::new(Track::new("model", Some(ADAPTER)), region);
    rollout.configure(manifest);
    let mut engines: BTreeMap<String, Engine> =
        rollout.servers().map(|server| (server.name.clone(), new_engine())).collect();
    rollout.on_published(Now::ZERO, 2);
    let mut cost = RolloutCost::default();
    let mut first_activation = None;
    let mut now = Now::ZERO;
    loop {
        now += TICK;
        engines.values_mut().for_each(|engine| engine.advance(now));
        for server in rollout.due_polls(now) {
            cost.polls += 1;
            rollout.on_report(now + HOP, &server.name, &engines[&server.name].state());
        }
        let mut out = Vec::new();
        rollout.tick(now + HOP, Some(1), &mut out);
        for action in out {
            match action {
                RolloutAction::Order { server, order, .. } => {
                    cost.orders += 1;
                    cost.from_store += u64::from(order.source == "store");
                    let takes = match (order.action, order.source.as_str()) {
                        (OrderAction::Activate, _) => SWAP,
                        (OrderAction::Stage, "store") => STORE,
                        (OrderAction::Stage, _) => COPY,
                    };
                    if order.action == OrderAction::Activate {
                        first_activation.get_or_insert(now);
                    }
                    let engine = engines.get_mut(&server).expect("a known server");
                    match order.action {
                        OrderAction::Activate => engine.track.swapping = true,
                        OrderAction::Stage => engine.track.loading = order.version,
                    }
                    engine.busy = Some((now + HOP * 2 + takes, order.action, order.version));
                }
                RolloutAction::Complete { .. } => {
                    cost.activated = now - first_activation.unwrap_or_default();
                    return cost;
                }
            }
        }
        let all_staged = engines.values().all(|e| e.track.staged == 2 || e.track.active == 2);
        if all_staged && cost.staged.is_zero() {
            cost.staged = now;
        }
        assert!(now < Duration::from_secs(3600), "the rollout does not end: {cost:?}");
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
    Engine { track, busy: None }
}

impl Engine {
    fn advance(&mut self, now: Now) {
        let Some((_, action, version)) = self.busy.filter(|(until, _, _)| now >= *until) else {
            return;
        };
        self.busy = None;
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

    fn state(&self) -> EngineState {
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
