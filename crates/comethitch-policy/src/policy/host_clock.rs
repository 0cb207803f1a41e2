//! Estimates the offset of the hosts' clocks from the router's clock.
//!
//! Positions and start times are Unix times of other machines. The wall clock that this router read at
//! startup may be wrong by an hour; only intervals on its own monotonic clock are reliable.
//!
//! A primary's report contains its position at some time before the report arrived. The difference between
//! this position and the router's clock at the arrival is therefore at most the offset between the two
//! clocks, and the maximum over several reports is close to the offset. Two estimates are derived: the latest
//! possible time on the hosts' clocks, for the age of data, and the earliest, for the time since a host
//! started. Both are unknown until a primary has reported, and until then no decision relies on the router's
//! own clock. If no primary reports for half a second because the primaries are unreachable, the reports of
//! replicas are used instead, if they agree with the router's clock.

use super::intervals::HEALTH_CHECK_RETRY_INTERVAL;
use crate::time::{Duration, SignedDuration, Timestamp};
use std::collections::VecDeque;

/// Number of recent offsets kept, of primaries and of replicas each.
const MAX_OFFSETS: usize = 16;
/// How long the first report of a primary is awaited before the reports of replicas that agree with the
/// router's clock are used instead.
const PRIMARY_REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of consecutive unanswered polls up to which the poll interval does not grow.
const MAX_UNANSWERED_POLLS_BEFORE_BACKOFF: u32 = 4;
/// Maximum number of times that the poll interval doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Minimum number of primaries' reports from which the amount of a wrong clock's offset is estimated.
const MIN_PRIMARY_REPORTS: usize = 4;
/// Maximum offset at which the clocks agree. A position further in the future than this shows that the
/// router's clock is behind.
const MAX_AGREEING_OFFSET: SignedDuration = SignedDuration::from_millis(20);
/// Minimum offset at which the clocks agree; below it, the router's clock is ahead, as the newest of several
/// reports of primaries is never two seconds old.
const MIN_AGREEING_OFFSET: SignedDuration = SignedDuration::from_millis(-2_000);

/// State of the router's clock relative to the hosts'.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ClockState {
    /// No primary has reported yet.
    #[default]
    Unknown,
    /// No report shows a difference between the clocks.
    Agrees,
    /// The router's clock is wrong, but too few primaries have reported to estimate by how much.
    Wrong,
    /// The router's clock is wrong. The offset is from `offset` to `offset` plus `uncertainty`.
    Corrected {
        /// Minimum offset of the hosts' clocks from the router's clock; positive if the router's clock is
        /// behind.
        offset: SignedDuration,
        /// Maximum amount by which the true offset exceeds `offset`.
        uncertainty: Duration,
    },
}

/// Estimator of the time on the hosts' clocks, based on the positions in their reports.
#[derive(Debug, Default)]
pub(super) struct HostClock {
    /// Offsets of primaries' recent positions from the router's clock.
    primary_offsets: VecDeque<SignedDuration>,
    /// Offsets of replicas' recent positions from the router's clock; they also include the replication lag.
    replica_offsets: VecDeque<SignedDuration>,
    /// When a primary's report was first needed.
    needed_since: Option<Timestamp>,
    /// Whether replicas' reports are used in place of primaries', after [`PRIMARY_REPORT_TIMEOUT`].
    replica_fallback: bool,
    /// Cached result of the fields above, as it is read for every host but changes only with reports.
    estimate: OffsetEstimate,
    polls: PollSchedule,
}

#[derive(Clone, Copy, Debug, Default)]
struct OffsetEstimate {
    state: ClockState,
    /// Maximum offset over all reports; `None` before the first usable one.
    offset: Option<SignedDuration>,
}

/// Schedule of polls of primaries for the hosts' time, with exponential backoff while none reports a new
/// position.
#[derive(Debug, Default)]
struct PollSchedule {
    sent: usize,
    unanswered: u32,
    next_at: Timestamp,
}

