//! Subsetting: selects the few replicas of a shard that one router uses.
//!
//! A router that receives two requests a second for a shard can't keep fresh positions of twenty replicas, nor a
//! connection to each. It ranks the replicas by weighted rendezvous hashing (a hash of the router's seed and the host,
//! scaled by the host's weight) and uses the first few. Over many routers, a host is in subsets in proportion to its
//! weight (light hosts slightly more often, because no host is selected twice). The caller leaves out hosts that can't be
//! used; the next host in rank takes the place until the host can be used again, and no other rank changes.
//!
//! Subsets change slowly: each pair of router and host is rehashed once per drift period, at a different time for
//! each pair. An uneven selection does not last, and changes do not coincide.

use crate::hash;
use comethitch_time::{Duration, Timestamp};

/// Minimum number of members: one may fail and one may lag.
pub const MIN_SIZE: usize = 3;

/// Number of requests for which one member's position is refreshed: it bounds the cost of larger subsets.
const REQUESTS_PER_REFRESH: f64 = 8.0;

/// Distinguishes the hash of a pair's drift time from the hashes of its ranks.
const DRIFT_OFFSET: u64 = u64::MAX;

/// A replica that may be selected.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The caller's index of the host.
    pub index: usize,
    /// Identifies the host in hashes.
    pub host_key: u64,
    /// Its current capacity, in any unit, above 0.
    pub weight: f64,
}

/// A selected replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// The caller's index of the host.
    pub index: usize,
    /// Its weight when a member is chosen at random. Small subsets already contain hosts in proportion to their weights,
    /// so that their members weigh the same; in a subset of all hosts the candidates' weights apply.
    pub weight: f64,
    /// The fraction of all routers that have this host in their subsets, 0 to 1.
    pub router_share: f64,
}

impl Member {
    /// Returns a member that all routers use, such as a primary.
    pub fn of_all_routers(index: usize) -> Member {
        Member { index, weight: 1.0, router_share: 1.0 }
    }
}

/// Returns the size of a subset, given the number of requests for the shard that arrive while one position stays fresh.
///
/// The size grows with the traffic, so that a busy router does not send one host much more than others do.
pub fn size(requests_per_refresh: f64) -> usize {
    ((requests_per_refresh / REQUESTS_PER_REFRESH).ceil() as usize).max(MIN_SIZE)
}

/// Selects the subset of the router with this seed: the first `size` candidates by rank, or all if there are fewer.
pub fn select(
    hash_seed: u64, now: Timestamp, drift: Duration, size: usize, candidates: impl Iterator<Item = Candidate>,
) -> Vec<Member> {
    first_members(&rank_all(hash_seed, now, drift, candidates), size, |_| true)
}

/// All replicas of a shard in the order of their ranks, cached because hashing and sorting are expensive.
///
/// Whether a replica can be used is checked on each read, as it may change at any time.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    ranked: Vec<Candidate>,
    /// When the ranking must be renewed.
    valid_until: Timestamp,
}

impl Ranking {
    /// Returns whether the ranking must be renewed.
    pub fn is_outdated(&self, now: Timestamp) -> bool {
        now >= self.valid_until
    }

    /// Marks the ranking as outdated.
    pub fn invalidate(&mut self) {
        self.valid_until = Timestamp::ZERO;
    }

    /// Ranks all replicas. The order is valid for `lifetime`: ranks change only with weights and, once per `drift`
    /// period, with each pair's hash.
    pub fn renew(
        &mut self, hash_seed: u64, now: Timestamp, drift: Duration, lifetime: Duration,
        replicas: impl Iterator<Item = Candidate>,
    ) {
        self.ranked = rank_all(hash_seed, now, drift, replicas);
        self.valid_until = now + lifetime;
    }

    /// Returns the first `size` usable replicas, best first, or all if there are fewer.
    ///
    /// ```
    /// use comethitch_fleet::subset::{Candidate, Ranking, select};
    /// use comethitch_time::{Duration, Timestamp};
    /// let replicas = || (0..9).map(|key| Candidate { index: key, host_key: key as u64, weight: 1.0 });
    /// let (now, drift) = (Timestamp::from_millis(5), Duration::from_secs(60));
    /// let mut ranking = Ranking::default();
    /// assert!(ranking.is_outdated(now));
    /// ranking.renew(7, now, drift, Duration::from_millis(100), replicas());
    /// assert_eq!(ranking.members(3, |_| true), select(7, now, drift, 3, replicas()));
    /// assert!(!ranking.is_outdated(Timestamp::from_millis(104)) && ranking.is_outdated(Timestamp::from_millis(105)));
    /// ```
    pub fn members(&self, size: usize, is_usable: impl Fn(usize) -> bool) -> Vec<Member> {
        first_members(&self.ranked, size, is_usable)
    }
}

fn rank_all(
    hash_seed: u64, now: Timestamp, drift: Duration, candidates: impl Iterator<Item = Candidate>,
) -> Vec<Candidate> {
    let mut ranked: Vec<(f64, Candidate)> =
        candidates.map(|candidate| (rank(hash_seed, &candidate, now, drift), candidate)).collect();
    ranked.sort_unstable_by(|one, other| one.0.total_cmp(&other.0).then(one.1.index.cmp(&other.1.index)));
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}

fn first_members(ranked: &[Candidate], size: usize, is_usable: impl Fn(usize) -> bool) -> Vec<Member> {
    let usable: Vec<&Candidate> = ranked.iter().filter(|candidate| is_usable(candidate.index)).collect();
    let total_weight: f64 = usable.iter().map(|candidate| candidate.weight).sum();
    let even = total_weight / size.max(1) as f64;
    let member = |candidate: &Candidate| Member {
        index: candidate.index,
        weight: candidate.weight.max(even),
        router_share: (candidate.weight / even).min(1.0),
    };
    usable.into_iter().take(size).map(member).collect()
}

/// Returns the rank of a candidate; lower is better. Ranks are exponentially distributed with the weight as the rate,
/// so that each candidate is the lowest with a probability proportional to its weight.
fn rank(hash_seed: u64, candidate: &Candidate, now: Timestamp, drift: Duration) -> f64 {
    let drift = drift.as_micros().max(1);
    let offset = (hash::uniform([hash_seed, candidate.host_key, DRIFT_OFFSET]) * drift as f64) as u64;
    let period = now.as_micros().saturating_add(offset) / drift;
    let draw = hash::uniform([hash_seed, candidate.host_key, period]);
    -(1.0 - draw).ln() / candidate.weight.max(f64::MIN_POSITIVE)
}

#[cfg(test)]
mod tests;
