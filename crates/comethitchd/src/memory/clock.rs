//! Unix time that never goes back: the system's clock once, the monotonic one from there.

use async_io::Timer;
use comethitch::time::{Span, Time};
use std::time::{Duration, Instant, SystemTime};

#[derive(Clone, Copy)]
pub struct Clock {
    started: Time,
    since: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { started: Time(unix.as_micros() as u64), since: Instant::now() }
    }

    pub fn now(&self) -> Time {
        self.started + Span(self.since.elapsed().as_micros() as u64)
    }
}

/// What has come of a wait once it is over.
pub async fn after<T>(wait: Duration, then: T) -> T {
    Timer::after(wait).await;
    then
}

pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
