//! Counts of admission, for the daemon's log line.

/// Counts of classified, admitted and rejected statements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Statements by effect, in the order of [`StatementAdmission::EFFECTS`](super::StatementAdmission::EFFECTS).
    pub effects: [u64; 5],
    /// Statements whose shape was cached.
    pub hits: u64,
    /// Statements that were parsed.
    pub parsed: u64,
    /// Statements that servers may read in different ways.
    pub ambiguous: u64,
    /// Statements not parsed because their client's budget was exhausted.
    pub client_budget_exhausted: u64,
    /// Statements not parsed because the budget of all clients was exhausted.
    pub total_budget_exhausted: u64,
    /// Statements that could not be assigned.
    pub rejected: u64,
    /// Statements raised above the request class of their comment.
    pub raised: u64,
}
