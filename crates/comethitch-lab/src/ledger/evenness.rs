//! Measures how evenly reads were spread over hosts in each second.

use std::collections::BTreeMap;

/// Reads per core, by second and host.
#[derive(Debug, Default)]
pub(super) struct LoadByHost {
    by_second: BTreeMap<u64, BTreeMap<usize, f64>>,
}

/// Spread of the load over the usable hosts in one second.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spread {
    /// Coefficient of variation.
    pub variation: f64,
    /// Ratio of the maximum to the mean.
    pub peak_to_mean: f64,
}

/// Numbers of consecutive seconds in which a host received no read.
#[derive(Clone, Copy, Debug, Default)]
struct IdleSeconds {
    current: u64,
    longest: u64,
}

impl IdleSeconds {
    fn record_second(&mut self, load: f64) {
        self.current = if load > 0.0 { 0 } else { self.current + 1 };
        self.longest = self.longest.max(self.current);
    }
}

/// Spread of the load over a whole trial.
#[derive(Debug, Default)]
pub(super) struct Evenness {
    /// Spread in each second in which any host was loaded.
    pub by_second: Vec<(u64, Spread)>,
    /// Longest time that a usable host received no read, in seconds.
    pub longest_idle_s: u64,
}

impl LoadByHost {
    /// Adds load to a host in a second. A load of 0 registers the host.
    pub(super) fn add(&mut self, second: u64, host: usize, load: f64) {
        *self.by_second.entry(second).or_default().entry(host).or_insert(0.0) += load;
    }

    /// Summarizes all seconds, each over the hosts that were usable throughout it.
    pub(super) fn summary(&self, is_usable_throughout: &dyn Fn(u64, usize) -> bool) -> Evenness {
        let mut evenness = Evenness::default();
        let mut idle: BTreeMap<usize, IdleSeconds> = BTreeMap::new();
        for (second, loads) in &self.by_second {
            let usable_hosts = loads.iter().filter(|(host, _)| is_usable_throughout(*second, **host));
            let loads: Vec<(usize, f64)> = usable_hosts.map(|(host, load)| (*host, *load)).collect();
            for (host, load) in &loads {
                idle.entry(*host).or_default().record_second(*load);
            }
            if let Some(spread) = Spread::of(&loads) {
                evenness.by_second.push((*second, spread));
            }
        }
        evenness.longest_idle_s = idle.values().map(|idle| idle.longest).max().unwrap_or(0);
        evenness
    }
}

impl Spread {
    /// Returns the spread of the loads of hosts, or `None` if there is no load.
    fn of(loads: &[(usize, f64)]) -> Option<Spread> {
        let mean = loads.iter().map(|(_, load)| load).sum::<f64>() / loads.len().max(1) as f64;
        if mean <= 0.0 {
            return None;
        }
        let squares = loads.iter().map(|(_, load)| (load - mean).powi(2)).sum::<f64>();
        let variance = squares / loads.len() as f64;
        let peak = loads.iter().map(|(_, load)| *load).fold(0.0, f64::max);
        Some(Spread { variation: variance.sqrt() / mean, peak_to_mean: peak / mean })
    }
}

impl Evenness {
    /// Returns the mean coefficient of variation over all seconds.
    pub(super) fn mean_variation(&self) -> f64 {
        self.mean(|spread| spread.variation)
    }

    /// Returns the mean ratio of the maximum to the mean over all seconds.
    pub(super) fn mean_peak_to_mean(&self) -> f64 {
        self.mean(|spread| spread.peak_to_mean)
    }

    fn mean(&self, figure: fn(&Spread) -> f64) -> f64 {
        let sum = self.by_second.iter().map(|(_, spread)| figure(spread)).sum::<f64>();
        sum / self.by_second.len().max(1) as f64
    }
}
