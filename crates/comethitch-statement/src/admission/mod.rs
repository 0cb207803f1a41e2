//! Admission of a statement before it becomes a command: its text is read, its verdict looked up in the cache or
//! worked out as far as the parsing budget goes, and the statement is assigned or rejected.
//!
//! This module puts the others together: [`Lexer`], [`Classifier`], [`Cache`], [`Budget`] and [`Assigner`].
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
//! # let settings = "classes.count=2\nclasses.0.effect=repeatable\nclasses.0.target_us=1\nclasses.0.deadline_us=1\n\
//! #     classes.0.value=1\nclasses.1.effect=once\nclasses.1.target_us=1\nclasses.1.deadline_us=1\n\
//! #     classes.1.value=1\ndomain.class_read=any,write\ndomain.oldest_data_us=0,0\nsiblings=1\ntick_us=1\n\
//! #     domain.guards=off\npermissions.max_attempts=1\npermissions.connect_timeout_us=1\nrules.drain_grace_us=1\n\
//! #     rules.cold_from=1\nrules.warm_within_us=1\nrules.fall_multiple=1\nrules.fall_us=1";
//! # let classes = comethitch_policy::Deployment::read(settings).unwrap().classes;
//! let names = ["read".to_string(), "write".to_string()];
//! let mut admission = StatementAdmission::new(rules, &classes, &names, Secret([7; 16]), Timestamp::ZERO).unwrap();
//! let clock = || Timestamp::ZERO;
//! let mut class = |text: &str| {
//!     let admitted = admission.admit(text.as_bytes(), StatementHints::default(), 1, &clock);
//!     admitted.unwrap().assigned.class
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
pub use outcome::{AdmittedStatement, JudgedStatement, StatementRejection, VerdictSource};

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

