//! The verdict on a shape: its effect, the tables and functions that it uses, and the features that make it costly.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What a statement may do, from the least restricted effect to the most restricted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// It changes nothing: any host with data new enough may take it, and it may run again.
    Read,
    /// It changes nothing, but takes locks, which only the primary gives.
    LockingRead,
    /// It changes the session, or asks about it.
    Session,
    /// Its text does not tell.
    Unknown,
    // It changes data, or may.
    #[expect(missing_docs, reason = "a description would change the form of the rules' schema")]
    Write,
}

impl Effect {
    /// Whether a replica may take it.
    pub fn on_replica(self) -> bool {
        self == Effect::Read
    }

    /// Whether executing it a second time does no harm.
    pub fn may_repeat(self) -> bool {
        matches!(self, Effect::Read | Effect::LockingRead)
    }

    /// Its name in rules, logs and verdicts.
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

/// What makes a statement costly, as far as its text shows; counts stop at 255.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Features {
    /// Uses of tables.
    pub tables: u8,
    /// Joins, those by a comma included.
    pub joins: u8,
    /// Queries within others.
    pub subqueries: u8,
    /// UNION, INTERSECT and EXCEPT.
    pub set_operations: u8,
    /// Different functions called.
    pub functions: u8,
    /// Calls of aggregates.
    pub aggregates: u8,
    /// Calls with an OVER clause.
    pub windows: u8,
    /// Tables whose rows are all looked at: no column is compared with a value.
    pub scans: u8,
    /// It has a GROUP BY clause.
    pub grouped: bool,
    /// It has an ORDER BY clause.
    pub ordered: bool,
    /// It has DISTINCT.
    pub distinct: bool,
    /// It has LIMIT, FETCH or TOP.
    pub limited: bool,
    /// It has a recursive CTE.
    pub recursive: bool,
}

impl Features {
    /// The first guess at the cost, in lookups of one row by its key; what is learned from answers replaces it.
    /// Each feature multiplies: a sort of a join costs more than both apart.
    ///
    /// ```
    /// use comethitch_statement::Features;
    /// let lookup = Features { tables: 1, ..Features::default() };
    /// assert_eq!(lookup.guess(), 1.0);
    /// assert!(Features { scans: 1, ..lookup }.guess() > 3.0);
    /// ```
    pub fn guess(&self) -> f64 {
        let many = |number: u8, factor: f64| factor.powi(i32::from(number.min(8)));
        let if_so = |is: bool, factor: f64| if is { factor } else { 1.0 };
        let scans = many(self.scans, if self.limited && !self.ordered && !self.grouped { 2.0 } else { 4.0 });
        let cost = many(self.joins, 1.5)
            * many(self.subqueries, 1.5)
            * many(self.set_operations, 1.5)
            * many(self.aggregates.min(1), 1.5)
            * many(self.windows, 1.5)
            * if_so(self.grouped, 1.5)
            * if_so(self.ordered, 1.25)
            * if_so(self.distinct, 1.5)
            * if_so(self.recursive, 4.0)
            * scans;
        cost.min(1e6)
    }
}

/// One use of a table, and the columns that it compares with values.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableUse {
    /// The table, with its schema as written.
    pub table: Box<str>,
    /// The columns.
    pub keys: Vec<ColumnValues>,
}

/// A column whose value is known: `column = ?`, `column IN (?)`, or a value inserted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColumnValues {
    /// The column's name, without its table.
    pub column: Box<str>,
    /// The numbers of the placeholders, from 0: the value is one of theirs.
    pub placeholders: Vec<u32>,
}

/// What a shape's statements may do, touch and cost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// What its statements may do.
    pub effect: Effect,
    /// Why it is no plain read; empty for one.
    pub why: Box<str>,
    /// Each use of a table, in order of appearance; a CTE is none.
    pub uses: Vec<TableUse>,
    /// The functions that it calls, with their schemas as written.
    pub functions: Vec<Box<str>>,
    /// What makes it costly.
    pub features: Features,
    /// Whether it was parsed whole: without that no table is known for certain.
    pub parsed: bool,
    /// It begins, ends or divides a transaction, and so concerns statements that come after it.
    pub transaction: bool,
}

impl Verdict {
    /// The verdict on a statement that was not parsed: no part of it is known.
    pub(crate) fn unparsed(effect: Effect, why: &str) -> Verdict {
        Verdict {
            effect,
            why: why.into(),
            uses: Vec::new(),
            functions: Vec::new(),
            features: Features::default(),
            parsed: false,
            transaction: false,
        }
    }

    /// The names of the tables, each once, in order.
    pub fn tables(&self) -> Vec<&str> {
        let mut tables: Vec<&str> = self.uses.iter().map(|table_use| &*table_use.table).collect();
        tables.sort_unstable();
        tables.dedup();
        tables
    }

    /// The bytes that it holds, its own place and what the allocator adds to each piece included.
    pub fn bytes(&self) -> usize {
        let text = |text: &str| allocated(text.len());
        let key = |key: &ColumnValues| {
            text(&key.column) + allocated(key.placeholders.capacity() * size_of::<u32>())
        };
        let table_use = |table_use: &TableUse| {
            text(&table_use.table)
                + allocated(table_use.keys.capacity() * size_of::<ColumnValues>())
                + table_use.keys.iter().map(key).sum::<usize>()
        };
        size_of::<Verdict>()
            + text(&self.why)
            + allocated(self.uses.capacity() * size_of::<TableUse>())
            + self.uses.iter().map(table_use).sum::<usize>()
            + allocated(self.functions.capacity() * size_of::<Box<str>>())
            + self.functions.iter().map(|name| text(name)).sum::<usize>()
    }
}

/// What an allocation of so many bytes takes: a header of eight, in steps of sixteen, 32 at the least.
pub(crate) fn allocated(bytes: usize) -> usize {
    if bytes == 0 { 0 } else { (bytes + 8).next_multiple_of(16).max(32) }
}
