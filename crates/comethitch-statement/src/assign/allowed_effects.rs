//! Which effects the statements of a request class may have.

use crate::Effect;
use comethitch_policy::{Consistency, Idempotency, RequestClass};

/// The effects that a request class may hold: one whose reads may go to replicas takes plain reads alone, and one
/// that may be retried takes nothing that a second execution could harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllowedEffects {
    /// Its commands go to primaries alone.
    primary_only: bool,
    /// None of its commands is executed twice: it is not retried, or the host drops duplicates.
    executed_once: bool,
    /// Duplicates are dropped by an idempotency key, which a statement of unknown effect may ignore.
    keyed: bool,
}

impl AllowedEffects {
    /// The effects that a request class of a deployment allows.
    pub fn of(class: &RequestClass) -> AllowedEffects {
        AllowedEffects {
            primary_only: class.consistency == Consistency::Write,
            executed_once: class.idempotency != Idempotency::Idempotent,
            keyed: class.idempotency == Idempotency::Keyed,
        }
    }

    /// Whether a statement of this effect may be in the request class.
    pub fn allows(self, effect: Effect) -> bool {
        match effect {
            Effect::Read => true,
            Effect::LockingRead => self.primary_only,
            Effect::Write => self.primary_only && self.executed_once,
            Effect::Session | Effect::Unknown => self.primary_only && self.executed_once && !self.keyed,
        }
    }
}
