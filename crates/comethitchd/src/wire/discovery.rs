//! Parses the endpoint list of the discovery service from JSON, and maps its keys to the names that the rest
//! of the code uses.
//!
//! [`super::json_stream`] splits the stream of a watch into single objects.

use comethitch_policy::time::Timestamp;
use comethitch_policy::{Endpoint, Host, Lifecycle};
use comethitch_statement::assign::fnv1a;
use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;
use std::net::SocketAddr;

/// The value of an entry's key `rank` for a primary.
const PRIMARY_ROLE: &str = "source";
/// The capacity of a host whose entry gives none, relative to the other hosts.
const DEFAULT_CAPACITY: f64 = 1.0;

/// An endpoint list: either a complete one, or an update with the endpoints that changed.
#[derive(Debug, Default)]
pub struct EndpointList {
    /// The version of the list, key `seq`.
    pub version: u64,
    /// Whether the list holds every endpoint, key `whole`. Otherwise it holds only those that changed.
    pub complete: bool,
    /// The endpoints in the order of the list, key `hosts`.
    pub entries: Vec<EndpointEntry>,
}

/// An entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The host's name, key `host`, which is the same at every router.
    pub name: String,
    /// The address to connect to, key `dial`, which may differ between routers.
    pub address: SocketAddr,
    /// The endpoint as the policy knows it.
    pub endpoint: Endpoint,
}

/// Reasons why an endpoint list is rejected. The texts name the key.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// The text is not valid JSON.
    #[error("the endpoint list is not valid JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// A key of the list itself is missing or has a value of the wrong type.
    #[error("{0} is missing or has the wrong type")]
    Missing(&'static str),
    /// An entry is invalid.
    #[error("hosts.{index}.{source}")]
    Entry {
        /// Position of the entry in `hosts`, from 0.
        index: usize,
        /// What is wrong with the entry.
        source: EndpointEntryError,
    },
}

/// Reasons why an entry of an endpoint list is rejected.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointEntryError {
    /// A key is missing, or its value has the wrong type or is out of range.
    #[error("{0} is missing or invalid")]
    Missing(&'static str),
    /// The address is not an IP address with a port.
    #[error("dial must be an IP address with a port, not {0:?}")]
    InvalidAddress(String),
    /// The lifecycle state is unknown.
    #[error("health must be ready, draining or gone, not {0:?}")]
    UnknownHealth(String),
}

/// Returns the policy's identifier of a host: a hash of its name, which is the same at every router.
pub fn host_id(name: &str) -> Host {
    let hash = fnv1a(name.as_bytes());
    let [port @ .., a, b, c, d] = hash.to_be_bytes();
    let folded = u16::from_be_bytes([port[0], port[1]]) ^ u16::from_be_bytes([port[2], port[3]]);
    Host { address: [a, b, c, d], port: folded }
}

/// Parses an endpoint list. `zones` are the names of the zones in the order of the configuration.
///
/// # Errors
/// If the text is not valid JSON, or a key is missing or has an invalid value.
pub fn parse_endpoint_list(text: &[u8], zones: &[String]) -> Result<EndpointList, EndpointListError> {
    if let Ok(RawList { version, complete, entries }) = serde_json::from_slice(text)
        && let Ok(entries) = entries.into_iter().map(|entry| endpoint_entry(entry, zones)).collect()
    {
        return Ok(EndpointList { version, complete, entries });
    }
    // This path is slower, but ignores optional keys that have the wrong type, and its errors name the key.
    let value: Value = serde_json::from_slice(text)?;
    endpoint_list_from_json(&value, zones)
}

/// An endpoint list with the keys of the discovery service. Its strings are borrowed, because a list may have
/// thousands of entries.
#[derive(Deserialize)]
struct RawList<'a> {
    #[serde(rename = "seq")]
    version: u64,
    #[serde(rename = "whole")]
    complete: bool,
    #[serde(borrow, rename = "hosts")]
    entries: Vec<RawEntry<'a>>,
}

/// An entry of an endpoint list with the keys of the discovery service. Unknown keys are ignored.
#[derive(Deserialize)]
struct RawEntry<'a> {
    #[serde(borrow, rename = "host")]
    name: Cow<'a, str>,
    #[serde(borrow, rename = "dial")]
    address: Cow<'a, str>,
    #[serde(borrow, rename = "health")]
    lifecycle: Cow<'a, str>,
    #[serde(rename = "block")]
    shard: u64,
    #[serde(borrow, default, rename = "site")]
    zone: Cow<'a, str>,
    #[serde(borrow, default, rename = "rank")]
    role: Cow<'a, str>,
    #[serde(rename = "share")]
    capacity: Option<f64>,
    #[serde(default, rename = "born_ms")]
    started_ms: u64,
}

