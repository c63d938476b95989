//! Budget of held bytes: a purpose never exceeds its share while several bodies hold some of it.

use buckthornfall_core::{
    held_bytes::{HeldBytes, Purpose},
    server_bytes::SHORT_BODY_BYTES,
};
use rand::{rngs::SmallRng, Rng, SeedableRng};

const MEMORY_BYTES: usize = 290_000_000;
const SEEDS: u64 = 200;

#[test]
fn a_share_is_never_exceeded_by_several_bodies() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut budget = HeldBytes::new(MEMORY_BYTES);
        let mut bodies = vec![(Purpose::Requests, 0); 40];
        for body in &mut bodies {
            body.0 = Purpose::ALL[rng.random_range(0..Purpose::ALL.len())];
        }
        for _ in 0..500 {
            let index = rng.random_range(0..bodies.len());
            let (purpose, current) = bodies[index];
            let wanted = if rng.random_bool(0.2) { 0 } else { rng.random_range(0..40_000_000) };
            if budget.resize(purpose, current, wanted) {
                bodies[index].1 = wanted;
            }
            let held: Vec<usize> = bodies
                .iter()
                .filter(|(of, bytes)| *of == purpose && *bytes > 0)
                .map(|(_, bytes)| *bytes)
                .collect();
            let sum: usize = held.iter().sum();
            assert_eq!(budget.held(purpose), sum, "seed {seed}");
            assert!(sum <= budget.share(purpose) || held.len() == 1, "seed {seed}: {held:?}");
        }
    }
}

#[test]
fn one_purpose_does_not_use_up_the_share_of_another() {
    let mut budget = HeldBytes::new(MEMORY_BYTES);
    while budget.resize(Purpose::Responses, 0, 5_000_000) {}
    assert!(budget.resize(Purpose::Requests, 0, 60_000_000));
    assert!(budget.resize(Purpose::Events, 0, 1 << 20));
    let shares: usize = Purpose::ALL.iter().map(|purpose| budget.share(*purpose)).sum();
    assert!(shares < MEMORY_BYTES * 2 / 3);
}

#[test]
fn a_body_larger_than_its_share_is_held_alone() {
    let mut budget = HeldBytes::new(1_000_000);
    assert!(budget.resize(Purpose::Requests, 0, 2_000_000));
    assert!(!budget.resize(Purpose::Requests, 0, 1));
    assert!(budget.resize(Purpose::Requests, 2_000_000, 1_500_000));
    assert!(budget.resize(Purpose::Requests, 1_500_000, 0));
    assert!(budget.resize(Purpose::Requests, 0, 1));
}

#[test]
fn only_as_many_bodies_wait_as_their_buffers_have_room() {
    const WAITING_BODY_BYTES: usize = 128 << 10;
    let memory = 120_000_000;
    let mut budget = HeldBytes::new(memory);
    let waiting = (0..10_000).filter(|_| budget.start_wait()).count();
    assert!(waiting > 0 && waiting * WAITING_BODY_BYTES <= memory / 16, "{waiting} wait");
    budget.end_wait();
    assert!(budget.start_wait() && !budget.start_wait());
}

/// Guards against a budget that refuses pages of results, or gives all of it to the first callers: each next page
/// is allowed, and shorter the less there is left.
#[test]
fn pages_get_shorter_as_the_budget_gets_short_and_none_is_refused() {
    const LONGEST: usize = 950_000;
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut budget = HeldBytes::new(rng.random_range(100_000_000..500_000_000));
        let share = budget.share(Purpose::Results);
        let mut pages: Vec<usize> = Vec::new();
        for _ in 0..2_000 {
            if !pages.is_empty() && rng.random_bool(0.3) {
                let page = pages.swap_remove(rng.random_range(0..pages.len()));
                assert!(budget.resize(Purpose::Results, page, 0));
                continue;
            }
            let free = share - budget.held(Purpose::Results);
            let limit = budget.page_limit(LONGEST);
            assert!((SHORT_BODY_BYTES..=LONGEST).contains(&limit), "seed {seed}");
            assert!(
                limit <= SHORT_BODY_BYTES || limit * 8 <= free,
                "seed {seed}: {limit} of {free}"
            );
            let counted = if limit > SHORT_BODY_BYTES { limit } else { 0 };
            assert!(budget.resize(Purpose::Results, 0, counted), "seed {seed}");
            pages.push(counted);
        }
        assert_eq!(HeldBytes::new(160_000_000).page_limit(LONGEST), LONGEST);
    }
}
