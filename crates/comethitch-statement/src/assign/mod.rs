//! Assigns classified statements to a request class, a shard and a session.
//!
//! [`Assigner`] holds the operator's rules, checked against the deployment. A request class allows only some
//! effects ([`AllowedEffects`]). A rule that gives a request class an effect that it does not allow is
//! rejected when the rules are read. A statement whose comment names such a request class is rejected, or
//! assigned to the request class that the rules name.

mod allowed_effects;
mod class_rules;
mod error;
mod keys;
mod values;

pub use allowed_effects::AllowedEffects;
pub use error::AssignmentError;
pub use keys::fnv1a;
pub use values::{Argument, PlaceholderValues, StatementValues};

use crate::Verdict;
use crate::hints::StatementHints;
use crate::rules::{Disagreement, KeyRule, Rules};
use crate::rules_error::RulesError;
use class_rules::ClassRules;
use comethitch_policy::time::Duration;
use comethitch_policy::{RequestClass, ShardId};

/// Assigns statements by the operator's rules.
#[derive(Clone, Debug)]
pub struct Assigner {
    class_rules: ClassRules,
    key_rules: Vec<KeyRule>,
    /// The shard of statements without a key.
    default_shard: Option<ShardId>,
    disagreement: Disagreement,
    /// The effects that each request class allows, in the deployment's order.
    allowed_effects: Vec<AllowedEffects>,
    /// The names of the request classes, in the same order.
    class_names: Vec<String>,
}

/// The request class, shard and session of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The request class, by its index in the deployment.
    pub class: usize,
    /// The shard.
    pub shard: ShardId,
    /// The session: the hash of the key's value if the statement has exactly one.
    pub session: Option<u64>,
    /// Whether the rules replaced the request class of the comment, because it does not allow the statement's
    /// effect.
    pub raised: bool,
}

/// The request class chosen for a statement.
struct ClassChoice {
    class: usize,
    /// As in [`Assignment::raised`].
    raised: bool,
}

/// What a statement's keys determine.
#[derive(Default)]
struct KeyFindings {
    /// The shard of all keys.
    shard: Option<ShardId>,
    /// The hash of the key's value if there is exactly one.
    session: Option<u64>,
}

impl Assigner {
    /// Checks rules against a deployment's request classes and their names.
    ///
    /// # Errors
    ///
    /// Returns the first rule that is invalid, or whose request class does not allow one of its effects.
    pub fn new(
        rules: &Rules, classes: &[RequestClass], class_names: &[String],
    ) -> Result<Assigner, RulesError> {
        let allowed_effects: Vec<AllowedEffects> = classes.iter().map(AllowedEffects::of).collect();
        let class_rules = ClassRules::new(&rules.classes, class_names, &allowed_effects)?;
        keys::check(&rules.keys)?;
        Ok(Assigner {
            class_rules,
            key_rules: rules.keys.clone(),
            default_shard: rules.default_shard,
            disagreement: rules.disagreement,
            allowed_effects,
            class_names: class_names.to_vec(),
        })
    }

    /// Returns the bounds between cost bands, in ascending order.
    pub fn cost_bounds(&self) -> &[Duration] {
        self.class_rules.cost_bounds()
    }

    /// Assigns a statement by its verdict, its cost band and the hints of its comment.
    ///
    /// # Errors
    ///
    /// Returns the reason why the statement cannot be assigned.
    pub fn assign(
        &self, verdict: &Verdict, cost_band: u8, hints: StatementHints, values: &dyn PlaceholderValues,
    ) -> Result<Assignment, AssignmentError> {
        if verdict.controls_transaction {
            return Err(AssignmentError::Transaction);
        }
        let ClassChoice { class, raised } = self.choose_class(verdict, cost_band, hints.class)?;
        let keys = self.locate_keys(verdict, values, hints.shard.is_some())?;
        let shard = self.choose_shard(hints.shard, keys.shard)?;
        Ok(Assignment { class, shard, session: keys.session, raised })
    }

    fn choose_class(
        &self, verdict: &Verdict, cost_band: u8, hinted: Option<usize>,
    ) -> Result<ClassChoice, AssignmentError> {
        match hinted {
            Some(class) if self.allowed_effects[class].allows(verdict.effect) => {
                Ok(ClassChoice { class, raised: false })
            }
            Some(class) if self.disagreement == Disagreement::Reject => {
                Err(AssignmentError::EffectNotAllowed {
                    class: self.class_names[class].clone(),
                    effect: verdict.effect,
                    reason: verdict.reason.to_string(),
                })
            }
            hinted => {
                let class = self.class_by_rules(verdict, cost_band)?;
                Ok(ClassChoice { class, raised: hinted.is_some() })
            }
        }
    }

    fn class_by_rules(&self, verdict: &Verdict, cost_band: u8) -> Result<usize, AssignmentError> {
        self.class_rules.class(verdict, cost_band).ok_or_else(|| AssignmentError::NoClass {
            effect: verdict.effect,
            reason: verdict.reason.to_string(),
        })
    }

    fn choose_shard(
        &self, hinted: Option<ShardId>, found: Option<ShardId>,
    ) -> Result<ShardId, AssignmentError> {
        match (hinted, found) {
            (Some(hinted), Some(found)) if hinted != found => {
                Err(AssignmentError::ShardMismatch { hinted, found })
            }
            (Some(shard), _) | (None, Some(shard)) => Ok(shard),
            (None, None) => self.default_shard.ok_or(AssignmentError::NoShard),
        }
    }

    /// Locates the statement's keys. If the comment names a shard, keys with unknown values are ignored;
    /// otherwise they are an error.
    fn locate_keys(
        &self, verdict: &Verdict, values: &dyn PlaceholderValues, has_shard_hint: bool,
    ) -> Result<KeyFindings, AssignmentError> {
        if self.key_rules.is_empty() {
            return Ok(KeyFindings::default());
        }
        if !verdict.parsed {
            if has_shard_hint {
                return Ok(KeyFindings::default());
            }
            return Err(AssignmentError::NotParsed { reason: verdict.reason.to_string() });
        }
        let mut shard = None;
        let mut hashes = Vec::new();
        for table_use in &verdict.table_uses {
            let Some(rule) = self.key_rule(&table_use.table) else { continue };
            match keys::locate(rule, table_use, values) {
                Some(location) => {
                    hashes.extend(location.hashes);
                    shard = common_shard(shard, &location.shards)?;
                }
                None if has_shard_hint => {}
                None => {
                    let table = table_use.table.to_string();
                    return Err(AssignmentError::NoKey { table, column: rule.column.clone() });
                }
            }
        }
        hashes.sort_unstable();
        hashes.dedup();
        let session = if let [only] = hashes[..] { Some(only) } else { None };
        Ok(KeyFindings { shard, session })
    }

    fn key_rule(&self, table: &str) -> Option<&KeyRule> {
        self.key_rules.iter().find(|rule| rule.tables.iter().any(|name| name == table))
    }
}

/// Returns the only shard among the shard of earlier keys and `shards`, or an error if there are several.
fn common_shard(earlier: Option<ShardId>, shards: &[ShardId]) -> Result<Option<ShardId>, AssignmentError> {
    let mut common = earlier;
    for shard in shards {
        match common {
            Some(first) if first != *shard => {
                return Err(AssignmentError::SeveralShards { first, second: *shard });
            }
            _ => common = Some(*shard),
        }
    }
    Ok(common)
}
