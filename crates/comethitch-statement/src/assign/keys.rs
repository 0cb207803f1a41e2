//! Maps the values of a table's key to shards.

use super::values::PlaceholderValues;
use crate::rules::{Bound, KeyRange, KeyRule, Placement};
use crate::rules_error::{KeyRuleError, RulesError};
use crate::verdict::{ColumnValues, TableUse};
use comethitch_policy::ShardId;

/// The shards that hold the values of one key.
pub(super) struct KeyLocation {
    /// The shards, sorted and without duplicates.
    pub shards: Vec<ShardId>,
    /// The hash of each value, never 0.
    pub hashes: Vec<u64>,
}

/// Checks that no table has more than one key, and that every value of a key has a shard.
pub(super) fn check(rules: &[KeyRule]) -> Result<(), RulesError> {
    for (index, rule) in rules.iter().enumerate() {
        check_rule(rule).map_err(|source| RulesError::KeyRule { index, source })?;
        let mut earlier_tables = rules[..index].iter().flat_map(|rule| &rule.tables);
        if let Some(table) = earlier_tables.find(|table| rule.tables.contains(table)) {
            let source = KeyRuleError::DuplicateTable { table: table.clone() };
            return Err(RulesError::KeyRule { index, source });
        }
    }
    Ok(())
}

fn check_rule(rule: &KeyRule) -> Result<(), KeyRuleError> {
    if rule.tables.is_empty() {
        return Err(KeyRuleError::NoTables);
    }
    match &rule.placement {
        Placement::Hash(shards) if shards.is_empty() => Err(KeyRuleError::NoShards),
        Placement::Hash(_) => Ok(()),
        Placement::Range(ranges) => check_ranges(ranges),
    }
}

fn check_ranges(ranges: &[KeyRange]) -> Result<(), KeyRuleError> {
    let (last, others) = ranges.split_last().ok_or(KeyRuleError::NoRanges)?;
    if last.below.is_some() {
        return Err(KeyRuleError::LastRangeBounded);
    }
    if let Some(index) = others.iter().position(|range| range.below.is_none()) {
        return Err(KeyRuleError::BoundMissing { index });
    }
    match others.windows(2).position(|pair| !is_ascending(&pair[0], &pair[1])) {
        Some(first) => Err(KeyRuleError::BoundNotAscending { index: first + 1 }),
        None => Ok(()),
    }
}

fn is_ascending(first: &KeyRange, second: &KeyRange) -> bool {
    match (&first.below, &second.below) {
        (Some(Bound::Number(first)), Some(Bound::Number(second))) => first < second,
        (Some(Bound::Text(first)), Some(Bound::Text(second))) => first < second,
        _ => false,
    }
}

/// Returns the shards and hashes of the key's values in a table use, or `None` if the use has no key or one
/// of its values is unknown.
pub(super) fn locate(
    rule: &KeyRule, table_use: &TableUse, values: &dyn PlaceholderValues,
) -> Option<KeyLocation> {
    let mut narrowest: Option<KeyLocation> = None;
    for key in table_use.keys.iter().filter(|key| *key.column == *rule.column) {
        let location = locate_values(&rule.placement, key, values)?;
        // A row meets all conditions on the column, so the condition with the fewest shards determines them.
        if narrowest.as_ref().is_none_or(|narrowest| location.shards.len() < narrowest.shards.len()) {
            narrowest = Some(location);
        }
    }
    narrowest
}

fn locate_values(
    placement: &Placement, key: &ColumnValues, values: &dyn PlaceholderValues,
) -> Option<KeyLocation> {
    let mut location = KeyLocation { shards: Vec::new(), hashes: Vec::new() };
    for placeholder in &key.placeholders {
        for value in values.values(*placeholder)? {
            location.shards.push(shard_of(placement, &value)?);
            location.hashes.push(fnv1a(&value).max(1));
        }
    }
    location.shards.sort_unstable();
    location.shards.dedup();
    Some(location)
}

fn shard_of(placement: &Placement, key: &[u8]) -> Option<ShardId> {
    match placement {
        Placement::Hash(shards) => Some(shards[(fnv1a(key) % shards.len() as u64) as usize]),
        Placement::Range(ranges) => {
            for range in ranges {
                let is_below = match &range.below {
                    Some(Bound::Number(bound)) => parse_number(key)? < *bound,
                    Some(Bound::Text(bound)) => key < bound.as_bytes(),
                    None => true,
                };
                if is_below {
                    return Some(range.shard);
                }
            }
            None
        }
    }
}

fn parse_number(key: &[u8]) -> Option<i64> {
    std::str::from_utf8(key).ok()?.trim().parse().ok()
}

/// Returns the 64-bit FNV-1a hash of a key's text, by which [`Placement::Hash`] chooses the shard.
///
/// It is public so that programs that place rows in shards can compute the same hash.
pub fn fnv1a(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}
