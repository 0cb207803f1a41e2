//! `SQLBatch` (\[MS-TDS\], "SQLBatch"): the text of one or more statements.

use super::Headers;
use crate::error::MalformedMessage;
use crate::text;

/// A batch of statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The headers before the text.
    pub headers: Headers,
    /// The text of the statements.
    pub text: String,
}

impl Batch {
    /// Decodes the payload of a complete message.
    ///
    /// # Errors
    ///
    /// If the headers are invalid or the text is not well-formed UTF-16.
    pub fn read(payload: &[u8]) -> Result<Batch, MalformedMessage> {
        let headers = Headers::read(payload)?;
        let text = text::decode(&payload[headers.length..]);
        let text = text.ok_or(MalformedMessage("a batch that is no UTF-16"))?;
        Ok(Batch { headers, text })
    }

    /// Writes a batch as a client does, outside of a transaction.
    pub fn put(out: &mut Vec<u8>, text: &str) {
        Headers::put(out, 0);
        text::put(out, text);
    }
}
