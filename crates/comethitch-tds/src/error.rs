//! Why bytes could not be decoded: more of them are needed, or no further bytes can make them valid.

use thiserror::Error;

/// The bytes end within a field. Not a fault while more may arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("more bytes are needed")]
pub struct Incomplete;

/// The bytes are no valid TDS, whatever follows them. Holds what was wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct MalformedMessage(pub &'static str);

/// Why something could not be decoded from the bytes received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// More bytes are needed; reading may be tried again once they have arrived.
    #[error("more bytes are needed")]
    NeedMoreInput,
    /// No further bytes can make these valid. Holds what was wrong.
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
    /// The error where no more bytes will arrive: too few of them are malformed too, for the given reason.
    pub fn at_end(self, if_incomplete: &'static str) -> MalformedMessage {
        match self {
            ReadError::NeedMoreInput => MalformedMessage(if_incomplete),
            ReadError::Malformed(reason) => MalformedMessage(reason),
        }
    }
}
