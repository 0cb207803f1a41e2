//! The error rate over all hosts, which distinguishes a faulty host from faulty requests.

/// Number of answers over which the moving average extends.
const AVERAGED_ANSWERS: f64 = 32.0;
/// Maximum error rate at which an error counts as a fault of its host.
const MAX_HOST_FAULT_RATE: f64 = 1.0 / 8.0;

/// Moving average of the fraction of errors among answers, over all hosts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ErrorRate {
    average: f64,
}

impl ErrorRate {
    /// Records an answer.
    pub(super) fn record(&mut self, is_error: bool) {
        self.average += (f64::from(is_error) - self.average) / AVERAGED_ANSWERS;
    }

    /// Returns whether errors are so frequent over all hosts that they are caused by the requests, not by a
    /// host.
    pub(super) fn is_widespread(&self) -> bool {
        self.average > MAX_HOST_FAULT_RATE
    }
}
