//! Network faults on the links between routers and hosts: cut, delayed or reset, in either direction.
//!
//! The model has neither clock nor sockets: the fleet of real processes calls [`Links::outcome`] for each
//! message.

use crate::trial::{Direction, LinkFault};
use comethitch_policy::time::Duration;
use std::collections::BTreeSet;

/// What happens to a message on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The message arrives after this additional delay.
    Delivered(Duration),
    /// The message is dropped without notice.
    Dropped,
    /// The connection is reset.
    Reset,
}

/// Destination of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// A host, from a router.
    Host,
    /// A router, from a host.
    Router,
}

/// An active fault of the links between some routers and some hosts.
#[derive(Debug)]
struct ActiveFault {
    id: u64,
    routers: BTreeSet<usize>,
    hosts: BTreeSet<usize>,
    direction: Direction,
    fault: LinkFault,
}

impl ActiveFault {
    fn affects(&self, router: usize, host: usize, destination: Destination) -> bool {
        let direction_matches = match self.direction {
            Direction::Both => true,
            Direction::ToHosts => destination == Destination::Host,
            Direction::ToRouters => destination == Destination::Router,
        };
        direction_matches && self.routers.contains(&router) && self.hosts.contains(&host)
    }

    fn is_partition(&self) -> bool {
        self.fault == LinkFault::Cut && self.direction == Direction::Both && !self.hosts.is_empty()
    }
}

/// All active link faults.
#[derive(Debug, Default)]
pub struct Links {
    last_id: u64,
    active: Vec<ActiveFault>,
}

impl Links {
    /// Injects a fault into the links between these routers and these hosts, and returns its id for
    /// [`Links::clear`].
    pub fn inject(
        &mut self, routers: BTreeSet<usize>, hosts: BTreeSet<usize>, direction: Direction, fault: LinkFault,
    ) -> u64 {
        self.last_id += 1;
        self.active.push(ActiveFault { id: self.last_id, routers, hosts, direction, fault });
        self.last_id
    }

    /// Ends the fault with this id.
    pub fn clear(&mut self, id: u64) {
        self.active.retain(|active| active.id != id);
    }

    /// Returns what happens to a message. `draw` is a random number from 0 to 1.
    ///
    /// If several faults affect a link, a cut takes precedence over a reset, and a reset over delays. Delays
    /// add up.
    pub fn outcome(&self, router: usize, host: usize, destination: Destination, draw: f64) -> Outcome {
        let mut delay = Duration::ZERO;
        let mut reset = false;
        for active in self.active.iter().filter(|active| active.affects(router, host, destination)) {
            match active.fault {
                LinkFault::Cut => return Outcome::Dropped,
                LinkFault::DelayMs(ms) => delay += Duration::from_millis(ms),
                LinkFault::Reset(probability) => reset |= draw < probability,
            }
        }
        if reset { Outcome::Reset } else { Outcome::Delivered(delay) }
    }

    /// Returns whether a router is cut off from some host in both directions, so that it receives no endpoint
    /// updates.
    pub fn is_partitioned(&self, router: usize) -> bool {
        self.active.iter().any(|active| active.is_partition() && active.routers.contains(&router))
    }
}

#[cfg(test)]
mod tests;
