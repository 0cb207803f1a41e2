//! Admits statements: classifies each by its text, and assigns it to a request class and shard or rejects it.
//!
//! Combines the [`Lexer`], the [`Cache`] of verdicts, the [`Classifier`] within the parsing [`Budget`], and
//! the [`Assigner`].
//!
//! ```
//! use comethitch_policy::time::Timestamp;
//! use comethitch_statement::admission::{StatementAdmission, StatementHints};
//! use comethitch_statement::{Rules, Secret};
//! let rules: Rules = serde_json::from_str(
//!     r#"{"dialect": "postgres", "disagreement": "refuse", "elsewhere": 0,
//!         "groups": [{"group": "read", "effects": ["read"]},
//!                    {"group": "write", "effects": ["locking_read", "session", "unknown", "write"]}]}"#,
//! ).unwrap();
//! # let settings = "classes.count=2\nclasses.0.effect=repeatable\nclasses.0.target_us=1\n\
//! #     classes.0.deadline_us=1\nclasses.0.value=1\nclasses.1.effect=once\nclasses.1.target_us=1\n\
//! #     classes.1.deadline_us=1\nclasses.1.value=1\ndomain.class_read=any,write\n\
//! #     domain.oldest_data_us=0,0\nsiblings=1\ntick_us=1\ndomain.guards=off\npermissions.max_attempts=1\n\
//! #     permissions.connect_timeout_us=1\nrules.drain_grace_us=1\nrules.cold_from=1\n\
//! #     rules.warm_within_us=1\nrules.fall_multiple=1\nrules.fall_us=1";
//! # let classes = comethitch_policy::Deployment::parse(settings).unwrap().classes;
//! let names = ["read".to_string(), "write".to_string()];
//! let secret = Secret([7; 16]);
//! let mut admission = StatementAdmission::new(rules, &classes, &names, secret, Timestamp::ZERO).unwrap();
//! let clock = || Timestamp::ZERO;
//! let mut class = |text: &str| {
//!     let admitted = admission.admit(text.as_bytes(), StatementHints::default(), 1, &clock);
//!     admitted.unwrap().assignment.class
//! };
//! assert_eq!(class("SELECT data FROM facts"), 0);
//! assert_eq!(class("SELECT cobrar(3)"), 1);
//! ```

mod counts;
mod known_shape;
mod outcome;

pub use crate::hints::StatementHints;
pub use counts::AdmissionCounts;
pub use known_shape::KnownShape;
pub use outcome::{AdmittedStatement, ClassifiedStatement, StatementRejection, VerdictSource};

use crate::assign::{Argument, Assigner, AssignmentError, PlaceholderValues, StatementValues};
use crate::budget::{Budget, BudgetShares, Reservation};
use crate::cache::{Cache, CacheCounts};
use crate::cost::LookupTime;
use crate::rules::{BudgetExceeded, Rules};
use crate::rules_error::RulesError;
use crate::{Classifier, Effect, Lexer, Secret, ShapeKey, Verdict};
use comethitch_policy::RequestClass;
use comethitch_policy::time::{Duration, Timestamp};
use std::cell::Cell;
use std::rc::Rc;

/// Maximum size of the cache.
const MAX_CACHE_KIB: usize = 1 << 20;

/// Admits statements by the operator's rules.
pub struct StatementAdmission {
    rules: Rules,
    assigner: Assigner,
    lexer: Lexer,
    secret: Secret,
    cache: Cache<Rc<KnownShape>>,
    budget: Budget,
    lookup_time: Cell<LookupTime>,
    counts: AdmissionCounts,
}

impl StatementAdmission {
    /// The effects in the order of [`AdmissionCounts::effects`].
    pub const EFFECTS: [Effect; 5] =
        [Effect::Read, Effect::LockingRead, Effect::Session, Effect::Unknown, Effect::Write];

