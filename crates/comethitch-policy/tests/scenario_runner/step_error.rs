//! The reasons why a step of a scenario fails.

use comethitch_policy::SendRefusal;

/// An expectation of a step that is not met.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StepError {
    /// The step names a request that is not in progress.
    #[error("the request is not in progress")]
    UnknownRequest,
    /// The send guard refuses an attempt, but the step expects that it is allowed.
    #[error("the send guard refuses the attempt: {0}")]
    SendRefused(SendRefusal),
    /// The send guard allows an attempt, but the step expects that it is refused.
    #[error("the send guard allows the attempt")]
    SendAllowed,
    /// More host entries are allocated than allowed.
    #[error("{allocated} host entries are allocated")]
    TooManyHostEntries {
        /// Number of allocated host entries.
        allocated: usize,
    },
    /// No action matches the pattern.
    #[error("no action matches the pattern; actions since the last match: {unmatched:?}")]
    NoMatch {
        /// The actions since the last match, or since the last `at` step if that is later.
        unmatched: Vec<String>,
    },
    /// An action matches a pattern that no action may match.
    #[error("an action matches the pattern: {action}")]
    UnexpectedMatch {
        /// The action.
        action: String,
    },
    /// More actions match the pattern than the step allows.
    #[error("{count} actions match the pattern")]
    TooManyMatches {
        /// Number of actions that match.
        count: usize,
    },
}
