use super::{ClockState, HostClock};
use crate::time::{Duration, SignedDuration, Timestamp};

const NOW: Timestamp = Timestamp::from_millis(1_000_000);
const HOUR: Duration = Duration::from_secs(3_600);

#[test]
fn host_time_is_unknown_before_the_first_report() {
    let clock = HostClock::default();
    assert_eq!(clock.state(), ClockState::Unknown);
    assert_eq!((clock.latest(NOW), clock.earliest(NOW)), (None, None));
    assert_eq!(clock.estimated(NOW), NOW);
}

#[test]
fn a_recent_primary_report_proves_that_the_clock_agrees() {
    let mut clock = HostClock::default();
    clock.record_position(NOW - Duration::from_millis(300), true, NOW);
    assert_eq!(clock.state(), ClockState::Agrees);
    assert_eq!(clock.latest(NOW), Some(NOW));
    assert_eq!(clock.earliest(NOW), Some(NOW - Duration::from_millis(300)));
}

#[test]
fn a_wrong_clock_is_corrected_after_four_primary_reports() {
    let mut clock = HostClock::default();
    for age_ms in [30, 20, 10] {
        clock.record_position(NOW + HOUR - Duration::from_millis(age_ms), true, NOW);
        assert_eq!(clock.state(), ClockState::Wrong);
        assert_eq!(clock.latest(NOW), None);
    }
    clock.record_position(NOW + HOUR - Duration::from_millis(40), true, NOW);
    let offset = SignedDuration::ZERO + (HOUR - Duration::from_millis(10));
    let uncertainty = Duration::from_millis(20);
    assert_eq!(clock.state(), ClockState::Corrected { offset, uncertainty });
    assert_eq!(clock.latest(NOW), Some(NOW + HOUR + Duration::from_millis(10)));
}

#[test]
fn replica_reports_are_used_only_after_the_primary_timeout() {
    let mut clock = HostClock::default();
    clock.record_position(NOW - Duration::from_millis(100), false, NOW);
    clock.update_replica_fallback(NOW);
    clock.update_replica_fallback(NOW + Duration::from_millis(500));
    assert_eq!(clock.state(), ClockState::Unknown);
    clock.update_replica_fallback(NOW + Duration::from_millis(501));
    assert_eq!(clock.state(), ClockState::Agrees);
    assert!(clock.needs_primary_reports(), "a primary's report is still needed");
}

#[test]
fn unanswered_polls_back_off_until_a_primary_reports() {
    let mut clock = HostClock::default();
    let mut now = NOW;
    let mut intervals_ms = Vec::new();
    for _ in 0..10 {
        assert!(clock.next_to_poll(&["a", "b"], now).is_some());
        let polled_at = now;
        while !clock.is_poll_due(now) {
            now = now + Duration::from_millis(250);
        }
        intervals_ms.push((now - polled_at).as_micros() / 1_000);
    }
    assert_eq!(intervals_ms, [250, 250, 250, 250, 250, 500, 1_000, 2_000, 4_000, 4_000]);
    clock.record_position(now, true, now);
    clock.next_to_poll(&["a", "b"], now);
    assert!(clock.is_poll_due(now + Duration::from_millis(250)));
}

#[test]
fn primaries_are_polled_in_turn() {
    let mut clock = HostClock::default();
    assert_eq!(clock.next_to_poll::<u8>(&[], NOW), None);
    let polled: Vec<char> = (0..3).filter_map(|_| clock.next_to_poll(&['a', 'b'], NOW)).collect();
    assert_eq!(polled, ['a', 'b', 'a']);
}
