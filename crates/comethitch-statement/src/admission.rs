//! Where a statement is looked at before it becomes a command: read, looked up or parsed as far as the budget
//! goes, and assigned.
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
//! # let groups = comethitch_policy::Deployment::read(settings).unwrap().groups;
//! let names = ["read".to_string(), "write".to_string()];
//! let mut desk = StatementAdmission::new(rules, &groups, &names, Secret([7; 16]), Timestamp::ZERO).unwrap();
//! let clock = || Timestamp::ZERO;
//! let mut group = |text: &str| desk.admit(text.as_bytes(), StatementHints::default(), 1, &clock).unwrap().assigned.group;
//! assert_eq!(group("SELECT data FROM facts"), 0);
//! assert_eq!(group("SELECT cobrar(3)"), 1);
//! ```

use crate::assign::{Arguments, Assigned, Assignment, InText, Refusal, Values};
use crate::budget::{Budget, Grant, Parts};
use crate::cache::{Cache, Counts};
use crate::cost::{Cost, Pace};
use crate::rules::{Beyond, Rules};
use crate::verdict::allocated;
use crate::{Classifier, Effect, Lexer, Secret, ShapeKey, Verdict};
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{CommandGroup, Shard};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// What is known of a shape: its verdict, and what its statements have cost.
#[derive(Debug)]
pub struct KnownShape {
    pub verdict: Verdict,
    cost: RefCell<Cost>,
}

impl KnownShape {
    fn new(verdict: Verdict) -> Rc<KnownShape> {
        Rc::new(KnownShape { verdict, cost: RefCell::default() })
    }

    fn bytes(&self) -> usize {
        allocated(size_of::<KnownShape>() + 2 * size_of::<usize>()) - size_of::<Verdict>()
            + self.verdict.bytes()
    }
}

/// What a statement's comment tells of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatementHints {
    /// The command group, by its place in the deployment.
    pub group: Option<usize>,
    pub shard: Option<Shard>,
}

/// How a statement's verdict was come by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    Hit,
    Parsed,
    /// Its text can be read in several ways: it was not parsed.
    Doubtful,
    /// The budget for parsing was spent: it goes by the cautious verdict.
    Beyond,
}

/// A statement that has passed.
#[derive(Clone, Debug)]
pub struct Passed {
    pub assigned: Assigned,
    pub known: Rc<KnownShape>,
    pub key: ShapeKey,
    pub path: Path,
}

/// Why a statement has not passed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementRejection {
    Refused(Refusal),
    /// The budget for parsing was spent; trying again is harmless.
    Throttled,
}

/// What was done since it was last told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Done {
    /// By effect, in the order of [`Effect`].
    pub effects: [u64; 5],
    pub hits: u64,
    pub parsed: u64,
    pub doubtful: u64,
    /// The budget of a client was spent, and that of all.
    pub beyond_client: u64,
    pub beyond_all: u64,
    pub refused: u64,
    pub raised: u64,
}

pub struct StatementAdmission {
    rules: Rules,
    assignment: Assignment,
    lexer: Lexer,
    secret: Secret,
    cache: Cache<Rc<KnownShape>>,
    budget: Budget,
    pace: Cell<Pace>,
    done: Done,
}

impl StatementAdmission {
    /// Checks the rules against the deployment's command groups; an error names the key.
    pub fn new(
        rules: Rules, groups: &[CommandGroup], names: &[String], secret: Secret, now: Timestamp,
    ) -> Result<StatementAdmission, String> {
        let parts = Parts { all: rules.parsing.core_part, client: rules.parsing.client_part };
        for (key, part) in [("core_part", parts.all), ("client_part", parts.client)] {
            if !(part > 0.0 && part <= 1.0) {
                return Err(format!("parsing.{key} must be above 0 and at most 1, not {part}"));
            }
        }
        let least = Cache::<Rc<KnownShape>>::LEAST >> 10;
        if rules.cache.kib < least || rules.cache.kib > 1 << 20 {
            return Err(format!("cache.kib must be {least} to {}, not {}", 1 << 20, rules.cache.kib));
        }
        Ok(StatementAdmission {
            assignment: Assignment::new(&rules, groups, names)?,
            lexer: Lexer::new(rules.dialect),
            secret,
            cache: Cache::new(rules.cache.kib << 10),
            budget: Budget::new(parts, now),
            pace: Cell::default(),
            done: Done::default(),
            rules,
        })
    }

    /// A desk without a budget, for tools: whatever comes is parsed.
    pub fn unlimited(
        rules: Rules, groups: &[CommandGroup], names: &[String], secret: Secret,
    ) -> Result<StatementAdmission, String> {
        let mut desk = StatementAdmission::new(rules, groups, names, secret, Timestamp::ZERO)?;
        desk.budget = Budget::new(Parts { all: f64::MAX.sqrt(), client: 1.0 }, Timestamp::ZERO);
        Ok(desk)
    }

    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// The bytes that the shapes known hold.
    pub fn held(&self) -> usize {
        self.cache.held()
    }

