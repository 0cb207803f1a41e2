//! The errors of reading a configuration or the rules for statements.

use crate::wire::discovery::EndpointListError;
use comethitch_policy::DeploymentError;
use comethitch_statement::RulesError;
use std::io;
use std::path::PathBuf;

/// The kind or range of values that a key of the configuration accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExpectedValue {
    /// An IP address with a port.
    #[error("an IP address with a port")]
    SocketAddress,
    /// A seed of 64 bits in hexadecimal digits.
    #[error("up to 16 hexadecimal digits")]
    Seed,
    /// A JSON string.
    #[error("a string")]
    String,
    /// A JSON array.
    #[error("an array")]
    Array,
    /// An integer of at least this minimum.
    #[error("a whole number of {0} or more")]
    IntegerOfAtLeast(u64),
    /// A positive integer.
    #[error("1 or more")]
    Positive,
    /// A number from 0 to 1.
    #[error("a number from 0 to 1")]
    Fraction,
}

/// What is wrong with a configuration or with the rules for statements.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the command line nor the environment names a configuration file.
    #[error("no configuration file: pass --configuration or set the environment variable RELAY_CONFIG")]
    NoFile,
    /// A file can't be read.
    #[error("{} can't be read: {source}", path.display())]
    UnreadableFile {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
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
    #[error("not valid JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A key is missing.
    #[error("{key} is missing")]
    Missing {
        /// The path of the key.
        key: String,
    },
    /// A key is missing, and so is the environment variable that may replace it.
    #[error("{key} is missing, and the environment variable {variable} is not set")]
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
        /// The value that was found, as it is written in the file.
        found: String,
    },
    /// A key has a value of the wrong kind or range, which the message does not repeat.
    #[error("{key} must be {expected}")]
    Required {
        /// The path of the key.
        key: String,
        /// What is accepted.
        expected: ExpectedValue,
    },
    /// The list of request classes is empty.
    #[error("settings.classes must name at least one request class")]
    NoRequestClasses,
    /// The policy does not accept its settings; its error begins with the key.
    #[error("settings.{0}")]
    Settings(#[source] DeploymentError),
    /// The initial endpoint list is not valid; its error begins with the key.
    #[error("known.{0}")]
    InitialEndpoints(#[source] EndpointListError),
    /// A key of the rules for statements is missing or unknown, or has a value that is not accepted.
    #[error("{key}: {source}")]
    RulesKey {
        /// The path of the key.
        key: String,
        /// Why the value is not accepted.
        source: serde_json::Error,
    },
    /// The text of the rules for statements continues after the end of the JSON value.
    #[error("unexpected text after the rules: {0}")]
    AfterRules(#[source] serde_json::Error),
    /// The rules for statements do not fit the request classes; the error begins with the key.
    #[error("{0}")]
    Rules(#[source] RulesError),
    /// The cache of statement shapes is too large for the memory limit.
    #[error("cache.kib must be at most a quarter of the memory limit, limits.memory_mb={memory_limit_mb}")]
    CacheTooLarge {
        /// The memory limit in MB.
        memory_limit_mb: u64,
    },
}

impl ConfigError {
    /// Returns the error for a required key that is missing.
    pub(super) fn missing(key: &str) -> ConfigError {
        ConfigError::Missing { key: key.to_string() }
    }

    /// Returns the error for a key whose value is not accepted; the message repeats the value.
    pub(super) fn unexpected(key: &str, expected: ExpectedValue, found: impl ToString) -> ConfigError {
        ConfigError::Unexpected { key: key.to_string(), expected, found: found.to_string() }
    }

    /// Returns the error for a key whose value is not accepted; the message does not repeat the value.
    pub(super) fn required(key: impl ToString, expected: ExpectedValue) -> ConfigError {
        ConfigError::Required { key: key.to_string(), expected }
    }
}
