//! A host's load: the work that this router has in flight there, its limits, and its slow start.

use crate::histogram::Histogram;
use crate::time::{Duration, Timestamp};
use comethitch_fleet::concurrency_limit::{ConcurrencyLimit, EndedWork};
use comethitch_fleet::connection_slots::ConnectionSlots;
use comethitch_fleet::decaying_counter::DecayingCounter;
use comethitch_fleet::quota::{Window, WindowUsage};

/// The relative latency of one, as the histogram of durations stores it.
const RELATIVE_LATENCY_UNIT: Duration = Duration::from_millis(1);

/// The load of a host, as far as this router causes or sees it.
#[derive(Default)]
pub(crate) struct HostLoad {
    queue_length: f64,
    concurrency: ConcurrencyLimit,
    connection_slots: ConnectionSlots,
    /// Answer times relative to the median of their request class, in [`RELATIVE_LATENCY_UNIT`]s.
    relative_latency: Histogram,
    /// Cost of what was sent, decaying over the slow-start window.
    work_sent: DecayingCounter,
    /// Cost of what was answered, decaying over the slow-start window.
    work_answered: DecayingCounter,
    /// Cost of what was sent in the current slow-start window.
    slow_start_usage: WindowUsage,
}

impl HostLoad {
    /// Returns the load of a host that was just listed. The histogram is empty; its lowest bin ends at a fraction of
    /// the relative latency of one, which a millisecond stands for.
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

    /// Returns whether the concurrency limit, times a multiple, admits more work. `sample` is a draw from 0 to 1.
    pub(crate) fn admits(&self, work: Duration, limit_multiple: f64, sample: f64) -> bool {
        self.concurrency.admits(work, limit_multiple, sample)
    }

    /// Returns whether the host accepts one more connection, as far as is known.
    pub(crate) fn has_free_connection(&self, now: Timestamp) -> bool {
        self.connection_slots.has_free(now)
    }

    /// Records that the host rejected a connection for lack of slots.
    pub(crate) fn record_connection_rejected(
        &mut self, hash_seed: u64, host_key: u64, connect_timeout: Duration, now: Timestamp,
    ) {
        self.connection_slots.connection_rejected(hash_seed, host_key, connect_timeout, now);
    }

    /// Records an attempt that is sent in this slow-start window. `cost` is its cost in the slow-start budget.
    pub(crate) fn record_sent(&mut self, work: Duration, cost: f64, window: &Window) {
        self.concurrency.in_flight += work;
        self.work_sent.add(cost, window.now, window.length);
        self.slow_start_usage.add(cost, window);
        self.connection_slots.attempt_sent(window.now);
    }

    /// Takes back the cost of an attempt that did no work at the host.
    pub(crate) fn refund_sent(&mut self, cost: f64) {
        self.work_sent.subtract(cost);
    }

    /// Releases the connection slot of an attempt.
    pub(crate) fn release_connection(&mut self, sent_at: Timestamp, answered: bool) {
        self.connection_slots.attempt_ended(sent_at, answered);
    }

    /// Releases the work of an attempt, and adapts the concurrency limit to how it ended.
    pub(crate) fn release_work(&mut self, ended: EndedWork, now: Timestamp) {
        self.concurrency.record_end(ended, now);
    }

    /// Records an answer: its cost over the slow-start window, and its latency relative to the median.
    pub(crate) fn record_answer(
        &mut self, cost: f64, window: Duration, relative_latency: f64, now: Timestamp,
    ) {
        self.work_answered.add(cost, now, window);
        let micros = relative_latency * RELATIVE_LATENCY_UNIT.as_micros() as f64;
        self.relative_latency.add(Duration::from_micros(micros as u64));
    }

    /// Returns the decayed cost of what was sent.
    pub(crate) fn work_sent(&self, now: Timestamp, window: Duration) -> f64 {
        self.work_sent.value(now, window)
    }

    /// Returns the decayed cost of what was answered.
    pub(crate) fn work_answered(&self, now: Timestamp, window: Duration) -> f64 {
        self.work_answered.value(now, window)
    }

    /// Returns whether the budget for this slow-start window admits this cost.
    pub(crate) fn slow_start_admits(&self, cost: f64, budget: f64, window: &Window) -> bool {
        self.slow_start_usage.admits(cost, budget, window)
    }

    /// Returns the host's median relative latency, at least 1: fast hosts count as usual ones.
    pub(crate) fn slowness(&self) -> f64 {
        let unit = RELATIVE_LATENCY_UNIT.as_micros() as f64;
        let median = self.relative_latency.quantile(0.5);
        median.map_or(1.0, |median| (median.as_micros() as f64 / unit).max(1.0))
    }
}
