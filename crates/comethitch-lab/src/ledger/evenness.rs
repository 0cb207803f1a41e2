//! How evenly reads were spread over hosts, second by second.

use std::collections::BTreeMap;

/// Reads that reached hosts, for each core of theirs, by second and host.
#[derive(Debug, Default)]
pub(super) struct LoadByHost {
    by_second: BTreeMap<u64, BTreeMap<usize, f64>>,
}

/// How one second's load was spread over the usable hosts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spread {
    /// The coefficient of variation.
    pub variation: f64,
    /// The greatest load over the mean.
    pub greatest: f64,
}

/// Consecutive seconds in which a host got no read.
#[derive(Clone, Copy, Debug, Default)]
struct IdleSeconds {
    current: u64,
    longest: u64,
}

impl IdleSeconds {
    fn next_second(&mut self, load: f64) {
        self.current = if load > 0.0 { 0 } else { self.current + 1 };
        self.longest = self.longest.max(self.current);
    }
}

/// The spread over a trial.
#[derive(Debug, Default)]
pub(super) struct Evenness {
    /// By second, where any load came.
    pub by_second: Vec<(u64, Spread)>,
    /// The most seconds in a row that a usable host was without a read.
    pub longest_idle: u64,
}

impl LoadByHost {
    /// Adds load to a host in a second; 0 notes the host itself.
    pub(super) fn add(&mut self, second: u64, host: usize, load: f64) {
        *self.by_second.entry(second).or_default().entry(host).or_insert(0.0) += load;
    }

    /// Adds up all seconds, counting only hosts that were usable throughout a second.
    pub(super) fn summary(&self, usable: &dyn Fn(u64, usize) -> bool) -> Evenness {
        let mut evenness = Evenness::default();
        let mut idle: BTreeMap<usize, IdleSeconds> = BTreeMap::new();
        for (second, loads) in &self.by_second {
            let usable_hosts = loads.iter().filter(|(host, _)| usable(*second, **host));
            let loads: Vec<(usize, f64)> = usable_hosts.map(|(host, load)| (*host, *load)).collect();
            for (host, load) in &loads {
                idle.entry(*host).or_default().next_second(*load);
            }
            if let Some(spread) = Spread::of(&loads) {
                evenness.by_second.push((*second, spread));
            }
        }
        evenness.longest_idle = idle.values().map(|idle| idle.longest).max().unwrap_or(0);
        evenness
    }
}

impl Spread {
    /// `None` without any load.
    fn of(loads: &[(usize, f64)]) -> Option<Spread> {
        let mean = loads.iter().map(|(_, load)| load).sum::<f64>() / loads.len().max(1) as f64;
        if mean <= 0.0 {
            return None;
        }
        let squares = loads.iter().map(|(_, load)| (load - mean).powi(2)).sum::<f64>();
        let variance = squares / loads.len() as f64;
        let greatest = loads.iter().map(|(_, load)| *load).fold(0.0, f64::max);
        Some(Spread { variation: variance.sqrt() / mean, greatest: greatest / mean })
    }
}

impl Evenness {
    /// The coefficient of variation, mean over the seconds.
    pub(super) fn mean_variation(&self) -> f64 {
        self.mean(|spread| spread.variation)
    }

    /// The greatest load over the mean, mean over the seconds.
    pub(super) fn mean_greatest(&self) -> f64 {
        self.mean(|spread| spread.greatest)
    }

    fn mean(&self, figure: fn(&Spread) -> f64) -> f64 {
        let sum = self.by_second.iter().map(|(_, spread)| figure(spread)).sum::<f64>();
        sum / self.by_second.len().max(1) as f64
    }
}
