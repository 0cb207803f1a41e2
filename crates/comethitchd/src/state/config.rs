//! The configuration of a router: read, checked and completed with defaults here and nowhere else. The rules for
//! statements, which stand in a file of their own, are added to it.

mod error;
mod json;

pub use error::ConfigError;

use crate::wire::discovery::{EndpointList, endpoint_list_from_json};
use comethitch_policy::Deployment;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_statement::{Rules, Secret, StatementAdmission};
use json::JsonKeys;
use serde_json::Value;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::path::Path;

/// The fewest descriptors that a router can work with, and how many it may use by default.
const MIN_SOCKETS: u64 = 64;
const DEFAULT_SOCKETS: u64 = 1024;
/// The least memory that a router can work with, and how much it may use by default.
const MIN_MEMORY_MB: u64 = 32;
const DEFAULT_MEMORY_MB: u64 = 192;
/// After this long a host closes an idle connection, by default.
const DEFAULT_HOST_IDLE_US: u64 = 30_000_000;
/// The cache of statement shapes may take one part in so many of the memory limit.
const CACHE_MEMORY_DIVISOR: u64 = 4;

/// Where a router runs, within which limits, and which hosts it knows as it starts.
#[derive(Debug)]
pub struct Config {
    /// The router's name, for the log and for hosts.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The seed of the policy's random draws.
    pub seed: u64,
    /// The memory limit in MB.
    pub memory_mb: u64,
    /// The limit of file descriptors.
    pub sockets: usize,
    /// The endpoint list to start with.
    pub known: EndpointList,
    /// The policy's settings.
    pub deployment: Deployment,
    /// The names of the request classes, in the policy's order.
    pub classes: Vec<String>,
    /// The names of the zones, in the policy's order.
    pub zones: Vec<String>,
    /// After this long a host closes an idle connection.
    pub host_idle: Duration,
    /// The rules by which statements are classified by their text; none, and comments alone count.
    pub statements: Option<Rules>,
}

impl Config {
    /// Reads a file; an environment `variable` may replace a name or an address that the file lacks.
    ///
    /// # Errors
    ///
    /// If the file can't be read, or a key is missing or has a value that is not accepted.
    pub fn load(path: &Path, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        in_file(path, |text| Config::read(text, variable))
    }

    /// The same, with the file's text.
    ///
    /// # Errors
    ///
    /// If a key is missing or has a value that is not accepted.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let document: Value = serde_json::from_str(text).map_err(ConfigError::NotJson)?;
        let reader = ConfigReader { keys: JsonKeys(&document), variable };
        let keys = &reader.keys;
        let deployment = reader.deployment()?;
        let seed = keys.text("seed")?;
        let zones = keys.names("settings.dcs")?;
        let known = reader.known_hosts(&zones)?;
        let classes = reader.request_classes()?;
        Ok(Config {
            name: reader.text("name", "RELAY_NAME")?,
            listen: reader.address("listen", "RELAY_LISTEN")?,
            discovery: reader.address("discovery", "RELAY_DISCOVERY")?,
            seed: parse_seed(&seed)?,
            memory_mb: keys.number_or("limits.memory_mb", MIN_MEMORY_MB, DEFAULT_MEMORY_MB)?,
            sockets: keys.number_or("limits.sockets", MIN_SOCKETS, DEFAULT_SOCKETS)? as usize,
            known,
            deployment,
            classes,
            zones,
            host_idle: Duration::from_micros(keys.number_or(
                "settings.permissions.conn_idle_us",
                1,
                DEFAULT_HOST_IDLE_US,
            )?),
            statements: None,
        })
    }

    /// Returns the longest timeout of any request class.
    pub fn longest_timeout(&self) -> Duration {
        self.deployment.classes.iter().map(|class| class.timeout).max().unwrap_or_default()
    }

    /// The keys that differ in another configuration and can't be changed in a running router.
    pub fn fixed_keys_changed(&self, other: &Config) -> Vec<&'static str> {
        let changed = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("limits.memory_mb", self.memory_mb != other.memory_mb),
            ("limits.sockets", self.sockets != other.sockets),
            (
                "settings.classes",
                self.classes != other.classes || self.deployment.classes != other.deployment.classes,
            ),
            ("settings.dcs", self.zones != other.zones),
            ("settings", self.deployment != other.deployment || self.host_idle != other.host_idle),
        ];
        changed.into_iter().filter(|(_, changed)| *changed).map(|(key, _)| key).collect()
    }

    /// Adds the rules for statements from a file, checked against the request classes and the memory limit.
    ///
    /// # Errors
    ///
    /// If the file can't be read, or the rules have a fault.
    pub fn with_statement_rules_file(self, path: &Path) -> Result<Config, ConfigError> {
        in_file(path, |text| self.with_statement_rules(text))
    }

    /// The same, with the file's text.
    ///
    /// # Errors
    ///
    /// If the rules have a fault.
    pub fn with_statement_rules(mut self, text: &str) -> Result<Config, ConfigError> {
        let rules = read_rules(text)?;
        self.admission_by(rules.clone(), Timestamp::ZERO)?;
        let memory_kib = self.memory_mb << 10;
        if rules.cache.kib as u64 > memory_kib / CACHE_MEMORY_DIVISOR {
            return Err(ConfigError::CacheTooLarge { memory_mb: self.memory_mb });
        }
        self.statements = Some(rules);
        Ok(self)
    }

    /// The admission of statements by their text, if there are rules for it.
    ///
    /// # Errors
    ///
    /// If the rules do not fit the request classes.
    pub fn admission(&self, now: Timestamp) -> Result<Option<StatementAdmission>, ConfigError> {
        self.statements.clone().map(|rules| self.admission_by(rules, now)).transpose()
    }

    /// The same by other rules, for the request classes of this configuration.
    ///
    /// # Errors
    ///
    /// If the rules do not fit the request classes.
    pub fn admission_by(&self, rules: Rules, now: Timestamp) -> Result<StatementAdmission, ConfigError> {
        StatementAdmission::new(rules, &self.deployment.classes, &self.classes, random_secret(), now)
            .map_err(ConfigError::Rules)
    }
}

