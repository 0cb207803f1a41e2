//! Discovery's endpoint list: parses its JSON into endpoints as the policy knows them.
//!
//! Splitting a watch's stream into single objects is [`super::json_stream`]'s job.

use crate::wire::statement::fnv1a;
use comethitch_policy::time::Timestamp;
use comethitch_policy::{Endpoint, Host, Lifecycle};
use serde_json::Value;
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
    let value: Value = serde_json::from_slice(text)?;
    endpoint_list_from_json(&value, zones)
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
#[derive(serde::Deserialize)]
struct ListHead {
    seq: u64,
    whole: bool,
}

fn entry_from_json(value: &Value, zones: &[String]) -> Result<EndpointEntry, EndpointEntryError> {
    let name = text_of(value, "host")?;
    let dial = text_of(value, "dial")?;
    let lifecycle = lifecycle_from(text_of(value, "health")?)?;
    let dial = dial.parse().map_err(|_| EndpointEntryError::InvalidAddress(dial.into()))?;
    let shard = value["block"].as_u64().and_then(|block| u16::try_from(block).ok());
    let started = value["born_ms"].as_u64().filter(|ms| *ms > 0);
    Ok(EndpointEntry {
        name: name.into(),
        dial,
        endpoint: Endpoint {
            host: host_id(name),
            zone: zone_index(value["site"].as_str().unwrap_or_default(), zones),
            shard: shard.ok_or(EndpointEntryError::Missing("block"))?,
            lifecycle,
            is_primary: value["rank"].as_str() == Some("source"),
            capacity: value["share"].as_f64().unwrap_or(1.0),
            started: started.map(Timestamp::from_millis),
        },
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
