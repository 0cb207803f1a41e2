//! The same fault scenarios with both protocols: the final answers and the number of attempts must be equal,
//! and no rule of the ledger may be violated.
//!
//! `cargo test -p comethitchd --test faults -- --nocapture` prints the table in `docs/measured/faults.md`.

mod scenarios;
#[path = "../support/mod.rs"]
mod support;
mod test_bed;

use comethitch_testkit::ledger::Entry;
use comethitch_testkit::{Exchange, HostBehavior, Ledger, Protocol, Reply, request_key};
use scenarios::{FinalAnswers, SCENARIOS, Scenario, apply_once};
use std::io::Read;
use test_bed::TestBed;

/// The result of a scenario with one protocol.
struct Outcome {
    answers: FinalAnswers,
    attempts: usize,
    violations: Vec<String>,
}

/// Runs a scenario in a new test bed.
fn run_scenario(protocol: Protocol, scenario: &Scenario) -> Outcome {
    let mut test_bed = TestBed::new(protocol);
    let mut client = test_bed.client();
    test_bed.warm_up(&mut client);
    (scenario.steps)(&mut test_bed, &mut client);
    let answers = count_answers(&test_bed.exchanges);
    let nothing_unread = client.has_no_unread_bytes();
    drop(client);
    let TestBed { hosts, exchanges, earlier_attempts, violations: mut scenario_violations, .. } = test_bed;
    hosts.router.shut_down();
    let attempts = hosts.ledger.attempt_count() - earlier_attempts;
    // The ledger cannot check an answer without a row, which holds no key to compare.
    let comparable: Vec<Exchange> = exchanges
        .into_iter()
        .filter(|exchange| !matches!(&exchange.answers[0], Reply::Answered(value) if value.is_empty()))
        .collect();
    let mut violations: Vec<String> =
        hosts.ledger.violations(&comparable).iter().map(ToString::to_string).collect();
    violations.append(&mut scenario_violations);
    if !nothing_unread {
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
            other => panic!("unexpected answer {other:?} to {}", exchange.text),
        }
    }
    answers
}

/// Runs all scenarios with both protocols, each on a thread of its own.
fn run_all_scenarios() -> Vec<[Outcome; 2]> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = SCENARIOS
            .iter()
            .map(|scenario| {
                Protocol::BOTH.map(|protocol| scope.spawn(move || run_scenario(protocol, scenario)))
            })
            .collect();
        threads
            .into_iter()
            .map(|both| both.map(|thread| thread.join().expect("the thread ends without a panic")))
            .collect()
    })
}

/// Guards against faults that are handled differently by the two protocols, and against lost, repeated or
/// wrong answers under each fault. Scenarios run at the same time, each with its own router and hosts.
#[test]
fn both_protocols_give_the_same_outcomes_without_violations() {
    let mut differences = Vec::new();
    println!("| scenario | answered | throttled | failed | rejected | attempts: PostgreSQL | TDS |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (Scenario { name, expected, .. }, [postgres, tds]) in SCENARIOS.iter().zip(run_all_scenarios()) {
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

/// Guards against a retry of a response that has partly been forwarded: the client would get rows twice. The
/// host closes the connection after three quarters of two megabytes.
#[test]
fn truncated_large_response_closes_the_client_and_is_not_retried() {
    for protocol in Protocol::BOTH {
        for is_write in [true, false] {
            let mut test_bed = TestBed::new(protocol);
            let mut client = test_bed.client();
            test_bed.warm_up(&mut client);
            test_bed.hosts.primary.script(apply_once(HostBehavior::TruncateLargeAnswer));
            test_bed.hosts.replica.script(apply_once(HostBehavior::TruncateLargeAnswer));
            let text = if is_write { test_bed.next_write() } else { test_bed.next_read() };
            let key = request_key(&text).to_string();
            assert_eq!(client.execute(&text), Reply::Closed, "{protocol:?}: the connection must be closed");
            assert_eq!(
                test_bed.scenario_attempts(),
                1,
                "{protocol:?}: a response that has begun must not be retried"
            );
            assert_eq!(test_bed.hosts.ledger.executions(&key), 1);
            // Another client must be served, and must get nothing of the truncated response.
            let mut other = test_bed.client();
            for _ in 0..3 {
                let text = test_bed.next_write();
                let key = request_key(&text).to_string();
                let got = other.execute(&text);
                assert!(
                    got == Reply::Answered(key) || got == Reply::Closed && !is_write,
                    "{protocol:?}: the next write must be answered with its own key: {got:?}"
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

/// Guards against a router that waits for a client to read: one client reads a single byte of two megabytes
/// while another sends 20 writes.
#[test]
fn slow_reader_of_a_large_response_does_not_delay_others() {
    for protocol in Protocol::BOTH {
        let mut test_bed = TestBed::new(protocol);
        let mut client = test_bed.client();
        test_bed.warm_up(&mut client);
        test_bed.hosts.primary.script(apply_once(HostBehavior::LargeAnswer));
        let slow_text = test_bed.next_write();
        client.send(&slow_text);
        // Reads only the first byte of the response.
        client.stream.read_exact(&mut [0]).expect("the answer has begun");
        let mut other = test_bed.client();
        for _ in 0..20 {
            let text = test_bed.next_write();
            let key = request_key(&text).to_string();
            assert_eq!(other.execute(&text), Reply::Answered(key), "{protocol:?}");
        }
        // The complete response must still be readable.
        let mut remaining = 2_000_000_usize;
        let mut bytes = vec![0; 64 << 10];
        while remaining > 0 {
            let length = client.stream.read(&mut bytes).expect("the rest of the answer can be read");
            assert!(length > 0, "{protocol:?}: the connection ended {remaining} bytes too early");
            remaining = remaining.saturating_sub(length);
        }
        drop((client, other));
        test_bed.hosts.router.shut_down();
    }
}

/// Guards against a ledger that misses violations, which would make the tests above pass without a check.
#[test]
fn ledger_reports_violations_of_a_faulty_history() {
    let ledger = Ledger::default();
    let text = "INSERT INTO t VALUES ('k')".to_string();
    let execution = |primary| Entry::Executed { host: "h".into(), text: text.clone(), primary };
    ledger.record(execution(true));
    ledger.record(execution(false));
    let exchange = |answers: Vec<Reply>| vec![Exchange { text: text.clone(), answers }];
    for (answers, expected) in [
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
        let violations = ledger.violations(&exchange(answers));
        let messages: Vec<String> = violations.iter().map(ToString::to_string).collect();
        assert_eq!(messages.len(), expected.len(), "{messages:?}");
        assert!(messages.iter().zip(expected).all(|(message, part)| message.contains(part)), "{messages:?}");
    }
}
