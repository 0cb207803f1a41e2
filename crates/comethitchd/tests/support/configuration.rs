//! Configurations, endpoints and statement rules for the router under test.

use super::Discovery;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};

/// The sample configuration in `deploy/`.
pub(crate) const SAMPLE_CONFIGURATION: &str = include_str!("../../../../deploy/configuration.json");

/// Descriptor limit that a test does not reach unintentionally.
const DEFAULT_DESCRIPTOR_LIMIT: usize = 1024;

/// Discovery address of tests without a discovery service: nothing listens on this port.
const UNREACHABLE_DISCOVERY: &str = "127.0.0.1:1";

/// Returns a loopback address that refuses connections: its port has been bound and closed again.
pub(crate) fn unreachable_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .expect("a loopback port is free")
        .local_addr()
        .expect("a bound listener has an address")
}

/// Returns an entry of the endpoint list.
pub(crate) fn endpoint(name: &str, address: SocketAddr, is_primary: bool, health: &str) -> Value {
    json!({"host": name, "dial": address.to_string(), "site": "north", "class": "m", "block": 0,
        "health": health, "share": 1.0, "rank": if is_primary { "source" } else { "copy" }, "born_ms": 0})
}

/// Returns the endpoint list entry of a primary that is ready for requests.
pub(crate) fn ready_primary(name: &str, address: SocketAddr) -> Value {
    endpoint(name, address, true, "ready")
}

/// Returns the endpoint list entry of a replica that is ready for requests.
pub(crate) fn ready_replica(name: &str, address: SocketAddr) -> Value {
    endpoint(name, address, false, "ready")
}

/// Returns a configuration whose initial endpoint list has version 7 and these hosts, without a discovery
/// service.
pub(crate) fn configuration(hosts: &[Value]) -> Value {
    configuration_with_sockets(hosts, DEFAULT_DESCRIPTOR_LIMIT)
}

/// Returns a configuration with one primary.
pub(crate) fn single_primary_configuration(address: SocketAddr) -> Value {
    configuration(&[ready_primary("p", address)])
}

/// Returns a configuration that follows a discovery service.
pub(crate) fn configuration_with_discovery(hosts: &[Value], discovery: &Discovery) -> Value {
    let mut config = configuration(hosts);
    config["discovery"] = discovery.address.to_string().into();
    config
}

/// Returns a configuration like [`configuration`], with a limit on open descriptors.
pub(crate) fn configuration_with_sockets(hosts: &[Value], sockets: usize) -> Value {
    let mut config: Value = serde_json::from_str(SAMPLE_CONFIGURATION).expect("the sample is JSON");
    config["known"] = json!({"seq": 7, "whole": true, "hosts": hosts});
    config["limits"]["sockets"] = sockets.into();
    config["listen"] = "127.0.0.1:0".into();
    config["discovery"] = UNREACHABLE_DISCOVERY.into();
    config
}

/// Sets the timeout of all request classes, and their latency objective to the same time.
pub(crate) fn set_class_timeouts(config: &mut Value, timeout_ms: u64) {
    for class in config["settings"]["classes"].as_array_mut().expect("settings.classes is an array") {
        for key in ["target_us", "deadline_us"] {
            class[key] = (timeout_ms * 1_000).into();
        }
    }
}

/// Returns statement rules that reject a statement whose comment claims a weaker effect than the statement
/// has, and that apply this timeout to statements without a comment.
pub(crate) fn statement_rules(dialect: &str, timeout_ms: u32) -> Value {
    json!({
        "dialect": dialect,
        "disagreement": "refuse",
        "commentless": {"wait_ms": timeout_ms},
        "groups": [
            {"group": "read", "effects": ["read"]},
            {"group": "write", "effects": ["locking_read", "session", "write", "unknown"]}
        ],
        "elsewhere": 0
    })
}
