//! Tests of `ledger`.

use super::*;

const OPERATION: Operation = Operation { id: 1, sent_at: Timestamp::ZERO };

fn violations_after(plant: impl Fn(&mut Ledger)) -> Vec<String> {
    let mut ledger = Ledger::new(Duration::from_micros(100), Duration::from_micros(40), Timestamp::ZERO);
    ledger.request_received(1, 0, OPERATION, true, Timestamp::from_millis(1));
    ledger.check_attempt(1, Timestamp::from_micros(10));
    ledger.attempt_may_run(1);
    plant(&mut ledger);
    ledger.close(Timestamp::from_millis(5), &|_, _| true).violations
}

#[test]
fn every_planted_violation_is_found_and_allowed_events_have_none() {
    let answer = |l: &mut Ledger, at| l.answer_received(1, Timestamp::from_micros(at), Answer::Answered);
    assert_eq!(violations_after(|l| answer(l, 50)), Vec::<String>::new());
    let found = |plant: &dyn Fn(&mut Ledger), what: &str| {
        let violations = violations_after(plant);
        assert!(violations.iter().any(|text| text.contains(what)), "{what}: {violations:?}");
    };
    found(&|_| (), "no final answer");
    found(&|l| answer(l, 1001), "after its deadline");
    found(&|l| l.warmup_load_changed(3, 0.9, 1.1), "the bound on requests");
    assert_eq!(
        violations_after(|l| (answer(l, 50), l.warmup_load_changed(3, 0.0, 1.0)).0),
        Vec::<String>::new()
    );
    found(&|l| (0..2).for_each(|_| answer(l, 50)), "second final answer");
    found(
        &|l| {
            answer(l, 50);
            l.check_attempt(1, Timestamp::from_micros(60));
        },
        "after its final answer",
    );
    found(&|l| l.check_attempt(1, Timestamp::from_micros(60)), "sent again");
    found(&|l| l.attempt_may_run(1), "executed twice");
    let drained = |l: &mut Ledger, at| {
        l.drain_notified(3, 7, Timestamp::from_micros(10));
        l.drain_notified(3, 7, Timestamp::from_micros(45));
        l.attempt_sent(2, 3, 7, Timestamp::from_micros(at));
        answer(l, 90);
    };
    found(&|l| drained(l, 51), "after router 3 was notified that it drains");
    assert_eq!(violations_after(|l| drained(l, 50)), Vec::<String>::new(), "within the grace");
    found(&|l| l.answer_received(1, Timestamp::from_micros(50), Answer::Throttled), "was throttled");
    let unsent = violations_after(|l| {
        l.attempt_never_ran(1);
        l.check_attempt(1, Timestamp::from_micros(60));
        l.attempt_may_run(1);
        answer(l, 90);
    });
    assert_eq!(unsent, Vec::<String>::new(), "an attempt that did not run may be sent again");
    let forwarded = |l: &mut Ledger, ms| {
        l.timeout_forwarded(1, Duration::from_millis(ms), Timestamp::from_micros(500));
        answer(l, 90);
    };
    found(&|l| forwarded(l, 151), "its host was sent a timeout");
    assert_eq!(violations_after(|l| forwarded(l, 150)), Vec::<String>::new(), "within the tolerance");
    let disconnected = |l: &mut Ledger, ms| {
        l.attempt_never_ran(1);
        l.client_disconnected(1, Timestamp::from_millis(2));
        l.check_attempt(1, Timestamp::from_millis(ms));
    };
    found(&|l| disconnected(l, 103), "after its client disconnected");
    assert_eq!(violations_after(|l| disconnected(l, 102)), Vec::<String>::new(), "within the grace");
    let mut rejected = Ledger::new(Duration::from_micros(100), Duration::from_micros(40), Timestamp::ZERO);
    rejected.operation_started(OPERATION);
    let report = rejected.close(Timestamp::from_millis(5), &|_, _| true);
    assert_eq!((report.operations, report.in_time), (1, 0.0), "an operation that no router accepts counts");
    assert_eq!(
        violations_after(|l| l.router_lost(1)),
        Vec::<String>::new(),
        "no answer is required from a killed router"
    );
}
