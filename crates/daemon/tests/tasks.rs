//! Work that panics.

use std::{cell::Cell, future::ready, time::Duration};

use buckthornfall_daemon::tasks::{
    catch, catch_panic, or_after_panic, restart_after_panics, RESTART_DELAY,
};
use tokio::time::{sleep, Instant};

fn run<T>(work: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(work)
}

async fn panic_later() -> u32 {
    sleep(Duration::from_millis(1)).await;
    panic!("on purpose")
}

#[test]
fn panics_are_caught_at_any_poll() {
    assert_eq!(run(catch_panic(panic_later())), None);
    assert_eq!(run(catch_panic(ready(7))), Some(7));
    assert_eq!(catch(|| 7), Some(7));
    assert_eq!(catch(|| -> u32 { panic!("on purpose") }), None);
}

#[test]
fn fallback_comes_after_a_delay() {
    let started = Instant::now();
    assert_eq!(run(or_after_panic(panic_later(), 1)), 1);
    assert!(started.elapsed() >= RESTART_DELAY);
    assert_eq!(run(or_after_panic(ready(7), 1)), 7);
}

#[test]
fn tasks_start_again_until_they_end_by_themselves() {
    let starts = Cell::new(0);
    run(restart_after_panics("test", || async {
        starts.set(starts.get() + 1);
        assert!(starts.get() > 2, "on purpose");
    }));
    assert_eq!(starts.get(), 3);
}
