//! Work that ends by a panic: somebody notices it, and what others wait for is done again.

use std::{
    any::Any,
    future::Future,
    panic::{self, AssertUnwindSafe},
    time::Duration,
};

use futures_util::FutureExt;
use log::{error, warn};
use tokio::time::sleep;

/// Delay before work that has panicked is done again.
pub const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Logs and counts the panics of this process, in place of the standard message.
pub fn report_panics() {
    panic::set_hook(Box::new(|info| {
        let place = info.location().map(ToString::to_string).unwrap_or_default();
        let reason = text(info.payload());
        metrics::counter!("panics_total").increment(1);
        error!(place, reason; "panicked");
    }));
}

fn text(payload: &dyn Any) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or("no text")
}

/// Calls `f`; `None` if it panics.
pub fn catch<T>(f: impl FnOnce() -> T) -> Option<T> {
    panic::catch_unwind(AssertUnwindSafe(f)).ok()
}

/// Awaits `work`; `None` if it panics.
pub async fn catch_panic<T>(work: impl Future<Output = T>) -> Option<T> {
    AssertUnwindSafe(work).catch_unwind().await.ok()
}

/// Awaits `work`, whose end others wait for. If it panics, the end is `fallback`, after a delay: what follows
/// may panic again.
pub async fn or_after_panic<T>(work: impl Future<Output = T>, fallback: T) -> T {
    match catch_panic(work).await {
        Some(end) => end,
        None => {
            sleep(RESTART_DELAY).await;
            fallback
        }
    }
}

/// Runs the task `name`, again from its start after each panic.
pub async fn restart_after_panics<F>(name: &'static str, start: impl Fn() -> F)
where
    F: Future<Output = ()>,
{
    while catch_panic(start()).await.is_none() {
        warn!(task = name; "task_restarted");
        metrics::counter!("tasks_restarted_total", "task" => name).increment(1);
        sleep(RESTART_DELAY).await;
    }
}
