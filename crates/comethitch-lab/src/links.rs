//! What is wrong with the ways between routers and hosts: which are cut, slow, or reset, in either direction.
//!
//! Without clock or sockets: the live fleet asks it about each message, and a simulated one may as well.

use crate::trial::{Harm, Way};
use comethitch_policy::time::Duration;
use std::collections::BTreeSet;

/// What becomes of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It arrives, so much later than it would.
    Passes(Duration),
    /// It never arrives, and nobody is told.
    Lost,
    /// The connection breaks.
    Breaks,
}

/// Which way a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heading {
    ToHost,
    ToRouter,
}

#[derive(Debug)]
struct Trouble {
    key: u64,
    routers: BTreeSet<usize>,
    hosts: BTreeSet<usize>,
    way: Way,
    harm: Harm,
}

/// All that is wrong at present.
#[derive(Debug, Default)]
pub struct Links {
    next: u64,
    troubles: Vec<Trouble>,
}

impl Links {
    /// Harms the links between each of these routers and each of these hosts, until the key it returns is healed.
    pub fn harm(&mut self, routers: BTreeSet<usize>, hosts: BTreeSet<usize>, way: Way, harm: Harm) -> u64 {
        self.next += 1;
        self.troubles.push(Trouble { key: self.next, routers, hosts, way, harm });
        self.next
    }

    pub fn heal(&mut self, key: u64) {
        self.troubles.retain(|trouble| trouble.key != key);
    }

    /// The fate of a message; `draw` is a number from 0 to 1 by chance. Of several troubles the worst counts, and
    /// delays add up.
    pub fn fate(&self, router: usize, host: usize, heading: Heading, draw: f64) -> Fate {
        let mut late = Duration::ZERO;
        let mut breaks = false;
        for trouble in &self.troubles {
            let met = match trouble.way {
                Way::Both => true,
                Way::ToHosts => heading == Heading::ToHost,
                Way::ToRouters => heading == Heading::ToRouter,
            };
            if !met || !trouble.routers.contains(&router) || !trouble.hosts.contains(&host) {
                continue;
            }
            match trouble.harm {
                Harm::Cut => return Fate::Lost,
                Harm::DelayMs(ms) => late += Duration::from_millis(ms),
                Harm::Reset(part) => breaks |= draw < part,
            }
        }
        if breaks { Fate::Breaks } else { Fate::Passes(late) }
    }

    /// Whether a router is cut off from some host both ways: then lists reach it late as well.
    pub fn apart(&self, router: usize) -> bool {
        let cut = |t: &Trouble| t.harm == Harm::Cut && t.way == Way::Both && !t.hosts.is_empty();
        self.troubles.iter().any(|t| cut(t) && t.routers.contains(&router))
    }
}

#[cfg(test)]
mod tests;