    /// Creates an admission after checking the rules against the deployment's request classes and their
    /// names.
    ///
    /// # Errors
    ///
    /// Returns the first error in the rules.
    pub fn new(
        rules: Rules, classes: &[RequestClass], names: &[String], secret: Secret, now: Timestamp,
    ) -> Result<StatementAdmission, RulesError> {
        let shares = checked_shares(&rules)?;
        let cache_bytes = checked_cache_bytes(&rules)?;
        Ok(StatementAdmission {
            assigner: Assigner::new(&rules, classes, names)?,
            lexer: Lexer::new(rules.dialect),
            secret,
            cache: Cache::new(cache_bytes),
            budget: Budget::new(shares, now),
            lookup_time: Cell::default(),
            counts: AdmissionCounts::default(),
            rules,
        })
    }

    /// Creates an admission without a parsing budget, for tools.
    ///
    /// # Errors
    ///
    /// Returns the first error in the rules.
    pub fn without_parsing_budget(
        rules: Rules, classes: &[RequestClass], names: &[String], secret: Secret,
    ) -> Result<StatementAdmission, RulesError> {
        let mut admission = StatementAdmission::new(rules, classes, names, secret, Timestamp::ZERO)?;
        // Exceeds the time of any parse, and does not overflow when multiplied by the burst time.
        let shares = BudgetShares { total: f64::MAX.sqrt(), client: 1.0 };
        admission.budget = Budget::new(shares, Timestamp::ZERO);
        Ok(admission)
    }

    /// Returns the rules in force.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Returns the bytes that the cache occupies.
    pub fn memory_bytes(&self) -> usize {
        self.cache.memory_bytes()
    }

    /// Returns the cache's counts since the start.
    pub fn cache_counts(&self) -> CacheCounts {
        self.cache.counts()
    }

    /// Returns the counts since the last call, and resets them.
    pub fn take_counts(&mut self) -> AdmissionCounts {
        std::mem::take(&mut self.counts)
    }

    /// Classifies a statement, from the cache or by parsing it within the client's budget.
    ///
    /// Returns `None` if the budget is exhausted and the rules throttle such statements. `clock` is read only
    /// when the shape is not cached.
    pub fn classify(
        &mut self, text: &[u8], client: u64, clock: &dyn Fn() -> Timestamp,
    ) -> Option<ClassifiedStatement> {
        self.lexer.tokenize(text);
        let key = self.secret.key(self.lexer.shape());
        let classified = self.classify_shape(key, client, clock)?;
        self.counts.effects[classified.shape.verdict.effect as usize] += 1;
        Some(classified)
    }

    fn classify_shape(
        &mut self, key: ShapeKey, client: u64, clock: &dyn Fn() -> Timestamp,
    ) -> Option<ClassifiedStatement> {
        if self.lexer.ambiguity().is_some() {
            self.counts.ambiguous += 1;
            let shape = KnownShape::new(self.compute_verdict());
            return Some(ClassifiedStatement { shape, key, source: VerdictSource::Ambiguous });
        }
        if let Some(cached) = self.cache.get(key, client) {
            self.counts.cache_hits += 1;
            let shape = cached.clone();
            return Some(ClassifiedStatement { shape, key, source: VerdictSource::CacheHit });
        }
        let started_at = clock();
        match self.budget.reserve(client, self.lexer.tokens().len(), started_at) {
            Reservation::Reserved(reserved) => {
                let shape = self.parse(client, reserved, started_at, clock);
                self.cache.insert(key, shape.clone(), shape.memory_bytes(), client);
                self.counts.parsed += 1;
                return Some(ClassifiedStatement { shape, key, source: VerdictSource::Parsed });
            }
            Reservation::TotalExceeded => self.counts.total_budget_exhausted += 1,
            Reservation::ClientExceeded => self.counts.client_budget_exhausted += 1,
        }
        self.classify_over_budget(key)
    }

    /// Classifies a shape whose parse exceeds the budget, as the rules require for this case.
    fn classify_over_budget(&self, key: ShapeKey) -> Option<ClassifiedStatement> {
        if self.rules.parsing.when_exhausted == BudgetExceeded::Throttle {
            return None;
        }
        let verdict = self.classifier().classify_unparsed(&self.lexer, "the budget for parsing is spent");
        let shape = KnownShape::new(verdict);
        Some(ClassifiedStatement { shape, key, source: VerdictSource::BudgetExceeded })
    }

