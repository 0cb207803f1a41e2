//! Simulated database hosts: cores that serve a queue in order of arrival, slow start, crashes under overload, and
//! replication lag.
//!
//! Without clock or sockets: each call is passed the time. The fleet in simulated time calls it from events, the fleet
//! of real processes from sockets.

use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{Host, LoadReport, Role, ShardId};
use std::collections::{BTreeMap, VecDeque};

/// One attempt at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// The router that sent it.
    pub router: usize,
    /// The router's number of the request.
    pub request: u32,
    /// The number of the attempt.
    pub attempt: u16,
    /// How long it takes on one core at full speed.
    pub work: Duration,
}

/// How hosts that have just started behave: slow at first, and crashing when they are sent too much.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// The fraction of its capacity that a host has as it starts.
    pub initial_capacity: f64,
    /// How long it takes to reach its full capacity.
    pub warmup: Duration,
    /// A warming host crashes when it is sent more than this multiple of what it can serve within `window`.
    pub overload_multiple: f64,
    /// The window of that count.
    pub window: Duration,
    /// The mean time of a request on one core.
    pub mean_work: Duration,
}

impl ColdStart {
    /// The most requests within `window` that count as chance where the settings allow this many requests of mean
    /// work: each router draws for itself whether it sends one, so that the standard deviation of the sum is at most
    /// the root of its mean.
    ///
    /// ```
    /// assert_eq!(comethitch_lab::hosts::ColdStart::chance_bound(25.0), 37.0);
    /// ```
    pub fn chance_bound(allowed: f64) -> f64 {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// Work that was sent to a host.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Timestamp,
    work: Duration,
}

/// What a host last measured of itself.
#[derive(Clone, Copy, Debug)]
struct Measurement {
    at: Timestamp,
    queue: usize,
}

/// A simulated database host.
#[derive(Debug)]
pub struct SimulatedHost {
    /// Its address.
    pub host: Host,
    /// The shard that it belongs to.
    pub shard: ShardId,
    /// How many requests it serves at a time.
    pub cores: u16,
    /// Whether it is its group's primary.
    pub primary: bool,
    /// When its process started; `None` if so long ago that it is warm.
    pub started: Option<Timestamp>,
    /// Since when it drains.
    pub draining: Option<Timestamp>,
    /// It has left the fleet, or died.
    pub removed: bool,
    /// It has crashed under overload.
    pub crashed: bool,
    /// 1 as usual, 3 if requests take three times as long.
    pub slowdown: f64,
    /// The most requests that may wait.
    pub queue_limit: usize,
    /// Since when replication to it has stalled.
    pub replication_stalled_since: Option<Timestamp>,
    /// The most requests that arrived within a window while it was warming up, over [`ColdStart::chance_bound`] of what
    /// it could serve then.
    pub peak_cold_load: f64,
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    /// Within the last [`ColdStart::window`].
    recent_arrivals: VecDeque<Arrival>,
    measured: Measurement,
}

/// What becomes of a job that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs and is finished after this.
    Runs(Duration),
    /// It waits for a core.
    Queued,
    /// The queue is full.
    QueueFull,
    /// The host is removed or has crashed: nobody answers.
    Unreachable,
}

/// A job that has just got a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedJob {
    /// The job.
    pub job: Job,
    /// How long it takes.
    pub duration: Duration,
}

impl SimulatedHost {
    /// A warm host that is idle.
    pub fn new(host: Host, shard: ShardId, cores: u16, primary: bool, queue_per_core: u16) -> SimulatedHost {
        SimulatedHost {
            host,
            shard,
            cores,
            primary,
            started: None,
            draining: None,
            removed: false,
            crashed: false,
            slowdown: 1.0,
            queue_limit: usize::from(cores) * usize::from(queue_per_core),
            replication_stalled_since: None,
            peak_cold_load: 0.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            recent_arrivals: VecDeque::new(),
            measured: Measurement { at: Timestamp::ZERO, queue: 0 },
        }
    }

    /// The fraction of its capacity that it has now.
    pub fn capacity_fraction(&self, cold_start: &ColdStart, now: Timestamp) -> f64 {
        let initial = cold_start.initial_capacity;
        let progress = |started: Timestamp| (now - started).ratio(cold_start.warmup).min(1.0);
        self.started.map_or(1.0, |started| initial + (1.0 - initial) * progress(started))
    }

    /// Whether new requests should be sent here.
    pub fn usable(&self) -> bool {
        self.reachable() && self.draining.is_none()
    }

    /// Whether it answers at all.
    pub fn reachable(&self) -> bool {
        !self.removed && !self.crashed
    }

