//! Tests of `concurrency_limit`.

use super::*;

const WORK: Duration = Duration::from_millis(100);
const CUT_INTERVAL: Duration = Duration::from_millis(500);

fn ended(late: Option<bool>, min_limit: Duration) -> EndedWork {
    EndedWork { work: WORK, late, other_late_share: 0.0, min_limit, cut_interval: CUT_INTERVAL }
}

fn record_answers(concurrency: &mut ConcurrencyLimit, answers: u64, late: bool, from: u64) {
    for k in 0..answers {
        concurrency.in_flight = WORK * 4;
        concurrency.record_end(ended(Some(late), WORK), Timestamp::from_micros(from + k * 100_000));
    }
}

#[test]
fn series_of_late_answers_cuts_limit_but_single_one_does_not() {
    let mut concurrency = ConcurrencyLimit { limit: WORK * 8, ..ConcurrencyLimit::default() };
    record_answers(&mut concurrency, 1, true, 10_000_000);
    assert_eq!(concurrency.limit, WORK * 8, "a single late answer does not cut the limit");
    record_answers(&mut concurrency, 40, true, 11_000_000);
    assert_eq!(concurrency.limit, WORK, "late answers cut the limit to the minimum");
    record_answers(&mut concurrency, 40, false, 16_000_000);
    assert!(concurrency.limit >= WORK * 4, "answers in time raise the limit: {:?}", concurrency.limit);
}

#[test]
fn limit_below_one_request_admits_with_matching_probability() {
    let mut concurrency = ConcurrencyLimit { limit: WORK, late_share: 1.0, ..ConcurrencyLimit::default() };
    assert!(concurrency.admits(WORK, 1.0, 0.99), "the limit was never cut");
    concurrency.in_flight = WORK;
    concurrency.record_end(ended(Some(true), WORK / 4), Timestamp::from_millis(10_000));
    assert_eq!(concurrency.limit, WORK / 2);
    let admitted = (0..100).filter(|k| concurrency.admits(WORK, 1.0, f64::from(*k) / 100.0)).count();
    assert!((50..=51).contains(&admitted), "{admitted} of 100 requests admitted");
    // Answers in time raise the limit above the work of one request again.
    (0..6).for_each(|k| {
        concurrency.in_flight = WORK;
        concurrency.record_end(ended(Some(false), WORK / 4), Timestamp::from_micros(11_000_000 + k));
    });
    assert!(concurrency.admits(WORK, 1.0, 0.99), "{:?}", concurrency.limit);
}

#[test]
fn limit_is_cut_at_most_once_per_interval() {
    let mut concurrency =
        ConcurrencyLimit { limit: WORK * 1000, late_share: 1.0, ..ConcurrencyLimit::default() };
    for k in 0..100 {
        concurrency.in_flight = WORK * 1000;
        concurrency.record_end(ended(Some(true), WORK), Timestamp::from_micros(10_000_000 + k));
    }
    assert!(concurrency.limit >= WORK * 500, "the limit is cut once: {:?}", concurrency.limit);
}

#[test]
fn end_without_load_information_only_releases_work() {
    let mut concurrency = ConcurrencyLimit {
        limit: WORK * 8,
        in_flight: WORK * 2,
        late_share: 0.5,
        ..ConcurrencyLimit::default()
    };
    let end = EndedWork { other_late_share: 1.0, cut_interval: Duration::ZERO, ..ended(None, WORK) };
    concurrency.record_end(end, Timestamp::from_millis(10_000));
    assert_eq!((concurrency.in_flight, concurrency.limit, concurrency.late_share), (WORK, WORK * 8, 0.5));
}
