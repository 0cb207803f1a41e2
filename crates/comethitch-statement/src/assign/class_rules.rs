//! From effects, tables and costs to request classes.

use super::allowed_effects::AllowedEffects;
use crate::rules::ClassRule;
use crate::rules_error::{ClassRuleError, RulesError};
use crate::{Effect, Verdict};
use comethitch_policy::time::Duration;

/// The most bounds between bands of cost.
const MAX_COST_BOUNDS: usize = 64;
/// A bound of cost is below this, in milliseconds.
const MAX_COST_BOUND_MS: f64 = 1e9;

/// The rules for request classes, checked against those of a deployment.
#[derive(Clone, Debug)]
pub(super) struct ClassRules {
    rules: Vec<CheckedRule>,
    /// The bounds between bands of cost, in rising order.
    cost_bounds: Vec<Duration>,
}

#[derive(Clone, Debug)]
struct CheckedRule {
    class: usize,
    effects: Vec<Effect>,
    tables: Option<Vec<String>>,
    from: Option<Duration>,
    below: Option<Duration>,
}

impl ClassRules {
    /// Checks rules; `names` and `allowed` are those of the deployment's request classes, in its order.
    pub(super) fn new(
        rules: &[ClassRule], names: &[String], allowed: &[AllowedEffects],
    ) -> Result<ClassRules, RulesError> {
        let check = |(index, rule)| {
            check_rule(rule, names, allowed).map_err(|source| RulesError::Group { index, source })
        };
        let rules = rules.iter().enumerate().map(check).collect::<Result<Vec<_>, _>>()?;
        if rules.is_empty() {
            return Err(RulesError::NoClasses);
        }
        let bounds = rules.iter().flat_map(|rule| rule.from.into_iter().chain(rule.below));
        let mut cost_bounds: Vec<Duration> = bounds.collect();
        cost_bounds.sort_unstable();
        cost_bounds.dedup();
        if cost_bounds.len() > MAX_COST_BOUNDS {
            return Err(RulesError::TooManyCostBounds { most: MAX_COST_BOUNDS });
        }
        Ok(ClassRules { rules, cost_bounds })
    }

    /// The bounds between bands of cost, in rising order.
    pub(super) fn cost_bounds(&self) -> &[Duration] {
        &self.cost_bounds
    }

    /// The request class of the first rule that fits a statement.
    pub(super) fn class(&self, verdict: &Verdict, band: u8) -> Option<usize> {
        self.rules.iter().find(|rule| self.fits(rule, verdict, band)).map(|rule| rule.class)
    }

    fn fits(&self, rule: &CheckedRule, verdict: &Verdict, band: u8) -> bool {
        // A statement that was not parsed may use any table.
        let uses = |table: &String| verdict.uses.iter().any(|table_use| *table_use.table == **table);
        let tables = rule.tables.as_ref();
        rule.effects.contains(&verdict.effect)
            && tables.is_none_or(|tables| !verdict.parsed || tables.iter().any(uses))
            && rule.from.is_none_or(|from| !self.is_below(band, from))
            && rule.below.is_none_or(|below| self.is_below(band, below))
    }

    fn is_below(&self, band: u8, bound: Duration) -> bool {
        let at = self.cost_bounds.iter().position(|known| *known == bound);
        at.is_some_and(|at| usize::from(band) <= at)
    }
}

fn check_rule(
    rule: &ClassRule, names: &[String], allowed: &[AllowedEffects],
) -> Result<CheckedRule, ClassRuleError> {
    let class = names.iter().position(|name| *name == rule.class);
    let class = class.ok_or_else(|| ClassRuleError::UnknownClass { name: rule.class.clone() })?;
    if rule.effects.is_empty() {
        return Err(ClassRuleError::NoEffects);
    }
    if let Some(effect) = rule.effects.iter().find(|effect| !allowed[class].allows(**effect)) {
        return Err(ClassRuleError::EffectNotAllowed { effect: *effect, class: rule.class.clone() });
    }
    let from = cost_bound("from_ms", rule.from_ms)?;
    let below = cost_bound("below_ms", rule.below_ms)?;
    if let (Some(from), Some(below)) = (from, below)
        && from >= below
    {
        return Err(ClassRuleError::NoCostBetweenBounds);
    }
    Ok(CheckedRule { class, effects: rule.effects.clone(), tables: rule.tables.clone(), from, below })
}

fn cost_bound(key: &'static str, milliseconds: Option<f64>) -> Result<Option<Duration>, ClassRuleError> {
    match milliseconds {
        Some(ms) if ms > 0.0 && ms < MAX_COST_BOUND_MS => Ok(Some(Duration::from_micros((ms * 1e3) as u64))),
        Some(milliseconds) => Err(ClassRuleError::CostBound { key, milliseconds }),
        None => Ok(None),
    }
}
