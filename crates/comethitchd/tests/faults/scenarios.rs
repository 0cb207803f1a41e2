//! The fault scenarios, each with the final answers that are expected.

use super::test_bed::TestBed;
use comethitch_testkit::{Client, HostBehavior};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::Duration;

/// What a client does in a scenario.
type Steps = fn(&mut TestBed, &mut Client);

/// A fault scenario, which runs with both protocols.
pub(crate) struct Scenario {
    /// Name of the scenario in the printed table.
    pub name: &'static str,
    /// What the client does.
    pub steps: Steps,
    /// The final answers that are expected.
    pub expected: FinalAnswers,
}

/// Number of final answers of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FinalAnswers {
    /// Answered requests.
    pub answered: usize,
    /// Throttled requests.
    pub throttled: usize,
    /// Failed requests.
    pub failed: usize,
    /// Rejected statements.
    pub rejected: usize,
}

/// Returns a scenario. `expected` holds the numbers of answered, throttled, failed and rejected requests, in
/// this order.
const fn scenario(name: &'static str, steps: Steps, expected: [usize; 4]) -> Scenario {
    let [answered, throttled, failed, rejected] = expected;
    Scenario { name, steps, expected: FinalAnswers { answered, throttled, failed, rejected } }
}

/// Sends two writes. The primary applies the behavior to the first one and answers the second.
fn write_with_fault(test_bed: &mut TestBed, client: &mut Client, behavior: HostBehavior) {
    test_bed.hosts.primary.script(apply_once(behavior));
    for nth in 0..2 {
        let text = test_bed.next_write();
        // The scenario with a large answer does not test the timeout: a debug build on a busy machine may
        // take a second for two megabytes.
        let with_long_timeout = format!("/* id=p{nth},c=write,d=3000,cluster=0 */ {text}");
        test_bed
            .execute(client, if behavior == HostBehavior::LargeAnswer { with_long_timeout } else { text });
    }
}

/// Returns a script that applies the behavior to the first request and answers all others.
pub(crate) fn apply_once(
    behavior: HostBehavior,
) -> impl Fn(usize, &str) -> HostBehavior + Send + Sync + 'static {
    let applied = AtomicBool::new(false);
    move |_, _| {
        if applied.swap(true, SeqCst) { HostBehavior::Answer } else { behavior }
    }
}

/// Sends two reads. The replica applies the behavior to the first one that it receives, and the primary
/// answers.
fn read_with_fault(test_bed: &mut TestBed, client: &mut Client, behavior: HostBehavior) {
    test_bed.hosts.replica.script(apply_once(behavior));
    test_bed.hosts.primary.script(|_, _| HostBehavior::Answer);
    for _ in 0..2 {
        let text = test_bed.next_read();
        test_bed.execute(client, text);
    }
}

