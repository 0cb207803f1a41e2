//! Network faults on the links between routers and hosts: cut, delayed or reset, in either direction.
//!
//! Without clock or sockets: the fleet of real processes calls [`Links::fate`] for each message.

use crate::trial::{Direction, LinkFault};
use comethitch_policy::time::Duration;
use std::collections::BTreeSet;

/// What becomes of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It arrives, later than usual by this much.
    Delivered(Duration),
    /// It never arrives, and neither end is notified.
    Dropped,
    /// The connection is reset.
    Reset,
}

/// Where a message is going.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// From a router to a host.
    Host,
    /// From a host to a router.
    Router,
}

/// One fault that is active on the links between some routers and some hosts.
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

    fn is_cut_both_ways(&self) -> bool {
        self.fault == LinkFault::Cut && self.direction == Direction::Both && !self.hosts.is_empty()
    }
}

/// All link faults that are active at present.
#[derive(Debug, Default)]
pub struct Links {
    last_id: u64,
    active: Vec<ActiveFault>,
}

impl Links {
    /// Applies a fault to the links between each of these routers and each of these hosts, until the id that it
    /// returns is passed to [`Links::clear`].
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

    /// The fate of a message; `draw` is a random number from 0 to 1. Of several faults on one link a cut counts before
    /// a reset, a reset before a delay; delays add up.
    pub fn fate(&self, router: usize, host: usize, destination: Destination, draw: f64) -> Fate {
        let mut delay = Duration::ZERO;
        let mut reset = false;
        for active in self.active.iter().filter(|active| active.affects(router, host, destination)) {
            match active.fault {
                LinkFault::Cut => return Fate::Dropped,
                LinkFault::DelayMs(ms) => delay += Duration::from_millis(ms),
                LinkFault::Reset(probability) => reset |= draw < probability,
            }
        }
        if reset { Fate::Reset } else { Fate::Delivered(delay) }
    }

    /// Whether a router is cut off from some host in both directions: then endpoint updates are withheld as well.
    pub fn is_partitioned(&self, router: usize) -> bool {
        self.active.iter().any(|active| active.is_cut_both_ways() && active.routers.contains(&router))
    }
}

#[cfg(test)]
mod tests;
