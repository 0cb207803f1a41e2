//! Tests of `hosts`.

use super::*;

const SLOW_START: SlowStart = SlowStart {
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
fn jobs_run_in_order_and_are_rejected_when_the_queue_is_full() {
    let mut host = SimulatedHost::new(Host::default(), 0, 1, false, 1);
    let now = Timestamp::from_millis(1_000);
    assert_eq!(host.arrive(job(0), &SLOW_START, now), Admission::Runs(Duration::from_millis(100)));
    assert_eq!(
        (host.arrive(job(1), &SLOW_START, now), host.arrive(job(2), &SLOW_START, now)),
        (Admission::Queued, Admission::QueueFull)
    );
    assert_eq!(
        host.finish(&job(0), &SLOW_START, now),
        Some(StartedJob { job: job(1), duration: Duration::from_millis(100) })
    );
    assert!(!host.withdraw(&job(1)) && host.runs(&job(1)));
}

#[test]
fn a_host_in_slow_start_is_slow_and_crashes_under_overload() {
    let mut host = SimulatedHost::new(Host::default(), 0, 1, false, 100);
    host.started = Some(Timestamp::from_millis(1_000));
    assert_eq!(
        host.arrive(job(0), &SLOW_START, Timestamp::from_millis(1_000)),
        Admission::Runs(Duration::from_millis(500))
    );
    // The limit in the first window is 2.5 * 0.2 * 1.5 s = 0.75 s of work.
    let sent = (1..20).position(|nth| {
        host.arrive(job(nth), &SLOW_START, Timestamp::from_millis(1_000)) == Admission::Unreachable
    });
    assert_eq!(sent, Some(6));
    let mut warm = SimulatedHost::new(Host::default(), 0, 1, false, 100);
    assert!((0..50).all(
        |nth| warm.arrive(job(nth), &SLOW_START, Timestamp::from_millis(1_000)) != Admission::Unreachable
    ));
}

#[test]
fn too_many_small_requests_in_slow_start_are_detected() {
    // 2.5 * 0.2 * 1.5 s of mean work are 7.5 requests, and the bound is 7.5 + 2 * 2.74 + 2.
    let peak_load = |requests: u16| {
        let mut host = SimulatedHost::new(Host::default(), 0, 1, false, 100);
        host.started = Some(Timestamp::from_millis(1_000));
        let small = |nth| Job { work: Duration::from_micros(100), ..job(nth) };
        (0..requests).for_each(|nth| {
            host.arrive(small(nth), &SLOW_START, Timestamp::from_millis(1_000));
        });
        (host.peak_warmup_load, host.crashed)
    };
    assert!(peak_load(14).0 <= 1.0 && peak_load(15).0 > 1.0, "{:?} {:?}", peak_load(14), peak_load(15));
    assert!(!peak_load(15).1, "the work is too small for a crash");
}
