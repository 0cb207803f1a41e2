//! From a verdict to what the decision module needs: the request class, the shard (shard) and the session.
//!
//! [`Assigner`] holds the operator's rules, checked against the deployment. A request class allows only some
//! effects ([`AllowedEffects`]): rules that would break this are rejected when they are read, and a comment that
//! would is rejected, or raised to the group that the rules name.

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

/// Assigns statements by rules that were checked against a deployment.
#[derive(Clone, Debug)]
pub struct Assigner {
    class_rules: ClassRules,
    key_rules: Vec<KeyRule>,
    /// The shard of statements without a key.
    default_shard: Option<ShardId>,
    disagreement: Disagreement,
    /// What each request class of the deployment allows, in its order.
    allowed: Vec<AllowedEffects>,
    /// The names of the request classes, in the same order.
    names: Vec<String>,
}

/// Where a statement goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The request class, by its place in the deployment.
    pub class: usize,
    /// The shard.
    pub shard: ShardId,
    /// The session, as the hash of the one key that its tables lie by; none where there is no key, or several.
    pub session: Option<u64>,
    /// Its comment named a request class that allows less.
    pub raised: bool,
}

/// What a statement's keys determine.
#[derive(Default)]
struct KeyFindings {
    /// The shard in which all keys lie.
    shard: Option<ShardId>,
    /// The hash of the one key's value.
    session: Option<u64>,
}

impl Assigner {
    /// Checks rules against a deployment's request classes and their names.
    ///
    /// # Errors
    ///
    /// The first rule that is faulty, or that would let a statement run where its effect does harm.
    pub fn new(rules: &Rules, classes: &[RequestClass], names: &[String]) -> Result<Assigner, RulesError> {
        let allowed: Vec<AllowedEffects> = classes.iter().map(AllowedEffects::of).collect();
        let class_rules = ClassRules::new(&rules.classes, names, &allowed)?;
        keys::check(&rules.keys)?;
        Ok(Assigner {
            class_rules,
            key_rules: rules.keys.clone(),
            default_shard: rules.elsewhere,
            disagreement: rules.disagreement,
            allowed,
            names: names.to_vec(),
        })
    }

    /// The bounds between bands of cost, in rising order.
    pub fn cost_bounds(&self) -> &[Duration] {
        self.class_rules.cost_bounds()
    }

    /// Where a statement goes, by its verdict and band of cost, and by the hints of its comment. `values` gives the
    /// values of a placeholder.
    ///
    /// # Errors
    ///
    /// Why the statement can't become a command.
    pub fn assign(
        &self, verdict: &Verdict, band: u8, hints: StatementHints, values: &dyn PlaceholderValues,
    ) -> Result<Assignment, AssignmentError> {
        if verdict.transaction {
            return Err(AssignmentError::Transaction);
        }
        let is_allowed = |class: usize| self.allowed[class].allows(verdict.effect);
        let (class, raised) = match hints.class {
            Some(class) if is_allowed(class) => (class, false),
            Some(class) if self.disagreement == Disagreement::Refuse => {
                return Err(self.disagrees(class, verdict));
            }
            hint => (self.class_by_rules(verdict, band)?, hint.is_some()),
        };
        let keys = self.locate_keys(verdict, values, hints.shard.is_some())?;
        let shard = self.shard(hints.shard, keys.shard)?;
        Ok(Assignment { class, shard, session: keys.session, raised })
    }

    fn disagrees(&self, class: usize, verdict: &Verdict) -> AssignmentError {
        AssignmentError::Disagrees {
            class: self.names[class].clone(),
            effect: verdict.effect,
            why: verdict.why.to_string(),
        }
    }

    fn class_by_rules(&self, verdict: &Verdict, band: u8) -> Result<usize, AssignmentError> {
        let no_class = || AssignmentError::NoClass { effect: verdict.effect, why: verdict.why.to_string() };
        self.class_rules.class(verdict, band).ok_or_else(no_class)
    }

    fn shard(&self, hinted: Option<ShardId>, found: Option<ShardId>) -> Result<ShardId, AssignmentError> {
        match (hinted, found) {
            (Some(hinted), Some(found)) if hinted != found => {
                Err(AssignmentError::OtherShard { hinted, found })
            }
            (Some(shard), _) | (None, Some(shard)) => Ok(shard),
            (None, None) => self.default_shard.ok_or(AssignmentError::NoShard),
        }
    }

    /// Where the statement's keys lie. A comment that names the shard makes up for keys that are not
    /// known, but not for those that lie elsewhere.
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
            return Err(AssignmentError::NotParsed { why: verdict.why.to_string() });
        }
        let mut shard = None;
        let mut hashes = Vec::new();
        for table_use in &verdict.uses {
            let Some(rule) = self.key_rule(&table_use.table) else { continue };
            match keys::locate(rule, table_use, values) {
                Some(location) => {
                    hashes.extend(location.hashes);
                    shard = only_shard(shard, &location.shards)?;
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
        self.key_rules.iter().find(|rule| rule.tables.iter().any(|keyed| keyed == table))
    }
}

/// The one shard among those found before and now.
fn only_shard(found: Option<ShardId>, shards: &[ShardId]) -> Result<Option<ShardId>, AssignmentError> {
    let mut only = found;
    for shard in shards {
        match only {
            Some(first) if first != *shard => {
                return Err(AssignmentError::SeveralShards { first, second: *shard });
            }
            _ => only = Some(*shard),
        }
    }
    Ok(only)
}