    /// The cache's counts since the start.
    pub fn cached(&self) -> Counts {
        self.cache.counts()
    }

    /// What was done since the last call.
    pub fn done(&mut self) -> Done {
        std::mem::take(&mut self.done)
    }

    /// Looks a statement up, or parses it as far as the client's budget goes; none where it is spent and the
    /// rules throttle. `clock` is asked only where something is parsed.
    pub fn look(
        &mut self, text: &[u8], client: u64, clock: &dyn Fn() -> Timestamp,
    ) -> Option<(Rc<KnownShape>, ShapeKey, Path)> {
        self.lexer.read(text);
        let key = self.secret.key(self.lexer.shape());
        let classifier = Classifier::new(self.rules.dialect, &self.rules.catalogue);
        let (known, path) = if self.lexer.ambiguity().is_some() {
            self.done.doubtful += 1;
            (KnownShape::new(classifier.classify(&self.lexer)), Path::Doubtful)
        } else if let Some(known) = self.cache.get(key, client) {
            self.done.hits += 1;
            (known.clone(), Path::Hit)
        } else {
            let (tokens, began) = (self.lexer.tokens().len(), clock());
            match self.budget.ask(client, tokens, began) {
                Grant::Granted(taken) => {
                    // A copy, once all that the parser held is free: what is kept long must not stand scattered
                    // among what is not.
                    let known = KnownShape::new(classifier.classify(&self.lexer).clone());
                    self.budget.settle(client, tokens, taken, clock() - began);
                    self.cache.put(key, known.clone(), known.bytes(), client);
                    self.done.parsed += 1;
                    (known, Path::Parsed)
                }
                spent => {
                    match spent {
                        Grant::AllSpent => self.done.beyond_all += 1,
                        _ => self.done.beyond_client += 1,
                    }
                    if self.rules.parsing.beyond == Beyond::Throttle {
                        return None;
                    }
                    let verdict =
                        classifier.classify_unparsed(&self.lexer, "the budget for parsing is spent");
                    (KnownShape::new(verdict), Path::Beyond)
                }
            }
        };
        self.done.effects[known.verdict.effect as usize] += 1;
        Some((known, key, path))
    }

    /// Judges a statement, and says where it goes.
    pub fn admit(
        &mut self, text: &[u8], told: StatementHints, client: u64, clock: &dyn Fn() -> Timestamp,
    ) -> Result<Passed, StatementRejection> {
        self.admit_with(text, &[], told, client, clock)
    }

    /// The same for a statement whose parameters' values came beside it.
    pub fn admit_with(
        &mut self, text: &[u8], arguments: &Arguments, told: StatementHints, client: u64,
        clock: &dyn Fn() -> Timestamp,
    ) -> Result<Passed, StatementRejection> {
        let looked = self.look(text, client, clock).ok_or(StatementRejection::Throttled)?;
        let (known, key, path) = looked;
        let passed = self.place(known, key, path, told, text, arguments);
        match &passed {
            Ok(passed) => self.done.raised += u64::from(passed.assigned.raised),
            Err(_) => self.done.refused += 1,
        }
        passed.map_err(|refusal| match refusal {
            // A later try may find the budget filled.
            Refusal::NotParsed { .. } if path == Path::Beyond => StatementRejection::Throttled,
            refusal => StatementRejection::Refused(refusal),
        })
    }

    /// Says where a statement goes that was looked at last.
    pub fn place(
        &self, known: Rc<KnownShape>, key: ShapeKey, path: Path, told: StatementHints, text: &[u8],
        arguments: &Arguments,
    ) -> Result<Passed, Refusal> {
        let values: &dyn Values = &InText { lexer: &self.lexer, text, arguments };
        let guess = known.verdict.features.guess();
        let band = known.cost.borrow_mut().band(self.assignment.bounds(), self.pace.get(), guess);
        let assigned = self.assignment.assign(&known.verdict, band, (told.group, told.shard), values)?;
        Ok(Passed { assigned, known, key, path })
    }

    /// A host has answered a statement of this shape after so long.
    pub fn learn(&self, known: &KnownShape, took: Duration) {
        known.cost.borrow_mut().learn(took);
        let mut pace = self.pace.get();
        pace.learn(known.verdict.features.guess(), took);
        self.pace.set(pace);
    }

    /// The name of an effect by its place in [`Done::effects`].
    pub const EFFECTS: [Effect; 5] =
        [Effect::Read, Effect::LockingRead, Effect::Session, Effect::Unknown, Effect::Write];
}
