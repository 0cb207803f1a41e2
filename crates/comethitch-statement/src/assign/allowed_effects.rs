//! Which effects the statements of a command group may have.

use crate::Effect;
use comethitch_policy::{CommandGroup, Consistency, Idempotency};

/// The effects that a command group may hold: one whose reads may go to replicas takes plain reads alone, and one
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
    /// The effects that a command group of a deployment allows.
    pub fn of(group: &CommandGroup) -> AllowedEffects {
        AllowedEffects {
            primary_only: group.consistency == Consistency::Write,
            executed_once: group.idempotency != Idempotency::Idempotent,
            keyed: group.idempotency == Idempotency::Keyed,
        }
    }

    /// Whether a statement of this effect may be in the command group.
    pub fn allows(self, effect: Effect) -> bool {
        match effect {
            Effect::Read => true,
            Effect::LockingRead => self.primary_only,
            Effect::Write => self.primary_only && self.executed_once,
            Effect::Session | Effect::Unknown => self.primary_only && self.executed_once && !self.keyed,
        }
    }
}
