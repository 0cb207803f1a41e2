use super::{Arrivals, MAX_RECORDS, RESOLUTION};
use comethitch_policy::time::{Duration, Timestamp};

const US_PER_MS: u64 = 1_000;

#[test]
fn messages_are_timed_by_their_own_last_byte() {
    let mut arrivals = Arrivals::default();
    // Messages of 10, 10 and 5 bytes: the second read ends the second message and brings the third.
    arrivals.record_read(15, Timestamp::from_micros(10 * US_PER_MS));
    arrivals.record_read(10, Timestamp::from_micros(90 * US_PER_MS));
    assert_eq!(arrivals.consume(10), Some(Timestamp::from_micros(10 * US_PER_MS)));
    assert_eq!(arrivals.consume(10), Some(Timestamp::from_micros(90 * US_PER_MS)));
    assert_eq!(arrivals.consume(5), Some(Timestamp::from_micros(90 * US_PER_MS)));
    arrivals.record_read(1, Timestamp::from_micros(200 * US_PER_MS));
    assert_eq!(arrivals.consume(1), Some(Timestamp::from_micros(200 * US_PER_MS)));
}

#[test]
fn bytes_recorded_as_waiting_keep_that_time_when_read() {
    let mut arrivals = Arrivals::default();
    arrivals.record_read(10, Timestamp::from_micros(10 * US_PER_MS));
    arrivals.record_waiting(10, Timestamp::from_micros(40 * US_PER_MS));
    arrivals.record_waiting(30, Timestamp::from_micros(65 * US_PER_MS));
    // Read later in two pieces, together with five bytes that were not recorded before.
    arrivals.record_read(10, Timestamp::from_micros(500 * US_PER_MS));
    arrivals.record_read(25, Timestamp::from_micros(500 * US_PER_MS));
    let arrived: Vec<_> = [10, 10, 20, 5].map(|length| arrivals.consume(length)).into();
    assert_eq!(arrived, [10, 40, 65, 500].map(|ms| Some(Timestamp::from_micros(ms * US_PER_MS))));
}

#[test]
fn merged_records_are_bounded_and_never_later_than_the_arrival() {
    let mut arrivals = Arrivals::default();
    let at = |nth: u64| Timestamp::from_micros(nth * nth * RESOLUTION.as_micros());
    (1..=1_000).for_each(|nth| arrivals.record_read(1, at(nth)));
    assert!(arrivals.records.len() <= MAX_RECORDS);
    for nth in 1..=1_000 {
        let arrived = arrivals.consume(1).expect("a record");
        assert!(arrived <= at(nth), "byte {nth}");
    }
    assert!(arrivals.records.is_empty() && at(3) - at(2) > Duration::ZERO);
}
