//! Structured log lines whose keys are known only at run time.

use log::kv::{Key, Source, ToValue, Value, VisitSource};
use log::{Level, Record};

struct LogField {
    key: String,
    value: u64,
}

/// The key-values of a log line, in the order in which they were added.
#[derive(Default)]
pub struct LogFields(Vec<LogField>);

impl LogFields {
    /// Adds a key-value.
    pub fn push(&mut self, key: impl Into<String>, value: u64) {
        self.0.push(LogField { key: key.into(), value });
    }

    /// Adds a key-value unless the value is zero.
    pub fn push_nonzero(&mut self, key: impl Into<String>, value: u64) {
        if value > 0 {
            self.push(key, value);
        }
    }

    /// Returns whether there are no key-values.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Source for LogFields {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), log::kv::Error> {
        self.0
            .iter()
            .try_for_each(|field| visitor.visit_pair(Key::from_str(&field.key), field.value.to_value()))
    }

    fn get(&self, key: Key<'_>) -> Option<Value<'_>> {
        self.0.iter().find(|field| field.key == key.as_str()).map(|field| field.value.to_value())
    }
}

/// Logs a line with these key-values and the module `target`.
pub fn log_with_fields(level: Level, target: &str, message: &str, fields: &LogFields) {
    let arguments = format_args!("{message}");
    log::logger()
        .log(&Record::builder().args(arguments).level(level).target(target).key_values(fields).build());
}
