//! Access to the values of a JSON document by the paths of their keys, and the conversion of settings to the text form
//! that the policy reads.

use super::error::{ConfigError, ExpectedValue};
use serde_json::Value;
use std::fmt::Write;

/// A JSON object whose values are named by paths such as `limits.sockets`.
pub(super) struct JsonKeys<'a>(pub &'a Value);

impl<'a> JsonKeys<'a> {
    /// Returns the value at a path; none if it is missing or null.
    pub(super) fn get(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.0, |value, key| value.get(key)).filter(|value| !value.is_null())
    }

    /// Returns the value at a path, which must not be missing.
    pub(super) fn required(&self, path: &str) -> Result<&'a Value, ConfigError> {
        self.get(path).ok_or_else(|| ConfigError::missing(path))
    }

    /// Returns the text at a path.
    pub(super) fn text(&self, path: &str) -> Result<String, ConfigError> {
        let value = self.required(path)?;
        let unexpected = || ConfigError::unexpected(path, ExpectedValue::Text, value);
        value.as_str().map(String::from).ok_or_else(unexpected)
    }

    /// Returns the integer at a path, which must be at least `min`; `default` if it is missing.
    pub(super) fn integer_or(&self, path: &str, min: u64, default: u64) -> Result<u64, ConfigError> {
        let Some(value) = self.get(path) else {
            return Ok(default);
        };
        let unexpected = || ConfigError::unexpected(path, ExpectedValue::IntegerOfAtLeast(min), value);
        value.as_u64().filter(|number| *number >= min).ok_or_else(unexpected)
    }

    /// Returns the list of texts at a path.
    pub(super) fn texts(&self, path: &str) -> Result<Vec<String>, ConfigError> {
        let item_text = |(i, item): (usize, &Value)| text_of(item, || format!("{path}.{i}"));
        self.list(path)?.iter().enumerate().map(item_text).collect()
    }

    /// Returns the text under `key` of each object in the list at a path.
    pub(super) fn texts_under(&self, path: &str, key: &str) -> Result<Vec<String>, ConfigError> {
        let item_text = |(i, item): (usize, &Value)| text_of(&item[key], || format!("{path}.{i}.{key}"));
        self.list(path)?.iter().enumerate().map(item_text).collect()
    }

    fn list(&self, path: &str) -> Result<&'a Vec<Value>, ConfigError> {
        let not_a_list = || ConfigError::required(path, ExpectedValue::List);
        self.required(path)?.as_array().ok_or_else(not_a_list)
    }
}

fn text_of(value: &Value, path: impl Fn() -> String) -> Result<String, ConfigError> {
    let not_a_text = || ConfigError::required(path(), ExpectedValue::Text);
    value.as_str().map(String::from).ok_or_else(not_a_text)
}

/// Converts nested JSON to the lines that the policy reads its settings from: `a.b=value`, with lists of plain values
/// joined by commas, and lists of objects numbered, with their length under `count`.
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
            let texts: Vec<String> = items.iter().map(plain_text).collect();
            write_line(lines, path, &texts.join(","));
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

/// Returns a value without the characters that would end a line or an item.
fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ',', '\n'], "_"),
        other => other.to_string(),
    }
}
