//! What the check of an attempt that is about to leave may say, and what an attempt that has left may have broken.

/// Why an attempt may not leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendRefusal {
    /// The request has its final answer, or its client is gone.
    #[error("the command is finished")]
    RequestFinished,
    /// The attempt was cancelled, or has ended.
    #[error("the attempt has ended")]
    AttemptEnded,
    /// Its client waits no longer.
    #[error("the command's deadline has passed")]
    DeadlinePassed,
    /// The host's data may be older than the read allows.
    #[error("the host's data may be too old")]
    DataTooOld,
    /// The host drains, and too little of its grace is left.
    #[error("the host drains")]
    HostDrains,
    /// Another attempt may have run, and this one must not run beside or after it.
    #[error("it must not be repeated there")]
    MayNotRepeat,
}

impl SendRefusal {
    /// The name in logs and counts.
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

/// A rule that an attempt broke as its last byte left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendViolation {
    /// Its client waited no longer.
    AfterDeadline,
    /// The host's drain grace was over.
    PastDrainGrace,
    /// The host's data were older than the read allows, as far as is known here.
    DataTooOld,
    /// Another attempt may have run, and its repetition is not dropped there.
    Repeated,
}

impl SendViolation {
    /// The name in logs and counts.
    pub fn name(self) -> &'static str {
        match self {
            SendViolation::AfterDeadline => "sent_after_deadline",
            SendViolation::PastDrainGrace => "sent_past_drain_grace",
            SendViolation::DataTooOld => "sent_to_old_data",
            SendViolation::Repeated => "sent_again",
        }
    }
}
