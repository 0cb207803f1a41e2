//! Simulated database hosts: cores that serve a queue in order of arrival, slow start, crashes under
//! overload, and replication lag.
//!
//! The model has neither clock nor sockets: the time is an argument of each call. The simulated fleet calls
//! it from events, the fleet of real processes from sockets.

use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{Host, LoadReport, Role, ShardId};
use std::collections::{BTreeMap, VecDeque};

/// One attempt at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Index of the router that sent it.
    pub router: usize,
    /// Number of the request at the router.
    pub request: u32,
    /// Number of the attempt.
    pub attempt: u16,
    /// Service time on one core at full speed.
    pub work: Duration,
}

/// How hosts behave in slow start: with reduced capacity, and crashing under overload.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Fraction of its capacity that a host has when it starts.
    pub initial_capacity: f64,
    /// Time from the start of a host until it has its full capacity.
    pub warmup: Duration,
    /// A host crashes if it receives more than this multiple of what it can serve within `window`.
    pub overload_multiple: f64,
    /// Length of the overload window.
    pub window: Duration,
    /// Mean service time of a request on one core.
    pub mean_work: Duration,
}

impl SlowStart {
    /// Returns the bound on the number of requests within `window` if the settings allow `allowed` requests
    /// of mean work.
    ///
    /// Routers draw independently whether they send a request, so that the standard deviation of the number
    /// of requests is at most the square root of its mean, which is `allowed`. The bound is the mean plus two
    /// standard deviations plus two requests.
    ///
    /// ```
    /// assert_eq!(comethitch_lab::hosts::SlowStart::request_bound(25.0), 37.0);
    /// ```
    pub fn request_bound(allowed: f64) -> f64 {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// A request that arrived at a host.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Timestamp,
    work: Duration,
}

/// The last measurement for a load report.
#[derive(Clone, Copy, Debug)]
struct Measurement {
    at: Timestamp,
    queue: usize,
}

/// A simulated database host.
#[derive(Debug)]
pub struct SimulatedHost {
    /// Address of the host.
    pub host: Host,
    /// Shard of the host.
    pub shard: ShardId,
    /// Number of requests that it serves concurrently.
    pub cores: u16,
    /// Whether it is the primary of its shard.
    pub primary: bool,
    /// When its process started, or `None` if the host is past its slow start.
    pub started: Option<Timestamp>,
    /// When it began to drain, or `None` if it is not draining.
    pub draining: Option<Timestamp>,
    /// Whether it was removed from the fleet, or crashed in a failover.
    pub removed: bool,
    /// Whether it has crashed under overload.
    pub crashed: bool,
    /// Factor by which requests take longer than normal.
    pub slowdown: f64,
    /// Maximum number of queued requests.
    pub queue_limit: usize,
    /// When the replication to it stalled, or `None` if it is not stalled.
    pub replication_stalled_since: Option<Timestamp>,
    /// Maximum number of requests that arrived within a window during slow start, as a fraction of
    /// [`SlowStart::request_bound`].
    pub peak_warmup_load: f64,
    queue: VecDeque<Job>,
    running: Vec<Job>,
    /// Arrivals within the last [`SlowStart::window`].
    recent_arrivals: VecDeque<Arrival>,
    measured: Measurement,
}

/// Result of the arrival of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job runs, for this duration.
    Runs(Duration),
    /// The job waits for a core.
    Queued,
    /// The queue is full.
    QueueFull,
    /// The host is removed or has crashed, and does not answer.
    Unreachable,
}

/// A job that was assigned a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedJob {
    /// The job.
    pub job: Job,
    /// How long it runs.
    pub duration: Duration,
}

