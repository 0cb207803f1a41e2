//! Totals of final answers and the distribution of latencies.

use super::requests::Answer;
use comethitch_policy::time::Duration;
use hdrhistogram::Histogram;

/// Maximum value of the latency histogram, in microseconds. Longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Number of significant decimal digits that the histogram keeps.
const LATENCY_DIGITS: u8 = 3;

/// Numbers of final answers by kind, and the latencies of answered requests.
#[derive(Debug)]
pub(super) struct AnswerTotals {
    pub answered: u64,
    pub throttled: u64,
    pub failed: u64,
    latencies_us: Histogram<u64>,
}

impl Default for AnswerTotals {
    fn default() -> AnswerTotals {
        AnswerTotals {
            answered: 0,
            throttled: 0,
            failed: 0,
            latencies_us: Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)
                .expect("the bounds and digits are allowed"),
        }
    }
}

impl AnswerTotals {
    /// Counts an answer, and the latency of its operation if the request was answered.
    pub(super) fn count(&mut self, answer: Answer, latency: Duration) {
        match answer {
            Answer::Answered => {
                self.answered += 1;
                self.latencies_us.saturating_record(latency.as_micros());
            }
            Answer::Throttled => self.throttled += 1,
            Answer::Failed => self.failed += 1,
        }
    }

    /// Returns a quantile of the latencies of answered requests, in milliseconds.
    pub(super) fn latency_quantile_ms(&self, quantile: f64) -> f64 {
        self.latencies_us.value_at_quantile(quantile) as f64 / 1e3
    }
}
