use super::{HealthCheckScheduler, MAX_CHECKS_PER_TICK};
use crate::time::{Duration, Timestamp};

const NOW: Timestamp = Timestamp::from_millis(100_000);

#[test]
fn allowance_is_renewed_by_the_next_tick() {
    let mut scheduler = HealthCheckScheduler::new();
    for _ in 0..MAX_CHECKS_PER_TICK {
        assert!(!scheduler.is_exhausted());
        scheduler.record_started();
    }
    assert!(scheduler.is_exhausted());
    scheduler.start_tick();
    assert!(!scheduler.is_exhausted());
}

#[test]
fn a_round_continues_behind_the_shard_visited_last() {
    let mut scheduler = HealthCheckScheduler::new();
    let mut shards = [1, 3, 5, 7];
    scheduler.continue_round(&mut shards);
    assert_eq!(shards, [1, 3, 5, 7]);
    scheduler.record_visited(4);
    scheduler.continue_round(&mut shards);
    assert_eq!(shards, [5, 7, 1, 3]);
}

#[test]
fn checks_over_budget_are_long_overdue_and_spaced() {
    let mut scheduler = HealthCheckScheduler::new();
    let overdue = NOW - Duration::from_secs(10);
    assert!(!scheduler.admit_over_budget(overdue + Duration::from_millis(1), NOW));
    assert!(scheduler.admit_over_budget(overdue, NOW));
    assert!(!scheduler.admit_over_budget(overdue, NOW + Duration::from_millis(39)));
    assert!(scheduler.admit_over_budget(overdue, NOW + Duration::from_millis(40)));
}
