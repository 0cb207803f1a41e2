//! Structured log lines whose field names are known only at run time.

use log::kv::{Key, Source, ToValue, Value, VisitSource};
use log::{Level, Record};

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
