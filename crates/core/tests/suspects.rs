//! Requests that crash servers are blocked after a few crashes, and no others are.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use buckthornfall_core::{
    suspects::{Crashes, ServerStart, Suspects, COUNT_TTL, MAX_CRASHES},
    Now,
};
use rand::{rngs::SmallRng, Rng, SeedableRng};

const NOW: Duration = Duration::from_secs(100);
const LATER: Duration = Duration::from_secs(104);
const BAD: u64 = 7;

fn start(server: usize, started_ms: u64) -> ServerStart {
    ServerStart { server: format!("i-{server}"), started_ms }
}

/// Records a crash of a start that was seen at once.
fn crash(suspects: &mut Suspects, now: Now, request: u64, start: &ServerStart) {
    suspects.on_lost(now, request, start);
    suspects.on_start_ended(now, start);
}

fn crash_often(suspects: &mut Suspects, request: u64) {
    (0..MAX_CRASHES).for_each(|server| crash(suspects, NOW, request, &start(server, 1)));
}

/// Sends what one daemon knows of a request to another one.
fn share(from: &Suspects, to: &mut Suspects, now: Now, request: u64) -> bool {
    let crashes = from.crashes(request).expect("crashes that are known");
    to.on_shared(now, request, &Crashes::shared(crashes.starts(), crashes.last()))
}

#[test]
fn a_request_is_blocked_after_three_crashes_across_daemons() {
    let (mut local, mut remote) = (Suspects::default(), Suspects::default());
    assert!(local.may_run(NOW, BAD));
    for server in 1..MAX_CRASHES {
        crash(&mut local, NOW, BAD, &start(server, 1));
    }
    assert!(local.may_run(LATER, BAD));
    share(&local, &mut remote, NOW, BAD);
    crash(&mut remote, NOW, BAD, &start(0, 1));
    let known = |of: &Suspects| of.crashes(BAD).map(|crashes| crashes.starts().count());
    assert_eq!(known(&remote), Some(MAX_CRASHES));
    share(&remote, &mut local, NOW, BAD);
    assert!(!local.may_run(LATER, BAD) && !remote.may_run(LATER, BAD));
    assert!(local.may_run(LATER, 8), "other requests are not blocked");
}

#[test]
fn crashes_that_daemons_see_at_the_same_time_add_up() {
    let mut daemons: Vec<_> = (0..MAX_CRASHES).map(|_| Suspects::default()).collect();
    for (server, daemon) in daemons.iter_mut().enumerate() {
        crash(daemon, NOW, BAD, &start(server, 1));
    }
    // Each overwrites the row of the one before, which adds what is missing.
    let (first, others) = daemons.split_first_mut().unwrap();
    for other in others.iter_mut() {
        assert!(share(other, first, NOW, BAD), "the row lacks a crash that the reader has seen");
    }
    for other in others {
        share(first, other, NOW, BAD);
        assert!(!other.may_run(LATER, BAD));
    }
}

#[test]
fn one_crash_counts_once_for_all_that_it_interrupts() {
    let mut daemons = [Suspects::default(), Suspects::default()];
    for daemon in &mut daemons {
        for _ in 0..40 {
            daemon.on_lost(NOW, BAD, &start(0, 1));
        }
        assert_eq!(daemon.on_start_ended(NOW, &start(0, 1)), [BAD]);
    }
    let [first, second] = &mut daemons;
    share(first, second, NOW, BAD);
    assert_eq!(second.crashes(BAD).unwrap().starts().count(), 1);
    assert!(second.may_run(LATER, BAD));
}

#[test]
fn a_lost_response_of_a_server_that_lives_is_no_crash() {
    let mut suspects = Suspects::default();
    for _ in 0..10 {
        suspects.on_lost(NOW, BAD, &start(0, 1));
    }
    assert!(suspects.may_run(LATER, BAD) && suspects.is_suspect(LATER, BAD));
    assert!(suspects.on_start_ended(NOW, &start(0, 2)).is_empty(), "another start");
    let much_later = NOW + Duration::from_secs(60);
    assert!(
        suspects.on_start_ended(much_later, &start(0, 1)).is_empty(),
        "it ended for another reason"
    );
}

#[test]
fn attempts_in_progress_are_not_blocked() {
    let mut suspects = Suspects::default();
    crash_often(&mut suspects, BAD);
    assert!(suspects.may_run(NOW + Duration::from_millis(300), BAD));
    assert!(!suspects.may_run(NOW + Duration::from_millis(1_300), BAD));
}

