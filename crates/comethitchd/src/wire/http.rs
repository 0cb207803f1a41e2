//! HTTP/1.1 as far as a watch needs it: a request, the head of an answer, and its chunked body.

use crate::wire::Malformed;

const LARGEST_HEAD: usize = 16 * 1024;
const LARGEST_SIZE_LINE: usize = 1024;

pub fn request(path: &str, host: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}

/// How the body of an answer is delimited.
#[derive(Debug, PartialEq, Eq)]
pub enum Body {
    Chunked(Chunk),
    Length(u64),
    UntilClosed,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Chunk {
    Size,
    Data(u64),
    /// The line end behind a chunk's data.
    DataEnd,
    Trailer,
    Over,
}

/// The status of an answer, its body's form and the length of its head; nothing if it is not whole yet.
pub fn head(bytes: &[u8]) -> Result<Option<(u16, Body, usize)>, Malformed> {
    let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
        return if bytes.len() > LARGEST_HEAD { Err(Malformed("the head has no end")) } else { Ok(None) };
    };
    let text = std::str::from_utf8(&bytes[..end]).map_err(|_| Malformed("the head is not UTF-8"))?;
    let mut lines = text.split("\r\n");
    let first = lines.next().and_then(|line| line.strip_prefix("HTTP/1.")).and_then(|line| line.get(2..5));
    let status = first.and_then(|code| code.parse().ok()).ok_or(Malformed("no HTTP/1 status line"))?;
    let mut body = Body::UntilClosed;
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let value = value.trim();
        if name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
            body = Body::Chunked(Chunk::Size);
        } else if name.eq_ignore_ascii_case("content-length") && body == Body::UntilClosed {
            body = Body::Length(value.parse().map_err(|_| Malformed("content-length is no number"))?);
        }
    }
    Ok(Some((status, body, end + 4)))
}

/// Moves what `bytes` hold of the `left` bytes behind `out`, and tells how many that were.
fn take_some(left: &mut u64, bytes: &[u8], out: &mut Vec<u8>) -> usize {
    let now = bytes.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
    out.extend(&bytes[..now]);
    *left -= now as u64;
    now
}

impl Body {
    /// Moves what `bytes` hold of the body behind `out`, and tells how many of them are done with.
    pub fn take(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, Malformed> {
        match self {
            Body::UntilClosed => {
                out.extend(bytes);
                Ok(bytes.len())
            }
            Body::Length(left) => Ok(take_some(left, bytes, out)),
            Body::Chunked(chunk) => {
                let mut done = 0;
                while let Some(step) = chunk.step(&bytes[done..], out)? {
                    done += step;
                }
                Ok(done)
            }
        }
    }

    pub fn over(&self) -> bool {
        matches!(self, Body::Length(0) | Body::Chunked(Chunk::Over))
    }
}

impl Chunk {
    /// One step on, if `bytes` hold enough for it.
    fn step(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<Option<usize>, Malformed> {
        if bytes.is_empty() || *self == Chunk::Over {
            return Ok(None);
        }
        if let Chunk::Data(left) = self {
            let now = take_some(left, bytes, out);
            if *left == 0 {
                *self = Chunk::DataEnd;
            }
            return Ok(Some(now));
        }
        let Some(end) = bytes.windows(2).position(|two| two == b"\r\n") else {
            let long = bytes.len() > LARGEST_SIZE_LINE;
            return if long { Err(Malformed("a chunk's line has no end")) } else { Ok(None) };
        };
        *self = match self {
            Chunk::Size => {
                let text = std::str::from_utf8(&bytes[..end]).unwrap_or_default();
                let size = text.split(';').next().unwrap_or_default().trim();
                match u64::from_str_radix(size, 16).map_err(|_| Malformed("a chunk without a size"))? {
                    0 => Chunk::Trailer,
                    size => Chunk::Data(size),
                }
            }
            Chunk::DataEnd if end > 0 => return Err(Malformed("a chunk longer than its size")),
            Chunk::DataEnd => Chunk::Size,
            _ if end == 0 => Chunk::Over,
            _ => Chunk::Trailer,
        };
        Ok(Some(end + 2))
    }
}
