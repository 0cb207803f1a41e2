//! Access to the values of a JSON document by path, and the conversion of settings to the lines that the
//! policy reads.

use super::error::{ConfigError, ExpectedValue};
use serde_json::Value;
use std::fmt::Write;

/// A JSON object whose values are looked up by paths such as `limits.sockets`.
pub(super) struct JsonKeys<'a>(pub &'a Value);

impl<'a> JsonKeys<'a> {
    /// Returns the value at a path, or `None` if it is missing or null.
    pub(super) fn get(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.0, |value, key| value.get(key)).filter(|value| !value.is_null())
    }

    /// Returns the value at a path, or an error if it is missing or null.
    pub(super) fn required(&self, path: &str) -> Result<&'a Value, ConfigError> {
        self.get(path).ok_or_else(|| ConfigError::missing(path))
    }

    /// Returns the string at a path.
    pub(super) fn string(&self, path: &str) -> Result<String, ConfigError> {
        let value = self.required(path)?;
        let unexpected = || ConfigError::unexpected(path, ExpectedValue::String, value);
        value.as_str().map(String::from).ok_or_else(unexpected)
    }

    /// Returns the integer at a path, which must be at least `min`, or `default` if it is missing or null.
    pub(super) fn integer_or(&self, path: &str, min: u64, default: u64) -> Result<u64, ConfigError> {
        let Some(value) = self.get(path) else {
            return Ok(default);
        };
        let unexpected = || ConfigError::unexpected(path, ExpectedValue::IntegerOfAtLeast(min), value);
        value.as_u64().filter(|number| *number >= min).ok_or_else(unexpected)
    }

    /// Returns the array of strings at a path.
    pub(super) fn strings(&self, path: &str) -> Result<Vec<String>, ConfigError> {
        let item_string = |(i, item): (usize, &Value)| string_of(item, || format!("{path}.{i}"));
        self.array(path)?.iter().enumerate().map(item_string).collect()
    }

    /// Returns the string under `key` of each object in the array at a path.
    pub(super) fn strings_under(&self, path: &str, key: &str) -> Result<Vec<String>, ConfigError> {
        let item_string = |(i, item): (usize, &Value)| string_of(&item[key], || format!("{path}.{i}.{key}"));
        self.array(path)?.iter().enumerate().map(item_string).collect()
    }

    fn array(&self, path: &str) -> Result<&'a Vec<Value>, ConfigError> {
        let not_an_array = || ConfigError::required(path, ExpectedValue::Array);
        self.required(path)?.as_array().ok_or_else(not_an_array)
    }
}

fn string_of(value: &Value, path: impl Fn() -> String) -> Result<String, ConfigError> {
    let not_a_string = || ConfigError::required(path(), ExpectedValue::String);
    value.as_str().map(String::from).ok_or_else(not_a_string)
}

/// Converts nested JSON to the lines that the policy reads its settings from, such as `a.b=value`.
///
/// The items of an array are joined by commas. An array of objects becomes the number of objects under
/// `count`, and the lines of each object under its index.
pub(super) fn settings_lines(settings: &Value) -> String {
    let mut lines = String::new();
    write_lines(&mut lines, "", settings);
    lines
}

fn write_lines(lines: &mut String, path: &str, value: &Value) {
    match value {
        Value::Object(map) => {
            map.iter().for_each(|(key, value)| write_lines(lines, &joined_path(path, key), value));
        }
        Value::Array(items) if items.first().is_some_and(Value::is_object) => {
            write_line(lines, &joined_path(path, "count"), &items.len().to_string());
            for (i, item) in items.iter().enumerate() {
                write_lines(lines, &joined_path(path, &i.to_string()), item);
            }
        }
        Value::Array(items) => {
            let values: Vec<String> = items.iter().map(plain_text).collect();
            write_line(lines, path, &values.join(","));
        }
        value => write_line(lines, path, &plain_text(value)),
    }
}

fn write_line(lines: &mut String, path: &str, value: &str) {
    // Writing to a string can't fail.
    let _ = writeln!(lines, "{path}={value}");
}

fn joined_path(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_string() } else { format!("{path}.{key}") }
}

/// Returns a value as text, with the characters that could end a line or an item replaced by underscores.
fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ',', '\n'], "_"),
        other => other.to_string(),
    }
}
