//! The result of scanning one token.

use super::ambiguity::Ambiguity;

/// Where a token or comment ends, and whether servers may read it differently.
#[derive(Clone, Copy)]
pub(super) struct Scanned {
    /// The offset after the last byte.
    pub end: usize,
    pub ambiguity: Option<Ambiguity>,
}

impl Scanned {
    /// Creates the result for an unambiguous token.
    pub(super) fn unambiguous(end: usize) -> Scanned {
        Scanned { end, ambiguity: None }
    }

    /// Creates the result for a token without an end, which extends to the end of the text.
    pub(super) fn unterminated(text: &[u8]) -> Scanned {
        Scanned { end: text.len(), ambiguity: Some(Ambiguity::Unterminated) }
    }
}
