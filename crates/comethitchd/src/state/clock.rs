//! Unix time that never goes back: the system's clock once, the monotonic one from there.

use async_io::Timer;
use comethitch_policy::time::{Duration, Timestamp};
use std::time::{Duration as StdDuration, Instant, SystemTime};

/// The router's clock. Copies show the same time.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Timestamp,
    since: Instant,
}

impl Clock {
    /// A clock that starts from the system's time.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { started: Timestamp::from_micros(unix.as_micros() as u64), since: Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        self.started + Duration::from_micros(self.since.elapsed().as_micros() as u64)
    }
}

/// Waits for a while, then returns `value`; with [`futures_lite::FutureExt::or`] this is a timeout.
pub async fn after<T>(wait: StdDuration, value: T) -> T {
    Timer::after(wait).await;
    value
}
