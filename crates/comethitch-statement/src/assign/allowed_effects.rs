//! The effects that a request class allows for its statements.

use crate::Effect;
use comethitch_policy::{Consistency, Idempotency, RequestClass};

/// The effects that a request class allows.
///
/// A class whose requests may go to replicas allows plain reads only; a class whose requests may be retried allows
/// only effects that are safe to repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllowedEffects {
    /// Requests go to primaries only.
    primary_only: bool,
    /// No request is executed twice: it is not retried, or hosts drop duplicates.
    executed_once: bool,
    /// Hosts drop duplicates by an idempotency key, which a statement of unknown effect may not honour.
    keyed: bool,
}

impl AllowedEffects {
    /// Returns the effects that a request class allows, by its consistency and idempotency.
    pub fn of(class: &RequestClass) -> AllowedEffects {
        AllowedEffects {
            primary_only: class.consistency == Consistency::Write,
            executed_once: class.idempotency != Idempotency::Idempotent,
            keyed: class.idempotency == Idempotency::Keyed,
        }
    }

    /// Returns whether the request class allows statements with this effect.
    pub fn allows(self, effect: Effect) -> bool {
        match effect {
            Effect::Read => true,
            Effect::LockingRead => self.primary_only,
            Effect::Write => self.primary_only && self.executed_once,
            Effect::Session | Effect::Unknown => self.primary_only && self.executed_once && !self.keyed,
        }
    }
}
