//! Tests of `connection_slots`.

use super::*;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Returns the times at which a router tries to connect to a host without free slots, during one minute that
/// is simulated in steps of 10 ms.
fn connection_attempts(hash_seed: u64) -> Vec<Timestamp> {
    let mut slots = ConnectionSlots::default();
    let attempts = (0..6_000).map(|step| Timestamp::from_micros(step * 10_000)).filter(|now| {
        let free = slots.has_free(*now);
        if free {
            slots.attempt_sent(*now);
            slots.attempt_ended(*now, false);
            slots.connection_rejected(hash_seed, 9, CONNECT_TIMEOUT, *now);
        }
        free
    });
    attempts.collect()
}

#[test]
fn host_without_slots_is_retried_with_bounded_backoff() {
    for hash_seed in 0..50 {
        let attempts = connection_attempts(hash_seed);
        assert!((6..=10).contains(&attempts.len()), "{} attempts in a minute", attempts.len());
        assert!(attempts.windows(2).all(|pair| pair[1] - pair[0] <= Duration::from_millis(16_010)));
    }
}

#[test]
fn routers_rejected_together_retry_at_different_times() {
    let fourth_attempts: Vec<Timestamp> =
        (0..300).map(|hash_seed| connection_attempts(hash_seed)[3]).collect();
    let simultaneous = |at: &Timestamp| fourth_attempts.iter().filter(|other| *other == at).count();
    let max_simultaneous = fourth_attempts.iter().map(simultaneous).max();
    assert!(max_simultaneous < Some(30), "{max_simultaneous:?} of 300 attempts within 10 ms");
}

#[test]
fn one_connection_is_tried_after_backoff_and_success_lifts_limit() {
    let mut slots = ConnectionSlots::default();
    let now = Timestamp::from_millis(1_000);
    slots.connection_rejected(1, 2, CONNECT_TIMEOUT, now);
    let later = now + CONNECT_TIMEOUT * FIRST_BACKOFF_CONNECT_TIMEOUTS;
    assert!(!slots.has_free(now) && slots.has_free(later));
    slots.attempt_sent(later);
    assert!(!slots.has_free(later), "one additional connection is tried at a time");
    slots.attempt_ended(later, true);
    slots.attempt_sent(later);
    assert!(slots.has_free(later), "the limit is lifted after an answer");
}

#[test]
fn answer_on_idle_connection_does_not_prove_free_slot() {
    let mut slots = ConnectionSlots::default();
    let now = Timestamp::from_millis(1_000);
    slots.attempt_sent(now);
    slots.connection_rejected(1, 2, CONNECT_TIMEOUT, now);
    let later = now + CONNECT_TIMEOUT * FIRST_BACKOFF_CONNECT_TIMEOUTS;
    slots.attempt_sent(later);
    slots.attempt_ended(now, true);
    assert_eq!(slots.limit, Some(1), "the attempt that tries an additional connection is still in flight");
    slots.attempt_ended(later, false);
    slots.connection_rejected(1, 2, CONNECT_TIMEOUT, later);
    assert!(
        slots.backoff_until - later > CONNECT_TIMEOUT * FIRST_BACKOFF_CONNECT_TIMEOUTS,
        "the second backoff is longer than the first could be"
    );
}
