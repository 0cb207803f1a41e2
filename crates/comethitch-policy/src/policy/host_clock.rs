//! What time it is at the hosts. Positions and start times are Unix times of other machines, and the wall clock that
//! this router read as it started may be wrong by an hour; only spans on its own monotonic clock are sure.
//!
//! A primary's report is its position at some moment before it came here, so that the difference to the router's clock
//! is never more than that of the two clocks, and the greatest of several is near to it. From that follow two
//! estimates: the latest that the hosts' time can be, for the age of data, and the earliest, for how long ago a host
//! started. While no primary has reported, neither is known, and nothing rests on the router's own clock; if none does
//! for half a second, as primaries are out of reach, replicas whose positions agree with that clock stand in.

use super::{Actions, Duration, HostIndex, LoadReport, Role, Router, StalenessCheck, Timestamp, health};
use std::collections::VecDeque;

/// How many reports are remembered, of primaries and of all hosts.
const REMEMBERED_REPORTS: usize = 16;
/// For so long a first report of a primary is waited for, before replicas that agree with the router's clock stand in.
const PRIMARY_PATIENCE: Duration = Duration::from_millis(500);
/// So many checks in a row are made at the shortest interval though none reported anything, and the interval doubles at
/// most so often after that.
const PROMPT_CLOCK_CHECKS: u32 = 4;
const MAX_DOUBLINGS: u32 = 4;
/// With fewer reports of primaries the estimate of a clock that is wrong is not good enough.
const MIN_PRIMARY_REPORTS: usize = 4;
/// A position this far past the router's clock shows that the clock is behind, in microseconds.
const BEHIND_TOLERANCE: i64 = 20_000;
/// No primary's newest report is as old as this: if all seem so, the router's clock is ahead, in microseconds.
const AHEAD_TOLERANCE: i64 = 2_000_000;

/// The difference between the hosts' clock and the router's, as reports show it.
#[derive(Debug, Default)]
pub(crate) struct HostClock {
    /// By how many microseconds the latest reports of primaries were past the router's clock.
    primaries: VecDeque<i64>,
    /// The same of all other hosts, whose positions lag.
    others: VecDeque<i64>,
    /// Since when a primary's report is wanted.
    wanted_since: Option<Timestamp>,
    /// No primary has reported for so long that replicas which agree with the router's clock stand in.
    replicas_stand_in: bool,
    /// What follows from all of this: it is asked for at each host, and changes with each report.
    estimate: Estimated,
}

/// What reports show of the difference between the clocks.
#[derive(Clone, Copy, Debug, Default)]
struct Estimated {
    state: ClockState,
    /// The greatest difference that any report shows, in microseconds, once one counts.
    offset: Option<i64>,
}

/// How the router's clock stands to the hosts'.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ClockState {
    /// No primary has reported yet.
    #[default]
    Unproven,
    /// It agrees, as far as reports show.
    Agrees,
    /// It is wrong, and reports do not show yet by how much.
    Wrong,
    /// It is wrong by at least `offset` microseconds, and at most `uncertainty` more.
    Corrected {
        /// By how much the hosts' time is past the router's at the least, in microseconds.
        offset: i64,
        /// How much more it may be, in microseconds.
        uncertainty: i64,
    },
}

fn shifted(time: Timestamp, micros: i64) -> Timestamp {
    let span = Duration::from_micros(micros.unsigned_abs());
    if micros < 0 { time - span } else { time + span }
}

fn remember(offsets: &mut VecDeque<i64>, offset: i64) {
    if offsets.len() == REMEMBERED_REPORTS {
        offsets.pop_front();
    }
    offsets.push_back(offset);
}

impl HostClock {
    /// Takes in a position that a host reported just now.
    pub(super) fn observe(&mut self, position: Timestamp, by_primary: bool, now: Timestamp) {
        let offset = position.as_micros() as i64 - now.as_micros() as i64;
        remember(if by_primary { &mut self.primaries } else { &mut self.others }, offset);
        self.update_estimate();
    }

    fn update_estimate(&mut self) {
        let newest = self.newest();
        let offset = newest.map(|newest| self.others.iter().copied().fold(newest, i64::max));
        self.estimate = Estimated { state: self.judge(), offset };
    }

    /// The greatest difference that counts: the primaries', or that of replicas where they stand in.
    fn newest(&self) -> Option<i64> {
        let replicas = self.others.iter().filter(|_| self.replicas_stand_in);
        self.primaries.iter().copied().max().or_else(|| replicas.copied().max())
    }

    fn state(&self) -> ClockState {
        self.estimate.state
    }

    fn judge(&self) -> ClockState {
        let Some(newest) = self.newest() else { return ClockState::Unproven };
        let offset = self.others.iter().copied().fold(newest, i64::max);
        if (-AHEAD_TOLERANCE..=BEHIND_TOLERANCE).contains(&offset) {
            return ClockState::Agrees;
        }
        // Replicas may stand still: they show that a clock is wrong, and not by how much.
        if self.primaries.len() < MIN_PRIMARY_REPORTS {
            return ClockState::Wrong;
        }
        // The newest of several reports is younger than the median one by more than it is old itself.
        let mut sorted: Vec<i64> = self.primaries.iter().copied().collect();
        sorted.sort_unstable();
        ClockState::Corrected { offset, uncertainty: newest - sorted[sorted.len() / 2 - 1] }
    }

