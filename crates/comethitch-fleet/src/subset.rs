//! Subsetting: the few replicas of a group that one router knows well and uses.
//!
//! A router that sees two requests a second of a group can't know twenty replicas within three seconds, nor hold a
//! connection to each. It ranks them by weighted rendezvous hashing (each replica draws from a hash of the router's
//! seed and the host, and the draw is stretched by the host's weight) and uses the first few. Over many routers
//! every host is then in subsets in proportion to its weight (light ones a little more often, as no host is drawn
//! twice). A host that can't be used is left out by the caller, so that the next in rank takes its place and gives it
//! back later; no other rank moves.
//!
//! A subset drifts: each pair of router and host draws anew once in a drift period, at a moment of its own, so that no
//! unlucky draw lasts and no two changes fall together.

use crate::hash;
use comethitch_time::{Duration, Timestamp};

/// A subset has three members at least: one may fail, one may lag, and one remains.
pub const MIN_SIZE: usize = 3;

impl Member {
    /// A host that all routers use, such as a primary.
    pub fn of_all_routers(index: usize) -> Member {
        Member { index, weight: 1.0, router_share: 1.0 }
    }
}

/// How many requests share one refresh of a member's position: a subset grows only as far as requests pay for it.
const COMMANDS_PER_REFRESH: f64 = 8.0;

/// Marks the hash of the moment at which a pair of router and host draws anew, apart from those of its draws.
const DRIFT_OFFSET: u64 = u64::MAX;

/// A replica that may be in the subset.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The caller's number for it.
    pub index: usize,
    /// What it is hashed by.
    pub host_key: u64,
    /// The capacity that it has at this moment, in any unit, above 0.
    pub weight: f64,
}

/// A replica in the subset.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// The caller's number for it.
    pub index: usize,
    /// Its weight in a draw among the members. A small subset holds a host as often as its weight says, so that a
    /// draw among its members is even; in a subset that holds all hosts the weights themselves must count.
    pub weight: f64,
    /// The share of all routers that have this host in their subsets, 0 to 1.
    pub router_share: f64,
}

/// How many members a subset has, by the requests that the router sees of a group while one position stays fresh: so
/// that no router, however much it sees, sends a host much more than another does.
pub fn size(requests_per_refresh: f64) -> usize {
    ((requests_per_refresh / COMMANDS_PER_REFRESH).ceil() as usize).max(MIN_SIZE)
}

/// The subset of the router with this seed: the first `size` candidates by rank, best first; all, if there are no
/// more than that.
pub fn select(
    hash_seed: u64, now: Timestamp, drift: Duration, size: usize, candidates: impl Iterator<Item = Candidate>,
) -> Vec<Member> {
    first_members(&rank_all(hash_seed, now, drift, candidates), size, |_| true)
}

/// All replicas of a group in the order of their ranks, kept for a while: to hash and sort them costs many times what it
/// takes to read a subset off. Whether a replica can be used is asked at each reading, as that changes at any moment.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    ranked: Vec<Candidate>,
    /// Until when it holds.
    valid_until: Timestamp,
}

impl Ranking {
    /// Whether it has to be made anew.
    pub fn is_outdated(&self, now: Timestamp) -> bool {
        now >= self.valid_until
    }

    /// Makes sure that it is made anew before it is read again.
    pub fn invalidate(&mut self) {
        self.valid_until = Timestamp::ZERO;
    }

    /// Ranks all replicas anew. The order then holds for `lifetime`: ranks move only as weights do, and as pairs of
    /// router and host draw anew, once in each `drift`.
    pub fn renew(
        &mut self, hash_seed: u64, now: Timestamp, drift: Duration, lifetime: Duration,
        replicas: impl Iterator<Item = Candidate>,
    ) {
        self.ranked = rank_all(hash_seed, now, drift, replicas);
        self.valid_until = now + lifetime;
    }

    /// The first `size` replicas that can be used, best first; all, if there are no more than that.
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

/// The lower, the better. The draw is exponential with the weight as its rate: of any set of candidates the lowest
/// is each one with a chance in proportion to its weight.
fn rank(hash_seed: u64, candidate: &Candidate, now: Timestamp, drift: Duration) -> f64 {
    let drift = drift.as_micros().max(1);
    let offset = (hash::uniform([hash_seed, candidate.host_key, DRIFT_OFFSET]) * drift as f64) as u64;
    let period = now.as_micros().saturating_add(offset) / drift;
    let draw = hash::uniform([hash_seed, candidate.host_key, period]);
    -(1.0 - draw).ln() / candidate.weight.max(f64::MIN_POSITIVE)
}

#[cfg(test)]
mod tests;
