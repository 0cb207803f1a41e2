//! Estimates the offset between the hosts' clocks and the router's.
//!
//! Positions and start times are Unix times of other machines, and the wall clock that this router read at its start may
//! be wrong by an hour; only intervals on its own monotonic clock are certain.
//!
//! A primary's report holds its position at some moment before the report arrived, so the difference to the router's
//! clock never exceeds the offset between the two clocks, and the maximum over several reports is close to it. Two
//! estimates follow: the latest possible time at the hosts, for the age of data, and the earliest, for how long ago a host
//! started. Until a primary has reported, both are unknown and nothing relies on the router's own clock. If no primary
//! reports for half a second because the primaries are unreachable, replicas whose positions agree with the router's
//! clock are used instead.

use super::intervals::HEALTH_CHECK_RETRY_INTERVAL;
use crate::time::{Duration, SignedDuration, Timestamp};
use std::collections::VecDeque;

/// Number of recent offsets kept, of primaries and of replicas each.
const MAX_OFFSETS: usize = 16;
/// How long to wait for a primary's report before falling back to replicas' reports.
const PRIMARY_REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of unanswered polls after which the next one still comes at the shortest interval.
const MAX_UNANSWERED_BEFORE_BACKOFF: u32 = 4;
/// Maximum number of times that the poll interval doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Minimum number of primaries' reports for correcting a wrong clock.
const MIN_PRIMARY_REPORTS: usize = 4;
/// Offset above which the router's clock counts as behind.
const MAX_AGREEING_OFFSET: SignedDuration = SignedDuration::from_millis(20);
/// Offset below which the router's clock counts as ahead: a primary's newest report is never as old as this.
const MIN_AGREEING_OFFSET: SignedDuration = SignedDuration::from_millis(-2_000);

/// State of the router's clock relative to the hosts'.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ClockState {
    /// No primary has reported yet.
    #[default]
    Unproven,
    /// The clocks agree, as far as reports show.
    Agrees,
    /// The router's clock is wrong, by an amount that reports do not show yet.
    Wrong,
    /// The router's clock is wrong by at least `offset`, and at most `uncertainty` more.
    Corrected {
        /// Minimum offset of the hosts' clocks from the router's.
        offset: SignedDuration,
        /// How much greater the offset may be.
        uncertainty: Duration,
    },
}

/// Estimator of the hosts' time, fed by the positions in their reports.
#[derive(Debug, Default)]
pub(super) struct HostClock {
    /// Offsets of primaries' recent positions from the router's clock.
    primary_offsets: VecDeque<SignedDuration>,
    /// The same for replicas, whose positions lag.
    replica_offsets: VecDeque<SignedDuration>,
    /// Since when a primary's report has been needed.
    needed_since: Option<Timestamp>,
    /// Whether replicas' reports are used in place of primaries', after [`PRIMARY_REPORT_TIMEOUT`].
    replica_fallback: bool,
    /// Cached result of the above, as it is read for every host and changes with reports only.
    estimate: OffsetEstimate,
    polls: PollSchedule,
}

#[derive(Clone, Copy, Debug, Default)]
struct OffsetEstimate {
    state: ClockState,
    /// Maximum offset over all reports; none before the first usable one.
    offset: Option<SignedDuration>,
}

/// Schedule of polling primaries for the hosts' time, with exponential backoff while none reports anything new.
#[derive(Debug, Default)]
struct PollSchedule {
    sent: usize,
    unanswered: u32,
    next_at: Timestamp,
}

impl PollSchedule {
    fn record_poll(&mut self, now: Timestamp) {
        let doublings =
            self.unanswered.saturating_sub(MAX_UNANSWERED_BEFORE_BACKOFF).min(MAX_BACKOFF_DOUBLINGS);
        self.next_at = now + HEALTH_CHECK_RETRY_INTERVAL * (1 << doublings);
        self.sent += 1;
        self.unanswered += 1;
    }
}

impl HostClock {
    /// Returns the state of the router's clock relative to the hosts'.
    pub(super) fn state(&self) -> ClockState {
        self.estimate.state
    }

