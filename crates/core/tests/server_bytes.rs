//! Load of callers who send long bodies to few servers, one of which stops reading.

use buckthornfall_core::server_bytes::{ServerBytes, SHORT_BODY_BYTES};
use rand::{rngs::SmallRng, seq::IndexedRandom, Rng, SeedableRng};

const MAX_BODY: usize = 33_554_432;
const SERVERS: [&str; 3] = ["i-0", "i-1", "i-2"];
const SEEDS: u64 = 100;

#[test]
fn no_server_gets_more_than_one_longest_body() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut bytes, mut sent) = (ServerBytes::default(), Vec::new());
        let mut refused = 0;
        for _ in 0..2_000 {
            if rng.random_bool(0.5) && !sent.is_empty() {
                let (server, size) = sent.swap_remove(rng.random_range(0..sent.len()));
                // The last server answers nothing.
                match server == SERVERS[2] {
                    true => sent.push((server, size)),
                    false => bytes.ended(server, size),
                }
            }
            let size = rng.random_range(0..=MAX_BODY);
            let full: Vec<_> = bytes.full(size, MAX_BODY).cloned().collect();
            let free: Vec<_> = SERVERS.iter().filter(|id| !full.contains(&(**id).into())).collect();
            let Some(server) = free.choose(&mut rng) else {
                refused += 1;
                continue;
            };
            bytes.started(server, size);
            sent.push((**server, size));
            for server in SERVERS {
                let of_server =
                    sent.iter().filter(|(of, size)| *of == server && *size > SHORT_BODY_BYTES);
                let sum: usize = of_server.map(|(_, size)| size).sum();
                assert_eq!(bytes.on_way(server), sum, "seed {seed}");
                assert!(sum <= MAX_BODY, "seed {seed}: {sum} on their way to {server}");
            }
        }
        assert!(refused > 0, "seed {seed}: the load does not fill the servers");
    }
}

#[test]
fn short_bodies_and_a_single_long_one_are_always_admitted() {
    let mut bytes = ServerBytes::default();
    assert!(bytes.admits("i-0", MAX_BODY * 2, MAX_BODY));
    bytes.started("i-0", MAX_BODY);
    assert!(bytes.admits("i-0", SHORT_BODY_BYTES, MAX_BODY));
    assert!(!bytes.admits("i-0", SHORT_BODY_BYTES + 1, MAX_BODY));
    assert!(bytes.admits("i-1", MAX_BODY, MAX_BODY));
    bytes.ended("i-0", MAX_BODY);
    assert!(bytes.admits("i-0", MAX_BODY, MAX_BODY));
    assert_eq!(bytes.total(), 0);
}
