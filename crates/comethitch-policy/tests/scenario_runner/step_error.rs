//! Why a step of a scenario fails.

use comethitch_policy::SendRefusal;

/// A step that did not see what it expects.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StepError {
    /// The step names a request that the router does not know.
    #[error("no such request is in progress")]
    UnknownRequest,
    /// The send guard refuses an attempt that may be sent.
    #[error("the attempt may not be sent: {0}")]
    SendRefused(SendRefusal),
    /// The send guard passes an attempt that may not be sent.
    #[error("the attempt may be sent")]
    SendAllowed,
    /// More host entries are allocated than allowed.
    #[error("{allocated} entries are allocated")]
    TooManyEntries {
        /// Number of allocated entries.
        allocated: usize,
    },
    /// No action matches the pattern.
    #[error("not seen: {unread:?}")]
    NotSeen {
        /// The actions since the last one that was expected.
        unread: Vec<String>,
    },
    /// An action matches a pattern that none may match.
    #[error("seen: {action}")]
    Seen {
        /// The action.
        action: String,
    },
    /// More actions match the pattern than allowed.
    #[error("seen {count} times")]
    SeenTooOften {
        /// Number of actions.
        count: usize,
    },
}