/// Guards against a request that is never blocked as it comes, and crashes servers, more often than once in the
/// delay of the block.
#[test]
fn further_crashes_do_not_delay_the_block() {
    let mut suspects = Suspects::default();
    for crashes in 0..10 {
        let now = NOW + crashes * Duration::from_millis(700);
        let is_due = crashes > MAX_CRASHES as u32;
        assert_eq!(suspects.may_run(now, BAD), !is_due, "after {crashes} crashes");
        crash(&mut suspects, now, BAD, &start(0, u64::from(crashes)));
    }
}

#[test]
fn an_answer_clears_the_count_at_all_daemons() {
    let (mut local, mut remote) = (Suspects::default(), Suspects::default());
    assert!(!local.on_answer(BAD), "nothing is known of it");
    crash_often(&mut local, BAD);
    share(&local, &mut remote, NOW, BAD);
    assert!(local.on_answer(BAD), "the others have to know");
    remote.on_cleared(BAD);
    assert!(local.may_run(LATER, BAD) && remote.may_run(LATER, BAD));
}

#[test]
fn an_answer_clears_what_may_still_turn_out_to_be_a_crash() {
    let mut suspects = Suspects::default();
    suspects.on_lost(NOW, BAD, &start(0, 1));
    suspects.on_answer(BAD);
    assert!(suspects.on_start_ended(NOW, &start(0, 1)).is_empty());
}

#[test]
fn shared_crashes_are_as_old_as_they_are() {
    let mut suspects = Suspects::default();
    let old = Crashes::shared([1, 2, 3], NOW);
    suspects.on_shared(NOW + COUNT_TTL, BAD, &old);
    assert!(suspects.may_run(NOW + COUNT_TTL + Duration::from_secs(4), BAD), "they have expired");
    suspects.on_shared(LATER, BAD, &old);
    assert!(!suspects.may_run(LATER, BAD));
    assert!(
        suspects.may_run(NOW + COUNT_TTL, BAD),
        "the time of the crash counts, not of the read"
    );
}

#[test]
fn fewer_shared_crashes_are_ignored_and_the_oldest_counts_are_evicted() {
    let mut suspects = Suspects::default();
    crash_often(&mut suspects, BAD);
    suspects.on_shared(LATER, BAD, &Crashes::shared([start(0, 1).key()], NOW));
    assert!(!suspects.may_run(LATER, BAD));
    for request in 100..3_000 {
        crash(&mut suspects, LATER, request, &start(0, request));
    }
    assert!(suspects.may_run(LATER, BAD), "the oldest count is evicted first");
}

/// Guards both ways: whichever requests a crash interrupts, and wherever, a request is blocked if it was at three
/// starts that crashed since it was last answered, and not otherwise.
#[test]
fn requests_are_blocked_by_the_starts_that_crashed_since_their_last_answer() {
    const DAEMONS: usize = 4;
    const REQUESTS: u64 = 6;
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut daemons: Vec<_> = (0..DAEMONS).map(|_| Suspects::default()).collect();
        let mut crashed: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
        let mut now = NOW;
        for number in 0..u64::try_from(MAX_CRASHES).unwrap() + 2 {
            now += Duration::from_secs(4);
            let dead = start(rng.random_range(0..3), number);
            let mut interrupted = vec![(rng.random_range(0..DAEMONS), BAD)];
            for _ in 0..rng.random_range(0..20) {
                let request = 100 + rng.random_range(0..REQUESTS);
                interrupted.push((rng.random_range(0..DAEMONS), request));
            }
            for (daemon, request) in interrupted {
                daemons[daemon].on_lost(now, request, &dead);
                crashed.entry(request).or_default().insert(number);
            }
            for index in 0..DAEMONS {
                for request in daemons[index].on_start_ended(now, &dead) {
                    let crashes = daemons[index].crashes(request).unwrap();
                    let row = Crashes::shared(crashes.starts(), crashes.last());
                    for daemon in &mut daemons {
                        daemon.on_shared(now, request, &row);
                    }
                }
            }
            for request in 100..100 + REQUESTS {
                if rng.random_bool(0.3) {
                    let daemon = rng.random_range(0..DAEMONS);
                    if daemons[daemon].on_answer(request) {
                        daemons.iter_mut().for_each(|daemon| daemon.on_cleared(request));
                    }
                    crashed.remove(&request);
                }
            }
        }
        let later = now + Duration::from_secs(1);
        assert_eq!(crashed[&BAD].len(), MAX_CRASHES + 2);
        for request in (100..100 + REQUESTS).chain([BAD]) {
            let is_blocked = crashed.get(&request).is_some_and(|of| of.len() >= MAX_CRASHES);
            for daemon in &daemons {
                assert_eq!(daemon.may_run(later, request), !is_blocked, "seed {seed}: {request}");
            }
        }
    }
}