    fn parse(
        &mut self, client: u64, reserved: Duration, started_at: Timestamp, clock: &dyn Fn() -> Timestamp,
    ) -> Rc<KnownShape> {
        // Cloned after the parser has freed its memory, so that long-lived verdicts do not fragment the heap.
        let shape = KnownShape::new(self.compute_verdict().clone());
        let elapsed = clock() - started_at;
        self.budget.correct(client, self.lexer.tokens().len(), reserved, elapsed);
        shape
    }

    fn classifier(&self) -> Classifier<'_> {
        Classifier::new(self.rules.dialect, &self.rules.catalogue)
    }

    fn compute_verdict(&self) -> Verdict {
        self.classifier().classify(&self.lexer)
    }

    /// Classifies a statement without separate arguments, and assigns it.
    ///
    /// # Errors
    ///
    /// Returns the reason why the statement is not admitted.
    pub fn admit(
        &mut self, text: &[u8], hints: StatementHints, client: u64, clock: &dyn Fn() -> Timestamp,
    ) -> Result<AdmittedStatement, StatementRejection> {
        self.admit_with_arguments(text, &[], hints, client, clock)
    }

    /// Classifies a statement with the arguments of its parameters, and assigns it.
    ///
    /// # Errors
    ///
    /// Returns the reason why the statement is not admitted.
    pub fn admit_with_arguments(
        &mut self, text: &[u8], arguments: &[Argument], hints: StatementHints, client: u64,
        clock: &dyn Fn() -> Timestamp,
    ) -> Result<AdmittedStatement, StatementRejection> {
        let classified = self.classify(text, client, clock).ok_or(StatementRejection::Throttled)?;
        let source = classified.source;
        let admitted = self.assign(classified, hints, text, arguments);
        match &admitted {
            Ok(admitted) => self.counts.raised += u64::from(admitted.assignment.raised),
            Err(_) => self.counts.rejected += 1,
        }
        admitted.map_err(|error| match error {
            // A retry may succeed once the budget has refilled.
            AssignmentError::NotParsed { .. } if source == VerdictSource::BudgetExceeded => {
                StatementRejection::Throttled
            }
            error => StatementRejection::Rejected(error),
        })
    }

    /// Assigns the statement that was classified last.
    ///
    /// # Errors
    ///
    /// Returns the reason why the statement cannot be assigned.
    pub fn assign(
        &self, classified: ClassifiedStatement, hints: StatementHints, text: &[u8], arguments: &[Argument],
    ) -> Result<AdmittedStatement, AssignmentError> {
        let ClassifiedStatement { shape, key, source } = classified;
        let values: &dyn PlaceholderValues = &StatementValues { lexer: &self.lexer, text, arguments };
        let lookups = shape.verdict.features.estimated_lookups();
        let bounds = self.assigner.cost_bounds();
        let cost_band = shape.cost.borrow_mut().band(bounds, self.lookup_time.get(), lookups);
        let assignment = self.assigner.assign(&shape.verdict, cost_band, hints, values)?;
        Ok(AdmittedStatement { assignment, shape, key, source })
    }

    /// Records the latency of a host's response to a statement of this shape, which updates the shape's cost
    /// and the average lookup time of all shapes.
    pub fn record_latency(&self, shape: &KnownShape, latency: Duration) {
        shape.cost.borrow_mut().record(latency);
        let mut lookup_time = self.lookup_time.get();
        lookup_time.record(shape.verdict.features.estimated_lookups(), latency);
        self.lookup_time.set(lookup_time);
    }
}

fn checked_shares(rules: &Rules) -> Result<BudgetShares, RulesError> {
    let shares = BudgetShares { total: rules.parsing.core_share, client: rules.parsing.client_share };
    for (key, share) in [("core_part", shares.total), ("client_part", shares.client)] {
        if !(share > 0.0 && share <= 1.0) {
            return Err(RulesError::Share { key, share });
        }
    }
    Ok(shares)
}

fn checked_cache_bytes(rules: &Rules) -> Result<usize, RulesError> {
    let kib = rules.cache.kib;
    let min_kib = Cache::<Rc<KnownShape>>::MIN_BYTES >> 10;
    if kib < min_kib || kib > MAX_CACHE_KIB {
        return Err(RulesError::CacheSize { min_kib, max_kib: MAX_CACHE_KIB, kib });
    }
    Ok(kib << 10)
}
