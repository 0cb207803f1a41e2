//! Parses a line of a router's log, in either format of `--log-form`.

use serde_json::Value;

/// A parsed log line.
pub(super) struct LogLine<'a> {
    /// The message, without its fields.
    pub message: String,
    /// Names and values of the fields, in the order in which the line contains them.
    pub fields: Vec<(String, String)>,
    /// The text of the whole line.
    pub text: &'a str,
}

impl<'a> LogLine<'a> {
    /// Parses `[bench time] timestamp LEVEL target: file:line message key=value ...`, or a JSON object with
    /// `message` and `kvs`. The bench time is a prefix that the test bench adds. Returns `None` if the line
    /// has neither format.
    pub(super) fn parse(text: &'a str) -> Option<LogLine<'a>> {
        let text = text.trim_end();
        if let Some(start) = text.find('{')
            && let Ok(value) = serde_json::from_str::<Value>(&text[start..])
        {
            return LogLine::from_json(&value, text);
        }
        LogLine::from_text(text)
    }

    fn from_json(value: &Value, text: &'a str) -> Option<LogLine<'a>> {
        let message = value.get("message")?.as_str()?.to_string();
        let to_text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_string);
        let fields = match value.get("kvs").and_then(Value::as_object) {
            Some(kvs) => kvs.iter().map(|(key, value)| (key.clone(), to_text(value))).collect(),
            None => Vec::new(),
        };
        Some(LogLine { message, fields, text })
    }

    fn from_text(text: &'a str) -> Option<LogLine<'a>> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let level_index = words.iter().position(|word| is_level(word))?;
        // The target and the source location stand between the level and the message.
        let rest = words.get(level_index + 3..)?;
        let first_field = rest.iter().position(|word| word.contains('=')).unwrap_or(rest.len());
        let message = rest[..first_field].join(" ");
        let fields = rest[first_field..]
            .iter()
            .filter_map(|word| word.split_once('='))
            .map(|(key, value)| (key.to_string(), value.trim_matches('"').to_string()))
            .collect();
        Some(LogLine { message, fields, text })
    }
}

fn is_level(word: &str) -> bool {
    matches!(word, "ERROR" | "WARN" | "INFO" | "DEBUG" | "TRACE")
}

/// Returns the RFC 3339 timestamp of a line, which can be compared as text, or an empty text if there is
/// none. The bench time, which may precede it, can't be compared as text: `10.2` would sort before `9.8`.
pub(super) fn timestamp(line: &str) -> &str {
    const JSON_KEY: &str = "\"timestamp\":\"";
    if let Some(key_start) = line.find(JSON_KEY) {
        let value = &line[key_start + JSON_KEY.len()..];
        return value.split('"').next().unwrap_or_default();
    }
    line.split_whitespace().find(|word| is_rfc3339(word)).unwrap_or_default()
}

fn is_rfc3339(word: &str) -> bool {
    let bytes = word.as_bytes();
    bytes.len() >= "2026-12-01T20:00:00Z".len() && bytes[4] == b'-' && bytes[10] == b'T'
}