    /// Records a position from a report that arrived just now.
    pub(super) fn record_position(&mut self, position: Timestamp, by_primary: bool, now: Timestamp) {
        let offsets = if by_primary { &mut self.primary_offsets } else { &mut self.replica_offsets };
        if offsets.len() == MAX_OFFSETS {
            offsets.pop_front();
        }
        offsets.push_back(position.offset_from(now));
        if by_primary {
            self.polls.unanswered = 0;
        }
        self.update_estimate();
    }

    /// Returns whether more reports of primaries would improve the estimate.
    pub(super) fn needs_reports(&self) -> bool {
        self.primary_offsets.is_empty() || self.state() == ClockState::Wrong
    }

    /// Falls back to replicas' reports once a primary's report has been needed for [`PRIMARY_REPORT_TIMEOUT`].
    pub(super) fn wait_for_primary(&mut self, now: Timestamp) {
        let since = *self.needed_since.get_or_insert(now);
        if now - since > PRIMARY_REPORT_TIMEOUT && !self.replica_fallback {
            self.replica_fallback = true;
            self.update_estimate();
        }
    }

    /// Returns whether a primary may be polled for the hosts' time now.
    pub(super) fn is_poll_due(&self, now: Timestamp) -> bool {
        now >= self.polls.next_at
    }

    /// Chooses the next of these primaries, in turn, and records that it is polled.
    pub(super) fn next_to_poll<T: Copy>(&mut self, primaries: &[T], now: Timestamp) -> Option<T> {
        let chosen = *primaries.get(self.polls.sent % primaries.len().max(1))?;
        self.polls.record_poll(now);
        Some(chosen)
    }

    /// Returns the latest possible time at the hosts at `at` on the router's clock, if known.
    pub(super) fn latest(&self, at: Timestamp) -> Option<Timestamp> {
        match self.state() {
            ClockState::Unproven | ClockState::Wrong => None,
            ClockState::Agrees => Some(at),
            ClockState::Corrected { offset, uncertainty } => Some(at + (offset + uncertainty)),
        }
    }

    /// Returns the earliest possible time at the hosts at `at` on the router's clock, if known.
    pub(super) fn earliest(&self, at: Timestamp) -> Option<Timestamp> {
        let offset = self.estimate.offset?;
        let agrees = self.state() == ClockState::Agrees;
        Some(at + if agrees { offset.min(SignedDuration::ZERO) } else { offset })
    }

    /// Returns the best estimate of the hosts' time at `at` on the router's clock; `at` itself if nothing better is known.
    pub(super) fn estimated(&self, at: Timestamp) -> Timestamp {
        match self.state() {
            ClockState::Unproven | ClockState::Agrees => at,
            ClockState::Wrong | ClockState::Corrected { .. } => self.earliest(at).unwrap_or(at),
        }
    }

    fn update_estimate(&mut self) {
        let Some(newest) = self.newest_offset() else {
            self.estimate = OffsetEstimate::default();
            return;
        };
        let offset = self.replica_offsets.iter().copied().fold(newest, SignedDuration::max);
        self.estimate = OffsetEstimate { state: self.classify(offset, newest), offset: Some(offset) };
    }

    /// Returns the maximum offset of primaries, or of replicas while they are used instead.
    fn newest_offset(&self) -> Option<SignedDuration> {
        let replicas = self.replica_offsets.iter().filter(|_| self.replica_fallback);
        self.primary_offsets.iter().copied().max().or_else(|| replicas.copied().max())
    }

    fn classify(&self, offset: SignedDuration, newest: SignedDuration) -> ClockState {
        if (MIN_AGREEING_OFFSET..=MAX_AGREEING_OFFSET).contains(&offset) {
            return ClockState::Agrees;
        }
        // A replica's position may have stopped: it proves that a clock is wrong, but not by how much.
        if self.primary_offsets.len() < MIN_PRIMARY_REPORTS {
            return ClockState::Wrong;
        }
        // The newest of several reports is younger than the median one by more than its own age.
        let mut sorted: Vec<SignedDuration> = self.primary_offsets.iter().copied().collect();
        sorted.sort_unstable();
        ClockState::Corrected { offset, uncertainty: newest - sorted[sorted.len() / 2 - 1] }
    }
}

#[cfg(test)]
mod tests;
