//! The retry budget: requests add to it, retries and hedged requests spend it.

/// Number of retries that each request adds.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Maximum number of retries saved up.
const MAX_RETRIES: f64 = 16.0;
/// Number of saved retries above which hedged requests are allowed.
const MIN_FOR_HEDGING: f64 = MAX_RETRIES / 2.0;

/// Number of retries that the router may still send, in fractions.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    available: f64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub(super) fn full() -> RetryBudget {
        RetryBudget { available: MAX_RETRIES }
    }

    /// Adds what one request contributes.
    pub(super) fn deposit(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Takes out one retry, for a retry or a hedged request.
    pub(super) fn withdraw(&mut self) {
        self.available -= 1.0;
    }

    /// Returns whether a retry may be sent.
    pub(super) fn allows_retry(&self) -> bool {
        self.available >= 1.0
    }

    /// Returns whether a hedged request may be sent.
    pub(super) fn allows_hedging(&self) -> bool {
        self.available > MIN_FOR_HEDGING
    }
}

#[cfg(test)]
mod tests;
