//! The configuration of a router. Files are read and checked and defaults are applied only here.
//!
//! The rules for statements are read from a separate file and added to the configuration.

mod error;
mod json;
mod keys;
mod reader;
mod statement_rules_file;

pub use error::{ConfigError, ExpectedValue};
pub use statement_rules_file::{random_secret, read_rules};

use crate::wire::discovery::EndpointList;
use comethitch_policy::Deployment;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_statement::{Rules, StatementAdmission};
use json::JsonKeys;
use reader::{ConfigReader, parse_seed};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// Minimum number of file descriptors that a router can work with.
const MIN_DESCRIPTORS: u64 = 64;
const DEFAULT_MAX_DESCRIPTORS: u64 = 1024;
/// Minimum memory that a router can work with.
const MIN_MEMORY_MB: u64 = 32;
const DEFAULT_MEMORY_LIMIT_MB: u64 = 192;
const MIN_HOST_IDLE_TIMEOUT_US: u64 = 1;
const DEFAULT_HOST_IDLE_TIMEOUT_US: u64 = 30_000_000;
/// Divisor of the memory limit: the cache of statement shapes may use at most a quarter of it.
const CACHE_MEMORY_DIVISOR: u64 = 4;

/// The configuration of a router.
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
    pub memory_limit_mb: u64,
    /// The maximum number of file descriptors.
    pub max_descriptors: usize,
    /// The endpoint list to start with.
    pub initial_endpoints: EndpointList,
    /// The policy's settings.
    pub deployment: Deployment,
    /// The names of the request classes, in the policy's order.
    pub class_names: Vec<String>,
    /// The names of the zones, in the policy's order.
    pub zone_names: Vec<String>,
    /// The time after which a host closes an idle connection.
    pub host_idle_timeout: Duration,
    /// The rules for classifying statements by their text, or `None` if only their comments are used.
    pub statements: Option<Rules>,
}

impl Config {
    /// Reads a file. A name or an address that is missing from the file is taken from an environment
    /// variable, whose value `variable` returns.
    ///
    /// # Errors
    ///
    /// If the file can't be read or is not JSON, or a key is missing or has a value that is not accepted.
    pub fn load(path: &Path, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        parse_file(path, |text| Config::read(text, variable))
    }

    /// Reads the text of a file, see [`Config::load`].
    ///
    /// # Errors
    ///
    /// If the text is not JSON, or a key is missing or has a value that is not accepted.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let document: Value = serde_json::from_str(text).map_err(ConfigError::NotJson)?;
        let reader = ConfigReader { keys: JsonKeys(&document), variable };
        let keys = &reader.keys;
        let deployment = reader.deployment()?;
        let seed = keys.string(keys::SEED)?;
        let zone_names = keys.strings(keys::ZONES)?;
        let initial_endpoints = reader.initial_endpoints(&zone_names)?;
        let class_names = reader.class_names()?;
        Ok(Config {
            name: reader.string(keys::NAME)?,
            listen: reader.address(keys::LISTEN)?,
            discovery: reader.address(keys::DISCOVERY)?,
            seed: parse_seed(&seed)?,
            memory_limit_mb: keys.integer_or(
                keys::MEMORY_LIMIT_MB,
                MIN_MEMORY_MB,
                DEFAULT_MEMORY_LIMIT_MB,
            )?,
            max_descriptors: keys.integer_or(
                keys::MAX_DESCRIPTORS,
                MIN_DESCRIPTORS,
                DEFAULT_MAX_DESCRIPTORS,
            )? as usize,
            initial_endpoints,
            deployment,
            class_names,
            zone_names,
            host_idle_timeout: Duration::from_micros(keys.integer_or(
                keys::HOST_IDLE_TIMEOUT,
                MIN_HOST_IDLE_TIMEOUT_US,
                DEFAULT_HOST_IDLE_TIMEOUT_US,
            )?),
            statements: None,
        })
    }

    /// Returns the longest timeout of any request class.
    pub fn longest_timeout(&self) -> Duration {
        self.deployment.classes.iter().map(|class| class.timeout).max().unwrap_or_default()
    }

    /// Returns the keys whose values differ in `other` and take effect only after a restart of the router.
    pub fn fixed_keys_changed(&self, other: &Config) -> Vec<&'static str> {
        let classes_changed =
            self.class_names != other.class_names || self.deployment.classes != other.deployment.classes;
        let settings_changed =
            self.deployment != other.deployment || self.host_idle_timeout != other.host_idle_timeout;
        let changes = [
            (keys::NAME.path, self.name != other.name),
            (keys::LISTEN.path, self.listen != other.listen),
            (keys::MEMORY_LIMIT_MB, self.memory_limit_mb != other.memory_limit_mb),
            (keys::MAX_DESCRIPTORS, self.max_descriptors != other.max_descriptors),
            (keys::REQUEST_CLASSES, classes_changed),
            (keys::ZONES, self.zone_names != other.zone_names),
            (keys::SETTINGS, settings_changed),
        ];
        changes.into_iter().filter(|(_, changed)| *changed).map(|(key, _)| key).collect()
    }

    /// Adds the rules for statements from a file, after checking them against the request classes and the
    /// memory limit.
    ///
    /// # Errors
    ///
    /// If the file can't be read, or the rules are not valid.
    pub fn with_statement_rules_file(self, path: &Path) -> Result<Config, ConfigError> {
        parse_file(path, |text| self.with_statement_rules(text))
    }

    /// Adds the rules for statements from the text of a file, see [`Config::with_statement_rules_file`].
    ///
    /// # Errors
    ///
    /// If the rules are not valid.
    pub fn with_statement_rules(mut self, text: &str) -> Result<Config, ConfigError> {
        let rules = read_rules(text)?;
        self.admission_with_rules(rules.clone(), Timestamp::ZERO)?;
        let memory_limit_kib = self.memory_limit_mb << 10;
        if rules.cache.kib as u64 > memory_limit_kib / CACHE_MEMORY_DIVISOR {
            return Err(ConfigError::CacheTooLarge { memory_limit_mb: self.memory_limit_mb });
        }
        self.statements = Some(rules);
        Ok(self)
    }

    /// Creates the admission of statements by their text, or `None` if there are no rules for statements.
    ///
    /// # Errors
    ///
    /// If the rules do not fit the request classes.
    pub fn admission(&self, now: Timestamp) -> Result<Option<StatementAdmission>, ConfigError> {
        self.statements.clone().map(|rules| self.admission_with_rules(rules, now)).transpose()
    }

    /// Creates the admission of statements by the given rules, for the request classes of this configuration.
    ///
    /// # Errors
    ///
    /// If the rules do not fit the request classes.
    pub fn admission_with_rules(
        &self, rules: Rules, now: Timestamp,
    ) -> Result<StatementAdmission, ConfigError> {
        StatementAdmission::new(rules, &self.deployment.classes, &self.class_names, random_secret(), now)
            .map_err(ConfigError::Rules)
    }
}

/// Passes the text of a file to `read`. Errors name the file.
///
/// # Errors
///
/// If the file can't be read, or `read` fails.
pub fn parse_file<T>(
    path: &Path, read: impl FnOnce(&str) -> Result<T, ConfigError>,
) -> Result<T, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::UnreadableFile { path: path.to_path_buf(), source })?;
    read(&text).map_err(|source| ConfigError::InFile { path: path.to_path_buf(), source: Box::new(source) })
}
