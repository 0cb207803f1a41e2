//! The results of the send guard: why an attempt may not be sent, and which rule a sent attempt has broken.

/// Why the send guard refuses an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendRefusal {
    /// The request has its final answer, or its client has disconnected.
    #[error("the request is finished")]
    RequestFinished,
    /// The attempt was cancelled, or has ended.
    #[error("the attempt has ended")]
    AttemptEnded,
    /// The deadline of the request has passed, so its client no longer waits.
    #[error("the request's deadline has passed")]
    DeadlinePassed,
    /// The request needs a primary, and the host is no longer believed to be one.
    #[error("the host is no longer believed to be the primary")]
    NotPrimary,
    /// The data of the host may be older than the read allows.
    #[error("the host's data may be too old")]
    DataTooOld,
    /// The host is draining, and too little of its drain grace is left.
    #[error("the host is draining, and too little of its drain grace is left")]
    HostDrains,
    /// Another attempt may have been executed or may still be, and this one could take effect in addition, or
    /// would be a hedged request although hedging is not allowed.
    #[error("another attempt may have been executed, and the request must not be repeated at this host")]
    MayNotRepeat,
}

impl SendRefusal {
    /// Returns the name used in logs and metrics, in snake case.
    pub fn name(self) -> &'static str {
        match self {
            SendRefusal::RequestFinished => "command_finished",
            SendRefusal::AttemptEnded => "attempt_ended",
            SendRefusal::DeadlinePassed => "deadline_passed",
            SendRefusal::NotPrimary => "not_primary",
            SendRefusal::DataTooOld => "data_too_old",
            SendRefusal::HostDrains => "host_drains",
            SendRefusal::MayNotRepeat => "may_not_repeat",
        }
    }
}

/// The rule that an attempt had broken when its last byte was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendViolation {
    /// The deadline of the request had passed.
    AfterDeadline,
    /// The drain grace of the host had ended.
    PastDrainGrace,
    /// The data of the host were older than the read allows, as far as the router knows.
    DataTooOld,
    /// Another attempt may have been executed or may still be, and this one may take effect in addition, or
    /// was a hedged request although hedging is not allowed.
    Repeated,
}

impl SendViolation {
    /// Returns the name used in logs and metrics, in snake case.
    pub fn name(self) -> &'static str {
        match self {
            SendViolation::AfterDeadline => "sent_after_deadline",
            SendViolation::PastDrainGrace => "sent_past_drain_grace",
            SendViolation::DataTooOld => "sent_to_old_data",
            SendViolation::Repeated => "sent_again",
        }
    }
}
