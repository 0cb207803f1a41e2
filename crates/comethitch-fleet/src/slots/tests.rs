//! Tests of `slots`.

use super::*;

const CONNECT: Duration = Duration::from_millis(250);

/// Sends whenever it may, every 10 ms over a minute, to a host that never has a place: when it attempted a connection.
fn attempts(salt: u64) -> Vec<Timestamp> {
    let mut slots = Slots::default();
    let at = (0..6_000).map(|nth| Timestamp::from_micros(nth * 10_000)).filter(|now| {
        let open = slots.open(*now);
        if open {
            slots.sent(*now);
            slots.ended(*now, false);
            slots.turned_away(salt, 9, CONNECT, *now);
        }
        open
    });
    at.collect()
}

#[test]
fn a_host_without_places_is_not_hammered_nor_forgotten() {
    for salt in 0..50 {
        let at = attempts(salt);
        assert!((6..=10).contains(&at.len()), "{} attempts in a minute", at.len());
        assert!(at.windows(2).all(|two| two[1] - two[0] <= Duration::from_millis(16_010)));
    }
}

#[test]
fn routers_turned_away_together_do_not_come_back_together() {
    let fourth: Vec<Timestamp> = (0..300).map(|salt| attempts(salt)[3]).collect();
    let most = fourth.iter().map(|at| fourth.iter().filter(|other| *other == at).count()).max();
    assert!(most < Some(30), "{most:?} of 300 within 10 ms");
}

#[test]
fn after_a_while_one_attempts_a_connection_and_what_it_finds_counts_for_all() {
    let (mut slots, now) = (Slots::default(), Timestamp::from_millis(1_000));
    slots.turned_away(1, 2, CONNECT, now);
    let later = now + CONNECT * FIRST;
    assert!(!slots.open(now) && slots.open(later));
    slots.sent(later);
    assert!(!slots.open(later), "one attempts at a time");
    slots.ended(later, true);
    slots.sent(later);
    assert!(slots.open(later), "there are places again");
}

#[test]
fn an_answer_on_a_connection_that_was_held_says_nothing_of_a_place_for_one_more() {
    let (mut slots, now) = (Slots::default(), Timestamp::from_millis(1_000));
    slots.sent(now);
    slots.turned_away(1, 2, CONNECT, now);
    let later = now + CONNECT * FIRST;
    slots.sent(later);
    slots.ended(now, true);
    assert_eq!(slots.most, Some(1), "the one that attempts a connection is still out");
    slots.ended(later, false);
    slots.turned_away(1, 2, CONNECT, later);
    assert!(slots.until - later > CONNECT * FIRST, "the second wait is longer than the first could be");
}