impl PollSchedule {
    fn record_poll(&mut self, now: Timestamp) {
        let doublings =
            self.unanswered.saturating_sub(MAX_UNANSWERED_POLLS_BEFORE_BACKOFF).min(MAX_BACKOFF_DOUBLINGS);
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

    /// Records the position in a report that arrives at `now`.
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
    pub(super) fn needs_primary_reports(&self) -> bool {
        self.primary_offsets.is_empty() || self.state() == ClockState::Wrong
    }

    /// Starts to use the reports of replicas if a primary's report has been needed for
    /// [`PRIMARY_REPORT_TIMEOUT`].
    pub(super) fn update_replica_fallback(&mut self, now: Timestamp) {
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

    /// Selects the next of these primaries in round-robin order, and records that it is polled.
    pub(super) fn next_to_poll<T: Copy>(&mut self, primaries: &[T], now: Timestamp) -> Option<T> {
        let chosen = *primaries.get(self.polls.sent % primaries.len().max(1))?;
        self.polls.record_poll(now);
        Some(chosen)
    }

    /// Converts a time on the router's clock to the latest possible time on the hosts' clocks; `None` if
    /// unknown.
    pub(super) fn latest(&self, at: Timestamp) -> Option<Timestamp> {
        match self.state() {
            ClockState::Unknown | ClockState::Wrong => None,
            ClockState::Agrees => Some(at),
            ClockState::Corrected { offset, uncertainty } => Some(at + (offset + uncertainty)),
        }
    }

    /// Converts a time on the router's clock to the earliest possible time on the hosts' clocks; `None` if
    /// unknown.
    pub(super) fn earliest(&self, at: Timestamp) -> Option<Timestamp> {
        let offset = self.estimate.offset?;
        let agrees = self.state() == ClockState::Agrees;
        Some(at + if agrees { offset.min(SignedDuration::ZERO) } else { offset })
    }

    /// Converts a time on the router's clock to the best estimate of the time on the hosts' clocks. Returns
    /// `at` itself if no difference between the clocks is known.
    pub(super) fn estimated(&self, at: Timestamp) -> Timestamp {
        match self.state() {
            ClockState::Unknown | ClockState::Agrees => at,
            ClockState::Wrong | ClockState::Corrected { .. } => self.earliest(at).unwrap_or(at),
        }
    }

    fn update_estimate(&mut self) {
        let Some(max_trusted) = self.max_trusted_offset() else {
            self.estimate = OffsetEstimate::default();
            return;
        };
        let offset = self.replica_offsets.iter().copied().fold(max_trusted, SignedDuration::max);
        self.estimate = OffsetEstimate { state: self.classify(offset, max_trusted), offset: Some(offset) };
    }

    /// Returns the maximum offset of primaries. Without a report of a primary, returns the maximum offset of
    /// replicas if these are used instead, else `None`.
    fn max_trusted_offset(&self) -> Option<SignedDuration> {
        let replicas = self.replica_offsets.iter().filter(|_| self.replica_fallback);
        self.primary_offsets.iter().copied().max().or_else(|| replicas.copied().max())
    }

    fn classify(&self, offset: SignedDuration, max_trusted: SignedDuration) -> ClockState {
        if (MIN_AGREEING_OFFSET..=MAX_AGREEING_OFFSET).contains(&offset) {
            return ClockState::Agrees;
        }
        // A replica's position may have stopped advancing: its offset proves that the router's clock is
        // wrong, but not by how much.
        if self.primary_offsets.len() < MIN_PRIMARY_REPORTS {
            return ClockState::Wrong;
        }
        // The true offset exceeds the maximum offset by the age of that report's position. This age is less
        // than the difference between the maximum and the median offset.
        let mut sorted: Vec<SignedDuration> = self.primary_offsets.iter().copied().collect();
        sorted.sort_unstable();
        ClockState::Corrected { offset, uncertainty: max_trusted - sorted[sorted.len() / 2 - 1] }
    }
}

#[cfg(test)]
mod tests;
