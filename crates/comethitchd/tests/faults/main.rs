//! One suite of faults for both protocols: final answers, executions and the number of attempts must be the same, and no
//! rule may be violated.
//!
//! `cargo test -p comethitchd --test faults -- --nocapture` prints the table that is kept in `docs/measured/faults.md`.

mod scenarios;
#[path = "../support/mod.rs"]
mod support;
mod test_bed;

use comethitch_testkit::ledger::Entry;
use comethitch_testkit::{Exchange, HostBehavior, Ledger, Protocol, Reply, request_key};
use scenarios::{FinalAnswers, SCENARIOS, Scenario, apply_once};
use std::io::Read;
use test_bed::TestBed;

/// What a scenario led to with one protocol.
struct Outcome {
    answers: FinalAnswers,
    attempts: usize,
    violations: Vec<String>,
}

fn play(protocol: Protocol, scenario: &Scenario) -> Outcome {
    let mut test_bed = TestBed::new(protocol);
    let mut client = test_bed.client();
    test_bed.warm_up(&mut client);
    (scenario.steps)(&mut test_bed, &mut client);
    let answers = count_answers(&test_bed.exchanges);
    let quiet = client.is_quiet();
    drop(client);
    let TestBed { hosts, exchanges, earlier_attempts, violations: mut found, .. } = test_bed;
    hosts.router.shut_down();
    let attempts = hosts.ledger.attempt_count() - earlier_attempts;
    // An answer without a row contains no key that the ledger could compare.
    let with_key: Vec<Exchange> = exchanges
        .into_iter()
        .filter(|exchange| !matches!(&exchange.answers[0], Reply::Answered(value) if value.is_empty()))
        .collect();
    let mut violations: Vec<String> =
        hosts.ledger.violations(&with_key).iter().map(ToString::to_string).collect();
    violations.append(&mut found);
    if !quiet {
        violations.push("bytes after the last answer".into());
    }
    Outcome { answers, attempts, violations }
}

fn count_answers(exchanges: &[Exchange]) -> FinalAnswers {
    let mut answers = FinalAnswers::default();
    for exchange in exchanges {
        match &exchange.answers[0] {
            Reply::Answered(_) => answers.answered += 1,
            Reply::Throttled => answers.throttled += 1,
            Reply::Failed(_) => answers.failed += 1,
            Reply::Rejected(_) => answers.rejected += 1,
            other => panic!("{other:?} to {}", exchange.text),
        }
    }
    answers
}

/// Plays every scenario with both protocols at the same time.
fn play_all() -> Vec<[Outcome; 2]> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = SCENARIOS
            .iter()
            .map(|scenario| Protocol::BOTH.map(|protocol| scope.spawn(move || play(protocol, scenario))))
            .collect();
        threads.into_iter().map(|both| both.map(|thread| thread.join().expect("no panic"))).collect()
    })
}

#[test]
fn both_protocols_give_the_same_outcomes_without_violations() {
    let mut differences = Vec::new();
    println!("| scenario | answered | throttled | failed | rejected | attempts: PostgreSQL | TDS |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (Scenario { name, expected, .. }, [postgres, tds]) in SCENARIOS.iter().zip(play_all()) {
        for (protocol, outcome) in [("PostgreSQL", &postgres), ("TDS", &tds)] {
            let Outcome { answers, violations, .. } = outcome;
            if answers != expected || !violations.is_empty() {
                differences
                    .push(format!("{name}, {protocol}: {answers:?}, expected {expected:?}: {violations:?}"));
            }
        }
        if (postgres.answers, postgres.attempts) != (tds.answers, tds.attempts) {
            let [postgres, tds] = [&postgres, &tds].map(|outcome| (outcome.answers, outcome.attempts));
            differences.push(format!("{name}: {postgres:?} with PostgreSQL and {tds:?} with TDS"));
        }
        let FinalAnswers { answered, throttled, failed, rejected } = postgres.answers;
        println!(
            "| {name} | {answered} | {throttled} | {failed} | {rejected} | {} | {} |",
            postgres.attempts, tds.attempts
        );
    }
    assert!(differences.is_empty(), "{}", differences.join("\n"));
}

