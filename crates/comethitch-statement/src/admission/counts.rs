//! Counts of statements by the outcome of their admission, as reported in the daemon's log.

/// Counts of classified, admitted and rejected statements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Statements by effect, in the order of
    /// [`StatementAdmission::EFFECTS`](super::StatementAdmission::EFFECTS).
    pub effects: [u64; 5],
    /// Statements whose shape was cached.
    pub cache_hits: u64,
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
    /// Statements assigned to another request class than their comment names, since that class does not allow
    /// their effect.
    pub raised: u64,
}