impl SimulatedHost {
    /// Creates an idle host past its slow start.
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
            peak_warmup_load: 0.0,
            queue: VecDeque::new(),
            running: Vec::new(),
            recent_arrivals: VecDeque::new(),
            measured: Measurement { at: Timestamp::ZERO, queue: 0 },
        }
    }

    /// Returns the fraction of its capacity that the host has now.
    pub fn capacity_fraction(&self, slow_start: &SlowStart, now: Timestamp) -> f64 {
        let initial = slow_start.initial_capacity;
        let progress = |started: Timestamp| (now - started).ratio(slow_start.warmup).min(1.0);
        self.started.map_or(1.0, |started| initial + (1.0 - initial) * progress(started))
    }

    /// Returns whether new requests may be sent to the host.
    pub fn is_usable(&self) -> bool {
        self.is_reachable() && self.draining.is_none()
    }

    /// Returns whether the host answers connections and requests at all.
    pub fn is_reachable(&self) -> bool {
        !self.removed && !self.crashed
    }

    /// Returns the current role of the host.
    pub fn role(&self) -> Role {
        if self.primary { Role::Primary } else { Role::Replica }
    }

    fn duration(&self, job: &Job, slow_start: &SlowStart, now: Timestamp) -> Duration {
        job.work.scaled(self.slowdown / self.capacity_fraction(slow_start, now))
    }

    /// Runs, queues or rejects a job that arrives.
    pub fn arrive(&mut self, job: Job, slow_start: &SlowStart, now: Timestamp) -> Admission {
        if !self.is_reachable() {
            return Admission::Unreachable;
        }
        self.record_arrival(job.work, slow_start, now);
        if self.crashed {
            return Admission::Unreachable;
        }
        if self.running.len() < usize::from(self.cores) {
            self.running.push(job);
            return Admission::Runs(self.duration(&job, slow_start, now));
        }
        if self.queue.len() >= self.queue_limit {
            return Admission::QueueFull;
        }
        self.queue.push_back(job);
        Admission::Queued
    }

    /// Counts work that arrives, even if it is rejected later, and crashes a host in slow start that is
    /// overloaded.
    fn record_arrival(&mut self, work: Duration, slow_start: &SlowStart, now: Timestamp) {
        let capacity = self.capacity_fraction(slow_start, now);
        self.recent_arrivals.push_back(Arrival { at: now, work });
        while self.recent_arrivals.front().is_some_and(|arrival| now - arrival.at > slow_start.window) {
            self.recent_arrivals.pop_front();
        }
        let arrived_us: u64 = self.recent_arrivals.iter().map(|arrival| arrival.work.as_micros()).sum();
        let window_us = slow_start.window.as_micros() as f64;
        let allowed_us = slow_start.overload_multiple * capacity * f64::from(self.cores) * window_us;
        self.crashed = capacity < 1.0 && arrived_us as f64 > allowed_us;
        if capacity < 1.0 {
            let bound = SlowStart::request_bound(allowed_us / slow_start.mean_work.as_micros().max(1) as f64);
            self.peak_warmup_load = self.peak_warmup_load.max(self.recent_arrivals.len() as f64 / bound);
        }
    }

    /// Finishes a job, and returns the next one from the queue, which is assigned its core.
    pub fn finish(&mut self, job: &Job, slow_start: &SlowStart, now: Timestamp) -> Option<StartedJob> {
        self.running.retain(|other| other != job);
        let next = self.queue.pop_front()?;
        self.running.push(next);
        Some(StartedJob { job: next, duration: self.duration(&next, slow_start, now) })
    }

    /// Removes a job from the queue. Returns `false` if it was not in the queue: it runs already or is
    /// finished.
    pub fn withdraw(&mut self, job: &Job) -> bool {
        let before = self.queue.len();
        self.queue.retain(|other| other != job);
        self.queue.len() < before
    }

    /// Returns whether a job is running.
    pub fn runs(&self, job: &Job) -> bool {
        self.running.contains(job)
    }

    /// Returns the staleness of its data. `lag` is the replication lag without a stall.
    pub fn staleness(&self, lag: Duration, now: Timestamp) -> Duration {
        match self.replication_stalled_since {
            _ if self.primary => Duration::ZERO,
            Some(since) => lag + (now - since),
            None => lag,
        }
    }

    /// Returns its load report, whose values are measured again if `interval` has passed since the last
    /// measurement.
    pub fn report(&mut self, lag: Duration, interval: Duration, now: Timestamp) -> LoadReport {
        if now - self.measured.at >= interval || self.measured.at == Timestamp::ZERO {
            self.measured = Measurement { at: now, queue: self.queue.len() };
        }
        let staleness = self.staleness(lag, self.measured.at);
        LoadReport {
            role: Some(self.role()),
            position: Some(self.measured.at - staleness),
            queue_length: Some(self.measured.queue as f64),
        }
    }
}

/// Returns the total number of cores of all replicas.
pub fn replica_cores(hosts: &[SimulatedHost]) -> f64 {
    hosts.iter().filter(|host| !host.primary).map(|host| f64::from(host.cores)).sum()
}

/// Returns the indices of all usable replicas.
pub fn usable_replicas(hosts: &[SimulatedHost]) -> Vec<usize> {
    (0..hosts.len()).filter(|host| hosts[*host].is_usable() && !hosts[*host].primary).collect()
}

/// Returns the indices of this fraction of each shard's usable replicas: those with the lowest indices,
/// without a random draw, so that the replicas left in each shard depend only on the fraction.
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
