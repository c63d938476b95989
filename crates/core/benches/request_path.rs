//! Benchmarks of the request path: `cargo bench --bench request_path`.

#![allow(missing_docs, reason = "criterion_group! generates an undocumented public function")]

#[path = "../tests/support/serving.rs"]
mod serving;
#[path = "../tests/support/sizes.rs"]
mod sizes;

use std::{hint::black_box, time::Duration};

use buckthornfall_core::{
    admission::Admission,
    auth::Tokens,
    backends::{Backend, Backends, Location},
    dispatch::{AttemptEvent, DispatchAction},
    entry,
    members::Members,
    membership::PeerView,
    peer_choice::PeerChoice,
    reachability::Reachability,
    Now,
};
use buckthornfall_proto::{
    check,
    codec::{decode, encode},
    hot::MemberEntry,
    manifest::Manifest,
    messages::{EngineState, Gossip, MemberRow, MemberState, PeerMessage, ReachRow},
};
use criterion::{criterion_group, criterion_main, Criterion};

const SERVERS: usize = 2500;
const DAEMONS: usize = 400;

fn manifest() -> Manifest {
    check::manifest_value(sizes::manifest(SERVERS, 8, 0)).expect("the manifest is valid")
}

fn host(index: usize) -> String {
    format!("entry-{index}")
}

fn state() -> EngineState {
    EngineState {
        model: "model".to_owned(),
        tracks: Vec::new(),
        slots: 128,
        running: 0,
        queued: 0,
        draining: false,
        incarnation: 1,
    }
}

fn bench_routing(c: &mut Criterion) {
    let manifest = manifest();
    let mut dispatcher = serving::dispatcher(&manifest, DAEMONS, &state());
    let mut id = 0;
    c.bench_function("route and finish one request, 2,500 servers", |b| {
        b.iter(|| {
            id += 1;
            let mut out = Vec::new();
            dispatcher
                .submit(Now::ZERO, serving::completion(id), &mut out)
                .expect("the queue has room");
            let attempt = out.iter().find_map(|action| match action {
                DispatchAction::Start { attempt, .. } => Some(attempt.clone()),
                _ => None,
            });
            let attempt = attempt.expect("the request starts immediately");
            dispatcher.on_attempt(Now::ZERO, &attempt, AttemptEvent::Finished, &mut out);
            black_box(out)
        });
    });
}

fn bench_admission(c: &mut Criterion) {
    let manifest = manifest();
    let tokens = Tokens::new(&manifest);
    let mut admission = Admission::default();
    admission.configure(Now::ZERO, &manifest.callers);
    let mut millis = 0;
    c.bench_function("find the principal of a token and admit its request", |b| {
        b.iter(|| {
            millis += 20;
            let principal = black_box(tokens.principal("a token"));
            let admitted = admission.admit(Duration::from_millis(millis), "caller-0");
            admission.release("caller-0");
            (principal.is_some(), admitted.is_ok())
        });
    });
}

fn bench_entry_answer(c: &mut Criterion) {
    let peer = |i: usize| PeerView {
        host: host(i),
        zone: format!("zone-{}", i % 11),
        region: format!("region-{}", i % 11 % 3),
        address: format!("10.1.{}.{}:8000", i / 250, i % 250),
        peer_address: String::new(),
        alive: true,
        leaving: false,
    };
    let peers: Vec<_> = (0..DAEMONS).map(peer).collect();
    let mut spread = 0;
    c.bench_function("entry answer, 400 daemons", |b| {
        b.iter(|| {
            spread += 1;
            entry::answer(black_box(&peers), "zone-3", "region-0", spread, 5000)
        });
    });
}

fn bench_reachability(c: &mut Criterion) {
    let mut backends = Backends::default();
    for index in 0..SERVERS {
        backends.upsert(Backend {
            id: format!("server-{index}"),
            service: format!("service-{}", index % 10),
            addr: ([10, 0, 0, 1], 80).into(),
            zone: format!("zone-{}", index % 11),
            slots: 8,
            draining: false,
            started_ms: 1,
            spot: false,
            software: String::new(),
            models: Vec::new(),
        });
    }
    let mut reachability = Reachability::default();
    let mut millis = 0;
    c.bench_function("check of the paths, 2,500 servers", |b| {
        b.iter(|| {
            millis += 50;
            reachability.tick(Duration::from_millis(millis), black_box(&backends))
        });
    });
    let now = Duration::from_secs(100);
    let mut members = Members::new(host(0));
    members.on_contact(now);
    for index in 0..DAEMONS {
        let row = MemberRow {
            front: format!("10.1.{}.{}:8000", index / 250, index % 250),
            peers: format!("10.1.{}.{}:9000", index / 250, index % 250),
            zone: format!("zone-{}", index % 11),
            state: MemberState::Serving,
            incarnation: 1,
            beat: 1,
            beat_ms: 8_000,
            store_ms: 5,
            requests_per_s: 67,
        };
        members.on_row(now, &host(index), row);
        if index % 11 == 0 {
            let row = ReachRow { incarnation: 1, lost: vec!["service-1".to_owned()] };
            members.on_reach(&host(index), Some(row));
        }
    }
    members.set_own_lost(vec!["service-1".to_owned()]);
    let location = Location { zone: "zone-0".to_owned(), ..Location::default() };
    c.bench_function("directory answer, 37 of 400 daemons cut off", |b| {
        b.iter(|| members.entry_addresses(now, black_box(&location), 64));
    });
    let choice = PeerChoice::default();
    c.bench_function("choice of a peer, 37 of 400 daemons cut off", |b| {
        b.iter(|| choice.choose(now, &members, black_box(&location), "service-1", &[]));
    });
}

fn bench_codec(c: &mut Criterion) {
    let member = |i: usize| MemberEntry {
        host: host(i),
        version: 1_796_000_000 + i as u64,
        age_s: 3,
        leaving: false,
    };
    let message = PeerMessage::Gossip(Gossip {
        from: host(0),
        revision: 7,
        members: (0..56).map(member).collect(),
        leaving_servers: Vec::new(),
        quarantined: Vec::new(),
        suspects: Vec::new(),
        leases: Vec::new(),
    });
    let encoded = encode(&message).expect("the message is below the size limit");
    c.bench_function("encode a round of gossip", |b| b.iter(|| encode(black_box(&message))));
    c.bench_function("decode a round of gossip", |b| {
        b.iter(|| decode::<PeerMessage>(black_box(&encoded)));
    });
}

criterion_group!(
    benches,
    bench_routing,
    bench_admission,
    bench_entry_answer,
    bench_reachability,
    bench_codec
);
criterion_main!(benches);
