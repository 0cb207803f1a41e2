//! The effects that a request class allows for its statements.

use crate::Effect;
use comethitch_policy::{Consistency, Idempotency, RequestClass};

/// The effects that a request class allows.
///
/// A class whose requests may go to replicas allows plain reads only; a class whose requests may be retried
/// allows only effects that are safe to repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllowedEffects {
    /// Whether requests go to primaries only.
    primary_only: bool,
    /// Whether a request is executed at most once, since it is not retried or hosts drop duplicates.
    executed_once: bool,
    /// Whether hosts drop duplicates by an idempotency key. The key may not cover everything that a statement
    /// of unknown effect does.
    has_idempotency_key: bool,
}

impl AllowedEffects {
    /// Returns the effects that a request class allows, by its consistency and idempotency.
    pub fn of(class: &RequestClass) -> AllowedEffects {
        AllowedEffects {
            primary_only: class.consistency == Consistency::Write,
            executed_once: class.idempotency != Idempotency::Idempotent,
            has_idempotency_key: class.idempotency == Idempotency::Keyed,
        }
    }

    /// Returns whether the request class allows statements with this effect.
    pub fn allows(self, effect: Effect) -> bool {
        match effect {
            Effect::Read => true,
            Effect::LockingRead => self.primary_only,
            Effect::Write => self.primary_only && self.executed_once,
            Effect::Session | Effect::Unknown => {
                self.primary_only && self.executed_once && !self.has_idempotency_key
            }
        }
    }
}
