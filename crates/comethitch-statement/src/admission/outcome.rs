//! What becomes of a statement: judged, admitted or rejected.

use super::known_shape::KnownShape;
use crate::ShapeKey;
use crate::assign::{Assignment, AssignmentError};
use std::rc::Rc;

/// Where a statement's verdict came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictSource {
    /// The cache.
    CacheHit,
    /// The parser.
    Parsed,
    /// Its text is ambiguous: it was not parsed.
    Ambiguous,
    /// The parsing budget was exceeded: it was not parsed.
    BudgetExceeded,
}

/// A statement whose verdict is known.
#[derive(Clone, Debug)]
pub struct JudgedStatement {
    /// What is known of its shape.
    pub known: Rc<KnownShape>,
    /// The key of its shape.
    pub key: ShapeKey,
    /// Where the verdict came from.
    pub source: VerdictSource,
}

/// A statement that may become a command.
#[derive(Clone, Debug)]
pub struct AdmittedStatement {
    /// Where it goes.
    pub assigned: Assignment,
    /// What is known of its shape.
    pub known: Rc<KnownShape>,
    /// The key of its shape.
    pub key: ShapeKey,
    /// Where the verdict came from.
    pub source: VerdictSource,
}

/// Why a statement was not admitted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatementRejection {
    /// It can't become a command, now or later.
    #[error(transparent)]
    Refused(AssignmentError),
    /// The parsing budget was exceeded: nothing has run, and a retry is harmless.
    #[error("the budget for parsing is spent")]
    Throttled,
}
