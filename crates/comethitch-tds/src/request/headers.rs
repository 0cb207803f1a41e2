//! `ALL_HEADERS` (\[MS-TDS\], "Packet Data Stream Headers"), which precede batches and calls.

use crate::error::{Incomplete, MalformedMessage};
use crate::read::Reader;

/// Size of the length and the type that precede each header's data.
const HEADER_PREFIX_BYTES: usize = 4 + 2;
/// The type of the header that holds the transaction descriptor and the number of outstanding requests.
const TRANSACTION_DESCRIPTOR_TYPE: u16 = 2;
/// Size of that header's data.
const TRANSACTION_DESCRIPTOR_BYTES: usize = 8 + 4;

/// The headers of a batch or a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    /// Descriptor of the client's current transaction, or 0.
    pub transaction: u64,
    /// Total length of the headers in bytes, including the four bytes that state it.
    pub length: usize,
}

impl Headers {
    /// Reads the headers at the start of a complete message.
    ///
    /// # Errors
    ///
    /// If a length is impossible or the headers are incomplete.
    pub fn read(payload: &[u8]) -> Result<Headers, MalformedMessage> {
        let cut_off = |_: Incomplete| MalformedMessage("headers that are cut off");
        let mut reader = Reader::new(payload);
        let length = reader.u32().map_err(cut_off)? as usize;
        if length < 4 || length > payload.len() {
            return Err(MalformedMessage("headers of an impossible length"));
        }
        let mut headers = Headers { transaction: 0, length };
        while reader.position() < length {
            let start = reader.position();
            let header_bytes = reader.u32().map_err(cut_off)? as usize;
            if header_bytes < HEADER_PREFIX_BYTES || start + header_bytes > length {
                return Err(MalformedMessage("a header of an impossible length"));
            }
            let header_type = reader.u16().map_err(cut_off)?;
            let data = reader.take(header_bytes - HEADER_PREFIX_BYTES).map_err(cut_off)?;
            if header_type == TRANSACTION_DESCRIPTOR_TYPE {
                headers.transaction = Reader::new(data).u64().map_err(cut_off)?;
            }
        }
        Ok(headers)
    }

    /// Writes headers as a client does, with a transaction descriptor only.
    pub fn put(out: &mut Vec<u8>, transaction: u64) {
        let header_bytes = HEADER_PREFIX_BYTES + TRANSACTION_DESCRIPTOR_BYTES;
        let total_bytes = 4 + header_bytes;
        let outstanding_requests = 1_u32;
        out.extend((total_bytes as u32).to_le_bytes());
        out.extend((header_bytes as u32).to_le_bytes());
        out.extend(TRANSACTION_DESCRIPTOR_TYPE.to_le_bytes());
        out.extend(transaction.to_le_bytes());
        out.extend(outstanding_requests.to_le_bytes());
    }
}
