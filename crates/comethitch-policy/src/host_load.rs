//! The load of a host: the work that this router has in flight there, the limits on it, and the usage of slow
//! start.

use crate::histogram::Histogram;
use crate::time::{Duration, Timestamp};
use comethitch_fleet::concurrency_limit::{ConcurrencyLimit, EndedWork};
use comethitch_fleet::connection_slots::ConnectionSlots;
use comethitch_fleet::decaying_counter::DecayingCounter;
use comethitch_fleet::quota::{Window, WindowUsage};

/// Duration that represents a relative latency of 1 in the histogram, which can store durations only.
const RELATIVE_LATENCY_UNIT: Duration = Duration::from_millis(1);

/// The load of a host, as far as this router causes it or the host reports it.
#[derive(Default)]
pub(crate) struct HostLoad {
    /// Number of requests queued at the host at its last report.
    queue_length: f64,
    concurrency: ConcurrencyLimit,
    connection_slots: ConnectionSlots,
    /// Service times of answered attempts, as multiples of the median of their request class. A multiple of 1
    /// is stored as [`RELATIVE_LATENCY_UNIT`].
    relative_latency: Histogram,
    /// Cost of the attempts sent, decaying over the slow-start window.
    work_sent: DecayingCounter,
    /// Cost of the attempts answered, decaying over the slow-start window.
    work_answered: DecayingCounter,
    /// Cost of the attempts sent in the current slow-start window.
    slow_start_usage: WindowUsage,
}

impl HostLoad {
    /// Returns the load of a host that was just listed for the first time. `relative_latency` must be an
    /// empty histogram whose first bin ends well below [`RELATIVE_LATENCY_UNIT`].
    pub(crate) fn new(relative_latency: Histogram) -> HostLoad {
        HostLoad { relative_latency, ..HostLoad::default() }
    }

    /// Returns the number of requests queued at the host at its last report.
    pub(crate) fn queue_length(&self) -> f64 {
        self.queue_length
    }

    /// Records the reported number of queued requests.
    pub(crate) fn set_queue_length(&mut self, queue_length: f64) {
        self.queue_length = queue_length;
    }

    /// Returns the work that this router has in flight at the host.
    pub(crate) fn in_flight(&self) -> Duration {
        self.concurrency.in_flight
    }

    /// Returns the limit on the work in flight.
    pub(crate) fn limit(&self) -> Duration {
        self.concurrency.limit
    }

    /// Sets the limit on the work in flight.
    pub(crate) fn set_limit(&mut self, limit: Duration) {
        self.concurrency.limit = limit;
    }

    /// Returns whether the concurrency limit, multiplied by `limit_multiple`, admits additional work.
    /// `sample` is a uniformly distributed number in `0.0..1.0`.
    pub(crate) fn admits(&self, work: Duration, limit_multiple: f64, sample: f64) -> bool {
        self.concurrency.admits(work, limit_multiple, sample)
    }

    /// Returns whether the host is expected to have a connection slot for one more attempt.
    pub(crate) fn has_free_connection(&self, now: Timestamp) -> bool {
        self.connection_slots.has_free(now)
    }

    /// Records that the host rejected a connection for lack of slots.
    pub(crate) fn record_connection_rejected(
        &mut self, hash_seed: u64, host_key: u64, connect_timeout: Duration, now: Timestamp,
    ) {
        self.connection_slots.connection_rejected(hash_seed, host_key, connect_timeout, now);
    }

    /// Records that an attempt is sent in the given slow-start window. `cost` is charged to the slow-start
    /// budget.
    pub(crate) fn record_sent(&mut self, work: Duration, cost: f64, window: &Window) {
        self.concurrency.in_flight += work;
        self.work_sent.add(cost, window.now, window.length);
        self.slow_start_usage.add(cost, window);
        self.connection_slots.attempt_sent(window.now);
    }

    /// Subtracts the cost of an attempt that caused no work at the host from the work sent.
    pub(crate) fn refund_sent(&mut self, cost: f64) {
        self.work_sent.subtract(cost);
    }

    /// Releases the connection slot of an attempt.
    pub(crate) fn release_connection(&mut self, sent_at: Timestamp, answered: bool) {
        self.connection_slots.attempt_ended(sent_at, answered);
    }

    /// Releases the work of an ended attempt, and adapts the concurrency limit to how it ended.
    pub(crate) fn release_work(&mut self, ended: EndedWork, now: Timestamp) {
        self.concurrency.record_end(ended, now);
    }

    /// Records an answered attempt: `cost` decays over the slow-start window `window`, and `relative_latency`
    /// is the service time as a multiple of the median of the request class.
    pub(crate) fn record_answer(
        &mut self, cost: f64, window: Duration, relative_latency: f64, now: Timestamp,
    ) {
        self.work_answered.add(cost, now, window);
        let micros = relative_latency * RELATIVE_LATENCY_UNIT.as_micros() as f64;
        self.relative_latency.add(Duration::from_micros(micros as u64));
    }

    /// Returns the cost of the attempts sent, decayed over the slow-start window.
    pub(crate) fn work_sent(&self, now: Timestamp, window: Duration) -> f64 {
        self.work_sent.value(now, window)
    }

    /// Returns the cost of the attempts answered, decayed over the slow-start window.
    pub(crate) fn work_answered(&self, now: Timestamp, window: Duration) -> f64 {
        self.work_answered.value(now, window)
    }

    /// Returns whether the budget for this slow-start window admits an attempt of this cost.
    pub(crate) fn slow_start_admits(&self, cost: f64, budget: f64, window: &Window) -> bool {
        self.slow_start_usage.admits(cost, budget, window)
    }

    /// Returns the median relative latency of the host, but at least 1: a host that is faster than usual
    /// counts as a usual one.
    pub(crate) fn slowness(&self) -> f64 {
        let unit = RELATIVE_LATENCY_UNIT.as_micros() as f64;
        let median = self.relative_latency.quantile(0.5);
        median.map_or(1.0, |median| (median.as_micros() as f64 / unit).max(1.0))
    }
}