#[test]
fn truncated_large_response_closes_the_client_and_is_not_retried() {
    for protocol in Protocol::BOTH {
        for writes in [true, false] {
            let mut test_bed = TestBed::new(protocol);
            let mut client = test_bed.client();
            test_bed.warm_up(&mut client);
            test_bed.hosts.primary.script(apply_once(HostBehavior::TruncateLargeAnswer));
            test_bed.hosts.replica.script(apply_once(HostBehavior::TruncateLargeAnswer));
            let text = if writes { test_bed.next_write() } else { test_bed.next_read() };
            let key = request_key(&text).to_string();
            assert_eq!(
                client.execute(&text),
                Reply::Closed,
                "{protocol:?}: the client sees the end of the connection"
            );
            assert_eq!(
                test_bed.scenario_attempts(),
                1,
                "{protocol:?}: a response that has begun is not retried"
            );
            assert_eq!(test_bed.hosts.ledger.executions(&key), 1);
            // Another client is served, and gets nothing of the truncated response.
            let mut other = test_bed.client();
            for _ in 0..3 {
                let text = test_bed.next_write();
                let key = request_key(&text).to_string();
                let got = other.execute(&text);
                assert!(
                    got == Reply::Answered(key) || got == Reply::Closed && !writes,
                    "{protocol:?}: {got:?}"
                );
                if got == Reply::Closed {
                    other = test_bed.client();
                }
            }
            drop((client, other));
            test_bed.hosts.router.shut_down();
        }
    }
}

#[test]
fn slow_reader_of_a_large_response_does_not_delay_others() {
    for protocol in Protocol::BOTH {
        let mut test_bed = TestBed::new(protocol);
        let mut client = test_bed.client();
        test_bed.warm_up(&mut client);
        test_bed.hosts.primary.script(apply_once(HostBehavior::LargeAnswer));
        let slow_text = test_bed.next_write();
        client.send(&slow_text);
        // Reads the first byte only, and leaves the rest unread.
        client.stream.read_exact(&mut [0]).expect("the answer has begun");
        let mut other = test_bed.client();
        for _ in 0..20 {
            let text = test_bed.next_write();
            let key = request_key(&text).to_string();
            assert_eq!(other.execute(&text), Reply::Answered(key), "{protocol:?}");
        }
        // The complete response can still be read.
        let mut left = 2_000_000_usize;
        let mut bytes = vec![0; 64 << 10];
        while left > 0 {
            let length = client.stream.read(&mut bytes).expect("the rest");
            assert!(length > 0, "{protocol:?}: {left} bytes are missing");
            left = left.saturating_sub(length);
        }
        drop((client, other));
        test_bed.hosts.router.shut_down();
    }
}

#[test]
fn ledger_reports_violations_of_a_faulty_history() {
    let ledger = Ledger::default();
    let text = "INSERT INTO t VALUES ('k')".to_string();
    let ran = |primary| Entry::Executed { host: "h".into(), text: text.clone(), primary };
    ledger.record(ran(true));
    ledger.record(ran(false));
    let asked = |got: Vec<Reply>| vec![Exchange { text: text.clone(), answers: got }];
    for (got, wanted) in [
        (vec![Reply::Failed("x".into())], vec!["write executed at replica", "write executed 2 times"]),
        (
            vec![Reply::Throttled],
            vec!["write executed at replica", "write executed 2 times", "throttled after execution"],
        ),
        (vec![], vec!["write executed at replica", "0 final answers", "write executed 2 times"]),
        (
            vec![Reply::Answered("other".into())],
            vec!["write executed at replica", "write executed 2 times", "of another request"],
        ),
    ] {
        let violations = ledger.violations(&asked(got));
        let broken: Vec<String> = violations.iter().map(ToString::to_string).collect();
        assert_eq!(broken.len(), wanted.len(), "{broken:?}");
        assert!(broken.iter().zip(wanted).all(|(broken, wanted)| broken.contains(wanted)), "{broken:?}");
    }
}
