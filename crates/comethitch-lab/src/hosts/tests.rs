//! Tests of `hosts`.

use super::*;

const COLD_START: ColdStart = ColdStart {
    initial_capacity: 0.2,
    warmup: Duration::from_secs(10),
    overload_multiple: 2.5,
    window: Duration::from_millis(1_500),
    mean_work: Duration::from_millis(100),
};

fn job(attempt: u16) -> Job {
    Job { router: 0, request: 1, attempt, work: Duration::from_millis(100) }
}

#[test]
fn it_serves_in_order_and_rejects_jobs_when_its_queue_is_full() {
    let mut host = SimulatedHost::new(Host::default(), 0, 1, false, 1);
    let now = Timestamp::from_millis(1_000);
    assert_eq!(host.arrive(job(0), &COLD_START, now), Admission::Runs(Duration::from_millis(100)));
    assert_eq!(
        (host.arrive(job(1), &COLD_START, now), host.arrive(job(2), &COLD_START, now)),
        (Admission::Queued, Admission::QueueFull)
    );
    assert_eq!(
        host.finish(&job(0), &COLD_START, now),
        Some(StartedJob { job: job(1), duration: Duration::from_millis(100) })
    );
    assert!(!host.withdraw(&job(1)) && host.runs(&job(1)));
}

#[test]
fn a_warming_host_is_slow_and_crashes_under_overload() {
    let mut host = SimulatedHost::new(Host::default(), 0, 1, false, 100);
    host.started = Some(Timestamp::from_millis(1_000));
    assert_eq!(
        host.arrive(job(0), &COLD_START, Timestamp::from_millis(1_000)),
        Admission::Runs(Duration::from_millis(500))
    );
    // It can be sent 2.5 * 0.2 * 1.5 s = 0.75 s of work in the first span.
    let sent = (1..20).position(|nth| {
        host.arrive(job(nth), &COLD_START, Timestamp::from_millis(1_000)) == Admission::Unreachable
    });
    assert_eq!(sent, Some(6));
    let mut warm = SimulatedHost::new(Host::default(), 0, 1, false, 100);
    assert!((0..50).all(
        |nth| warm.arrive(job(nth), &COLD_START, Timestamp::from_millis(1_000)) != Admission::Unreachable
    ));
}

#[test]
fn more_commands_than_chance_allows_are_detected_even_if_their_work_is_small() {
    // 2.5 * 0.2 * 1.5 s of mean work are 7.5 requests: past 7.5 + 2 * 2.74 + 2 it is no chance.
    let peak_load = |requests: u16| {
        let mut host = SimulatedHost::new(Host::default(), 0, 1, false, 100);
        host.started = Some(Timestamp::from_millis(1_000));
        let small = |nth| Job { work: Duration::from_micros(100), ..job(nth) };
        (0..requests).for_each(|nth| {
            host.arrive(small(nth), &COLD_START, Timestamp::from_millis(1_000));
        });
        (host.peak_cold_load, host.crashed)
    };
    assert!(peak_load(14).0 <= 1.0 && peak_load(15).0 > 1.0, "{:?} {:?}", peak_load(14), peak_load(15));
    assert!(!peak_load(15).1, "its work alone crashes nothing");
}
