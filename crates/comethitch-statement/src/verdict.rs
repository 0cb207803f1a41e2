//! The verdict on a shape: its effect, the tables and functions that it uses, and the features that affect
//! its cost.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What a statement may do, ordered from the least restricted effect to the most restricted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Changes nothing: any host with fresh enough data may execute it, more than once.
    Read,
    /// Changes nothing but takes row locks, which only the primary grants.
    LockingRead,
    /// Changes or reads the state of a session.
    Session,
    /// Cannot be determined from the text.
    Unknown,
    // Changes data, or may change data.
    #[expect(missing_docs, reason = "a description would change the form of the rules' schema")]
    Write,
}

impl Effect {
    /// Returns whether a replica may execute the statement.
    pub fn may_run_on_replica(self) -> bool {
        self == Effect::Read
    }

    /// Returns whether the statement may be executed more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Effect::Read | Effect::LockingRead)
    }

    /// Returns the name used in rules, logs and verdicts.
    pub fn name(self) -> &'static str {
        match self {
            Effect::Read => "read",
            Effect::LockingRead => "locking_read",
            Effect::Session => "session",
            Effect::Unknown => "unknown",
            Effect::Write => "write",
        }
    }
}

/// The features of a statement's text that affect its cost. Counts saturate at 255.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Features {
    /// Uses of tables.
    pub tables: u8,
    /// Joins, including those written with a comma.
    pub joins: u8,
    /// Nested queries.
    pub subqueries: u8,
    /// UNION, INTERSECT and EXCEPT.
    pub set_operations: u8,
    /// Distinct functions called.
    pub functions: u8,
    /// Calls of aggregates.
    pub aggregates: u8,
    /// Calls with an OVER clause.
    pub windows: u8,
    /// Full scans: uses of tables with no column compared with a value.
    pub scans: u8,
    /// Whether there is a GROUP BY clause.
    pub grouped: bool,
    /// Whether there is an ORDER BY clause.
    pub ordered: bool,
    /// Whether there is a DISTINCT clause.
    pub distinct: bool,
    /// Whether there is a LIMIT, FETCH or TOP clause.
    pub limited: bool,
    /// Whether there is a recursive CTE.
    pub recursive: bool,
}

/// Factors by which features multiply the estimated cost.
mod cost_factor {
    /// A scan that reads all rows of a table.
    pub(super) const SCAN: f64 = 4.0;
    /// A scan that may end early, because the statement limits the number of rows and does not sort or group
    /// them.
    pub(super) const LIMITED_SCAN: f64 = 2.0;
    /// A join, subquery, set operation or window.
    pub(super) const OPERATION: f64 = 1.5;
    pub(super) const AGGREGATION: f64 = 1.5;
    pub(super) const GROUP_BY: f64 = 1.5;
    pub(super) const ORDER_BY: f64 = 1.25;
    pub(super) const DISTINCT: f64 = 1.5;
    pub(super) const RECURSION: f64 = 4.0;
}

/// Maximum number of occurrences of one feature that count towards the estimated cost.
const MAX_COUNTED_OCCURRENCES: u8 = 8;
/// Maximum estimated cost, in lookups.
const MAX_ESTIMATED_LOOKUPS: f64 = 1e6;

impl Features {
    /// Returns the cost estimated before any latency is known, in lookups of one row by its key.
    ///
    /// Each feature multiplies the cost, since sorting a join costs more than a sort and a join alone.
    ///
    /// ```
    /// use comethitch_statement::Features;
    /// let lookup = Features { tables: 1, ..Features::default() };
    /// assert_eq!(lookup.estimated_lookups(), 1.0);
    /// assert!(Features { scans: 1, ..lookup }.estimated_lookups() > 3.0);
    /// ```
    pub fn estimated_lookups(&self) -> f64 {
        let repeated = |count: u8, factor: f64| factor.powi(i32::from(count.min(MAX_COUNTED_OCCURRENCES)));
        let once = |is_present: bool, factor: f64| if is_present { factor } else { 1.0 };
        let may_end_early = self.limited && !self.ordered && !self.grouped;
        let scan_factor = if may_end_early { cost_factor::LIMITED_SCAN } else { cost_factor::SCAN };
        let lookups = repeated(self.joins, cost_factor::OPERATION)
            * repeated(self.subqueries, cost_factor::OPERATION)
            * repeated(self.set_operations, cost_factor::OPERATION)
            * once(self.aggregates > 0, cost_factor::AGGREGATION)
            * repeated(self.windows, cost_factor::OPERATION)
            * once(self.grouped, cost_factor::GROUP_BY)
            * once(self.ordered, cost_factor::ORDER_BY)
            * once(self.distinct, cost_factor::DISTINCT)
            * once(self.recursive, cost_factor::RECURSION)
            * repeated(self.scans, scan_factor);
        lookups.min(MAX_ESTIMATED_LOOKUPS)
    }
}

