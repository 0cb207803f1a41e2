//! Counts of what was done, for the log.

use comethitch_policy::{AttemptOutcome, Host};
use std::cell::{Cell, RefCell};

/// Counts since the last line of the log that told them.
#[derive(Default)]
pub struct Metrics {
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
    pub endings: RefCell<Vec<(AttemptOutcome, u64)>>,
    /// Commands that the module gave up, by its reason; those turned away before it are counted above.
    pub given_up: RefCell<Vec<(&'static str, u64)>>,
    /// By host, what was neither answered nor called off; probes too.
    pub troubles: RefCell<Vec<((Host, AttemptOutcome), u64)>>,
}

pub fn count(of: &Cell<u64>) {
    of.set(of.get() + 1);
}

/// Counts one more of a kind.
pub fn count_kind<K: PartialEq>(of: &RefCell<Vec<(K, u64)>>, kind: K) {
    let mut of = of.borrow_mut();
    match of.iter_mut().find(|(known, _)| *known == kind) {
        Some((_, number)) => *number += 1,
        None => of.push((kind, 1)),
    }
}

impl Metrics {
    /// What was counted, as fields by name, and from nothing again; empty if nothing was.
    pub fn told(&self) -> Vec<(String, u64)> {
        let named = [
            ("taken", &self.taken),
            ("answered", &self.answered),
            ("throttled", &self.throttled),
            ("throttled_at_limit", &self.at_limit),
            ("failed", &self.failed),
            ("clients_left", &self.left),
            ("not_understood", &self.rejected),
            ("probes", &self.probes),
            ("probes_failed", &self.probes_failed),
            ("connected", &self.connected),
        ];
        let counts = named.into_iter().map(|(name, cell)| (name.to_string(), cell.take()));
        let endings = self.endings.take().into_iter();
        let endings =
            endings.map(|(ending, number)| (format!("dispatches_{ending:?}").to_lowercase(), number));
        let given_up =
            self.given_up.take().into_iter().map(|(why, number)| (format!("given_up_{why}"), number));
        counts.chain(endings).chain(given_up).filter(|(_, number)| *number > 0).collect()
    }
}
