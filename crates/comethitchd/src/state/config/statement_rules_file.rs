//! Reads the rules for statements, which have a file of their own.

use super::error::ConfigError;
use comethitch_statement::{Rules, Secret};
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

/// Reads the rules for statements from the text of their file.
///
/// # Errors
///
/// If the text is not JSON, or a key is missing, unknown or has a value that is not accepted; the error names
/// the key.
pub fn read_rules(text: &str) -> Result<Rules, ConfigError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let rules = serde_path_to_error::deserialize(&mut reader).map_err(|error| ConfigError::RulesKey {
        key: error.path().to_string(),
        source: error.into_inner(),
    })?;
    reader.end().map_err(ConfigError::AfterRules)?;
    Ok(rules)
}

/// Returns a new secret from the operating system's random numbers.
pub fn random_secret() -> Secret {
    // `RandomState` is keyed by the system's random numbers, so that even the hash of no input is random.
    let random_bytes = || RandomState::new().build_hasher().finish().to_le_bytes();
    let mut secret = [0; 16];
    let (first, second) = secret.split_at_mut(8);
    first.copy_from_slice(&random_bytes());
    second.copy_from_slice(&random_bytes());
    Secret(secret)
}
