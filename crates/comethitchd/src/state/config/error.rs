//! The errors of reading a configuration or the rules for statements.

use crate::wire::discovery::EndpointListError;
use comethitch_policy::DeploymentError;
use comethitch_statement::RulesError;
use std::io;
use std::path::PathBuf;

/// What a key of the configuration accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExpectedValue {
    /// An IP address with a port.
    #[error("an address with a port")]
    SocketAddress,
    /// A seed.
    #[error("up to 16 hexadecimal digits")]
    Seed,
    /// A JSON string.
    #[error("a text")]
    Text,
    /// A JSON array.
    #[error("a list")]
    List,
    /// An integer of at least this minimum.
    #[error("a whole number of {0} or more")]
    IntegerOfAtLeast(u64),
    /// A positive integer.
    #[error("1 or more")]
    Positive,
    /// A number from 0 to 1.
    #[error("0 to 1")]
    Fraction,
}

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
        /// The error of the system.
        source: io::Error,
    },
    /// The contents of a file are not valid.
    #[error("{}: {source}", path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// What is wrong with its contents.
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
        key: &'static str,
        /// The name of the variable.
        variable: &'static str,
    },
    /// A key has a value that is not accepted.
    #[error("{key} must be {expected}, not {found}")]
    Unexpected {
        /// The path of the key.
        key: String,
        /// What is accepted.
        expected: ExpectedValue,
        /// The value as it stands in the file.
        found: String,
    },
    /// A key has a value of the wrong kind or range.
    #[error("{key} must be {expected}")]
    Required {
        /// The path of the key.
        key: String,
        /// What is accepted.
        expected: ExpectedValue,
    },
    /// The list of request classes is empty.
    #[error("settings.classes must name one command group or more")]
    NoRequestClasses,
    /// The policy does not accept its settings; its error begins with the key.
    #[error("settings.{0}")]
    Settings(#[source] DeploymentError),
    /// The initial endpoint list is not valid; its error begins with the key.
    #[error("known.{0}")]
    InitialEndpoints(#[source] EndpointListError),
    /// A key of the rules for statements has a value that is not accepted.
    #[error("{key}: {source}")]
    RulesKey {
        /// The path of the key.
        key: String,
        /// Why the value is not accepted.
        source: serde_json::Error,
    },
    /// The rules for statements are followed by something else.
    #[error("behind the rules: {0}")]
    AfterRules(#[source] serde_json::Error),
    /// The rules for statements do not fit the request classes; the error begins with the key.
    #[error("{0}")]
    Rules(#[source] RulesError),
    /// The cache of statement shapes is too large for the memory limit.
    #[error("cache.kib is more than a quarter of {memory_limit_mb} MB, the limit")]
    CacheTooLarge {
        /// The memory limit in MB.
        memory_limit_mb: u64,
    },
}

impl ConfigError {
    /// Returns the error of a required key that is missing.
    pub(super) fn missing(key: &str) -> ConfigError {
        ConfigError::Missing { key: key.to_string() }
    }

    /// Returns the error of a key with a value of the wrong kind.
    pub(super) fn unexpected(key: &str, expected: ExpectedValue, found: impl ToString) -> ConfigError {
        ConfigError::Unexpected { key: key.to_string(), expected, found: found.to_string() }
    }

    /// Returns the error of a key that must have a value of a certain kind.
    pub(super) fn required(key: impl ToString, expected: ExpectedValue) -> ConfigError {
        ConfigError::Required { key: key.to_string(), expected }
    }
}
