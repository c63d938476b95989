//! Which requests a daemon takes during a planned stop.

use std::time::Duration;

use buckthornfall_core::{
    stop::{Durations, LateRequest},
    Now,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn stream(longest: Option<Duration>, since_stop: Duration) -> LateRequest {
    LateRequest { deadline: ms(10_000), may_repeat: true, is_stream: true, longest, since_stop }
}

#[test]
fn a_request_that_is_in_progress_counts_with_the_time_that_it_has_taken_so_far() {
    let mut durations = Durations::default();
    let at = |millis: u64| Now::ZERO + ms(millis);
    durations.begin(at(0), "chat");
    durations.end(at(800), "chat", at(0));
    assert_eq!(durations.longest(at(1_000), "chat"), Some(ms(800)));
    durations.begin(at(1_000), "chat");
    durations.begin(at(1_000), "chat");
    durations.end(at(1_200), "chat", at(1_000));
    assert_eq!(durations.longest(at(4_600), "chat"), Some(ms(3_600)));
    // Also if no request has ended for long.
    assert_eq!(durations.longest(at(90_000), "chat"), Some(ms(89_000)));
    durations.end(at(91_000), "chat", at(1_000));
    assert_eq!(durations.longest(at(91_000), "chat"), Some(ms(90_000)));
    assert_eq!(durations.longest(at(91_000), "other"), None);
}

/// Guards against streams that are cut at the exit: those before were shorter, by more than any factor.
#[test]
fn a_stream_that_begins_late_in_a_stop_is_taken_only_if_it_ends_by_its_deadline() {
    let left_at = |since_stop: Duration| ms(7_600) - since_stop;
    for since_stop in [3_000, 3_500, 4_700, 7_000].map(ms) {
        for longest in [None, Some(ms(1)), Some(ms(800)), Some(ms(4_000))] {
            let req = stream(longest, since_stop);
            assert!(!req.can_end(left_at(since_stop)), "{req:?}");
        }
    }
    let short_deadline = LateRequest { deadline: ms(2_000), ..stream(None, ms(3_500)) };
    assert!(short_deadline.can_end(left_at(ms(3_500))));
}

#[test]
fn an_estimate_suffices_for_early_streams_and_for_short_requests() {
    let early = |longest| stream(Some(ms(longest)), ms(1_000)).can_end(ms(6_600));
    assert_eq!([800, 4_300, 4_400].map(early), [true, true, false]);
    let lookup = |may_repeat| LateRequest {
        deadline: ms(3_000),
        may_repeat,
        is_stream: false,
        longest: Some(ms(30)),
        since_stop: ms(7_000),
    };
    assert_eq!([true, false].map(|may_repeat| lookup(may_repeat).can_end(ms(600))), [true, false]);
}
