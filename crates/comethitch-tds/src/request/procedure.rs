//! The procedure of a call: one of the server's system procedures, or any other by its name.

/// The system procedures with ids, which a router treats specially (\[MS-TDS\], "RPC Request", `ProcID`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemProcedure {
    /// `sp_executesql`: executes a parameterized statement.
    ExecuteSql,
    /// `sp_prepare`: prepares a statement and returns its handle.
    Prepare,
    /// `sp_execute`: executes a prepared statement.
    Execute,
    /// `sp_prepexec` and `sp_prepexecrpc`: prepares and executes a statement in one call.
    PrepareExecute,
    /// `sp_unprepare`: discards a prepared statement.
    Unprepare,
    /// `sp_cursor` and the other cursor procedures, whose state belongs to one session.
    Cursor,
}

/// The procedure that a call names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Procedure {
    /// A system procedure, named by its id or by its name.
    System(SystemProcedure),
    /// Any other procedure, as the client named it.
    Named(String),
}

impl SystemProcedure {
    /// Returns the system procedure with this id, or `None` if the id is unknown.
    pub(super) fn from_id(id: u16) -> Option<SystemProcedure> {
        Some(match id {
            1..=9 => SystemProcedure::Cursor,
            10 => SystemProcedure::ExecuteSql,
            11 => SystemProcedure::Prepare,
            12 => SystemProcedure::Execute,
            13 | 14 => SystemProcedure::PrepareExecute,
            15 => SystemProcedure::Unprepare,
            _ => return None,
        })
    }

    /// Returns the system procedure with this name, unqualified or in the schema `sys`. In any other schema,
    /// the name belongs to a user's procedure.
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

    /// Returns the id of the procedure, the lowest one if there are several.
    pub fn id(self) -> u16 {
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