    /// Whether more reports of primaries would tell more.
    pub(super) fn needs_reports(&self) -> bool {
        self.primaries.is_empty() || self.state() == ClockState::Wrong
    }

    /// Notes that a primary's report is wanted now.
    pub(super) fn want_report(&mut self, now: Timestamp) {
        let since = *self.wanted_since.get_or_insert(now);
        let stand_in = now - since > PRIMARY_PATIENCE;
        if stand_in && !std::mem::replace(&mut self.replicas_stand_in, true) {
            self.update_estimate();
        }
    }

    /// The latest that the hosts' time can be at a time of the router's, if that is known.
    pub(super) fn latest(&self, at: Timestamp) -> Option<Timestamp> {
        match self.state() {
            ClockState::Unproven | ClockState::Wrong => None,
            ClockState::Agrees => Some(at),
            ClockState::Corrected { offset, uncertainty } => Some(shifted(at, offset + uncertainty)),
        }
    }

    /// The earliest that the hosts' time can be at a time of the router's, if that is known.
    pub(super) fn earliest(&self, at: Timestamp) -> Option<Timestamp> {
        let offset = self.estimate.offset?;
        Some(if self.state() == ClockState::Agrees {
            shifted(at, offset.min(0))
        } else {
            shifted(at, offset)
        })
    }

    /// What a time of the router's probably is at the hosts: its own, where nothing better is known.
    pub(super) fn probably(&self, at: Timestamp) -> Timestamp {
        match self.state() {
            ClockState::Unproven | ClockState::Agrees => at,
            ClockState::Wrong | ClockState::Corrected { .. } => self.earliest(at).unwrap_or(at),
        }
    }
}

impl Router {
    /// How the router's clock stands to the hosts', for the log.
    pub fn clock_state(&self) -> ClockState {
        self.host_clock.state()
    }

    /// Whether the age of positions rests on the hosts' clock, and primaries can be asked for it. Elsewhere replicas
    /// check the age of their data themselves, or nothing but answers tells of it.
    pub(super) fn must_prove_clock(&self) -> bool {
        self.deployment.may_check_health && self.deployment.staleness_check == StalenessCheck::Off
    }

    /// The latest that it can be at the hosts now, for the age of their data; none if that is not known.
    pub(super) fn latest_host_time(&self, now: Timestamp) -> Option<Timestamp> {
        self.host_clock.latest(now).or_else(|| (!self.must_prove_clock()).then_some(now))
    }

    /// The earliest that it can be at the hosts now, for how long ago they started; none if that is not known.
    pub(crate) fn earliest_host_time(&self, now: Timestamp) -> Option<Timestamp> {
        self.host_clock.earliest(now).or_else(|| (!self.must_prove_clock()).then_some(now))
    }

    /// Takes in the position of a host's report. One that has not advanced is as old as the one before, and shows
    /// nothing: a host whose reports stand still would make the router's clock seem ahead.
    pub(super) fn observe_host_time(&mut self, index: HostIndex, report: &LoadReport, now: Timestamp) {
        let advanced = |position: &Timestamp| *position > self.hosts[index].position;
        let Some(position) = report.position.filter(advanced) else { return };
        let by_primary = match report.role {
            Some(role) => role == Role::Primary,
            None => self.shard_of(index).primary == Some(index),
        };
        self.host_clock.observe(position, by_primary, now);
        if by_primary {
            self.unanswered_clock_checks = 0;
        }
    }

    /// Asks one believed primary for the hosts' time while that is not known, each time another one, and less often while
    /// none reports anything new: hundreds of routers may ask.
    pub(super) fn prove_clock(&mut self, out: &mut dyn Actions) {
        let now = out.now();
        if !self.must_prove_clock() || !self.host_clock.needs_reports() {
            return;
        }
        self.host_clock.want_report(now);
        if now < self.next_clock_check {
            return;
        }
        let askable: Vec<HostIndex> = self.askable_primaries(now).collect();
        let Some(index) = askable.get(self.clock_checks % askable.len().max(1)).copied() else { return };
        self.clock_checks += 1;
        let doublings = self.unanswered_clock_checks.saturating_sub(PROMPT_CLOCK_CHECKS).min(MAX_DOUBLINGS);
        self.next_clock_check = now + health::HEALTH_CHECK_RETRY * (1 << doublings);
        self.unanswered_clock_checks += 1;
        self.send_health_check(index, out);
    }

    /// The believed primaries of groups in use that no health check is on its way to.
    fn askable_primaries(&self, now: Timestamp) -> impl Iterator<Item = HostIndex> {
        let in_use = self.shards.values().filter(move |shard| self.is_in_use(shard, now));
        in_use.filter_map(|shard| shard.primary).filter(move |index| {
            let host = &self.hosts[*index];
            host.health_check_sent.is_none() && !host.removed && host.connection_slots.has_free(now)
        })
    }
}
