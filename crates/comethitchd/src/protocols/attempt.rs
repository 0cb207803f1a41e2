//! Runs one attempt of a request: spawns a task for the protocol's exchange with the host, and reports the
//! outcome to the policy.

use crate::protocols::streamed_answer::StreamedAnswer;
use crate::stages::policy_driver;
use crate::state::pending_requests::Statement;
use crate::state::protocol::AttemptResult;
use crate::state::router_state::RouterState;
use crate::state::socket::Socket;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{AttemptOutcome, Host, RequestId, SendRefusal};
use std::future::Future;
use std::rc::{Rc, Weak};

/// Maximum time for which a client may not have been seen when an attempt is sent. The rules forbid attempts that
/// begin more than 100 ms after a disconnect; a poll interval is left for noticing it.
const MAX_UNSEEN_TIME: std::time::Duration = std::time::Duration::from_millis(75);

/// Reasons why an attempt is not sent although a connection is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum SendRefused {
    /// The client has closed its connection, or the sending half of it.
    #[error("the client has disconnected")]
    ClientGone,
    /// The client may be gone: too much of its input is unread for the end of its connection to be seen, and it was
    /// not seen for longer than [`MAX_UNSEEN_TIME`].
    #[error("the client may have disconnected")]
    ClientMayBeGone,
    /// The host reads the request so slowly that the remaining time stated in it is out of date.
    #[error("the host reads the request too slowly")]
    HostReadsSlowly,
    /// The policy's send guard refuses the attempt.
    #[error(transparent)]
    Policy(#[from] SendRefusal),
}

impl SendRefused {
    /// Returns the name used in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            SendRefused::ClientGone => "client_gone",
            SendRefused::ClientMayBeGone => "client_may_be_gone",
            SendRefused::HostReadsSlowly => "host_reads_slowly",
            SendRefused::Policy(refusal) => refusal.name(),
        }
    }
}

/// One attempt of a request.
pub(super) struct Attempt {
    /// The router's state.
    pub state: Rc<RouterState>,
    /// The host that the attempt is sent to.
    pub host: Host,
    /// The time at which the attempt times out.
    pub deadline: Timestamp,
    /// The request's statement.
    pub statement: Rc<Statement>,
    /// The answer, which is streamed if it becomes large.
    pub streamed_answer: StreamedAnswer,
    client: Weak<Socket>,
    request: RequestId,
    /// Number of the attempt within its request, counted from 0.
    number: u16,
}

impl Attempt {
    /// Returns the request's id in the policy.
    pub(super) fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the time left until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline - self.state.clock.now()
    }

    /// Checks right before a write that the client is still connected and that the policy's send guard still
    /// admits the attempt. Either may have changed since the attempt started: connecting may take long, the
    /// host may read slowly, and the event loop may have stalled.
    ///
    /// # Errors
    /// The reason why the attempt must not be sent.
    pub(super) fn check_send(&self) -> Result<(), SendRefused> {
        self.check_client()?;
        let router = self.state.policy();
        let handle = router.handle(self.request).ok_or(SendRefusal::RequestFinished)?;
        Ok(handle.check_send(&router, self.number, self.state.clock.now())?)
    }

    /// Checks that the client is still connected.
    fn check_client(&self) -> Result<(), SendRefused> {
        let client = self.client.upgrade().filter(|client| !client.has_ended());
        let client = client.ok_or(SendRefused::ClientGone)?;
        if client.unseen_for() > MAX_UNSEEN_TIME {
            return Err(SendRefused::ClientMayBeGone);
        }
        Ok(())
    }

    /// Records a violation if the last byte was written too late, although the check before the write passed:
    /// the process may have been suspended between the two.
    pub(super) fn verify_sent(&self) {
        let router = self.state.policy();
        let now = self.state.clock.now();
        let handle = router.handle(self.request);
        if let Some(violation) = handle.and_then(|handle| handle.send_violation(&router, self.number, now)) {
            let late = now - self.deadline;
            self.state.record_violation(violation.name(), &self.statement.client_id, late);
        }
    }

    fn host_name(&self) -> String {
        self.state.hosts.directory().name(self.host).to_string()
    }

    fn log_start(&self) {
        let id = &self.statement.client_id;
        log::debug!(id, host = self.host_name().as_str(), attempt = self.number; "attempt started");
    }

    fn log_end(&self, outcome: AttemptOutcome) {
        let id = &self.statement.client_id;
        log::debug!(id, host = self.host_name().as_str(), attempt = self.number, outcome:?; "attempt ended");
    }

    /// Counts and logs that the attempt was not sent.
    pub(super) fn record_refused(&self, refused: SendRefused) {
        let reason = refused.name();
        self.state.metrics.sends_refused.increment(reason);
        let id = &self.statement.client_id;
        log::debug!(id, host = self.host_name().as_str(), attempt = self.number, reason; "attempt not sent");
    }
}

/// Starts the request's next attempt, which runs the protocol's exchange `send` with the host.
///
/// If the timeout has already expired, as after a stall of the event loop, nothing is sent and the attempt's
/// number is returned, so that the caller can end the attempt without counting its end against the host.
pub(super) fn start<F: Future<Output = AttemptResult> + 'static>(
    state: &Rc<RouterState>, request: RequestId, host: Host, timeout: Duration,
    send: impl FnOnce(Rc<Attempt>) -> F + 'static,
) -> Option<u16> {
    let requests = &state.requests;
    let statement = requests.statement(request)?;
    let number = requests.next_attempt(request);
    if timeout == Duration::ZERO {
        requests.record_attempt(request, None);
        return Some(number);
    }
    let attempt = Rc::new(Attempt {
        state: state.clone(),
        host,
        deadline: state.clock.now() + timeout,
        statement,
        streamed_answer: StreamedAnswer::new(state, request, number),
        client: requests.client(request),
        request,
        number,
    });
    let task = state.tasks.spawn(run(attempt.clone(), send));
    requests.record_attempt(request, Some(task));
    attempt.log_start();
    None
}

/// Runs an attempt to its end, then records and reports its outcome.
async fn run<F: Future<Output = AttemptResult>>(attempt: Rc<Attempt>, send: impl FnOnce(Rc<Attempt>) -> F) {
    let state = attempt.state.clone();
    let started = state.clock.now();
    let mut result = send(attempt.clone()).await;
    result.already_reported = attempt.streamed_answer.has_started();
    let shape = attempt.statement.shape.as_ref();
    if let Some(shape) = shape.filter(|_| result.completion.is_ok()) {
        state.statement_rules.record_latency(shape, state.clock.now() - started);
    }
    attempt.log_end(result.outcome());
    state.record_host_outcome(attempt.host, result.outcome(), result.trailer.role);
    policy_driver::attempt_ended(&state, attempt.request, attempt.number, result);
}
