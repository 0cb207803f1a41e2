//! Counts of what was done, for the log.

use comethitch::{Ending, Host};
use std::cell::{Cell, RefCell};

/// Counts since the last line of the log that told them.
#[derive(Default)]
pub struct Tally {
    pub taken: Cell<u64>,
    pub answered: Cell<u64>,
    pub throttled: Cell<u64>,
    pub at_limit: Cell<u64>,
    pub failed: Cell<u64>,
    pub left: Cell<u64>,
    pub rejected: Cell<u64>,
    pub probes: Cell<u64>,
    pub probes_failed: Cell<u64>,
    pub connected: Cell<u64>,
    pub endings: RefCell<Vec<(Ending, u64)>>,
    /// By host, what was neither answered nor called off; probes too.
    pub troubles: RefCell<Vec<(Host, Ending, u64)>>,
}

pub fn count(of: &Cell<u64>) {
    of.set(of.get() + 1);
}

impl Tally {
    pub fn ended(&self, ending: Ending) {
        let mut endings = self.endings.borrow_mut();
        match endings.iter_mut().find(|(known, _)| *known == ending) {
            Some((_, number)) => *number += 1,
            None => endings.push((ending, 1)),
        }
    }

    /// Counts what went wrong at a host.
    pub fn trouble(&self, host: Host, ending: Ending) {
        let mut troubles = self.troubles.borrow_mut();
        match troubles.iter_mut().find(|(known, how, _)| (*known, *how) == (host, ending)) {
            Some((.., number)) => *number += 1,
            None => troubles.push((host, ending, 1)),
        }
    }

    /// What was counted, in words, and from nothing again; none if nothing was.
    pub fn told(&self) -> Option<String> {
        let named = [
            ("taken", &self.taken),
            ("answered", &self.answered),
            ("throttled", &self.throttled),
            ("throttled at the limit of connections", &self.at_limit),
            ("failed", &self.failed),
            ("clients left", &self.left),
            ("not understood", &self.rejected),
            ("probes", &self.probes),
            ("probes failed", &self.probes_failed),
            ("connected", &self.connected),
        ];
        let counts = named.into_iter().map(|(name, cell)| (name.to_string(), cell.take()));
        let endings =
            self.endings.take().into_iter().map(|(e, number)| (format!("dispatches {e:?}"), number));
        let told: Vec<String> = counts
            .chain(endings)
            .filter(|(_, number)| *number > 0)
            .map(|(name, number)| format!("{name} {number}"))
            .collect();
        (!told.is_empty()).then(|| told.join(", "))
    }
}
