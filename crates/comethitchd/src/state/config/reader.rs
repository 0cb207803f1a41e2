//! Reads the parts of a configuration document, and checks the ranges of their values.

use super::error::{ConfigError, ExpectedValue};
use super::json::{JsonKeys, settings_lines};
use super::keys::{self, ReplaceableKey};
use crate::wire::discovery::{EndpointList, endpoint_list_from_json};
use comethitch_policy::Deployment;
use comethitch_policy::time::Duration;
use std::net::SocketAddr;

/// A configuration document, and the environment variables that may replace some of its keys.
pub(super) struct ConfigReader<'a, F> {
    /// The document.
    pub keys: JsonKeys<'a>,
    /// Returns the value of an environment variable.
    pub variable: F,
}

impl<F: Fn(&str) -> Option<String>> ConfigReader<'_, F> {
    /// Returns the string at a key, or the value of the environment variable if the key is missing.
    pub(super) fn string(&self, key: ReplaceableKey) -> Result<String, ConfigError> {
        if self.keys.get(key.path).is_some() {
            return self.keys.string(key.path);
        }
        let ReplaceableKey { path, variable } = key;
        (self.variable)(variable).ok_or(ConfigError::MissingWithVariable { key: path, variable })
    }

    /// Returns the address at a key, or in the environment variable if the key is missing.
    pub(super) fn address(&self, key: ReplaceableKey) -> Result<SocketAddr, ConfigError> {
        let text = self.string(key)?;
        let unexpected =
            |_| ConfigError::unexpected(key.path, ExpectedValue::SocketAddress, format!("{text:?}"));
        text.parse().map_err(unexpected)
    }

    /// Returns the settings of the policy, and checks their ranges.
    pub(super) fn deployment(&self) -> Result<Deployment, ConfigError> {
        let settings = self.keys.required(keys::SETTINGS)?;
        let deployment = Deployment::parse(&settings_lines(settings)).map_err(ConfigError::Settings)?;
        check_durations(&deployment)?;
        check_limits(&deployment)?;
        Ok(deployment)
    }

    /// Returns the initial endpoint list, or a complete list without hosts if the key is missing.
    pub(super) fn initial_endpoints(&self, zone_names: &[String]) -> Result<EndpointList, ConfigError> {
        match self.keys.get(keys::INITIAL_ENDPOINTS) {
            Some(list) => endpoint_list_from_json(list, zone_names).map_err(ConfigError::InitialEndpoints),
            None => Ok(EndpointList { complete: true, ..EndpointList::default() }),
        }
    }

    /// Returns the names of the request classes, of which there must be at least one.
    pub(super) fn class_names(&self) -> Result<Vec<String>, ConfigError> {
        let names = self.keys.strings_under(keys::REQUEST_CLASSES, keys::REQUEST_CLASS_NAME)?;
        if names.is_empty() {
            return Err(ConfigError::NoRequestClasses);
        }
        Ok(names)
    }
}

/// Parses a seed in hexadecimal digits.
pub(super) fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16)
        .map_err(|_| ConfigError::unexpected(keys::SEED, ExpectedValue::Seed, format!("{text:?}")))
}

fn check_durations(deployment: &Deployment) -> Result<(), ConfigError> {
    check_not_zero(keys::TICK_INTERVAL, deployment.tick)?;
    check_not_zero(keys::CONNECT_TIMEOUT, deployment.connect_timeout)?;
    check_not_zero(keys::SLOW_START_WINDOW, deployment.slow_start.window)?;
    for (i, class) in deployment.classes.iter().enumerate() {
        let key_of = |key: &str| format!("{}.{i}.{key}", keys::REQUEST_CLASSES);
        check_not_zero(&key_of(keys::LATENCY_OBJECTIVE), class.latency_objective)?;
        check_not_zero(&key_of(keys::REQUEST_TIMEOUT), class.timeout)?;
    }
    Ok(())
}

fn check_not_zero(key: &str, duration: Duration) -> Result<(), ConfigError> {
    if duration == Duration::ZERO {
        return Err(ConfigError::required(key, ExpectedValue::Positive));
    }
    Ok(())
}

fn check_limits(deployment: &Deployment) -> Result<(), ConfigError> {
    let initial_capacity = deployment.slow_start.initial_capacity;
    if !(0.0..=1.0).contains(&initial_capacity) {
        return Err(ConfigError::unexpected(
            keys::INITIAL_CAPACITY,
            ExpectedValue::Fraction,
            initial_capacity,
        ));
    }
    if deployment.max_attempts == 0 {
        return Err(ConfigError::required(keys::MAX_ATTEMPTS, ExpectedValue::Positive));
    }
    Ok(())
}
