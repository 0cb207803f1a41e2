//! The procedure that a call names: one of the server's system procedures, or any other by its name.

/// The system procedures that have ids and special meaning to a router (\[MS-TDS\], "RPC Request", `ProcID`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemProcedure {
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
    System(SystemProcedure),
    /// Any other procedure, as the client named it.
    Named(String),
}

impl SystemProcedure {
    /// The system procedure with this id.
    pub(super) fn from_number(number: u16) -> Option<SystemProcedure> {
        Some(match number {
            1..=9 => SystemProcedure::Cursor,
            10 => SystemProcedure::ExecuteSql,
            11 => SystemProcedure::Prepare,
            12 => SystemProcedure::Execute,
            13 | 14 => SystemProcedure::PrepareExecute,
            15 => SystemProcedure::Unprepare,
            _ => return None,
        })
    }

    /// The system procedure with this name, alone or in the schema `sys`: a procedure of the same name in any other
    /// schema is a user's own.
    pub(super) fn from_name(name: &str) -> Option<SystemProcedure> {
        let name = name.to_ascii_lowercase();
        let unqualified = name.strip_prefix("sys.").or_else(|| name.strip_prefix("[sys].")).unwrap_or(&name);
        let unquoted = unqualified.strip_prefix('[').and_then(|name| name.strip_suffix(']'));
        Some(match unquoted.unwrap_or(unqualified) {
            "sp_executesql" => SystemProcedure::ExecuteSql,
            "sp_prepare" => SystemProcedure::Prepare,
            "sp_execute" => SystemProcedure::Execute,
            "sp_prepexec" | "sp_prepexecrpc" => SystemProcedure::PrepareExecute,
            "sp_unprepare" => SystemProcedure::Unprepare,
            name if name.starts_with("sp_cursor") => SystemProcedure::Cursor,
            _ => return None,
        })
    }

    /// The procedure's id; of several the lowest.
    pub fn number(self) -> u16 {
        match self {
            SystemProcedure::Cursor => 1,
            SystemProcedure::ExecuteSql => 10,
            SystemProcedure::Prepare => 11,
            SystemProcedure::Execute => 12,
            SystemProcedure::PrepareExecute => 13,
            SystemProcedure::Unprepare => 15,
        }
    }
}
