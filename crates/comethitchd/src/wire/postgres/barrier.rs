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

/// The barriers of a connection, which follow each other in this order and then start again. A second copy of
/// everything that a host sent for the last request differs from what is expected, as the barriers alternate.
const SEQUENCE: [BarrierQuery; 2] = [Empty, Set];
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
