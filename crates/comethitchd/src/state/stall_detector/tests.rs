use super::{StallDetector, StallLog, StallReport};
use comethitch_policy::time::{Duration, Timestamp};

const TICK: Duration = Duration::from_millis(10);
const MAX_STALL_AGE: Duration = Duration::from_millis(20);

fn at_ms(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000 + ms)
}

/// Returns a detector that made its last observation at 0 ms, when a tick was scheduled.
fn detector() -> StallDetector {
    let detector = StallDetector::new(at_ms(0));
    detector.schedule_tick(TICK, at_ms(0));
    detector
}

#[test]
fn gaps_of_more_than_two_ticks_are_stalls() {
    let detector = detector();
    assert!(!detector.has_just_stalled(at_ms(20)));
    assert!(detector.has_just_stalled(at_ms(21)));
    detector.observe(at_ms(21));
    assert!(!detector.has_just_stalled(at_ms(41)), "the observation ends the gap");
}

#[test]
fn bytes_read_right_after_a_stall_may_have_arrived_at_its_start() {
    let detector = detector();
    detector.observe(at_ms(100));
    detector.record_tick(at_ms(100));
    detector.schedule_tick(TICK, at_ms(100));
    assert_eq!(detector.earliest_arrival(at_ms(105), MAX_STALL_AGE), at_ms(0));
}

#[test]
fn bytes_read_long_after_a_stall_are_timed_by_the_tick_delay() {
    let detector = detector();
    detector.observe(at_ms(100));
    detector.schedule_tick(TICK, at_ms(100));
    detector.record_tick(at_ms(113));
    detector.schedule_tick(TICK, at_ms(113));
    assert_eq!(
        detector.earliest_arrival(at_ms(121), MAX_STALL_AGE),
        at_ms(118),
        "the last tick ran 3 ms late"
    );
    assert_eq!(
        detector.earliest_arrival(at_ms(130), MAX_STALL_AGE),
        at_ms(123),
        "the next tick is 7 ms overdue"
    );
}

/// Guards against a log line for each of hundreds of stalls a second.
#[test]
fn stalls_are_logged_once_a_second_with_their_number() {
    let mut log = StallLog::default();
    let first = log.record(TICK * 3, at_ms(0));
    assert_eq!(first, Some(StallReport { stalls: 1, longest: TICK * 3 }));
    assert_eq!(log.record(TICK * 5, at_ms(50)), None);
    assert_eq!(log.record(TICK * 4, at_ms(999)), None);
    let next = log.record(TICK * 3, at_ms(1_000));
    assert_eq!(next, Some(StallReport { stalls: 3, longest: TICK * 5 }));
}
