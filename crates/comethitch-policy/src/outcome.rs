//! How attempts end, and why requests are rejected.

/// How an attempt, or a health check, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// The host answered the request.
    Answered,
    /// The host answered with an error.
    Error,
    /// The host rejected the request because it is overloaded.
    Overloaded,
    /// The host has no free connection slot.
    NoConnectionSlot,
    /// No answer arrived within the timeout.
    TimedOut,
    /// The connection to the host could not be established.
    ConnectionFailed,
    /// The connection was reset before the answer.
    ConnectionReset,
    /// The router cancelled it.
    Cancelled,
    /// The send guard refused it.
    NotSent,
    /// The host rejected the request because it is not the primary, or too far behind.
    NotPrimary,
}

impl AttemptOutcome {
    /// Returns whether this outcome proves that the request never ran.
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
    /// It needs the primary, and no primary is believed to serve: Failover, or none found yet.
    NoPrimary,
    /// It would have been queued past its deadline.
    DeadlineTooClose,
    /// Its deadline was reached, less a margin for the answer to reach the client.
    DeadlineExceeded,
    /// It was queued for so long that any answer would be late: a retry elsewhere may still help.
    QueuedTooLong,
    /// It is a non-idempotent write that was in flight to a lost primary, and may have run.
    PrimaryLost,
    /// Its attempt ended without an answer, and it may not be retried: because of its idempotency, errors of its own, or
    /// too little time.
    NotRetryable,
}

impl RejectionReason {
    /// Returns the name in logs and counts, in snake case.
    pub fn name(self) -> &'static str {
        match self {
            RejectionReason::NoPrimary => "no_primary",
            RejectionReason::DeadlineTooClose => "deadline_too_close",
            RejectionReason::DeadlineExceeded => "deadline_exceeded",
            RejectionReason::QueuedTooLong => "queued_too_long",
            RejectionReason::PrimaryLost => "primary_lost",
            RejectionReason::NotRetryable => "not_retryable",
        }
    }
}
