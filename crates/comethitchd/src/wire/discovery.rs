//! Discovery's endpoint list: parses its JSON into endpoints as the policy knows them.
//!
//! Splitting a watch's stream into single objects is [`super::json_stream`]'s job.

use crate::wire::statement::fnv1a;
use comethitch_policy::time::Timestamp;
use comethitch_policy::{Endpoint, Host, Lifecycle};
use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;
use std::net::SocketAddr;

/// One object of the list: all of it, or an update of some endpoints.
#[derive(Debug, Default)]
pub struct EndpointList {
    /// The version of the list.
    pub seq: u64,
    /// Whether it holds every endpoint. Otherwise it holds only those that changed.
    pub complete: bool,
    /// The endpoints, in the order of the text.
    pub entries: Vec<EndpointEntry>,
}

/// One endpoint of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The host's name, the same at every router.
    pub name: String,
    /// The address to connect to, which may differ between routers.
    pub dial: SocketAddr,
    /// What the policy knows of it.
    pub endpoint: Endpoint,
}

/// Why an endpoint list could not be read. The text names the key.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// The text is no valid JSON.
    #[error("the list is no JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// A key of the list itself is missing or of the wrong type.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// One of the hosts is wrong.
    #[error("hosts.{index}.{source}")]
    Entry {
        /// The position of the host in the list.
        index: usize,
        /// What is wrong with it.
        source: EndpointEntryError,
    },
}

/// Why one endpoint of a list could not be read.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointEntryError {
    /// The key is missing or of the wrong type.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// The address can't be parsed.
    #[error("dial is no address: {0:?}")]
    InvalidAddress(String),
    /// The lifecycle state is none that is known.
    #[error("health is unknown: {0:?}")]
    UnknownHealth(String),
}

/// The policy's identifier of the host with this name: the hash of the name, so that it is the same at every router.
pub fn host_id(name: &str) -> Host {
    let hash = fnv1a(name.as_bytes());
    let [port @ .., a, b, c, d] = hash.to_be_bytes();
    let folded = u16::from_be_bytes([port[0], port[1]]) ^ u16::from_be_bytes([port[2], port[3]]);
    Host { address: [a, b, c, d], port: folded }
}

/// Parses one object of the list. `zones` are the names of the zones, in the order of the configuration.
///
/// # Errors
/// If the text is no JSON, or a key is missing or wrong.
pub fn parse_endpoint_list(text: &[u8], zones: &[String]) -> Result<EndpointList, EndpointListError> {
    if let Ok(RawList { seq, whole, hosts }) = serde_json::from_slice(text)
        && let Ok(entries) = hosts.into_iter().map(|host| endpoint_entry(host, zones)).collect()
    {
        return Ok(EndpointList { seq, complete: whole, entries });
    }
    // Read again, more slowly, for keys of other types that may be ignored, and for an error that names the key.
    let value: Value = serde_json::from_slice(text)?;
    endpoint_list_from_json(&value, zones)
}

/// A list as it is usually sent. Its texts are borrowed: a list may have thousands of entries.
#[derive(Deserialize)]
struct RawList<'a> {
    seq: u64,
    whole: bool,
    #[serde(borrow)]
    hosts: Vec<RawEntry<'a>>,
}

/// The keys of an entry that are read.
#[derive(Deserialize)]
struct RawEntry<'a> {
    #[serde(borrow)]
    host: Cow<'a, str>,
    #[serde(borrow)]
    dial: Cow<'a, str>,
    #[serde(borrow)]
    health: Cow<'a, str>,
    block: u64,
    #[serde(borrow, default)]
    site: Cow<'a, str>,
    #[serde(borrow, default)]
    rank: Cow<'a, str>,
    share: Option<f64>,
    #[serde(default)]
    born_ms: u64,
}

/// Like [`parse_endpoint_list`], for JSON that is parsed already.
///
/// # Errors
/// If a key is missing or wrong.
pub fn endpoint_list_from_json(value: &Value, zones: &[String]) -> Result<EndpointList, EndpointListError> {
    let hosts = value["hosts"].as_array().ok_or(EndpointListError::Missing("hosts"))?;
    let seq = value["seq"].as_u64().ok_or(EndpointListError::Missing("seq"))?;
    let complete = value["whole"].as_bool().ok_or(EndpointListError::Missing("whole"))?;
    let entries = hosts
        .iter()
        .enumerate()
        .map(|(index, host)| {
            entry_from_json(host, zones).map_err(|source| EndpointListError::Entry { index, source })
        })
        .collect::<Result<_, _>>()?;
    Ok(EndpointList { seq, complete, entries })
}

/// The version of a complete list, without reading its entries; none if it is an update or no list at all.
pub fn version_of_complete_list(text: &[u8]) -> Option<u64> {
    let ListHead { seq, whole } = serde_json::from_slice(text).ok()?;
    whole.then_some(seq)
}

/// The keys of a list beside its entries.
#[derive(Deserialize)]
struct ListHead {
    seq: u64,
    whole: bool,
}

fn entry_from_json(value: &Value, zones: &[String]) -> Result<EndpointEntry, EndpointEntryError> {
    let optional_text = |key: &str| Cow::from(value[key].as_str().unwrap_or_default());
    let raw = RawEntry {
        host: text_of(value, "host")?.into(),
        dial: text_of(value, "dial")?.into(),
        health: text_of(value, "health")?.into(),
        // Missing or no number: no group has this one.
        block: value["block"].as_u64().unwrap_or(u64::MAX),
        site: optional_text("site"),
        rank: optional_text("rank"),
        share: value["share"].as_f64(),
        born_ms: value["born_ms"].as_u64().unwrap_or_default(),
    };
    endpoint_entry(raw, zones)
}

fn endpoint_entry(raw: RawEntry<'_>, zones: &[String]) -> Result<EndpointEntry, EndpointEntryError> {
    let lifecycle = lifecycle_from(&raw.health)?;
    let dial = raw.dial.parse().map_err(|_| EndpointEntryError::InvalidAddress(raw.dial.to_string()))?;
    let shard = u16::try_from(raw.block).map_err(|_| EndpointEntryError::Missing("block"))?;
    Ok(EndpointEntry {
        dial,
        endpoint: Endpoint {
            host: host_id(&raw.host),
            zone: zone_index(&raw.site, zones),
            shard_id: shard,
            lifecycle,
            is_primary: raw.rank == "source",
            capacity: raw.share.unwrap_or(1.0),
            started: Some(raw.born_ms).filter(|ms| *ms > 0).map(Timestamp::from_millis),
        },
        name: raw.host.into_owned(),
    })
}

fn text_of<'a>(value: &'a Value, key: &'static str) -> Result<&'a str, EndpointEntryError> {
    value[key].as_str().ok_or(EndpointEntryError::Missing(key))
}

fn lifecycle_from(health: &str) -> Result<Lifecycle, EndpointEntryError> {
    match health {
        "ready" => Ok(Lifecycle::Ready),
        "draining" => Ok(Lifecycle::Draining),
        "gone" => Ok(Lifecycle::Removed),
        other => Err(EndpointEntryError::UnknownHealth(other.into())),
    }
}

/// The index of a zone; one that is not configured gets the first index behind the others.
fn zone_index(name: &str, zones: &[String]) -> u8 {
    let index = zones.iter().position(|zone| zone == name).unwrap_or(zones.len());
    u8::try_from(index).unwrap_or(u8::MAX)
}
