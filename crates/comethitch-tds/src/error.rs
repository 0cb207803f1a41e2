//! Decoding errors: more bytes are needed, or no further bytes can make the input valid.

use thiserror::Error;

/// The input ends within a field. Not an error as long as more input may arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("more bytes are needed")]
pub struct Incomplete;

/// The input is not valid TDS, whatever follows it. Holds the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct MalformedMessage(pub &'static str);

/// Reasons why the bytes received so far could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// More bytes are needed; decoding can be retried once they have arrived.
    #[error("more bytes are needed")]
    NeedMoreInput,
    /// No further bytes can make the input valid. Holds the reason.
    #[error("{0}")]
    Malformed(&'static str),
}

impl From<Incomplete> for ReadError {
    fn from(_: Incomplete) -> ReadError {
        ReadError::NeedMoreInput
    }
}

impl From<MalformedMessage> for ReadError {
    fn from(malformed: MalformedMessage) -> ReadError {
        ReadError::Malformed(malformed.0)
    }
}

impl ReadError {
    /// Converts the error for input to which nothing will be added: incomplete input is malformed for the
    /// given reason.
    pub fn at_end_of_input(self, if_incomplete: &'static str) -> MalformedMessage {
        match self {
            ReadError::NeedMoreInput => MalformedMessage(if_incomplete),
            ReadError::Malformed(reason) => MalformedMessage(reason),
        }
    }
}
