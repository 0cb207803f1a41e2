//! The subset: the few replicas of a group that one router knows well and uses.
//!
//! A router that sees two commands a second of a group can't know twenty replicas within three seconds, nor hold a
//! connection to each. It ranks them by weighted rendezvous hashing (each replica draws from a hash of the router's
//! salt and the host, and the draw is stretched by the host's weight) and uses the first few. Over many routers
//! every host is then in subsets in proportion to its weight (light ones a little more often, as no host is drawn
//! twice). A host that can't be used is left out by the caller,
//! so that the next in rank takes its place and gives it back later; no other rank moves.
//!
//! A subset drifts: each pair of router and host draws anew once in a `drift`, at a moment of its own, so that no
//! unlucky draw lasts and no two changes fall together.

use crate::drawn;
use comethitch_time::{Duration, Timestamp};

/// A subset has three members at least: one may fail, one may lag, and one remains.
pub const LEAST: usize = 3;

/// A replica that may be in the subset: the caller's number for it, what it is hashed by, and its weight (any
/// unit, above 0): the power it has at this moment.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    pub at: usize,
    pub key: u64,
    pub weight: f64,
}

/// A replica in the subset.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    pub at: usize,
    /// Its weight in a draw among the members. A small subset holds a host as often as its weight says, so that a
    /// draw among its members is even; in a subset that holds all hosts the weights themselves must count.
    pub draw: f64,
    /// The share of all routers that have this host in their subsets, 0 to 1.
    pub reach: f64,
}

/// How many commands share one proof of a member's position: a subset grows only as far as commands pay for it.
const PROOF_SHARED_BY: f64 = 8.0;

/// How many members a subset has, by the commands that the router sees of a group while one proof lasts: so that no
/// router, however much it sees, sends a host much more than another does.
pub fn size(commands_a_proof: f64) -> usize {
    ((commands_a_proof / PROOF_SHARED_BY).ceil() as usize).max(LEAST)
}

/// The subset of the router with this salt: the first `size` candidates by rank, best first; all, if there are no
/// more than that.
pub fn draw(
    salt: u64, now: Timestamp, drift: Duration, size: usize, candidates: impl Iterator<Item = Candidate>,
) -> Vec<Member> {
    let mut ranked: Vec<(f64, Candidate)> = candidates.map(|c| (rank(salt, &c, now, drift), c)).collect();
    let sum: f64 = ranked.iter().map(|(_, c)| c.weight).sum();
    ranked.sort_by(|one, other| one.0.total_cmp(&other.0).then(one.1.at.cmp(&other.1.at)));
    ranked.truncate(size);
    let even = sum / size.max(1) as f64;
    let member =
        |c: Candidate| Member { at: c.at, draw: c.weight.max(even), reach: (c.weight / even).min(1.0) };
    ranked.into_iter().map(|(_, candidate)| member(candidate)).collect()
}

/// The lower, the better. The draw is exponential with the weight as its rate: of any set of candidates the lowest
/// is each one with a chance in proportion to its weight.
fn rank(salt: u64, candidate: &Candidate, now: Timestamp, drift: Duration) -> f64 {
    let drift = drift.as_micros().max(1);
    let moment = (drawn([salt, candidate.key, u64::MAX]) * drift as f64) as u64;
    let draw = drawn([salt, candidate.key, (now.as_micros().saturating_add(moment)) / drift]);
    -(1.0 - draw).ln() / candidate.weight.max(f64::MIN_POSITIVE)
}

#[cfg(test)]
mod tests;
