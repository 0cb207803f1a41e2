//! The rules for classifying statements by their text, and the statement shapes that are known under them.

use comethitch_policy::time::Duration;
use comethitch_statement::admission::KnownShape;
use comethitch_statement::{Rules, StatementAdmission};
use std::cell::{Ref, RefCell};

/// Owns the admission of statements by their text. Without rules, statements are classified by their comments
/// alone.
pub struct StatementRules(RefCell<Option<StatementAdmission>>);

impl StatementRules {
    /// Starts with the admission by the rules of the configuration, or `None` if it has no rules.
    pub fn new(admission: Option<StatementAdmission>) -> StatementRules {
        StatementRules(RefCell::new(admission))
    }

    /// Returns whether there are rules.
    pub fn are_present(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Returns the current rules, or `None` if there are none. The borrow must not be kept across an await.
    pub fn current(&self) -> Option<Ref<'_, Rules>> {
        Ref::filter_map(self.0.borrow(), |admission| admission.as_ref().map(StatementAdmission::rules)).ok()
    }

    /// Replaces the rules and drops the known statement shapes.
    pub fn replace(&self, admission: Option<StatementAdmission>) {
        self.0.replace(admission);
    }

    /// Calls `f` with the admission by the current rules, or with `None` if there are no rules.
    pub fn with_admission<T>(&self, f: impl FnOnce(Option<&mut StatementAdmission>) -> T) -> T {
        f(self.0.borrow_mut().as_mut())
    }

    /// Records how long a host took to answer a statement of a known shape.
    pub fn record_latency(&self, shape: &KnownShape, latency: Duration) {
        if let Some(admission) = &*self.0.borrow() {
            admission.record_latency(shape, latency);
        }
    }
}
