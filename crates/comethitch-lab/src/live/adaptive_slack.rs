//! Adapts the slack of the ledger to the event-loop lag of the lab.
//!
//! The lab simulates hosts and clients in one thread. On a busy machine it runs late and observes events
//! late. A fixed slack that allows for this would hide short violations the rest of the time.

use super::network::sleep;
use super::state::SharedFleet;
use comethitch_policy::time::Duration;
use std::collections::VecDeque;
use std::time::Instant;

/// Slack of every time limit if there is no lag, as the rules allow it.
const MIN_SLACK: Duration = Duration::from_millis(50);
/// Interval between two measurements of the lag.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(5);
/// Number of latest measurements whose maximum is used. Routers on the same busy machine have a similar lag.
const MEASUREMENT_COUNT: usize = 100;

/// Measures the event-loop lag and sets the slack of the ledger until the trial ends.
pub(super) async fn adapt_slack(fleet: SharedFleet) {
    let mut measurements: VecDeque<Duration> = VecDeque::new();
    loop {
        let before = Instant::now();
        sleep(MEASUREMENT_INTERVAL).await;
        if measurements.len() == MEASUREMENT_COUNT {
            measurements.pop_front();
        }
        let elapsed = Duration::from_micros(before.elapsed().as_micros() as u64);
        measurements.push_back(elapsed - MEASUREMENT_INTERVAL);
        let max_lag = measurements.iter().copied().max().unwrap_or_default();
        // The lab may run late both when it sends and when it observes the result.
        fleet.ledger.borrow_mut().set_slack(MIN_SLACK + max_lag * 2);
    }
}