/// Reads an endpoint list from a parsed JSON value; see [`parse_endpoint_list`].
///
/// # Errors
/// If a key is missing or has an invalid value.
pub fn endpoint_list_from_json(value: &Value, zones: &[String]) -> Result<EndpointList, EndpointListError> {
    let hosts = value["hosts"].as_array().ok_or(EndpointListError::Missing("hosts"))?;
    let version = value["seq"].as_u64().ok_or(EndpointListError::Missing("seq"))?;
    let complete = value["whole"].as_bool().ok_or(EndpointListError::Missing("whole"))?;
    let entries = hosts
        .iter()
        .enumerate()
        .map(|(index, host)| {
            entry_from_json(host, zones).map_err(|source| EndpointListError::Entry { index, source })
        })
        .collect::<Result<_, _>>()?;
    Ok(EndpointList { version, complete, entries })
}

/// Returns the version of a complete list without parsing its entries. Returns `None` for an update, or if
/// the text is not an endpoint list.
pub fn version_of_complete_list(text: &[u8]) -> Option<u64> {
    let ListHeader { version, complete } = serde_json::from_slice(text).ok()?;
    complete.then_some(version)
}

/// The keys of a list other than its entries.
#[derive(Deserialize)]
struct ListHeader {
    #[serde(rename = "seq")]
    version: u64,
    #[serde(rename = "whole")]
    complete: bool,
}

fn entry_from_json(value: &Value, zones: &[String]) -> Result<EndpointEntry, EndpointEntryError> {
    let optional_text = |key: &str| Cow::from(value[key].as_str().unwrap_or_default());
    let raw = RawEntry {
        name: text_of(value, "host")?.into(),
        address: text_of(value, "dial")?.into(),
        lifecycle: text_of(value, "health")?.into(),
        // A missing key becomes an out-of-range value, which `endpoint_entry` reports as missing or invalid.
        shard: value["block"].as_u64().unwrap_or(u64::MAX),
        zone: optional_text("site"),
        role: optional_text("rank"),
        capacity: value["share"].as_f64(),
        started_ms: value["born_ms"].as_u64().unwrap_or_default(),
    };
    endpoint_entry(raw, zones)
}

fn endpoint_entry(raw: RawEntry<'_>, zones: &[String]) -> Result<EndpointEntry, EndpointEntryError> {
    let lifecycle = parse_lifecycle(&raw.lifecycle)?;
    let address =
        raw.address.parse().map_err(|_| EndpointEntryError::InvalidAddress(raw.address.to_string()))?;
    let shard_id = u16::try_from(raw.shard).map_err(|_| EndpointEntryError::Missing("block"))?;
    Ok(EndpointEntry {
        address,
        endpoint: Endpoint {
            host: host_id(&raw.name),
            zone: zone_index(&raw.zone, zones),
            shard_id,
            lifecycle,
            is_primary: raw.role == PRIMARY_ROLE,
            capacity: raw.capacity.unwrap_or(DEFAULT_CAPACITY),
            started: Some(raw.started_ms).filter(|ms| *ms > 0).map(Timestamp::from_millis),
        },
        name: raw.name.into_owned(),
    })
}

fn text_of<'a>(value: &'a Value, key: &'static str) -> Result<&'a str, EndpointEntryError> {
    value[key].as_str().ok_or(EndpointEntryError::Missing(key))
}

fn parse_lifecycle(health: &str) -> Result<Lifecycle, EndpointEntryError> {
    match health {
        "ready" => Ok(Lifecycle::Ready),
        "draining" => Ok(Lifecycle::Draining),
        "gone" => Ok(Lifecycle::Removed),
        other => Err(EndpointEntryError::UnknownHealth(other.into())),
    }
}

/// Returns the index of a zone in the configuration. All zones that are not configured share the next index
/// after the last configured one.
fn zone_index(name: &str, zones: &[String]) -> u8 {
    let index = zones.iter().position(|zone| zone == name).unwrap_or(zones.len());
    u8::try_from(index).unwrap_or(u8::MAX)
}
