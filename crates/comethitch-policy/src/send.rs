//! The results of the send guard: why an attempt may not be sent, and which rule a sent attempt broke.

/// Why the send guard refuses an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendRefusal {
    /// The request has its final answer, or its client has disconnected.
    #[error("the request is finished")]
    RequestFinished,
    /// The attempt was cancelled, or has ended.
    #[error("the attempt has ended")]
    AttemptEnded,
    /// The client no longer waits.
    #[error("the request's deadline has passed")]
    DeadlinePassed,
    /// The host's data may be older than the read allows.
    #[error("the host's data may be too old")]
    DataTooOld,
    /// The host is draining, and too little of its drain grace is left.
    #[error("the host drains")]
    HostDrains,
    /// Another attempt may have run, and this one must not run beside or after it.
    #[error("it must not be repeated there")]
    MayNotRepeat,
}

impl SendRefusal {
    /// Returns the name in logs and counts, in snake case.
    pub fn name(self) -> &'static str {
        match self {
            SendRefusal::RequestFinished => "command_finished",
            SendRefusal::AttemptEnded => "attempt_ended",
            SendRefusal::DeadlinePassed => "deadline_passed",
            SendRefusal::DataTooOld => "data_too_old",
            SendRefusal::HostDrains => "host_drains",
            SendRefusal::MayNotRepeat => "may_not_repeat",
        }
    }
}

/// A rule that an attempt broke when its last byte was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendViolation {
    /// The client no longer waited.
    AfterDeadline,
    /// The host's drain grace had ended.
    PastDrainGrace,
    /// The host's data were older than the read allows, as far as is known here.
    DataTooOld,
    /// Another attempt may have run, and the host does not drop this one as a duplicate.
    Repeated,
}

impl SendViolation {
    /// Returns the name in logs and counts, in snake case.
    pub fn name(self) -> &'static str {
        match self {
            SendViolation::AfterDeadline => "sent_after_deadline",
            SendViolation::PastDrainGrace => "sent_past_drain_grace",
            SendViolation::DataTooOld => "sent_to_old_data",
            SendViolation::Repeated => "sent_again",
        }
    }
}
