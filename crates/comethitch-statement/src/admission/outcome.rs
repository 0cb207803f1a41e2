//! The results of classifying and admitting a statement.

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
    /// The first words only, since the text is ambiguous.
    Ambiguous,
    /// The first words only, since the parsing budget was exhausted.
    BudgetExceeded,
}

/// A statement with its verdict.
#[derive(Clone, Debug)]
pub struct ClassifiedStatement {
    /// The verdict and learned cost of its shape.
    pub shape: Rc<KnownShape>,
    /// The key of its shape in the cache.
    pub key: ShapeKey,
    /// The source of the verdict.
    pub source: VerdictSource,
}

/// A statement with its verdict, request class and shard.
#[derive(Clone, Debug)]
pub struct AdmittedStatement {
    /// The request class, shard and session.
    pub assignment: Assignment,
    /// The verdict and learned cost of its shape.
    pub shape: Rc<KnownShape>,
    /// The key of its shape in the cache.
    pub key: ShapeKey,
    /// The source of the verdict.
    pub source: VerdictSource,
}

/// Why a statement was not admitted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatementRejection {
    /// The statement cannot be assigned; a retry fails in the same way.
    #[error(transparent)]
    Rejected(AssignmentError),
    /// The parsing budget is exhausted. The statement was not executed, so that a retry is harmless.
    #[error("the budget for parsing is spent")]
    Throttled,
}
