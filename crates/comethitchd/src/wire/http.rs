//! The subset of HTTP/1.1 that requests to the discovery service use: GET requests, response heads, and
//! bodies with or without chunked encoding.

use crate::wire::MalformedMessage;

/// Size above which an incomplete response head is rejected.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Size above which an incomplete line between the chunks of a body is rejected.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
const HEAD_END: &[u8] = b"\r\n\r\n";
const LINE_END: &[u8] = b"\r\n";

/// Encodes a GET request for JSON.
pub fn get_request(path: &str, host: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}

/// The head of a response.
#[derive(Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// Decodes the body that follows.
    pub body: BodyDecoder,
    /// Length of the head in bytes.
    pub length: usize,
}

/// Decodes the body of a response. The variants are the ways in which a body may be delimited.
#[derive(Debug, PartialEq, Eq)]
pub enum BodyDecoder {
    /// By chunked encoding.
    Chunked(ChunkPhase),
    /// By its length. Holds the number of bytes that are not received yet.
    Length(u64),
    /// By the end of the connection.
    UntilClosed,
}

/// The next element expected in a chunked body.
#[derive(Debug, PartialEq, Eq)]
pub enum ChunkPhase {
    /// The line with a chunk's size.
    Size,
    /// A chunk's data. Holds the number of bytes that are not received yet.
    Data(u64),
    /// The line end after a chunk's data.
    DataEnd,
    /// A trailer field, or the empty line that ends the body.
    Trailer,
    /// Nothing: the body is complete.
    Complete,
}

/// Parses the head of a response. Returns `None` if it is incomplete.
///
/// # Errors
/// If the bytes are not the head of an HTTP/1 response, or the head is too large.
pub fn parse_head(bytes: &[u8]) -> Result<Option<ResponseHead>, MalformedMessage> {
    let Some(end) = bytes.windows(HEAD_END.len()).position(|four| four == HEAD_END) else {
        if bytes.len() > MAX_HEAD_BYTES {
            return Err(MalformedMessage("the HTTP response head is too large"));
        }
        return Ok(None);
    };
    let text = std::str::from_utf8(&bytes[..end])
        .map_err(|_| MalformedMessage("the HTTP response head is not UTF-8"))?;
    let mut lines = text.split("\r\n");
    let status = lines
        .next()
        .and_then(parse_status)
        .ok_or(MalformedMessage("the HTTP response has no HTTP/1 status line"))?;
    let body = BodyDecoder::from_headers(lines)?;
    Ok(Some(ResponseHead { status, body, length: end + HEAD_END.len() }))
}

fn parse_status(line: &str) -> Option<u16> {
    line.strip_prefix("HTTP/1.")?.get(2..5)?.parse().ok()
}

/// Appends up to `remaining` of the bytes to `out`, subtracts their number from `remaining`, and returns it.
fn copy_remaining(remaining: &mut u64, bytes: &[u8], out: &mut Vec<u8>) -> usize {
    let length = bytes.len().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
    out.extend(&bytes[..length]);
    *remaining -= length as u64;
    length
}

impl BodyDecoder {
    fn from_headers<'a>(lines: impl Iterator<Item = &'a str>) -> Result<BodyDecoder, MalformedMessage> {
        let mut body = BodyDecoder::UntilClosed;
        for (name, value) in lines.filter_map(|line| line.split_once(':')) {
            let value = value.trim();
            if name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
                body = BodyDecoder::Chunked(ChunkPhase::Size);
            } else if name.eq_ignore_ascii_case("content-length") && body == BodyDecoder::UntilClosed {
                let length =
                    value.parse().map_err(|_| MalformedMessage("the HTTP content-length is not a number"))?;
                body = BodyDecoder::Length(length);
            }
        }
        Ok(body)
    }

    /// Appends the part of the body in `bytes` to `out`, and returns how many bytes were consumed.
    ///
    /// # Errors
    /// If the chunks are malformed.
    pub fn decode(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, MalformedMessage> {
        match self {
            BodyDecoder::UntilClosed => {
                out.extend(bytes);
                Ok(bytes.len())
            }
            BodyDecoder::Length(remaining) => Ok(copy_remaining(remaining, bytes, out)),
            BodyDecoder::Chunked(phase) => {
                let mut consumed = 0;
                while let Some(length) = phase.step(&bytes[consumed..], out)? {
                    consumed += length;
                }
                Ok(consumed)
            }
        }
    }

    /// Returns whether the whole body was decoded. This is always false for a body that is delimited by the
    /// end of the connection.
    pub fn is_complete(&self) -> bool {
        matches!(self, BodyDecoder::Length(0) | BodyDecoder::Chunked(ChunkPhase::Complete))
    }
}

impl ChunkPhase {
    /// Decodes one element, or a part of a chunk's data, and returns how many bytes were consumed. Returns
    /// `None` if more bytes are needed or the body is complete.
    fn step(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<Option<usize>, MalformedMessage> {
        if bytes.is_empty() || *self == ChunkPhase::Complete {
            return Ok(None);
        }
        if let ChunkPhase::Data(remaining) = self {
            let length = copy_remaining(remaining, bytes, out);
            if *remaining == 0 {
                *self = ChunkPhase::DataEnd;
            }
            return Ok(Some(length));
        }
        let Some(end) = bytes.windows(LINE_END.len()).position(|two| two == LINE_END) else {
            if bytes.len() > MAX_CHUNK_LINE_BYTES {
                return Err(MalformedMessage("a line in the HTTP chunked body is too long"));
            }
            return Ok(None);
        };
        *self = self.after_line(&bytes[..end])?;
        Ok(Some(end + LINE_END.len()))
    }

    /// Returns the phase that follows a line, which excludes its line end.
    fn after_line(&self, line: &[u8]) -> Result<ChunkPhase, MalformedMessage> {
        match self {
            ChunkPhase::Size => match parse_chunk_size(line)? {
                0 => Ok(ChunkPhase::Trailer),
                size => Ok(ChunkPhase::Data(size)),
            },
            ChunkPhase::DataEnd if !line.is_empty() => {
                Err(MalformedMessage("an HTTP chunk is longer than its stated size"))
            }
            ChunkPhase::DataEnd => Ok(ChunkPhase::Size),
            _ if line.is_empty() => Ok(ChunkPhase::Complete),
            _ => Ok(ChunkPhase::Trailer),
        }
    }
}

/// Parses the line with a chunk's size. Chunk extensions are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, MalformedMessage> {
    let text = std::str::from_utf8(line).unwrap_or_default();
    let size = text.split(';').next().unwrap_or_default().trim();
    u64::from_str_radix(size, 16).map_err(|_| MalformedMessage("an HTTP chunk has no valid size"))
}
