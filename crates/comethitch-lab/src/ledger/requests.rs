//! The state of one request, and the checks of its attempts and answers.

use super::operations::Operation;
use super::rule::{Rule, Violation};
use comethitch_policy::time::{Duration, Timestamp};

/// Maximum time by which the timeout forwarded to a host may exceed the client's remaining time.
const FORWARDED_TIMEOUT_TOLERANCE: Duration = Duration::from_millis(150);
/// How long an attempt may still start after its client has disconnected.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request was executed.
    Answered,
    /// The request was rejected without execution, and may be retried.
    Throttled,
    /// The request failed. It may have been executed.
    Failed,
}

/// A request: the first of its operation, or a retry by the client.
#[derive(Debug)]
pub(super) struct RequestRecord {
    id: u64,
    /// The router that the client first sent the request to.
    router: usize,
    pub operation: Operation,
    write: bool,
    deadline: Timestamp,
    answered_at: Option<Timestamp>,
    /// Attempts that ran or may have run.
    possible_runs: u32,
    /// Whether the router was killed or paused while the request was in flight, so that no answer is
    /// required.
    router_lost: bool,
    /// When the client closed its connection. Then no answer is required, and no attempt may start
    /// once [`DISCONNECT_GRACE`] has passed.
    client_disconnected_at: Option<Timestamp>,
}

impl RequestRecord {
    /// Creates the record of a request that a router has just received.
    pub(super) fn new(
        id: u64, router: usize, operation: Operation, write: bool, deadline: Timestamp,
    ) -> RequestRecord {
        RequestRecord {
            id,
            router,
            operation,
            write,
            deadline,
            answered_at: None,
            possible_runs: 0,
            router_lost: false,
            client_disconnected_at: None,
        }
    }

    fn may_have_run(&self) -> bool {
        self.possible_runs > 0
    }

    /// Returns whether the request had to be answered before `end` and was not.
    pub(super) fn is_missing_answer(&self, end: Timestamp) -> bool {
        let answer_required = !self.router_lost && self.client_disconnected_at.is_none();
        self.answered_at.is_none() && answer_required && self.deadline < end
    }

    /// Returns the violations of an attempt that is sent at this time.
    pub(super) fn check_attempt(&self, at: Timestamp, slack: Duration) -> Vec<Violation> {
        let id = self.id;
        let mut violations = Vec::new();
        let mut add = |rule, description| violations.push(Violation { rule, description });
        let disconnected = self.client_disconnected_at.filter(|left| at > *left + DISCONNECT_GRACE + slack);
        if let Some(disconnected) = disconnected {
            let description =
                format!("request {id} was sent at {at:?}, after its client disconnected at {disconnected:?}");
            add(Rule::ClientDisconnected, description);
        }
        // Without slack the events are recorded in their exact order, even those at the same time.
        let is_order_exact = slack == Duration::ZERO;
        if self.answered_at.is_some_and(|answered| is_order_exact || at > answered + slack) {
            add(Rule::OneFinalAnswer, format!("request {id} was sent at {at:?}, after its final answer"));
        }
        if self.write && self.may_have_run() {
            let description =
                format!("write {id} was sent again at {at:?}, although it may have been executed");
            add(Rule::NoDuplicateWrite, description);
        }
        violations
    }

    /// Checks the timeout that was forwarded to a host against the client's remaining time.
    pub(super) fn check_forwarded_timeout(
        &self, timeout: Duration, at: Timestamp, slack: Duration,
    ) -> Option<Violation> {
        let remaining = self.deadline - at;
        if timeout <= remaining + FORWARDED_TIMEOUT_TOLERANCE + slack {
            return None;
        }
        let id = self.id;
        let description =
            format!("request {id} had {remaining:?} left, but its host was sent a timeout of {timeout:?}");
        Some(Violation { rule: Rule::ForwardedTimeout, description })
    }

    /// Counts an attempt that will run, and checks that a write runs only once.
    pub(super) fn add_possible_run(&mut self) -> Option<Violation> {
        self.possible_runs += 1;
        let repeated = self.write && self.possible_runs > 1;
        let description = format!("write {} was executed twice", self.id);
        repeated.then_some(Violation { rule: Rule::NoDuplicateWrite, description })
    }

    /// Subtracts an attempt that was withdrawn before it ran.
    pub(super) fn remove_possible_run(&mut self) {
        self.possible_runs = self.possible_runs.saturating_sub(1);
    }

    /// Records a final answer, and returns its violations.
    pub(super) fn receive_answer(
        &mut self, answer: Answer, at: Timestamp, slack: Duration,
    ) -> Vec<Violation> {
        let RequestRecord { id, router, deadline, .. } = *self;
        let is_second = self.answered_at.replace(at).is_some();
        let mut violations = Vec::new();
        let mut add = |rule, description| violations.push(Violation { rule, description });
        if is_second {
            add(Rule::OneFinalAnswer, format!("request {id} got a second final answer at {at:?}"));
        }
        if at > deadline + slack {
            let delay = at - deadline;
            let description = format!(
                "request {id} was {answer:?} by router {router} at {at:?}, {delay:?} after its deadline {deadline:?}"
            );
            add(Rule::OneFinalAnswer, description);
        }
        if answer == Answer::Throttled && self.write && self.may_have_run() {
            let description = format!("write {id} was throttled, although it may have been executed");
            add(Rule::NoDuplicateWrite, description);
        }
        violations
    }

    /// Records that the client closed its connection.
    pub(super) fn client_disconnected(&mut self, at: Timestamp) {
        self.client_disconnected_at = Some(at);
    }

    /// Records that the router was killed or paused.
    pub(super) fn router_lost(&mut self) {
        self.router_lost = true;
    }
}