/// One use of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableUse {
    /// The table, with its schema as written.
    pub table: Box<str>,
    /// The columns whose values are known, which may be keys.
    pub keys: Vec<ColumnValues>,
}

/// A column whose values are known, by `column = ?`, `column IN (?)` or an insertion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColumnValues {
    /// The column's name, without its table.
    pub column: Box<str>,
    /// The numbers of the placeholders whose values the column may have, from 0.
    pub placeholders: Vec<u32>,
}

/// The classification of a shape, which holds for all its statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// What the statements may do.
    pub effect: Effect,
    /// Why the effect is not a plain read; empty for a read.
    pub reason: Box<str>,
    /// The uses of tables in order of appearance, without CTEs.
    pub table_uses: Vec<TableUse>,
    /// The functions called, with their schemas as written.
    pub functions: Vec<Box<str>>,
    /// The features that affect the cost.
    pub features: Features,
    /// Whether the shape was parsed completely; if not, its tables and functions are unknown.
    pub parsed: bool,
    /// Whether the statement begins, ends or subdivides a transaction, and so affects later statements.
    pub controls_transaction: bool,
}

impl Verdict {
    /// Creates the verdict on a statement that was not parsed: its tables and functions are unknown.
    pub(crate) fn unparsed(effect: Effect, reason: &str) -> Verdict {
        Verdict {
            effect,
            reason: reason.into(),
            table_uses: Vec::new(),
            functions: Vec::new(),
            features: Features::default(),
            parsed: false,
            controls_transaction: false,
        }
    }

    /// Returns the names of the tables, sorted and without duplicates.
    pub fn tables(&self) -> Vec<&str> {
        let mut tables: Vec<&str> = self.table_uses.iter().map(|table_use| &*table_use.table).collect();
        tables.sort_unstable();
        tables.dedup();
        tables
    }

    /// Returns the bytes that the verdict occupies, including itself and allocator overhead.
    pub fn memory_bytes(&self) -> usize {
        let text_bytes = |text: &str| allocated_bytes(text.len());
        size_of::<Verdict>()
            + text_bytes(&self.reason)
            + vec_bytes(&self.table_uses)
            + self.table_uses.iter().map(TableUse::heap_bytes).sum::<usize>()
            + vec_bytes(&self.functions)
            + self.functions.iter().map(|name| text_bytes(name)).sum::<usize>()
    }
}

impl TableUse {
    fn heap_bytes(&self) -> usize {
        allocated_bytes(self.table.len())
            + vec_bytes(&self.keys)
            + self.keys.iter().map(ColumnValues::heap_bytes).sum::<usize>()
    }
}

impl ColumnValues {
    fn heap_bytes(&self) -> usize {
        allocated_bytes(self.column.len()) + vec_bytes(&self.placeholders)
    }
}

fn vec_bytes<T>(elements: &Vec<T>) -> usize {
    allocated_bytes(elements.capacity() * size_of::<T>())
}

/// Header that the allocator adds to each allocation.
const ALLOCATION_HEADER_BYTES: usize = 8;
/// Allocations are rounded up to a multiple of this.
const ALLOCATION_STEP_BYTES: usize = 16;
const MIN_ALLOCATION_BYTES: usize = 32;

/// Returns the memory that an allocation of `bytes` occupies.
pub(crate) fn allocated_bytes(bytes: usize) -> usize {
    if bytes == 0 {
        return 0;
    }
    (bytes + ALLOCATION_HEADER_BYTES).next_multiple_of(ALLOCATION_STEP_BYTES).max(MIN_ALLOCATION_BYTES)
}
