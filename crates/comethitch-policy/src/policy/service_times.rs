//! Service times by request class, and the estimates made from them.

use crate::RequestClass;
use crate::histogram::Histogram;
use crate::time::Duration;

/// How a request class's service time is estimated.
struct Estimate {
    /// Quantile of the observed times, 0 to 1.
    quantile: f64,
    /// The latency objective over this is the estimate before the first answer.
    objective_divisor: u64,
}

/// Estimate of a request's work, low as most answers include time in the host's queue.
const WORK: Estimate = Estimate { quantile: 0.3, objective_divisor: 8 };
/// Estimate of the median answer time.
const MEDIAN: Estimate = Estimate { quantile: 0.5, objective_divisor: 4 };
/// Estimate of the time that a queued request must still have.
const CONSERVATIVE: Estimate = Estimate { quantile: 0.8, objective_divisor: 4 };
/// The first histogram bin ends at the latency objective over this.
const LOWEST_BIN_DIVISOR: u64 = 64;
/// Number of observations at which a histogram halves its counts.
const HISTOGRAM_CAPACITY: u32 = 256;

/// Observed service times of one request class.
struct ClassTimes {
    latency_objective: Duration,
    observed: Histogram,
}

/// Observed service times of all request classes.
pub(super) struct ServiceTimes {
    by_class: Vec<ClassTimes>,
}

impl ServiceTimes {
    /// Returns empty statistics for these request classes.
    pub(super) fn new(classes: &[RequestClass]) -> ServiceTimes {
        let class_times = |class: &RequestClass| ClassTimes {
            latency_objective: class.latency_objective,
            observed: Histogram::new(class.latency_objective / LOWEST_BIN_DIVISOR, HISTOGRAM_CAPACITY),
        };
        ServiceTimes { by_class: classes.iter().map(class_times).collect() }
    }

    /// Records how long an answered attempt took.
    pub(super) fn record(&mut self, request_class: usize, took: Duration) {
        self.by_class[request_class].observed.add(took);
    }

    /// Estimates the work of a request: the time that a host needs for it without queueing.
    pub(super) fn work(&self, request_class: usize) -> Duration {
        self.estimate(request_class, &WORK)
    }

    /// Estimates the median answer time.
    pub(super) fn median(&self, request_class: usize) -> Duration {
        self.estimate(request_class, &MEDIAN)
    }

    /// Estimates the time within which most requests are answered.
    pub(super) fn conservative(&self, request_class: usize) -> Duration {
        self.estimate(request_class, &CONSERVATIVE)
    }

    fn estimate(&self, request_class: usize, estimate: &Estimate) -> Duration {
        let times = &self.by_class[request_class];
        let observed = times.observed.quantile(estimate.quantile);
        observed.unwrap_or(times.latency_objective / estimate.objective_divisor)
    }
}
