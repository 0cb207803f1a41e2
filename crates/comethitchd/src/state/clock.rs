//! Unix time that never goes back: the system's clock once, the monotonic one from there.

use async_io::Timer;
use comethitch_policy::time::{Duration, Timestamp};
use std::time::{Duration as StdDuration, Instant, SystemTime};

#[derive(Clone, Copy)]
pub struct Clock {
    started: Timestamp,
    since: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { started: Timestamp::from_micros(unix.as_micros() as u64), since: Instant::now() }
    }

    pub fn now(&self) -> Timestamp {
        self.started + Duration::from_micros(self.since.elapsed().as_micros() as u64)
    }
}

/// What has come of a wait once it is over.
pub async fn after<T>(wait: StdDuration, then: T) -> T {
    Timer::after(wait).await;
    then
}
