//! PostgreSQL messages, and requests in the statement form of the platform: a comment with the id, request
//! class, timeout in milliseconds and shard, followed by a fixed form of `SELECT` or `INSERT`.

use super::{message, query};
use comethitch_testkit::postgres::{TransactionStatus, ready_for_query};

/// Encodes a `ReadyForQuery` with the status of a session outside of a transaction.
pub(crate) fn ready() -> Vec<u8> {
    ready_for_query(TransactionStatus::Idle)
}

/// Encodes `AuthenticationOk` and `ReadyForQuery`, a host's answer to the startup message.
pub(crate) fn greeting() -> Vec<u8> {
    [message(b'R', &[0; 4]), ready()].concat()
}

/// Returns the text of a read with an id and a timeout.
pub(crate) fn read_request(id: u32, timeout_ms: u32) -> String {
    format!("/* id={id},c=read,d={timeout_ms},cluster=0 */ SELECT data FROM facts WHERE code = 'k{id}'")
}

/// Returns the text of a write with an id and a timeout.
pub(crate) fn write_request(id: u32, timeout_ms: u32) -> String {
    format!(
        "/* id={id},c=write,d={timeout_ms},cluster=0 */ \
         INSERT INTO facts (code, data) VALUES ('k', '\\x9f') RETURNING data"
    )
}

/// Encodes 400 pipelined writes with successive ids from `first_id`. These are so many that the router stops
/// reading from the client before it reaches the end of the connection.
pub(crate) fn pipelined_writes(first_id: u32) -> Vec<u8> {
    (first_id..first_id + 400).flat_map(|id| query(&write_request(id, 5_000))).collect()
}
