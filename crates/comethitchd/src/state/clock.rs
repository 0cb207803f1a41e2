//! A clock of Unix time that never goes back: the wall clock at the start, advanced by the monotonic clock.

use async_io::Timer;
use comethitch_policy::time::{Duration, Timestamp};
use std::time::{Duration as StdDuration, Instant, SystemTime};

/// The router's clock. Copies show the same time.
#[derive(Clone, Copy)]
pub struct Clock {
    wall_start: Timestamp,
    monotonic_start: Instant,
}

impl Clock {
    /// Starts a clock from the system's wall clock.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { wall_start: Timestamp::from_micros(unix.as_micros() as u64), monotonic_start: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.wall_start + Duration::from_micros(self.monotonic_start.elapsed().as_micros() as u64)
    }
}

/// Returns `value` after waiting for `wait`. Used with [`futures_lite::FutureExt::or`] as a timeout.
pub async fn after<T>(wait: StdDuration, value: T) -> T {
    Timer::after(wait).await;
    value
}
