//! The operator's settings file for TDS: how the router logs in to hosts and checks their health, and which
//! error numbers it sends to clients.
//!
//! The published schema, `deploy/tds.schema.json`, is generated from these types. Its descriptions are the
//! doc comments of the types and fields.

use comethitch_tds::packet::{MAX_PACKET_BYTES, MIN_PACKET_BYTES};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// The settings of an instance that speaks TDS with clients, on the configuration's `listen` address, and
/// with hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
// Keeps the title in the published schema.
#[schemars(rename = "Ways")]
pub struct TdsSettings {
    /// Additional addresses to listen on, such as `127.0.0.1:1434`.
    #[serde(default)]
    pub also_listen: Vec<String>,
    /// Maximum packet size in bytes that is negotiated with clients and hosts.
    #[serde(default = "default_packet_size")]
    pub packet_size: usize,
    /// How the router logs in to hosts.
    pub hosts: HostLogin,
    /// How the router checks the health of hosts.
    pub probe: HealthCheck,
    /// The error numbers that the router sends to clients.
    #[serde(default)]
    pub numbers: ErrorNumbers,
}

fn default_packet_size() -> usize {
    8000
}

/// How the router logs in to hosts. Clients are admitted whatever their name and password are.
#[derive(Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
// Keeps the name in the published schema and in error messages.
#[serde(deny_unknown_fields, rename = "LogIn")]
pub struct HostLogin {
    /// The user name of the login.
    pub user: String,
    /// Path of a file whose first line is the password. Without it, the password is empty.
    pub password_file: Option<String>,
    /// The database in which statements run.
    pub database: String,
    /// The password, read from `password_file` when the settings are loaded.
    #[serde(skip)]
    pub password: String,
}

/// Omits the password.
impl std::fmt::Debug for HostLogin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "HostLogin {{ user: {:?}, database: {:?} }}", self.user, self.database)
    }
}

/// The health check of a host: a query that returns the host's role and position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename = "Probe")]
pub struct HealthCheck {
    /// A query that returns one row: the host's role, then its position, which is the time in milliseconds of
    /// Unix time up to which the host has applied all commits.
    pub sql: String,
    /// The role that a primary returns, as text. A host that returns any other role is a replica.
    pub primary: String,
}

/// The numbers of the errors that the router sends to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default, rename = "Numbers")]
pub struct ErrorNumbers {
    /// The statement was throttled: it did not run, and may be retried. The default is a number that drivers
    /// retry on.
    pub throttled: i32,
    /// The statement failed, and may have run. Must be a number that no driver retries on.
    pub failed: i32,
    /// The statement was rejected before it became a request, or the client violated the protocol. Must be a
    /// number that no driver retries on.
    pub refused: i32,
}

impl Default for ErrorNumbers {
    fn default() -> ErrorNumbers {
        ErrorNumbers { throttled: 49_918, failed: 50_003, refused: 50_001 }
    }
}

/// The error numbers that common drivers retry on by default. The failure of a statement that may have run
/// must not be reported with any of them.
pub const RETRIED_BY_DRIVERS: [i32; 28] = [
    20, 64, 121, 233, 615, 926, 997, 1204, 1205, 1222, 4060, 4221, 10_053, 10_054, 10_060, 10_922, 10_928,
    10_929, 10_936, 40_143, 40_197, 40_501, 40_540, 40_613, 42_108, 49_918, 49_919, 49_920,
];

