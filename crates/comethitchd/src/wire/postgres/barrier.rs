//! The queries that serve as barriers: hosts answer them at once, and they have no effect.

use super::response::HostResponse;
use super::write::{put_command_complete, put_empty_query};

/// A query without effect. The answers to the two differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BarrierQuery {
    /// An empty query, which is answered with `EmptyQueryResponse`.
    Empty,
    /// `SET` of a parameter that only labels the session, which is answered with `CommandComplete`.
    Set,
}

use BarrierQuery::{Empty, Set};

/// The barriers of a connection, which follow each other in this order and then start again. Each two enclose
/// one request. All four combinations come in turn, so that a second copy of everything that a host sent for
/// one of the last three requests differs from what is expected.
const SEQUENCE: [BarrierQuery; 8] = [Empty, Set, Set, Set, Set, Empty, Empty, Empty];
/// Number of barriers at the start of the sequence that include both queries.
pub const DISTINCT_BARRIERS: u32 = 2;

impl BarrierQuery {
    /// Returns the barrier with this number on its connection.
    pub fn nth(number: u32) -> BarrierQuery {
        SEQUENCE[number as usize % SEQUENCE.len()]
    }

    /// Returns the text of the query.
    pub fn text(self) -> &'static str {
        match self {
            Empty => "",
            Set => "SET application_name TO DEFAULT",
        }
    }

    /// Returns whether a complete response is the answer to this query, and nothing else.
    pub fn is_answered_by(self, response: &HostResponse) -> bool {
        response.error_code.is_none() && response.rows == self.answer()
    }

    /// Returns whether a complete response ends with the answer to this query.
    pub fn is_answered_at_end_of(self, response: &HostResponse) -> bool {
        response.last_message() == self.answer()
    }

    fn answer(self) -> Vec<u8> {
        let mut answer = Vec::new();
        match self {
            Empty => put_empty_query(&mut answer),
            Set => put_command_complete(&mut answer, "SET"),
        }
        answer
    }
}
