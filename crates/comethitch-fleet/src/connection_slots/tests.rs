//! Tests of `connection_slots`.

use super::*;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Sends whenever it may, every 10 ms over a minute, to a host that never has a free slot: when it connected.
fn connection_attempts(hash_seed: u64) -> Vec<Timestamp> {
    let mut slots = ConnectionSlots::default();
    let attempts = (0..6_000).map(|nth| Timestamp::from_micros(nth * 10_000)).filter(|now| {
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
fn a_host_without_slots_is_not_hammered_nor_forgotten() {
    for hash_seed in 0..50 {
        let attempts = connection_attempts(hash_seed);
        assert!((6..=10).contains(&attempts.len()), "{} attempts in a minute", attempts.len());
        assert!(attempts.windows(2).all(|two| two[1] - two[0] <= Duration::from_millis(16_010)));
    }
}

#[test]
fn routers_rejected_together_do_not_come_back_together() {
    let fourth: Vec<Timestamp> = (0..300).map(|hash_seed| connection_attempts(hash_seed)[3]).collect();
    let most = fourth.iter().map(|at| fourth.iter().filter(|other| *other == at).count()).max();
    assert!(most < Some(30), "{most:?} of 300 within 10 ms");
}

#[test]
fn after_the_backoff_one_attempts_a_connection_and_its_result_counts_for_all() {
    let mut slots = ConnectionSlots::default();
    let now = Timestamp::from_millis(1_000);
    slots.connection_rejected(1, 2, CONNECT_TIMEOUT, now);
    let later = now + CONNECT_TIMEOUT * FIRST_BACKOFF;
    assert!(!slots.has_free(now) && slots.has_free(later));
    slots.attempt_sent(later);
    assert!(!slots.has_free(later), "one attempts at a time");
    slots.attempt_ended(later, true);
    slots.attempt_sent(later);
    assert!(slots.has_free(later), "there are slots again");
}

#[test]
fn an_answer_on_an_idle_connection_says_nothing_of_a_slot_for_one_more() {
    let mut slots = ConnectionSlots::default();
    let now = Timestamp::from_millis(1_000);
    slots.attempt_sent(now);
    slots.connection_rejected(1, 2, CONNECT_TIMEOUT, now);
    let later = now + CONNECT_TIMEOUT * FIRST_BACKOFF;
    slots.attempt_sent(later);
    slots.attempt_ended(now, true);
    assert_eq!(slots.limit, Some(1), "the one that attempts a connection is still in flight");
    slots.attempt_ended(later, false);
    slots.connection_rejected(1, 2, CONNECT_TIMEOUT, later);
    assert!(
        slots.backoff_until - later > CONNECT_TIMEOUT * FIRST_BACKOFF,
        "the second backoff is longer than the first could be"
    );
}
