//! The procedure that a call names: one of the server's system procedures, or any other by its name.

/// The system procedures that have ids and special meaning to a router (\[MS-TDS\], "RPC Request", `ProcID`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// `sp_executesql`: executes a parameterized statement.
    ExecuteSql,
    /// `sp_prepare`: prepares a statement and returns its handle.
    Prepare,
    /// `sp_execute`: executes a prepared statement.
    Execute,
    /// `sp_prepexec` and `sp_prepexecrpc`: prepare and execute in one call.
    PrepareExecute,
    /// `sp_unprepare`: discards a prepared statement.
    Unprepare,
    /// `sp_cursor` and its relatives, whose state belongs to one session.
    Cursor,
}

/// What a call executes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Procedure {
    /// A system procedure, named by its id or by its name.
    Known(Known),
    /// Any other procedure, as the client named it.
    Named(String),
}

impl Known {
    /// The system procedure with this id.
    pub(super) fn from_number(number: u16) -> Option<Known> {
        Some(match number {
            1..=9 => Known::Cursor,
            10 => Known::ExecuteSql,
            11 => Known::Prepare,
            12 => Known::Execute,
            13 | 14 => Known::PrepareExecute,
            15 => Known::Unprepare,
            _ => return None,
        })
    }

    /// The system procedure with this name, alone or in the schema `sys`: a procedure of the same name in any other
    /// schema is a user's own.
    pub(super) fn from_name(name: &str) -> Option<Known> {
        let name = name.to_ascii_lowercase();
        let unqualified = name.strip_prefix("sys.").or_else(|| name.strip_prefix("[sys].")).unwrap_or(&name);
        let unquoted = unqualified.strip_prefix('[').and_then(|name| name.strip_suffix(']'));
        Some(match unquoted.unwrap_or(unqualified) {
            "sp_executesql" => Known::ExecuteSql,
            "sp_prepare" => Known::Prepare,
            "sp_execute" => Known::Execute,
            "sp_prepexec" | "sp_prepexecrpc" => Known::PrepareExecute,
            "sp_unprepare" => Known::Unprepare,
            name if name.starts_with("sp_cursor") => Known::Cursor,
            _ => return None,
        })
    }

    /// The procedure's id; of several the lowest.
    pub fn number(self) -> u16 {
        match self {
            Known::Cursor => 1,
            Known::ExecuteSql => 10,
            Known::Prepare => 11,
            Known::Execute => 12,
            Known::PrepareExecute => 13,
            Known::Unprepare => 15,
        }
    }
}
