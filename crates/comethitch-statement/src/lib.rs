//! Classifies SQL statements by their text: what a statement may do, its shape, its cost, and the request class and
//! shard that it belongs to.
//!
//! [`lexer`] reduces a statement to its *shape* in one pass; the shape's [`Verdict`] is looked up in a [`cache`] or
//! worked out by [`classify`]: its effect, the tables and functions that it names, and what makes it costly.
//! [`assign`] turns a verdict into what the decision module needs, by the operator's [`rules`]. [`admission`] puts
//! these together. Nothing here reads a file, a socket or a clock, and nothing chooses a host.
//!
//! What stands behind a name, as a view that calls a writing function, or a trigger, must be listed in a
//! [`catalogue`]. What is uncertain is never a read.
//!
//! ```
//! use comethitch_statement::{Catalogue, Classifier, Dialect, Effect, Lexer};
//! let (mut lexer, catalogue) = (Lexer::new(Dialect::Postgres), Catalogue::default());
//! let classifier = Classifier::new(Dialect::Postgres, &catalogue);
//! let mut effect = |text: &str| {
//!     lexer.read(text.as_bytes());
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
