//! Outcomes of attempts, and reasons for which requests are rejected.

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// The host answered the request.
    Answered,
    /// The host answered with an error.
    Error,
    /// The host rejected the request because the host is overloaded.
    Overloaded,
    /// The host has no free connection slot.
    NoConnectionSlot,
    /// No answer arrived within the timeout.
    TimedOut,
    /// The connection to the host could not be established.
    ConnectionFailed,
    /// The connection was reset before the answer arrived.
    ConnectionReset,
    /// The router cancelled the attempt.
    Cancelled,
    /// The send guard refused the attempt, so that it was not sent.
    NotSent,
    /// The host rejected the request because the host is not the primary or its data are too old for the
    /// read.
    NotPrimary,
}

impl AttemptOutcome {
    /// Returns whether this outcome proves that the host never executed the request.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Overloaded
                | AttemptOutcome::NoConnectionSlot
                | AttemptOutcome::ConnectionFailed
                | AttemptOutcome::NotSent
                | AttemptOutcome::NotPrimary
        )
    }

    /// Returns whether the host answered the request, even if only to reject it.
    pub fn is_answer(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Answered
                | AttemptOutcome::NotPrimary
                | AttemptOutcome::Error
                | AttemptOutcome::Overloaded
        )
    }
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The request needs the primary, and none is considered to serve requests: the shard is in Failover, no
    /// primary has been found yet, or the primary is unreachable, past its drain grace or last reported to be
    /// a replica.
    NoPrimary,
    /// The request would have had to wait, and its deadline was too close.
    DeadlineTooClose,
    /// The deadline of the request was reached, less a margin within which the rejection still reaches the
    /// client.
    DeadlineExceeded,
    /// The request was queued for so long that any answer would be late. The client may still get an
    /// answer in time if it retries elsewhere.
    QueuedTooLong,
    /// The request is a non-idempotent write that was in flight to a lost primary and may have been executed.
    PrimaryLost,
    /// The last attempt ended without the final answer, and the request may not be retried: because of its
    /// idempotency, because the request itself causes errors, because the maximum number of attempts is
    /// reached, or because its deadline is too close.
    NotRetryable,
    /// The router is shutting down, and the time for requests in progress is over.
    ShuttingDown,
}

impl RejectionReason {
    /// Returns the name used in logs and metrics, in snake case.
    pub fn name(self) -> &'static str {
        match self {
            RejectionReason::NoPrimary => "no_primary",
            RejectionReason::DeadlineTooClose => "deadline_too_close",
            RejectionReason::DeadlineExceeded => "deadline_exceeded",
            RejectionReason::QueuedTooLong => "queued_too_long",
            RejectionReason::PrimaryLost => "primary_lost",
            RejectionReason::NotRetryable => "not_retryable",
            RejectionReason::ShuttingDown => "shutting_down",
        }
    }
}
