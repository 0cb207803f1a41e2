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
fn a_run_of_late_answers_cuts_the_limit_and_one_alone_does_not() {
    let mut concurrency = ConcurrencyLimit { limit: WORK * 8, ..ConcurrencyLimit::default() };
    record_answers(&mut concurrency, 1, true, 10_000_000);
    assert_eq!(concurrency.limit, WORK * 8, "one is no run");
    record_answers(&mut concurrency, 40, true, 11_000_000);
    assert_eq!(concurrency.limit, WORK, "cut to the least, and no further");
    record_answers(&mut concurrency, 40, false, 16_000_000);
    assert!(concurrency.limit >= WORK * 4, "answers in time give it back: {:?}", concurrency.limit);
}

#[test]
fn a_limit_cut_to_a_part_of_a_command_admits_it_as_often_as_that() {
    let mut concurrency = ConcurrencyLimit { limit: WORK, late_share: 1.0, ..ConcurrencyLimit::default() };
    assert!(concurrency.admits(WORK, 1.0, 0.99), "nothing was late here yet");
    concurrency.in_flight = WORK;
    concurrency.record_end(ended(Some(true), WORK / 4), Timestamp::from_millis(10_000));
    assert_eq!(concurrency.limit, WORK / 2);
    let admitted = (0..100).filter(|k| concurrency.admits(WORK, 1.0, f64::from(*k) / 100.0)).count();
    assert!((50..=51).contains(&admitted), "{admitted} of 100");
    // What is answered in time gives all of it back.
    (0..6).for_each(|k| {
        concurrency.in_flight = WORK;
        concurrency.record_end(ended(Some(false), WORK / 4), Timestamp::from_micros(11_000_000 + k));
    });
    assert!(concurrency.admits(WORK, 1.0, 0.99), "{:?}", concurrency.limit);
}

#[test]
fn cuts_come_no_closer_than_the_interval() {
    let mut concurrency =
        ConcurrencyLimit { limit: WORK * 1000, late_share: 1.0, ..ConcurrencyLimit::default() };
    for k in 0..100 {
        concurrency.in_flight = WORK * 1000;
        concurrency.record_end(ended(Some(true), WORK), Timestamp::from_micros(10_000_000 + k));
    }
    assert!(concurrency.limit >= WORK * 500, "one cut: {:?}", concurrency.limit);
}

#[test]
fn an_end_that_says_nothing_of_the_load_frees_its_work_alone() {
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
