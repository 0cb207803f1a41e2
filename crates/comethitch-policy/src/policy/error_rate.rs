//! The rate of errors over all hosts, which tells a faulty host from faulty requests.

/// Number of answers that the moving average covers.
const AVERAGED_ANSWERS: f64 = 32.0;
/// Maximum rate at which errors count as their host's fault.
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

    /// Returns whether errors are so frequent over all hosts that they are the requests' fault.
    pub(super) fn is_widespread(&self) -> bool {
        self.average > MAX_HOST_FAULT_RATE
    }
}
