//! Database hosts in simulated time: some cores, a line of commands in order of arrival, a cold start, and a fall.

use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{Host, HostReport, Role, Shard};
use std::collections::{BTreeMap, VecDeque};

/// One dispatch at a host: which router sent it, of which command, and how much work it is on one core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    pub router: usize,
    pub command: u32,
    pub nth: u16,
    pub work: Duration,
}

/// What is told of hosts that have just started.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    pub from: f64,
    pub within: Duration,
    pub multiple: f64,
    pub span: Duration,
    /// What a command takes on one core, on the mean.
    pub work: Duration,
}

impl Cold {
    /// The most commands within `span` that count as chance where the settings allow so many of mean work: each router
    /// draws for itself whether it sends one, so that the sum of all spreads by the root of its mean at the most.
    ///
    /// ```
    /// assert_eq!(comethitch_lab::hosts::Cold::most(25.0), 37.0);
    /// ```
    pub fn most(allowed: f64) -> f64 {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

#[derive(Debug)]
pub struct Box {
    pub host: Host,
    pub group: Shard,
    pub cores: u16,
    pub primary: bool,
    pub started: Option<Timestamp>,
    pub draining: Option<Timestamp>,
    pub gone: bool,
    pub fallen: bool,
    /// 1 as usual, 3 if it takes three times as long.
    pub slow: f64,
    pub queue_most: usize,
    /// Since when nothing reaches its log, if it stands still.
    pub stalled: Option<Timestamp>,
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    /// What was sent lately, for its fall: at most as long as `Cold::span`.
    pressure: VecDeque<(Timestamp, Duration)>,
    /// The most commands that came within a span while it was cold, over [`Cold::most`] of what it bore then.
    pub crowd: f64,
    reported: (Timestamp, usize),
}

/// What became of a job that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrived {
    /// It runs and is done after this.
    Runs(Duration),
    Waits,
    Full,
    /// Nobody answers: gone, or fallen over.
    Dead,
}

impl Box {
    pub fn new(host: Host, group: Shard, cores: u16, primary: bool, queue_per_core: u16) -> Box {
        Box {
            host,
            group,
            cores,
            primary,
            started: None,
            draining: None,
            gone: false,
            fallen: false,
            slow: 1.0,
            queue_most: usize::from(cores) * usize::from(queue_per_core),
            stalled: None,
            waiting: VecDeque::new(),
            running: Vec::new(),
            pressure: VecDeque::new(),
            crowd: 0.0,
            reported: (Timestamp::ZERO, 0),
        }
    }

    /// The part of its power that it has now.
    pub fn warmth(&self, cold: &Cold, now: Timestamp) -> f64 {
        let passed = |at: Timestamp| (now - at).ratio(cold.within).min(1.0);
        self.started.map_or(1.0, |at| cold.from + (1.0 - cold.from) * passed(at))
    }

    /// Whether new commands should come here.
    pub fn usable(&self) -> bool {
        !self.gone && !self.fallen && self.draining.is_none()
    }

    fn takes(&self, job: &Job, cold: &Cold, now: Timestamp) -> Duration {
        job.work.scaled(self.slow / self.warmth(cold, now))
    }

    pub fn arrive(&mut self, job: Job, cold: &Cold, now: Timestamp) -> Arrived {
        if self.gone || self.fallen {
            return Arrived::Dead;
        }
        self.press(job.work, cold, now);
        if self.fallen {
            return Arrived::Dead;
        }
        if self.running.len() < usize::from(self.cores) {
            self.running.push(job);
            return Arrived::Runs(self.takes(&job, cold, now));
        }
        if self.waiting.len() >= self.queue_most {
            return Arrived::Full;
        }
        self.waiting.push_back(job);
        Arrived::Waits
    }

    /// Work that reaches a cold host adds to what may push it over, even if it is turned away.
    fn press(&mut self, work: Duration, cold: &Cold, now: Timestamp) {
        let warmth = self.warmth(cold, now);
        self.pressure.push_back((now, work));
        while self.pressure.front().is_some_and(|(at, _)| now - *at > cold.span) {
            self.pressure.pop_front();
        }
        let sent: u64 = self.pressure.iter().map(|(_, work)| work.as_micros()).sum();
        let bears = cold.multiple * warmth * f64::from(self.cores) * cold.span.as_micros() as f64;
        self.fallen = warmth < 1.0 && sent as f64 > bears;
        if warmth < 1.0 {
            let most = Cold::most(bears / cold.work.as_micros().max(1) as f64);
            self.crowd = self.crowd.max(self.pressure.len() as f64 / most);
        }
    }

    /// A job is done: the next one in line, and how long it takes.
    pub fn done(&mut self, job: &Job, cold: &Cold, now: Timestamp) -> Option<(Job, Duration)> {
        self.running.retain(|other| other != job);
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some((next, self.takes(&next, cold, now)))
    }

    /// Takes back a job that still waits. One that runs goes on.
    pub fn withdraw(&mut self, job: &Job) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|other| other != job);
        self.waiting.len() < before
    }

    pub fn runs(&self, job: &Job) -> bool {
        self.running.contains(job)
    }

    /// What it says of itself: renewed every so often.
    /// How far its data are behind, where replicas usually are by `lag`.
    pub fn behind(&self, lag: Duration, now: Timestamp) -> Duration {
        match self.stalled {
            _ if self.primary => Duration::ZERO,
            Some(since) => lag + (now - since),
            None => lag,
        }
    }

    pub fn report(&mut self, lag: Duration, every: Duration, now: Timestamp) -> HostReport {
        if now - self.reported.0 >= every || self.reported.0 == Timestamp::ZERO {
            self.reported = (now, self.waiting.len());
        }
        let behind = self.behind(lag, self.reported.0);
        HostReport {
            role: Some(if self.primary { Role::Primary } else { Role::Replica }),
            position: Some(self.reported.0 - behind),
            queue: Some(self.reported.1 as f64),
        }
    }
}

/// So large a part of each group's usable replicas, the same ones at every call: what is left of each group is what the
/// part says, and not what a draw left of it.
pub fn part_of_each(hosts: &[Box], part: f64) -> Vec<usize> {
    let mut of: BTreeMap<Shard, Vec<usize>> = BTreeMap::new();
    for (nth, host) in hosts.iter().enumerate().filter(|(_, host)| host.usable() && !host.primary) {
        of.entry(host.group).or_default().push(nth);
    }
    of.into_values().flat_map(|of| of[..(of.len() as f64 * part) as usize].to_vec()).collect()
}

#[cfg(test)]
mod tests;
