//! Fixture: a dispatcher in a fleet of several daemons, and a request for it.

use std::time::Duration;

use buckthornfall_core::{
    dispatch::{Class, Dispatcher, Progress, Task, Work},
    fleet::Place,
    pick::LocalityPick,
    Now,
};
use buckthornfall_proto::{manifest::Manifest, messages::EngineState};
use bytes::Bytes;

/// Returns a dispatcher whose servers have all reported `state`.
pub fn dispatcher(
    manifest: &Manifest,
    daemons: usize,
    state: &EngineState,
) -> Dispatcher<LocalityPick> {
    let host = |index: usize| format!("entry-{index}");
    let place = Place { host: host(0), zone: "zone-0".into(), region: "region-0".into() };
    let mut dispatcher = Dispatcher::new(place, 1, LocalityPick);
    let daemons: Vec<_> = (0..daemons).map(host).collect();
    dispatcher.configure(Now::ZERO, manifest, &daemons, &mut Vec::new());
    let names: Vec<_> = dispatcher.fleet().iter().map(|s| s.info.name.clone()).collect();
    for name in names {
        dispatcher.on_report(Now::ZERO, &name, state.clone(), &mut Vec::new());
    }
    dispatcher
}

/// Returns an interactive completion request.
pub fn completion(id: u64) -> Work {
    Work {
        id,
        service: "model".to_owned(),
        class: Class::Interactive,
        task: Task::Generate {
            prompt: Bytes::from_static(b"a prompt of ordinary length for a measurement"),
            adapter: None,
            max_tokens: 64,
            min_version: 0,
            seed: id,
        },
        idempotent: true,
        fingerprint: id,
        prefix: id % 64,
        deadline: Duration::from_secs(30),
        rank: id,
        avoid: None,
        resume: Progress::default(),
    }
}
