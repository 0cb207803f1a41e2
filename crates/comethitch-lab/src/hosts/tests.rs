//! Tests of `hosts`.

use super::*;

const COLD: Cold = Cold {
    from: 0.2,
    within: Duration::from_secs(10),
    multiple: 2.5,
    span: Duration::from_millis(1_500),
    work: Duration::from_millis(100),
};

fn job(nth: u16) -> Job {
    Job { router: 0, command: 1, nth, work: Duration::from_millis(100) }
}

#[test]
fn it_serves_in_order_and_turns_away_what_it_has_no_place_for() {
    let mut host = Box::new(Host::default(), 0, 1, false, 1);
    let now = Timestamp::from_millis(1_000);
    assert_eq!(host.arrive(job(0), &COLD, now), Arrived::Runs(Duration::from_millis(100)));
    assert_eq!(
        (host.arrive(job(1), &COLD, now), host.arrive(job(2), &COLD, now)),
        (Arrived::Waits, Arrived::Full)
    );
    assert_eq!(host.done(&job(0), &COLD, now), Some((job(1), Duration::from_millis(100))));
    assert!(!host.withdraw(&job(1)) && host.runs(&job(1)));
}

#[test]
fn a_cold_host_is_slow_and_falls_over_under_more_than_it_bears() {
    let mut host = Box::new(Host::default(), 0, 1, false, 100);
    host.started = Some(Timestamp::from_millis(1_000));
    assert_eq!(
        host.arrive(job(0), &COLD, Timestamp::from_millis(1_000)),
        Arrived::Runs(Duration::from_millis(500))
    );
    // It bears 2.5 * 0.2 * 1.5 s = 0.75 s of work in the first span.
    let sent =
        (1..20).position(|nth| host.arrive(job(nth), &COLD, Timestamp::from_millis(1_000)) == Arrived::Dead);
    assert_eq!(sent, Some(6));
    let mut warm = Box::new(Host::default(), 0, 1, false, 100);
    assert!((0..50).all(|nth| warm.arrive(job(nth), &COLD, Timestamp::from_millis(1_000)) != Arrived::Dead));
}

#[test]
fn more_commands_than_chance_allows_are_seen_also_where_their_work_is_little() {
    // 2.5 * 0.2 * 1.5 s of mean work are 7.5 commands: past 7.5 + 2 * 2.74 + 2 it is no chance.
    let crowd = |commands: u16| {
        let mut host = Box::new(Host::default(), 0, 1, false, 100);
        host.started = Some(Timestamp::from_millis(1_000));
        let small = |nth| Job { work: Duration::from_micros(100), ..job(nth) };
        (0..commands).for_each(|nth| {
            host.arrive(small(nth), &COLD, Timestamp::from_millis(1_000));
        });
        (host.crowd, host.fallen)
    };
    assert!(crowd(14).0 <= 1.0 && crowd(15).0 > 1.0, "{:?} {:?}", crowd(14), crowd(15));
    assert!(!crowd(15).1, "its work alone pushes nothing over");
}
