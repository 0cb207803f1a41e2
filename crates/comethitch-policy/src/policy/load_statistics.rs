//! Statistics of the load over all hosts and shards.

use super::error_rate::ErrorRate;
use super::peer_load::PeerLoad;
use super::recent_requests::RECENT_REQUESTS_WINDOW;
use super::service_times::ServiceTimes;
use crate::Deployment;
use crate::histogram::Histogram;
use crate::time::{Duration, Timestamp};
use comethitch_fleet::decaying_counter::DecayingCounter;

/// Number of observations at which the histogram of report ages halves its counts.
const REPORT_AGE_CAPACITY: u32 = 256;

/// Statistics over all hosts and shards.
pub(super) struct LoadStatistics {
    /// Service times by request class.
    pub(super) service_times: ServiceTimes,
    /// Fraction of errors among answers.
    pub(super) error_rate: ErrorRate,
    /// Load of warm hosts, which bounds the load of hosts in slow start.
    pub(super) peer_load: PeerLoad,
    /// Ages of the positions that primaries report. They show only how old reports are on arrival, as a
    /// primary has all commits.
    report_age: Histogram,
    recent_requests: DecayingCounter,
}

impl LoadStatistics {
    /// Returns empty statistics.
    pub(super) fn new(deployment: &Deployment) -> LoadStatistics {
        LoadStatistics {
            service_times: ServiceTimes::new(&deployment.classes),
            error_rate: ErrorRate::default(),
            peer_load: PeerLoad::default(),
            report_age: Histogram::new(deployment.tick, REPORT_AGE_CAPACITY),
            recent_requests: DecayingCounter::default(),
        }
    }

    /// Records a submitted request.
    pub(super) fn record_request(&mut self, now: Timestamp) {
        self.recent_requests.add(1.0, now, RECENT_REQUESTS_WINDOW);
    }

    /// Returns the number of requests to all shards per [`RECENT_REQUESTS_WINDOW`].
    pub(super) fn request_rate(&self, now: Timestamp) -> f64 {
        self.recent_requests.rate(now, RECENT_REQUESTS_WINDOW)
    }

    /// Records how old a primary's position was when its report arrived.
    pub(super) fn record_report_age(&mut self, age: Duration) {
        self.report_age.add(age);
    }

    /// Returns the median age of primaries' reports on arrival; zero before the first report.
    pub(super) fn median_report_age(&self) -> Duration {
        self.report_age.quantile(0.5).unwrap_or_default()
    }
}