/// All scenarios.
pub(crate) const SCENARIOS: [Scenario; 35] = [
    scenario(
        "writes are answered",
        |test_bed, client| write_with_fault(test_bed, client, HostBehavior::Answer),
        [2, 0, 0, 0],
    ),
    scenario(
        "a write, reset before it ran",
        |test_bed, client| write_with_fault(test_bed, client, HostBehavior::CloseBeforeExecution),
        [1, 0, 1, 0],
    ),
    scenario(
        "a write, reset after it ran",
        |test_bed, client| write_with_fault(test_bed, client, HostBehavior::CloseAfterExecution),
        [1, 0, 1, 0],
    ),
    scenario(
        "a write, its answer truncated",
        |test_bed, client| write_with_fault(test_bed, client, HostBehavior::Truncate),
        [1, 0, 1, 0],
    ),
    scenario(
        "a write, its answer malformed",
        |test_bed, client| write_with_fault(test_bed, client, HostBehavior::Malformed),
        [1, 0, 1, 0],
    ),
    scenario(
        "a write, hung before it ran",
        |test_bed, client| write_with_fault(test_bed, client, HostBehavior::HangBeforeExecution),
        [1, 0, 1, 0],
    ),
    scenario(
        "a write, hung after it ran",
        |test_bed, client| write_with_fault(test_bed, client, HostBehavior::HangAfterExecution),
        [1, 0, 1, 0],
    ),
    scenario(
        "a write, rejected once for overload",
        |test_bed, client| write_with_fault(test_bed, client, HostBehavior::Overloaded),
        [2, 0, 0, 0],
    ),
    scenario(
        "a write, met by an error",
        |test_bed, client| write_with_fault(test_bed, client, HostBehavior::InternalError),
        [1, 0, 1, 0],
    ),
    scenario(
        "a write, met by an error that drivers retry",
        |test_bed, client| write_with_fault(test_bed, client, HostBehavior::TransientError),
        [1, 0, 1, 0],
    ),
    scenario(
        "a write, answered byte by byte",
        |test_bed, client| write_with_fault(test_bed, client, HostBehavior::AnswerByteByByte),
        [2, 0, 0, 0],
    ),
    scenario(
        "a write, answered twice",
        |test_bed, client| write_with_fault(test_bed, client, HostBehavior::AnswerWithExtraBytes),
        [2, 0, 0, 0],
    ),
    scenario(
        "a write, answered with two megabytes",
        |test_bed, client| write_with_fault(test_bed, client, HostBehavior::LargeAnswer),
        [2, 0, 0, 0],
    ),
    scenario(
        "a write that leaves a transaction open",
        |test_bed, client| write_with_fault(test_bed, client, HostBehavior::LeaveTransactionOpen),
        [2, 0, 0, 0],
    ),
    scenario(
        "a write, answered late",
        |test_bed, client| {
            write_with_fault(test_bed, client, HostBehavior::AnswerAfter(Duration::from_millis(200)));
        },
        [2, 0, 0, 0],
    ),
    scenario(
        "reads are answered",
        |test_bed, client| read_with_fault(test_bed, client, HostBehavior::Answer),
        [2, 0, 0, 0],
    ),
    scenario(
        "a read, reset before it ran",
        |test_bed, client| read_with_fault(test_bed, client, HostBehavior::CloseBeforeExecution),
        [2, 0, 0, 0],
    ),
    scenario(
        "a read, reset after it ran",
        |test_bed, client| read_with_fault(test_bed, client, HostBehavior::CloseAfterExecution),
        [2, 0, 0, 0],
    ),
    scenario(
        "a read, its answer truncated",
        |test_bed, client| read_with_fault(test_bed, client, HostBehavior::Truncate),
        [2, 0, 0, 0],
    ),
    scenario(
        "a read, its answer malformed",
        |test_bed, client| read_with_fault(test_bed, client, HostBehavior::Malformed),
        [2, 0, 0, 0],
    ),
    scenario(
        "a read, hung",
        |test_bed, client| read_with_fault(test_bed, client, HostBehavior::HangBeforeExecution),
        [1, 1, 0, 0],
    ),
    scenario(
        "a read, rejected once for overload",
        |test_bed, client| read_with_fault(test_bed, client, HostBehavior::Overloaded),
        [2, 0, 0, 0],
    ),
    scenario(
        "a read, answered byte by byte",
        |test_bed, client| read_with_fault(test_bed, client, HostBehavior::AnswerByteByByte),
        [2, 0, 0, 0],
    ),
    scenario(
        "a read, answered twice",
        |test_bed, client| read_with_fault(test_bed, client, HostBehavior::AnswerWithExtraBytes),
        [2, 0, 0, 0],
    ),
    scenario(
        "a read, the replica down",
        |test_bed, client| {
            test_bed.hosts.replica.set_down(true);
            read_with_fault(test_bed, client, HostBehavior::Answer);
        },
        [2, 0, 0, 0],
    ),
    scenario(
        "reads, the replica ten seconds behind",
        |test_bed, client| {
            test_bed.hosts.replica.set_lag(Duration::from_secs(10));
            test_bed.wait_until_replica_is_avoided(client);
            let before = test_bed.replica_executions();
            read_with_fault(test_bed, client, HostBehavior::Answer);
            if test_bed.replica_executions() > before {
                test_bed.violations.push("a stale read".into());
            }
        },
        [2, 0, 0, 0],
    ),
    scenario(
        "a write, the primary down",
        |test_bed, client| {
            test_bed.hosts.primary.set_down(true);
            let text = test_bed.next_write();
            test_bed.execute(client, text);
            let text = test_bed.next_write();
            test_bed.execute(client, text);
        },
        [0, 2, 0, 0],
    ),
    scenario(
        "writes through a failover",
        |test_bed, client| {
            write_with_fault(test_bed, client, HostBehavior::Answer);
            test_bed.hosts.primary.set_primary(false);
            test_bed.hosts.replica.set_primary(true);
            test_bed.wait_until_writes_succeed(client);
            write_with_fault(test_bed, client, HostBehavior::Answer);
        },
        [2, 0, 0, 0],
    ),
    scenario(
        "a write to a primary that has just been demoted",
        |test_bed, client| {
            test_bed.hosts.primary.set_primary(false);
            let text = test_bed.next_write();
            test_bed.execute(client, text);
        },
        [0, 1, 0, 0],
    ),
    scenario(
        "session options",
        |test_bed, client| {
            test_bed.execute(client, "SET lock_timeout 3".into());
        },
        [1, 0, 0, 0],
    ),
    scenario(
        "a transaction of several statements",
        |test_bed, client| {
            test_bed.execute(client, "BEGIN TRANSACTION".into());
            test_bed.execute(client, "COMMIT".into());
        },
        [0, 0, 0, 2],
    ),
    scenario(
        "a comment that claims a read for a write",
        |test_bed, client| {
            let text = test_bed.next_write();
            test_bed.execute(client, format!("/* id=x1,c=read,d=900,cluster=0 */ {text}"));
        },
        [0, 0, 0, 1],
    ),
    scenario(
        "a comment that is stricter than its text",
        |test_bed, client| {
            let text = test_bed.next_read();
            test_bed.execute(client, format!("/* id=x2,c=write,d=900,cluster=0 */ {text}"));
        },
        [1, 0, 0, 0],
    ),
    scenario(
        "a large statement",
        |test_bed, client| {
            let text = test_bed.next_write();
            test_bed.execute(client, text.replace(", 1)", &format!(", '{}')", "luna".repeat(8_000))));
        },
        [1, 0, 0, 0],
    ),
    scenario(
        "ten writes and reads in turns",
        |test_bed, client| {
            for _ in 0..10 {
                let (write, read) = (test_bed.next_write(), test_bed.next_read());
                test_bed.execute(client, write);
                test_bed.execute(client, read);
            }
        },
        [20, 0, 0, 0],
    ),
];
