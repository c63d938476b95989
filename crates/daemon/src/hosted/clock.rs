//! Clock of the decision logic. It includes time during which the host was suspended.

use std::{sync::OnceLock, time::Duration};

use buckthornfall_core::Now;
use rustix::time::{clock_gettime, ClockId};

static START: OnceLock<Duration> = OnceLock::new();
/// Time returned by the first reading, so that no time is zero.
const OFFSET: Duration = Duration::from_secs(60);

/// Returns the time since the first reading, plus `OFFSET`.
pub fn now() -> Now {
    let reading = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(reading.tv_nsec).unwrap_or_default();
    let reading = Duration::new(seconds, nanos);
    let start = *START.get_or_init(|| reading);
    reading.saturating_sub(start) + OFFSET
}
