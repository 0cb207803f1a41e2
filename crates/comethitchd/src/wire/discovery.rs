//! Discovery's list of hosts, as JSON.

use crate::wire::statement::fnv1a;
use comethitch::time::Time;
use comethitch::{Host, Lifecycle, Shard};
use serde_json::Value;
use std::net::SocketAddr;

/// One object of the list: all of it, or what changed.
#[derive(Debug, Default)]
pub struct Listing {
    pub seq: u64,
    pub whole: bool,
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: String,
    pub host: Host,
    pub dial: SocketAddr,
    pub zone: u8,
    pub shard: Shard,
    pub lifecycle: Lifecycle,
    pub heads: bool,
    pub power: f64,
    pub started: Option<Time>,
}

/// The module's host for a name. The name is the same at every router, the address to dial need not be.
pub fn host(name: &str) -> Host {
    let hash = fnv1a(name.as_bytes());
    let [port @ .., a, b, c, d] = hash.to_be_bytes();
    let folded = u16::from_be_bytes([port[0], port[1]]) ^ u16::from_be_bytes([port[2], port[3]]);
    Host { address: [a, b, c, d], port: folded }
}

/// Reads one line of a watch; `zones` are the names of the zones in the order of the settings.
pub fn listing(text: &[u8], zones: &[String]) -> Result<Listing, String> {
    let value: Value = serde_json::from_slice(text).map_err(|e| format!("the list is no JSON: {e}"))?;
    listing_of(&value, zones)
}

pub fn listing_of(value: &Value, zones: &[String]) -> Result<Listing, String> {
    let hosts = value["hosts"].as_array().ok_or("hosts is missing")?;
    Ok(Listing {
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
    Ok(Entry {
        name: name.into(),
        host: host(name),
        dial: dial.parse().map_err(|_| format!("dial is no address: {dial:?}"))?,
        zone: u8::try_from(zone).unwrap_or(u8::MAX),
        shard: shard.ok_or("block is missing")?,
        lifecycle: match text("health")? {
            "ready" => Lifecycle::Ready,
            "draining" => Lifecycle::Draining,
            "gone" => Lifecycle::Gone,
            other => return Err(format!("health is unknown: {other:?}")),
        },
        heads: value["rank"].as_str() == Some("source"),
        power: value["share"].as_f64().unwrap_or(1.0),
        started: value["born_ms"].as_u64().filter(|ms| *ms > 0).map(|ms| Time(ms.saturating_mul(1_000))),
    })
}
