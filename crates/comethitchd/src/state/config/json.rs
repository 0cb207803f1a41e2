//! Values of a JSON document by the path of their keys, and the document as the policy's own settings text.

use super::error::ConfigError;
use serde_json::Value;
use std::fmt::Write;

/// A JSON object whose values are named by paths such as `limits.sockets`.
pub(super) struct JsonKeys<'a>(pub &'a Value);

impl<'a> JsonKeys<'a> {
    /// The value at a path; none if it is missing or null.
    pub(super) fn get(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.0, |value, key| value.get(key)).filter(|value| !value.is_null())
    }

    /// The value at a path.
    pub(super) fn required(&self, path: &str) -> Result<&'a Value, ConfigError> {
        self.get(path).ok_or_else(|| ConfigError::missing(path))
    }

    /// The text at a path.
    pub(super) fn text(&self, path: &str) -> Result<String, ConfigError> {
        let value = self.required(path)?;
        value.as_str().map(String::from).ok_or_else(|| ConfigError::Unexpected {
            key: path.to_string(),
            expected: "a text".to_string(),
            found: value.to_string(),
        })
    }

    /// The whole number at a path, which must be at least `least`; `default` if it is missing.
    pub(super) fn number_or(&self, path: &str, least: u64, default: u64) -> Result<u64, ConfigError> {
        let Some(value) = self.get(path) else {
            return Ok(default);
        };
        value.as_u64().filter(|number| *number >= least).ok_or_else(|| ConfigError::Unexpected {
            key: path.to_string(),
            expected: format!("a whole number of {least} or more"),
            found: value.to_string(),
        })
    }

    /// A list of texts.
    pub(super) fn names(&self, path: &str) -> Result<Vec<String>, ConfigError> {
        let item_name = |(i, item): (usize, &Value)| name_of(item, || format!("{path}.{i}"));
        self.list(path)?.iter().enumerate().map(item_name).collect()
    }

    /// The text under `key` of each object of a list.
    pub(super) fn names_under(&self, path: &str, key: &str) -> Result<Vec<String>, ConfigError> {
        let item_name = |(i, item): (usize, &Value)| name_of(&item[key], || format!("{path}.{i}.{key}"));
        self.list(path)?.iter().enumerate().map(item_name).collect()
    }

    fn list(&self, path: &str) -> Result<&'a Vec<Value>, ConfigError> {
        let not_a_list = || ConfigError::Required { key: path.to_string(), expected: "a list" };
        self.required(path)?.as_array().ok_or_else(not_a_list)
    }
}

fn name_of(value: &Value, path: impl Fn() -> String) -> Result<String, ConfigError> {
    let not_a_text = || ConfigError::Required { key: path(), expected: "a text" };
    value.as_str().map(String::from).ok_or_else(not_a_text)
}

/// Nested JSON as the lines that the policy reads its settings from: `a.b=value`, plain lists joined by commas, lists
/// of objects numbered, with their length under `count`.
pub(super) fn settings_lines(settings: &Value) -> String {
    let mut lines = String::new();
    put_lines(&mut lines, "", settings);
    lines
}

fn put_lines(lines: &mut String, path: &str, value: &Value) {
    match value {
        Value::Object(map) => {
            map.iter().for_each(|(key, value)| put_lines(lines, &joined_path(path, key), value));
        }
        Value::Array(items) if items.first().is_some_and(Value::is_object) => {
            put_line(lines, &joined_path(path, "count"), &items.len().to_string());
            let numbered = items.iter().enumerate();
            numbered.for_each(|(i, item)| put_lines(lines, &joined_path(path, &i.to_string()), item));
        }
        Value::Array(items) => {
            put_line(lines, path, &items.iter().map(plain_text).collect::<Vec<_>>().join(","));
        }
        value => put_line(lines, path, &plain_text(value)),
    }
}

fn put_line(lines: &mut String, path: &str, value: &str) {
    // Writing to a string can't fail.
    let _ = writeln!(lines, "{path}={value}");
}

fn joined_path(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_string() } else { format!("{path}.{key}") }
}

/// A value without the characters that would end a line or an item.
fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ',', '\n'], "_"),
        other => other.to_string(),
    }
}
