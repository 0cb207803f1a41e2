//! Counts of admission, for the daemon's log line.

/// Counts of what was done with statements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Statements by effect, in the order of [`StatementAdmission::EFFECTS`](super::StatementAdmission::EFFECTS).
    pub effects: [u64; 5],
    /// Statements of shapes in the cache.
    pub hits: u64,
    /// Statements that were parsed.
    pub parsed: u64,
    /// Statements that servers may read in several ways.
    pub ambiguous: u64,
    /// Statements past the budget of their client.
    pub client_budget_exhausted: u64,
    /// Statements past the budget of all clients.
    pub total_budget_exhausted: u64,
    /// Statements that could not become a command.
    pub rejected: u64,
    /// Statements raised above the request class of their comment.
    pub raised: u64,
}
