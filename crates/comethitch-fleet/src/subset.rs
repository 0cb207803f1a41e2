//! Subsetting: selects the few replicas of a shard that one router uses.
//!
//! A router that receives two requests per second for a shard can neither keep the positions of twenty
//! replicas fresh nor keep a connection open to each. It ranks the replicas by weighted rendezvous hashing (a
//! hash of the router's seed and the host, scaled by the host's weight) and uses the first few. Over many
//! routers, the number of subsets that contain a host is proportional to its weight (slightly higher for
//! hosts of low weight, because no subset contains a host twice). The caller leaves out hosts that cannot be
//! used. The next host in rank replaces such a host until it can be used again, and the other ranks do not
//! change.
//!
//! Subsets change slowly: each pair of router and host is rehashed once per drift period, at a different time
//! for each pair. Hence, an uneven selection does not last, and changes do not coincide.

use crate::hash;
use comethitch_time::{Duration, Timestamp};

/// Minimum number of members of a subset: if one fails and another one lags, there is still one to use.
pub const MIN_SIZE: usize = 3;

/// Number of requests for which a subset above the minimum size has one more member, and so one more position
/// to refresh. It bounds the cost of refreshing larger subsets.
const REQUESTS_PER_REFRESH: f64 = 8.0;

/// Hash input that distinguishes the hash of a pair's drift offset from the hashes of its ranks.
const DRIFT_OFFSET_INPUT: u64 = u64::MAX;

/// A replica that may be selected.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The index of the host in the caller's table.
    pub index: usize,
    /// A number that identifies the host in hashes.
    pub host_key: u64,
    /// The current capacity of the host, in any unit; above 0.
    pub weight: f64,
}

/// A selected replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// The index of the host in the caller's table.
    pub index: usize,
    /// The weight of the member when one is chosen at random. A small subset already contains hosts in
    /// proportion to their weights, so that its members have equal weights. The members of a subset of all
    /// hosts have the weights of the candidates.
    pub weight: f64,
    /// The fraction of all routers whose subsets contain this host, from 0 to 1.
    pub router_share: f64,
}

impl Member {
    /// Returns a member that all routers use, such as the primary.
    pub fn of_all_routers(index: usize) -> Member {
        Member { index, weight: 1.0, router_share: 1.0 }
    }
}

/// Returns the size of a subset, given the number of requests for the shard that arrive while a position
/// stays fresh.
///
/// The size grows with the traffic, so that a busy router does not send much more to one host than other
/// routers do.
pub fn size(requests_per_refresh: f64) -> usize {
    ((requests_per_refresh / REQUESTS_PER_REFRESH).ceil() as usize).max(MIN_SIZE)
}

/// Selects the subset of the router with this seed: the first `size` candidates by rank, or all candidates if
/// there are fewer.
pub fn select(
    hash_seed: u64, now: Timestamp, drift: Duration, size: usize, candidates: impl Iterator<Item = Candidate>,
) -> Vec<Member> {
    first_members(&rank_all(hash_seed, now, drift, candidates), size, |_| true)
}

/// All replicas of a shard in the order of their ranks, cached because hashing and sorting are expensive.
///
/// Whether a replica can be used is checked each time members are read, because it may change at any time.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    ranked: Vec<Candidate>,
    /// The time from which the ranking must be renewed.
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

    /// Ranks all replicas. The ranking is valid for `lifetime`: ranks change only if weights change and, once
    /// per `drift` period, when a pair is rehashed.
    pub fn renew(
        &mut self, hash_seed: u64, now: Timestamp, drift: Duration, lifetime: Duration,
        replicas: impl Iterator<Item = Candidate>,
    ) {
        self.ranked = rank_all(hash_seed, now, drift, replicas);
        self.valid_until = now + lifetime;
    }

    /// Returns the first `size` usable replicas, best first, or all usable ones if there are fewer.
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
    /// assert!(!ranking.is_outdated(Timestamp::from_millis(104)));
    /// assert!(ranking.is_outdated(Timestamp::from_millis(105)));
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
    ranked.sort_unstable_by(|left, right| left.0.total_cmp(&right.0).then(left.1.index.cmp(&right.1.index)));
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}

fn first_members(ranked: &[Candidate], size: usize, is_usable: impl Fn(usize) -> bool) -> Vec<Member> {
    let usable: Vec<&Candidate> = ranked.iter().filter(|candidate| is_usable(candidate.index)).collect();
    let total_weight: f64 = usable.iter().map(|candidate| candidate.weight).sum();
    let equal_weight = total_weight / size.max(1) as f64;
    let member = |candidate: &Candidate| Member {
        index: candidate.index,
        weight: candidate.weight.max(equal_weight),
        router_share: (candidate.weight / equal_weight).min(1.0),
    };
    usable.into_iter().take(size).map(member).collect()
}

/// Returns the rank of a candidate; lower is better. Ranks are exponentially distributed with the weight as
/// the rate, so that the probability that a candidate has the lowest rank is proportional to its weight.
fn rank(hash_seed: u64, candidate: &Candidate, now: Timestamp, drift: Duration) -> f64 {
    let drift = drift.as_micros().max(1);
    let offset = (hash::uniform([hash_seed, candidate.host_key, DRIFT_OFFSET_INPUT]) * drift as f64) as u64;
    let period = now.as_micros().saturating_add(offset) / drift;
    let random = hash::uniform([hash_seed, candidate.host_key, period]);
    -(1.0 - random).ln() / candidate.weight.max(f64::MIN_POSITIVE)
}

#[cfg(test)]
mod tests;
