//! The retry budget: each request adds to it, and each retry or hedged request withdraws from it.

/// Number of retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Maximum number of retries in the budget.
const MAX_RETRIES: f64 = 16.0;
/// Number of retries in the budget above which hedged requests are allowed.
const MIN_RETRIES_FOR_HEDGING: f64 = MAX_RETRIES / 2.0;

/// Number of retries that the router may still send; may be fractional.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    available: f64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub(super) fn full() -> RetryBudget {
        RetryBudget { available: MAX_RETRIES }
    }

    /// Adds the contribution of one request.
    pub(super) fn deposit(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Withdraws one retry, for a retry or a hedged request.
    pub(super) fn withdraw(&mut self) {
        self.available -= 1.0;
    }

    /// Returns whether a retry may be sent.
    pub(super) fn allows_retry(&self) -> bool {
        self.available >= 1.0
    }

    /// Returns whether a hedged request may be sent.
    pub(super) fn allows_hedging(&self) -> bool {
        self.available > MIN_RETRIES_FOR_HEDGING
    }
}

#[cfg(test)]
mod tests;