/// The largest cache that rules may ask for.
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
    /// All effects, in the order of [`AdmissionCounts::effects`].
    pub const EFFECTS: [Effect; 5] =
        [Effect::Read, Effect::LockingRead, Effect::Session, Effect::Unknown, Effect::Write];

    /// Checks the rules against the deployment's request classes and their names.
    ///
    /// # Errors
    ///
    /// The first fault in the rules.
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

    /// The same without a parsing budget, for tools: whatever comes is parsed.
    ///
    /// # Errors
    ///
    /// The first fault in the rules.
    pub fn unlimited(
        rules: Rules, classes: &[RequestClass], names: &[String], secret: Secret,
    ) -> Result<StatementAdmission, RulesError> {
        let mut admission = StatementAdmission::new(rules, classes, names, secret, Timestamp::ZERO)?;
        // Far more than any parse takes, and small enough to be multiplied.
        let shares = BudgetShares { total: f64::MAX.sqrt(), client: 1.0 };
        admission.budget = Budget::new(shares, Timestamp::ZERO);
        Ok(admission)
    }

    /// The rules that it follows.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// The bytes that the cache of shapes takes.
    pub fn memory_bytes(&self) -> usize {
        self.cache.memory_bytes()
    }

    /// The cache's counts since the start.
    pub fn cache_counts(&self) -> CacheCounts {
        self.cache.counts()
    }

    /// The counts since the last call.
    pub fn take_counts(&mut self) -> AdmissionCounts {
        std::mem::take(&mut self.counts)
    }

    /// Looks a statement's verdict up, or parses it as far as the client's budget goes; none where that is exceeded
    /// and the rules throttle. `clock` is read only where something is parsed.
    pub fn judge(
        &mut self, text: &[u8], client: u64, clock: &dyn Fn() -> Timestamp,
    ) -> Option<JudgedStatement> {
        self.lexer.read(text);
        let key = self.secret.key(self.lexer.shape());
        let (known, source) = self.known_shape(key, client, clock)?;
        self.counts.effects[known.verdict.effect as usize] += 1;
        Some(JudgedStatement { known, key, source })
    }

    fn known_shape(
        &mut self, key: ShapeKey, client: u64, clock: &dyn Fn() -> Timestamp,
    ) -> Option<(Rc<KnownShape>, VerdictSource)> {
        if self.lexer.ambiguity().is_some() {
            self.counts.ambiguous += 1;
            return Some((KnownShape::new(self.classify()), VerdictSource::Ambiguous));
        }
        if let Some(known) = self.cache.get(key, client) {
            self.counts.hits += 1;
            return Some((known.clone(), VerdictSource::CacheHit));
        }
        let began = clock();
        match self.budget.reserve(client, self.lexer.tokens().len(), began) {
            Reservation::Reserved(reserved) => {
                let known = self.parse(client, reserved, began, clock);
                self.cache.insert(key, known.clone(), known.memory_bytes(), client);
                self.counts.parsed += 1;
                return Some((known, VerdictSource::Parsed));
            }
            Reservation::TotalExceeded => self.counts.total_budget_exhausted += 1,
            Reservation::ClientExceeded => self.counts.client_budget_exhausted += 1,
        }
        if self.rules.parsing.beyond == BudgetExceeded::Throttle {
            return None;
        }
        let verdict = self.classifier().classify_unparsed(&self.lexer, "the budget for parsing is spent");
        Some((KnownShape::new(verdict), VerdictSource::BudgetExceeded))
    }

    fn parse(
        &mut self, client: u64, reserved: Duration, began: Timestamp, clock: &dyn Fn() -> Timestamp,
    ) -> Rc<KnownShape> {
        // A copy, once all memory of the parser is free: what is kept long must not stand scattered among what is
        // not.
        let known = KnownShape::new(self.classify().clone());
        let took = clock() - began;
        self.budget.correct(client, self.lexer.tokens().len(), reserved, took);
        known
    }

    fn classifier(&self) -> Classifier<'_> {
        Classifier::new(self.rules.dialect, &self.rules.catalogue)
    }

    fn classify(&self) -> Verdict {
        self.classifier().classify(&self.lexer)
    }

    /// Judges a statement, and decides where it goes.
    ///
    /// # Errors
    ///
    /// Why it is not admitted.
    pub fn admit(
        &mut self, text: &[u8], hints: StatementHints, client: u64, clock: &dyn Fn() -> Timestamp,
    ) -> Result<AdmittedStatement, StatementRejection> {
        self.admit_with(text, &[], hints, client, clock)
    }

    /// The same for a statement whose parameters' values came beside it.
    ///
    /// # Errors
    ///
    /// Why it is not admitted.
    pub fn admit_with(
        &mut self, text: &[u8], arguments: &[Argument], hints: StatementHints, client: u64,
        clock: &dyn Fn() -> Timestamp,
    ) -> Result<AdmittedStatement, StatementRejection> {
        let judged = self.judge(text, client, clock).ok_or(StatementRejection::Throttled)?;
        let source = judged.source;
        let admitted = self.assign(judged, hints, text, arguments);
        match &admitted {
            Ok(admitted) => self.counts.raised += u64::from(admitted.assigned.raised),
            Err(_) => self.counts.rejected += 1,
        }
        admitted.map_err(|error| match error {
            // A retry may find the budget refilled.
            AssignmentError::NotParsed { .. } if source == VerdictSource::BudgetExceeded => {
                StatementRejection::Throttled
            }
            error => StatementRejection::Refused(error),
        })
    }

    /// Decides where the statement goes that was judged last.
    ///
    /// # Errors
    ///
    /// Why it can't become a command.
    pub fn assign(
        &self, judged: JudgedStatement, hints: StatementHints, text: &[u8], arguments: &[Argument],
    ) -> Result<AdmittedStatement, AssignmentError> {
        let JudgedStatement { known, key, source } = judged;
        let values: &dyn PlaceholderValues = &StatementValues { lexer: &self.lexer, text, arguments };
        let lookups = known.verdict.features.guess();
        let bounds = self.assigner.cost_bounds();
        let band = known.cost.borrow_mut().band(bounds, self.lookup_time.get(), lookups);
        let assigned = self.assigner.assign(&known.verdict, band, hints, values)?;
        Ok(AdmittedStatement { assigned, known, key, source })
    }

    /// Records how long a host took to answer a statement of this shape.
    pub fn learn(&self, known: &KnownShape, took: Duration) {
        known.cost.borrow_mut().record(took);
        let mut lookup_time = self.lookup_time.get();
        lookup_time.record(known.verdict.features.guess(), took);
        self.lookup_time.set(lookup_time);
    }
}

fn checked_shares(rules: &Rules) -> Result<BudgetShares, RulesError> {
    let shares = BudgetShares { total: rules.parsing.core_part, client: rules.parsing.client_part };
    for (key, share) in [("core_part", shares.total), ("client_part", shares.client)] {
        if !(share > 0.0 && share <= 1.0) {
            return Err(RulesError::Share { key, share });
        }
    }
    Ok(shares)
}

fn checked_cache_bytes(rules: &Rules) -> Result<usize, RulesError> {
    let kib = rules.cache.kib;
    let least = Cache::<Rc<KnownShape>>::MIN_BYTES >> 10;
    if kib < least || kib > MAX_CACHE_KIB {
        return Err(RulesError::CacheSize { least, most: MAX_CACHE_KIB, kib });
    }
    Ok(kib << 10)
}
