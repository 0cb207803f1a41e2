//! The operator's file for TDS: how hosts are logged in to and probed, and what clients are told.

use comethitch_tds::packet::{LARGEST_SIZE, LEAST_SIZE};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

/// The whole file. With it an instance speaks TDS with clients, at the configuration's `listen`, and with hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
// The published schema keeps its title.
#[schemars(rename = "Ways")]
pub struct TdsSettings {
    /// Further addresses to listen at, `127.0.0.1:1434`.
    #[serde(default)]
    pub also_listen: Vec<String>,
    /// The largest packets that clients and hosts may settle on, in bytes.
    #[serde(default = "packet_size")]
    pub packet_size: usize,
    pub hosts: LogIn,
    pub probe: Probe,
    #[serde(default)]
    pub numbers: Numbers,
}

fn packet_size() -> usize {
    8000
}

/// How the router logs in to hosts. Clients are let in whoever they are.
#[derive(Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LogIn {
    pub user: String,
    /// A file whose first line is the password; none for an empty one.
    pub password_file: Option<String>,
    pub database: String,
    /// Read from its file at the start.
    #[serde(skip)]
    pub password: String,
}

impl std::fmt::Debug for LogIn {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "LogIn {{ user: {:?}, database: {:?} }}", self.user, self.database)
    }
}

/// How a host is asked how it stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Probe {
    /// A query of one row: the host's role, then its position, in milliseconds of Unix time, up to which all
    /// commits are applied there.
    pub sql: String,
    /// What the role is at a primary, as text; anything else is a replica.
    pub primary: String,
}

/// The numbers of errors that the router answers with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Numbers {
    /// Throttled: trying again is harmless. By itself one that drivers try again on.
    pub throttled: i32,
    /// Failed, with nothing said of the effect: must be one that no driver tries again on.
    pub failed: i32,
    /// A statement that becomes no command.
    pub refused: i32,
}

impl Default for Numbers {
    fn default() -> Numbers {
        Numbers { throttled: 49_918, failed: 50_003, refused: 50_001 }
    }
}

/// Numbers on which common drivers try again by themselves: a failure that may have run must have none of them.
pub const TRIED_AGAIN: [i32; 28] = [
    20, 64, 121, 233, 615, 926, 997, 1204, 1205, 1222, 4060, 4221, 10_053, 10_054, 10_060, 10_922, 10_928,
    10_929, 10_936, 40_143, 40_197, 40_501, 40_540, 40_613, 42_108, 49_918, 49_919, 49_920,
];

impl TdsSettings {
    pub fn load(path: &Path) -> Result<TdsSettings, String> {
        let shown = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{shown} can't be read: {e}"))?;
        TdsSettings::read(&text).map_err(|e| format!("{shown}: {e}"))
    }

    /// Reads and checks the file; an error names the key.
    pub fn read(text: &str) -> Result<TdsSettings, String> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let mut ways: TdsSettings = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| format!("{}: {}", e.path(), e.inner()))?;
        reader.end().map_err(|e| format!("behind the ways: {e}"))?;
        ways.addresses()?;
        if !(LEAST_SIZE..=LARGEST_SIZE).contains(&ways.packet_size) {
            return Err(format!(
                "packet_size must be {LEAST_SIZE} to {LARGEST_SIZE}, not {}",
                ways.packet_size
            ));
        }
        if ways.probe.sql.trim().is_empty() {
            return Err("probe.sql must be a query".into());
        }
        let Numbers { throttled, failed, refused } = ways.numbers;
        for (key, number) in [("throttled", throttled), ("failed", failed), ("refused", refused)] {
            if number <= 0 {
                return Err(format!("numbers.{key} must be above 0, not {number}"));
            }
        }
        for (key, number) in [("failed", failed), ("refused", refused)] {
            if TRIED_AGAIN.contains(&number) || number == throttled {
                return Err(format!("numbers.{key} is {number}, on which clients try again"));
            }
        }
        if let Some(path) = &ways.hosts.password_file {
            let text =
                std::fs::read_to_string(path).map_err(|e| format!("hosts.password_file: {path}: {e}"))?;
            ways.hosts.password = text.lines().next().unwrap_or_default().to_string();
        }
        Ok(ways)
    }

    /// The further addresses.
    pub fn addresses(&self) -> Result<Vec<SocketAddr>, String> {
        let address = |(i, text): (usize, &String)| {
            text.parse().map_err(|_| format!("also_listen.{i} must be an address with a port, not {text:?}"))
        };
        self.also_listen.iter().enumerate().map(address).collect()
    }
}
