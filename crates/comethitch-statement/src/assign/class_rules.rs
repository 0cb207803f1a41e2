//! Maps effects, tables and costs to request classes.

use super::allowed_effects::AllowedEffects;
use crate::rules::ClassRule;
use crate::rules_error::{ClassRuleError, RulesError};
use crate::{Effect, Verdict};
use comethitch_policy::time::Duration;

/// Maximum number of bounds between cost bands.
const MAX_COST_BOUNDS: usize = 64;
/// Exclusive upper limit of a cost bound. The message of [`ClassRuleError::CostBound`] states it, too.
const MAX_COST_BOUND_MS: f64 = 1e9;

/// The rules for request classes, checked against the classes of a deployment.
#[derive(Clone, Debug)]
pub(super) struct ClassRules {
    rules: Vec<CheckedRule>,
    /// The bounds between cost bands, in ascending order.
    cost_bounds: Vec<Duration>,
}

/// A rule with its request class resolved and its cost bounds converted to durations.
#[derive(Clone, Debug)]
struct CheckedRule {
    /// The request class, by its index in the deployment.
    class: usize,
    effects: Vec<Effect>,
    tables: Option<Vec<String>>,
    from: Option<Duration>,
    below: Option<Duration>,
}

impl ClassRules {
    /// Checks rules. `class_names` and `allowed_effects` hold one element for each of the deployment's
    /// request classes, in the deployment's order.
    pub(super) fn new(
        rules: &[ClassRule], class_names: &[String], allowed_effects: &[AllowedEffects],
    ) -> Result<ClassRules, RulesError> {
        let check = |(index, rule)| {
            check_rule(rule, class_names, allowed_effects)
                .map_err(|source| RulesError::ClassRule { index, source })
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
            return Err(RulesError::TooManyCostBounds { max: MAX_COST_BOUNDS });
        }
        Ok(ClassRules { rules, cost_bounds })
    }

    /// Returns the bounds between cost bands, in ascending order.
    pub(super) fn cost_bounds(&self) -> &[Duration] {
        &self.cost_bounds
    }

    /// Returns the request class of the first rule that matches a statement.
    pub(super) fn class(&self, verdict: &Verdict, cost_band: u8) -> Option<usize> {
        self.rules.iter().find(|rule| self.matches(rule, verdict, cost_band)).map(|rule| rule.class)
    }

    fn matches(&self, rule: &CheckedRule, verdict: &Verdict, cost_band: u8) -> bool {
        rule.effects.contains(&verdict.effect)
            && matches_tables(rule, verdict)
            && rule.from.is_none_or(|from| !self.is_below(cost_band, from))
            && rule.below.is_none_or(|below| self.is_below(cost_band, below))
    }

    fn is_below(&self, cost_band: u8, bound: Duration) -> bool {
        let index = self.cost_bounds.iter().position(|known| *known == bound);
        index.is_some_and(|index| usize::from(cost_band) <= index)
    }
}

fn matches_tables(rule: &CheckedRule, verdict: &Verdict) -> bool {
    let Some(tables) = &rule.tables else { return true };
    // A statement that was not parsed may use any table.
    !verdict.parsed
        || tables.iter().any(|table| verdict.table_uses.iter().any(|table_use| *table_use.table == **table))
}

fn check_rule(
    rule: &ClassRule, class_names: &[String], allowed_effects: &[AllowedEffects],
) -> Result<CheckedRule, ClassRuleError> {
    let class = class_names.iter().position(|name| *name == rule.class);
    let class = class.ok_or_else(|| ClassRuleError::UnknownClass { name: rule.class.clone() })?;
    if rule.effects.is_empty() {
        return Err(ClassRuleError::NoEffects);
    }
    if let Some(effect) = rule.effects.iter().find(|effect| !allowed_effects[class].allows(**effect)) {
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
