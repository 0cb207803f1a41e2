//! The error of reading a configuration or the rules for statements.

use crate::wire::discovery::EndpointListError;
use comethitch_policy::DeploymentError;
use comethitch_statement::RulesError;
use std::io;
use std::path::PathBuf;

/// What is wrong with a configuration or with the rules for statements.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No file is named.
    #[error("no configuration: give --configuration, or set RELAY_CONFIG")]
    NoFile,
    /// A file can't be read.
    #[error("{} can't be read: {source}", path.display())]
    UnreadableFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file has a fault.
    #[error("{}: {source}", path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// Its fault.
        source: Box<ConfigError>,
    },
    /// The text is not JSON.
    #[error("this is no JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A key is missing.
    #[error("{key} is missing")]
    Missing {
        /// The path of the key.
        key: String,
    },
    /// A key is missing, and so is the environment variable that may replace it.
    #[error("{key} is missing, and {variable} is not set")]
    MissingWithVariable {
        /// The path of the key.
        key: String,
        /// The name of the variable.
        variable: String,
    },
    /// A key has a value that is not accepted.
    #[error("{key} must be {expected}, not {found}")]
    Unexpected {
        /// The path of the key.
        key: String,
        /// What is accepted.
        expected: String,
        /// The value, as it stands in the file.
        found: String,
    },
    /// A key has a value of the wrong kind or range.
    #[error("{key} must be {expected}")]
    Required {
        /// The path of the key.
        key: String,
        /// What is accepted.
        expected: &'static str,
    },
    /// The list of request classes is empty.
    #[error("settings.classes must name one command group or more")]
    NoRequestClasses,
    /// The policy does not accept its settings; the error begins with the key.
    #[error("settings.{0}")]
    Settings(#[source] DeploymentError),
    /// The list of known hosts has a fault; the error begins with the key.
    #[error("known.{0}")]
    KnownHosts(#[source] EndpointListError),
    /// A key of the rules for statements has a value that can't be read.
    #[error("{key}: {source}")]
    RulesKey {
        /// The path of the key.
        key: String,
        /// Why.
        source: serde_json::Error,
    },
    /// Something stands behind the rules for statements.
    #[error("behind the rules: {0}")]
    AfterRules(#[source] serde_json::Error),
    /// The rules for statements do not fit the request classes; the error begins with the key.
    #[error("{0}")]
    Rules(#[source] RulesError),
    /// The cache of statement shapes takes too much of the memory limit.
    #[error("cache.kib is more than a quarter of {memory_mb} MB, the limit")]
    CacheTooLarge {
        /// The memory limit in MB.
        memory_mb: u64,
    },
}

impl ConfigError {
    /// A missing key.
    pub(super) fn missing(key: &str) -> ConfigError {
        ConfigError::Missing { key: key.to_string() }
    }
}