/// Reads a file's text with `read`; an error names the file.
///
/// # Errors
///
/// If the file can't be read, or `read` fails.
pub fn in_file<T>(path: &Path, read: impl FnOnce(&str) -> Result<T, ConfigError>) -> Result<T, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::UnreadableFile { path: path.to_path_buf(), source })?;
    read(&text).map_err(|source| ConfigError::InFile { path: path.to_path_buf(), source: Box::new(source) })
}

/// Reads the rules for statements.
///
/// # Errors
///
/// If they can't be read; the error names the key.
pub fn read_rules(text: &str) -> Result<Rules, ConfigError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let rules = serde_path_to_error::deserialize(&mut reader).map_err(|error| ConfigError::RulesKey {
        key: error.path().to_string(),
        source: error.into_inner(),
    })?;
    reader.end().map_err(ConfigError::AfterRules)?;
    Ok(rules)
}

/// A secret from the operating system's random numbers, drawn anew at each call.
pub fn random_secret() -> Secret {
    let draw = || RandomState::new().build_hasher().finish().to_le_bytes();
    let mut secret = [0; 16];
    let (first, second) = secret.split_at_mut(8);
    first.copy_from_slice(&draw());
    second.copy_from_slice(&draw());
    Secret(secret)
}

/// A configuration's document, and the environment variables that may replace some of its keys.
struct ConfigReader<'a, F> {
    keys: JsonKeys<'a>,
    variable: F,
}

impl<F: Fn(&str) -> Option<String>> ConfigReader<'_, F> {
    fn text(&self, key: &str, variable: &str) -> Result<String, ConfigError> {
        if self.keys.get(key).is_some() {
            return self.keys.text(key);
        }
        (self.variable)(variable).ok_or_else(|| ConfigError::MissingWithVariable {
            key: key.to_string(),
            variable: variable.to_string(),
        })
    }

    fn address(&self, key: &str, variable: &str) -> Result<SocketAddr, ConfigError> {
        let text = self.text(key, variable)?;
        text.parse().map_err(|_| ConfigError::Unexpected {
            key: key.to_string(),
            expected: "an address with a port".to_string(),
            found: format!("{text:?}"),
        })
    }

    fn deployment(&self) -> Result<Deployment, ConfigError> {
        let settings = self.keys.required("settings")?;
        let deployment = Deployment::read(&json::settings_lines(settings)).map_err(ConfigError::Settings)?;
        check_ranges(&deployment)?;
        Ok(deployment)
    }

    fn known_hosts(&self, zones: &[String]) -> Result<EndpointList, ConfigError> {
        match self.keys.get("known") {
            Some(known) => endpoint_list_from_json(known, zones).map_err(ConfigError::KnownHosts),
            None => Ok(EndpointList { complete: true, ..EndpointList::default() }),
        }
    }

    fn request_classes(&self) -> Result<Vec<String>, ConfigError> {
        let classes = self.keys.names_under("settings.classes", "name")?;
        if classes.is_empty() {
            return Err(ConfigError::NoRequestClasses);
        }
        Ok(classes)
    }
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::Unexpected {
        key: "seed".to_string(),
        expected: "up to 16 hexadecimal digits".to_string(),
        found: format!("{text:?}"),
    })
}

/// Checks the ranges of the policy's settings.
fn check_ranges(deployment: &Deployment) -> Result<(), ConfigError> {
    let mut durations = vec![
        ("tick_us".to_string(), deployment.tick),
        ("permissions.connect_timeout_us".into(), deployment.connect_timeout),
        ("rules.fall_us".into(), deployment.slow_start.window),
    ];
    for (i, class) in deployment.classes.iter().enumerate() {
        durations.push((format!("classes.{i}.target_us"), class.latency_objective));
        durations.push((format!("classes.{i}.deadline_us"), class.timeout));
    }
    if let Some((key, _)) = durations.iter().find(|(_, duration)| *duration == Duration::ZERO) {
        return Err(ConfigError::Required { key: format!("settings.{key}"), expected: "1 or more" });
    }
    let initial_capacity = deployment.slow_start.initial_capacity;
    if !(0.0..=1.0).contains(&initial_capacity) {
        return Err(ConfigError::Unexpected {
            key: "settings.rules.cold_from".to_string(),
            expected: "0 to 1".to_string(),
            found: initial_capacity.to_string(),
        });
    }
    if deployment.max_attempts == 0 {
        let key = "settings.permissions.max_attempts".to_string();
        return Err(ConfigError::Required { key, expected: "1 or more" });
    }
    Ok(())
}
