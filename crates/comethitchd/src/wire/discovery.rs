//! Discovery's list of hosts, as JSON.

use crate::wire::statement::fnv1a;
use comethitch_policy::time::Timestamp;
use comethitch_policy::{Endpoint, Host, Lifecycle};
use serde_json::Value;
use std::net::SocketAddr;

/// One object of the list: all of it, or what changed.
#[derive(Debug, Default)]
pub struct EndpointList {
    pub seq: u64,
    pub whole: bool,
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: String,
    /// The address to connect to.
    pub dial: SocketAddr,
    /// What the policy is told of it.
    pub endpoint: Endpoint,
}

/// The module's host for a name. The name is the same at every router, the address to dial need not be.
pub fn host(name: &str) -> Host {
    let hash = fnv1a(name.as_bytes());
    let [port @ .., a, b, c, d] = hash.to_be_bytes();
    let folded = u16::from_be_bytes([port[0], port[1]]) ^ u16::from_be_bytes([port[2], port[3]]);
    Host { address: [a, b, c, d], port: folded }
}

/// What discovery's text is made of.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    Object(Vec<u8>),
    /// The end of a line outside of any object: a sign of life.
    LineEnd,
}

/// An object that is longer than this has no end.
const LARGEST_OBJECT: usize = 4 << 20;

/// Cuts text into objects and line ends as it comes in, however the objects are laid out: one may be indented over many
/// lines, or two stand on one.
///
/// ```
/// use comethitchd::wire::discovery::{Piece, Pieces};
/// let mut pieces = Pieces::default();
/// pieces.text().extend(b"{\n  \"a\": [\"}\"]\n}\n\n{");
/// assert_eq!(pieces.next(), Ok(Some(Piece::Object(b"{\n  \"a\": [\"}\"]\n}".to_vec()))));
/// assert_eq!(pieces.next(), Ok(Some(Piece::LineEnd)));
/// assert_eq!(pieces.next(), Ok(Some(Piece::LineEnd)));
/// assert_eq!(pieces.next(), Ok(None));
/// assert!(pieces.within(), "an object has begun");
/// ```
#[derive(Debug, Default)]
pub struct Pieces {
    text: Vec<u8>,
    /// Where what is not given out yet begins, and up to where it is looked at; and where in an object that is.
    start: usize,
    at: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl Pieces {
    /// Where text that has come is added, at its end.
    pub fn text(&mut self) -> &mut Vec<u8> {
        &mut self.text
    }

    /// Whether an object has begun and not ended.
    pub fn within(&self) -> bool {
        self.depth > 0
    }

    /// The next piece that is whole.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Piece>, String> {
        while let Some(byte) = self.text.get(self.at).copied() {
            self.at += 1;
            if self.quoted {
                self.quoted = self.escaped || byte != b'"';
                self.escaped = !self.escaped && byte == b'\\';
                continue;
            }
            match byte {
                b'{' => self.depth += 1,
                b'[' if self.within() => self.depth += 1,
                b'}' | b']' if self.within() => {
                    self.depth -= 1;
                    if !self.within() {
                        let object = self.text[self.start..self.at].to_vec();
                        self.start = self.at;
                        return Ok(Some(Piece::Object(object)));
                    }
                }
                b'"' if self.within() => self.quoted = true,
                _ if self.within() => {}
                b'\n' => {
                    self.start = self.at;
                    return Ok(Some(Piece::LineEnd));
                }
                byte if byte.is_ascii_whitespace() => self.start = self.at,
                _ => return Err("the list is no JSON object".into()),
            }
        }
        self.text.drain(..self.start);
        (self.at, self.start) = (self.at - self.start, 0);
        match self.text.len() > LARGEST_OBJECT {
            true => Err("it sends an object without end".into()),
            false => Ok(None),
        }
    }
}

/// Reads one object of the list; `zones` are the names of the zones in the order of the settings.
pub fn listing(text: &[u8], zones: &[String]) -> Result<EndpointList, String> {
    let value: Value = serde_json::from_slice(text).map_err(|e| format!("the list is no JSON: {e}"))?;
    listing_of(&value, zones)
}

pub fn listing_of(value: &Value, zones: &[String]) -> Result<EndpointList, String> {
    let hosts = value["hosts"].as_array().ok_or("hosts is missing")?;
    Ok(EndpointList {
        seq: value["seq"].as_u64().ok_or("seq is missing")?,
        whole: value["whole"].as_bool().ok_or("whole is missing")?,
        entries: hosts
            .iter()
            .enumerate()
            .map(|(i, host)| entry(host, zones).map_err(|e| format!("hosts.{i}.{e}")))
            .collect::<Result<_, _>>()?,
    })
}

fn entry(value: &Value, zones: &[String]) -> Result<Entry, String> {
    let text = |key: &str| value[key].as_str().ok_or_else(|| format!("{key} is missing"));
    let (name, dial, site) = (text("host")?, text("dial")?, value["site"].as_str().unwrap_or_default());
    let zone = zones.iter().position(|zone| zone == site).unwrap_or(zones.len());
    let shard = value["block"].as_u64().and_then(|block| u16::try_from(block).ok());
    let lifecycle = match text("health")? {
        "ready" => Lifecycle::Ready,
        "draining" => Lifecycle::Draining,
        "gone" => Lifecycle::Removed,
        other => return Err(format!("health is unknown: {other:?}")),
    };
    let started = value["born_ms"].as_u64().filter(|ms| *ms > 0);
    Ok(Entry {
        name: name.into(),
        dial: dial.parse().map_err(|_| format!("dial is no address: {dial:?}"))?,
        endpoint: Endpoint {
            host: host(name),
            zone: u8::try_from(zone).unwrap_or(u8::MAX),
            shard: shard.ok_or("block is missing")?,
            lifecycle,
            is_primary: value["rank"].as_str() == Some("source"),
            capacity: value["share"].as_f64().unwrap_or(1.0),
            started: started.map(Timestamp::from_millis),
        },
    })
}
