//! Trainers share the servers in proportion to their weights.

#[path = "support/sizes.rs"]
mod sizes;

use std::time::Duration;

use buckthornfall_core::{
    dispatch::{AttemptEvent, DispatchAction, Dispatcher},
    fleet::Place,
    order::LongestFirst,
    pick::LocalityPick,
    step::{StepAction, StepCoordinator, WORK_ID_BITS},
    Now,
};
use buckthornfall_proto::{
    check,
    messages::{EngineState, GroupSpec, StepSpec, TrackState},
};

const SERVERS: usize = 4;
const SAMPLES: u32 = 64;

fn state() -> EngineState {
    let track = |i: usize| TrackState {
        adapter: format!("adapter-{i}"),
        active: 1,
        staged: 0,
        loading: 0,
        swapping: false,
        fence: 0,
    };
    EngineState {
        model: "model".to_owned(),
        tracks: (0..2).map(track).collect(),
        slots: 8,
        running: 0,
        queued: 0,
        draining: false,
        incarnation: 1,
    }
}

/// Returns how many of the first `count` rollouts each trainer starts with these weights.
fn count_starts(weights: [u32; 2], count: usize) -> [usize; 2] {
    let mut manifest =
        check::manifest_value(sizes::manifest(SERVERS, 2, 0)).expect("the manifest is valid");
    for server in &mut manifest.models[0].servers {
        server.slots = 8;
    }
    let place = Place { host: "entry-0".into(), zone: "zone-0".into(), region: "region-0".into() };
    let mut dispatcher = Dispatcher::new(place, 1, LocalityPick);
    let hosts = ["entry-0".to_owned()];
    dispatcher.configure(Now::ZERO, &manifest, &hosts, &mut Vec::new());
    let mut works = Vec::new();
    for (trainer, weight) in weights.into_iter().enumerate() {
        let mut settings = manifest.trainers[trainer].clone();
        settings.weight = weight;
        let namespace = trainer as u64 + 1;
        let mut coordinator =
            StepCoordinator::new(settings, &manifest.objective, LongestFirst, "owner", namespace);
        let groups = (0..SAMPLES)
            .map(|group| GroupSpec {
                group,
                prompt: format!("{group}"),
                samples: 1,
                max_tokens: 64,
            })
            .collect();
        let mut out = Vec::new();
        let spec = StepSpec { step: 1, weights_version: 1, groups };
        coordinator.submit(Now::ZERO, spec, &mut out).expect("the step is valid");
        works.extend(out.into_iter().filter_map(|action| match action {
            StepAction::Submit(work) => Some(work),
            _ => None,
        }));
    }
    let mut out = Vec::new();
    for work in works {
        dispatcher.submit(Now::ZERO, work, &mut out).expect("rollouts can be queued");
    }
    for i in 0..SERVERS {
        dispatcher.on_report(Now::ZERO, &format!("engine-{i}"), state(), &mut out);
    }
    let mut started = [0, 0];
    for _ in 0..count {
        // Finishes the oldest running attempt, which frees a slot for the next one.
        let position = out.iter().position(|a| matches!(a, DispatchAction::Start { .. }));
        let rest = out.split_off(position.expect("rollouts are still queued") + 1);
        let Some(DispatchAction::Start { attempt, work, .. }) = out.pop() else { unreachable!() };
        out = rest;
        started[(work >> WORK_ID_BITS) as usize - 1] += 1;
        dispatcher.on_attempt(Duration::from_secs(1), &attempt, AttemptEvent::Finished, &mut out);
    }
    started
}

#[test]
fn equal_weights_get_equal_shares() {
    let [first, second] = count_starts([1, 1], 64);
    assert!(first.abs_diff(second) <= 16, "{first} and {second}");
}

#[test]
fn twice_the_weight_gets_twice_the_share() {
    let [first, second] = count_starts([2, 1], 48);
    assert!(first >= second * 2 - 8 && first <= second * 2 + 16, "{first} and {second}");
}
