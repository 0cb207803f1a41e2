//! Structured log lines whose field names are known only at run time.

use log::kv::{Key, Source, ToValue, Value, VisitSource};
use log::{Level, Record};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// The fields of a log line, by name.
pub struct LogFields(pub Vec<(String, u64)>);

impl Source for LogFields {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), log::kv::Error> {
        self.0
            .iter()
            .try_for_each(|(name, number)| visitor.visit_pair(Key::from_str(name), number.to_value()))
    }

    fn get(&self, key: Key<'_>) -> Option<Value<'_>> {
        self.0.iter().find(|(name, _)| name == key.as_str()).map(|(_, number)| number.to_value())
    }
}

/// Logs a line with such fields, as of the module `target`.
pub fn log_with_fields(level: Level, target: &str, message: &str, fields: &LogFields) {
    let arguments = format_args!("{message}");
    log::logger()
        .log(&Record::builder().args(arguments).level(level).target(target).key_values(fields).build());
}

/// Lines of the log that could not be written, since they were last taken.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Counts a line of the log that could not be written.
pub fn record_dropped_line() {
    DROPPED_LINES.fetch_add(1, Relaxed);
}

/// How many lines of the log could not be written since the last call.
pub fn take_dropped_lines() -> u64 {
    DROPPED_LINES.swap(0, Relaxed)
}
