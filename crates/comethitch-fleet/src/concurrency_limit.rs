//! An adaptive limit on the work that one router has in flight at a host, or for one request class at a shard.
//!
//! All routers together fill a host, and each sees only its own answers. The limit is cut when a run of them is late
//! and grows back with those in time; the caller says how small it may get, which is the router's part of what the
//! host holds from all.

use comethitch_time::{Duration, Timestamp};

/// A share of late answers above this means overload; a cut takes at least this part of the limit.
const OVERLOAD_SHARE: f64 = 0.15;
/// The share of late answers is a moving average over about so many.
const LATE_SHARE_ANSWERS: f64 = 16.0;
/// An answer in time raises the limit by this part of its work.
const GROWTH: f64 = 0.1;

/// Work in flight, and how much may be.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    /// The work of what is in flight.
    pub in_flight: Duration,
    /// How much may be in flight.
    pub limit: Duration,
    /// The share of late answers among the last few, 0 to 1.
    pub late_share: f64,
    last_cut: Timestamp,
}

impl Default for ConcurrencyLimit {
    /// Without limit, until one is set or answers are late.
    fn default() -> ConcurrencyLimit {
        ConcurrencyLimit {
            in_flight: Duration::ZERO,
            limit: Duration::MAX,
            late_share: 0.0,
            last_cut: Timestamp::ZERO,
        }
    }
}

/// An attempt that ended, as a [`ConcurrencyLimit`] counts it.
#[derive(Clone, Copy, Debug)]
pub struct EndedWork {
    /// What it counted for.
    pub work: Duration,
    /// Whether its answer was late; none where its ending says nothing of the load.
    pub late: Option<bool>,
    /// The share of late answers among other work that bears on this limit: where a router sees little of each host,
    /// that of all its hosts shows an overload sooner.
    pub other_late_share: f64,
    /// The limit is not cut below this.
    pub min_limit: Duration,
    /// The limit is cut once in this time at most.
    pub cut_interval: Duration,
}

impl ConcurrencyLimit {
    /// Whether so much more work may be sent; `stretch` is how many times the limit a long request finds. Where nothing
    /// is in flight one request is admitted, unless late answers have cut the limit to less than that: then as often as
    /// the limit holds of one, by `draw`, from 0 up to 1. Three hundred routers with one request each at a host are an
    /// overload, too.
    ///
    /// ```
    /// use comethitch_fleet::concurrency_limit::ConcurrencyLimit;
    /// use comethitch_time::Duration;
    /// let mut concurrency = ConcurrencyLimit::default();
    /// concurrency.limit = Duration::from_micros(100);
    /// let large = Duration::from_micros(500);
    /// assert!(concurrency.admits(large, 1.0, 0.9), "the first, as long as nothing was late");
    /// concurrency.in_flight = Duration::from_micros(80);
    /// assert!(concurrency.admits(Duration::from_micros(20), 1.0, 0.0));
    /// assert!(!concurrency.admits(Duration::from_micros(21), 1.0, 0.0));
    /// assert!(concurrency.admits(Duration::from_micros(100), 2.0, 0.0));
    /// ```
    pub fn admits(&self, work: Duration, stretch: f64, draw: f64) -> bool {
        let limit = self.limit.scaled(stretch);
        if self.in_flight == Duration::ZERO {
            return self.last_cut == Timestamp::ZERO || work.scaled(draw) <= limit;
        }
        self.in_flight + work <= limit
    }

    /// Records that an attempt ended. Only a run of late answers cuts the limit: a long request now and then is no
    /// queue.
    pub fn record_end(&mut self, ended: EndedWork, now: Timestamp) {
        let before = self.in_flight;
        self.in_flight = before - ended.work;
        let Some(late) = ended.late else { return };
        self.late_share += (f64::from(u8::from(late)) - self.late_share) / LATE_SHARE_ANSWERS;
        let late_share = self.late_share.max(ended.other_late_share);
        if late && late_share > OVERLOAD_SHARE && now - self.last_cut > ended.cut_interval {
            let remaining = (1.0 - late_share / 2.0).min(1.0 - OVERLOAD_SHARE);
            self.last_cut = now;
            self.limit = self.limit.min(before * 2).scaled(remaining).max(ended.min_limit);
        } else if !late && before > self.limit / 2 {
            self.limit += ended.work.scaled(GROWTH);
        }
    }
}

#[cfg(test)]
mod tests;
