//! How punctual the lab itself is: with many processes on few cores its one thread may run late, and what it sees then
//! is late too. Rules are checked with a slack of just that, in place of a fixed one that would hide small breaks.

use super::network::sleep;
use super::state::SharedFleet;
use comethitch_policy::time::Duration;
use std::collections::VecDeque;
use std::time::Instant;

/// By how much every time limit is longer, by the rules.
const RULE_SLACK: Duration = Duration::from_millis(50);
/// How often the lab's lateness is measured.
const INTERVAL: Duration = Duration::from_millis(5);
/// Over so many measurements the greatest counts: a router's own lateness on a busy machine is alike.
const MEASUREMENTS: usize = 100;

/// Measures the lab's lateness for ever, and sets the ledger's slack by it.
pub(super) async fn adapt_slack(fleet: SharedFleet) {
    let mut lateness: VecDeque<Duration> = VecDeque::new();
    loop {
        let before = Instant::now();
        sleep(INTERVAL).await;
        if lateness.len() == MEASUREMENTS {
            lateness.pop_front();
        }
        lateness.push_back(Duration::from_micros(before.elapsed().as_micros() as u64) - INTERVAL);
        let greatest = lateness.iter().copied().max().unwrap_or_default();
        // It may be late as it sends, and again as it sees what came of that.
        fleet.ledger.borrow_mut().set_slack(RULE_SLACK + greatest * 2);
    }
}
