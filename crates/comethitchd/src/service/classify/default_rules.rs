//! Default statement rules and request classes for `classify`, used if the command line does not set them.

use comethitch_policy::time::Duration;
use comethitch_policy::{Consistency, DeduplicationScope, Idempotency, RequestClass};
use comethitch_statement::rules::{CacheSize, ClassRule, Disagreement, ParsingBudget};
use comethitch_statement::{Catalogue, Dialect, Effect, Rules};

/// Returns rules that only distinguish reads from writes.
pub(super) fn default_rules(dialect: Dialect) -> Rules {
    Rules {
        dialect,
        disagreement: Disagreement::Reject,
        comment_defaults: None,
        classes: vec![
            class_rule("read", &[Effect::Read]),
            class_rule("write", &[Effect::LockingRead, Effect::Session, Effect::Unknown, Effect::Write]),
        ],
        keys: Vec::new(),
        default_shard: Some(0),
        catalogue: Catalogue::default(),
        cache: CacheSize::default(),
        parsing: ParsingBudget::default(),
    }
}

fn class_rule(class: &str, effects: &[Effect]) -> ClassRule {
    ClassRule { class: class.into(), effects: effects.to_vec(), tables: None, from_ms: None, below_ms: None }
}

/// Returns the request classes that the rules name, and their names. A class that the rules use for plain
/// reads only is idempotent and eventually consistent, and so allows no other effect.
pub(super) fn request_classes(rules: &Rules) -> (Vec<RequestClass>, Vec<String>) {
    let mut names: Vec<String> = rules.classes.iter().map(|rule| rule.class.clone()).collect();
    names.sort();
    names.dedup();
    (names.iter().map(|name| request_class(rules, name)).collect(), names)
}

fn request_class(rules: &Rules, name: &str) -> RequestClass {
    let class_rules = rules.classes.iter().filter(|rule| rule.class == name);
    let only_reads = class_rules.flat_map(|rule| &rule.effects).all(|effect| *effect == Effect::Read);
    // The durations and the weight are placeholders: classifying statements uses none of them.
    RequestClass {
        latency_objective: Duration::from_micros(1),
        timeout: Duration::from_micros(1),
        priority_weight: 1.0,
        idempotency: if only_reads { Idempotency::Idempotent } else { Idempotency::NonIdempotent },
        deduplication_scope: DeduplicationScope::Everywhere,
        deduplication_window: Duration::ZERO,
        consistency: if only_reads { Consistency::Eventual } else { Consistency::Write },
    }
}
