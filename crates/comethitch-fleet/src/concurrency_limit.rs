//! An adaptive limit on the work that one router has in flight at a host, or for one request class at a
//! shard.
//!
//! The load of a host comes from all routers, but each router sees only its own answers. A series of late
//! answers lowers the limit, and answers in time raise it again. The caller passes the minimum, which is the
//! router's share of the host's capacity.

use comethitch_time::{Duration, Timestamp};

/// Fraction of late answers above which a host counts as overloaded. A cut lowers the limit by at least this
/// fraction.
const OVERLOAD_SHARE: f64 = 0.15;
/// Number of answers over which the exponential moving average of late answers extends.
const LATE_SHARE_ANSWERS: f64 = 16.0;
/// Growth of the limit per answer in time, as a fraction of the work of that answer.
const GROWTH_PER_ANSWER: f64 = 0.1;

/// The work in flight and its limit.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    /// The work in flight.
    pub in_flight: Duration,
    /// The maximum work in flight.
    pub limit: Duration,
    /// The moving average of the fraction of late answers, from 0 to 1.
    pub late_share: f64,
    /// When the limit was last cut; zero if it never was.
    last_cut: Timestamp,
}

impl Default for ConcurrencyLimit {
    /// Returns a limit that admits all work until it is set or cut.
    fn default() -> ConcurrencyLimit {
        ConcurrencyLimit {
            in_flight: Duration::ZERO,
            limit: Duration::MAX,
            late_share: 0.0,
            last_cut: Timestamp::ZERO,
        }
    }
}

/// An attempt that ended, as input to [`ConcurrencyLimit::record_end`].
#[derive(Clone, Copy, Debug)]
pub struct EndedWork {
    /// The work that was added to the work in flight when the attempt was sent.
    pub work: Duration,
    /// Whether the answer was late; `None` if the end of the attempt says nothing about the load of the host.
    pub late: Option<bool>,
    /// The fraction of late answers in a wider scope, such as all hosts of the shard, from 0 to 1. If a
    /// router receives few answers from each host, it shows an overload earlier.
    pub other_late_share: f64,
    /// The minimum below which the limit is not cut.
    pub min_limit: Duration,
    /// The minimum time between two cuts of the limit.
    pub cut_interval: Duration,
}

impl ConcurrencyLimit {
    /// Returns whether additional work may be sent. The limit is multiplied by `limit_multiple`, which is
    /// above 1 for long requests.
    ///
    /// If nothing is in flight, one request is always admitted until the limit is first cut. After a cut, a
    /// request that exceeds the limit is admitted with the probability limit / work, because even one request
    /// from each of several hundred routers may overload a host. `random` is a uniformly distributed number
    /// in `0.0..1.0`.
    ///
    /// ```
    /// use comethitch_fleet::concurrency_limit::ConcurrencyLimit;
    /// use comethitch_time::Duration;
    /// let mut concurrency = ConcurrencyLimit::default();
    /// concurrency.limit = Duration::from_micros(100);
    /// let large = Duration::from_micros(500);
    /// assert!(concurrency.admits(large, 1.0, 0.9), "nothing is in flight, and the limit was never cut");
    /// concurrency.in_flight = Duration::from_micros(80);
    /// assert!(concurrency.admits(Duration::from_micros(20), 1.0, 0.0));
    /// assert!(!concurrency.admits(Duration::from_micros(21), 1.0, 0.0));
    /// assert!(concurrency.admits(Duration::from_micros(100), 2.0, 0.0));
    /// ```
    pub fn admits(&self, work: Duration, limit_multiple: f64, random: f64) -> bool {
        let limit = self.limit.scaled(limit_multiple);
        if self.in_flight == Duration::ZERO {
            return self.last_cut == Timestamp::ZERO || work.scaled(random) <= limit;
        }
        self.in_flight + work <= limit
    }

    /// Records that an attempt ended. A single late answer does not cut the limit, because it may belong to a
    /// long request.
    pub fn record_end(&mut self, ended: EndedWork, now: Timestamp) {
        let in_flight_before = self.in_flight;
        self.in_flight = in_flight_before - ended.work;
        let Some(late) = ended.late else { return };
        self.late_share += (f64::from(u8::from(late)) - self.late_share) / LATE_SHARE_ANSWERS;
        let late_share = self.late_share.max(ended.other_late_share);
        if late && late_share > OVERLOAD_SHARE && now - self.last_cut > ended.cut_interval {
            let remaining_fraction = (1.0 - late_share / 2.0).min(1.0 - OVERLOAD_SHARE);
            self.last_cut = now;
            self.limit = self.limit.min(in_flight_before * 2).scaled(remaining_fraction).max(ended.min_limit);
        } else if !late && in_flight_before > self.limit / 2 {
            self.limit += ended.work.scaled(GROWTH_PER_ANSWER);
        }
    }
}

#[cfg(test)]
mod tests;
