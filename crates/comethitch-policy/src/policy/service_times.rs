//! Service times by request class, and estimates based on them.

use crate::RequestClass;
use crate::histogram::Histogram;
use crate::time::Duration;

/// Parameters of an estimate of a request class's service time.
struct Estimate {
    /// Quantile of the observed times, 0 to 1.
    quantile: f64,
    /// Divisor of the latency objective: the quotient is the estimate before the first answer.
    objective_divisor: u64,
}

/// Estimate of a request's work. The quantile is low because most answer times include time in the host's
/// queue.
const WORK: Estimate = Estimate { quantile: 0.3, objective_divisor: 8 };
/// Estimate of the median answer time.
const MEDIAN: Estimate = Estimate { quantile: 0.5, objective_divisor: 4 };
/// Estimate of the time that must be left for a queued request to be answered.
const CONSERVATIVE: Estimate = Estimate { quantile: 0.8, objective_divisor: 4 };
/// Divisor of the latency objective: the lowest histogram bin ends at 1/64 of it.
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

    /// Records the time that an answered attempt took.
    pub(super) fn record(&mut self, request_class: usize, service_time: Duration) {
        self.by_class[request_class].observed.add(service_time);
    }

    /// Estimates the work of a request, which is the time that a host needs for it without queueing.
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