    /// Its role at this moment.
    pub fn role(&self) -> Role {
        if self.primary { Role::Primary } else { Role::Replica }
    }

    fn duration(&self, job: &Job, cold_start: &ColdStart, now: Timestamp) -> Duration {
        job.work.scaled(self.slowdown / self.capacity_fraction(cold_start, now))
    }

    /// A job arrives.
    pub fn arrive(&mut self, job: Job, cold_start: &ColdStart, now: Timestamp) -> Admission {
        if !self.reachable() {
            return Admission::Unreachable;
        }
        self.record_arrival(job.work, cold_start, now);
        if self.crashed {
            return Admission::Unreachable;
        }
        if self.running.len() < usize::from(self.cores) {
            self.running.push(job);
            return Admission::Runs(self.duration(&job, cold_start, now));
        }
        if self.waiting.len() >= self.queue_limit {
            return Admission::QueueFull;
        }
        self.waiting.push_back(job);
        Admission::Queued
    }

    /// Counts work that reaches a warming host towards its crash, even if it is rejected.
    fn record_arrival(&mut self, work: Duration, cold_start: &ColdStart, now: Timestamp) {
        let capacity = self.capacity_fraction(cold_start, now);
        self.recent_arrivals.push_back(Arrival { at: now, work });
        while self.recent_arrivals.front().is_some_and(|arrival| now - arrival.at > cold_start.window) {
            self.recent_arrivals.pop_front();
        }
        let sent: u64 = self.recent_arrivals.iter().map(|arrival| arrival.work.as_micros()).sum();
        let window = cold_start.window.as_micros() as f64;
        let allowed = cold_start.overload_multiple * capacity * f64::from(self.cores) * window;
        self.crashed = capacity < 1.0 && sent as f64 > allowed;
        if capacity < 1.0 {
            let bound = ColdStart::chance_bound(allowed / cold_start.mean_work.as_micros().max(1) as f64);
            self.peak_cold_load = self.peak_cold_load.max(self.recent_arrivals.len() as f64 / bound);
        }
    }

    /// A job is finished; returns the next one from the queue, which gets its core.
    pub fn finish(&mut self, job: &Job, cold_start: &ColdStart, now: Timestamp) -> Option<StartedJob> {
        self.running.retain(|other| other != job);
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(StartedJob { job: next, duration: self.duration(&next, cold_start, now) })
    }

    /// Withdraws a job that still waits, and returns whether it did: one that runs goes on.
    pub fn withdraw(&mut self, job: &Job) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|other| other != job);
        self.waiting.len() < before
    }

    /// Whether a job is running.
    pub fn runs(&self, job: &Job) -> bool {
        self.running.contains(job)
    }

    /// How stale its data are, where the replication lag is usually `lag`.
    pub fn staleness(&self, lag: Duration, now: Timestamp) -> Duration {
        match self.replication_stalled_since {
            _ if self.primary => Duration::ZERO,
            Some(since) => lag + (now - since),
            None => lag,
        }
    }

    /// Its load report, measured anew once `interval` has passed since the last measurement.
    pub fn report(&mut self, lag: Duration, interval: Duration, now: Timestamp) -> LoadReport {
        if now - self.measured.at >= interval || self.measured.at == Timestamp::ZERO {
            self.measured = Measurement { at: now, queue: self.waiting.len() };
        }
        let staleness = self.staleness(lag, self.measured.at);
        LoadReport {
            role: Some(self.role()),
            position: Some(self.measured.at - staleness),
            queue: Some(self.measured.queue as f64),
        }
    }
}

/// The cores of all replicas together.
pub fn replica_cores(hosts: &[SimulatedHost]) -> f64 {
    hosts.iter().filter(|host| !host.primary).map(|host| f64::from(host.cores)).sum()
}

/// The indices of all usable replicas.
pub fn usable_replicas(hosts: &[SimulatedHost]) -> Vec<usize> {
    (0..hosts.len()).filter(|host| hosts[*host].usable() && !hosts[*host].primary).collect()
}

/// This fraction of each group's usable replicas, the same ones at every call: what is left of each group follows from
/// the fraction alone, not from a draw.
pub fn fraction_of_each_shard(hosts: &[SimulatedHost], fraction: f64) -> Vec<usize> {
    let mut by_shard: BTreeMap<ShardId, Vec<usize>> = BTreeMap::new();
    for host in usable_replicas(hosts) {
        by_shard.entry(hosts[host].shard).or_default().push(host);
    }
    let chosen = |replicas: Vec<usize>| replicas[..(replicas.len() as f64 * fraction) as usize].to_vec();
    by_shard.into_values().flat_map(chosen).collect()
}

#[cfg(test)]
mod tests;
