use super::{EventLoopLag, MAX_LAG};
use crate::time::{Duration, Timestamp};

const INTERVAL: Duration = Duration::from_millis(16);

#[test]
fn the_maximum_lag_decays_with_ticks_on_time() {
    let mut lag = EventLoopLag::default();
    let mut now = Timestamp::from_millis(1_000);
    lag.record_tick(now, INTERVAL);
    assert_eq!(lag.recent_max(), Duration::ZERO);
    now = now + INTERVAL + Duration::from_millis(160);
    lag.record_tick(now, INTERVAL);
    assert_eq!(lag.recent_max(), Duration::from_millis(160));
    lag.record_tick(now + INTERVAL, INTERVAL);
    assert_eq!(lag.recent_max(), Duration::from_millis(150));
}

#[test]
fn the_lag_of_a_stopped_process_is_bounded() {
    let mut lag = EventLoopLag::default();
    lag.record_tick(Timestamp::from_millis(1_000), INTERVAL);
    lag.record_tick(Timestamp::from_millis(60_000), INTERVAL);
    assert_eq!(lag.recent_max(), MAX_LAG);
}
