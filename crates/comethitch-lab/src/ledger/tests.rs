//! Tests of `ledger`.

use super::*;

const REQUEST: Operation = Operation { id: 1, sent_at: Timestamp::ZERO };

fn after(plant: impl Fn(&mut Ledger)) -> Vec<String> {
    let mut ledger = Ledger::new(Duration::from_micros(100), Duration::from_micros(40), Timestamp::ZERO);
    ledger.request_received(1, 0, REQUEST, true, Timestamp::from_millis(1));
    ledger.check_attempt_allowed(1, Timestamp::from_micros(10));
    ledger.attempt_may_run(1);
    plant(&mut ledger);
    ledger.close(Timestamp::from_millis(5), &|_, _| true).broken
}

#[test]
fn each_planted_violation_is_found_and_a_clean_course_has_none() {
    let answer = |l: &mut Ledger, at| l.answer_received(1, Timestamp::from_micros(at), Answer::Answered);
    assert_eq!(after(|l| answer(l, 50)), Vec::<String>::new());
    let found = |plant: &dyn Fn(&mut Ledger), what: &str| {
        let broken = after(plant);
        assert!(broken.iter().any(|text| text.contains(what)), "{what}: {broken:?}");
    };
    found(&|_| (), "no final answer");
    found(&|l| answer(l, 1001), "its time was");
    found(&|l| l.cold_load_changed(3, 0.9, 1.1), "counts as chance");
    assert_eq!(after(|l| (answer(l, 50), l.cold_load_changed(3, 0.0, 1.0)).0), Vec::<String>::new());
    found(&|l| (0..2).for_each(|_| answer(l, 50)), "two final answers");
    found(
        &|l| {
            answer(l, 50);
            l.check_attempt_allowed(1, Timestamp::from_micros(60));
        },
        "after its final answer",
    );
    found(&|l| l.check_attempt_allowed(1, Timestamp::from_micros(60)), "sent again");
    found(&|l| l.attempt_may_run(1), "ran twice");
    let drained = |l: &mut Ledger, at| {
        l.drain_notified(3, 7, Timestamp::from_micros(10));
        l.drain_notified(3, 7, Timestamp::from_micros(45));
        l.attempt_sent(2, 3, 7, Timestamp::from_micros(at));
        answer(l, 90);
    };
    found(&|l| drained(l, 51), "which router 3 knew drains");
    assert_eq!(after(|l| drained(l, 50)), Vec::<String>::new(), "within the grace it may");
    found(&|l| l.answer_received(1, Timestamp::from_micros(50), Answer::Throttled), "was throttled");
    let unsent = after(|l| {
        l.attempt_never_ran(1);
        l.check_attempt_allowed(1, Timestamp::from_micros(60));
        l.attempt_may_run(1);
        answer(l, 90);
    });
    assert_eq!(unsent, Vec::<String>::new(), "what surely did not run may go again");
    let told = |l: &mut Ledger, ms| {
        l.time_told(1, Duration::from_millis(ms), Timestamp::from_micros(500));
        answer(l, 90);
    };
    found(&|l| told(l, 151), "its host was told");
    assert_eq!(after(|l| told(l, 150)), Vec::<String>::new(), "within the slack it may");
    let left = |l: &mut Ledger, ms| {
        l.attempt_never_ran(1);
        l.client_left(1, Timestamp::from_millis(2));
        l.check_attempt_allowed(1, Timestamp::from_millis(ms));
    };
    found(&|l| left(l, 103), "its client had left");
    assert_eq!(after(|l| left(l, 102)), Vec::<String>::new(), "a tenth of a second later it may");
    let mut refused = Ledger::new(Duration::from_micros(100), Duration::from_micros(40), Timestamp::ZERO);
    refused.operation_started(REQUEST);
    let report = refused.close(Timestamp::from_millis(5), &|_, _| true);
    assert_eq!((report.asked, report.in_time), (1, 0.0), "no router accepted it, and it counts");
    assert_eq!(after(|l| l.router_lost(1)), Vec::<String>::new(), "a killed router owes nothing");
}
