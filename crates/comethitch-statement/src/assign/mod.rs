//! From a verdict to what the decision module needs: the command group, the group of hosts (shard) and the session.
//!
//! [`Assigner`] holds the operator's rules, checked against the deployment. A command group allows only some
//! effects ([`AllowedEffects`]): rules that would break this are rejected when they are read, and a comment that
//! would is rejected, or raised to the group that the rules name.

mod allowed_effects;
mod error;
mod group_rules;
mod keys;
mod values;

pub use allowed_effects::AllowedEffects;
pub use error::AssignmentError;
pub use keys::fnv1a;
pub use values::{Arguments, PlaceholderValues, StatementValues};

use crate::Verdict;
use crate::hints::StatementHints;
use crate::rules::{Disagreement, KeyRule, Rules};
use crate::rules_error::RulesError;
use comethitch_policy::time::Duration;
use comethitch_policy::{CommandGroup, Shard};
use group_rules::GroupRules;

/// Assigns statements by rules that were checked against a deployment.
#[derive(Clone, Debug)]
pub struct Assigner {
    group_rules: GroupRules,
    key_rules: Vec<KeyRule>,
    /// The group of hosts of statements without a key.
    default_shard: Option<Shard>,
    disagreement: Disagreement,
    /// What each command group of the deployment allows, in its order.
    allowed: Vec<AllowedEffects>,
    /// The names of the command groups, in the same order.
    names: Vec<String>,
}

/// Where a statement goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The command group, by its place in the deployment.
    pub group: usize,
    /// The group of hosts.
    pub shard: Shard,
    /// The session, as the hash of the one key that its tables lie by; none where there is no key, or several.
    pub session: Option<u64>,
    /// Its comment named a command group that allows less.
    pub raised: bool,
}

/// What a statement's keys determine.
#[derive(Default)]
struct KeyFindings {
    /// The group of hosts in which all keys lie.
    shard: Option<Shard>,
    /// The hash of the one key's value.
    session: Option<u64>,
}

impl Assigner {
    /// Checks rules against a deployment's command groups and their names.
    ///
    /// # Errors
    ///
    /// The first rule that is faulty, or that would let a statement run where its effect does harm.
    pub fn new(rules: &Rules, groups: &[CommandGroup], names: &[String]) -> Result<Assigner, RulesError> {
        let allowed: Vec<AllowedEffects> = groups.iter().map(AllowedEffects::of).collect();
        let group_rules = GroupRules::new(&rules.groups, names, &allowed)?;
        keys::check(&rules.keys)?;
        Ok(Assigner {
            group_rules,
            key_rules: rules.keys.clone(),
            default_shard: rules.elsewhere,
            disagreement: rules.disagreement,
            allowed,
            names: names.to_vec(),
        })
    }

    /// The bounds between bands of cost, in rising order.
    pub fn cost_bounds(&self) -> &[Duration] {
        self.group_rules.cost_bounds()
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
        let is_allowed = |group: usize| self.allowed[group].allows(verdict.effect);
        let (group, raised) = match hints.group {
            Some(group) if is_allowed(group) => (group, false),
            Some(group) if self.disagreement == Disagreement::Refuse => {
                return Err(self.disagrees(group, verdict));
            }
            hint => (self.group_by_rules(verdict, band)?, hint.is_some()),
        };
        let keys = self.locate_keys(verdict, values, hints.shard.is_some())?;
        let shard = self.shard(hints.shard, keys.shard)?;
        Ok(Assignment { group, shard, session: keys.session, raised })
    }

    fn disagrees(&self, group: usize, verdict: &Verdict) -> AssignmentError {
        AssignmentError::Disagrees {
            group: self.names[group].clone(),
            effect: verdict.effect,
            why: verdict.why.to_string(),
        }
    }

    fn group_by_rules(&self, verdict: &Verdict, band: u8) -> Result<usize, AssignmentError> {
        let no_group = || AssignmentError::NoGroup { effect: verdict.effect, why: verdict.why.to_string() };
        self.group_rules.group(verdict, band).ok_or_else(no_group)
    }

    fn shard(&self, hinted: Option<Shard>, found: Option<Shard>) -> Result<Shard, AssignmentError> {
        match (hinted, found) {
            (Some(hinted), Some(found)) if hinted != found => {
                Err(AssignmentError::OtherShard { hinted, found })
            }
            (Some(shard), _) | (None, Some(shard)) => Ok(shard),
            (None, None) => self.default_shard.ok_or(AssignmentError::NoShard),
        }
    }

    /// Where the statement's keys lie. A comment that names the group of hosts makes up for keys that are not
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

/// The one group of hosts among those found before and now.
fn only_shard(found: Option<Shard>, shards: &[Shard]) -> Result<Option<Shard>, AssignmentError> {
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
