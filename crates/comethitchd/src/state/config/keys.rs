//! The keys of the configuration file, and the environment variables that may replace some of them.
//!
//! The constants are named by the terms of the code, which differ from some keys. Keys below `settings` that
//! are not listed here are used only by the policy.

/// A key that may be omitted if an environment variable is set.
#[derive(Clone, Copy)]
pub(super) struct ReplaceableKey {
    /// The path of the key.
    pub path: &'static str,
    /// The name of the environment variable.
    pub variable: &'static str,
}

/// Name of the router.
pub(super) const NAME: ReplaceableKey = ReplaceableKey { path: "name", variable: "RELAY_NAME" };
/// Address that clients connect to.
pub(super) const LISTEN: ReplaceableKey = ReplaceableKey { path: "listen", variable: "RELAY_LISTEN" };
/// Address of the discovery service.
pub(super) const DISCOVERY: ReplaceableKey =
    ReplaceableKey { path: "discovery", variable: "RELAY_DISCOVERY" };
/// Seed of the random draws, in hexadecimal digits.
pub(super) const SEED: &str = "seed";
/// Memory limit in MB.
pub(super) const MEMORY_LIMIT_MB: &str = "limits.memory_mb";
/// Maximum number of file descriptors.
pub(super) const MAX_DESCRIPTORS: &str = "limits.sockets";
/// Initial endpoint list.
pub(super) const INITIAL_ENDPOINTS: &str = "known";
/// Settings of the policy.
pub(super) const SETTINGS: &str = "settings";
/// Names of the zones.
pub(super) const ZONES: &str = "settings.dcs";
/// Request classes.
pub(super) const REQUEST_CLASSES: &str = "settings.classes";
/// Name of a request class, within its entry.
pub(super) const REQUEST_CLASS_NAME: &str = "name";
/// Latency objective of a request class in microseconds, within its entry.
pub(super) const LATENCY_OBJECTIVE: &str = "target_us";
/// Timeout of a request class in microseconds, within its entry.
pub(super) const REQUEST_TIMEOUT: &str = "deadline_us";
/// Interval of the policy's ticks in microseconds.
pub(super) const TICK_INTERVAL: &str = "settings.tick_us";
/// Timeout of a connection attempt in microseconds.
pub(super) const CONNECT_TIMEOUT: &str = "settings.permissions.connect_timeout_us";
/// Maximum number of attempts of a request.
pub(super) const MAX_ATTEMPTS: &str = "settings.permissions.max_attempts";
/// Time in microseconds after which a host closes an idle connection.
pub(super) const HOST_IDLE_TIMEOUT: &str = "settings.permissions.conn_idle_us";
/// Window in microseconds over which the overload of a host in slow start is measured.
pub(super) const SLOW_START_WINDOW: &str = "settings.rules.fall_us";
/// Fraction of its capacity with which a host begins slow start.
pub(super) const INITIAL_CAPACITY: &str = "settings.rules.cold_from";