/// Reasons why a settings file is rejected. The texts name the key or the file.
#[derive(Debug, thiserror::Error)]
pub enum TdsSettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The content of the file is invalid.
    #[error("{path}: {source}")]
    InFile {
        /// Path of the file.
        path: String,
        /// The underlying error.
        source: Box<TdsSettingsError>,
    },
    /// A key is missing or unknown, or has a value of the wrong type.
    #[error("{key}: {source}")]
    InvalidJson {
        /// Path of the key.
        key: String,
        /// The underlying error.
        source: serde_json::Error,
    },
    /// Something follows the JSON object.
    #[error("unexpected text after the settings: {0}")]
    TrailingText(#[source] serde_json::Error),
    /// One of the additional addresses is invalid.
    #[error("also_listen.{index} must be an address with a port, not {text:?}")]
    InvalidAddress {
        /// Position in the list, from 0.
        index: usize,
        /// The invalid text.
        text: String,
    },
    /// The packet size is out of the protocol's range.
    #[error("packet_size must be {MIN_PACKET_BYTES} to {MAX_PACKET_BYTES}, not {0}")]
    PacketSizeOutOfRange(usize),
    /// The health check has no query.
    #[error("probe.sql must be a query, not an empty text")]
    EmptyHealthCheck,
    /// An error number is zero or negative.
    #[error("numbers.{key} must be above 0, not {number}")]
    NumberNotPositive {
        /// The key of the number.
        key: &'static str,
        /// The number.
        number: i32,
    },
    /// Drivers retry on the number, although the statement may have run or would be rejected again.
    #[error("numbers.{key} is {number}, an error number on which clients retry")]
    NumberIsRetried {
        /// The key of the number.
        key: &'static str,
        /// The number.
        number: i32,
    },
    /// The password file cannot be read.
    #[error("hosts.password_file: cannot read {path}: {source}")]
    PasswordFile {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
}

impl TdsSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// If the file cannot be read, or [`TdsSettings::read`] fails.
    pub fn load(path: &Path) -> Result<TdsSettings, TdsSettingsError> {
        let path_text = || path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| TdsSettingsError::Unreadable { path: path_text(), source })?;
        TdsSettings::read(&text)
            .map_err(|source| TdsSettingsError::InFile { path: path_text(), source: Box::new(source) })
    }

    /// Parses and checks the text of a file, and reads the password file that it names.
    ///
    /// # Errors
    /// If a key is missing, unknown or out of range, or the password file cannot be read.
    pub fn read(text: &str) -> Result<TdsSettings, TdsSettingsError> {
        let mut settings = TdsSettings::parse(text)?;
        settings.addresses()?;
        settings.check_packet_size()?;
        if settings.probe.sql.trim().is_empty() {
            return Err(TdsSettingsError::EmptyHealthCheck);
        }
        settings.numbers.check()?;
        settings.hosts.read_password()?;
        Ok(settings)
    }

    fn parse(text: &str) -> Result<TdsSettings, TdsSettingsError> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let settings = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
            TdsSettingsError::InvalidJson { key: error.path().to_string(), source: error.into_inner() }
        })?;
        reader.end().map_err(TdsSettingsError::TrailingText)?;
        Ok(settings)
    }

    fn check_packet_size(&self) -> Result<(), TdsSettingsError> {
        if !(MIN_PACKET_BYTES..=MAX_PACKET_BYTES).contains(&self.packet_size) {
            return Err(TdsSettingsError::PacketSizeOutOfRange(self.packet_size));
        }
        Ok(())
    }

    /// Returns the additional addresses to listen on.
    ///
    /// # Errors
    /// If one of them is not an address with a port.
    pub fn addresses(&self) -> Result<Vec<SocketAddr>, TdsSettingsError> {
        let parse = |(index, text): (usize, &String)| {
            text.parse().map_err(|_| TdsSettingsError::InvalidAddress { index, text: text.clone() })
        };
        self.also_listen.iter().enumerate().map(parse).collect()
    }
}

impl ErrorNumbers {
    fn check(&self) -> Result<(), TdsSettingsError> {
        let all = [("throttled", self.throttled), ("failed", self.failed), ("refused", self.refused)];
        for (key, number) in all {
            if number <= 0 {
                return Err(TdsSettingsError::NumberNotPositive { key, number });
            }
        }
        for (key, number) in [("failed", self.failed), ("refused", self.refused)] {
            if RETRIED_BY_DRIVERS.contains(&number) || number == self.throttled {
                return Err(TdsSettingsError::NumberIsRetried { key, number });
            }
        }
        Ok(())
    }
}

impl HostLogin {
    fn read_password(&mut self) -> Result<(), TdsSettingsError> {
        let Some(path) = &self.password_file else { return Ok(()) };
        let text = std::fs::read_to_string(path)
            .map_err(|source| TdsSettingsError::PasswordFile { path: path.clone(), source })?;
        self.password = text.lines().next().unwrap_or_default().to_string();
        Ok(())
    }
}
