use super::{Arrivals, MAX_RECORDS, RESOLUTION};
use comethitch_policy::time::{Duration, Timestamp};

const MS: u64 = 1_000;

#[test]
fn a_message_arrived_with_its_own_last_byte_whatever_the_reads_hold() {
    let mut arrivals = Arrivals::default();
    // Messages of 10, 10 and 5 bytes; the second read brings the end of the second and all of the third.
    arrivals.read(15, Timestamp::from_micros(10 * MS));
    arrivals.read(10, Timestamp::from_micros(90 * MS));
    assert_eq!(arrivals.consume(10), Some(Timestamp::from_micros(10 * MS)));
    assert_eq!(arrivals.consume(10), Some(Timestamp::from_micros(90 * MS)));
    assert_eq!(arrivals.consume(5), Some(Timestamp::from_micros(90 * MS)));
    arrivals.read(1, Timestamp::from_micros(200 * MS));
    assert_eq!(arrivals.consume(1), Some(Timestamp::from_micros(200 * MS)));
}

#[test]
fn bytes_seen_waiting_keep_the_moment_in_which_they_were_seen() {
    let mut arrivals = Arrivals::default();
    arrivals.read(10, Timestamp::from_micros(10 * MS));
    arrivals.waiting(10, Timestamp::from_micros(40 * MS));
    arrivals.waiting(30, Timestamp::from_micros(65 * MS));
    // Read in two pieces, long after; five more bytes come with them.
    arrivals.read(10, Timestamp::from_micros(500 * MS));
    arrivals.read(25, Timestamp::from_micros(500 * MS));
    let arrived: Vec<_> = [10, 10, 20, 5].map(|length| arrivals.consume(length)).into();
    assert_eq!(arrived, [10, 40, 65, 500].map(|ms| Some(Timestamp::from_micros(ms * MS))));
}

#[test]
fn the_record_is_bounded_and_never_later_than_the_truth() {
    let mut arrivals = Arrivals::default();
    let at = |nth: u64| Timestamp::from_micros(nth * nth * RESOLUTION.as_micros());
    (1..=1_000).for_each(|nth| arrivals.read(1, at(nth)));
    assert!(arrivals.records.len() <= MAX_RECORDS);
    for nth in 1..=1_000 {
        let arrived = arrivals.consume(1).expect("a record");
        assert!(arrived <= at(nth), "byte {nth}");
    }
    assert!(arrivals.records.is_empty() && at(3) - at(2) > Duration::ZERO);
}
