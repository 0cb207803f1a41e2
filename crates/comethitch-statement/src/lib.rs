//! Classifies SQL statements by their text, and assigns them to request classes and shards.
//!
//! [`lexer`] normalises a statement to its *shape* in one pass. The shape's [`Verdict`] (its effect, the
//! tables and functions that it uses, and the features that affect its cost) is looked up in a [`cache`] or
//! computed by [`classify`]. [`assign`] determines the request class and the shard by the verdict and the
//! operator's [`rules`]. [`admission`] combines these steps. The crate does no I/O, reads no clock, and
//! chooses no hosts.
//!
//! Side effects that the text does not show, such as a view that calls a writing function, must be listed in
//! a [`catalogue`]. A statement in doubt is never classified as a read.
//!
//! ```
//! use comethitch_statement::{Catalogue, Classifier, Dialect, Effect, Lexer};
//! let (mut lexer, catalogue) = (Lexer::new(Dialect::Postgres), Catalogue::default());
//! let classifier = Classifier::new(Dialect::Postgres, &catalogue);
//! let mut effect = |text: &str| {
//!     lexer.tokenize(text.as_bytes());
//!     classifier.classify(&lexer).effect
//! };
//! assert_eq!(effect("SELECT data FROM facts WHERE code = 'k'"), Effect::Read);
//! assert_eq!(effect("WITH gone AS (DELETE FROM facts RETURNING *) SELECT * FROM gone"), Effect::Write);
//! assert_eq!(effect("SELECT lower(code) FROM facts"), Effect::Read);
//! assert_eq!(effect("SELECT tienda.lower(code) FROM facts"), Effect::Write);
//! ```

pub mod admission;
pub mod assign;
pub mod budget;
pub mod cache;
pub mod catalogue;
pub mod classify;
pub mod cost;
mod dialect;
pub mod frequency_sketch;
mod hashing;
mod hints;
pub mod lexer;
pub mod rules;
mod rules_error;
pub mod shape;
pub mod verdict;

pub use admission::StatementAdmission;
pub use catalogue::Catalogue;
pub use classify::Classifier;
pub use dialect::Dialect;
pub use lexer::Lexer;
pub use rules::Rules;
pub use rules_error::{ClassRuleError, KeyRuleError, RulesError};
pub use shape::{Secret, ShapeKey};
pub use verdict::{Effect, Features, Verdict};
