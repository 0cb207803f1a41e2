//! How attempts end, and why requests are rejected.

/// How an attempt, or a health check, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// The host answered the request.
    Answered,
    /// The host answered with an error.
    Error,
    /// The host rejected it as it has too much to do.
    Overloaded,
    /// The host has no slot for one more connection.
    NoConnectionSlot,
    /// No answer came within its timeout.
    TimedOut,
    /// No connection to the host could be made.
    ConnectionFailed,
    /// The connection broke before the answer.
    ConnectionReset,
    /// The router withdrew it.
    Cancelled,
    /// It was not sent, as it might not be any more.
    NotSent,
    /// The host rejected it as it is no primary, or too far behind.
    NotPrimary,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the request never ran.
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

    /// Whether the host answered the request, be it only to reject it.
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

/// Which check rejected a request, and so where to look when many are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// Only the primary could take it, and no primary is believed to serve: Failover, or none found yet.
    NoPrimary,
    /// It had to wait, and its time would be out before the next tick.
    DeadlineTooClose,
    /// Its time was out, less one tick for the answer to reach the client.
    DeadlineExceeded,
    /// It was queued so long that any answer could only come late: a retry elsewhere may still be of use.
    QueuedTooLong,
    /// A mutating write was in flight to a primary that was lost: it may have run.
    PrimaryLost,
    /// Its attempt ended without an answer, and it may not be retried: by its idempotency, errors of its own, or
    /// too little time.
    NotRetryable,
}

impl RejectionReason {
    /// The name in logs and counts, in snake case: `no_primary` and so on.
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
